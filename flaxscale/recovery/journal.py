"""Idempotency keys on disk, so that a restarted manager answers a retry as the original request was answered.

The sessions themselves are recorded at their boxes and need no journal (docs/recovery.md). Only the manager knows how
each key was answered. That is durable before the answer is sent, with one sync for all answers of a short interval;
requests without a key don't wait. A record is dropped when its viewing has ended or its retention time is over.
"""

import msgspec

from ..store.log import Log
from ..store.shapes import decoded

FORMAT_VERSION = 1
SNAPSHOT_EVERY_RECORDS = 5_000
# Seconds that the wall clock may step between two processes, in either direction: a key that seems to have expired by
# less is kept.
MAX_CLOCK_STEP_S = 3_700


class AnswerRecord(msgspec.Struct, array_like=True, tag="p"):
    """A viewing that was answered with 201 under a key."""

    name: str
    viewer: int
    title: str
    key: str
    print: int  # digest of the offer
    until: float  # Unix seconds: how long the answer is kept
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class EndRecord(msgspec.Struct, array_like=True, tag="o"):
    """The end of a viewing."""

    name: str


class Snapshot(msgspec.Struct, array_like=True):
    """All records that are kept."""

    shape: int
    rows: list[AnswerRecord]


class KeyJournal:
    """Has one writer, which calls put() and end() any number of times, then commit()."""

    def __init__(self, files, now_s):
        """Raises StoreError or ValueError where the stored data can't be used; it is left unchanged then."""
        self.log = Log(files)
        found, self.rows = self.log.found, {}
        if found.snapshot is not None:
            self.rows = {
                row.name: row for row in decoded(found.snapshot, Snapshot, FORMAT_VERSION, "journal of keys").rows
            }
        for _, content in found.records:
            self.apply(read_record(content))
        self.rows = {name: row for name, row in self.rows.items() if row.until > now_s - MAX_CLOCK_STEP_S}

    def renew(self, name, now_s, keep_s):
        """Seconds that an answer given by an earlier process is kept by this one: the remaining time, if plausible.

        Where the wall clock was stepped in between, the remaining time may be over keep_s or negative; keep_s is then
        used instead.
        """
        row = self.rows[name]
        left = row.until - now_s
        if not 0 < left <= keep_s:
            left = keep_s
            row.until = now_s + left
        return left

    def apply(self, record):
        """Applies a record to the rows in memory."""
        if isinstance(record, EndRecord):
            self.rows.pop(record.name, None)
        else:
            self.rows[record.name] = record

    def put(self, row):
        """Adds an answered viewing."""
        self.apply(row)
        self.append(row)

    def end(self, name):
        """Removes a viewing that has ended."""
        if name in self.rows:
            self.apply(EndRecord(name))
            self.append(EndRecord(name))

    def append(self, record):
        """Appends a record to the log."""
        if not self.failed():  # after a failure resume() writes all rows as they are by then
            self.log.append(msgspec.msgpack.encode(record))

    def commit(self, now_s):
        """Makes all records durable. OSError: they are not, and the log takes no more records."""
        self.log.commit()
        # In proportion to the rows kept: otherwise a large journal would be rewritten as a whole again and again.
        if self.log.since_snapshot >= max(SNAPSHOT_EVERY_RECORDS, 2 * len(self.rows)):
            self.compact(now_s)

    def failed(self):
        """Whether the log failed and takes no records until resume()."""
        return self.log.failed is not None

    def resume(self, now_s):
        """Makes all rows durable after a failure, including answers given meanwhile. OSError: not yet."""
        self.rows = {name: row for name, row in self.rows.items() if row.until > now_s}
        self.log.resume(msgspec.msgpack.encode(Snapshot(FORMAT_VERSION, list(self.rows.values()))))

    def compact(self, now_s):
        """Writes the rows that are still kept as one snapshot."""
        self.rows = {name: row for name, row in self.rows.items() if row.until > now_s}
        self.log.snapshot(msgspec.msgpack.encode(Snapshot(FORMAT_VERSION, list(self.rows.values()))))


def read_record(content):
    """A record of the log. ValueError: it can't be decoded."""
    try:
        return msgspec.msgpack.decode(content, type=AnswerRecord | EndRecord)
    except msgspec.MsgspecError as error:
        raise ValueError(f"journal of keys: a record can't be decoded: {error}") from None
