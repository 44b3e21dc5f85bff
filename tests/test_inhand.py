"""Work in hand that survives its manager, by processes with faults between them: docs/recovery.md, the table."""

import asyncio
import json
import pathlib
import signal

from flaxscale.front.members import Sessions
from flaxscale.front.steps import STEPS, TAKING
from flaxscale.lab.players import Wish, headers_of, offer_of, target_of, trace_of
from flaxscale.rules.promises import promises
from tests.rig import Talking, within
from tests.test_stragglers import LIMIT, TOKEN, Fleet

MANY = 18


class InHand(Fleet):
    async def plays_at(self, m, media=True):
        """(Wish, Seen) of a viewing that plays at a manager; its media opened, as its player would."""
        async with asyncio.timeout(LIMIT):
            while True:
                self.n += 1
                wish = Wish(self.n, "clip-1", False, f"v{self.n}", 3.0, 60.0, None, None, None, trace_of(5, self.n))
                seen = await self.run_.player.ask(self.at(m), f"m{m}", wish)
                if seen.fate == "plays":
                    return (
                        wish,
                        seen,
                        asyncio.ensure_future(self.run_.player.hold(self.at(m), f"m{m}", wish, seen))
                        if media
                        else None,
                    )

    async def died(self, child):
        async with asyncio.timeout(3 * LIMIT):
            await child.wait()

    async def kill(self, m):
        self.run_.lab.put("kill", manager=f"m{m}")
        await self.run_.fronts[m].kill()

    async def everything_held(self, count, by):
        """Once those of `by` hold so many, all of them; nothing of it is owed an end."""
        async with asyncio.timeout(3 * LIMIT):
            while sum([(await self.get(m))["viewings"] for m in by]) != count:
                pass

    async def judged(self):
        """Ends all; both accounts agree, and the promises are kept."""
        found = await self.finished()
        self.assertEqual([], promises(self.out))
        return found


class Owed(InHand):
    async def test_an_end_that_a_box_did_not_answer_is_carried_out_by_others_and_nobody_plays_it_on(self):
        wish, seen, held = await self.plays_at(0)
        [began] = [r for r in self.box_rows("setup")]
        box = next(b for b in range(4) if began["key"] in (self.out / f"box-{b + 1}-1.jsonl").read_text())
        await self.until(0, lambda s: s["boxes"][str(box + 1)]["stream"] == "up")
        self.run_.boxes[box].say(trouble="hang", value=1)
        await self.written(lambda: self.box_rows("trouble"))
        held.cancel()  # its player goes; its box hears nothing of it, and neither of the end
        result = await self.run_.player.pool.ask(
            *self.at(0), "DELETE", seen.location, [("Authorization", f"Bearer {TOKEN}")], b"", LIMIT
        )
        self.assertEqual(200, result.status)
        self.run_.record.put("held", n=wish.n, manager="m0", whole=True, seconds=0, rung=None, share=None)
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
        await self.judged()


class Orders(InHand):
    async def test_what_one_can_not_claim_is_claimed_by_the_next_in_the_order(self):
        held = [(await self.plays_at(0))[2] for _ in range(6)]
        # The others live and hear each other; one of them can't reach a single box.
        cut = await self.cut(*(("m1", f"b{b}") for b in (1, 2, 3, 4)))
        await self.kill(0)
        state = await self.until(2, lambda s: s["viewings"] == 6)
        self.assertEqual((6, True), (state["members"]["taken_over"], "m1" in state["members"]["alive"]))
        self.heal(cut)
        self.assertEqual(6, len(self.box_rows("adopted")))
        for hold in held:
            hold.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        await self.judged()

    async def test_an_adopter_that_stands_still_in_the_middle_loses_its_share_and_harms_nothing_when_it_goes_on(self):
        held = [(await self.plays_at(0))[2] for _ in range(6)]
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
        for hold in held:
            hold.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        await self.judged()


