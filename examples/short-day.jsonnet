// Eight seconds for CI: two managers, six boxes, and most kinds of trouble once.
local bad = import 'bad-day.jsonnet';
bad {
  site+: { managers: 2 },
  length_s: 8,
  settle_s: 1,
  boxes: bad.boxes[0:6],
  demand+: { rate: 8, play_s: [1, 3] },
  list_late_ms: 500,
  lease_ms: 2000,
  troubles: [
    { at_s: 0.5, what: 'answer_lost', for_s: 3, value: 0.4, share: 0.5 },
    { at_s: 1, what: 'crash', for_s: 2, share: 0.17 },
    { at_s: 1.5, what: 'crowd', for_s: 3, value: 3, titles: ['clip-1', 'quay-cam'] },
    { at_s: 2, what: 'list_late', for_s: 3, value: 1500 },
    { at_s: 2, what: 'hang', for_s: 2, share: 0.17 },
    { at_s: 3, what: 'manager_crash', for_s: 1, managers: [1] },
    { at_s: 4, what: 'drain', for_s: 2, value: 1, share: 0.17 },
    { at_s: 4, what: 'reset_after', for_s: 2, value: 0.5, share: 0.34 },
    { at_s: 5, what: 'half', for_s: 2, value: 0.5, share: 0.34 },
    { at_s: 5, what: 'fast_errors', for_s: 2, value: 0.8, share: 0.17 },
  ],
}
