"""A durable log: records in order, durable once committed, with snapshots that replace old records.

Files of one store, by the number of a record (seq):
  log-SEQ    segment with the records after SEQ. Header of 16 bytes: magic, SEQ
  snap-SEQ   snapshot of the state after record SEQ: magic, SEQ, length, checksum, content
A record: length (u32), checksum of length and seq (u32), seq (u64), checksum of seq and content (u64), content.

A crash can leave a last segment that ends early or in zeros. That is a torn tail, which was never committed and is cut
off. Anything else that can't be read is damage: it is reported with file and offset and never skipped, since records
after it may have been acknowledged. The checksum of the length tells a damaged length from a torn record.
"""

import struct
from typing import NamedTuple

import xxhash

MAGIC_LOG = b"FLXLOG1\n"  # first 8 bytes of a segment
MAGIC_SNAP = b"FLXSNP1\n"  # first 8 bytes of a snapshot
HEAD = struct.Struct("<8sQ")
RECORD = struct.Struct("<IIQQ")
SNAP = struct.Struct("<8sQQQ")
MAX_RECORD = 1 << 28  # bytes of one record's content


class StoreError(Exception):
    """A damaged file: its name, the offset and what is wrong there."""

    def __init__(self, file, offset, detail):
        super().__init__(f"{file}: byte {offset}: {detail}")
        self.file, self.offset = file, offset


class Found(NamedTuple):
    """The content of a store when it was opened."""

    seq: int  # of the last record
    snapshot: bytes | None
    snapshot_seq: int
    records: list  # (seq, content) after the snapshot
    cut: int  # bytes of a torn tail that were cut off


def head_check(length, seq):
    """The checksum of a record's header."""
    return xxhash.xxh32_intdigest(struct.pack("<IQ", length, seq))


def body_check(seq, content):
    """The checksum of a record's or snapshot's content."""
    return xxhash.xxh3_64_intdigest(struct.pack("<Q", seq) + content)


def record(seq, content):
    """The bytes of one record."""
    return RECORD.pack(len(content), head_check(len(content), seq), seq, body_check(seq, content)) + content


def log_name(seq):
    """The file name of a segment."""
    return f"log-{seq:016d}"


def snap_name(seq):
    """The file name of a snapshot."""
    return f"snap-{seq:016d}"


def numbered(names, kind):
    """[(seq, name)] of the file names that begin with `kind`, sorted."""
    out = []
    for name in names:
        if name.startswith(kind) and name[len(kind) :].isdigit():
            out.append((int(name[len(kind) :]), name))
    return sorted(out)


def read_snapshot(name, data):
    """(seq, content) of a snapshot file."""
    if len(data) < SNAP.size:
        raise StoreError(name, 0, "a snapshot without its header")
    magic, seq, length, check = SNAP.unpack_from(data)
    if magic != MAGIC_SNAP:
        raise StoreError(name, 0, "not a snapshot of this format")
    content = data[SNAP.size :]
    if len(content) != length or body_check(seq, content) != check:
        raise StoreError(name, SNAP.size, "the snapshot's content is damaged")
    return seq, content


def read_segment(name, data, seq, last):
    """([(seq, content)], size) of the records of a segment. The size leaves out a torn tail of the last segment."""
    if len(data) < HEAD.size or not any(data):
        if last and (len(data) < HEAD.size or not any(data)):
            return [], 0  # a crash interrupted its creation
        raise StoreError(name, 0, "a segment without its header")
    magic, first = HEAD.unpack_from(data)
    if magic != MAGIC_LOG or first != seq:
        raise StoreError(name, 0, "not a segment of this format, or of another number than its name's")
    at, out = HEAD.size, []
    while at < len(data):
        torn = last and not any(data[at:])
        if len(data) - at < RECORD.size or torn:
            if last:
                break
            raise StoreError(name, at, "a record that ends early before another segment")
        length, head, number, check = RECORD.unpack_from(data, at)
        if head_check(length, number) != head or length > MAX_RECORD:
            if last and not any(data[at + 8 :]):
                break  # the header itself is torn and its rest is zeros
            raise StoreError(name, at, "a record's header is damaged")
        if number != seq + 1:
            raise StoreError(name, at, f"record {number} where {seq + 1} is expected")
        content = data[at + RECORD.size : at + RECORD.size + length]
        if len(content) < length:
            if last:
                break
            raise StoreError(name, at, "a record that ends early before another segment")
        if body_check(number, content) != check:
            if last and at + RECORD.size + length == len(data) and zero_tail(content):
                break
            raise StoreError(name, at, "a record's content is damaged")
        out.append((number, content))
        seq, at = number, at + RECORD.size + length
    return out, at


