// Rehearsals for choirs: boxes that tell their load to probes only, a list without weights, further tune-ins rationed,
// and a package that is paid for at set-up. Two buildings; crossing them costs.
{
  name: 'choir',
  managers: 2,
  zones: ['old-house', 'new-house'],
  packages: {
    'concert-ticket': { join_target_ms: 800, patience_ms: 4000, value: 2, effect: 'unsafe', scale: 1.4 },
    'practice-clip': { join_target_ms: 1000, patience_ms: 4000, value: 1, top: 3 },
  },
  ladder: { kb: [180, 300, 520, 890, 1540], worth: [0.27, 0.48, 0.66, 0.83, 1], switch_cost_ms: 450, stall: 7 },
  fleet: {
    cells: 6, racks: 2, kinds: { 'two-core': 28, 'three-core': 42 }, kb_per_weight: 7300, uplink_kb: 15000,
    note_lag_ms: 1200, note_every_ms: 0, reports: 'probe', weights: 'none',
    link_figure: 'x0', uplink_figure: 'x1', streams_figure: 'inflight',
  },
  rules: {
    drain_grace_ms: 1000, warm_within_ms: 8000, start_capacity: 0.4, tip_multiple: 4, fall_ms: 1500,
    further: { free: 5, share: 0.3, span_ms: 10000 },
  },
  allowed: { tune_ins: 4, probes: true },
  prices: { cross_zone: 0.021, move: 0.054, late: 0.04, peer: 0, probe: 0.009 },
  goal: { whole: 0.6, worst_window: 0.2, worst_package: 0.2 },
  titles: { ['aria-%d' % n]: { first_cell: n % 6, cells: 3, view: 'concert-ticket' } for n in std.range(1, 6) }
    + { ['part-%d' % n]: { first_cell: (n * 2) % 6, cells: 3, view: 'practice-clip' } for n in std.range(1, 8) },
  front: { tokens: ['let-me-listen'], fleet_token: 'between-us' },
}
