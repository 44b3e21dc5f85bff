"""The core runner: one Manager in any clock, with its actions carried out through a port.

The front on sockets, a replay and a model in virtual time all drive the module through this class, so that a
decision made in one is the decision made in the others. It holds what stands between the module and the world:
which viewing is in which phase, when its tune-in expires, which answer it got. It decides nothing; what it
refuses (a second tune-in while one is out, a second answer) is a fault of whoever asked for it, counted and said.

Times are whole tenths of a millisecond of the port's clock.
"""

import heapq
from collections import deque
from enum import Enum
from typing import NamedTuple, Protocol

from . import interface
from .decide import Manager
from .interface import NoteKind, Outcome

GUARD = 50  # an answer that the module still owes this long before the patience ends is an abort


class Phase(Enum):
    """Where a viewing stands."""

    WAITS = "waits"
    OUT = "out"  # a tune-in is out
    PLAYS = "plays"


class AnswerKind(Enum):
    """The one answer that a viewing gets."""

    PLAYS = "plays"
    BLOCKED = "blocked"
    ABORTED = "aborted"
    LEFT = "left"  # the client went first: nobody is there to be told


class Answer(NamedTuple):
    kind: AnswerKind
    server: int | None  # where it plays
    rung: int
    hold_off: int  # blocked: how long to stay away; 0: no advice
    outcome: Outcome | None  # how the last tune-in ended, for whoever must tell why
    overdue: bool = False  # the module had not answered when the patience ended


class Port(Protocol):
    """What a runner needs of the world. Nothing here may call the runner back before it returns."""

    def now(self) -> int: ...
    def wake_at(self, time: int) -> None: ...  # call tick() at this time
    def start_attempt(self, id: int, nth: int, server: int, rung: int, time_left: int) -> None: ...
    def abandon_attempt(self, id: int, nth: int, server: int) -> bool: ...  # nobody waits for it; had it been sent?
    def end_session(self, id: int, nth: int, server: int) -> None: ...  # end what plays
    def set_rung(self, id: int, nth: int, server: int, rung: int) -> None: ...
    def answer(self, id: int, answer: Answer) -> None: ...
    def tell_peers(self, server: int, kb: float) -> None: ...
    def probe(self, server: int) -> None: ...  # comes back as probed(), always
    def log(self, text: str) -> None: ...


class SessionRecord:
    """One viewing as the runner knows it."""

    __slots__ = "request", "phase", "nth", "server", "rung", "deadline", "answered", "sent_at", "outcome"

    def __init__(self, request, deadline):
        self.request, self.phase, self.deadline = request, Phase.WAITS, deadline
        self.nth, self.server, self.rung, self.sent_at = -1, None, 0, 0
        self.answered = False
        self.outcome = None


EXPIRE, ALARM, OVERDUE = range(3)


