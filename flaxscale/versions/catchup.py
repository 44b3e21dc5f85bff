"""How a manager that is behind catches up, and how much a manager sends to others that do. No I/O.

A manager that is behind first reopens its stream to the source (a nudge). Where that brings nothing in time it asks
another manager for a copy. After an outage of the source all managers are behind at once, so each waits for a random
time that grows with their number, and doubles its delay with each refusal. A manager that sends copies limits the
concurrent transfers and the bytes a second. Times are tenths of a millisecond; random choices by crc32.
"""

from typing import NamedTuple

from ..chance import uniform_from_bytes

NUDGE_AFTER = 10_000  # behind for so long: the stream to the source is reopened
NUDGE_INTERVAL = 50_000  # between two nudges
ASK_PEER_AFTER = 20_000  # behind for so long: another manager is asked
SPREAD_PER_MEMBER = 500  # added to the range of the random wait for each member that is behind
MAX_SPREAD = 100_000  # of the random wait
RETRY_DELAY = 5_000  # after a copy, and the first delay after a refusal
MAX_RETRY_DELAY = 80_000
MAX_TRANSFERS = 2  # concurrent ones from one manager
BYTES_PER_SECOND = 8_000_000  # sent by one manager
BURST_BYTES = 16_000_000  # sent by one manager at once


class Step(NamedTuple):
    """What to do now. nudge: reopen the stream to the source. peer: the name of a manager to ask, or None."""

    nudge: bool
    peer: str | None


NOTHING = Step(False, None)


class CatchUp:
    """The state of one manager. next_step() is called at each tick, finished() after each request to a peer."""

    def __init__(self, name, seed):
        self.name, self.seed, self.draws = name, seed, 0
        self.nudged_at, self.ask_at, self.asked_peer, self.retry_delay = None, None, None, RETRY_DELAY
        self.bad_peers = set()  # peers that sent a bad copy; they are not asked again while behind

    def chance(self):
        """A number from 0 up to 1."""
        self.draws += 1
        return uniform_from_bytes(b"%d:up:%s:%d" % (self.seed, self.name.encode(), self.draws))

    def next_step(self, now, since, behind, givers):
        """The Step to take now.

        since: when this manager fell behind, or None. behind: how many members are behind. givers: names of those that
        hold the newest version.
        """
        if since is None:
            self.nudged_at = self.ask_at = None
            self.retry_delay = RETRY_DELAY
            self.bad_peers.clear()
            return NOTHING
        nudge = now - since >= NUDGE_AFTER and (self.nudged_at is None or now - self.nudged_at >= NUDGE_INTERVAL)
        if nudge:
            self.nudged_at = now
        if self.ask_at is None:
            self.ask_at = since + ASK_PEER_AFTER + round(self.chance() * min(MAX_SPREAD, SPREAD_PER_MEMBER * behind))
        peer, candidates = None, sorted(set(givers) - self.bad_peers)
        if self.asked_peer is None and now >= self.ask_at and candidates:
            self.asked_peer = peer = candidates[int(self.chance() * len(candidates))]
        return Step(nudge, peer)

    def finished(self, now, good, bad_copy=False):
        """The result of a request to a peer. bad_copy: its copy could not be decoded or did not match its digest."""
        if bad_copy and self.asked_peer is not None:
            self.bad_peers.add(self.asked_peer)
        self.asked_peer = None
        if good:
            self.retry_delay, self.ask_at = RETRY_DELAY, now + RETRY_DELAY
            return
        self.ask_at = now + round(self.retry_delay * (0.5 + self.chance()))
        self.retry_delay = min(MAX_RETRY_DELAY, self.retry_delay * 2)


class TransferLimit:
    """The limit on copies that one manager sends: concurrent transfers, and bytes by a token bucket."""

    def __init__(self, now):
        self.running, self.tokens, self.updated_at = 0, BURST_BYTES, now
        self.given = self.refused = 0

    def try_begin(self, now):
        """Whether one more transfer may begin. Where it may, done() must follow."""
        self.tokens = min(BURST_BYTES, self.tokens + (now - self.updated_at) * BYTES_PER_SECOND / 10_000)
        self.updated_at = now
        if self.running >= MAX_TRANSFERS or self.tokens <= 0:
            self.refused += 1
            return False
        self.running += 1
        self.given += 1
        return True

    def done(self, size):
        """A transfer of this many bytes has ended. The tokens may become negative; the next transfer waits for them."""
        self.running -= 1
        self.tokens -= size
