"""Slow start over a whole fleet: what all managers together send to a server that has just started, in virtual time.

Each manager is a decide.Manager with a clock of its own; all clients request a title that only the starting server
holds.
"""

import heapq
import itertools
import random
import unittest
from math import sqrt

from flaxscale import interface
from flaxscale.decide import Manager
from flaxscale.platform.starttimes import StartTimes
from tests.drive import S, pack, site

SERVER_STARTED_AT = 1_000_000 * S  # when the server starts, by true time
SERVER = 1
HOUR = 3_600 * S
DEMAND_FACTOR = 3  # client requests, as a multiple of the attempts that the settings allow


class Fleet:
    """`offset(n)`: how far the n-th manager's clock is ahead; `list_delay(n)`: how late its list shows the start."""

    def __init__(self, managers, slots, offset=lambda n: 0, list_delay=lambda n: 0, restarts=0.0, seed=1):
        self.random = random.Random(seed)
        self.terms = [
            site([pack()], peers=managers, me=n, seed=n + 1, slots=(slots,), uplink_kb=1e9) for n in range(managers)
        ]
        self.rules = self.terms[0].rules
        self.offset, self.list_delay, self.restarts = offset, list_delay, restarts
        self.managers = [None] * managers
        self.incarnations = [0] * managers
        self.queue, self.ids, self.attempts = [], itertools.count(1), []
        self.allowed_per_window = (  # attempts in the window that the settings name
            self.rules.overload_multiple
            * self.rules.start_capacity
            * slots
            / self.rules.warm_up_time
            * self.rules.overload_window
        )

    def allowed_in_any_window(self):
        n = self.allowed_per_window
        return n + (2 * sqrt(n) + 2 if n >= 30 else 3 * sqrt(n) + 3)

    def at(self, time, callback, *args):
        heapq.heappush(self.queue, (time, next(self.ids), callback, args))

    def run(self):
        """Times of all attempts until the server is warm."""
        warm_at = SERVER_STARTED_AT + self.rules.warm_up_time
        for n in range(len(self.managers)):
            self.at(SERVER_STARTED_AT - 100 * S, self.start_manager, n)
            self.at(SERVER_STARTED_AT + self.list_delay(n), self.list_server, n)
            if self.random.random() < self.restarts:
                self.at(SERVER_STARTED_AT + self.random.randrange(self.rules.warm_up_time), self.start_manager, n, True)
            self.at(SERVER_STARTED_AT + self.random.randrange(S), self.request, n)
        while self.queue and self.queue[0][0] < warm_at:
            time, _, callback, args = heapq.heappop(self.queue)
            callback(time, *args)
        return self.attempts

    def start_manager(self, time, n, restarted=False):
        """Starts a manager; one that restarts has the list from its configuration."""
        self.managers[n] = Manager(self.terms[n])
        self.incarnations[n] += 1
        self.handle(time, n, interface.ServerListUpdate(interface.ListKind.FULL, ()))
        if restarted:
            self.list_server(time, n, followed=False)

    def list_server(self, time, n, followed=True):
        now = time + self.offset(n)
        started = StartTimes().start_time(SERVER, SERVER_STARTED_AT / 10, now, followed)
        row = interface.ServerEntry(SERVER, 0, 0, 0, 1e6, started, interface.ServerStatus.READY)
        self.handle(time, n, interface.ServerListUpdate(interface.ListKind.DELTA, (row,)))

    def request(self, time, n):
        request = interface.SessionRequest(next(self.ids), 0, 9, 5, 20_000, 2, 0, 3, 0, False, False)
        self.handle(time, n, request)
        mean = len(self.managers) / (DEMAND_FACTOR * self.allowed_per_window) * self.rules.overload_window
        self.at(time + 1 + int(self.random.expovariate(1 / mean)), self.request, n)

    def fire_timer(self, time, n, incarnation, token):
        if incarnation == self.incarnations[n]:
            self.handle(time, n, interface.TimerFired(token))

    def handle(self, time, n, event):
        for action in self.managers[n].handle(time + self.offset(n), event):
            if isinstance(action, interface.Remind):
                self.at(time + action.after, self.fire_timer, n, self.incarnations[n], action.token)
            elif isinstance(action, interface.TuneIn):
                self.attempts.append(time)
                self.at(time + 200, self.answer, n, self.incarnations[n], action.id)

    def answer(self, time, n, incarnation, id):
        if incarnation == self.incarnations[n] and (session := self.managers[n].sessions.get(id)):
            self.handle(time, n, interface.AttemptSucceeded(id, session.attempt, SERVER, 200))


def busiest(times, span):
    """The largest number of times within one span."""
    most = first = 0
    for last, time in enumerate(times):
        while times[first] <= time - span:
            first += 1
        most = max(most, last + 1 - first)
    return most


class SlowStart(unittest.TestCase):
    def check_rate(self, name, **options):
        for managers, slots in itertools.product((1, 2, 30, 200), (30, 600)):
            with self.subTest(name, managers=managers, slots=slots):
                fleet = Fleet(managers, slots, **options)
                attempts = fleet.run()
                self.assertLessEqual(busiest(attempts, fleet.rules.overload_window), fleet.allowed_in_any_window())
                # Of hundreds of managers only some have a turn within a warm-up, and these may have no request waiting.
                self.assertTrue(attempts or managers > 30)

    def test_with_clocks_that_agree(self):
        self.check_rate("agree")

    def test_with_clocks_that_are_anywhere_within_an_hour(self):
        offsets = [random.Random(7).randrange(-HOUR, HOUR) for _ in range(200)]
        self.check_rate("anywhere", offset=lambda n: offsets[n])

    def test_with_every_second_clock_an_hour_off(self):
        for step in (HOUR, -HOUR):
            self.check_rate("every second", offset=lambda n, step=step: step * (n % 2))

    def test_with_one_half_of_the_managers_an_hour_off(self):
        for step in (HOUR, -HOUR):
            self.check_rate("one half", offset=lambda n, step=step: step * (n < 100))

    def test_managers_that_see_the_start_late(self):
        delays = [random.Random(3).randrange(4 * S) for _ in range(200)]
        self.check_rate("late", list_delay=lambda n: delays[n])

    def test_managers_that_restart_meanwhile(self):
        self.check_rate("restarts", restarts=0.7)


if __name__ == "__main__":
    unittest.main()
