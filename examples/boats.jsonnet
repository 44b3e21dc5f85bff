// A boat hire company: a live dockside camera, recorded tours and short clips. Three managers, twelve boxes.
{
  name: 'boats',
  managers: 3,
  zones: ['quay', 'office', 'yard'],
  packages: {
    'dock-live': { join_target_ms: 1500, patience_ms: 3000, value: 3, floor: 1, seats: 14, live: true },
    'boat-tour': { join_target_ms: 1500, patience_ms: 3000, value: 1, top: 4 },
    'route-clip': { join_target_ms: 800, patience_ms: 3000, value: 1, scale: 0.7 },
    'dock-push': { join_target_ms: 2000, patience_ms: 5000, value: 5, effect: 'unsafe', live: true, top: 2 },
  },
  ladder: { kb: [190, 320, 560, 900, 1500], worth: [0.25, 0.45, 0.65, 0.85, 1], switch_cost_ms: 600, stall: 7, join: 0.3 },
  fleet: {
    cells: 6, racks: 3, kinds: { small: 24, large: 36 }, kb_per_weight: 6000, uplink_kb: 20000,
    note_lag_ms: 700, note_every_ms: 2500, link_figure: 'x0',
  },
  rules: { drain_grace_ms: 1000, warm_within_ms: 8000, start_capacity: 0.35, tip_multiple: 3, fall_ms: 1000 },
  allowed: { tune_ins: 5, hold_off_most_ms: 900 },
  titles: {
    'quay-cam': { first_cell: 0, cells: 4, view: 'dock-live', push: 'dock-push' },
    'lock-cam': { first_cell: 3, cells: 3, view: 'dock-live', push: 'dock-push' },
  } + {
    ['tour-%d' % n]: { first_cell: n % 6, cells: 3 + n % 3, view: 'boat-tour' } for n in std.range(1, 8)
  } + {
    ['clip-%d' % n]: { first_cell: (n * 2) % 6, cells: 3, view: 'route-clip' } for n in std.range(1, 8)
  },
  front: { tokens: ['let-me-watch'], fleet_token: 'between-us' },
}
