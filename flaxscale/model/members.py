"""Failure detection in virtual time: delays, losses, cuts, crashes and stalls, all drawn from one seed."""

import heapq
import random

from ..members.swim import PERIOD, State, Swim


class SwimWorld:
    """Members that exchange datagrams. loss: probability per datagram; delay: range, tenths of a millisecond."""

    def __init__(self, count, loss=0.0, seed=1, delay=(5, 60)):
        self.random, self.loss, self.delay_range, self.now, self.sequence, self.queue = (
            random.Random(seed),
            loss,
            delay,
            0,
            0,
            [],
        )
        self.names, self.swims, self.up, self.stalled, self.cut = [f"m{n}" for n in range(count)], {}, {}, {}, set()
        self.changes, self.boots, self.false_deaths, self.sent, self.detected_at = [], {}, 0, 0, {}
        for name in self.names:
            self.start(name)

    def call_at(self, time, callback, *args):
        self.sequence += 1
        heapq.heappush(self.queue, (time, self.sequence, callback, args))

    def start(self, name):
        self.boots[name] = self.boots.get(name, 0) + 1
        swim = self.swims[name] = Swim(
            name, name, f"{name}.{self.boots[name]}", len(self.boots) + self.boots[name], self.now
        )
        swim.join([n for n in self.names[:2] if n != name])
        self.up[name] = True
        self.call_at(self.now, self.tick, name, swim)

    def crash(self, name):
        self.up[name] = False

    def stall(self, name, span):
        self.stalled[name] = self.now + span

    def leave(self, name):
        self.send(name, self.swims[name].leave())
        self.call_at(self.now + 200, self.crash, name)

    def is_stalled(self, name):
        return self.stalled.get(name, 0) > self.now

    def tick(self, name, swim):
        if self.swims[name] is not swim or not self.up[name]:
            return
        if self.is_stalled(name):
            self.call_at(self.stalled[name], self.tick, name, swim)
            return
        self.send(name, swim.tick(self.now))
        self.record_changes(name)
        self.call_at(max(self.now + 10, swim.due()), self.tick, name, swim)

    def send(self, name, out):
        for address, message in out:
            self.sent += 1
            if self.random.random() < self.loss or frozenset((name, address)) in self.cut or address not in self.swims:
                continue
            self.call_at(self.now + self.random.randint(*self.delay_range), self.arrive, address, name, message)

    def arrive(self, name, sender, message):
        if not self.up[name]:
            return
        if self.is_stalled(name):
            self.call_at(self.stalled[name] + 1, self.arrive, name, sender, message)
            return
        swim = self.swims[name]
        self.send(name, swim.receive(message, sender, self.now))
        self.record_changes(name)

    def record_changes(self, name):
        for change in self.swims[name].take_changes():
            self.changes.append((name, change))
            if change.state is State.DEAD:
                self.detected_at.setdefault((name, change.name), self.now)
                if (
                    self.up[change.name]
                    and not self.is_stalled(change.name)
                    and change.boot == self.swims[change.name].me.boot
                ):
                    self.false_deaths += 1

    def run(self, span):
        until = self.now + span
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
        self.now = until

    def alive(self, name):
        return self.swims[name].alive()

    def state(self, name, other):
        return self.swims[name].members[other].state.name.lower()


def detection(count, loss, seed, periods=60):
    """(periods until the first and the last member detect a crash, false deaths before it, number of detections)."""
    world = SwimWorld(count, loss, seed)
    world.run(60 * PERIOD)  # by now each member knows all others
    before = world.false_deaths
    world.run(20 * PERIOD)
    false_deaths, crashed_at = world.false_deaths - before, world.now
    crashed = world.names[count // 2]
    world.crash(crashed)
    world.run(periods * PERIOD)
    times = [
        t - crashed_at
        for (who, of), t in world.detected_at.items()
        if of == crashed and t >= crashed_at and who != crashed
    ]
    return min(times) / PERIOD, max(times) / PERIOD, false_deaths, len(times)
