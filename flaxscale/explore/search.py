"""The one explorer: all courses of a state machine, breadth first, with the shortest trace to what breaks.

A machine is a first state and steps(state), which gives (what happens, the state after it, a broken invariant or
None) of each step that may come next. States are hashable and hold all there is; steps of the program's own pure
machines are taken by making those from the state and putting them back. What is explored:

- **safety**: the first broken step has a shortest trace, as states are met in the order of their distance;
- **some course leads there** (`good`): from every state at least one course comes to a good one. A state from which
  none does is a thing in hand that nobody will ever end. It is judged over all states that were met, by going back
  from the good ones, and so only where all were explored. (That a course exists is weaker than that it is taken; which
  steps a living process always takes in the end is for the tests by processes.)
- **symmetry** (`same`): states that differ by a renaming count once, after E. M. Clarke, E. A. Emerson, S. Jha and
  A. P. Sistla, "Symmetry reductions in model checking" (CAV 1998). `same` gives the state that stands for its like;
  it is worked on itself, so that a trace is one of renamed parties where they were renamed.

The bound on states is the caller's. A search that reaches it raises TooMany: it says nothing of what it did not see.
"""

import collections
from typing import NamedTuple


class Found(NamedTuple):
    states: int  # that were met
    trace: list | None  # what happens, step by step, until the invariant breaks, which stands last
    stuck: list | None = None  # the same to the nearest state from which no course comes to a good one


class TooMany(RuntimeError):
    """More states than the bound: not all were explored."""


def explore(first, steps, most=400_000, good=None, same=None):
    """Found. good(state): whether a course may end well there; same(state): the one that stands for its like."""
    first = first if same is None else same(first)
    numbers, came, before = {first: 0}, [None], [[]]
    states, at = [first], 0
    while at < len(states):
        world = states[at]
        for what, after, broken in steps(world):
            if broken:
                return Found(len(states), [*path(came, at), what, broken])
            after = after if same is None else same(after)
            n = numbers.get(after)
            if n is None:
                if len(states) >= most:
                    raise TooMany(f"more than {most} states: not all were explored")
                n = numbers[after] = len(states)
                states.append(after)
                came.append((at, what))
                before.append([])
            if good is not None:
                before[n].append(at)
        at += 1
    if good is None:
        return Found(len(states), None)
    reached = {n for n, world in enumerate(states) if good(world)}
    todo = collections.deque(reached)
    while todo:
        for n in before[todo.popleft()]:
            if n not in reached:
                reached.add(n)
                todo.append(n)
    lost = next((n for n in range(len(states)) if n not in reached), None)
    return Found(
        len(states),
        None,
        None if lost is None else [*path(came, lost), "no course from here comes to an end that is good"],
    )


def path(came, at):
    """What happened until a state, in order."""
    out = []
    while came[at] is not None:
        at, what = came[at]
        out.append(what)
    return out[::-1]


def wander(first, steps, choose, count):
    """One long course; choose(list) picks each step. The last steps of it where an invariant broke, or None."""
    world, trace = first, []
    for _ in range(count):
        options = list(steps(world))
        if not options:
            return None
        what, world, broken = choose(options)
        trace.append(what)
        if broken:
            return [*trace[-30:], broken]
    return None


# Small change of machines: states keep their parts as sorted tuples


def without(items, item):
    items = list(items)
    items.remove(item)
    return tuple(items)


def added(items, *more):
    return tuple(sorted(set(items) | set(more)))
