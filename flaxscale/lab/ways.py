"""Ways between processes and what is wrong with each: pure, by direction, so that a day can say who reached whom when.

Parties are named as in a day: managers m0, m1 ..., boxes b1, b2 ..., `list` and `catalogue`. A way has a direction. A
fault strikes some ways from when it is put on until it is healed there; several may strike one way, and what the way
does is what all of them together make of it. The kinds, after what public reports of large fleets describe (one-way
loss, half-open connections, grey failure: P. Huang et al., "Gray Failure", HotOS 2017; partial partitions: M. Alfatafta
et al., "Toward a Generic Fault Tolerance Technique for Partial Network Partitioning", OSDI 2020):

| kind | TCP | datagrams |
| --- | --- | --- |
| cut | nothing passes, nothing ends; what was sent passes once when it is healed | gone |
| refuse | new connections are refused | gone |
| reset | connections are reset, new ones too | gone |
| half | the next piece passes by half, then the connection is reset | gone |
| half_open | a side's close is not told to the other | as ever |
| delay | passes `value` ms later, and up to `jitter` more, in order | the same, each by itself |
| throttle | at most `value` kB a second | as ever |
| lose, duplicate | as ever: TCP makes them good | with the chance `value`, each |
| reorder | as ever | with the chance `value` a datagram waits for the next one |
"""

import math
from typing import NamedTuple

KINDS = frozenset({"cut", "refuse", "reset", "half", "half_open", "delay", "throttle", "lose", "duplicate", "reorder"})
CHANCES = frozenset({"lose", "duplicate", "reorder"})  # their value is a share
NOTHING_PASSES = frozenset({"cut", "refuse", "reset", "half"})


class Fault(NamedTuple):
    kind: str
    value: float = 1.0
    jitter: float = 0.0


class State(NamedTuple):
    """What a way does now."""

    kinds: frozenset = frozenset()
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    kb_s: float = math.inf
    lose: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0

    def passes(self):
        return not self.kinds & NOTHING_PASSES


CLEAR = State()


class WayError(ValueError):
    """key and what was expected there."""

    def __init__(self, key, expected):
        super().__init__(f"{key}: {expected} expected")
        self.key, self.expected = key, expected


def parties(managers, boxes, catalogue):
    """Names of all parties of a day, by kind."""
    return {
        "managers": tuple(f"m{m}" for m in range(managers)),
        "boxes": tuple(f"b{b + 1}" for b in range(boxes)),
        "list": ("list",),
        "catalogue": ("catalogue",) if catalogue else (),
    }


def all_ways(kinds):
    """Every way that processes of a day use, in both directions: [(from, to)]."""
    pairs = [(m, other) for m in kinds["managers"] for other in (*kinds["boxes"], *kinds["list"], *kinds["catalogue"])]
    pairs += [(b, to) for b in kinds["boxes"] for to in (*kinds["list"], *kinds["catalogue"])]
    pairs += [(m, o) for m in kinds["managers"] for o in kinds["managers"] if m < o]
    return [way for a, b in pairs for way in ((a, b), (b, a))]


def named(names, kinds, groups, key):
    """The parties that a list of names and groups stands for; WayError where it names nobody."""
    known = {name for members in kinds.values() for name in members}
    found = []
    for n, name in enumerate(names):
        some = kinds.get(name) or groups.get(name) or ((name,) if name in known else ())
        if name in groups:
            some = named(some, kinds, {}, f"groups.{name}")
        if not some:
            some_names = ", ".join(sorted(known | groups.keys()))[:120]
            raise WayError(f"{key}.{n}", f"somebody in place of {name!r}, of {some_names},")
        found += [one for one in some if one not in found]
    if not found:
        raise WayError(key, "at least one name")
    return found


def struck(between, one_way, kinds, groups, key):
    """Ways between the first group and the second, or between every two of several groups."""
    if len(between) < 2:
        raise WayError(key, "two groups or more")
    sides = [named(names, kinds, groups, f"{key}.{n}") for n, names in enumerate(between)]
    real = set(all_ways(kinds))
    ways = [(a, b) for n, one in enumerate(sides) for other in sides[n + 1 :] for a in one for b in other]
    ways = [way for a, b in ways for way in (((a, b),) if one_way else ((a, b), (b, a))) if way in real]
    if not ways:
        raise WayError(key, "groups between which a way leads")
    return list(dict.fromkeys(ways))


class Ways:
    def __init__(self):
        self.faults, self.states = {}, {}  # way: {fault's number: Fault}; way: State, where one strikes

    def put(self, number, fault, ways):
        """This fault strikes these ways from now on. Returns the ways whose state changed."""
        for way in ways:
            self.faults.setdefault(way, {})[number] = fault
        return self.reckon(ways)

    def heal(self, number, ways=None):
        """It strikes these ways (all of its) no more. Returns the ways whose state changed."""
        ways = [way for way, some in self.faults.items() if number in some] if ways is None else ways
        for way in ways:
            self.faults.get(way, {}).pop(number, None)
        return self.reckon(ways)

    def reckon(self, ways):
        changed = []
        for way in ways:
            state = made_of(list(self.faults.get(way, {}).values()))
            if state != self.of(way):
                changed.append(way)
                if state == CLEAR:
                    self.states.pop(way)
                else:
                    self.states[way] = state
        return changed

    def of(self, way):
        return self.states.get(way, CLEAR)

    def unreached(self):
        """Ways on which nothing passes now."""
        return sorted(way for way, state in self.states.items() if not state.passes())


def made_of(faults):
    """What several faults of one way make together: delays add up, the tightest throttle holds, chances join."""

    def joined(kind):
        return 1 - math.prod(1 - fault.value for fault in faults if fault.kind == kind)

    delays = [fault for fault in faults if fault.kind == "delay"]
    return State(
        frozenset(fault.kind for fault in faults),
        sum(fault.value for fault in delays),
        sum(fault.jitter for fault in delays),
        min((fault.value for fault in faults if fault.kind == "throttle"), default=math.inf),
        joined("lose"),
        joined("duplicate"),
        joined("reorder"),
    )


def in_pieces(ways, heal_s, dice):
    """[(seconds after the first, [ways])]: both directions of a pair heal together, pairs in a drawn order."""
    if not heal_s:
        return [(0.0, list(ways))]
    pairs = {}
    for way in ways:
        pairs.setdefault(frozenset(way), []).append(way)
    order = sorted(pairs.values(), key=lambda ways: (dice.draw(), ways))
    return [(heal_s * n / len(order), some) for n, some in enumerate(order)]
