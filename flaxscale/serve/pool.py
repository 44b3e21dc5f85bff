"""The HTTP client's shell: a pool of kept connections. It never tries anything a second time.

What became of a request that got no whole answer is told by what is provable: `unreached` if no byte of it left
us, `reset` if it may have arrived. Only the owner decides what follows.
"""

import asyncio
from collections import deque
from typing import NamedTuple

from ..http1 import sse
from ..http1.client import ClientSide, Data, Done, Head, InvalidResponse, request
from .clock import now
from .limit import within

IDLE = 300_000  # a kept connection unused for so long is closed: before boxes close it


class Response(NamedTuple):
    status: int
    headers: dict
    body: bytes


class RequestFailed(NamedTuple):
    sent: bool  # it may have arrived
    detail: str
    timed_out: bool = False  # its limit ran out


class Call:
    """One request. done(Response | RequestFailed) comes once, never after cancel() and never from within send()."""

    __slots__ = "bytes", "done", "line", "sent", "over", "head", "body", "origin", "began", "limit"

    def __init__(self, origin, data, done):
        self.origin, self.bytes, self.done, self.line = origin, data, done, None
        self.sent = self.over = False
        self.head, self.body, self.began, self.limit = None, [], now(), None

    def stop(self):
        self.over = True
        if self.limit is not None:
            self.limit.cancel()

    def cancel(self):
        """Nobody waits for it any more: its connection is closed, which is how the other side hears of it.

        True if it had been sent.
        """
        if self.over:
            return self.sent
        self.stop()
        if self.line is not None:
            self.line.abort()
        else:
            self.origin.drop(self)
        return self.sent

    def finish(self, result):
        if not self.over:
            self.stop()
            self.done(result)

    def run_out(self):
        self.done(RequestFailed(self.cancel(), "no answer in time", True))


class Link(asyncio.Protocol):
    """One connection to an origin."""

    def __init__(self, origin):
        self.origin, self.side, self.call, self.transport = origin, ClientSide(), None, None
        self.idle_since = now()

    def connection_made(self, transport):
        self.transport = transport

    def start(self, call):
        self.call, call.line = call, self
        self.side.expect()
        if self.transport.is_closing():
            self.lost("the kept connection had closed")
            return
        call.sent = True
        self.transport.write(call.bytes)

    def data_received(self, data):
        for event in self.side.feed(data):
            call = self.call
            if isinstance(event, InvalidResponse):
                self.lost(event.detail)
                return
            if call is None:
                self.abort()
                return
            if isinstance(event, Head):
                call.head = event
            elif isinstance(event, Data):
                call.body.append(event.bytes)
            elif isinstance(event, Done):
                self.done(event.keep_alive)
                if not event.keep_alive:
                    return

    def done(self, keep):
        call, self.call = self.call, None
        call.line = None
        if keep and not self.transport.is_closing():
            self.idle_since = now()
            self.origin.free(self)
        else:
            self.abort()
        call.finish(Response(call.head.status, call.head.headers, b"".join(call.body)))

    def lost(self, detail):
        call, self.call = self.call, None
        self.abort()
        if call is not None:
            call.line = None
            call.finish(RequestFailed(call.sent, detail))

    def abort(self):
        self.origin.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self):
        for event in self.side.eof():
            if isinstance(event, Done) and self.call is not None and self.call.head is not None:
                self.done(False)
                return False
            if isinstance(event, InvalidResponse):
                self.lost(event.detail)
                return False
        return False

    def connection_lost(self, error):
        if self.call is not None:
            self.lost(f"the connection was lost: {error or 'closed by the other side'}")
        self.origin.forget(self)


