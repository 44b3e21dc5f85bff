"""flaxscale hunt: searches for the troubles that harm a day's fleet most."""

import os
import sys
import tempfile

import click
import msgspec

from ..lab.shapes import faults, read_day
from ..site.load import raise_first_fault
from . import EXIT_BAD_INPUT, EXIT_RULE_BROKEN, site_errors


def describe(play):
    """One line about a play: number, seed, result and troubles."""
    names = [
        f"{row.what}{' ' + row.kind if row.what in ('way', 'disk') else ''} {row.at_s:g}+{row.for_s:g}"
        for row in play.troubles
    ]
    result = ", ".join(sorted({kind for kind, _ in play.outcome.breaks})) or (
        "does not come back" if play.outcome.back is False else f"loses {play.outcome.loss:.1%}"
    )
    return f"play {play.number}, seed {play.seed}: {result}; {', '.join(names)}"


@click.command()
@click.argument("file", type=click.Path())
@click.option(
    "--budget", default=500, show_default=True, help="Days to play in all, rounded up to whole generations of 16."
)
@click.option("--jobs", default=max(1, (os.cpu_count() or 2) - 2), show_default=True, help="Plays to run in parallel.")
@click.option("--seed", default=1, show_default=True, help="Seed of the hunt; with --replay, seed of the day.")
@click.option("--seeds", default=3, show_default=True, help="Number of seeds of the day that plays cycle through.")
@click.option("--out", default=None, type=click.Path(), help="Folder of the hunt; a stopped hunt is resumed from it.")
@click.option("--on", default="model", type=click.Choice(["model", "processes"]), show_default=True)
@click.option("--plain", is_flag=True, help="Draw each day at random, without guidance, as a baseline.")
@click.option("--worst", default=3, show_default=True, help="Number of worst days to minimize and write as files.")
@click.option("--replay", is_flag=True, help="Play FILE itself, in virtual time and by processes.")
def hunt(file, budget, jobs, seed, seeds, out, on, plain, worst, replay):
    """Search for troubles on the day of FILE that break a rule, from which the fleet does not recover, or that cost
    the most service. Exit status 3 if a rule or a promise was broken."""
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
            recovery = {True: "recovered", False: "did not recover", None: "recovery undecided"}
            lost = f", loses {outcome.loss:.1%} of what could be served" if player == "virtual time" else ""
            click.echo(f"{player}: {len(outcome.breaks)} breaks, {recovery[outcome.back]}{lost}")
        if first := hunts.difference(found):
            click.echo(f"the players differ: {first}")
        sys.exit(EXIT_RULE_BROKEN if any(not isinstance(o, str) and o.breaks for o in found.values()) else 0)
    if out is None:
        raise click.UsageError("--out FOLDER is required: the hunt keeps its log there")
    day = site_errors(lambda: quiet_day(file, on == "processes"))
    try:
        hunting = hunts.Hunting(day, out, seed, jobs, seeds, plain, on == "processes")
    except (ValueError, OSError) as error:
        click.echo(f"flaxscale: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    if hunting.resumed:
        click.echo(f"resumed after {hunting.resumed} plays", err=True)
    broken_plays = 0

    def report_failure(play):
        nonlocal broken_plays
        if play.outcome.breaks or play.outcome.back is False:
            broken_plays += bool(play.outcome.breaks)
            click.echo(describe(play))

    hunting.run(budget, report_failure)
    plays = hunting.hunt.played
    click.echo(
        f"{len(plays)} plays of {day.site.name}: {broken_plays} broke something, "
        f"{sum(play.outcome.back is False for play in plays)} did not come back, "
        f"{len(hunting.hunt.marks)} marks reached"
    )
    for play in hunting.hunt.worst(worst):
        small, tries = hunting.smallest(play)
        click.echo(
            f"{describe(play)}; {len(play.troubles)} troubles, {len(small)} after {tries} plays: "
            f"{hunting.keep(play, small, file)}"
        )
    sys.exit(EXIT_RULE_BROKEN if broken_plays else 0)


def quiet_day(file, sockets):
    """The day without its own troubles, validated for the player: processes or the model."""
    day = msgspec.structs.replace(read_day(file, sockets=None), troubles=[])
    raise_first_fault(file, faults(day, sockets))
    return day