class Runner:
    """Drives one Manager. Every call takes the clock once, so that what comes together is heard together."""

    def __init__(self, terms, port, observer=None):
        """observer(now, event, actions), if given, sees all that goes into the module and comes out."""
        self.manager, self.port, self.observer = Manager(terms), port, observer
        self.sessions, self.pending_events, self.timers = {}, deque(), []
        self.timer_sequence = self.faults = self.overdue = 0
        self.now, self.next_wake_at, self.processing = 0, None, False
        self.last_answer_at = None  # of a manager that leaves
        self.step_due_at = 0  # the time that this step was due at: now, or that of the timer that is late
        # What came of each action, by its type: one look-up an action, since this is the hot path.
        self.action_handlers = {
            interface.TuneIn: self.tune_in,
            interface.SetRung: self.set_rung,
            interface.Block: self.block,
            interface.Abort: self.abort,
            interface.CallOff: self.call_off,
            interface.Move: self.move,
            interface.Remind: self.remind,
            interface.TellPeers: lambda act: port.tell_peers(act.server, act.kb),
            interface.Probe: lambda act: port.probe(act.server),
            interface.Log: lambda act: port.log(act.text),
        }

    # What the world tells

    def server_list_changed(self, kind, entries):
        self.process(interface.ServerListUpdate(kind, tuple(entries)))

    def titles_changed(self, events):
        """What titles are now."""
        now = self.port.now()
        for event in events:
            self.process(event, now)

    def seats_reserved(self, seats, servers):
        """Seats that claims may take, and servers that may play what an earlier life of this manager left."""
        self.process(interface.SeatReservations(seats, servers))

    def peaks_reserved(self, reserved_kb, titles, packages):
        """Room kept for announced peaks, from now on."""
        self.process(interface.PeakReservations(reserved_kb, titles, packages))

    def answer_by(self, at):
        """A planned stop: whoever waits for an answer has one by then, and whoever comes later too."""
        self.last_answer_at = at
        for id, held in self.sessions.items():
            if not held.answered and held.deadline > at:
                held.deadline = at
                self.add_timer(at - GUARD, OVERDUE, id, 0)
        self.schedule_wake()

    def session_requested(self, ask):
        """A viewing is taken: from here on it gets exactly one answer."""
        if ask.id in self.sessions:
            raise ValueError(f"viewing {ask.id} is held already")
        self.now = self.port.now()
        if self.last_answer_at is not None:
            ask = ask._replace(time_left=max(0, min(ask.time_left, self.last_answer_at - self.now)))
        self.sessions[ask.id] = SessionRecord(ask, self.now + ask.time_left)
        self.add_timer(self.now + max(0, ask.time_left - GUARD), OVERDUE, ask.id, 0)
        self.process(ask, self.now)

    def session_handed_over(self, ask, server, rung, *age):
        """A viewing that plays already, from before this runner was made; rung None: a note will tell.

        age: how long it has played there, in tenths of a millisecond, where that is known.
        """
        self.now = self.port.now()
        held = self.sessions[ask.id] = SessionRecord(ask, self.now + ask.time_left)
        held.phase, held.nth, held.server, held.rung, held.answered = Phase.PLAYS, 0, server, rung or 0, True
        self.process(interface.SessionHandedOver(ask, server, *age), self.now)
        if rung is not None:
            self.process(interface.PlaybackNote(ask.id, 0, server, NoteKind.RUNG, float(rung)), self.now)

    def attempt_succeeded(self, id, nth, duration, load=()):
        """The box plays it. False: nobody waits for this tune-in any more, so the caller must end it there.

        load: (NoteKind, amount) pairs that the answer brought.
        """
        held = self.sessions.get(id)
        if held is None or held.nth != nth or held.phase is not Phase.OUT:
            return False
        now, server = self.port.now(), held.server
        if held.answered:  # the client left while the tune-in was out and it could not be called off
            held.phase = Phase.WAITS
            self.port.end_session(id, nth, server)
            self.process(interface.AttemptEnded(id, nth, server, Outcome.CANCELLED, duration, True, ()), now)
            self.drop_idle(id)
            return True
        held.phase = Phase.PLAYS
        self.send_answer(id, held, Answer(AnswerKind.PLAYS, server, held.rung, 0, None))
        self.process(interface.AttemptSucceeded(id, nth, server, duration), now)
        for kind, amount in load:
            self.process(interface.PlaybackNote(id, nth, server, kind, amount), now)
        return True

    def attempt_ended(self, id, nth, outcome, duration, load=()):
        """The tune-in failed, or what played is over. False: it was over before."""
        held = self.sessions.get(id)
        if held is None or held.nth != nth or held.phase is Phase.WAITS:
            return False
        over, server = held.phase is Phase.PLAYS or held.answered, held.server
        held.phase, held.server, held.outcome = Phase.WAITS, None, outcome
        if over:
            self.sessions.pop(id)
        self.process(interface.AttemptEnded(id, nth, server, outcome, duration, over, load))
        return True

    def client_left(self, id):
        """The client is gone, or ends what plays."""
        held = self.sessions.get(id)
        if held is None:
            return
        now = self.port.now()
        if held.phase is Phase.PLAYS:
            self.port.end_session(id, held.nth, held.server)
            self.sessions.pop(id)
            self.process(
                interface.AttemptEnded(id, held.nth, held.server, Outcome.CANCELLED, now - held.sent_at, True, ()), now
            )
            return
        if not held.answered:
            self.send_answer(id, held, Answer(AnswerKind.LEFT, None, 0, 0, held.outcome))
            self.process(interface.ClientLeft(id), now)
            self.drop_idle(id)

    def playback_note(self, id, kind, amount):
        """News of a box, told on a viewing of ours that plays there."""
        held = self.sessions.get(id)
        if held is not None and held.phase is Phase.PLAYS:
            self.process(interface.PlaybackNote(id, held.nth, held.server, kind, amount))

    def peer_load_changed(self, peer, server, kb):
        self.process(interface.PeerLoadChange(peer, server, kb))

    def probe_ended(self, server, outcome, duration, load=()):
        """What came of a probe; load: the figures that the terms name, in their order, or none."""
        self.process(interface.ProbeEnded(server, outcome, duration, tuple(load)))

    def terms_changed(self, terms):
        """Other terms from now on. What was taken in stays: its phase, its deadline, the answer that it is owed."""
        self.process(interface.TermsChanged(terms))

    def tick(self):
        """Timers that are due."""
        now, self.next_wake_at = self.port.now(), None
        while self.timers and self.timers[0][0] <= now:
            due, _, kind, id, nth = heapq.heappop(self.timers)
            if kind == ALARM:
                self.process(interface.TimerFired(id), now, due)
                continue
            held = self.sessions.get(id)
            if held is None:
                continue
            if kind == EXPIRE and held.phase is Phase.OUT and held.nth == nth:
                # What never left us never ran: an unsafe set-up may then be tried elsewhere.
                sent = self.port.abandon_attempt(id, nth, held.server)
                self.attempt_ended(id, nth, Outcome.TIMEOUT if sent else Outcome.UNREACHED, now - held.sent_at)
            elif kind == OVERDUE and not held.answered:
                self.overdue += 1
                self.port.log(f"viewing {id}: no answer when its patience ended")
                self.send_answer(id, held, Answer(AnswerKind.ABORTED, None, 0, 0, held.outcome, True))
                self.process(interface.ClientLeft(id), now)
                self.drop_idle(id)
        self.schedule_wake()

    # What the module wants

    def process(self, event, now=None, due=None):
        """One event in, its actions out; what the actions cause is heard after them, in order."""
        self.pending_events.append(event)
        if self.processing:
            return
        self.processing = True
        self.now = self.port.now() if now is None else now
        self.step_due_at = self.now if due is None else due
        try:
            while self.pending_events:
                event = self.pending_events.popleft()
                acts = self.manager.handle(self.now, event)
                if self.observer:
                    self.observer(self.now, event, acts)
                for act in acts:
                    self.action_handlers[type(act)](act)
        finally:
            self.processing = False
        self.schedule_wake()

    def tune_in(self, act):
        held = self.sessions.get(act.id)
        if held is None or held.answered or held.phase is not Phase.WAITS:
            self.report_fault(
                f"viewing {act.id}: a tune-in while it is "
                f"{'not held' if held is None else 'answered' if held.answered else held.phase.value}"
            )
            return
        held.nth += 1
        held.phase, held.server, held.sent_at = Phase.OUT, act.server, self.now
        expire = min(act.expire_at, held.deadline)
        self.add_timer(expire, EXPIRE, act.id, held.nth)
        self.port.start_attempt(act.id, held.nth, act.server, held.rung, expire - self.now)

    def set_rung(self, act):
        if held := self.sessions.get(act.id):
            held.rung = act.rung
            if held.phase is Phase.PLAYS:
                self.port.set_rung(act.id, held.nth, held.server, act.rung)

    def block(self, act):
        self.refuse(act.id, AnswerKind.BLOCKED, act.hold_off)

    def abort(self, act):
        self.refuse(act.id, AnswerKind.ABORTED, 0)

    def refuse(self, id, kind, hold_off):
        held = self.sessions.get(id)
        if held is None or held.answered or held.phase is Phase.PLAYS:
            self.report_fault(f"viewing {id}: {kind.value} after its answer")
            return
        self.send_answer(id, held, Answer(kind, None, 0, hold_off, held.outcome))
        self.drop_idle(id)

    def call_off(self, act):
        held = self.sessions.get(act.id)
        if held and held.phase is Phase.OUT and held.nth == act.nth:
            self.port.abandon_attempt(act.id, act.nth, held.server)
            self.attempt_ended(act.id, act.nth, Outcome.CANCELLED, self.now - held.sent_at)

    def move(self, act):
        held = self.sessions.get(act.id)
        if held and held.phase is Phase.PLAYS:
            self.client_left(act.id)

    def remind(self, act):
        self.add_timer(self.now + act.after, ALARM, act.token, 0)

    # Small change

    def send_answer(self, id, held, answer):
        held.answered = True
        self.port.answer(id, answer)

    def drop_idle(self, id):
        """An answered viewing is kept only while a tune-in of it is out."""
        held = self.sessions.get(id)
        if held and held.phase is Phase.WAITS:
            del self.sessions[id]

    def report_fault(self, text):
        self.faults += 1
        self.port.log(f"fault: {text}")

    def add_timer(self, time, kind, id, nth):
        self.timer_sequence += 1
        heapq.heappush(self.timers, (time, self.timer_sequence, kind, id, nth))

    def schedule_wake(self):
        if self.timers and (self.next_wake_at is None or self.timers[0][0] < self.next_wake_at):
            self.next_wake_at = self.timers[0][0]
            self.port.wake_at(self.next_wake_at)
