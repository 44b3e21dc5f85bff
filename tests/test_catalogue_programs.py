"""The operators' commands against a service process that is killed and restarted."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).parents[1]


class Commands(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.serve()

    def tearDown(self):
        self.child.kill()
        self.child.wait()
        self.child.stdout.close()
        self.folder.cleanup()

    def serve(self):
        self.child = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "flaxscale",
                "catalogue",
                "serve",
                "examples/boats.jsonnet",
                "--store",
                self.folder.name + "/store",
                "--port",
                "0",
                "--ready",
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self.ready = json.loads(self.child.stdout.readline())

    def run_command(self, *args, status=0):
        done = subprocess.run(
            [sys.executable, "-m", "flaxscale", "catalogue", *args, "--at", "127.0.0.1:%d" % self.ready["port"]],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(status, done.returncode, done.stdout + done.stderr)
        return done.stdout + done.stderr

    def test_put_edit_diff_plan_and_rollback(self):
        self.assertIn("changed 18 titles; version 1", self.run_command("put", "examples/catalogue.jsonnet"))
        self.assertIn("nothing differs", self.run_command("put", "examples/catalogue.jsonnet"))
        self.assertIn("would change 3 titles", self.run_command("edit", "examples/change.jsonnet", "--dry"))
        self.run_command("edit", "examples/change.jsonnet", "--expect", "1", "--why", "more room for clip-1")
        self.assertIn(
            "made for version 1, the catalogue is at 2",
            self.run_command("edit", "examples/change.jsonnet", "--expect", "1", status=4),
        )
        diff = self.run_command("diff", "1")
        for line in (
            "clip-1: box 6 gone -> holding",
            "clip-1: box 2 holding -> leaving",
            "tour-1: top 4 -> 3",
            "lock-cam: seats (('dock-live', 8),) -> (('dock-live', 10),)",
        ):
            self.assertIn(line, diff)
        self.assertIn("more room for clip-1", self.run_command("log"))
        self.assertIn("box 6: holding", self.run_command("holders", "clip-1"))
        self.assertIn("no title 'nothing'", self.run_command("holders", "nothing", status=2))
        out = self.folder.name + "/plan.json"
        self.assertRegex(self.run_command("plan", "examples/demand.jsonnet", "--out", out), r"clip-1 on box")
        self.run_command("edit", out)
        self.child.kill()
        self.child.wait()
        self.child.stdout.close()
        self.serve()
        self.assertEqual(3, self.ready["version"])
        self.assertIn("version 4", self.run_command("rollback", "1"))
        self.assertIn("version 4", self.run_command("who"))
        self.assertEqual("", self.run_command("diff", "1", "4"))

    def test_refusals_are_named(self):
        file = pathlib.Path(self.folder.name) / "x.jsonnet"
        for text, status, message in (
            ("{ titles: { a: { view: 'none', holders: [1] } } }", 4, "the package 'none'"),
            ("{ titles: { a: { view: 3, holders: [1] } } }", 2, "titles.*.view"),
            ("{ titel: 1 }", 2, "unknown field `titel`"),
            ("{ titles: {} }", 0, "nothing differs"),
        ):
            file.write_text(text)
            self.assertIn(message, self.run_command("put", str(file), status=status))
        self.assertIn("can't be read", self.run_command("edit", "none.jsonnet", status=2))
        file.write_text("[{ type: 'drop', name: 'none' }]")
        self.assertIn("operation 0, title 'none': no such title", self.run_command("edit", str(file), status=4))
        file.write_text("{ boxes: [], demand: {}, moves: 1 }")
        self.assertIn("boxes: at least one box expected", self.run_command("plan", str(file), status=2))
        self.assertIn("version 9 is not known", self.run_command("diff", "9", status=2))

    def test_a_damaged_store_is_not_served(self):
        self.run_command("put", "examples/catalogue.jsonnet")
        self.run_command("edit", "examples/change.jsonnet")
        self.child.kill()
        self.child.wait()
        log = next(pathlib.Path(self.folder.name, "store").glob("log-*"))
        data = bytearray(log.read_bytes())
        data[60] ^= 4
        log.write_bytes(data)
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "flaxscale",
                "catalogue",
                "serve",
                "examples/boats.jsonnet",
                "--store",
                self.folder.name + "/store",
                "--port",
                "0",
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(2, done.returncode)
        self.assertRegex(done.stderr, r"log-0+: byte 16: a record's")
