// Duties under leases, through faults: five managers share out what one does for the whole fleet. Holders are killed and
// stopped between check and act, cut off from the service alone and from everybody, the service dies and stands still, two
// clocks run wrong, the fleet is cut in two and healed, a third of the datagrams is lost, and all managers die at once.
local boats = import 'boats.jsonnet';
local site = boats {
  managers: 5,
  packages+: { 'dock-live'+: { seats: 6 } },
  fleet+: { behind_s: 2, floor_by_rule: true, floor_share: 0.4, drift: 0.06 },
  allowed+: { peers: true },
  front+: { member_keys: ['a-key-for-the-day'] },
  rules+: { warm_within_ms: 4000 },
  duties: {
    compact: { period_s: 1, span_s: 3, step_s: 0.5 },
    floors: { period_s: 1, span_s: 3, step_s: 0.5 },
    reports: { period_s: 1, span_s: 4, step_s: 1 },
    copies: { period_s: 5, span_s: 8, step_s: 3 },
    orphans: { period_s: 1, span_s: 3, step_s: 0.5 },
  },
};
{
  site: site,
  members: true,
  length_s: 60,
  settle_s: 1.5,
  lease_ms: 20000,
  list_late_ms: 400,
  boxes: [
    { cell: n % 6, kind: if n % 2 == 0 then 'large' else 'small', zone: site.zones[n % 3],
      weight: if n % 2 == 0 then 1.2 else 0.9, link_kb: 5200 + 350 * (n % 5) }
    for n in std.range(0, 5)
  ],
  catalogue: { rate: 3, from_s: 1, for_s: 50 },
  groups: { some: ['m0', 'm1'], others: ['m2', 'm3', 'm4'], lone: ['m4'] },
  clocks: { m2: { step_s: 3600, rate: 1.05 }, m3: { step_s: -3600, rate: 0.95 } },
  demand: {
    rate: 4,
    titles: { 'quay-cam': 2, 'lock-cam': 1 } + { ['tour-%d' % n]: 3 / n for n in std.range(1, 6) },
    play_s: [4, 9],
  },
  troubles: [
    { at_s: 6, what: 'manager_crash', managers: [0], for_s: 3 },
    { at_s: 8, what: 'manager_stall', managers: [1, 2], for_s: 5 },
    { at_s: 14, what: 'way', between: [['lone'], ['catalogue']], for_s: 5 },
    { at_s: 16, what: 'catalogue_crash', for_s: 1 },
    { at_s: 21, what: 'way', between: [['some'], ['others']], for_s: 6, heal_s: 1 },
    { at_s: 23, what: 'manager_crash', managers: [3], for_s: 2 },
    { at_s: 29, what: 'catalogue_stall', for_s: 2 },
    { at_s: 30, what: 'manager_stall', managers: [4], for_s: 4 },
    { at_s: 36, what: 'way', kind: 'lose', value: 0.3, between: [['managers'], ['managers']], for_s: 22 },
    { at_s: 38, what: 'manager_crash', managers: [2], for_s: 2 },
    { at_s: 46, what: 'manager_crash', managers: std.range(0, 4), for_s: 1 },
  ],
}
