// An announced peak in virtual time: `flaxscale peak rehearse examples/peak.jsonnet --set boxes=150 --set managers=3
// --set shift=0 --set percent=100`. Two live cameras are wanted by a crowd for half a minute, `shift` seconds after it
// was announced and `percent` of the size that was. Titles have holders by their demand; boxes that start with the day
// (--set cold=0.1: this part of them) and boxes lost ten seconds before it (--set lost=0.25) are troubles to add.
local rush = import 'rush.jsonnet';
local n = std.parseInt(std.extVar('boxes'));
local cold = std.parseJson(std.extVar('cold')), lost = std.parseJson(std.extVar('lost'));
local start = 35, end = 65, base = 0.17 * n, extra = 0.1 * n;
local wide(t, least) = std.min(n, std.max(least, std.floor(n / (5 * t))));
rush {
  site+: {
    packages+: { 'dock-live'+: { seats: 0 } },
    titles: {
      ['cam-%d' % t]: { first_cell: (t - 1) * std.floor(n / 5) % n, cells: std.floor(n / 5), view: 'dock-live' } for t in std.range(1, 4)
    } + {
      ['tour-%d' % t]: { first_cell: (t * 11) % n, cells: wide(t, 3 + (t % 5)), view: 'boat-tour' } for t in std.range(1, n)
    } + {
      ['clip-%d' % t]: { first_cell: (t * 13) % n, cells: wide(t, 3 + (t % 4)), view: 'route-clip' } for t in std.range(1, n)
    },
  },
  length_s: 85,
  boxes: [super.boxes[b] { cold: b % 100 < 100 * cold } for b in std.range(0, n - 1)],
  demand+: {
    rate: base,
    titles: { ['tour-%d' % t]: 6 / t for t in std.range(1, n) } + { ['clip-%d' % t]: 4 / t for t in std.range(1, n) }
            + { ['cam-%d' % t]: 4 / t for t in std.range(1, 4) },
  },
  troubles: [
    { at_s: start + std.parseInt(std.extVar('shift')), what: 'crowd', for_s: end - start,
      value: 1 + extra * std.parseInt(std.extVar('percent')) / 100 / base, titles: ['cam-1', 'cam-2'] },
  ] + if lost > 0 then [{ at_s: start - 10, what: 'crash', for_s: 60, share: lost }] else [],
  peaks: [{ name: 'eid', titles: ['cam-1', 'cam-2'], start_s: start, end_s: end, rate: extra, ramp_s: 0, length_s: 35, rung: 3 }],
}
