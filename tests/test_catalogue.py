"""The catalogue without sockets: change sets, durability after a crash at any byte, and replication in any order."""

import pathlib
import tempfile
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from flaxscale.catalogue.durable import DurableCatalogue
from flaxscale.catalogue.files import ops_to_reach, read_catalogue, write_parquet
from flaxscale.catalogue.replication import Follower, SnapshotPart, VersionGap, Watcher
from flaxscale.catalogue.state import (
    HOLDING,
    LEAVING,
    Catalogue,
    Drop,
    Hold,
    Op,
    Put,
    Refused,
    Rungs,
    Seats,
    SiteLimits,
    VersionConflict,
    decode_delta,
    diff,
    encode_delta,
    encode_snapshot,
    put_from_title,
    undo,
)
from flaxscale.site.load import SiteError
from flaxscale.store.faulty import Crash, FaultyFiles

FRAME = SiteLimits({"clip": 0, "live": 1}, frozenset(["live"]), 5)


def put(name="a", view="clip", boxes=(1, 2), **more):
    return Put(name, view, holders={str(b): HOLDING for b in boxes}, **more)


def catalogue(*ops):
    made = Catalogue(FRAME)
    made.apply(ops or (put(), put("b", "live", (2, 3))))
    return made


class Changes(unittest.TestCase):
    def test_a_change_set_is_all_or_nothing_and_names_every_fault(self):
        c = catalogue()
        before = dict(c.titles)
        with self.assertRaises(Refused) as caught:
            c.apply(
                [
                    put("new"),
                    put("bad", "none"),
                    Hold("a", 1, "odd"),
                    Hold("zz", 1, HOLDING),
                    put("c", boxes=()),
                    Rungs("b", 0, 0),
                    Seats("a", "clip", 3),
                    Put("d"),
                    put("e", low=4, top=2),
                    put("f", "live", seats={"live": 0}),
                    put("x" * 201),
                    Hold("b", 9, "gone"),
                ]
            )
        messages = [str(f) for f in caught.exception.faults]
        for n, detail in (
            (1, "the package 'none' is not one of clip, live"),
            (2, "'odd' is not a state"),
            (3, "no such title"),
            (4, "no holder"),
            (5, "no rendition at the floor of live: rung 1"),
            (6, "seats in 'clip', which has none"),
            (7, "a package to view or to push"),
            (7, "no holder"),
            (8, "rungs 4 to 2"),
            (9, "0 seats in live"),
            (10, "a name of 1 to 200"),
            (11, "box 9 is not a holder"),
        ):
            self.assertTrue(
                any(s.startswith(f"operation {n},") and detail in s for s in messages), (n, detail, messages)
            )
        self.assertEqual((1, before), (c.version, c.titles))

    def test_the_last_holder_may_leave_only_with_another_preparing(self):
        c = catalogue(put(boxes=(1,)))
        with self.assertRaises(Refused):
            c.apply([Hold("a", 1, LEAVING)])
        c.apply([Hold("a", 1, LEAVING), Hold("a", 2, "preparing")])
        self.assertEqual(frozenset(), c.titles["a"].available_boxes())
        c.apply([Hold("a", 2, HOLDING), Hold("a", 1, "gone")])
        self.assertEqual(frozenset([2]), c.titles["a"].available_boxes())

    def test_versions_seats_in_use_and_two_operators(self):
        c = catalogue()
        with self.assertRaisesRegex(VersionConflict, "made for version 0, the catalogue is at 1"):
            c.apply([put("z")], expect=0)
        with self.assertRaisesRegex(Refused, "2 seats in live, 3 are in use"):
            c.apply([Seats("b", "live", 2)], in_use={("b", "live"): 3})
        c.apply([Seats("b", "live", 2)], in_use={("b", "live"): 3}, force=True)
        self.assertEqual((("live", 2),), c.titles["b"].seats)
        c.apply([Seats("b", "live", None)])
        self.assertEqual((), c.titles["b"].seats)

    def test_undo_restores_titles_and_a_put_replaces_them(self):
        c = catalogue()
        old = dict(c.titles)
        c.apply([Drop("a"), put("n"), Hold("b", 7, HOLDING), Rungs("b", 1, 3)])
        self.assertEqual({"a", "b", "n"}, set(diff(old, c.titles)))
        c.apply(undo(old, c.titles))
        self.assertEqual(old, c.titles)
        self.assertEqual([], ops_to_reach(c.titles, [put_from_title(t) for t in c.titles.values()]))

    def test_hostile_operations(self):
        for text in (
            b'[{"type":"put","name":"a","spare":1}]',
            b'[{"type":"hold","name":"a","box":"1","state":"x"}]',
            b'[{"type":"odd"}]',
            b"[" * 5000,
            b'[{"type":"put","name":3}]',
            b'{"type":"drop","name":"a"}',
        ):
            with self.assertRaises((msgspec.ValidationError, msgspec.DecodeError, RecursionError)):
                msgspec.json.decode(text, type=list[Op])
        with self.assertRaisesRegex(Refused, "200000 at most"):
            catalogue().apply([Drop("a")] * 200_001)

    def test_files(self):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "c.jsonnet"
            file.write_text(
                "{ titles: { a: { view: 'clip', holders: [1, 2] }, "
                "b: { view: 'live', holders: { '2': 'holding', '3': 'leaving' }, seats: { live: 4 } } } }"
            )
            c = Catalogue(FRAME)
            c.apply(read_catalogue(file))
            self.assertEqual(((2, HOLDING), (3, LEAVING)), c.titles["b"].holders)
            table = pathlib.Path(folder) / "c.parquet"
            write_parquet(table, c.titles.values())
            again = Catalogue(FRAME)
            again.apply(read_catalogue(table))
            self.assertEqual(c.titles["a"], again.titles["a"])
            file.write_text("{ titles: { a: { view: 'clip', holders: 'all' } } }")
            with self.assertRaisesRegex(SiteError, "titles.*holders"):
                read_catalogue(file)
            table.write_bytes(b"PAR1 rubbish")
            with self.assertRaisesRegex(SiteError, "Parquet"):
                read_catalogue(table)


