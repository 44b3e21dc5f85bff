"""The suite's own runner: which failures fail a run, and what KNOWN-RED.txt may list."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from tests import runner

LISTED = "tests.test_sample.Sample.test_red"
SAMPLE = """
import unittest

class Sample(unittest.TestCase):
    def test_red(self):
        {red}

    def test_red_too(self):
        {other}
"""


class KnownFailures(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        (self.root / "tests").mkdir()
        (self.root / "tests" / "__init__.py").touch()

    def run_suite(self, *entries, red="self.fail('red')", other="pass", sample=SAMPLE, options=()):
        """Runs a suite with a listed test (`red`) and another one whose name begins like it."""
        (self.root / "tests" / "test_sample.py").write_text(sample.format(red=red, other=other))
        (self.root / "KNOWN-RED.txt").write_text("".join(f"{entry}\n" for entry in entries))
        return subprocess.run(
            [sys.executable, runner.__file__, "--root", str(self.root), *options], capture_output=True, text=True
        )

    @staticmethod
    def entry(test=LISTED):
        return f"python -m unittest {test} | no seed | what was seen | issue 1"

    def assert_outcome(self, run, outcome, status=0):
        self.assertIn(f"{LISTED}: {outcome} (issue 1)", run.stdout)
        self.assertEqual(status, run.returncode, run.stderr)

    def test_a_failure_that_is_not_listed_fails_the_run(self):
        self.assertEqual(1, self.run_suite().returncode)

    def test_a_listed_test_runs_and_its_outcome_is_printed(self):
        outcomes = {
            "self.fail('red')": "failed",
            "raise OSError('red')": "failed with an error",
            "with self.subTest(1): self.fail('red')": "failed in a subtest",
            "self.addCleanup(self.fail, 'red')": "failed",
            "self.skipTest('red')": "skipped",
            "pass": "passed",
        }
        for red, outcome in outcomes.items():
            with self.subTest(red):
                self.assert_outcome(self.run_suite(self.entry(), red=red), outcome)

    def test_the_traceback_of_a_listed_failure_is_printed(self):
        self.assertIn("AssertionError: red", self.run_suite(self.entry()).stdout)

    def test_another_failure_beside_a_listed_one_fails_the_run(self):
        for other in ("self.fail()", "raise OSError", "with self.subTest(1): self.fail()"):
            with self.subTest(other):
                self.assert_outcome(self.run_suite(self.entry(), other=other), "failed", status=1)

    def test_a_failure_of_the_class_of_a_listed_test_fails_the_run(self):
        sample = SAMPLE + "\n    @classmethod\n    def setUpClass(cls):\n        raise OSError\n"
        self.assert_outcome(self.run_suite(self.entry(), sample=sample), "not run", status=1)

    def test_a_test_file_that_can_not_be_imported_fails_the_run(self):
        (self.root / "tests" / "test_broken.py").write_text("import no_such_module\n")
        self.assert_outcome(self.run_suite(self.entry()), "failed", status=1)

    def test_an_entry_that_names_no_test_fails_the_run(self):
        names = ("tests.test_sample.Sample", "tests.test_sample.Sample.test_re", "test_red", "tests.test_sample")
        for entry in (*map(self.entry, names), "review/9/run.sh | no seed | seen | issue 1"):
            with self.subTest(entry):
                run = self.run_suite(self.entry(), entry, red="pass")
                self.assertEqual(2, run.returncode)
                self.assertRegex(run.stderr, "^KNOWN-RED.txt: line 2: ")

    def test_an_entry_that_is_malformed_or_listed_twice_fails_the_run(self):
        for entry in (f"python -m unittest {LISTED}", f"python -m unittest {LISTED} | | | issue 1", self.entry()):
            with self.subTest(entry):
                self.assertEqual(2, self.run_suite(self.entry(), entry, red="pass").returncode)

    def test_a_listed_script_outside_the_suite_is_printed(self):
        (self.root / "case.sh").touch()
        run = self.run_suite("case.sh | no seed | seen | issue 1", red="pass")
        self.assertIn("case.sh: outside the test suite (issue 1)", run.stdout)
        self.assertEqual(0, run.returncode)

    def test_a_run_without_any_test_fails(self):
        self.assertEqual(1, self.run_suite(red="pass", options=("-k", "no_such_name")).returncode)

    def test_a_selection_runs_only_what_it_names(self):
        run = self.run_suite(self.entry(), other="self.fail()", options=("-k", "Sample.test_red_too"))
        self.assert_outcome(run, "not run", status=1)
        self.assertIn("Ran 1 test", run.stderr)
