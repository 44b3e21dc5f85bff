"""flaxscale solve: one question of the planner, from standard input to standard output.

For a manager that has others to answer meanwhile: numpy, the solver and the making of its model would hold its loop.
"""

import sys
from typing import NamedTuple

import click
import msgspec

from . import BAD


class Asked(NamedTuple):
    question: dict  # catalogue.plan.PlanRequest's fields
    held: dict[str, list[int]]  # title: boxes that hold it now
    seconds: float  # for the solver, at most


class Told(NamedTuple):
    add: list[tuple[str, int]]
    drop: list[tuple[str, int]]
    before: float  # share of the demand's value that can be carried, now and then
    after: float


@click.command(hidden=True)
def solve():
    """Read an Asked as JSON, write a Told."""
    from ..catalogue.plan import BoxCapacity, PlanRequest, plan

    try:
        asked = msgspec.json.decode(sys.stdin.buffer.read(), type=Asked)
        fields = {
            **asked.question,
            "boxes": tuple(BoxCapacity(*row) for row in asked.question["boxes"]),
            "uplinks": {int(rack): kb for rack, kb in asked.question["uplinks"].items()},
        }
        made = plan(PlanRequest(**fields), {title: set(boxes) for title, boxes in asked.held.items()}, asked.seconds)
    except (msgspec.MsgspecError, ValueError, KeyError, TypeError) as error:
        click.echo(f"flaxscale: the question: {error}", err=True)
        sys.exit(BAD)
    sys.stdout.buffer.write(b"\n" + msgspec.json.encode(Told(made.add, made.drop, made.before, made.after)) + b"\n")
