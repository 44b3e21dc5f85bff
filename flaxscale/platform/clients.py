"""Client connections: bounded reading of their messages, which are passed to the host.

A bad message is refused on its own and does not affect valid requests that are open on the same connection. After a
framing error, or too many bad messages in a row, reading stops; open requests still get their answers, then the
connection is closed. Connections that send nothing valid or leave a line incomplete are closed after a timeout. When
the clients' share of descriptors is used up, connections that never sent a valid message are closed first.
"""

import asyncio

from ..jsonl import messages
from ..jsonl.lines import LineBuffer
from ..jsonl.messages import CallInUse, Message, MessageError

# Spans in tenths of a millisecond, where no other unit is given.
FIRST_MESSAGE_TIMEOUT = 15_000  # from connecting to the first valid message
PARTIAL_LINE_TIMEOUT = 20_000  # for completing a line, once all open requests are answered
NEWCOMER_GRACE = 2_000  # a new connection's first request may still be in transit for this long
WRITE_BUFFER_BYTES_MAX = 256 * 1024  # unsent answers above this abort the connection
BAD_MESSAGES_MAX = 16  # in a row on one connection, before reading stops
CLOSE_TIMEOUT = 10_000  # reading on after the manager's close: unread bytes would make TCP drop sent answers
POLL_SECONDS = 0.002  # after a timer of this length the loop has polled and has read what had arrived


class ClientConnection(asyncio.Protocol):
    """One client connection. `open_requests`: sessions that await their answer on it, by call."""

    def __init__(self, host):
        self.host, self.lines, self.transport = host, LineBuffer(), None
        self.open_requests, self.validated, self.bad_messages = {}, False, 0
        self.closed = False  # nothing is sent on it any more
        self.reading_stopped = False  # received data is ignored; closed once all open requests are answered
        self.close_started_at = None  # when the manager or the client closed it
        self.closing_for_room = False  # selected for closing, if still unused after the next poll
        self.accepted_count = 0  # sessions that began on it; releases prefer connections with many
        self.connected_at = self.partial_since = self.received_at = self.used_at = host.now()

    # Transport callbacks

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES_MAX)
        self.host.client_connected(self)

    def data_received(self, data):
        if self.closed or self.reading_stopped:
            return
        now = self.received_at = self.used_at = self.host.now()
        age = self.host.loop_watch.read_age(now)
        self.host.loop_watch.loop_ran(now)
        for line in self.lines.feed(data):
            self.partial_since = now
            self.handle_line(line, now - age)
            if self.closed or self.reading_stopped:
                return
        if not self.lines.partial:
            self.partial_since = now
        if self.lines.error:
            self.stop_reading(self.lines.error)

    def eof_received(self):
        """Handles a close or half-close by the client; the two can't be distinguished.

        No further work is started for the client, and open requests are answered at once in case it still reads.
        """
        if not self.closed:
            self.host.client_closed(self)
            self.closed = True
            self.close_started_at = self.host.now()  # unsent answers may keep the transport open
        return False

    def connection_lost(self, exc):
        self.closed = True
        self.host.client_disconnected(self)

    def pause_writing(self):
        self.host.counts["viewers that read nothing"] += 1
        self.abort()

    # Received messages

    def handle_line(self, line, arrived_at):
        bad_before = self.bad_messages
        try:
            self.dispatch(messages.decode(line), arrived_at)
        except MessageError as error:
            self.reject_line(error, line)
        if self.bad_messages == bad_before:
            self.bad_messages = 0

    def dispatch(self, message: Message, arrived_at):
        operation = message.op
        if operation == "offer":
            self.handle_offer(message, arrived_at)
        elif operation == "end":
            self.host.handle_end(self, message)
        elif operation == "test":
            self.validated = True
            self.send(messages.encode("tested", message.call[:64], why=1))
        elif operation == "ended":
            self.host.client_releases.acknowledged(message.call)
        elif operation not in ("ringing", "tested", "info"):
            raise MessageError("op: unknown operation")

    def handle_offer(self, message, arrived_at):
        try:
            is_known_fleet = self.host.handle_offer(self, message, arrived_at)
        except CallInUse:
            raise
        except MessageError as error:
            self.count_bad_message(error, message.call.encode())
            self.send(messages.encode("end", message.call[:64], why=messages.CAUSE_INVALID))
            return
        self.validated |= is_known_fleet

    def reject_line(self, error, line):
        """Refuses a line without naming a call, which may be the call of a valid request."""
        self.send(messages.encode("end", "", why=messages.CAUSE_INVALID))
        self.count_bad_message(error, line)

    def count_bad_message(self, error, line):
        self.bad_messages += 1
        self.host.count_and_log("bad lines", why=str(error), line=line[:200].decode("latin-1"))
        if self.bad_messages >= BAD_MESSAGES_MAX:
            self.stop_reading("too many bad messages")

    def stop_reading(self, why):
        """Ignores all further data; the connection is closed once its open requests are answered."""
        if not self.reading_stopped:
            self.reading_stopped = True
            self.host.count_and_log("read no further", why=why, open=len(self.open_requests))
            self.close_if_answered()

    # Sending

    def send(self, data):
        if not self.closed and not self.transport.is_closing():
            self.used_at = self.host.now()
            self.transport.write(data)

    def answer(self, session, data):
        """Sends the single answer to a request."""
        self.remove_request(session.call)
        self.send(data)
        self.close_if_answered()

    def remove_request(self, call):
        """Removes a request that awaits no answer any more. Without any, the connection may be closed for room."""
        self.open_requests.pop(call, None)
        if not self.open_requests:
            self.host.descriptors.recheck_hold()

    def close_if_answered(self):
        if self.reading_stopped and not self.open_requests:
            self.close()

    # Closing

    def eviction_rank(self, now):
        """Sort key for closing connections to make room: highest first.

        Connections without a valid message rank highest, except within NEWCOMER_GRACE; then those unused for longest.
        """
        if self.open_requests:
            return 0, 0
        if not self.validated:
            return 3 if now - self.connected_at > NEWCOMER_GRACE else 1, now - self.connected_at
        return 2, now - self.used_at

    def is_expired(self, now):
        """Whether a timeout has passed, so that its descriptor must be freed."""
        if self.close_started_at is not None:
            return now - self.close_started_at > CLOSE_TIMEOUT
        if self.open_requests:
            return False
        return (
            (not self.validated and now - self.connected_at > FIRST_MESSAGE_TIMEOUT)
            or bool(self.lines.partial)
            and now - self.partial_since > PARTIAL_LINE_TIMEOUT
        )

    def close_for_room(self):
        """Closes the connection after the next poll, unless data arrives by then."""
        if not self.closing_for_room:
            self.closing_for_room = True
            self.host.loop.call_later(POLL_SECONDS, self.close_if_unused, self.received_at)

    def close_if_unused(self, received_at):
        self.closing_for_room = False
        if self.open_requests or self.received_at != received_at:
            self.host.descriptors.make_client_room()
        elif self.closed:
            self.abort()
        else:
            self.close()
            self.host.descriptors.recheck_hold()

    def close(self):
        """Closes the writing side and discards what is read: closed with unread bytes, TCP would drop sent answers."""
        if not self.closed:
            self.closed = self.reading_stopped = True
            self.close_started_at = self.host.now()
            if not self.transport.is_closing():
                self.transport.write_eof()

    def abort(self):
        self.closed = self.reading_stopped = True
        if self.open_requests:
            self.host.count_and_log(
                "cut off with requests open", calls=list(self.open_requests)[:4], good=self.validated
            )
        self.transport.abort()
