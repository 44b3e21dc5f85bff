// Fifty catalogue changes a second during a crowd, while boxes die and the catalogue service is killed and restarted.
local bad = import 'bad-day.jsonnet';
bad {
  length_s: 16,
  catalogue: { rate: 50 },
  troubles: [
    { at_s: 2, what: 'crowd', for_s: 9, value: 2.5, titles: ['clip-1', 'quay-cam'] },
    { at_s: 3, what: 'crash', for_s: 4, share: 0.17 },
    { at_s: 4, what: 'answer_lost', for_s: 5, value: 0.3, share: 0.4 },
    { at_s: 5, what: 'list_late', for_s: 5, value: 2500 },
    { at_s: 6, what: 'catalogue_crash', for_s: 2 },
    { at_s: 7, what: 'manager_crash', for_s: 1.5, managers: [1] },
    { at_s: 9, what: 'drain', for_s: 4, value: 1, share: 0.17 },
    { at_s: 10, what: 'hang', for_s: 3, share: 0.1 },
  ],
}
