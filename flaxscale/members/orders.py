"""Operators' orders to one manager, given to any: carried out once, by the life that they were meant for. No I/O.

A drain that got no answer may have been carried out: the manager left, its supervisor began it anew, and the same
order said again would drain the newcomer. So an order names the manager and its life (boot), and whoever is asked says
what became of that life: it is ours, it lives and is asked itself, or it is over, and then nothing is left to do, since
the others claim what a life left that went, was killed in the middle of its drain, or died of something else.
"""

from typing import NamedTuple

from .swim import State


class Leave(NamedTuple):
    """It is meant for us: we leave. again: we are leaving already."""

    again: bool


class SendOn(NamedTuple):
    """It is meant for another that lives."""

    serves: str


class Over(NamedTuple):
    """That life has ended; why in words."""

    why: str


class Unknown(NamedTuple):
    pass


def drain(named, life, me, boot, leaving, member):
    """What an order to drain comes to at the manager `me`, in its life `boot`.

    named, life: whom it is for; empty: who is asked, in whatever life. member: what we hold of the one named
    (swim.Member), or None.
    """
    if named in ("", me):
        if life not in ("", boot):
            return Over(f"{me} has begun anew since")
        return Leave(leaving)
    if member is None:
        return Unknown()
    if life and member.boot != life:
        return Over(f"{named} has begun anew since")
    if member.state is State.LEFT:
        return Over(f"{named} has left")
    if member.state is State.DEAD:
        return Over(f"{named} is dead")
    return SendOn(member.serves)
