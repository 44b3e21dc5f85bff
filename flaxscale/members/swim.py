"""Which managers are alive: failure detection and its news by gossip. No I/O.

After A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): each period one member is probed, by turns in a shuffled order (4.3); without an answer K others
are asked to probe it (3.1); without any it is suspected, and dead only after a while in which it may refute with a
higher incarnation (4.2); news ride on the probes, each a limited number of times, the least told first (4.1).

Three things differ. A member that stood still judges nobody by what it missed meanwhile (its clock tells it). Who was
called dead and is not may come back with a higher incarnation: the paper's dead stay dead, a stopped manager must not.
Who leaves says so, and is not suspected.

Times are tenths of a millisecond of the owner's steady clock. Chance by crc32 over seed and counter.
"""

import math
from enum import Enum
from typing import NamedTuple

from ..chance import drawn

PERIOD = 5_000  # one probe in each
ACK_WAIT = 1_500  # then others are asked; the rest of the period is theirs
ASKED = 3  # others that are asked to probe (the paper's K)
ASKED_MOST = 12  # as many, where our own probes get lost
SUSPECT_PERIODS = 3.0  # times log10 of the members, at least this many: until a suspect is dead
TELLINGS = 2  # times log2 of the members: how often a piece of news is told
WARNERS = 6  # members that tell a suspect of it in one period
MAX_UPDATES = 14  # pieces of news in one message
LOSSY = 6.0  # a suspicion lasts longer by so many times our own lost probes
LATEST = 0.1  # weight of the last probe
VOUCHED = 2  # as many count as lost, of a member that others only say lives
UNSURE = 8  # unanswered probes of one member that are remembered until it is heard, or dead
STALL_LIMIT = 2 * PERIOD  # a tick later than this: it was us who stood still
FORGET_AFTER = 600 * PERIOD  # the dead are known so long, so that old news of them is told from new


