"""Waiting for something, but not for ever."""

import asyncio


async def within(seconds, what):
    """What an awaitable gives, TimeoutError once it took longer.

    In place of asyncio.wait_for, which up to Python 3.11 loses a cancel that comes as its future is done
    (python/cpython issue 86296): whoever was cancelled goes on, and a limit around it never ends it.
    """
    async with asyncio.timeout(seconds):
        return await what
