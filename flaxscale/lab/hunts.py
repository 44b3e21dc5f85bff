"""Plays the days of a hunt, in virtual time or by processes, several at once, and keeps what came in a durable log.

A hunt that was stopped goes on where its log ends: days are chosen a generation at a time and taken in their order, so
that neither a stop nor the number of processes changes which are played. Breaks found are shrunk and written as days.
"""

import concurrent.futures
import contextlib
import json
import multiprocessing
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from collections import Counter

import msgspec

from ..hunt.marks import counts_by_second, marks_of
from ..hunt.search import LOG_VERSION, Hunt, Outcome
from ..hunt.shrink import shrink
from ..hunt.space import Space
from ..model.judge import day_with, play_and_check, undisturbed_share
from ..rules.audit import judge as audit_judge
from ..rules.check import check
from ..rules.comeback import judge_day
from ..rules.duties import duties
from ..rules.promises import promises
from ..rules.records import read_rows
from ..store.files import Files
from ..store.log import Log
from .shapes import Day, TroubleRow, faults

BAD_DAY = "program"  # a kind of break: the program itself failed


class Kept(msgspec.Struct, array_like=True):
    """One play in the log."""

    shape: int
    number: int
    seed: int
    troubles: list[TroubleRow]
    breaks: list[tuple[str, str]]
    back: bool | None
    loss: float
    marks: list[str]


class Head(msgspec.Struct, array_like=True):
    """The log's first record: what was hunted, and how. Another hunt does not go on in its folder."""

    shape: int
    day: bytes
    seed: int
    seeds: int
    plain: bool
    sockets: bool


def in_model(job):
    """(Outcome as plain values) of (day, seed, troubles, quiet). Runs in a process of its own."""
    data, seed, troubles, quiet = job
    day = msgspec.msgpack.decode(data, type=Day)
    outcome, _ = play_and_check(day, seed, msgspec.msgpack.decode(troubles, type=list[TroubleRow]), quiet)
    return outcome


def by_processes(job):
    """The same by processes: one `flaxscale day`, judged from its records."""
    data, seed, troubles, quiet = job
    rows = msgspec.msgpack.decode(troubles, type=list[TroubleRow])
    day = day_with(msgspec.msgpack.decode(data, type=Day), rows)
    with tempfile.TemporaryDirectory() as folder:
        out = pathlib.Path(folder) / "out"
        return of_records(day, rows, *play_day(day, seed, pathlib.Path(folder), out), out)


