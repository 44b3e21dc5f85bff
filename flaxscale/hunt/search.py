"""Chooses the days to play next and ranks the days played. Pure; a seed gives the same hunt with any number of
processes, because days are chosen a generation at a time, from the outcomes of all earlier generations.

Days are ranked by the number of kinds of broken rules or invariants; then by whether the fleet fails to recover after
its last fault has healed; then by the share of its service that the troubles cost. Half of a generation is drawn at
random, half mutates a day of the corpus: one that reached new marks, or one of the worst. plain=True draws all days at
random, as the baseline that the guided search is compared with.
"""

from typing import NamedTuple

from ..lab.chance import Dice

GENERATION_SIZE = 16  # days
CORPUS_LIMIT = 200  # days kept as parents of mutated days
WORST_COUNT = 12  # days; the worst of the corpus, which are never evicted and are preferred as parents
LOG_VERSION = 1  # of the records in a hunt's log


class Outcome(NamedTuple):
    """The outcome of one play.

    breaks: [[kind, detail]], as text. back: whether the fleet recovered (None: undecided). loss: the share of service
    that was lost.
    """

    breaks: tuple
    back: bool | None
    loss: float
    marks: frozenset

    def rank(self):
        """The sort key of severity; a worse outcome has a greater one."""
        return len({kind for kind, _ in self.breaks}), self.back is False, self.loss


class Played(NamedTuple):
    """A play and its outcome."""

    number: int
    seed: int
    troubles: list
    outcome: Outcome
    new: int  # how many marks this play was the first to reach


class Hunt:
    """The state of a search: the days played, the marks reached and the corpus of parents."""

    def __init__(self, space, seed, seeds=3, plain=False):
        """seeds: how many seeds of the day plays cycle through, so that a finding does not depend on one demand."""
        self.space, self.seed, self.seeds, self.plain = space, seed, seeds, plain
        self.played, self.marks, self.corpus = [], set(), []

    def next_generation(self):
        """[(number, seed, troubles)] to play next; record() must then be called for each, in this order."""
        first, plays = len(self.played), []
        for number in range(first, first + GENERATION_SIZE):
            dice = Dice(self.seed, f"hunt-{number}")
            if self.plain or not self.corpus or number % 2 == 0:
                troubles = self.space.draw_list(dice)
            else:
                troubles = self.space.mutate(self.pick_parent(dice).troubles, dice)
            plays.append((number, 1 + number % self.seeds, troubles))
        return plays

    def pick_parent(self, dice):
        """A day to mutate: one of the worst with probability 0.5, else any day of the corpus."""
        if dice.draw() < 0.5:
            worst = sorted(self.corpus, key=lambda play: (play.outcome.rank(), -play.number), reverse=True)[
                :WORST_COUNT
            ]
            return worst[int(dice.draw() * len(worst))]
        return self.corpus[int(dice.draw() * len(self.corpus))]

    def record(self, number, seed, troubles, outcome):
        """Records the outcome of one play and returns its Played."""
        new_marks = outcome.marks - self.marks
        self.marks |= new_marks
        play = Played(number, seed, troubles, outcome, len(new_marks))
        self.played.append(play)
        if new_marks or outcome.breaks:
            self.corpus.append(play)
            if len(self.corpus) > CORPUS_LIMIT:  # evict the oldest day that is not among the worst
                worst = set(
                    id(kept)
                    for kept in sorted(self.corpus, key=lambda kept: kept.outcome.rank(), reverse=True)[:WORST_COUNT]
                )
                self.corpus.remove(next(kept for kept in self.corpus if id(kept) not in worst))
        return play

    def worst(self, count=3):
        """The worst days, at most one of each kind: by the rules broken, else by the troubles on the list."""
        worst, kinds = [], set()
        for play in sorted(self.played, key=lambda play: (play.outcome.rank(), -play.number), reverse=True):
            kind = kind_of(play)
            if kind not in kinds and len(worst) < count:
                kinds.add(kind)
                worst.append(play)
        return worst


def kind_of(played):
    """The kinds of broken rules of a play; without any, whether the fleet recovered and the kinds of troubles."""
    broken = tuple(sorted({kind for kind, _ in played.outcome.breaks}))
    return broken or (played.outcome.back is False, *sorted({row.what for row in played.troubles}))
