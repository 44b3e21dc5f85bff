"""Makes a found list of troubles small, after delta debugging (A. Zeller and R. Hildebrandt, "Simplifying and
Isolating Failure-Inducing Input", IEEE TSE 28, 2002): first whole troubles go, then those that are left strike fewer,
and shorter.

A generator: it yields a list, and is sent whether that still shows what was found. It returns the smallest that did.
"""

import msgspec

SHORT_S = 0.5


def shrink(troubles):
    """yields lists of troubles, is sent True or False for each; returns the smallest for which it was sent True."""
    found = yield from fewer(list(troubles))
    for n in range(len(found)):
        found = yield from smaller(found, n)
    return found


def fewer(found):
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


def smaller(found, n):
    """Trouble n with half of whom it strikes, healed at once, half as long: as often as it still shows."""
    while True:
        for row in lesser(found[n]):
            tried = [*found[:n], row, *found[n + 1 :]]
            if (yield tried):
                found = tried
                break
        else:
            return found


def lesser(row):
    """Troubles that are a little less than this one."""

    def but(**change):
        return msgspec.structs.replace(row, **change)

    for key in ("boxes", "managers"):
        some = getattr(row, key)
        if some and len(some) > 1:
            half = len(some) // 2
            yield but(**{key: some[:half]})
            yield but(**{key: some[half:]})
    for side, names in enumerate(row.between or ()):
        if len(names) > 1:
            half = len(names) // 2
            for part in (names[:half], names[half:]):
                yield but(between=[*row.between[:side], part, *row.between[side + 1 :]])
    if row.heal_s:
        yield but(heal_s=0)
    if row.jitter:
        yield but(jitter=0)
    if row.for_s > 2 * SHORT_S:
        yield but(for_s=round(row.for_s / 2, 2))
