"""Ends owed to boxes that do not answer, on one manager's sockets: told to a few others, asked for when one is dead."""

import asyncio

import msgspec

from ..recovery import lent
from ..serve.clock import now

TICK_S = 0.1
TELL_S, ASK_S = 0.5, 0.3


class FrontLent:
    def __init__(self, front):
        self.front, self.lending, self.book, self.timer, self.jobs = front, lent.Lending(), lent.LentBook(), None, set()
        self.counts = dict.fromkeys(("told", "carried_out", "not_heard"), 0)

    def start(self):
        if self.front.members.shell is not None:
            self.tick()

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
        for job in list(self.jobs):
            job.cancel()

    def tick(self):
        self.timer = asyncio.get_running_loop().call_later(TICK_S, self.tick)
        for box, keys in self.lending.due(self.front.boxes.owed.standing(), now()).items():
            job = asyncio.get_running_loop().create_task(self.tell(box, keys))
            self.jobs.add(job)
            job.add_done_callback(self.jobs.discard)

    async def tell(self, box, keys):
        front = self.front
        ends = ",".join(f"{key}:{front.boxes.epochs.get(key, 0)}" for key in keys)
        took = await asyncio.gather(
            *(
                self.ask(name, f"/fleet/owed?by={front.name}&box={box}&ends={ends}", TELL_S)
                for name in lent.keepers(box, front.members.alive(), front.name)
            )
        )
        if any(answer is not None for answer in took):
            self.counts["told"] += len(keys)
        else:
            self.lending.unheard(box, keys)

    async def of(self, manager, box):
        """{key: epoch} of the ends that a manager owed to a box, as far as its keepers say."""
        front = self.front
        names = lent.keepers(box, front.members.alive(), manager)
        found = self.book.of(manager, box, now()) if front.name in names else {}
        for answer in await asyncio.gather(
            *(self.ask(name, f"/fleet/owes?of={manager}&box={box}", ASK_S) for name in names if name != front.name)
        ):
            if answer is None:
                self.counts["not_heard"] += 1
            else:
                found.update(answer)
        return found

    async def ask(self, name, target, seconds):
        try:
            result = await self.front.fleet.call(name, target, seconds)
            return msgspec.json.decode(result.body, type=dict[str, int])
        except (OSError, msgspec.MsgspecError):
            return None

    # What others ask

    def asked(self, what, args):
        """The answer to `owed` (take this down) or `owes` (tell what was taken down). ValueError: can't be read."""
        box = int(args["box"]) if args.get("box", "").isdecimal() else -1
        if what == "owes":
            return msgspec.json.encode(self.book.of(args.get("of", ""), box, now()))
        ends = {}
        for row in args.get("ends", "").split(",")[: lent.BATCH]:
            key, _, epoch = row.rpartition(":")
            if not key or not epoch.isdecimal():
                raise ValueError(f"an end that can't be read: {row[:60]!r}")
            ends[key] = int(epoch)
        self.book.take(args.get("by", ""), box, ends, now())
        return b"{}"
