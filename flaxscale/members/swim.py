"""Failure detection among managers, and membership updates by gossip. No I/O.

After A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): in each period one member is probed, in turns of a shuffled order (4.3). Without an answer K
others are asked to probe it (3.1); without an answer to those it is suspected, and declared dead only after a time in
which it may refute the suspicion with a higher incarnation (4.2). Updates are piggybacked on the messages, each a
limited number of times, the least often sent first (4.1).

Three things differ from the paper. A member whose own process stalled, as its clock shows, does not suspect others for
answers that it missed meanwhile. A member that was declared dead but is alive may return with a higher incarnation: in
the paper the dead stay dead, but a manager that was paused must be able to return. A member that leaves announces it,
and is not suspected.

Times are tenths of a millisecond of the owner's steady clock. Random choices by crc32 over seed and counter.
"""

import math
from enum import Enum
from typing import NamedTuple

from ..chance import uniform_from_bytes

PERIOD = 5_000  # one probe in each
ACK_WAIT = 1_500  # for a direct answer; indirect probes have the rest of the period
INDIRECT_PROBES = 3  # members that are asked for an indirect probe (the paper's K)
MAX_INDIRECT_PROBES = 12  # the same where direct probes get lost
SUSPECT_PERIODS = 3.0  # times log10 of the members, at least this many: until a suspect is declared dead
RETRANSMIT_FACTOR = 2  # times log2 of the members: how often one update is sent
SUSPECT_NOTIFIERS = 6  # members that send a suspect its suspicion in one period
MAX_UPDATES = 14  # in one message
LOSS_FACTOR = 6.0  # a suspicion lasts longer by so many times the measured probe loss
LOSS_WEIGHT = 0.1  # of the newest probe in the moving average of probe loss
MAX_INDIRECT_LOSSES = 2  # probes counted as lost of a member known to be alive only through others
MAX_UNANSWERED = 8  # unanswered probes remembered for one member until a message from it, or its death
STALL_LIMIT = 2 * PERIOD  # a tick later than this means that this process stalled
FORGET_AFTER = 600 * PERIOD  # the dead are remembered so long, so that old updates are told from new ones


