"""flaxscale day, check and config."""

import pathlib
import sys

import click

from ..lab import timeline
from ..lab.day import DayRun
from ..lab.shapes import read_day
from ..rules.check import RULES, check
from ..rules.comeback import of_day
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
@click.option("--timeline/--no-timeline", "shown", default=None, help="Print what came when; usual where a rule broke.")
def day(file, seed, out, shown):
    """Play a day of FILE (Jsonnet) on loopback and write what passed on the sockets."""
    found = site_errors(lambda: read_day(file))
    folder = pathlib.Path(out)
    if folder.exists() and any(folder.iterdir()):
        click.echo(f"flaxscale: {out}: an empty folder expected; nothing was written", err=True)
        sys.exit(EXIT_BAD_INPUT)
    run = DayRun(found, seed, out, logger("info", None))
    service.run(run.run())
    sys.exit(judge(out, shown))


@click.command("check")
@click.argument("folder", type=click.Path())
@click.option("--timeline/--no-timeline", "shown", default=False, help="Print what came when beside what broke.")
def check_command(folder, shown):
    """Judge the six rules, what is promised of work in hand, and what was done under leases, by FOLDER's records."""
    sys.exit(judge(folder, shown))


def judge(folder, shown):
    """shown: the time line too; None: where a rule broke."""
    try:
        verdict, unkept = check(folder), [*promises(folder), *duties(folder)]
    except RecordError as bad:
        click.echo(f"flaxscale: {bad}", err=True)
        return EXIT_BAD_INPUT
    if shown or shown is None and (verdict.breaks or unkept):
        for at, text in timeline.lines(folder, [*verdict.breaks, *unkept]):
            click.echo(f"{at:8.2f} s  {text}")
    click.echo("players saw: " + ", ".join(f"{name} {n}" for name, n in sorted(verdict.counts.items())))
    for b in verdict.breaks[:50]:
        click.echo(f"rule {b.rule} ({RULES[b.rule - 1]}) broken: {b.detail}")
    if len(verdict.breaks) > 50:
        click.echo(f"... and {len(verdict.breaks) - 50} more")
    for b in unkept[:50]:
        click.echo(f"promise ({PROMISED[b.rule]}) not kept: {b.detail}")
    if (back := of_day(folder)) is not None and back.back is not None:
        click.echo(f"the fleet {'came' if back.back else 'did not come'} back: {back.said}")
    click.echo(verdict.line())
    return EXIT_RULE_BROKEN if verdict.breaks or unkept else 0


@click.group()
def config():
    """Look at configuration."""


@config.command("check")
@click.argument("file", type=click.Path())
def config_check(file):
    """Check a site's or a day's FILE."""

    def run():
        text = evaluate_jsonnet(file)
        if '"demand"' in text and '"boxes"' in text:
            found = read_day(file, sockets=None)
            click.echo(
                f"{file}: a day of {found.length_s:g} s on {found.site.name}: {len(found.boxes)} boxes, "
                f"{found.site.managers} managers, {len(found.troubles)} troubles"
            )
        else:
            found = read_site(file)
            click.echo(f"{file}: the site {found.name}: {len(found.packages)} packages, {len(found.titles)} titles")

    site_errors(run)
