"""flaxscale solve: one run of the planner, from standard input to standard output.

Managers run it as a child process: importing numpy, building the model and solving would block their event loop.
"""

import sys
from typing import NamedTuple

import click
import msgspec

from . import EXIT_BAD_INPUT


class SolveRequest(NamedTuple):
    """The input, a JSON array."""

    question: dict  # catalogue.plan.PlanRequest's fields
    held: dict[str, list[int]]  # title: boxes that hold it now
    seconds: float  # time limit of the solver


class SolveResult(NamedTuple):
    """The output, a JSON array."""

    add: list[tuple[str, int]]
    drop: list[tuple[str, int]]
    before: float  # share of the demand's value that can be carried, now and then
    after: float


@click.command(hidden=True)
def solve():
    """Read a SolveRequest as JSON and write a SolveResult."""
    from ..catalogue.plan import BoxCapacity, PlanRequest, plan

    try:
        request = msgspec.json.decode(sys.stdin.buffer.read(), type=SolveRequest)
        fields = {
            **request.question,
            "boxes": tuple(BoxCapacity(*row) for row in request.question["boxes"]),
            "uplinks": {int(rack): kb for rack, kb in request.question["uplinks"].items()},
        }
        result = plan(
            PlanRequest(**fields), {title: set(boxes) for title, boxes in request.held.items()}, request.seconds
        )
    except (msgspec.MsgspecError, ValueError, KeyError, TypeError) as error:
        click.echo(f"flaxscale: the question: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    sys.stdout.buffer.write(
        b"\n" + msgspec.json.encode(SolveResult(result.add, result.drop, result.before, result.after)) + b"\n"
    )
