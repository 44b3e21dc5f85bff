"""The model: the same seed gives the same run, the rules hold, and results agree with a day run by processes."""

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
    def test_the_same_seed_gives_the_same_bytes_and_another_seed_other_bytes(self):
        with tempfile.TemporaryDirectory() as folder:
            files = [
                write(Play(bad_day(), seed).run(), f"{folder}/{n}").read_bytes() for n, seed in enumerate((3, 3, 4))
            ]
        self.assertEqual(files[0], files[1])
        self.assertNotEqual(files[0], files[2])

    def test_the_number_of_processes_does_not_change_a_sweep(self):
        file = EXAMPLES / "bad-day.jsonnet"
        self.assertEqual(sweep(file, (1, 2, 3)), sweep(file, (1, 2, 3), 3))

    def test_rules_hold_on_bad_days(self):
        for seed in range(1, 9):
            attempts_out, requests, answers = Counter(), Counter(), Counter()

            def tap(now, event, actions):
                if isinstance(event, interface.SessionRequest):
                    requests[event.id] += 1
                for action in actions:
                    if isinstance(action, interface.TuneIn):
                        attempts_out[action.id] += 1
                    elif isinstance(action, (interface.Block, interface.Abort)):
                        answers[action.id] += 1
                if isinstance(event, interface.AttemptSucceeded):
                    answers[event.id] += 1
                elif isinstance(event, interface.AttemptEnded):
                    attempts_out[event.id] -= 1
                self.assertLessEqual(max(attempts_out.values(), default=0), 1)

            play = Play(bad_day(), seed, tap).run()
            totals = play.totals()
            self.assertEqual([], play.faults)
            self.assertEqual((0, 0, 0), (totals["fell"], totals["under_floor"], totals["fates"].get("unanswered", 0)))
            self.assertEqual({1}, set(requests.values()))
            self.assertLessEqual(max(answers.values()), 1)
            self.assertGreater(totals["fates"]["plays"], 100)

    def test_each_trouble_has_its_effect(self):
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

    def test_messages_to_a_stalled_manager_wait_and_no_answer_is_late(self):
        quiet = bad_day(troubles=[])
        row = type(bad_day().troubles[0])
        stalls = [row(at_s=at, what="manager_stall", for_s=1.2, managers=[0, 1, 2]) for at in (5.0, 9.0, 13.0)]
        play = Play(msgspec.structs.replace(quiet, troubles=stalls), 5).run()
        totals = play.totals()
        self.assertEqual((0, 0), (totals["fates"].get("unanswered", 0), len(play.faults)), play.faults[:3])
        self.assertGreater(totals["fates"]["plays"], 50)
        with self.assertRaisesRegex(SiteError, "'settings' needs processes"):
            read_day(str(EXAMPLES / "switch-day.jsonnet"), sockets=False)

    def test_a_cut_path_delivers_nothing_until_it_is_restored_and_then_each_message_once(self):
        quiet, row = bad_day(troubles=[], length_s=14.0), type(bad_day().troubles[0])
        ways = [["m0"], ["boxes"]]
        cut = row(at_s=6, what="way", between=ways, for_s=4)
        for one_way in (False, True):
            cut = msgspec.structs.replace(cut, one_way=one_way)
            play, arrived, sent = Play(msgspec.structs.replace(quiet, troubles=[cut]), 5), [], []
            set_up_at_box, set_up = play.set_up_at_box, play.set_up
            play.set_up_at_box = lambda manager, incarnation, viewing, key, *more: (
                arrived.append((play.day_s(), key)),
                set_up_at_box(manager, incarnation, viewing, key, *more),
            )
            play.set_up = lambda manager, viewing, nth, *more: (
                sent.append((play.day_s(), (manager.number, manager.incarnation, viewing.id, nth))),
                set_up(manager, viewing, nth, *more),
            )
            play.run()
            of_cut_manager = [at for at, key in arrived if key[0] == 0]
            self.assertFalse([at for at in of_cut_manager if 6.001 < at < 10])
            self.assertTrue([at for at, key in sent if key[0] == 0 and 6 < at < 10])
            self.assertEqual(len(sent), len({key for _, key in arrived}))
            self.assertEqual(len(arrived), len(sent))  # each once
            self.assertEqual(([], 0), (play.faults, play.totals()["fates"].get("unanswered", 0)))
            of_other_managers = [at for at, key in arrived if key[0] != 0 and 6 < at < 10]
            self.assertGreater(len(of_other_managers), 5)
        delayed = row(at_s=6, what="way", kind="delay", value=700, jitter=200, between=ways, for_s=4)
        play = Play(msgspec.structs.replace(quiet, troubles=[delayed]), 5).run()
        self.assertGreater(play.totals()["tune_ins"].get("further", 0), 0)
        self.assertEqual([], play.faults)
        stall = row(at_s=6, what="box_stall", boxes=[0, 1, 2], for_s=4)
        play = Play(msgspec.structs.replace(quiet, troubles=[stall]), 5).run()
        self.assertLess(play.totals()["service"], Play(quiet, 5).run().totals()["service"])

    def test_a_cold_fleet_is_not_overloaded_unless_slow_start_is_off(self):
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
    def test_the_model_and_processes_give_similar_results_for_the_same_day(self):
        """Shares of answers by kind, on a day with three troubles, lie within the range of 20 model seeds, plus 0.1.

        Random draws differ between sockets and model. Compared with a single model seed that blocked no request, two
        of four days on sockets failed, with 0.21 blocked; the model's own seeds range from 0 to 0.22.
        """
        day = bad_day()
        small_day = msgspec.structs.replace(
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
        small_day = msgspec.convert(msgspec.to_builtins(small_day), Day)
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "day.json"
            file.write_bytes(msgspec.json.encode(small_day))
            process = subprocess.run(
                [sys.executable, "-m", "flaxscale", "day", str(file), "--seed", "4", "--out", f"{folder}/out"],
                cwd=EXAMPLES.parent,
                capture_output=True,
                text=True,
                timeout=120,
            )
            self.assertEqual(0, process.returncode, process.stdout + process.stderr[-2000:])
            rows = [
                json.loads(line) for line in (pathlib.Path(folder) / "out" / "clients.jsonl").read_text().splitlines()
            ]
        sockets = Counter(r["fate"] for r in rows if r["what"] == "seen")
        seeds = [Play(small_day, seed).run().totals() for seed in range(1, 21)]
        for fate in ("plays", "blocked", "aborted"):
            model_shares = [
                (t["fates"].get(fate, 0) + (t["fates"].get("late", 0) if fate == "plays" else 0)) / t["requests"]
                for t in seeds
            ]
            process_share = sockets[fate] / sum(sockets.values())
            self.assertTrue(
                min(model_shares) - 0.1 <= process_share <= max(model_shares) + 0.1,
                (fate, sockets, min(model_shares), max(model_shares)),
            )
