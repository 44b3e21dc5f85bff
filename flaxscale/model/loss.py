"""Managers that die with much in hand, in virtual time: who holds all of it when, by what messages.

The machines are the program's own: members.swim tells who is dead when, to whom; adopt.plan, adopt.Course and
ration.Ration say who claims what, how fast and when again; adopt.Fence grants it at the box. Around them stand ways
that take drawn times and lose a part, boxes that answer one asking after another, and the leases' ends.
"""

import heapq
import random
from typing import NamedTuple

from ..members.adopt import Course, Fence, Session, plan
from ..members.ration import Ration
from ..members.swim import PERIOD
from .members import SwimWorld

ROW_TIME = 0.02  # of a box's loop for each session that it tells or grants, tenths of a millisecond
ANSWER_TIME = 2  # for each asking, beside that


class Loss(NamedTuple):
    """What came of it. Times in seconds after the deaths."""

    viewings: int  # that the dead ones played
    held: int  # of them by a living manager at the end
    lost: int  # to their lease
    twice: int  # granted twice under one epoch
    known_s: float  # until all living knew of all deaths
    half_s: float  # until half of them were held
    all_s: float  # until the last was
    messages: int  # askings and claims, with their answers
    worst_box: int  # claims in its busiest second
    worst_manager: int  # what the one that took most took


class LossWorld:
    def __init__(self, managers, dead, viewings, boxes, seed=1, loss=0.0, lease_ms=12_000, way=(5, 60)):
        self.draw, self.way, self.loss, self.seq, self.todo = random.Random(seed), way, loss, 0, []
        self.swims = SwimWorld(managers, loss, seed, way)
        self.swims.run(60 * PERIOD)
        names = self.swims.names
        self.dead, self.living = names[:dead], names[dead:]
        self.lease, self.fences, self.free_at = lease_ms * 10, [Fence() for _ in range(boxes)], [0] * boxes
        self.of = [{} for _ in range(boxes)]  # by box: key: the viewing's name
        for n in range(viewings):
            key, box = f"{names[n % managers]}.{n:x}", n // managers % boxes
            self.fences[box].begin(key, names[n % managers])
            self.of[box][key] = key
        self.began, self.rations, self.taken = self.swims.now, {}, dict.fromkeys(self.living, 0)
        self.claims, self.messages, self.held_at, self.grants = [{} for _ in range(boxes)], 0, [], set()
        self.twice = 0

    def at(self, time, act, *args):
        self.seq += 1
        heapq.heappush(self.todo, (time, self.seq, act, args))

    def run(self, span_s=60.0):
        """Loss, of so many seconds after the deaths."""
        for name in self.dead:
            self.swims.crash(name)
        self.swims.run(round(span_s * 10_000))
        known = {
            pair: at
            for pair, at in self.swims.detected_at.items()
            if pair[0] in self.living and pair[1] in self.dead and at >= self.began
        }
        self.known, until = known, self.began + round(span_s * 10_000)
        for name in self.living:
            self.rations[name] = Ration(self.began)
        for (name, dead), at in sorted(known.items(), key=lambda item: (item[1], item[0])):
            for box in range(len(self.fences)):
                self.at(at, self.ask, name, dead, box, Course())
        while self.todo and self.todo[0][0] <= until:
            time, _, act, args = heapq.heappop(self.todo)
            act(time, *args)
        seconds = [(at - self.began) / 10_000 for at in sorted(self.held_at)]
        gone = sum(key.startswith(tuple(f"{d}." for d in self.dead)) for of in self.of for key in of)
        return Loss(
            gone,
            len(seconds),
            gone - len(seconds),
            self.twice,
            (max(known.values(), default=until) - self.began) / 10_000,
            seconds[len(seconds) // 2] if seconds else span_s,
            seconds[-1] if seconds else span_s,
            self.messages,
            max((n for row in self.claims for n in row.values()), default=0),
            max(self.taken.values(), default=0),
        )

    def alive(self, name, time):
        """Who lives, to one manager."""
        return [n for n in self.swims.names if n in self.living or self.known.get((name, n), time + 1) > time]

    def send(self, time, box, size, act, *args):
        """A request to a box, answered when its loop has come to it."""
        self.messages += 2
        there = max(time + self.draw.randint(*self.way), self.free_at[box])
        self.free_at[box] = there + round(ANSWER_TIME + ROW_TIME * size)
        if self.draw.random() < self.loss:  # of a TCP connection: sent again by the system, and late
            there += 2_000
        self.at(there, self.arrived, box, act, args)

    def arrived(self, time, box, act, args):
        act(time, box, *args)

    # One manager and one box

    def ask(self, time, name, dead, box, course):
        self.send(time, box, len(self.of[box]) // len(self.swims.names), self.told, name, dead, course)

    def told(self, time, box, name, dead, course):
        """The box says what it holds of the dead one; those whose lease is over have ended."""
        fence = self.fences[box]
        if time - self.began > self.lease:
            for key in [key for key in self.of[box] if fence.owner(key) in self.dead]:
                fence.over(key)
        rows = [
            Session(key, dead, fence.epoch(key), called, True)
            for key, called in self.of[box].items()
            if fence.owner(key) == dead
        ]
        back = time + self.draw.randint(*self.way)
        made = plan(rows, dead, name, self.alive(name, back), course.rank)
        self.at(back, self.claim, name, box, dead, course, list(made.claims), made.next)

    def claim(self, time, name, box, dead, course, wanted, following):
        if not wanted:
            pause = course.came(following)
            if pause is not None:
                self.at(time + pause, self.ask, name, dead, box, course)
            return
        may = self.rations[name].take(time, len(wanted), len(wanted))
        if not may:
            self.at(time + self.rations[name].wait(), self.claim, name, box, dead, course, wanted, following)
            return
        self.send(time, box, may, self.granted, name, dead, course, wanted[:may], wanted[may:], following)

    def granted(self, time, box, name, dead, course, asked, wanted, following):
        fence, second = self.fences[box], (time - self.began) // 10_000
        self.claims[box][second] = self.claims[box].get(second, 0) + len(asked)
        for c in asked:
            if fence.claim(c.key, c.epoch, name):
                self.twice += (c.key, c.epoch) in self.grants
                self.grants.add((c.key, c.epoch))
                self.held_at.append(time)
                self.taken[name] += 1
        self.at(time + self.draw.randint(*self.way), self.claim, name, box, dead, course, wanted, following)


def loss(managers, dead, viewings, boxes, seed=1, **more):
    """Loss of so many managers dying at once, with viewings spread evenly."""
    return LossWorld(managers, dead, viewings, boxes, seed, **more).run()
