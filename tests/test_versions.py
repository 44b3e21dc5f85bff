"""Version floors, stragglers, catching up and transferred copies, without sockets; attempts and pending releases."""

import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flaxscale.catalogue import digest
from flaxscale.catalogue.durable import DurableCatalogue
from flaxscale.catalogue.replication import Follower, SnapshotPart, Watcher
from flaxscale.catalogue.state import HOLDING, Delta, Put, SiteLimits, Title
from flaxscale.members import wire
from flaxscale.members.swim import State, Swim, Update
from flaxscale.members.takeover import Session, plan_claims
from flaxscale.recovery import key_registry, release_replicas
from flaxscale.recovery.pending_orders import PendingOrders
from flaxscale.site.shapes import FleetRow
from flaxscale.store.faulty import FaultyFiles
from flaxscale.store.files import Files
from flaxscale.versions import transfer
from flaxscale.versions.catchup import (
    BYTES_PER_SECOND,
    MAX_TRANSFERS,
    NUDGE_AFTER,
    NUDGE_INTERVAL,
    CatchUp,
    TransferLimit,
)
from flaxscale.versions.floor import FloorBook, VersionId, WatcherVersion, automatic_floor, objection
from flaxscale.versions.table import Row, VersionTable

FRAME = SiteLimits({"clip": 0}, frozenset(), 3)


def title(name, *boxes):
    return Title(name, "clip", None, 0, 2, (), (), tuple((b, HOLDING) for b in boxes))


class Floors(unittest.TestCase):
    def test_a_floor_only_rises_and_survives_a_restart(self):
        book = FloorBook()
        self.assertFalse(book.refuses(None))  # without a floor nothing is refused
        self.assertTrue(book.set_from_source("a", 0))
        self.assertFalse(book.refuses(VersionId("a", 0)))
        self.assertTrue(book.set_from_source("a", 5))
        self.assertFalse(book.raise_from_peer("a", 4))
        self.assertTrue(book.raise_from_peer("a", 7))  # from a manager that knows a higher one than the source sent
        book = FloorBook(book.dump())
        self.assertEqual(
            [True, False, True, False],
            [book.refuses(at) for at in (VersionId("a", 6), VersionId("a", 7), None, VersionId("newer", 1))],
        )
        book.set_from_source("b", 0)  # the source was restored: a new epoch without a floor
        self.assertEqual([False, False], [book.refuses(VersionId("a", 6)), book.refuses(VersionId("b", 1))])
        book.set_from_source("b", 2)
        self.assertEqual([True, True, False], [book.refuses(VersionId(*at)) for at in (("a", 99), ("b", 1), ("b", 2))])
        self.assertFalse(book.raise_from_peer("a", 99))  # of an epoch that was left
        with self.assertRaises(ValueError):
            FloorBook(b"x")

    def test_when_a_floor_may_be_raised_by_hand_and_by_rule(self):
        fleet = [WatcherVersion("m0", 9, 0), WatcherVersion("m1", 9, 0), WatcherVersion("m2", 4, 100)]
        self.assertEqual("", objection(9, 9, fleet, 0.34))
        self.assertIn("shut out 1 of 3 managers (m2)", objection(9, 9, fleet, 0.3))
        for force in (0.3, 1.0):
            self.assertIn("no version 10 yet", objection(10, 9, fleet, force))
        times = [(4, 0), (8, 50), (9, 100)]
        self.assertEqual([None, 8, 9], [automatic_floor(times, at, 60, fleet, 0.34) for at in (105, 115, 160)])
        self.assertEqual(None, automatic_floor(times, 160, 60, [WatcherVersion("m0", 9, 0)], 0.34))  # nobody is behind
        self.assertEqual(None, automatic_floor(times, 160, 60, fleet[1:], 0.34))  # half of them would be shut out

    def test_a_floor_is_stored_and_sent_as_a_version(self):
        files = FaultyFiles()
        keeper = DurableCatalogue(files, FRAME)
        keeper.stage([Put("one", "clip", holders={"1": HOLDING})])
        keeper.commit()
        watcher, follower = Watcher("m0", "manager", "e", None, "e"), Follower()
        follower.apply_part("e", watcher.next_message(keeper))
        for bad in (0, 2):
            with self.assertRaises(ValueError):
                keeper.stage_floor(bad)
        self.assertEqual(Delta(2, {}, 1), keeper.stage_floor(1))
        self.assertIsNone(watcher.next_message(keeper))  # not sent before it is durable
        keeper.commit()
        self.assertEqual({}, follower.apply_delta("e", watcher.next_message(keeper)))
        self.assertEqual((2, 1), (follower.version, follower.floor))
        self.assertIsNone(keeper.stage_floor(1))
        again = DurableCatalogue(FaultyFiles(files.written), FRAME)
        late = Follower()
        late.apply_part("e", Watcher("m1", "manager", "", None, "e").next_message(again))
        self.assertEqual((2, 1, follower.digest), (late.version, late.floor, late.digest))


