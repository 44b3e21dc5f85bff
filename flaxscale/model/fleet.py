"""Boxes, their racks and the server list in virtual time. A box's behaviour is standins.box.Box, as on sockets."""

from collections import defaultdict

from .. import interface
from ..interface import ListKind, ServerStatus
from ..lab.shapes import link_of
from ..leases.fence import Fence
from ..standins.box import Box, Place


class ModelBox:
    """One box: the stand-in without sockets, the load of its rack, and its load reports."""

    def __init__(self, fleet, place, started_at):
        self.fleet, self.place, self.dead, self.boot = fleet, place, False, 0
        self.counted_load, self.box = None, None
        self.lease_fence = Fence()  # on disk, so it outlives the box's process
        self.start(started_at)

    def start(self, started_at):
        self.boot += 1
        self.dead = False
        self.box = Box(self.place, self.fleet.site, str(self.boot), started_at, self.fleet.seed, self.fleet.set_up_time)
        self.box.uplink_kb = self.fleet.uplinks[self.place.rack]
        self.update_load()

    def update_load(self):
        """Recomputes the load of the box's link and adds the difference to its rack."""
        if self.counted_load is not None:
            self.fleet.rack_load[self.place.rack] -= self.counted_load
        self.counted_load = 0.0 if self.dead else self.box.demand_kb()
        self.fleet.rack_load[self.place.rack] += self.counted_load

    def read_rack(self):
        self.box.other_rack_kb = max(0.0, self.fleet.rack_load[self.place.rack] - self.counted_load)
        self.box.uplink_kb = self.fleet.uplinks[self.place.rack]

    def delivered(self, now):
        self.read_rack()
        return 0.0 if self.dead else self.box.delivered_share(now)

    def figures(self, now):
        self.read_rack()
        return self.box.load_figures(now)


class Fleet:
    """All boxes, and the server list, which delivers their changes to managers with a delay."""

    def __init__(self, world, day, site, sense, send):
        """send(sender, receiver, delay, callback, *args): delivers along the network path between them."""
        self.world, self.day, self.site, self.sense, self.send = world, day, site, sense, send
        self.seed, self.set_up_time = world.seed, round(day.work_ms * 10)
        fleet = day.site.fleet
        self.uplinks = dict.fromkeys(range(fleet.racks), fleet.uplink_kb)
        self.rack_load = defaultdict(float)
        self.boxes, self.managers, self.list_delay, self.list_frozen, self.version = (
            {},
            [],
            round(day.list_late_ms * 10),
            False,
            0,
        )
        self.fallen = 0
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
        self.listed_entries = {id: self.entry_of(box) for id, box in self.boxes.items()}

    def entry_of(self, box):
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

    def update_list(self, box):
        """Updates the list entry of a box and sends it to every manager after the list's delay."""
        row = self.entry_of(box)
        if self.listed_entries.get(box.place.id) != row:
            self.listed_entries[box.place.id] = row
            self.version += 1
            self.world.call_later(self.list_delay, self.publish, row)

    def publish(self, row):
        if self.list_frozen:
            self.world.call_later(5_000, self.publish, row)
            return
        for manager in self.managers:
            self.send("list", manager.name, 0, self.deliver_entry, manager, row)

    def deliver_entry(self, manager, row):
        if manager.up and not manager.deferred_by_stall(self.deliver_entry, manager, row):
            manager.known_servers[row.server] = row
            manager.runner.server_list_changed(ListKind.DELTA, [row])
            manager.list_changed([row])

    def full_list(self):
        return [row for row in self.listed_entries.values() if row.state is not ServerStatus.GONE]
