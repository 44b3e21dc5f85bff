"""The hunt: what it draws can be played, it learns and resumes, makes small, and finds what is planted."""

import json
import pathlib
import tempfile
import unittest
import unittest.mock

import msgspec

from flaxscale.hunt.marks import marks_of
from flaxscale.hunt.search import GENERATION_SIZE, Hunt, Outcome
from flaxscale.hunt.shrink import shrink
from flaxscale.hunt.space import LEAD_S, Space, healed_at
from flaxscale.lab import hunts
from flaxscale.lab.chance import Dice
from flaxscale.lab.hunts import Hunting
from flaxscale.lab.shapes import TroubleRow, faults, read_day
from flaxscale.model import judge
from flaxscale.rules.comeback import judge_day, judge_recovery
from tests.test_day import ROOT, Played, flaxscale

FOUND = pathlib.Path(__file__).parent / "hunted"


def quiet_day(name="bad-day", **more):
    day = read_day(ROOT / "examples" / f"{name}.jsonnet", sockets=None)
    return msgspec.structs.replace(day, troubles=[], length_s=24.0, **more)


def nothing(loss=0.0, breaks=(), marks=()):
    return Outcome(tuple(breaks), True, loss, frozenset(marks))


class Drawn(unittest.TestCase):
    def test_whatever_is_drawn_or_changed_is_a_day_that_its_player_plays(self):
        for name, sockets in (("bad-day", False), ("straggler-day", True), ("loss-day", True)):
            day = quiet_day(name)
            space, dice, kinds = Space(day, sockets), Dice(3, name), set()
            troubles = space.draw_list(dice)
            for n in range(400):
                troubles = space.draw_list(dice) if n % 9 == 0 else space.mutate(troubles, dice)
                self.assertEqual([], faults(msgspec.structs.replace(day, troubles=troubles), sockets), troubles)
                self.assertTrue(all(row.at_s >= LEAD_S for row in troubles))
                self.assertLessEqual(max(row.at_s + row.for_s for row in troubles), space.latest_end_s + 0.01)
                kinds |= {(row.what, row.kind) for row in troubles}
            self.assertLessEqual({(kind, "cut") for kind in space.kinds if kind != "disk"}, kinds)
            self.assertLessEqual({("way", kind) for kind in space.ways}, kinds)
        with self.assertRaisesRegex(ValueError, "length_s"):
            Space(msgspec.structs.replace(quiet_day(), length_s=12.0), False)

    def test_the_next_generation_stands_on_what_came_and_a_plain_hunt_learns_nothing(self):
        def lead(plain, marks):
            hunt = Hunt(Space(quiet_day(), False), 5, plain=plain)
            for row in hunt.next_generation():
                hunt.record(*row, nothing(marks=marks if row[0] == 3 else ()))
            return hunt, hunt.next_generation()

        hunt, with_news = lead(False, ("new",))
        self.assertEqual([3], [p.number for p in hunt.corpus])
        self.assertEqual(with_news, lead(False, ("new",))[1])
        self.assertNotEqual(with_news, lead(False, ())[1])
        self.assertEqual(lead(True, ("new",))[1], lead(True, ())[1])

    def test_a_broken_rule_ranks_before_a_fleet_that_stays_down_and_that_before_any_loss(self):
        hunt = Hunt(Space(quiet_day(), False), 5)
        rows = hunt.next_generation()
        for row, outcome in zip(
            rows, (nothing(0.9), Outcome((), False, 0.0, frozenset()), nothing(breaks=[("rule 1", "x")]), nothing(0.1))
        ):
            hunt.record(*row, outcome)
        self.assertEqual([2, 1, 0], [p.number for p in hunt.worst()])

    def test_marks_are_of_what_stood_together_and_what_came_meanwhile(self):
        rows = [TroubleRow(at_s=5, what="way", for_s=2), TroubleRow(at_s=6, what="hang", for_s=2)]
        found = marks_of(rows, {"plays": 40}, [(1, {"plays": 3}), (6, {"blocked": 5})])
        self.assertEqual({"plays x2", "quiet: plays x0", "hang+way cut: blocked x1"}, found)
        self.assertEqual(8, healed_at(rows))


