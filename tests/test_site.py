"""Site and day files: an error has the file, the key and what was expected."""

import pathlib
import tempfile
import unittest

from flaxscale.lab.day import arrivals
from flaxscale.lab.shapes import read_day
from flaxscale.site.load import SiteError
from flaxscale.site.terms import ManagerSite, read_site

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"


class Files(unittest.TestCase):
    def error_of(self, text, read=read_site):
        """The error for a file with this text, which may import the examples."""
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "site.jsonnet"
            file.write_text(text)
            with self.assertRaises(SiteError) as caught:
                read(file)
            self.assertEqual(str(file), caught.exception.file)
            return f"{caught.exception.key}: {caught.exception.expected}"

    def test_each_fault_is_named(self):
        boats = f"(import '{EXAMPLES / 'boats.jsonnet'}')"
        for change, message in (
            ("{ packages+: { 'dock-live'+: { value: 'three' } } }", "packages.*.value: Expected `float`, got `str`"),
            (
                "{ packages+: { 'dock-live'+: { patience_ms: 10 } } }",
                "packages.dock-live.patience_ms: over the join target of 1500",
            ),
            ("{ packages+: { 'dock-live'+: { effect: 'odd' } } }", "packages.*.effect: Invalid enum value 'odd'"),
            ("{ packages+: { 'dock-live'+: { floor: 9 } } }", "packages.dock-live.floor: a rung, 0 to 4"),
            ("{ fleet+: { racks: 9 } }", "fleet.racks: 1 to 6, the cells"),
            ("{ titles+: { x: { first_cell: 0, cells: 9, view: 'boat-tour' } } }", "titles.x.cells: 1 to 6, the cells"),
            ("{ titles+: { x: { first_cell: 0, cells: 1, view: 'none' } } }", "titles.x.view: one of the packages"),
            ("{ titles+: { x: { first_cell: 0, cells: 1 } } }", "titles.x: a package to view or to push"),
            ("{ ladder+: { kb: [3, 2, 1, 4, 5] } }", "ladder.kb: rates in rising order"),
            ("{ ladder+: { worth: [1] } }", "ladder.worth: 5 figures"),
            ("{ rules+: { tip_multiple: 1 } }", "rules.tip_multiple: over 1"),
            ("{ spare: 1 }", "the file's own object: Object contains unknown field `spare`"),
            ("{ name:: 'hidden' }", "the file's own object: Object missing required field `name`"),
        ):
            self.assertIn(message, self.error_of(f"{boats} + {change}"))
        two = self.error_of(f"{boats} + {{ ladder+: {{ worth: [1] }}, fleet+: {{ racks: 9 }} }}")
        self.assertIn("(and 1 more)", two)
        self.assertIn("not Jsonnet that can be evaluated", self.error_of("{ a: "))
        self.assertIn("max stack frames", self.error_of("local f(x) = f(x + 1) + 1; f(0)"))
        with self.assertRaisesRegex(SiteError, "none.jsonnet: can't be read"):
            read_site("none.jsonnet")

    def test_days(self):
        day = f"(import '{EXAMPLES / 'bad-day.jsonnet'}')"
        for change, message in (
            ("{ troubles+: [{ at_s: 1, what: 'meteor' }] }", "troubles.14.what: one of answer_lost"),
            ("{ troubles+: [{ at_s: 99, what: 'hang' }] }", "troubles.14.at_s: within the day, 0 to 24"),
            ("{ troubles+: [{ at_s: 9, what: 'hang', boxes: [12] }] }", "troubles.14.boxes: numbers of boxes, 0 to 11"),
            ("{ demand+: { titles: { odd: 1 } } }", "demand.titles.odd: a title of the site"),
            (
                "{ boxes: [{ cell: 0, kind: 'small', zone: 'quay' } for n in std.range(1, 999)] }",
                "boxes: at most 400 processes",
            ),
            ("{ site+: { managers: 0 } }", "site.managers: 1 to 65535"),
        ):
            self.assertIn(message, self.error_of(f"{day} + {change}", read_day))

    def test_the_examples_become_terms(self):
        for name in ("boats", "depot-clips", "cards"):
            manager_site = ManagerSite(read_site(EXAMPLES / f"{name}.jsonnet"), me=1, zone=0, seed=5)
            terms = manager_site.terms
            self.assertEqual((1, 5), (terms.manager_number, terms.seed))
            self.assertEqual(len(manager_site.site.packages), len(terms.packages))
            self.assertTrue(all(p.top < len(terms.ladder.kb) for p in terms.packages))
        boats = ManagerSite(read_site(EXAMPLES / "boats.jsonnet"))
        self.assertEqual([30_000, 20_000, 300_000], [boats.patience(0, wait) for wait in (None, 2, 999)])

    def test_demand_depends_on_the_seed_alone(self):
        day = read_day(EXAMPLES / "bad-day.jsonnet")
        self.assertEqual(arrivals(day, 3), arrivals(day, 3))
        self.assertNotEqual(arrivals(day, 3), arrivals(day, 4))
        crowd = [w for at, w in arrivals(day, 3) if 4 <= at < 12]
        self.assertGreater(sum(w.title in ("clip-1", "quay-cam") for w in crowd), len(crowd) / 2)
