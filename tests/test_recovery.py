"""What a manager holds of its boxes and its clients' keys: lists, debts, watches, answers. No sockets."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flaxscale.interface import ListKind, ServerStatus
from flaxscale.recovery.boxes import BoxListError, BoxTable
from flaxscale.recovery.keys import Answered, InProgress, KeyTable, PayloadMismatch
from flaxscale.recovery.pending_orders import BATCH_SIZE, PendingOrders
from flaxscale.recovery.watch import BoxWatch, StreamState


def row(id, state="ready", boot="a", up_ms=1e9, **more):
    return {
        "id": id,
        "address": f"127.0.0.1:{1000 + id}",
        "kind": "std",
        "cell": 0,
        "zone": "one",
        "weight": 1.0,
        "boot": boot,
        "up_ms": up_ms,
        "state": state,
        **more,
    }


def told(version, *rows, since=None):
    return json.dumps({"version": version, "boxes": rows, **({} if since is None else {"since": since})}).encode()


def book():
    return BoxTable({"std": 0}, {"one": 0}, 3, 50_000)


class Lists(unittest.TestCase):
    def test_full_delta_gap_and_what_is_old(self):
        b = book()
        kind, entries = b.apply("full", told(3, row(1), row(2)), 1000)
        self.assertEqual((ListKind.FULL, [1, 2]), (kind, [e.server for e in entries]))
        kind, entries = b.apply("delta", told(4, row(1, "draining"), row(2, "gone"), since=3), 1000)
        self.assertEqual([ServerStatus.DRAINING, ServerStatus.GONE], [e.state for e in entries])
        self.assertEqual([1], list(b.instances))
        self.assertIsNone(b.apply("delta", told(4, row(2), since=3), 1000))
        with self.assertRaisesRegex(BoxListError, "since 6 on version 4"):
            b.apply("delta", told(7, row(2), since=6), 1000)
        self.assertEqual([1], list(b.instances))
        b.apply("full", told(9, row(3)), 1000)
        self.assertEqual([3], list(b.instances))

    def test_starts_are_dated_once_a_start(self):
        b = book()
        _, (first,) = b.apply("full", told(1, row(1, up_ms=100)), 80_000)
        _, (same,) = b.apply("delta", told(2, row(1, up_ms=130), since=1), 80_900)
        _, (other,) = b.apply("delta", told(3, row(1, boot="b", up_ms=10), since=2), 90_000)
        _, (warm,) = b.apply("delta", told(4, row(1, boot="b", up_ms=5000), since=3), 140_000)
        self.assertEqual([79_000, 79_000, 89_900, 0], [e.started_at for e in (first, same, other, warm)])

    def test_bad_messages_change_nothing(self):
        b = book()
        b.apply("full", told(1, row(1)), 0)
        for text in (
            b"{",
            b'{"version":2}',
            told(2, row(2, kind="odd")),
            told(2, row(2, cell=3)),
            told(2, row(2, zone="far")),
            told(2, row(2, address="nowhere")),
            told(2, row(2, weight=0)),
            told(2, row(-1)),
            told(2, row(2, state="odd")),
            told(2, row(3), row(2, address="h:99999")),
        ):
            with self.assertRaises(BoxListError):
                b.apply("full", text, 0)
        self.assertEqual((1, [1]), (b.version, list(b.instances)))

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(1, 4), st.sampled_from(["ready", "draining", "gone"])), max_size=12),
        st.lists(st.tuples(st.integers(0, 12), st.booleans()), max_size=30),
    )
    def test_any_delivery_that_ends_with_the_newest_ends_in_its_state(self, changes, deliveries):
        """Deltas lost, repeated and out of order, full lists between: with the last full list all agree."""
        states, at = [{}], {}
        for id, state in changes:
            at = {**at, id: state} if state != "gone" else {k: v for k, v in at.items() if k != id}
            states.append(at)
        b = book()

        def full(n):
            b.apply("full", told(n, *(row(k, v) for k, v in states[n].items())), 0)

        full(0)
        for n, is_full in deliveries:
            n = min(n, len(changes))
            if is_full:
                full(n)
            elif n:
                try:
                    b.apply("delta", told(n, row(*changes[n - 1]), since=n - 1), 0)
                except BoxListError:
                    pass
            # whatever came, what is held is the state of the version that it says
            self.assertEqual(states[b.version], {k: r.state for k, r in b.rows.items()})
        full(len(changes))
        self.assertEqual(states[-1], {k: r.state for k, r in b.rows.items()})
        again = book()
        again.load(b.dump(), 0)
        self.assertEqual({k: r.state for k, r in b.rows.items()}, {k: r.state for k, r in again.rows.items()})
        self.assertIsNone(again.version)


class Debts(unittest.TestCase):
    def test_one_batch_out_repeated_until_it_is_answered(self):
        owed = PendingOrders(1)
        owed.add_release(1, "a")
        owed.set_rung(1, "b", 2)
        self.assertEqual((["a"], {"b": 2}), owed.next_batch(1, 0))
        self.assertIsNone(owed.next_batch(1, 0))
        owed.set_rung(1, "b", 0)  # changed while the batch is out: told again
        owed.add_release(1, "c")
        owed.batch_done(1, False, 0)
        self.assertIsNone(owed.next_batch(1, 999))
        at = owed.ready_at(1)
        self.assertEqual((["a", "c"], {"b": 0}), owed.next_batch(1, at))
        owed.set_rung(1, "b", 1)
        owed.batch_done(1, True, at)
        self.assertEqual(([], {"b": 1}), owed.next_batch(1, at))
        owed.batch_done(1, True, at)
        self.assertEqual(0, owed.count())

    def test_pauses_double_and_differ_by_seed(self):
        pauses = {}
        for seed in (1, 2):
            owed, now, out = PendingOrders(seed), 0, []
            owed.add_release(1, "a")
            for _ in range(8):
                self.assertIsNotNone(owed.next_batch(1, now))
                owed.batch_done(1, False, now)
                out.append(owed.ready_at(1) - now)
                now = owed.ready_at(1)
            self.assertTrue(all(1000 <= p <= 32_000 for p in out), out)
            self.assertGreater(out[5], out[0])
            pauses[seed] = out
        self.assertNotEqual(pauses[1], pauses[2])

    def test_ends_win_over_rungs_and_batches_are_bounded(self):
        owed = PendingOrders(1)
        owed.set_rung(1, "a", 1)
        owed.add_release(1, "a")
        owed.set_rung(1, "a", 2)
        self.assertEqual((["a"], {}), owed.next_batch(1, 0))
        for n in range(500):
            owed.add_release(2, f"k{n}")
        self.assertEqual(BATCH_SIZE, len(owed.next_batch(2, 0)[0]))
        owed.drop_box(2)
        owed.batch_done(2, True, 0)
        self.assertEqual(1, owed.count())


class Watches(unittest.TestCase):
    def test_what_a_stream_proves(self):
        w = BoxWatch(1, 7)
        self.assertTrue(w.should_open(0))
        w.opening(["a"])
        # "a" began before we asked and is not there: lost. "b" began since, in this very start: it stands.
        self.assertEqual(["a"], w.hello("boot1", {"c"}, {"a": "boot1", "b": "boot1", "c": "boot1"}))
        self.assertEqual([], w.closed(False, ["b", "c"], 0))  # broken: proves nothing
        self.assertFalse(w.should_open(0))
        self.assertTrue(w.should_open(w.retry_at))
        w.opening(["b", "c"])
        self.assertEqual(["b", "c"], w.closed(True, ["b", "c"], 0))  # refused: no process there
        w.opening([])
        # Set up while we asked, but in the start that has gone since.
        self.assertEqual(["d"], w.hello("boot2", {"e"}, {"d": "boot1", "e": "boot2"}))

    def test_the_list_says_gone(self):
        w = BoxWatch(1, 7)
        w.opening([])
        w.hello("a", set(), {})
        self.assertEqual([], w.listed_gone(["x"]))  # its stream runs: it is believed
        self.assertEqual(["x"], w.closed(False, ["x"], 0))
        self.assertEqual(["x"], w.listed_gone(["x"]))
        w.listed()
        self.assertEqual([], w.closed(False, ["x"], 0))
        self.assertIs(StreamState.WAITS, w.state)


class Keys(unittest.TestCase):
    def test_joined_kept_clash_and_forgotten(self):
        book = KeyTable(1000)
        self.assertIsNone(book.lookup("k", 1, 0))
        book.begin("k", 1, 7)
        self.assertEqual(InProgress(7), book.lookup("k", 1, 0))
        self.assertEqual(PayloadMismatch(), book.lookup("k", 2, 0))
        book.complete(7, "yes", 100)
        self.assertEqual(Answered(7, "yes"), book.lookup("k", 1, 1000))
        self.assertIsNone(book.lookup("k", 1, 1100))
        book.begin("k", 1, 8)
        book.complete(8, None, 0)  # blocked: the same key may try anew
        self.assertIsNone(book.lookup("k", 1, 0))
        book.begin("k", 1, 9)
        book.complete(9, "yes", 0)
        book.forget(9)  # it plays no more
        self.assertIsNone(book.lookup("k", 1, 0))
        self.assertEqual(({}, {}), (dict(book.entries), book.by_id))
