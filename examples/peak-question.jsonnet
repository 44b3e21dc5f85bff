// What `flaxscale peak plan` is asked besides what is announced: boxes (one may be started for it), what ordinary
// titles ask (kB a second), how long viewings were lately. Fits examples/boats.jsonnet and examples/catalogue.jsonnet.
local site = import 'boats.jsonnet';
{
  site: site,
  boxes: [{ id: n, link_kb: 6000, rack: n % 3, slots: if n % 2 == 0 then 36 else 24 } for n in std.range(1, 6)]
         + [{ id: 7, link_kb: 6000, rack: 0, slots: 24, spare: true }],
  uplinks: { '0': 18000, '1': 10000, '2': 10000 },
  demand: { 'clip-1': 6000, 'clip-2': 1000, 'lock-cam': 3000, 'tour-1': 4000, 'tour-2': 2500, 'tour-3': 1500 },
  lengths: [20 + 3 * (n % 17) + (n * n) % 11 for n in std.range(1, 60)],
}
