"""What a play reached, as a set of short marks: the search keeps a day that reaches what none before it did.

After coverage-guided fuzzing, with states of the fleet in place of branches of a program: which troubles stood at
one time, and what came of viewings meanwhile, in sizes (powers of four), so that more of the same is no news. A mark is
text.
"""

from collections import Counter


def size(count):
    """Powers of four: 1, 4, 16 ..."""
    return (max(1, count).bit_length() - 1) // 2


def marks_of(troubles, counts, seconds=()):
    """troubles: those of the day. counts: {what: number} of the whole play. seconds: [(second, {what: number})]."""
    out = {f"{what} x{size(n)}" for what, n in counts.items() if n}
    for second, came in seconds:
        on = sorted({name_of(row) for row in troubles if row.at_s <= second <= row.at_s + row.for_s + 1})
        pairs = [f"{a}+{b}" for n, a in enumerate(on) for b in on[n + 1 :]] or on or ["quiet"]
        out |= {f"{pair}: {what} x{size(n)}" for pair in pairs for what, n in came.items() if n}
    return frozenset(out)


def name_of(row):
    return f"way {row.kind}" if row.what == "way" else row.what


def by_second(rows):
    """[(second, Counter)] of (second, what) pairs."""
    out = {}
    for second, what in rows:
        out.setdefault(second, Counter())[what] += 1
    return sorted(out.items())