def ops_of(n):
    """The n-th change set of a sequence in which each is valid."""
    return [put(f"t{n % 5}", boxes=(n % 7 + 1, n % 3 + 8)), put(f"u{n}", "live")]


class Durability(unittest.TestCase):
    def run_changes(self, files, acked):
        keeper = DurableCatalogue(files, FRAME)
        for n in range(keeper.current.version, 6):
            keeper.stage(ops_of(n))
            if n % 2:
                keeper.commit()
                acked.append((keeper.committed_version, dict(keeper.current.titles)))
        keeper.log.snapshot(encode_snapshot(keeper.current.version, keeper.current.titles))

    def test_killed_at_every_byte_of_a_change(self):
        wanted = [{}]
        c = Catalogue(FRAME)
        for n in range(6):
            c.apply(ops_of(n))
            wanted.append(dict(c.titles))
        whole = FaultyFiles()
        self.run_changes(whole, [])
        for at in range(0, whole.steps):
            files, acked = FaultyFiles(crash_at=at), []
            with self.assertRaises(Crash):
                self.run_changes(files, acked)
            for disk in files.survivors():
                found = DurableCatalogue(FaultyFiles(disk), FRAME).current
                self.assertGreaterEqual(found.version, acked[-1][0] if acked else 0)
                self.assertEqual(wanted[found.version], found.titles)  # complete versions only

    def test_after_a_disk_fault_all_acknowledged_changes_are_kept(self):
        for fault in ("room", "failing_sync"):
            files = FaultyFiles()
            keeper = DurableCatalogue(files, FRAME)
            keeper.stage(ops_of(0), id="first")
            keeper.commit()
            setattr(files, fault, 5 if fault == "room" else True)
            keeper.stage(ops_of(1), id="unknown")
            with self.assertRaises(OSError):
                keeper.commit()
            with self.assertRaises(OSError):
                keeper.resume()  # it still fails
            files.room, files.failing_sync = None, False
            self.assertEqual(2, keeper.resume())
            keeper.stage(ops_of(2), id="after")
            self.assertEqual(3, keeper.commit())
            for disk in files.survivors():
                again = DurableCatalogue(FaultyFiles(disk), FRAME)
                self.assertEqual((3, keeper.current.titles), (again.current.version, again.current.titles))
                # The client with the unknown outcome repeats its change under the same id: it is not made twice.
                self.assertEqual({"first", "unknown", "after"}, set(again.changes_by_id))

    def test_history_rollback_and_versions_no_longer_stored(self):
        keeper = DurableCatalogue(FaultyFiles(), FRAME)
        for n in range(5):
            keeper.stage(ops_of(n), who="o", why=f"w{n}")
        self.assertIsNone(keeper.deltas_since(9))
        self.assertEqual([], keeper.deltas_since(0))  # nothing is committed yet, so nothing may be published
        keeper.commit()
        self.assertEqual([1, 2, 3, 4, 5], [d.version for d in keeper.deltas_since(0)])
        three = keeper.titles_at(3)
        keeper.stage(keeper.rollback_ops(3))
        self.assertEqual(three, keeper.current.titles)
        del keeper.history[2]
        self.assertIsNone(keeper.titles_at(1))
        self.assertIsNone(keeper.deltas_since(1))

    def test_ids_of_changes_are_known_after_a_start_from_log_or_snapshot(self):
        files = FaultyFiles()
        keeper = DurableCatalogue(files, FRAME)
        for n in range(3):
            keeper.stage(ops_of(n), id=f"id-{n}")
        keeper.stage_floor(2, id="floor")
        keeper.commit()
        wanted = {"id-0": (1, 2), "id-1": (2, 2), "id-2": (3, 2), "floor": (4, 0)}
        self.assertEqual(wanted, DurableCatalogue(FaultyFiles(files.written), FRAME).changes_by_id)
        keeper.log.snapshot(
            encode_snapshot(4, keeper.current.titles, 2, [(id, *what) for id, what in keeper.changes_by_id.items()])
        )
        again = DurableCatalogue(FaultyFiles(files.written), FRAME)
        self.assertEqual((wanted, 2, 4), (again.changes_by_id, again.floor, again.committed_version))

    def test_a_delta_of_another_shape_is_refused_by_name(self):
        delta, who, why, id = decode_delta(encode_delta(Catalogue(FRAME).apply([put()]), "a", "b", "c"))
        self.assertEqual((1, "a", "b", "c"), (delta.version, who, why, id))
        with self.assertRaisesRegex(ValueError, "shape 7"):
            decode_delta(msgspec.msgpack.encode([7, 1, "", "", [], []]))
        with self.assertRaises(ValueError):
            decode_delta(b"rubbish")


