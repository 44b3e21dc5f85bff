"""The rule for renditions: up to which use of a link each step of the ladder is given out.

The paper names only a "moderate resource reservation"; the design page leaves the mark open. Ours is one mark for each
step: lower ones for steps that earn less (trunk reservation) keep links open for crowds that come later.
"""

from typing import NamedTuple

from ..interface import Ladder, Package, SiteTerms

MARK = 0.97  # of a link, for the step that earns most for its load
MARK_SPREAD = 0.5  # so much lower for the one that earns least


class RenditionStep(NamedTuple):
    """The step to one rendition of a class from the one below it."""

    kb: float  # rate of the rendition, kB a second
    mark: float  # the use of a link up to which the step is given out
    earns: float  # value for each kB a second that the step adds


def rendition_steps(terms: SiteTerms, weights: dict[int, float]) -> dict[tuple[int, int], RenditionStep]:
    """{(class, rendition): RenditionStep}; weights: how much more a class counts than its value, where told."""
    earns = {}
    for number, traffic_class in enumerate(terms.packages):
        for rung in range(len(terms.ladder.kb)):
            earns[number, rung] = step_earns(terms.ladder, traffic_class, rung, weights.get(number, 1))
    order = sorted(set(earns.values()), reverse=True)
    marks = {value: MARK - MARK_SPREAD * i / max(1, len(order) - 1) for i, value in enumerate(order)}
    return {
        (number, rung): RenditionStep(terms.ladder.kb[rung] * terms.packages[number].scale, marks[value], value)
        for (number, rung), value in earns.items()
    }


def step_earns(ladder: Ladder, traffic_class: Package, rung: int, weight: float) -> float:
    """Value for each kB a second that a step adds; the lowest allowed one is a step from nothing."""
    less_kb, less = (ladder.kb[rung - 1], ladder.worth[rung - 1]) if rung > traffic_class.floor else (0, 0)
    gain = traffic_class.value * weight * (ladder.worth[rung] - less)
    return gain / (max(ladder.kb[rung] - less_kb, 1e-9) * traffic_class.scale)