class Origin:
    """One address: kept connections, those being made, and calls that wait for one."""

    def __init__(self, pool, host, port):
        self.pool, self.host, self.port = pool, host, port
        self.idle, self.links, self.dialing, self.waiting = [], set(), 0, deque()

    def start(self, call):
        while self.idle:
            link = self.idle.pop()
            if not link.transport.is_closing():
                link.start(call)
                return
            self.links.discard(link)
        self.waiting.append(call)
        self.dial()

    def dial(self):
        while self.dialing < len(self.waiting) and len(self.links) + self.dialing < self.pool.max_connections:
            self.dialing += 1
            self.pool.own(self.connect())

    async def connect(self):
        loop, error = asyncio.get_running_loop(), None
        try:
            _, link = await within(
                self.pool.connect_timeout_s, loop.create_connection(lambda: Link(self), self.host, self.port)
            )
        except (OSError, asyncio.TimeoutError) as bad:
            error = f"{type(bad).__name__}: {bad}"
        self.dialing -= 1
        if error is None:
            self.links.add(link)
            self.free(link)
            self.dial()
            return
        if self.waiting:  # one dial failed, one call fails; the others have dials of their own or wait
            self.waiting.popleft().finish(RequestFailed(False, f"no connection: {error}"))
        if not self.links and not self.dialing:
            self.dial()

    def free(self, link):
        if self.waiting:
            link.start(self.waiting.popleft())
        else:
            self.idle.append(link)

    def forget(self, link):
        self.links.discard(link)
        if link in self.idle:
            self.idle.remove(link)
        if self.waiting:
            self.dial()

    def drop(self, call):
        if call in self.waiting:
            self.waiting.remove(call)


class Pool:
    def __init__(self, connect_timeout_s=0.25, max_connections=64):
        """dial_s: seconds that a connection may take to be made; most: connections to one address."""
        self.connect_timeout_s, self.max_connections = connect_timeout_s, max_connections
        self.origins, self.tasks, self.sweeper = {}, set(), None

    def own(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def send(self, host, port, method, target, headers, body, done, within_s=None):
        """Sends one request. done is called later, never from here; with within_s, by then at the latest."""
        if (origin := self.origins.get((host, port))) is None:
            origin = self.origins[host, port] = Origin(self, host, port)
        call = Call(origin, request(method, target, f"{host}:{port}", headers, body), done)
        origin.start(call)
        if within_s is not None:
            call.limit = asyncio.get_running_loop().call_later(within_s, call.run_out)
        return call

    async def fetch(self, host, port, method, target, headers, body, within_s):
        """The Response to one request; OSError where none came, TimeoutError (one of them) where none came in time."""
        came = asyncio.get_running_loop().create_future()
        call = self.send(
            host, port, method, target, headers, body, lambda result: came.done() or came.set_result(result)
        )
        try:
            result = await within(within_s, came)
        except TimeoutError:
            raise TimeoutError(f"no answer within {within_s:g} s") from None
        finally:
            call.cancel()  # nothing where it is over
        if isinstance(result, RequestFailed):
            raise OSError(result.detail)
        return result

    def sweep(self):
        """Closes what has been kept for long; call it now and then."""
        time = now()
        for origin in self.origins.values():
            for link in [link for link in origin.idle if time - link.idle_since > IDLE]:
                link.abort()
        for key in [key for key, o in self.origins.items() if not (o.links or o.dialing or o.waiting)]:
            del self.origins[key]

    async def close(self):
        for origin in self.origins.values():
            for call in list(origin.waiting):
                call.cancel()
            for link in list(origin.links):
                link.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class EventStream(asyncio.Protocol):
    """One server-sent event stream. opened(), event(Event), closed(refused, detail): the last comes once."""

    def __init__(self, host, port, target, headers, opened, event, closed):
        self.host, self.port = host, port
        self.bytes = request("GET", target, f"{host}:{port}", [("Accept", "text/event-stream"), *headers])
        self.opened, self.event, self.closed = opened, event, closed
        self.side, self.reader, self.transport = ClientSide(), sse.Reader(), None
        self.over, self.task = False, None

    def start(self, dial_s):
        self.task = asyncio.get_running_loop().create_task(self.connect(dial_s))

    async def connect(self, dial_s):
        try:
            await within(dial_s, asyncio.get_running_loop().create_connection(lambda: self, self.host, self.port))
        except ConnectionRefusedError as bad:
            self.end(True, str(bad))
        except (OSError, asyncio.TimeoutError) as bad:
            self.end(False, f"{type(bad).__name__}: {bad}")

    def connection_made(self, transport):
        self.transport = transport
        if self.over:
            transport.abort()
            return
        self.side.expect(streams=True)
        transport.write(self.bytes)

    def data_received(self, data):
        try:
            for event in self.side.feed(data):
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
        except ValueError as bad:
            self.end(False, str(bad))

    def connection_lost(self, error):
        self.end(False, str(error or "closed by the other side"))

    def end(self, refused, detail):
        if not self.over:
            self.over = True
            if self.transport is not None:
                self.transport.abort()
            self.closed(refused, detail)

    def cancel(self):
        """Ends it without a word to the owner."""
        self.over = True
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()
