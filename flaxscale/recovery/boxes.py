"""One manager's copy of the box list: full lists, deltas, gaps, restarts, and the last list kept on disk.

The list gives each box's uptime. A manager dates the start of a box by its own clock, once per start, so that a
repeated row does not move the date. No time of another machine is read, since wall clocks jump and differ.
"""

from typing import Literal, NamedTuple

import msgspec

from .. import interface
from ..interface import ListKind, ServerStatus

STATES = {"ready": ServerStatus.READY, "draining": ServerStatus.DRAINING, "gone": ServerStatus.GONE}


class BoxRow(msgspec.Struct):
    """One box in a message of the list."""

    id: int
    address: str  # host:port
    kind: str
    cell: int
    zone: str
    weight: float
    boot: str  # identifies the box process; a new one at each start
    up_ms: float  # uptime of the box when the list was written
    state: Literal["ready", "draining", "gone"]


class ListMessage(msgspec.Struct):
    """A message of the list: all boxes, or those that changed since a version."""

    version: int
    boxes: list[BoxRow]
    since: int | None = None  # of a delta: the version that it applies to


class BoxInstance(NamedTuple):
    """Address of a box, and the process of it that the list knows."""

    host: str
    port: int
    boot: str
    state: ServerStatus
    first_seen_at: int  # when this process was first listed, by our clock


class BoxListError(ValueError):
    """The message can't be used; the present list is kept."""


class BoxTable:
    """Rows of the list by box id."""

    def __init__(self, kinds, zones, cells, warm_within):
        """kinds, zones: {name: number} of the terms. cells: how many there are. warm_within: uptime of a warm box."""
        self.configure(kinds, zones, cells, warm_within)
        self.rows, self.starts, self.instances, self.version = {}, {}, {}, None
        self.updated_at = None

    def configure(self, kinds, zones, cells, warm_within):
        """Sets the settings in force from now on; the present rows must be valid under them."""
        self.kinds, self.zones, self.cells, self.warm_within = kinds, zones, cells, warm_within

    def apply(self, name, text, now):
        """(ListKind, entries) of a `full` or `delta` message, or None where it contains nothing new.

        BoxListError: it can't be decoded, or a delta does not follow the present version; then a full list is needed.
        """
        try:
            message = msgspec.json.decode(text, type=ListMessage)
        except msgspec.MsgspecError as error:
            raise BoxListError(f"the box list sent a {name} message that can't be decoded: {error}") from None
        for row in message.boxes:
            self.check(row)
        if name == "delta":
            if self.version is None or message.since is None or message.since > self.version:
                raise BoxListError(f"a delta since version {message.since} does not apply to version {self.version}")
            if message.version <= self.version:
                return None
        elif name != "full":
            return None
        self.version, self.updated_at = message.version, now
        entries = tuple(self.update(row, now) for row in message.boxes)
        if name == "full":
            named = {row.id for row in message.boxes}
            for id in [id for id in self.rows if id not in named]:
                self.remove(id)
            return ListKind.FULL, entries
        return ListKind.DELTA, entries

    def check(self, row):
        """BoxListError: the row does not fit the terms."""
        if row.kind not in self.kinds:
            raise BoxListError(f"box {row.id}: kind {row.kind!r} is not in the terms")
        if row.zone not in self.zones:
            raise BoxListError(f"box {row.id}: zone {row.zone!r} is not in the terms")
        if not 0 <= row.cell < self.cells:
            raise BoxListError(f"box {row.id}: cell {row.cell} is not below {self.cells}")
        if not 0 <= row.id < 1 << 32 or not row.weight > 0:
            raise BoxListError(f"box {row.id}: id or weight out of range")
        host, _, port = row.address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise BoxListError(f"box {row.id}: address {row.address!r} is not host:port")

    def update(self, row, now):
        """Stores a row, or removes a box that is gone; the entry for the decision module."""
        state = STATES[row.state]
        if state is ServerStatus.GONE:
            self.remove(row.id)
        else:
            self.rows[row.id] = row
            host, _, port = row.address.rpartition(":")
            held = self.instances.get(row.id)
            first_seen_at = held.first_seen_at if held is not None and held.boot == row.boot else now
            self.instances[row.id] = BoxInstance(host, int(port), row.boot, state, first_seen_at)
        return interface.ServerEntry(
            row.id, self.kinds[row.kind], row.cell, self.zones[row.zone], row.weight, self.started_at(row, now), state
        )

    def started_at(self, row, now):
        """When the box started, by our clock; 0 where it is warm already, whatever the exact time."""
        if row.up_ms * 10 >= self.warm_within:
            return 0
        boot, at = self.starts.get(row.id, (None, 0))
        if boot != row.boot:
            at = max(1, now - round(row.up_ms * 10))
            self.starts[row.id] = row.boot, at
        return at

    def remove(self, id):
        """Removes a box."""
        self.rows.pop(id, None)
        self.instances.pop(id, None)
        self.starts.pop(id, None)

    # The last list, for a start while the list service can't be reached

    def dump(self):
        """The present list as a message."""
        return msgspec.json.encode(ListMessage(self.version or 0, list(self.rows.values())))

    def load(self, text, now):
        """(CACHED, entries) of a dumped list. Its version is not adopted: the next full list is taken in any case."""
        _, entries = self.apply("full", text, now)
        self.version = None
        return ListKind.CACHED, entries
