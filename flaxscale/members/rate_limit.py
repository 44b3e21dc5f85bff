"""Limits on takeover, so that a death does not overload the remaining managers. No I/O.

A playing session is worth more than a new request, and ends when its lease expires, so claims are not held back for new
viewings. They are made in batches, those of most value first, at CLAIMS_PER_SECOND at most, and the event loop runs
between batches. A manager at its session limit, or whose gate refuses for lag, takes nothing over: its row in
versions.table says so and the others leave it out of the hashing. Where a manager has not received that row yet, the
next manager in the order claims the session (takeover.plan_claims).

A lookup for a client's first attempt (recovery.key_registry) asks every box that may hold a title. A limited number
runs at a time, and of those that wait the one of most value runs first.

Times are tenths of a millisecond.
"""

import heapq

CLAIMS_PER_SECOND = 2_000.0  # a manager whose event loop does nothing else makes some 3,200
CLAIM_BURST = 100  # claims at once
FULL_SHARE = 0.95  # of the session limit, from which a manager counts as full


def at_capacity(held, most, behind):
    """Whether a manager should be given nothing more. behind: its gate refuses for lag."""
    return behind or held >= FULL_SHARE * most


class ClaimRateLimit:
    """A token bucket of claims."""

    def __init__(self, now):
        self.tokens, self.updated_at = float(CLAIM_BURST), now

    def take(self, now, wanted, room):
        """How many of the wanted claims may be sent now. room: sessions below the session limit."""
        self.tokens = min(float(CLAIM_BURST), self.tokens + CLAIMS_PER_SECOND * max(0, now - self.updated_at) / 10_000)
        self.updated_at = now
        count = max(0, min(wanted, int(self.tokens), room))
        self.tokens -= count
        return count

    def wait_time(self):
        """How long until a quarter of the burst is available."""
        return max(1, round(10_000 * (CLAIM_BURST / 4 - self.tokens) / CLAIMS_PER_SECOND))


MAX_LOOKUPS = 64  # lookups at boxes that run at a time


class LookupQueue:
    """Lookups that run now, and those that wait, by value."""

    def __init__(self, most=MAX_LOOKUPS):
        self.most, self.running, self.waiting, self.count = most, set(), [], 0

    def enter(self, lookup, value):
        """True where the lookup may run now; otherwise it waits until leave() returns it."""
        if len(self.running) < self.most:
            self.running.add(lookup)
            return True
        self.count += 1
        heapq.heappush(self.waiting, (-value, self.count, lookup))
        return False

    def leave(self, lookup):
        """Removes a lookup that has ended or waits no longer. The lookup that may run in its place, or None."""
        if lookup not in self.running:
            self.waiting = [row for row in self.waiting if row[2] != lookup]
            heapq.heapify(self.waiting)
            return None
        self.running.remove(lookup)
        if not self.waiting:
            return None
        _, _, following = heapq.heappop(self.waiting)
        self.running.add(following)
        return following
