"""What the bulletin tells, line by line: numbered events in order, each once. No socket."""

import msgspec

from ..interface import ListKind, ServerEntry, ServerStatus
from ..jsonl.messages import server_number
from .starttimes import StartTimes

STATES = {"SERVING": ServerStatus.READY, "DRAINING": ServerStatus.DRAINING, "DELETED": ServerStatus.GONE}


class Unreadable(ValueError):
    """A line that is no event, or one that came too early: the connection is to be made anew."""


class Server(msgspec.Struct):
    id: str
    addr: str
    zone: str
    kind: str
    cell: int
    state: str
    weight: float = 1.0
    started_ms: float = 0


class Roster(msgspec.Struct):
    servers: list[Server]
    full: bool = False


class Event(msgspec.Struct):
    no: int
    roster: Roster | None = None


EVENT = msgspec.json.Decoder(Event)


class News(msgspec.Struct):
    """One event in our words."""

    kind: ListKind
    entries: tuple
    addresses: dict  # server: (host, port)


class Bulletin:
    """The events of discovery under one configuration; `before`: those heard under the one before it."""

    def __init__(self, config, now, before=None):
        self.config, self.now, self.dropped = config, now, 0
        self.last = before.last if before else 0
        self.starts = before.starts if before else StartTimes()
        self.followed = before is not None  # what comes is heard as it changes; else it is what stood before we did

    def known(self, known):
        """The events that a configuration brings; those that were had are passed over."""
        found = []
        for item in known.items:
            try:
                event = msgspec.convert(item, Event)
            except msgspec.ValidationError as bad:
                raise Unreadable(f"known: {bad}") from None
            if event.no > self.last and event.roster:
                self.last = event.no
                found.append(self.news(event.roster))
        self.last = max(self.last, known.no)
        self.followed = True
        return found

    def take(self, line):
        """News, or None: nothing new. A number ahead of what came means that something is missing."""
        try:
            line = line.strip()
            event = Event(int(line)) if line.isdigit() else EVENT.decode(line)
        except (msgspec.MsgspecError, ValueError, RecursionError) as bad:
            raise Unreadable(str(bad)) from None
        if event.no <= self.last:
            return None
        if event.roster is None or event.no > self.last + 1:
            raise Unreadable(f"event {self.last + 1} is missing before {event.no}")
        news, self.last = self.news(event.roster), event.no
        return news

    def news(self, roster):
        entries, addresses = [], {}
        for row in roster.servers:
            number, (host, _, port) = server_number(row.id), row.addr.partition(":")
            if number < 0 or row.state not in STATES or not port.isdigit() or not 0 <= row.cell:
                self.dropped += 1
                continue
            # A zone or kind that the settings don't name: another zone than ours, and the first kind's places.
            zone = self.config.zones.index(row.zone) if row.zone in self.config.zones else len(self.config.zones)
            kind = self.config.kinds.index(row.kind) if row.kind in self.config.kinds else 0
            state = STATES[row.state]
            started_at = self.starts.of(number, row.started_ms, self.now(), self.followed)
            if state is ServerStatus.GONE:
                self.starts.forget(number)
            entries.append(ServerEntry(number, kind, row.cell, zone, row.weight, started_at, state))
            addresses[number] = host, int(port)
        return News(ListKind.FULL if roster.full else ListKind.DELTA, tuple(entries), addresses)
