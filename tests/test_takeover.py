"""Take-over on sockets: a manager dies, is cut off, restarts or leaves, and none of its viewings is lost."""

import asyncio

from flaxscale.front.members import Cookie, decode_cookie, encode_cookie
from flaxscale.lab.players import elsewhere, headers_of, offer_of, target_of
from flaxscale.members import swim
from flaxscale.recovery.journal import KeyJournal
from flaxscale.serve import pool as wire
from flaxscale.signalling import endpoint
from flaxscale.store.faulty import FaultyFiles
from tests.rig import Rig, Talking


class Members(Talking):
    async def test_a_killed_managers_viewings_keep_playing_under_others_and_can_be_deleted(self):
        await self.all_met()
        seen = [await self.ask("one", front=0) for _ in range(6)]
        media = [await self.media(s) for s in seen]
        gone = self.fronts[0]
        await self.kill(0)
        for log in self.log[1:]:
            await log.seen("member", name="m0", state="dead")
        await self.until(lambda: sum(len(f.viewings) for f in self.fronts[1:]) == 6, "six viewings are taken over")
        self.assertEqual((6, 6), (len(self.rows("adopted")), self.playing()))
        self.assertEqual({1}, {r["epoch"] for r in self.rows("adopted")})
        held = [len(f.viewings) for f in self.fronts[1:]]
        self.assertEqual(6, sum(held))
        for s in seen:  # one manager is asked and redirects to the one that has it
            answer = await self.delete(self.fronts[1].address, s.location)
            if answer.status == 307:
                self.assertEqual(self.fronts[2].address, elsewhere(answer))
                answer = await self.delete(elsewhere(answer), s.location)
            self.assertEqual(200, answer.status)
        await self.until(lambda: not self.playing(), "all have ended")
        self.assertEqual(0, self.playing())
        self.fronts.remove(gone)
        for _, writer in media:
            writer.close()

    async def test_a_manager_that_was_cut_off_comes_back_and_does_no_harm(self):
        await self.all_met()
        seen = await self.ask("one", front=0)
        reader, writer = await self.media(seen)
        self.fronts[0].members.shell.muted = True  # the others consider it dead, its boxes still reach it
        for log in self.log[1:]:
            await log.seen("member", name="m0", state="dead")
        await self.log[0].seen("over")  # the box reports that another manager has it
        self.assertEqual(0, len(self.fronts[0].viewings))
        box = next(b for b in self.boxes.values() if b.box.sessions)
        [key] = box.box.sessions
        self.fronts[0].boxes.end(box.box.place.id, key)  # an outdated order
        await self.until(lambda: self.rows("fenced"), "an order is fenced")
        self.assertEqual([("m0", [key])], [(r["manager"], r["keys"]) for r in self.rows("fenced")])
        self.assertEqual(1, self.playing())
        self.fronts[0].members.shell.muted = False
        for log in self.log[1:]:
            await log.seen("member", name="m0", state="alive", incarnation=1)
        self.assertEqual(1, self.playing())
        writer.close()

    async def test_a_planned_stop_hands_over_sessions_and_redirects_requests(self):
        await self.all_met()
        left = []
        for token, status in (("theirs", 401), ("ours", 409)):  # a wrong token; a program without a stop handler
            self.assertEqual(status, (await self.operate("/drain", token))[0])
        self.fronts[0].begin_stop = lambda: left.append(asyncio.ensure_future(self.fronts[0].stop(4.0)))
        seen = [await self.ask("one", front=0) for _ in range(4)]
        media = [await self.media(s) for s in seen]
        address = self.fronts[0].address
        self.assertEqual((202, {"manager": "m0", "viewings": 4, "others": 2}), await self.operate("/drain"))
        await self.log[1].seen("member", name="m0", state="left")
        request = self.wish("one")
        answer = await self.player.ask(address, "m0", request)
        self.assertEqual("plays", answer.fate)  # by a 307 that the player followed
        self.assertEqual(["sent_on", "plays"], [r["fate"] for r in self.seen_by.all("seen")][-2:])
        await left[0]
        self.assertEqual(5, self.playing())
        self.assertEqual(4, len(self.rows("adopted")))
        self.assertEqual([], self.rows("ordered"))
        self.fronts.pop(0)
        for _, writer in media:
            writer.close()

    async def test_a_fast_restart_takes_up_its_own_sessions_without_peer_messages(self):
        for front in self.fronts:
            front.members.shell.muted = True  # as where the terms forbid peer messages
        seen = await self.ask("one", front=0)
        reader, writer = await self.media(seen)
        await self.kill(0)
        self.fronts.pop(0)
        self.log.pop(0)
        front = await self.start_front(0)
        front.members.shell.muted = True
        await self.log[-1].seen("took over")
        self.assertEqual(1, len(front.viewings))
        self.assertEqual(200, (await self.delete(front.address, seen.location)).status)
        writer.close()

    async def test_a_retry_after_a_restart_gets_the_first_answer(self):
        request = self.wish("one", key="k1", viewer="ann")
        offer = offer_of(request)

        async def ask(address):  # with the same offer each time
            reply = asyncio.get_running_loop().create_future()
            self.player.pool.send(*address, "POST", target_of(request), headers_of(request), offer, reply.set_result)
            return await reply

        seen = await ask(self.fronts[0].address)
        reader, writer = await self.media(seen)
        await self.kill(0)
        self.fronts.pop(0)
        self.log.pop(0)
        front = await self.start_front(0)
        await self.log[-1].seen("took over")
        again = await ask(front.address)
        self.assertEqual(
            (201, seen.headers["location"], seen.body), (again.status, again.headers["location"], again.body)
        )
        self.assertEqual(1, self.playing())
        self.assertEqual(200, (await self.delete(front.address, seen.headers["location"])).status)
        other = await ask(front.address)  # its session has ended: the key may be used anew
        self.assertEqual(201, other.status)
        self.assertNotEqual(seen.headers["location"], other.headers["location"])
        writer.close()

    async def test_a_journal_failure_is_reported_and_answers_continue(self):
        log = self.fronts[0].journal.key_journal.log
        disk = log.files
        log.files = FaultyFiles(room=0)
        seen = await self.ask("one", front=0, key="k2")
        self.assertEqual("plays", seen.fate)
        await self.log[0].seen("journal failed")
        # Until the disk accepts keys again, each answer says that its key is not kept; afterwards all keys are kept.
        address = self.fronts[0].address
        request = self.wish("one", key="k3", viewer="v3")
        offer = offer_of(request)
        reply = asyncio.get_running_loop().create_future()
        self.player.pool.send(*address, "POST", target_of(request), headers_of(request), offer, reply.set_result)
        answer = await reply
        self.assertEqual((201, "no"), (answer.status, answer.headers.get("idempotency-key-kept")))
        log.files = disk
        await self.log[0].seen("journal kept again")
        kept = KeyJournal(FaultyFiles({name: disk.read(name) for name in disk.names()}), 0.0)
        self.assertEqual({"k2", "k3"}, {row.key for row in kept.rows.values()})

    async def test_seats_bound_the_take_over_and_the_lease_ends_the_remaining_sessions(self):
        await self.all_met()
        for _ in range(3):
            for m in (0, 1, 2):  # all seats of the live title at each manager
                self.assertEqual("plays", (await self.ask("cam", front=m)).fate)
        self.assertEqual(9, self.playing())
        await self.kill(0)
        gone = self.fronts.pop(0)
        for log in self.log[1:]:
            await log.seen("member", name="m0", state="dead")
        for box in self.boxes.values():
            box.stream_ended_at["m0", gone.boot] = -self.lease  # as after the lease has expired
            box.lease_expired("m0", gone.boot)
        # The boxes' lease ends the sessions for which no manager had a seat.
        await self.until(lambda: self.playing() == 6, "six keep playing")
        self.assertEqual(6, self.playing())
        self.assertEqual([], self.rows("adopted"))
        self.assertEqual([3, 3], [sum(f.runner.manager.seats.taken.values()) for f in self.fronts])
        self.assertTrue(gone)

    async def test_peer_messages_about_demand_reach_the_others(self):
        await self.all_met()
        shell, reply = self.fronts[1].members.shell, asyncio.get_running_loop().create_future()
        receive = shell.load_changed
        shell.load_changed = lambda *word: (receive(*word), reply.done() or reply.set_result(word))
        self.fronts[0].members.shell.report_load(2, 123.0)
        self.assertEqual(("m0", 2, 123.0), await asyncio.wait_for(reply, 10))
        self.assertEqual(123.0, sum(self.fronts[1].runner.manager.servers[2].link.changes.since(0)))

    async def test_unsigned_messages_change_nothing(self):
        await self.all_met()
        shell = self.fronts[1].members.shell
        before = shell.swim.alive()
        message = swim.Message("ping", 1, "m9", "", (swim.Update("m0", "x:1", swim.State.DEAD, 99, "x"),))
        from flaxscale.members import wire as members_wire

        for key in (b"other", b""):
            shell.datagram_received(members_wire.encode(message, key), ("127.0.0.1", 9))
        self.assertEqual((before, 2), (shell.swim.alive(), shell.refused))


class Alone(Rig):
    async def test_an_unknown_session_is_404_and_boxes_refuse_invalid_claims(self):
        await asyncio.gather(*self.fronts[0].members.jobs.values())  # it looks for sessions of an earlier process
        answer = await self.player.end(self.fronts[0].address, "/session/m9.1-abc")
        self.assertEqual(404, answer.status)
        reply = asyncio.get_running_loop().create_future()
        self.player.pool.send(
            *self.boxes[1].address, "POST", "/manager/adopt", [("Flaxscale-Manager", "m1")], b"[1]", reply.set_result
        )
        self.assertEqual(400, (await reply).status)
        self.assertIsInstance(await reply, wire.Response)

    async def test_cookies_are_decoded_and_invalid_ones_refused(self):
        offer = endpoint.Offer(False, "one", b"", "u", None, None, None, "tr", 2.5, None, None)
        self.assertEqual(
            Cookie(1, "m0.1-x", "one", False, 7, 2, 25_000, "tr"), decode_cookie(encode_cookie("m0.1-x", offer, 7, 2))
        )
        for bad in ("", "%%%", "AAAA"):
            with self.assertRaises(ValueError):
                decode_cookie(bad)