class Small(unittest.TestCase):
    def test_a_list_is_made_as_small_as_it_still_shows_it(self):
        rows = [TroubleRow(at_s=n, what="hang", for_s=4, boxes=list(range(8))) for n in range(7)]
        rows[4] = TroubleRow(at_s=4, what="crash", for_s=4, boxes=list(range(8)))
        steps, plays = shrink(rows), 0
        try:
            tried = next(steps)
            while True:
                plays += 1
                tried = steps.send(
                    any(r.what == "crash" and 5 in r.boxes and r.for_s >= 2 for r in tried)
                    and any(r.what == "hang" and r.at_s == 2 for r in tried)
                )
        except StopIteration as done:
            small = done.value
        self.assertEqual(
            [("hang", [0], 1.0), ("crash", [5], 2.0)],
            [(r.what, r.boxes[:1] if r.what == "hang" else r.boxes, r.for_s) for r in small],
        )
        self.assertLess(plays, 60)


class Comeback(unittest.TestCase):
    def test_a_fleet_that_stays_down_is_told_from_one_that_comes_back_and_from_chance(self):
        steady = dict.fromkeys(range(30), 40)
        self.assertIs(True, judge_recovery(steady, 6, 12, 30).recovered)
        self.assertIs(True, judge_recovery({**steady, **dict.fromkeys(range(6, 18), 0)}, 6, 12, 30).recovered)
        self.assertIs(False, judge_recovery({**steady, **dict.fromkeys(range(6, 30), 16)}, 6, 12, 30).recovered)
        self.assertIs(None, judge_recovery(dict.fromkeys(range(30), 3), 6, 12, 30).recovered)  # 15 viewings say nothing
        self.assertIs(None, judge_recovery(steady, 6, 28, 30).recovered)  # too near the end
        self.assertIs(True, judge_recovery({**steady, 20: 13, 21: 14}, 6, 12, 30).recovered)

    def test_a_days_records_say_it_and_a_box_that_is_not_back_yet_counts_as_struck(self):
        def told(plays, back=9.0):
            rows = [{"at": round(s * 10_000), "what": "seen", "fate": "plays"} for s in plays]
            lab = [
                {"at": 0, "what": "begin"},
                {"at": 60_000, "what": "kill", "manager": "m0"},
                {"at": round(back * 10_000), "what": "back", "manager": "m0"},
                {"at": 320_000, "what": "end"},
            ]
            with tempfile.TemporaryDirectory() as folder:
                for name, some in (("lab", lab), ("clients", rows)):
                    pathlib.Path(folder, f"{name}.jsonl").write_text("".join(json.dumps(r) + "\n" for r in some))
                pathlib.Path(folder, "day.json").write_text('{"length_s": 30}')
                return judge_day(folder)

        steady = [n / 30 for n in range(900)]
        self.assertIs(True, told(steady).recovered)
        self.assertIs(False, told([s for s in steady if s < 6 or s * 30 % 4 < 1]).recovered)
        self.assertIs(None, told(steady, 25.0).recovered)


