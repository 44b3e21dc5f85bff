"""Measures the model at sizes that processes don't reach: simulated seconds a second, memory, and where its time goes.

    python -m bench.size [--boxes 150 --managers 100] [--length 20] [--quiet] [--alone]

A day of the example's fleet made larger: so many boxes, managers that talk and hold leases, new viewings in proportion
to boxes, and in the middle a tenth of the managers killed at once and a cut between two halves of the others. In
virtual time.
"""

import resource
import time
from collections import Counter

import click
import msgspec

from bench.front import machine
from bench.hunt import quiet
from flaxscale.lab.shapes import TroubleRow
from flaxscale.model.judge import RuleChecker
from flaxscale.model.play import Play

A_BOX = 0.17  # new viewings a second and box, as the announced peaks' measurements have them


def grown(boxes, managers, length, alone, calm):
    day = quiet(True)
    few = day.boxes
    day = msgspec.structs.replace(
        day,
        length_s=length,
        settle_s=12.0,
        members=not alone,
        boxes=[msgspec.structs.replace(few[n % len(few)], cell=n % 6) for n in range(boxes)],
    )
    day.site.managers, day.demand.rate = managers, A_BOX * boxes
    day.site.fleet.uplink_kb *= boxes / len(few)
    dead, half = max(1, managers // 10), managers // 2
    day.troubles = (
        []
        if calm
        else [
            TroubleRow(at_s=length * 0.3, what="manager_crash", managers=list(range(dead)), for_s=length * 0.2),
            TroubleRow(
                at_s=length * 0.6,
                what="way",
                kind="cut",
                for_s=length * 0.15,
                between=[[f"m{m}" for m in range(half)], [f"m{m}" for m in range(half, managers)]],
            ),
        ]
    )
    return day


@click.command()
@click.option("--boxes", default=150, show_default=True)
@click.option("--managers", default=100, show_default=True)
@click.option("--length", default=20.0, show_default=True, help="Seconds of the day.")
@click.option("--seed", default=1, show_default=True)
@click.option("--quiet", "calm", is_flag=True, help="Without the deaths and the cut.")
@click.option("--alone", is_flag=True, help="Managers that don't talk.")
def main(boxes, managers, length, seed, calm, alone):
    """One day, and what it took."""
    day = grown(boxes, managers, length, alone, calm)
    began = time.monotonic()
    play = Play(day, seed)
    checker = RuleChecker(play)
    play.run()
    took = time.monotonic() - began
    simulated, totals = day.length_s + day.settle_s + 3, play.totals()
    print(
        f"{boxes} boxes, {managers} managers, {totals['requests']} requests: {simulated / took:.2f} simulated "
        f"seconds a second, {play.world.events_run / took:,.0f} steps a second, "
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:,.0f} MB; service {totals['service']}"
    )
    print("records:", dict(Counter(row[1] for row in play.records)), "fates:", totals["fates"])
    print("broke:", checker.all_violations() or "nothing")
    machine()


if __name__ == "__main__":
    main()
