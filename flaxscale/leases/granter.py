"""The granter of leases: one process with a durable log, which stores each change before it answers. No I/O.

- **Tokens only grow.** Each new holder of a piece gets a token that no other grant ever had; a renewal keeps it. The
  count is durable before a token is sent.
- **Spans are not durable.** After a start nothing new is granted until the longest span, with its drift, has passed.
  By then all grants of an earlier life are over, also those that a store restored from an older copy does not contain.
  A manager that still holds a lease may renew it at once on its own statement, as nobody else was granted that piece
  meanwhile.
- **A restored store** has an older count. So each start continues from an era, the seconds of the Unix epoch times
  2 ** 20, where that is larger; two starts share an era only if the clock was set back as well. (The clock decides
  nothing, it only makes tokens differ.) A request also carries the highest token that its sender knows, and the count
  continues above it. A token that no living manager knew of is refused where it would be used, so that acts are late
  but never done twice. A token is valid only together with its owner: to a fence, one number given out to two owners
  is two tokens.

Times are tenths of a millisecond of the granter's steady clock.
"""

from typing import NamedTuple

import msgspec

from ..store.shapes import decoded

SHAPE = 1  # number of the stored form
ERA_BITS = 20  # 2 ** 20 tokens a second of Unix time, before one start reaches the era of a later one
HISTORY = 1_000  # events that are kept for display


class Row(NamedTuple):
    """The last holder of a piece. owner: a manager in one life, as in "m3.1f2e"."""

    owner: str
    token: int
    until: int  # the piece is reserved for the owner until then, by the granter's clock


class Granted(NamedTuple):
    """The answer to a request that is granted."""

    piece: str
    token: int
    new: bool  # it must be durable before the answer is sent


class Busy(NamedTuple):
    """The answer to a request that is refused."""

    piece: str
    owner: str  # empty: nothing is granted yet after a start
    token: int
    left: int  # time until the piece may be free


class Event(NamedTuple):
    """A change of a piece's holder."""

    piece: str
    what: str  # granted, given (released), taken on (renewed by its holder's statement), released (by an operator)
    owner: str
    token: int


class Kept(msgspec.Struct, array_like=True):
    """The stored form of a Granter."""

    shape: int
    count: int
    rows: dict[str, tuple[str, int]]  # piece: (owner, token)
    past: list[tuple[str, str, str, int]]


class Record(msgspec.Struct, array_like=True):
    """One change in the log."""

    shape: int
    count: int
    piece: str
    what: str
    owner: str
    token: int


class Granter:
    """The leases of all pieces."""

    def __init__(self, tasks, now, count=0, rows=(), past=(), opened=None):
        """tasks: {name: Task}. rows: {piece: Row}. opened: from when on new grants are made."""
        self.tasks, self.count, self.rows, self.past = tasks, count, dict(rows), list(past)
        longest = max((task.granter_span() for task in tasks.values()), default=0)
        self.opened = now + longest if opened is None else opened

    # Requests

    def request(self, piece, owner, token, now):
        """Granted or Busy. token: the one under which `owner` states that it holds the piece; 0: it does not."""
        task, row = self.task(piece), self.rows.get(piece)
        if task is None:
            return Busy(piece, "", 0, 1 << 40)
        self.observe_token(token)
        mine = row is not None and (row.owner, row.token) == (owner, token)
        if token and (mine or row is None or token > row.token and now < self.opened):
            # It still holds the piece. Where the row is older or missing the store was restored, and this is new to it.
            self.rows[piece] = Row(owner, token, now + task.granter_span())
            if not mine:
                self.add_event(piece, "taken on", owner, token)
            return Granted(piece, token, not mine)
        if row is not None and row.until > now and row.owner != owner:
            return Busy(piece, row.owner, row.token, row.until - now)
        if now < self.opened:
            return Busy(piece, "", 0, self.opened - now)
        self.count += 1
        self.rows[piece] = Row(owner, self.count, now + task.granter_span())
        self.add_event(piece, "granted", owner, self.count)
        return Granted(piece, self.count, True)

    def release(self, piece, owner, token, now):
        """Releases a piece whose holder no longer acts on it; True where that is new."""
        row = self.rows.get(piece)
        if row is None or (row.owner, row.token) != (owner, token) or row.until <= now:
            return False
        self.rows[piece] = row._replace(until=now)
        self.add_event(piece, "given", owner, token)
        return True

    def observe_token(self, token):
        """Takes a token that a manager knows: later grants have higher ones."""
        self.count = max(self.count, token)

    def start_era(self, wall_s):
        """Continues the count from the era of this time in seconds."""
        self.count = max(self.count, int(wall_s) << ERA_BITS)

    def task(self, piece):
        """The piece's Task, or None."""
        return self.tasks.get(piece.partition("/")[0])

    def good(self, piece, owner, token):
        """Whether owner and token are those of the last holder."""
        row = self.rows.get(piece)
        return row is not None and (row.owner, row.token) == (owner, token)

    def add_event(self, piece, what, owner, token):
        """Adds to the history."""
        self.past = [*self.past[-HISTORY + 1 :], Event(piece, what, owner, token)]

    # Storage

    def record(self):
        """The last event, as bytes for the log."""
        last = self.past[-1]
        return msgspec.msgpack.encode(Record(SHAPE, self.count, last.piece, last.what, last.owner, last.token))

    def replay(self, data, now):
        """Applies a record of an earlier life. ValueError where it can't be decoded."""
        row = decoded(data, Record, SHAPE, "grant")
        self.count = max(self.count, row.count)
        self.rows[row.piece] = Row(row.owner, row.token, now)
        self.add_event(row.piece, row.what, row.owner, row.token)

    def dump(self):
        """The whole state, as bytes for a snapshot."""
        return msgspec.msgpack.encode(
            Kept(
                SHAPE, self.count, {p: (r.owner, r.token) for p, r in self.rows.items()}, [tuple(e) for e in self.past]
            )
        )

    def load(self, data, now):
        """Replaces the state by a stored one. ValueError where it can't be decoded."""
        kept = decoded(data, Kept, SHAPE, "state of leases")
        self.count = kept.count
        self.rows = {p: Row(owner, token, now) for p, (owner, token) in kept.rows.items()}
        self.past = [Event(*e) for e in kept.past]
