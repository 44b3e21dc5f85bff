"""Who grants: one process with a durable log. What it tells is durable before. No I/O.

- **Tokens only grow.** Each new holder of a piece gets one that no other grant ever had; a renewal keeps its own. The
  count is durable before a token is told.
- **Spans are not durable.** After a start nothing is granted anew until the longest span, with its drift, has passed:
  whatever an earlier life granted is over by then, also what a store that was put back from an older copy knows nothing
  of. Whoever still holds may renew at once, by its own word: while it holds, nobody else was granted that piece.
- **A store put back** knows an older count. So each start counts on from an era: the seconds of the Unix epoch, times
  2 ** 20, where that is more; no two starts share one unless the clock was put back as well. (It decides nothing: it
  makes numbers that differ.) Then whoever asks names the highest token that it ever heard of, and the count goes beyond
  it; what nobody living had heard of is refused where it would be used, so that nothing acts twice, only late. A token
  is good together with its owner: the same number given out twice is two tokens to every fence.

Times are tenths of a millisecond of the granter's steady clock.
"""

from typing import NamedTuple

import msgspec

from ..store.shapes import decoded

SHAPE = 1
ERA_BITS = 20  # tokens that one start may give out before it meets the next second's
HISTORY = 1_000  # grants and ends that are remembered to be shown


class Row(NamedTuple):
    """The last holder of a piece. owner: a manager in one life, "m3.1f2e"."""

    owner: str
    token: int
    until: int  # kept for it so long, by our clock


class Granted(NamedTuple):
    piece: str
    token: int
    new: bool  # to be made durable before it is told


class Busy(NamedTuple):
    piece: str
    owner: str  # empty: nothing is granted yet after a start
    token: int
    left: int  # until it is worth asking again


class Event(NamedTuple):
    piece: str
    what: str  # granted, given, taken on
    owner: str
    token: int


class Kept(msgspec.Struct, array_like=True):
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
    def __init__(self, tasks, now, count=0, rows=(), past=(), opened=None):
        """tasks: {name: Task}. rows: {piece: Row}. opened: from when on something new may be granted."""
        self.tasks, self.count, self.rows, self.past = tasks, count, dict(rows), list(past)
        longest = max((task.granter_span() for task in tasks.values()), default=0)
        self.opened = now + longest if opened is None else opened

    # What is asked

    def request(self, piece, owner, token, now):
        """A grant for `owner`, who says that it holds the piece under this token (0: it does not). Granted or Busy."""
        task, row = self.task(piece), self.rows.get(piece)
        if task is None:
            return Busy(piece, "", 0, 1 << 40)
        self.observe_token(token)
        mine = row is not None and (row.owner, row.token) == (owner, token)
        if token and (mine or row is None or token > row.token and now < self.opened):
            # It holds it still. Where our row is older or none our store was put back, and this is news.
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
        """Its holder needs it no longer and acts no more: True where that is new."""
        row = self.rows.get(piece)
        if row is None or (row.owner, row.token) != (owner, token) or row.until <= now:
            return False
        self.rows[piece] = row._replace(until=now)
        self.add_event(piece, "given", owner, token)
        return True

    def observe_token(self, token):
        """A token that somebody knows of: no later grant has one as low."""
        self.count = max(self.count, token)

    def start_era(self, wall_s):
        """This life counts from here on."""
        self.count = max(self.count, int(wall_s) << ERA_BITS)

    def task(self, piece):
        return self.tasks.get(piece.partition("/")[0])

    def good(self, piece, owner, token):
        """Whether an act under this token is the last holder's."""
        row = self.rows.get(piece)
        return row is not None and (row.owner, row.token) == (owner, token)

    def add_event(self, piece, what, owner, token):
        self.past = [*self.past[-HISTORY + 1 :], Event(piece, what, owner, token)]

    # What is durable

    def record(self):
        """The last event, for the log."""
        last = self.past[-1]
        return msgspec.msgpack.encode(Record(SHAPE, self.count, last.piece, last.what, last.owner, last.token))

    def replay(self, data, now):
        """A record of an earlier life. ValueError: not of this program's making."""
        row = decoded(data, Record, SHAPE, "grant")
        self.count = max(self.count, row.count)
        self.rows[row.piece] = Row(row.owner, row.token, now)
        self.add_event(row.piece, row.what, row.owner, row.token)

    def dump(self):
        return msgspec.msgpack.encode(
            Kept(
                SHAPE, self.count, {p: (r.owner, r.token) for p, r in self.rows.items()}, [tuple(e) for e in self.past]
            )
        )

    def load(self, data, now):
        kept = decoded(data, Kept, SHAPE, "state of leases")
        self.count = kept.count
        self.rows = {p: Row(owner, token, now) for p, (owner, token) in kept.rows.items()}
        self.past = [Event(*e) for e in kept.past]
