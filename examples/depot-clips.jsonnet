// A cooperative with one server room: meetings and how-to films. No floor, no seats, further tune-ins rationed.
{
  name: 'depot-clips',
  managers: 2,
  packages: {
    meetings: { join_target_ms: 1500, patience_ms: 5000, value: 2, scale: 1.4 },
    'how-to': { join_target_ms: 1000, patience_ms: 4000, value: 1, top: 4 },
  },
  ladder: { kb: [200, 330, 480, 680, 1100, 1900], worth: [0.2, 0.4, 0.55, 0.7, 0.85, 1], switch_cost_ms: 700 },
  fleet: { cells: 7, racks: 2, kinds: { two: 26, three: 38 }, kb_per_weight: 5200, uplink_kb: 26000, note_lag_ms: 900, note_every_ms: 3600 },
  rules: { drain_grace_ms: 2000, warm_within_ms: 9000, start_capacity: 0.3, tip_multiple: 2.5, fall_ms: 1000,
           further: { free: 6, share: 0.25, span_ms: 8000 } },
  allowed: { tune_ins: 4, hold_off_most_ms: 1200 },
  goal: { whole: 0.55, worst_window: 0.1, worst_package: 0.35 },
  titles: { ['meeting-%d' % n]: { first_cell: n % 7, cells: 4, view: 'meetings' } for n in std.range(1, 6) }
        + { ['film-%d' % n]: { first_cell: (n * 3) % 7, cells: 3, view: 'how-to' } for n in std.range(1, 14) },
}
