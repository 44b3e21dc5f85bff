// More of what versions meet: a manager whose way to the catalogue's service comes and goes; one that hears the service and
// no other manager; the service down while half the managers restart; a floor raised while the last healthy ones restart;
// an account on a full disk; and m4, an older build that says nothing of its versions, so that any floor stops it.
local day = import 'straggler-day.jsonnet';
day {
  length_s: 18,
  site+: { name: 'boats-flap', fleet+: { floor_by_rule: false } },
  clocks: {},
  groups: { flaps: ['m0'], alone: ['m2'], others: ['m0', 'm1', 'm3', 'm4'] },
  older: ['m4'],
  catalogue: { rate: 3, from_s: 1, for_s: 13 },
  troubles: [
    { at_s: n, what: 'way', between: [['flaps'], ['catalogue']], for_s: 1.2 } for n in [1, 3, 5, 7, 9]
  ] + [
    { at_s: 2, what: 'way', between: [['alone'], ['others']], for_s: 5 },
    { at_s: 4, what: 'floor', value: 2, force: true },
    { at_s: 5, what: 'disk', kind: 'full', managers: [3], for_s: 3 },
    { at_s: 8, what: 'catalogue_stall', for_s: 3 },
    { at_s: 8.5, what: 'manager_crash', managers: [0, 1], for_s: 1.5 },
    { at_s: 12, what: 'manager_restart', managers: [1, 2], for_s: 0.5 },
    { at_s: 12.3, what: 'floor', value: 0, force: true },
  ],
}
