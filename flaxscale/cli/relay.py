"""flaxscale relay: the ways between a day's processes, with faults on them by command."""

import json
import pathlib

import click

from ..lab.records import Recorder
from ..lab.relay import Relay
from ..site.load import SiteError
from . import print_ready, service, site_errors


@click.command()
@click.argument("pairs", type=click.Path())
@click.option("--seed", default=1, show_default=True, help="Of what is lost, doubled and late.")
@click.option("--record", default=None, type=click.Path())
@click.option("--ready", "say_ready", is_flag=True, help="Print one JSON line with the port of each way.")
def relay(pairs, seed, record, say_ready):
    """Carry TCP and datagrams between the processes named in PAIRS (JSON: [[from, to], ...]) on loopback.

    Commands come as JSON lines on standard input: {"target": "b1", "address": "HOST:PORT"}, {"fault": 1, "kind": "cut",
    "ways": [["m0", "b1"]]}, {"heal": 1}, {"count": true}.
    """

    def read():
        try:
            found = json.loads(pathlib.Path(pairs).read_text())
            return [(str(a), str(b)) for a, b in found]
        except OSError as bad:
            raise SiteError(pairs, "", f"can't be read: {bad.strerror}") from None
        except (ValueError, TypeError) as bad:
            raise SiteError(pairs, "", f"pairs of names expected ({bad})") from None

    found = site_errors(read)

    async def main():
        app = Relay(found, seed, Recorder(record))
        ports = await app.start()
        if say_ready:
            print_ready("127.0.0.1", 0, ways=ports)
        await service.until_signal(app.command)
        await app.stop()

    service.run(main())
