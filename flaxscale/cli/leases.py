"""flaxscale leases: shows and releases the leases under which single managers do work for the whole fleet."""

import json

import click

from .catalogue import EXIT_REFUSED, service_command, user_name


@click.group()
def leases():
    """Duties that one manager does for the whole fleet, under leases granted by the catalogue service."""


async def request_leases(client, **fields):
    """Returns the catalogue service's answer to a LeasesRequest with these fields."""
    from ..proto import catalogue_pb2 as pb

    return await client.call("Leases", pb.LeasesRequest(**fields))


def describe_lease(row):
    """Returns the line that shows a lease to the operator."""
    remaining = "free" if row.left_ms <= 0 else f"held for another {row.left_ms / 1000:.1f} s by the service's clock"
    return f"{row.piece}: {row.owner}, token {row.token}, {remaining}"


@leases.command("list")
@click.option("--json", "as_json", is_flag=True, help="JSON lines.")
@service_command
async def list_command(client, as_json):
    """List each piece of work with its last holder."""
    reply = await request_leases(client)
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
        click.echo("no duties are enabled: the site file's `duties` names none")
        return
    for task in reply.tasks:
        click.echo(f"duty {task}")
    if reply.opens_ms > 0:
        click.echo(f"service restarted recently: no new lease is granted for another {reply.opens_ms / 1000:.1f} s")
    for row in reply.rows:
        click.echo(describe_lease(row))


@leases.command()
@click.argument("piece")
@service_command
async def why(client, piece):
    """Explain who holds PIECE, its last recorded action, and which requests for it were refused."""
    reply = await request_leases(client)
    row = next((row for row in reply.rows if row.piece == piece), None)
    if row is None:
        click.echo(f"{piece}: never granted; pieces: {', '.join(row.piece for row in reply.rows) or 'none'}", err=True)
        return EXIT_REFUSED
    click.echo(describe_lease(row))
    if row.last:
        click.echo(f"last done {row.last_ms_ago / 1000:.1f} s ago, or before the service restarted: {row.last}")
    for line in row.refused:
        click.echo(f"refused: {line}")
    click.echo("each manager requests the pieces of its own share; its /state shows what it holds and was refused")


@leases.command()
@click.argument("piece")
@service_command
async def release(client, piece):
    """Revoke the lease on PIECE: the service refuses its holder at once, and grants it again after the lease time."""
    reply = await request_leases(client, release=piece, who=user_name())
    if reply.refused:
        click.echo(f"not released: {reply.refused}", err=True)
        return EXIT_REFUSED
    click.echo(describe_lease(next(row for row in reply.rows if row.piece == piece)))


@leases.command()
@click.option("--last", default=20, show_default=True)
@service_command
async def history(client, last):
    """List grants and ends of leases, the latest last."""
    reply = await request_leases(client, history=max(1, last))
    for event in reply.past:
        click.echo(f"token {event.token}: {event.piece} {event.what}, {event.owner}")
