"""What a task needs of its lease, and what must hold between its figures. No I/O; times are tenths of a millisecond.

A grant runs from when it was asked for to its span less the drift by the holder's clock, and to its span with the drift
added by the granter's (C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
cache consistency", SOSP 1989, 5). A holder begins no step that may outlast it.
"""

from typing import NamedTuple

DRIFT = 0.01  # clocks of two machines differ by at most so much of any span, if no other is stated
RENEWALS = 3  # in one span: two may get lost


class Task(NamedTuple):
    """One kind of duty. pieces: it is shared out box by box, else one process does all of it."""

    name: str
    period: int  # it is done again so long after it was done
    span: int  # of a grant
    step: int  # what one act takes at most
    drift: float = DRIFT
    pieces: bool = False

    def holder_span(self):
        """How long a holder may act on one grant."""
        return round(self.span * (1 - self.drift))

    def granter_span(self):
        """How long the granter keeps a piece for its holder after its last grant."""
        return round(self.span * (1 + self.drift)) + 1

    def error(self):
        """Why these figures can't go together, or None."""
        if not 0 <= self.drift < 0.5:
            return f"a drift of 0 up to 0.5 expected: {self.drift:g}"
        if self.period <= 0 or self.step <= 0:
            return "a period and a step over 0 expected"
        # Within one grant a renewal must have time to fail once and still leave a whole step.
        least = (self.step + self.span / RENEWALS) / (1 - self.drift)
        if self.span < least:
            needed = self.step / (1 - self.drift - 1 / RENEWALS) if self.drift < 1 - 1 / RENEWALS else float("inf")
            return (
                f"a span of {self.span / 10_000:g} s is too short for a step of {self.step / 10_000:g} s and a "
                f"drift of {self.drift:g}: {needed / 10_000:.2f} s at least"
            )
        return None


def piece_of(task, box=None):
    """The name of one piece of a task."""
    return task if box is None else f"{task}/{box}"


def task_of(piece):
    return piece.partition("/")[0]
