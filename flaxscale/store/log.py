"""A durable log: records in order, durable once committed, with snapshots that let old records go.

Files of one store, by the number of a record (seq):
  log-SEQ    segment: its records are those after SEQ. 16 bytes of head: magic, SEQ
  snap-SEQ   snapshot of the state after record SEQ: magic, SEQ, length, checksum, content
A record: length (u32), checksum of length and seq (u32), seq (u64), checksum of seq and content (u64), content.

What a crash can leave is a last segment that ends early, or in zeros: that is a torn tail, was never committed, and
is cut. Anything else that does not read is damage: it is reported with file and offset and never passed over, since
records after it may have been acknowledged. A length that was flipped is told from a torn one by its own checksum.
"""

import struct
from typing import NamedTuple

import xxhash

MAGIC_LOG = b"FLXLOG1\n"  # first 8 bytes of a segment
MAGIC_SNAP = b"FLXSNP1\n"  # first 8 bytes of a snapshot
HEAD = struct.Struct("<8sQ")
RECORD = struct.Struct("<IIQQ")
SNAP = struct.Struct("<8sQQQ")
LARGEST = 1 << 28


class StoreError(Exception):
    """file, offset and what is wrong there."""

    def __init__(self, file, offset, detail):
        super().__init__(f"{file}: byte {offset}: {detail}")
        self.file, self.offset = file, offset


class Found(NamedTuple):
    """What a store held when it was opened."""

    seq: int  # of the last record
    snapshot: bytes | None
    snapshot_seq: int
    records: list  # (seq, content) after the snapshot
    cut: int  # bytes of a torn tail that were cut


def head_check(length, seq):
    return xxhash.xxh32_intdigest(struct.pack("<IQ", length, seq))


def body_check(seq, content):
    return xxhash.xxh3_64_intdigest(struct.pack("<Q", seq) + content)


def record(seq, content):
    return RECORD.pack(len(content), head_check(len(content), seq), seq, body_check(seq, content)) + content


def log_name(seq):
    return f"log-{seq:016d}"


def snap_name(seq):
    return f"snap-{seq:016d}"


def numbered(names, kind):
    out = []
    for name in names:
        if name.startswith(kind) and name[len(kind) :].isdigit():
            out.append((int(name[len(kind) :]), name))
    return sorted(out)


def read_snapshot(name, data):
    if len(data) < SNAP.size:
        raise StoreError(name, 0, "a snapshot without its head")
    magic, seq, length, check = SNAP.unpack_from(data)
    if magic != MAGIC_SNAP:
        raise StoreError(name, 0, "not a snapshot of this format")
    content = data[SNAP.size :]
    if len(content) != length or body_check(seq, content) != check:
        raise StoreError(name, SNAP.size, "the snapshot's content is damaged")
    return seq, content


def read_segment(name, data, seq, last):
    """(records, good size): those after seq, in order; a torn tail of the last segment is left out of the size."""
    if len(data) < HEAD.size or not any(data):
        if last and (len(data) < HEAD.size or not any(data)):
            return [], 0  # it had just been begun
        raise StoreError(name, 0, "a segment without its head")
    magic, first = HEAD.unpack_from(data)
    if magic != MAGIC_LOG or first != seq:
        raise StoreError(name, 0, "not a segment of this format, or not the one of its name")
    at, out = HEAD.size, []
    while at < len(data):
        torn = last and not any(data[at:])
        if len(data) - at < RECORD.size or torn:
            if last:
                break
            raise StoreError(name, at, "a record that ends early before another segment")
        length, head, number, check = RECORD.unpack_from(data, at)
        if head_check(length, number) != head or length > LARGEST:
            if last and not any(data[at + 8 :]):
                break  # the head itself was torn and its rest is zeros
            raise StoreError(name, at, "a record's head is damaged")
        if number != seq + 1:
            raise StoreError(name, at, f"record {number} where {seq + 1} belongs")
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
    """Whether its end may never have reached the disk: a block that was not written reads as zeros."""
    return content[-8:] == bytes(min(8, len(content))) if content else False


class Log:
    """append() then commit(): what commit() returned from is durable. One writer."""

    def __init__(self, files):
        self.files, self.pending, self.failed = files, [], None
        self.found = self.open()
        self.seq = self.committed = self.found.seq
        self.since_snapshot = len(self.found.records)

    def open(self):
        files, names, cut = self.files, self.files.names(), 0
        for name in names:
            if name.endswith(".part"):
                files.remove(name)  # a snapshot that was never finished
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
            needed = [older[-1], *needed]  # the snapshot stands, its own segment was not begun yet
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
                self.make_sure(name, data[:good], cut)
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

    def make_sure(self, name, good, cut):
        """Puts what was read of the last segment on the disk before anything is built on it.

        What is read may be in the page cache alone: a sync that failed marks pages as clean, and neither a later sync
        nor a look at the file tells that they never arrived. Only what is written and synced anew is known to be there.
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
        """After a fault: takes records again, from this state, which has to hold all that was acknowledged.

        Raises OSError while the disk still fails. The state goes into a snapshot under a number after all that may
        have reached the disk, so that nothing of what failed is ever read again.
        """
        self.pending = []
        before, self.failed = self.failed, None
        seq = self.seq + 1
        part, name, fresh = snap_name(seq) + ".part", snap_name(seq), log_name(seq)
        try:
            self.begin_from(part, name, fresh, seq, content)
        except OSError:
            self.failed, self.seq = before, seq  # the number is not used again
            raise
        self.seq = self.committed = seq
        self.since_snapshot = 0

    def begin_from(self, part, name, fresh, seq, content):
        """A snapshot and an empty segment after it; then what was before goes."""
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
        """Takes a record; returns its seq. Durable only after the next commit()."""
        if self.failed:
            raise self.failed
        if len(content) > LARGEST:
            raise ValueError(f"a record of {len(content)} bytes; {LARGEST} at most")
        self.seq += 1
        self.pending.append(record(self.seq, content))
        return self.seq

    def commit(self):
        """Makes all that was appended durable, in one write and one sync. OSError: none of it was.

        After an error nothing more is taken: what reached the disk is not known, and a second sync may say yes for
        pages that the first one lost. resume() goes on from the owner's state.
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
        """The state after the last committed record: older records and snapshots go.

        Order matters at a crash: the snapshot is whole under its own name before a new segment begins, and that is
        there before anything old is removed.
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
    """What a store holds, without changing it: (last seq, snapshot seq or None, records after it, torn bytes)."""
    names = files.names()
    snaps, logs = numbered(names, "snap-"), numbered(names, "log-")
    base = read_snapshot(snaps[-1][1], files.read(snaps[-1][1]))[0] if snaps else 0
    seq, count, torn = base, 0, 0
    wanted = [(s, n) for s, n in logs if s >= base] or logs[-1:]
    for n, (first, name) in enumerate(wanted):
        data = files.read(name)
        found, good = read_segment(name, data, first, n == len(wanted) - 1)
        torn = len(data) - good
        count += sum(s > base for s, _ in found)
        seq = max([seq, *(s for s, _ in found)])
    return seq, base if snaps else None, count, torn
