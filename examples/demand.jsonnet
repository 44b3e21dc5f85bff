// What `flaxscale catalogue plan` is asked: boxes, uplinks, what each title is expected to ask (kB a second), and how
// many copies may be made. Fits examples/catalogue.jsonnet.
{
  boxes: [{ id: n, link_kb: 6000, rack: n % 3, room: 14 } for n in std.range(1, 6)],
  uplinks: { '0': 10000, '1': 10000, '2': 10000 },
  demand: { 'clip-1': 20000, 'clip-2': 1000, 'quay-cam': 3000, 'tour-1': 1500, 'tour-2': 500 },
  value: { 'quay-cam': 3 },
  moves: 4,
}
