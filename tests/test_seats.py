"""Seats taken outside of the decisions: pending claims, and sessions from before a manager's restart."""

import asyncio
import unittest
import unittest.mock

from flaxscale import interface
from flaxscale.front.front import Front
from flaxscale.members.seats import DRIFT, SeatBook
from flaxscale.site.terms import ManagerSite
from tests.drive import Drive, S, pack
from tests.rig import Rig, Rows, Talking
from tests.test_day import Played


class SeatBookCounts(unittest.TestCase):
    def test_claims_and_unreported_boxes_are_counted_until_the_lease_ends(self):
        book = SeatBook(100 * S, 4 * S)
        self.assertTrue(book.listed([1, 2], 100 * S))
        self.assertFalse(book.listed([1, 2], 100 * S))
        self.assertTrue(book.claim("a", (9, 0)) and book.claim("b", (9, 0)))
        self.assertFalse(book.claim("a", (9, 0)))  # claimed again: still one seat
        self.assertEqual(({(9, 0): 2}, {1, 2}), book.reserved(100 * S))
        book.box_reported(1)
        self.assertTrue(book.settled("a"))
        self.assertFalse(book.settled("a"))
        self.assertEqual(({(9, 0): 1}, {2}), book.reserved(104 * S + DRIFT - 1))
        self.assertEqual(({(9, 0): 1}, set()), book.reserved(104 * S + DRIFT))
        self.assertFalse(book.listed([3], 104 * S + DRIFT))  # its lease has ended too: it plays nothing of ours
        self.assertFalse(book.listed([1], 101 * S))  # it has reported already


class SeatDecisions(Drive):
    def test_seats_that_claims_or_an_earlier_life_may_take_are_not_given(self):
        self.start(pack(seats=2), pack())
        self.at(
            0,
            interface.SeatReservations({}, frozenset({3})),
            say="3 may play an earlier life's: none of a title that it holds",
        )
        self.at(0, self.ask(1), self.ask(2, title=8, cells=1), self.ask(3, package=1))
        self.at(
            2_000, interface.SeatReservations({(9, 0): 1}, frozenset()), say="3 has said: one is claimed, one is free"
        )
        self.at(0, self.ask(4), self.ask(5))
        self.at(2_000, interface.SeatReservations({}, frozenset()), say="the claim was refused")
        self.at(0, self.ask(6))
        self.at(
            600, interface.SeatReservations({}, frozenset({3})), say="with a catalogue its holders then are not known"
        )
        self.at(0, interface.TitleUpdate(7, frozenset({1}), 0, 2, ()), self.ask(7, title=7))
        self.at(2_000)
        self.compare()

    def test_a_young_session_taken_over_does_not_prove_that_its_server_is_warm(self):
        for age, warm in ((5 * S, False), (10 * S, True)):
            self.start(pack(), warm=False, quiet=True)
            self.at(0, interface.SessionHandedOver(self.ask(1), 2, age))
            self.assertEqual(warm, self.manager.servers[2].seen_warm)

    def test_a_session_taken_over_is_not_added_to_a_report_that_includes_it(self):
        self.start(pack())
        self.plays(1, server=1, rung=2)
        self.at(0, self.link(1, 1, 0.5))
        use = self.manager.servers[1].use()
        self.at(0, *self.handed(2, 1, 2))
        self.assertEqual(use, self.manager.servers[1].use())


