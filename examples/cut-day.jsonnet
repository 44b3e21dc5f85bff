// Faults between processes: two of three managers cut from some boxes, one of them one way; a manager cut from the
// others alone, one from the list; late, lossy and reset ways; healed at once or pair by pair. All while managers die.
local boats = import 'boats.jsonnet';
local site = boats {
  managers: 3,
  packages+: { 'dock-live'+: { seats: 8 } },
  allowed+: { peers: true },
  front+: { member_keys: ['a-key-for-the-day'] },
  rules+: { warm_within_ms: 4000 },
};
{
  site: site,
  members: true,
  length_s: 14,
  settle_s: 1.5,
  lease_ms: 8000,
  list_late_ms: 400,
  boxes: [
    { cell: n % 6, kind: if n % 2 == 0 then 'large' else 'small', zone: site.zones[n % 3],
      weight: if n % 2 == 0 then 1.2 else 0.9, link_kb: 5200 + 350 * (n % 5) }
    for n in std.range(0, 7)
  ],
  groups: { near: ['b1', 'b2', 'b3'] },
  demand: {
    rate: 7,
    titles: { 'quay-cam': 2, 'lock-cam': 1 } + { ['tour-%d' % n]: 3 / n for n in std.range(1, 6) }
            + { ['clip-%d' % n]: 2 / n for n in std.range(1, 6) },
    play_s: [8, 13],
  },
  troubles: [
    { at_s: 1, what: 'way', between: [['m0'], ['near']], for_s: 4, heal_s: 2 },
    { at_s: 2, what: 'way', kind: 'delay', value: 60, jitter: 80, between: [['m1'], ['boxes']], for_s: 5 },
    { at_s: 2, what: 'way', kind: 'lose', value: 0.15, between: [['m0'], ['m1'], ['m2']], for_s: 8 },
    { at_s: 3, what: 'way', between: [['b5'], ['m2']], one_way: true, for_s: 3 },
    { at_s: 4, what: 'way', kind: 'reset', between: [['m1'], ['b4', 'b6']], for_s: 1 },
    { at_s: 5, what: 'manager_crash', for_s: 7, managers: [2] },
    { at_s: 6, what: 'way', between: [['m1'], ['list']], for_s: 4 },
    { at_s: 6, what: 'way', kind: 'half_open', between: [['m0'], ['boxes']], for_s: 3 },
  ],
}
