// Clips at chargers: every box holds every clip, links tell how full they are in answers and notes, the list has sizes,
// boxes say full while their link is over asked, and refused viewers are told when to come back.
{
  name: 'chargers',
  managers: 2,
  zones: ['north', 'south'],
  packages: {
    'tech-signoff': { join_target_ms: 1000, patience_ms: 5000, value: 2, effect: 'unsafe', scale: 1.2 },
    'driver-howto': { join_target_ms: 1500, patience_ms: 4000, value: 1, scale: 0.7 },
  },
  ladder: { kb: [180, 270, 420, 640, 980, 1500], worth: [0.23, 0.41, 0.57, 0.72, 0.86, 1], switch_cost_ms: 650,
            stall: 8 },
  fleet: {
    cells: 6, racks: 2, kinds: { 'three-core': 42 }, kb_per_weight: 8000, uplink_kb: 28000, guard: 1.2,
    note_lag_ms: 900, note_every_ms: 3700, link_figure: 'x0',
  },
  rules: { drain_grace_ms: 250, warm_within_ms: 8000, start_capacity: 0.4, tip_multiple: 4, fall_ms: 3000 },
  allowed: { tune_ins: 3, hold_off_most_ms: 2000 },
  prices: { cross_zone: 0.037, move: 0.2, late: 0.05, peer: 0, probe: 0.014 },
  titles: { ['clip-%d' % n]: { first_cell: 0, cells: 6, view: if n % 3 == 0 then 'tech-signoff' else 'driver-howto' }
            for n in std.range(1, 9) },
  front: { tokens: ['let-me-charge'], fleet_token: 'between-us' },
}
