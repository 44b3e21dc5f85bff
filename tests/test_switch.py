"""Settings that change in a running manager, there and back: on sockets, with set-ups out at both moments."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from flaxscale.site.change import refusals
from flaxscale.site.load import SiteError, shape
from flaxscale.site.shapes import Site
from flaxscale.site.terms import Sense, checked, read_site
from tests.rig import Rig, patient
from tests.test_day import ROOT, Played, flaxscale

EXAMPLES = ROOT / "examples"


class Switch(Rig):
    terms = patient(Rig.terms.replace('"front": {', '"front": {"tokens": [], "fleet_token": "ours", '))

    def other(self, **changes):
        """The rig's own settings as boxes that tell their load to probes only would have them."""
        row = json.loads(self.terms)
        row["managers"] = 1
        row["fleet"].update(
            reports="probe", note_every_ms=0, weights="none", uplink_figure="x1", streams_figure="inflight"
        )
        row["allowed"]["probes"] = True
        row["packages"]["clip"]["effect"] = "unsafe"
        row["rules"]["further"] = {"free": 2, "share": 0.2, "span_ms": 5000}
        for key, value in changes.items():
            row[key] = value
        return json.dumps(row)

    def first(self):
        return json.dumps({**json.loads(self.terms), "managers": 1})

    def put(self, text):
        self.fronts[0].reread = lambda: checked("site.json", shape("site.json", text, Site))

    async def load(self, token="ours"):
        return await self.operate("/settings/reload", token)

    async def asks(self, count):
        """So many viewings, all of whose set-ups are out when this returns; their answers come a second later."""
        before = sum(len(self.setups(n)) for n in self.boxes)
        for box in self.boxes.values():  # a slow machine must not answer the first before the last is out
            box.box.setup_time = 10_000
        tries = [asyncio.ensure_future(self.ask("one", length=60.0, patience=40.0)) for _ in range(count)]
        await self.until(lambda: sum(len(self.setups(n)) for n in self.boxes) >= before + count, "all are out")
        self.assertFalse([t for t in tries if t.done()])
        for box in self.boxes.values():
            box.box.setup_time = 20
        return tries

    async def test_there_and_back_with_set_ups_out_at_both_moments(self):
        front = self.fronts[0]
        first_mark = front.mark
        playing = [await t for t in await self.asks(3)]
        out = await self.asks(4)
        self.put(self.other())
        status, told = await self.load()
        self.assertEqual((200, 1), (status, told["loaded"]))
        self.assertNotEqual(first_mark, told["mark"])
        self.assertEqual("unsafe", front.runner.manager.terms.packages[0].effect)
        seen = [await t for t in out]
        for srv in front.runner.manager.servers.values():  # what notes told is not fresh any more
            srv.link.reported_at = None
        later = [await self.ask("one") for _ in range(2)]
        self.assertTrue([r for n in self.boxes for r in self.box_rows[n].all("probed")])
        out = await self.asks(3)
        probes = sum(len(self.box_rows[n].all("probed")) for n in self.boxes)
        self.put(self.first())
        status, told = await self.load()
        self.assertEqual((200, 2, first_mark), (status, told["loaded"], told["mark"]))
        seen += [await t for t in out]
        later.append(await self.ask("one"))
        self.assertEqual({"plays"}, {s.fate for s in playing + seen + later})
        # Nothing was sent twice, nothing that was taken in is lost, and what played plays on.
        keys = [r["key"] for n in self.boxes for r in self.setups(n)]
        self.assertEqual((13, 13), (len(keys), len(set(keys))))
        self.assertEqual(13, sum(len(b.box.sessions) for b in self.boxes.values()))
        self.assertEqual(13, len(front.runner.sessions))
        self.assertEqual((0, 0), (front.runner.faults, front.runner.overdue))
        self.assertEqual(probes, sum(len(self.box_rows[n].all("probed")) for n in self.boxes))

    async def test_a_bad_file_is_refused_and_service_goes_on(self):
        mark, out = self.fronts[0].mark, await self.asks(2)
        for text, key, said in (
            (self.other(goal={"whole": "much"}), "goal.whole", "Expected `float`, got `str`"),
            (self.other(allowed={}), "allowed.probes", "true, as fleet.reports is 'probe', expected"),
            (self.other(ladder={"kb": [1, 2], "worth": [1, 2]}), "ladder.kb", "3 rates as now"),
            ("{", "", "not JSON"),
        ):
            self.put(text)
            status, told = await self.load()
            self.assertEqual((422, key), (status, told["key"]))
            self.assertIn(said, told["detail"])
        self.assertEqual(401, (await self.load("theirs"))[0])
        self.assertEqual((mark, {"loaded": 0, "refused": 4}), (self.fronts[0].mark, self.fronts[0].load_counts))
        self.assertEqual(4, len(self.log[0].all("settings refused")))
        self.assertEqual({"plays"}, {(await t).fate for t in out} | {(await self.ask("one")).fate})

    async def test_a_package_in_use_stays_and_one_that_is_not_may_go(self):
        row = json.loads(self.other())
        await self.asks(1)
        self.put(
            json.dumps(
                {
                    **row,
                    "packages": {n: p for n, p in row["packages"].items() if n != "clip"},
                    "titles": {"cam": row["titles"]["cam"]},
                }
            )
        )
        status, told = await self.load()
        self.assertEqual((422, "packages.clip"), (status, told["key"]))
        self.assertIn("kept while 1 viewings are in it", told["detail"])
        row["packages"] = {"new": {**row["packages"]["push"], "effect": "safe"}, "clip": row["packages"]["clip"]}
        row["titles"] = {"one": row["titles"]["one"], "two": {"first_cell": 0, "cells": 2, "view": "new"}}
        self.put(json.dumps(row))
        self.assertEqual(200, (await self.load())[0])
        self.assertEqual({"clip": 0, "new": 3}, self.fronts[0].sense.packages)  # numbers in use stay
        self.assertEqual(["plays", "plays"], [(await self.ask(title)).fate for title in ("one", "two")])
        self.assertEqual(404, (await self.ask("cam")).status)

    async def test_probes_that_fail_come_back_as_failed(self):
        self.put(self.other())
        await self.load()
        front, heard = self.fronts[0], []
        self.trouble(1, "hang")
        self.list.frozen = True
        self.boxes[2].die()
        for box in (1, 2, 3, 99):
            front.boxes.probe(
                box,
                lambda how, took, load, box=box: heard.append((box, how.value, len(load))) or self.log[0].put("heard"),
            )
        await self.log[0].seen("heard", 4)
        heard = {box: row for box, *row in heard}
        self.assertIn(heard.pop(2), (["unreached", 0], ["reset", 0]))  # by whether a connection was kept
        self.assertEqual({1: ["timeout", 0], 3: ["ok", 3], 99: ["unreached", 0]}, heard)


