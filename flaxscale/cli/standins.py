"""The commands flaxscale box and flaxscale boxlist."""

import secrets
import sys
import zlib

import click

from ..lab.records import Recorder
from ..serve.clock import now
from ..site.terms import read_site
from ..standins.box import Box, Place, site_settings
from ..standins.boxlist import BoxList
from ..standins.boxserver import BoxServer
from ..store.files import Files
from ..store.log import StoreError
from . import EXIT_BAD_INPUT, print_ready, service, site_errors
from .logs import logger


def make_box(
    site,
    id,
    cell,
    kind,
    zone,
    weight,
    link_kb,
    up_ms,
    seed,
    work_ms,
    lease_ms,
    list_address,
    record,
    catalogue=None,
    files=None,
    lease_files=None,
):
    """Builds a BoxServer by the site's settings."""
    place = Place(id, cell, cell % site.fleet.racks, zone, kind, weight, link_kb, site.fleet.kinds[kind])
    box = Box(place, site_settings(site), secrets.token_hex(4), now() - round(up_ms * 10), seed, round(work_ms * 10))
    lease = lease_ms if lease_ms is not None else site.fleet.lease_ms
    fleet = site.fleet
    times = [round(ms * 10) for ms in (fleet.note_every_ms, fleet.note_lag_ms, lease, fleet.media_ms)]
    return BoxServer(
        box,
        times,
        list_address,
        record,
        site.front.fleet_token,
        catalogue,
        logger("warning", None, box=id),
        files,
        lease_files,
    )


@click.command()
@click.argument("site", type=click.Path())
@click.option("--id", "id", required=True, type=int, help="Id of the box on the list.")
@click.option("--cell", default=0, show_default=True)
@click.option(
    "--count", default=1, show_default=True, help="Number of boxes in this process, with consecutive ids and cells."
)
@click.option("--kind", default=None, help="Kind of machine; default: the site's first.")
@click.option("--zone", default=None)
@click.option("--weight", default=1.0, show_default=True)
@click.option("--link-kb", default=None, type=float, help="Capacity of the link in kB/s; default: by weight.")
@click.option("--list", "list_address", default=None, metavar="HOST:PORT")
@click.option(
    "--catalogue", default=None, metavar="HOST:PORT", help="Catalogue service that assigns titles to the box."
)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True)
@click.option("--up-ms", default=0.0, show_default=True, help="Time for which the box counts as having been up.")
@click.option("--work-ms", default=15.0, show_default=True, help="Duration of a set-up.")
@click.option(
    "--lease-ms",
    default=None,
    type=float,
    help="Time after which a disconnected manager's viewings end; default: the site's fleet.lease_ms.",
)
@click.option("--state", default=None, type=click.Path(), help="Folder for the version floor; default: not stored.")
@click.option("--seed", default=1, show_default=True)
@click.option("--record", default=None, type=click.Path())
@click.option("--ready", "say_ready", is_flag=True)
def box(
    site,
    id,
    cell,
    count,
    kind,
    zone,
    weight,
    link_kb,
    list_address,
    catalogue,
    host,
    port,
    up_ms,
    work_ms,
    lease_ms,
    state,
    seed,
    record,
    say_ready,
):
    """Run a media box stand-in. Faults are set by JSON lines on standard input: {"trouble": "hang", "value": 1}."""
    found = site_errors(lambda: read_site(site))
    kind, zone = kind or next(iter(found.fleet.kinds)), zone or found.zones[0]
    if kind not in found.fleet.kinds or not 0 <= cell < found.fleet.cells or zone not in found.zones:
        raise click.UsageError(f"--kind {kind}, --cell {cell} and --zone {zone} must be in the site file")
    link = link_kb if link_kb is not None else weight * found.fleet.kb_per_weight

    async def main():
        servers = {}
        for n in range(id, id + count):
            try:
                servers[n] = make_box(
                    found,
                    n,
                    (cell + n - id) % found.fleet.cells,
                    kind,
                    zone,
                    weight,
                    link,
                    up_ms,
                    zlib.crc32(b"%d:%d" % (seed, n)),
                    work_ms,
                    lease_ms,
                    list_address,
                    Recorder(record),
                    catalogue,
                    Files(f"{state}/floor-b{n}") if state else None,
                    Files(f"{state}/leases-b{n}") if state and found.duties else None,
                )
            except (StoreError, ValueError, OSError) as error:
                click.echo(f"flaxscale: {state}/floor-b{n}: {error}", err=True)
                sys.exit(EXIT_BAD_INPUT)
            address = await servers[n].start(host, port if count == 1 else 0)
        if say_ready:
            print_ready(*address, id=id)

        def command(row):
            for n in [row["box"]] if "box" in row else servers:
                servers[n].command(row)

        await service.until_signal(command)
        for server in servers.values():
            server.die()

    service.run(main())


@click.command()
@click.argument("site", type=click.Path())
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True)
@click.option("--late-ms", default=0.0, show_default=True, help="Delay of changes.")
@click.option("--record", default=None, type=click.Path())
@click.option("--ready", "say_ready", is_flag=True)
def boxlist(site, host, port, late_ms, record, say_ready):
    """Run the box list stand-in. Commands are JSON lines on standard input: {"late_ms": 4000}."""
    found = site_errors(lambda: read_site(site))

    async def main():
        app = BoxList(
            {rack: found.fleet.uplink_kb for rack in range(found.fleet.racks)}, Recorder(record), round(late_ms * 10)
        )
        address = await app.start(host, port)
        if say_ready:
            print_ready(*address)
        await service.until_signal(app.command)
        app.server.abort_all()

    service.run(main())
