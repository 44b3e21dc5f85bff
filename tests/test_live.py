"""The live catalogue on sockets: changes during set-ups, failing services and streams, refusals."""

import asyncio

from flaxscale.catalogue.state import HOLDING, LEAVING, Drop, Hold, Put, Rungs, Seats
from flaxscale.catalogued.client import Client, ServiceError
from flaxscale.proto import catalogue_pb2 as pb
from tests.rig import Rig


def held(*boxes):
    return {str(box): HOLDING for box in boxes}


class Live(Rig):
    titles = [
        Put("one", "clip", holders=held(1, 2, 3)),
        Put("sole", "clip", holders=held(1)),
        Put("cam", "live", low=1, holders=held(1, 2, 3)),
        Put("pair", "clip", holders=held(1, 2)),
    ]

    async def taken(self, version, log=0):
        """Waits until this manager and all boxes have applied a version."""
        await self.log[log].seen("catalogue", version=version)
        for rows in self.box_rows.values():
            await rows.seen("holds", version=version)

    def setups_by_box(self, title):
        return {box: len([r for r in self.setups(box) if r["title"] == title]) for box in self.boxes}

    async def test_a_change_takes_effect_without_a_restart(self):
        self.assertEqual("refused", (await self.ask("new")).fate)
        reply = await self.change(Put("new", "clip", holders=held(2)))
        await self.taken(reply.version)
        self.assertEqual("plays", (await self.ask("new")).fate)
        self.assertEqual({1: 0, 2: 1, 3: 0}, self.setups_by_box("new"))
        reply = await self.change(Hold("new", 2, LEAVING), Hold("new", 3, HOLDING))
        await self.taken(reply.version)
        self.assertEqual("plays", (await self.ask("new")).fate)
        self.assertEqual({1: 0, 2: 1, 3: 1}, self.setups_by_box("new"))
        self.assertEqual(1, len(self.boxes[2].box.sessions))  # the running viewing there goes on
        reply = await self.change(Drop("new"))
        await self.taken(reply.version)
        self.assertEqual(404, (await self.ask("new")).status)

    async def test_a_box_ahead_of_its_manager_refuses_a_missing_title_and_another_plays_it(self):
        self.fronts[0].catalogue_watch.task.cancel()  # this manager gets no more updates
        reply = await self.change(Hold("pair", 1, "gone"))
        for rows in self.box_rows.values():
            await rows.seen("holds", version=reply.version)
        seen = [await self.ask("pair") for _ in range(10)]
        self.assertEqual({"plays"}, {s.fate for s in seen})
        refused = [r for r in self.box_rows[1].all("answer") if r["status"] == 404]
        self.assertTrue(refused and not any(r["ran"] for r in refused))
        self.assertEqual((0, 1), (len(self.boxes[1].box.sessions), len(refused)))  # only one attempt there
        self.assertEqual({"lacking"}, {r["how"] for r in self.log[0].all("tune-in failed")})

    async def test_a_change_in_the_middle_of_a_set_up(self):
        self.boxes[1].box.setup_time = 2000
        asked = asyncio.ensure_future(self.ask("sole"))
        await self.box_rows[1].seen("setup")  # the set-up has been sent; the change does not affect it
        reply = await self.change(Hold("sole", 2, HOLDING), Hold("sole", 1, LEAVING))
        await self.taken(reply.version)
        self.assertEqual("plays", (await asked).fate)
        self.assertEqual({1: 1, 2: 0, 3: 0}, self.setups_by_box("sole"))
        self.assertEqual("plays", (await self.ask("sole")).fate)
        self.assertEqual({1: 1, 2: 1, 3: 0}, self.setups_by_box("sole"))

    async def test_a_rendition_withdrawn_while_played(self):
        await self.ask("one", length=60)
        box = next(n for n in self.boxes if self.setups(n))
        session = next(iter(self.boxes[box].box.sessions.values()))
        self.assertEqual(2, session.rung)
        reply = await self.change(Rungs("one", 0, 0))
        await self.taken(reply.version)
        row = await self.box_rows[box].seen("rung", key=session.key)
        self.assertEqual((0, 0), (row["rung"], session.rung))
        self.assertEqual("plays", (await self.ask("one")).fate)
        self.assertEqual({0}, {s.rung for b in self.boxes.values() for s in b.box.sessions.values()})

    async def test_seats_below_those_in_use_need_force_and_apply_from_then_on(self):
        seen = [await self.ask("cam") for _ in range(3)]
        self.assertEqual({"plays"}, {s.fate for s in seen})
        reply = await self.change(Put("touch", "clip", holders=held(1)))
        await self.taken(reply.version)  # its acknowledgement has the seats in use
        while not self.service.in_use():
            await asyncio.sleep(0)
        reply = await self.change(Seats("cam", "live", 2))
        self.assertEqual(1, len(reply.faults))
        self.assertIn("2 seats in live, 3 are in use", reply.faults[0])
        reply = await self.change(Seats("cam", "live", 2), force=True)
        await self.taken(reply.version)
        self.assertEqual("blocked", (await self.ask("cam")).fate)
        await self.player.end(self.fronts[0].address, seen[0].location)
        self.assertEqual("blocked", (await self.ask("cam")).fate)  # both seats are in use
        await self.player.end(self.fronts[0].address, seen[1].location)
        self.assertEqual("plays", (await self.ask("cam")).fate)

    async def test_the_service_stops_and_restarts(self):
        port = int(self.catalogue.rpartition(":")[2])
        version = self.service.catalogue.committed_version
        await self.service.stop()
        await self.log[0].seen("catalogue not followed")
        self.assertEqual("plays", (await self.ask("one")).fate)  # served from the last good version
        self.assertGreaterEqual(self.fronts[0].catalogue_state()["heard_s_ago"], 0)
        await self.start_service(port)
        self.assertEqual(version, self.service.catalogue.committed_version)
        reply = await self.change(Put("after", "clip", holders=held(3)))
        self.assertEqual(version + 1, reply.version)
        await self.taken(reply.version)
        self.assertEqual("plays", (await self.ask("after")).fate)

    async def test_a_manager_starts_from_its_kept_catalogue_when_the_service_is_down(self):
        reply = await self.change(Put("kept", "clip", holders=held(2)))
        await self.taken(reply.version)
        await self.service.stop()
        await self.fronts[0].stop(0.1)
        front = await self.start_front(0, listed=False)
        self.fronts.pop(0)
        self.log.pop(0)
        await self.listed(front, self.log[0])
        state = front.catalogue_state()
        self.assertEqual((reply.version, 5, False), (state["version"], state["titles"], state["up"]))
        self.assertIsNotNone(state["heard_s_ago"])
        self.assertEqual("plays", (await self.ask("kept")).fate)

    async def test_a_manager_that_refuses_a_version_goes_on_and_who_shows_it(self):
        self.fronts[0].site_terms.packages.pop("push")  # this manager's terms lack the package
        version = self.service.catalogue.committed_version
        await self.change(Put("odd", None, "push", holders=held(1)))
        await self.log[0].seen("catalogue refused")
        await self.service_rows.seen("refused")
        self.assertEqual("plays", (await self.ask("one")).fate)
        async with Client(self.catalogue) as client:
            rows = {w.name: w for w in (await client.call("Who", pb.WhoRequest())).watchers}
        self.assertEqual((version, version + 1), (rows["m0"].acked, rows["m0"].refused))
        self.assertIn("knows no package 'push'", rows["m0"].why)
        reply = await self.change(Drop("odd"))
        await self.taken(reply.version)

    async def test_two_operators_a_dry_run_and_a_rollback(self):
        version = self.service.catalogue.committed_version
        dry = await self.change(Drop("one"), dry=True)
        self.assertEqual((version, 1), (dry.version, dry.changed))
        first, second = await asyncio.gather(
            self.change(Put("x", "clip", holders=held(1)), expect=version),
            self.change(Put("y", "clip", holders=held(1)), expect=version),
        )
        self.assertEqual(1, sum(bool(r.behind) for r in (first, second)))
        async with Client(self.catalogue) as client:
            back = await client.call("Rollback", pb.RollbackRequest(to=version))
            self.assertEqual(version + 2, back.version)
            self.assertEqual((await client.get(version))[1], (await client.get())[1])
            history = (await client.call("History", pb.HistoryRequest(last=1))).changes
            self.assertEqual(f"rollback to version {version}", history[0].why)
            with self.assertRaisesRegex(ServiceError, "NOT_FOUND"):
                await client.get(99)
        with self.assertRaisesRegex(ServiceError, "100 characters"):
            await self.change(Drop("one"), id="x" * 101)
        bad = await self.change(Put("z", "none", holders=held(1)), Drop("w"))
        self.assertEqual(2, len(bad.faults))

    async def test_a_failed_store_acknowledges_and_accepts_nothing(self):
        def fail(name):
            raise OSError(28, "no space left on device")

        version = self.service.catalogue.committed_version
        self.service.files.sync = fail
        with self.assertRaises(ServiceError):
            await self.change(Put("lost", "clip", holders=held(1)))
        with self.assertRaisesRegex(ServiceError, "takes nothing more"):
            await self.change(Put("lost", "clip", holders=held(1)))
        self.assertEqual("plays", (await self.ask("one")).fate)
        self.assertEqual(version, self.fronts[0].catalogue_state()["version"])
