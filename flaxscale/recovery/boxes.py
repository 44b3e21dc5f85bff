"""The box list as one manager holds it: full lists, deltas, gaps, restarts, and the last list kept on disk.

The list names boxes with their age; a manager's own clock dates their start, once a start, so that a row that
comes again moves nothing. Against wall clocks that jump and differ: no time of another machine is read.
"""

from typing import Literal, NamedTuple

import msgspec

from .. import interface
from ..interface import ListKind, ServerStatus

STATES = {"ready": ServerStatus.READY, "draining": ServerStatus.DRAINING, "gone": ServerStatus.GONE}


class Row(msgspec.Struct):
    """One box as the list tells it."""

    id: int
    address: str  # host:port
    kind: str
    cell: int
    zone: str
    weight: float
    boot: str  # another one at each start of the box
    up_ms: float  # how long it had been up when the list was written
    state: Literal["ready", "draining", "gone"]


class Told(msgspec.Struct):
    """A message of the list: all boxes, or those that changed since a version."""

    version: int
    boxes: list[Row]
    since: int | None = None  # of a delta: the version that it changes


class BoxInstance(NamedTuple):
    """Where a box is reached, and which start of it the list knows."""

    host: str
    port: int
    boot: str
    state: ServerStatus
    first_seen_at: int  # when this start of it was first heard of, by our clock


class BoxListError(ValueError):
    """The message can't be used; the list that stands is kept."""


class BoxTable:
    """Keeps rows by id. `kinds` and `zones` give the terms' numbers of names; cells is their count."""

    def __init__(self, kinds, zones, cells, warm_within):
        self.configure(kinds, zones, cells, warm_within)
        self.rows, self.starts, self.instances, self.version = {}, {}, {}, None
        self.updated_at = None

    def configure(self, kinds, zones, cells, warm_within):
        """Goes by these settings from now on; the rows that stand fit them."""
        self.kinds, self.zones, self.cells, self.warm_within = kinds, zones, cells, warm_within

    def apply(self, name, text, now):
        """(ListKind, entries) of a `full` or `delta` message, or None where it says nothing new.

        BoxListError: it can't be read, or a delta does not follow what we hold; then only a full list helps.
        """
        try:
            told = msgspec.json.decode(text, type=Told)
        except msgspec.MsgspecError as bad:
            raise BoxListError(f"the box list sent a {name} that can't be read: {bad}") from None
        for row in told.boxes:
            self.check(row)
        if name == "delta":
            if self.version is None or told.since is None or told.since > self.version:
                raise BoxListError(f"a delta since {told.since} on version {self.version}")
            if told.version <= self.version:
                return None
        elif name != "full":
            return None
        self.version, self.updated_at = told.version, now
        entries = tuple(self.listed(row, now) for row in told.boxes)
        if name == "full":
            named = {row.id for row in told.boxes}
            for id in [id for id in self.rows if id not in named]:
                self.drop(id)
            return ListKind.FULL, entries
        return ListKind.DELTA, entries

    def check(self, row):
        if row.kind not in self.kinds:
            raise BoxListError(f"box {row.id}: the kind {row.kind!r} is none of the terms'")
        if row.zone not in self.zones:
            raise BoxListError(f"box {row.id}: the zone {row.zone!r} is none of the terms'")
        if not 0 <= row.cell < self.cells:
            raise BoxListError(f"box {row.id}: cell {row.cell} is not under {self.cells}")
        if not 0 <= row.id < 1 << 32 or not row.weight > 0:
            raise BoxListError(f"box {row.id}: id or weight out of range")
        host, _, port = row.address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise BoxListError(f"box {row.id}: the address {row.address!r} is no host:port")

    def listed(self, row, now):
        state = STATES[row.state]
        if state is ServerStatus.GONE:
            self.drop(row.id)
        else:
            self.rows[row.id] = row
            host, _, port = row.address.rpartition(":")
            held = self.instances.get(row.id)
            since = held.first_seen_at if held is not None and held.boot == row.boot else now
            self.instances[row.id] = BoxInstance(host, int(port), row.boot, state, since)
        return interface.ServerEntry(
            row.id, self.kinds[row.kind], row.cell, self.zones[row.zone], row.weight, self.started_at(row, now), state
        )

    def started_at(self, row, now):
        """When it started by our clock; 0 where it is warm already, whatever the exact time."""
        if row.up_ms * 10 >= self.warm_within:
            return 0
        boot, at = self.starts.get(row.id, (None, 0))
        if boot != row.boot:
            at = max(1, now - round(row.up_ms * 10))
            self.starts[row.id] = row.boot, at
        return at

    def drop(self, id):
        self.rows.pop(id, None)
        self.instances.pop(id, None)
        self.starts.pop(id, None)

    # The last list, for a start without the service

    def dump(self):
        return msgspec.json.encode(Told(self.version or 0, list(self.rows.values())))

    def load(self, text, now):
        """(CACHED, entries) of a kept list. The version is not taken over: the next full list counts."""
        _, entries = self.apply("full", text, now)
        self.version = None
        return ListKind.CACHED, entries
