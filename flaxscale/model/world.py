"""Discrete-event scheduler in virtual time, with all random draws from one seed: the same seed gives the same run."""

import heapq

from ..lab.chance import Dice


class World:
    """The clock counts tenths of a millisecond; events due at one time run in the order of their scheduling."""

    def __init__(self, seed):
        self.now, self.sequence, self.queue, self.seed, self.dice_by_stream, self.events_run = (
            1_000_000,
            0,
            [],
            seed,
            {},
            0,
        )

    def call_at(self, time, callback, *args):
        self.sequence += 1
        heapq.heappush(self.queue, (time if time > self.now else self.now, self.sequence, callback, args))

    def call_later(self, delay, callback, *args):
        self.call_at(self.now + delay, callback, *args)

    def call_every(self, delay, callback, *args):
        def again():
            callback(*args)
            self.call_later(delay, again)

        self.call_later(delay, again)

    def dice(self, stream):
        if stream not in self.dice_by_stream:
            self.dice_by_stream[stream] = Dice(self.seed, stream)
        return self.dice_by_stream[stream]

    def run(self, until):
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(queue)
            self.events_run += 1
            callback(*args)
        self.now = until
