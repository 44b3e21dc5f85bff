// Half a minute in which things go wrong together: boxes die, hang, fail and drain, answers are lost, a manager is
// killed and another stops, the list runs late, all while a crowd comes for two titles.
local site = import 'boats.jsonnet';
{
  site: site,
  length_s: 24,
  boxes: [
    { cell: n % 6, kind: if n % 2 == 0 then 'large' else 'small', zone: site.zones[n % 3],
      weight: if n % 2 == 0 then 1.2 else 0.9, link_kb: 5200 + 350 * (n % 5) }
    for n in std.range(0, 11)
  ],
  demand: {
    rate: 9,
    titles: { 'quay-cam': 2, 'lock-cam': 1 } + { ['tour-%d' % n]: 3 / n for n in std.range(1, 8) }
            + { ['clip-%d' % n]: 2 / n for n in std.range(1, 8) },
    pushes: ['quay-cam', 'lock-cam'],
    play_s: [3, 9],
  },
  list_late_ms: 900,
  troubles: [
    { at_s: 2, what: 'answer_lost', for_s: 9, value: 0.3, share: 0.5 },
    { at_s: 3, what: 'crash', for_s: 6, share: 0.17 },
    { at_s: 4, what: 'crowd', for_s: 8, value: 2.5, titles: ['clip-1', 'quay-cam'] },
    { at_s: 5, what: 'list_late', for_s: 8, value: 3500 },
    { at_s: 6, what: 'hang', for_s: 6, share: 0.1 },
    { at_s: 7, what: 'manager_crash', for_s: 2, managers: [1] },
    { at_s: 8, what: 'fast_errors', for_s: 7, value: 0.8, share: 0.15 },
    { at_s: 9, what: 'reset_after', for_s: 6, value: 0.4, share: 0.2 },
    { at_s: 10, what: 'drain', for_s: 6, value: 1, share: 0.17 },
    { at_s: 11, what: 'half', for_s: 5, value: 0.5, share: 0.15 },
    { at_s: 13, what: 'link', for_s: 8, value: 0.4, share: 0.3 },
    { at_s: 14, what: 'reset_before', for_s: 5, value: 0.5, share: 0.15 },
    { at_s: 15, what: 'report_late', for_s: 6, value: 20000, share: 1 },
    { at_s: 16, what: 'uplink', for_s: 6, value: 0.5, rack: 1 },
  ],
}
