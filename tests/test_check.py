"""The checker finds violations: for each rule there are records of sockets in which that rule alone is broken."""

import json
import pathlib
import shutil
import tempfile
import unittest

from flaxscale.rules.check import check
from flaxscale.rules.promises import promises
from flaxscale.rules.records import RecordError

RECORDS = pathlib.Path(__file__).parent / "records"


class CheckedRecords(unittest.TestCase):
    def test_every_kept_record_has_the_verdict_that_its_name_states(self):
        seen = set()
        for folder in sorted(RECORDS.iterdir()):
            verdict = check(folder)
            expected = [] if folder.name.startswith("kept") else [int(folder.name.split("-")[1])]
            self.assertEqual(expected, sorted({b.rule for b in verdict.breaks}), (folder.name, verdict.breaks))
            seen.update(expected)
        self.assertEqual({1, 2, 3, 4, 5, 6}, seen)

    def test_the_summary_line(self):
        self.assertEqual("rules kept: 6, broken: 0; requests 12, answered once 12", check(RECORDS / "kept").line())
        self.assertEqual(
            "rules kept: 5, broken: 1; requests 13, answered once 12", check(RECORDS / "rule-1-no-answer").line()
        )

    def changed(self, name, change):
        """Returns the verdict on a copy of that record after change(folder)."""
        with tempfile.TemporaryDirectory() as folder:
            copy = pathlib.Path(folder) / "copy"
            shutil.copytree(RECORDS / name, copy)
            change(copy)
            return check(copy)

    def add(self, file, *rows):
        """Returns a change that appends rows to a file."""

        def change(folder):
            with (folder / file).open("a") as out:
                out.writelines(json.dumps(row) + "\n" for row in rows)

        return change

    def test_no_answer_is_due_from_a_killed_manager_but_from_a_running_one(self):
        kill = {"at": 1_100_000, "what": "kill", "manager": "m0"}
        self.assertEqual([], self.changed("rule-1-no-answer", self.add("lab.jsonl", kill)).breaks)
        for other in ({**kill, "manager": "m1"}, {**kill, "at": 1_300_000}):
            self.assertEqual(
                [1], [b.rule for b in self.changed("rule-1-no-answer", self.add("lab.jsonl", other)).breaks]
            )

    def test_a_restarted_manager_has_not_been_told_of_a_drain(self):
        kill = {"at": 1_085_000, "what": "kill", "manager": "m0"}
        self.assertEqual([], self.changed("rule-3-drain", self.add("lab.jsonl", kill)).breaks)

    def test_an_unsafe_set_up_answered_as_never_run_may_be_repeated(self):
        row = {"at": 1_093_000, "what": "answer", "key": "m0.50.0", "status": 503, "ran": False}
        self.assertEqual([], self.changed("rule-2-unsafe-again", self.add("box-1-1.jsonl", row)).breaks)

    def test_a_second_unsafe_set_up_under_one_key_breaks_rule_2_while_the_first_exists(self):
        def change(folder, freed=()):
            asked = [
                {
                    "at": 1_300_000 + n,
                    "what": "asked",
                    "n": 900 + n,
                    "key": "k",
                    "manager": f"m{n}",
                    "title": "only",
                    "sends": True,
                    "trace": f"t{n}",
                    "patience": 12_000,
                }
                for n in (0, 1)
            ]
            seen = [
                {
                    "at": 1_300_300 + n,
                    "what": "seen",
                    "n": 900 + n,
                    "manager": f"m{n}",
                    "fate": "plays",
                    "status": 201,
                    "after": 300,
                }
                for n in (0, 1)
            ]
            self.add("clients.jsonl", *asked, *seen)(folder)
            rows = []
            for n, at in ((0, 1_300_100), (1, 1_302_000)):
                rows += [
                    {
                        "at": at,
                        "what": "setup",
                        "key": f"m{n}.k.{n}",
                        "trace": f"t{n}",
                        "manager": f"m{n}",
                        "title": "only",
                        "package": self.unsafe(folder),
                        "rung": 0,
                        "sends": True,
                    },
                    {"at": at + 10, "what": "answer", "key": f"m{n}.k.{n}", "status": 201, "ran": True},
                ]
            self.add("box-1-1.jsonl", *rows, *freed)(folder)

        self.assertEqual([2], [b.rule for b in self.changed("kept", change).breaks if "client's key" in b.detail])
        over = {"at": 1_300_500, "what": "over", "key": "m0.k.0", "how": "left"}
        self.assertEqual(
            [], [b for b in self.changed("kept", lambda f: change(f, [over])).breaks if "client's key" in b.detail]
        )

    def unkept(self, rows, lab=(), clients=(), media_ms=4_000):
        """Returns (promise, detail) of those not kept on the kept record with these rows added at box 1."""
        with tempfile.TemporaryDirectory() as folder:
            copy = pathlib.Path(folder) / "copy"
            shutil.copytree(RECORDS / "kept", copy)
            day = json.loads((copy / "day.json").read_text())
            day["site"]["fleet"] = {"media_ms": media_ms, "lease_ms": 4_000}
            (copy / "day.json").write_text(json.dumps(day))
            ended = [json.loads(line) for line in (copy / "lab.jsonl").read_text().splitlines()]
            (copy / "lab.jsonl").write_text("")
            self.add(
                "lab.jsonl",
                *sorted(
                    [*(r for r in ended if r["what"] != "end"), *lab, {"at": 1_400_000, "what": "end"}],
                    key=lambda r: r["at"],
                ),
            )(copy)
            self.add("box-1-1.jsonl", *rows)(copy)
            self.add("clients.jsonl", *clients)(copy)
            return [(b.rule, b.detail) for b in promises(copy)]

    def test_a_session_that_no_client_wants_for_too_long_is_an_orphan(self):
        # The client gave up at 1,200,000. With the media timeout of 4 s and 5 s more the limit is 1,290,000.
        clients = [
            {
                "at": 1_170_000,
                "what": "asked",
                "n": 800,
                "key": None,
                "manager": "m0",
                "title": "one",
                "sends": False,
                "trace": "t800",
                "patience": 30_000,
            },
            {
                "at": 1_200_000,
                "what": "seen",
                "n": 800,
                "manager": "m0",
                "fate": "gave_up",
                "status": 0,
                "after": 30_000,
            },
        ]
        set_up = [
            {
                "at": 1_171_000,
                "what": what,
                "key": "m0.800.0",
                "trace": "t800",
                "manager": "m0",
                "title": "one",
                "package": "clip",
                "rung": 1,
                "sends": False,
            }
            for what in ("setup", "begun")
        ]

        def over(at):
            return {"at": at, "what": "over", "key": "m0.800.0", "how": "lease"}

        self.assertEqual([], self.unkept([*set_up, over(1_290_000)], clients=clients))
        for rows in (set_up, [*set_up, over(1_292_000)]):
            [(rule, detail)] = self.unkept(rows, clients=clients)
            self.assertEqual(8, rule)
            self.assertIn("m0.800.0 at box 1 stood for nobody", detail)
        self.assertEqual([], self.unkept(set_up[:1], clients=clients))  # the set-up never began
        # The box hung for two seconds, in which nobody could end the session.
        hung = [
            {"at": 1_210_000 + 20_000 * n, "what": "trouble", "box": 1, "name": "hang", "value": 1 - n} for n in (0, 1)
        ]
        self.assertEqual([], self.unkept([*set_up, *hung, over(1_309_000)], clients=clients))
        self.assertEqual([8], [rule for rule, _ in self.unkept([*set_up, *hung, over(1_312_000)], clients=clients)])
        # An attempt under the same key that still waits may take the session over.
        again = [
            {**clients[0], "key": "k"},
            clients[1],
            {**clients[0], "at": 1_250_000, "n": 801, "key": "k", "trace": "t801"},
        ]
        self.assertEqual([], self.unkept(set_up, clients=again))

    def test_a_playing_session_is_no_orphan_until_its_player_stops(self):
        clients = [
            {
                "at": 1_170_000,
                "what": "asked",
                "n": 800,
                "key": "k",
                "manager": "m0",
                "title": "one",
                "sends": False,
                "trace": "t800",
                "patience": 30_000,
            },
            {
                "at": 1_171_500,
                "what": "seen",
                "n": 800,
                "manager": "m0",
                "fate": "plays",
                "status": 201,
                "after": 1_500,
                "ufrag": "u1",
            },
        ]
        rows = [
            {
                "at": 1_171_000,
                "what": what,
                "key": "m0.800.0",
                "trace": "t800",
                "manager": "m0",
                "title": "one",
                "package": "clip",
                "rung": 1,
                "sends": False,
                "status": 201,
                "ran": True,
                "ufrag": "u1",
            }
            for what in ("setup", "begun", "answer")
        ]
        self.assertEqual([], self.unkept(rows, clients=clients))
        held = {"at": 1_250_000, "what": "held", "n": 800, "whole": True}
        self.assertEqual([8], [rule for rule, _ in self.unkept(rows, clients=[*clients, held])])
        # The same answer given to another viewer, and one epoch granted to two managers.
        other = [{**clients[0], "n": 801, "key": "l", "trace": "t801"}, {**clients[1], "n": 801}]
        self.assertEqual([7], [rule for rule, _ in self.unkept(rows, clients=[*clients, *other])])
        claims = [
            {"at": 1_180_000 + n, "what": "adopted", "key": "m0.800.0", "manager": f"m{n}", "epoch": 1} for n in (1, 2)
        ]
        self.assertEqual([7], [rule for rule, _ in self.unkept([*rows, *claims], clients=clients)])

    @staticmethod
    def unsafe(folder):
        packages = json.loads((folder / "day.json").read_text())["site"]["packages"]
        return next(name for name, row in packages.items() if row["effect"] == "unsafe")

    def test_sessions_of_a_killed_manager_count_against_its_seats_from_its_restart(self):
        # Two seats; one session of the previous life plays on unclaimed and two new ones begin: three.
        lab = [{"at": 1_091_500, "what": "kill", "manager": "m0"}, {"at": 1_092_000, "what": "back", "manager": "m0"}]
        self.assertEqual(
            [5], [b.rule for b in self.changed("rule-5-over-the-seats", self.add("lab.jsonl", *lab)).breaks]
        )
        lease = {"at": 1_091_900, "what": "over", "key": "m0.50.0", "how": "lease"}

        def ended(folder):
            self.add("lab.jsonl", *lab)(folder)
            self.add("box-1-1.jsonl", lease)(folder)

        self.assertEqual([], self.changed("rule-5-over-the-seats", ended).breaks)

    def test_a_set_up_delayed_by_a_fault_is_not_judged_by_its_arrival(self):
        # Sent before the manager was told, received when the path had healed; without the fault it is a violation.
        late = [
            {"at": 1_080_000, "what": "fault", "n": 0, "kind": "cut", "ways": ["m0>b1", "m0>b2"]},
            {"at": 1_099_000, "what": "heal", "n": 0, "ways": ["m0>b1", "m0>b2"]},
        ]
        for rule in ("rule-3-drain", "rule-2-two-out"):
            self.assertTrue(check(RECORDS / rule).breaks)
            self.assertEqual([], self.changed(rule, self.add("lab.jsonl", *late)).breaks, rule)
        early = [{**row, "at": row["at"] - 60_000} for row in late]
        self.assertEqual([3], [b.rule for b in self.changed("rule-3-drain", self.add("lab.jsonl", *early)).breaks])
        stalled = [
            {"at": 1_080_000 + n, "what": what, "box": box}
            for box in (1, 2)
            for n, what in ((0, "box_stall"), (19_000, "box_go_on"))
        ]
        self.assertEqual([], self.changed("rule-3-drain", self.add("lab.jsonl", *stalled)).breaks)

    def test_a_claim_is_judged_by_the_seats_at_its_time_not_at_the_set_up(self):
        # One seat while both were set up under two managers, two when one of them took over the other's session.
        def change(folder):
            box = (folder / "box-1-1.jsonl").read_text() + (folder / "box-2-1.jsonl").read_text()
            last = [json.loads(row) for row in box.splitlines() if '"m0.51.0"' in row][0]
            for file in folder.glob("box-*.jsonl"):
                file.write_text(file.read_text().replace(json.dumps(last), json.dumps({**last, "manager": "m1"})))
            catalogue_rows = [
                {
                    "at": 1_093_000,
                    "what": "version",
                    "version": 3,
                    "titles": {
                        "cam": {
                            "holders": {"1": "holding", "2": "holding"},
                            "seats": {"cam": seats},
                            "low": 0,
                            "top": 4,
                        }
                    },
                }
            ]
            catalogue_rows += [
                {"at": 1_093_100 + n, "what": what, "watcher": m, "version": 3}
                for m in ("m0", "m1")
                for n, what in enumerate(("told", "ack"))
            ]
            catalogue_rows += [
                {"at": 1_070_000, "what": what, "watcher": "m1", "version": 2} for what in ("told", "ack")
            ]
            self.add("catalogue.jsonl", *sorted(catalogue_rows, key=lambda row: row["at"]))(folder)
            file = next(f.name for f in folder.glob("box-*.jsonl") if '"m0.51.0"' in f.read_text())
            self.add(file, {"at": 1_098_000, "what": "adopted", "key": "m0.51.0", "manager": "m0", "epoch": 1})(folder)

        for seats, broken in ((2, []), (1, [5])):
            self.assertEqual(broken, [b.rule for b in self.changed("rule-5-over-the-titles-own-seats", change).breaks])

    def test_further_tune_ins_are_counted_from_a_managers_start(self):
        kills = [{"at": at, "what": "kill", "manager": "m0"} for at in (1_092_000, 1_095_500)]
        self.assertEqual(
            [6], [b.rule for b in self.changed("rule-6-over-the-budget", self.add("lab.jsonl", kills[1])).breaks]
        )
        self.assertEqual([], self.changed("rule-6-over-the-budget", self.add("lab.jsonl", *kills)).breaks)

    def test_unreadable_records_are_named_in_the_error(self):
        def torn(folder):
            with (folder / "clients.jsonl").open("a") as out:
                out.write('{"at": 1, "wh')  # the incomplete last line of a killed process is skipped

        self.assertEqual([], self.changed("kept", torn).breaks)

        def broken(folder):
            rows = (folder / "clients.jsonl").read_text().splitlines(True)
            (folder / "clients.jsonl").write_text(rows[0] + "{oops\n" + "".join(rows[1:]))

        with self.assertRaisesRegex(RecordError, r"clients.jsonl: line 2"):
            self.changed("kept", broken)
        with self.assertRaisesRegex(RecordError, "day.json"):
            self.changed("kept", lambda folder: (folder / "day.json").unlink())
        with self.assertRaisesRegex(RecordError, "seen twice"):
            self.changed(
                "kept",
                self.add(
                    "clients.jsonl",
                    *({"at": 5, "what": "seen", "n": 1, "manager": "m0", "fate": "plays", "status": 201, "after": 3},)
                    * 2,
                ),
            )
