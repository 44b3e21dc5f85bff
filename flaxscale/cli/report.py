"""flaxscale report: writes an HTML page of the events of a day from its records."""

import json
import pathlib
import sys

import click

from . import EXIT_BAD_INPUT


@click.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--out", default=None, type=click.Path(path_type=pathlib.Path), help="File to write; FOLDER/report.html by default."
)
def report(folder, out):
    """Write an HTML page of the day whose records are in FOLDER: processes, unreachable peers, versions, leases,
    take-overs and answers on one time line."""
    from ..report.page import page
    from ..report.story import Records, build_story
    from ..rules.audit import judge, read_rows
    from ..rules.check import RULES, check
    from ..rules.comeback import judge_day
    from ..rules.duties import NAMES as DUTIES
    from ..rules.duties import duties
    from ..rules.promises import NAMES, promises
    from ..rules.records import RecordError

    try:
        verdict, broken_promises, back = check(folder), [*promises(folder), *duties(folder)], judge_day(folder)
        day = json.loads((folder / "day.json").read_text())
    except (RecordError, OSError, ValueError) as error:
        click.echo(f"flaxscale: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    lab, clients = read_rows(folder / "lab.jsonl"), read_rows(folder / "clients.jsonl")
    start_at = next((row["at"] for row in lab if row["what"] == "begin"), 0)
    breaks = [(f"rule {b.rule} ({RULES[b.rule - 1]})", (b.at - start_at) / 10_000, b.detail) for b in verdict.breaks]
    breaks += [((NAMES | DUTIES)[b.rule], (b.at - start_at) / 10_000, b.detail) for b in broken_promises]
    fronts = {f"m{file.stem.partition('-')[2]}": read_rows(file) for file in sorted(folder.glob("front-*.log"))}
    accounts = any(folder.glob("account-*.jsonl"))
    boxes = {file.name: read_rows(file) for file in sorted(folder.glob("box-*.jsonl"))}
    catalogue = folder / "catalogue.jsonl"
    story = build_story(
        Records(
            day,
            lab,
            clients,
            boxes,
            read_rows(catalogue) if catalogue.exists() else [],
            fronts,
            judge(folder).findings if accounts else [],
        )
    )
    file = out or folder / "report.html"
    try:
        file.write_text(
            page(story, clients, sorted(breaks, key=lambda b: b[1]), verdict.line(), back.summary if back else "")
        )
    except OSError as error:
        click.echo(f"flaxscale: {file}: can't be written: {error.strerror}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    click.echo(
        f"{file}: {len(breaks)} breaks, {len(story.take_overs)} taken over, {len(story.twos)} conflicting accounts"
    )
