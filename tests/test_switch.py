"""Settings that are changed in a running manager and changed back, with set-ups in progress both times."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from flaxscale.site.change import refusals
from flaxscale.site.load import SiteError, decode_as
from flaxscale.site.shapes import Site
from flaxscale.site.terms import ManagerSite, checked, read_site
from tests.rig import Rig, patient
from tests.test_day import ROOT, Played, flaxscale

EXAMPLES = ROOT / "examples"


class Switch(Rig):
    terms = patient(Rig.terms.replace('"front": {', '"front": {"tokens": [], "fleet_token": "ours", '))

    def probe_settings(self, **changes):
        """The rig's settings for boxes that report load only in answers to probes."""
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

    def first_settings(self):
        return json.dumps({**json.loads(self.terms), "managers": 1})

    def set_settings(self, text):
        self.fronts[0].read_settings = lambda: checked("site.json", decode_as("site.json", text, Site))

    async def reload(self, token="ours"):
        return await self.operate("/settings/reload", token)

    async def start_viewings(self, count):
        """Starts viewings and returns when all set-ups have been sent; the answers come a second later."""
        before = sum(len(self.setups(n)) for n in self.boxes)
        for box in self.boxes.values():  # so that a slow machine does not answer the first before the last is sent
            box.box.setup_time = 10_000
        tries = [asyncio.ensure_future(self.ask("one", length=60.0, patience=40.0)) for _ in range(count)]
        await self.until(lambda: sum(len(self.setups(n)) for n in self.boxes) >= before + count, "all are out")
        self.assertFalse([t for t in tries if t.done()])
        for box in self.boxes.values():
            box.box.setup_time = 20
        return tries

    async def test_settings_changed_and_changed_back_during_set_ups(self):
        front = self.fronts[0]
        first_mark = front.settings_digest
        playing = [await t for t in await self.start_viewings(3)]
        out = await self.start_viewings(4)
        self.set_settings(self.probe_settings())
        status, answer = await self.reload()
        self.assertEqual((200, 1), (status, answer["loaded"]))
        self.assertNotEqual(first_mark, answer["mark"])
        self.assertEqual("unsafe", front.runner.manager.terms.packages[0].effect)
        seen = [await t for t in out]
        for server in front.runner.manager.servers.values():  # makes the reported loads stale
            server.link.reported_at = None
        later = [await self.ask("one") for _ in range(2)]
        self.assertTrue([r for n in self.boxes for r in self.box_rows[n].all("probed")])
        out = await self.start_viewings(3)
        probes = sum(len(self.box_rows[n].all("probed")) for n in self.boxes)
        self.set_settings(self.first_settings())
        status, answer = await self.reload()
        self.assertEqual((200, 2, first_mark), (status, answer["loaded"], answer["mark"]))
        seen += [await t for t in out]
        later.append(await self.ask("one"))
        self.assertEqual({"plays"}, {s.fate for s in playing + seen + later})
        # No set-up was sent twice, no accepted request is lost, and running viewings go on.
        keys = [r["key"] for n in self.boxes for r in self.setups(n)]
        self.assertEqual((13, 13), (len(keys), len(set(keys))))
        self.assertEqual(13, sum(len(b.box.sessions) for b in self.boxes.values()))
        self.assertEqual(13, len(front.runner.sessions))
        self.assertEqual((0, 0), (front.runner.faults, front.runner.overdue))
        self.assertEqual(probes, sum(len(self.box_rows[n].all("probed")) for n in self.boxes))

    async def test_a_bad_file_is_refused_without_interruption(self):
        mark, out = self.fronts[0].settings_digest, await self.start_viewings(2)
        for text, key, message in (
            (self.probe_settings(goal={"whole": "much"}), "goal.whole", "Expected `float`, got `str`"),
            (self.probe_settings(allowed={}), "allowed.probes", "true, as fleet.reports is 'probe', expected"),
            (self.probe_settings(ladder={"kb": [1, 2], "worth": [1, 2]}), "ladder.kb", "3 rates as now"),
            ("{", "", "not JSON"),
        ):
            self.set_settings(text)
            status, answer = await self.reload()
            self.assertEqual((422, key), (status, answer["key"]))
            self.assertIn(message, answer["detail"])
        self.assertEqual(401, (await self.reload("theirs"))[0])
        self.assertEqual(
            (mark, {"loaded": 0, "refused": 4}), (self.fronts[0].settings_digest, self.fronts[0].reload_counts)
        )
        self.assertEqual(4, len(self.log[0].all("settings refused")))
        self.assertEqual({"plays"}, {(await t).fate for t in out} | {(await self.ask("one")).fate})

    async def test_only_unused_packages_can_be_removed(self):
        row = json.loads(self.probe_settings())
        await self.start_viewings(1)
        self.set_settings(
            json.dumps(
                {
                    **row,
                    "packages": {n: p for n, p in row["packages"].items() if n != "clip"},
                    "titles": {"cam": row["titles"]["cam"]},
                }
            )
        )
        status, answer = await self.reload()
        self.assertEqual((422, "packages.clip"), (status, answer["key"]))
        self.assertIn("kept while 1 viewings are in it", answer["detail"])
        row["packages"] = {"new": {**row["packages"]["push"], "effect": "safe"}, "clip": row["packages"]["clip"]}
        row["titles"] = {"one": row["titles"]["one"], "two": {"first_cell": 0, "cells": 2, "view": "new"}}
        self.set_settings(json.dumps(row))
        self.assertEqual(200, (await self.reload())[0])
        self.assertEqual({"clip": 0, "new": 3}, self.fronts[0].site_terms.packages)  # numbers in use stay
        self.assertEqual(["plays", "plays"], [(await self.ask(title)).fate for title in ("one", "two")])
        self.assertEqual(404, (await self.ask("cam")).status)

    async def test_failed_probes_are_reported_as_failed(self):
        self.set_settings(self.probe_settings())
        await self.reload()
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
        self.assertIn(heard.pop(2), (["unreached", 0], ["reset", 0]))  # depends on whether a connection was kept open
        self.assertEqual({1: ["timeout", 0], 3: ["ok", 3], 99: ["unreached", 0]}, heard)


