"""flaxscale try: list, catalogue, boxes and a manager in one command on loopback; one set-up, one change shown."""

import asyncio
import pathlib
import secrets
import sys
import tempfile

import click

from ..catalogue.state import HOLDING, Put
from ..catalogued.client import Client
from ..lab.players import Player, Wish, trace_of
from ..lab.processes import Process
from ..lab.records import Recorder
from ..serve.clock import now
from ..site.terms import read_site
from . import service, site_errors

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "boats.jsonnet"


@click.command("try")
@click.argument("site", type=click.Path(), default=str(EXAMPLE))
@click.option("--boxes", default=6, show_default=True)
@click.option("--port", default=8080, show_default=True, help="Of the first manager; 0: any free one.")
@click.option("--stay/--no-stay", default=False, help="Go on serving after the set-up, until interrupted.")
def try_command(site, boxes, port, stay):
    """Start a list, a catalogue, boxes and a manager of SITE on loopback; show a WHEP set-up and a new title."""
    found = site_errors(lambda: read_site(site))
    title = next((name for name, row in found.titles.items() if row.view), None)
    if title is None:
        click.echo(f"flaxscale: {site}: titles: one with a package to view expected", err=True)
        sys.exit(2)

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            folder, started = pathlib.Path(folder), []
            try:
                started.append(await Process(["boxlist", site, "--ready"], folder / "list.log").start())
                listed = "%s:%d" % started[0].address
                click.echo(f"box list   http://{listed}/boxes")
                kinds, zones = list(found.fleet.kinds), found.zones
                service_ = await Process(
                    ["catalogue", "serve", site, "--store", str(folder / "store"), "--port", "0", "--ready"],
                    folder / "catalogue.log",
                ).start()
                started.append(service_)
                catalogue = "%s:%d" % service_.address
                click.echo(f"catalogue  {catalogue}  (flaxscale catalogue holders {title} --at {catalogue})")
                cells = found.fleet.cells
                held = {n + 1: n % cells for n in range(boxes)}
                async with Client(catalogue) as client:
                    reply = await client.change(
                        [
                            Put(
                                name,
                                t.view,
                                t.push,
                                holders={
                                    str(box): HOLDING
                                    for box, cell in held.items()
                                    if (cell - t.first_cell) % cells < t.cells
                                },
                            )
                            for name, t in found.titles.items()
                        ],
                        why="from the site file",
                    )
                if reply.faults:
                    click.echo(f"flaxscale: {reply.faults[0]}; so few boxes leave titles without holder", err=True)
                    return 2
                made = await asyncio.gather(
                    *(
                        Process(
                            [
                                "box",
                                site,
                                "--catalogue",
                                catalogue,
                                "--id",
                                str(n + 1),
                                "--cell",
                                str(n % cells),
                                "--kind",
                                kinds[n % len(kinds)],
                                "--zone",
                                zones[n % len(zones)],
                                "--list",
                                listed,
                                "--up-ms",
                                "3600000",
                                "--ready",
                            ],
                            folder / f"box-{n + 1}.log",
                        ).start()
                        for n in range(boxes)
                    )
                )
                started += made
                for n, box in enumerate(made):
                    click.echo("box {:<6} http://{}:{}".format(n + 1, *box.address))
                front = await Process(
                    [
                        "front",
                        site,
                        "--catalogue",
                        catalogue,
                        "--list",
                        listed,
                        "--port",
                        str(port),
                        "--state",
                        str(folder / "state"),
                        "--ready",
                    ],
                    folder / "front.log",
                ).start()
                started.append(front)
                click.echo("manager    http://{}:{}  (its view of things: /state)".format(*front.address))
                token = found.front.tokens[0] if found.front.tokens else None
                player = Player(Recorder(), token)
                seed = secrets.randbits(60)
                for n in range(100):  # the list tells its boxes within moments
                    wish = Wish(n, title, False, "try", 3.0, 2.0, None, None, None, trace_of(seed, n))
                    seen = await player.ask(front.address, "m0", wish, say_wait=True)
                    if seen.fate == "plays":
                        break
                    await asyncio.sleep(0.1)
                click.echo(
                    f"\nPOST http://{front.address[0]}:{front.address[1]}/whep/{title}  "
                    f"(application/sdp, Prefer: wait=3)"
                )
                click.echo(f"{seen.status} after {seen.after / 10:.1f} ms: {seen.fate}")
                for name in ("location", "etag", "content-type", "preference-applied"):
                    if name in seen.headers:
                        click.echo(f"  {name}: {seen.headers[name]}")
                for line in seen.body.decode("utf-8", "replace").splitlines():
                    click.echo(f"  | {line}")
                if seen.fate == "plays":
                    whole = await player.hold(front.address, "m0", wish, seen)
                    click.echo("played for 2 s, then DELETE" if whole else "it broke off")
                package = found.titles[title].view
                wish = Wish(101, "just-filmed", False, "try", 3.0, 0.1, None, None, None, trace_of(seed, 101))
                before = await player.ask(front.address, "m0", wish)
                async with Client(catalogue) as client:
                    reply = await client.change([Put("just-filmed", package, holders={"1": HOLDING, "2": HOLDING})])
                changed = now()
                for n in range(100):
                    after = await player.ask(
                        front.address, "m0", wish._replace(n=102 + n, trace=trace_of(seed, 102 + n))
                    )
                    if after.status != 404:
                        break
                click.echo(
                    f"\na new title, without a restart: {before.status} before, version {reply.version} of the "
                    f"catalogue, then {after.status} ({after.fate}), {(now() - changed) / 10:.0f} ms later"
                )
                await player.pool.close()
                if stay:
                    click.echo(
                        "\nserving; interrupt to end. Another viewer: "
                        f"python -m flaxscale view http://{front.address[0]}:{front.address[1]}/whep/{title}"
                    )
                    await service.until_signal()
                return 0 if seen.fate == after.fate == "plays" else 1
            finally:
                await asyncio.gather(*(p.stop() for p in reversed(started)))

    sys.exit(service.run(main()))
