"""flaxscale model: simulates a day in virtual time, with one or many seeds, and compares two days."""

import json
import os
import time

import click

from ..lab.shapes import read_day
from . import site_errors


@click.group()
def model():
    """Simulate days in virtual time, for fleets too large to run as processes. All figures are of simulated fleets."""


def parse_variables(pairs):
    """{name: value} of the NAME=VALUE arguments."""
    variables = {}
    for pair in pairs:
        name, _, value = pair.partition("=")
        if not name or not value:
            raise click.UsageError(f"--set {pair}: NAME=VALUE expected")
        variables[name] = value
    return variables


VARIABLES = click.option("--set", "pairs", multiple=True, metavar="NAME=VALUE", help="External variable of the file.")


@model.command()
@click.argument("file", type=click.Path())
@click.option("--seed", default=1, show_default=True)
@click.option("--out", default=None, type=click.Path(), help="Folder for seconds.parquet.")
@click.option("--plot", default=None, type=click.Path(), help="File for a plot, PNG or SVG.")
@VARIABLES
def run(file, seed, out, plot, pairs):
    """Simulate the day in FILE once."""
    from ..model.play import Play

    day = site_errors(lambda: read_day(file, sockets=False, **parse_variables(pairs)))
    began = time.perf_counter()
    play = Play(day, seed).run()
    took = time.perf_counter() - began
    click.echo(json.dumps(play.totals()))
    click.echo(
        f"{len(day.boxes)} boxes, {day.site.managers} managers, {day.length_s:g} s in {took:.2f} s: "
        f"{day.length_s / took:.1f} times real time",
        err=True,
    )
    for fault in play.faults[:10]:
        click.echo(f"fault: {fault}", err=True)
    if out:
        from ..model.results import write

        click.echo(f"written: {write(play, out)}", err=True)
    if plot:
        from ..model.results import draw

        draw(play, plot)


SEEDS = click.option("--seeds", default=20, show_default=True, help="Number of seeds, from 1.")
PROCESSES = click.option("--processes", default=max(1, (os.cpu_count() or 2) - 1), show_default=True)


@model.command()
@click.argument("file", type=click.Path())
@SEEDS
@PROCESSES
@VARIABLES
def sweep(file, seeds, processes, pairs):
    """Simulate FILE with many seeds: mean and 95% interval of each figure."""
    from ..model import experiment

    given = parse_variables(pairs)
    site_errors(lambda: read_day(file, sockets=False, **given))
    totals = experiment.sweep(file, range(1, seeds + 1), processes, **given)
    for name in experiment.figures(totals[1]):
        click.echo(f"{name:>10}  {experiment.interval(experiment.figures(t)[name] for t in totals.values())}")
    for name in ("fell", "faults", "under_floor"):
        click.echo(f"{name:>10}  {sum(t[name] for t in totals.values())} in all")


@model.command()
@click.argument("one", type=click.Path())
@click.argument("other", type=click.Path())
@SEEDS
@PROCESSES
@click.option("--set", "pairs", multiple=True, metavar="NAME=VALUE", help="For both files.")
@click.option("--set-one", multiple=True, metavar="NAME=VALUE", help="For the first only.")
@click.option("--set-other", multiple=True, metavar="NAME=VALUE", help="For the other only.")
def compare(one, other, seeds, processes, pairs, set_one, set_other):
    """ONE minus OTHER, paired by seed, with 95% intervals."""
    from ..model import experiment

    totals = []
    for file, own in ((one, set_one), (other, set_other)):
        given = {**parse_variables(pairs), **parse_variables(own)}
        site_errors(lambda file=file, given=given: read_day(file, sockets=False, **given))
        totals.append(experiment.sweep(file, range(1, seeds + 1), processes, **given))
    for name, value in experiment.compare(*totals).items():
        clear = "" if abs(value.mean) <= value.half else "  clear of 0"
        click.echo(f"{name:>10}  {value.mean:+.4f} +- {value.half:.4f} ({value.count} pairs){clear}")
