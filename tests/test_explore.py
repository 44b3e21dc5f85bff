"""Machines explored whole in small cases: a viewing in hand through deaths, restarts, lost words; the explorer."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flaxscale.explore import inhand, search
from flaxscale.explore.inhand import Small


class Search(unittest.TestCase):
    """A counter that may be raised to 3, halved, or stopped."""

    @staticmethod
    def steps(n):
        if isinstance(n, int):
            yield "up", min(n + 1, 3), "three" if n == 2 else None
            yield "stop", f"stopped at {n}", None

    def test_the_shortest_trace_to_what_breaks(self):
        self.assertEqual(["up", "up", "up", "three"], search.explore(0, self.steps).trace)

    def test_a_state_from_which_no_course_ends_well(self):
        def never(n):
            return ((what, after, None) for what, after, _ in self.steps(n))

        found = search.explore(0, never, good=lambda n: n == "stopped at 3")
        self.assertEqual((8, None, ["stop"]), (found.states, found.trace, found.stuck[:-1]))
        self.assertIsNone(search.explore(0, never, good=lambda n: isinstance(n, str)).stuck)
        alike = search.explore(0, never, same=lambda n: "stopped" if isinstance(n, str) else n)
        self.assertEqual(5, alike.states)

    def test_a_bound_that_is_reached_is_said(self):
        with self.assertRaisesRegex(search.TooMany, "more than 3 states"):
            search.explore(0, self.steps, most=3)


class InHand(unittest.TestCase):
    """docs/recovery.md, viewings not answered yet: no order of steps loses one, or begins an unsafe one twice."""

    def test_every_course_of_small_cases(self):
        for case in (Small(False, 2, 1), Small(True, 2, 1), Small(True, 2, 0, 1), Small(True, 1, 1, 1, True)):
            found = inhand.explore(case)
            self.assertIsNone(found.trace, f"{case}\n" + "\n".join(found.trace or ()))
            self.assertIsNone(found.stuck, f"{case}\n" + "\n".join(found.stuck or ()))
            self.assertGreater(found.states, 4_000, case)

    def test_seeded_bugs_are_found_with_a_short_trace(self):
        for bug, case, said in (
            ("nobody is asked", Small(True, 2, 0), "while a1 stands"),
            ("a silent box says no", Small(True, 2, 0), "while a1 stands"),
            ("nothing is barred", Small(True, 2, 0), "while a1 stands"),
            ("joins without a claim", Small(True, 2, 0), "the box says a"),
            ("no start is named", Small(True, 2, 0, 1), "while a1 stands"),
            ("nothing is owed", Small(True, 2, 1), "no course"),
            ("an end is not remembered", Small(True, 2, 1), "no course"),
            ("who lost it is not told", Small(True, 2, 0), "no course"),
            ("an answer of another start is believed", Small(True, 1, 1, 1, True), "no course"),
            ("a claim is of the life that there is now", Small(True, 2, 1, 0, True), "no course"),
        ):
            found = inhand.explore(case, bug)
            trace = found.trace or found.stuck
            self.assertIsNotNone(trace, bug)
            self.assertIn(said, trace[-1], bug)
            self.assertLessEqual(len(trace), 14, trace)
        self.assertEqual(10, len(inhand.BUGS))

    @settings(max_examples=60, deadline=None)
    @given(st.randoms(use_true_random=False), st.booleans())
    def test_long_courses_with_three_deaths_and_three_restarts_of_the_box(self, chance, unsafe):
        trace = inhand.wander(chance.choice, 250, unsafe)
        self.assertIsNone(trace, "\n".join(trace or ()))

    def test_a_course_is_the_same_for_the_same_chance(self):
        def courses(seed):
            taken, chance = [], random.Random(seed)
            inhand.wander(lambda options: taken.append(chance.choice(options)) or taken[-1], 100, True)
            return [what for what, _, _ in taken]

        self.assertEqual(courses(3), courses(3))
        self.assertNotEqual(courses(3), courses(4))
