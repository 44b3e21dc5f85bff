"""Members in virtual time: delays, losses, cuts, crashes and stalls, all drawn from one seed."""

import heapq
import random

from ..members.swim import PERIOD, State, Swim


class SwimWorld:
    def __init__(self, count, loss=0.0, seed=1, delay=(5, 60)):
        self.draw, self.loss, self.delay, self.now, self.seq, self.todo = random.Random(seed), loss, delay, 0, 0, []
        self.names, self.swims, self.up, self.stalled, self.cut = [f"m{n}" for n in range(count)], {}, {}, {}, set()
        self.changes, self.boots, self.false_deaths, self.sent, self.detected_at = [], {}, 0, 0, {}
        for name in self.names:
            self.start(name)

    def at(self, time, act, *args):
        self.seq += 1
        heapq.heappush(self.todo, (time, self.seq, act, args))

    def start(self, name):
        self.boots[name] = self.boots.get(name, 0) + 1
        swim = self.swims[name] = Swim(
            name, name, f"{name}.{self.boots[name]}", len(self.boots) + self.boots[name], self.now
        )
        swim.join([n for n in self.names[:2] if n != name])
        self.up[name] = True
        self.at(self.now, self.tick, name, swim)

    def crash(self, name):
        self.up[name] = False

    def stall(self, name, span):
        self.stalled[name] = self.now + span

    def leave(self, name):
        self.send(name, self.swims[name].leave())
        self.at(self.now + 200, self.crash, name)

    def stands(self, name):
        return self.stalled.get(name, 0) > self.now

    def tick(self, name, swim):
        if self.swims[name] is not swim or not self.up[name]:
            return
        if self.stands(name):
            self.at(self.stalled[name], self.tick, name, swim)
            return
        self.send(name, swim.tick(self.now))
        self.hear(name)
        self.at(max(self.now + 10, swim.due()), self.tick, name, swim)

    def send(self, name, out):
        for address, message in out:
            self.sent += 1
            if self.draw.random() < self.loss or frozenset((name, address)) in self.cut or address not in self.swims:
                continue
            self.at(self.now + self.draw.randint(*self.delay), self.arrive, address, name, message)

    def arrive(self, name, sender, message):
        if not self.up[name]:
            return
        if self.stands(name):
            self.at(self.stalled[name] + 1, self.arrive, name, sender, message)
            return
        swim = self.swims[name]
        self.send(name, swim.heard(message, sender, self.now))
        self.hear(name)

    def hear(self, name):
        for news in self.swims[name].taken_changes():
            self.changes.append((name, news))
            if news.state is State.DEAD:
                self.detected_at.setdefault((name, news.name), self.now)
                if self.up[news.name] and not self.stands(news.name) and news.boot == self.swims[news.name].me.boot:
                    self.false_deaths += 1

    def run(self, span):
        until = self.now + span
        while self.todo and self.todo[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self.todo)
            act(*args)
        self.now = until

    def alive(self, name):
        return self.swims[name].alive()

    def state(self, name, other):
        return self.swims[name].members[other].state.name.lower()


def detection(count, loss, seed, periods=60):
    """(periods until the first and until the last of the others knew of a death; false deaths before it)."""
    world = SwimWorld(count, loss, seed)
    world.run(60 * PERIOD)  # all have met
    before = world.false_deaths
    world.run(20 * PERIOD)
    false, at = world.false_deaths - before, world.now
    gone = world.names[count // 2]
    world.crash(gone)
    world.run(periods * PERIOD)
    times = [t - at for (who, of), t in world.detected_at.items() if of == gone and t >= at and who != gone]
    return min(times) / PERIOD, max(times) / PERIOD, false, len(times)