class Digests(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("abcd"), st.one_of(st.none(), st.integers(1, 5))), max_size=30))
    @settings(max_examples=100, deadline=None)
    def test_the_digest_after_changes_equals_the_digest_of_all_titles(self, changes):
        follower, titles = Follower(), {}
        follower.load("e", 0, {})
        for n, (name, box) in enumerate(changes):
            made = {name: title(name, box) if box else None}
            follower.apply_delta("e", Delta(n + 1, made))
            titles.update(made)
        self.assertEqual(digest.total(t for t in titles.values() if t is not None), follower.digest)


class Behind(unittest.TestCase):
    def tables(self):
        tables = {name: VersionTable(name, f"life-{name}") for name in ("m0", "m1", "m2", "m3")}
        for name, table in tables.items():
            table.update_own(epoch="e", version=5, digest=1, settings="s", up=True)
        return tables

    def tell(self, tables, now, only=()):
        for sender in only or tables:
            for hearer in tables:
                if hearer != sender:
                    for row in tables[sender].rows_to_send(4):
                        tables[hearer].receive(row, sender, lambda name: f"life-{name}", now)

    def test_stragglers_are_named_with_reason_and_time(self):
        tables, all_of = self.tables(), ["m0", "m1", "m2", "m3"]

        def found(now, suspects=(), who=tables):
            return [
                sorted((s.name, s.why, s.since) for s in tables[name].stragglers(all_of, suspects, 30_000, now))
                for name in who
            ]

        self.tell(tables, 10)
        self.assertEqual([[]] * 4, found(10))
        for name in ("m0", "m1", "m2"):
            tables[name].update_own(version=6)
        tables["m3"].update_own(up=False)
        tables["m2"].update_own(settings="other", refused=7)
        self.tell(tables, 20)
        self.assertEqual([[]] * 4, found(20))  # not for long enough yet
        self.assertEqual({VersionId("e", 6)}, {table.newest(all_of) for table in tables.values()})
        self.assertEqual([[("m2", "refuses", 20)]] * 3 + [[("m2", "refuses", 20), ("m3", "behind", 20)]], found(30_020))
        self.tell(tables, 30_030, only=["m3"])  # it knows of the newer version, and reports itself as behind
        self.assertEqual([[("m2", "refuses", 20), ("m3", "behind", 20)]] * 4, found(30_030))
        # Versions change faster than rows arrive: a member that follows is not behind.
        tables["m2"].update_own(refused=0)
        tables["m3"].update_own(version=6)
        for n, now in enumerate(range(30_040, 130_040, 5_000), 7):
            tables["m0"].update_own(version=n)
            self.tell(tables, now)
            for name in ("m1", "m2", "m3"):
                tables[name].update_own(version=n)
            self.assertEqual([], [row for row in found(now)[0] if row[1] == "behind"])
        self.assertEqual([("m1", "unheard"), ("m2", "settings")], [row[:2] for row in found(130_040, ["m1"])[0]])

    def test_a_member_that_sends_but_does_not_receive_is_found_by_its_own_rows(self):
        tables, all_of = self.tables(), ["m0", "m1"]
        tables["m0"].update_own(version=6)
        tables["m0"].refresh(all_of, 10)
        for now in (20, 40_000):
            tables["m0"].receive(tables["m1"].me, "m1", lambda name: "life-m1", now)
            self.assertEqual(
                [] if now == 20 else [("m1", "behind", 10)],
                [(s.name, s.why, s.since) for s in tables["m0"].stragglers(all_of, [], 30_000, now)],
            )

    def test_rows_of_an_earlier_life_are_dropped_and_a_restored_source_sets_the_epoch(self):
        table = self.tables()["m0"]
        old = Row("m1", "before", 40, "e", 9, 0, 0, 0, "s", True, 0)
        table.receive(old, "m2", lambda name: "life-m1", 1)
        self.assertEqual({}, table.rows)
        table.receive(old._replace(boot="life-m1", count=2, epoch="f", version=3), "m1", lambda name: None, 2)
        self.assertEqual(VersionId("e", 5), table.newest(["m0", "m1"]))  # a tie of two epochs: the own one counts
        table.update_own(up=False)
        self.assertEqual(VersionId("f", 3), table.newest(["m0", "m1"]))  # a member connected to the source decides
        table.receive(old._replace(boot="life-m1", count=1, epoch="g"), "m1", lambda name: None, 3)
        self.assertEqual("f", table.rows["m1"].epoch)  # an older row that arrives late

    def test_rows_fit_into_messages_of_bounded_size(self):
        swim = Swim("m0", "127.0.0.1:1", "b", 1, 0)
        news = tuple(
            Update(f"m{n}", "127.0.0.1:12345", State.ALIVE, 1, "01234567", "127.0.0.1:12345") for n in range(20)
        )
        row = Row("m0", "01234567", 3, "0123456789ab", 10**6, 10**6, 2**63, 10**6, "0123456789abcdef", True, 0)
        message = swim.message("ping", 1, "m1")._replace(news=news, held=(row,) * 6)
        data = wire.encode(message, b"k")
        self.assertLessEqual(len(data), wire.MAX_BYTES)
        self.assertEqual(news, wire.decode(data, [b"k"]).news[:20])  # membership updates go before rows
        other = row._replace(name="m1", epoch="f", digest=0)
        small = message._replace(news=news[:4], held=(row, row._replace(name="m2", digest=0), other))
        self.assertEqual(small, wire.decode(wire.encode(small, b"k"), [b"k"]))
        many = message._replace(news=news[:4], held=(row,) * 21)
        self.assertEqual(21, len(wire.decode(wire.encode(many, b"k"), [b"k"]).held))
        self.assertEqual((), wire.decode(wire.encode(small._replace(held=()), b"k"), [b"k"]).held)
        with self.assertRaises(wire.BadMessage):
            wire.decode(wire.encode(small, b"other"), [b"k"])


