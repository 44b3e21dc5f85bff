"""Stamps, a manager's account, and the check that compares it with the records of boxes."""

import json
import pathlib
import shutil
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flaxscale.audit.account import KEEP, MAX_WAITING, Account, Began, Did, Dropped, Stamped, rows_in
from flaxscale.audit.stamp import Stamp, Stamps, parse
from flaxscale.lab.accounts import write_account
from flaxscale.rules.audit import judge
from flaxscale.store.faulty import Crash, FaultyFiles
from flaxscale.store.log import Log, StoreError
from tests.rig import Rig
from tests.test_day import flaxscale

ONE = Stamp("0.2.0", "ab", 7, ("e", 3), None, "cd")
TWO = Stamp("0.2.0", "ab", 8, ("e", 3), None, "cd")


class StampHeaders(unittest.TestCase):
    def test_a_stamp_is_sent_whole_until_its_box_has_answered_then_by_number(self):
        stamps = Stamps()
        self.assertEqual((1, True), stamps.update(ONE))
        self.assertEqual((1, False), stamps.update(ONE))
        whole = stamps.header_value(5, "a")
        self.assertEqual((1, ONE), parse(whole))
        self.assertEqual(whole, stamps.header_value(5, "a"))  # no answer: whole again
        stamps.acknowledged(5, "a", whole)
        self.assertEqual("1", stamps.header_value(5, "a"))
        self.assertEqual((1, ONE), parse(stamps.header_value(5, "b")))  # the box restarted
        self.assertEqual((2, True), stamps.update(TWO))
        stamps.acknowledged(5, "a", whole)  # a late answer to the stamp before
        self.assertEqual((2, TWO), parse(stamps.header_value(5, "a")))

    @given(st.text(max_size=60))
    @settings(max_examples=200, deadline=None)
    def test_an_invalid_stamp_is_refused(self, text):
        try:
            number, whole = parse(text)
        except ValueError:
            return
        self.assertTrue(text.isascii() and text.partition(";")[0].isdigit() and (whole is None or ";" in text))


class OwnAccount(unittest.TestCase):
    def filled(self, files, count):
        account = Account(files)
        account.put(Began("m0", "x", 1))
        account.put(Stamped(1, ONE, 2))
        for n in range(count):
            account.put(Did("setup", f"m0.x.{n}.0", 4, 1, 3 + n))
            if n % 1_000 == 999:
                account.commit()
        return account

    def test_a_crash_at_any_step_leaves_a_prefix_of_the_rows(self):
        whole = FaultyFiles()
        self.filled(whole, 6).commit()
        steps = whole.steps
        rows = rows_in(Log(FaultyFiles(whole.written)).found)
        self.assertEqual((8, Began("m0", "x", 1)), (len(rows), rows[0]))
        for at in range(0, steps, 3):
            disk = FaultyFiles(crash_at=at)
            try:
                self.filled(disk, 6).commit()
            except Crash:
                pass
            for left in disk.survivors():
                found = rows_in(Log(FaultyFiles(left)).found)
                self.assertEqual(rows[: len(found)], found)  # a prefix of the rows, and no others

    def test_an_account_is_bounded_counts_dropped_rows_and_never_raises(self):
        account = self.filled(FaultyFiles(), 0)
        for n in range(MAX_WAITING + 500):
            account.put(Did("end", str(n), 1, 1, n))
        self.assertTrue(account.commit())
        account.put(Did("end", "after", 1, 1, 0))
        account.commit()
        self.assertEqual([Dropped(502, 0), Did("end", "after", 1, 1, 0)], account.rows[-2:])
        for n in range(KEEP):
            account.put(Did("rung", str(n), 1, 1, n))
            if n % 5_000 == 0:
                account.commit()
        account.commit()
        self.assertLessEqual(len(account.rows), KEEP)
        # The kept rows begin with the life and the stamp under which they were done.
        self.assertEqual([Began, Stamped], [type(row) for row in account.rows[:2]])
        self.assertEqual(account.rows, rows_in(Log(FaultyFiles(account.log.files.written)).found))

    def test_a_full_disk_ends_an_account_and_a_damaged_one_is_not_used(self):
        account = self.filled(FaultyFiles(room=200), 20)
        self.assertFalse(account.commit())
        account.put(Did("end", "x", 1, 1, 9))
        self.assertFalse(account.commit())
        self.assertEqual(23, account.lost)
        good = FaultyFiles()
        self.filled(good, 20).commit()
        [name] = good.written
        for at in range(20, len(good.written[name]) - 60, 37):
            torn = FaultyFiles(good.written)
            torn.written[name][at] ^= 0x40
            with self.assertRaises((StoreError, ValueError)):
                Account(torn)


