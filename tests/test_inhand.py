"""Requests and sessions that survive their manager, with processes and faults: the table in docs/recovery.md."""

import asyncio
import json
import pathlib
import signal

from flaxscale.front.failpoints import SETUP_STEPS, TAKEOVER_STEPS
from flaxscale.front.members import Sessions
from flaxscale.lab.players import Wish, headers_of, offer_of, target_of, trace_of
from flaxscale.rules.promises import promises
from tests.rig import Talking, within
from tests.test_stragglers import LIMIT, TOKEN, Fleet

MANY_SESSIONS = 18


class TakeoverFleet(Fleet):
    """A fleet of processes whose managers are killed, stopped and cut off."""

    async def start_viewing(self, m, media=True):
        """(request, outcome, media task) of a viewing that plays at a manager; a player opens the media, too."""
        async with asyncio.timeout(LIMIT):
            while True:
                self.n += 1
                request = Wish(self.n, "clip-1", False, f"v{self.n}", 3.0, 60.0, None, None, None, trace_of(5, self.n))
                seen = await self.run_.player.ask(self.at(m), f"m{m}", request)
                if seen.fate == "plays":
                    return (
                        request,
                        seen,
                        asyncio.ensure_future(self.run_.player.hold(self.at(m), f"m{m}", request, seen))
                        if media
                        else None,
                    )

    async def until_exited(self, child):
        async with asyncio.timeout(3 * LIMIT):
            await child.wait()

    async def kill(self, m):
        self.run_.lab.put("kill", manager=f"m{m}")
        await self.run_.fronts[m].kill()

    async def until_all_held(self, count, by):
        """Waits until the managers of `by` hold that many viewings together."""
        async with asyncio.timeout(3 * LIMIT):
            while sum([(await self.get(m))["viewings"] for m in by]) != count:
                pass

    async def finish_and_check(self):
        """Ends all processes; the accounts of both sides agree and the promises are kept."""
        found = await self.finished()
        self.assertEqual([], promises(self.out))
        return found


class PendingReleases(TakeoverFleet):
    async def test_a_release_that_a_box_did_not_confirm_is_carried_out_by_other_managers(self):
        request, seen, held = await self.start_viewing(0)
        [began] = [r for r in self.box_rows("setup")]
        box = next(b for b in range(4) if began["key"] in (self.out / f"box-{b + 1}-1.jsonl").read_text())
        await self.until(0, lambda s: s["boxes"][str(box + 1)]["stream"] == "up")
        self.run_.boxes[box].say(trouble="hang", value=1)
        await self.written(lambda: self.box_rows("trouble"))
        held.cancel()  # the player leaves; its box gets neither the close nor the release
        result = await self.run_.player.pool.fetch(
            *self.at(0), "DELETE", seen.location, [("Authorization", f"Bearer {TOKEN}")], b"", LIMIT
        )
        self.assertEqual(200, result.status)
        self.run_.record.put("held", n=request.n, manager="m0", whole=True, seconds=0, rung=None, share=None)
        await self.until(0, lambda s: s["lent"]["told"])
        await self.kill(0)
        for m in (1, 2):
            await self.until(m, lambda s: s["members"]["members"]["m0"]["state"] == "dead")
        self.run_.boxes[box].say(trouble="hang", value=0)
        over = (await self.written(lambda: self.box_rows("over")))[0]
        self.assertEqual((began["key"], "ended"), (over["key"], over["how"]))
        states = [await self.get(m) for m in (1, 2)]
        self.assertEqual(1, sum(s["lent"]["carried_out"] for s in states))
        self.assertEqual(0, sum(s["viewings"] for s in states))
        await self.finish_and_check()


