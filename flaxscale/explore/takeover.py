"""Explores all interleavings of take-over: managers that claim, order, pause, crash and learn, one box's fence.

The state machines are the program's own (members.takeover.Fence and plan); what stands around them here is the least:
who each manager thinks alive (any opinion may come at any time), which sessions it holds and under which epoch, and
messages on their way. Invariants, in each state:
  at most one manager holds a viewing under the box's present epoch;
  a viewing that another manager has taken over is ended by nobody else's order;
  an epoch of a session was granted to one manager only.
"""

from typing import NamedTuple

from ..members.takeover import Fence, Session, plan_claims
from . import search
from .search import added, without

MANAGERS, KEYS = ("a", "b", "c"), ("v", "w")
CRASHES = 1  # at most so many in one course


class World(NamedTuple):
    fence: tuple  # ((key, owner, epoch)), sorted; a key that is ended is not there
    held: tuple  # ((manager, key, epoch)), sorted: what each believes it holds
    dead: tuple  # ((manager, the one it thinks dead, whether it acted on it)), sorted
    wire: tuple  # messages on their way, sorted
    down: tuple  # managers that crashed
    granted: tuple  # ((key, epoch, manager)): all claims ever granted
    opinions: int


def start(keys):
    owners = {"v": "a", "w": "b"}
    return World(
        tuple((k, owners[k], 0) for k in keys), tuple(sorted((owners[k], k, 0) for k in keys)), (), (), (), (), 0
    )


def fence_of(world):
    fence = Fence()
    for key, owner, epoch in world.fence:
        fence.held[key] = owner, epoch
    return fence


def packed(fence):
    return tuple(sorted((key, owner, epoch) for key, (owner, epoch) in fence.held.items()))


def steps(world, bug):
    """(what happens, the world after it, a broken invariant or None) of each step that may come next."""
    sessions = [Session(key, owner, epoch, key, True) for key, owner, epoch in world.fence]
    up = [m for m in MANAGERS if m not in world.down]
    for m in up:
        thinks = {d for who, d, _ in world.dead if who == m}
        for other in MANAGERS:
            if other != m and other not in thinks and world.opinions < 0:
                yield (
                    f"{m} hears that {other} is dead",
                    world._replace(dead=added(world.dead, (m, other, False)), opinions=world.opinions + 1),
                    None,
                )
        for _, other, acted in [d for d in world.dead if d[0] == m]:
            alive = [x for x in MANAGERS if x == m or x not in thinks]
            if acted:  # each opinion is acted on once, as the program does
                continue
            claims = [("claim", m, c.key, c.epoch) for c in plan_claims(sessions, other, m, alive).claims]
            wire = added(world.wire, *claims)
            acts = added(without(world.dead, (m, other, False)), (m, other, True))
            yield f"{m} asks for the sessions of {other} and claims", world._replace(wire=wire, dead=acts), None
        for item in [d for d in world.dead if d[0] == m and d[1] not in world.down]:
            yield f"{m} hears that {item[1]} lives", world._replace(dead=without(world.dead, item)), None
        for who, key, epoch in world.held:
            if who == m and ("end", m, key, epoch) not in world.wire:
                yield (
                    f"{m} orders the end of {key}, its client left",
                    world._replace(
                        wire=added(world.wire, ("end", m, key, epoch)), held=without(world.held, (m, key, epoch))
                    ),
                    None,
                )
        if len(world.down) < CRASHES:
            yield (
                f"{m} crashes",
                world._replace(down=added(world.down, m), held=tuple(h for h in world.held if h[0] != m)),
                None,
            )
    for message in world.wire:
        # One that is lost is one that never comes to be delivered: a state in which it stays on its way for ever.
        yield from delivered(world._replace(wire=without(world.wire, message)), message, bug)


def delivered(world, message, bug):
    kind, manager, key, epoch = message
    fence = fence_of(world)
    if kind == "claim":
        if bug == "claims without epochs" and key in fence.held:
            fence.held[key] = manager, epoch
            good = True
        else:
            good = fence.claim(key, epoch, manager)
        if not good:
            yield f"the box refuses {manager}'s claim to {key} under {epoch}", world, None
            return
        broken = None
        others = {m for k, e, m in world.granted if (k, e) == (key, epoch)} - {manager}
        if others:
            broken = f"two managers hold {key} under epoch {epoch}: {manager} and {min(others)}"
        after = world._replace(fence=packed(fence), granted=added(world.granted, (key, epoch, manager)))
        if manager not in world.down:
            after = after._replace(
                held=added([h for h in after.held if h[:2] != (manager, key)], (manager, key, epoch))
            )
        yield f"the box grants {manager}'s claim to {key} under {epoch}", after, broken or judged(after)
        return
    if bug != "orders are not fenced" and not fence.accepts(key, epoch, manager):
        yield f"the box refuses {manager}'s order for {key}", world, None
        return
    broken = None
    if key in fence.held and fence.held[key] != (manager, epoch):
        broken = f"{key} is ended by {manager} under {epoch}, {fence.held[key][0]} has it"
    fence.remove(key)
    yield f"the box ends {key} for {manager}", world._replace(fence=packed(fence)), broken


def judged(world):
    for key, owner, epoch in world.fence:
        holders = [m for m, k, e in world.held if k == key and e == epoch]
        if len(holders) > 1:
            return f"two managers hold {key} under epoch {epoch}: {' and '.join(holders)}"
        if holders and holders[0] != owner:
            return f"{holders[0]} holds {key} under epoch {epoch}, the box says {owner}"
    return None


def explore(bug=None, keys=KEYS, opinions=2, most=400_000):
    """All courses in which so many opinions of a death come, however wrong."""
    return search.explore(start(keys)._replace(opinions=-opinions), lambda world: steps(world, bug), most)


def wander(choose, count):
    """One long course with any number of opinions; the trace where an invariant broke, or None."""
    return search.wander(start(KEYS), lambda world: steps(world._replace(opinions=-1), None), choose, count)
