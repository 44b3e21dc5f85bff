"""Connections to media servers. One set-up is open on a connection at a time, so a broken answer affects no other.

An Endpoint holds what concerns one server: its connections, the releases that it has not acknowledged and the rungs to
set. The result of an attempt is reported to the host in the decision module's terms; attempts are not retried here.
"""

import asyncio
from dataclasses import dataclass

from ..interface import Outcome, ServerStatus
from ..jsonl import messages
from ..jsonl.lines import LineBuffer
from ..jsonl.messages import MessageError
from .localerrors import is_local

# Spans in tenths of a millisecond.
RELEASE_TIMEOUT = 100_000  # a release is retried for this long; by then the server has ended the session or is gone
ABANDONED_TIMEOUT = 20_000  # an abandoned attempt may be answered for this long; then its connection is closed
SERVER_LOST_TIMEOUT = 65_000  # silence after which a server is lost: clients must be told within 8 s (PROTOCOL)
FAILURES_TO_LOSE = 2  # failed connections since then that are also required; one may fail by chance
SILENCE_MIN = 20_000  # least silence of a server with playing sessions before a new connection checks it
NOTE_INTERVAL_FACTOR = 1.25  # the same in load report intervals: a check costs each manager a connection
RECONNECT_PAUSE = 2_000  # after a failed connection
MAINTENANCE_PERIOD = 1_000  # time between two maintenance passes
RECONNECT_PAUSE_LONG = 10_000  # after FAILURES_TO_LOSE failures; a recovered server answers on its open connections
WRITE_BUFFER_BYTES_MAX = 64 * 1024  # unsent data above this aborts the connection
IDLE_CONNECTIONS_MAX = 4  # idle connections kept to one server
CLOSE_TIMEOUT = 10_000  # reading on after the manager's close, for messages in transit
MILLISECOND = 10  # the protocol's unit of spans


@dataclass(slots=True)
class PendingRelease:
    """A release that the server has not acknowledged. `connection`: where it was last sent."""

    cause: int
    requested_at: int
    connection: "ServerConnection | None" = None


class ServerConnection(asyncio.Protocol):
    """One connection with at most one set-up, which is open (`open_call`) or abandoned (`abandoned_call`)."""

    def __init__(self, endpoint):
        self.endpoint, self.lines, self.transport = endpoint, LineBuffer(), None
        self.open_call = self.abandoned_call = None
        self.closed, self.used_at = False, endpoint.host.now()
        self.half_closed = False  # closed by the manager, and read until the server closes it too

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES_MAX)

    def eof_received(self):
        """Handles the server's close: nothing may be sent from now on, even before the transport reports the loss."""
        self.closed_by_server()
        return False

    def connection_lost(self, exc):
        self.half_closed = False
        self.closed_by_server()
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

    def usable(self):
        """Whether data written to the connection can still arrive."""
        return not self.closed and not self.transport.is_closing()

    def is_idle(self):
        return self.open_call is None and self.abandoned_call is None and self.usable()


