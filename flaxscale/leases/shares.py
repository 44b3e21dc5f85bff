"""The assignment of pieces to managers: which manager requests which leases. No I/O.

Each manager computes it from the members that it knows. Where their lists differ for a while, the granter still gives
each piece to one of them only. It is rendezvous hashing with bounded loads (V. Mirrokni, M. Thorup and
M. Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018): a piece goes to the first manager in its own
hashing order whose quota is not used up. So quotas differ by one at most, and a death moves few pieces of others.
"""

import functools
from typing import NamedTuple

import xxhash


class Candidate(NamedTuple):
    """A manager as the others know it from its row in versions.table."""

    name: str
    full: bool = False  # its gate refuses for lag, or it is at its session limit
    slow: bool = False  # its event loop stalled lately: it gets a smaller quota
    under: bool = False  # below the version floor, or behind
    away: bool = False  # not connected to the service, so that nothing can be granted to it


SLOW_WEIGHT = 0.5  # of a slow manager, where others have 1


def eligible(candidates):
    """{name: weight} of managers that may hold leases.

    Managers that are full are left out, unless all that are connected and not below the floor are full.
    """
    connected = [candidate for candidate in candidates if not (candidate.under or candidate.away)]
    chosen = [candidate for candidate in connected if not candidate.full] or connected
    return {candidate.name: SLOW_WEIGHT if candidate.slow else 1.0 for candidate in chosen}


def weight(manager, piece):
    """The rendezvous weight of a manager for a piece; the manager's name breaks ties."""
    return xxhash.xxh3_64_intdigest(f"lease\0{manager}\0{piece}".encode()), manager


def quotas(count, weights):
    """{manager: how many pieces at most}, whole numbers that add up to count; those of equal weight differ by one."""
    total, left, out = sum(weights.values()), count, {}
    for name, manager_weight in weights.items():
        out[name] = int(count * manager_weight / total)
        left -= out[name]
    for name in sorted(weights, key=lambda n: (-weights[n], -weight(n, "")[0]))[:left]:
        out[name] += 1
    return out


def share(pieces, weights):
    """{piece: manager}; the caller must not change it. weights: as eligible() returns them; empty: no assignment.

    Every manager calls it five times a second, while pieces and members seldom change. 500 pieces among 300 managers
    took 0.12 s each time, so results are cached.
    """
    return computed_share(tuple(pieces), tuple(weights.items()))


@functools.lru_cache(maxsize=64)
def computed_share(pieces, weights):
    """share() without the cache, of hashable arguments."""
    weights = dict(weights)
    if not weights:
        return {}
    quota, out = quotas(len(pieces), weights), {}
    room = {name: quota[name] for name in weights if quota[name]}
    for piece in sorted(pieces, key=lambda p: xxhash.xxh3_64_intdigest(f"piece\0{p}".encode())):
        name = max(room, key=lambda name: weight(name, piece))  # the first in the piece's order that has room
        room[name] -= 1
        if not room[name]:
            del room[name]
        out[piece] = name
    return out
