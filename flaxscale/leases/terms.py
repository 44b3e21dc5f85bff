"""The lease terms of a task, and the relations between its figures. No I/O; times are tenths of a millisecond.

By the holder's clock a grant lasts from its request for the span less the drift; by the granter's clock for the span
plus the drift (C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency", SOSP 1989, 5). A holder begins no step that may outlast its grant.
"""

from typing import NamedTuple

DRIFT = 0.01  # default bound on the difference of two machines' clocks, as a share of any span
RENEWALS = 3  # attempts in one span, of which two may get lost


class Task(NamedTuple):
    """One kind of duty. pieces: it has one lease for each box; otherwise one process does all of it."""

    name: str
    period: int  # from the end of one turn to the next turn
    span: int  # of a grant
    step: int  # the longest duration of one act
    drift: float = DRIFT
    pieces: bool = False

    def holder_span(self):
        """How long a holder may act on one grant."""
        return round(self.span * (1 - self.drift))

    def granter_span(self):
        """How long the granter reserves a piece for its holder after the last grant."""
        return round(self.span * (1 + self.drift)) + 1

    def error(self):
        """Why the figures are not valid together, or None."""
        if not 0 <= self.drift < 0.5:
            return f"a drift from 0 to below 0.5 expected: {self.drift:g}"
        if self.period <= 0 or self.step <= 0:
            return "a period and a step above 0 expected"
        # Within one grant one renewal may fail, and a whole step must still fit.
        least = (self.step + self.span / RENEWALS) / (1 - self.drift)
        if self.span < least:
            needed = self.step / (1 - self.drift - 1 / RENEWALS) if self.drift < 1 - 1 / RENEWALS else float("inf")
            return (
                f"a span of {self.span / 10_000:g} s is too short for a step of {self.step / 10_000:g} s and a "
                f"drift of {self.drift:g}: {needed / 10_000:.2f} s at least"
            )
        return None


def piece_of(task, box=None):
    """The name of a piece of a task."""
    return task if box is None else f"{task}/{box}"


def task_of(piece):
    """The name of a piece's task."""
    return piece.partition("/")[0]
