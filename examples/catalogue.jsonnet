// A catalogue for examples/boats.jsonnet: who holds what. `flaxscale catalogue put examples/catalogue.jsonnet`.
{
  titles: {
    'quay-cam': { view: 'dock-live', push: 'dock-push', codecs: ['H264', 'opus'], holders: [1, 2, 3, 4] },
    'lock-cam': { view: 'dock-live', push: 'dock-push', codecs: ['H264', 'opus'], holders: [4, 5, 6], seats: { 'dock-live': 8 } },
  } + {
    ['tour-%d' % n]: { view: 'boat-tour', codecs: ['H264'], holders: [n % 6 + 1, (n + 1) % 6 + 1, (n + 3) % 6 + 1] }
    for n in std.range(1, 8)
  } + {
    ['clip-%d' % n]: { view: 'route-clip', top: 3, holders: [n % 6 + 1, (n + 2) % 6 + 1, (n + 3) % 6 + 1] }
    for n in std.range(1, 8)
  },
}
