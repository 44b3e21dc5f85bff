"""The core runner on a virtual clock: what it lets through, what it ends, what it counts as a fault."""

import unittest

from flaxscale import interface
from flaxscale.interface import ListKind, NoteKind, Outcome, ServerStatus
from flaxscale.run import AnswerKind, Phase, Runner
from tests.drive import S, pack, site


class Port:
    """A world without sockets: what the runner wants is noted, its clock is set by hand."""

    def __init__(self):
        self.clock, self.did, self.alarm, self.sends = 100 * S, [], None, True

    def now(self):
        return self.clock

    def wake_at(self, at):
        self.alarm = at

    def start_attempt(self, id, nth, server, rung, left):
        self.did.append(("tune_in", id, nth, server, rung, left))

    def abandon_attempt(self, id, nth, server):
        self.did.append(("abandon", id, nth))
        return self.sends

    def end_session(self, id, nth, server):
        self.did.append(("end", id, nth, server))

    def set_rung(self, id, nth, server, rung):
        self.did.append(("set_rung", id, server, rung))

    def answer(self, id, answer):
        self.did.append(("answer", id, answer.kind, answer.outcome))

    def tell_peers(self, server, kb):
        self.did.append(("tell", server))

    def probe(self, server):
        self.did.append(("probe", server))

    def log(self, text):
        self.did.append(("log", text))


