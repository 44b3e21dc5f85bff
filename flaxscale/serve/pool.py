"""HTTP client: a pool of persistent connections. A request is never retried here.

A request without a complete response fails with `sent` false if none of its bytes were written, and with `sent` true
if it may have arrived. The caller decides whether to retry.
"""

import asyncio
from collections import deque
from typing import NamedTuple

from ..http1 import sse
from ..http1.client import ClientSide, Data, Done, Head, InvalidResponse, request
from .clock import now
from .limit import within

# Tenths of a millisecond; shorter than the idle time-out of boxes, so that the client is the one that closes.
IDLE_TIMEOUT = 300_000


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict
    body: bytes


class RequestFailed(NamedTuple):
    """A request without a complete response."""

    sent: bool  # the request may have arrived
    detail: str
    timed_out: bool = False  # its time limit expired


class PendingRequest:
    """One request. done(Response | RequestFailed) is called once, never after cancel() and never from within send()."""

    __slots__ = "bytes", "done", "connection", "sent", "over", "head", "body", "origin", "began", "timer"

    def __init__(self, origin, data, done):
        self.origin, self.bytes, self.done, self.connection = origin, data, done, None
        self.sent = self.over = False
        self.head, self.body, self.began, self.timer = None, [], now(), None

    def stop(self):
        """Marks the request as over and stops its timer."""
        self.over = True
        if self.timer is not None:
            self.timer.cancel()

    def cancel(self):
        """Abandons the request and closes its connection, by which the server detects that nobody waits.

        Returns whether it had been sent.
        """
        if self.over:
            return self.sent
        self.stop()
        if self.connection is not None:
            self.connection.abort()
        else:
            self.origin.remove_waiting(self)
        return self.sent

    def finish(self, result):
        """Reports the result unless the request is over already."""
        if not self.over:
            self.stop()
            self.done(result)

    def expire(self):
        """Called when the time limit has passed."""
        self.done(RequestFailed(self.cancel(), "no answer in time", True))


class ClientConnection(asyncio.Protocol):
    """One connection to an origin, with at most one request at a time."""

    def __init__(self, origin):
        self.origin, self.parser, self.pending, self.transport = origin, ClientSide(), None, None
        self.idle_since = now()

    def connection_made(self, transport):
        self.transport = transport

    def start(self, pending):
        self.pending, pending.connection = pending, self
        self.parser.expect()
        if self.transport.is_closing():
            self.fail("the persistent connection was closed already")
            return
        pending.sent = True
        self.transport.write(pending.bytes)

    def data_received(self, data):
        for event in self.parser.feed(data):
            pending = self.pending
            if isinstance(event, InvalidResponse):
                self.fail(event.detail)
                return
            if pending is None:
                self.abort()
                return
            if isinstance(event, Head):
                pending.head = event
            elif isinstance(event, Data):
                pending.body.append(event.bytes)
            elif isinstance(event, Done):
                self.done(event.keep_alive)
                if not event.keep_alive:
                    return

    def done(self, keep):
        pending, self.pending = self.pending, None
        pending.connection = None
        if keep and not self.transport.is_closing():
            self.idle_since = now()
            self.origin.reuse(self)
        else:
            self.abort()
        pending.finish(Response(pending.head.status, pending.head.headers, b"".join(pending.body)))

    def fail(self, detail):
        pending, self.pending = self.pending, None
        self.abort()
        if pending is not None:
            pending.connection = None
            pending.finish(RequestFailed(pending.sent, detail))

    def abort(self):
        self.origin.remove_connection(self)
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self):
        for event in self.parser.eof():
            if isinstance(event, Done) and self.pending is not None and self.pending.head is not None:
                self.done(False)
                return False
            if isinstance(event, InvalidResponse):
                self.fail(event.detail)
                return False
        return False

    def connection_lost(self, error):
        if self.pending is not None:
            self.fail(f"the connection was lost: {error or 'closed by the other side'}")
        self.origin.remove_connection(self)


class Origin:
    """One address: its idle connections, those being opened, and the requests that wait for one."""

    def __init__(self, pool, host, port):
        self.pool, self.host, self.port = pool, host, port
        self.idle, self.connections, self.connecting, self.waiting = [], set(), 0, deque()

    def start(self, pending):
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.start(pending)
                return
            self.connections.discard(connection)
        self.waiting.append(pending)
        self.open_connections()

    def open_connections(self):
        while (
            self.connecting < len(self.waiting) and len(self.connections) + self.connecting < self.pool.max_connections
        ):
            self.connecting += 1
            self.pool.create_task(self.connect())

    async def connect(self):
        loop, error = asyncio.get_running_loop(), None
        try:
            _, connection = await within(
                self.pool.connect_timeout_s,
                loop.create_connection(lambda: ClientConnection(self), self.host, self.port),
            )
        except (OSError, asyncio.TimeoutError) as exception:
            error = f"{type(exception).__name__}: {exception}"
        self.connecting -= 1
        if error is None:
            self.connections.add(connection)
            self.reuse(connection)
            self.open_connections()
            return
        if self.waiting:  # one failed connection fails one request; the others have attempts of their own or wait
            self.waiting.popleft().finish(RequestFailed(False, f"no connection: {error}"))
        if not self.connections and not self.connecting:
            self.open_connections()

    def reuse(self, connection):
        """Gives a free connection to the longest-waiting request, or keeps it idle."""
        if self.waiting:
            connection.start(self.waiting.popleft())
        else:
            self.idle.append(connection)

    def remove_connection(self, connection):
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiting:
            self.open_connections()

    def remove_waiting(self, pending):
        if pending in self.waiting:
            self.waiting.remove(pending)


