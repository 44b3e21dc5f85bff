"""The holder of leases: one manager's side. No I/O; times are tenths of a millisecond of its own steady clock.

A grant counts from its request and ends early by the drift; a step begins only where it ends before that. A holder may
still be stopped between this check and its act, so each act carries token and owner, and the resource refuses older
ones (fence.Fence). The lease avoids duplicate work, the fence makes it safe: M. Kleppmann, "How to do distributed
locking" (2016); the sequencers of M. Burrows, "The Chubby lock service for loosely-coupled distributed systems" (OSDI
2006, 2.4).
"""

from typing import NamedTuple

from ..chance import uniform_from_bytes
from .terms import RENEWALS

REQUEST_TIMEOUT = 5_000  # a request without an answer is given up
SILENCE_TIMEOUT = 15_000  # requests without any answer for so long: the connection to the granter is taken for dead
RETRY_DELAY = 2_500  # the first delay after a request that was refused or not answered
MAX_RETRY_DELAY = 50_000  # the longest such delay
RECONNECTS_PER_SECOND = 100  # members that send requests in the same second after an outage


class Lease(NamedTuple):
    """A lease that this manager holds."""

    piece: str
    token: int
    until: int  # no act may run after it


class WantedPiece:
    """One piece that is assigned to this manager."""

    __slots__ = "task", "token", "until", "asked_at", "number", "next_at", "failed", "closing"

    def __init__(self, task, next_at):
        self.task, self.token, self.until, self.asked_at, self.number = task, 0, 0, None, 0
        self.next_at, self.failed, self.closing = next_at, 0, False


