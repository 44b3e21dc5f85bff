"""What a manager holds of its boxes and its clients' keys: lists, debts, watches, answers. No sockets."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flaxscale.interface import ListKind, ServerStatus
from flaxscale.recovery.boxes import BookError, BoxBook
from flaxscale.recovery.keys import Clash, Joined, Kept, KeyBook
from flaxscale.recovery.owed import BATCH, Owed
from flaxscale.recovery.watch import BoxWatch, Stream


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
    return BoxBook({"std": 0}, {"one": 0}, 3, 50_000)


class Lists(unittest.TestCase):
    def test_full_delta_gap_and_what_is_old(self):
        b = book()
        kind, entries = b.apply("full", told(3, row(1), row(2)), 1000)
        self.assertEqual((ListKind.FULL, [1, 2]), (kind, [e.server for e in entries]))
        kind, entries = b.apply("delta", told(4, row(1, "draining"), row(2, "gone"), since=3), 1000)
        self.assertEqual([ServerStatus.DRAINING, ServerStatus.GONE], [e.state for e in entries])
        self.assertEqual([1], list(b.places))
        self.assertIsNone(b.apply("delta", told(4, row(2), since=3), 1000))
        with self.assertRaisesRegex(BookError, "since 6 on version 4"):
            b.apply("delta", told(7, row(2), since=6), 1000)
        self.assertEqual([1], list(b.places))
        b.apply("full", told(9, row(3)), 1000)
        self.assertEqual([3], list(b.places))

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
            with self.assertRaises(BookError):
                b.apply("full", text, 0)
        self.assertEqual((1, [1]), (b.version, list(b.places)))

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
                except BookError:
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
        owed = Owed(1)
        owed.end(1, "a")
        owed.rung(1, "b", 2)
        self.assertEqual((["a"], {"b": 2}), owed.take(1, 0))
        self.assertIsNone(owed.take(1, 0))
        owed.rung(1, "b", 0)  # changed while the batch is out: told again
        owed.end(1, "c")
        owed.sent(1, False, 0)
        self.assertIsNone(owed.take(1, 999))
        at = owed.ready_at(1)
        self.assertEqual((["a", "c"], {"b": 0}), owed.take(1, at))
        owed.rung(1, "b", 1)
        owed.sent(1, True, at)
        self.assertEqual(([], {"b": 1}), owed.take(1, at))
        owed.sent(1, True, at)
        self.assertEqual(0, owed.count())

    def test_pauses_double_and_differ_by_seed(self):
        pauses = {}
        for seed in (1, 2):
            owed, now, out = Owed(seed), 0, []
            owed.end(1, "a")
            for _ in range(8):
                self.assertIsNotNone(owed.take(1, now))
                owed.sent(1, False, now)
                out.append(owed.ready_at(1) - now)
                now = owed.ready_at(1)
            self.assertTrue(all(1000 <= p <= 32_000 for p in out), out)
            self.assertGreater(out[5], out[0])
            pauses[seed] = out
        self.assertNotEqual(pauses[1], pauses[2])

    def test_ends_win_over_rungs_and_batches_are_bounded(self):
        owed = Owed(1)
        owed.rung(1, "a", 1)
        owed.end(1, "a")
        owed.rung(1, "a", 2)
        self.assertEqual((["a"], {}), owed.take(1, 0))
        for n in range(500):
            owed.end(2, f"k{n}")
        self.assertEqual(BATCH, len(owed.take(2, 0)[0]))
        owed.gone(2)
        owed.sent(2, True, 0)
        self.assertEqual(1, owed.count())


class Watches(unittest.TestCase):
    def test_what_a_stream_proves(self):
        w = BoxWatch(1, 7)
        self.assertTrue(w.wants(0))
        w.opening(["a"])
        # "a" began before we asked and is not there: lost. "b" began since, in this very start: it stands.
        self.assertEqual(["a"], w.hello("boot1", {"c"}, {"a": "boot1", "b": "boot1", "c": "boot1"}))
        self.assertEqual([], w.closed(False, ["b", "c"], 0))  # broken: proves nothing
        self.assertFalse(w.wants(0))
        self.assertTrue(w.wants(w.retry_at))
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
        self.assertIs(Stream.WAITS, w.state)


class Keys(unittest.TestCase):
    def test_joined_kept_clash_and_forgotten(self):
        book = KeyBook(1000)
        self.assertIsNone(book.meet("k", 1, 0))
        book.begin("k", 1, 7)
        self.assertEqual(Joined(7), book.meet("k", 1, 0))
        self.assertEqual(Clash(), book.meet("k", 2, 0))
        book.answered(7, "yes", 100)
        self.assertEqual(Kept(7, "yes"), book.meet("k", 1, 1000))
        self.assertIsNone(book.meet("k", 1, 1100))
        book.begin("k", 1, 8)
        book.answered(8, None, 0)  # blocked: the same key may try anew
        self.assertIsNone(book.meet("k", 1, 0))
        book.begin("k", 1, 9)
        book.answered(9, "yes", 0)
        book.forget(9)  # it plays no more
        self.assertIsNone(book.meet("k", 1, 0))
        self.assertEqual(({}, {}), (dict(book.entries), book.by_id))
