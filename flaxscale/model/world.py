"""Virtual time: one heap of things to do, and one door of chance. The same seed gives the same course, always."""

import heapq

from ..lab.chance import Dice


class World:
    """The clock is whole tenths of a millisecond; what is due at one time is done in the order it was asked for."""

    def __init__(self, seed):
        self.now, self.seq, self.todo, self.seed, self.dices, self.done = 1_000_000, 0, [], seed, {}, 0

    def at(self, time, act, *args):
        self.seq += 1
        heapq.heappush(self.todo, (time if time > self.now else self.now, self.seq, act, args))

    def later(self, span, act, *args):
        self.at(self.now + span, act, *args)

    def every(self, span, act, *args):
        def again():
            act(*args)
            self.later(span, again)

        self.later(span, again)

    def dice(self, stream):
        if stream not in self.dices:
            self.dices[stream] = Dice(self.seed, stream)
        return self.dices[stream]

    def run(self, until):
        todo = self.todo
        while todo and todo[0][0] <= until:
            self.now, _, act, args = heapq.heappop(todo)
            self.done += 1
            act(*args)
        self.now = until