class CatchingUp(unittest.TestCase):
    def test_the_source_is_asked_first_then_peers_with_growing_delays(self):
        up, asked, nudges = CatchUp("m0", 3), [], []
        for now in range(0, 600_000, 2_500):
            step = up.next_step(now, 0, 10, ["m1", "m2"])
            if step.nudge:
                nudges.append(now)
            if step.peer:
                asked.append(now)
                up.finished(now, False)
        self.assertEqual((NUDGE_AFTER, NUDGE_AFTER + NUDGE_INTERVAL), tuple(nudges[:2]))
        gaps = [b - a for a, b in zip(asked, asked[1:])]
        self.assertGreater(asked[0], NUDGE_AFTER)
        self.assertGreater(min(gaps[3:]), max(gaps[:2]))  # the delay grows with each refusal
        self.assertEqual("m1", up.next_step(700_000, 0, 10, ["m1"]).peer)
        up.finished(700_000, False, bad_copy=True)  # it is not asked again
        self.assertEqual({None}, {up.next_step(now, 0, 10, ["m1"]).peer for now in range(700_000, 999_999, 2_500)})
        up.next_step(10**6, None, 0, ())  # caught up: all is reset
        self.assertEqual("m1", up.next_step(2 * 10**6, 10**6, 1, ["m1"]).peer)

    def test_transfers_are_limited_in_number_and_in_bytes_a_second(self):
        giver = TransferLimit(0)
        self.assertEqual([True] * MAX_TRANSFERS + [False], [giver.try_begin(0) for _ in range(MAX_TRANSFERS + 1)])
        giver.done(6 * BYTES_PER_SECOND)  # the tokens become negative
        self.assertFalse(giver.try_begin(10_000))
        self.assertTrue(giver.try_begin(60_000))


