"""flaxscale front: one session manager."""

import asyncio
import contextlib
import functools
import json
import pathlib
import signal
import zlib

import click

from ..front.front import Front
from ..front.steps import Steps
from ..serve.clock import set_wrong
from ..site.load import SiteError
from ..site.terms import Sense, read_site
from ..store.fault_injection import FaultInjectingFiles
from ..store.files import Files
from . import ready, service, site_errors
from .logs import LEVELS, logger


@click.command()
@click.argument("site", type=click.Path())
@click.option("--me", default=0, show_default=True, help="This manager's number, from 0.")
@click.option("--zone", default=None, help="The zone that it stands in; the site's first if left out.")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=8080, show_default=True, help="0: any free one.")
@click.option("--list", "list_address", required=True, metavar="HOST:PORT", help="The box list.")
@click.option(
    "--catalogue",
    "catalogue_address",
    default=None,
    metavar="HOST:PORT",
    help="The catalogue service; the site file's own titles if left out.",
)
@click.option("--member-port", default=None, type=int, help="UDP port for other managers; 0: any. No talk if left out.")
@click.option("--member", "members", multiple=True, metavar="HOST:PORT", help="Another manager's, to begin with.")
@click.option("--state", default=None, type=click.Path(), help="Folder for the last box list and catalogue.")
@click.option("--seed", default=None, type=int, help="Of the manager's chance; drawn anew if left out.")
@click.option("--log-level", default="info", type=click.Choice(list(LEVELS)), show_default=True)
@click.option("--log-file", default=None, type=click.Path())
@click.option("--via", default=None, type=click.Path(), hidden=True, help="The lab's: addresses of members by ours.")
@click.option("--clock", default=None, hidden=True, metavar="STEP_S:RATE", help="The lab's: a clock that is wrong.")
@click.option("--older", is_flag=True, hidden=True, help="The lab's: as a build that says nothing of its versions.")
@click.option("--lies", is_flag=True, hidden=True, help="The lab's: the copies that it hands over are damaged.")
@click.option("--step", default=None, hidden=True, metavar="STEP:ACT", help="The lab's: killed or stopped there.")
@click.option("--disk-fault", default=None, type=click.Path(), hidden=True, help="The lab's: full or slow:MS.")
@click.option("--ready", "say_ready", is_flag=True, help="Print one JSON line with the address once it listens.")
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
        found = read_site(site)
        if member_port is not None and not found.allowed.peers:
            raise SiteError(site, "allowed.peers", "true expected: these terms forbid talk between managers")
        if member_port is not None and not found.front.member_keys:
            raise SiteError(site, "front.member_keys", "at least one key expected, for talk between managers")
        if found.allowed.peers and member_port is None:
            raise SiteError(site, "allowed.peers", "false expected, or a --member-port to talk by")
        if not 0 <= me < found.managers:
            raise SiteError(site, "managers", f"more than {me} expected, the number given with --me")
        if zone is not None and zone not in found.zones:
            raise SiteError(site, "zones", f"the zone {zone!r} of --zone expected among them")
        return found

    found = site_errors(read)
    if clock:
        off, _, rate = clock.partition(":")
        set_wrong(float(off), float(rate or 1))
    paths = json.loads(pathlib.Path(via).read_text()) if via else None
    files = functools.partial(FaultInjectingFiles, pathlib.Path(disk_fault)) if disk_fault else Files
    made = Sense(
        found,
        me,
        found.zones.index(zone) if zone else 0,
        seed if seed is not None else zlib.crc32(pathlib.Path("/dev/urandom").open("rb").read(8)),
    )
    log = logger(log_level, log_file, manager=f"m{me}")
    try:
        steps = Steps(step)
    except ValueError as bad:
        raise click.UsageError(f"--step: {bad}") from None

    async def main():
        over = asyncio.Event()
        app = Front(
            made,
            log,
            list_address,
            state,
            None,
            catalogue_address,
            list(members) if member_port is not None else None,
            read,
            over.set,
            paths,
            files,
            older,
            steps,
        )
        app.fleet.lies = lies

        def reload():
            with contextlib.suppress(SiteError):  # said in the log, by name; the settings in service stay
                app.reload()

        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
        address = await app.start(host, port, member_port or 0)
        log.info("serves", host=address[0], port=address[1])
        service.settle_memory()
        if say_ready:
            more = {"members": "%s:%d" % app.members.address} if member_port is not None else {}
            ready(*address, **more)
        await service.until_signal(done=over)
        log.info("leaves")
        await app.stop()

    service.run(main())
