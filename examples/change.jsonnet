// A change set: all of it is made, or none. `flaxscale catalogue edit examples/change.jsonnet --why "..."`.
[
  { type: 'hold', name: 'clip-1', box: 6, state: 'holding' },
  { type: 'hold', name: 'clip-1', box: 2, state: 'leaving' },
  { type: 'rungs', name: 'tour-1', low: 0, top: 3 },
  { type: 'seats', name: 'lock-cam', package: 'dock-live', seats: 10 },
]
