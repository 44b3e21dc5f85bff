"""One session manager on the platform: the port of its runner, and the state that its connections share.

It makes no decisions about sessions. It keeps a record of each session from the set-up until the runner drops it: its
names on the wire, the connection it came on, and the server of its attempt or playback.
"""

import asyncio
from collections import Counter

from ..interface import NoteKind, Outcome, SessionRequest
from ..jsonl import messages
from ..jsonl.messages import CallInUse, MessageError
from ..run import AnswerKind, Runner
from ..serve.clock import unix_clock
from ..site.load import SiteError
from ..site.settings import NOTE_KINDS_BY_NAME, PEER_MESSAGE, span_tenths
from . import config as configuration
from .accounting_check import AccountingCheck
from .bulletin import Bulletin, UnreadableEvent
from .clients import POLL_SECONDS, ClientConnection
from .descriptors import Descriptors
from .discovery import DiscoveryWatch
from .handovers import Handovers
from .listener import Listener
from .loopwatch import LoopWatch
from .peers import PeerMessages
from .releases import ClientReleases
from .server_connections import ServerConnections
from .serverlist import ServerList
from .sessions import session_of
from .stopping import stop_times

MAINTENANCE_SECONDS = 0.1  # between two maintenance passes
MAINTENANCE_PERIOD = 1_000  # the same in tenths of a millisecond
STATE_LOG_INTERVAL = 100  # maintenance passes between two "state" log lines
LOG_LINES_MAX = 20  # log lines of one event; further ones are only counted
REFUSED_FILE_RETRIES = 50  # maintenance passes in which a refused configuration is read again if its file changes
FLUSH_SECONDS_MAX = 0.2  # for sending buffered answers before the process ends


