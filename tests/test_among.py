"""Processes among each other in the model: deaths, take-over, leases; and one day played both ways."""

import json
import pathlib
import tempfile
import unittest
import unittest.mock

import msgspec

from flaxscale.lab.shapes import TroubleRow, read_day
from flaxscale.leases.granter import Granter
from flaxscale.members.adopt import Fence
from flaxscale.model.duties import Service
from flaxscale.model.judge import Judge, played
from flaxscale.model.play import Play
from flaxscale.rules.audit import judge as judge_accounts
from tests.test_day import ROOT, flaxscale


def talking(name="handover-day", **more):
    day = read_day(ROOT / "examples" / f"{name}.jsonnet", sockets=False)
    day.demand.play_s, day.demand.leave = [12, 16], 0
    return msgspec.structs.replace(day, troubles=[], **more)


def crash(at_s, m, for_s=60.0, what="manager_crash"):
    return TroubleRow(at_s=at_s, what=what, managers=[m], for_s=for_s)


def deaths(play):
    return {(who, row[0]) for _, what, who, *row in play.records if what == "member" and row[1] == "dead"}


class Among(unittest.TestCase):
    def test_what_a_dead_one_played_is_taken_over_once_and_nothing_of_it_is_lost(self):
        day = talking(length_s=20.0)
        day = msgspec.structs.replace(day, troubles=[crash(8, 0)])
        play = Play(day, 3).run()
        taken = [row for row in play.records if row[1] == "adopted"]
        self.assertGreater(len(taken), 5)
        self.assertEqual(len(taken), len({(key, epoch) for _, _, _, key, epoch, _ in taken}))
        self.assertEqual({(f"m{m}", "m0") for m in range(1, day.site.managers)}, deaths(play))
        self.assertNotIn("lost with its manager", play.totals()["fates"])
        alone = Play(msgspec.structs.replace(day, members=False), 3).run()
        self.assertGreater(alone.totals()["requests"], play.totals()["requests"])  # their viewers ask again

    def test_one_that_stands_still_loses_its_share_and_ends_nothing_when_it_goes_on(self):
        day = talking(length_s=24.0)
        outcome, _ = played(day, 3, [crash(6, 0, 7.0, "manager_stall"), crash(16, 1, 0.3, "manager_restart")])
        self.assertEqual((), outcome.breaks)
        self.assertTrue(
            {"members adopted", "members dead", "members left"} <= {mark.rpartition(" x")[0] for mark in outcome.marks},
            outcome.marks,
        )

    def test_both_sides_of_a_cut_claim_and_a_box_grants_each_epoch_once(self):
        day = talking(length_s=24.0)
        rows = [TroubleRow(at_s=7, what="way", kind="cut", between=[["m0", "m1"], ["m2", "m3", "m4"]], for_s=7)]
        outcome, _ = played(day, 3, rows)
        self.assertEqual((), outcome.breaks)
        self.assertIn("members adopted", {mark.rpartition(" x")[0] for mark in outcome.marks})

        def granted(self, key, epoch, owner):
            if key in self.held:
                self.held[key] = owner, epoch
            return key in self.held

        with unittest.mock.patch.object(Fence, "claim", granted):
            outcome, _ = played(day, 3, rows)
        self.assertIn("claims", {kind for kind, _ in outcome.breaks})

    def test_leases_pass_from_the_dead_and_a_granter_that_begins_its_tokens_anew_is_found(self):
        day = talking("duties-day", length_s=24.0)
        rows = [
            crash(6, 0, 5.0),
            TroubleRow(at_s=13, what="catalogue_crash", for_s=1.0),
            crash(15, 1, 5.0, "manager_stall"),
        ]
        play = Play(msgspec.structs.replace(day, troubles=rows), 2)
        judge = Judge(play)
        play.run()
        self.assertEqual((), judge.found())
        acts = {}
        for time, what, who, *row in play.records:
            if what == "act":
                acts.setdefault(row[0], []).append((time - play.began, who))
        self.assertEqual(
            {"compact", "copies", "floors", "reports", *(f"orphans/{b}" for b in play.fleet.boxes)}, set(acts)
        )
        for piece in [p for p, rows in acts.items() if p != "copies"]:  # it acts once in five seconds
            self.assertTrue(any(140_000 > at > 60_000 for at, _ in acts[piece]), piece)
        self.assertTrue(any(len({who for _, who in rows}) > 1 for rows in acts.values()))
        start = Service.start

        def anew(self):
            start(self)
            self.granter = Granter(self.tasks, self.world.now)
            self.granter.seen = lambda token: None  # holders tell it what they know: that alone would mend it

        with unittest.mock.patch.object(Service, "start", anew):
            outcome, _ = played(day, 2, rows)
        self.assertIn("leases", {kind for kind, _ in outcome.breaks})

    def test_one_seed_gives_one_course_to_the_last_record(self):
        day = read_day(ROOT / "examples" / "duties-day.jsonnet", sockets=False)
        day = msgspec.structs.replace(day, length_s=24.0, troubles=[t for t in day.troubles if t.at_s < 20])
        one, two = Play(day, 5).run(), Play(day, 5).run()
        self.assertEqual(one.records, two.records)
        self.assertNotEqual(one.records, Play(day, 6).run().records)


