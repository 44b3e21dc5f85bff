"""One session manager on the platform: the port of its runner, and all that its sockets share.

It decides nothing about viewings. A viewing is a record here from its set-up until the module forgets it: the names it
has on the wire, the line it came on, and where a set-up of it is out or it plays.
"""

import asyncio
import resource
from collections import Counter

from ..interface import Asked, How, State
from ..jsonl import messages
from ..jsonl.messages import Fault
from ..run import Fate, Runner
from ..serve.clock import unix_clock
from ..site.load import SiteError
from ..site.settings import NOTE_NAMES, PEER_WORD, span
from . import config as configuration
from .belief import Belief
from .bulletin import Bulletin, Unreadable
from .follow import Follower
from .servers import Reach
from .viewers import ViewerLine
from .words import Words

TEND = 0.1  # seconds between two rounds of upkeep
STATE_EVERY = 100  # rounds between two lines of state in the log
SAID_MOST = 20  # log lines of one sort; further ones are counted
RESERVE = 16  # descriptors for the listener, the bulletin, the peers, the log and the loop
RELEASE_AGAIN, RELEASE_MOST = 1_500, 80_000  # a release that no viewer heard of goes again, for so long
STAYS, STAYS_MOST = 9_000, 33_000  # after SIGTERM: at least while requests may come; at most


class Viewing:
    __slots__ = (
        "id",
        "call",
        "package",
        "key",
        "desc",
        "client",
        "line",
        "server",
        "nth",
        "rung",
        "expire_at",
        "sent_at",
        "answer",
    )

    def __init__(self, setup, client):
        self.id, self.call, self.desc = setup.id, setup.call, setup.desc
        self.package, self.key = setup.package, setup.key
        self.client, self.line, self.server, self.answer = client, None, None, None
        self.nth = self.rung = self.expire_at = self.sent_at = 0


