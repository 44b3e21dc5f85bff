"""The journal of keys: durable at every step, compacted, refused where it is damaged; its commands."""

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


def played(n, until=1000.0):
    return AnswerRecord(f"m0.{n}-x", n, "one", f"k{n}", n * 7, until, 201, [("Location", f"/session/{n}")], b"v=0")


class Keys(unittest.TestCase):
    def course(self, files):
        """Commits until the disk stops: (names durable for certain, names that may be)."""
        sure, maybe = set(), set()
        try:
            made = KeyJournal(files, 0.0)
            for n in range(12):
                maybe = sure | {played(n).name}
                made.put(played(n))
                if n % 3 == 2:
                    made.end(played(n - 1).name)
                    maybe -= {played(n - 1).name}
                made.commit(0.0)
                sure = set(maybe)
                if n == 7:
                    made.compact(0.0)
        except Crash:
            pass
        return sure, maybe

    def test_a_crash_at_any_step_keeps_what_was_committed(self):
        whole = FaultyFiles()
        self.course(whole)
        for at in range(0, whole.steps, 41):
            files = FaultyFiles(crash_at=at)
            sure, maybe = self.course(files)
            for disk in files.survivors():
                names = set(KeyJournal(FaultyFiles(disk), 0.0).rows)
                self.assertGreaterEqual(names, sure & maybe, at)
                self.assertLessEqual(names, sure | maybe, at)

    def test_what_is_over_goes_and_a_snapshot_bounds_what_a_start_reads(self):
        files = FaultyFiles()
        made = KeyJournal(files, 0.0)
        for n in range(SNAPSHOT_EVERY_RECORDS + 5):
            made.put(played(n, until=10.0 if n % 2 else 9000.0))
            if n >= 100:
                made.end(played(n - 100).name)
            if n % 500 == 0:
                made.commit(5_000.0)
        made.commit(5_000.0)
        again = KeyJournal(files, 5_000.0)
        self.assertLess(len(again.log.found.records), SNAPSHOT_EVERY_RECORDS)  # of nearly twice as many
        left = [n for n in range(SNAPSHOT_EVERY_RECORDS - 95, SNAPSHOT_EVERY_RECORDS + 5) if n % 2 == 0]
        self.assertEqual({f"m0.{n}-x" for n in left}, set(again.rows))
        self.assertEqual(played(left[0], until=9000.0), again.rows[f"m0.{left[0]}-x"])

    def test_a_wall_clock_that_stepped_an_hour_between_two_lives_ends_no_key_early(self):
        files = FaultyFiles()
        made = KeyJournal(files, 10_000.0)
        made.put(played(1, until=10_300.0))
        made.commit(10_000.0)
        for step, left in ((3_600.0, 300.0), (-3_600.0, 300.0), (100.0, 200.0)):
            again = KeyJournal(FaultyFiles(files.written), 10_000.0 + step)
            self.assertEqual(left, again.renew(played(1).name, 10_000.0 + step, 300.0), step)
            again.compact(10_000.0 + step)
            self.assertEqual(1, len(again.rows), step)
        self.assertEqual({}, KeyJournal(FaultyFiles(files.written), 20_000.0).rows)  # that is no step

    def test_damage_is_refused_and_named_and_the_commands_say_so(self):
        with tempfile.TemporaryDirectory() as folder:
            made = KeyJournal(Files(folder), 0.0)
            for n in range(5):
                made.put(played(n, until=4e9))
                made.commit(0.0)

            def say(command, status=0):
                done = subprocess.run(
                    [sys.executable, "-m", "flaxscale", "journal", command, folder],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
                self.assertEqual(status, done.returncode, done.stdout + done.stderr)
                return done.stdout + done.stderr

            self.assertIn("good: 5 records, no snapshot, 5 after it", say("verify"))
            self.assertEqual(5, len(say("inspect").splitlines()))
            self.assertIn("5 keys kept", say("compact"))
            self.assertIn("snapshot at 5, 0 after it", say("verify"))
            file = next(pathlib.Path(folder).glob("snap-*"))
            data = bytearray(file.read_bytes())
            data[70] ^= 1
            file.write_bytes(data)
            with self.assertRaises(StoreError):
                KeyJournal(Files(folder), 0.0)
            self.assertIn("the snapshot's content is damaged", say("verify", 2))
            self.assertIn("the snapshot's content is damaged", say("inspect", 2))
