"""flaxscale leases: who does what for the whole fleet, under which token, until when, and why not somebody else."""

import json

import click

from .catalogue import EXIT_REFUSED, service_command, user_name


@click.group()
def leases():
    """What one manager does for the whole fleet, under leases that the catalogue's service grants."""


async def asked(client, **fields):
    from ..proto import catalogue_pb2 as pb

    return await client.call("Leases", pb.LeasesRequest(**fields))


def row_of(row):
    free = "free" if row.left_ms <= 0 else f"for {row.left_ms / 1000:.1f} s more by the service's clock"
    return f"{row.piece}: {row.owner}, token {row.token}, {free}"


@leases.command("list")
@click.option("--json", "as_json", is_flag=True, help="JSON lines.")
@service_command
async def list_command(client, as_json):
    """Each piece with its last holder."""
    reply = await asked(client)
    if as_json:
        for row in reply.rows:
            click.echo(
                json.dumps(
                    {
                        "piece": row.piece,
                        "owner": row.owner,
                        "token": row.token,
                        "left_ms": row.left_ms,
                        "last": json.loads(row.last) if row.last else None,
                    }
                )
            )
        return
    if not reply.on:
        click.echo("no duties are on here: the site file's `duties` names none")
        return
    for task in reply.tasks:
        click.echo(f"duty {task}")
    if reply.opens_ms > 0:
        click.echo(f"started lately: nothing new is granted for {reply.opens_ms / 1000:.1f} s")
    for row in reply.rows:
        click.echo(row_of(row))


@leases.command()
@click.argument("piece")
@service_command
async def why(client, piece):
    """Why a piece is where it is, what was last done of it, and who asked for it in vain."""
    reply = await asked(client)
    row = next((row for row in reply.rows if row.piece == piece), None)
    if row is None:
        click.echo(f"{piece}: never granted; pieces: {', '.join(row.piece for row in reply.rows) or 'none'}", err=True)
        return EXIT_REFUSED
    click.echo(row_of(row))
    if row.last:
        click.echo(f"last done {row.last_ms_ago / 1000:.1f} s ago, or in an earlier life of the service: {row.last}")
    for line in row.refused:
        click.echo(f"not {line}")
    click.echo("who asks for it is by the managers' own shares: /state of each tells what it holds and was refused")


@leases.command()
@click.argument("piece")
@service_command
async def release(client, piece):
    """Take a piece from its holder: the service refuses it at once, and another may have it after its span."""
    reply = await asked(client, release=piece, who=user_name())
    if reply.refused:
        click.echo(f"not released: {reply.refused}", err=True)
        return EXIT_REFUSED
    click.echo(row_of(next(row for row in reply.rows if row.piece == piece)))


@leases.command()
@click.option("--last", default=20, show_default=True)
@service_command
async def history(client, last):
    """Grants and ends, the latest last."""
    reply = await asked(client, history=max(1, last))
    for event in reply.past:
        click.echo(f"token {event.token}: {event.piece} {event.what}, {event.owner}")