class Host:
    def __init__(self, file, config, log):
        self.file, self.config, self.log_to, self.now = file, config, log, unix_clock()
        self.counts = Counter()
        self.viewings, self.reaches, self.viewer_lines = {}, {}, {}
        self.releases = {}  # call: [cause, since, said at, the line that it goes on, lines that did not hear]
        self.tasks, self.loop = set(), None
        self.over, self.leaving_since, self.rounds = False, None, 0
        self.alarm = None
        self.runner = Runner(config.terms, self)
        self.bulletin, self.belief = Bulletin(config), Belief(self)
        self.done = asyncio.Event()

    # Start and end

    async def start(self):
        self.loop = asyncio.get_running_loop()
        try:
            for news in self.bulletin.known(self.config.known):
                self.hear(news)
        except Unreadable as bad:
            raise SiteError(self.file, "known", str(bad)) from None
        self.words = Words(self)
        if self.config.peer_listen:
            await self.words.start(self.config.peer_listen)
        self.follower = Follower(self, self.config.bulletin)
        self.follower.start()
        self.listener = await self.loop.create_server(
            lambda: ViewerLine(self), *self.config.listen, backlog=1024, reuse_address=True
        )
        self.loop.call_later(TEND, self.tend)

    def leave(self):
        """SIGTERM: goes on serving while requests may still come, then until all are answered."""
        if self.leaving_since is None:
            self.leaving_since = self.now()
            self.log_to.info("leaves", waiting=self.unanswered())

    async def stop(self):
        self.over = True
        self.log_to.info("over", faults=self.runner.faults, overdue=self.runner.overdue, **self.figures())
        self.listener.close()
        self.follower.stop()
        self.words.stop()
        for line in list(self.viewer_lines):
            line.close()
        for reach in self.reaches.values():
            for line in list(reach.lines):
                line.close(read_on=False)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def reload(self):
        """SIGHUP: all or nothing. A file that can't be taken on is said once, and the old one goes on."""
        try:
            found = configuration.read(self.file)
            old = self.config.terms
            if (found.listen, found.terms.me, found.terms.peers) != (self.config.listen, old.me, old.peers):
                raise SiteError(self.file, "listen", "the address and number of this manager expected")
            bulletin = Bulletin(found)
            bulletin.last = self.bulletin.last
            news = bulletin.known(found.known)
        except (SiteError, Unreadable) as bad:
            self.log_to.warning("settings refused", why=str(bad))
            return
        moved = found.bulletin != self.config.bulletin
        changed = found.terms._replace(seed=old.seed) != old
        self.config, self.bulletin = found, bulletin
        self.log_to.info("settings taken on", bulletin="%s:%d" % found.bulletin, terms_changed=changed)
        if changed:
            self.runner.changed(found.terms._replace(seed=old.seed))
        for one in news:
            self.hear(one)
        if moved:
            self.follower.go_to(found.bulletin)

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

    # Upkeep

    def tend(self):
        if self.over:
            return
        now, self.rounds = self.now(), self.rounds + 1
        for line in [line for line in self.viewer_lines if line.overdue(now)]:
            self.counts["silent viewers closed"] += 1
            line.close()
        self.release_again(now)
        for server, reach in list(self.reaches.items()):
            reach.tend(now)
            if reach.forgettable():
                reach.shut()
                del self.reaches[server]
        self.follower.tend(now)
        if self.rounds % STATE_EVERY == 0:
            self.log_to.info("state", **self.figures(), belief=self.belief.taken())
        if self.leaving_since is not None:
            stayed = now - self.leaving_since
            if stayed > STAYS_MOST or stayed > STAYS and not self.unanswered():
                self.done.set()
        self.loop.call_later(TEND, self.tend)

    def figures(self):
        return {
            "viewings": len(self.viewings),
            "waiting": self.unanswered(),
            "servers": len(self.reaches),
            "viewer_lines": len(self.viewer_lines),
            "server_lines": sum(len(r.lines) for r in self.reaches.values()),
            "owed": sum(len(r.owed) for r in self.reaches.values()),
            "releases": len(self.releases),
            "list": self.bulletin.last,
            "counts": dict(self.counts),
        }

    def unanswered(self):
        return sum(len(line.open) for line in self.viewer_lines)

    # Descriptors: a part for viewers, the rest for servers, of what is not reserved

    def room_for_line(self):
        used = sum(len(reach.lines) + reach.dialing for reach in self.reaches.values())
        if used < (self.config.sockets - RESERVE) * 3 // 8:
            return True
        idle = [line for reach in self.reaches.values() for line in reach.lines if line.free()]
        if not idle:
            return False
        min(idle, key=lambda line: line.since).close()
        return True

    def joined(self, line):
        self.viewer_lines[line] = True
        if len(self.viewer_lines) > (self.config.sockets - RESERVE) * 5 // 8:
            now = self.now()
            first = max(self.viewer_lines, key=lambda one: one.spare(now))
            first = line if first.open else first
            self.said("viewers closed for room", good=first.good, idle=now - first.used_at, age=now - first.since)
            self.viewer_lines.pop(first, None)
            first.close()

    def parted(self, line):
        self.viewer_lines.pop(line, None)
        for vw in list(line.open.values()):
            self.leave_viewing(vw)
        line.open.clear()

    # What viewers want

    def offered(self, line, message):
        if message.call in line.open:
            raise Fault("call: that of an open set-up")
        setup = messages.set_up(message, self.config.packages)
        if setup.at is not None:
            self.handed_over(line, setup)
            return
        if setup.id in self.runner.held or setup.id in self.viewings:
            raise Fault("call: that of a viewing that we hold")
        self.counts["asked"] += 1
        vw = self.viewings[setup.id] = Viewing(setup, line)
        line.open[setup.call] = vw
        self.runner.asked(self.asked(setup, span(setup.left)))
        self.settle(vw)

    def asked(self, setup, left):
        return Asked(
            setup.id,
            self.config.packages.index(setup.package),
            setup.title,
            setup.viewer,
            left,
            setup.top,
            setup.first_cell,
            setup.cells,
            0,
            False,
            setup.again,
        )

    def handed_over(self, line, setup):
        if setup.id in self.viewings:
            return
        reach = self.reaches.get(setup.at)
        if reach is None:
            raise Fault("extras.at: no server of the list")
        self.counts["handed over"] += 1
        vw = self.viewings[setup.id] = Viewing(setup, line)
        vw.server = reach
        reach.playing.add(vw.id)
        self.runner.handed_over(self.asked(setup, 0), setup.at, None)

    def given_up(self, line, message):
        """A viewer's own end: of an open set-up on its connection, of what stands on any."""
        vw = self.by_call(message.call)
        if vw is None or vw.call in vw.client.open and vw.client is not line:
            line.say(messages.line("ended", message.call[:64]))
            return
        line.say(messages.line("ended", message.call))
        self.counts["left"] += 1
        vw.client.open.pop(vw.call, None)
        self.leave_viewing(vw)

    def leave_viewing(self, vw):
        self.runner.left(vw.id)
        self.settle(vw)

    def settle(self, vw):
        """Forgets a viewing that the runner holds no longer."""
        if vw.id not in self.runner.held and self.viewings.get(vw.id) is vw:
            del self.viewings[vw.id]
            if vw.server is not None:
                vw.server.playing.discard(vw.id)

    def by_call(self, call):
        return self.viewings.get(int(call, 16)) if messages.CALL.match(call) else None

    # What is owed to viewers

    def release(self, vw, cause):
        self.releases[vw.call] = [cause, self.now(), 0, vw.client, set()]
        self.say_release(vw.call)

    def say_release(self, call):
        """On the connection of its set-up; if that is gone or does not hear, on others that carry viewings, in turn."""
        row = self.releases[call]
        if row[2] or row[3].closed:
            row[4].add(row[3])
            row[3] = max(
                (one for one in self.viewer_lines if one.good and not one.closed and one is not row[3]),
                default=row[3],
                key=lambda one: (one not in row[4], one.carried, one.heard_at),
            )
        if not row[3].closed:
            row[2] = self.now()
            row[3].say(messages.line("end", call, why=row[0]))

    def release_again(self, now):
        for call, (_, since, said, _, _) in list(self.releases.items()):
            if now - since > RELEASE_MOST:
                del self.releases[call]
                self.counts["releases not heard"] += 1
            elif now - said > RELEASE_AGAIN:
                if now - since > 8_000:
                    line = self.releases[call][3]
                    self.said("slow release", call=call, since=now - since, carried=line.carried, closed=line.closed)
                self.say_release(call)

    def release_heard(self, call):
        self.releases.pop(call, None)

    # What servers say

    def begun(self, reach, vw, message):
        vw.answer, vw.server = message.desc, reach
        reach.playing.add(vw.id)
        if self.runner.begun(vw.id, vw.nth, self.now() - vw.sent_at):
            self.counts["plays"] += 1
        else:
            reach.playing.discard(vw.id)
            reach.release(vw.call, messages.NORMAL)
        vw.answer = vw.desc = None  # nobody needs them again, and there are thousands
        self.settle(vw)

    def ended(self, vw, how, load=()):
        """A set-up that came to nothing."""
        self.said(
            f"set-up {how.value}",
            call=vw.call,
            server=f"{vw.server.server:08x}",
            key=vw.key,
            nth=vw.nth,
            took=self.now() - vw.sent_at,
        )
        self.runner.ended(vw.id, vw.nth, how, self.now() - vw.sent_at, load)
        self.settle(vw)

    def soon_ended(self, vw, how):
        nth = vw.nth
        self.loop.call_soon(lambda: vw.nth == nth and self.ended(vw, how))

    def over_there(self, reach, vw, message):
        """What stood is over, as its server says."""
        how = messages.AFTER.get(message.why, How.RESET)
        self.counts[f"over {how.value}"] += 1
        self.runner.ended(vw.id, vw.nth, how, self.now() - vw.sent_at, messages.load(message, self.config.figures))
        self.settle(vw)
        if how is not How.CANCELLED:
            self.release(vw, message.why)

    def cut(self, id):
        """What stood at a server that is gone."""
        vw = self.viewings.get(id)
        if vw is None:
            return
        self.counts["cut with its server"] += 1
        vw.server.release(vw.call, messages.NORMAL) if not vw.server.gone else None
        self.runner.ended(id, vw.nth, How.RESET, self.now() - vw.sent_at)
        self.settle(vw)
        self.release(vw, messages.CUT)

    def noted(self, reach, vw, message):
        kind = NOTE_NAMES.get(message.fields.get("note"))
        if vw is None or kind is None or vw.id not in reach.playing:
            self.counts["notes on nothing"] += 1
            return
        value = messages.figure(message.fields.get("value", ""), "value")
        self.belief.noted(reach.server, kind, value)
        self.runner.note(vw.id, kind, value)

    def hear(self, news):
        """The list, as the bulletin tells it."""
        for row in news.entries:
            address, reach = news.addresses[row.server], self.reaches.get(row.server)
            if reach is not None:
                reach.told(row)
            if (
                row.state is State.GONE
                or reach is not None
                and reach.address == address
                and (not reach.gone or row.state is not State.READY)
            ):
                continue
            # Who serves now has the address; what is told later of one that had it before must not take it away.
            for other in self.reaches.values():
                if row.state is State.READY and other.address == address and other.server != row.server:
                    other.shut()
            if reach is not None:
                reach.shut()
                reach.lost()
            self.reaches[row.server] = Reach(self, row.server, address, row.started_at)
        self.counts["events"] += 1
        self.runner.listing(news.kind, news.entries)

    # The port: what the module wants

    def wake(self, at):
        if self.alarm:
            self.alarm.cancel()
        self.alarm = self.loop.call_later(max(0, at - self.now()) / 10_000, self.runner.tick)

    def tune_in(self, id, nth, server, rung, left):
        vw, reach = self.viewings[id], self.reaches.get(server)
        vw.nth, vw.rung, vw.sent_at = nth, rung, self.now()
        vw.expire_at = vw.sent_at + left
        self.counts["tune-ins"] += 1
        if reach is None:
            self.soon_ended(vw, How.UNREACHED)
        else:
            vw.server = reach
            reach.tune_in(vw)

    def abandon(self, id, nth, server):
        vw = self.viewings.get(id)
        return vw is not None and vw.server is not None and vw.server.abandon(vw)

    def end(self, id, nth, server):
        vw = self.viewings[id]
        vw.server.playing.discard(id)
        vw.server.release(vw.call, messages.NORMAL)

    def set_rung(self, id, nth, server, rung):
        vw = self.viewings[id]
        vw.server.set_rung(vw.call, rung)

    def answer(self, id, answer):
        vw = self.viewings[id]
        vw.client.open.pop(vw.call, None)
        self.counts[f"answered {answer.fate.value}"] += 1
        if answer.fate is Fate.PLAYS:
            vw.client.carried += 1
            vw.client.say(messages.line("accept", vw.call, desc=vw.answer))
        elif answer.fate is Fate.BLOCKED:
            # The platform's clients stay away for whole milliseconds.
            fields = {"wait": answer.hold_off // 10} if answer.hold_off else {}
            vw.client.say(messages.line("end", vw.call, fields, messages.FULL))
        elif answer.fate is Fate.ABORTED:
            vw.client.say(messages.line("end", vw.call, why=messages.CUT))

    def tell_peers(self, server, kb):
        self.words.say(PEER_WORD.pack(server, kb))

    def probe(self, server):
        self.loop.call_soon(self.runner.probed, server, How.ERROR, 0)

    def log(self, text):
        self.said("module", text=text)


def descriptors(config):
    """Raises the soft limit to what the configuration gives, where the platform left it lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < min(config.sockets, hard):
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(config.sockets, hard), hard))
