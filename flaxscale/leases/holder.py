"""Who holds: one manager's side of its leases. No I/O; times are tenths of a millisecond of its own steady clock.

A grant counts from before it was asked for, and ends early by the drift; a step begins only where it ends before that.
A holder may still be stopped between that check and its act: so each act carries token and owner, and whoever is acted
on refuses older ones (fence.Fence). Believing to hold is for economy, the fence is for safety: M. Kleppmann, "How to do
distributed locking" (2016); M. Burrows, "The Chubby lock service for loosely-coupled distributed systems" (OSDI 2006,
2.4) has sequencers for it.
"""

from typing import NamedTuple

from ..chance import drawn
from .terms import RENEWALS

REQUEST_TIMEOUT = 5_000  # an asking without an answer is given up
SILENCE_TIMEOUT = 15_000  # asked for so long without a word: the way to the granter only seems to stand
RETRY_DELAY = 2_500  # the first delay after a request that was refused or not answered
MAX_RETRY_DELAY = 50_000  # the longest such delay
RECONNECTS_PER_SECOND = 100  # members that may come at once after an outage; beyond that they spread


class Lease(NamedTuple):
    piece: str
    token: int
    until: int  # no act after it


class WantedPiece:
    """One piece that is ours to hold by the shares."""

    __slots__ = "task", "token", "until", "asked_at", "number", "next_at", "failed", "closing"

    def __init__(self, task, next_at):
        self.task, self.token, self.until, self.asked_at, self.number = task, 0, 0, None, 0
        self.next_at, self.failed, self.closing = next_at, 0, False


class Holder:
    def __init__(self, owner, seed, now):
        self.owner, self.seed, self.draws, self.number = owner, seed, 0, 0
        self.wanted, self.connected, self.refused = {}, False, {}  # refused: {piece: (owner, token, left)} as last told
        self.highest_token = 0  # the highest token that anybody told us of
        self.asked_since = None  # the first asking since the granter was last heard

    def chance(self):
        self.draws += 1
        return drawn(b"%d:lease:%d" % (self.seed, self.draws))

    # What is ours to hold

    def set_wanted(self, tasks, now):
        """tasks: {piece: Task} that the shares give us. What is no longer ours is given back after its step."""
        for piece in self.wanted.keys() - tasks.keys():
            self.wanted[piece].closing = True
        for piece, task in tasks.items():
            held = self.wanted.get(piece)
            if held is None:
                self.wanted[piece] = WantedPiece(task, now)
            else:
                held.task, held.closing = task, False

    def set_connected(self, up, members, now):
        """The way to the granter stands, or is gone. Many that come back do so spread over a while."""
        if up and not self.connected:
            spread = 10_000 * members / RECONNECTS_PER_SECOND
            for held in self.wanted.values():
                held.asked_at, held.failed = None, 0
                if not self.holds_one(held, now):
                    held.next_at = now + round(spread * self.chance())
        self.connected, self.asked_since = up, None

    def granter_silent(self, now):
        """Whether nothing was heard of the granter although we ask and ask. A stream that is cut silently never ends by
        itself: a holder behind one kept its shares, and nobody else asked for them, for as long as the cut lasted.
        """
        return self.connected and self.asked_since is not None and now - self.asked_since >= SILENCE_TIMEOUT

    # Asking

    def due(self, now):
        """[(piece, token, number)] to ask for now, in one message; each is noted as asked for.

        Where one must be renewed, what would be renewed soon goes along: many pieces cost one message a renewal.
        """
        if not self.connected:
            return []
        ready, soon = [], []
        for piece, held in sorted(self.wanted.items()):
            if held.asked_at is not None:
                if now - held.asked_at < REQUEST_TIMEOUT:
                    continue
                held.asked_at = None
                self.put_off(held, now)
            if not held.closing:
                if now >= held.next_at:
                    ready.append((piece, held))
                elif self.holds_one(held, now) and held.next_at - now <= held.task.span // (2 * RENEWALS):
                    soon.append((piece, held))
        out = []
        for piece, held in ready + soon if ready else ():
            self.number += 1
            held.asked_at, held.number = now, self.number
            if self.asked_since is None:
                self.asked_since = now
            out.append((piece, held.token if self.holds_one(held, now) else 0, self.number))
        return out

    def put_off(self, held, now):
        held.failed += 1
        held.next_at = now + round(
            min(MAX_RETRY_DELAY, RETRY_DELAY * 2 ** min(held.failed, 6)) * (0.5 + 0.5 * self.chance())
        )

    def granted(self, piece, number, token, now):
        """An answer to the asking of this number; True where it makes us a holder who was none before."""
        self.highest_token, self.asked_since = max(self.highest_token, token), None
        held = self.wanted.get(piece)
        if held is None or held.asked_at is None or held.number != number:
            return False  # of an asking that was given up: when it was asked is not known any more
        began, held.asked_at, held.failed = held.asked_at, None, 0
        fresh = not self.holds_one(held, now) or token != held.token
        held.token, held.until = token, began + held.task.holder_span()
        held.next_at = began + round(held.task.span / RENEWALS * (0.9 + 0.1 * self.chance()))
        self.refused.pop(piece, None)
        return fresh

    def busy(self, piece, number, owner, token, left, now):
        self.highest_token, self.asked_since = max(self.highest_token, token), None
        held = self.wanted.get(piece)
        if held is None or held.asked_at is None or held.number != number:
            return
        held.asked_at = None
        if not self.holds_one(held, now):
            held.token = 0
        self.refused[piece] = owner, token, left
        self.put_off(held, now)
        held.next_at = max(held.next_at, min(now + left + round(RETRY_DELAY * self.chance()), now + MAX_RETRY_DELAY))

    def outdated(self, piece, token):
        """A resource refused an act of ours: it knows a later token, or this one of another owner."""
        self.highest_token = max(self.highest_token, token)
        if (held := self.wanted.get(piece)) is not None:
            held.token = held.until = 0

    # Acting

    @staticmethod
    def holds_one(held, now):
        return held.token > 0 and now < held.until

    def holds(self, piece, now):
        held = self.wanted.get(piece)
        return held is not None and self.holds_one(held, now)

    def may_begin(self, piece, now):
        """The Lease under which one more step of this piece may begin, or None."""
        held = self.wanted.get(piece)
        if held is None or held.closing or not self.holds_one(held, now) or now + held.task.step >= held.until:
            return None
        return Lease(piece, held.token, held.until)

    def releases(self, now, busy=()):
        """[(piece, token)] to give back: no longer ours, and none of its steps (busy: pieces) is under way."""
        out = []
        for piece, held in list(self.wanted.items()):
            if held.closing and piece not in busy:
                if self.holds_one(held, now):
                    out.append((piece, held.token))
                del self.wanted[piece]
                self.refused.pop(piece, None)
        return out

    def release_all(self, now, busy=()):
        """A planned stop: all is given back that no step is under way of."""
        for held in self.wanted.values():
            held.closing = True
        return self.releases(now, busy)
