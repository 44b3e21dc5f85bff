"""Crashes of managers that hold many viewings, in virtual time: how fast others take over, and with how many messages.

The state machines are the program's own: members.swim detects the crashes; adopt.plan, adopt.Course and ration.Ration
decide which manager claims which sessions, at which rate, and when it retries; adopt.Fence grants claims at the box.
Simulated are message delays and losses, boxes that serve one request after another, and the expiry of leases.
"""

import heapq
import random
from typing import NamedTuple

from ..members.rate_limit import ClaimRateLimit
from ..members.swim import PERIOD
from ..members.takeover import ClaimRetry, Fence, Session, plan_claims
from .members import SwimWorld

# Times are tenths of a millisecond of a box's event loop.
ROW_TIME = 0.02  # for each session that it lists or grants
ANSWER_TIME = 2  # for each request, in addition


class Loss(NamedTuple):
    """Results of one run. Times are seconds after the crashes."""

    viewings: int  # viewings of the crashed managers
    held: int  # of them, held by a live manager at the end
    lost: int  # of them, ended by their lease
    twice: int  # granted twice under one epoch
    known_s: float  # until every live manager knew of every crash
    half_s: float  # until half of the viewings taken over had a holder
    all_s: float  # until the last of them had one
    messages: int  # requests and claims, with their answers
    worst_box: int  # most claims at one box in one second
    worst_manager: int  # most viewings taken over by one manager


class LossWorld:
    def __init__(self, managers, dead, viewings, boxes, seed=1, loss=0.0, lease_ms=12_000, way=(5, 60)):
        self.random, self.delay_range, self.loss, self.sequence, self.queue = random.Random(seed), way, loss, 0, []
        self.swims = SwimWorld(managers, loss, seed, way)
        self.swims.run(60 * PERIOD)
        names = self.swims.names
        self.dead, self.live = names[:dead], names[dead:]
        self.lease, self.fences, self.box_free_at = lease_ms * 10, [Fence() for _ in range(boxes)], [0] * boxes
        self.sessions_by_box = [{} for _ in range(boxes)]  # by box: {key: name of the viewing}
        for n in range(viewings):
            key, box = f"{names[n % managers]}.{n:x}", n // managers % boxes
            self.fences[box].begin(key, names[n % managers])
            self.sessions_by_box[box][key] = key
        self.began, self.rations, self.claimed_by_manager = self.swims.now, {}, dict.fromkeys(self.live, 0)
        self.claims_by_second, self.messages, self.claim_times, self.granted_epochs = (
            [{} for _ in range(boxes)],
            0,
            [],
            set(),
        )
        self.twice = 0

    def call_at(self, time, callback, *args):
        self.sequence += 1
        heapq.heappush(self.queue, (time, self.sequence, callback, args))

    def run(self, span_s=60.0):
        """Simulates span_s seconds after the crashes and returns a Loss."""
        for name in self.dead:
            self.swims.crash(name)
        self.swims.run(round(span_s * 10_000))
        detected_at = {
            pair: at
            for pair, at in self.swims.detected_at.items()
            if pair[0] in self.live and pair[1] in self.dead and at >= self.began
        }
        self.detected_at, until = detected_at, self.began + round(span_s * 10_000)
        for name in self.live:
            self.rations[name] = ClaimRateLimit(self.began)
        for (name, dead), at in sorted(detected_at.items(), key=lambda item: (item[1], item[0])):
            for box in range(len(self.fences)):
                self.call_at(at, self.request_sessions, name, dead, box, ClaimRetry())
        while self.queue and self.queue[0][0] <= until:
            time, _, callback, args = heapq.heappop(self.queue)
            callback(time, *args)
        seconds = [(at - self.began) / 10_000 for at in sorted(self.claim_times)]
        viewings = sum(
            key.startswith(tuple(f"{d}." for d in self.dead)) for sessions in self.sessions_by_box for key in sessions
        )
        return Loss(
            viewings,
            len(seconds),
            viewings - len(seconds),
            self.twice,
            (max(detected_at.values(), default=until) - self.began) / 10_000,
            seconds[len(seconds) // 2] if seconds else span_s,
            seconds[-1] if seconds else span_s,
            self.messages,
            max((n for row in self.claims_by_second for n in row.values()), default=0),
            max(self.claimed_by_manager.values(), default=0),
        )

    def alive(self, name, time):
        """The managers that one manager considers alive."""
        return [n for n in self.swims.names if n in self.live or self.detected_at.get((name, n), time + 1) > time]

    def send(self, time, box, size, callback, *args):
        """Sends a request to a box, which serves its requests one after another."""
        self.messages += 2
        arrival = max(time + self.random.randint(*self.delay_range), self.box_free_at[box])
        self.box_free_at[box] = arrival + round(ANSWER_TIME + ROW_TIME * size)
        if self.random.random() < self.loss:  # lost segments of a TCP connection are retransmitted
            arrival += 2_000
        self.call_at(arrival, self.request_arrives, box, callback, args)

    def request_arrives(self, time, box, callback, args):
        callback(time, box, *args)

    # One manager and one box

    def request_sessions(self, time, name, dead, box, course):
        self.send(
            time, box, len(self.sessions_by_box[box]) // len(self.swims.names), self.sessions_listed, name, dead, course
        )

    def sessions_listed(self, time, box, name, dead, course):
        """Lists the crashed manager's sessions at a box; those whose lease has expired have ended."""
        fence = self.fences[box]
        if time - self.began > self.lease:
            for key in [key for key in self.sessions_by_box[box] if fence.owner(key) in self.dead]:
                fence.remove(key)
        rows = [
            Session(key, dead, fence.epoch(key), name_of_viewing, True)
            for key, name_of_viewing in self.sessions_by_box[box].items()
            if fence.owner(key) == dead
        ]
        answered_at = time + self.random.randint(*self.delay_range)
        takeover_plan = plan_claims(rows, dead, name, self.alive(name, answered_at), course.rank)
        self.call_at(
            answered_at, self.send_claims, name, box, dead, course, list(takeover_plan.claims), takeover_plan.next
        )

    def send_claims(self, time, name, box, dead, course, waiting, next_rank):
        if not waiting:
            pause = course.answered(next_rank)
            if pause is not None:
                self.call_at(time + pause, self.request_sessions, name, dead, box, course)
            return
        allowed = self.rations[name].take(time, len(waiting), len(waiting))
        if not allowed:
            self.call_at(
                time + self.rations[name].wait_time(), self.send_claims, name, box, dead, course, waiting, next_rank
            )
            return
        self.send(
            time, box, allowed, self.grant_claims, name, dead, course, waiting[:allowed], waiting[allowed:], next_rank
        )

    def grant_claims(self, time, box, name, dead, course, claims, waiting, next_rank):
        fence, second = self.fences[box], (time - self.began) // 10_000
        self.claims_by_second[box][second] = self.claims_by_second[box].get(second, 0) + len(claims)
        for claim in claims:
            if fence.claim(claim.key, claim.epoch, name):
                self.twice += (claim.key, claim.epoch) in self.granted_epochs
                self.granted_epochs.add((claim.key, claim.epoch))
                self.claim_times.append(time)
                self.claimed_by_manager[name] += 1
        self.call_at(
            time + self.random.randint(*self.delay_range), self.send_claims, name, box, dead, course, waiting, next_rank
        )


def loss(managers, dead, viewings, boxes, seed=1, **more):
    """Loss when `dead` managers crash at once, with viewings spread evenly."""
    return LossWorld(managers, dead, viewings, boxes, seed, **more).run()