class Holder:
    """All leases of one manager."""

    def __init__(self, owner, seed, now):
        self.owner, self.seed, self.draws, self.number = owner, seed, 0, 0
        self.wanted, self.connected, self.refused = (
            {},
            False,
            {},
        )  # refused: {piece: (owner, token, left)} as last answered
        self.highest_token = 0  # that this manager knows of
        self.asked_since = None  # the first request since the last answer of the granter

    def chance(self):
        """A number from 0 up to 1."""
        self.draws += 1
        return uniform_from_bytes(b"%d:lease:%d" % (self.seed, self.draws))

    # Assigned pieces

    def set_wanted(self, tasks, now):
        """Sets the assigned pieces as {piece: Task}. Other pieces are released once no step of them runs."""
        for piece in self.wanted.keys() - tasks.keys():
            self.wanted[piece].closing = True
        for piece, task in tasks.items():
            wanted = self.wanted.get(piece)
            if wanted is None:
                self.wanted[piece] = WantedPiece(task, now)
            else:
                wanted.task, wanted.closing = task, False

    def set_connected(self, up, members, now):
        """The connection to the granter is up or down. The first requests of many members are spread over time."""
        if up and not self.connected:
            spread = 10_000 * members / RECONNECTS_PER_SECOND
            for wanted in self.wanted.values():
                wanted.asked_at, wanted.failed = None, 0
                if not self.holds_one(wanted, now):
                    wanted.next_at = now + round(spread * self.chance())
        self.connected, self.asked_since = up, None

    def granter_silent(self, now):
        """Whether the granter has left all requests without an answer for SILENCE_TIMEOUT.

        A connection that is cut silently does not end by itself: its holder kept its pieces, and nobody else requested
        them, for as long as the cut lasted.
        """
        return self.connected and self.asked_since is not None and now - self.asked_since >= SILENCE_TIMEOUT

    # Requests

    def due(self, now):
        """[(piece, token, number)] to request now, in one message; each counts as requested.

        Where one must be renewed, pieces that are due soon go along, so that many pieces cost one message a renewal.
        """
        if not self.connected:
            return []
        ready, soon = [], []
        for piece, wanted in sorted(self.wanted.items()):
            if wanted.asked_at is not None:
                if now - wanted.asked_at < REQUEST_TIMEOUT:
                    continue
                wanted.asked_at = None
                self.back_off(wanted, now)
            if not wanted.closing:
                if now >= wanted.next_at:
                    ready.append((piece, wanted))
                elif self.holds_one(wanted, now) and wanted.next_at - now <= wanted.task.span // (2 * RENEWALS):
                    soon.append((piece, wanted))
        out = []
        for piece, wanted in ready + soon if ready else ():
            self.number += 1
            wanted.asked_at, wanted.number = now, self.number
            if self.asked_since is None:
                self.asked_since = now
            out.append((piece, wanted.token if self.holds_one(wanted, now) else 0, self.number))
        return out

    def back_off(self, wanted, now):
        """Delays the next request exponentially."""
        wanted.failed += 1
        wanted.next_at = now + round(
            min(MAX_RETRY_DELAY, RETRY_DELAY * 2 ** min(wanted.failed, 6)) * (0.5 + 0.5 * self.chance())
        )

    def granted(self, piece, number, token, now):
        """Takes the grant for the request of this number; True where this manager did not hold the piece before."""
        self.highest_token, self.asked_since = max(self.highest_token, token), None
        wanted = self.wanted.get(piece)
        if wanted is None or wanted.asked_at is None or wanted.number != number:
            return False  # of a request that was given up: its time is not known any more
        began, wanted.asked_at, wanted.failed = wanted.asked_at, None, 0
        fresh = not self.holds_one(wanted, now) or token != wanted.token
        wanted.token, wanted.until = token, began + wanted.task.holder_span()
        wanted.next_at = began + round(wanted.task.span / RENEWALS * (0.9 + 0.1 * self.chance()))
        self.refused.pop(piece, None)
        return fresh

    def busy(self, piece, number, owner, token, left, now):
        """Takes the refusal of the request of this number."""
        self.highest_token, self.asked_since = max(self.highest_token, token), None
        wanted = self.wanted.get(piece)
        if wanted is None or wanted.asked_at is None or wanted.number != number:
            return
        wanted.asked_at = None
        if not self.holds_one(wanted, now):
            wanted.token = 0
        self.refused[piece] = owner, token, left
        self.back_off(wanted, now)
        wanted.next_at = max(
            wanted.next_at, min(now + left + round(RETRY_DELAY * self.chance()), now + MAX_RETRY_DELAY)
        )

    def outdated(self, piece, token):
        """A resource refused an act: it knows a later token, or this one with another owner."""
        self.highest_token = max(self.highest_token, token)
        if (wanted := self.wanted.get(piece)) is not None:
            wanted.token = wanted.until = 0

    # Acts

    @staticmethod
    def holds_one(wanted, now):
        """Whether a WantedPiece is held."""
        return wanted.token > 0 and now < wanted.until

    def holds(self, piece, now):
        """Whether this manager holds a piece."""
        wanted = self.wanted.get(piece)
        return wanted is not None and self.holds_one(wanted, now)

    def may_begin(self, piece, now):
        """The Lease under which a step of this piece may begin now, or None."""
        wanted = self.wanted.get(piece)
        if (
            wanted is None
            or wanted.closing
            or not self.holds_one(wanted, now)
            or now + wanted.task.step >= wanted.until
        ):
            return None
        return Lease(piece, wanted.token, wanted.until)

    def releases(self, now, busy=()):
        """[(piece, token)] to release: pieces no longer assigned. busy: pieces with a running step, which stay."""
        out = []
        for piece, wanted in list(self.wanted.items()):
            if wanted.closing and piece not in busy:
                if self.holds_one(wanted, now):
                    out.append((piece, wanted.token))
                del self.wanted[piece]
                self.refused.pop(piece, None)
        return out

    def release_all(self, now, busy=()):
        """Releases all pieces without a running step, at a planned stop."""
        for wanted in self.wanted.values():
            wanted.closing = True
        return self.releases(now, busy)