class ClaimOrder(TakeoverFleet):
    async def test_sessions_that_one_manager_can_not_claim_are_claimed_by_the_next_in_order(self):
        held = [(await self.start_viewing(0))[2] for _ in range(6)]
        # The other managers are alive and connected; one of them can't reach any box.
        cut = await self.cut(*(("m1", f"b{b}") for b in (1, 2, 3, 4)))
        await self.kill(0)
        state = await self.until(2, lambda s: s["viewings"] == 6)
        self.assertEqual((6, True), (state["members"]["taken_over"], "m1" in state["members"]["alive"]))
        self.heal(cut)
        self.assertEqual(6, len(self.box_rows("adopted")))
        for task in held:
            task.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        await self.finish_and_check()

    async def test_an_adopter_stopped_during_the_take_over_loses_its_share_and_does_no_harm_when_it_resumes(self):
        held = [(await self.start_viewing(0))[2] for _ in range(6)]
        await self.kill(0)
        await self.until(1, lambda s: s["members"]["members"]["m0"]["state"] in ("suspect", "dead"))
        self.run_.fronts[1].signal(signal.SIGSTOP)
        self.run_.lab.put("stall", manager="m1")
        await self.until(2, lambda s: s["viewings"] == 6)
        self.run_.fronts[1].signal(signal.SIGCONT)
        self.run_.lab.put("go_on", manager="m1")
        await self.until(1, lambda s: not s["viewings"] and "m2" in s["members"]["alive"])
        await self.until(2, lambda s: s["viewings"] == 6)
        granted = [(r["key"], r["epoch"]) for r in self.box_rows("adopted")]
        self.assertEqual(len(granted), len(set(granted)))
        for task in held:
            task.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        await self.finish_and_check()


class FullManager(Talking):
    async def test_a_manager_that_accepts_nothing_more_reports_so_and_the_others_take_over(self):
        await self.all_met()
        held = [await self.media(await self.ask("one", front=0)) for _ in range(8)]
        overloaded, able = self.fronts[1], self.fronts[2]
        overloaded.gate.end_span, overloaded.gate.rate = lambda now: None, 20.0  # as when it is overloaded
        async with asyncio.timeout(LIMIT):
            while "m1" not in able.fleet.full():
                await self.ask("one", front=2)
        gone = self.fronts[0]
        await self.kill(0)
        await self.until(lambda: len(self.rows("adopted")) == 8, "all are taken over")
        self.assertEqual({"m2"}, {r["manager"] for r in self.rows("adopted")})
        self.assertNotIn("m1", able.members.available_members())
        self.assertEqual("%s:%d" % able.address, overloaded.members.alternative_for("somebody"))
        self.fronts.remove(gone)
        for _, writer in held:
            writer.close()


