"""Runs the test suite. Failures of the tests that KNOWN-RED.txt lists are reported, but do not fail the run.

Each line of that file is `COMMAND | SEED | SEEN | ISSUE`. COMMAND is `python -m unittest` with the full name of one
test, or the path of a script outside the suite, which is not run here. A listed test runs like any other, and its
outcome is printed. Every other failure fails the run, and so does an entry that names no test or script.
"""

import argparse
import pathlib
import sys
import unittest
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = "KNOWN-RED.txt"
ENTRY_FIELDS = 4  # separated by " | "
UNITTEST_COMMAND = "python -m unittest "
EXIT_FAILED, EXIT_BAD_ENTRY = 1, 2


class EntryError(Exception):
    """An entry of the list of known failures that is malformed or names nothing that exists."""


@dataclass(frozen=True)
class KnownFailure:
    """One entry. `test`: full name of the test; None for a script outside the suite."""

    command: str
    test: str | None
    issue: str


def parse_entry(text: str, root: pathlib.Path) -> KnownFailure:
    fields = [field.strip() for field in text.split(" | ")]
    if len(fields) != ENTRY_FIELDS or not all(fields):
        raise EntryError(f"{ENTRY_FIELDS} fields expected: command | seed | what was seen | issue")
    command, issue = fields[0], fields[-1]
    if command.startswith(UNITTEST_COMMAND):
        return KnownFailure(command, command.removeprefix(UNITTEST_COMMAND).strip(), issue)
    if not (root / command).is_file():
        raise EntryError(f"{command}: neither '{UNITTEST_COMMAND}TEST' nor a file")
    return KnownFailure(command, None, issue)


def read_known_failures(file: pathlib.Path, tests: set[str]) -> list[KnownFailure]:
    """The entries of the file, each checked against the names of all tests of the suite."""
    entries: list[KnownFailure] = []
    lines = file.read_text().splitlines() if file.exists() else []
    for number, text in enumerate(lines, 1):
        if not text.strip():
            continue
        try:
            entry = parse_entry(text, file.parent)
            if entry.test is not None and entry.test not in tests:
                raise EntryError(f"{entry.test}: no test has this full name")
            if entry.command in [other.command for other in entries]:
                raise EntryError(f"{entry.command}: listed twice")
        except EntryError as error:
            raise EntryError(f"{file.name}: line {number}: {error}") from None
        entries.append(entry)
    return entries


def cases_of(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            yield from cases_of(part)
        else:
            yield part


def full_name(test: unittest.TestCase) -> str:
    """The name of a test, or of the test that a subtest belongs to."""
    return getattr(test, "test_case", test).id()


class Result(unittest.TextTestResult):
    """Keeps the outcomes of known failures apart from the failures that fail the run."""

    def __init__(self, stream, descriptions, verbosity, *, known: Iterable[str] = (), **options):
        super().__init__(stream, descriptions, verbosity, **options)
        self.known_outcomes = dict.fromkeys(known, "not run")
        self.known_tracebacks: list[tuple[str, str]] = []

    def is_known(self, test) -> bool:
        return full_name(test) in self.known_outcomes

    def record_known_failure(self, test, error, outcome) -> None:
        self.known_outcomes[full_name(test)] = outcome
        self.known_tracebacks.append((full_name(test), self._exc_info_to_string(error, test)))

    def addSuccess(self, test):
        super().addSuccess(test)
        if self.is_known(test):
            self.known_outcomes[full_name(test)] = "passed"

    def addSkip(self, test, reason):
        super().addSkip(test, reason)
        if self.is_known(test):
            self.known_outcomes[full_name(test)] = "skipped"

    def addFailure(self, test, error):
        if self.is_known(test):
            self.record_known_failure(test, error, "failed")
        else:
            super().addFailure(test, error)

    def addError(self, test, error):
        if self.is_known(test):
            self.record_known_failure(test, error, "failed with an error")
        else:
            super().addError(test, error)

    def addSubTest(self, test, subtest, error):
        if error is not None and self.is_known(test):
            self.record_known_failure(test, error, "failed in a subtest")
        else:
            super().addSubTest(test, subtest, error)


def report_known_failures(entries: list[KnownFailure], result: Result) -> None:
    for name, traceback in result.known_tracebacks:
        print(f"KNOWN FAILURE: {name}\n{traceback}")
    for entry in entries:
        outcome = "outside the test suite" if entry.test is None else result.known_outcomes[entry.test]
        print(f"listed in {KNOWN_FAILURES_FILE}: {entry.test or entry.command}: {outcome} ({entry.issue})")


def discover(root: pathlib.Path, patterns: list[str] | None = None) -> unittest.TestSuite:
    loader = unittest.TestLoader()
    loader.testNamePatterns = patterns
    return loader.discover(str(root / "tests"), top_level_dir=str(root))


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="./run test", description="Runs the test suite.")
    parser.add_argument("-v", "--verbose", action="store_true", help="name each test")
    parser.add_argument("-f", "--failfast", action="store_true", help="stop at the first failure")
    parser.add_argument("-k", dest="patterns", action="append", metavar="PATTERN", help="run only tests so named")
    parser.add_argument("--root", type=pathlib.Path, default=ROOT, help="the folder that has tests/")
    return parser.parse_args(arguments)


def name_pattern(text: str) -> str:
    """As `unittest -k` does: text without a wildcard is searched for in the full name."""
    return text if "*" in text else f"*{text}*"


def main(arguments: list[str]) -> int:
    options = parse_arguments(arguments)
    patterns = options.patterns and [name_pattern(text) for text in options.patterns]
    every_test = {test.id() for test in cases_of(discover(options.root))}
    try:
        entries = read_known_failures(options.root / KNOWN_FAILURES_FILE, every_test)
    except EntryError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_ENTRY
    known = [entry.test for entry in entries if entry.test is not None]

    def make_result(*positional, **named):
        return Result(*positional, **named, known=known)

    verbosity = 2 if options.verbose else 1
    runner = unittest.TextTestRunner(verbosity=verbosity, failfast=options.failfast, resultclass=make_result)
    result = runner.run(discover(options.root, patterns))
    sys.stderr.flush()
    report_known_failures(entries, result)
    if not result.testsRun:
        print("no test was run", file=sys.stderr)
    return 0 if result.wasSuccessful() and result.testsRun else EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