class Transfers(unittest.TestCase):
    def setUp(self):
        self.giver, self.recent = Follower(), []
        self.giver.load("e", 1, {"a": title("a", 1)})
        self.ours = Follower()
        self.ours.load("e", 1, {"a": title("a", 1)})
        for n, change in enumerate(({"b": title("b", 2)}, {"a": None}, {}), 2):
            self.recent.append(Delta(n, change, 3 if n == 4 else 0))
            self.giver.apply_delta("e", self.recent[-1])
        self.reported = transfer.PeerDigests({"m2": self.giver.digest}, True)

    def changes(self, since=1):
        return transfer.encode_changes("m1", self.giver, self.recent, "e", since)

    def test_deltas_and_a_whole_copy_lead_to_the_same_state(self):
        whole = b"".join(transfer.encode_whole("m1", self.giver, 1))
        self.assertEqual(4, transfer.version_of(whole))
        for data in (self.changes(), whole):
            follower = Follower()
            follower.load("e", 1, {"a": title("a", 1)})
            epoch, messages = transfer.verify(data, follower, "e", self.reported)
            for m in messages:
                (follower.apply_part if isinstance(m, SnapshotPart) else follower.apply_delta)(epoch, m)
            self.assertEqual(
                (4, 3, self.giver.digest, {"b": title("b", 2)}),
                (follower.version, follower.floor, follower.digest, follower.titles),
            )
        for since in (-1, 5):
            self.assertIsNone(self.changes(since))
        del self.recent[0]
        self.assertIsNone(self.changes())  # without all the deltas a whole copy is needed

    def test_damaged_wrong_or_foreign_copies_are_refused_with_the_reason(self):
        data = self.changes()

        def why(data, wanted="e", reported=self.reported):
            with self.assertRaises(transfer.Refused) as no:
                transfer.verify(data, self.ours, wanted, reported)
            return no.exception.bad_copy, str(no.exception)

        for at in range(len(data)):  # any flipped byte: refused, or the content is the reported one
            flipped = bytearray(data)
            flipped[at] ^= 0x41
            try:
                _, messages = transfer.verify(bytes(flipped), self.ours, "e", self.reported)
            except transfer.Refused:
                continue
            total = self.ours.digest
            titles = dict(self.ours.titles)
            for m in messages:
                total = digest.updated(total, titles, m.titles)
                titles.update(m.titles)
            self.assertEqual(self.giver.digest, total)
        self.assertEqual(
            (True, "version 4: digest differs from what m2 report"),
            why(data, reported=transfer.PeerDigests({"m2": 5}, True)),
        )
        self.assertEqual(
            (False, "version 4 is not reported by any other manager yet"),
            why(data, reported=transfer.PeerDigests({}, True)),
        )
        self.assertEqual((False, "epoch 'e', but 'f' is in force"), why(data, "f"))
        self.assertTrue(why(data[:-3])[0])
        self.giver.titles["b"] = title("b", 9)  # its content does not match its digest
        self.assertEqual(
            (True, "titles of version 4 do not match its digest"),
            why(b"".join(transfer.encode_whole("m1", self.giver, 5))),
        )
        self.ours.version = 4
        self.assertIn("is not newer than the present one", why(data)[1])