class State(Enum):
    """In the order in which news of one incarnation overrule each other."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(NamedTuple):
    """What is said of a member. boot: which start of its process. serves: where its clients ask."""

    name: str
    address: str
    state: State
    incarnation: int
    boot: str
    serves: str = ""


class Message(NamedTuple):
    """kind: ping, ask (probe `target` for me), ack. seq: of the sender's probe, or of the asker's."""

    kind: str
    seq: int
    sender: str
    target: str
    news: tuple
    held: tuple = ()  # rows of versions.table, which ride along


class Member:
    __slots__ = "name", "address", "state", "incarnation", "boot", "serves", "since"

    def __init__(self, news, now):
        self.name, self.since = news.name, now
        self.take(news, now)

    def take(self, news, now):
        _, self.address, self.state, self.incarnation, self.boot, self.serves = news
        self.since = now

    def news(self):
        return Update(self.name, self.address, self.state, self.incarnation, self.boot, self.serves)


class Probe:
    """One that is out. by: who asked us for it, if it is not ours: (address, their seq)."""

    __slots__ = "target", "sent_at", "asked", "by"

    def __init__(self, target, sent_at, by=None):
        self.target, self.sent_at, self.asked, self.by = target, sent_at, False, by


class Swim:
    """tick() and receive() return messages to send, as (address, Message). changes: what was learned, for the owner."""

    def __init__(self, name, address, boot, seed, now, incarnation=0, serves=""):
        self.name, self.seed, self.draws, self.seq = name, seed, 0, 0
        self.me = Update(name, address, State.ALIVE, incarnation, boot, serves)
        self.members, self.order, self.probes = {}, [], {}
        self.transmissions, self.changes = {}, []  # transmissions: {name: times that its news were told}
        self.next_at, self.ticked_at, self.seeds = now, now, ()
        self.stalls = 0  # how often it stood still
        self.probe_loss = 0.0  # share of our first probes that got lost, lately
        self.unsure = {}  # {name: unanswered ones}: lost, if it lives
        self.vouched = {}  # {name: of those, counted on the word of others}

    def chance(self):
        self.draws += 1
        return drawn(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws))

    def some(self, items, count):
        items = list(items)
        for n in range(min(count, len(items))):
            other = n + int(self.chance() * (len(items) - n))
            items[n], items[other] = items[other], items[n]
        return items[:count]

    # Who is there

    def alive(self):
        """Names that may be given work, ours among them."""
        return sorted([self.name, *(m.name for m in self.members.values() if m.state in (State.ALIVE, State.SUSPECT))])

    def probed(self):
        return [m for m in self.members.values() if m.state in (State.ALIVE, State.SUSPECT)]

    def count(self):
        return 1 + len(self.probed())

    def suspicion(self):
        """Longer where our own probes get lost: the refutation may be lost as well."""
        return round(
            PERIOD
            * max(SUSPECT_PERIODS, SUSPECT_PERIODS * math.log10(self.count() + 1))
            * (1 + LOSSY * max(0.0, self.probe_loss - LATEST))
        )

    def asked(self):
        """How many others are asked to probe: more where our own probes get lost, as the ones of others do then.

        With three, at a loss of 30% a fifth of all probes end in a false suspicion; with 300 members those and what
        refutes them are more news than messages carry, so that refutations came late and the living were called dead.
        """
        return min(ASKED_MOST, ASKED + round(ASKED * LOSSY * max(0.0, self.probe_loss - LATEST)))

    def probed_by_us(self, answered):
        self.probe_loss += LATEST * ((0.0 if answered else 1.0) - self.probe_loss)

    def lives(self, name):
        """We hear a member: what it did not answer was lost on the way. Of one that is dead that says nothing of our
        ways, and seven dead of ten must not make each death take three times as long to be known."""
        self.vouched.pop(name, None)
        for _ in range(self.unsure.pop(name, 0)):
            self.probed_by_us(False)

    def vouched_for(self, name):
        """We hear through others that it lives: among hundreds we hear each one itself once in minutes. A few of
        these in a row count as loss; more say that the way to this one is cut, and nothing of our others."""
        lost, counted = self.unsure.pop(name, 0), self.vouched.get(name, 0)
        for _ in range(min(lost, VOUCHED - counted)):
            self.probed_by_us(False)
        if lost:
            self.vouched[name] = min(VOUCHED, counted + lost)

    # Update

    def apply_update(self, news, now):
        """Takes one piece of news; True where it was new to us."""
        if news.name == self.name:
            return self.of_me(news)
        member = self.members.get(news.name)
        if member is None:
            self.members[news.name] = Member(news, now)
            self.note(news)
            return True
        other_start = news.boot != member.boot
        newer = (news.incarnation, news.state.value) > (member.incarnation, member.state.value)
        # Another start of the process: its word of being alive counts where it comes with a higher incarnation only,
        # so that news of an earlier start can't bring it back.
        if not newer or (other_start and news.state is not State.ALIVE and news.incarnation <= member.incarnation):
            return False
        before, address = member.state, member.address
        member.take(news, now)
        if news.state is State.ALIVE:
            self.vouched_for(news.name)
        if news.state in (State.DEAD, State.LEFT):
            self.unsure.pop(news.name, None)
            self.vouched.pop(news.name, None)
        if before is not news.state or other_start or address != news.address:
            self.note(news)
        else:
            self.transmissions[news.name] = 0
        return True

    def note(self, news):
        self.transmissions[news.name] = 0
        self.changes.append(news)

    def of_me(self, news):
        """Somebody says that we are suspect or dead, or knew a later one of our incarnations: we say otherwise."""
        if self.me.state is State.LEFT or news.incarnation < self.me.incarnation:
            return False
        if news.state is State.ALIVE and (news.incarnation == self.me.incarnation and news.boot == self.me.boot):
            return False
        self.me = self.me._replace(incarnation=news.incarnation + 1)
        self.transmissions[self.name] = 0
        return True

    def rides(self, whole=False):
        """The news of one message: of suspects, dead and left first, then the least told. whole: all, for a newcomer.

        Against a crowd of newcomers whose news would hold up that of a death. What refutes a suspicion goes with the
        suspicions: behind them it would come too late whenever there are more of those than a message carries.
        """
        if whole:
            return (self.me, *(m.news() for m in self.members.values()))
        most = TELLINGS * max(1, math.ceil(math.log2(self.count() + 1)))
        out = [self.me]  # always: whoever hears us knows our address and incarnation

        def turn(item):
            member = self.members.get(item[0])
            return member is None or member.state is State.ALIVE and not member.incarnation, item[1], item[0]

        for name, times in sorted(self.transmissions.items(), key=turn):
            if len(out) >= MAX_UPDATES:
                break
            if name != self.name and name in self.members:
                out.append(self.members[name].news())
            self.transmissions[name] = times + 1
            if times + 1 >= most:
                del self.transmissions[name]
        return tuple(out)

    # Time

    def join(self, seeds):
        """Addresses to ask at until somebody is known."""
        self.seeds = tuple(a for a in seeds if a != self.me.address)

    def tick(self, now):
        out = []
        if now - self.ticked_at > STALL_LIMIT:
            # What was missed while we stood still says nothing about others.
            self.stalls += 1
            self.probes.clear()
            for member in self.members.values():
                if member.state is State.SUSPECT:
                    member.since = now
        self.ticked_at = now
        if self.me.state is State.LEFT:
            return out
        for seq, probe in list(self.probes.items()):
            if probe.by is not None:
                if now - probe.sent_at > PERIOD:
                    del self.probes[seq]
            elif now - probe.sent_at >= PERIOD:
                del self.probes[seq]
                self.missed(probe, now)
            elif not probe.asked and now - probe.sent_at >= ACK_WAIT:
                probe.asked = True
                self.unsure[probe.target] = min(UNSURE, self.unsure.get(probe.target, 0) + 1)
                others = [m for m in self.probed() if m.name != probe.target and m.state is State.ALIVE]
                for other in self.some(others, self.asked()):
                    out.append((other.address, self.message("ask", seq, probe.target)))
                target = self.members.get(probe.target)
                if target is not None and self.probe_loss > LATEST:
                    out.append((target.address, self.message("ping", seq, probe.target)))
        span = self.suspicion()  # once for all: with 300 members it is what a tick costs
        for member in list(self.members.values()):
            if member.state is State.SUSPECT and now - member.since >= span:
                self.apply_update(member.news()._replace(state=State.DEAD), now)
                span = self.suspicion()
            elif member.state in (State.DEAD, State.LEFT) and now - member.since > FORGET_AFTER:
                del self.members[member.name]
                self.transmissions.pop(member.name, None)
        if now >= self.next_at:
            self.next_at = now + PERIOD
            out += self.probe(now)
            out += self.warn()
        return out

    def warn(self):
        """Suspects are told of it again and again: one who lives needs a single one of these to arrive.

        With many members each tells now and then only; about WARNERS of them do in a period.
        """
        suspects, count = [m for m in self.members.values() if m.state is State.SUSPECT], self.count()
        return [
            (m.address, self.message("ping", self.number(), m.name, m.news()))
            for m in suspects
            if self.chance() * count < WARNERS
        ]

    def due(self):
        """When tick() is next needed."""
        times = [self.next_at]
        for probe in self.probes.values():
            times.append(probe.sent_at + (PERIOD if probe.asked or probe.by else ACK_WAIT))
        since = [m.since for m in self.members.values() if m.state is State.SUSPECT]
        if since:
            times.append(min(since) + self.suspicion())
        return min(times)

    def probe(self, now):
        if not self.probed():
            return [(address, self.message("ping", self.number(), "")) for address in self.seeds]
        while True:
            if not self.order:
                self.order = self.some([m.name for m in self.probed()], len(self.members))
            target = self.members.get(self.order.pop())
            if target is not None and target.state in (State.ALIVE, State.SUSPECT):
                break
        seq = self.number()
        self.probes[seq] = Probe(target.name, now)
        out = [(target.address, self.message("ping", seq, target.name))]
        # One who was called dead may never hear of it from those who no longer probe it: now and then it is told.
        lost = [m for m in self.members.values() if m.state is State.DEAD]
        if lost and self.chance() < 0.2:
            out += [(m.address, self.message("ping", self.number(), m.name, m.news())) for m in self.some(lost, 1)]
        return out

    def number(self):
        self.seq += 1
        return self.seq

    def message(self, kind, seq, target, *more, whole=False):
        return Message(kind, seq, self.name, target, (*more, *self.rides(whole)))

    def missed(self, probe, now):
        member = self.members.get(probe.target)
        if member is not None and member.state is State.ALIVE:
            self.apply_update(member.news()._replace(state=State.SUSPECT), now)

    # Messages

    def rejoin(self):
        """Takes part again after it left: with a higher incarnation, so that this overrules its leaving."""
        self.me = self.me._replace(state=State.ALIVE, incarnation=self.me.incarnation + 1)
        self.transmissions[self.name] = 0
        return [(m.address, self.message("ping", self.number(), m.name)) for m in self.probed()]

    def receive(self, message, address, now):
        """address: where it came from."""
        self.lives(message.sender)
        known = message.sender in self.members and self.members[message.sender].state is not State.DEAD
        for news in message.news:
            self.apply_update(news, now)
        # Another start of its process, which nobody called dead yet: it must hear what is said of it, and all else.
        said = next((news for news in message.news if news.name == message.sender), None)
        held = self.members.get(message.sender)
        restarted = said is not None and held is not None and held.boot != said.boot
        known &= not restarted
        if self.me.state is State.LEFT:
            return []
        if message.kind == "ping":
            more = (held.news(),) if restarted else self.sayings(message.sender)
            return [(address, self.message("ack", message.seq, self.name, *more, whole=not known))]
        if message.kind == "ask":
            target = self.members.get(message.target)
            if target is None:
                return []
            seq = self.number()
            self.probes[seq] = Probe(target.name, now, (address, message.seq))
            return [(target.address, self.message("ping", seq, target.name, *self.sayings(target.name)))]
        probe = self.probes.pop(message.seq, None)
        if probe is None or (probe.target and message.target not in (probe.target, "")):
            return []
        if probe.by is None and not probe.asked:
            self.probed_by_us(True)
        elif probe.by is None:
            self.vouched_for(probe.target)
        if probe.by is not None:
            return [(probe.by[0], self.message("ack", probe.by[1], probe.target))]
        return []

    def sayings(self, name):
        """What we hold of whom we talk to, where it is not simply alive: it must be able to refute."""
        member = self.members.get(name)
        return (member.news(),) if member is not None and member.state is not State.ALIVE else ()

    def leave(self):
        """Says that we leave, to all: (address, Message). Nothing more is sent after it."""
        self.me = self.me._replace(state=State.LEFT)
        return [(m.address, self.message("ping", self.number(), m.name)) for m in self.probed()]

    def take_changes(self):
        changes, self.changes = self.changes, []
        return changes