class Replication(unittest.TestCase):
    def pump(self, watcher, follower, keeper, epoch="e"):
        while (message := watcher.next_message(keeper)) is not None:
            (follower.apply_part if isinstance(message, SnapshotPart) else follower.apply_delta)(epoch, message)
            if not isinstance(message, SnapshotPart) or message.last:
                watcher.ack(follower.version)

    def test_a_watcher_that_missed_ten_thousand_versions(self):
        keeper = DurableCatalogue(FaultyFiles(), FRAME)
        watcher, follower = Watcher("m", "manager", None, None, "e"), Follower()
        keeper.stage(ops_of(0))
        keeper.commit()
        self.pump(watcher, follower, keeper)
        for n in range(1, 10_001):
            keeper.stage([put(f"t{n % 50}", boxes=(n % 9 + 1,))])
            if n % 100 == 0:
                keeper.commit()
        self.pump(watcher, follower, keeper)
        self.assertEqual((10_001, keeper.current.titles), (follower.version, follower.titles))
        keeper.history.clear()  # the deltas that it missed are gone: it gets a snapshot
        keeper.stage([put("last")])
        keeper.commit()
        late, other = Watcher("n", "manager", "e", 5, "e"), Follower()
        self.pump(late, other, keeper)
        self.assertEqual(keeper.current.titles, other.titles)

    def test_a_refused_version_leaves_the_last_good_one_until_a_later_one_is_applied(self):
        def check(titles):
            if any(t and t.name == "odd" for t in titles.values()):
                raise ValueError("I know no such title")

        keeper, watcher, follower = (
            DurableCatalogue(FaultyFiles(), FRAME),
            Watcher("m", "m", None, None, "e"),
            Follower(check),
        )
        keeper.stage([put("good")])
        keeper.commit()
        self.pump(watcher, follower, keeper)
        keeper.stage([put("odd")])
        keeper.commit()
        with self.assertRaises(ValueError):
            self.pump(watcher, follower, keeper)
        watcher.nack(2, "I know no such title")
        self.assertEqual((1, {"good"}), (follower.version, set(follower.titles)))
        self.assertIsNone(watcher.next_message(keeper))  # nothing more before another version
        keeper.stage([Drop("odd"), put("more")])
        keeper.commit()
        self.pump(watcher, follower, keeper)
        self.assertEqual((3, {"good", "more"}), (follower.version, set(follower.titles)))

    def test_unacknowledged_messages_to_a_watcher_are_limited(self):
        keeper, watcher = DurableCatalogue(FaultyFiles(), FRAME), Watcher("m", "m", "e", 0, "e")
        for n in range(500):
            keeper.stage([put(f"t{n}")])
        keeper.commit()
        sent = 0
        while watcher.next_message(keeper) is not None:
            sent += 1
        self.assertEqual(64, sent)

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.integers(0, 6), min_size=1, max_size=14),
        st.lists(
            st.tuples(st.sampled_from(["delta", "whole", "cut whole", "other epoch"]), st.integers(0, 20)), max_size=30
        ),
    )
    def test_any_order_of_deltas_drops_and_snapshots_ends_in_the_same_state(self, changes, deliveries):
        c, states, deltas = Catalogue(FRAME), [{}], []
        for n, kind in enumerate(changes):
            ops = [Drop(next(iter(c.titles)))] if kind == 0 and c.titles else [put(f"t{kind}", boxes=(n + 1, 90))]
            deltas.append(c.apply(ops))
            states.append(dict(c.titles))
        f = Follower()

        def whole(version, cut=False, epoch="e"):
            rows = list(states[version].values())
            f.apply_part(epoch, SnapshotPart(version, tuple(rows[:2]), True, False))
            if not cut:
                f.apply_part(epoch, SnapshotPart(version, tuple(rows[2:]), False, True))

        for what, n in deliveries:
            n = n % len(deltas)
            try:
                if what == "delta":
                    f.apply_delta("e", deltas[n])
                elif what == "other epoch":
                    f.apply_delta("x", deltas[n])
                else:
                    whole(n + 1, what == "cut whole")
            except VersionGap:
                pass
            if f.version is not None:
                self.assertEqual(states[f.version], f.titles)
        whole(len(deltas))
        self.assertEqual(states[-1], f.titles)
