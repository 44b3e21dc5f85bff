"""flaxscale audit: which manager acted on which versions, from records."""

import json
import pathlib
import sys
from collections import Counter

import click

from ..rules.audit import judge
from . import EXIT_BAD_INPUT

BEHIND = 4  # exit status: a contradiction, or managers that go by different versions
FIELDS = "build", "settings", "list_version", "catalogue", "peaks", "members"


def show_findings(judged, as_json):
    for f in judged.findings[: None if as_json else 50]:
        click.echo(json.dumps(f._asdict()) if as_json else f"{f.what}: {f.manager} {f.key}: {f.detail}")


@click.group()
def audit():
    """Who did what under which versions, by the managers' own accounts and by what boxes saw."""


@audit.command()
@click.argument("folder", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each finding, and one for the sums.")
def day(folder, as_json):
    """Join both accounts of a day's records in FOLDER; status 4 where they contradict each other."""
    judged = judge(folder)
    show_findings(judged, as_json)
    if as_json:
        click.echo(json.dumps({"actions": judged.actions, "agreed": judged.agreed, "findings": len(judged.findings)}))
    else:
        click.echo(judged.line())
    sys.exit(BEHIND if judged.bad() else 0)


@audit.command()
@click.argument("name")
@click.option("--records", "folder", required=True, type=click.Path(exists=True, path_type=pathlib.Path))
def viewing(name, folder):
    """All that was done for a viewing or a set-up whose name begins with NAME, with the versions in force."""
    judged, found = judge(folder), 0
    for file in sorted(folder.glob("account-*.jsonl")):
        life = None
        for text in file.read_text().splitlines():
            row = json.loads(text)
            life = (row["manager"], row["life"]) if row["what"] == "life" else life
            if row["what"] == "did" and row["key"].startswith(name):
                found += 1
                stamp = judged.stamps.get(life, {}).get(row["number"])
                at = f" at box {row['box']}" if row["box"] else ""
                click.echo(
                    f"{life[0]} {row['kind']} {row['key']}{at}, stamp {row['number']}: "
                    + (", ".join(f"{f} {stamp[f]}" for f in FIELDS) if stamp else "unknown")
                )
    if not found:
        click.echo(f"flaxscale: {name}: nothing of this name in {folder}", err=True)
        sys.exit(EXIT_BAD_INPUT)


@audit.command()
@click.argument("number", type=int)
@click.option("--records", "folder", required=True, type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--since", default=0.0, help="Seconds of the day; actions from then on.")
def version(number, folder, since):
    """All that managers did under version NUMBER of the catalogue, by manager and kind, and at which boxes."""
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
                at = stamps.get(row["number"], {}).get("catalogue")
                if at and at[1] == number:
                    found[(*life, at[0], row["kind"], row["box"])] += 1
    for (manager, life, epoch, kind, box), count in sorted(found.items()):
        click.echo(f"{manager} (life {life}), epoch {epoch}: {count} {kind}" + (f" at box {box}" if box else ""))
    if not found:
        click.echo(f"flaxscale: version {number}: nothing was done under it in {folder}", err=True)
        sys.exit(EXIT_BAD_INPUT)


@audit.command()
@click.argument("folder", type=click.Path(exists=True))
def account(folder):
    """A manager's own account in FOLDER (STATE/account-mN; while that manager does not run), as JSON lines."""
    import msgspec

    from ..audit.account import plain, rows_of
    from ..store.files import Files
    from ..store.log import Log, StoreError

    try:
        rows = rows_of(Log(Files(folder)).found)
    except (StoreError, ValueError, OSError) as bad:
        click.echo(f"flaxscale: {folder}: {bad}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    for row in rows:
        click.echo(msgspec.json.encode(plain(row)).decode())
