"""The commands flaxscale day, check and config."""

import pathlib
import sys

import click

from ..lab import timeline
from ..lab.day import DayRun
from ..lab.shapes import read_day
from ..rules.check import RULES, check
from ..rules.comeback import judge_day
from ..rules.duties import NAMES as DUTIES
from ..rules.duties import duties
from ..rules.promises import NAMES, promises
from ..rules.records import RecordError
from ..site.load import evaluate_jsonnet
from ..site.terms import read_site
from . import EXIT_BAD_INPUT, EXIT_RULE_BROKEN, service, site_errors
from .logs import logger

PROMISED = NAMES | DUTIES


@click.command()
@click.argument("file", type=click.Path())
@click.option("--seed", default=1, show_default=True)
@click.option("--out", required=True, type=click.Path(), help="Folder for the records; must be empty or new.")
@click.option(
    "--timeline/--no-timeline",
    "show_timeline",
    default=None,
    help="Print the events by time; default: only where a rule was broken.",
)
def day(file, seed, out, show_timeline):
    """Play a day of FILE (Jsonnet) on loopback and write the records of its sockets."""
    found = site_errors(lambda: read_day(file))
    folder = pathlib.Path(out)
    if folder.exists() and any(folder.iterdir()):
        click.echo(f"flaxscale: {out}: the folder is not empty; nothing was written", err=True)
        sys.exit(EXIT_BAD_INPUT)
    run = DayRun(found, seed, out, logger("info", None))
    service.run(run.run())
    sys.exit(report_day(out, show_timeline))


@click.command("check")
@click.argument("folder", type=click.Path())
@click.option(
    "--timeline/--no-timeline", "show_timeline", default=False, help="Print the events by time, with the violations."
)
def check_command(folder, show_timeline):
    """Check the six rules, the promises for set-ups and sessions, and the work under leases by FOLDER's records."""
    sys.exit(report_day(folder, show_timeline))


def report_day(folder, show_timeline):
    """Prints the verdict on the records of a folder; returns the exit status.

    show_timeline: print the timeline too; None: only where a rule or promise was broken.
    """
    try:
        verdict, unkept = check(folder), [*promises(folder), *duties(folder)]
    except RecordError as error:
        click.echo(f"flaxscale: {error}", err=True)
        return EXIT_BAD_INPUT
    if show_timeline or show_timeline is None and (verdict.breaks or unkept):
        for at, text in timeline.lines(folder, [*verdict.breaks, *unkept]):
            click.echo(f"{at:8.2f} s  {text}")
    click.echo("players saw: " + ", ".join(f"{name} {n}" for name, n in sorted(verdict.counts.items())))
    for violation in verdict.breaks[:50]:
        click.echo(f"rule {violation.rule} ({RULES[violation.rule - 1]}) broken: {violation.detail}")
    if len(verdict.breaks) > 50:
        click.echo(f"... and {len(verdict.breaks) - 50} more")
    for violation in unkept[:50]:
        click.echo(f"promise ({PROMISED[violation.rule]}) not kept: {violation.detail}")
    if (back := judge_day(folder)) is not None and back.recovered is not None:
        click.echo(f"the fleet {'came' if back.recovered else 'did not come'} back: {back.summary}")
    click.echo(verdict.line())
    return EXIT_RULE_BROKEN if verdict.breaks or unkept else 0


@click.group()
def config():
    """Inspect configuration files."""


@config.command("check")
@click.argument("file", type=click.Path())
def config_check(file):
    """Check a site file or a day file."""

    def run():
        text = evaluate_jsonnet(file)
        if '"demand"' in text and '"boxes"' in text:
            day_file = read_day(file, sockets=None)
            click.echo(
                f"{file}: a day of {day_file.length_s:g} s on {day_file.site.name}: {len(day_file.boxes)} boxes, "
                f"{day_file.site.managers} managers, {len(day_file.troubles)} troubles"
            )
        else:
            site = read_site(file)
            click.echo(f"{file}: the site {site.name}: {len(site.packages)} packages, {len(site.titles)} titles")

    site_errors(run)
