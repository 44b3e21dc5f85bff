"""flaxscale audit and fleet: which manager acted, or acts, on which versions."""
import asyncio
import json
import pathlib
import sys

import click

from ..rules.audit import judge
from . import BAD, service

BEHIND = 4                  # exit status: a contradiction, or managers that go by different versions
ANSWER_S = 2.0
FIELDS = "build", "settings", "list_version", "catalogue", "peaks", "members"


@click.group()
def audit():
    """Who did what under which versions, by the managers' own accounts and by what boxes saw."""


@audit.command()
@click.argument("folder", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON line for each finding, and one for the sums.")
def day(folder, as_json):
    """Join both accounts of a day's records in FOLDER; status 4 where they contradict each other."""
    judged = judge(folder)
    for f in judged.findings[:None if as_json else 50]:
        click.echo(json.dumps(f._asdict()) if as_json else f"{f.what}: {f.manager} {f.key}: {f.detail}")
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
                click.echo(f"{life[0]} {row['kind']} {row['key']}{at}, stamp {row['number']}: "
                           + (", ".join(f"{f} {stamp[f]}" for f in FIELDS) if stamp else "unknown"))
    if not found:
        click.echo(f"flaxscale: {name}: nothing of this name in {folder}", err=True)
        sys.exit(BAD)


@audit.command()
@click.argument("folder", type=click.Path(exists=True))
def account(folder):
    """A manager's own account in FOLDER (STATE/account-mN; while that manager does not run), as JSON lines."""
    import msgspec

    from ..audit.account import rows_of
    from ..lab.accounts import told
    from ..store.files import Files
    from ..store.log import Log, StoreError
    try:
        rows = rows_of(Log(Files(folder)).found)
    except (StoreError, ValueError, OSError) as bad:
        click.echo(f"flaxscale: {folder}: {bad}", err=True)
        sys.exit(BAD)
    for row in rows:
        click.echo(msgspec.json.encode(told(row)).decode())


@click.group()
def fleet():
    """The fleet of managers as a whole."""


async def states(addresses, token):
    """{address: the manager's state, or the text of why there is none}; each has its own limit."""
    from ..serve.pool import Answer, Pool
    pool, loop = Pool(ANSWER_S), asyncio.get_running_loop()

    async def one(address):
        host, _, port = address.rpartition(":")
        came = loop.create_future()
        pool.send(host, int(port), "GET", "/state", [("Authorization", f"Bearer {token}")] if token else [], b"",
                  lambda result: came.done() or came.set_result(result))
        try:
            result = await asyncio.wait_for(came, ANSWER_S)
        except asyncio.TimeoutError:
            return f"no answer within {ANSWER_S:g} s"
        if not isinstance(result, Answer) or result.status != 200:
            return getattr(result, "detail", None) or f"status {result.status}"
        return json.loads(result.body)
    try:
        return dict(zip(addresses, await asyncio.gather(*(one(a) for a in addresses))))
    finally:
        await pool.close()


@fleet.command()
@click.option("--at", "addresses", multiple=True, required=True, metavar="HOST:PORT", help="Each manager to ask.")
@click.option("--token", default=None, help="A bearer token of the site.")
@click.option("--json", "as_json", is_flag=True)
def versions(addresses, token, as_json):
    """The versions that each manager goes by now; status 4 where they differ or one does not answer."""
    for address in addresses:
        if not address.rpartition(":")[2].isdigit():
            raise click.UsageError(f"--at {address}: HOST:PORT expected")
    found = service.run(states(addresses, token))
    rows, silent = {}, {}
    for address, state in found.items():
        if isinstance(state, dict) and "audit" in state:
            rows[state["manager"]] = {"at": address, **state["audit"]}
        else:
            silent[address] = state if isinstance(state, str) else "a build without stamps"
    # Who lives is each manager's own view; it may differ for a moment, and is shown, not judged.
    differ = [f for f in FIELDS if f != "members" and len({json.dumps(row.get(f)) for row in rows.values()}) > 1]
    if as_json:
        click.echo(json.dumps({"managers": rows, "silent": silent, "differ": differ}))
    else:
        for name, row in sorted(rows.items()):
            click.echo(f"{name} ({row['at']}): stamp {row['stamp']}: " + ", ".join(
                f"{f} {row.get(f)}" + (" (differs)" if f in differ else "") for f in FIELDS))
        for address, why in silent.items():
            click.echo(f"{address}: {why}")
    sys.exit(BEHIND if differ or silent else 0)
