"""Awaiting with a time limit."""

import asyncio


async def within(seconds, awaitable):
    """The result of an awaitable; raises TimeoutError if it takes longer than this many seconds.

    Replaces asyncio.wait_for, which up to Python 3.11 loses a cancellation that arrives as its future completes
    (python/cpython issue 86296): the cancelled task then continues, and a time limit around it never ends it.
    """
    async with asyncio.timeout(seconds):
        return await awaitable
