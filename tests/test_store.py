"""The durable log on a disk that crashes at every byte, is full, tears writes or flips bits."""

import random
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flaxscale.store.faulty import Crash, FaultyFiles
from flaxscale.store.files import Files
from flaxscale.store.log import Log, StoreError, verify


def state_of(found):
    """The state in these tests: the list of all contents. A snapshot is that list joined."""
    before = found.snapshot.split(b"|") if found.snapshot else []
    return before + [content for _, content in found.records]


def work(files, acked, tried):
    """Appends, group commits and snapshots. acked: what commit() acknowledged; tried: all that was appended."""
    log = Log(files)
    state = state_of(log.found)
    for n in range(4):
        for m in range(n + 1):
            content = b"%d-%d" % (n, m) + b"x" * (n * 7)
            tried.append(content)
            log.append(content)
            state.append(content)
        log.commit()
        acked[:] = state
        if n in (1, 3):
            log.snapshot(b"|".join(state))


class Crashes(unittest.TestCase):
    def test_a_crash_at_any_byte_loses_nothing_acknowledged_and_leaves_no_partial_record(self):
        whole = FaultyFiles()
        work(whole, [], [])
        self.assertGreater(whole.steps, 500)
        for at in range(whole.steps):
            files, acked, tried = FaultyFiles(crash_at=at), [], []
            with self.assertRaises(Crash):
                work(files, acked, tried)
            for disk in files.survivors():
                found = Log(FaultyFiles(disk)).found
                state = state_of(found)
                self.assertEqual(acked, state[: len(acked)], at)
                self.assertEqual(tried[: len(state)], state, at)  # whole records in order, or none

    def test_a_store_continues_after_a_crash_and_keeps_what_survived(self):
        for at in range(0, 900, 37):
            files = FaultyFiles(crash_at=at)
            try:
                work(files, [], [])
            except Crash:
                pass
            for disk in files.survivors():
                again = FaultyFiles(disk)
                acked = []
                work(again, acked, [])
                self.assertEqual(acked, state_of(Log(FaultyFiles(again.written)).found))

    def test_a_full_disk_and_a_failed_sync_acknowledge_nothing(self):
        for fault in ("room", "failing_sync"):
            files = FaultyFiles()
            log = Log(files)
            log.append(b"good")
            log.commit()
            setattr(files, fault, 30 if fault == "room" else True)
            log.append(b"bad" * 40)
            with self.assertRaises(OSError):
                log.commit()
            with self.assertRaises(OSError):
                log.append(b"more")  # nothing is accepted until the log is opened again
            files.room, files.failing_sync = None, False
            self.assertEqual(b"good", state_of(Log(FaultyFiles(files.written)).found)[0])

    def test_data_of_a_failed_sync_is_never_taken_for_durable(self):
        """After a restart of the process alone, what it reads may be in the page cache only."""
        files = FaultyFiles()
        log = Log(files)
        log.append(b"good")
        log.commit()
        files.failing_sync = True
        log.append(b"unknown")
        with self.assertRaises(OSError):
            log.commit()
        files.failing_sync = False
        again = Log(files)
        again.append(b"acknowledged")
        again.commit()
        # Power loss: what was read at the start and what was acknowledged after it must be there.
        for disk in files.survivors():
            state = state_of(Log(FaultyFiles(disk)).found)
            self.assertEqual([b"good", b"acknowledged"], [row for row in state if row != b"unknown"])

    def test_it_resumes_from_the_owners_state_after_a_fault_and_survives_a_crash_at_each_step(self):
        for fault in ("room", "failing_sync"):
            for at in range(0, 2_000, 7):
                files = FaultyFiles(crash_at=at)
                acked = []
                try:
                    log = Log(files)
                    for content in (b"a", b"b"):
                        log.append(content)
                        log.commit()
                        acked.append(content)
                    setattr(files, fault, 10 if fault == "room" else True)
                    log.append(b"c" * 40)
                    with self.assertRaises(OSError):
                        log.commit()
                    with self.assertRaises(OSError):
                        log.resume(b"|".join(acked))  # the disk still fails
                    files.room, files.failing_sync = None, False
                    log.resume(b"|".join(acked))
                    for content in (b"d", b"e"):
                        log.append(content)
                        log.commit()
                        acked.append(content)
                except Crash:
                    pass
                for disk in files.survivors():
                    state = [row for row in state_of(Log(FaultyFiles(disk)).found) if row != b"c" * 40]
                    self.assertEqual(acked, state[: len(acked)], (fault, at))
            self.assertEqual([b"a", b"b", b"d", b"e"], acked)

    def test_a_flipped_bit_anywhere_is_reported_with_file_and_offset(self):
        files = FaultyFiles()
        work(files, [], [])
        log = Log(files)
        for n in range(3):
            log.append(b"tail-%d" % n)
        log.commit()
        good, random_bit, missed = state_of(Log(FaultyFiles(files.written)).found), random.Random(5), 0
        for name, data in files.written.items():
            for at in range(len(data)):
                disk = {n: bytearray(d) for n, d in files.written.items()}
                disk[name][at] ^= 1 << random_bit.randrange(8)
                try:
                    missed += state_of(Log(FaultyFiles(disk)).found) != good
                except StoreError as bad:
                    self.assertEqual(name, bad.file)
        self.assertEqual(0, missed)

    def test_a_missing_segment_is_reported(self):
        files = FaultyFiles()
        log = Log(files)
        log.append(b"one")
        log.commit()
        log.snapshot(b"one")
        log.append(b"two")
        log.commit()
        disk = {n: d for n, d in files.written.items() if not n.startswith("snap")}
        with self.assertRaisesRegex(StoreError, "records after 0 are missing"):
            Log(FaultyFiles(disk))


class Real(unittest.TestCase):
    def test_on_a_real_folder(self):
        with tempfile.TemporaryDirectory() as folder:
            for n in range(3):
                log = Log(Files(folder))
                self.assertEqual(n, log.seq)
                log.append(b"r%d" % n)
                log.commit()
            log.snapshot(b"r0|r1|r2")
            self.assertEqual([b"r0", b"r1", b"r2"], state_of(Log(Files(folder)).found))
            self.assertEqual((3, 3, 0, 0), verify(Files(folder)))

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.binary(min_size=1, max_size=30).filter(lambda b: b"|" not in b),
                st.sampled_from(["commit", "snapshot", "open"]),
            ),
            max_size=40,
        )
    )
    def test_any_order_of_appends_commits_snapshots_and_starts(self, steps):
        files = FaultyFiles()
        log, state = Log(files), []
        for step in steps:
            if isinstance(step, bytes):
                log.append(step)
                state.append(step)
            elif step == "commit":
                log.commit()
            elif step == "snapshot":
                log.snapshot(b"|".join(state))
            else:
                log.commit()
                log = Log(files)
                self.assertEqual(state, state_of(log.found))
                self.assertEqual(len(state), log.seq)
        log.commit()
        self.assertEqual(state, state_of(Log(files).found))
        self.assertEqual(len(state), verify(files)[0])