class State(Enum):
    """In the order in which updates of one incarnation override each other."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(NamedTuple):
    """A statement about a member. boot: id of one start of its process. serves: the address for its clients."""

    name: str
    address: str
    state: State
    incarnation: int
    boot: str
    serves: str = ""


class Message(NamedTuple):
    """kind: ping, ask (an indirect probe of `target`) or ack. seq: of the sender's probe, or of the requester's."""

    kind: str
    seq: int
    sender: str
    target: str
    news: tuple  # Updates
    held: tuple = ()  # rows of versions.table, piggybacked


class Member:
    """What is known of another member. since: when its state last changed."""

    __slots__ = "name", "address", "state", "incarnation", "boot", "serves", "since"

    def __init__(self, update, now):
        self.name, self.since = update.name, now
        self.set(update, now)

    def set(self, update, now):
        """Takes over the fields of an update."""
        _, self.address, self.state, self.incarnation, self.boot, self.serves = update
        self.since = now

    def update(self):
        """What is known of the member, as an Update."""
        return Update(self.name, self.address, self.state, self.incarnation, self.boot, self.serves)


class Probe:
    """A probe without an answer yet. requester: (address, its seq) where it was sent for another member."""

    __slots__ = "target", "sent_at", "indirect", "requester"

    def __init__(self, target, sent_at, requester=None):
        self.target, self.sent_at, self.indirect, self.requester = target, sent_at, False, requester


class Swim:
    """One member. tick() and receive() return the messages to send, as (address, Message).

    changes: Updates since the last take_changes() that changed what is known of a member.
    """

    def __init__(self, name, address, boot, seed, now, incarnation=0, serves=""):
        self.name, self.seed, self.draws, self.seq = name, seed, 0, 0
        self.me = Update(name, address, State.ALIVE, incarnation, boot, serves)
        self.members, self.order, self.probes = {}, [], {}
        self.transmissions, self.changes = {}, []  # transmissions: {name: how often its update was sent}
        self.next_at, self.ticked_at, self.seeds = now, now, ()
        self.stalls = 0  # stalls of this process
        self.probe_loss = 0.0  # moving average of the share of own direct probes that get lost
        self.unanswered = {}  # {name: unanswered direct probes}, lost if the member is alive
        self.indirect_losses = {}  # {name: those counted as lost on the word of others}

    def chance(self):
        """A number from 0 up to 1."""
        self.draws += 1
        return uniform_from_bytes(b"%d:%s:%d" % (self.seed, self.name.encode(), self.draws))

    def sample(self, items, count):
        """Up to `count` of the items, in random order."""
        items = list(items)
        for n in range(min(count, len(items))):
            other = n + int(self.chance() * (len(items) - n))
            items[n], items[other] = items[other], items[n]
        return items[:count]

    # Membership

    def alive(self):
        """Names of members that may be given work, the own one included."""
        return sorted([self.name, *(m.name for m in self.members.values() if m.state in (State.ALIVE, State.SUSPECT))])

    def probe_targets(self):
        """Other members that are alive or suspected."""
        return [m for m in self.members.values() if m.state in (State.ALIVE, State.SUSPECT)]

    def count(self):
        """How many members are alive or suspected, this one included."""
        return 1 + len(self.probe_targets())

    def suspicion_timeout(self):
        """How long a suspicion lasts: longer where own probes get lost, as the refutation may be lost as well."""
        return round(
            PERIOD
            * max(SUSPECT_PERIODS, SUSPECT_PERIODS * math.log10(self.count() + 1))
            * (1 + LOSS_FACTOR * max(0.0, self.probe_loss - LOSS_WEIGHT))
        )

    def indirect_probe_count(self):
        """How many members are asked for an indirect probe: more where own probes get lost, as theirs do then.

        With three, at a loss of 30% a fifth of all probes end in a false suspicion. With 300 members those suspicions
        and their refutations are more updates than messages carry, so that refutations arrived late and living members
        were declared dead.
        """
        return min(
            MAX_INDIRECT_PROBES,
            INDIRECT_PROBES + round(INDIRECT_PROBES * LOSS_FACTOR * max(0.0, self.probe_loss - LOSS_WEIGHT)),
        )

    def record_probe(self, answered):
        """Counts one direct probe in the moving average of probe loss."""
        self.probe_loss += LOSS_WEIGHT * ((0.0 if answered else 1.0) - self.probe_loss)

    def heard_directly(self, name):
        """A message came from a member: the probes that it did not answer were lost on the network.

        Unanswered probes of a dead member are not counted. They say nothing of the network, and with seven dead of ten
        they made each detection take three times as long.
        """
        self.indirect_losses.pop(name, None)
        for _ in range(self.unanswered.pop(name, 0)):
            self.record_probe(False)

    def alive_by_others(self, name):
        """Others report that a member is alive. Among hundreds each sends to another directly only once in minutes.

        The first few unanswered probes count as loss. Further ones mean that the path to this member is cut, and say
        nothing of the other paths.
        """
        lost, counted = self.unanswered.pop(name, 0), self.indirect_losses.get(name, 0)
        for _ in range(min(lost, MAX_INDIRECT_LOSSES - counted)):
            self.record_probe(False)
        if lost:
            self.indirect_losses[name] = min(MAX_INDIRECT_LOSSES, counted + lost)

    # Updates

    def apply_update(self, update, now):
        """Applies one update; True where it changed anything."""
        if update.name == self.name:
            return self.refute(update)
        member = self.members.get(update.name)
        if member is None:
            self.members[update.name] = Member(update, now)
            self.record_change(update)
            return True
        other_start = update.boot != member.boot
        newer = (update.incarnation, update.state.value) > (member.incarnation, member.state.value)
        # Another start of the process: a state other than alive counts only with a higher incarnation, so that updates
        # of an earlier start can't override the present one.
        if not newer or (other_start and update.state is not State.ALIVE and update.incarnation <= member.incarnation):
            return False
        before, address = member.state, member.address
        member.set(update, now)
        if update.state is State.ALIVE:
            self.alive_by_others(update.name)
        if update.state in (State.DEAD, State.LEFT):
            self.unanswered.pop(update.name, None)
            self.indirect_losses.pop(update.name, None)
        if before is not update.state or other_start or address != update.address:
            self.record_change(update)
        else:
            self.transmissions[update.name] = 0
        return True

    def record_change(self, update):
        """Queues an update for sending, and for the owner."""
        self.transmissions[update.name] = 0
        self.changes.append(update)

    def refute(self, update):
        """Answers an update about this member that is wrong or of another start, with a higher incarnation."""
        if self.me.state is State.LEFT or update.incarnation < self.me.incarnation:
            return False
        if update.state is State.ALIVE and (update.incarnation == self.me.incarnation and update.boot == self.me.boot):
            return False
        self.me = self.me._replace(incarnation=update.incarnation + 1)
        self.transmissions[self.name] = 0
        return True

    def piggyback(self, whole=False):
        """The updates of one message. whole: of all members, for a newcomer.

        Updates of suspects, of the dead and of those that left go first, then the least often sent, so that many
        joining members do not delay the update of a death. Refutations rank with the suspicions: behind them they
        would arrive too late whenever there are more suspicions than one message carries.
        """
        if whole:
            return (self.me, *(m.update() for m in self.members.values()))
        most = RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(self.count() + 1)))
        out = [self.me]  # always, so that every receiver knows this member's address and incarnation

        def priority(item):
            member = self.members.get(item[0])
            return member is None or member.state is State.ALIVE and not member.incarnation, item[1], item[0]

        for name, times in sorted(self.transmissions.items(), key=priority):
            if len(out) >= MAX_UPDATES:
                break
            if name != self.name and name in self.members:
                out.append(self.members[name].update())
            self.transmissions[name] = times + 1
            if times + 1 >= most:
                del self.transmissions[name]
        return tuple(out)

    # Time

    def join(self, seeds):
        """Sets the addresses that are pinged until another member is known."""
        self.seeds = tuple(a for a in seeds if a != self.me.address)

    def tick(self, now):
        """The messages that are due: probes, indirect probes and notices to suspects."""
        out = []
        if now - self.ticked_at > STALL_LIMIT:
            # Answers missed while this process stalled say nothing about other members.
            self.stalls += 1
            self.probes.clear()
            for member in self.members.values():
                if member.state is State.SUSPECT:
                    member.since = now
        self.ticked_at = now
        if self.me.state is State.LEFT:
            return out
        for seq, probe in list(self.probes.items()):
            if probe.requester is not None:
                if now - probe.sent_at > PERIOD:
                    del self.probes[seq]
            elif now - probe.sent_at >= PERIOD:
                del self.probes[seq]
                self.suspect(probe, now)
            elif not probe.indirect and now - probe.sent_at >= ACK_WAIT:
                probe.indirect = True
                self.unanswered[probe.target] = min(MAX_UNANSWERED, self.unanswered.get(probe.target, 0) + 1)
                others = [m for m in self.probe_targets() if m.name != probe.target and m.state is State.ALIVE]
                for other in self.sample(others, self.indirect_probe_count()):
                    out.append((other.address, self.message("ask", seq, probe.target)))
                target = self.members.get(probe.target)
                if target is not None and self.probe_loss > LOSS_WEIGHT:
                    out.append((target.address, self.message("ping", seq, probe.target)))
        timeout = self.suspicion_timeout()  # not for each member: with 300 it dominated the cost of a tick
        for member in list(self.members.values()):
            if member.state is State.SUSPECT and now - member.since >= timeout:
                self.apply_update(member.update()._replace(state=State.DEAD), now)
                timeout = self.suspicion_timeout()
            elif member.state in (State.DEAD, State.LEFT) and now - member.since > FORGET_AFTER:
                del self.members[member.name]
                self.transmissions.pop(member.name, None)
        if now >= self.next_at:
            self.next_at = now + PERIOD
            out += self.probe(now)
            out += self.notify_suspects()
        return out

    def notify_suspects(self):
        """Pings that carry the suspicion to the suspects; one that arrives is enough for a refutation.

        About SUSPECT_NOTIFIERS of all members send one to each suspect in a period.
        """
        suspects, count = [m for m in self.members.values() if m.state is State.SUSPECT], self.count()
        return [
            (m.address, self.message("ping", self.next_seq(), m.name, m.update()))
            for m in suspects
            if self.chance() * count < SUSPECT_NOTIFIERS
        ]

    def due(self):
        """When tick() is next needed."""
        times = [self.next_at]
        for probe in self.probes.values():
            times.append(probe.sent_at + (PERIOD if probe.indirect or probe.requester else ACK_WAIT))
        since = [m.since for m in self.members.values() if m.state is State.SUSPECT]
        if since:
            times.append(min(since) + self.suspicion_timeout())
        return min(times)

    def probe(self, now):
        """The direct probe of a period, or pings to the seeds while no other member is known."""
        if not self.probe_targets():
            return [(address, self.message("ping", self.next_seq(), "")) for address in self.seeds]
        while True:
            if not self.order:
                self.order = self.sample([m.name for m in self.probe_targets()], len(self.members))
            target = self.members.get(self.order.pop())
            if target is not None and target.state in (State.ALIVE, State.SUSPECT):
                break
        seq = self.next_seq()
        self.probes[seq] = Probe(target.name, now)
        out = [(target.address, self.message("ping", seq, target.name))]
        # Members that were declared dead are no longer probed and may not know: one is pinged now and then.
        dead = [m for m in self.members.values() if m.state is State.DEAD]
        if dead and self.chance() < 0.2:
            out += [
                (m.address, self.message("ping", self.next_seq(), m.name, m.update())) for m in self.sample(dead, 1)
            ]
        return out

    def next_seq(self):
        """A new sequence number."""
        self.seq += 1
        return self.seq

    def message(self, kind, seq, target, *more, whole=False):
        """A Message with piggybacked updates. more: Updates that go before those."""
        return Message(kind, seq, self.name, target, (*more, *self.piggyback(whole)))

    def suspect(self, probe, now):
        """Suspects the target of a probe without an answer."""
        member = self.members.get(probe.target)
        if member is not None and member.state is State.ALIVE:
            self.apply_update(member.update()._replace(state=State.SUSPECT), now)

    # Messages

    def rejoin(self):
        """Messages that take part again after leave(), with a higher incarnation that overrides the leaving."""
        self.me = self.me._replace(state=State.ALIVE, incarnation=self.me.incarnation + 1)
        self.transmissions[self.name] = 0
        return [(m.address, self.message("ping", self.next_seq(), m.name)) for m in self.probe_targets()]

    def receive(self, message, address, now):
        """Takes a message that came from this address; the messages to send."""
        self.heard_directly(message.sender)
        known = message.sender in self.members and self.members[message.sender].state is not State.DEAD
        for update in message.news:
            self.apply_update(update, now)
        # A restarted process that was not declared dead must receive what is known of it, and of all members.
        own_update = next((update for update in message.news if update.name == message.sender), None)
        member = self.members.get(message.sender)
        restarted = own_update is not None and member is not None and member.boot != own_update.boot
        known &= not restarted
        if self.me.state is State.LEFT:
            return []
        if message.kind == "ping":
            more = (member.update(),) if restarted else self.suspicion_of(message.sender)
            return [(address, self.message("ack", message.seq, self.name, *more, whole=not known))]
        if message.kind == "ask":
            target = self.members.get(message.target)
            if target is None:
                return []
            seq = self.next_seq()
            self.probes[seq] = Probe(target.name, now, (address, message.seq))
            return [(target.address, self.message("ping", seq, target.name, *self.suspicion_of(target.name)))]
        probe = self.probes.pop(message.seq, None)
        if probe is None or (probe.target and message.target not in (probe.target, "")):
            return []
        if probe.requester is None and not probe.indirect:
            self.record_probe(True)
        elif probe.requester is None:
            self.alive_by_others(probe.target)
        if probe.requester is not None:
            return [(probe.requester[0], self.message("ack", probe.requester[1], probe.target))]
        return []

    def suspicion_of(self, name):
        """The update of a member that is not simply alive, sent to that member so that it can refute it."""
        member = self.members.get(name)
        return (member.update(),) if member is not None and member.state is not State.ALIVE else ()

    def leave(self):
        """Messages to all that announce the leaving, as (address, Message). Nothing more is sent after them."""
        self.me = self.me._replace(state=State.LEFT)
        return [(m.address, self.message("ping", self.next_seq(), m.name)) for m in self.probe_targets()]

    def take_changes(self):
        """The changes since the last call."""
        changes, self.changes = self.changes, []
        return changes
