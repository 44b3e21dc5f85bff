"""Assignment of a dead manager's sessions to the others, and the fencing of sessions at the boxes. No I/O.

Each viewing is assigned to one of the living managers by rendezvous hashing (D. Thaler and C. Ravishankar, "Using
name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998): managers with the same list
of living members compute the same assignment, and a death moves only the sessions of the dead manager.

The lists differ for a while after a change, so the assignment alone does not exclude two owners. A box keeps an owner
and an epoch for each session. A claim carries the epoch that the claimant read plus one; a box grants each epoch once,
and only as the successor of its current epoch. Orders carry the epoch under which their sender holds the session; a box
refuses those of an earlier epoch. A manager that was declared dead but is running learns from its first refused order
that another owns the session, and drops it without ending it.
"""

from typing import NamedTuple

import xxhash


def weight(manager, name):
    """The rendezvous weight of a manager for a name; the manager's name breaks ties."""
    return xxhash.xxh3_64_intdigest(f"{manager}\0{name}".encode()), manager


def assigned_manager(name, alive):
    """The manager in `alive` that a viewing's name is assigned to; None where `alive` is empty."""
    return max(alive, key=lambda manager: weight(manager, name), default=None)


def assignment_rank(name, alive, me):
    """The position of `me` in the hashing order of a viewing's name, from 1; None where `me` is not in `alive`."""
    own_weight = weight(me, name)
    return 1 + sum(weight(manager, name) > own_weight for manager in alive) if me in alive else None


MAX_REDIRECTS = 4  # managers that one client is redirected through to find its viewing


def next_manager(name, me, alive, gone_to, asked):
    """The next manager to ask for a viewing that `me` does not hold, or None.

    gone_to: the owner that a box named, which is tried first; then the manager that set the viewing up, then the
    hashing order. asked: managers that were asked before and did not hold it; they are left out, so that redirects
    can't form a cycle.
    """
    if len(asked) + 1 >= MAX_REDIRECTS:
        return None
    order = sorted(alive, key=lambda manager: weight(manager, name), reverse=True)
    return next(
        (
            manager
            for manager in (gone_to, name.partition(".")[0], *order)
            if manager in alive and manager != me and manager not in asked
        ),
        None,
    )


class Session(NamedTuple):
    """One session as a box reports it to the manager that takes over."""

    key: str
    owner: str
    epoch: int
    name: str  # of the viewing, as its client knows it
    used: bool  # media flows, or the session is too young to tell


class Claim(NamedTuple):
    """A claim of one session under its next epoch."""

    key: str
    epoch: int  # the epoch after the one that the box reported


class Plan(NamedTuple):
    """The claims that one manager makes at one box."""

    claims: tuple  # Claims
    ends: tuple  # keys to end once claimed: sessions without a viewer, or with a pending release
    next: int | None  # the lowest rank at which this manager would claim more; None: nothing is left


def plan_claims(sessions, dead, me, alive, rank=1, pending_releases=None):
    """The Plan of `me` for a dead manager's sessions at one box.

    alive: managers that may take sessions over. rank: `me` claims the sessions for which its own rank is at most this;
    above 1 these are sessions that managers before it left unclaimed, since one may have died during its takeover or
    can't reach the box. pending_releases: {key: epoch} of releases that the dead manager had not delivered to the box.
    """
    claims, ends, later = [], [], set()
    for session in sessions:
        if session.owner != dead or (own_rank := assignment_rank(session.name, alive, me)) is None:
            continue
        if own_rank > rank:
            later.add(own_rank)
            continue
        claims.append(Claim(session.key, session.epoch + 1))
        if not session.used or (pending_releases or {}).get(session.key) == session.epoch:
            ends.append(session.key)
    return Plan(tuple(claims), tuple(ends), min(later, default=None))


RANK_DELAY = 8_000  # tenths of a millisecond before each further rank is claimed
RETRY_DELAY = 2_500  # tenths of a millisecond before the box is asked again
MAX_FAILURES = 16  # consecutive requests without an answer before the box is given up


class ClaimRetry:
    """When one manager asks one box again for the sessions of a dead manager.

    Only failed requests count against MAX_FAILURES. Claims that the rate limit deferred are retried after RETRY_DELAY,
    however many they are.
    """

    def __init__(self):
        self.rank, self.failures = 1, 0

    def answered(self, again):
        """The delay before the next request, or None where nothing is left to claim.

        again: the lowest rank at which something is left, or None.
        """
        if again is None:
            return None
        delay = RANK_DELAY * (again - self.rank) if again > self.rank else RETRY_DELAY
        self.rank, self.failures = again, 0
        return delay

    def failed(self):
        """The delay before the next request after one without an answer, or None where the box is given up."""
        self.failures += 1
        return RETRY_DELAY if self.failures < MAX_FAILURES else None


class Fence:
    """A box's record of owner and epoch by session. A session begins under the manager that set it up, at epoch 0."""

    def __init__(self):
        self.held = {}  # key: (owner, epoch)

    def begin(self, key, owner):
        """Records a new session."""
        self.held.setdefault(key, (owner, 0))

    def remove(self, key):
        """Forgets a session that has ended."""
        self.held.pop(key, None)

    def owner(self, key):
        """The session's owner, or None where the session is not known."""
        return self.held.get(key, (None, 0))[0]

    def epoch(self, key):
        """The session's epoch; 0 where the session is not known."""
        return self.held.get(key, (None, 0))[1]

    def claim(self, key, epoch, owner):
        """Whether the claim is granted. A repeated claim of the same owner and epoch is granted again."""
        if key not in self.held:
            return False
        current_owner, current_epoch = self.held[key]
        if (current_owner, current_epoch) == (owner, epoch):
            return True
        if epoch != current_epoch + 1:
            return False
        self.held[key] = owner, epoch
        return True

    def accepts(self, key, epoch, owner):
        """Whether an order of this manager under this epoch is accepted. Orders for unknown sessions always are."""
        return key not in self.held or self.held[key] == (owner, epoch)
