"""One session manager on the platform: the port of its runner, and all that its sockets share.

It decides nothing about sessions. A session is a record here from its set-up until the module forgets it: the names it
has on the wire, the connection it came on, and where an attempt is out or it plays.
"""

import asyncio
from collections import Counter

from ..interface import Outcome, SessionRequest
from ..jsonl import messages
from ..jsonl.messages import CallInUse, MessageError
from ..run import AnswerKind, Runner
from ..serve.clock import unix_clock
from ..site.load import SiteError
from ..site.settings import NOTE_KINDS_BY_NAME, PEER_MESSAGE, span_tenths
from . import config as configuration
from .belief import Belief
from .bulletin import Bulletin, Unreadable
from .clients import POLLED, ClientConnection
from .descriptors import Descriptors
from .discovery import DiscoveryWatch
from .listener import Listener
from .loopwatch import LoopWatch
from .peers import PeerMessages
from .releases import ClientReleases
from .serverlist import ServerList
from .sessions import session_of
from .stopping import stop_times

TEND = 0.1  # seconds between two rounds of upkeep
TEND_TENTHS = 1_000
STATE_EVERY = 100  # rounds between two lines of state in the log
SAID_MOST = 20  # log lines of one sort; further ones are counted
READ_AGAIN_MOST = 50  # rounds in which a configuration that was refused is read again if its file changes
FLUSHED_MOST = 0.2  # seconds that answers have to go out before the process ends


