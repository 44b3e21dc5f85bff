"""The HTTP server's shell: one protocol object a connection, one exchange a request, no task anywhere.

Requests of one connection are answered in order, the next is handed over when the last was answered; those that
came meanwhile wait, and past a few reading stops. A client that closes is told to whoever works on its request.
"""

import asyncio
import socket
from collections import deque
from typing import NamedTuple

from ..http1 import problem
from ..http1.server import ContinueExpected, Limits, Refused, ServerSide, chunk, response, stream_head
from .clock import http_date, now

WAITING = 8  # requests read ahead on one connection
STREAM_BACKLOG = 1 << 20  # a stream whose reader is further behind is cut
# After a refusal, input is read and discarded for so long and up to so many bytes.
LINGER = 20_000  # tenths of a millisecond
LINGER_BYTES = 4 << 20
GONE = 7, 8  # TCP_INFO's first byte: closed, and closed by the other side (tcp_states.h)


class Timeouts(NamedTuple):
    """Spans in tenths of a millisecond."""

    head: int = 50_000  # from a request's first byte to the end of its header
    body: int = 100_000  # and from there to the end of its body
    idle: int = 750_000  # between requests


class Exchange:
    """One request and its one answer. on_disconnect() is called if the client closes before the answer."""

    __slots__ = "connection", "request", "arrived", "answered", "on_disconnect", "streams"

    def __init__(self, connection, request, arrived):
        self.connection, self.request, self.arrived = connection, request, arrived
        self.answered, self.on_disconnect, self.streams = False, None, False

    def respond(self, status, headers=(), body=b""):
        if self.answered:
            return False
        self.answered = True
        self.connection.respond(self, status, headers, body)
        return True

    def refuse(self, status, title, detail="", headers=(), **more):
        body = problem.problem(status, title, detail, **more)
        return self.respond(status, [("Content-Type", problem.MEDIA_TYPE), *headers], body)

    def stream(self, headers):
        """Begins an answer without end; then send() until the client goes or end()."""
        self.answered = self.streams = True
        self.connection.write(stream_head(headers, self.connection.server.date()))

    def send(self, data):
        if self.streams:
            self.connection.write(chunk(data))
            if self.connection.behind() > STREAM_BACKLOG:
                self.connection.abort()

    def end(self):
        if self.streams:
            self.streams = False
            self.connection.write(b"0\r\n\r\n")
            self.connection.finish(False)

    def abort(self):
        """Ends the connection without a word, as a server does that dies."""
        self.answered = True
        self.connection.abort()


