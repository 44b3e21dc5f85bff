"""Operators' orders to one manager, given to any: carried out once, by the life that they were meant for. No I/O.

A drain that got no answer may have been carried out: the manager left, its supervisor began it anew, and the same
order said again would drain the newcomer. So an order names the manager and its life (boot), and whoever is asked says
what became of that life: it is ours, it lives and is asked itself, or it is over, and then nothing is left to do, since
the others claim what a life left that went, was killed in the middle of its drain, or died of something else.
"""

from typing import NamedTuple

from .swim import State


class DrainSelf(NamedTuple):
    """It is meant for us: we leave. again: we are leaving already."""

    again: bool


class Forward(NamedTuple):
    """It is meant for another that lives."""

    serves: str


class LifeEnded(NamedTuple):
    """That life has ended; why in words."""

    why: str


class UnknownManager(NamedTuple):
    pass


def resolve(named, life, me, boot, leaving, member):
    """What an order to drain comes to at the manager `me`, in its life `boot`.

    named, life: whom it is for; empty: who is asked, in whatever life. member: what we hold of the one named
    (swim.Member), or None.
    """
    if named in ("", me):
        if life not in ("", boot):
            return LifeEnded(f"{me} has begun anew since")
        return DrainSelf(leaving)
    if member is None:
        return UnknownManager()
    if life and member.boot != life:
        return LifeEnded(f"{named} has begun anew since")
    if member.state is State.LEFT:
        return LifeEnded(f"{named} has left")
    if member.state is State.DEAD:
        return LifeEnded(f"{named} is dead")
    return Forward(member.serves)
