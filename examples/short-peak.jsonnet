// A peak on sockets: 24 boxes, three managers, a catalogue service. Two cameras are announced for ten seconds; the crowd
// comes as announced, while boxes die ten seconds into it, a manager restarts and the plan service is away for a while.
local site = import 'boats.jsonnet';
{
  site: site { packages+: { 'dock-live'+: { seats: 0 } } },
  length_s: 30,
  boxes: [
    { cell: n % 6, kind: if n % 2 == 0 then 'large' else 'small', zone: site.zones[n % 3],
      weight: if n % 2 == 0 then 1.2 else 0.9, link_kb: 5200 + 350 * (n % 5), cold: n >= 20 }
    for n in std.range(0, 23)
  ],
  catalogue: {},
  demand: {
    rate: 8,
    titles: { 'quay-cam': 1, 'lock-cam': 1 } + { ['tour-%d' % n]: 3 / n for n in std.range(1, 8) }
            + { ['clip-%d' % n]: 2 / n for n in std.range(1, 8) },
    play_s: [4, 10],
  },
  list_late_ms: 900,
  peaks: [{ name: 'eid', titles: ['quay-cam', 'lock-cam'], start_s: 9, end_s: 21, rate: 10, ramp_s: 2, length_s: 7, rung: 2, lead_s: 5 }],
  troubles: [
    { at_s: 9, what: 'crowd', for_s: 12, value: 2.25, titles: ['quay-cam', 'lock-cam'] },
    { at_s: 8, what: 'crash', for_s: 8, share: 0.25 },
    { at_s: 11, what: 'catalogue_crash', for_s: 4 },
    { at_s: 13, what: 'manager_crash', for_s: 2, managers: [1] },
    { at_s: 16, what: 'answer_lost', for_s: 5, value: 0.3, share: 0.3 },
    { at_s: 18, what: 'link', for_s: 6, value: 0.5, share: 0.2 },
  ],
}