class LateGrants(Talking):
    """Events at a box between its grant of a claim and the time when the adopter reads the grant."""

    async def adopted(self, meanwhile):
        """A viewing of m0 is claimed after its death; meanwhile(adopter, other, box, key) runs before the adopter reads
        the grant. Returns (adopter, other, {manager: how many more viewings it has than before})."""
        await self.all_met()
        self.held = []
        self.addCleanup(lambda: [writer.close() for _, writer in self.held])
        for m in (1, 2):  # both have streams to every box
            for box in self.fronts[m].boxes.places:
                self.fronts[m].boxes.ensure_stream(box)
            while not all(f"m{m}" in box.streams for box in self.boxes.values()):
                self.held.append(await self.media(await self.ask("one", front=m)))
        before = {f.name: len(f.viewings) for f in self.fronts[1:]}
        self.held.append(await self.media(await self.ask("one", front=0)))
        late = []

        def delay_grant(front, other):
            call = front.members.call

            async def call_then_wait(place, method, target, body, *more, **limits):
                answer = await call(place, method, target, body, *more, **limits)
                if target == "/manager/adopt" and not late:
                    late.append((front, other))
                    [key] = body["claims"]
                    box = next(box for box, known in front.boxes.places.items() if known == place)
                    await within(LIMIT, meanwhile(front, other, box, key))
                return answer

            front.members.call = call_then_wait

        delay_grant(self.fronts[1], self.fronts[2])
        delay_grant(self.fronts[2], self.fronts[1])
        gone = self.fronts[0]
        await self.kill(0)
        await self.until(lambda: late, "a manager has claimed it")
        [(adopter, other)] = late
        await within(LIMIT, asyncio.gather(*adopter.members.jobs.values()))
        await self.until_no_orders(adopter)
        self.fronts.remove(gone)
        return adopter, other, {f.name: len(f.viewings) - before[f.name] for f in self.fronts}

    @staticmethod
    async def until_no_orders(front):
        """Waits until no orders are pending; checks again after each answer of a box."""
        async with asyncio.timeout(LIMIT):
            while front.boxes.pending_releases.count():
                await front.members.call(
                    next(iter(front.boxes.places.values())), "GET", "/manager/sessions?of=none", None, Sessions
                )

    async def claim(self, by, adopter, box, key):
        """Another claim to a session that the box has granted to the adopter."""
        found = await by.members.call(
            adopter.boxes.places[box], "GET", f"/manager/sessions?of={adopter.name}", None, Sessions
        )
        [row] = [row for row in found.sessions if row.key == key]
        self.assertTrue(await by.retries.claim(box, row, True))

    async def test_a_session_that_another_manager_claims_meanwhile_is_given_up(self):
        # The box sends "over" on the stream before the adopter has read the grant. The adopter must not
        # ignore it as a session that is not its own, and then keep a viewing that another manager has.
        async def claim_by_other(adopter, other, box, key):
            ended_early, over_early_before = asyncio.Event(), adopter.ended_before_answer

            def over_early(ended):
                over_early_before(ended)
                if ended == key:
                    ended_early.set()

            adopter.ended_before_answer = over_early
            await self.claim(other, adopter, box, key)
            await ended_early.wait()

        adopter, other, more = await self.adopted(claim_by_other)
        self.assertEqual({adopter.name: 0, other.name: 1}, more)
        self.assertEqual(len(self.held), self.playing())

    async def test_a_session_with_a_pending_release_is_not_taken_up_again(self):
        # A stream to the box that opens at that time names the session as the manager's own. The manager must not claim
        # it anew while the release that its client asked for is in flight: it would keep a viewing whose session has
        # ended. This happened at a step of a set-up on busy machines.
        adopter, _, _ = await self.adopted(lambda adopter, *_: self.until_no_orders(adopter))
        [viewing] = [viewing for viewing in adopter.viewings.values() if viewing.name.startswith("m0.")]
        box, key, count = viewing.box, viewing.key, len(adopter.viewings)
        flush_orders, adopter.boxes.flush_orders = (
            adopter.boxes.flush_orders,
            lambda box: None,
        )  # orders to the box wait
        adopter.runner.client_left(viewing.id)
        adopter.unknown_sessions(box, [key])
        jobs = [job for (_, of), job in adopter.members.jobs.items() if of == adopter.name]
        await within(LIMIT, asyncio.gather(*jobs))
        adopter.boxes.flush_orders = flush_orders
        adopter.boxes.flush_orders(box)
        await self.until_no_orders(adopter)
        self.assertEqual(count - 1, len(adopter.viewings))
        self.assertEqual(len(self.held) - 1, self.playing())

    async def test_a_session_claimed_twice_by_one_manager_is_one_viewing_and_keeps_playing(self):
        # A client's retry and the take-over of its dead manager may both claim the same session.
        adopter, other, more = await self.adopted(
            lambda adopter, other, box, key: self.claim(adopter, adopter, box, key)
        )
        self.assertEqual({adopter.name: 1, other.name: 0}, more)
        self.assertEqual(len(self.held), self.playing())


class LeavingTogether(Talking):
    async def test_managers_that_leave_together_hand_all_viewings_to_those_that_stay(self):
        # A leaving manager must not take over its share of another's sessions after the remaining managers have asked
        # for its own: that share would be lost with it, although the clients were answered. This happened when four of
        # five managers were restarted at once.
        await self.all_met()
        held = [await self.media(await self.ask("one", front=m)) for m in (0, 1) * 6]
        leaving, stays = self.fronts[:2], self.fronts[2]
        call = stays.members.call

        async def after_their_takeovers(place, method, target, *more, **limits):
            if target == "/manager/adopt":
                while jobs := [job for front in leaving for job in front.members.jobs.values()]:
                    await asyncio.wait(jobs)
            return await call(place, method, target, *more, **limits)

        stays.members.call = after_their_takeovers
        await within(LIMIT, asyncio.gather(*(front.stop() for front in leaving)))
        for front in leaving:
            self.fronts.remove(front)
        self.assertEqual(12, len(stays.viewings))
        self.assertEqual(12, self.playing())
        for _, writer in held:
            writer.close()

    async def test_a_box_list_that_arrives_before_the_members_socket_is_open_is_processed(self):
        # A manager that has just started is asked whether it leaves; it must not fail and leave its own sessions alone.
        members = self.fronts[0].members
        swim, members.shell.swim = members.shell.swim, None
        self.assertTrue(members.may_take_over(members.front.name))
        members.shell.swim = swim