class Checked(unittest.TestCase):
    """Records of a small day, and the same with one fault each."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        plain = {"build": "b", "settings": "s", "list_version": 1, "catalogue": None, "peaks": None, "members": "m"}
        self.own = [
            {"what": "life", "manager": "m0", "life": "x", "at": 1},
            {"what": "stamp", "number": 1, "stamp": plain, "at": 1},
        ]
        self.own += [
            {"what": "did", "kind": "setup", "key": f"m0.x.{n}.0", "box": 1, "number": 1, "at": n} for n in range(3)
        ]
        self.own += [
            {"what": "did", "kind": "end", "key": "m0.x.0.0", "box": 1, "number": 1, "at": 5},
            {"what": "stamp", "number": 2, "stamp": {**plain, "list_version": 2}, "at": 6},
            {"what": "did", "kind": "setup", "key": "m0.x.3.0", "box": 1, "number": 2, "at": 7},
        ]
        self.box = [{"at": 1, "what": "stamp", "manager": "m0", "life": "x", "number": 1, "stamp": plain}]
        self.box += [
            {"at": n, "what": "setup", "key": f"m0.x.{n}.0", "manager": "m0", "life": "x", "stamp": 2 if n == 3 else 1}
            for n in range(4)
        ]
        self.box += [
            {"at": 9, "what": "ordered", "keys": ["m0.x.0.0"], "ends": [], "manager": "m0", "life": "x", "stamp": 1}
        ]

    def judged(self):
        (self.folder / "account-m0.jsonl").write_text("".join(json.dumps(row) + "\n" for row in self.own))
        (self.folder / "box-1-1.jsonl").write_text("".join(json.dumps(row) + "\n" for row in self.box))
        return judge(self.folder)

    def test_account_and_box_agree(self):
        found = self.judged()
        self.assertEqual(([], 5, 5), (found.findings, found.agreed, found.actions))
        self.assertEqual(2, found.stamps["m0", "x"][2]["list_version"])

    def test_each_fault_is_named_and_missing_rows_are_reported_as_unknown(self):
        def found(change):
            before = json.dumps([self.own, self.box])
            change()
            out = [(f.what, f.key) for f in self.judged().findings]
            self.own, self.box = json.loads(before)
            return out

        self.assertEqual([("no stamp", "m0.x.1.0")], found(lambda: self.box[2].update(stamp=None)))
        # A stamp that was put in force too late: the box received the one before.
        self.assertEqual([("contradiction", "m0.x.3.0")], found(lambda: self.box[4].update(stamp=1)))
        self.assertEqual([("contradiction", "m0.x.1.0")], found(lambda: self.own.pop(3)))
        self.assertEqual([("unknown", "m0.x.3.0")], found(lambda: self.own.pop()))
        self.assertEqual(
            [("unknown", "m0.x.1.0")], found(lambda: self.own.__setitem__(3, {"what": "dropped", "count": 1, "at": 2}))
        )
        self.assertEqual([("back", "m0.x.0.0")], found(lambda: self.own.insert(len(self.own), self.own.pop(5))))
        self.assertEqual([("contradiction", "stamp 1")], found(lambda: self.box[0]["stamp"].update(list_version=9)))
        self.assertEqual([("unknown", f"m0.x.{n}.0") for n in (0, 1, 2, 3, 0)], found(self.own.clear))
        # Ordered again under a stamp after which the account may have ended (its disk was full): only unknown.
        self.assertEqual([("unknown", "m0.x.0.0")], found(lambda: self.box[5].update(stamp=2)))
        self.assertEqual([("contradiction", "m0.x.0.0")], found(lambda: self.own[5].update(number=2)))

    def test_the_commands_report_findings_by_exit_status(self):
        self.judged()
        done = flaxscale("audit", "day", str(self.folder))
        self.assertEqual(
            (0, "5 actions at boxes, 5 agree with the managers' accounts\n"), (done.returncode, done.stdout)
        )
        done = flaxscale("audit", "viewing", "m0.x.3", "--records", str(self.folder))
        self.assertIn("m0 setup m0.x.3.0 at box 1, stamp 2: build b, settings s, list_version 2", done.stdout)
        self.box[1]["stamp"] = 2
        self.judged()
        self.assertEqual(4, flaxscale("audit", "day", str(self.folder), "--json").returncode)
        self.assertEqual(2, flaxscale("audit", "viewing", "nobody", "--records", str(self.folder)).returncode)
        done = flaxscale("fleet", "versions", "--at", "127.0.0.1:1")
        self.assertEqual(4, done.returncode)
        self.assertIn("127.0.0.1:1: ", done.stdout)


class OnSockets(Rig):
    managers = 2

    async def test_actions_are_stamped_and_written_to_an_account_that_outlives_its_manager(self):
        for m in (0, 1):
            self.assertEqual("plays", (await self.ask(front=m)).fate)
        front, rows = self.fronts[0], [r for box in self.box_rows.values() for r in box.rows]
        setup = next(r for r in rows if r["what"] == "setup" and r["manager"] == "m0")
        whole = next(r for r in rows if r["what"] == "stamp" and r["manager"] == "m0")
        self.assertEqual((setup["stamp"], front.boot), (whole["number"], setup["life"]))
        self.assertEqual(
            (front.settings_digest, front.box_list.version),
            (whole["stamp"]["settings"], whole["stamp"]["list_version"]),
        )
        told = [json.loads(f.state())["audit"] for f in self.fronts]
        self.assertEqual(
            [told[0][k] for k in ("build", "settings", "list_version")],
            [told[1][k] for k in ("build", "settings", "list_version")],
        )
        front.audit.write()
        kept = pathlib.Path(self.folder.name, "account-m0")
        copy = pathlib.Path(self.folder.name, "copy")
        shutil.copytree(kept, copy)
        write_account(copy, copy.with_suffix(".jsonl"))
        own = [json.loads(line) for line in copy.with_suffix(".jsonl").read_text().splitlines()]
        self.assertIn((setup["key"], setup["stamp"]), [(r["key"], r["number"]) for r in own if r["what"] == "did"])
