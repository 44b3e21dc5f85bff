"""Connections of viewers: what comes in on them is read, bounded and handed to the host.

Nobody may hold a descriptor for nothing: whoever says nothing, or leaves a line half said, is closed; past our share
of descriptors those go first that never said anything good.
"""

import asyncio

from ..jsonl import messages
from ..jsonl.lines import Lines
from ..jsonl.messages import Fault, Message

SILENT = 15_000  # closed if nothing good came so long after connecting ...
HALF = 20_000  # ... or if a line stays half said so long
SPOKEN = 2_000  # who means to ask has asked by then: a newcomer's request may be on its way
BACKLOG = 256 * 1024  # bytes that a viewer left unread: it is cut
OPEN_MOST = 128  # set-ups open on one connection


class ViewerLine(asyncio.Protocol):
    """One connection. `open`: set-ups that are owed an answer on it, by their call."""

    def __init__(self, host):
        self.host, self.lines, self.transport = host, Lines(), None
        self.open, self.good, self.closed = {}, False, False
        self.carried = 0  # viewings that began on it: a connection of many is the surest to be heard on
        self.since = self.half_since = self.heard_at = self.used_at = host.now()

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(BACKLOG)
        self.host.joined(self)

    def connection_lost(self, exc):
        self.closed = True
        self.host.parted(self)

    def pause_writing(self):
        self.host.counts["viewers that read nothing"] += 1
        self.abort()

    def data_received(self, data):
        if self.closed:
            return
        now = self.heard_at = self.used_at = self.host.now()
        for line in self.lines.take(data):
            self.half_since = now
            try:
                self.dispatch(messages.read(line))
            except Fault as bad:
                self.wrong(bad, line)
            if self.closed:
                return
        if not self.lines.rest:
            self.half_since = now
        if self.lines.fault:
            self.wrong(Fault(self.lines.fault))

    def dispatch(self, message: Message):
        op = message.op
        if op == "offer":
            try:
                self.host.offered(self, message)
            except Fault:
                if message.call in self.open:  # an answer under this call would be the open one's
                    raise
                self.say(messages.line("end", message.call[:64], why=messages.BAD))
                raise
            self.good = True
        elif op == "end":
            self.host.given_up(self, message)
        elif op == "test":
            self.good = True
            self.say(messages.line("tested", message.call[:64], why=1))
        elif op not in ("ringing", "ended", "tested", "info"):
            raise Fault("op: none that we know")
        elif op == "ended":
            self.host.release_heard(message.call)

    def wrong(self, bad, line=b""):
        """Says nothing further on a connection that can't be trusted; what was open on it has no reader left."""
        self.host.said("bad lines", why=str(bad), line=line[:200].decode("latin-1"))
        self.close()

    def say(self, data):
        if not self.closed:
            self.used_at = self.host.now()
            self.transport.write(data)

    def spare(self, now):
        """How well it can be done without, to be compared: silent ones first, then those longest without use."""
        if self.open:
            return 0, 0
        if not self.good:
            return 3 if now - self.since > SPOKEN else 1, now - self.since
        return 2, now - self.used_at

    def overdue(self, now):
        """Whether it holds its descriptor for nothing."""
        return not self.good and now - self.since > SILENT or bool(self.lines.rest) and now - self.half_since > HALF

    def close(self):
        if not self.closed:
            self.closed = True
            self.unanswered()
            self.transport.close()

    def unanswered(self):
        if self.open:  # what was open here has no reader left, and counts as lost where it was sound
            self.host.said("closed with set-ups open", calls=list(self.open)[:4], good=self.good)

    def abort(self):
        self.closed = True
        self.unanswered()
        self.transport.abort()
