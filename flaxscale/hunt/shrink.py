"""Minimizes a list of troubles by delta debugging (A. Zeller and R. Hildebrandt, "Simplifying and Isolating
Failure-Inducing Input", IEEE TSE 28, 2002): whole troubles are removed first, then each remaining trouble is reduced to
fewer targets and a shorter time.

The functions are generators: each yields a candidate list and is sent whether the candidate still reproduces the
finding. Each returns the smallest list that did.
"""

import msgspec

MIN_DURATION_S = 0.5  # a trouble is not shortened below this


def shrink(troubles):
    """Yields candidates, is sent True or False for each; returns the smallest that reproduced the finding."""
    found = yield from remove_troubles(list(troubles))
    for n in range(len(found)):
        found = yield from reduce_trouble(found, n)
    return found


def remove_troubles(found):
    """Removes parts of the list, halving their size until no single trouble can be removed."""
    parts = 2
    while len(found) >= 2:
        size = -(-len(found) // parts)
        for at in range(0, len(found), size):
            rest = found[:at] + found[at + size :]
            if rest and (yield rest):
                found, parts = rest, max(2, parts - 1)
                break
        else:
            if parts >= len(found):
                break
            parts = min(len(found), parts * 2)
    return found


def reduce_trouble(found, n):
    """Reduces trouble n step by step, as long as the finding is still reproduced."""
    while True:
        for row in reductions_of(found[n]):
            candidate = [*found[:n], row, *found[n + 1 :]]
            if (yield candidate):
                found = candidate
                break
        else:
            return found


def reductions_of(row):
    """Reductions of a trouble by one step: half the targets, no healing time, no jitter or half the duration."""

    def replaced(**change):
        return msgspec.structs.replace(row, **change)

    for key in ("boxes", "managers"):
        targets = getattr(row, key)
        if targets and len(targets) > 1:
            half = len(targets) // 2
            yield replaced(**{key: targets[:half]})
            yield replaced(**{key: targets[half:]})
    for side, names in enumerate(row.between or ()):
        if len(names) > 1:
            half = len(names) // 2
            for part in (names[:half], names[half:]):
                yield replaced(between=[*row.between[:side], part, *row.between[side + 1 :]])
    if row.heal_s:
        yield replaced(heal_s=0)
    if row.jitter:
        yield replaced(jitter=0)
    if row.for_s > 2 * MIN_DURATION_S:
        yield replaced(for_s=round(row.for_s / 2, 2))
