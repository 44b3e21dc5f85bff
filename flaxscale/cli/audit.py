"""The commands of flaxscale audit: which manager acted under which versions, from records."""

import json
import pathlib
import sys
from collections import Counter

import click

from ..rules.audit import judge
from . import EXIT_BAD_INPUT

CONTRADICTED = 4  # exit status: a contradiction, or managers that use different versions
STAMP_FIELDS = "build", "settings", "list_version", "catalogue", "peaks", "members"


def show_findings(result, as_json):
    """Prints the findings: all as JSON lines, at most 50 as text."""
    for finding in result.findings[: None if as_json else 50]:
        click.echo(
            json.dumps(finding._asdict())
            if as_json
            else f"{finding.what}: {finding.manager} {finding.key}: {finding.detail}"
        )


@click.group()
def audit():
    """Show who did what under which versions, by the managers' accounts and the boxes' records."""


@audit.command()
@click.argument("folder", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON line per finding, and one with the totals.")
def day(folder, as_json):
    """Compare managers' accounts and boxes' records of a day in FOLDER; status 4 where they contradict each other."""
    result = judge(folder)
    show_findings(result, as_json)
    if as_json:
        click.echo(json.dumps({"actions": result.actions, "agreed": result.agreed, "findings": len(result.findings)}))
    else:
        click.echo(result.line())
    sys.exit(CONTRADICTED if result.violations() else 0)


@audit.command()
@click.argument("name")
@click.option("--records", "folder", required=True, type=click.Path(exists=True, path_type=pathlib.Path))
def viewing(name, folder):
    """Show all actions for viewings and set-ups whose key begins with NAME, with the versions in force."""
    result, found = judge(folder), 0
    for file in sorted(folder.glob("account-*.jsonl")):
        life = None
        for text in file.read_text().splitlines():
            row = json.loads(text)
            life = (row["manager"], row["life"]) if row["what"] == "life" else life
            if row["what"] == "did" and row["key"].startswith(name):
                found += 1
                stamp = result.stamps.get(life, {}).get(row["number"])
                place = f" at box {row['box']}" if row["box"] else ""
                click.echo(
                    f"{life[0]} {row['kind']} {row['key']}{place}, stamp {row['number']}: "
                    + (", ".join(f"{field} {stamp[field]}" for field in STAMP_FIELDS) if stamp else "unknown")
                )
    if not found:
        click.echo(f"flaxscale: {name}: no action of this name in {folder}", err=True)
        sys.exit(EXIT_BAD_INPUT)


@audit.command()
@click.argument("number", type=int)
@click.option("--records", "folder", required=True, type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--since", default=0.0, help="Second of the day from which actions are shown.")
def version(number, folder, since):
    """Count the managers' actions under version NUMBER of the catalogue, by manager, kind and box."""
    lab = folder / "lab.jsonl"
    rows = [json.loads(line) for line in lab.read_text().splitlines()] if lab.exists() else []
    began = next((row["at"] for row in rows if row["what"] == "begin"), 0)
    found = Counter()
    for file in sorted(folder.glob("account-*.jsonl")):
        life, stamps = None, {}
        for text in file.read_text().splitlines():
            row = json.loads(text)
            if row["what"] == "life":
                life, stamps = (row["manager"], row["life"]), {}
            elif row["what"] == "stamp":
                stamps[row["number"]] = row["stamp"]
            elif row["what"] == "did" and row["at"] >= began + since * 10_000:
                in_force = stamps.get(row["number"], {}).get("catalogue")
                if in_force and in_force[1] == number:
                    found[(*life, in_force[0], row["kind"], row["box"])] += 1
    for (manager, life, epoch, kind, box), count in sorted(found.items()):
        click.echo(f"{manager} (life {life}), epoch {epoch}: {count} {kind}" + (f" at box {box}" if box else ""))
    if not found:
        click.echo(f"flaxscale: version {number}: no action under it in {folder}", err=True)
        sys.exit(EXIT_BAD_INPUT)


@audit.command()
@click.argument("folder", type=click.Path(exists=True))
def account(folder):
    """Print a manager's account in FOLDER (STATE/account-mN) as JSON lines. The manager must not be running."""
    import msgspec

    from ..audit.account import as_plain, rows_in
    from ..store.files import Files
    from ..store.log import Log, StoreError

    try:
        rows = rows_in(Log(Files(folder)).found)
    except (StoreError, ValueError, OSError) as error:
        click.echo(f"flaxscale: {folder}: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    for row in rows:
        click.echo(msgspec.json.encode(as_plain(row)).decode())
