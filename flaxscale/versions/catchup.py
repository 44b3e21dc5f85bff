"""How a manager that is behind comes up: it asks its source again, then another manager; and who gives how much.

No I/O. In this order: a nudge (the stream to the source is opened anew at once), and where that brings nothing within a
while, another manager's copy. A source that comes back after an outage finds all behind at once, so that who asks
waits a drawn while that grows with the number of those behind, and doubles it each time that it is refused; who gives
serves a few at once and so many bytes a second. Times are tenths of a millisecond; chance by crc32.
"""

from typing import NamedTuple

from ..chance import drawn

NUDGE_AFTER = 10_000  # behind for so long: the source is asked again
NUDGE_INTERVAL = 50_000
ASK_PEER_AFTER = 20_000  # and for so long, another manager
SPREAD_PER_MEMBER = 500  # of waiting, for each one that is behind
SPREAD_MOST = 100_000
AGAIN = 5_000  # after a copy, and the first delay after a refusal
AGAIN_MOST = 80_000  # the longest delay after a refusal
MAX_TRANSFERS = 2  # transfers that one manager gives at once
BYTES_PER_SECOND = 8_000_000  # sent by one manager
BURST_BYTES = 16_000_000  # sent by one manager at once


class Step(NamedTuple):
    """What to do now. nudge: ask the source again. peer: name of a manager to ask, or None."""

    nudge: bool
    peer: str | None


NOTHING = Step(False, None)


class CatchUp:
    """One manager's. next_step() at each tick; then asked() and finished() with what became of it."""

    def __init__(self, name, seed):
        self.name, self.seed, self.draws = name, seed, 0
        self.nudged_at, self.ask_at, self.out, self.again = None, None, None, AGAIN
        self.refused_by = set()  # peers whose copies did not hold what they said

    def chance(self):
        self.draws += 1
        return drawn(b"%d:up:%s:%d" % (self.seed, self.name.encode(), self.draws))

    def next_step(self, now, since, behind, givers):
        """since: when we were first behind, or None. behind: how many are. givers: names that hold the newest."""
        if since is None:
            self.nudged_at = self.ask_at = None
            self.again = AGAIN
            self.refused_by.clear()
            return NOTHING
        nudge = now - since >= NUDGE_AFTER and (self.nudged_at is None or now - self.nudged_at >= NUDGE_INTERVAL)
        if nudge:
            self.nudged_at = now
        if self.ask_at is None:
            self.ask_at = since + ASK_PEER_AFTER + round(self.chance() * min(SPREAD_MOST, SPREAD_PER_MEMBER * behind))
        peer, able = None, sorted(set(givers) - self.refused_by)
        if self.out is None and now >= self.ask_at and able:
            self.out = peer = able[int(self.chance() * len(able))]
        return Step(nudge, peer)

    def finished(self, now, good, bad_copy=False):
        """What became of asking a peer. bad_copy: what it gave was not what it said, or did not read."""
        if bad_copy and self.out is not None:
            self.refused_by.add(self.out)
        self.out = None
        if good:
            self.again, self.ask_at = AGAIN, now + AGAIN
            return
        self.ask_at = now + round(self.again * (0.5 + self.chance()))
        self.again = min(AGAIN_MOST, self.again * 2)


class TransferLimit:
    """What a manager gives others of its own copy."""

    def __init__(self, now):
        self.out, self.left, self.at = 0, BURST_BYTES, now
        self.given = self.refused = 0

    def try_begin(self, now):
        """Whether one more transfer may begin; then done() is owed with its bytes."""
        self.left = min(BURST_BYTES, self.left + (now - self.at) * BYTES_PER_SECOND / 10_000)
        self.at = now
        if self.out >= MAX_TRANSFERS or self.left <= 0:
            self.refused += 1
            return False
        self.out += 1
        self.given += 1
        return True

    def done(self, size):
        """A transfer is over. One may go into the debt of its own size; who comes next waits it off."""
        self.out -= 1
        self.left -= size
