"""Faults between processes in the model: crashes, take-over, leases; and one day run by processes and in the model."""

import json
import pathlib
import tempfile
import unittest
import unittest.mock

import msgspec

from flaxscale.lab.shapes import TroubleRow, read_day
from flaxscale.leases.granter import Granter
from flaxscale.members.takeover import Fence
from flaxscale.model.duties import CatalogueService
from flaxscale.model.judge import RuleChecker, play_and_check
from flaxscale.model.play import Play
from flaxscale.rules.audit import judge as judge_accounts
from tests.test_day import ROOT, flaxscale


def day_with_members(name="handover-day", **more):
    day = read_day(ROOT / "examples" / f"{name}.jsonnet", sockets=False)
    day.demand.play_s, day.demand.leave = [12, 16], 0
    return msgspec.structs.replace(day, troubles=[], **more)


def crash(at_s, m, for_s=60.0, what="manager_crash"):
    return TroubleRow(at_s=at_s, what=what, managers=[m], for_s=for_s)


def detected_deaths(play):
    return {(who, row[0]) for _, what, who, *row in play.records if what == "member" and row[1] == "dead"}


class ProcessFaults(unittest.TestCase):
    def test_sessions_of_a_crashed_manager_are_taken_over_once_and_none_is_lost(self):
        day = day_with_members(length_s=20.0)
        day = msgspec.structs.replace(day, troubles=[crash(8, 0)])
        play = Play(day, 3).run()
        taken = [row for row in play.records if row[1] == "adopted"]
        self.assertGreater(len(taken), 5)
        self.assertEqual(len(taken), len({(key, epoch) for _, _, _, key, epoch, _ in taken}))
        self.assertEqual({(f"m{m}", "m0") for m in range(1, day.site.managers)}, detected_deaths(play))
        self.assertNotIn("lost with its manager", play.totals()["fates"])
        alone = Play(msgspec.structs.replace(day, members=False), 3).run()
        self.assertGreater(alone.totals()["requests"], play.totals()["requests"])  # the viewers retry

    def test_a_stalled_manager_loses_its_sessions_and_ends_none_after_the_stall(self):
        day = day_with_members(length_s=24.0)
        outcome, _ = play_and_check(day, 3, [crash(6, 0, 7.0, "manager_stall"), crash(16, 1, 0.3, "manager_restart")])
        self.assertEqual((), outcome.breaks)
        self.assertTrue(
            {"members adopted", "members dead", "members left"} <= {mark.rpartition(" x")[0] for mark in outcome.marks},
            outcome.marks,
        )

    def test_both_sides_of_a_partition_claim_and_a_box_grants_each_epoch_once(self):
        day = day_with_members(length_s=24.0)
        rows = [TroubleRow(at_s=7, what="way", kind="cut", between=[["m0", "m1"], ["m2", "m3", "m4"]], for_s=7)]
        outcome, _ = play_and_check(day, 3, rows)
        self.assertEqual((), outcome.breaks)
        self.assertIn("members adopted", {mark.rpartition(" x")[0] for mark in outcome.marks})

        def granted(self, key, epoch, owner):
            if key in self.held:
                self.held[key] = owner, epoch
            return key in self.held

        with unittest.mock.patch.object(Fence, "claim", granted):
            outcome, _ = play_and_check(day, 3, rows)
        self.assertIn("claims", {kind for kind, _ in outcome.breaks})

    def test_leases_of_a_crashed_manager_pass_on_and_a_granter_that_restarts_its_tokens_is_detected(self):
        day = day_with_members("duties-day", length_s=24.0)
        rows = [
            crash(6, 0, 5.0),
            TroubleRow(at_s=13, what="catalogue_crash", for_s=1.0),
            crash(15, 1, 5.0, "manager_stall"),
        ]
        play = Play(msgspec.structs.replace(day, troubles=rows), 2)
        checker = RuleChecker(play)
        play.run()
        self.assertEqual((), checker.all_violations())
        acts = {}
        for time, what, who, *row in play.records:
            if what == "act":
                acts.setdefault(row[0], []).append((time - play.began, who))
        self.assertEqual(
            {"compact", "copies", "floors", "reports", *(f"orphans/{b}" for b in play.fleet.boxes)}, set(acts)
        )
        for piece in [p for p, rows in acts.items() if p != "copies"]:  # it acts once every five seconds
            self.assertTrue(any(140_000 > at > 60_000 for at, _ in acts[piece]), piece)
        self.assertTrue(any(len({who for _, who in rows}) > 1 for rows in acts.values()))
        start = CatalogueService.start

        def start_with_new_granter(self):
            start(self)
            self.granter = Granter(self.tasks, self.world.now)
            # Holders report their tokens, which alone would restore the count.
            self.granter.observe_token = lambda token: None

        with unittest.mock.patch.object(CatalogueService, "start", start_with_new_granter):
            outcome, _ = play_and_check(day, 2, rows)
        self.assertIn("leases", {kind for kind, _ in outcome.breaks})

    def test_the_same_seed_gives_the_same_records(self):
        day = read_day(ROOT / "examples" / "duties-day.jsonnet", sockets=False)
        day = msgspec.structs.replace(day, length_s=24.0, troubles=[t for t in day.troubles if t.at_s < 20])
        one, two = Play(day, 5).run(), Play(day, 5).run()
        self.assertEqual(one.records, two.records)
        self.assertNotEqual(one.records, Play(day, 6).run().records)