class Steps(TakeoverFleet):
    """A manager is killed or stopped at each step of a set-up; its client retries at another one under its key."""

    async def present_sessions(self):
        """Keys of the sessions that boxes have, by their records."""
        over = {r["key"] for r in self.box_rows("over")}
        return [r["key"] for r in self.box_rows("begun") if r["key"] not in over]

    async def restart_first(self, step):
        """Restarts manager 0, which will be killed or stopped at this step."""
        port = self.at(0)[1]
        await self.run_.fronts[0].kill()
        self.run_.steps = {0: step}
        self.run_.lab.put("kill", manager="m0")
        await self.run_.start_front(0, port)
        self.run_.lab.put("back", manager="m0")
        await self.until(
            0,
            lambda s: (
                len(s["boxes"]) == 4
                and s["catalogue"]["version"] == 1
                and len(s["members"]["alive"]) == 3
                and not s["members"]["not_heard_yet"]
            ),
        )
        for m in (1, 2):
            await self.until(m, lambda s: s["members"]["members"]["m0"]["state"] == "alive")

    async def interrupt(self, step, act, sends):
        title = "quay-cam" if sends else "clip-1"
        await self.restart_first(f"{step}:{act}")
        self.n += 1
        request = Wish(self.n, title, sends, f"ann{self.n}", 8.0, 60.0, None, None, f"key{self.n}", trace_of(5, self.n))
        body, child = offer_of(request), self.run_.fronts[0].child
        first = asyncio.ensure_future(self.post(0, request, body))
        if act == "kill":
            await self.until_exited(child)
        else:
            self.run_.lab.put("stall", manager="m0")
            async with asyncio.timeout(LIMIT):
                while "State:\tT" not in pathlib.Path(f"/proc/{child.pid}/status").read_text():
                    await self.get(1)
        reply = await self.post(1, request, body)
        self.assertEqual(201, reply.status, (step, act, title, reply.body))
        if act == "stop":
            self.run_.fronts[0].signal(signal.SIGCONT)
            self.run_.lab.put("go_on", manager="m0")
        await self.until_present(1)
        # One manager has it: the one asked last, or the first one again, whose client is still connected.
        await self.until_held_once()
        for r in await asyncio.gather(first, return_exceptions=True):
            if getattr(r, "status", 0) == 201:  # both requests were answered, so with the same session
                self.assertEqual(reply.headers["location"], r.headers["location"])
        ended = await self.run_.player.end_anywhere(self.at(1), reply.headers["location"])
        self.assertEqual(200, ended.status)
        await self.until_present(0)

    async def until_held_once(self):
        async with asyncio.timeout(LIMIT):
            while True:
                states = [await self.get(m) for m in range(3) if self.run_.fronts[m].child.returncode is None]
                if [1, 0] == [sum(s[what] for s in states) for what in ("viewings", "owed")]:
                    return

    async def until_present(self, count):
        async with asyncio.timeout(LIMIT):
            while len(found := await self.present_sessions()) != count:
                await self.get(1)
        return found

    async def post(self, m, request, body):
        return await self.run_.player.pool.fetch(
            *self.at(m), "POST", target_of(request), headers_of(request, TOKEN), body, LIMIT
        )

    async def test_killed_at_each_step(self):
        for step in SETUP_STEPS:
            for sends in (False, True):
                with self.subTest(step=step, sends=sends):
                    await self.interrupt(step, "kill", sends)
        await self.end_and_check()

    async def test_stopped_at_each_step(self):
        for step in SETUP_STEPS:
            for sends in (False, True):
                with self.subTest(step=step, sends=sends):
                    await self.interrupt(step, "stop", sends)
        await self.end_and_check()

    async def end_and_check(self):
        self.run_.lab.put("end")
        await self.run_.finish()
        keys_by_trace = {}
        for row in self.box_rows("setup"):
            keys_by_trace.setdefault(row["trace"], []).append(row["key"])
        begun = {r["key"] for r in self.box_rows("begun")}
        unsafe = [r["trace"] for r in self.box_rows("setup") if r["sends"]]
        self.assertTrue(unsafe)
        for trace in unsafe:  # unsafe viewings never ran twice
            self.assertEqual(1, len(begun & set(keys_by_trace[trace])), (trace, keys_by_trace[trace]))


