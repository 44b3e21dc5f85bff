"""Boxes, their racks and the list in virtual time. What a box does is standins.box.Box, as on sockets."""

from collections import defaultdict

from .. import interface
from ..interface import ListKind, ServerStatus
from ..lab.shapes import link_of
from ..leases.fence import Fence
from ..standins.box import Box, Place


class ModelBox:
    """One box: the pure stand-in, what its rack asks besides, and what it tells."""

    def __init__(self, fleet, place, started_at):
        self.fleet, self.place, self.dead, self.boot = fleet, place, False, 0
        self.cached, self.box = None, None
        self.leases = Fence()  # it outlives the box's process: it is on its disk
        self.start(started_at)

    def start(self, started_at):
        self.boot += 1
        self.dead = False
        self.box = Box(self.place, self.fleet.site, str(self.boot), started_at, self.fleet.seed, self.fleet.work)
        self.box.uplink_kb = self.fleet.uplinks[self.place.rack]
        self.changed()

    def changed(self):
        """Something that it asks of its link has changed."""
        if self.cached is not None:
            self.fleet.racks[self.place.rack] -= self.cached
        self.cached = 0.0 if self.dead else self.box.demand_kb()
        self.fleet.racks[self.place.rack] += self.cached

    def see_rack(self):
        self.box.other_rack_kb = max(0.0, self.fleet.racks[self.place.rack] - self.cached)
        self.box.uplink_kb = self.fleet.uplinks[self.place.rack]

    def delivered(self, now):
        self.see_rack()
        return 0.0 if self.dead else self.box.delivered_share(now)

    def figures(self, now):
        self.see_rack()
        return self.box.load_figures(now)


class Fleet:
    """All boxes, and the list that tells of them late. managers: those who are told."""

    def __init__(self, world, day, site, sense, send):
        """send(from, to, span, act, *args): by the ways between parties."""
        self.world, self.day, self.site, self.sense, self.send = world, day, site, sense, send
        self.seed, self.work = world.seed, round(day.work_ms * 10)
        fleet = day.site.fleet
        self.uplinks = dict.fromkeys(range(fleet.racks), fleet.uplink_kb)
        self.racks = defaultdict(float)
        self.boxes, self.managers, self.late, self.frozen, self.version = {}, [], round(day.list_late_ms * 10), False, 0
        self.fell = 0
        for n, row in enumerate(day.boxes):
            place = Place(
                n + 1,
                row.cell,
                row.cell % fleet.racks,
                row.zone,
                row.kind,
                row.weight,
                link_of(day, row),
                fleet.kinds[row.kind],
            )
            started = world.now if row.cold else world.now - 3 * site.warm_within
            self.boxes[n + 1] = ModelBox(self, place, started)
        self.told = {id: self.row(box) for id, box in self.boxes.items()}

    def row(self, box):
        place, age = box.place, self.world.now - box.box.started_at
        state = (
            ServerStatus.GONE if box.dead else ServerStatus.DRAINING if box.box.trouble.drain else ServerStatus.READY
        )
        started = 0 if age >= self.site.warm_within else box.box.started_at
        return interface.ServerEntry(
            place.id,
            self.sense.kinds[place.kind],
            place.cell,
            self.sense.zones[place.zone],
            place.weight,
            started,
            state,
        )

    def changed(self, box):
        """The list hears of it, and tells every manager as late as it is."""
        row = self.row(box)
        if self.told.get(box.place.id) != row:
            self.told[box.place.id] = row
            self.version += 1
            self.world.later(self.late, self.tell, row)

    def tell(self, row):
        if self.frozen:
            self.world.later(5_000, self.tell, row)
            return
        for manager in self.managers:
            self.send("list", manager.name, 0, self.tell_one, manager, row)

    def tell_one(self, manager, row):
        if manager.up and not manager.stands(self.tell_one, manager, row):
            manager.told[row.server] = row
            manager.runner.server_list_changed(ListKind.DELTA, [row])
            manager.listed([row])

    def full(self):
        return [row for row in self.told.values() if row.state is not ServerStatus.GONE]
