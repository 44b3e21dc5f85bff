"""Which manager first accepted a client's request under an idempotency key, for a manager that gets the retry.

A manager that accepts an offer with an Idempotency-Key registers with a few members, chosen by hashing of the key. A
manager that later gets a request with the same key asks these members. Where one of them knows of an earlier request
elsewhere, the boxes decide what became of it, since only they can keep a set-up from running: a session that is set up
is claimed, and one whose set-up has not arrived yet is fenced off by the key and can never begin (docs/recovery.md).

No I/O. Times are tenths of a millisecond of the owner's steady clock.
"""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

REPLICAS = 3  # members that a key is registered with: two may die together with the manager that accepted the request
MAX_ENTRIES = 50_000
RETENTION = 900_000  # how long a registration or a fence is kept


class Registration(NamedTuple):
    """Which process of a manager has a request, and when its key was first registered."""

    manager: str
    boot: str
    at: int


def key_digest(viewer, title, key):
    """A short digest of a client's key, the same at every manager."""
    return f"{xxhash.xxh3_64_intdigest(f'{viewer}|{title}|{key}'.encode()):016x}"


def offer_digest(offer):
    """A short digest of an offer's bytes."""
    return f"{xxhash.xxh3_64_intdigest(offer):016x}"


def replicas_for(digest, alive):
    """Members that a key is registered with, by rendezvous hashing: when one dies, the others stay the same."""
    return sorted(
        alive, reverse=True, key=lambda name: (xxhash.xxh3_64_intdigest(f"try\0{name}\0{digest}".encode()), name)
    )[:REPLICAS]


SILENT = "silent"  # the answer of a replica that could not be asked


class BoxAnswer(NamedTuple):
    """What a box has under a key. Neither: no session, and only the asking manager can still set one up there."""

    established: bool
    in_progress: bool = False  # its set-up is still being worked on


def earliest_registration(answers, unsafe):
    """(manager, age) of the earliest request that replicas know of; None: there is none, the viewing starts at once.

    answers: of each replica (manager, age), None or SILENT. Where one was silent, the boxes are asked all the same for
    an unsafe viewing, and for any viewing where all were silent: after many deaths at a time, three replicas of ten are
    dead together in a third of cases, and a session of the earlier request would play beside the next one until its box
    ends it.
    """
    known = [answer for answer in answers if answer is not None and answer is not SILENT]
    if not known:
        unknown = SILENT in answers and (unsafe or all(answer is SILENT for answer in answers))
        return ("unknown", 0) if unknown else None
    return max(known, key=lambda answer: answer[1])


class TakeOver(NamedTuple):
    """The session at this box is to be claimed."""

    box: int


class AskBoxes(NamedTuple):
    """These boxes are to be asked, or asked again."""

    boxes: tuple


class StartNew(NamedTuple):
    """Nothing of the earlier request is set up or can still be: the viewing starts anew."""


def next_step(answers, unsafe):
    """The step that follows from the boxes' answers. answers: {box: BoxAnswer, or None where it did not answer}.

    A safe viewing may start anew without the answer of a silent box, an unsafe one only once every box has answered.
    """
    for box, answer in answers.items():
        if answer is not None and answer.established:
            return TakeOver(box)
    again = tuple(box for box, answer in answers.items() if (unsafe if answer is None else answer.in_progress))
    return AskBoxes(again) if again else StartNew()


class KeyRegistry:
    """Registrations that one member keeps, bounded in number and time. The age counts from the first one of a key."""

    def __init__(self):
        self.rows = OrderedDict()

    def register(self, digest, manager, boot, now):
        """Registers a request with a process of a manager; (manager, age) of an earlier request elsewhere, or None.

        The age stays that of the first request.
        """
        while self.rows and (len(self.rows) >= MAX_ENTRIES or next(iter(self.rows.values())).at < now - RETENTION):
            self.rows.popitem(last=False)
        held = self.rows.get(digest)
        self.rows[digest] = Registration(manager, boot, held.at if held else now)
        return None if held is None or (held.manager, held.boot) == (manager, boot) else (held.manager, now - held.at)


def may_set_up(accepted_at, first_seen_at):
    """Whether a viewing accepted at accepted_at may be set up on a box process that was first seen at first_seen_at.

    The fences at a box are lost with its process: a set-up from before its start could pass although it was fenced off.
    So a set-up names the box process that it is meant for, another process refuses it, and it is never meant for a
    process younger than the viewing's own request. Without this, explore/inhand.py finds a viewing set up twice.
    """
    return first_seen_at <= accepted_at


class SetupFence:
    """The side of one box process: sessions set up by key digest, and which manager alone may still set one up."""

    def __init__(self, boot=""):
        self.boot, self.running, self.fenced = boot, {}, OrderedDict()

    def started(self, digest, key):
        """Records that a session was set up."""
        self.running[digest] = key

    def ended(self, digest, key):
        """Records that a session ended."""
        if self.running.get(digest) == key:
            del self.running[digest]

    def fence(self, digest, manager, now):
        """Refuses set-ups under this digest by any other manager from now on; the key of a running session, or None."""
        self.fenced.pop(digest, None)
        self.fenced[digest] = manager, now
        while self.fenced and (len(self.fenced) > MAX_ENTRIES or next(iter(self.fenced.values()))[1] < now - RETENTION):
            self.fenced.popitem(last=False)
        return self.running.get(digest)

    def refusal_status(self, digest, manager, boot=""):
        """The status of a refusal, which proves that nothing ran, or None.

        boot: the box process that the set-up is meant for; empty where the manager's build names none.
        """
        if boot not in ("", self.boot):
            return 421  # misdirected (RFC 9110, 15.5.20)
        held = self.fenced.get(digest)
        return 410 if held is not None and held[0] != manager else None
