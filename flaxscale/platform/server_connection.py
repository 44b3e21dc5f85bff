"""One connection to a media server. One set-up is open on it at a time, so a broken answer affects no other."""

import asyncio

from ..jsonl import messages
from ..jsonl.lines import LineBuffer
from ..jsonl.messages import MessageError
from .connection_budget import IdleConnection

WRITE_BUFFER_BYTES_MAX = 64 * 1024  # unsent data above this aborts the connection
CLOSE_TIMEOUT = 10_000  # reading on after the manager's close, for messages in transit


class ServerConnection(asyncio.Protocol):
    """One connection with at most one set-up, which is open (`open_call`) or abandoned (`abandoned_call`)."""

    def __init__(self, endpoint, for_set_up):
        self.endpoint, self.lines, self.transport = endpoint, LineBuffer(), None
        self.dialling, self.for_set_up = True, for_set_up  # until its endpoint takes it
        self.open_call = self.abandoned_call = None
        self.closed = False
        self.opened_at = self.used_at = endpoint.host.now()
        self.half_closed = False  # closed by the manager, and read until the server closes it too

    def connection_made(self, transport):
        self.transport = transport
        self.opened_at = self.used_at = self.endpoint.host.now()
        if self.closed:  # its dial was given up
            transport.abort()
            return
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES_MAX)

    def eof_received(self):
        """Handles the server's close: nothing may be sent from now on, even before the transport reports the loss."""
        if not self.closed:
            self.endpoint.connection_ended_by_server(self)
        self.closed_by_server()
        return False

    def connection_lost(self, exc):
        if not self.closed:
            self.endpoint.connection_ended_by_server(self)
        self.half_closed = False
        self.closed_by_server()
        self.endpoint.host.server_connections.remove(self)
        self.endpoint.connection_lost(self, exc)

    def closed_by_server(self):
        if not self.closed:
            self.closed = True
            self.endpoint.host.counts[
                "server closed" if self.open_call is None else "server closed under a set-up"
            ] += 1

    def pause_writing(self):  # the server does not read
        self.abort()

    def data_received(self, data):
        self.endpoint.host.loop_watch.loop_ran(self.endpoint.host.now())
        for line in self.lines.feed(data):
            if self.closed and not self.half_closed:
                return
            try:
                self.endpoint.handle_message(self, messages.decode(line))
            except MessageError:
                self.abort_unreadable()
                return
        if self.lines.error and (self.half_closed or not self.closed):
            self.abort_unreadable()

    def abort_unreadable(self):
        """Aborts after data that can't be read: the framing of what follows is unknown."""
        self.endpoint.host.counts["spoilt by a server"] += 1
        self.endpoint.connection_ended_by_server(self)
        self.abort()

    def send(self, data):
        if not self.closed:
            self.transport.write(data)

    def close(self, read_on=True):
        """Closes the writing side and reads messages in transit: a release that crosses the close is not sent again."""
        if not self.closed and not read_on:
            self.closed = True
            self.transport.close()
        elif not self.closed:
            self.closed = self.half_closed = True
            self.used_at = self.endpoint.host.now()
            if not self.transport.is_closing():
                self.transport.write_eof()
            self.endpoint.host.counts["closed by us"] += 1
            self.endpoint.host.loop.call_later(CLOSE_TIMEOUT / 10_000, self.abort_half_closed)

    def abort_half_closed(self):
        if self.half_closed and not self.transport.is_closing():
            self.endpoint.host.counts["closed by us alone"] += 1
            self.abort()

    def abort(self):
        if self.half_closed or not self.closed:
            self.closed, self.half_closed = True, False
            self.transport.abort()

    def give_up_dial(self):
        """Ends a connection that did not come up in time."""
        self.closed = True
        if self.transport is None:
            self.endpoint.host.server_connections.remove(self)
        else:  # it came up as the time ran out
            self.transport.abort()

    def usable(self):
        """Whether data written to the connection can still arrive."""
        return self.transport is not None and not self.closed and not self.transport.is_closing()

    def is_busy(self):
        """Whether it serves a set-up, one that was abandoned included."""
        if self.closed:
            return False
        if self.dialling:
            return self.for_set_up
        return self.open_call is not None or self.abandoned_call is not None

    def is_idle(self):
        return not self.dialling and self.open_call is None and self.abandoned_call is None and self.usable()

    def may_make_room(self, opened_before):
        """Whether it may be closed for another one: it is idle, and its server had time to say what it has to say."""
        return self.is_idle() and (self.opened_at <= opened_before or not self.endpoint.needs_connection())

    def idle_state(self):
        endpoint = self.endpoint
        is_only_one = bool(endpoint.playing) and not any(
            other.usable() for other in endpoint.connections if other is not self
        )
        return IdleConnection(self.used_at, is_only_one, bool(endpoint.pending_releases))
