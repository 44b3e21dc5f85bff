"""The runner on a virtual clock: which calls it makes of its port, and which actions it counts as faults."""

import unittest

from flaxscale import interface
from flaxscale.interface import ListKind, NoteKind, Outcome, ServerStatus
from flaxscale.run import TIMERS_BEFORE_PURGE, AnswerKind, Phase, Runner
from tests.drive import S, pack, site


class Port:
    """A port without sockets: records the runner's calls, and its clock is set by the test."""

    def __init__(self):
        self.clock, self.calls, self.wake_time, self.was_sent = 100 * S, [], None, True
        self.removed = []

    def now(self):
        return self.clock

    def wake_at(self, at):
        self.wake_time = at

    def start_attempt(self, id, nth, server, rung, left):
        self.calls.append(("start_attempt", id, nth, server, rung, left))

    def abandon_attempt(self, id, nth, server):
        self.calls.append(("abandon_attempt", id, nth))
        return self.was_sent

    def end_session(self, id, nth, server):
        self.calls.append(("end_session", id, nth, server))

    def set_rung(self, id, nth, server, rung):
        self.calls.append(("set_rung", id, server, rung))

    def answer(self, id, answer):
        self.calls.append(("answer", id, answer.kind, answer.outcome))

    def session_removed(self, id):
        self.removed.append(id)

    def tell_peers(self, server, kb):
        self.calls.append(("tell_peers", server))

    def probe(self, server):
        self.calls.append(("probe", server))

    def log(self, text):
        self.calls.append(("log", text))


