// Play it with --seed 1. Found by the hunt: a manager that was killed again before it was back was started twice on one
// port, which ended the day; by processes only.
(import '../../examples/bad-day.jsonnet') + {
  length_s: 22,
  troubles: [
    { at_s: 5.8, what: 'manager_crash', for_s: 6.78, managers: [0] },
    { at_s: 8.47, what: 'crash', for_s: 4.53, boxes: [4] },
    { at_s: 10.08, what: 'manager_crash', for_s: 0.56, managers: [0] },
  ],
}