class Attempts(unittest.TestCase):
    def test_a_key_is_known_to_three_managers_and_counts_from_its_first_attempt(self):
        names = [f"m{n}" for n in range(8)]
        mark = key_registry.key_digest(7, "one", "k")
        self.assertNotEqual(mark, key_registry.key_digest(7, "one", "l"))
        named = key_registry.replicas_for(mark, names)
        for gone in named[:2]:
            left = [n for n in names if n != gone]
            self.assertEqual([n for n in named if n != gone], key_registry.replicas_for(mark, left)[:2])
        book = key_registry.KeyRegistry()
        self.assertIsNone(book.register(mark, "m0", "a", 10))
        self.assertIsNone(book.register(mark, "m0", "a", 20))  # its own
        self.assertEqual(("m0", 20), book.register(mark, "m1", "x", 30))
        self.assertEqual(("m1", 30), book.register(mark, "m0", "b", 40))
        self.assertIsNone(book.register(mark, "m1", "y", 20 + key_registry.RETENTION))
        for n in range(key_registry.MAX_ENTRIES + 5):
            book.register(str(n), "m0", "a", 30 + key_registry.RETENTION)
        self.assertEqual(key_registry.MAX_ENTRIES, len(book.rows))

    def test_a_box_lets_only_the_manager_that_took_an_attempt_over_begin_it(self):
        bars = key_registry.SetupFence()
        self.assertFalse(bars.refusal_status("k", "m0"))
        bars.started("k", "m0.a.1.0")
        self.assertEqual("m0.a.1.0", bars.fence("k", "m1", 5))
        self.assertEqual(
            [410, None, None],
            [bars.refusal_status("k", "m0"), bars.refusal_status("k", "m1"), bars.refusal_status("l", "m0")],
        )
        bars.ended("k", "another")
        self.assertEqual("m0.a.1.0", bars.fence("k", "m2", 6))
        bars.ended("k", "m0.a.1.0")
        self.assertIsNone(bars.fence("k", "m2", 7))
        bars.fence("l", "m1", 8 + key_registry.RETENTION)
        self.assertFalse(bars.refusal_status("k", "m0"))  # long past

    def test_a_set_up_is_for_one_start_of_a_box_that_precedes_its_attempt(self):
        bars = key_registry.SetupFence("b2")
        self.assertEqual([421, None, None], [bars.refusal_status("k", "m0", boot) for boot in ("b1", "b2", "")])
        self.assertEqual([True, True, False], [key_registry.may_set_up(50, since) for since in (40, 50, 51)])

    def test_answers_of_keepers_and_boxes_give_one_step(self):
        silent = key_registry.SILENT
        self.assertIsNone(key_registry.earliest_registration([None, silent], unsafe=False))
        self.assertEqual(("unknown", 0), key_registry.earliest_registration([None, silent], unsafe=True))
        self.assertEqual(("unknown", 0), key_registry.earliest_registration([silent] * 3, unsafe=False))
        self.assertEqual(("m2", 9), key_registry.earliest_registration([("m1", 5), silent, ("m2", 9)], unsafe=False))
        none, out, stands = (
            key_registry.BoxAnswer(False),
            key_registry.BoxAnswer(False, True),
            key_registry.BoxAnswer(True),
        )
        for unsafe, said, step in (
            (False, {1: None, 2: none}, key_registry.StartNew()),
            (True, {1: None, 2: none}, key_registry.AskBoxes((1,))),
            (False, {1: out, 2: None}, key_registry.AskBoxes((1,))),
            (True, {1: none, 2: none}, key_registry.StartNew()),
            (True, {1: None, 2: stands}, key_registry.TakeOver(2)),
            (False, {}, key_registry.StartNew()),
        ):
            self.assertEqual(step, key_registry.next_step(said, unsafe))


