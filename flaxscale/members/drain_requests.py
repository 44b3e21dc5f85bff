"""Operators' drain requests, sent to any manager and carried out once, by the process that they name. No I/O.

A drain request without an answer may have been carried out: the manager left, its supervisor restarted it, and a
repeated request would drain the new process. So a request names the manager and its life (the boot id of its process).
The manager that receives it drains itself where it is the one named, forwards the request where that life is alive, or
reports that the life has ended. Then nothing is left to do: the other managers claim the sessions of a life that left,
was killed during its drain or died otherwise.
"""

from typing import NamedTuple

from .swim import State


class DrainSelf(NamedTuple):
    """The request names this life: it drains. again: it is draining already."""

    again: bool


class Forward(NamedTuple):
    """The request names another life, which is alive. serves: the address at which it serves."""

    serves: str


class LifeEnded(NamedTuple):
    """The named life has ended. why: how, as text for the operator."""

    why: str


class UnknownManager(NamedTuple):
    """No manager of that name is known."""


def resolve(named, life, me, boot, leaving, member):
    """What the manager `me`, in its life `boot`, does with a drain request.

    named, life: the manager and life to drain; empty: the receiver, in any life. leaving: whether `me` is draining
    already. member: the swim.Member of the named manager, or None.
    """
    if named in ("", me):
        if life not in ("", boot):
            return LifeEnded(f"{me} has restarted since")
        return DrainSelf(leaving)
    if member is None:
        return UnknownManager()
    if life and member.boot != life:
        return LifeEnded(f"{named} has restarted since")
    if member.state is State.LEFT:
        return LifeEnded(f"{named} has left")
    if member.state is State.DEAD:
        return LifeEnded(f"{named} is dead")
    return Forward(member.serves)
