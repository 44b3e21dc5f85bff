"""Connections to video servers. One set-up is open on a connection at a time, so that a spoilt answer spoils no other.

A Reach is all that stands between us and one server: its lines, the releases that it is owed until it heard them, and
the rungs to set. What becomes of a set-up is told to the host in the module's words; nothing is tried again here.
"""

import asyncio
import errno

from ..interface import How, State
from ..jsonl import messages
from ..jsonl.lines import Lines
from ..jsonl.messages import Fault

OWED = 100_000  # a release is owed so long at most: by then the server has ended it itself, or is gone
ENDING = 20_000  # a set-up that was given up may be answered so long on its connection, which is then closed
LOST = 65_000  # a server that says nothing so long is gone: its viewers must hear within 8 s (PROTOCOL)
PROOFS = 2  # connections that must have come to nothing since then; one may be lost
QUIET = 20_000  # where something plays and nothing was heard so long, a new connection must prove the way
NOTED = 1.25  # ... or so many times the span in which notes come: all managers pay for connections
AGAIN, TURN = 2_000, 1_000  # pause after a connection that came to nothing; one round of upkeep
AGAIN_LONG = 10_000  # and once the proofs are there: what is heard again is heard on what stands
BACKLOG = 64 * 1024
HELD = 4  # idle connections kept to one server
PARTING = 10_000  # a connection that we closed is read so long for what was on its way


class ServerLine(asyncio.Protocol):
    """One connection: at most one set-up open on it (`call`), or one that was given up (`ending`)."""

    def __init__(self, reach):
        self.reach, self.lines, self.transport = reach, Lines(), None
        self.call = self.ending = None
        self.closed, self.since = False, reach.host.now()
        self.parting = False  # closed by us, and read on until the server has closed too

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(BACKLOG)

    def connection_lost(self, exc):
        self.parting = False
        if not self.closed:
            self.closed = True
            self.reach.host.counts["server closed" if self.call is None else "server closed under a set-up"] += 1
        self.reach.line_lost(self)

    def pause_writing(self):  # it reads nothing
        self.abort()

    def data_received(self, data):
        for line in self.lines.take(data):
            if self.closed and not self.parting:
                return
            try:
                self.reach.heard(self, messages.read(line))
            except Fault:
                self.spoilt()
                return
        if self.lines.fault and (self.parting or not self.closed):
            self.spoilt()

    def spoilt(self):
        """What came can't be read: nothing that follows here can be trusted."""
        self.reach.host.counts["spoilt by a server"] += 1
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
            self.since = self.reach.host.now()
            self.transport.write_eof()
            self.reach.host.counts["closed by us"] += 1
            self.reach.host.loop.call_later(PARTING / 10_000, self.cut_off)

    def cut_off(self):
        if self.parting and not self.transport.is_closing():
            self.reach.host.counts["closed by us alone"] += 1
            self.abort()

    def abort(self):
        if self.parting or not self.closed:
            self.closed, self.parting = True, False
            self.transport.abort()

    def free(self):
        return not self.closed and self.call is None and self.ending is None