class Full(Talking):
    async def test_one_that_takes_nothing_more_says_so_and_the_others_share(self):
        await self.all_met()
        held = [await self.media(await self.ask("one", front=0)) for _ in range(8)]
        busy, able = self.fronts[1], self.fronts[2]
        busy.gate.judge, busy.gate.rate = lambda now: None, 20.0  # as when it is behind with what it has
        async with asyncio.timeout(LIMIT):
            while "m1" not in able.fleet.full():
                await self.ask("one", front=2)
        gone = self.fronts[0]
        await self.kill(0)
        await self.until(lambda: len(self.rows("adopted")) == 8, "all are taken over")
        self.assertEqual({"m2"}, {r["manager"] for r in self.rows("adopted")})
        self.assertNotIn("m1", able.members.takers())
        self.assertEqual("%s:%d" % able.address, busy.members.another("somebody"))
        self.fronts.remove(gone)
        for _, writer in held:
            writer.close()


class LateGrants(Talking):
    """What happens at a box between its grant of a claim and the adopter's reading of it."""

    async def adopted(self, meanwhile):
        """A viewing of m0's is claimed after its death; meanwhile(adopter, other, box, key) is done before the adopter
        reads the grant. (adopter, other, {manager: how many it has more than before})."""
        await self.all_met()
        self.held = []
        self.addCleanup(lambda: [writer.close() for _, writer in self.held])
        for m in (1, 2):  # streams of both to every box stand
            for box in self.fronts[m].boxes.places:
                self.fronts[m].boxes.keep_stream(box)
            while not all(f"m{m}" in box.streams for box in self.boxes.values()):
                self.held.append(await self.media(await self.ask("one", front=m)))
        before = {f.name: len(f.viewings) for f in self.fronts[1:]}
        self.held.append(await self.media(await self.ask("one", front=0)))
        late = []

        def slow(front, other):
            call = front.members.call

            async def answered_late(place, method, target, body, *more, **limits):
                answer = await call(place, method, target, body, *more, **limits)
                if target == "/manager/adopt" and not late:
                    late.append((front, other))
                    [key] = body["claims"]
                    box = next(box for box, known in front.boxes.places.items() if known == place)
                    await within(LIMIT, meanwhile(front, other, box, key))
                return answer

            front.members.call = answered_late

        slow(self.fronts[1], self.fronts[2])
        slow(self.fronts[2], self.fronts[1])
        gone = self.fronts[0]
        await self.kill(0)
        await self.until(lambda: late, "somebody has claimed it")
        [(adopter, other)] = late
        await within(LIMIT, asyncio.gather(*adopter.members.jobs.values()))
        await self.nothing_owed(adopter)
        self.fronts.remove(gone)
        return adopter, other, {f.name: len(f.viewings) - before[f.name] for f in self.fronts}

    @staticmethod
    async def nothing_owed(front):
        """Looked at whenever a box has answered."""
        async with asyncio.timeout(LIMIT):
            while front.boxes.owed.count():
                await front.members.call(
                    next(iter(front.boxes.places.values())), "GET", "/manager/sessions?of=none", None, Sessions
                )

    async def claim(self, by, adopter, box, key):
        """Another claim to what the adopter has by its box's word."""
        found = await by.members.call(
            adopter.boxes.places[box], "GET", f"/manager/sessions?of={adopter.name}", None, Sessions
        )
        [row] = [row for row in found.sessions if row.key == key]
        self.assertTrue(await by.tries.claimed(box, row, True))

    async def test_what_another_claims_meanwhile_is_let_go(self):
        # Its box says "over" on the stream before the grant was read: the adopter took that for nothing of its own,
        # then held for good a viewing that another has.
        async def claimed_by_the_other(adopter, other, box, key):
            heard, over = asyncio.Event(), adopter.over_early

            def over_early(ended):
                over(ended)
                if ended == key:
                    heard.set()

            adopter.over_early = over_early
            await self.claim(other, adopter, box, key)
            await heard.wait()

        adopter, other, more = await self.adopted(claimed_by_the_other)
        self.assertEqual({adopter.name: 0, other.name: 1}, more)
        self.assertEqual(len(self.held), self.playing())

    async def test_what_is_to_be_ended_is_not_taken_up_again_under_its_own_name(self):
        # A stream to the box that opens then names the session as its own, which it claimed anew while the end that its
        # client had asked for was on its way: a viewing that stood for good at its manager, of a session that was over.
        # Seen at a step of a set-up, on machines with much to do.
        adopter, _, _ = await self.adopted(lambda adopter, *_: self.nothing_owed(adopter))
        [vw] = [vw for vw in adopter.viewings.values() if vw.name.startswith("m0.")]
        box, key, count = vw.box, vw.key, len(adopter.viewings)
        pushed, adopter.boxes.push_now = adopter.boxes.push_now, lambda box: None  # its orders wait
        adopter.runner.client_left(vw.id)
        adopter.found(box, [key])
        jobs = [job for (_, of), job in adopter.members.jobs.items() if of == adopter.name]
        await within(LIMIT, asyncio.gather(*jobs))
        adopter.boxes.push_now = pushed
        adopter.boxes.push_now(box)
        await self.nothing_owed(adopter)
        self.assertEqual(count - 1, len(adopter.viewings))
        self.assertEqual(len(self.held) - 1, self.playing())

    async def test_what_is_claimed_twice_by_one_manager_is_one_viewing_and_plays_on(self):
        # A client that asks for its first try, and the take-over of its dead manager, may claim one session together.
        adopter, other, more = await self.adopted(
            lambda adopter, other, box, key: self.claim(adopter, adopter, box, key)
        )
        self.assertEqual({adopter.name: 1, other.name: 0}, more)
        self.assertEqual(len(self.held), self.playing())


