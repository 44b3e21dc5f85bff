"""Reads the events of the bulletin (server discovery), numbered and in order, each applied once. No I/O."""

import msgspec

from ..interface import ListKind, ServerEntry, ServerStatus
from ..jsonl.messages import server_number
from .starttimes import StartTimes

STATES = {"SERVING": ServerStatus.READY, "DRAINING": ServerStatus.DRAINING, "DELETED": ServerStatus.GONE}


class UnreadableEvent(ValueError):
    """A line is not an event, or an event is missing before it; the connection must be reopened."""


class Server(msgspec.Struct):
    """A server's row as the bulletin sends it."""

    id: str
    addr: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float = 1.0
    started_ms: float = 0


class Roster(msgspec.Struct):
    """The changed servers of one event, or the full list."""

    servers: list[Server]
    full: bool = False


class Event(msgspec.Struct):
    """One numbered line of the bulletin."""

    no: int
    roster: Roster | None = None


EVENT = msgspec.json.Decoder(Event)


class ListUpdate(msgspec.Struct):
    """One event converted to the decision module's terms."""

    kind: ListKind
    entries: tuple
    addresses: dict  # server number -> (host, port)


class Bulletin:
    """Event state under one configuration; `previous` is the state under the replaced configuration."""

    def __init__(self, config, now, previous=None):
        self.config, self.now, self.dropped_rows = config, now, 0
        self.last_number = previous.last_number if previous else 0
        self.start_times = previous.start_times if previous else StartTimes()
        # Whether updates are received as they happen; a first list may hold servers that started long before.
        self.following = previous is not None

    def read_configured(self, known):
        """Returns the list updates of a configuration's events, skipping those applied already."""
        updates = []
        for item in known.items:
            try:
                event = msgspec.convert(item, Event)
            except msgspec.ValidationError as error:
                raise UnreadableEvent(f"known: {error}") from None
            if event.no > self.last_number and event.roster:
                self.last_number = event.no
                updates.append(self.list_update(event.roster))
        self.last_number = max(self.last_number, known.no)
        self.following = True
        return updates

    def receive(self, line):
        """The ListUpdate of a line, or None if it was applied already; UnreadableEvent if one before it is missing."""
        try:
            line = line.strip()
            event = Event(int(line)) if line.isdigit() else EVENT.decode(line)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise UnreadableEvent(str(error)) from None
        if event.no <= self.last_number:
            return None
        if event.roster is None or event.no > self.last_number + 1:
            raise UnreadableEvent(f"event {self.last_number + 1} is missing before {event.no}")
        update, self.last_number = self.list_update(event.roster), event.no
        return update

    def list_update(self, roster):
        """Converts a roster, dropping rows that can't be read."""
        entries, addresses = [], {}
        for row in roster.servers:
            number, (host, _, port) = server_number(row.id), row.addr.partition(":")
            if number < 0 or row.state not in STATES or not port.isdigit() or not 0 <= row.cell:
                self.dropped_rows += 1
                continue
            # An unknown zone counts as another than the manager's own; an unknown kind gets the first kind's slots.
            zone = self.config.zones.index(row.zone) if row.zone in self.config.zones else len(self.config.zones)
            kind = self.config.kinds.index(row.kind) if row.kind in self.config.kinds else 0
            state = STATES[row.state]
            started_at = self.start_times.start_time(number, row.started_ms, self.now(), self.following)
            if state is ServerStatus.GONE:
                self.start_times.remove(number)
            entries.append(ServerEntry(number, kind, row.cell, zone, row.weight, started_at, state))
            addresses[number] = host, int(port)
        return ListUpdate(ListKind.FULL if roster.full else ListKind.DELTA, tuple(entries), addresses)
