"""flaxscale try: starts a box list, a catalogue, boxes and a manager on loopback; shows a set-up and a new title."""

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
@click.option("--port", default=8080, show_default=True, help="Port of the manager; 0: any free one.")
@click.option("--stay/--no-stay", default=False, help="Keep serving after the demonstration, until interrupted.")
def try_command(site, boxes, port, stay):
    """Start a box list, a catalogue, boxes and a manager for SITE on loopback; show a WHEP set-up and a new title."""
    terms = site_errors(lambda: read_site(site))
    title = next((name for name, row in terms.titles.items() if row.view), None)
    if title is None:
        click.echo(f"flaxscale: {site}: titles: at least one title with a view package expected", err=True)
        sys.exit(2)

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            folder, processes = pathlib.Path(folder), []
            try:
                processes.append(await Process(["boxlist", site, "--ready"], folder / "list.log").start())
                list_address = "%s:%d" % processes[0].address
                click.echo(f"box list   http://{list_address}/boxes")
                kinds, zones = list(terms.fleet.kinds), terms.zones
                catalogue_process = await Process(
                    ["catalogue", "serve", site, "--store", str(folder / "store"), "--port", "0", "--ready"],
                    folder / "catalogue.log",
                ).start()
                processes.append(catalogue_process)
                catalogue_address = "%s:%d" % catalogue_process.address
                click.echo(
                    f"catalogue  {catalogue_address}  (flaxscale catalogue holders {title} --at {catalogue_address})"
                )
                cells = terms.fleet.cells
                cell_of_box = {n + 1: n % cells for n in range(boxes)}
                async with Client(catalogue_address) as client:
                    reply = await client.change(
                        [
                            Put(
                                name,
                                title_terms.view,
                                title_terms.push,
                                holders={
                                    str(box): HOLDING
                                    for box, cell in cell_of_box.items()
                                    if (cell - title_terms.first_cell) % cells < title_terms.cells
                                },
                            )
                            for name, title_terms in terms.titles.items()
                        ],
                        why="from the site file",
                    )
                if reply.faults:
                    click.echo(f"flaxscale: {reply.faults[0]}; with so few boxes, some titles have no holder", err=True)
                    return 2
                box_processes = await asyncio.gather(
                    *(
                        Process(
                            [
                                "box",
                                site,
                                "--catalogue",
                                catalogue_address,
                                "--id",
                                str(n + 1),
                                "--cell",
                                str(n % cells),
                                "--kind",
                                kinds[n % len(kinds)],
                                "--zone",
                                zones[n % len(zones)],
                                "--list",
                                list_address,
                                "--up-ms",
                                "3600000",
                                "--ready",
                            ],
                            folder / f"box-{n + 1}.log",
                        ).start()
                        for n in range(boxes)
                    )
                )
                processes += box_processes
                for n, box in enumerate(box_processes):
                    click.echo("box {:<6} http://{}:{}".format(n + 1, *box.address))
                manager = await Process(
                    [
                        "front",
                        site,
                        "--catalogue",
                        catalogue_address,
                        "--list",
                        list_address,
                        "--port",
                        str(port),
                        "--state",
                        str(folder / "state"),
                        "--ready",
                    ],
                    folder / "front.log",
                ).start()
                processes.append(manager)
                click.echo("manager    http://{}:{}  (its state: /state)".format(*manager.address))
                token = terms.front.tokens[0] if terms.front.tokens else None
                player = Player(Recorder(), token)
                seed = secrets.randbits(60)
                for n in range(100):  # retried: the manager learns of the boxes shortly after its start
                    request = Wish(n, title, False, "try", 3.0, 2.0, None, None, None, trace_of(seed, n))
                    outcome = await player.ask(manager.address, "m0", request, say_wait=True)
                    if outcome.fate == "plays":
                        break
                    await asyncio.sleep(0.1)
                click.echo(
                    f"\nPOST http://{manager.address[0]}:{manager.address[1]}/whep/{title}  "
                    f"(application/sdp, Prefer: wait=3)"
                )
                click.echo(f"{outcome.status} after {outcome.after / 10:.1f} ms: {outcome.fate}")
                for name in ("location", "etag", "content-type", "preference-applied"):
                    if name in outcome.headers:
                        click.echo(f"  {name}: {outcome.headers[name]}")
                for line in outcome.body.decode("utf-8", "replace").splitlines():
                    click.echo(f"  | {line}")
                if outcome.fate == "plays":
                    completed = await player.hold(manager.address, "m0", request, outcome)
                    click.echo("played for 2 s, then DELETE" if completed else "the session ended early")
                package = terms.titles[title].view
                request = Wish(101, "just-filmed", False, "try", 3.0, 0.1, None, None, None, trace_of(seed, 101))
                before = await player.ask(manager.address, "m0", request)
                async with Client(catalogue_address) as client:
                    reply = await client.change([Put("just-filmed", package, holders={"1": HOLDING, "2": HOLDING})])
                changed_at = now()
                for n in range(100):
                    after = await player.ask(
                        manager.address, "m0", request._replace(n=102 + n, trace=trace_of(seed, 102 + n))
                    )
                    if after.status != 404:
                        break
                click.echo(
                    f"\na new title, without a restart: {before.status} before, version {reply.version} of the "
                    f"catalogue, then {after.status} ({after.fate}), {(now() - changed_at) / 10:.0f} ms later"
                )
                await player.pool.close()
                if stay:
                    click.echo(
                        "\nserving; interrupt to stop. To start another viewer: "
                        f"python -m flaxscale view http://{manager.address[0]}:{manager.address[1]}/whep/{title}"
                    )
                    await service.until_signal()
                return 0 if outcome.fate == after.fate == "plays" else 1
            finally:
                await asyncio.gather(*(p.stop() for p in reversed(processes)))

    sys.exit(service.run(main()))
