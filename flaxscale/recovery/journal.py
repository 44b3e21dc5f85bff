"""Idempotency keys on disk, so that a restarted manager answers a retry as its first try was answered.

What plays is put down at its box and needs no log (docs/recovery.md). What only this manager knows is which key was
answered how. It is durable before the answer leaves, with one sync for all that is answered within a moment; requests
without a key wait for nothing. A record is dropped when its viewing is over or its time is.
"""

import msgspec

from ..store.log import Log
from ..store.shapes import decoded

SHAPE = 1
SNAPSHOT_EVERY_RECORDS = 5_000
# Seconds that wall clocks may step between two lives, either way: a key that looks over by less is kept all the same.
CLOCK_STEP_S = 3_700


class AnswerRecord(msgspec.Struct, array_like=True, tag="p"):
    """A viewing that was answered with 201 under a key."""

    name: str
    viewer: int
    title: str
    key: str
    print: int  # of the offer
    until: float  # Unix seconds: as long as the answer is kept
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class EndRecord(msgspec.Struct, array_like=True, tag="o"):
    name: str


class Snapshot(msgspec.Struct, array_like=True):
    shape: int
    rows: list[AnswerRecord]


class KeyJournal:
    """One writer. put() and over() any number of times, then commit()."""

    def __init__(self, files, now_s):
        """Raises StoreError or ValueError where what is there can't be used; nothing of it is changed then."""
        self.log = Log(files)
        found, self.rows = self.log.found, {}
        if found.snapshot is not None:
            self.rows = {row.name: row for row in decoded(found.snapshot, Snapshot, SHAPE, "journal of keys").rows}
        for _, content in found.records:
            self.take(read_record(content))
        self.rows = {name: row for name, row in self.rows.items() if row.until > now_s - CLOCK_STEP_S}

    def renew(self, name, now_s, keep_s):
        """Seconds that the answer of an earlier life is kept in this one: what was left, as far as clocks can tell.

        Where the wall clock stepped meanwhile, more than the span or less than nothing seems left; then it is the span.
        """
        row = self.rows[name]
        left = row.until - now_s
        if not 0 < left <= keep_s:
            left = keep_s
            row.until = now_s + left
        return left

    def take(self, record):
        if isinstance(record, EndRecord):
            self.rows.pop(record.name, None)
        else:
            self.rows[record.name] = record

    def put(self, row):
        self.take(row)
        self.append(row)

    def end(self, name):
        if name in self.rows:
            self.take(EndRecord(name))
            self.append(EndRecord(name))

    def append(self, record):
        if not self.failed():  # else resume() writes the rows as they are then
            self.log.append(msgspec.msgpack.encode(record))

    def commit(self, now_s):
        """Durable when it returns; OSError: not, and nothing more is taken."""
        self.log.commit()
        # In proportion to what is kept, or a large journal would be written whole again and again.
        if self.log.since_snapshot >= max(SNAPSHOT_EVERY_RECORDS, 2 * len(self.rows)):
            self.compact(now_s)

    def failed(self):
        return self.log.failed is not None

    def resume(self, now_s):
        """After a fault: when it returns all that is kept is durable, answers given meanwhile too; OSError: not yet."""
        self.rows = {name: row for name, row in self.rows.items() if row.until > now_s}
        self.log.resume(msgspec.msgpack.encode(Snapshot(SHAPE, list(self.rows.values()))))

    def compact(self, now_s):
        self.rows = {name: row for name, row in self.rows.items() if row.until > now_s}
        self.log.snapshot(msgspec.msgpack.encode(Snapshot(SHAPE, list(self.rows.values()))))


def read_record(content):
    try:
        return msgspec.msgpack.decode(content, type=AnswerRecord | EndRecord)
    except msgspec.MsgspecError as bad:
        raise ValueError(f"a record of keys that can't be read: {bad}") from None
