"""Shared parts of the gRPC streams: channels, the first message, reconnection and cancellation."""

import asyncio
import contextlib

import grpc

from ..serve.clock import now
from ..serve.limit import within

RETRY_MIN_S = 0.2  # pause after a long-lived stream; it grows after short ones
RETRY_MAX_S = 3.0  # longest pause
STABLE_AFTER = 50_000  # tenths of ms; after a stream that lasted longer the pause starts from its minimum again
RECANCEL_S = 0.2  # between two cancellations of a task
MAX_MESSAGE_BYTES = 64 << 20


def open_channel(address):
    """A gRPC channel to the catalogue service."""
    return grpc.aio.insecure_channel(
        address,
        options=[
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.initial_reconnect_backoff_ms", 200),
            ("grpc.enable_http_proxy", 0),
        ],
    )


async def first_message(context):
    """The first message of a watcher, which has its name; None if the stream ends before it."""
    first = await context.read()
    if first is grpc.aio.EOF:
        return None
    if not first.name:
        await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "a watcher needs a name")
    return first


async def read_all(context, receive, wake):
    """Passes each message of a watcher to receive() until the stream ends, then sets wake."""
    try:
        while (message := await context.read()) is not grpc.aio.EOF:
            receive(message)
    finally:
        wake.set()


async def run_with_reconnect(run_stream, on_closed, reconnect_event=None):
    """Runs run_stream() repeatedly with growing pauses, and on_closed(why) after each run.

    run_stream() may return the reason of its end. why: that reason, the gRPC error, or None if the task was cancelled.
    reconnect_event: an Event that ends a pause.
    """
    pause, reconnect_event = RETRY_MIN_S, reconnect_event or asyncio.Event()
    while True:
        began, why = now(), None
        try:
            why = await run_stream() or "the stream ended"
        except grpc.aio.AioRpcError as error:
            why = f"{error.code().name}: {error.details()}"
        finally:
            on_closed(why)
        pause = RETRY_MIN_S if now() - began > STABLE_AFTER else min(RETRY_MAX_S, pause * 1.7)
        with contextlib.suppress(asyncio.TimeoutError):
            await within(pause, reconnect_event.wait())
        reconnect_event.clear()


async def cancel_and_wait(task):
    """Cancels a task that may be inside a gRPC call, and returns when the task is done, whatever its outcome.

    A cancellation at the moment when a stream breaks can be lost inside gRPC, so it is repeated.
    """
    while task is not None and not task.done():
        task.cancel()
        await asyncio.wait({task}, timeout=RECANCEL_S)