class BothWays(unittest.TestCase):
    def test_one_day_by_processes_and_in_the_model_agrees_on_who_died_and_what_was_taken_over(self):
        # What must agree: who was called dead by whom, and that all that a dead one held is another's, each once an
        # epoch. What may differ: which requests came before the deaths, and so how many there were.
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "day.jsonnet"
            file.write_text(
                """local day = import '%s';
                day { boxes: day.boxes[:6], length_s: 15, lease_ms: 12000, site+: { managers: 3 },
                      demand+: { rate: 4, play_s: [12, 16], leave: 0, pushes: [], returns: 0 },
                      troubles: [{ at_s: 4, what: 'manager_crash', managers: [0], for_s: 11.5 },
                                 { at_s: 9.5, what: 'manager_crash', managers: [1], for_s: 6 }] }"""
                % (ROOT / "examples" / "handover-day.jsonnet")
            )
            out = pathlib.Path(folder) / "out"
            done = flaxscale("day", str(file), "--seed", "3", "--out", str(out))
            self.assertEqual(0, done.returncode, done.stdout + done.stderr)
            self.assertEqual([], judge_accounts(out).violations())
            by_processes = self.of_processes(out)
            play = Play(read_day(str(file), sockets=False), 3)
            judge = Judge(play)
            play.run()
        self.assertEqual((), judge.found())
        in_the_model = self.of_model(play)
        for died, taken, strangers in (by_processes, in_the_model):
            self.assertEqual({("m1", "m0"), ("m2", "m0"), ("m2", "m1")}, died)
            self.assertEqual({"m0", "m1"}, set(taken))
            self.assertEqual(set(), strangers)  # nobody dead holds anything at the end
            self.assertGreater(min(len(keys) for keys in taken.values()), 2)

    def of_processes(self, out):
        """(who was called dead by whom, {manager: keys taken from it}, keys that a dead one holds at the end)."""

        def rows(file):
            return [json.loads(line) for line in file.read_text().splitlines() if line.startswith("{")]

        end = next(row["at"] for row in rows(out / "lab.jsonl") if row["what"] == "begin") + 150_000
        died = {
            (f"m{n}", row["name"])
            for n in range(3)
            for row in rows(out / f"front-{n}.log")
            if row.get("event") == "member" and row["state"] == "dead" and row["mono"] < end
        }
        found = [row for file in out.glob("box-*-*.jsonl") for row in rows(file) if row.get("at", 0) < end]
        held, taken, epochs = {}, {}, {}
        for row in sorted(found, key=lambda row: row.get("at", 0)):
            if row["what"] == "setup":
                held[row["key"]] = row["manager"]
            elif row["what"] == "over":
                held.pop(row["key"], None)
            elif row["what"] == "adopted":
                self.assertEqual(epochs.get(row["key"], 0) + 1, row["epoch"])
                epochs[row["key"]] = row["epoch"]
                taken.setdefault(held[row["key"]], set()).add(row["key"])
                held[row["key"]] = row["manager"]
        return died, taken, {key for key, manager in held.items() if manager in ("m0", "m1")}

    def of_model(self, play):
        taken, epochs = {}, {}
        for _, what, _, *row in play.records:
            if what == "adopted":
                key, epoch, before = row
                self.assertEqual(epochs.get(key, 0) + 1, epoch)
                epochs[key] = epoch
                taken.setdefault(before, set()).add(key)
        stand = [row for holder in play.fleet.boxes.values() for row in holder.box.sessions.items()]
        return (
            deaths(play),
            taken,
            {key for key, s in stand if s.manager in ("m0", "m1") and s.life < play.named(s.manager).life},
        )
