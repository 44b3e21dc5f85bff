"""The runner: feeds events to one Manager, on any clock, and carries out its actions through a port.

The front, the platform host and the model in virtual time all drive the decisions through this class, so that all of
them decide alike. The runner keeps the state of each session: its phase, when its attempt times out, whether it has
its answer. It makes no decisions. An action that is not possible in the present state (a second attempt while one is
pending, a second answer) is not carried out, but counted as a fault and logged.

Times are whole tenths of a millisecond of the port's clock.
"""

import heapq
from collections import deque
from enum import Enum
from typing import NamedTuple, Protocol

from . import interface
from .decide import Manager
from .interface import NoteKind, Outcome

ANSWER_RESERVE = 50  # a request without a decision this long before its deadline is answered with an abort


class Phase(Enum):
    """State of a session."""

    WAITS = "waits"  # no attempt is pending
    OUT = "out"  # an attempt is pending
    PLAYS = "plays"


class AnswerKind(Enum):
    """Which answer a session request gets."""

    PLAYS = "plays"
    BLOCKED = "blocked"
    ABORTED = "aborted"
    LEFT = "left"  # the client left before the answer, which therefore goes nowhere


class Answer(NamedTuple):
    """The one answer to a session request."""

    kind: AnswerKind
    server: int | None  # where it plays
    rung: int
    hold_off: int  # blocked: how long the client should wait before it repeats the request; 0: no advice
    outcome: Outcome | None  # of the last attempt, for the reason given to the client
    overdue: bool = False  # there was no decision by the deadline


class Port(Protocol):
    """What a runner needs of its environment. No method may call the runner before it returns."""

    def now(self) -> int: ...
    def wake_at(self, time: int) -> None: ...  # call tick() at this time
    def start_attempt(self, id: int, nth: int, server: int, rung: int, time_left: int) -> None: ...
    def abandon_attempt(self, id: int, nth: int, server: int) -> bool: ...  # its result is unwanted; was it sent?
    def end_session(self, id: int, nth: int, server: int) -> None: ...  # end a playing session
    def set_rung(self, id: int, nth: int, server: int, rung: int) -> None: ...
    def answer(self, id: int, answer: Answer) -> None: ...
    def session_removed(self, id: int) -> None: ...  # the runner holds no record of the session any more
    def tell_peers(self, server: int, kb: float) -> None: ...
    def probe(self, server: int) -> None: ...  # always ends in Runner.probe_ended()
    def log(self, text: str) -> None: ...


class SessionRecord:
    """State of one session in the runner."""

    __slots__ = "request", "phase", "nth", "server", "rung", "deadline", "answered", "sent_at", "outcome"

    def __init__(self, request, deadline):
        self.request, self.phase, self.deadline = request, Phase.WAITS, deadline
        self.nth, self.server, self.rung, self.sent_at = -1, None, 0, 0
        self.answered = False
        self.outcome = None


ATTEMPT_TIMEOUT, MANAGER_TIMER, ANSWER_DUE = range(3)
TIMERS_BEFORE_PURGE = 1_024  # least number of timers at which those of removed sessions are dropped


