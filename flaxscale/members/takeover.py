"""Who takes over what of a manager that died, and how boxes keep two from playing one viewing. No I/O.

Each viewing goes to one of the managers alive by rendezvous hashing (D. Thaler and C. Ravishankar, "Using name-based
mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998): all who hold the same list of the
living name the same one, and a death moves only what the dead one had.

Lists differ for a while, so that the choice alone is not enough. A box holds an owner and an epoch for each session.
A claim names the epoch it saw and raises it by one; a box grants it only from that epoch, once. Orders carry the epoch
under which their manager holds the session; a box refuses those of an earlier one. So whoever was called dead and goes
on learns at its first order that the viewing is another's, and lets it go without ending it.
"""

from typing import NamedTuple

import xxhash


def weight(manager, name):
    return xxhash.xxh3_64_intdigest(f"{manager}\0{name}".encode()), manager


def assigned_manager(name, alive):
    """The manager among `alive` that a viewing's name belongs to; None where there is none."""
    return max(alive, key=lambda manager: weight(manager, name), default=None)


def assignment_rank(name, alive, me):
    """1 for the one that a viewing's name belongs to, 2 for the next in the hashing's order ...; None: not of them."""
    mine = weight(me, name)
    return 1 + sum(weight(manager, name) > mine for manager in alive) if me in alive else None


HOPS = 4  # managers that a client is sent through in search of its viewing


def next_manager(name, me, alive, gone_to, asked):
    """Who may have a viewing that `me` has not: whom a box named, who set it up, then the hashing's order; or None.

    asked: who was asked before and did not have it, so that nobody is sent in a circle.
    """
    if len(asked) + 1 >= HOPS:
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
    """A viewing as a box tells it to who takes over."""

    key: str
    owner: str
    epoch: int
    name: str  # by which its client calls it
    used: bool  # its media flow, or it is too young to tell


class Claim(NamedTuple):
    key: str
    epoch: int  # the new one


class Plan(NamedTuple):
    claims: tuple  # Claims
    ends: tuple  # keys of sessions that nobody watches, or whose end was owed: they end
    next: int | None  # the lowest rank at which something of the rest would be ours


def plan_claims(sessions, dead, me, alive, rank=1, pending_releases=None):
    """What this manager claims of the sessions that a box holds of a dead one.

    alive: those that may take something over. rank: it claims what is its own, and what those before it in the order,
    up to this rank, have left unclaimed: one may have died in the middle of it, or can't reach the box.
    pending_releases: {key: epoch} of the ends that the dead one owed there.
    """
    claims, ends, later = [], [], set()
    for s in sessions:
        if s.owner != dead or (mine := assignment_rank(s.name, alive, me)) is None:
            continue
        if mine > rank:
            later.add(mine)
            continue
        claims.append(Claim(s.key, s.epoch + 1))
        if not s.used or (pending_releases or {}).get(s.key) == s.epoch:
            ends.append(s.key)
    return Plan(tuple(claims), tuple(ends), min(later, default=None))


RANK_DELAY = 8_000  # tenths of a millisecond before each further rank is claimed
RETRY_DELAY = 2_500  # tenths of a millisecond before the box is asked again
MAX_FAILURES = 16  # consecutive requests without an answer before the box is given up


class ClaimRetry:
    """When one manager asks one box anew for the sessions of a dead one. Only what failed counts against MAX_FAILURES:
    what is left because the ration was used up comes in a moment, however much there is."""

    def __init__(self):
        self.rank, self.failures = 1, 0

    def answered(self, again):
        """again: the rank at which something is left to claim, or None. The pause until then; None: it is over."""
        if again is None:
            return None
        pause = RANK_DELAY * (again - self.rank) if again > self.rank else RETRY_DELAY
        self.rank, self.failures = again, 0
        return pause

    def failed(self):
        """The box did not answer."""
        self.failures += 1
        return RETRY_DELAY if self.failures < MAX_FAILURES else None


class Fence:
    """A box's side: owner and epoch by session. Every session begins under its own manager, at epoch 0."""

    def __init__(self):
        self.held = {}  # key: (owner, epoch)

    def begin(self, key, owner):
        self.held.setdefault(key, (owner, 0))

    def remove(self, key):
        self.held.pop(key, None)

    def owner(self, key):
        return self.held.get(key, (None, 0))[0]

    def epoch(self, key):
        return self.held.get(key, (None, 0))[1]

    def claim(self, key, epoch, owner):
        """True where the session is this owner's now. The same claim twice is granted twice."""
        if key not in self.held:
            return False
        held_by, at = self.held[key]
        if (held_by, at) == (owner, epoch):
            return True
        if epoch != at + 1:
            return False
        self.held[key] = owner, epoch
        return True

    def accepts(self, key, epoch, owner):
        """Whether an order of this manager, under this epoch, counts. A session not held any more fences nobody."""
        return key not in self.held or self.held[key] == (owner, epoch)
