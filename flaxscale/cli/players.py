"""flaxscale view and flaxscale push: a WHEP client and a WHIP client."""

import asyncio
import secrets
import sys
from collections import Counter
from urllib.parse import urlsplit

import click

from ..lab.players import Player, Wish, trace_of
from ..lab.records import Recorder
from . import EXIT_BAD_INPUT, service


def player_options(command):
    """Adds the argument and the options that view and push share."""
    for option in reversed(
        [
            click.argument("url"),
            click.option("--count", default=1, show_default=True, help="Number of sessions, started at --rate."),
            click.option("--rate", default=10.0, show_default=True, help="Sessions started per second."),
            click.option(
                "--patience", default=3.0, show_default=True, help="Seconds after which a request is abandoned."
            ),
            click.option("--hold", default=2.0, show_default=True, help="Seconds that each session plays."),
            click.option("--viewer", default=None, help="Viewer id; by default, a different one for each session."),
            click.option("--token", default=None, help="Bearer token."),
            click.option("--record", default=None, type=click.Path(), help="Write the clients' records to this file."),
        ]
    ):
        command = option(command)
    return command


def run_sessions(url, sends, count, rate, patience, hold, viewer, token, record):
    """Runs `count` WHEP sessions, or WHIP sessions where `sends` is set, and exits 0 if all played, else 1."""
    parts = urlsplit(url)
    kind, _, title = parts.path.strip("/").partition("/")
    if parts.scheme != "http" or not parts.hostname or kind != ("whip" if sends else "whep") or not title:
        click.echo(f"flaxscale: {url}: http://HOST:PORT/{'whip' if sends else 'whep'}/TITLE expected", err=True)
        sys.exit(EXIT_BAD_INPUT)
    address, seed, counts = (parts.hostname, parts.port or 80), secrets.randbits(60), Counter()

    async def run_session(player, n):
        request = Wish(
            n, title, sends, viewer or f"cli-{seed:x}-{n}", patience, hold, None, None, None, trace_of(seed, n)
        )
        outcome = await player.ask(address, parts.netloc, request, say_wait=patience >= 1)
        counts[outcome.fate] += 1
        click.echo(
            f"{n + 1}: {outcome.fate} ({outcome.status}) after {outcome.after / 10:.1f} ms"
            + (f", {outcome.location}" if outcome.location else "")
        )
        if outcome.fate == "plays":
            counts["whole" if await player.hold(address, parts.netloc, request, outcome) else "broken off"] += 1

    async def main():
        player = Player(Recorder(record), token)
        async with asyncio.TaskGroup() as group:
            for n in range(count):
                group.create_task(run_session(player, n))
                if n + 1 < count:
                    await asyncio.sleep(1 / rate)
        await player.pool.close()

    service.run(main())
    click.echo(", ".join(f"{name} {number}" for name, number in sorted(counts.items())))
    sys.exit(0 if counts["plays"] == count else 1)


@click.command()
@player_options
def view(url, count, rate, patience, hold, viewer, token, record):
    """Play over WHEP: URL is http://HOST:PORT/whep/TITLE. Exit status: 0 if all sessions played, else 1."""
    run_sessions(url, False, count, rate, patience, hold, viewer, token, record)


@click.command()
@player_options
def push(url, count, rate, patience, hold, viewer, token, record):
    """Publish over WHIP: URL is http://HOST:PORT/whip/TITLE. Exit status: 0 if all sessions played, else 1."""
    run_sessions(url, True, count, rate, patience, hold, viewer, token, record)
