"""The rule for renditions: up to which use of a link each step of the ladder is given out.

The paper names only a "moderate resource reservation"; the design page leaves the limit open. Here each step has its
own limit: lower ones for less valuable steps (trunk reservation) keep links open for crowds that come later.
"""

from typing import NamedTuple

from ..interface import Ladder, Package, SiteTerms

MAX_USE_LIMIT = 0.97  # of a link, for the step of the highest value for its load
USE_LIMIT_SPREAD = 0.5  # the limit for the step of the lowest value is this much lower


class RenditionStep(NamedTuple):
    """The step to one rendition of a package from the one below it."""

    kb: float  # rate of the rendition, kB a second
    use_limit: float  # the use of a link up to which the step is given out
    value_per_kb: float  # value for each kB a second that the step adds


def rendition_steps(terms: SiteTerms, weights: dict[int, float]) -> dict[tuple[int, int], RenditionStep]:
    """{(package, rung): RenditionStep}; weights: factors on the values of packages; 1 where there is none."""
    value_per_kb = {}
    for number, package in enumerate(terms.packages):
        for rung in range(len(terms.ladder.kb)):
            value_per_kb[number, rung] = step_value_per_kb(terms.ladder, package, rung, weights.get(number, 1))
    order = sorted(set(value_per_kb.values()), reverse=True)
    use_limits = {value: MAX_USE_LIMIT - USE_LIMIT_SPREAD * i / max(1, len(order) - 1) for i, value in enumerate(order)}
    return {
        (number, rung): RenditionStep(terms.ladder.kb[rung] * terms.packages[number].scale, use_limits[value], value)
        for (number, rung), value in value_per_kb.items()
    }


def step_value_per_kb(ladder: Ladder, package: Package, rung: int, weight: float) -> float:
    """Value for each kB a second that a step adds; the package's lowest rung is a step from nothing."""
    lower_kb, lower_worth = (ladder.kb[rung - 1], ladder.worth[rung - 1]) if rung > package.floor else (0, 0)
    gain = package.value * weight * (ladder.worth[rung] - lower_worth)
    return gain / (max(ladder.kb[rung] - lower_kb, 1e-9) * package.scale)
