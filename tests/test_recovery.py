"""A manager's state about boxes and idempotency keys: box list, pending orders, note streams, answers. No sockets."""

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


def message(version, *rows, since=None):
    return json.dumps({"version": version, "boxes": rows, **({} if since is None else {"since": since})}).encode()


def box_table():
    return BoxTable({"std": 0}, {"one": 0}, 3, 50_000)


class BoxLists(unittest.TestCase):
    def test_full_list_delta_gap_and_outdated_delta(self):
        table = box_table()
        kind, entries = table.apply("full", message(3, row(1), row(2)), 1000)
        self.assertEqual((ListKind.FULL, [1, 2]), (kind, [e.server for e in entries]))
        kind, entries = table.apply("delta", message(4, row(1, "draining"), row(2, "gone"), since=3), 1000)
        self.assertEqual([ServerStatus.DRAINING, ServerStatus.GONE], [e.state for e in entries])
        self.assertEqual([1], list(table.instances))
        self.assertIsNone(table.apply("delta", message(4, row(2), since=3), 1000))
        with self.assertRaisesRegex(BoxListError, "since version 6 does not apply to version 4"):
            table.apply("delta", message(7, row(2), since=6), 1000)
        self.assertEqual([1], list(table.instances))
        table.apply("full", message(9, row(3)), 1000)
        self.assertEqual([3], list(table.instances))

    def test_a_start_is_dated_once_per_box_process(self):
        table = box_table()
        _, (first,) = table.apply("full", message(1, row(1, up_ms=100)), 80_000)
        _, (same,) = table.apply("delta", message(2, row(1, up_ms=130), since=1), 80_900)
        _, (other,) = table.apply("delta", message(3, row(1, boot="b", up_ms=10), since=2), 90_000)
        _, (warm,) = table.apply("delta", message(4, row(1, boot="b", up_ms=5000), since=3), 140_000)
        self.assertEqual([79_000, 79_000, 89_900, 0], [e.started_at for e in (first, same, other, warm)])

    def test_invalid_messages_change_nothing(self):
        table = box_table()
        table.apply("full", message(1, row(1)), 0)
        for text in (
            b"{",
            b'{"version":2}',
            message(2, row(2, kind="odd")),
            message(2, row(2, cell=3)),
            message(2, row(2, zone="far")),
            message(2, row(2, address="nowhere")),
            message(2, row(2, weight=0)),
            message(2, row(-1)),
            message(2, row(2, state="odd")),
            message(2, row(3), row(2, address="h:99999")),
        ):
            with self.assertRaises(BoxListError):
                table.apply("full", text, 0)
        self.assertEqual((1, [1]), (table.version, list(table.instances)))

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(1, 4), st.sampled_from(["ready", "draining", "gone"])), max_size=12),
        st.lists(st.tuples(st.integers(0, 12), st.booleans()), max_size=30),
    )
    def test_any_delivery_order_that_ends_with_the_newest_list_ends_in_its_state(self, changes, deliveries):
        """Deltas are lost, repeated and reordered, with full lists between them; the last full list restores all."""
        states, at = [{}], {}
        for id, state in changes:
            at = {**at, id: state} if state != "gone" else {k: v for k, v in at.items() if k != id}
            states.append(at)
        table = box_table()

        def full(n):
            table.apply("full", message(n, *(row(k, v) for k, v in states[n].items())), 0)

        full(0)
        for n, is_full in deliveries:
            n = min(n, len(changes))
            if is_full:
                full(n)
            elif n:
                try:
                    table.apply("delta", message(n, row(*changes[n - 1]), since=n - 1), 0)
                except BoxListError:
                    pass
            # After each message the table holds the state of the version that it names.
            self.assertEqual(states[table.version], {k: r.state for k, r in table.rows.items()})
        full(len(changes))
        self.assertEqual(states[-1], {k: r.state for k, r in table.rows.items()})
        again = box_table()
        again.load(table.dump(), 0)
        self.assertEqual({k: r.state for k, r in table.rows.items()}, {k: r.state for k, r in again.rows.items()})
        self.assertIsNone(again.version)


