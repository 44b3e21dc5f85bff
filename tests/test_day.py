"""A short bad day through real processes and sockets, judged by the checker: what CI plays of every change."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[1]


def flaxscale(*args):
    return subprocess.run(
        [sys.executable, "-m", "flaxscale", *args], cwd=ROOT, capture_output=True, text=True, timeout=120
    )


class Played(unittest.TestCase):
    def play(self, file, seed, troubled=("lost",)):
        """Plays a day that must keep the rules. Its folder (for this test), its boxes' rows, its managers' logs.

        troubled: what must have happened on it.
        """
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        out = pathlib.Path(folder.name) / "day"
        played = flaxscale("day", file, "--seed", str(seed), "--out", str(out))
        self.assertEqual(0, played.returncode, played.stdout + played.stderr[-3000:])
        judged = flaxscale("check", str(out))
        self.assertEqual(0, judged.returncode, judged.stdout)
        self.assertRegex(
            judged.stdout.splitlines()[-1], r"^rules kept: 6, broken: 0; requests (\d+), answered once \1$"
        )
        rows = [json.loads(line) for file in out.glob("box-*.jsonl") for line in file.read_text().splitlines()]
        logs = [file.read_text() for file in sorted(out.glob("front-*.log"))]
        self.assertEqual(0, sum(log.count("Traceback") + log.count('"fault"') for log in logs))
        for what in troubled:
            self.assertTrue([r for r in rows if r["what"] == what], what)
        return out, rows, logs


class Day(Played):
    def test_a_short_bad_day_keeps_the_rules(self):
        out, rows, logs = self.play("examples/short-day.jsonnet", 3)
        # The day was what it says: players played, answers were lost, and the managers noticed.
        self.assertGreater(sum(r["what"] == "answer" and r["status"] == 201 for r in rows), 20)
        self.assertIn('"tune-in given up"', "".join(logs))
        again = flaxscale("day", "examples/short-day.jsonnet", "--out", str(out))
        self.assertEqual(2, again.returncode)  # nothing is written over

    def test_exit_statuses(self):
        self.assertEqual(0, flaxscale("check", "tests/records/kept").returncode)
        self.assertEqual(3, flaxscale("check", "tests/records/rule-4-fell-over").returncode)
        for args in (
            ("check", "tests/nothing"),
            ("config", "check", "README.md"),
            ("front", "examples/boats.jsonnet"),
            ("front", "examples/boats.jsonnet", "--list", "x:1", "--me", "3"),
            ("view", "ftp://x/whep/a"),
            ("day", "none.jsonnet", "--out", "/nonexistent/x"),
        ):
            done = flaxscale(*args)
            self.assertEqual(2, done.returncode, args)
            self.assertTrue(done.stderr.strip())
            self.assertNotIn("Traceback", done.stderr)
