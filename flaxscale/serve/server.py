"""HTTP server: one protocol object for each connection, one Exchange for each request, and no tasks.

Pipelined requests of a connection are handled one at a time and answered in order. Further requests wait, and reading
pauses when MAX_PIPELINED wait. If the client closes, the handler of its request is notified by on_disconnect().
"""

import asyncio
import socket
from collections import deque
from typing import NamedTuple

from ..http1 import problem
from ..http1.server import ContinueExpected, Limits, Refused, ServerSide, chunk, response, stream_head
from .clock import http_date, now

MAX_PIPELINED = 8  # requests that wait on one connection before reading pauses
MAX_STREAM_BACKLOG = 1 << 20  # unsent bytes; a stream whose client reads more slowly is aborted
# After a refusal, input is read and discarded up to these limits; see Connection.linger().
LINGER_TIMEOUT = 20_000  # tenths of a millisecond
MAX_LINGER_BYTES = 4 << 20
CLOSED_TCP_STATES = 7, 8  # first byte of TCP_INFO: TCP_CLOSE and TCP_CLOSE_WAIT (tcp_states.h)


class Timeouts(NamedTuple):
    """Time-outs for receiving, in tenths of a millisecond; ServerSide.phase names the one that applies."""

    head: int = 50_000  # from a request's first byte to the end of its header
    body: int = 100_000  # from the end of the header to the end of the body
    idle: int = 750_000  # between requests


class Exchange:
    """One request and its answer. on_disconnect() is called if the client closes before the answer is complete."""

    __slots__ = "connection", "request", "arrived", "answered", "on_disconnect", "streams"

    def __init__(self, connection, request, arrived):
        self.connection, self.request, self.arrived = connection, request, arrived
        self.answered, self.on_disconnect, self.streams = False, None, False

    def respond(self, status, headers=(), body=b""):
        """Sends the answer; returns False if one was sent already."""
        if self.answered:
            return False
        self.answered = True
        self.connection.respond(self, status, headers, body)
        return True

    def refuse(self, status, title, detail="", headers=(), **more):
        """Answers with problem details (RFC 9457)."""
        body = problem.problem(status, title, detail, **more)
        return self.respond(status, [("Content-Type", problem.MEDIA_TYPE), *headers], body)

    def stream(self, headers):
        """Starts a chunked answer, to be continued with send() until end() or until the client closes."""
        self.answered = self.streams = True
        self.connection.write(stream_head(headers, self.connection.server.date()))

    def send(self, data):
        """Sends one chunk of a streamed answer."""
        if self.streams:
            self.connection.write(chunk(data))
            if self.connection.unsent_bytes() > MAX_STREAM_BACKLOG:
                self.connection.abort()

    def end(self):
        """Ends a streamed answer and closes the connection."""
        if self.streams:
            self.streams = False
            self.connection.write(b"0\r\n\r\n")
            self.connection.finish(False)

    def abort(self):
        """Drops the connection without an answer, as a crashing server would."""
        self.answered = True
        self.connection.abort()


class Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server):
        self.server, self.parser = server, ServerSide(server.limits)
        self.transport, self.current, self.waiting = None, None, deque()
        self.write_paused = self.read_paused = self.closing = False
        self.unread = True  # no byte was read from it yet
        self.linger_bytes = 0  # after a refusal: how many more bytes are read and discarded
        self.deadline, self.phase = None, None

    def connection_made(self, transport):
        self.transport = transport
        if (
            self.server.drop_disconnected()
            and transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
            in CLOSED_TCP_STATES
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
            if self.linger_bytes:
                self.linger_bytes -= min(self.linger_bytes, len(data))
                if not self.linger_bytes:
                    self.transport.close()
            return
        self.server.tap(self, data)
        self.unread = False
        for event in self.parser.feed(data):
            if isinstance(event, ContinueExpected):
                if self.current is None and not self.waiting:
                    self.write(response(100))
            elif isinstance(event, Refused):
                self.waiting.append(event)
            else:
                self.waiting.append(Exchange(self, event, now()))
        if self.current is None:
            self.handle_next()
        phase = self.parser.phase
        if phase != self.phase:
            self.set_deadline(phase)
        if len(self.waiting) >= MAX_PIPELINED and not self.read_paused:
            self.read_paused = True
            self.transport.pause_reading()

    def handle_next(self):
        """Passes the longest-waiting request to the handler."""
        while self.waiting and self.current is None and not self.write_paused and not self.closing:
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
        if self.read_paused and len(self.waiting) < MAX_PIPELINED and not self.closing:
            self.read_paused = False
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
        self.set_deadline(self.parser.phase)
        if self.waiting:  # not from within the handler of the previous request: pipelined requests must not recurse
            self.server.loop.call_soon(self.handle_next)

    def write(self, data):
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def unsent_bytes(self):
        return self.transport.get_write_buffer_size() if self.transport else 0

    def close(self):
        self.closing = True
        self.transport.close()

    def linger(self):
        """Closes the sending side after a refusal, then reads and discards input for a while.

        If the socket were closed with unread input, TCP would send a reset and the client could lose the refusal
        (RFC 9112, 9.6). Lingering ends when the client closes, MAX_LINGER_BYTES were read or LINGER_TIMEOUT passed.
        """
        self.closing, self.linger_bytes = True, MAX_LINGER_BYTES
        self.waiting.clear()
        self.deadline = now() + LINGER_TIMEOUT
        if self.read_paused:
            self.read_paused = False
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

    def check_deadline(self, time):
        """Closes the connection if its deadline has passed; requests in progress have time limits of their own."""
        if self.current is not None or self.waiting or self.deadline is None or time < self.deadline:
            return
        if self.linger_bytes or self.closing:
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
        # Treated as a disconnect: a half-closed client that still waits can't be distinguished from one that is gone.
        return False

    def connection_lost(self, error):
        self.closing = True
        self.server.connections.discard(self)
        exchange, self.current = self.current, None
        self.waiting.clear()
        if exchange is not None and exchange.on_disconnect is not None and (not exchange.answered or exchange.streams):
            exchange.streams = False
            exchange.on_disconnect()

    def pause_writing(self):
        self.write_paused = True

    def resume_writing(self):
        self.write_paused = False
        self.handle_next()


class Server:
    """Listens on one address and passes each request to handle(exchange)."""

    def __init__(
        self,
        handle,
        limits=Limits(),
        times=Timeouts(),
        max_connections=20_000,
        tap=None,
        drop_disconnected=lambda: False,
    ):
        """tap(connection, data) is called with all received bytes.

        drop_disconnected() is true while accepted connections may have waited long in the accept queue. Clients that
        closed meanwhile are then dropped unread: after a stall they are most of the queue, and ahead of clients that
        still wait.
        """
        self.handle, self.limits, self.times, self.max_connections = handle, limits, times, max_connections
        self.tap, self.drop_disconnected = tap or (lambda connection, data: None), drop_disconnected
        self.connections, self.listener, self.sweeper, self.loop = set(), None, None, None
        self.rejected_connections = self.rejected_requests = self.request_timeouts = self.closed_before_read = 0
        self.stopping, self.cached_date = False, (0, "")

    def date(self):
        """The value of the Date field, computed once a second."""
        second = now() // 10_000
        if self.cached_date[0] != second:
            self.cached_date = second, http_date()
        return self.cached_date[1]

    async def listen(self, host, port, backlog=4096):
        """Starts listening; returns the actual (host, port)."""
        self.loop = asyncio.get_running_loop()
        self.listener = await self.loop.create_server(lambda: Connection(self), host, port, backlog=backlog)
        self.sweep()
        return self.listener.sockets[0].getsockname()[:2]

    def sweep(self):
        """Checks the deadlines of all connections, four times a second."""
        time = now()
        for connection in [one for one in self.connections if one.deadline is not None and time >= one.deadline]:
            connection.check_deadline(time)
        self.sweeper = self.loop.call_later(0.25, self.sweep)

    def abort_all(self):
        """Drops all connections at once."""
        for connection in list(self.connections):
            connection.abort()

    def stop_listening(self):
        """Accepts no further connections; open ones stay."""
        if self.listener:
            self.listener.close()
            self.listener = None

    async def stop(self):
        """Stops listening and closes idle connections; the caller lets requests in progress finish before."""
        self.stopping = True
        self.stop_listening()
        if self.sweeper:
            self.sweeper.cancel()
        for connection in list(self.connections):
            if connection.current is None or connection.current.streams:
                connection.close()
        await asyncio.sleep(0)
