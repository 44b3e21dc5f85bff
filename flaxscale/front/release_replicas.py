"""Pending releases of boxes that do not answer: replicated to a few other managers in case this one dies."""

import asyncio

import msgspec

from ..recovery import release_replicas
from ..serve.clock import now

TICK_INTERVAL_S = 0.1
REPLICATE_TIMEOUT_S = 0.5
QUERY_TIMEOUT_S = 0.3


class FrontReleaseReplicas:
    """Replicates pending releases and stores those of other managers."""

    def __init__(self, front):
        self.front, self.outgoing, self.received, self.timer, self.jobs = (
            front,
            release_replicas.Replicator(),
            release_replicas.ReplicaStore(),
            None,
            set(),
        )
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
        self.timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self.tick)
        for box, keys in self.outgoing.due(self.front.boxes.pending_releases.pending_releases(), now()).items():
            job = asyncio.get_running_loop().create_task(self.replicate(box, keys))
            self.jobs.add(job)
            job.add_done_callback(self.jobs.discard)

    async def replicate(self, box, keys):
        front = self.front
        releases = ",".join(f"{key}:{front.boxes.epochs.get(key, 0)}" for key in keys)
        answers = await asyncio.gather(
            *(
                self.query(name, f"/fleet/owed?by={front.name}&box={box}&ends={releases}", REPLICATE_TIMEOUT_S)
                for name in release_replicas.replicas_for(box, front.members.alive(), front.name)
            )
        )
        if any(answer is not None for answer in answers):
            self.counts["told"] += len(keys)
        else:
            self.outgoing.not_delivered(box, keys)

    async def pending_for(self, manager, box):
        """Returns {key: epoch} of a manager's pending releases at a box, as far as its keepers know them."""
        front = self.front
        keeper_names = release_replicas.replicas_for(box, front.members.alive(), manager)
        found = self.received.pending(manager, box, now()) if front.name in keeper_names else {}
        for answer in await asyncio.gather(
            *(
                self.query(name, f"/fleet/owes?of={manager}&box={box}", QUERY_TIMEOUT_S)
                for name in keeper_names
                if name != front.name
            )
        ):
            if answer is None:
                self.counts["not_heard"] += 1
            else:
                found.update(answer)
        return found

    async def query(self, name, target, timeout_s):
        try:
            result = await self.front.fleet.call(name, target, timeout_s)
            return msgspec.json.decode(result.body, type=dict[str, int])
        except (OSError, msgspec.MsgspecError):
            return None

    # Requests from other managers

    def handle_request(self, resource, args):
        """Answers `owed` (store these releases) or `owes` (return stored ones); ValueError if unreadable."""
        box = int(args["box"]) if args.get("box", "").isdecimal() else -1
        if resource == "owes":
            return msgspec.json.encode(self.received.pending(args.get("of", ""), box, now()))
        releases = {}
        for row in args.get("ends", "").split(",")[: release_replicas.BATCH_SIZE]:
            key, _, epoch = row.rpartition(":")
            if not key or not epoch.isdecimal():
                raise ValueError(f"unreadable release: {row[:60]!r}")
            releases[key] = int(epoch)
        self.received.store(args.get("by", ""), box, releases, now())
        return b"{}"