class Together(Talking):
    async def test_managers_that_leave_together_hand_all_of_it_to_those_that_stay(self):
        # One that was leaving took over its share of another's, after those who stay had asked for what it held itself:
        # that went with it, though clients had been answered. Found by the hunt: four of five restarted at once.
        await self.all_met()
        held = [await self.media(await self.ask("one", front=m)) for m in (0, 1) * 6]
        leaving, stays = self.fronts[:2], self.fronts[2]
        call = stays.members.call

        async def the_others_first(place, method, target, *more, **limits):
            if target == "/manager/adopt":
                while jobs := [job for front in leaving for job in front.members.jobs.values()]:
                    await asyncio.wait(jobs)
            return await call(place, method, target, *more, **limits)

        stays.members.call = the_others_first
        await within(LIMIT, asyncio.gather(*(front.stop() for front in leaving)))
        for front in leaving:
            self.fronts.remove(front)
        self.assertEqual(12, len(stays.viewings))
        self.assertEqual(12, self.playing())
        for _, writer in held:
            writer.close()

    async def test_a_list_that_comes_before_its_members_socket_is_open_is_looked_at(self):
        # Asked whether it leaves, a manager that had only begun answered with a fault, and took nothing of its own up.
        members = self.fronts[0].members
        swim, members.shell.swim = members.shell.swim, None
        self.assertTrue(members.may_take(members.front.name))
        members.shell.swim = swim


