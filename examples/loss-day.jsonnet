// Three of five managers killed at once in a crowd, while set-ups are under way; one that stands still and goes on; a way to
// boxes that is late. Clients ask again under their keys wherever they get through.
local boats = import 'boats.jsonnet';
local site = boats {
  managers: 5,
  packages+: { 'dock-live'+: { seats: 6 } },
  allowed+: { peers: true },
  front+: { member_keys: ['a-key-for-the-day'] },
  fleet+: { media_ms: 5000 },
  rules+: { warm_within_ms: 4000 },
};
{
  site: site,
  members: true,
  length_s: 40,
  settle_s: 1.5,
  lease_ms: 12000,
  list_late_ms: 400,
  ways: true,
  work_ms: 40,
  boxes: [
    { cell: n % 6, kind: if n % 2 == 0 then 'large' else 'small', zone: site.zones[n % 3],
      weight: if n % 2 == 0 then 1.2 else 0.9, link_kb: 6200 + 350 * (n % 5) }
    for n in std.range(0, 11)
  ],
  groups: { near: ['b1', 'b2', 'b3', 'b4'] },
  demand: {
    rate: 9,
    titles: { 'quay-cam': 2, 'lock-cam': 1 } + { ['tour-%d' % n]: 3 / n for n in std.range(1, 6) }
            + { ['clip-%d' % n]: 2 / n for n in std.range(1, 6) },
    pushes: ['quay-cam', 'lock-cam'],
    play_s: [3, 7],
    back_s: [0.1, 0.8],
    keyed: 0.9,
  },
  troubles: [
    { at_s: 8, what: 'crowd', value: 2.5, for_s: 8, titles: ['tour-1', 'clip-1'] },
    { at_s: 11, what: 'manager_crash', managers: [0, 1, 2], for_s: 6 },
    { at_s: 20, what: 'manager_stall', managers: [3], for_s: 3 },
    { at_s: 25, what: 'way', kind: 'delay', value: 400, jitter: 400, between: [['m4'], ['near']], for_s: 4 },
    { at_s: 27, what: 'manager_crash', managers: [4], for_s: 4 },
    { at_s: 33, what: 'manager_restart', managers: [0, 1], for_s: 0.3 },
  ],
}
