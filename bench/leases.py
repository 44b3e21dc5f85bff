"""Measures leases in virtual time: what they cost, gaps after a kill and a planned end, the rush after an outage.

    python -m bench.leases cost | gaps | rush

The machines are the program's own, the fleet is simulated. Overlaps on sockets: `python -m bench.days duties-day`. Not
part of CI.
"""

import statistics

import click

from flaxscale.leases.terms import Task
from flaxscale.model.leases import cost


def task_of(span_s):
    return Task("duty", 10_000, round(span_s * 10_000), 5_000, 0.01)


@click.group()
def main():
    """Measure leases."""


@main.command("cost")
def cost_command():
    """Messages and syncs a second, evenness and moves at a death, by managers and pieces; span 5 s."""
    for managers in (5, 50, 300):
        for pieces in (1, 20, 500):
            c = cost(managers, task_of(5), pieces)
            print(
                f"{managers} managers, {pieces} pieces: {c.messages:.1f} messages and {c.syncs:.2f} syncs a second; "
                f"{c.least} to {c.most} pieces each; at a death {c.moved} others moved; two at once {c.worst_pair}",
                flush=True,
            )


@main.command()
@click.option("--seeds", default=10)
def gaps(seeds):
    """Seconds without a holder after a kill and after a planned end; 5 managers, 20 pieces."""
    for span in (2, 5, 15):
        for planned in (False, True):
            for loss in (0.0, 0.3):
                rows = [cost(5, task_of(span), 20, seed, planned, loss, outage_s=1) for seed in range(1, seeds + 1)]
                found = [g for c in rows for g in c.gaps]
                print(
                    f"span {span} s, {'planned end' if planned else 'kill'}, {loss:.0%} lost: p50 "
                    f"{statistics.median(found):.1f} s, worst {max(found):.1f} s of {len(found)}; two at once "
                    f"{sum(c.worst_pair for c in rows)}",
                    flush=True,
                )


@main.command()
def rush():
    """The busiest second after the granter was away for 30 s; 300 managers, 500 pieces, span 5 s."""
    for spread in (True, False):
        c = cost(300, task_of(5), 500, spread=spread)
        print(
            f"{'spread' if spread else 'all at once'}: {c.rush} messages in the busiest second after it, "
            f"{c.messages:.0f} a second before",
            flush=True,
        )


if __name__ == "__main__":
    main()