class Orders(unittest.TestCase):
    def test_one_batch_in_flight_is_repeated_until_it_is_confirmed(self):
        orders = PendingOrders(1)
        orders.add_release(1, "a")
        orders.set_rung(1, "b", 2)
        self.assertEqual((["a"], {"b": 2}), orders.next_batch(1, 0))
        self.assertIsNone(orders.next_batch(1, 0))
        orders.set_rung(1, "b", 0)  # changed while the batch is in flight: sent again
        orders.add_release(1, "c")
        orders.batch_done(1, False, 0)
        self.assertIsNone(orders.next_batch(1, 999))
        at = orders.ready_at(1)
        self.assertEqual((["a", "c"], {"b": 0}), orders.next_batch(1, at))
        orders.set_rung(1, "b", 1)
        orders.batch_done(1, True, at)
        self.assertEqual(([], {"b": 1}), orders.next_batch(1, at))
        orders.batch_done(1, True, at)
        self.assertEqual(0, orders.count())

    def test_retry_pauses_double_and_differ_by_seed(self):
        pauses = {}
        for seed in (1, 2):
            orders, now, out = PendingOrders(seed), 0, []
            orders.add_release(1, "a")
            for _ in range(8):
                self.assertIsNotNone(orders.next_batch(1, now))
                orders.batch_done(1, False, now)
                out.append(orders.ready_at(1) - now)
                now = orders.ready_at(1)
            self.assertTrue(all(1000 <= pause <= 32_000 for pause in out), out)
            self.assertGreater(out[5], out[0])
            pauses[seed] = out
        self.assertNotEqual(pauses[1], pauses[2])

    def test_a_release_replaces_a_rung_and_batches_are_bounded(self):
        orders = PendingOrders(1)
        orders.set_rung(1, "a", 1)
        orders.add_release(1, "a")
        orders.set_rung(1, "a", 2)
        self.assertEqual((["a"], {}), orders.next_batch(1, 0))
        for n in range(500):
            orders.add_release(2, f"k{n}")
        self.assertEqual(BATCH_SIZE, len(orders.next_batch(2, 0)[0]))
        orders.drop_box(2)
        orders.batch_done(2, True, 0)
        self.assertEqual(1, orders.count())


class Streams(unittest.TestCase):
    def test_which_sessions_a_stream_shows_to_be_lost(self):
        watch = BoxWatch(1, 7)
        self.assertTrue(watch.should_open(0))
        watch.opening(["a"])
        # "a" began before the request and is not named: lost. "b" began after it, in the same box process: it plays.
        self.assertEqual(["a"], watch.hello("boot1", {"c"}, {"a": "boot1", "b": "boot1", "c": "boot1"}))
        self.assertEqual([], watch.closed(False, ["b", "c"], 0))  # broken stream: proves nothing
        self.assertFalse(watch.should_open(0))
        self.assertTrue(watch.should_open(watch.retry_at))
        watch.opening(["b", "c"])
        self.assertEqual(["b", "c"], watch.closed(True, ["b", "c"], 0))  # refused connection: no process listens
        watch.opening([])
        # Set up while the stream was requested, but in an earlier box process.
        self.assertEqual(["d"], watch.hello("boot2", {"e"}, {"d": "boot1", "e": "boot2"}))

    def test_a_box_that_the_list_reports_as_gone(self):
        watch = BoxWatch(1, 7)
        watch.opening([])
        watch.hello("a", set(), {})
        self.assertEqual([], watch.listed_gone(["x"]))  # its open stream takes precedence
        self.assertEqual(["x"], watch.closed(False, ["x"], 0))
        self.assertEqual(["x"], watch.listed_gone(["x"]))
        watch.listed()
        self.assertEqual([], watch.closed(False, ["x"], 0))
        self.assertIs(StreamState.WAITS, watch.state)


class Keys(unittest.TestCase):
    def test_a_key_in_progress_answered_mismatched_and_forgotten(self):
        keys = KeyTable(1000)
        self.assertIsNone(keys.lookup("k", 1, 0))
        keys.begin("k", 1, 7)
        self.assertEqual(InProgress(7), keys.lookup("k", 1, 0))
        self.assertEqual(PayloadMismatch(), keys.lookup("k", 2, 0))
        keys.complete(7, "yes", 100)
        self.assertEqual(Answered(7, "yes"), keys.lookup("k", 1, 1000))
        self.assertIsNone(keys.lookup("k", 1, 1100))
        keys.begin("k", 1, 8)
        keys.complete(8, None, 0)  # blocked: the key may be used anew
        self.assertIsNone(keys.lookup("k", 1, 0))
        keys.begin("k", 1, 9)
        keys.complete(9, "yes", 0)
        keys.forget(9)  # its session has ended
        self.assertIsNone(keys.lookup("k", 1, 0))
        self.assertEqual(({}, {}), (dict(keys.entries), keys.by_id))
