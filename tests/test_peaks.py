"""Announced peaks without sockets: validation, and reservations made ahead, moved and released."""

import unittest

from flaxscale import interface
from flaxscale.interface import Outcome, ServerStatus
from flaxscale.peaks.announce import Announcement, faults
from flaxscale.peaks.keeper import (
    MAX_RESERVED_SHARE,
    SHORTFALL_HALF_LIFE_S,
    START_GRACE_S,
    PeakEnvironment,
    PeakReserver,
)
from tests.drive import Drive, S, pack


def peak(**changes):
    row = dict(name="eid", titles=("cam",), start_s=100.0, end_s=160.0, rate=2.0, ramp_s=10.0, length_s=20.0, rung=1)
    return Announcement(**{**row, **changes})


class ReserverTest(unittest.TestCase):
    def reserver(self, *peaks, holders=(1, 2, 3, 4)):
        self.boxes = list(holders)
        fleet = PeakEnvironment(lambda title, rung, n, boxes: 100.0 * n, lambda title: self.boxes, 2, 1e9)
        return PeakReserver(peaks or (peak(),), fleet)

    def servers(self, *failed):
        return {
            n: (
                interface.ServerEntry(n, 0, n, 0, 1.0, 0, ServerStatus.GONE if n in failed else ServerStatus.READY),
                10_000.0,
            )
            for n in range(1, 5)
        }

    def kb(self, reserver, s, *failed):
        return sum(reserver.reserve(s, self.servers(*failed))[0].values())

    def reserved_by_second(self, reserver, times=1.0, shift=0.0, until=200):
        """{second: kB reserved} while `times` the announced viewings arrive, `shift` seconds late."""
        result, p = {}, reserver.peaks[0]
        for s in range(80, until):
            expected = p.arrivals_by(s - shift) * times
            while reserver.arrivals[p.name] + 0.5 <= expected:
                reserver.record_request("cam", "live", 1)
            result[s] = self.kb(reserver, s)
        return result

    def test_an_invalid_announcement_is_refused_by_name(self):
        for change, reason in (
            (dict(end_s=100.0), "before or as it starts"),
            (dict(rate=-1.0), "a rate of -1"),
            (dict(titles=("none",)), "the title 'none' is not known"),
            (dict(titles=()), "at least one"),
            (dict(ramp_s=90.0), "a ramp of 90 s"),
            (dict(rung=9), "rung 9"),
            (dict(sure=0.0), "sure 0"),
            (dict(length_s=0.0), "viewings of 0 s"),
        ):
            found = faults([peak(**change)], {"cam"}, 3)
            self.assertTrue(any(name == "eid" and reason in detail for name, detail in found), (reason, found))
        self.assertEqual([("eid", "a name of its own is needed")], faults([peak(), peak()], {"cam"}, 3))
        self.assertEqual([], faults([peak()], {"cam"}, 3))

    def test_arrivals_are_summed_as_announced(self):
        p = peak()
        for s in (99, 100, 104, 110, 130, 160, 200):
            by_steps = sum(p.rate_at(x / 100) / 100 for x in range(9_000, s * 100))
            self.assertAlmostEqual(by_steps, p.arrivals_by(s), delta=0.05)

    def test_bandwidth_is_reserved_before_the_start_and_released_at_the_end(self):
        reserved = self.reserved_by_second(self.reserver())
        self.assertEqual(0, reserved[int(100 - 15) - 1])
        # All viewings that are expected within the lead.
        self.assertAlmostEqual(100 * peak().arrivals_by(99 + 15), reserved[99], delta=1)
        self.assertAlmostEqual(2.0 * 20 * 100, reserved[130], delta=150)  # 40 viewings of 100 kB a second
        self.assertEqual(0, reserved[160])

    def test_the_reservation_for_missing_viewings_halves_with_its_half_life(self):
        absent, half = self.reserved_by_second(self.reserver(), 0.0), self.reserved_by_second(self.reserver(), 0.5)
        at = next(s for s in range(101, 160) if absent[s] < absent[s - 1] - 1)
        self.assertLess(at, 100 + START_GRACE_S + 12)
        self.assertAlmostEqual(0.5, absent[at + int(SHORTFALL_HALF_LIFE_S)] / absent[at], delta=0.15)
        self.assertLess(absent[at + int(4 * SHORTFALL_HALF_LIFE_S)], 0.12 * absent[at])
        self.assertGreater(half[140], 0.45 * self.reserved_by_second(self.reserver())[140])

    def test_the_reservation_grows_again_as_a_late_crowd_arrives(self):
        late = self.reserved_by_second(self.reserver(), shift=10.0)
        self.assertLess(min(late[s] for s in range(112, 120)), 0.9 * late[135])

    def test_reservations_move_off_failed_boxes_and_what_does_not_fit_is_reported(self):
        reserver = self.reserver(peak(rate=8.0))
        before, _, _ = reserver.reserve(130, self.servers())
        after, _, _ = reserver.reserve(130, self.servers(1))
        self.assertNotIn(1, after)
        self.assertAlmostEqual(sum(before.values()), sum(after.values()), delta=1)
        reserver.reserve(130, self.servers(1, 2, 3))
        self.assertGreater(reserver.unplaced_kb, 0)
        self.assertLessEqual(max(reserver.reserve(130, self.servers(1, 2, 3))[0].values()), MAX_RESERVED_SHARE * 10_000)
        self.assertEqual(0, self.kb(reserver, 130, 1, 2, 3, 4))

    def test_two_peaks_on_the_same_boxes_share_the_limit(self):
        reserver = self.reserver(peak(rate=30.0), peak(name="two", rate=30.0))
        reservations, _, _ = reserver.reserve(130, self.servers())
        self.assertLessEqual(max(reservations.values()), MAX_RESERVED_SHARE * 10_000 + 1)
        self.assertGreater(reserver.unplaced_kb, 0)