class RestartedManager(Rig):
    """A manager restarts while some of its boxes hang."""

    terms = Rig.terms.replace('"lease_ms": 1000', '"lease_ms": 8000')

    def setUp(self):
        self.leases = []  # (box, manager, life) of leases that began after the kill

    def playing_sessions(self):
        return sum(s.title == "cam" for box in self.boxes.values() for s in box.box.sessions.values())

    async def restart_manager(self, choose_hung):
        first, log = self.fronts.pop(), self.log.pop()
        seen = [await self.player.ask(first.address, "m0", self.wish("cam")) for _ in range(3)]
        self.assertEqual(["plays"] * 3, [s.fate for s in seen])
        boxes_played_at = {b for b, box in self.boxes.items() if box.box.sessions}
        for b in choose_hung(boxes_played_at):
            self.trouble(b, "hang")
        self.leases.clear()
        await Talking.kill_front(first)
        self.most = 0

        def watch(row):
            self.most = max(self.most, self.playing_sessions())
            return False

        for rows in self.box_rows.values():
            rows.waiting.append((watch, asyncio.get_running_loop().create_future()))
        front, log = Front(ManagerSite(self.site, 0, 0, 8), Rows(), "%s:%d" % self.list.address, self.folder.name), None
        front.logger = front.boxes.log = log = Rows()
        front.list_follower.log = log
        self.fronts.append(front)
        self.log.append(log)
        await front.start("127.0.0.1", 0)
        await self.listed(front, log)
        return front, log

    async def test_no_new_session_gets_a_seat_until_the_hung_box_has_reported(self):
        front, log = await self.restart_manager(lambda boxes_played_at: {min(boxes_played_at)})
        self.assertEqual(["blocked"] * 2, [(await self.ask("cam")).fate for _ in range(2)])
        for b in self.boxes:
            self.trouble(b, "hang", 0)
        await self.until(lambda: len(front.viewings) == 3, "all three are taken over")
        self.assertEqual("blocked", (await self.ask("cam")).fate)
        self.assertEqual((3, 3), (self.most, self.playing_sessions()))
        self.assertFalse(front.members.seat_claims.reserved(0).boxes)

    async def test_the_seats_of_a_silent_box_are_free_after_the_lease(self):
        leases = self.leases
        for box in self.boxes.values():
            box.lease, begin = 4_000, box.begin_lease
            box.begin_lease = lambda *life, begin=begin, box=box: (leases.append((box, *life)), begin(*life))
        front, log = await self.restart_manager(lambda boxes_played_at: {min(boxes_played_at)})
        for box in self.boxes.values():  # a stream of the restarted manager neither ends nor restarts that lease
            front.boxes.ensure_stream(box.box.place.id)
        await self.until(lambda: any(rows.all("over", how="lease") for rows in self.box_rows.values()), "a lease ends")
        self.assertEqual(len(leases), len(set(leases)))
        free = 3 - self.playing_sessions()
        self.assertTrue(free)
        front.members.seat_claims.until = 0  # as if the span had passed by the manager's clock too
        front.members.update_reservations()
        self.assertEqual(["plays"] * free + ["blocked"], [(await self.ask("cam")).fate for _ in range(free + 1)])
        self.assertEqual(3, self.most)

    async def test_a_claim_whose_answer_is_lost_is_repeated_and_counted_once(self):
        lost = []

        def claims(box):
            respond_json = box.respond_json

            def once(exchange, row):
                if "granted" in row and not lost:
                    lost.append(row["granted"])
                    exchange.abort()
                else:
                    respond_json(exchange, row)

            box.respond_json = once

        for box in self.boxes.values():
            claims(box)
        front, log = await self.restart_manager(lambda boxes_played_at: ())
        await self.until(lambda: len(front.viewings) == 3, "all three are taken over")
        self.assertTrue(lost[0])
        self.assertEqual((3, 3), (self.playing_sessions(), sum(front.runner.manager.seats.taken.values())))
        self.assertEqual({}, front.members.seat_claims.claims)


class TakeOverOfOneSeat(Talking):
    """One seat is free for three sessions of a dead manager."""

    managers, boxes_wanted = 2, 1

    async def test_one_is_claimed_and_the_lease_ends_the_others(self):
        await self.all_met()
        media = []
        for m, times in ((0, 3), (1, 2)):
            seen = [await self.ask("cam", front=m) for _ in range(times)]
            self.assertEqual(["plays"] * times, [s.fate for s in seen])
            media += [await self.media(s) for s in seen]
        await self.kill(0)
        self.fronts.pop(0)
        await self.log[1].seen("member", name="m0", state="dead")
        await self.until(lambda: len(self.fronts[0].viewings) == 3, "one session is taken over")
        await asyncio.gather(*self.fronts[0].members.jobs.values())
        # The checker counts from the grant: a session granted only to be ended would be one too many.
        self.assertEqual(1, len(self.rows("adopted")))
        self.assertEqual("blocked", (await self.ask("cam")).fate)
        for _, writer in media:
            writer.close()


class TakeOverOfOneSeatFromThreeBoxes(TakeOverOfOneSeat):
    boxes_wanted = 3


class ByProcesses(Played):
    def test_a_day_on_which_a_manager_returns_to_boxes_that_hang(self):
        out, rows, logs = self.play("examples/return-day.jsonnet", 5, troubled=("trouble", "adopted"))
        self.assertIn('"name":"hang"', "".join(f.read_text() for f in out.glob("box-*.jsonl")))
