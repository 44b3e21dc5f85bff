"""The model: the same seed gives the same course, the rules hold in it, and it agrees with the sockets."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest
from collections import Counter

import msgspec

from flaxscale import interface
from flaxscale.lab.shapes import Day, read_day
from flaxscale.model.experiment import compare, interval, sweep
from flaxscale.model.play import Play
from flaxscale.model.results import write
from flaxscale.site.load import SiteError

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"


def bad_day(**changes):
    day = read_day(EXAMPLES / "bad-day.jsonnet")
    return msgspec.structs.replace(day, **changes) if changes else day


class Model(unittest.TestCase):
    def test_a_seed_gives_the_same_bytes_and_another_gives_others(self):
        with tempfile.TemporaryDirectory() as folder:
            files = [
                write(Play(bad_day(), seed).run(), f"{folder}/{n}").read_bytes() for n, seed in enumerate((3, 3, 4))
            ]
        self.assertEqual(files[0], files[1])
        self.assertNotEqual(files[0], files[2])

    def test_processes_do_not_change_a_sweep(self):
        file = EXAMPLES / "bad-day.jsonnet"
        self.assertEqual(sweep(file, (1, 2, 3)), sweep(file, (1, 2, 3), 3))

    def test_rules_hold_on_bad_days(self):
        for seed in range(1, 9):
            out, taken, answers = Counter(), Counter(), Counter()

            def tap(now, event, acts):
                if isinstance(event, interface.SessionRequest):
                    taken[event.id] += 1
                for act in acts:
                    if isinstance(act, interface.TuneIn):
                        out[act.id] += 1
                    elif isinstance(act, (interface.Block, interface.Abort)):
                        answers[act.id] += 1
                if isinstance(event, interface.AttemptSucceeded):
                    answers[event.id] += 1
                elif isinstance(event, interface.AttemptEnded):
                    out[event.id] -= 1
                self.assertLessEqual(max(out.values(), default=0), 1)

            play = Play(bad_day(), seed, tap).run()
            totals = play.totals()
            self.assertEqual([], play.faults)
            self.assertEqual((0, 0, 0), (totals["fell"], totals["under_floor"], totals["fates"].get("unanswered", 0)))
            self.assertEqual({1}, set(taken.values()))
            self.assertLessEqual(max(answers.values()), 1)
            self.assertGreater(totals["fates"]["plays"], 100)

    def test_each_trouble_does_what_it_says(self):
        quiet = bad_day(troubles=[])
        base = Play(quiet, 5).run().totals()
        self.assertGreater(base["service"], 0.6)
        row = type(bad_day().troubles[0])
        for what, value, seen in (
            ("crash", 1, lambda t: t["requests"] > base["requests"]),
            ("hang", 1, lambda t: t["service"] < base["service"]),
            ("fast_errors", 0.9, lambda t: t["tune_ins"].get("error", 0) > 3),
            ("answer_lost", 0.9, lambda t: t["tune_ins"].get("further", 0) > 3),
            ("reset_after", 0.9, lambda t: t["tune_ins"].get("further", 0) > 3),
            ("reset_before", 0.9, lambda t: t["tune_ins"].get("further", 0) > 3),
            ("drain", 1, lambda t: t["service"] < base["service"]),
            ("link", 0.3, lambda t: t["service"] < base["service"]),
            ("neighbour", 0.7, lambda t: t["service"] < base["service"]),
            ("manager_stall", 1, lambda t: t["fates"].get("manager stood", 0) > 3),
            ("manager_crash", 1, lambda t: t["fates"].get("unreached", 0) > 3),
        ):
            trouble = row(at_s=6, what=what, for_s=10, value=value, share=0.5)
            totals = Play(msgspec.structs.replace(quiet, troubles=[trouble]), 5).run().totals()
            self.assertTrue(seen(totals), (what, totals, base))

    def test_what_reaches_a_manager_that_stands_still_waits_and_none_is_answered_too_late(self):
        quiet = bad_day(troubles=[])
        row = type(bad_day().troubles[0])
        stalls = [row(at_s=at, what="manager_stall", for_s=1.2, managers=[0, 1, 2]) for at in (5.0, 9.0, 13.0)]
        play = Play(msgspec.structs.replace(quiet, troubles=stalls), 5).run()
        totals = play.totals()
        self.assertEqual((0, 0), (totals["fates"].get("unanswered", 0), len(play.faults)), play.faults[:3])
        self.assertGreater(totals["fates"]["plays"], 50)
        with self.assertRaisesRegex(SiteError, "'settings' needs processes"):
            read_day(str(EXAMPLES / "switch-day.jsonnet"), sockets=False)

    def test_a_way_that_is_cut_brings_nothing_and_all_of_it_once_when_it_heals(self):
        quiet, row = bad_day(troubles=[], length_s=14.0), type(bad_day().troubles[0])
        ways = [["m0"], ["boxes"]]
        cut = row(at_s=6, what="way", between=ways, for_s=4)
        for one_way in (False, True):
            cut = msgspec.structs.replace(cut, one_way=one_way)
            play, came, sent = Play(msgspec.structs.replace(quiet, troubles=[cut]), 5), [], []
            at_box, tune = play.set_up_at_box, play.set_up
            play.set_up_at_box = lambda manager, life, vw, key, *more: (
                came.append((play.day_s(), key)),
                at_box(manager, life, vw, key, *more),
            )
            play.set_up = lambda manager, vw, nth, *more: (
                sent.append((play.day_s(), (manager.number, manager.incarnation, vw.id, nth))),
                tune(manager, vw, nth, *more),
            )
            play.run()
            mine = [at for at, key in came if key[0] == 0]
            self.assertFalse([at for at in mine if 6.001 < at < 10])
            self.assertTrue([at for at, key in sent if key[0] == 0 and 6 < at < 10])
            self.assertEqual(len(sent), len({key for _, key in came}))
            self.assertEqual(len(came), len(sent))  # each once
            self.assertEqual(([], 0), (play.faults, play.totals()["fates"].get("unanswered", 0)))
            others = [at for at, key in came if key[0] != 0 and 6 < at < 10]
            self.assertGreater(len(others), 5)
        late = row(at_s=6, what="way", kind="delay", value=700, jitter=200, between=ways, for_s=4)
        play = Play(msgspec.structs.replace(quiet, troubles=[late]), 5).run()
        self.assertGreater(play.totals()["tune_ins"].get("further", 0), 0)
        self.assertEqual([], play.faults)
        stall = row(at_s=6, what="box_stall", boxes=[0, 1, 2], for_s=4)
        play = Play(msgspec.structs.replace(quiet, troubles=[stall]), 5).run()
        self.assertLess(play.totals()["service"], Play(quiet, 5).run().totals()["service"])

    def test_a_cold_fleet_is_not_pushed_over_but_one_with_a_careless_front_is(self):
        crowd = msgspec.structs.replace(bad_day().demand, rate=70.0)
        day = bad_day(troubles=[], demand=crowd, boxes=[msgspec.structs.replace(b, cold=True) for b in bad_day().boxes])
        self.assertEqual(0, Play(day, 2).run().totals()["fell"])
        play = Play(day, 2)
        for manager in play.managers:
            manager.runner.manager.slow_start_allows = lambda server: True
        self.assertGreater(play.run().totals()["fell"], 0)

    def test_intervals_and_paired_comparison(self):
        known = interval([1.0, 2.0, 3.0, 4.0, 5.0])
        self.assertAlmostEqual(3.0, known.mean)
        self.assertAlmostEqual(1.9632, known.half, 3)  # t(0.975, 4) x s / sqrt(5), by hand
        day = sweep(EXAMPLES / "bad-day.jsonnet", (1, 2, 3))
        self.assertEqual({0.0}, {i.mean for i in compare(day, day).values()})


class Agreement(unittest.TestCase):
    def test_the_model_and_the_sockets_play_the_same_day_alike(self):
        """Answers by kind, on a day with three troubles: within what 20 seeds of the model span, and 0.1 beyond.

        Chance is drawn apart on sockets and in the model. Held to one seed of the model, where none was blocked, two
        of four days on sockets failed, which had blocked 0.21; the model's seeds themselves span 0 to 0.22.
        """
        day = bad_day()
        small = msgspec.structs.replace(
            day,
            length_s=7.0,
            settle_s=1.0,
            boxes=day.boxes[:6],
            troubles=[
                msgspec.structs.replace(t, at_s=min(t.at_s, 3.0))
                for t in day.troubles
                if t.what in ("answer_lost", "crash", "fast_errors")
            ],
            demand=msgspec.structs.replace(day.demand, rate=7.0, pushes=[], play_s=[1.0, 3.0]),
        )
        small = msgspec.convert(msgspec.to_builtins(small), Day)
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "day.json"
            file.write_bytes(msgspec.json.encode(small))
            done = subprocess.run(
                [sys.executable, "-m", "flaxscale", "day", str(file), "--seed", "4", "--out", f"{folder}/out"],
                cwd=EXAMPLES.parent,
                capture_output=True,
                text=True,
                timeout=120,
            )
            self.assertEqual(0, done.returncode, done.stdout + done.stderr[-2000:])
            rows = [
                json.loads(line) for line in (pathlib.Path(folder) / "out" / "clients.jsonl").read_text().splitlines()
            ]
        sockets = Counter(r["fate"] for r in rows if r["what"] == "seen")
        seeds = [Play(small, seed).run().totals() for seed in range(1, 21)]
        for fate in ("plays", "blocked", "aborted"):
            there = [
                (t["fates"].get(fate, 0) + (t["fates"].get("late", 0) if fate == "plays" else 0)) / t["requests"]
                for t in seeds
            ]
            here = sockets[fate] / sum(sockets.values())
            self.assertTrue(min(there) - 0.1 <= here <= max(there) + 0.1, (fate, sockets, min(there), max(there)))
