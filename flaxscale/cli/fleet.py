"""flaxscale fleet: the managers as a whole: who goes by which version, who is behind, floors, accounts gathered."""

import asyncio
import json
import pathlib
import sys
import tempfile

import click

from ..rules.audit import judge
from . import EXIT_BAD_INPUT, service
from .audit import BEHIND, FIELDS, show_findings
from .catalogue import EXIT_REFUSED, RETRY_FOR_S, service_command, user_name

ANSWER_S = 2.0


@click.group()
def fleet():
    """The fleet of managers as a whole."""


async def answers(addresses, token, path="/state"):
    """{address: the bytes of a manager's answer, or the text of why there is none}; each has its own limit."""
    from ..serve.pool import Pool

    pool = Pool(ANSWER_S)

    async def one(address):
        host, _, port = address.rpartition(":")
        try:
            result = await pool.fetch(
                host, int(port), "GET", path, [("Authorization", f"Bearer {token}")] if token else [], b"", ANSWER_S
            )
        except OSError as bad:
            return str(bad)
        return result.body if result.status == 200 else f"status {result.status}"

    try:
        return dict(zip(addresses, await asyncio.gather(*(one(a) for a in addresses))))
    finally:
        await pool.close()


async def states(addresses, token):
    found = await answers(addresses, token)
    return {at: json.loads(body) if isinstance(body, bytes) else body for at, body in found.items()}


def asks(command):
    """A command that asks managers."""

    def addresses(ctx, param, value):
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
            callback=addresses,
            help="Each manager to ask.",
        ),
    ):
        command = option(command)
    return command


@fleet.command()
@asks
def versions(addresses, token, as_json):
    """The versions that each manager goes by now; status 4 where they differ or one does not answer."""
    rows, silent = {}, {}
    for address, state in service.run(states(addresses, token)).items():
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
            click.echo(
                f"{name} ({row['at']}): stamp {row['stamp']}: "
                + ", ".join(f"{f} {row.get(f)}" + (" (differs)" if f in differ else "") for f in FIELDS)
            )
        for address, why in silent.items():
            click.echo(f"{address}: {why}")
    sys.exit(BEHIND if differ or silent else 0)


def told_of(name, states):
    """What others last knew of a member that gives no answer: (how long ago in seconds, its row), or None."""
    heard = [
        (row["heard_s_ago"], row)
        for state in states
        for row in [state["fleet"].get("rows", {}).get(name)]
        if row is not None and name != state["manager"]
    ]
    return min(heard, key=lambda pair: pair[0], default=None)


@fleet.command()
@asks
def stragglers(addresses, token, as_json):
    """Who is behind, since when and why, as each manager that answers knows it; status 4 where one is found."""
    found = service.run(states(addresses, token))
    able = [s for s in found.values() if isinstance(s, dict) and s.get("fleet", {}).get("on")]
    lines = []
    for state in sorted(able, key=lambda s: s["manager"]):
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
    answered = {s["manager"] for s in able}
    for name in sorted({name for s in able for name in s["fleet"]["rows"]} - answered):
        ago, row = told_of(name, able)
        lines.append(
            {
                "name": name,
                "why": "not asked or no answer",
                "since_s": ago,
                "by": None,
                "last_known": [row["epoch"], row["version"]],
                "up": row["up"],
            }
        )
    silent = {
        at: s if isinstance(s, str) else "versions are not spread between managers here"
        for at, s in found.items()
        if s not in able
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
            f"nobody is behind: {len(able)} managers at version {able[0]['fleet']['newest'][1]}"
            if able and able[0]["fleet"]["newest"]
            else "no manager has a version yet"
        )
    sys.exit(BEHIND if lines or silent else 0)


@fleet.command()
@click.argument("version", type=int, required=False)
@click.option("--force", is_flag=True, help="Whoever it shuts out.")
@click.option("--why", default="", help="Kept with the floor.")
@service_command
async def floor(client, version, force, why):
    """Raise the floor to VERSION of the catalogue: nothing may be done under an earlier one from then on.

    Without VERSION, tell the floor that stands. --at is the catalogue's service.
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
    stands = f"floor {reply.floor}" if reply.floor else "no floor stands"
    click.echo(f"epoch {reply.epoch}, version {reply.version}: {stands}{under}")


@fleet.command("audit")
@asks
@click.option(
    "--records",
    "folder",
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Where the boxes' own records are.",
)
@click.option("--since", default=0.0, help="Seconds by each manager's steady clock; earlier rows are not asked for.")
def audit_command(addresses, token, as_json, folder, since):
    """Gather the accounts of managers that serve, and join them with what boxes saw; status 4 at a contradiction.

    --token is the fleet's. Who does not answer is said, and what it did is unknown.
    """
    found = service.run(answers(addresses, token, f"/fleet/account?since={round(since * 10_000)}"))
    silent = {at: body for at, body in found.items() if isinstance(body, str)}
    if len(silent) == len(found):
        for at, why in silent.items():
            click.echo(f"flaxscale: {at}: {why}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    with tempfile.TemporaryDirectory() as gathered:
        for n, body in enumerate(body for body in found.values() if isinstance(body, bytes)):
            pathlib.Path(gathered, f"account-{n}.jsonl").write_bytes(body)
        judged = judge(folder, gathered)
    show_findings(judged, as_json)
    for at, why in silent.items():
        click.echo(json.dumps({"at": at, "why": why}) if as_json else f"{at}: {why}: what it did is unknown")
    click.echo(
        json.dumps({"actions": judged.actions, "agreed": judged.agreed, "silent": len(silent)})
        if as_json
        else judged.line()
    )
    sys.exit(BEHIND if judged.bad() or silent else 0)