class WhatMayChange(unittest.TestCase):
    def test_which_changes_between_the_examples_are_refused(self):
        choir, chargers = (read_site(EXAMPLES / f"{name}.jsonnet") for name in ("choir", "chargers"))
        self.assertEqual([], refusals(choir, choir, "old-house", 1, {"practice-clip": 2}, [], 30_000))
        found = dict(refusals(choir, chargers, "old-house", 1, {"practice-clip": 2}, [], 30_000))
        self.assertEqual({"ladder.kb", "packages.practice-clip", "zones"}, set(found))
        self.assertIn("5 rates as now", found["ladder.kb"])

    def test_files_without_newer_settings_keep_their_meaning(self):
        terms = ManagerSite(read_site(EXAMPLES / "boats.jsonnet")).terms
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
            for change, message in (
                ("fleet+: { reports: 'probes' }", "fleet.reports"),
                ("allowed+: { probes: false }", "allowed.probes"),
                ("fleet+: { weights: 'rough' }", "fleet.weights"),
                ("fleet+: { streams_figure: 'x0' }", "fleet.link_figure"),
                ("prices+: { probe: -1 }", "prices.probe"),
            ):
                file.write_text(f"(import '{EXAMPLES / 'choir.jsonnet'}') {{ {change} }}")
                done = flaxscale("config", "check", str(file))
                self.assertEqual((2, 1), (done.returncode, done.stderr.count(message)), done.stderr)
                self.assertIn(str(file), done.stderr)
        with self.assertRaises(SiteError):
            read_site(EXAMPLES / "none.jsonnet")


class SwitchDay(Played):
    def test_a_day_with_settings_changed_there_and_back_keeps_the_rules(self):
        _, rows, logs = self.play("examples/switch-day.jsonnet", 5)
        self.assertEqual([2, 2], [log.count('"settings loaded"') for log in logs])
        self.assertTrue([r for r in rows if r["what"] == "probed"])