class Endpoint:
    """The state of one media server's connections."""

    def __init__(self, host, server, address, started_at):
        self.host, self.server, self.address = host, server, address
        self.connections, self.dials_pending = set(), 0
        self.waiting_sessions = {}  # call -> session whose set-up waits for a new connection
        self.early_releases = {}  # call -> release received on another connection before the set-up's answer
        self.pending_releases, self.pending_rungs = {}, {}  # call -> PendingRelease; call -> rung to set
        self.playing = set()  # ids of the sessions that play there
        self.received_at = host.now()
        self.failures = self.refusals = self.retry_at = 0  # failed connections since the last that was opened
        self.retired = False  # replaced at its address, moved or removed
        self.list_state, self.started_at = ServerStatus.READY, started_at

    # Attempts

    def start_attempt(self, session):
        """Sends a set-up on an idle connection, or opens a new one for it."""
        if self.retired:
            self.host.fail_attempt_later(session, Outcome.UNREACHED)
        elif connection := self.idle_connection():
            self.send_set_up(connection, session)
        elif self.host.descriptors.make_server_room():
            self.waiting_sessions[session.call] = session
            self.host.counts["dialled for a set-up"] += 1
            self.dial(session)
        else:
            self.host.counts["no descriptor"] += 1
            self.host.fail_attempt_later(session, Outcome.MOOT)

    def idle_connection(self):
        idle = [connection for connection in self.connections if connection.is_idle()]
        return max(idle, key=lambda connection: connection.used_at, default=None)

    def send_set_up(self, connection, session):
        self.waiting_sessions.pop(session.call, None)
        now = self.host.now()
        left = (session.expire_at - now) // MILLISECOND
        if left < 1:  # the protocol's smallest deadline is 1 ms, which would be later than the actual one
            self.host.fail_attempt_later(session, Outcome.MOOT)
            return
        if session.call in self.pending_releases:  # ends an earlier attempt under the same call first
            connection.send(messages.encode("end", session.call, why=self.pending_releases.pop(session.call).cause))
        connection.open_call, session.connection, connection.used_at = session.call, connection, now
        fields = {"class": session.package, "key": session.key, "left": left, "rung": session.rung}
        connection.send(messages.encode("offer", session.call, fields, desc=session.desc))

    def cancel_waiting(self, session):
        """Cancels a set-up that waits for its connection. True: it was not sent and never will be."""
        return self.waiting_sessions.pop(session.call, None) is not None

    def abandon(self, session):
        """Drops an attempt whose result is no longer needed. False: it was never sent."""
        if self.cancel_waiting(session):
            return False
        connection, session.connection = session.connection, None
        self.early_releases.pop(session.call, None)
        if connection is not None and connection.open_call == session.call:
            connection.open_call, connection.abandoned_call, connection.used_at = None, session.call, self.host.now()
            self.release(session.call, messages.CAUSE_NORMAL, connection)
        else:
            self.release(session.call, messages.CAUSE_NORMAL)
        return True

    def forget(self, session):
        """Drops what is held of a session that is over, but for releases that the server has not acknowledged."""
        self.playing.discard(session.id)
        self.pending_rungs.pop(session.call, None)

    # Releases and rung changes

    def release(self, call, cause, connection=None):
        """Ends a session that may be starting or playing; retried until the server acknowledges it."""
        self.pending_rungs.pop(call, None)
        self.pending_releases[call] = PendingRelease(cause, self.host.now())
        self.flush(connection)

    def set_rung(self, call, rung):
        self.pending_rungs[call] = rung
        self.flush()

    def flush(self, connection=None):
        """Sends pending releases and rungs on this connection or any usable one; opens one if there is none."""
        if not self.pending_releases and not self.pending_rungs:
            return
        if connection is None or not connection.usable():
            usable = (candidate for candidate in self.connections if candidate.usable())
            connection = self.idle_connection() or next(usable, None)
        if connection is None:
            if not self.dials_pending and not self.retired:
                self.host.counts["dialled to say something"] += 1
                self.dial(None)
            return
        for call, release in self.pending_releases.items():
            if release.connection is None or release.connection.closed:
                connection.send(messages.encode("end", call, why=release.cause))
                release.connection = connection
        for call, rung in self.pending_rungs.items():
            connection.send(messages.encode("set", call, {"rung": rung}))
        self.pending_rungs.clear()

    # Connections

    def dial(self, session):
        self.dials_pending += 1
        self.host.servers.active.add(self)
        self.host.start_task(self.open_connection(session))

    async def open_connection(self, session):
        host = self.host
        try:
            async with asyncio.timeout(host.config.terms.allowed.dial_timeout / 10_000):
                connection = await host.connect(lambda: ServerConnection(self), self.address)
        except (OSError, TimeoutError) as error:
            self.dials_pending -= 1
            self.dial_failed(session, error)
            return
        self.dials_pending -= 1
        self.failures = self.refusals = 0
        still_waiting = session is not None and session.call in self.waiting_sessions
        if not connection.usable() or host.stopped:
            connection.abort()
            if still_waiting:
                del self.waiting_sessions[session.call]
                host.attempt_failed(session, Outcome.UNREACHED)
            return
        self.connections.add(connection)
        self.received_at = host.now()
        if still_waiting:
            self.send_set_up(connection, session)
        self.flush(connection)

    def dial_failed(self, session, error):
        """Handles a failed connection attempt. Only errors caused by the server or the network count against it."""
        host, local = self.host, is_local(error)
        if local:
            host.count_and_log("local error", call="connect", error=str(error))
            outcome = Outcome.MOOT
        else:
            refused = isinstance(error, ConnectionRefusedError)
            host.counts["dials refused" if refused else "dials that came to nothing"] += 1
            self.failures += 1
            self.refusals += refused
            outcome = Outcome.UNREACHED
        self.retry_at = host.now() + (RECONNECT_PAUSE if self.failures < FAILURES_TO_LOSE else RECONNECT_PAUSE_LONG)
        if session is not None and self.waiting_sessions.pop(session.call, None):
            host.attempt_failed(session, outcome)

    def connection_lost(self, connection, error):
        self.connections.discard(connection)
        call, connection.open_call = connection.open_call, None
        session = call and self.host.session_by_call(call)
        if session and session.connection is connection:
            session.connection = None
            self.early_releases.pop(call, None)
            # The set-up may have taken effect: it is released by its call, on another connection.
            self.release(call, messages.CAUSE_NORMAL)
            # A local error is no failure of the server; it is reported as a cancelled attempt.
            self.host.attempt_failed(session, Outcome.CANCELLED if is_local(error) else Outcome.RESET)
        if not self.host.stopped:
            self.flush()

    def maintain(self, now):
        """Closes idle connections, expires releases, checks silent servers and detects lost ones."""
        self.close_idle(now)
        for call, release in list(self.pending_releases.items()):
            if now - release.requested_at > RELEASE_TIMEOUT:
                del self.pending_releases[call]
        connected = self.is_connected()
        if self.refusals >= 2 and not connected:
            self.pending_releases.clear()  # the process is gone, and its sessions with it
        elif (self.pending_releases or self.pending_rungs) and now >= self.retry_at:
            self.flush()
        if not self.playing:
            return
        if self.retired or (self.refusals >= 2 and not connected):
            self.lose_sessions()  # the process is gone, and its sessions with it
        elif self.failures >= FAILURES_TO_LOSE and now - self.received_at > SERVER_LOST_TIMEOUT:
            self.lose_sessions()
        elif (
            not self.dials_pending
            and now >= self.retry_at
            and (not connected or now - self.received_at > self.silence_limit())
        ):
            if self.host.descriptors.make_server_room():
                self.host.counts["dialled to prove the way"] += 1
                self.dial(None)

    def is_connected(self):
        return any(connection.usable() for connection in self.connections)

    def close_idle(self, now):
        idle_timeout = self.host.config.idle_timeout * 4 // 5
        for connection in list(self.connections):
            if connection.abandoned_call is not None and now - connection.used_at > ABANDONED_TIMEOUT:
                connection.close()
            elif connection.is_idle() and now - connection.used_at > idle_timeout:
                if not self.playing or len(self.connections) > 1:
                    connection.close()
        idle = sorted(
            (connection for connection in self.connections if connection.is_idle()),
            key=lambda connection: connection.used_at,
        )
        for connection in idle[: max(0, len(idle) - IDLE_CONNECTIONS_MAX)]:
            connection.close()

    def silence_limit(self):
        """How long a server with playing sessions may be silent: until a load report is overdue, if it sends any.

        The time left until SERVER_LOST_TIMEOUT must suffice for FAILURES_TO_LOSE connection attempts, each with its
        timeout and pause.
        """
        terms = self.host.config.terms
        longest = SERVER_LOST_TIMEOUT - FAILURES_TO_LOSE * (
            terms.allowed.dial_timeout + RECONNECT_PAUSE + MAINTENANCE_PERIOD
        )
        note_interval = terms.fleet.note_every
        return (
            max(SILENCE_MIN, min(longest, round(NOTE_INTERVAL_FACTOR * note_interval)))
            if note_interval
            else max(SILENCE_MIN, longest)
        )

    def update_from_list(self, row):
        """Applies the server's list row. Sessions from before a restart ended with the previous process."""
        self.list_state = row.state
        if row.started_at != self.started_at and row.started_at:
            self.started_at = row.started_at
            for id in list(self.playing):
                if self.host.sessions[id].sent_at < row.started_at:
                    self.host.session_lost(id)

    def in_use(self):
        """Whether it has connections, sessions or pending work, and so needs maintenance."""
        return bool(
            self.connections
            or self.dials_pending
            or self.waiting_sessions
            or self.playing
            or self.pending_releases
            or self.pending_rungs
        )

    def is_removable(self):
        """Whether it is off the list and has no sessions or pending work."""
        return (
            (self.retired or self.list_state is ServerStatus.GONE)
            and not (
                self.playing
                or self.waiting_sessions
                or self.dials_pending
                or self.pending_releases
                and not self.retired
            )
            and all(connection.is_idle() for connection in self.connections)
        )

    def lose_sessions(self):
        """Ends all sessions that played there."""
        for id in list(self.playing):
            self.host.session_lost(id)

    def retire(self):
        """Starts no further attempt at this server and closes its idle connections."""
        self.retired = True
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close()

    # Received messages

    def handle_message(self, connection, message):
        host, call, operation = self.host, message.call, message.op
        self.received_at = host.now()
        if operation == "ended":
            self.release_acknowledged(connection, call)
            return
        session = host.session_by_call(call)
        if operation == "info":
            host.handle_note(self, session, message)
        elif (
            operation in messages.ANSWER_OPS
            and connection.open_call == call
            and session
            and session.connection is connection
        ):
            self.handle_answer(connection, session, message)
        elif operation == "end":
            self.handle_release(connection, session, message)
        elif operation not in ("accept", "ringing", "tested", "test", "set", "redirect", "offer"):
            raise MessageError("op: unknown operation")

    def handle_answer(self, connection, session, message):
        """Handles the answer to the set-up that is open on this connection."""
        host, accepted = self.host, message.op == "accept"
        if accepted and not message.desc:
            raise MessageError("desc: a description expected")
        connection.open_call, session.connection, connection.used_at = None, None, host.now()
        early_release = self.early_releases.pop(message.call, None)
        if not accepted:
            outcome = messages.OUTCOMES_BEFORE_START.get(message.why, Outcome.RESET)
            host.attempt_failed(session, outcome, messages.parse_load(message, host.config.load_names))
            return
        host.attempt_accepted(self, session, message)
        if session.id in self.playing and early_release:
            host.ended_by_server(self, session, early_release)
        elif session.id in self.playing and self.retired:
            host.session_lost(session.id)

    def handle_release(self, connection, session, message):
        """Handles a release of a playing session, or of one that awaits its answer elsewhere."""
        if session is None or session.id in self.playing:
            self.host.record_end(self.host.server_ends, message, self.server)
        if session is not None and session.id in self.playing:
            self.host.ended_by_server(self, session, message)
        elif session is not None:
            attempt_connection = session.connection
            self.host.count_and_log(
                "end of what is out", call=message.call, why=message.why, out=attempt_connection is not None
            )
            if attempt_connection is not None and attempt_connection.endpoint is self:
                self.early_releases[message.call] = message
        self.release_acknowledged(connection, message.call)
        self.acknowledge_release(connection, message.call)

    def acknowledge_release(self, connection, call):
        """Acknowledges the server's release, on another connection if this one is closed."""
        if connection.closed:
            connection = next((other for other in self.connections if other.usable()), connection)
        connection.send(messages.encode("ended", call))

    def release_acknowledged(self, connection, call):
        self.pending_releases.pop(call, None)
        if connection.abandoned_call == call:
            connection.abandoned_call, connection.used_at = None, self.host.now()
