"""flaxscale relay: forwards traffic between the processes of a day and injects network faults on command."""

import json
import pathlib

import click

from ..lab.records import Recorder
from ..lab.relay import Relay
from ..site.load import SiteError
from . import print_ready, service, site_errors


@click.command()
@click.argument("pairs", type=click.Path())
@click.option("--seed", default=1, show_default=True, help="Seed for random loss, duplication and delay.")
@click.option("--record", default=None, type=click.Path())
@click.option(
    "--ready", "say_ready", is_flag=True, help="Print one JSON line with the port of each directed connection."
)
def relay(pairs, seed, record, say_ready):
    """Forward TCP connections and datagrams between the processes named in PAIRS (JSON: [[from, to], ...]) on loopback.

    Commands are read as JSON lines from standard input: {"target": "b1", "address": "HOST:PORT"}, {"fault": 1,
    "kind": "cut", "ways": [["m0", "b1"]]}, {"heal": 1}, {"count": true}.
    """

    def read_pairs():
        try:
            rows = json.loads(pathlib.Path(pairs).read_text())
            return [(str(source), str(target)) for source, target in rows]
        except OSError as error:
            raise SiteError(pairs, "", f"can't be read: {error.strerror}") from None
        except (ValueError, TypeError) as error:
            raise SiteError(pairs, "", f"pairs of names expected ({error})") from None

    directions = site_errors(read_pairs)

    async def main():
        app = Relay(directions, seed, Recorder(record))
        ports = await app.start()
        if say_ready:
            print_ready("127.0.0.1", 0, ways=ports)
        await service.until_signal(app.command)
        await app.stop()

    service.run(main())
