"""flaxscale fleet: compares all managers (versions, stragglers), sets the version floor, audits their accounts."""

import asyncio
import json
import pathlib
import sys
import tempfile

import click

from ..rules.audit import judge
from . import EXIT_BAD_INPUT, service
from .audit import CONTRADICTED, STAMP_FIELDS, show_findings
from .catalogue import EXIT_REFUSED, RETRY_FOR_S, service_command, user_name

REQUEST_TIMEOUT_S = 2.0  # seconds to connect, and seconds for the answer


@click.group()
def fleet():
    """Query and control all managers of a fleet."""


async def fetch_all(addresses, token, path="/state"):
    """Asks all addresses at once, each under its own time-out.

    Returns {address: the bytes of the answer, or a text with the reason why there is none}.
    """
    from ..serve.pool import Pool

    pool = Pool(REQUEST_TIMEOUT_S)

    async def fetch(address):
        host, _, port = address.rpartition(":")
        try:
            result = await pool.fetch(
                host,
                int(port),
                "GET",
                path,
                [("Authorization", f"Bearer {token}")] if token else [],
                b"",
                REQUEST_TIMEOUT_S,
            )
        except OSError as error:
            return str(error)
        return result.body if result.status == 200 else f"status {result.status}"

    try:
        return dict(zip(addresses, await asyncio.gather(*(fetch(address) for address in addresses))))
    finally:
        await pool.close()


async def fetch_states(addresses, token):
    """Returns {address: the parsed /state of a manager, or a text with the reason why there is none}."""
    answers = await fetch_all(addresses, token)
    return {at: json.loads(body) if isinstance(body, bytes) else body for at, body in answers.items()}


def managers_options(command):
    """Adds the options of a command that asks managers."""

    def check_addresses(ctx, param, value):
        for address in value:
            if not address.rpartition(":")[2].isdigit():
                raise click.BadParameter(f"{address}: HOST:PORT expected")
        return value

    for option in (
        click.option("--json", "as_json", is_flag=True, help="JSON lines."),
        click.option("--token", default=None, help="A bearer token of the site."),
        click.option(
            "--at",
            "addresses",
            multiple=True,
            required=True,
            metavar="HOST:PORT",
            callback=check_addresses,
            help="A manager to ask; may be repeated.",
        ),
    ):
        command = option(command)
    return command


@fleet.command()
@managers_options
def versions(addresses, token, as_json):
    """Show the versions that each manager uses. Exit status 4 where they differ or a manager does not answer."""
    rows, silent = {}, {}
    for address, state in service.run(fetch_states(addresses, token)).items():
        if isinstance(state, dict) and "audit" in state:
            rows[state["manager"]] = {"at": address, **state["audit"]}
        else:
            silent[address] = state if isinstance(state, str) else "its build has no version stamps"
    # The set of live members is each manager's own view and may differ briefly: it is shown but does not count as a
    # difference.
    differ = [f for f in STAMP_FIELDS if f != "members" and len({json.dumps(row.get(f)) for row in rows.values()}) > 1]
    if as_json:
        click.echo(json.dumps({"managers": rows, "silent": silent, "differ": differ}))
    else:
        for name, row in sorted(rows.items()):
            click.echo(
                f"{name} ({row['at']}): stamp {row['stamp']}: "
                + ", ".join(f"{f} {row.get(f)}" + (" (differs)" if f in differ else "") for f in STAMP_FIELDS)
            )
        for address, why in silent.items():
            click.echo(f"{address}: {why}")
    sys.exit(CONTRADICTED if differ or silent else 0)


def last_known_row(name, states):
    """Returns (age in seconds, row) of the latest report that other managers have of `name`, or None."""
    rows = [
        (row["heard_s_ago"], row)
        for state in states
        for row in [state["fleet"].get("rows", {}).get(name)]
        if row is not None and name != state["manager"]
    ]
    return min(rows, key=lambda pair: pair[0], default=None)


