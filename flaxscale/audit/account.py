"""A manager's own account: what it did, in order, under which stamp. On the durable log, bounded, never waited for.

Rows are gathered and written with one write for all of a moment; an answer never waits for them, so that a machine that
loses its power may lose the last of them: they are `unknown` to who judges, not made up. Past MOST that wait, rows are
dropped and their count is put down in their place. Of what is written the last KEEP rows are kept, in two halves. An
account that can't be read is not used and left as it is; a failing disk ends it for this life. Both are said.
"""

import msgspec

from ..store.log import Log
from ..store.shapes import decoded
from .stamp import Stamp

SHAPE = 1
MOST = 10_000  # rows that wait to be written
KEEP = 20_000  # written rows that are kept


class Began(msgspec.Struct, array_like=True, tag="l"):
    """A life of the manager."""

    manager: str
    life: str
    at: int  # tenths of a millisecond of its steady clock, as all times here


class Stamped(msgspec.Struct, array_like=True, tag="s"):
    number: int
    stamp: Stamp
    at: int


class Did(msgspec.Struct, array_like=True, tag="d"):
    """kind: setup, claim, end, rung (key: the set-up's name), answer (key: the viewing's), refusal (key: a trace)."""

    kind: str
    key: str
    box: int  # 0: none
    number: int  # of the stamp
    at: int


class Dropped(msgspec.Struct, array_like=True, tag="x"):
    count: int
    at: int


class Kept(msgspec.Struct, array_like=True):
    shape: int
    rows: list[Began | Stamped | Did | Dropped]


ROW = msgspec.msgpack.Decoder(Began | Stamped | Did | Dropped)


class Account:
    """One writer. put() never raises and never waits; commit() writes."""

    def __init__(self, files):
        """Raises StoreError, ValueError or OSError where what is there can't be used; nothing of it is changed then."""
        self.log = Log(files)
        self.rows, self.waiting, self.dropped, self.lost = rows_in(self.log.found), [], 0, 0
        self.failed = None

    def put(self, row):
        if self.failed is not None or len(self.waiting) >= MOST:
            self.dropped += 1
            self.lost += 1
            return
        if self.dropped:
            self.waiting.append(Dropped(self.dropped, row.at))
            self.dropped = 0
        self.waiting.append(row)

    def commit(self):
        """Writes what waits. False where the disk failed: the account ends there, and further rows are counted."""
        rows, self.waiting = self.waiting, []
        if self.failed is not None or not rows:
            return self.failed is None
        try:
            for row in rows:
                self.log.append(msgspec.msgpack.encode(row))
            self.log.commit()
            self.rows += rows
            if len(self.rows) >= KEEP:
                self.rows = [*heads(self.rows[: -KEEP // 2]), *self.rows[-KEEP // 2 :]]
                self.log.snapshot(msgspec.msgpack.encode(Kept(SHAPE, self.rows)))
        except OSError as bad:
            self.failed = bad
            self.lost += len(rows)
            return False
        return True


def rows_since(account, since=0):
    """Rows of one that is in use, from those at a time on; the lives and stamps before it that they need too."""
    rows = [*account.rows, *account.waiting]
    first = next((n for n, row in enumerate(rows) if row.at >= since), len(rows))
    return [*heads(rows[:first]), *rows[first:]]


def heads(rows):
    """Of rows that go: the last life and the last stamp, under which what stays was done, and how many are gone."""
    last, gone = {}, 0
    for row in rows:
        if isinstance(row, Began):
            last = {Began: row}
        elif isinstance(row, Stamped):
            last[Stamped] = row
        gone += row.count if isinstance(row, Dropped) else isinstance(row, Did)
    return [*last.values(), *([Dropped(gone, rows[-1].at)] if gone else ())]


def rows_in(found):
    """The rows of a store as it was found."""
    rows = list(decoded(found.snapshot, Kept, SHAPE, "account").rows) if found.snapshot is not None else []
    for seq, content in found.records:
        try:
            rows.append(ROW.decode(content))
        except msgspec.MsgspecError as bad:
            raise ValueError(f"record {seq} of the account can't be read: {bad}") from None
    return rows


WHAT = {Began: "life", Stamped: "stamp", Did: "did", Dropped: "dropped"}


def as_plain(row):
    """A row as plain values, for a judge that shares no code with it."""
    made = msgspec.structs.asdict(row)
    if isinstance(row, Stamped):
        made["stamp"] = msgspec.structs.asdict(row.stamp)
    return {"what": WHAT[type(row)], **made}
