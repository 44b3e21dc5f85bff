"""A manager's account: its actions in order, each with the stamp that was in force, on a bounded durable log.

Rows are written in batches and no answer waits for them, so a machine that loses power may lose the last ones. The
check of the accounts then reports those actions as `unknown`. Beyond MAX_WAITING waiting rows further ones are dropped,
and a row with their count takes their place. The last KEEP written rows are kept; half of them are removed at a time.
An account that can't be read is left as it is and not used; a failing disk ends it for this life. Both are logged.
"""

import msgspec

from ..store.log import Log
from ..store.shapes import decoded
from .stamp import Stamp

SHAPE = 1  # number of the stored form
MAX_WAITING = 10_000  # rows that wait to be written
KEEP = 20_000  # written rows that are kept


class Began(msgspec.Struct, array_like=True, tag="l"):
    """A life of the manager."""

    manager: str
    life: str
    at: int  # tenths of a millisecond of its steady clock, as all times here


class Stamped(msgspec.Struct, array_like=True, tag="s"):
    """A stamp that is in force from this time on."""

    number: int
    stamp: Stamp
    at: int


class Did(msgspec.Struct, array_like=True, tag="d"):
    """An action. kind: setup, claim, end, rung (key: of the set-up), answer (of the viewing) refusal (a trace)."""

    kind: str
    key: str
    box: int  # 0: none
    number: int  # of the stamp
    at: int


class Dropped(msgspec.Struct, array_like=True, tag="x"):
    """Stands for rows that were dropped."""

    count: int
    at: int


class Kept(msgspec.Struct, array_like=True):
    """A snapshot of the rows."""

    shape: int
    rows: list[Began | Stamped | Did | Dropped]


ROW = msgspec.msgpack.Decoder(Began | Stamped | Did | Dropped)


class Account:
    """The account of one manager. put() never raises and never waits; commit() writes."""

    def __init__(self, files):
        """Raises StoreError, ValueError or OSError where the stored account can't be used; it is not changed then."""
        self.log = Log(files)
        self.rows, self.waiting, self.dropped, self.lost = rows_in(self.log.found), [], 0, 0
        self.failed = None

    def put(self, row):
        """Adds a row to those that wait, or drops it where too many wait or the disk failed."""
        if self.failed is not None or len(self.waiting) >= MAX_WAITING:
            self.dropped += 1
            self.lost += 1
            return
        if self.dropped:
            self.waiting.append(Dropped(self.dropped, row.at))
            self.dropped = 0
        self.waiting.append(row)

    def commit(self):
        """Writes the waiting rows. False where the disk failed: the account ends, and further rows are only counted."""
        rows, self.waiting = self.waiting, []
        if self.failed is not None or not rows:
            return self.failed is None
        try:
            for row in rows:
                self.log.append(msgspec.msgpack.encode(row))
            self.log.commit()
            self.rows += rows
            if len(self.rows) >= KEEP:
                self.rows = [*replacement_rows(self.rows[: -KEEP // 2]), *self.rows[-KEEP // 2 :]]
                self.log.snapshot(msgspec.msgpack.encode(Kept(SHAPE, self.rows)))
        except OSError as bad:
            self.failed = bad
            self.lost += len(rows)
            return False
        return True


def rows_since(account, since=0):
    """Rows of an open account from a time on, with the life and stamp in force before them."""
    rows = [*account.rows, *account.waiting]
    first = next((n for n, row in enumerate(rows) if row.at >= since), len(rows))
    return [*replacement_rows(rows[:first]), *rows[first:]]


def replacement_rows(rows):
    """What replaces removed rows: their last life and stamp, which later rows need, and a Dropped with their count."""
    last, removed = {}, 0
    for row in rows:
        if isinstance(row, Began):
            last = {Began: row}
        elif isinstance(row, Stamped):
            last[Stamped] = row
        removed += row.count if isinstance(row, Dropped) else isinstance(row, Did)
    return [*last.values(), *([Dropped(removed, rows[-1].at)] if removed else ())]


def rows_in(found):
    """The rows of a store. found: store.log.Found. ValueError where they can't be decoded."""
    rows = list(decoded(found.snapshot, Kept, SHAPE, "account").rows) if found.snapshot is not None else []
    for seq, content in found.records:
        try:
            rows.append(ROW.decode(content))
        except msgspec.MsgspecError as bad:
            raise ValueError(f"record {seq} of the account can't be decoded: {bad}") from None
    return rows


WHAT = {Began: "life", Stamped: "stamp", Did: "did", Dropped: "dropped"}


def as_plain(row):
    """A row as plain values, for checks that share no code with this module."""
    fields = msgspec.structs.asdict(row)
    if isinstance(row, Stamped):
        fields["stamp"] = msgspec.structs.asdict(row.stamp)
    return {"what": WHAT[type(row)], **fields}