class Connection(asyncio.Protocol):
    """One connection."""

    def __init__(self, server):
        self.server, self.side = server, ServerSide(server.limits)
        self.transport, self.current, self.waiting = None, None, deque()
        self.full = self.paused = self.closing = False
        self.unread = True  # nothing was read on it yet
        self.lingers = 0  # bytes still read for nothing after a refusal
        self.deadline, self.phase = None, None

    def connection_made(self, transport):
        self.transport = transport
        if (
            self.server.drop_disconnected()
            and transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in GONE
        ):
            self.server.closed_before_read += 1
            self.abort()
            return
        if len(self.server.connections) >= self.server.max_connections:
            self.server.rejected_connections += 1
            transport.write(
                response(
                    503,
                    [("Content-Type", problem.MEDIA_TYPE), ("Retry-After", "1")],
                    problem.problem(503, "Too many connections"),
                    False,
                    self.server.date(),
                )
            )
            transport.close()
            return
        self.server.connections.add(self)
        self.set_deadline("idle")

    def data_received(self, data):
        if self.closing:
            if self.lingers:
                self.lingers -= min(self.lingers, len(data))
                if not self.lingers:
                    self.transport.close()
            return
        self.server.tap(self, data)
        self.unread = False
        for event in self.side.feed(data):
            if isinstance(event, ContinueExpected):
                if self.current is None and not self.waiting:
                    self.write(response(100))
            elif isinstance(event, Refused):
                self.waiting.append(event)
            else:
                self.waiting.append(Exchange(self, event, now()))
        if self.current is None:
            self.next()
        phase = self.side.phase
        if phase != self.phase:
            self.set_deadline(phase)
        if len(self.waiting) >= WAITING and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def next(self):
        """Hands over the request that waits longest."""
        while self.waiting and self.current is None and not self.full and not self.closing:
            first = self.waiting.popleft()
            if isinstance(first, Refused):
                self.server.rejected_requests += 1
                self.write(
                    response(
                        first.status,
                        [("Content-Type", problem.MEDIA_TYPE)],
                        problem.problem(first.status, "The request can't be taken", first.detail),
                        False,
                        self.server.date(),
                    )
                )
                self.linger()
                return
            self.current = first
            self.server.handle(first)
        if self.paused and len(self.waiting) < WAITING and not self.closing:
            self.paused = False
            self.transport.resume_reading()

    def respond(self, exchange, status, headers, body):
        keep = exchange.request.keep_alive and not self.server.stopping
        self.write(response(status, headers, body, keep, self.server.date(), exchange.request.method == "HEAD"))
        self.finish(keep)

    def finish(self, keep):
        self.current = None
        if not keep:
            self.close()
            return
        self.set_deadline(self.side.phase)
        if self.waiting:  # not from within the handler of the last one: a pipeline must not recurse
            self.server.loop.call_soon(self.next)

    def write(self, data):
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def behind(self):
        return self.transport.get_write_buffer_size() if self.transport else 0

    def close(self):
        self.closing = True
        self.transport.close()

    def linger(self):
        """Closes our side and reads on for a while: closed with bytes unread, TCP would take the refusal back with a
        reset (RFC 9112, 9.6). The client's own close, the bytes or the time end it."""
        self.closing, self.lingers = True, LINGER_BYTES
        self.waiting.clear()
        self.deadline = now() + LINGER
        if self.paused:
            self.paused = False
            self.transport.resume_reading()
        if not self.transport.is_closing():
            self.transport.write_eof()

    def abort(self):
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def set_deadline(self, phase):
        self.phase = phase
        self.deadline = now() + getattr(self.server.times, phase)

    def late(self, time):
        """Called now and then; what is being answered is bounded by its patience, not here."""
        if self.current is not None or self.waiting or self.deadline is None or time < self.deadline:
            return
        if self.lingers or self.closing:
            self.transport.close()
            return
        if self.phase != "idle":
            self.server.request_timeouts += 1
            self.write(
                response(
                    408,
                    [("Content-Type", problem.MEDIA_TYPE)],
                    problem.problem(408, "Too slow", f"the {self.phase} of the request took too long"),
                    False,
                    self.server.date(),
                )
            )
            self.linger()
            return
        self.close()

    def eof_received(self):
        # A client that closes its side is gone: one that only half closes and still waits can't be told from it.
        return False

    def connection_lost(self, error):
        self.closing = True
        self.server.connections.discard(self)
        gone, self.current = self.current, None
        self.waiting.clear()
        if gone is not None and gone.on_disconnect is not None and (not gone.answered or gone.streams):
            gone.streams = False
            gone.on_disconnect()

    def pause_writing(self):
        self.full = True

    def resume_writing(self):
        self.full = False
        self.next()


class Server:
    """Listens, and hands each request to handle(exchange)."""

    def __init__(
        self,
        handle,
        limits=Limits(),
        times=Timeouts(),
        max_connections=20_000,
        tap=None,
        drop_disconnected=lambda: False,
    ):
        """tap(connection, data) sees all bytes that come in.

        drop_disconnected(): who is let in now may have waited long at the door. Then a client that closed meanwhile is
        dropped unread: after a standstill most of those that wait have gone, and they stand before who still waits.
        """
        self.handle, self.limits, self.times, self.max_connections = handle, limits, times, max_connections
        self.tap, self.drop_disconnected = tap or (lambda connection, data: None), drop_disconnected
        self.connections, self.listener, self.sweeper, self.loop = set(), None, None, None
        self.rejected_connections = self.rejected_requests = self.request_timeouts = self.closed_before_read = 0
        self.stopping, self.dated = False, (0, "")

    def date(self):
        """The Date field's value, made once a second."""
        second = now() // 10_000
        if self.dated[0] != second:
            self.dated = second, http_date()
        return self.dated[1]

    async def listen(self, host, port, backlog=4096):
        """Returns the (host, port) that it listens on."""
        self.loop = asyncio.get_running_loop()
        self.listener = await self.loop.create_server(lambda: Connection(self), host, port, backlog=backlog)
        self.sweep()
        return self.listener.sockets[0].getsockname()[:2]

    def sweep(self):
        time = now()
        for connection in [c for c in self.connections if c.deadline is not None and time >= c.deadline]:
            connection.late(time)
        self.sweeper = self.loop.call_later(0.25, self.sweep)

    def abort_all(self):
        for connection in list(self.connections):
            connection.abort()

    def stop_listening(self):
        if self.listener:
            self.listener.close()
            self.listener = None

    async def stop(self):
        """No new connection; what is being answered is the caller's to finish first."""
        self.stopping = True
        self.stop_listening()
        if self.sweeper:
            self.sweeper.cancel()
        for connection in list(self.connections):
            if connection.current is None or connection.current.streams:
                connection.close()
        await asyncio.sleep(0)
