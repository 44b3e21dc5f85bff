"""Connections to media servers. One set-up is open on a connection at a time: a spoilt answer spoils no other.

An Endpoint is all that stands between us and one server: its connections, the releases that it has not heard yet, and
the renditions to set. What becomes of an attempt is told to the host in the decision module's terms; nothing is tried
again here.
"""

import asyncio
from dataclasses import dataclass

from ..interface import Outcome, ServerStatus
from ..jsonl import messages
from ..jsonl.lines import LineBuffer
from ..jsonl.messages import MessageError
from .localerrors import is_local

# Spans in tenths of a millisecond.
RELEASE_MOST = 100_000  # a release is repeated so long: by then the server has ended the session itself, or is gone
ENDING = 20_000  # an attempt that was given up may be answered so long on its connection, which is then closed
LOST = 65_000  # a server that says nothing so long is gone: its clients must hear within 8 s (PROTOCOL)
PROOFS = 2  # connections that must have come to nothing since then; one may be lost
QUIET = 20_000  # where something plays and nothing was heard so long, a new connection must prove the way
NOTED = 1.25  # ... or so many times the span in which notes come: all managers pay for connections
DIAL_AGAIN, ROUND = 2_000, 1_000  # pause after a connection that came to nothing; one round of upkeep
DIAL_AGAIN_LONG = 10_000  # and once the proofs are there: what is heard again is heard on what stands
UNREAD_MOST = 64 * 1024  # bytes that a server leaves unread: its connection is cut off
IDLE_MOST = 4  # idle connections kept to one server
PARTING = 10_000  # a connection that we closed is read so long for what was on its way
MILLISECOND = 10  # the protocol tells spans in whole ones


@dataclass(slots=True)
class PendingRelease:
    """A release that the server has not acknowledged. `connection`: where it was said last."""

    cause: int
    since: int
    connection: "ServerConnection | None" = None


class ServerConnection(asyncio.Protocol):
    """One connection: at most one set-up open on it (`call`), or one that was given up (`ending`)."""

    def __init__(self, endpoint):
        self.endpoint, self.lines, self.transport = endpoint, LineBuffer(), None
        self.call = self.ending = None
        self.closed, self.since = False, endpoint.host.now()
        self.parting = False  # closed by us, and read on until the server has closed too

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(UNREAD_MOST)

    def eof_received(self):
        """The server closed: nothing may be sent here from this moment, not only once the transport is gone."""
        self.closed_by_server()
        return False

    def connection_lost(self, exc):
        self.parting = False
        self.closed_by_server()
        self.endpoint.connection_lost(self, exc)

    def closed_by_server(self):
        if not self.closed:
            self.closed = True
            self.endpoint.host.counts["server closed" if self.call is None else "server closed under a set-up"] += 1

    def pause_writing(self):  # it reads nothing
        self.abort()

    def data_received(self, data):
        self.endpoint.host.watch.active(self.endpoint.host.now())
        for line in self.lines.feed(data):
            if self.closed and not self.parting:
                return
            try:
                self.endpoint.heard(self, messages.decode(line))
            except MessageError:
                self.spoilt()
                return
        if self.lines.error and (self.parting or not self.closed):
            self.spoilt()

    def spoilt(self):
        """What came can't be read: nothing that follows here can be trusted."""
        self.endpoint.host.counts["spoilt by a server"] += 1
        self.abort()

    def say(self, data):
        if not self.closed:
            self.transport.write(data)

    def close(self, read_on=True):
        """Says that we are done, and reads what was on its way: a release that met our close is said nowhere else."""
        if not self.closed and not read_on:
            self.closed = True
            self.transport.close()
        elif not self.closed:
            self.closed = self.parting = True
            self.since = self.endpoint.host.now()
            if not self.transport.is_closing():
                self.transport.write_eof()
            self.endpoint.host.counts["closed by us"] += 1
            self.endpoint.host.loop.call_later(PARTING / 10_000, self.cut_off)

    def cut_off(self):
        if self.parting and not self.transport.is_closing():
            self.endpoint.host.counts["closed by us alone"] += 1
            self.abort()

    def abort(self):
        if self.parting or not self.closed:
            self.closed, self.parting = True, False
            self.transport.abort()

    def usable(self):
        """Whether what is written here can still arrive."""
        return not self.closed and not self.transport.is_closing()

    def free(self):
        return self.call is None and self.ending is None and self.usable()


