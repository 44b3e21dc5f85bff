"""A short bad day through real processes and sockets, judged by the checker: what CI plays of every change."""
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[1]


def flaxscale(*args):
    return subprocess.run([sys.executable, "-m", "flaxscale", *args], cwd=ROOT, capture_output=True, text=True,
                          timeout=120)


class Day(unittest.TestCase):
    def test_a_short_bad_day_keeps_the_rules(self):
        with tempfile.TemporaryDirectory() as folder:
            out = pathlib.Path(folder) / "day"
            played = flaxscale("day", "examples/short-day.jsonnet", "--seed", "3", "--out", str(out))
            self.assertEqual(0, played.returncode, played.stdout + played.stderr[-3000:])
            judged = flaxscale("check", str(out))
            self.assertEqual(0, judged.returncode, judged.stdout)
            self.assertRegex(judged.stdout.splitlines()[-1],
                             r"^rules kept: 6, broken: 0; requests (\d+), answered once \1$")
            # The day was what it says: players played, answers were lost, and the managers noticed.
            lines = [line for file in out.glob("box-*.jsonl") for line in file.read_text().splitlines()]
            rows = [json.loads(line) for line in lines]
            self.assertGreater(sum(r["what"] == "answer" and r["status"] == 201 for r in rows), 20)
            self.assertTrue([r for r in rows if r["what"] == "lost"])
            logs = "".join(file.read_text() for file in out.glob("front-*.log"))
            self.assertIn('"tune-in given up"', logs)
            self.assertNotIn('"fault"', logs)
            self.assertNotIn("Traceback", logs)
            again = flaxscale("day", "examples/short-day.jsonnet", "--out", str(out))
            self.assertEqual(2, again.returncode)       # nothing is written over

    def test_exit_statuses(self):
        self.assertEqual(0, flaxscale("check", "tests/records/kept").returncode)
        self.assertEqual(3, flaxscale("check", "tests/records/rule-4-fell-over").returncode)
        for args in (("check", "tests/nothing"), ("config", "check", "README.md"), ("front", "examples/boats.jsonnet"),
                     ("front", "examples/boats.jsonnet", "--list", "x:1", "--me", "3"), ("view", "ftp://x/whep/a"),
                     ("day", "none.jsonnet", "--out", "/nonexistent/x")):
            done = flaxscale(*args)
            self.assertEqual(2, done.returncode, args)
            self.assertTrue(done.stderr.strip())
            self.assertNotIn("Traceback", done.stderr)
