"""The report of a day: late records are placed by their time, and conflicting accounts are both shown."""

import json
import pathlib
import re
import shutil
import tempfile
import unittest

from flaxscale.report.page import page
from flaxscale.report.story import Records, build_story
from flaxscale.rules.audit import Finding
from tests.test_day import flaxscale

KEPT = pathlib.Path(__file__).parent / "records" / "kept"


def at(second):
    return 1_000_000 + round(second * 10_000)


def row(second, what, **more):
    return {"at": at(second), "what": what, **more}


class Report(unittest.TestCase):
    def story(self, **more):
        day = {
            "seed": 4,
            "site": {"name": "boats", "titles": {"cam": {"view": "live <b>"}}},
            "managers": {f"m{n}": [] for n in range(3)},
        }
        lab = [
            row(0, "begin"),
            row(2, "kill", manager="m0"),
            row(6, "back", manager="m0"),
            row(3, "fault", n=0, kind="cut", ways=["m1>b1", "b1>m1"]),
            row(5, "heal", n=0, ways=["m1>b1"]),
            row(7, "heal", n=0, ways=["b1>m1"]),
            row(10, "end"),
        ]
        box = [
            row(-1, "start", box=1),
            row(4, "adopted", key="m0.x.1.0", manager="m1"),
            row(1, "answer", key="m0.x.1.0", status=201),
        ]  # written late
        clients = [row(1, "asked", n=1, title="cam", sends=False, trace="t"), row(1.1, "seen", n=1, fate="plays")]
        leases = [
            row(1, "lease", did="granted", piece="compact", owner="m0.a", token=1),
            row(1.5, "lease", did="act", piece="compact", owner="m0.a", token=1),
            row(5, "lease", did="granted", piece="compact", owner="m2.b", token=2),
        ]
        rest = {"fronts": {}, "findings": [], **more}
        return build_story(Records(day, lab, clients, {"box-1-1.jsonl": box}, leases, **rest)), clients

    def lane(self, story, heading, name):
        return next(lane for head, lanes in story.lanes if head == heading for lane in lanes if lane.name == name)

    def test_lanes_show_outages_cuts_and_lease_holders_with_their_times(self):
        story, _ = self.story()
        self.assertEqual([(2, 6, "dead")], [span[:3] for span in self.lane(story, "managers", "m0").spans])
        cut = self.lane(story, "who could not reach whom", "cut b1+m1 > b1+m1")
        self.assertEqual([(3, 7, "cut")], [span[:3] for span in cut.spans])
        self.assertEqual([(5, "healed: m1>b1")], cut.marks)
        held = self.lane(story, "leases", "compact")
        self.assertEqual([(1, 5, "holder m0"), (5, 10, "holder m2")], [span[:3] for span in held.spans])
        self.assertEqual([(4, "m0.x.1.0", "m0", "m1", "b1")], story.take_overs)
        self.assertEqual((2, 11), (story.late, story.length))  # the box's answer, and the fault
        self.assertEqual([0, 1], story.charts[1].series["201"][:2])

    def test_conflicting_accounts_of_a_death_are_shown_and_agreeing_ones_are_not(self):
        def member(second, name, state="dead"):
            return {"event": "member", "name": name, "state": state, "mono": at(second)}

        story, _ = self.story(
            fronts={"m0": [], "m1": [member(4, "m0"), member(10.5, "m2", "left")], "m2": [member(4.5, "m0")]}
        )
        self.assertEqual([], story.twos)
        # A clock that is an hour off is corrected by the answers that clients saw.
        wrong = {"event": "answered", "trace": "t", "mono": at(3601.1)}
        story, _ = self.story(fronts={"m0": [], "m1": [member(4, "m0")], "m2": [wrong, member(3604.2, "m0")]})
        self.assertEqual(["clocks"], [two.about for two in story.twos])
        self.assertIn("+3600 s", story.twos[0].stories[0][1])
        story, _ = self.story(fronts={"m0": [], "m1": [member(4, "m0"), member(5, "m2")], "m2": []})
        self.assertEqual(["m0 as dead", "m2 as dead"], [two.about for two in story.twos])
        self.assertIn(("m2", "never said that it is dead"), story.twos[0].stories)
        self.assertIn(("the lab", "it was never touched"), story.twos[1].stories)
        findings = [Finding("contradiction", "m1", f"k{n}", "by its box") for n in range(5)] + [
            Finding("unknown", "m1", "k", "gone")
        ]
        story, _ = self.story(findings=findings)
        self.assertEqual([("m1: contradiction, 5 times", 3)], [(two.about, len(two.stories)) for two in story.twos])

    def test_the_page_is_complete_and_escapes_markup_in_records(self):
        story, clients = self.story()
        text = page(story, clients, [("rule 1", 1.5, "request <script> lost")], "rules kept: 5")
        self.assertNotIn("<script>", text)
        self.assertIn("request &lt;script&gt; lost", text)
        self.assertIn("live &lt;b&gt;", text)
        self.assertEqual(text.count("<svg"), text.count("</svg>"))
        self.assertGreater(text.count("<svg"), 6)
        self.assertIsNone(re.search(r'(src|href)="', text))  # nothing is fetched

    def test_the_command_writes_the_page_and_refuses_a_folder_without_a_day(self):
        with tempfile.TemporaryDirectory() as folder:
            shutil.copytree(KEPT, f"{folder}/day")
            done = flaxscale("report", f"{folder}/day")
            self.assertEqual(0, done.returncode, done.stderr)
            text = pathlib.Path(folder, "day", "report.html").read_text()
            seed = json.loads((KEPT / "day.json").read_text())["seed"]
            self.assertIn(f"seed {seed}", text)
            self.assertIn("rules kept: 6, broken: 0", text)
            done = flaxscale("report", folder)
            self.assertEqual(2, done.returncode)
            self.assertIn("day.json", done.stderr)
            done = flaxscale("report", f"{folder}/day", "--out", f"{folder}/nowhere/page.html")
            self.assertEqual(2, done.returncode)
            self.assertIn("can't be written", done.stderr)
