// Managers that are killed and come back while some of their boxes hang, in a crowd for titles with few seats: what an
// earlier life left there counts against the seats of the new one before it has been heard of.
local bad = import 'bad-day.jsonnet';
bad {
  site+: { packages+: { 'dock-live'+: { seats: 5 } } },
  length_s: 10,
  settle_s: 1,
  demand+: { rate: 9, play_s: [4, 9] },
  troubles: [
    { at_s: 0.5, what: 'crowd', for_s: 9, value: 2, titles: ['quay-cam', 'lock-cam'] },
    { at_s: 2.5, what: 'hang', for_s: 2, share: 0.25 },
    { at_s: 3, what: 'manager_crash', for_s: 0.5, managers: [1] },
    { at_s: 5.5, what: 'hang', for_s: 4, share: 0.34 },
    { at_s: 6, what: 'manager_crash', for_s: 1, managers: [0, 2] },
  ],
}