def zero_tail(content):
    """Whether the end of a record's content may not have reached the disk: unwritten blocks read as zeros."""
    return content[-8:] == bytes(min(8, len(content))) if content else False


class Log:
    """One writer's log. Appended records are durable once commit() has returned."""

    def __init__(self, files):
        self.files, self.pending, self.failed = files, [], None
        self.found = self.open()
        self.seq = self.committed = self.found.seq
        self.since_snapshot = len(self.found.records)

    def open(self):
        """Reads the store, cuts off a torn tail and removes files that are not needed; Found."""
        files, names, cut = self.files, self.files.names(), 0
        for name in names:
            if name.endswith(".part"):
                files.remove(name)  # an unfinished snapshot
        snaps, logs = numbered(names, "snap-"), numbered(names, "log-")
        snapshot, base = None, 0
        if snaps:
            base, content = read_snapshot(snaps[-1][1], files.read(snaps[-1][1]))
            if base != snaps[-1][0]:
                raise StoreError(snaps[-1][1], 8, "a snapshot of another number than its name's")
            snapshot = content
        needed = [(seq, name) for seq, name in logs if seq >= base]
        older = [(seq, name) for seq, name in logs if seq < base]
        if older and not any(seq == base for seq, _ in needed):
            needed = [older[-1], *needed]  # the snapshot exists, but no segment was begun after it
        if needed and needed[0][0] > base:
            raise StoreError(needed[0][1], 0, f"records after {base} are missing")
        records, seq = [], needed[0][0] if needed else base
        for n, (first, name) in enumerate(needed):
            if first != seq:
                raise StoreError(name, 0, f"records {seq + 1} to {first} are missing")
            last, data = n == len(needed) - 1, files.read(name)
            found, good = read_segment(name, data, first, last)
            records += found
            if found:
                seq = found[-1][0]
            if last:
                cut = len(data) - good
                self.rewrite_segment(name, data[:good], cut)
                self.segment, self.size = name, good
        if not needed:
            self.segment, self.size = log_name(base), 0
        if self.size == 0:
            files.append(self.segment, HEAD.pack(MAGIC_LOG, base if not needed else needed[-1][0]))
            files.sync(self.segment)
            files.sync_folder()
            self.size = HEAD.size
        for at, name in snaps[:-1]:
            files.remove(name)
        for first, name in older:
            if (first, name) not in needed:
                files.remove(name)
        return Found(max(seq, base), snapshot, base, [(n, c) for n, c in records if n > base], cut)

    def rewrite_segment(self, name, good, cut):
        """Writes the content of the last segment to the disk again before records are appended to it.

        It may be in the page cache only: a failed sync marks pages as clean, and neither a later sync nor reading the
        file shows that they never reached the disk. Only data that is written and synced again is known to be there.
        """
        files = self.files
        if len(good) > HEAD.size:
            part = name + ".part"
            files.append(part, good)
            files.sync(part)
            files.close(name)
            files.rename(part, name)
        elif cut:
            files.truncate(name, len(good))

    def resume(self, content):
        """Accepts records again after a fault, from this state, which must contain all acknowledged records.

        Raises OSError while the disk still fails. The state is stored as a snapshot with a number after all records
        that may have reached the disk, so that none of the failed ones is ever read.
        """
        self.pending = []
        before, self.failed = self.failed, None
        seq = self.seq + 1
        part, name, fresh = snap_name(seq) + ".part", snap_name(seq), log_name(seq)
        try:
            self.start_from_snapshot(part, name, fresh, seq, content)
        except OSError:
            self.failed, self.seq = before, seq  # the number is not used again
            raise
        self.seq = self.committed = seq
        self.since_snapshot = 0

    def start_from_snapshot(self, part, name, fresh, seq, content):
        """Writes a snapshot and an empty segment after it, then removes older files."""
        files = self.files
        if part in files.names():
            files.close(part)
            files.remove(part)
        files.append(part, SNAP.pack(MAGIC_SNAP, seq, len(content), body_check(seq, content)) + content)
        files.sync(part)
        files.rename(part, name)
        files.append(fresh, HEAD.pack(MAGIC_LOG, seq))
        files.sync(fresh)
        files.sync_folder()
        files.close(self.segment)
        self.segment, self.size = fresh, HEAD.size
        for _, old in numbered(files.names(), "log-") + numbered(files.names(), "snap-"):
            if old not in (name, fresh):
                files.remove(old)

    def append(self, content):
        """Adds a record and returns its seq. It is durable only after the next commit()."""
        if self.failed:
            raise self.failed
        if len(content) > MAX_RECORD:
            raise ValueError(f"a record of {len(content)} bytes; {MAX_RECORD} at most")
        self.seq += 1
        self.pending.append(record(self.seq, content))
        return self.seq

    def commit(self):
        """Makes all appended records durable with one write and one sync. After an OSError none may be relied on.

        After an error nothing more is accepted: what reached the disk is not known, and a second sync may succeed for
        pages that the first one lost. resume() continues from the owner's state.
        """
        if self.failed:
            raise self.failed
        if not self.pending:
            return self.committed
        data, self.pending = b"".join(self.pending), []
        try:
            self.files.append(self.segment, data)
            self.files.sync(self.segment)
        except OSError as bad:
            self.failed = bad
            raise
        self.size += len(data)
        self.since_snapshot += self.seq - self.committed
        self.committed = self.seq
        return self.committed

    def snapshot(self, content):
        """Stores the state after the last committed record, and removes older records and snapshots.

        The order matters at a crash: the snapshot is complete under its own name before a new segment begins, and the
        segment exists before any old file is removed.
        """
        if self.pending:
            self.commit()
        if self.failed:
            raise self.failed
        seq, files = self.committed, self.files
        name, part = snap_name(seq), snap_name(seq) + ".part"
        if name in files.names():
            return
        try:
            files.append(part, SNAP.pack(MAGIC_SNAP, seq, len(content), body_check(seq, content)) + content)
            files.sync(part)
            files.rename(part, name)
            old = [n for _, n in numbered(files.names(), "log-") + numbered(files.names(), "snap-") if n != name]
            fresh = log_name(seq)
            if fresh not in old:
                files.append(fresh, HEAD.pack(MAGIC_LOG, seq))
                files.sync(fresh)
                files.sync_folder()
                files.close(self.segment)
                self.segment, self.size = fresh, HEAD.size
            for n in old:
                if n != fresh:
                    files.remove(n)
        except OSError as bad:
            self.failed = bad
            raise
        self.since_snapshot = 0


def verify(files):
    """Reads a store without changing it: (last seq, snapshot seq or None, records after it, torn bytes)."""
    names = files.names()
    snaps, logs = numbered(names, "snap-"), numbered(names, "log-")
    base = read_snapshot(snaps[-1][1], files.read(snaps[-1][1]))[0] if snaps else 0
    seq, count, torn = base, 0, 0
    needed = [(s, n) for s, n in logs if s >= base] or logs[-1:]
    for n, (first, name) in enumerate(needed):
        data = files.read(name)
        found, good = read_segment(name, data, first, n == len(needed) - 1)
        torn = len(data) - good
        count += sum(s > base for s, _ in found)
        seq = max([seq, *(s for s, _ in found)])
    return seq, base if snaps else None, count, torn