class Runner:
    """Drives one Manager. Each call reads the clock once, so that events that arrive together have the same time."""

    def __init__(self, terms, port, observer=None):
        """observer(now, event, actions), if given, is called with each event and the actions that it caused."""
        self.manager, self.port, self.observer = Manager(terms), port, observer
        self.sessions, self.pending_events, self.timers = {}, deque(), []
        self.timer_sequence = self.faults = self.overdue = 0
        self.purge_timers_above = TIMERS_BEFORE_PURGE
        self.now, self.next_wake_at, self.processing = 0, None, False
        self.last_answer_at = None  # of a manager that stops: requests are answered by this time
        self.step_due_at = 0  # when the present event was due: now, or earlier for a timer that fires late
        # By type of the action: a single look-up for each, since this is the hot path.
        self.action_handlers = {
            interface.TuneIn: self.tune_in,
            interface.SetRung: self.set_rung,
            interface.Block: self.block,
            interface.Abort: self.abort,
            interface.CallOff: self.call_off,
            interface.Move: self.move,
            interface.Remind: self.remind,
            interface.TellPeers: lambda action: port.tell_peers(action.server, action.kb),
            interface.Probe: lambda action: port.probe(action.server),
            interface.Log: lambda action: port.log(action.text),
        }

    # Events

    def server_list_changed(self, kind, entries):
        """A new server list, or changes to it."""
        self.process(interface.ServerListUpdate(kind, tuple(entries)))

    def titles_changed(self, events):
        """Rows of the catalogue that changed, as TitleUpdate events."""
        now = self.port.now()
        for event in events:
            self.process(event, now)

    def seats_reserved(self, seats, servers):
        """Seats of pending claims, and servers that may still play sessions of an earlier run of this manager."""
        self.process(interface.SeatReservations(seats, servers))

    def peaks_reserved(self, reserved_kb, titles, packages):
        """Capacity reserved for announced peaks. Replaces the previous reservations."""
        self.process(interface.PeakReservations(reserved_kb, titles, packages))

    def answer_by(self, at):
        """A planned stop: all requests, pending and future, are answered by this time."""
        self.last_answer_at = at
        for id, session in self.sessions.items():
            if not session.answered and session.deadline > at:
                session.deadline = at
                self.add_timer(at - ANSWER_RESERVE, ANSWER_DUE, id, 0)
        self.schedule_wake()

    def session_requested(self, request):
        """A session request arrives. It gets exactly one answer."""
        if request.id in self.sessions:
            raise ValueError(f"session {request.id} exists already")
        self.now = self.port.now()
        if self.last_answer_at is not None:
            request = request._replace(time_left=max(0, min(request.time_left, self.last_answer_at - self.now)))
        self.sessions[request.id] = SessionRecord(request, self.now + request.time_left)
        self.add_timer(self.now + max(0, request.time_left - ANSWER_RESERVE), ANSWER_DUE, request.id, 0)
        self.process(request, self.now)

    def session_handed_over(self, request, server, rung, *age):
        """A session that already plays is this manager's from now on.

        rung: None where it is not known yet; a note will report it.
        age: how long it has played there, in tenths of a millisecond, where that is known.
        """
        self.now = self.port.now()
        session = self.sessions[request.id] = SessionRecord(request, self.now + request.time_left)
        session.phase, session.nth, session.server, session.rung, session.answered = (
            Phase.PLAYS,
            0,
            server,
            rung or 0,
            True,
        )
        self.process(interface.SessionHandedOver(request, server, *age), self.now)
        if rung is not None:
            self.process(interface.PlaybackNote(request.id, 0, server, NoteKind.RUNG, float(rung)), self.now)

    def attempt_succeeded(self, id, nth, duration, load=()):
        """The server plays the session. False: the attempt was abandoned before, and the caller must end it there.

        load: (NoteKind, amount) pairs from the server's answer.
        """
        session = self.sessions.get(id)
        if session is None or session.nth != nth or session.phase is not Phase.OUT:
            return False
        now, server = self.port.now(), session.server
        if session.answered:  # the client left during the attempt, which could not be cancelled
            session.phase = Phase.WAITS
            self.port.end_session(id, nth, server)
            self.process(interface.AttemptEnded(id, nth, server, Outcome.CANCELLED, duration, True, ()), now)
            self.drop_idle(id)
            return True
        session.phase = Phase.PLAYS
        self.send_answer(id, session, Answer(AnswerKind.PLAYS, server, session.rung, 0, None))
        self.process(interface.AttemptSucceeded(id, nth, server, duration), now)
        for kind, amount in load:
            self.process(interface.PlaybackNote(id, nth, server, kind, amount), now)
        return True

    def attempt_ended(self, id, nth, outcome, duration, load=()):
        """The attempt failed, or the playing session ended. False: it had ended before."""
        session = self.sessions.get(id)
        if session is None or session.nth != nth or session.phase is Phase.WAITS:
            return False
        session_over, server = session.phase is Phase.PLAYS or session.answered, session.server
        session.phase, session.server, session.outcome = Phase.WAITS, None, outcome
        if session_over:
            self.remove(id)
        self.process(interface.AttemptEnded(id, nth, server, outcome, duration, session_over, load))
        return True

    def client_left(self, id):
        """The client left, or ended its session."""
        session = self.sessions.get(id)
        if session is None:
            return
        now = self.port.now()
        if session.phase is Phase.PLAYS:
            self.port.end_session(id, session.nth, session.server)
            self.remove(id)
            self.process(
                interface.AttemptEnded(
                    id, session.nth, session.server, Outcome.CANCELLED, now - session.sent_at, True, ()
                ),
                now,
            )
            return
        if not session.answered:
            self.send_answer(id, session, Answer(AnswerKind.LEFT, None, 0, 0, session.outcome))
            self.process(interface.ClientLeft(id), now)
            self.drop_idle(id)

    def playback_note(self, id, kind, amount):
        """A server reports on a session that plays there."""
        session = self.sessions.get(id)
        if session is not None and session.phase is Phase.PLAYS:
            self.process(interface.PlaybackNote(id, session.nth, session.server, kind, amount))

    def peer_load_changed(self, peer, server, kb):
        """Another manager's load on a server changed by this much, kB a second."""
        self.process(interface.PeerLoadChange(peer, server, kb))

    def probe_ended(self, server, outcome, duration, load=()):
        """A probe was answered or failed. load: the figures that the terms name, in their order, or none."""
        self.process(interface.ProbeEnded(server, outcome, duration, tuple(load)))

    def terms_changed(self, terms):
        """New terms. Sessions keep their phase and deadline, and requests still get their answer."""
        self.process(interface.TermsChanged(terms))

    def tick(self):
        """Runs the timers that are due."""
        now, self.next_wake_at = self.port.now(), None
        while self.timers and self.timers[0][0] <= now:
            due, _, kind, id, nth = heapq.heappop(self.timers)
            if kind == MANAGER_TIMER:
                self.process(interface.TimerFired(id), now, due)
                continue
            session = self.sessions.get(id)
            if session is None:
                continue
            if kind == ATTEMPT_TIMEOUT and session.phase is Phase.OUT and session.nth == nth:
                # An attempt that was never sent never ran: an unsafe one may then go to another server.
                sent = self.port.abandon_attempt(id, nth, session.server)
                self.attempt_ended(id, nth, Outcome.TIMEOUT if sent else Outcome.UNREACHED, now - session.sent_at)
            elif kind == ANSWER_DUE and not session.answered:
                self.overdue += 1
                self.port.log(f"session {id}: no decision by the deadline of its request")
                self.send_answer(id, session, Answer(AnswerKind.ABORTED, None, 0, 0, session.outcome, True))
                self.process(interface.ClientLeft(id), now)
                self.drop_idle(id)
        self.schedule_wake()

    # Actions

    def process(self, event, now=None, due=None):
        """Handles an event and carries out its actions. Events that these cause are handled after them, in order.

        due: when the event was due, where it is a timer that may fire late.
        """
        self.pending_events.append(event)
        if self.processing:
            return
        self.processing = True
        self.now = self.port.now() if now is None else now
        self.step_due_at = self.now if due is None else due
        try:
            while self.pending_events:
                event = self.pending_events.popleft()
                actions = self.manager.handle(self.now, event)
                if self.observer:
                    self.observer(self.now, event, actions)
                for action in actions:
                    self.action_handlers[type(action)](action)
        finally:
            self.processing = False
        self.schedule_wake()

    def tune_in(self, action):
        session = self.sessions.get(action.id)
        if session is None or session.answered or session.phase is not Phase.WAITS:
            self.report_fault(
                f"session {action.id}: attempt not started, the session is "
                f"{'unknown' if session is None else 'answered' if session.answered else session.phase.value}"
            )
            return
        session.nth += 1
        session.phase, session.server, session.sent_at = Phase.OUT, action.server, self.now
        expire_at = min(action.expire_at, session.deadline)
        self.add_timer(expire_at, ATTEMPT_TIMEOUT, action.id, session.nth)
        self.port.start_attempt(action.id, session.nth, action.server, session.rung, expire_at - self.now)

    def set_rung(self, action):
        if session := self.sessions.get(action.id):
            session.rung = action.rung
            if session.phase is Phase.PLAYS:
                self.port.set_rung(action.id, session.nth, session.server, action.rung)

    def block(self, action):
        self.refuse(action.id, AnswerKind.BLOCKED, action.hold_off)

    def abort(self, action):
        self.refuse(action.id, AnswerKind.ABORTED, 0)

    def refuse(self, id, kind, hold_off):
        session = self.sessions.get(id)
        if session is None or session.answered or session.phase is Phase.PLAYS:
            self.report_fault(f"session {id}: answer {kind.value} refused, it is unknown, plays or has its answer")
            return
        self.send_answer(id, session, Answer(kind, None, 0, hold_off, session.outcome))
        self.drop_idle(id)

    def call_off(self, action):
        session = self.sessions.get(action.id)
        if session and session.phase is Phase.OUT and session.nth == action.nth:
            self.port.abandon_attempt(action.id, action.nth, session.server)
            self.attempt_ended(action.id, action.nth, Outcome.CANCELLED, self.now - session.sent_at)

    def move(self, action):
        session = self.sessions.get(action.id)
        if session and session.phase is Phase.PLAYS:
            self.client_left(action.id)

    def remind(self, action):
        self.add_timer(self.now + action.after, MANAGER_TIMER, action.token, 0)

    # Helpers

    def send_answer(self, id, session, answer):
        session.answered = True
        self.port.answer(id, answer)

    def drop_idle(self, id):
        """Drops an answered session, unless an attempt of it is pending."""
        session = self.sessions.get(id)
        if session and session.phase is Phase.WAITS:
            self.remove(id)

    def remove(self, id):
        """Removes the record of a session, here and in the port: the one place where a record ends."""
        del self.sessions[id]
        self.port.session_removed(id)

    def report_fault(self, text):
        self.faults += 1
        self.port.log(f"fault: {text}")

    def add_timer(self, time, kind, id, nth):
        self.timer_sequence += 1
        heapq.heappush(self.timers, (time, self.timer_sequence, kind, id, nth))
        if len(self.timers) > self.purge_timers_above:
            self.purge_timers()

    def purge_timers(self):
        """Drops the timers of removed sessions: a request may be answered long before its deadline."""
        self.timers = [timer for timer in self.timers if timer[2] == MANAGER_TIMER or timer[3] in self.sessions]
        heapq.heapify(self.timers)
        self.purge_timers_above = max(TIMERS_BEFORE_PURGE, 2 * len(self.timers))

    def schedule_wake(self):
        if self.timers and (self.next_wake_at is None or self.timers[0][0] < self.next_wake_at):
            self.next_wake_at = self.timers[0][0]
            self.port.wake_at(self.next_wake_at)