class Steps(InHand):
    """A manager that dies or stands still at each step of a set-up; its client asks another under its key."""

    async def standing(self):
        """Keys that stand at boxes, by their records."""
        over = {r["key"] for r in self.box_rows("over")}
        return [r["key"] for r in self.box_rows("begun") if r["key"] not in over]

    async def back(self, step):
        """Manager 0 begins anew, and will end at this step."""
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

    async def walk(self, step, act, sends):
        title = "quay-cam" if sends else "clip-1"
        await self.back(f"{step}:{act}")
        self.n += 1
        wish = Wish(self.n, title, sends, f"ann{self.n}", 8.0, 60.0, None, None, f"key{self.n}", trace_of(5, self.n))
        body, child = offer_of(wish), self.run_.fronts[0].child
        first = asyncio.ensure_future(self.post(0, wish, body))
        if act == "kill":
            await self.died(child)
        else:
            self.run_.lab.put("stall", manager="m0")
            async with asyncio.timeout(LIMIT):
                while "State:\tT" not in pathlib.Path(f"/proc/{child.pid}/status").read_text():
                    await self.get(1)
        reply = await self.post(1, wish, body)
        self.assertEqual(201, reply.status, (step, act, title, reply.body))
        if act == "stop":
            self.run_.fronts[0].signal(signal.SIGCONT)
            self.run_.lab.put("go_on", manager="m0")
        await self.until_standing(1)
        # One manager has it: the one that was asked last, or the first again, whose client is still there.
        await self.held_once()
        for r in await asyncio.gather(first, return_exceptions=True):
            if getattr(r, "status", 0) == 201:  # both were answered: with the same session
                self.assertEqual(reply.headers["location"], r.headers["location"])
        ended = await self.run_.player.end_anywhere(self.at(1), reply.headers["location"])
        self.assertEqual(200, ended.status)
        await self.until_standing(0)

    async def held_once(self):
        async with asyncio.timeout(LIMIT):
            while True:
                states = [await self.get(m) for m in range(3) if self.run_.fronts[m].child.returncode is None]
                if [1, 0] == [sum(s[what] for s in states) for what in ("viewings", "owed")]:
                    return

    async def until_standing(self, count):
        async with asyncio.timeout(LIMIT):
            while len(found := await self.standing()) != count:
                await self.get(1)
        return found

    async def post(self, m, wish, body):
        return await self.run_.player.pool.ask(
            *self.at(m), "POST", target_of(wish), headers_of(wish, TOKEN), body, LIMIT
        )

    async def test_killed_at_each_step(self):
        for step in STEPS:
            for sends in (False, True):
                with self.subTest(step=step, sends=sends):
                    await self.walk(step, "kill", sends)
        await self.ended()

    async def test_stopped_at_each_step(self):
        for step in STEPS:
            for sends in (False, True):
                with self.subTest(step=step, sends=sends):
                    await self.walk(step, "stop", sends)
        await self.ended()

    async def ended(self):
        self.run_.lab.put("end")
        await self.run_.finish()
        made = {}
        for row in self.box_rows("setup"):
            made.setdefault(row["trace"], []).append(row["key"])
        begun = {r["key"] for r in self.box_rows("begun")}
        unsafe = [r["trace"] for r in self.box_rows("setup") if r["sends"]]
        self.assertTrue(unsafe)
        for trace in unsafe:  # what must not be done twice never ran twice
            self.assertEqual(1, len(begun & set(made[trace])), (trace, made[trace]))


class OneEach(Talking):
    """Where the site says that a viewer has one viewing of a title, its next offer goes on from its first."""

    terms = Talking.terms.replace('"gate": false', '"gate": false, "one_per_viewer": true')

    async def test_a_viewer_that_asks_anew_has_one_viewing_whichever_managers_it_asks(self):
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
        fourth = await self.ask("one", front=1, viewer="ann")  # before anybody knows of the death
        await self.until(lambda: self.playing() == 3, "the third one ends")
        self.assertEqual(["plays"] * 4, [seen.fate for seen in (first, again, third, fourth)])
        self.assertEqual(4, len({seen.location for seen in (first, again, third, fourth)}))
        self.assertTrue(gone)

    async def test_what_must_not_be_done_twice_stays_and_the_new_offer_is_refused(self):
        await self.all_met()
        self.assertEqual("plays", (await self.ask("only", sends=True, front=0, viewer="cam")).fate)
        for m in (0, 1, 2):
            seen = await self.ask("only", sends=True, front=m, viewer="cam")
            self.assertEqual(409, seen.status)
        self.assertEqual(1, self.playing())

    async def test_one_that_waits_here_makes_room_and_its_asker_is_told(self):
        await self.all_met()
        for box in self.boxes:
            self.trouble(box, "hang")
        waits = asyncio.ensure_future(self.ask("one", front=0, viewer="ann", patience=4.0))
        await self.until(lambda: any(self.setups(box) for box in self.boxes), "it is on its way")
        for box in self.boxes:
            self.trouble(box, "hang", 0)
        again = await self.ask("one", front=0, viewer="ann")
        self.assertEqual((409, "plays"), ((await waits).status, again.fate))
        await self.until(lambda: self.playing() == 1, "one plays")