class Pool:
    """Persistent connections to any number of origins."""

    def __init__(self, connect_timeout_s=0.25, max_connections=64):
        """connect_timeout_s: time limit for opening a connection; max_connections: limit for each address."""
        self.connect_timeout_s, self.max_connections = connect_timeout_s, max_connections
        self.origins, self.tasks, self.sweeper = {}, set(), None

    def create_task(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def send(self, host, port, method, target, headers, body, done, within_s=None):
        """Sends one request. done is called later, never from within send(); with within_s, by then at the latest."""
        if (origin := self.origins.get((host, port))) is None:
            origin = self.origins[host, port] = Origin(self, host, port)
        pending = PendingRequest(origin, request(method, target, f"{host}:{port}", headers, body), done)
        origin.start(pending)
        if within_s is not None:
            pending.timer = asyncio.get_running_loop().call_later(within_s, pending.expire)
        return pending

    async def fetch(self, host, port, method, target, headers, body, within_s):
        """The Response to one request; raises OSError without one, TimeoutError (a subclass) if it is late."""
        answered = asyncio.get_running_loop().create_future()
        pending = self.send(
            host, port, method, target, headers, body, lambda result: answered.done() or answered.set_result(result)
        )
        try:
            result = await within(within_s, answered)
        except TimeoutError:
            raise TimeoutError(f"no answer within {within_s:g} s") from None
        finally:
            pending.cancel()  # has no effect once the request is over
        if isinstance(result, RequestFailed):
            raise OSError(result.detail)
        return result

    def sweep(self):
        """Closes connections that were idle too long; to be called regularly."""
        time = now()
        for origin in self.origins.values():
            for connection in [connection for connection in origin.idle if time - connection.idle_since > IDLE_TIMEOUT]:
                connection.abort()
        for key in [key for key, o in self.origins.items() if not (o.connections or o.connecting or o.waiting)]:
            del self.origins[key]

    async def close(self):
        """Cancels all requests and closes all connections."""
        for origin in self.origins.values():
            for pending in list(origin.waiting):
                pending.cancel()
            for connection in list(origin.connections):
                connection.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class EventStream(asyncio.Protocol):
    """One stream of server-sent events. Callbacks: opened(), event(Event), closed(refused, detail) once at its end."""

    def __init__(self, host, port, target, headers, opened, event, closed):
        self.host, self.port = host, port
        self.bytes = request("GET", target, f"{host}:{port}", [("Accept", "text/event-stream"), *headers])
        self.opened, self.event, self.closed = opened, event, closed
        self.parser, self.reader, self.transport = ClientSide(), sse.Reader(), None
        self.over, self.task = False, None

    def start(self, connect_timeout_s):
        self.task = asyncio.get_running_loop().create_task(self.connect(connect_timeout_s))

    async def connect(self, connect_timeout_s):
        try:
            await within(
                connect_timeout_s, asyncio.get_running_loop().create_connection(lambda: self, self.host, self.port)
            )
        except ConnectionRefusedError as error:
            self.end(True, str(error))
        except (OSError, asyncio.TimeoutError) as error:
            self.end(False, f"{type(error).__name__}: {error}")

    def connection_made(self, transport):
        self.transport = transport
        if self.over:
            transport.abort()
            return
        self.parser.expect(streams=True)
        transport.write(self.bytes)

    def data_received(self, data):
        try:
            for event in self.parser.feed(data):
                if isinstance(event, Head):
                    if event.status != 200:
                        self.end(False, f"status {event.status}")
                        return
                    self.opened()
                elif isinstance(event, Data):
                    for message in self.reader.feed(event.bytes):
                        if self.over:
                            return
                        self.event(message)
                else:
                    self.end(False, getattr(event, "detail", "the stream ended"))
                    return
        except ValueError as error:
            self.end(False, str(error))

    def connection_lost(self, error):
        self.end(False, str(error or "closed by the other side"))

    def end(self, refused, detail):
        if not self.over:
            self.over = True
            if self.transport is not None:
                self.transport.abort()
            self.closed(refused, detail)

    def cancel(self):
        """Ends the stream without calling closed()."""
        self.over = True
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()
