"""How a serving program runs: on uvloop, until a signal, with commands by line where it is a stand-in."""

import asyncio
import gc
import json
import signal
import sys

import uvloop


async def until_signal(commands=None, done=None):
    """Returns at SIGTERM or SIGINT, or when done, an Event, is set.

    commands(row) is called for each JSON line on standard input.
    """
    loop, done = asyncio.get_running_loop(), done or asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, done.set)
    if commands is not None:
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

        async def listen():
            while line := await reader.readline():
                try:
                    commands(json.loads(line))
                except (ValueError, KeyError, TypeError) as bad:
                    print(f"command not taken: {bad}", file=sys.stderr, flush=True)

        listener = asyncio.ensure_future(listen())
        await done.wait()
        listener.cancel()
        return
    await done.wait()


def run(main):
    return uvloop.run(main)


def settle_memory():
    """What stands after the start is never garbage; collecting less often keeps pauses out of the answers."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