class Host:
    def __init__(self, file, config, log):
        self.file, self.config, self.log_to, self.now = file, config, log, unix_clock()
        self.counts = Counter()
        self.sessions, self.clients = {}, {}
        self.servers, self.descriptors = ServerList(self), Descriptors(self)
        self.releases = ClientReleases(self)
        self.watch = LoopWatch(self.now())
        self.tasks, self.loop = set(), None
        self.over, self.leaving_since, self.rounds = False, None, 0
        self.started = self.reload_wanted = False
        self.alarm, self.refused_file = None, None
        self.runner = Runner(config.terms, self)
        self.bulletin, self.belief = Bulletin(config, self.now), Belief(self)
        self.done = asyncio.Event()

    # Start and end

    async def start(self):
        self.loop = asyncio.get_running_loop()
        try:
            for news in self.bulletin.known(self.config.known):
                self.hear(news)
        except Unreadable as bad:
            raise SiteError(self.file, "known", str(bad)) from None
        self.peers = PeerMessages(self, self.config.peer_listen)
        await self.peers.start()
        self.discovery = DiscoveryWatch(self, self.config.bulletin)
        self.discovery.start()
        self.listener = Listener(self.loop, lambda: ClientConnection(self), self.not_accepted)
        try:
            await self.listener.start(self.config.listen)
        except OSError as error:
            raise SiteError(self.file, "listen", f"can't be listened on: {error.strerror}") from None
        self.plan_round()
        self.started = True
        if self.reload_wanted:
            self.reload()

    def not_accepted(self, error):
        self.said("local error", call="accept", error=str(error))

    def leave(self):
        """SIGTERM: goes on serving while requests may still come, then until all are answered."""
        if self.leaving_since is None:
            self.leaving_since = self.now()
            self.log_to.info("leaves", waiting=self.unanswered())
            times = stop_times(self.config.longest_deadline)
            self.runner.answer_by(self.leaving_since + times.answer_by)

    def left(self, now):
        """Whether a manager that leaves has stayed long enough, and has read and answered all that came."""
        if self.leaving_since is None:
            return False
        times, stayed = stop_times(self.config.longest_deadline), now - self.leaving_since
        if stayed <= times.stay or not self.watch.caught_up():
            return False
        return not self.unanswered() or stayed > times.answer_by

    async def stop(self):
        self.over = True
        self.log_to.info("over", faults=self.runner.faults, overdue=self.runner.overdue, **self.figures())
        self.listener.stop()
        self.discovery.stop()
        self.peers.stop()
        for endpoint in self.servers.busy:
            for connection in list(endpoint.connections):
                connection.close(read_on=False)
        await self.close_clients()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def close_clients(self):
        """Closes once the answers have left this process: its end would drop what is still buffered."""
        ends = self.loop.time() + FLUSHED_MOST
        for client in list(self.clients):
            if not client.closed:
                client.close()
        while self.loop.time() < ends and any(one.transport.get_write_buffer_size() for one in self.clients):
            await asyncio.sleep(POLLED)
        for client in list(self.clients):
            client.transport.abort()

    def reload(self):
        """SIGHUP: all or nothing. A file that can't be taken on is named once, and the old settings go on."""
        if not self.started:
            self.reload_wanted = True  # start() does it, once all is there that it changes
            return
        if self.over:
            return
        try:
            found = configuration.reread(self.file, self.config)
            bulletin = Bulletin(found, self.now, self.bulletin)
            news = bulletin.known(found.known)
        except (SiteError, Unreadable) as bad:
            self.log_to.warning("settings refused", why=str(bad))
            self.refused_file = configuration.stamp(self.file), self.rounds + READ_AGAIN_MOST
            return
        self.refused_file = None
        moved = found.bulletin != self.config.bulletin
        changed = found.terms != self.config.terms
        self.config, self.bulletin = found, bulletin
        self.log_to.info("settings taken on", bulletin="%s:%d" % found.bulletin, terms_changed=changed)
        if changed:
            self.runner.terms_changed(found.terms)
        for one in news:
            self.hear(one)
        if moved:
            self.discovery.go_to(found.bulletin)

    def read_again(self):
        """A configuration that was refused may have been half written: it is read again when its file changes."""
        stamp, last_round = self.refused_file
        if self.rounds > last_round:
            self.refused_file = None
        elif configuration.stamp(self.file) != stamp:
            self.reload()

    async def connect(self, make_protocol, address):
        """A connection that we open; its protocol."""
        _, protocol = await self.loop.create_connection(make_protocol, *address)
        return protocol

    def keep(self, work):
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.kept)

    def kept(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and (bad := task.exception()):
            self.log_to.error("fault", why=f"{type(bad).__name__}: {bad}")

    def said(self, what, **more):
        """Counts, and says in the log what the first ones were."""
        self.counts[what] += 1
        if self.counts[what] <= SAID_MOST:
            self.log_to.warning(what, **more)

    # Timers

    def after_poll(self, run):
        """Runs this once the loop has polled and has handled what was read.

        A timer that is due after the poll runs before the callbacks that the poll scheduled; hence the turn after it.
        """
        self.loop.call_later(POLLED, self.loop.call_soon, run)

    def wake_at(self, at):
        if self.alarm:
            self.alarm.cancel()
        self.alarm = self.loop.call_later(max(0, at - self.now()) / 10_000, self.alarmed, at)

    def alarmed(self, due):
        if self.watch.timer(self.now(), due):
            self.after_poll(self.runner.tick)
        else:
            self.runner.tick()

    def plan_round(self):
        self.watch.round_due = self.now() + TEND_TENTHS
        self.loop.call_later(TEND, self.round)

    def round(self):
        """A round of upkeep; after a standstill not before what came meanwhile was read."""
        if self.over:
            return
        now = self.now()
        if self.watch.timer(now, self.watch.round_due):
            self.after_poll(self.run_round)
            return
        self.watch.round_in_time(now)
        self.run_round()

    def run_round(self):
        if self.over:
            return
        self.plan_round()
        self.tend()

    # Upkeep

    def tend(self):
        now, self.rounds = self.now(), self.rounds + 1
        self.tend_clients(now)
        self.releases.tend(now)
        self.servers.tend(now)
        self.discovery.tend(now)
        self.peers.tend(now)
        if self.refused_file is not None:
            self.read_again()
        if self.rounds % STATE_EVERY == 0:
            self.log_to.info("state", **self.figures(), belief=self.belief.taken())
        if self.left(now):
            self.done.set()

    def tend_clients(self, now):
        for client in [client for client in self.clients if client.overdue(now)]:
            if client.closed:
                client.abort()
            else:
                self.counts["silent viewers closed"] += 1
                client.leave()

    def figures(self):
        return {
            "viewings": len(self.sessions),
            "waiting": self.unanswered(),
            "servers": len(self.servers.endpoints),
            "viewer_lines": len(self.clients),
            "server_lines": sum(len(endpoint.connections) for endpoint in self.servers.busy),
            "owed": sum(len(endpoint.releases) for endpoint in self.servers.busy),
            "releases": len(self.releases),
            "list": self.bulletin.last,
            "counts": dict(self.counts),
        }

    def unanswered(self):
        return sum(len(client.open) for client in self.clients)

    # Clients' connections

    def client_joined(self, client):
        self.clients[client] = True
        self.descriptors.make_client_room()

    def client_left(self, client):
        """The client closed: nothing further is begun for it, and what is open gets its answer at once."""
        for session in list(client.open.values()):
            self.leave_session(session)
            why = messages.CAUSE_INTERRUPTED if session.sent_at else messages.CAUSE_EXPIRED
            client.say(messages.encode("end", session.call, why=why))
        client.open.clear()

    def client_parted(self, client):
        self.clients.pop(client, None)
        for session in list(client.open.values()):
            self.leave_session(session)
        client.open.clear()
        if self.listener.held:
            self.descriptors.make_client_room()

    # What clients want

    def offered(self, client, message, arrived_at):
        """A set-up. What the client has left counts from when its line came, which may be before it was read."""
        held = self.by_call(message.call) is not None
        try:
            setup = messages.parse_offer(message, self.config.packages)
        except MessageError as bad:
            raise CallInUse(str(bad)) if held else bad from None
        if setup.playing_at is not None:
            if not held:  # it may name what we hold already
                self.handed_over(client, setup)
            return
        if held:
            raise CallInUse("call: that of a session that we hold")
        self.counts["asked"] += 1
        session = self.sessions[setup.id] = session_of(setup, client)
        client.open[setup.call] = session
        left = span_tenths(setup.remaining_ms) - max(0, self.now() - arrived_at)
        self.runner.session_requested(self.asked(setup, max(0, left)))
        self.settle(session)

    def asked(self, setup, left):
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

    def handed_over(self, client, setup):
        endpoint = self.servers.endpoints.get(setup.playing_at)
        if endpoint is None:
            raise MessageError("extras.at: no server of the list")
        self.counts["handed over"] += 1
        session = self.sessions[setup.id] = session_of(setup, client)
        self.stands(session, endpoint)
        self.runner.session_handed_over(self.asked(setup, 0), setup.playing_at, None)

    def given_up(self, client, message):
        """A client's own end: of an open set-up on its connection, of what stands on any."""
        session = self.by_call(message.call)
        if session is None or session.call in session.client.open and session.client is not client:
            client.say(messages.encode("ended", message.call[:64]))
            return
        client.say(messages.encode("ended", message.call))
        self.counts["left"] += 1
        session.client.open.pop(session.call, None)
        self.leave_session(session)
        session.client.close_if_answered()

    def leave_session(self, session):
        self.runner.client_left(session.id)
        if session.id in self.runner.sessions and session.endpoint is not None and session.endpoint.withdraw(session):
            # The settings allow no calling off, but what has not left us yet never goes.
            self.runner.attempt_ended(session.id, session.nth, Outcome.MOOT, self.now() - session.sent_at)
        self.settle(session)

    def settle(self, session):
        """Forgets a session that the runner holds no longer."""
        if session.id not in self.runner.sessions and self.sessions.get(session.id) is session:
            del self.sessions[session.id]
            if session.endpoint is not None:
                session.endpoint.playing.discard(session.id)

    def by_call(self, call):
        return self.sessions.get(int(call, 16)) if messages.CALL_ID.match(call) else None

    # What servers say

    def stands(self, session, endpoint):
        session.endpoint = endpoint
        endpoint.playing.add(session.id)
        self.servers.busy.add(endpoint)

    def begun(self, endpoint, session, message):
        session.answer = message.desc
        self.stands(session, endpoint)
        if self.runner.attempt_succeeded(session.id, session.nth, self.now() - session.sent_at):
            self.counts["plays"] += 1
        else:
            endpoint.playing.discard(session.id)
            endpoint.release(session.call, messages.CAUSE_NORMAL)
        session.answer = session.desc = None  # nobody needs them again, and there are thousands
        self.settle(session)

    def ended(self, session, how, load=()):
        """An attempt that came to nothing."""
        took = self.now() - session.sent_at
        server = f"{session.endpoint.server:08x}" if session.endpoint else None
        self.said(f"set-up {how.value}", call=session.call, server=server, key=session.key, nth=session.nth, took=took)
        self.runner.attempt_ended(session.id, session.nth, how, took, load)
        self.settle(session)

    def soon_ended(self, session, how):
        """As ended(), after the runner's present step."""
        nth = session.nth
        self.loop.call_soon(lambda: session.nth == nth and self.ended(session, how))

    def over_there(self, endpoint, session, message):
        """What stood is over, as its server says."""
        how = messages.OUTCOMES_AFTER_START.get(message.why, Outcome.RESET)
        self.counts[f"over {how.value}"] += 1
        load = messages.parse_load(message, self.config.figures)
        self.runner.attempt_ended(session.id, session.nth, how, self.now() - session.sent_at, load)
        self.settle(session)
        if how is not Outcome.CANCELLED:
            self.releases.release(session, message.why)

    def cut(self, id):
        """What stood at a server that is gone."""
        session = self.sessions.get(id)
        if session is None:
            return
        self.counts["cut with its server"] += 1
        if not session.endpoint.gone:
            session.endpoint.release(session.call, messages.CAUSE_NORMAL)
        self.runner.attempt_ended(id, session.nth, Outcome.RESET, self.now() - session.sent_at)
        self.settle(session)
        self.releases.release(session, messages.CAUSE_INTERRUPTED)

    def noted(self, endpoint, session, message):
        kind = NOTE_KINDS_BY_NAME.get(message.fields.get("note"))
        if session is None or kind is None or session.id not in endpoint.playing:
            self.counts["notes on nothing"] += 1
            return
        value = messages.parse_number(message.fields.get("value", ""), "value")
        self.belief.noted(endpoint.server, kind, value)
        self.runner.playback_note(session.id, kind, value)

    def hear(self, news):
        """The list, as discovery tells it."""
        self.servers.hear(news)
        self.counts["events"] += 1
        self.runner.server_list_changed(news.kind, news.entries)

    # The port: what the module wants

    def start_attempt(self, id, nth, server, rung, left):
        session, endpoint = self.sessions[id], self.servers.endpoints.get(server)
        session.nth, session.rung, session.sent_at = nth, rung, self.now()
        session.expire_at = session.sent_at + left
        self.counts["tune-ins"] += 1
        if endpoint is None:
            self.soon_ended(session, Outcome.UNREACHED)
        else:
            session.endpoint = endpoint
            self.servers.busy.add(endpoint)
            endpoint.attempt(session)

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
            session.client.carried += 1
            session.client.answer(session, messages.encode("accept", session.call, desc=session.answer))
        elif answer.kind is AnswerKind.BLOCKED:
            # The platform's clients stay away for whole milliseconds.
            fields = {"wait": answer.hold_off // 10} if answer.hold_off else {}
            session.client.answer(session, messages.encode("end", session.call, fields, messages.CAUSE_NO_CAPACITY))
        elif answer.kind is AnswerKind.ABORTED:
            session.client.answer(session, messages.encode("end", session.call, why=messages.CAUSE_INTERRUPTED))
        else:
            session.client.open.pop(session.call, None)

    def tell_peers(self, server, kb):
        self.peers.say(PEER_MESSAGE.pack(server, kb))

    def probe(self, server):
        self.loop.call_soon(self.runner.probe_ended, server, Outcome.ERROR, 0)

    def log(self, text):
        self.said("module", text=text)
