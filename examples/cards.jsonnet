// Tutors in two wings: home practice and lessons, boxes that turn set-ups away while their link is full.
{
  name: 'cards',
  managers: 2,
  zones: ['east', 'west'],
  packages: {
    'home-practice': { join_target_ms: 1500, patience_ms: 3000, value: 1 },
    'tutor-table': { join_target_ms: 800, patience_ms: 4000, value: 3, scale: 1.4 },
  },
  ladder: { kb: [160, 300, 500, 840, 1550], worth: [0.22, 0.42, 0.6, 0.8, 1], switch_cost_ms: 500, stall: 7.5 },
  fleet: { cells: 6, racks: 2, kinds: { three: 34, two: 22 }, kb_per_weight: 5600, uplink_kb: 19000, guard: 1.2,
           note_lag_ms: 800, note_every_ms: 3400, link_figure: 'util', uplink_figure: 'x1' },
  rules: { drain_grace_ms: 2000, warm_within_ms: 10000, start_capacity: 0.3, tip_multiple: 3, fall_ms: 1000 },
  allowed: { tune_ins: 4, hold_off_most_ms: 800 },
  prices: { cross_zone: 0.02, move: 0.2, late: 0.07 },
  titles: { ['deck-%d' % n]: { first_cell: n % 6, cells: 3, view: 'home-practice' } for n in std.range(1, 10) }
        + { ['lesson-%d' % n]: { first_cell: (n * 2) % 6, cells: 4, view: 'tutor-table' } for n in std.range(1, 6) },
}
