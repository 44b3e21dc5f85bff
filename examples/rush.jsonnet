// A rush in virtual time: boxes and managers by --set boxes=150 --set managers=3 (these two have no default), about
// 40 viewings a second on 150 boxes, a crowd in the middle, boxes that die together, late figures.
local n = std.parseInt(std.extVar('boxes'));
local m = std.parseInt(std.extVar('managers'));
local boats = import 'boats.jsonnet';
{
  site: boats {
    managers: m,
    packages+: { 'dock-live'+: { seats: std.max(4, std.floor(1.9 * n / m)) } },
    fleet+: { cells: n, racks: std.max(1, std.floor(n / 8)), uplink_kb: 42000 },
    titles: {
      ['cam-%d' % t]: { first_cell: (t * 7) % n, cells: std.min(n, 12), view: 'dock-live' } for t in std.range(1, std.max(2, std.floor(n / 15)))
    } + {
      ['tour-%d' % t]: { first_cell: (t * 11) % n, cells: std.min(n, 3 + (t % 5)), view: 'boat-tour' } for t in std.range(1, n)
    } + {
      ['clip-%d' % t]: { first_cell: (t * 13) % n, cells: std.min(n, 3 + (t % 4)), view: 'route-clip' } for t in std.range(1, n)
    },
  },
  length_s: 60,
  settle_s: 10,
  boxes: [
    { cell: b, kind: if b % 2 == 0 then 'large' else 'small', zone: boats.zones[b % 3], weight: if b % 2 == 0 then 1.2 else 0.9,
      link_kb: 5200 + 350 * (b % 5) }
    for b in std.range(0, n - 1)
  ],
  demand: {
    rate: 0.27 * n,
    titles: { ['cam-%d' % t]: 9 / t for t in std.range(1, std.max(2, std.floor(n / 15))) }
            + { ['tour-%d' % t]: 6 / t for t in std.range(1, n) } + { ['clip-%d' % t]: 4 / t for t in std.range(1, n) },
    play_s: [20, 50],
  },
  list_late_ms: 1500,
  troubles: [
    { at_s: 15, what: 'crowd', for_s: 20, value: 1.8, titles: ['clip-1', 'cam-1', 'clip-2'] },
    { at_s: 20, what: 'crash', for_s: 12, share: 0.15 },
    { at_s: 25, what: 'report_late', for_s: 12, value: 15000, share: 1 },
    { at_s: 30, what: 'link', for_s: 15, value: 0.4, share: 0.2 },
  ],
}