class TakenUp(InHand):
    """What plays, while those who take it over die, stand still, come back or are cut off themselves."""

    async def ended(self, held):
        granted = [(r["key"], r["epoch"]) for r in self.box_rows("adopted")]
        self.assertEqual(len(granted), len(set(granted)))
        self.assertEqual([], [r for r in self.box_rows("over") if r["how"] == "lease"])
        for hold in held:
            hold.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        await self.judged()

    async def test_an_adopter_that_dies_at_each_step_leaves_all_to_the_last_one(self):
        # So many that each of two certainly has a share of them: names differ from run to run.
        held, ports = [(await self.plays_at(0))[2] for _ in range(MANY)], {m: self.at(m)[1] for m in range(3)}
        holder = 0
        for step in TAKING:
            # Who holds all of it is killed; the next one dies at this step of taking it over; the third has it all.
            next_, last = (holder + 1) % 3, (holder + 2) % 3
            await self.restart(next_, ports[next_], f"{step}:kill")
            dies = self.run_.fronts[next_].child
            await self.kill(holder)
            self.run_.lab.put("kill", manager=f"m{next_}")
            await self.died(dies)
            await self.everything_held(MANY, [last])
            await self.restart(holder, ports[holder], None)
            await self.restart(next_, ports[next_], None)
            await self.everything_held(MANY, [last])
            holder = last
        await self.ended(held)

    async def restart(self, m, port, step):
        """It begins anew, known to the others and with nothing of its own; it will end at this step."""
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

    async def test_a_dead_one_that_returns_in_the_middle_of_the_claims_and_a_third_of_all_words_lost(self):
        held, port = [(await self.plays_at(0))[2] for _ in range(MANY)], self.at(0)[1]
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
        await self.run_.start_front(0, port)  # it takes up what is its own; m1's claims are on their way
        self.run_.lab.put("back", manager="m0")
        self.run_.fronts[1].signal(signal.SIGCONT)
        self.run_.lab.put("go_on", manager="m1")
        await self.everything_held(MANY, range(3))
        self.heal(lossy)
        await self.everything_held(MANY, range(3))
        await self.ended(held)

    async def test_a_partition_with_both_sides_living_plays_each_viewing_once_and_heals(self):
        held = [(await self.plays_at(m))[2] for m in (0, 0, 1, 1, 2, 2)]
        cut = await self.cut(("m0", "m1"), ("m0", "m2"))
        await self.until(1, lambda s: s["members"]["members"]["m0"]["state"] == "dead")
        await self.until(0, lambda s: not {"m1", "m2"} & set(s["members"]["alive"]))
        # Each side takes the other for dead and claims at boxes, which grant each epoch once.
        await self.everything_held(6, range(3))
        for m in range(3):
            self.assertEqual("plays", (await self.ask(m)).fate)
        self.heal(cut)
        for m in range(3):
            await self.until(m, lambda s: len(s["members"]["alive"]) == 3)
        await self.everything_held(6, range(3))
        await self.ended(held)


class Drained(InHand):
    async def test_a_drain_whose_manager_dies_is_finished_by_the_others_and_said_again_it_drains_nobody(self):
        held, port = [(await self.plays_at(0))[2] for _ in range(4)], self.at(0)[1]
        life = (await self.get(0))["boot"]
        # Its boxes do not hear it, so that its hand-over can't end; then it is killed.
        cut = await self.cut(*(("m0", f"b{b}") for b in (1, 2, 3, 4)), ("m0", "m1"), ("m0", "m2"))
        self.assertEqual(202, (await self.order(0, "m0", life)).status)
        await self.written(lambda: "drain asked for" in (self.out / "front-0.log").read_text())
        await self.kill(0)
        self.heal(cut)
        for m in (1, 2):
            await self.until(m, lambda s: s["members"]["members"]["m0"]["state"] in ("left", "dead"))
        await self.everything_held(4, (1, 2))
        said = await self.order(1, "m0", life)
        self.assertEqual((200, True), (said.status, "over" in json.loads(said.body)))
        await self.run_.start_front(0, port)
        self.run_.lab.put("back", manager="m0")
        for m in (1, 2):  # a member that has not heard of the newcomer yet says that m0 is dead
            await self.until(m, lambda s: s["members"]["members"]["m0"]["state"] == "alive")
        for m in range(3):  # said again, anywhere: the newcomer stays
            said = await self.order(m, "m0", life)
            self.assertEqual((200, "m0 has restarted since"), (said.status, json.loads(said.body)["over"]))
        self.assertEqual(307, (await self.order(2, "m1", "")).status)
        self.assertEqual(404, (await self.order(2, "m9", "")).status)
        self.assertEqual("m0", (await self.get(0))["manager"])
        for hold in held:
            hold.cancel()
        await asyncio.gather(*held, return_exceptions=True)
        await self.judged()

    async def order(self, m, name, life):
        return await self.run_.player.pool.ask(
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