class Found(unittest.TestCase):
    """Model plays."""

    def test_planted_faults_are_found_and_a_sound_manager_breaks_nothing(self):
        # All boxes cold and a crowd: one that keeps no pace; one that overlooks seats; one that is deaf to drains.
        day = quiet_day()
        crowd = [
            TroubleRow(at_s=6, what="crash", for_s=1, boxes=list(range(12))),
            TroubleRow(at_s=8, what="crowd", for_s=5, value=4),
        ]
        crash = [TroubleRow(at_s=5, what="drain", for_s=9, boxes=list(range(9)))]
        policy = "flaxscale.decide.Manager."
        for name, planted, troubles, kind in (
            ("slow_start_allows", lambda self, srv: True, crowd, "rule 4"),
            (
                "has_seat",
                lambda self, seat, holders=(): True,
                [TroubleRow(at_s=5, what="crowd", for_s=9, value=4, titles=["quay-cam"])],
                "rule 5",
            ),
            ("update_server", None, crash, "rule 3"),
        ):
            sound = judge.play_and_check(day, 2, troubles)[0]
            self.assertEqual((), sound.breaks, name)
            if planted is None:
                from flaxscale.decide import Manager

                whole = Manager.update_server

                def planted(self, row, whole=whole):
                    if row.state.name != "DRAINING":
                        whole(self, row)

            with unittest.mock.patch(policy + name, planted):
                found = judge.play_and_check(day, 2, troubles)[0]
            self.assertIn(kind, {k for k, _ in found.breaks}, name)

    def test_days_that_once_broke_something_break_nothing_now(self):
        files = sorted(FOUND.glob("*.jsonnet"))
        self.assertEqual(["cut-through-a-restart.jsonnet", "down-twice.jsonnet"], [file.name for file in files])
        for file in files:
            seed = int(file.read_text().partition("--seed ")[2].partition(".")[0])
            day = read_day(file, sockets=False)
            outcome, _ = judge.play_and_check(day, seed, day.troubles)
            self.assertEqual((), outcome.breaks, file.name)

    def test_a_hunt_that_is_stopped_goes_on_in_any_number_of_processes(self):
        with tempfile.TemporaryDirectory() as folder:

            def plays(name, jobs, budget):
                hunting = Hunting(quiet_day(), f"{folder}/{name}", 4, jobs)
                hunting.run(budget)
                return hunting, [(p.number, p.seed, p.troubles, p.outcome, p.new) for p in hunting.hunt.played]

            _, whole = plays("whole", 3, 2 * GENERATION_SIZE)
            self.assertEqual(2 * GENERATION_SIZE, len(whole))
            plays("stopped", 2, GENERATION_SIZE)
            again, rest = plays("stopped", 1, 2 * GENERATION_SIZE)
            self.assertEqual((GENERATION_SIZE, whole), (again.resumed, rest))
            # Half a generation in the log, as a kill leaves it.
            log = again.log
            for name in log.files.names():
                data = log.files.read(name)
                log.files.truncate(name, len(data) * 3 // 4)
            log.files.close(log.segment)
            after, rest = plays("stopped", 3, 2 * GENERATION_SIZE)
            self.assertTrue(GENERATION_SIZE < after.resumed < 2 * GENERATION_SIZE)
            self.assertEqual(whole, rest)
            with self.assertRaisesRegex(ValueError, "another hunt"):
                Hunting(quiet_day(), f"{folder}/stopped", 5, 1)

    def test_the_command_finds_shrinks_and_keeps_a_day_and_refuses_what_is_too_large(self):
        with tempfile.TemporaryDirectory() as folder:
            done = flaxscale(
                "hunt",
                str(ROOT / "examples" / "bad-day.jsonnet"),
                "--budget",
                "16",
                "--jobs",
                "2",
                "--worst",
                "1",
                "--out",
                f"{folder}/hunt",
            )
            self.assertEqual(0, done.returncode, done.stdout + done.stderr)
            self.assertRegex(done.stdout, r"16 plays of boats: 0 broke something, 0 did not come back, \d+ marks")
            [kept] = pathlib.Path(folder, "hunt").glob("found-*.jsonnet")
            self.assertEqual([], faults(read_day(kept, sockets=False), False))
            large = pathlib.Path(folder, "large.jsonnet")
            large.write_text(
                "local day = import '%s'; day { boxes: [day.boxes[n %% 12] for n in std.range(0, 9999)] "
                "}" % (ROOT / "examples" / "bad-day.jsonnet")
            )
            done = flaxscale("hunt", str(large), "--on", "processes", "--out", f"{folder}/large")
            self.assertEqual(2, done.returncode)
            self.assertRegex(done.stderr, "at most 400 processes .* this day would start 10003")


class ByProcesses(Played):
    def test_a_day_that_is_found_is_played_both_ways_and_what_differs_is_said(self):
        with tempfile.TemporaryDirectory() as folder:
            file = FOUND / "down-twice.jsonnet"
            found = hunts.replayed(read_day(file, sockets=None), 1, folder)
            self.assertEqual(["virtual time", "processes"], list(found))
            self.assertEqual([(), ()], [outcome.breaks for outcome in found.values()])
            self.assertIsNone(hunts.difference(found))
            self.assertIn("plays x3", found["processes"].marks)
        other = {"virtual time": nothing(breaks=[("rule 4", "x")]), "processes": nothing()}
        self.assertEqual("rule 4 in virtual time only", hunts.difference(other))
        self.assertIsNone(hunts.difference({"virtual time": "way: needs processes", "processes": nothing()}))
