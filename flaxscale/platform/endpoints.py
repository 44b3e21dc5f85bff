"""The state of one media server.

An Endpoint holds what concerns the server: its connections, the releases that it has not acknowledged and the rungs to
set. The result of an attempt is reported to the host in the decision module's terms; attempts are not retried here.
"""

import asyncio
from dataclasses import dataclass

from ..interface import Outcome, ServerStatus
from ..jsonl import messages
from ..jsonl.messages import MessageError
from .localerrors import is_local
from .server_connection import ServerConnection

# Spans in tenths of a millisecond.
RELEASE_TIMEOUT = 100_000  # a release is retried for this long; by then the server has ended the session or is gone
ABANDONED_TIMEOUT = 20_000  # an abandoned attempt may be answered for this long; then its connection is closed
SERVER_LOST_TIMEOUT = 65_000  # silence after which a server is lost: clients must be told within 8 s (PROTOCOL)
FAILURES_TO_LOSE = 2  # failed connections since then that are also required; one may fail by chance
REFUSALS_TO_LOSE = 2  # refused connections after which the process is taken for gone
SILENCE_MIN = 20_000  # least silence of a server with playing sessions before a new connection checks it
NOTE_INTERVAL_FACTOR = 1.25  # the same in load report intervals: a check costs each manager a connection
RECONNECT_PAUSE = 2_000  # after a failed connection
MAINTENANCE_PERIOD = 1_000  # time between two maintenance passes
RECONNECT_PAUSE_LONG = 10_000  # after FAILURES_TO_LOSE failures; a recovered server answers on its open connections
CONNECTION_TIME_MIN = 10_000  # a server that ends connections sooner is left alone as after a failure
IDLE_CONNECTIONS_MAX = 4  # idle connections kept to one server
MILLISECOND = 10  # the protocol's unit of spans


