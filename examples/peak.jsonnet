// An announced peak in virtual time: `flaxscale model run examples/peak.jsonnet --set boxes=150 --set managers=3`.
// Two live cameras are wanted by a crowd for half a minute, `shift` seconds after it was announced and `percent` of the
// size that was (--set shift=0 --set percent=100: as announced).
local rush = import 'rush.jsonnet';
local n = std.parseInt(std.extVar('boxes'));
local start = 35, end = 65, extra = 0.15 * n;
rush {
  site+: { packages+: { 'dock-live'+: { seats: 0 } } },
  length_s: 85,
  demand+: { rate: 0.2 * n, titles: { [t]: rush.demand.titles[t] for t in std.objectFields(rush.demand.titles) if !std.startsWith(t, 'cam-') } + { ['cam-%d' % t]: 4 / t for t in std.range(1, std.max(2, std.floor(n / 15))) } },
  troubles: [
    { at_s: start + std.parseInt(std.extVar('shift')), what: 'crowd', for_s: end - start,
      value: 1 + extra * std.parseInt(std.extVar('percent')) / 100 / (0.2 * n), titles: ['cam-1', 'cam-2'] },
  ],
  peaks: [{ name: 'eid', titles: ['cam-1', 'cam-2'], start_s: start, end_s: end, rate: extra, ramp_s: 0, length_s: 35, rung: 2 }],
}
