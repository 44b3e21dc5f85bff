"""flaxscale view and flaxscale push: a WHEP and a WHIP client."""

import asyncio
import secrets
import sys
from collections import Counter
from urllib.parse import urlsplit

import click

from ..lab.players import Player, Wish, trace_of
from ..lab.records import Recorder
from . import EXIT_BAD_INPUT, service


def options(command):
    for option in reversed(
        [
            click.argument("url"),
            click.option("--count", default=1, show_default=True, help="How many, one after another by --rate."),
            click.option("--rate", default=10.0, show_default=True, help="New ones a second."),
            click.option("--patience", default=3.0, show_default=True, help="Seconds until one gives up."),
            click.option("--hold", default=2.0, show_default=True, help="Seconds that each plays."),
            click.option("--viewer", default=None, help="Viewer id; one of its own for each if left out."),
            click.option("--token", default=None, help="Bearer token."),
            click.option("--record", default=None, type=click.Path(), help="Write what was seen to this file."),
        ]
    ):
        command = option(command)
    return command


def play(url, sends, count, rate, patience, hold, viewer, token, record):
    parts = urlsplit(url)
    kind, _, title = parts.path.strip("/").partition("/")
    if parts.scheme != "http" or not parts.hostname or kind != ("whip" if sends else "whep") or not title:
        click.echo(f"flaxscale: {url}: http://HOST:PORT/{'whip' if sends else 'whep'}/TITLE expected", err=True)
        sys.exit(EXIT_BAD_INPUT)
    address, seed, counts = (parts.hostname, parts.port or 80), secrets.randbits(60), Counter()

    async def one(player, n):
        wish = Wish(n, title, sends, viewer or f"cli-{seed:x}-{n}", patience, hold, None, None, None, trace_of(seed, n))
        seen = await player.ask(address, parts.netloc, wish, say_wait=patience >= 1)
        counts[seen.fate] += 1
        click.echo(
            f"{n + 1}: {seen.fate} ({seen.status}) after {seen.after / 10:.1f} ms"
            + (f", {seen.location}" if seen.location else "")
        )
        if seen.fate == "plays":
            counts["whole" if await player.hold(address, parts.netloc, wish, seen) else "broken off"] += 1

    async def main():
        player = Player(Recorder(record), token)
        async with asyncio.TaskGroup() as group:
            for n in range(count):
                group.create_task(one(player, n))
                if n + 1 < count:
                    await asyncio.sleep(1 / rate)
        await player.pool.close()

    service.run(main())
    click.echo(", ".join(f"{name} {n}" for name, n in sorted(counts.items())))
    sys.exit(0 if counts["plays"] == count else 1)


@click.command()
@options
def view(url, count, rate, patience, hold, viewer, token, record):
    """Watch by WHEP: URL is http://HOST:PORT/whep/TITLE. Status 0 if all played, 1 if some did not."""
    play(url, False, count, rate, patience, hold, viewer, token, record)


@click.command()
@options
def push(url, count, rate, patience, hold, viewer, token, record):
    """Push by WHIP: URL is http://HOST:PORT/whip/TITLE. Status 0 if all played, 1 if some did not."""
    play(url, True, count, rate, patience, hold, viewer, token, record)
