"""flaxscale report: one HTML page of a day, for who was not there."""

import json
import pathlib
import sys

import click

from . import EXIT_BAD_INPUT


@click.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--out", default=None, type=click.Path(path_type=pathlib.Path), help="The page; FOLDER/report.html if left out."
)
def report(folder, out):
    """Write a page of what happened on the day whose records are in FOLDER: processes, who could reach whom, versions,
    leases, take-overs and answers on one time line."""
    from ..report.page import page
    from ..report.story import Records, tell
    from ..rules.audit import judge, rows_of
    from ..rules.check import RULES, check
    from ..rules.comeback import of_day
    from ..rules.duties import NAMES as DUTIES
    from ..rules.duties import duties
    from ..rules.promises import NAMES, promises
    from ..rules.records import RecordError

    try:
        verdict, unkept, back = check(folder), [*promises(folder), *duties(folder)], of_day(folder)
        day = json.loads((folder / "day.json").read_text())
    except (RecordError, OSError, ValueError) as bad:
        click.echo(f"flaxscale: {bad}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    lab, clients = rows_of(folder / "lab.jsonl"), rows_of(folder / "clients.jsonl")
    began = next((r["at"] for r in lab if r["what"] == "begin"), 0)
    breaks = [(f"rule {b.rule} ({RULES[b.rule - 1]})", (b.at - began) / 10_000, b.detail) for b in verdict.breaks]
    breaks += [((NAMES | DUTIES)[b.rule], (b.at - began) / 10_000, b.detail) for b in unkept]
    fronts = {f"m{file.stem.partition('-')[2]}": rows_of(file) for file in sorted(folder.glob("front-*.log"))}
    accounts = any(folder.glob("account-*.jsonl"))
    boxes = {file.name: rows_of(file) for file in sorted(folder.glob("box-*.jsonl"))}
    catalogue = folder / "catalogue.jsonl"
    story = tell(
        Records(
            day,
            lab,
            clients,
            boxes,
            rows_of(catalogue) if catalogue.exists() else [],
            fronts,
            judge(folder).findings if accounts else [],
        )
    )
    file = out or folder / "report.html"
    try:
        file.write_text(
            page(story, clients, sorted(breaks, key=lambda b: b[1]), verdict.line(), back.said if back else "")
        )
    except OSError as bad:
        click.echo(f"flaxscale: {file}: can't be written: {bad.strerror}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    click.echo(f"{file}: {len(breaks)} breaks, {len(story.take_overs)} taken over, {len(story.twos)} told in two ways")