class Reach:
    """One video server as our sockets know it."""

    def __init__(self, host, server, address, started_at):
        self.host, self.server, self.address = host, server, address
        self.lines, self.dialing = set(), 0
        self.waiting = {}  # call: set-ups that wait for their connection
        self.early = {}  # call: a release that came by another connection before the answer that it ends
        self.owed, self.rungs = {}, {}  # call: (cause, owed since, the line it was said on); call: rung
        self.playing = set()  # ids of what stands there
        self.heard_at = host.now()
        self.fails = self.refusals = self.again_at = 0  # connections that came to nothing, since one came up
        self.gone = False  # another server has its address
        self.listed, self.started_at = State.READY, started_at

    # Set-ups

    def tune_in(self, vw):
        """Sends a set-up on an idle connection, or on a new one."""
        if self.gone:
            self.host.soon_ended(vw, How.UNREACHED)
        elif line := self.idle_line():
            self.send(line, vw)
        elif self.host.room_for_line():
            self.waiting[vw.call] = vw
            self.host.counts["dialled for a set-up"] += 1
            self.dial(vw)
        else:
            self.host.counts["no descriptor"] += 1
            self.host.soon_ended(vw, How.MOOT)

    def idle_line(self):
        free = [line for line in self.lines if line.free()]
        return max(free, key=lambda line: line.since, default=None)

    def send(self, line, vw):
        self.waiting.pop(vw.call, None)
        if vw.call in self.owed:  # an earlier try of the same name is ended first
            line.say(messages.line("end", vw.call, why=self.owed.pop(vw.call)[0]))
        line.call, vw.line, line.since = vw.call, line, self.host.now()
        left = max(1, (vw.expire_at - line.since) // 10)
        line.say(
            messages.line(
                "offer", vw.call, {"class": vw.package, "key": vw.key, "left": left, "rung": vw.rung}, desc=vw.desc
            )
        )

    def abandon(self, vw):
        """Nobody waits for it any more. False: it had not left us."""
        if vw.call in self.waiting:
            del self.waiting[vw.call]
            return False
        line, vw.line = vw.line, None
        self.early.pop(vw.call, None)
        if line is not None and line.call == vw.call:
            line.call, line.ending, line.since = None, vw.call, self.host.now()
            self.release(vw.call, messages.NORMAL, line)
        else:
            self.release(vw.call, messages.NORMAL)
        return True

    # What is said beside set-ups

    def release(self, call, cause, line=None):
        """Ends what may run or stand there; owed until the server heard it."""
        self.rungs.pop(call, None)
        self.owed[call] = cause, self.host.now(), None
        self.flush(line)

    def set_rung(self, call, rung):
        self.rungs[call] = rung
        self.flush()

    def flush(self, line=None):
        """Says what is owed on this line, or on any that is open; where none is, one is made."""
        if not self.owed and not self.rungs:
            return
        if line is None or line.closed:
            line = self.idle_line() or next((line for line in self.lines if not line.closed), None)
        if line is None:
            if not self.dialing and not self.gone:
                self.host.counts["dialled to say something"] += 1
                self.dial(None)
            return
        for call, (cause, since, said) in self.owed.items():
            if said is None or said.closed:
                line.say(messages.line("end", call, why=cause))
                self.owed[call] = cause, since, line
        for call, rung in self.rungs.items():
            line.say(messages.line("set", call, {"rung": rung}))
        self.rungs.clear()

    # Connections

    def dial(self, vw):
        self.dialing += 1
        self.host.keep(self.dialed(vw))

    async def dialed(self, vw):
        loop, host = asyncio.get_running_loop(), self.host
        try:
            async with asyncio.timeout(host.config.terms.allowed.dial_timeout / 10_000):
                _, line = await loop.create_connection(lambda: ServerLine(self), *self.address)
        except (OSError, TimeoutError) as bad:
            self.dialing -= 1
            self.undialed(vw, bad)
            return
        self.dialing -= 1
        self.fails = self.refusals = 0
        if line.closed or host.over:
            line.abort()
            if vw is not None and self.waiting.pop(vw.call, None):
                host.ended(vw, How.UNREACHED)
            return
        self.lines.add(line)
        self.heard_at = host.now()
        if vw is not None and vw.call in self.waiting:
            self.send(line, vw)
        self.flush(line)

    def undialed(self, vw, bad):
        host, now = self.host, self.host.now()
        if getattr(bad, "errno", None) in (errno.EMFILE, errno.ENFILE):
            host.counts["no descriptor"] += 1
            if vw is not None and self.waiting.pop(vw.call, None):
                host.ended(vw, How.MOOT)
            return
        refused = isinstance(bad, ConnectionRefusedError)
        host.counts["dials refused" if refused else "dials that came to nothing"] += 1
        self.fails += 1
        self.refusals += refused
        self.again_at = now + (AGAIN if self.fails < PROOFS else AGAIN_LONG)
        if vw is not None and self.waiting.pop(vw.call, None):
            host.ended(vw, How.UNREACHED)

    def line_lost(self, line):
        self.lines.discard(line)
        call, line.call = line.call, None
        vw = call and self.host.by_call(call)
        if vw and vw.line is line:
            vw.line = None
            self.early.pop(call, None)
            # It may have run, and may stand there: ended by name, on another connection.
            self.release(call, messages.NORMAL)
            self.host.ended(vw, How.RESET)
        if not self.host.over:
            self.flush()

    def tend(self, now):
        """Once in a while: connections that idle too long, ways that must be proved, a server that is gone."""
        for line in list(self.lines):
            if line.ending is not None and now - line.since > ENDING:
                line.close()
            elif (
                line.free()
                and now - line.since > self.host.config.idle_close * 4 // 5
                and (not self.playing or len(self.lines) > 1)
            ):
                line.close()
        for call, (_, since, _) in list(self.owed.items()):
            if now - since > OWED:
                del self.owed[call]
        spare = sorted((line for line in self.lines if line.free()), key=lambda line: line.since)
        for line in spare[: max(0, len(spare) - HELD)]:
            line.close()
        if not self.playing:
            return
        if self.gone:
            self.lost()
        elif self.refusals >= 2 and not any(not line.closed for line in self.lines):
            self.lost()  # its process is gone, and what stood there with it
        elif self.fails >= PROOFS and now - self.heard_at > LOST:
            self.lost()
        elif (
            not self.dialing
            and now >= self.again_at
            and (not any(not line.closed for line in self.lines) or now - self.heard_at > self.quiet())
        ):
            if self.host.room_for_line():
                self.host.counts["dialled to prove the way"] += 1
                self.dial(None)

    def quiet(self):
        """How long a server where something plays may say nothing: until its next note is overdue, where it sends any.

        What is left till LOST must do for the proofs, each with its time-out and its pause.
        """
        terms = self.host.config.terms
        most = LOST - PROOFS * (terms.allowed.dial_timeout + AGAIN + TURN)
        every = terms.fleet.note_every
        return max(QUIET, min(most, round(NOTED * every))) if every else max(QUIET, most)

    def told(self, row):
        """What the list says of it now. Whatever stood there before a later start went with the process."""
        self.listed = row.state
        if row.started_at > self.started_at:
            self.started_at = row.started_at
            for id in list(self.playing):
                if self.host.viewings[id].sent_at < row.started_at:
                    self.host.cut(id)

    def forgettable(self):
        """Off the list, with nothing of ours there or under way."""
        return (
            (self.gone or self.listed is State.GONE)
            and not (self.playing or self.waiting or self.dialing or self.owed and not self.gone)
            and all(line.free() for line in self.lines)
        )

    def lost(self):
        """Nothing stands there any more."""
        for id in list(self.playing):
            self.host.cut(id)

    def shut(self):
        self.gone = True
        for line in list(self.lines):
            if line.free():
                line.close()

    # What the server says

    def heard(self, line, message):
        host, call, op = self.host, message.call, message.op
        self.heard_at = host.now()
        if op == "ended":
            self.settled(line, call)
            return
        vw = host.by_call(call)
        if op == "info":
            host.noted(self, vw, message)
        elif op in messages.ANSWERS and line.call == call and vw is not None and vw.line is line:
            if op == "accept" and not message.desc:
                raise Fault("desc: a description expected")
            line.call, vw.line, line.since = None, None, host.now()
            early = self.early.pop(call, None)
            if op == "accept":
                host.begun(self, vw, message)
                if vw.id in self.playing and (early or self.gone):
                    host.over_there(self, vw, early) if early else host.cut(vw.id)
            else:
                host.ended(vw, messages.BEFORE.get(message.why, How.RESET), messages.load(message, host.config.figures))
        elif op == "end":
            if vw is not None and vw.id in self.playing:
                host.over_there(self, vw, message)
            elif vw is not None:
                host.said("end of what is out", call=call, why=message.why, out=vw.line is not None)
                if vw.line is not None and vw.line.reach is self:
                    self.early[call] = message
            self.settled(line, call)
            self.hear_out(line, call)
        elif op not in ("accept", "ringing", "tested", "test", "set", "redirect", "offer"):
            raise Fault("op: none that we know")

    def hear_out(self, line, call):
        """Tells the server that its release was heard, on another connection where this one is closed already."""
        if line.closed:
            line = next((other for other in self.lines if not other.closed), line)
        line.say(messages.line("ended", call))

    def settled(self, line, call):
        self.owed.pop(call, None)
        if line.ending == call:
            line.ending, line.since = None, self.host.now()