class DecisionTest(Drive):
    def test_others_see_a_smaller_link_and_the_peaks_own_the_whole(self):
        self.start(pack(), servers=1)
        self.at(0, interface.PeakReservations({1: 500.0}, {7: 1}, {}), say="half of the link is kept for title 7")
        self.at(0, self.ask(1, title=9), self.ask(2, title=9))
        self.at(600, self.ask(3, title=7), say="the peak's own")
        self.at(600, self.begun(1, 1), self.begun(2, 1), self.begun(3, 1))
        self.at(
            0,
            interface.PeakReservations({1: 500.0}, {7: 1}, {}),
            say="told again: what the peak took is no longer kept",
        )
        self.at(0, self.ask(4, title=9))
        self.at(600, interface.PeakReservations({}, {}, {}), say="handed back")
        self.at(4 * S, self.link(1, 1, 0.5))
        self.compare()

    def test_a_peak_needs_no_lower_mark_until_it_takes_more_than_its_room(self):
        self.start(pack(), servers=1)
        self.at(0, *self.handed(1, 1, rung=1), self.link(1, 1, 0.5))
        self.at(
            0,
            interface.PeakReservations({1: 400.0}, {7: 2}, {}),
            say="half is used; 400 kB a second are kept for title 7",
        )
        self.at(0, self.ask(2, title=7), say="its own goes to the rung that room is kept for")
        self.at(600, self.begun(2, 1))
        self.at(0, self.ended(2, 1, Outcome.RESET, over=True), interface.PeakReservations({1: 100.0}, {7: 2}, {}))
        self.at(0, *self.handed(3, 1, rung=1, title=7), say="200 taken of 100 that are kept")
        self.at(0, interface.PeakReservations({1: 100.0}, {7: 2}, {}))
        self.at(0, self.ask(4, title=7), say="the rest is a crowd like any other")
        self.at(600)
        self.compare()