class ProcessesAndModel(unittest.TestCase):
    def test_processes_and_model_agree_on_detected_crashes_and_sessions_taken_over(self):
        # Must agree: which manager detected which crash, and that every session of a crashed manager was taken over,
        # once per epoch. May differ: which requests came before the crashes, and so how many sessions there were.
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
            by_processes = self.process_results(out)
            play = Play(read_day(str(file), sockets=False), 3)
            checker = RuleChecker(play)
            play.run()
        self.assertEqual((), checker.all_violations())
        in_model = self.model_results(play)
        for detected, taken, held_by_crashed in (by_processes, in_model):
            self.assertEqual({("m1", "m0"), ("m2", "m0"), ("m2", "m1")}, detected)
            self.assertEqual({"m0", "m1"}, set(taken))
            self.assertEqual(set(), held_by_crashed)  # no crashed manager holds a session at the end
            self.assertGreater(min(len(keys) for keys in taken.values()), 2)

    def process_results(self, out):
        """(crashes detected, as (by, of); {manager: keys taken from it}; keys held by crashed managers at the end)."""

        def rows(file):
            return [json.loads(line) for line in file.read_text().splitlines() if line.startswith("{")]

        end = next(row["at"] for row in rows(out / "lab.jsonl") if row["what"] == "begin") + 150_000
        detected = {
            (f"m{n}", row["name"])
            for n in range(3)
            for row in rows(out / f"front-{n}.log")
            if row.get("event") == "member" and row["state"] == "dead" and row["mono"] < end
        }
        records = [row for file in out.glob("box-*-*.jsonl") for row in rows(file) if row.get("at", 0) < end]
        held, taken, epochs = {}, {}, {}
        for row in sorted(records, key=lambda row: row.get("at", 0)):
            if row["what"] == "setup":
                held[row["key"]] = row["manager"]
            elif row["what"] == "over":
                held.pop(row["key"], None)
            elif row["what"] == "adopted":
                self.assertEqual(epochs.get(row["key"], 0) + 1, row["epoch"])
                epochs[row["key"]] = row["epoch"]
                taken.setdefault(held[row["key"]], set()).add(row["key"])
                held[row["key"]] = row["manager"]
        return detected, taken, {key for key, manager in held.items() if manager in ("m0", "m1")}

    def model_results(self, play):
        taken, epochs = {}, {}
        for _, what, _, *row in play.records:
            if what == "adopted":
                key, epoch, before = row
                self.assertEqual(epochs.get(key, 0) + 1, epoch)
                epochs[key] = epoch
                taken.setdefault(before, set()).add(key)
        sessions = [row for holder in play.fleet.boxes.values() for row in holder.box.sessions.items()]
        return (
            detected_deaths(play),
            taken,
            {
                key
                for key, s in sessions
                if s.manager in ("m0", "m1") and s.life < play.manager_named(s.manager).incarnation
            },
        )