class OnePerViewer(Talking):
    """Where the site allows a viewer one viewing of a title, a new offer replaces the earlier viewing."""

    terms = Talking.terms.replace('"gate": false', '"gate": false, "one_per_viewer": true')

    async def test_a_viewer_that_asks_again_has_one_viewing_whichever_manager_it_asks(self):
        await self.all_met()
        first = await self.ask("one", front=0, viewer="ann")
        self.assertEqual("plays", (await self.ask("one", front=0, viewer="ben")).fate)  # another viewer
        self.assertEqual("plays", (await self.ask("only", front=0, viewer="ann")).fate)  # another title
        self.assertEqual(3, self.playing())
        again = await self.ask("one", front=0, viewer="ann")  # at the same manager
        await self.until(lambda: self.playing() == 3, "the first one ends")
        third = await self.ask("one", front=1, viewer="ann")  # elsewhere
        await self.until(lambda: self.playing() == 3, "the second one ends")
        await self.kill(0)
        gone = self.fronts.pop(0)
        fourth = await self.ask("one", front=1, viewer="ann")  # before any manager has detected the death
        await self.until(lambda: self.playing() == 3, "the third one ends")
        self.assertEqual(["plays"] * 4, [seen.fate for seen in (first, again, third, fourth)])
        self.assertEqual(4, len({seen.location for seen in (first, again, third, fourth)}))
        self.assertTrue(gone)

    async def test_an_unsafe_viewing_stays_and_the_new_offer_is_refused(self):
        await self.all_met()
        self.assertEqual("plays", (await self.ask("only", sends=True, front=0, viewer="cam")).fate)
        for m in (0, 1, 2):
            seen = await self.ask("only", sends=True, front=m, viewer="cam")
            self.assertEqual(409, seen.status)
        self.assertEqual(1, self.playing())

    async def test_a_waiting_request_is_replaced_and_its_client_is_answered(self):
        await self.all_met()
        for box in self.boxes:
            self.trouble(box, "hang")
        waiting = asyncio.ensure_future(self.ask("one", front=0, viewer="ann", patience=4.0))
        await self.until(lambda: any(self.setups(box) for box in self.boxes), "the set-up was sent")
        for box in self.boxes:
            self.trouble(box, "hang", 0)
        again = await self.ask("one", front=0, viewer="ann")
        self.assertEqual((409, "plays"), ((await waiting).status, again.fate))
        await self.until(lambda: self.playing() == 1, "one plays")


class Takeovers(TakeoverFleet):
    """Playing sessions while the managers that take them over die, are stopped, come back or are cut off."""

    async def end_and_check(self, held):
        granted = [(r["key"], r["epoch"]) for r in self.box_rows("adopted")]
        self.assertEqual(len(granted), len(set(granted)))
        self.assertEqual([], [r for r in self.box_rows("over") if r["how"] == "lease"])
        for task in held:
            task.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        await self.finish_and_check()

    async def test_an_adopter_that_dies_at_each_step_leaves_all_sessions_to_the_last_manager(self):
        # So many that each of two managers certainly gets a share: names, and so their hashes, differ from run to run.
        held, ports = (
            [(await self.start_viewing(0))[2] for _ in range(MANY_SESSIONS)],
            {m: self.at(m)[1] for m in range(3)},
        )
        holder = 0
        for step in TAKEOVER_STEPS:
            # The holder is killed, the next manager dies at this step of the take-over, and the third one gets all.
            successor, last = (holder + 1) % 3, (holder + 2) % 3
            await self.restart(successor, ports[successor], f"{step}:kill")
            dying = self.run_.fronts[successor].child
            await self.kill(holder)
            self.run_.lab.put("kill", manager=f"m{successor}")
            await self.until_exited(dying)
            await self.until_all_held(MANY_SESSIONS, [last])
            await self.restart(holder, ports[holder], None)
            await self.restart(successor, ports[successor], None)
            await self.until_all_held(MANY_SESSIONS, [last])
            holder = last
        await self.end_and_check(held)

    async def restart(self, m, port, step):
        """Restarts a manager, known to the others and without sessions; it will be killed or stopped at this step."""
        await self.kill(m)
        self.run_.steps = {m: step} if step else {}
        await self.run_.start_front(m, port)
        self.run_.lab.put("back", manager=f"m{m}")
        up = [n for n in range(3) if self.run_.fronts[n].child.returncode is None]
        await self.until(
            m,
            lambda s: (
                len(s["boxes"]) == 4
                and s["catalogue"]["version"] == 1
                and not s["members"]["not_heard_yet"]
                and len(s["members"]["alive"]) == len(up)
            ),
        )
        boot = (await self.get(m))["boot"]
        for n in up:
            if n != m:
                await self.until(
                    n,
                    lambda s: (
                        (s["members"]["members"][f"m{m}"]["state"], s["members"]["members"][f"m{m}"]["boot"])
                        == ("alive", boot)
                    ),
                )

    async def test_a_dead_manager_that_returns_during_the_claims_with_a_third_of_all_messages_lost(self):
        held, port = [(await self.start_viewing(0))[2] for _ in range(MANY_SESSIONS)], self.at(0)[1]
        managers = [f"m{m}" for m in range(3)]
        lossy = await self.strike("lose", 0.3, [[a, b] for a in managers for b in managers if a != b])
        await self.restart(1, self.at(1)[1], "claiming:stop")
        child = self.run_.fronts[1].child
        await self.kill(0)
        async with asyncio.timeout(3 * LIMIT):
            while "State:\tT" not in pathlib.Path(f"/proc/{child.pid}/status").read_text():
                await self.get(2)
        self.run_.lab.put("stall", manager="m1")
        self.run_.steps = {}
        await self.run_.start_front(0, port)  # it takes up its own sessions while m1's claims are in flight
        self.run_.lab.put("back", manager="m0")
        self.run_.fronts[1].signal(signal.SIGCONT)
        self.run_.lab.put("go_on", manager="m1")
        await self.until_all_held(MANY_SESSIONS, range(3))
        self.heal(lossy)
        await self.until_all_held(MANY_SESSIONS, range(3))
        await self.end_and_check(held)

    async def test_a_partition_with_both_sides_alive_plays_each_viewing_once_and_heals(self):
        held = [(await self.start_viewing(m))[2] for m in (0, 0, 1, 1, 2, 2)]
        cut = await self.cut(("m0", "m1"), ("m0", "m2"))
        await self.until(1, lambda s: s["members"]["members"]["m0"]["state"] == "dead")
        await self.until(0, lambda s: not {"m1", "m2"} & set(s["members"]["alive"]))
        # Each side considers the other dead and claims its sessions at the boxes, which grant each epoch once.
        await self.until_all_held(6, range(3))
        for m in range(3):
            self.assertEqual("plays", (await self.ask(m)).fate)
        self.heal(cut)
        for m in range(3):
            await self.until(m, lambda s: len(s["members"]["alive"]) == 3)
        await self.until_all_held(6, range(3))
        await self.end_and_check(held)