class WhatMayChange(unittest.TestCase):
    def test_both_examples_can_follow_where_their_shapes_allow_it(self):
        choir, chargers = (read_site(EXAMPLES / f"{name}.jsonnet") for name in ("choir", "chargers"))
        self.assertEqual([], refusals(choir, choir, "old-house", 1, {"practice-clip": 2}, [], 30_000))
        found = dict(refusals(choir, chargers, "old-house", 1, {"practice-clip": 2}, [], 30_000))
        self.assertEqual({"ladder.kb", "packages.practice-clip", "zones"}, set(found))
        self.assertIn("5 rates as now", found["ladder.kb"])

    def test_old_files_mean_what_they_meant(self):
        terms = Sense(read_site(EXAMPLES / "boats.jsonnet")).terms
        self.assertEqual(
            (("link",), False, True, False, 0),
            (
                terms.fleet.load_names,
                terms.fleet.load_by_probe,
                terms.fleet.weights_known,
                terms.allowed.may_probe,
                terms.prices.probe,
            ),
        )

    def test_config_check_names_the_key(self):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "site.jsonnet"
            for change, said in (
                ("fleet+: { reports: 'probes' }", "fleet.reports"),
                ("allowed+: { probes: false }", "allowed.probes"),
                ("fleet+: { weights: 'rough' }", "fleet.weights"),
                ("fleet+: { streams_figure: 'x0' }", "fleet.link_figure"),
                ("prices+: { probe: -1 }", "prices.probe"),
            ):
                file.write_text(f"(import '{EXAMPLES / 'choir.jsonnet'}') {{ {change} }}")
                done = flaxscale("config", "check", str(file))
                self.assertEqual((2, 1), (done.returncode, done.stderr.count(said)), done.stderr)
                self.assertIn(str(file), done.stderr)
        with self.assertRaises(SiteError):
            read_site(EXAMPLES / "none.jsonnet")


class SwitchDay(Played):
    def test_a_day_with_settings_changed_there_and_back_keeps_the_rules(self):
        _, rows, logs = self.play("examples/switch-day.jsonnet", 5)
        self.assertEqual([2, 2], [log.count('"settings loaded"') for log in logs])
        self.assertTrue([r for r in rows if r["what"] == "probed"])
