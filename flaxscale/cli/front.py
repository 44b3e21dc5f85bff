"""flaxscale front: one session manager."""

import asyncio
import contextlib
import functools
import json
import pathlib
import signal
import zlib

import click

from ..front.failpoints import Failpoints
from ..front.front import Front
from ..serve.clock import set_skew
from ..site.load import SiteError
from ..site.terms import ManagerSite, read_site
from ..store.fault_injection import FaultInjectingFiles
from ..store.files import Files
from . import print_ready, service, site_errors
from .logs import LEVELS, logger


@click.command()
@click.argument("site", type=click.Path())
@click.option("--me", default=0, show_default=True, help="Number of this manager, from 0.")
@click.option("--zone", default=None, help="Zone of this manager; by default the site's first.")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=8080, show_default=True, help="0: any free port.")
@click.option("--list", "list_address", required=True, metavar="HOST:PORT", help="Address of the box list.")
@click.option(
    "--catalogue",
    "catalogue_address",
    default=None,
    metavar="HOST:PORT",
    help="Address of the catalogue service; by default the titles of the site file are used.",
)
@click.option(
    "--member-port",
    default=None,
    type=int,
    help="UDP port for messages between managers; 0: any. By default there are none.",
)
@click.option(
    "--member", "members", multiple=True, metavar="HOST:PORT", help="Member address of another manager, to join by."
)
@click.option("--state", default=None, type=click.Path(), help="Folder for the last box list and catalogue.")
@click.option("--seed", default=None, type=int, help="Seed of the manager's random numbers; random by default.")
@click.option("--log-level", default="info", type=click.Choice(list(LEVELS)), show_default=True)
@click.option("--log-file", default=None, type=click.Path())
@click.option(
    "--via", default=None, type=click.Path(), hidden=True, help="For the lab: routes to other members' addresses."
)
@click.option("--clock", default=None, hidden=True, metavar="STEP_S:RATE", help="For the lab: a wrong clock.")
@click.option("--older", is_flag=True, hidden=True, help="For the lab: act as a build without versions.")
@click.option("--lies", is_flag=True, hidden=True, help="For the lab: damage the copies served to others.")
@click.option("--step", default=None, hidden=True, metavar="STEP:ACT", help="For the lab: kill or stop at this point.")
@click.option("--disk-fault", default=None, type=click.Path(), hidden=True, help="For the lab: full or slow:MS.")
@click.option("--ready", "say_ready", is_flag=True, help="Print one JSON line with the address once listening.")
def front(
    site,
    me,
    zone,
    host,
    port,
    list_address,
    catalogue_address,
    member_port,
    members,
    state,
    seed,
    log_level,
    log_file,
    via,
    clock,
    older,
    lies,
    step,
    disk_fault,
    say_ready,
):
    """Serve WHIP and WHEP as one session manager of SITE (a Jsonnet file)."""

    def read():
        settings = read_site(site)
        if member_port is not None and not settings.allowed.peers:
            raise SiteError(site, "allowed.peers", "true expected: these terms forbid messages between managers")
        if member_port is not None and not settings.front.member_keys:
            raise SiteError(site, "front.member_keys", "at least one key expected, for messages between managers")
        if settings.allowed.peers and member_port is None:
            raise SiteError(site, "allowed.peers", "false expected, or a --member-port for messages")
        if not 0 <= me < settings.managers:
            raise SiteError(site, "managers", f"more than {me} expected, the number given with --me")
        if zone is not None and zone not in settings.zones:
            raise SiteError(site, "zones", f"the zone {zone!r} given with --zone expected among them")
        return settings

    settings = site_errors(read)
    if clock:
        offset_s, _, rate = clock.partition(":")
        set_skew(float(offset_s), float(rate or 1))
    member_routes = json.loads(pathlib.Path(via).read_text()) if via else None
    make_files = functools.partial(FaultInjectingFiles, pathlib.Path(disk_fault)) if disk_fault else Files
    site_terms = ManagerSite(
        settings,
        me,
        settings.zones.index(zone) if zone else 0,
        seed if seed is not None else zlib.crc32(pathlib.Path("/dev/urandom").open("rb").read(8)),
    )
    log = logger(log_level, log_file, manager=f"m{me}")
    try:
        failpoints = Failpoints(step)
    except ValueError as error:
        raise click.UsageError(f"--step: {error}") from None

    async def main():
        stop_requested = asyncio.Event()
        manager = Front(
            site_terms,
            log,
            list_address,
            state,
            None,
            catalogue_address,
            list(members) if member_port is not None else None,
            read,
            stop_requested.set,
            member_routes,
            make_files,
            older,
            failpoints,
        )
        manager.fleet.corrupts_copies = lies

        def reload():
            with contextlib.suppress(SiteError):  # reload() has logged the reason; the current settings stay in use
                manager.reload()

        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
        address = await manager.start(host, port, member_port or 0)
        log.info("serves", host=address[0], port=address[1])
        service.tune_garbage_collection()
        if say_ready:
            extra = {"members": "%s:%d" % manager.members.address} if member_port is not None else {}
            print_ready(*address, **extra)
        await service.until_signal(done=stop_requested)
        log.info("leaves")
        await manager.stop()

    service.run(main())