class PendingReleases(unittest.TestCase):
    """Pending releases at boxes that do not answer, known to other managers."""

    def test_a_pending_release_is_reported_after_a_delay_and_again_while_it_lasts(self):
        owed, lending = PendingOrders(1), release_replicas.Replicator()
        owed.add_release(1, "a", 0)
        owed.add_release(1, "a", 900)  # requested again: pending since the first time
        owed.add_release(2, "b", 1_000)
        self.assertEqual({}, lending.due(owed.pending_releases(), release_replicas.REPLICATE_AFTER - 1))
        self.assertEqual({1: ["a"]}, lending.due(owed.pending_releases(), release_replicas.REPLICATE_AFTER))
        self.assertEqual({2: ["b"]}, lending.due(owed.pending_releases(), release_replicas.REPLICATE_AFTER + 1_000))
        lending.not_delivered(2, ["b"])
        self.assertEqual({2: ["b"]}, lending.due(owed.pending_releases(), release_replicas.REPLICATE_AFTER + 1_001))
        owed.discard(2, "b")
        self.assertEqual(
            {1: ["a"]},
            lending.due(owed.pending_releases(), release_replicas.REPLICATE_AFTER + release_replicas.REFRESH_EVERY),
        )
        self.assertEqual({(1, "a")}, set(lending.sent_at))

    def test_messages_are_bounded_and_so_is_a_keeper(self):
        owed, lending = PendingOrders(1), release_replicas.Replicator()
        for n in range(release_replicas.BATCH_SIZE + 5):
            owed.add_release(1, f"k{n}", 0)
        self.assertEqual(
            [release_replicas.BATCH_SIZE, 5],
            [len(lending.due(owed.pending_releases(), release_replicas.REPLICATE_AFTER)[1]) for _ in range(2)],
        )
        book = release_replicas.ReplicaStore()
        for n in range(release_replicas.MAX_RELEASES + 3):
            book.store("m0", 1, {f"k{n}": 0}, 5)
        self.assertEqual(release_replicas.MAX_RELEASES, len(book.rows))
        book.store("m1", 2, {"x": 4}, 10)
        self.assertEqual(
            [{"x": 4}, {}, {}],
            [
                book.pending("m1", 2, 11),
                book.pending("m1", 1, 11),
                book.pending("m1", 2, 10 + release_replicas.RETENTION),
            ],
        )

    def test_a_living_keeper_is_found_whichever_other_manager_died(self):
        alive = [f"m{n}" for n in range(9)]
        for box in range(30):
            told = release_replicas.replicas_for(box, alive, "m0")
            for gone in told:
                left = [m for m in alive if m not in (gone, "m0")]
                self.assertLessEqual(
                    {m for m in told if m != gone}, set(release_replicas.replicas_for(box, left, "m0"))
                )

    def test_a_takeover_carries_out_pending_releases_unless_the_session_had_another_owner_since(self):
        sessions = [Session("a", "m0", 0, "v", True), Session("b", "m0", 2, "w", True)]
        made = plan_claims(sessions, "m0", "m1", ["m1"], pending_releases={"a": 0, "b": 0})
        self.assertEqual(({("a", 1), ("b", 3)}, ("a",)), (set(made.claims), made.ends))


class RestoredStore(unittest.IsolatedAsyncioTestCase):
    async def test_a_store_older_than_the_sent_versions_begins_an_epoch(self):
        from flaxscale.catalogued.service import CatalogueService
        from tests.rig import Rows

        with tempfile.TemporaryDirectory() as folder:
            service = CatalogueService(Files(folder), FRAME, Rows(), fleet=FleetRow(1, 1, {}, 1, 1))
            first = service.epoch
            service.start_new_epoch("m0", 9)
            self.assertNotEqual(first, service.epoch)
            self.assertEqual(service.epoch, CatalogueService(Files(folder), FRAME, Rows()).epoch)