class Endpoint:
    """One media server as our sockets know it."""

    def __init__(self, host, server, address, started_at):
        self.host, self.server, self.address = host, server, address
        self.connections, self.dialing = set(), 0
        self.waiting = {}  # call: set-ups that wait for their connection
        self.early = {}  # call: a release that came by another connection before the answer that it ends
        self.releases, self.rungs = {}, {}  # call: PendingRelease; call: the rung to set
        self.playing = set()  # ids of what stands there
        self.heard_at = host.now()
        self.fails = self.refusals = self.again_at = 0  # connections that came to nothing, since one came up
        self.gone = False  # another server has its address
        self.listed, self.started_at = ServerStatus.READY, started_at

    # Attempts

    def attempt(self, session):
        """Sends a set-up on an idle connection, or on a new one."""
        if self.gone:
            self.host.soon_ended(session, Outcome.UNREACHED)
        elif connection := self.idle_connection():
            self.send(connection, session)
        elif self.host.descriptors.room_to_dial():
            self.waiting[session.call] = session
            self.host.counts["dialled for a set-up"] += 1
            self.dial(session)
        else:
            self.host.counts["no descriptor"] += 1
            self.host.soon_ended(session, Outcome.MOOT)

    def idle_connection(self):
        free = [connection for connection in self.connections if connection.free()]
        return max(free, key=lambda connection: connection.since, default=None)

    def send(self, connection, session):
        self.waiting.pop(session.call, None)
        now = self.host.now()
        left = (session.expire_at - now) // MILLISECOND
        if left < 1:  # a whole millisecond is the least that can be told, and it would be more than there is
            self.host.soon_ended(session, Outcome.MOOT)
            return
        if session.call in self.releases:  # an earlier attempt of the same name is ended first
            connection.say(messages.encode("end", session.call, why=self.releases.pop(session.call).cause))
        connection.call, session.connection, connection.since = session.call, connection, now
        fields = {"class": session.package, "key": session.key, "left": left, "rung": session.rung}
        connection.say(messages.encode("offer", session.call, fields, desc=session.desc))

    def withdraw(self, session):
        """Takes back a set-up that still waits for its connection. True: it had not left us, and never will."""
        return self.waiting.pop(session.call, None) is not None

    def abandon(self, session):
        """Nobody waits for it any more. False: it had not left us."""
        if self.withdraw(session):
            return False
        connection, session.connection = session.connection, None
        self.early.pop(session.call, None)
        if connection is not None and connection.call == session.call:
            connection.call, connection.ending, connection.since = None, session.call, self.host.now()
            self.release(session.call, messages.CAUSE_NORMAL, connection)
        else:
            self.release(session.call, messages.CAUSE_NORMAL)
        return True

    # What is said beside set-ups

    def release(self, call, cause, connection=None):
        """Ends what may run or stand there; repeated until the server has acknowledged it."""
        self.rungs.pop(call, None)
        self.releases[call] = PendingRelease(cause, self.host.now())
        self.flush(connection)

    def set_rung(self, call, rung):
        self.rungs[call] = rung
        self.flush()

    def flush(self, connection=None):
        """Says what is pending on this connection, or on any that is open; where none is, one is made."""
        if not self.releases and not self.rungs:
            return
        if connection is None or not connection.usable():
            usable = (one for one in self.connections if one.usable())
            connection = self.idle_connection() or next(usable, None)
        if connection is None:
            if not self.dialing and not self.gone:
                self.host.counts["dialled to say something"] += 1
                self.dial(None)
            return
        for call, release in self.releases.items():
            if release.connection is None or release.connection.closed:
                connection.say(messages.encode("end", call, why=release.cause))
                release.connection = connection
        for call, rung in self.rungs.items():
            connection.say(messages.encode("set", call, {"rung": rung}))
        self.rungs.clear()

    # Connections

    def dial(self, session):
        self.dialing += 1
        self.host.servers.busy.add(self)
        self.host.keep(self.dialed(session))

    async def dialed(self, session):
        host = self.host
        try:
            async with asyncio.timeout(host.config.terms.allowed.dial_timeout / 10_000):
                connection = await host.connect(lambda: ServerConnection(self), self.address)
        except (OSError, TimeoutError) as error:
            self.dialing -= 1
            self.undialed(session, error)
            return
        self.dialing -= 1
        self.fails = self.refusals = 0
        waits = session is not None and session.call in self.waiting
        if not connection.usable() or host.over:
            connection.abort()
            if waits:
                del self.waiting[session.call]
                host.ended(session, Outcome.UNREACHED)
            return
        self.connections.add(connection)
        self.heard_at = host.now()
        if waits:
            self.send(connection, session)
        self.flush(connection)

    def undialed(self, session, error):
        """A connection that did not come up. Only what speaks of the server counts against it."""
        host, local = self.host, is_local(error)
        if local:
            host.said("local error", call="connect", error=str(error))
            how = Outcome.MOOT
        else:
            refused = isinstance(error, ConnectionRefusedError)
            host.counts["dials refused" if refused else "dials that came to nothing"] += 1
            self.fails += 1
            self.refusals += refused
            how = Outcome.UNREACHED
        self.again_at = host.now() + (DIAL_AGAIN if self.fails < PROOFS else DIAL_AGAIN_LONG)
        if session is not None and self.waiting.pop(session.call, None):
            host.ended(session, how)

    def connection_lost(self, connection, error):
        self.connections.discard(connection)
        call, connection.call = connection.call, None
        session = call and self.host.by_call(call)
        if session and session.connection is connection:
            session.connection = None
            self.early.pop(call, None)
            # It may have run, and may stand there: ended by name, on another connection.
            self.release(call, messages.CAUSE_NORMAL)
            # An error of this machine's own is no failure of the server: as if we had called the attempt off.
            self.host.ended(session, Outcome.CANCELLED if is_local(error) else Outcome.RESET)
        if not self.host.over:
            self.flush()

    def tend(self, now):
        """Once in a while: connections that idle too long, ways that must be proved, a server that is gone."""
        self.close_idle(now)
        for call, release in list(self.releases.items()):
            if now - release.since > RELEASE_MOST:
                del self.releases[call]
        connected = any(connection.usable() for connection in self.connections)
        if self.refusals >= 2 and not connected:
            self.releases.clear()  # its process is gone, and what stood there with it
        elif (self.releases or self.rungs) and now >= self.again_at:
            self.flush()
        if not self.playing:
            return
        if self.gone or (self.refusals >= 2 and not connected):
            self.lost()  # its process is gone, and what stood there with it
        elif self.fails >= PROOFS and now - self.heard_at > LOST:
            self.lost()
        elif not self.dialing and now >= self.again_at and (not connected or now - self.heard_at > self.quiet()):
            if self.host.descriptors.room_to_dial():
                self.host.counts["dialled to prove the way"] += 1
                self.dial(None)

    def close_idle(self, now):
        idle_most = self.host.config.idle_close * 4 // 5
        for connection in list(self.connections):
            if connection.ending is not None and now - connection.since > ENDING:
                connection.close()
            elif connection.free() and now - connection.since > idle_most:
                if not self.playing or len(self.connections) > 1:
                    connection.close()
        spare = sorted((one for one in self.connections if one.free()), key=lambda one: one.since)
        for connection in spare[: max(0, len(spare) - IDLE_MOST)]:
            connection.close()

    def quiet(self):
        """How long a server where something plays may say nothing: until its next note is overdue, if it sends any.

        What is left till LOST must do for the proofs, each with its time-out and its pause.
        """
        terms = self.host.config.terms
        most = LOST - PROOFS * (terms.allowed.dial_timeout + DIAL_AGAIN + ROUND)
        every = terms.fleet.note_every
        return max(QUIET, min(most, round(NOTED * every))) if every else max(QUIET, most)

    def told(self, row):
        """What the list says of it now. Whatever stood there before another start went with the process."""
        self.listed = row.state
        if row.started_at != self.started_at and row.started_at:
            self.started_at = row.started_at
            for id in list(self.playing):
                if self.host.sessions[id].sent_at < row.started_at:
                    self.host.cut(id)

    def busy(self):
        """Whether anything of ours is there or under way, so that it needs upkeep."""
        return bool(self.connections or self.dialing or self.waiting or self.playing or self.releases or self.rungs)

    def forgettable(self):
        """Off the list, with nothing of ours there or under way."""
        return (
            (self.gone or self.listed is ServerStatus.GONE)
            and not (self.playing or self.waiting or self.dialing or self.releases and not self.gone)
            and all(connection.free() for connection in self.connections)
        )

    def lost(self):
        """Nothing stands there any more."""
        for id in list(self.playing):
            self.host.cut(id)

    def shut(self):
        self.gone = True
        for connection in list(self.connections):
            if connection.free():
                connection.close()

    # What the server says

    def heard(self, connection, message):
        host, call, operation = self.host, message.call, message.op
        self.heard_at = host.now()
        if operation == "ended":
            self.acknowledged(connection, call)
            return
        session = host.by_call(call)
        if operation == "info":
            host.noted(self, session, message)
        elif (
            operation in messages.ANSWER_OPS
            and connection.call == call
            and session
            and session.connection is connection
        ):
            self.answered(connection, session, message)
        elif operation == "end":
            self.released(connection, session, message)
        elif operation not in ("accept", "ringing", "tested", "test", "set", "redirect", "offer"):
            raise MessageError("op: none that we know")

    def answered(self, connection, session, message):
        """The answer to the set-up that is open on this connection."""
        host, accepted = self.host, message.op == "accept"
        if accepted and not message.desc:
            raise MessageError("desc: a description expected")
        connection.call, session.connection, connection.since = None, None, host.now()
        early = self.early.pop(message.call, None)
        if not accepted:
            how = messages.OUTCOMES_BEFORE_START.get(message.why, Outcome.RESET)
            host.ended(session, how, messages.parse_load(message, host.config.figures))
            return
        host.begun(self, session, message)
        if session.id in self.playing and early:
            host.over_there(self, session, early)
        elif session.id in self.playing and self.gone:
            host.cut(session.id)

    def released(self, connection, session, message):
        """A release of what stood, or of what is out on another connection."""
        if session is not None and session.id in self.playing:
            self.host.over_there(self, session, message)
        elif session is not None:
            out = session.connection
            self.host.said("end of what is out", call=message.call, why=message.why, out=out is not None)
            if out is not None and out.endpoint is self:
                self.early[message.call] = message
        self.acknowledged(connection, message.call)
        self.acknowledge(connection, message.call)

    def acknowledge(self, connection, call):
        """Tells the server that its release was heard, on another connection where this one is closed already."""
        if connection.closed:
            connection = next((other for other in self.connections if other.usable()), connection)
        connection.say(messages.encode("ended", call))

    def acknowledged(self, connection, call):
        self.releases.pop(call, None)
        if connection.ending == call:
            connection.ending, connection.since = None, self.host.now()
