"""Runs a serving program on uvloop until a signal. Stand-ins also read commands as JSON lines on standard input."""

import asyncio
import gc
import json
import signal
import sys

import uvloop


async def until_signal(on_command=None, done=None):
    """Returns at SIGTERM or SIGINT, or when `done`, an asyncio.Event, is set.

    on_command(row) is called with each JSON line read on standard input.
    """
    loop, done = asyncio.get_running_loop(), done or asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, done.set)
    if on_command is not None:
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

        async def read_commands():
            while line := await reader.readline():
                try:
                    on_command(json.loads(line))
                except (ValueError, KeyError, TypeError) as error:
                    print(f"command rejected: {error}", file=sys.stderr, flush=True)

        command_task = asyncio.ensure_future(read_commands())
        await done.wait()
        command_task.cancel()
        return
    await done.wait()


def run(main):
    """Runs the coroutine `main` on uvloop and returns its result."""
    return uvloop.run(main)


def tune_garbage_collection():
    """Exempts the objects that exist after the start from collection and makes collections rarer.

    Objects made during the start live as long as the process. Rarer collections mean fewer pauses while requests are
    answered.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