class Virtual(unittest.TestCase):
    def start(self, **terms):
        self.port, self.events = Port(), []
        self.runner = Runner(
            site([terms.pop("pack", None) or pack()], **terms),
            self.port,
            lambda now, event, acts: self.events.append(event),
        )
        self.runner.server_list_changed(
            ListKind.FULL, [interface.ServerEntry(n, 0, (n - 1) % 3, 0, 1.0, 0, ServerStatus.READY) for n in (1, 2)]
        )
        self.until(100 * S + 20 * S)

    def until(self, time):
        while self.port.alarm is not None and self.port.alarm <= time:
            self.port.clock, self.port.alarm = max(self.port.clock, self.port.alarm), None
            self.runner.tick()
        self.port.clock = time

    def later(self, tenths):
        self.until(self.port.clock + tenths)

    def ask(self, id=1, left=30_000):
        self.runner.session_requested(interface.SessionRequest(id, 0, 9, id, left, 2, 0, 3, 0, False, False))
        self.later(600)

    def did(self, name):
        return [row for row in self.port.did if row[0] == name]

    def test_a_viewing_from_its_request_to_its_end(self):
        self.start()
        self.ask()
        ((_, id, nth, server, rung, left),) = self.did("tune_in")
        self.assertTrue(self.runner.attempt_succeeded(1, 0, 200, [(NoteKind.LINK, 0.4)]))
        self.assertEqual([("answer", 1, AnswerKind.PLAYS, None)], self.did("answer"))
        self.assertEqual([interface.AttemptSucceeded, interface.PlaybackNote], [type(e) for e in self.events[-2:]])
        self.assertTrue(self.runner.attempt_ended(1, 0, Outcome.OK, 5 * S))
        self.assertFalse(self.runner.attempt_ended(1, 0, Outcome.OK, 5 * S))
        self.assertEqual(({}, {}), (self.runner.sessions, self.runner.manager.sessions))

    def test_silence_expires_and_the_next_box_gets_its_chance(self):
        self.start()
        self.ask()
        self.later(10_000)
        self.assertEqual([0, 1], [row[2] for row in self.did("tune_in")][:2])
        self.assertEqual(("abandon", 1, 0), self.did("abandon")[0])
        self.assertFalse(self.runner.attempt_succeeded(1, 0, 9000))  # too late: its owner must end it there
        self.assertEqual(Outcome.TIMEOUT, next(e.outcome for e in self.events if isinstance(e, interface.AttemptEnded)))

    def test_what_never_left_us_never_ran_so_that_an_unsafe_one_may_be_blocked(self):
        for sends, fate, how in (
            (True, AnswerKind.ABORTED, Outcome.TIMEOUT),
            (False, AnswerKind.BLOCKED, Outcome.UNREACHED),
        ):
            self.start(pack=pack(effect="unsafe"))
            self.port.sends = sends
            self.ask()
            self.later(30_000)
            self.assertEqual([("answer", 1, fate, how)], self.did("answer"))

    def test_a_client_that_leaves_at_each_step(self):
        for step in ("waits", "out", "plays"):
            self.start()
            self.runner.session_requested(interface.SessionRequest(1, 0, 9, 1, 30_000, 2, 0, 3, 0, False, False))
            if step != "waits":
                self.later(600)
            if step == "plays":
                self.runner.attempt_succeeded(1, 0, 10)
            self.runner.client_left(1)
            self.later(30_000)
            self.assertEqual({"waits": 0, "out": 1, "plays": 1}[step], len(self.did("tune_in")), step)
            self.assertEqual(
                {"waits": [], "out": ["abandon"], "plays": ["end"]}[step],
                [row[0] for row in self.port.did if row[0] in ("abandon", "end")],
            )
            self.assertEqual(1, len(self.did("answer")))
            self.assertEqual(({}, {}), (self.runner.sessions, self.runner.manager.sessions), step)

    def test_a_client_that_left_where_nothing_can_be_called_off(self):
        self.start()
        self.runner.manager.allowed = self.runner.manager.allowed._replace(may_cancel=False)
        self.ask()
        self.runner.client_left(1)
        self.assertEqual([], self.did("abandon"))
        self.assertTrue(self.runner.attempt_succeeded(1, 0, 700))
        self.assertEqual([("end", 1, 0, self.did("tune_in")[0][3])], self.did("end"))
        self.assertEqual([AnswerKind.LEFT], [row[2] for row in self.did("answer")])
        self.assertEqual(({}, {}), (self.runner.sessions, self.runner.manager.sessions))

    def test_a_module_that_asks_for_what_it_may_not_is_a_fault_and_changes_nothing(self):
        self.start()
        self.ask()
        before = list(self.port.did)
        self.runner.tune_in(interface.TuneIn(1, 2, self.port.clock + 5))  # one is out
        self.runner.tune_in(interface.TuneIn(77, 2, self.port.clock + 5))  # never asked for
        self.runner.attempt_succeeded(1, 0, 10)
        self.runner.block(interface.Block(1, 0))  # it plays
        self.assertEqual(3, self.runner.faults)
        self.assertEqual(len(before) + 4, len(self.port.did))  # three lines of log and one answer
        with self.assertRaises(ValueError):
            self.runner.session_requested(interface.SessionRequest(1, 0, 9, 1, 30_000, 2, 0, 3, 0, False, False))

    def test_a_module_that_never_answers_is_answered_for(self):
        self.start()
        self.runner.manager.queue_or_place = lambda session: None
        self.ask()
        self.later(30_000)
        self.assertEqual([("answer", 1, AnswerKind.ABORTED, None)], self.did("answer"))
        self.assertEqual((1, {}), (self.runner.overdue, self.runner.sessions))

    def test_what_is_handed_over_plays_and_takes_orders(self):
        self.start()
        self.runner.session_handed_over(interface.SessionRequest(5, 0, 9, 5, 30_000, 2, 0, 3, 0, False, False), 1, 2)
        self.assertIs(Phase.PLAYS, self.runner.sessions[5].phase)
        self.runner.playback_note(5, NoteKind.LINK, 3.0)
        self.assertEqual([("set_rung", 5, 1, 1)], self.did("set_rung"))
        self.runner.client_left(5)
        self.assertEqual([("end", 5, 0, 1)], self.did("end"))

    def test_the_same_events_give_the_same_actions(self):
        traces = []
        for _ in range(2):
            self.start(seed=11)
            for n in range(1, 30):
                self.ask(n)
                if n % 3:
                    self.runner.attempt_succeeded(n, 0, 50, [(NoteKind.LINK, 0.1 * n)])
                if n % 5 == 0:
                    self.runner.client_left(n)
            self.later(40_000)
            traces.append(self.port.did)
        self.assertEqual(*traces)

    def test_a_probe_goes_out_and_its_answer_is_heard(self):
        self.start(probes=True)
        self.runner.session_requested(interface.SessionRequest(1, 0, 9, 1, 30_000, 2, 0, 3, 0, False, False))
        self.assertEqual({("probe", 1), ("probe", 2)}, {d for d in self.port.did if d[0] == "probe"})
        self.runner.probe_ended(1, Outcome.TIMEOUT, 2_500)
        self.runner.probe_ended(2, Outcome.OK, 30, (5.0, 0.2, 0.1))
        self.assertEqual(
            (0.2, None),
            tuple(
                srv.link.reported_at and srv.link.reported_use for srv in map(self.runner.manager.servers.get, (2, 1))
            ),
        )

    def test_every_action_has_somewhere_to_go(self):
        """An action type without an entry would fail in service only when the module first wants it."""
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
