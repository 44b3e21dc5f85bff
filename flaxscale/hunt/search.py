"""Which days are played next, and which of those played were worst. Pure; a seed gives the same hunt, in any number of
processes: days are chosen a generation at a time, from what all generations before it brought.

A day's rank: a broken rule or invariant before all else; then a fleet that does not come back after its last fault has
healed; then the part of its service that the troubles took. Half of a generation is drawn anew, half changes a day that
brought marks that none before it had, or is among the worst; plain=True draws all anew, as a measure for the rest.
"""

from typing import NamedTuple

from ..lab.chance import Dice

GENERATION = 16
KEPT, WORST = 200, 12  # days that are changed further; of them the worst
SHAPE = 1


class Outcome(NamedTuple):
    """breaks: [[kind, detail]], as text. back: whether the fleet came back (None: can't be told). loss: of service."""

    breaks: tuple
    back: bool | None
    loss: float
    marks: frozenset

    def rank(self):
        return len({kind for kind, _ in self.breaks}), self.back is False, self.loss


class Played(NamedTuple):
    number: int
    seed: int
    troubles: list
    outcome: Outcome
    new: int  # marks that it was the first to reach


class Hunt:
    def __init__(self, space, seed, seeds=3, plain=False):
        """seeds: days' own seeds that are gone through in turn, so that not all is owed to one demand."""
        self.space, self.seed, self.seeds, self.plain = space, seed, seeds, plain
        self.played, self.marks, self.corpus = [], set(), []

    def generation(self):
        """[(number, seed, troubles)] to play now; what is taken afterwards must be these, in this order."""
        first, out = len(self.played), []
        for number in range(first, first + GENERATION):
            dice = Dice(self.seed, f"hunt-{number}")
            if self.plain or not self.corpus or number % 2 == 0:
                troubles = self.space.fresh(dice)
            else:
                troubles = self.space.changed(self.parent(dice).troubles, dice)
            out.append((number, 1 + number % self.seeds, troubles))
        return out

    def parent(self, dice):
        """Of the worst as often as of those that reached something new."""
        if dice.draw() < 0.5:
            worst = sorted(self.corpus, key=lambda p: (p.outcome.rank(), -p.number), reverse=True)[:WORST]
            return worst[int(dice.draw() * len(worst))]
        return self.corpus[int(dice.draw() * len(self.corpus))]

    def take(self, number, seed, troubles, outcome):
        """What came of one play; the Played of it."""
        fresh = outcome.marks - self.marks
        self.marks |= fresh
        made = Played(number, seed, troubles, outcome, len(fresh))
        self.played.append(made)
        if fresh or outcome.breaks:
            self.corpus.append(made)
            if len(self.corpus) > KEPT:  # the oldest goes that is not among the worst
                worst = set(id(p) for p in sorted(self.corpus, key=lambda p: p.outcome.rank(), reverse=True)[:WORST])
                self.corpus.remove(next(p for p in self.corpus if id(p) not in worst))
        return made

    def worst(self, count=3):
        """The worst days, each of another kind: of what broke, or of the troubles that they are made of."""
        out, kinds = [], set()
        for p in sorted(self.played, key=lambda p: (p.outcome.rank(), -p.number), reverse=True):
            kind = kind_of(p)
            if kind not in kinds and len(out) < count:
                kinds.add(kind)
                out.append(p)
        return out


def kind_of(played):
    broke = tuple(sorted({kind for kind, _ in played.outcome.breaks}))
    return broke or (played.outcome.back is False, *sorted({row.what for row in played.troubles}))