def play_day(day, seed, folder, out):
    """(status, what it said) of a day played by processes into the folder `out`."""
    file = folder / "day.jsonnet"
    file.write_bytes(msgspec.json.encode(day))
    done = subprocess.run(
        [sys.executable, "-m", "flaxscale", "day", str(file), "--seed", str(seed), "--out", str(out)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    return done.returncode, done.stdout


def of_records(day, troubles, status, said, out):
    """The Outcome of a day from its records."""
    if status not in (0, 3):
        return Outcome(((BAD_DAY, f"status {status}: {said[-300:]}"),), None, 0.0, frozenset())
    breaks = [(f"rule {b.rule}", b.detail) for b in check(out).breaks]
    breaks += [(f"promise {b.rule}", b.detail) for b in [*promises(out), *duties(out)]]
    breaks += (
        [(f"audit: {f.what}", f"{f.manager} {f.key}: {f.detail}") for f in audit_judge(out).violations()]
        if any(out.glob("account-*.jsonl"))
        else []
    )
    clients, lab = read_rows(out / "clients.jsonl"), read_rows(out / "lab.jsonl")
    began = next(r["at"] for r in lab if r["what"] == "begin")
    seen = [((r["at"] - began) // 10_000, r["fate"]) for r in clients if r["what"] == "seen"]
    more = [
        ((r["at"] - began) // 10_000, f"box {r['what']}")
        for file in out.glob("box-*.jsonl")
        for r in read_rows(file)
        if r["what"] in ("adopted", "fenced", "fell", "floor")
    ]
    seconds = counts_by_second([*seen, *more])
    back = judge_day(out)
    counts = sum((came for _, came in seconds), Counter())
    kinds = Counter()
    breaks = tuple((kind, text) for kind, text in breaks if not kinds.update([kind]) and kinds[kind] <= 3)
    return Outcome(
        breaks,
        back and back.recovered,
        0.0,
        marks_of(troubles, counts, seconds) | {f"broke {kind}" for kind, _ in breaks},
    )


class Hunting:
    """A hunt in a folder: begun, or gone on with. ValueError where the folder holds another one."""

    def __init__(self, day, folder, seed, jobs, seeds=3, plain=False, sockets=False):
        self.day, self.folder, self.jobs = day, pathlib.Path(folder), jobs
        self.data = msgspec.msgpack.encode(day_with(day, []))
        self.hunt = Hunt(Space(day_with(day, []), sockets), seed, seeds, plain)
        self.play = by_processes if sockets else in_model
        self.sockets, self.quiet = sockets, {}
        self.log = Log(Files(self.folder / "log"))
        head = msgspec.msgpack.encode(Head(LOG_VERSION, self.data, seed, seeds, plain, sockets))
        found = [data for _, data in self.log.found.records]
        if found and found[0] != head:
            raise ValueError(f"{folder}: another hunt is kept there (another day, seed or way to play)")
        if not found:
            self.log.append(head)
            self.log.commit()
        self.kept = [msgspec.msgpack.decode(data, type=Kept) for data in found[1:]]
        self.resumed = len(self.kept)

    def jobs_of(self, rows):
        return [(self.data, seed, msgspec.msgpack.encode(troubles), self.quiet.get(seed)) for _, seed, troubles in rows]

    def run(self, budget, said=lambda played: None):
        """Plays until `budget` days were played in all, and yields nothing back; said(Played) after each."""
        with self.pool() as pool:
            if not self.sockets:
                seeds = range(1, self.hunt.seeds + 1)
                self.quiet = {seed: undisturbed_share(self.day, seed) for seed in seeds}
            while len(self.hunt.played) < budget:
                rows = self.hunt.next_generation()
                known, self.kept = self.kept[: len(rows)], self.kept[len(rows) :]
                new = rows[len(known) :]
                outcomes = [self.again(row, kept) for row, kept in zip(rows, known)]
                # A generation is played whole, whatever the budget: the next one stands on all of it.
                for row, outcome in zip(new, pool.map(self.play, self.jobs_of(new))):
                    number, seed, troubles = row
                    self.log.append(
                        msgspec.msgpack.encode(
                            Kept(
                                LOG_VERSION,
                                number,
                                seed,
                                troubles,
                                list(outcome.breaks),
                                outcome.back,
                                outcome.loss,
                                sorted(outcome.marks),
                            )
                        )
                    )
                    self.log.commit()
                    outcomes.append(outcome)
                for row, outcome in zip(rows, outcomes):
                    said(self.hunt.record(*row, outcome))

    @staticmethod
    def again(row, kept):
        if (kept.number, kept.seed) != row[:2] or kept.troubles != row[2]:
            raise ValueError(f"the log's play {kept.number} is not of this hunt: another version chose its days")
        return Outcome(tuple(kept.breaks), kept.back, kept.loss, frozenset(kept.marks))

    @contextlib.contextmanager
    def pool(self):
        if self.sockets:  # each is a program of its own; threads wait for them
            with concurrent.futures.ThreadPoolExecutor(self.jobs) as pool:
                yield pool
        else:
            # Begun anew, not forked: whoever hunts may have threads that a fork would leave in the middle of something.
            with concurrent.futures.ProcessPoolExecutor(self.jobs, multiprocessing.get_context("spawn")) as pool:
                yield pool

    def shows(self, found):
        """Whether a list of troubles, at the seed of a found day, still shows the worst of what that one showed."""
        kinds, back, loss = {kind for kind, _ in found.outcome.breaks}, found.outcome.back, found.outcome.loss

        def test(troubles):
            outcome = self.play((self.data, found.seed, msgspec.msgpack.encode(troubles), self.quiet.get(found.seed)))
            if kinds:
                return kinds <= {kind for kind, _ in outcome.breaks}
            if back is False:
                return outcome.back is False
            return outcome.loss >= 0.8 * loss

        return test

    def smallest(self, found):
        """The found day's troubles made small, and how many plays that took."""
        test, steps, plays = self.shows(found), shrink(found.troubles), 0
        try:
            tried = next(steps)
            while True:
                plays += 1
                tried = steps.send(test(tried))
        except StopIteration as done:
            return done.value, plays

    def keep(self, found, troubles, base):
        """Writes a day that shows it, on the file that was hunted; its path."""
        file = self.folder / f"found-{found.number}-seed-{found.seed}.jsonnet"
        rows = msgspec.to_builtins(troubles)
        plain = {f.name: f.default for f in msgspec.structs.fields(TroubleRow)}
        rows = [{k: v for k, v in row.items() if k not in plain or v != plain[k]} for row in rows]
        what = "; ".join(f"{kind}: {text}" for kind, text in found.outcome.breaks) or (
            "does not come back"
            if found.outcome.back is False
            else f"loses {found.outcome.loss:.1%} of what could be served"
        )
        lines = [
            "// " + line
            for line in (f"Play it with --seed {found.seed}. Found as play {found.number}:", *what[:600].splitlines())
        ]
        lines += [
            f"(import {json.dumps(os.path.relpath(base, self.folder))}) + {{",
            f"  length_s: {self.day.length_s:g},",
            "  troubles: [",
        ]
        lines += [f"    {json.dumps(row)}," for row in rows]
        file.write_text("\n".join([*lines, "  ],", "}", ""]))
        return file


def replayed(day, seed, out):
    """{player: Outcome} of a day in virtual time and by processes; a player that can't play it: why, as text."""
    found = {}
    for player, sockets in (("virtual time", False), ("processes", True)):
        wrong = faults(day, sockets)
        if wrong:
            found[player] = f"{wrong[0][0]}: {wrong[0][1]} expected"
        elif sockets:
            folder = pathlib.Path(out)
            shutil.rmtree(folder / "out", ignore_errors=True)
            folder.mkdir(parents=True, exist_ok=True)
            found[player] = of_records(day, day.troubles, *play_day(day, seed, folder, folder / "out"), folder / "out")
        else:
            found[player] = play_and_check(day, seed, day.troubles, undisturbed_share(day, seed))[0]
    return found


def difference(found):
    """The first thing in which both players differ, in words; None where they agree or one did not play."""
    one, other = found.values()
    if isinstance(one, str) or isinstance(other, str):
        return None
    a, b = ({kind for kind, _ in outcome.breaks} for outcome in (one, other))
    for kind in sorted(a ^ b):
        return f"{kind} in {'virtual time' if kind in a else 'processes'} only"
    if None not in (one.back, other.back) and one.back != other.back:
        return f"it comes back in {'virtual time' if one.back else 'processes'} only"
    return None
