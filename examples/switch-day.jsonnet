// Settings change in service and change back, with set-ups out at both moments and answers being lost: boxes that tell
// of themselves by notes, then managers that probe, go by places for sizes, and ration further tune-ins more tightly.
local choir = import 'choir.jsonnet';
local before = choir {
  fleet+: { note_every_ms: 6000, reports: 'answers', weights: 'sizes' },
  allowed+: { probes: false },
  rules+: { further: { free: 8, share: 0.5, span_ms: 10000 } },
};
{
  site: before,
  after: choir,
  length_s: 9,
  settle_s: 1,
  work_ms: 120,
  boxes: [
    { cell: n, kind: if n % 2 == 0 then 'two-core' else 'three-core', zone: choir.zones[n % 2], weight: 1 }
    for n in std.range(0, 5)
  ],
  demand: {
    rate: 12,
    titles: { ['aria-%d' % n]: 2 / n for n in std.range(1, 6) } + { ['part-%d' % n]: 3 / n for n in std.range(1, 8) },
    play_s: [1, 4],
  },
  troubles: [
    { at_s: 1, what: 'answer_lost', for_s: 6, value: 0.3, share: 0.5 },
    { at_s: 3, what: 'settings', for_s: 3 },
  ],
}
