"""Slow start over a whole fleet: what all managers together send to a server that has just started, in virtual time.

Each manager is the decision module, by a clock of its own; all clients want a title that the starting server alone has.
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

STARTED = 1_000_000 * S  # the start, by true time
SERVER = 1
HOUR = 3_600 * S
DEMAND = 3  # times what the settings allow


class Fleet:
    """`offset(n)`: how far the n-th manager's clock is ahead; `told(n)`: when it hears of the start, after it."""

    def __init__(self, managers, places, offset=lambda n: 0, told=lambda n: 0, restarts=0.0, seed=1):
        self.chance = random.Random(seed)
        self.terms = [
            site([pack()], peers=managers, me=n, seed=n + 1, slots=(places,), uplink_kb=1e9) for n in range(managers)
        ]
        self.rules = self.terms[0].rules
        self.offset, self.told_at, self.restarts = offset, told, restarts
        self.managers = [None] * managers
        self.lives = [0] * managers
        self.queue, self.number, self.sent = [], itertools.count(1), []
        self.allowed = (  # in the time that the settings name
            self.rules.overload_multiple
            * self.rules.start_capacity
            * places
            / self.rules.warm_up_time
            * self.rules.overload_window
        )

    def most(self):
        n = self.allowed
        return n + (2 * sqrt(n) + 2 if n >= 30 else 3 * sqrt(n) + 3)

    def at(self, time, act, *args):
        heapq.heappush(self.queue, (time, next(self.number), act, args))

    def run(self):
        """All set-ups' times until the server is warm."""
        ends = STARTED + self.rules.warm_up_time
        for n in range(len(self.managers)):
            self.at(STARTED - 100 * S, self.begin, n)
            self.at(STARTED + self.told_at(n), self.tell, n)
            if self.chance.random() < self.restarts:
                self.at(STARTED + self.chance.randrange(self.rules.warm_up_time), self.begin, n, True)
            self.at(STARTED + self.chance.randrange(S), self.ask, n)
        while self.queue and self.queue[0][0] < ends:
            time, _, act, args = heapq.heappop(self.queue)
            act(time, *args)
        return self.sent

    def begin(self, time, n, again=False):
        """A life of a manager; one that restarts has the list from its configuration."""
        self.managers[n] = Manager(self.terms[n])
        self.lives[n] += 1
        self.hand(time, n, interface.ServerListUpdate(interface.ListKind.FULL, ()))
        if again:
            self.tell(time, n, followed=False)

    def tell(self, time, n, followed=True):
        now = time + self.offset(n)
        started = StartTimes().start_time(SERVER, STARTED / 10, now, followed)
        row = interface.ServerEntry(SERVER, 0, 0, 0, 1e6, started, interface.ServerStatus.READY)
        self.hand(time, n, interface.ServerListUpdate(interface.ListKind.DELTA, (row,)))

    def ask(self, time, n):
        ask = interface.SessionRequest(next(self.number), 0, 9, 5, 20_000, 2, 0, 3, 0, False, False)
        self.hand(time, n, ask)
        mean = len(self.managers) / (DEMAND * self.allowed) * self.rules.overload_window
        self.at(time + 1 + int(self.chance.expovariate(1 / mean)), self.ask, n)

    def alarm(self, time, n, life, token):
        if life == self.lives[n]:
            self.hand(time, n, interface.TimerFired(token))

    def hand(self, time, n, event):
        for action in self.managers[n].handle(time + self.offset(n), event):
            if isinstance(action, interface.Remind):
                self.at(time + action.after, self.alarm, n, self.lives[n], action.token)
            elif isinstance(action, interface.TuneIn):
                self.sent.append(time)
                self.at(time + 200, self.begun, n, self.lives[n], action.id)

    def begun(self, time, n, life, id):
        if life == self.lives[n] and (session := self.managers[n].viewings.get(id)):
            self.hand(time, n, interface.AttemptSucceeded(id, session.nth, SERVER, 200))


def busiest(times, span):
    """The most of these within one span."""
    most = first = 0
    for last, time in enumerate(times):
        while times[first] <= time - span:
            first += 1
        most = max(most, last + 1 - first)
    return most


class SlowStart(unittest.TestCase):
    def holds(self, name, **how):
        for managers, places in itertools.product((1, 2, 30, 200), (30, 600)):
            with self.subTest(name, managers=managers, places=places):
                fleet = Fleet(managers, places, **how)
                sent = fleet.run()
                self.assertLessEqual(busiest(sent, fleet.rules.overload_window), fleet.most())
                # Of hundreds only some have a turn within a warm-up, and these may have nobody who waits.
                self.assertTrue(sent or managers > 30)

    def test_with_clocks_that_agree(self):
        self.holds("agree")

    def test_with_clocks_that_are_anywhere_within_an_hour(self):
        offsets = [random.Random(7).randrange(-HOUR, HOUR) for _ in range(200)]
        self.holds("anywhere", offset=lambda n: offsets[n])

    def test_with_every_second_clock_an_hour_off(self):
        for step in (HOUR, -HOUR):
            self.holds("every second", offset=lambda n, step=step: step * (n % 2))

    def test_with_one_half_of_the_managers_an_hour_off(self):
        for step in (HOUR, -HOUR):
            self.holds("one half", offset=lambda n, step=step: step * (n < 100))

    def test_managers_that_see_the_start_late(self):
        late = [random.Random(3).randrange(4 * S) for _ in range(200)]
        self.holds("late", told=lambda n: late[n])

    def test_managers_that_restart_meanwhile(self):
        self.holds("restarts", restarts=0.7)


if __name__ == "__main__":
    unittest.main()
