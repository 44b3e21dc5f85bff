"""First tries of clients: which manager has, or had, a viewing in hand under a client's key, for whoever is asked next.

A manager that takes an offer with an Idempotency-Key tells the few members that the hashing names for that key. Whoever
is asked later with the same key asks those few; where one of them knows of an earlier try elsewhere, boxes decide what
became of it, since they alone can keep a set-up from running: one that stands is claimed, one that has not come yet is
barred by the key and can never begin (docs/recovery.md).

No I/O. Times are tenths of a millisecond of the owner's steady clock.
"""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

REPLICAS = 3  # members that are told of a key: two may die with the manager that took it
MAX_ENTRIES = 50_000
RETENTION = 900_000  # a try is known so long


class Registration(NamedTuple):
    manager: str
    boot: str
    at: int


def key_digest(viewer, title, key):
    """A short mark of a client's key, the same at every manager."""
    return f"{xxhash.xxh3_64_intdigest(f'{viewer}|{title}|{key}'.encode()):016x}"


def offer_digest(offer):
    """A short mark of an offer's bytes."""
    return f"{xxhash.xxh3_64_intdigest(offer):016x}"


def replicas_for(mark, alive):
    """Members that know of a key, by rendezvous hashing: when one goes, the others stay."""
    return sorted(
        alive, reverse=True, key=lambda name: (xxhash.xxh3_64_intdigest(f"try\0{name}\0{mark}".encode()), name)
    )[:REPLICAS]


SILENT = "silent"  # a keeper that could not be asked


class BoxAnswer(NamedTuple):
    """What a box said of a mark. Neither: no set-up under it stands there, and none but ours can begin any more."""

    established: bool
    in_progress: bool = False  # one is still worked on


def earliest_registration(found, unsafe):
    """(manager, age) of the first try that keepers know of; None: there was none, the viewing begins at once.

    found: of each keeper (manager, age), None or SILENT. Where one was silent an unsafe viewing asks the boxes all the
    same, and so does any where all were: after a mass death three keepers of ten are dead together in a third of cases,
    and what the first try left would stand at its box beside the next one until it ends there.
    """
    known = [f for f in found if f is not None and f is not SILENT]
    if not known:
        silent = SILENT in found and (unsafe or all(f is SILENT for f in found))
        return ("unknown", 0) if silent else None
    return max(known, key=lambda f: f[1])


class TakeOver(NamedTuple):
    box: int


class AskBoxes(NamedTuple):
    """These boxes, once more."""

    boxes: tuple


class StartNew(NamedTuple):
    """Nothing of the first try stands or can come to stand: the viewing begins anew."""


def next_step(said, unsafe):
    """What the boxes' words amount to. said: {box: BoxAnswer, or None where it did not answer}.

    A safe one may begin anew without a silent box's word; an unsafe one not before each has given it.
    """
    for box, answer in said.items():
        if answer is not None and answer.established:
            return TakeOver(box)
    again = tuple(box for box, answer in said.items() if (unsafe if answer is None else answer.in_progress))
    return AskBoxes(again) if again else StartNew()


class KeyRegistry:
    """What one member was told. Bounded in number and time; the first try of a mark counts while it is kept."""

    def __init__(self):
        self.rows = OrderedDict()

    def register(self, mark, manager, boot, now):
        """This life of a manager has it in hand from now on; (manager, age) of an earlier try elsewhere, or None.

        The age stays that of the first try.
        """
        while self.rows and (len(self.rows) >= MAX_ENTRIES or next(iter(self.rows.values())).at < now - RETENTION):
            self.rows.popitem(last=False)
        held = self.rows.get(mark)
        self.rows[mark] = Registration(manager, boot, held.at if held else now)
        return None if held is None or (held.manager, held.boot) == (manager, boot) else (held.manager, now - held.at)


def may_set_up(accepted_at, first_seen_at):
    """Whether a viewing that was taken then may go to a start of a box that was first heard of at `first_seen_at`.

    What was barred at a box is gone with its process: a set-up from before its start may meet none of the bars that
    were put up against it. So a set-up names the start that it is meant for, which a box refuses where it is another,
    and it is meant for none that is younger than its viewing's own try. Found by explore/inhand.py.
    """
    return first_seen_at <= accepted_at


class SetupFence:
    """A box's side, in one start of it: tries that stand here by their mark, and for whom alone one may still begin."""

    def __init__(self, boot=""):
        self.boot, self.running, self.fenced = boot, {}, OrderedDict()

    def started(self, mark, key):
        self.running[mark] = key

    def ended(self, mark, key):
        if self.running.get(mark) == key:
            del self.running[mark]

    def fence(self, mark, manager, now):
        """From now on nobody else's set-up under this mark begins here; the key of one that stands, or None."""
        self.fenced.pop(mark, None)
        self.fenced[mark] = manager, now
        while self.fenced and (len(self.fenced) > MAX_ENTRIES or next(iter(self.fenced.values()))[1] < now - RETENTION):
            self.fenced.popitem(last=False)
        return self.running.get(mark)

    def refusal_status(self, mark, manager, boot=""):
        """The status of a refusal, which proves that nothing ran, or None.

        boot: the start that it is meant for; empty where its manager's build names none.
        """
        if boot not in ("", self.boot):
            return 421  # misdirected (RFC 9110, 15.5.20)
        held = self.fenced.get(mark)
        return 410 if held is not None and held[0] != manager else None
