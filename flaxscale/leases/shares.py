"""Which manager asks for which pieces. No I/O.

Every manager reckons it alone from the members that it knows of; where they differ for a while the granter gives each
piece to one of them all the same. Rendezvous hashing with a bound on what one gets (V. Mirrokni, M. Thorup and
M. Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018): a piece goes to the first in its own order of
managers that has not its part yet, so that parts differ by one at most, and a death moves little but what the dead had.
"""

import functools
from typing import NamedTuple

import xxhash


class Candidate(NamedTuple):
    """A manager as the others know it."""

    name: str
    full: bool = False  # its gate refuses for lag, or it holds what it may
    slow: bool = False  # it answers late: half a part
    under: bool = False  # under the floor of versions, or behind
    away: bool = False  # it does not hear the service: nothing could be granted to it


SLOW = 0.5


def eligible(fits):
    """{name: its part, 1 for a whole one} of those that may hold something; if all are full, of all that hear the
    service and aren't under the floor."""
    above = [fit for fit in fits if not (fit.under or fit.away)]
    able = [fit for fit in above if not fit.full] or above
    return {fit.name: SLOW if fit.slow else 1.0 for fit in able}


def weight(manager, piece):
    return xxhash.xxh3_64_intdigest(f"lease\0{manager}\0{piece}".encode()), manager


def parts_of(count, weights):
    """{manager: how many pieces at most}, whole numbers that add up to count; those of one weight differ by one."""
    total, left, out = sum(weights.values()), count, {}
    for name, w in weights.items():
        out[name] = int(count * w / total)
        left -= out[name]
    for name in sorted(weights, key=lambda n: (-weights[n], -weight(n, "")[0]))[:left]:
        out[name] += 1
    return out


def share(pieces, weights):
    """{piece: manager}, not to be changed. weights: as eligible() gives them; empty: nobody may hold anything.

    Asked five times a second by everybody, while pieces and members change now and then only: 500 pieces among 300
    took a manager 0.12 s each time, so that what was reckoned last is remembered.
    """
    return reckoned(tuple(pieces), tuple(weights.items()))


@functools.lru_cache(maxsize=64)
def reckoned(pieces, weights):
    weights = dict(weights)
    if not weights:
        return {}
    room, out = parts_of(len(pieces), weights), {}
    whole = {name: room[name] for name in weights if room[name]}
    for piece in sorted(pieces, key=lambda p: xxhash.xxh3_64_intdigest(f"piece\0{p}".encode())):
        name = max(whole, key=lambda name: weight(name, piece))  # the first in the piece's order that has room
        whole[name] -= 1
        if not whole[name]:
            del whole[name]
        out[piece] = name
    return out