class Drains(TakeoverFleet):
    async def test_a_drain_whose_manager_dies_is_finished_by_the_others_and_a_repeated_order_drains_no_manager(self):
        held, port = [(await self.start_viewing(0))[2] for _ in range(4)], self.at(0)[1]
        life = (await self.get(0))["boot"]
        # m0 is cut off from boxes and managers, so that its hand-over can't complete; then it is killed.
        cut = await self.cut(*(("m0", f"b{b}") for b in (1, 2, 3, 4)), ("m0", "m1"), ("m0", "m2"))
        self.assertEqual(202, (await self.order_drain(0, "m0", life)).status)
        await self.written(lambda: "drain asked for" in (self.out / "front-0.log").read_text())
        await self.kill(0)
        self.heal(cut)
        for m in (1, 2):
            await self.until(m, lambda s: s["members"]["members"]["m0"]["state"] in ("left", "dead"))
        await self.until_all_held(4, (1, 2))
        reply = await self.order_drain(1, "m0", life)
        self.assertEqual((200, True), (reply.status, "over" in json.loads(reply.body)))
        await self.run_.start_front(0, port)
        self.run_.lab.put("back", manager="m0")
        for m in (1, 2):  # a member that does not know the new process yet reports m0 as dead
            await self.until(m, lambda s: s["members"]["members"]["m0"]["state"] == "alive")
        for m in range(3):  # repeated at any manager: the new process stays
            reply = await self.order_drain(m, "m0", life)
            self.assertEqual((200, "m0 has restarted since"), (reply.status, json.loads(reply.body)["over"]))
        self.assertEqual(307, (await self.order_drain(2, "m1", "")).status)
        self.assertEqual(404, (await self.order_drain(2, "m9", "")).status)
        self.assertEqual("m0", (await self.get(0))["manager"])
        for task in held:
            task.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        await self.finish_and_check()

    async def order_drain(self, m, name, life):
        return await self.run_.player.pool.fetch(
            *self.at(m),
            "POST",
            f"/drain?manager={name}&life={life}",
            [("Authorization", f"Bearer {self.fleet_token}")],
            b"",
            LIMIT,
        )

    @property
    def fleet_token(self):
        return self.run_.day.site.front.fleet_token
