"""First tries on one manager's sockets: who is told of a client's key, who is asked, what boxes say became of it."""

import asyncio
import contextlib

import msgspec

from ..members.rate_limit import LookupQueue
from ..recovery import tries
from ..serve.clock import now
from ..signalling.endpoint import Refusal
from .members import SessionRow, cookie_in

KEEPERS_S, BOX_S, PAUSE_S = 0.15, 0.4, 0.05
FIELD = "Flaxscale-Try"
NOT_KNOWN = Refusal(504, "what became of an earlier try is not known", fate="aborted")


class Stood(SessionRow):
    """A set-up that stands at a box under a client's key."""

    print: str  # of the offer's body
    etag: str
    body: str


class Taken(msgspec.Struct):
    """A box's answer: stood; out: it is still worked on; neither: it can't begin there any more."""

    boot: str
    stood: Stood | None = None
    out: bool = False


class FrontTries:
    def __init__(self, front):
        self.front, self.book, self.jobs = front, tries.TryBook(), {}
        self.looks, self.turns = LookupQueue(), {}  # viewing id: a Future of its turn
        self.counts = dict.fromkeys(("looked_up", "found", "joined", "not_heard", "waited"), 0)

    def stop(self):
        for job in list(self.jobs.values()):
            job.cancel()

    def may_go(self, vw, place):
        """Whether this viewing may be set up at a box's present start."""
        return not vw.mark or place is not None and tries.may_go(vw.taken_at, place.since)

    def fields(self, vw, place):
        """What goes with a set-up of a viewing whose client gave a key."""
        return [(FIELD, f"{vw.mark};{tries.print_of(vw.offer.body)};{place.boot}")] if vw.mark else []

    def first(self, vw, viewer, due, ask):
        """Takes a viewing with a key, or one of a viewer who may have one of a title: ask(age) follows, unless its
        first try stands somewhere and is taken over. due: when its patience ends.
        """
        alive = self.front.members.alive()
        vw.mark = tries.mark_of(viewer, vw.offer.title, vw.offer.key or "")
        if len(alive) < 2:
            self.book.take(vw.mark, self.front.name, self.front.boot, now())
            ask(0)
            return
        job = self.jobs[vw.id] = asyncio.get_running_loop().create_task(self.look(vw, due, ask, alive))
        job.add_done_callback(lambda job: self.over(vw, job))

    def over(self, vw, job):
        self.jobs.pop(vw.id, None)
        if not job.cancelled() and (bad := job.exception()) is not None:
            self.front.lines.error("fault", error=f"{type(bad).__name__}: {bad}", viewing=vw.id)
            self.front.answer_early(vw, Refusal(500, "an error of ours"))

    def left(self, vw):
        """Its client went while its first try was looked for; True where that was so."""
        job = self.jobs.get(vw.id)
        if job is None:
            return False
        job.cancel()
        self.front.dismiss(vw)
        return True

    async def look(self, vw, due, ask, alive):
        front = self.front
        self.counts["looked_up"] += 1
        named = tries.keepers(vw.mark, alive)
        found = [self.book.take(vw.mark, front.name, front.boot, now())] if front.name in named else []
        found += await asyncio.gather(*(self.ask_keeper(name, vw.mark) for name in named if name != front.name))
        front.steps.at("told")
        first = tries.first_of(found, self.unsafe(vw))
        if first is None:
            ask(0)
            return
        self.counts["found"] += 1
        try:
            if await self.turn(vw, due):
                await self.take(vw, due, ask, *first)
            else:
                front.answer_early(vw, NOT_KNOWN)
        finally:
            self.turns.pop(vw.id, None)
            following = self.turns.get(self.looks.leave(vw.id))
            if following is not None and not following.done():
                following.set_result(True)

    async def turn(self, vw, due):
        """Waits until this look-up may go on; False where its patience ends before that."""
        package = self.front.entry(vw.offer.title, vw.offer.sends)[1]
        if self.looks.enter(vw.id, self.front.site.packages[package].value if package else 0):
            return True
        self.counts["waited"] += 1
        turn = self.turns[vw.id] = asyncio.get_running_loop().create_future()
        return bool((await asyncio.wait({turn}, timeout=max(0, due - now()) / 10_000))[0])

    async def ask_keeper(self, name, mark):
        """(manager, age) of an earlier try, None, or SILENT; the keeper notes at once that it is ours from now on."""
        front = self.front
        try:
            result = await front.fleet.call(
                name, f"/fleet/try?mark={mark}&by={front.name}&boot={front.boot}", KEEPERS_S
            )
            return msgspec.json.decode(result.body, type=tuple[str, int] | None)
        except (OSError, msgspec.MsgspecError):
            self.counts["not_heard"] += 1
            return tries.SILENT

    def unsafe(self, vw):
        package = self.front.entry(vw.offer.title, vw.offer.sends)[1]
        return package is not None and self.front.site.packages[package].effect == "unsafe"

    async def take(self, vw, due, ask, manager, age):
        """Boxes that may hold the title are asked, all at once, until each has said what it has or can't have."""
        front, unsafe, said = self.front, self.unsafe(vw), {}
        ask_now = tries.Ask(tuple(box for box in front.holders(vw.offer.title) if box in front.boxes.places))
        while isinstance(ask_now, tries.Ask):
            for box, answer in zip(
                ask_now.boxes, await asyncio.gather(*(self.ask_box(box, vw) for box in ask_now.boxes))
            ):
                said[box] = answer
            # One that we are just ending ourselves is over.
            ask_now = tries.settle(
                {
                    box: a and tries.Said(a.stood is not None and a.stood.key not in front.boxes.owed.keys(box), a.out)
                    for box, a in said.items()
                },
                unsafe,
            )
            if isinstance(ask_now, tries.Join):
                await self.settle(vw, due, ask, age, ask_now.box, said[ask_now.box].stood)
                return
            if isinstance(ask_now, tries.Ask):
                if now() >= due:
                    front.lines.info("first try not settled", viewing=vw.id, of=manager, boxes=ask_now.boxes)
                    front.answer_early(vw, NOT_KNOWN)
                    return
                await asyncio.sleep(PAUSE_S)
        front.lines.info("first try barred", viewing=vw.id, of=manager, age=age)
        ask(age)

    async def ask_box(self, box, vw):
        place = self.front.boxes.places.get(box)
        if place is None:
            return None
        with contextlib.suppress(OSError, asyncio.TimeoutError, msgspec.MsgspecError):
            return await self.front.members.call(
                place, "POST", "/manager/tries", {"mark": vw.mark}, Taken, within=BOX_S
            )
        return None

    async def settle(self, vw, due, ask, age, box, stood):
        """What stands is ours from now on: its answer is this client's too, or it makes room for this one."""
        front, same = self.front, stood.print == tries.print_of(vw.offer.body)
        if not same and vw.offer.key is not None:
            front.answer_early(vw, Refusal(422, "this Idempotency-Key came with another offer before"))
            return
        if not same and self.unsafe(vw):
            front.answer_early(vw, Refusal(409, "this viewer pushes this title already", [("Retry-After", "1")]))
            return
        try:
            async with asyncio.timeout(max(0, due - now()) / 10_000):
                got = await self.claimed(box, stood, same)
        except TimeoutError:
            front.let_end(box, stood.key, stood.epoch + 1, "claim not answered in time")
            front.answer_early(vw, Refusal(504, "what became of an earlier try is not known", fate="aborted"))
            return
        if got and not same:
            front.lines.info("in place of its first try", viewing=vw.id, of=stood.key, age=age)
            ask(age)
            return
        held = front.names.get(cookie_in(stood.cookie).name) if same else None
        if held is None:
            front.answer_early(
                vw, Refusal(503, "an earlier try plays elsewhere", [("Retry-After", "1")], fate="blocked")
            )
            return
        self.counts["joined"] += 1
        front.joined(vw, held, stood)

    async def claimed(self, box, stood, keep):
        """Claims a session that stands; True where it is ours. keep: it plays on; else it is ended."""
        front = self.front
        place, cookie, key, epoch = front.boxes.places[box], cookie_in(stood.cookie), stood.key, stood.epoch + 1
        seat = front.seat_of(cookie)
        if seat is None or keep and (not front.has_seat(seat, False) or cookie.name in front.names):
            return False
        front.members.book.claim(key, seat)
        front.members.reserve()
        good = await front.members.granted(box, place, {key: epoch})
        if good and keep:
            front.adopted(box, place, key, epoch, stood, cookie, place.boot, False)
        elif good:
            front.let_end(box, key, epoch, "its viewer asks anew")
        front.members.ended_there(key)
        return bool(good)

    # What others ask

    def asked(self, args):
        """A member looks for an earlier try than its own, and has it in hand from now on."""
        mark, by, boot = (args.get(key, "") for key in ("mark", "by", "boot"))
        return msgspec.json.encode(self.book.take(mark, by, boot, now()))
