"""Explores the machines of flaxscale/explore whole, also the cases that are too large for CI, and prints their sizes.

    python -m bench.explore [--most 4000000]

The largest here take some minutes and 4 GB each. Exit status 1 where a course broke an invariant or was stuck.
"""

import sys
import time

import click

from flaxscale.explore import inhand, leases, takeover
from flaxscale.explore.inhand import Small
from flaxscale.explore.search import TooMany, explore

CASES = [
    ("take-over, two viewings", lambda most: takeover.explore(most=most)),
    ("take-over, three opinions", lambda most: takeover.explore(keys=("v",), opinions=3, most=most)),
]
CASES += [
    (f"in hand {case}", lambda most, case=case: inhand.explore(case, most=most))
    for unsafe in (False, True)
    for case in (
        Small(unsafe, 1, 1, 1, True),
        Small(unsafe, 2, 0, 1),
        Small(unsafe, 2, 1),
        Small(unsafe, 2, 1, 0, True),
        Small(unsafe, 2, 1, 1),
        Small(unsafe, 3, 1),
    )
]

# A slow holder and a fast granter, the worst within the bound; then the granter's store is put back.
CASES += [
    (
        f"leases, {name}, {at_once} on the way",
        lambda most, rates=rates, first=first, at_once=at_once: whole(leases.Machine(rates, most=at_once), first, most),
    )
    for at_once in (1, 2)
    for name, rates, first in (
        ("calm", (9, 10, 11), leases.start(2, 0)),
        ("a crash", (10, 10, 10), leases.start(2, 1)),
        ("put back", (10, 10, 10), leases.put_back_soon()),
    )
]
# Three managers whose clocks are alike stand for each other: equal clocks, and slow holders with a fast granter.
CASES += [
    (
        f"leases, three managers, {name}",
        lambda most, rates=rates, crashes=crashes: whole(
            leases.Machine(rates, most=1), leases.start(3, crashes), most, True
        ),
    )
    for name, rates, crashes in (
        ("clocks alike", (10, 10, 10, 10), 0),
        ("a fast granter", (9, 9, 9, 11), 0),
        ("a crash", (10, 10, 10, 10), 1),
    )
]


def whole(machine, first, most, alike=False):
    return explore(first, machine.steps, most, machine.good, machine.alike if alike else None)


@click.command()
@click.option("--most", default=4_000_000, show_default=True, help="States, at most, of one case.")
def main(most):
    """Explore every case and print a line each."""
    bad = False
    for name, explored in CASES:
        began = time.monotonic()
        try:
            found = explored(most)
        except TooMany as no:
            print(f"{name}: {no}", flush=True)
            continue
        trace = found.trace or found.stuck
        bad |= trace is not None
        print(
            f"{name}: {found.states} states in {time.monotonic() - began:.0f} s: "
            + ("; ".join(trace) if trace else "kept"),
            flush=True,
        )
    sys.exit(bad)


if __name__ == "__main__":
    main()
