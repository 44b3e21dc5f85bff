"""The journal of idempotency keys: durable at every step, compacted, rejected if damaged; and its commands."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from flaxscale.recovery.journal import SNAPSHOT_EVERY_RECORDS, AnswerRecord, KeyJournal
from flaxscale.store.faulty import Crash, FaultyFiles
from flaxscale.store.files import Files
from flaxscale.store.log import StoreError

ROOT = pathlib.Path(__file__).parents[1]


def record(n, until=1000.0):
    return AnswerRecord(f"m0.{n}-x", n, "one", f"k{n}", n * 7, until, 201, [("Location", f"/session/{n}")], b"v=0")


class Keys(unittest.TestCase):
    def write(self, files):
        """Commits until the disk fails: (names certainly durable, names possibly durable)."""
        durable, possible = set(), set()
        try:
            journal = KeyJournal(files, 0.0)
            for n in range(12):
                possible = durable | {record(n).name}
                journal.put(record(n))
                if n % 3 == 2:
                    journal.end(record(n - 1).name)
                    possible -= {record(n - 1).name}
                journal.commit(0.0)
                durable = set(possible)
                if n == 7:
                    journal.compact(0.0)
        except Crash:
            pass
        return durable, possible

    def test_a_crash_at_any_step_keeps_what_was_committed(self):
        whole = FaultyFiles()
        self.write(whole)
        for at in range(0, whole.steps, 41):
            files = FaultyFiles(crash_at=at)
            durable, possible = self.write(files)
            for disk in files.survivors():
                names = set(KeyJournal(FaultyFiles(disk), 0.0).rows)
                self.assertGreaterEqual(names, durable & possible, at)
                self.assertLessEqual(names, durable | possible, at)

    def test_ended_and_expired_keys_are_dropped_and_a_snapshot_bounds_what_is_read_at_start(self):
        files = FaultyFiles()
        journal = KeyJournal(files, 0.0)
        for n in range(SNAPSHOT_EVERY_RECORDS + 5):
            journal.put(record(n, until=10.0 if n % 2 else 9000.0))
            if n >= 100:
                journal.end(record(n - 100).name)
            if n % 500 == 0:
                journal.commit(5_000.0)
        journal.commit(5_000.0)
        again = KeyJournal(files, 5_000.0)
        self.assertLess(len(again.log.found.records), SNAPSHOT_EVERY_RECORDS)  # of nearly twice as many written
        left = [n for n in range(SNAPSHOT_EVERY_RECORDS - 95, SNAPSHOT_EVERY_RECORDS + 5) if n % 2 == 0]
        self.assertEqual({f"m0.{n}-x" for n in left}, set(again.rows))
        self.assertEqual(record(left[0], until=9000.0), again.rows[f"m0.{left[0]}-x"])

    def test_a_wall_clock_stepped_by_an_hour_between_two_processes_expires_no_key_early(self):
        files = FaultyFiles()
        journal = KeyJournal(files, 10_000.0)
        journal.put(record(1, until=10_300.0))
        journal.commit(10_000.0)
        for step, left in ((3_600.0, 300.0), (-3_600.0, 300.0), (100.0, 200.0)):
            again = KeyJournal(FaultyFiles(files.written), 10_000.0 + step)
            self.assertEqual(left, again.renew(record(1).name, 10_000.0 + step, 300.0), step)
            again.compact(10_000.0 + step)
            self.assertEqual(1, len(again.rows), step)
        self.assertEqual({}, KeyJournal(FaultyFiles(files.written), 20_000.0).rows)  # more than a step of the clock

    def test_damage_is_rejected_and_reported_by_the_commands(self):
        with tempfile.TemporaryDirectory() as folder:
            journal = KeyJournal(Files(folder), 0.0)
            for n in range(5):
                journal.put(record(n, until=4e9))
                journal.commit(0.0)

            def run(command, status=0):
                process = subprocess.run(
                    [sys.executable, "-m", "flaxscale", "journal", command, folder],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
                self.assertEqual(status, process.returncode, process.stdout + process.stderr)
                return process.stdout + process.stderr

            self.assertIn("good: 5 records, no snapshot, 5 after it", run("verify"))
            self.assertEqual(5, len(run("inspect").splitlines()))
            self.assertIn("5 keys kept", run("compact"))
            self.assertIn("snapshot at 5, 0 after it", run("verify"))
            file = next(pathlib.Path(folder).glob("snap-*"))
            data = bytearray(file.read_bytes())
            data[70] ^= 1
            file.write_bytes(data)
            with self.assertRaises(StoreError):
                KeyJournal(Files(folder), 0.0)
            self.assertIn("the snapshot's content is damaged", run("verify", 2))
            self.assertIn("the snapshot's content is damaged", run("inspect", 2))
