// Managers that die, stand still and restart one by one while viewings play: others take over what they had.
// Five managers that talk to each other (SWIM on loopback), twelve boxes, viewings longer than the troubles.
local boats = import 'boats.jsonnet';
local site = boats {
  managers: 5,
  packages+: { 'dock-live'+: { seats: 0 } },
  allowed+: { peers: true },
  front+: { member_keys: ['a-key-for-the-day'] },
  rules+: { warm_within_ms: 4000 },
};
{
  site: site,
  members: true,
  length_s: 34,
  boxes: [
    { cell: n % 6, kind: if n % 2 == 0 then 'large' else 'small', zone: site.zones[n % 3],
      weight: if n % 2 == 0 then 1.2 else 0.9, link_kb: 5200 + 350 * (n % 5) }
    for n in std.range(0, 11)
  ],
  demand: {
    rate: 6,
    titles: { 'quay-cam': 3, 'lock-cam': 2 } + { ['tour-%d' % n]: 3 / n for n in std.range(1, 8) }
            + { ['clip-%d' % n]: 2 / n for n in std.range(1, 8) },
    play_s: [8, 16],
  },
  list_late_ms: 600,
  lease_ms: 6000,
  troubles: [
    { at_s: 8, what: 'manager_crash', for_s: 9, managers: [1] },
    { at_s: 12, what: 'crash', for_s: 5, share: 0.17 },
    { at_s: 14, what: 'manager_stall', for_s: 6, managers: [2] },
    { at_s: 15, what: 'answer_lost', for_s: 5, value: 0.3, share: 0.3 },
    { at_s: 21, what: 'manager_restart', for_s: 0.3, managers: [0, 3, 4] },
    { at_s: 24, what: 'link', for_s: 5, value: 0.5, share: 0.3 },
  ],
}