@fleet.command()
@managers_options
def stragglers(addresses, token, as_json):
    """Show which managers are behind, since when and why, as known to each that answers.

    Exit status 4 where one is behind or does not answer.
    """
    states = service.run(fetch_states(addresses, token))
    answering = [s for s in states.values() if isinstance(s, dict) and s.get("fleet", {}).get("on")]
    lines = []
    for state in sorted(answering, key=lambda s: s["manager"]):
        own = state["fleet"]
        if own["shut_out_for_s"] is not None:
            lines.append(
                {
                    "name": state["manager"],
                    "why": "shut out",
                    "since_s": own["shut_out_for_s"],
                    "floor": own["floor"],
                    "by": state["manager"],
                }
            )
        lines += [{**row, "by": state["manager"]} for row in own["stragglers"]]
    answered = {s["manager"] for s in answering}
    for name in sorted({name for s in answering for name in s["fleet"]["rows"]} - answered):
        age, row = last_known_row(name, answering)
        lines.append(
            {
                "name": name,
                "why": "not asked or no answer",
                "since_s": age,
                "by": None,
                "last_known": [row["epoch"], row["version"]],
                "up": row["up"],
            }
        )
    silent = {
        at: s if isinstance(s, str) else "version exchange between managers is off"
        for at, s in states.items()
        if s not in answering
    }
    for line in lines:
        if as_json:
            click.echo(json.dumps(line))
            continue
        at, newest = line.get("at"), line.get("newest")
        by = f" (by {line['by']})" if line["by"] else ""
        where = (
            f", at version {at[1]}"
            if at
            else f", last known at {line['last_known'][1]}"
            if ("last_known" in line)
            else f", under the floor {line['floor']}"
            if "floor" in line
            else ""
        )
        click.echo(
            f"{line['name']}: {line['why']} for {line['since_s']:.1f} s{where}"
            + (f" of {newest[1]}" if newest else "")
            + by
        )
    for at, why in silent.items():
        click.echo(json.dumps({"at": at, "why": why}) if as_json else f"{at}: {why}")
    if not lines and not silent and not as_json:
        click.echo(
            f"no manager is behind: {len(answering)} managers at version {answering[0]['fleet']['newest'][1]}"
            if answering and answering[0]["fleet"]["newest"]
            else "no manager has a version yet"
        )
    sys.exit(CONTRADICTED if lines or silent else 0)


@fleet.command()
@click.argument("version", type=int, required=False)
@click.option("--force", is_flag=True, help="Raise it regardless of how many managers it shuts out.")
@click.option("--why", default="", help="Reason, stored with the floor.")
@service_command
async def floor(client, version, force, why):
    """Raise the floor to VERSION of the catalogue: managers at an earlier version may not act from then on.

    Without VERSION, show the current floor. --at is the catalogue service.
    """
    from ..catalogued.client import new_id
    from ..proto import catalogue_pb2 as pb

    reply = await client.call(
        "Floor",
        pb.FloorRequest(floor=version or 0, force=force, who=user_name(), why=why, id=new_id()),
        retry_for_s=RETRY_FOR_S,
    )
    if reply.refused:
        click.echo(f"refused: {reply.refused}", err=True)
        return EXIT_REFUSED
    under = f"; under it: {', '.join(reply.under)}" if reply.under else ""
    floor_text = f"floor {reply.floor}" if reply.floor else "no floor"
    click.echo(f"epoch {reply.epoch}, version {reply.version}: {floor_text}{under}")


@fleet.command("audit")
@managers_options
@click.option(
    "--records",
    "folder",
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Folder of the boxes' own records.",
)
@click.option("--since", default=0.0, help="Seconds on each manager's monotonic clock; earlier rows are not fetched.")
def audit_command(addresses, token, as_json, folder, since):
    """Fetch the accounts of running managers and compare them with the boxes' records.

    --token is the fleet token. Exit status 4 at a contradiction or where a manager does not answer; the actions of that
    manager are reported as unknown.
    """
    answers = service.run(fetch_all(addresses, token, f"/fleet/account?since={round(since * 10_000)}"))
    silent = {at: body for at, body in answers.items() if isinstance(body, str)}
    if len(silent) == len(answers):
        for at, why in silent.items():
            click.echo(f"flaxscale: {at}: {why}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    with tempfile.TemporaryDirectory() as accounts_folder:
        for n, body in enumerate(body for body in answers.values() if isinstance(body, bytes)):
            pathlib.Path(accounts_folder, f"account-{n}.jsonl").write_bytes(body)
        result = judge(folder, accounts_folder)
    show_findings(result, as_json)
    for at, why in silent.items():
        click.echo(json.dumps({"at": at, "why": why}) if as_json else f"{at}: {why}: its actions are unknown")
    click.echo(
        json.dumps({"actions": result.actions, "agreed": result.agreed, "silent": len(silent)})
        if as_json
        else result.line()
    )
    sys.exit(CONTRADICTED if result.violations() or silent else 0)
