"""Connections of clients: what comes in on them is read, bounded and handed to the host.

A bad message is answered on its own; it never costs a sound request that is open on the same connection. A connection
whose framing is lost, or that keeps sending what can't be read, is read no further: what is open on it gets its answer
first, then it is closed. Nobody holds a descriptor for nothing: whoever says nothing, or leaves a line half said, is
closed, and past our share of descriptors those go first that never said anything good.
"""

import asyncio

from ..jsonl import messages
from ..jsonl.lines import LineBuffer
from ..jsonl.messages import CallInUse, Message, MessageError

SILENT = 15_000  # tenths of a millisecond: closed if nothing good came so long after connecting ...
HALF = 20_000  # ... or, once its open requests are answered, if a line stays unfinished so long
SPOKEN = 2_000  # who means to ask has asked by then: a newcomer's request may be on its way
UNREAD_MOST = 256 * 1024  # bytes of answers that a client leaves unread: it is cut off
BAD_MOST = 16  # bad messages on one connection, after which it is read no further
CLOSING_MOST = 10_000  # a connection that we closed is read for nothing so long, or TCP would take answers back
POLLED = 0.002  # seconds: after a timer of this length the loop has polled, and what had come has been read


class ClientConnection(asyncio.Protocol):
    """One connection. `open`: sessions that are owed an answer on it, by their call."""

    def __init__(self, host):
        self.host, self.lines, self.transport = host, LineBuffer(), None
        self.open, self.good, self.bad = {}, False, 0
        self.closed = False  # nothing is said on it any more
        self.unread = False  # nothing is read from it any more; closed once all that is open is answered
        self.closing_at = None  # when it was closed by us
        self.leaving = False  # chosen to make room, if it stays unused until the loop has polled
        self.carried = 0  # sessions that began on it: a connection of many is the surest to be heard on
        self.since = self.half_since = self.heard_at = self.used_at = host.now()

    # What the transport tells

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(UNREAD_MOST)
        self.host.client_joined(self)

    def data_received(self, data):
        if self.closed or self.unread:
            return
        now = self.heard_at = self.used_at = self.host.now()
        age = self.host.watch.age(now)
        self.host.watch.active(now)
        for line in self.lines.feed(data):
            self.half_since = now
            self.message(line, now - age)
            if self.closed or self.unread:
                return
        if not self.lines.partial:
            self.half_since = now
        if self.lines.error:
            self.stop_reading(self.lines.error)

    def eof_received(self):
        """The client closed, or closed its writing side alone: the two can't be told apart.

        Nothing further is begun for it, and what was open is answered at once, for whoever still reads.
        """
        if not self.closed:
            self.host.client_left(self)
            self.closed = True
        return False

    def connection_lost(self, exc):
        self.closed = True
        self.host.client_parted(self)

    def pause_writing(self):
        self.host.counts["viewers that read nothing"] += 1
        self.abort()

    # What the client says

    def message(self, line, arrived_at):
        try:
            self.dispatch(messages.decode(line), arrived_at)
        except MessageError as bad:
            self.refuse_message(bad, line)

    def dispatch(self, message: Message, arrived_at):
        operation = message.op
        if operation == "offer":
            self.offered(message, arrived_at)
        elif operation == "end":
            self.host.given_up(self, message)
        elif operation == "test":
            self.good = True
            self.say(messages.encode("tested", message.call[:64], why=1))
        elif operation == "ended":
            self.host.releases.heard(message.call)
        elif operation not in ("ringing", "tested", "info"):
            raise MessageError("op: none that we know")

    def offered(self, message, arrived_at):
        try:
            self.host.offered(self, message, arrived_at)
        except CallInUse:
            raise
        except MessageError as bad:
            self.count_bad(bad, message.call.encode())
            self.say(messages.encode("end", message.call[:64], why=messages.CAUSE_INVALID))
            return
        self.good = True

    def refuse_message(self, bad, line):
        """Says that a line was not understood, under no call: it may name that of a sound request."""
        self.say(messages.encode("end", "", why=messages.CAUSE_INVALID))
        self.count_bad(bad, line)

    def count_bad(self, bad, line):
        self.bad += 1
        self.host.said("bad lines", why=str(bad), line=line[:200].decode("latin-1"))
        if self.bad >= BAD_MOST:
            self.stop_reading("too many bad messages")

    def stop_reading(self, why):
        """What follows can't be trusted. Open requests keep their answers, and the connection is closed after them."""
        if not self.unread:
            self.unread = True
            self.host.said("read no further", why=why, open=len(self.open))
            self.close_if_answered()

    # What is said

    def say(self, data):
        if not self.closed and not self.transport.is_closing():
            self.used_at = self.host.now()
            self.transport.write(data)

    def answer(self, session, data):
        """The one answer to a request."""
        self.open.pop(session.call, None)
        self.say(data)
        self.close_if_answered()

    def close_if_answered(self):
        if self.unread and not self.open:
            self.close()

    # Its end

    def spare(self, now):
        """How well it can be done without, to be compared: silent ones first, then those longest without use."""
        if self.open:
            return 0, 0
        if not self.good:
            return 3 if now - self.since > SPOKEN else 1, now - self.since
        return 2, now - self.used_at

    def overdue(self, now):
        """Whether it holds its descriptor for nothing."""
        if self.closing_at is not None:
            return now - self.closing_at > CLOSING_MOST
        if self.open:
            return False
        return (
            (not self.good and now - self.since > SILENT) or bool(self.lines.partial) and now - self.half_since > HALF
        )

    def leave(self):
        """Makes room, unless a request turns out to be on its way: first all that came is read."""
        if not self.leaving:
            self.leaving = True
            self.host.loop.call_later(POLLED, self.leave_unused, self.heard_at)

    def leave_unused(self, heard_at):
        self.leaving = False
        if self.open or self.heard_at != heard_at:
            self.host.descriptors.make_client_room()
        elif self.closed:
            self.abort()
        else:
            self.close()

    def close(self):
        """Closes our side and reads on for nothing: closed with bytes unread, TCP would take answers back."""
        if not self.closed:
            self.closed = self.unread = True
            self.closing_at = self.host.now()
            if not self.transport.is_closing():
                self.transport.write_eof()

    def abort(self):
        self.closed = self.unread = True
        if self.open:
            self.host.said("cut off with requests open", calls=list(self.open)[:4], good=self.good)
        self.transport.abort()
