"""flaxscale hunt: search for the day that hurts most."""

import os
import sys
import tempfile

import click
import msgspec

from ..lab.shapes import faults, read_day
from ..site.load import raise_first_fault
from . import EXIT_BAD_INPUT, EXIT_RULE_BROKEN, site_errors


def told(p):
    names = [
        f"{row.what}{' ' + row.kind if row.what in ('way', 'disk') else ''} {row.at_s:g}+{row.for_s:g}"
        for row in p.troubles
    ]
    what = ", ".join(sorted({kind for kind, _ in p.outcome.breaks})) or (
        "does not come back" if p.outcome.back is False else f"loses {p.outcome.loss:.1%}"
    )
    return f"play {p.number}, seed {p.seed}: {what}; {', '.join(names)}"


@click.command()
@click.argument("file", type=click.Path())
@click.option("--budget", default=500, show_default=True, help="Days to play in all, whole generations of 16.")
@click.option("--jobs", default=max(1, (os.cpu_count() or 2) - 2), show_default=True, help="Plays at a time.")
@click.option("--seed", default=1, show_default=True, help="Of the hunt; with --replay, the day's.")
@click.option("--seeds", default=3, show_default=True, help="Seeds of the day that plays go through in turn.")
@click.option("--out", default=None, type=click.Path(), help="Folder of the hunt; one that was stopped goes on there.")
@click.option("--on", default="model", type=click.Choice(["model", "processes"]), show_default=True)
@click.option("--plain", is_flag=True, help="Draw each day anew, learning nothing: for comparison.")
@click.option("--worst", default=3, show_default=True, help="Days to shrink and keep.")
@click.option("--replay", is_flag=True, help="Play FILE itself, in virtual time and by processes.")
def hunt(file, budget, jobs, seed, seeds, out, on, plain, worst, replay):
    """Search for troubles on the day of FILE that break a rule, or from which its fleet does not come back, or that
    cost it most. Exit status 3 where a rule or a promise broke."""
    from ..lab import hunts

    if replay:
        day = site_errors(lambda: read_day(file, sockets=None))
        with tempfile.TemporaryDirectory() as folder:
            found = hunts.replayed(day, seed, out or folder)
        for player, outcome in found.items():
            if isinstance(outcome, str):
                click.echo(f"{player}: not played: {outcome}")
                continue
            for kind, text in outcome.breaks:
                click.echo(f"{player}: {kind}: {text}")
            back = {True: "came back", False: "did not come back", None: "can't be told whether it came back"}
            lost = f", loses {outcome.loss:.1%} of what could be served" if player == "virtual time" else ""
            click.echo(f"{player}: {len(outcome.breaks)} breaks, {back[outcome.back]}{lost}")
        if first := hunts.difference(found):
            click.echo(f"the players differ: {first}")
        sys.exit(EXIT_RULE_BROKEN if any(not isinstance(o, str) and o.breaks for o in found.values()) else 0)
    if out is None:
        raise click.UsageError("--out FOLDER expected, for the hunt's log")
    day = site_errors(lambda: quiet_day(file, on == "processes"))
    try:
        hunting = hunts.Hunting(day, out, seed, jobs, seeds, plain, on == "processes")
    except (ValueError, OSError) as bad:
        click.echo(f"flaxscale: {bad}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    if hunting.resumed:
        click.echo(f"goes on after {hunting.resumed} plays", err=True)
    broke = 0

    def said(p):
        nonlocal broke
        if p.outcome.breaks or p.outcome.back is False:
            broke += bool(p.outcome.breaks)
            click.echo(told(p))

    hunting.run(budget, said)
    plays = hunting.hunt.played
    click.echo(
        f"{len(plays)} plays of {day.site.name}: {broke} broke something, "
        f"{sum(p.outcome.back is False for p in plays)} did not come back, "
        f"{len(hunting.hunt.marks)} marks reached"
    )
    for p in hunting.hunt.worst(worst):
        small, tries = hunting.smallest(p)
        click.echo(
            f"{told(p)}; {len(p.troubles)} troubles, {len(small)} after {tries} plays: {hunting.keep(p, small, file)}"
        )
    sys.exit(EXIT_RULE_BROKEN if broke else 0)


def quiet_day(file, sockets):
    """The day without its own troubles, checked for who will play it."""
    day = msgspec.structs.replace(read_day(file, sockets=None), troubles=[])
    raise_first_fault(file, faults(day, sockets))
    return day