class Host:
    """The manager's connections, timers and sessions, and the port through which the runner acts on them."""

    def __init__(self, file, config, log):
        self.file, self.config, self.logger, self.now = file, config, log, unix_clock()
        self.counts = Counter()
        self.sessions, self.clients = {}, {}
        self.servers, self.descriptors = ServerList(self), Descriptors(self)
        self.server_connections = ServerConnections(self)
        self.client_releases = ClientReleases(self)
        self.handovers = Handovers(self)
        self.loop_watch = LoopWatch(self.now())
        self.tasks, self.loop = set(), None
        self.stopped, self.drain_started_at, self.maintenance_count = False, None, 0
        self.started = self.reload_requested = False
        self.wake_timer, self.refused_file = None, None
        self.runner = Runner(config.terms, self)
        self.bulletin, self.accounting_check = Bulletin(config, self.now), AccountingCheck(self)
        self.done = asyncio.Event()

    # Start and end

    async def start(self):
        self.loop = asyncio.get_running_loop()
        try:
            for update in self.bulletin.read_configured(self.config.known):
                self.apply_list_update(update)
        except UnreadableEvent as error:
            raise SiteError(self.file, "known", str(error)) from None
        self.peers = PeerMessages(self, self.config.peer_listen)
        await self.peers.start()
        self.discovery = DiscoveryWatch(self, self.config.bulletin)
        self.discovery.start()
        self.listener = Listener(self.loop, lambda: ClientConnection(self), self.listener_error)
        try:
            await self.listener.start(self.config.listen)
        except OSError as error:
            raise SiteError(self.file, "listen", f"can't be listened on: {error.strerror}") from None
        self.schedule_maintenance()
        self.started = True
        if self.reload_requested:
            self.reload()

    def listener_error(self, error):
        self.count_and_log("local error", call="accept", error=str(error))

    def drain(self):
        """On SIGTERM: serves on while requests may still arrive, then until all are answered."""
        if self.drain_started_at is None:
            self.drain_started_at = self.now()
            self.logger.info("leaves", waiting=self.open_request_count())
            times = stop_times(self.config.longest_deadline)
            self.runner.answer_by(self.drain_started_at + times.answer_by)

    def is_drained(self, now):
        """Whether a draining manager has served for long enough and has read and answered all requests."""
        if self.drain_started_at is None:
            return False
        times, elapsed = stop_times(self.config.longest_deadline), now - self.drain_started_at
        if elapsed <= times.stay or not self.loop_watch.caught_up():
            return False
        return elapsed > times.answer_by or self.listener.is_accepting() and not self.open_request_count()

    async def stop(self):
        """Closes all connections and ends the tasks."""
        self.stopped = True
        self.logger.info("over", faults=self.runner.faults, overdue=self.runner.overdue, **self.status_fields())
        self.listener.stop()
        self.discovery.stop()
        self.peers.stop()
        for endpoint in self.servers.active:
            for connection in list(endpoint.connections):
                connection.close(read_on=False)
        await self.close_clients()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def close_clients(self):
        """Closes client connections once buffered answers are sent, which would be lost when the process ends."""
        flush_deadline = self.loop.time() + FLUSH_SECONDS_MAX
        for client in list(self.clients):
            if not client.closed:
                client.close()
        while self.loop.time() < flush_deadline and any(
            client.transport.get_write_buffer_size() for client in self.clients
        ):
            await asyncio.sleep(POLL_SECONDS)
        for client in list(self.clients):
            client.transport.abort()

    def reload(self):
        """On SIGHUP: applies the whole file or, after logging what is wrong with it, nothing."""
        if not self.started:
            self.reload_requested = True  # start() reloads once everything is set up
            return
        if self.stopped:
            return
        try:
            config = configuration.reload(self.file, self.config)
            bulletin = Bulletin(config, self.now, self.bulletin)
            updates = bulletin.read_configured(config.known)
        except (SiteError, UnreadableEvent) as error:
            self.logger.warning("settings refused", why=str(error))
            self.refused_file = configuration.file_version(self.file), self.maintenance_count + REFUSED_FILE_RETRIES
            return
        self.refused_file = None
        address_changed = config.bulletin != self.config.bulletin
        terms_changed = config.terms != self.config.terms
        self.config, self.bulletin = config, bulletin
        self.logger.info("settings taken on", bulletin="%s:%d" % config.bulletin, terms_changed=terms_changed)
        if terms_changed:
            self.runner.terms_changed(config.terms)
        for update in updates:
            self.apply_list_update(update)
        if address_changed:
            self.discovery.change_address(config.bulletin)

    def reread_refused_file(self):
        """Reads a refused configuration again when its file changes, as it may have been incomplete."""
        version, last_count = self.refused_file
        if self.maintenance_count > last_count:
            self.refused_file = None
        elif configuration.file_version(self.file) != version:
            self.reload()

    async def connect(self, make_protocol, address):
        """Opens a connection and returns its protocol."""
        _, protocol = await self.loop.create_connection(make_protocol, *address)
        return protocol

    def start_task(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)

    def task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.logger.error("fault", why=f"{type(error).__name__}: {error}")

    def count_and_log(self, event, **fields):
        """Counts an event, and logs its first LOG_LINES_MAX occurrences."""
        self.counts[event] += 1
        if self.counts[event] <= LOG_LINES_MAX:
            self.logger.warning(event, **fields)

    # Timers

    def after_poll(self, callback):
        """Runs the callback once the loop has polled and has handled what was read.

        A timer that is due after the poll runs before the callbacks that the poll scheduled, so the callback is
        scheduled for one iteration later.
        """
        self.loop.call_later(POLL_SECONDS, self.loop.call_soon, callback)

    def wake_at(self, at):
        if self.wake_timer:
            self.wake_timer.cancel()
        self.wake_timer = self.loop.call_later(max(0, at - self.now()) / 10_000, self.wake_due, at)

    def wake_due(self, due):
        if self.loop_watch.timer_ran(self.now(), due):
            self.after_poll(self.runner.tick)
        else:
            self.runner.tick()

    def schedule_maintenance(self):
        self.loop_watch.maintenance_due_at = self.now() + MAINTENANCE_PERIOD
        self.loop.call_later(MAINTENANCE_SECONDS, self.maintenance_timer)

    def maintenance_timer(self):
        """Runs a maintenance pass; after a stall, only once the data that arrived meanwhile was read."""
        if self.stopped:
            return
        now = self.now()
        if self.loop_watch.timer_ran(now, self.loop_watch.maintenance_due_at):
            self.after_poll(self.run_maintenance)
            return
        self.loop_watch.maintenance_on_time(now)
        self.run_maintenance()

    def run_maintenance(self):
        if self.stopped:
            return
        self.schedule_maintenance()
        self.maintain()

    # Maintenance

    def maintain(self):
        now, self.maintenance_count = self.now(), self.maintenance_count + 1
        self.close_expired_clients(now)
        self.client_releases.maintain(now)
        self.handovers.expire(now)
        self.servers.maintain(now)
        self.discovery.maintain(now)
        self.peers.maintain(now)
        if self.refused_file is not None:
            self.reread_refused_file()
        if self.maintenance_count % STATE_LOG_INTERVAL == 0:
            self.logger.info("state", **self.status_fields(), belief=self.accounting_check.summary())
        if self.is_drained(now):
            self.done.set()

    def close_expired_clients(self, now):
        for client in [client for client in self.clients if client.is_expired(now)]:
            if client.closed:
                client.abort()
            else:
                self.counts["silent viewers closed"] += 1
                client.close_for_room()

    def status_fields(self):
        return {
            "viewings": len(self.sessions),
            "waiting": self.open_request_count(),
            "servers": len(self.servers.endpoints),
            "viewer_lines": len(self.clients),
            "accepting": self.listener.is_accepting(),
            "server_lines": sum(len(endpoint.connections) for endpoint in self.servers.active),
            "owed": sum(len(endpoint.pending_releases) for endpoint in self.servers.active),
            "unconnected": self.servers.unconnected_count(),
            "longest_silence": self.servers.longest_silence(self.now()),
            "releases": len(self.client_releases),
            "handovers_waiting": len(self.handovers.pending),
            "list": self.bulletin.last_number,
            "counts": dict(self.counts),
        }

    def open_request_count(self):
        return sum(len(client.open_requests) for client in self.clients)

    # Client connections

    def client_connected(self, client):
        self.clients[client] = True
        self.descriptors.make_client_room()

    def client_closed(self, client):
        """Handles a close by the client: no further work is started, and open requests are answered at once."""
        for session in list(client.open_requests.values()):
            self.end_for_client(session)
            why = messages.CAUSE_INTERRUPTED if session.sent_at else messages.CAUSE_EXPIRED
            client.send(messages.encode("end", session.call, why=why))
        client.open_requests.clear()

    def client_disconnected(self, client):
        self.clients.pop(client, None)
        for session in list(client.open_requests.values()):
            self.end_for_client(session)
        client.open_requests.clear()
        self.descriptors.recheck_hold()

    # Client requests

    def handle_offer(self, client, message, arrived_at):
        """Handles a set-up. Its deadline counts from the arrival of its line, which may be before it was read.

        False: it hands over a session at a server that is not known, so its sender may not know this fleet.
        """
        known = self.session_by_call(message.call) is not None
        try:
            setup = messages.parse_offer(message, self.config.packages)
        except MessageError as error:
            raise CallInUse(str(error)) if known else error from None
        if setup.playing_at is not None:
            return known or self.handovers.handle(client, setup)  # the manager may hold the session already
        if known:
            raise CallInUse("call: used by another session")
        self.counts["asked"] += 1
        session = self.sessions[setup.id] = session_of(setup, client)
        client.open_requests[setup.call] = session
        left = span_tenths(setup.remaining_ms) - max(0, self.now() - arrived_at)
        self.runner.session_requested(self.session_request(setup, max(0, left)))
        return True

    def session_request(self, setup, left):
        return SessionRequest(
            setup.id,
            self.config.packages.index(setup.package),
            setup.title,
            setup.viewer,
            left,
            setup.top_rung,
            setup.first_cell,
            setup.cell_count,
            0,
            False,
            setup.is_retry,
        )

    def handle_end(self, client, message):
        """Handles a client's end: of an open set-up on the same connection, of a playing session on any connection."""
        session = self.session_by_call(message.call)
        is_open = session is not None and session.call in session.client.open_requests
        if not is_open:
            self.handovers.record_client_end(message)
        if session is None or is_open and session.client is not client:
            client.send(messages.encode("ended", message.call[:64]))
            return
        client.send(messages.encode("ended", message.call))
        self.counts["left"] += 1
        session.client.remove_request(session.call)
        self.end_for_client(session)
        session.client.close_if_answered()

    def end_for_client(self, session):
        """Ends a session, or its request, that its client no longer wants."""
        self.runner.client_left(session.id)
        if (
            session.id in self.runner.sessions
            and session.endpoint is not None
            and session.endpoint.cancel_waiting(session)
        ):
            # The settings do not allow cancelling, but a set-up that was not sent yet is never sent.
            self.runner.attempt_ended(session.id, session.nth, Outcome.MOOT, self.now() - session.sent_at)

    def session_by_call(self, call):
        return self.sessions.get(int(call, 16)) if messages.CALL_ID.match(call) else None

    # Server messages

    def mark_playing(self, session, endpoint):
        session.endpoint = endpoint
        endpoint.playing.add(session.id)
        self.servers.active.add(endpoint)

    def attempt_accepted(self, endpoint, session, message):
        session.answer = message.desc
        self.mark_playing(session, endpoint)
        if self.runner.attempt_succeeded(session.id, session.nth, self.now() - session.sent_at):
            self.counts["plays"] += 1
        else:
            endpoint.playing.discard(session.id)
            endpoint.release(session.call, messages.CAUSE_NORMAL)
        session.answer = session.desc = None  # not needed again; saves memory with thousands of sessions

    def attempt_failed(self, session, outcome, load=()):
        """Reports a failed attempt to the runner."""
        duration = self.now() - session.sent_at
        server = f"{session.endpoint.server:08x}" if session.endpoint else None
        self.count_and_log(
            f"set-up {outcome.value}", call=session.call, server=server, key=session.key, nth=session.nth, took=duration
        )
        self.runner.attempt_ended(session.id, session.nth, outcome, duration, load)

    def fail_attempt_later(self, session, outcome):
        """Calls attempt_failed() after the runner's current step."""
        nth = session.nth
        self.loop.call_soon(lambda: session.nth == nth and self.attempt_failed(session, outcome))

    def ended_by_server(self, endpoint, session, message):
        """Handles the end of a playing session that its server reports."""
        outcome = messages.OUTCOMES_AFTER_START.get(message.why, Outcome.RESET)
        self.counts[f"over {outcome.value}"] += 1
        load = messages.parse_load(message, self.config.load_names)
        self.runner.attempt_ended(session.id, session.nth, outcome, self.now() - session.sent_at, load)
        if outcome is not Outcome.CANCELLED:
            self.client_releases.release(session, message.why)

    def session_lost(self, id):
        """Ends a playing session whose server is lost."""
        session = self.sessions.get(id)
        if session is None:
            return
        self.counts["cut with its server"] += 1
        session.endpoint.release_lost(session)
        self.runner.attempt_ended(id, session.nth, Outcome.RESET, self.now() - session.sent_at)
        self.client_releases.release(session, messages.CAUSE_INTERRUPTED)

    def handle_note(self, endpoint, session, message):
        kind = NOTE_KINDS_BY_NAME.get(message.fields.get("note"))
        if session is None or kind is None or session.id not in endpoint.playing:
            self.counts["notes on nothing"] += 1
            return
        try:
            value = self.note_value(kind, message.fields.get("value", ""))
        except MessageError as error:  # what its server says beside it is readable
            self.count_and_log("bad note", call=session.call, why=str(error))
            return
        self.accounting_check.compare(endpoint.server, kind, value)
        self.runner.playback_note(session.id, kind, value)

    def note_value(self, kind, text):
        """The figure of a note; MessageError if it is none, or a rung that the ladder does not have."""
        if kind is NoteKind.RUNG:
            return messages.parse_integer(text, "value", 0, len(self.config.terms.ladder.kb) - 1)
        return messages.parse_number(text, "value")

    def apply_list_update(self, update):
        """Applies a list update from discovery."""
        self.servers.apply_list_update(update)
        self.counts["events"] += 1
        self.runner.server_list_changed(update.kind, update.entries)
        self.handovers.list_changed()

    # The runner's port

    def start_attempt(self, id, nth, server, rung, left):
        session, endpoint = self.sessions[id], self.servers.endpoints.get(server)
        session.nth, session.rung, session.sent_at = nth, rung, self.now()
        session.expire_at = session.sent_at + left
        self.counts["tune-ins"] += 1
        if endpoint is None:
            self.fail_attempt_later(session, Outcome.UNREACHED)
        else:
            session.endpoint = endpoint
            self.servers.active.add(endpoint)
            endpoint.start_attempt(session)

    def abandon_attempt(self, id, nth, server):
        session = self.sessions.get(id)
        return session is not None and session.endpoint is not None and session.endpoint.abandon(session)

    def end_session(self, id, nth, server):
        session = self.sessions[id]
        session.endpoint.playing.discard(id)
        session.endpoint.release(session.call, messages.CAUSE_NORMAL)

    def set_rung(self, id, nth, server, rung):
        session = self.sessions[id]
        session.endpoint.set_rung(session.call, rung)

    def answer(self, id, answer):
        session = self.sessions[id]
        self.counts[f"answered {answer.kind.value}"] += 1
        if answer.kind is AnswerKind.PLAYS:
            session.client.accepted_count += 1
            session.client.answer(session, messages.encode("accept", session.call, desc=session.answer))
        elif answer.kind is AnswerKind.BLOCKED:
            # The protocol's retry pause is in whole milliseconds.
            fields = {"wait": answer.hold_off // 10} if answer.hold_off else {}
            session.client.answer(session, messages.encode("end", session.call, fields, messages.CAUSE_NO_CAPACITY))
        elif answer.kind is AnswerKind.ABORTED:
            session.client.answer(session, messages.encode("end", session.call, why=messages.CAUSE_INTERRUPTED))
        else:
            session.client.remove_request(session.call)

    def session_removed(self, id):
        session = self.sessions.pop(id)
        if session.endpoint is not None:
            session.endpoint.forget(session)

    def tell_peers(self, server, kb):
        self.peers.send(PEER_MESSAGE.pack(server, kb))

    def probe(self, server):
        self.loop.call_soon(self.runner.probe_ended, server, Outcome.ERROR, 0)

    def log(self, text):
        self.count_and_log("module", text=text)
