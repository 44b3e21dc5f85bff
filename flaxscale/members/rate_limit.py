"""How much a manager takes over, at a time and in all: a death must not overload who is left. No I/O.

What plays is worth more than what asks, and ends with its lease, so that claims are not held back for new viewings;
they come in batches with the loop free between them, those of most value first, at CLAIMS_PER_SECOND at most. A
manager that holds as many as it may, or is behind with what it has, takes nothing over: it says so to the others (a row
of versions.table), who leave it out of the hashing; whoever has not heard of it yet is next in the order
(takeover.plan_claims).

Look-ups of clients' first tries (recovery.tries) ask every box that may hold a title. So many go at a time, and of
those that wait the one worth most goes first.

Times are tenths of a millisecond.
"""

import heapq

CLAIMS_PER_SECOND = 2_000.0  # a manager whose event loop does nothing else makes some 3,200
CLAIM_BURST = 100  # claims at once
FULL = 0.95  # of what it may hold


def at_capacity(held, most, behind):
    """Whether a manager should be given nothing more. behind: its gate refuses for lag."""
    return behind or held >= FULL * most


class ClaimRateLimit:
    def __init__(self, now):
        self.tokens, self.at = float(CLAIM_BURST), now

    def take(self, now, wanted, room):
        """How many of so many claims may go out now. room: what it may still hold."""
        self.tokens = min(float(CLAIM_BURST), self.tokens + CLAIMS_PER_SECOND * max(0, now - self.at) / 10_000)
        self.at = now
        count = max(0, min(wanted, int(self.tokens), room))
        self.tokens -= count
        return count

    def wait_time(self):
        """How long until there is something to take again."""
        return max(1, round(10_000 * (CLAIM_BURST / 4 - self.tokens) / CLAIMS_PER_SECOND))


LOOKS = 64  # look-ups at boxes at a time


class LookupQueue:
    """Who may look now, and who goes next."""

    def __init__(self, most=LOOKS):
        self.most, self.going, self.waiting, self.count = most, set(), [], 0

    def enter(self, who, worth):
        """True where it goes now; else it waits until leave() names it."""
        if len(self.going) < self.most:
            self.going.add(who)
            return True
        self.count += 1
        heapq.heappush(self.waiting, (-worth, self.count, who))
        return False

    def leave(self, who):
        """It looks no more, or waits no more. Who goes now in its place, or None."""
        if who not in self.going:
            self.waiting = [row for row in self.waiting if row[2] != who]
            heapq.heapify(self.waiting)
            return None
        self.going.remove(who)
        if not self.waiting:
            return None
        _, _, following = heapq.heappop(self.waiting)
        self.going.add(following)
        return following
