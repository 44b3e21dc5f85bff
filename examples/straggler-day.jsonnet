// Versions that reach some late or never, and floors that shut those out: a manager cut from the catalogue's service alone
// (another hands it its copy), one cut from service and managers both (boxes stop it), one that stands still with set-ups
// in its buffers while the floor rises, boxes cut from the service (managers tell them the floor), clocks off by an hour.
local boats = import 'boats.jsonnet';
local site = boats {
  managers: 5,
  packages+: { 'dock-live'+: { seats: 6 } },
  fleet+: { behind_s: 3, floor_by_rule: true, floor_share: 0.4 },
  allowed+: { peers: true },
  front+: { member_keys: ['a-key-for-the-day'] },
  rules+: { warm_within_ms: 4000 },
};
{
  site: site,
  members: true,
  length_s: 20,
  settle_s: 1.5,
  lease_ms: 12000,
  list_late_ms: 400,
  boxes: [
    { cell: n % 6, kind: if n % 2 == 0 then 'large' else 'small', zone: site.zones[n % 3],
      weight: if n % 2 == 0 then 1.2 else 0.9, link_kb: 5200 + 350 * (n % 5) }
    for n in std.range(0, 9)
  ],
  catalogue: { rate: 3, from_s: 1, for_s: 14 },
  groups: { lost: ['m0'], hears_peers: ['m1'], others: ['m1', 'm2', 'm3', 'm4'] },
  clocks: { m2: { step_s: 3600 }, m3: { step_s: -3600, rate: 1.02 } },
  demand: {
    rate: 9,
    titles: { 'quay-cam': 2, 'lock-cam': 1 } + { ['tour-%d' % n]: 3 / n for n in std.range(1, 6) }
            + { ['clip-%d' % n]: 2 / n for n in std.range(1, 6) },
    play_s: [4, 9],
  },
  troubles: [
    { at_s: 2, what: 'way', between: [['hears_peers'], ['catalogue']], for_s: 7 },
    { at_s: 3, what: 'way', between: [['lost'], ['catalogue']], for_s: 9, heal_s: 1 },
    { at_s: 3, what: 'way', between: [['lost'], ['others']], for_s: 9, heal_s: 1 },
    { at_s: 4, what: 'way', between: [['b2', 'b5'], ['catalogue']], for_s: 8 },
    { at_s: 6, what: 'manager_stall', managers: [4], for_s: 5 },
    { at_s: 9, what: 'floor', value: 0, force: true },
    { at_s: 13, what: 'manager_crash', managers: [3], for_s: 2 },
    { at_s: 13.5, what: 'crash', boxes: [3], for_s: 2 },
    { at_s: 15, what: 'floor', value: 1 },
  ],
}