class RunnerOnVirtualClock(unittest.TestCase):
    def start(self, **terms):
        self.port, self.events = Port(), []
        self.runner = Runner(
            site([terms.pop("pack", None) or pack()], **terms),
            self.port,
            lambda now, event, actions: self.events.append(event),
        )
        self.runner.server_list_changed(
            ListKind.FULL, [interface.ServerEntry(n, 0, (n - 1) % 3, 0, 1.0, 0, ServerStatus.READY) for n in (1, 2)]
        )
        self.run_until(100 * S + 20 * S)

    def run_until(self, time):
        while self.port.wake_time is not None and self.port.wake_time <= time:
            self.port.clock, self.port.wake_time = max(self.port.clock, self.port.wake_time), None
            self.runner.tick()
        self.port.clock = time

    def advance(self, tenths):
        self.run_until(self.port.clock + tenths)

    def request(self, id=1, left=30_000):
        self.runner.session_requested(interface.SessionRequest(id, 0, 9, id, left, 2, 0, 3, 0, False, False))
        self.advance(600)

    def calls(self, name):
        return [row for row in self.port.calls if row[0] == name]

    def test_the_port_is_told_of_each_removed_record_whichever_path_removes_it(self):
        # Guards against records of sessions that stay in the port after their answer, until memory runs out.
        def refused_at_the_end_of_a_batch():
            for server in self.runner.manager.servers.values():
                server.link.capacity_kb = 1e-6
            self.request()
            self.advance(2_000)

        def answered_at_the_deadline():
            self.runner.manager.batch_ends_at = self.port.clock + 60 * S  # no batch ends before
            self.request(left=1_000)

        def abandoned_at_the_deadline():
            self.request(left=1_000)
            self.advance(60 * S)

        def failed_by_its_server():
            self.request()
            while (
                self.runner.attempt_ended(1, self.runner.sessions[1].nth, Outcome.ERROR, 10) and not self.port.removed
            ):
                self.advance(1_000)

        def ended_by_its_server():
            self.request()
            self.runner.attempt_succeeded(1, 0, 10)
            self.runner.attempt_ended(1, 0, Outcome.OK, 10)

        def left_by_its_client():
            self.request()
            self.runner.client_left(1)

        def ended_by_its_client():
            self.request()
            self.runner.attempt_succeeded(1, 0, 10)
            self.runner.client_left(1)

        def left_during_an_attempt_that_can_not_be_cancelled():
            self.runner.manager.allowed = self.runner.manager.allowed._replace(may_cancel=False)
            self.request()
            self.runner.client_left(1)
            self.runner.attempt_succeeded(1, 0, 10)

        def refused_in_a_planned_stop():
            self.runner.answer_by(self.port.clock)
            self.request()

        for path in (
            refused_at_the_end_of_a_batch,
            answered_at_the_deadline,
            abandoned_at_the_deadline,
            failed_by_its_server,
            ended_by_its_server,
            left_by_its_client,
            ended_by_its_client,
            left_during_an_attempt_that_can_not_be_cancelled,
            refused_in_a_planned_stop,
        ):
            with self.subTest(path.__name__):
                self.start()
                path()
                self.assertEqual(1, len(self.calls("answer")))
                self.assertEqual([1], self.port.removed)
                self.assertEqual({}, self.runner.sessions)

    def test_timers_of_answered_requests_do_not_stay_until_their_deadlines(self):
        # Guards against memory that grows with refused requests whose clients state deadlines of an hour.
        self.start()
        for id in range(1, 3 * TIMERS_BEFORE_PURGE):
            self.request(id, left=3600 * S)
            self.runner.client_left(id)
        self.assertLessEqual(len(self.runner.timers), TIMERS_BEFORE_PURGE)
        self.request(7, left=1_000)
        self.advance(60 * S)  # the timers that are left still fire
        self.assertEqual(7, self.calls("answer")[-1][1])

    def test_a_session_from_its_request_to_its_end(self):
        self.start()
        self.request()
        ((_, id, nth, server, rung, left),) = self.calls("start_attempt")
        self.assertTrue(self.runner.attempt_succeeded(1, 0, 200, [(NoteKind.LINK, 0.4)]))
        self.assertEqual([("answer", 1, AnswerKind.PLAYS, None)], self.calls("answer"))
        self.assertEqual([interface.AttemptSucceeded, interface.PlaybackNote], [type(e) for e in self.events[-2:]])
        self.assertTrue(self.runner.attempt_ended(1, 0, Outcome.OK, 5 * S))
        self.assertFalse(self.runner.attempt_ended(1, 0, Outcome.OK, 5 * S))
        self.assertEqual(({}, {}), (self.runner.sessions, self.runner.manager.sessions))

    def test_an_unanswered_attempt_times_out_and_another_server_is_tried(self):
        self.start()
        self.request()
        self.advance(10_000)
        self.assertEqual([0, 1], [row[2] for row in self.calls("start_attempt")][:2])
        self.assertEqual(("abandon_attempt", 1, 0), self.calls("abandon_attempt")[0])
        self.assertFalse(self.runner.attempt_succeeded(1, 0, 9000))  # too late: the caller must end it at the server
        self.assertEqual(Outcome.TIMEOUT, next(e.outcome for e in self.events if isinstance(e, interface.AttemptEnded)))

    def test_an_unsafe_attempt_that_was_never_sent_may_be_blocked(self):
        for was_sent, kind, outcome in (
            (True, AnswerKind.ABORTED, Outcome.TIMEOUT),
            (False, AnswerKind.BLOCKED, Outcome.UNREACHED),
        ):
            self.start(pack=pack(effect="unsafe"))
            self.port.was_sent = was_sent
            self.request()
            self.advance(30_000)
            self.assertEqual([("answer", 1, kind, outcome)], self.calls("answer"))

    def test_a_client_that_leaves_in_each_phase(self):
        for step in ("waits", "out", "plays"):
            self.start()
            self.runner.session_requested(interface.SessionRequest(1, 0, 9, 1, 30_000, 2, 0, 3, 0, False, False))
            if step != "waits":
                self.advance(600)
            if step == "plays":
                self.runner.attempt_succeeded(1, 0, 10)
            self.runner.client_left(1)
            self.advance(30_000)
            self.assertEqual({"waits": 0, "out": 1, "plays": 1}[step], len(self.calls("start_attempt")), step)
            self.assertEqual(
                {"waits": [], "out": ["abandon_attempt"], "plays": ["end_session"]}[step],
                [row[0] for row in self.port.calls if row[0] in ("abandon_attempt", "end_session")],
            )
            self.assertEqual(1, len(self.calls("answer")))
            self.assertEqual(({}, {}), (self.runner.sessions, self.runner.manager.sessions), step)

    def test_a_client_that_leaves_where_attempts_cannot_be_cancelled(self):
        self.start()
        self.runner.manager.allowed = self.runner.manager.allowed._replace(may_cancel=False)
        self.request()
        self.runner.client_left(1)
        self.assertEqual([], self.calls("abandon_attempt"))
        self.assertTrue(self.runner.attempt_succeeded(1, 0, 700))
        self.assertEqual([("end_session", 1, 0, self.calls("start_attempt")[0][3])], self.calls("end_session"))
        self.assertEqual([AnswerKind.LEFT], [row[2] for row in self.calls("answer")])
        self.assertEqual(({}, {}), (self.runner.sessions, self.runner.manager.sessions))

    def test_an_impossible_action_is_a_fault_and_changes_nothing(self):
        self.start()
        self.request()
        before = list(self.port.calls)
        self.runner.tune_in(interface.TuneIn(1, 2, self.port.clock + 5))  # an attempt is pending
        self.runner.tune_in(interface.TuneIn(77, 2, self.port.clock + 5))  # there is no such session
        self.runner.attempt_succeeded(1, 0, 10)
        self.runner.block(interface.Block(1, 0))  # it plays
        self.assertEqual(3, self.runner.faults)
        self.assertEqual(len(before) + 4, len(self.port.calls))  # three log lines and one answer
        with self.assertRaises(ValueError):
            self.runner.session_requested(interface.SessionRequest(1, 0, 9, 1, 30_000, 2, 0, 3, 0, False, False))

    def test_a_request_without_a_decision_is_aborted_at_its_deadline(self):
        self.start()
        self.runner.manager.queue_or_place = lambda session: None
        self.request()
        self.advance(30_000)
        self.assertEqual([("answer", 1, AnswerKind.ABORTED, None)], self.calls("answer"))
        self.assertEqual((1, {}), (self.runner.overdue, self.runner.sessions))

    def test_a_session_handed_over_plays_and_takes_actions(self):
        self.start()
        self.runner.session_handed_over(interface.SessionRequest(5, 0, 9, 5, 30_000, 2, 0, 3, 0, False, False), 1, 2)
        self.assertIs(Phase.PLAYS, self.runner.sessions[5].phase)
        self.runner.playback_note(5, NoteKind.LINK, 3.0)
        self.assertEqual([("set_rung", 5, 1, 1)], self.calls("set_rung"))
        self.runner.client_left(5)
        self.assertEqual([("end_session", 5, 0, 1)], self.calls("end_session"))

    def test_the_same_events_give_the_same_actions(self):
        traces = []
        for _ in range(2):
            self.start(seed=11)
            for n in range(1, 30):
                self.request(n)
                if n % 3:
                    self.runner.attempt_succeeded(n, 0, 50, [(NoteKind.LINK, 0.1 * n)])
                if n % 5 == 0:
                    self.runner.client_left(n)
            self.advance(40_000)
            traces.append(self.port.calls)
        self.assertEqual(*traces)

    def test_a_probe_is_sent_and_its_answer_reaches_the_manager(self):
        self.start(probes=True)
        self.runner.session_requested(interface.SessionRequest(1, 0, 9, 1, 30_000, 2, 0, 3, 0, False, False))
        self.assertEqual({("probe", 1), ("probe", 2)}, {d for d in self.port.calls if d[0] == "probe"})
        self.runner.probe_ended(1, Outcome.TIMEOUT, 2_500)
        self.runner.probe_ended(2, Outcome.OK, 30, (5.0, 0.2, 0.1))
        self.assertEqual(
            (0.2, None),
            tuple(
                srv.link.reported_at and srv.link.reported_use for srv in map(self.runner.manager.servers.get, (2, 1))
            ),
        )

    def test_every_action_has_a_handler(self):
        """An action type without a handler would fail only when a manager first uses it in service."""
        actions = {
            interface.TuneIn,
            interface.SetRung,
            interface.Block,
            interface.Abort,
            interface.CallOff,
            interface.Move,
            interface.Remind,
            interface.Probe,
            interface.TellPeers,
            interface.Log,
        }
        self.start()
        self.assertEqual(actions, set(self.runner.action_handlers))
        rows = [t for t in vars(interface).values() if isinstance(t, type) and issubclass(t, tuple)]
        self.assertEqual(actions, set(rows[rows.index(interface.TuneIn) :]))
