"""What all gRPC streams here have in common: a first message that names, a channel, an end, and coming back."""

import asyncio
import contextlib

import grpc

from ..serve.clock import now
from ..serve.limit import within

RETRY_S, RETRY_MOST_S = 0.2, 3.0
LASTED = 50_000  # a stream that was up so long is asked for again at once
AGAIN_S = 0.2
LARGE = 64 << 20


def channel_to(address):
    return grpc.aio.insecure_channel(
        address,
        options=[
            ("grpc.max_receive_message_length", LARGE),
            ("grpc.max_send_message_length", LARGE),
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.initial_reconnect_backoff_ms", 200),
            ("grpc.enable_http_proxy", 0),
        ],
    )


async def first_of(context):
    """The first message of a watcher, which says its name; None where it went without one."""
    first = await context.read()
    if first is grpc.aio.EOF:
        return None
    if not first.name:
        await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "a watcher needs a name")
    return first


async def hear_all(context, hear, wake):
    """Each message of a watcher until its stream ends; wake is set then."""
    try:
        while (said := await context.read()) is not grpc.aio.EOF:
            hear(said)
    finally:
        wake.set()


async def come_back(one_stream, closed, sooner=None):
    """Streams one after another, with a pause that grows. one_stream() may return why; closed(why) after each.

    why is None where the task was cancelled: there is nothing to say of that. sooner: an Event that ends a pause.
    """
    pause, sooner = RETRY_S, sooner or asyncio.Event()
    while True:
        began, why = now(), None
        try:
            why = await one_stream() or "the stream ended"
        except grpc.aio.AioRpcError as error:
            why = f"{error.code().name}: {error.details()}"
        finally:
            closed(why)
        pause = RETRY_S if now() - began > LASTED else min(RETRY_MOST_S, pause * 1.7)
        with contextlib.suppress(asyncio.TimeoutError):
            await within(pause, sooner.wait())
        sooner.clear()


async def cancel_and_wait(task):
    """Ends a task that is inside gRPC, and returns when it is over, however it ends.

    A cancel that comes just as a stream breaks can be lost there, so it is said again.
    """
    while task is not None and not task.done():
        task.cancel()
        await asyncio.wait({task}, timeout=AGAIN_S)
