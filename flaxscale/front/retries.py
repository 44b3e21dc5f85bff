"""Retries of a client at one manager: looks up an earlier attempt at other managers and settles it with the boxes."""

import asyncio
import contextlib

import msgspec

from ..members.rate_limit import LookupQueue
from ..recovery import key_registry
from ..serve.clock import now
from ..signalling.endpoint import Refusal
from .members import SessionRow, decode_cookie

KEEPER_TIMEOUT_S = 0.15  # for a member that may know of an earlier attempt
BOX_TIMEOUT_S = 0.4
BOX_RETRY_PAUSE_S = 0.05  # pause between two queries of the same box
RETRY_HEADER = "Flaxscale-Try"
OUTCOME_UNKNOWN = Refusal(504, "the outcome of an earlier attempt is unknown", fate="aborted")


class EarlierSession(SessionRow):
    """A session at a box that an earlier attempt under the client's key has set up."""

    print: str  # digest of the offer
    etag: str
    body: str


class BoxReport(msgspec.Struct):
    """A box's report on a key: the session; out: a set-up is in progress; neither: none can begin any more."""

    boot: str
    stood: EarlierSession | None = None
    out: bool = False


class FrontRetries:
    """Look-ups of clients' earlier attempts at one manager."""

    def __init__(self, front):
        self.front, self.known_attempts, self.lookups = front, key_registry.KeyRegistry(), {}
        # slot_waiters: {viewing id: Future set when its look-up may start}
        self.lookup_slots, self.slot_waiters = LookupQueue(), {}
        self.counts = dict.fromkeys(("looked_up", "found", "joined", "not_heard", "waited"), 0)

    def stop(self):
        for job in list(self.lookups.values()):
            job.cancel()

    def may_set_up(self, viewing, place):
        """Tells whether a set-up of this viewing is allowed at the current boot of a box."""
        return (
            not viewing.key_digest
            or place is not None
            and key_registry.may_set_up(viewing.accepted_at, place.first_seen_at)
        )

    def setup_headers(self, viewing, place):
        """Returns the additional headers of a set-up whose client gave a key."""
        return (
            [(RETRY_HEADER, f"{viewing.key_digest};{key_registry.offer_digest(viewing.offer.body)};{place.boot}")]
            if viewing.key_digest
            else []
        )

    def start(self, viewing, viewer, deadline, proceed):
        """Starts a viewing that has a key, or whose viewer may have only one viewing of the title.

        Calls proceed(age), unless the session of an earlier attempt is found and taken over.
        deadline: when the client's patience ends.
        """
        alive = self.front.members.alive()
        viewing.key_digest = key_registry.key_digest(viewer, viewing.offer.title, viewing.offer.key or "")
        if len(alive) < 2:
            self.known_attempts.register(viewing.key_digest, self.front.name, self.front.boot, now())
            proceed(0)
            return
        job = self.lookups[viewing.id] = asyncio.get_running_loop().create_task(
            self.look_up(viewing, deadline, proceed, alive)
        )
        job.add_done_callback(lambda job: self.lookup_done(viewing, job))

    def lookup_done(self, viewing, job):
        self.lookups.pop(viewing.id, None)
        if not job.cancelled() and (error := job.exception()) is not None:
            self.front.logger.error("fault", error=f"{type(error).__name__}: {error}", viewing=viewing.id)
            self.front.refuse_unplaced(viewing, Refusal(500, "An error of ours"))

    def cancel(self, viewing):
        """Cancels the look-up of a viewing whose client left; False if there is none."""
        job = self.lookups.get(viewing.id)
        if job is None:
            return False
        job.cancel()
        self.front.drop_viewing(viewing)
        return True

    async def look_up(self, viewing, deadline, proceed, alive):
        front = self.front
        self.counts["looked_up"] += 1
        keeper_names = key_registry.replicas_for(viewing.key_digest, alive)
        found = (
            [self.known_attempts.register(viewing.key_digest, front.name, front.boot, now())]
            if front.name in keeper_names
            else []
        )
        found += await asyncio.gather(
            *(self.ask_keeper(name, viewing.key_digest) for name in keeper_names if name != front.name)
        )
        front.failpoints.reach("told")
        earlier = key_registry.earliest_registration(found, self.is_unsafe(viewing))
        if earlier is None:
            proceed(0)
            return
        self.counts["found"] += 1
        try:
            if await self.wait_for_slot(viewing, deadline):
                await self.settle_at_boxes(viewing, deadline, proceed, *earlier)
            else:
                front.refuse_unplaced(viewing, OUTCOME_UNKNOWN)
        finally:
            self.slot_waiters.pop(viewing.id, None)
            next_waiter = self.slot_waiters.get(self.lookup_slots.leave(viewing.id))
            if next_waiter is not None and not next_waiter.done():
                next_waiter.set_result(True)

    async def wait_for_slot(self, viewing, deadline):
        """Waits for a free look-up slot; False if the deadline passes first."""
        package = self.front.title_entry(viewing.offer.title, viewing.offer.sends)[1]
        if self.lookup_slots.enter(viewing.id, self.front.site.packages[package].value if package else 0):
            return True
        self.counts["waited"] += 1
        granted = self.slot_waiters[viewing.id] = asyncio.get_running_loop().create_future()
        return bool((await asyncio.wait({granted}, timeout=max(0, deadline - now()) / 10_000))[0])

    async def ask_keeper(self, name, key_digest):
        """Returns (manager, age) of an earlier attempt, None, or SILENT; registers this manager as the latest one."""
        front = self.front
        try:
            result = await front.fleet.call(
                name, f"/fleet/try?mark={key_digest}&by={front.name}&boot={front.boot}", KEEPER_TIMEOUT_S
            )
            return msgspec.json.decode(result.body, type=tuple[str, int] | None)
        except (OSError, msgspec.MsgspecError):
            self.counts["not_heard"] += 1
            return key_registry.SILENT

    def is_unsafe(self, viewing):
        package = self.front.title_entry(viewing.offer.title, viewing.offer.sends)[1]
        return package is not None and self.front.site.packages[package].effect == "unsafe"

    async def settle_at_boxes(self, viewing, deadline, proceed, manager, age):
        """Asks all boxes that may hold the title concurrently, until each has reported a session or barred the key."""
        front, is_unsafe, reports = self.front, self.is_unsafe(viewing), {}
        step = key_registry.AskBoxes(
            tuple(box for box in front.holders(viewing.offer.title) if box in front.boxes.places)
        )
        while isinstance(step, key_registry.AskBoxes):
            for box, answer in zip(
                step.boxes, await asyncio.gather(*(self.ask_box(box, viewing) for box in step.boxes))
            ):
                reports[box] = answer
            # A session that this manager is already ending counts as over.
            step = key_registry.next_step(
                {
                    box: report
                    and key_registry.BoxAnswer(
                        report.stood is not None
                        and report.stood.key not in front.boxes.pending_releases.release_keys(box),
                        report.out,
                    )
                    for box, report in reports.items()
                },
                is_unsafe,
            )
            if isinstance(step, key_registry.TakeOver):
                await self.join_or_replace(viewing, deadline, proceed, age, step.box, reports[step.box].stood)
                return
            if isinstance(step, key_registry.AskBoxes):
                if now() >= deadline:
                    front.logger.info("earlier attempt not settled", viewing=viewing.id, of=manager, boxes=step.boxes)
                    front.refuse_unplaced(viewing, OUTCOME_UNKNOWN)
                    return
                await asyncio.sleep(BOX_RETRY_PAUSE_S)
        front.logger.info("first try barred", viewing=viewing.id, of=manager, age=age)
        proceed(age)

    async def ask_box(self, box, viewing):
        place = self.front.boxes.places.get(box)
        if place is None:
            return None
        with contextlib.suppress(OSError, asyncio.TimeoutError, msgspec.MsgspecError):
            return await self.front.members.call(
                place, "POST", "/manager/tries", {"mark": viewing.key_digest}, BoxReport, timeout_s=BOX_TIMEOUT_S
            )
        return None

    async def join_or_replace(self, viewing, deadline, proceed, age, box, earlier):
        """Claims the earlier session: answers the client with it if the offer is the same, else replaces it."""
        front, same_offer = self.front, earlier.print == key_registry.offer_digest(viewing.offer.body)
        if not same_offer and viewing.offer.key is not None:
            front.refuse_unplaced(viewing, Refusal(422, "this Idempotency-Key was used with another offer before"))
            return
        if not same_offer and self.is_unsafe(viewing):
            front.refuse_unplaced(
                viewing, Refusal(409, "this viewer pushes this title already", [("Retry-After", "1")])
            )
            return
        try:
            async with asyncio.timeout(max(0, deadline - now()) / 10_000):
                claimed = await self.claim(box, earlier, same_offer)
        except TimeoutError:
            front.end_unheld(box, earlier.key, earlier.epoch + 1, "claim not answered in time")
            front.refuse_unplaced(viewing, Refusal(504, "the outcome of an earlier attempt is unknown", fate="aborted"))
            return
        if claimed and not same_offer:
            front.logger.info("earlier viewing replaced", viewing=viewing.id, of=earlier.key, age=age)
            proceed(age)
            return
        taken_over = front.sessions_by_name.get(decode_cookie(earlier.cookie).name) if same_offer else None
        if taken_over is None:
            front.refuse_unplaced(
                viewing,
                Refusal(503, "an earlier attempt plays at another manager", [("Retry-After", "1")], fate="blocked"),
            )
            return
        self.counts["joined"] += 1
        front.answer_joined(viewing, taken_over, earlier)

    async def claim(self, box, earlier, keep):
        """Claims an earlier session; True if granted. keep: the session continues; otherwise it is ended."""
        front = self.front
        place, cookie, key, epoch = (
            front.boxes.places[box],
            decode_cookie(earlier.cookie),
            earlier.key,
            earlier.epoch + 1,
        )
        seat = front.seat_for(cookie)
        if seat is None or keep and (not front.has_free_seat(seat, False) or cookie.name in front.sessions_by_name):
            return False
        front.members.seat_claims.claim(key, seat)
        front.members.update_reservations()
        granted = await front.members.request_claims(box, place, {key: epoch})
        if granted and keep:
            front.adopt(box, place, key, epoch, earlier, cookie, place.boot, False)
        elif granted:
            front.end_unheld(box, key, epoch, "replaced by a retry with another offer")
        front.members.ended_at_box(key)
        return bool(granted)

    # Requests from other managers

    def handle_lookup(self, args):
        """Answers a member that looks up an earlier attempt and registers that member as the latest one."""
        key_digest, manager, boot = (args.get(key, "") for key in ("mark", "by", "boot"))
        return msgspec.json.encode(self.known_attempts.register(key_digest, manager, boot, now()))
