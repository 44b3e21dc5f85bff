"""Leases at sizes that processes don't reach: managers and one granter in virtual time. The state machines are the
program's own (leases.granter, holder, shares); message delays, crashes and outages of the granter are simulated.
"""

import heapq
import random
from collections import Counter
from typing import NamedTuple

from ..leases.granter import Granted, Granter
from ..leases.holder import Holder
from ..leases.shares import Candidate, eligible, share

# Times are tenths of a millisecond.
TICK_INTERVAL = 2_000  # between two checks of a manager's leases, as in front/duties.py
DETECTION_TIME = 30_000  # until all other managers know of a crash or a restart


class Cost(NamedTuple):
    """Results of one run; figures per second use the granter's clock."""

    messages: float  # to and from the granter per second, without faults
    syncs: float  # writes that wait for the disk per second, without faults
    gaps: list  # seconds without a holder, for each piece of the killed (stopped) manager
    moved: int  # pieces that changed holder although theirs was not the killed manager
    least: int  # least, most: pieces of the managers that held the fewest and the most before the crash
    most: int
    rush: int  # messages in the busiest second after the outage
    worst_pair: int  # times that a piece was granted while another manager still held it; expected 0


class LeaseWorld:
    def __init__(self, managers, tasks, pieces, seed=1, loss=0.0, way=(5, 60), spread=True):
        """tasks: {name: Task}, one for all pieces; pieces: their number. spread=False: all reconnect at once."""
        self.random, self.loss, self.delay_range, self.now, self.sequence, self.queue = (
            random.Random(seed),
            loss,
            way,
            0,
            0,
            [],
        )
        [(name, self.task)] = tasks.items()
        self.names, self.pieces = [f"m{n}" for n in range(managers)], [f"{name}/{n}" for n in range(pieces)]
        self.granter, self.up, self.spread = Granter(tasks, 0, opened=0), True, spread
        self.holders = {n: Holder(f"{n}.1", seed * 1_000 + k, 0) for k, n in enumerate(self.names)}
        self.stopped_at, self.messages_by_second, self.syncs = {}, Counter(), Counter()
        self.holder_by_piece, self.free_since, self.gaps = {}, {}, {}
        self.shares_by_piece, self.shares_alive, self.pieces_by_manager, self.double_holdings = {}, None, {}, 0
        for k, name in enumerate(self.names):
            self.holders[name].set_connected(True, managers if spread else 1, 0)
            self.call_at(k * TICK_INTERVAL // managers, self.tick, name)

    def call_at(self, time, callback, *args):
        self.sequence += 1
        heapq.heappush(self.queue, (time, self.sequence, callback, args))

    def current_shares(self):
        alive = tuple(n for n in self.names if self.stopped_at.get(n, self.now) + DETECTION_TIME > self.now)
        if alive != self.shares_alive:
            self.shares_alive = alive
            self.shares_by_piece = share(self.pieces, eligible([Candidate(n) for n in alive]))
            self.pieces_by_manager = {}
            for piece, name in self.shares_by_piece.items():
                self.pieces_by_manager.setdefault(name, {})[piece] = self.task
        return self.pieces_by_manager

    def tick(self, name):
        if name in self.stopped_at:
            return
        holder = self.holders[name]
        holder.set_wanted(self.current_shares().get(name, {}), self.now)
        if given := holder.releases(self.now):
            self.send(self.to_granter, name, (), given)
        if asked := holder.due(self.now):
            self.send(self.to_granter, name, asked, ())
        self.call_at(self.now + TICK_INTERVAL, self.tick, name)

    def send(self, callback, *args):
        self.messages_by_second[self.now // 10_000] += 1
        if self.random.random() >= self.loss:
            self.call_at(self.now + self.random.randint(*self.delay_range), callback, *args)

    def to_granter(self, name, asked, given):
        if not self.up:
            return
        owner, answers, new = f"{name}.1", [], False
        for piece, token in given:
            new |= self.granter.release(piece, owner, token, self.now)
        for piece, token, number in asked:
            answer = self.granter.request(piece, owner, token, self.now)
            new |= isinstance(answer, Granted) and answer.new
            answers.append((answer, number))
        self.syncs[self.now // 10_000] += new
        if answers:
            self.send(self.to_manager, name, answers)

    def to_manager(self, name, answers):
        if name in self.stopped_at:
            return
        holder = self.holders[name]
        for answer, number in answers:
            if isinstance(answer, Granted):
                holder.granted(answer.piece, number, answer.token, self.now)
                if holder.holds(answer.piece, self.now):
                    self.piece_granted(answer.piece, name)
            else:
                holder.busy(answer.piece, number, answer.owner, answer.token, answer.left, self.now)

    def piece_granted(self, piece, name):
        before = self.holder_by_piece.get(piece)
        if before != name:
            self.double_holdings += (
                before is not None and before not in self.stopped_at and self.holders[before].holds(piece, self.now)
            )
            self.holder_by_piece[piece] = name
            if piece in self.free_since:
                self.gaps[piece] = (self.now - self.free_since.pop(piece)) / 10_000

    def run(self, span_s):
        until = self.now + round(span_s * 10_000)
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
        self.now = until

    def kill(self, name):
        self.stopped_at[name] = self.now
        self.free_since = {p: self.now for p, n in self.holder_by_piece.items() if n == name}

    def leave(self, name):
        """Stops a manager by plan: it releases all leases, and the others know at once."""
        self.free_since = {p: self.now for p, n in self.holder_by_piece.items() if n == name}
        self.send(self.to_granter, name, (), self.holders[name].release_all(self.now))
        self.stopped_at[name] = self.now - DETECTION_TIME

    def outage(self, span_s):
        self.up = False
        for name in self.names:
            self.holders[name].set_connected(False, 1, self.now)
        self.run(span_s)
        self.granter, self.up = Granter(self.granter.tasks, self.now, self.granter.count), True
        for name in self.names:
            self.holders[name].set_connected(True, len(self.names) if self.spread else 1, self.now)


def cost(managers, task, pieces, seed=1, planned=False, loss=0.0, spread=True, outage_s=30.0):
    """Cost of one run: a minute without faults, then a manager is killed (or stopped by plan), then an outage."""
    world = LeaseWorld(managers, {task.name: task}, pieces, seed, loss, spread=spread)
    settle = 20 + 2 * task.span / 10_000
    world.run(settle)
    world.messages_by_second.clear()
    world.syncs.clear()
    world.run(60)
    messages, syncs = sum(world.messages_by_second.values()) / 60, sum(world.syncs.values()) / 60
    piece_counts, before = Counter(world.holder_by_piece.values()), dict(world.holder_by_piece)
    stopped = max(piece_counts, key=lambda n: (piece_counts[n], n))
    (world.leave if planned else world.kill)(stopped)
    world.run(60 + 2 * task.span / 10_000)
    moved = sum(world.holder_by_piece[p] != before[p] and before[p] != stopped for p in before)
    gaps = sorted(world.gaps.values())
    world.outage(outage_s)
    world.messages_by_second.clear()
    world.run(60)
    return Cost(
        messages,
        syncs,
        gaps,
        moved,
        min(piece_counts.get(n, 0) for n in world.names),
        max(piece_counts.values()),
        max(world.messages_by_second.values(), default=0),
        world.double_holdings,
    )