@dataclass(slots=True)
class PendingRelease:
    """A release that the server has not acknowledged. `connection`: where it was last sent."""

    cause: int
    requested_at: int
    connection: ServerConnection | None = None


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
        self.contact_requested_at = None  # when there was something to tell or to hear, and no connection
        self.failures = self.retry_at = 0  # failed connections since the last that was opened
        self.refusals = 0  # refused connections since the last that was opened or lost
        self.was_reset = False  # whether the last connection was, as a dying process does (PROTOCOL)
        self.short_connections = 0  # in a row, ended by the server within CONNECTION_TIME_MIN
        self.retired = False  # replaced at its address, moved or removed
        self.successor = None  # the endpoint of the server that replaced it at its address
        self.list_state, self.started_at = ServerStatus.READY, started_at

    # Attempts

    def start_attempt(self, session):
        """Sends a set-up on an idle connection, or opens a new one for it."""
        if self.retired:
            self.host.fail_attempt_later(session, Outcome.UNREACHED)
        elif connection := self.idle_connection():
            self.send_set_up(connection, session)
        else:
            self.waiting_sessions[session.call] = session
            self.host.servers.active.add(self)
            if not self.host.server_connections.connect_for_set_up(self, session):
                self.no_descriptor(session)

    def no_descriptor(self, session):
        """Ends an attempt that found no descriptor; the server is not concerned."""
        if self.waiting_sessions.get(session.call) is session:
            del self.waiting_sessions[session.call]
            self.host.counts["no descriptor"] += 1
            self.host.fail_attempt_later(session, Outcome.MOOT)

    def connect_waiting(self, session):
        """Continues a set-up that waited for a descriptor, unless it was cancelled meanwhile."""
        if self.waiting_sessions.get(session.call) is not session:
            return
        if self.retired:
            del self.waiting_sessions[session.call]
            self.host.fail_attempt_later(session, Outcome.UNREACHED)
        elif connection := self.idle_connection():
            self.send_set_up(connection, session)
        else:
            self.dial(session)

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
        """Sends pending releases and rungs on this connection or any usable one; requests one if there is none."""
        if not self.pending_releases and not self.pending_rungs:
            return
        if connection is None or not connection.usable():
            usable = (candidate for candidate in self.connections if candidate.usable())
            connection = self.idle_connection() or next(usable, None)
        if connection is None:
            if self.successor is not None:
                self.hand_on_releases()
            self.request_contact()
            return
        for call, release in self.pending_releases.items():
            if release.connection is None or release.connection.closed:
                connection.send(messages.encode("end", call, why=release.cause))
                release.connection = connection
        for call, rung in self.pending_rungs.items():
            connection.send(messages.encode("set", call, {"rung": rung}))
        self.pending_rungs.clear()

    # Connections

    def contact_soon(self):
        """Makes a connection due at the next maintenance pass, unless there is one."""
        if self.contact_requested_at is None and not self.is_connected():
            self.contact_requested_at = self.host.now()

    def expect_session(self):
        """Prepares for a session that is handed over: a server without any may have been silent for long."""
        if not self.playing and not self.is_connected():
            self.received_at = self.host.now()
        self.contact_soon()

    def request_contact(self):
        """Requests a connection at once, as there is something to tell."""
        self.contact_soon()
        self.host.servers.active.add(self)
        self.request_due_contact(self.host.now())

    def request_due_contact(self, now):
        if self.contact_due_at(now) is not None:
            self.host.server_connections.request_contact(self, now)

    def contact_due_at(self, now):
        """When a new connection is due, None: the server needs none, or none may be opened now.

        Before it is due, a server without a connection gets one if a descriptor is free.
        """
        if self.retired or self.dials_pending or now < self.retry_at or not self.needs_connection():
            return None
        due_at = self.received_at + self.silence_limit()
        if self.is_connected():
            return max(self.retry_at, due_at) if self.playing and due_at < now else None
        if self.contact_requested_at is not None:
            due_at = min(due_at, self.contact_requested_at)
        return max(self.retry_at, due_at)

    def needs_connection(self):
        return bool(self.playing or self.pending_releases or self.pending_rungs)

    def dial(self, session):
        connection = ServerConnection(self, session is not None)
        self.dials_pending += 1
        self.host.counts["dialled for a contact" if session is None else "dialled for a set-up"] += 1
        self.host.servers.active.add(self)
        self.host.server_connections.add(connection)
        self.host.start_task(self.open_connection(connection, session))

    async def open_connection(self, connection, session):
        host = self.host
        try:
            async with asyncio.timeout(host.config.terms.allowed.dial_timeout / 10_000):
                await host.connect(lambda: connection, self.address)
        except (OSError, TimeoutError) as error:
            self.dials_pending -= 1
            connection.give_up_dial()
            self.dial_failed(session, error)
            return
        self.dials_pending -= 1
        self.failures = self.refusals = 0
        still_waiting = session is not None and self.waiting_sessions.get(session.call) is session
        if not connection.usable() or self.retired or host.stopped:
            connection.abort()
            if still_waiting:
                del self.waiting_sessions[session.call]
                host.attempt_failed(session, Outcome.UNREACHED)
            return
        connection.dialling = False
        self.connections.add(connection)
        self.received_at = host.now()
        self.contact_requested_at = None
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
        if session is not None and self.waiting_sessions.get(session.call) is session:
            del self.waiting_sessions[session.call]
            host.attempt_failed(session, outcome)

    def connection_ended_by_server(self, connection):
        """Handles a close or reset by the server, or data that can't be read.

        A server that ends each connection soon is not dialled again at once for a contact.
        """
        now = self.host.now()
        if now - connection.opened_at > CONNECTION_TIME_MIN:
            self.short_connections = 0
            return
        self.short_connections += 1
        pause = RECONNECT_PAUSE if self.short_connections < FAILURES_TO_LOSE else RECONNECT_PAUSE_LONG
        self.retry_at = max(self.retry_at, now + pause)

    def connection_lost(self, connection, error):
        self.connections.discard(connection)
        self.refusals, self.was_reset = 0, isinstance(error, ConnectionResetError)
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
        if self.connections:
            self.close_idle(now)
        if self.pending_releases:
            self.expire_releases(now)
        # A server at its connection limit refuses, too: only after a reset its sessions are known to be gone with it.
        process_gone = self.refusals >= REFUSALS_TO_LOSE and not self.is_connected()
        if process_gone and self.was_reset:
            self.pending_releases.clear()
        elif self.pending_releases or self.pending_rungs:
            self.flush()
        silent_for = now - self.received_at
        if self.retired or process_gone or (self.failures >= FAILURES_TO_LOSE and silent_for > SERVER_LOST_TIMEOUT):
            self.lose_sessions()
        else:
            self.request_due_contact(now)

    def expire_releases(self, now):
        """Drops releases after RELEASE_TIMEOUT, but for those that waited for a descriptor all the time."""
        for call, release in list(self.pending_releases.items()):
            if now - release.requested_at > RELEASE_TIMEOUT and (release.connection is not None or self.failures):
                del self.pending_releases[call]

    def is_connected(self):
        return any(connection.usable() for connection in self.connections)

    def close_idle(self, now):
        idle_timeout = self.host.config.idle_timeout * 4 // 5
        for connection in list(self.connections):
            if connection.abandoned_call is not None and now - connection.used_at > ABANDONED_TIMEOUT:
                connection.close()
            elif connection.is_idle() and now - connection.used_at > idle_timeout:
                if not self.playing or sum(other.usable() for other in self.connections) > 1:
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
        return bool(self.connections or self.dials_pending or self.waiting_sessions or self.needs_connection())

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

    def release_lost(self, session):
        """Ends a session that is over for its client at the process that may play it.

        What was set up at this address after the successor's start, before the list told of it, plays at the successor.
        """
        if not self.retired:
            self.release(session.call, messages.CAUSE_NORMAL)
        elif self.successor is not None and session.sent_at >= self.successor.started_at:
            self.successor.release(session.call, messages.CAUSE_NORMAL)

    def retire(self, successor=None):
        """Starts no further attempt at this server and closes its idle connections."""
        self.retired = True
        if successor is not None:
            self.successor = successor
            self.hand_on_releases()
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close()

    def hand_on_releases(self):
        """Gives the successor the releases that may concern it: those of attempts since it started."""
        for call, release in list(self.pending_releases.items()):
            if release.requested_at >= self.successor.started_at:
                del self.pending_releases[call]
                self.successor.release(call, release.cause)

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
        if session is not None and connection.abandoned_call == message.call:
            self.abandoned_attempt_ended(connection, message)
            return
        if session is None or session.id in self.playing:
            self.host.handovers.record_server_end(message, self.server)
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

    def abandoned_attempt_ended(self, connection, message):
        """Handles a late answer or end of a set-up that was given up on this connection.

        A later attempt under the same call, which may play at this server by now, is not concerned.
        """
        self.host.count_and_log("late end of an abandoned set-up", call=message.call, why=message.why)
        pending = self.pending_releases.get(message.call)
        if pending is not None and pending.connection is connection:
            del self.pending_releases[message.call]
        connection.abandoned_call, connection.used_at = None, self.host.now()
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
