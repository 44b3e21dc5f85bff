"""Coverage of a play, as a set of short text marks: the search keeps each day that reaches a mark for the first time.

As in coverage-guided fuzzing, with states of the fleet in place of branches of a program: a mark combines the troubles
that were active in the same second with a count of viewing outcomes in that second. Counts are put into size classes
(powers of four), so that a slightly larger count of the same outcome is not new coverage.
"""

from collections import Counter


def size_class(count):
    """The logarithm of a count to base 4, rounded down: 0 from 1 on, 1 from 4 on, 2 from 16 on."""
    return (max(1, count).bit_length() - 1) // 2


def marks_of(troubles, counts, seconds=()):
    """The marks of one play.

    troubles: the day's list. counts: {outcome: number} of the whole play. seconds: [(second, {outcome: number})].
    """
    marks = {f"{what} x{size_class(count)}" for what, count in counts.items() if count}
    for second, outcomes in seconds:
        active = sorted({trouble_name(row) for row in troubles if row.at_s <= second <= row.at_s + row.for_s + 1})
        pairs = [f"{a}+{b}" for n, a in enumerate(active) for b in active[n + 1 :]] or active or ["quiet"]
        marks |= {f"{pair}: {what} x{size_class(count)}" for pair in pairs for what, count in outcomes.items() if count}
    return frozenset(marks)


def trouble_name(row):
    """The trouble's kind in a mark; a faulty way is named with the kind of its fault."""
    return f"way {row.kind}" if row.what == "way" else row.what


def counts_by_second(rows):
    """[(second, Counter of outcomes)], by second, from (second, outcome) pairs."""
    counts = {}
    for second, what in rows:
        counts.setdefault(second, Counter())[what] += 1
    return sorted(counts.items())
