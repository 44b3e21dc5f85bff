"""Leases at sizes that processes don't reach: managers, one granter, shares, in virtual time. The machines are the
program's own (leases.granter, holder, shares); around them stand ways of drawn length, deaths, outages of the granter.
"""

import heapq
import random
from collections import Counter
from typing import NamedTuple

from ..leases.granter import Granted, Granter
from ..leases.holder import Holder
from ..leases.shares import Candidate, eligible, share

TICK = 2_000  # a manager looks at its leases so often, as front/duties.py does
KNOWN = 30_000  # a death, or a restart, is known to all others after this


class Cost(NamedTuple):
    """Figures of one course; a second's are of the granter's clock."""

    messages: float  # to and from the granter, a second, while all goes well
    syncs: float  # writes that wait for the disk, a second, while all goes well
    gaps: list  # seconds in which a piece of the killed (stopped) manager had no holder, by piece
    moved: int  # pieces that changed hands and were not the killed one's
    least: int  # pieces of the manager that has least, and most, before
    most: int
    rush: int  # messages in the busiest second after the outage
    worst_pair: int  # managers that believed at once to hold one piece (0)


class LeaseWorld:
    def __init__(self, managers, tasks, pieces, seed=1, loss=0.0, way=(5, 60), spread=True):
        """tasks: one Task for all pieces, as {name: Task}; pieces: how many. spread: False lets all come at once."""
        self.draw, self.loss, self.way, self.now, self.seq, self.todo = random.Random(seed), loss, way, 0, 0, []
        [(name, self.task)] = tasks.items()
        self.names, self.pieces = [f"m{n}" for n in range(managers)], [f"{name}/{n}" for n in range(pieces)]
        self.granter, self.up, self.spread = Granter(tasks, 0, opened=0), True, spread
        self.holders = {n: Holder(f"{n}.1", seed * 1_000 + k, 0) for k, n in enumerate(self.names)}
        self.dead_at, self.count, self.syncs = {}, Counter(), Counter()
        self.holds, self.free_since, self.gaps = {}, {}, {}
        self.shared, self.shared_for, self.mine, self.worst = {}, None, {}, 0
        for k, name in enumerate(self.names):
            self.holders[name].set_connected(True, managers if spread else 1, 0)
            self.at(k * TICK // managers, self.tick, name)

    def at(self, time, act, *args):
        self.seq += 1
        heapq.heappush(self.todo, (time, self.seq, act, args))

    def shares(self):
        alive = tuple(n for n in self.names if self.dead_at.get(n, self.now) + KNOWN > self.now)
        if alive != self.shared_for:
            self.shared_for = alive
            self.shared = share(self.pieces, eligible([Candidate(n) for n in alive]))
            self.mine = {}
            for piece, name in self.shared.items():
                self.mine.setdefault(name, {})[piece] = self.task
        return self.mine

    def tick(self, name):
        if name in self.dead_at:
            return
        holder = self.holders[name]
        holder.set_wanted(self.shares().get(name, {}), self.now)
        if given := holder.releases(self.now):
            self.send(self.to_granter, name, (), given)
        if asked := holder.due(self.now):
            self.send(self.to_granter, name, asked, ())
        self.at(self.now + TICK, self.tick, name)

    def send(self, act, *args):
        self.count[self.now // 10_000] += 1
        if self.draw.random() >= self.loss:
            self.at(self.now + self.draw.randint(*self.way), act, *args)

    def to_granter(self, name, asked, given):
        if not self.up:
            return
        owner, told, new = f"{name}.1", [], False
        for piece, token in given:
            new |= self.granter.release(piece, owner, token, self.now)
        for piece, token, number in asked:
            answer = self.granter.request(piece, owner, token, self.now)
            new |= isinstance(answer, Granted) and answer.new
            told.append((answer, number))
        self.syncs[self.now // 10_000] += new
        if told:
            self.send(self.to_manager, name, told)

    def to_manager(self, name, told):
        if name in self.dead_at:
            return
        holder = self.holders[name]
        for answer, number in told:
            if isinstance(answer, Granted):
                holder.granted(answer.piece, number, answer.token, self.now)
                if holder.holds(answer.piece, self.now):
                    self.taken(answer.piece, name)
            else:
                holder.busy(answer.piece, number, answer.owner, answer.token, answer.left, self.now)

    def taken(self, piece, name):
        before = self.holds.get(piece)
        if before != name:
            self.worst += (
                before is not None and before not in self.dead_at and self.holders[before].holds(piece, self.now)
            )
            self.holds[piece] = name
            if piece in self.free_since:
                self.gaps[piece] = (self.now - self.free_since.pop(piece)) / 10_000

    def run(self, span_s):
        until = self.now + round(span_s * 10_000)
        while self.todo and self.todo[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self.todo)
            act(*args)
        self.now = until

    def kill(self, name):
        self.dead_at[name] = self.now
        self.free_since = {p: self.now for p, n in self.holds.items() if n == name}

    def leave(self, name):
        """A planned stop: all is given back, and its leaving is known at once."""
        self.free_since = {p: self.now for p, n in self.holds.items() if n == name}
        self.send(self.to_granter, name, (), self.holders[name].release_all(self.now))
        self.dead_at[name] = self.now - KNOWN

    def outage(self, span_s):
        self.up = False
        for name in self.names:
            self.holders[name].set_connected(False, 1, self.now)
        self.run(span_s)
        self.granter, self.up = Granter(self.granter.tasks, self.now, self.granter.count), True
        for name in self.names:
            self.holders[name].set_connected(True, len(self.names) if self.spread else 1, self.now)


def cost(managers, task, pieces, seed=1, planned=False, loss=0.0, spread=True, outage_s=30.0):
    """Cost of one course: a minute of calm, then one manager is killed (or stopped by plan), then an outage."""
    world = LeaseWorld(managers, {task.name: task}, pieces, seed, loss, spread=spread)
    settle = 20 + 2 * task.span / 10_000
    world.run(settle)
    world.count.clear()
    world.syncs.clear()
    world.run(60)
    messages, syncs = sum(world.count.values()) / 60, sum(world.syncs.values()) / 60
    parts, before = Counter(world.holds.values()), dict(world.holds)
    gone = max(parts, key=lambda n: (parts[n], n))
    (world.leave if planned else world.kill)(gone)
    world.run(60 + 2 * task.span / 10_000)
    moved = sum(world.holds[p] != before[p] and before[p] != gone for p in before)
    gaps = sorted(world.gaps.values())
    world.outage(outage_s)
    world.count.clear()
    world.run(60)
    return Cost(
        messages,
        syncs,
        gaps,
        moved,
        min(parts.get(n, 0) for n in world.names),
        max(parts.values()),
        max(world.count.values(), default=0),
        world.worst,
    )
