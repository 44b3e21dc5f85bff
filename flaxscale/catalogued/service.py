"""The catalogue service: gRPC over a Keeper. Changes are gathered for a moment, made durable together, then told."""

import asyncio
import secrets
from collections import deque

import grpc
import msgspec

from ..catalogue import wire
from ..catalogue.keep import Keeper
from ..catalogue.spread import PART, Watcher, Whole
from ..catalogue.state import Behind, Delta, Op, Refused
from ..leases import duties
from ..proto import catalogue_pb2 as pb
from ..proto import catalogue_pb2_grpc as pb_grpc
from ..proto import peaks_pb2_grpc
from ..serve.clock import now
from ..site.shapes import FleetRow
from ..versions import floor as floors
from .leases import LeaseService
from .peaks import ID_LIMIT, PeakService
from .resuming import Resuming
from .streams import first_of, hear_all

GATHER_S = 0.002  # changes that come within this become durable with one sync
EPOCH_FILE = "epoch"
LOOK_S = 0.5  # the rule that raises floors looks so often
LIVING = 10  # times behind_s: a manager not heard for so long is no longer counted as living


class Service(pb_grpc.CatalogueServicer):
    def __init__(self, files, frame, log, record=None, peak_files=None, fleet=None, lease_files=None, tasks=None):
        """record, if given, gets the versions as they are settled and the acknowledgements as they come.

        peak_files: where announced peaks are kept; none are served where it is left out.
        fleet: the site's row of that name, for floors; its usual figures where it is left out.
        lease_files, tasks: where leases are kept, and the duties that are on; none granted where either is left out.
        """
        self.files, self.log, self.record = files, log, record
        self.keeper = Keeper(files, frame)
        self.epoch, self.fleet = self.epoch_of(files), fleet or FleetRow(1, 1, {}, 1, 1)
        self.settled_at, self.ruler = deque([(self.keeper.settled, now())], 1000), None
        self.watchers, self.wakes = {}, {}
        self.waiting, self.settling, self.staged = [], None, []
        self.broken, self.resuming = None, Resuming(self.keeper.resume, self.resumed)
        self.server, self.stopped = None, asyncio.Event()
        self.peaks = peak_files and PeakService(peak_files, self.epoch, frame, lambda: self.keeper.now.titles, log)
        self.leases = LeaseService(lease_files, tasks, self.act, log, record) if lease_files and tasks else None
        self.tell_record(self.keeper.settled, self.keeper.now.titles)

    def epoch_of(self, files):
        """One name for the life of this store; a store begun anew is another."""
        if EPOCH_FILE in files.names():
            return files.read(EPOCH_FILE).decode()
        epoch = secrets.token_hex(6)
        self.put_epoch(files, epoch)
        return epoch

    @staticmethod
    def put_epoch(files, epoch):
        part = EPOCH_FILE + ".part"  # a start removes it where it is not whole
        if part in files.names():
            files.remove(part)
        files.append(part, epoch.encode())
        files.sync(part)
        files.rename(part, EPOCH_FILE)

    def outlived(self, watcher, version):
        """A watcher holds what this store never settled: it was put back from an older copy. Its versions from here on
        are others than those that were told under these numbers, so that it is another epoch."""
        was, self.epoch = self.epoch, secrets.token_hex(6)
        self.put_epoch(self.files, self.epoch)
        if self.peaks is not None:
            self.peaks.epoch = self.epoch
        self.log.error(
            "store older than what was told: another epoch",
            watcher=watcher,
            holds=version,
            settled=self.keeper.settled,
            was=was,
            epoch=self.epoch,
        )
        self.watchers.clear()  # each comes again, and gets the whole
        for wake in self.wakes.values():
            wake.set()

    async def start(self, host, port):
        self.server = grpc.aio.server(options=[("grpc.max_receive_message_length", 64 << 20), ("grpc.so_reuseport", 0)])
        pb_grpc.add_CatalogueServicer_to_server(self, self.server)
        if self.peaks is not None:
            peaks_pb2_grpc.add_PeaksServicer_to_server(self.peaks, self.server)
        bound = self.server.add_insecure_port(f"{host}:{port}")
        if not bound:
            raise OSError(f"{host}:{port} can't be listened on")
        await self.server.start()
        if self.fleet.floor_by_rule and not (self.leases and "floors" in self.leases.tasks):
            self.ruler = asyncio.ensure_future(self.rule())
        return host, bound

    async def stop(self):
        self.stopped.set()
        if self.ruler is not None:
            self.ruler.cancel()
        self.resuming.stop()
        if self.leases is not None:
            self.leases.stop()
        if self.peaks is not None:
            self.peaks.stop()
        for wake in self.wakes.values():
            wake.set()
        if self.server:
            await self.server.stop(0.5)

    # Changes

    def in_use(self):
        """The seats in use at the manager that uses most, by title and package."""
        most = {}
        for watcher in self.watchers.values():
            for key, count in watcher.in_use.items():
                most[key] = max(most.get(key, 0), count)
        return most

    async def Change(self, request, context):
        if (before := await self.made_before(request.id, context)) is not None:
            return before
        try:
            ops = msgspec.json.decode(request.ops, type=list[Op])
        except msgspec.MsgspecError as bad:
            return pb.ChangeReply(version=self.keeper.settled, faults=[f"the change set can't be read: {bad}"])
        return await self.change(
            ops,
            request.expect if request.HasField("expect") else None,
            request.force,
            request.dry,
            request.who,
            request.why,
            context,
            request.id,
        )

    async def Rollback(self, request, context):
        if (before := await self.made_before(request.id, context)) is not None:
            return before
        ops = self.keeper.back_to(request.to)
        if ops is None:
            return pb.ChangeReply(version=self.keeper.settled, faults=[f"version {request.to} is not known here"])
        if not ops:
            return pb.ChangeReply(version=self.keeper.settled)
        return await self.change(
            ops,
            request.expect if request.HasField("expect") else self.keeper.now.version,
            True,
            False,
            request.who,
            f"rollback to version {request.to}",
            context,
            request.id,
        )

    async def usable(self, context):
        if self.broken is not None:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, f"the store takes nothing more: {self.broken}")

    async def made_before(self, id, context):
        """What was answered to this id, or would have been, once it is durable; None where it is new."""
        if len(id) > ID_LIMIT:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, f"an id of {ID_LIMIT} characters at most")
        if not id or id not in self.keeper.done:
            return None
        version, changed = self.keeper.done[id]
        if version > self.keeper.settled:
            if self.broken is not None:
                return None  # whether it was made only a start can tell; it is refused below
            await self.durable(None)
        return pb.ChangeReply(version=version, changed=changed)

    async def change(self, ops, expect, force, dry, who, why, context, id=""):
        await self.usable(context)
        keeper = self.keeper
        try:
            if dry:
                trial = type(keeper.now)(keeper.now.frame, keeper.now.version, keeper.now.titles)
                return pb.ChangeReply(
                    version=trial.version, changed=len(trial.apply(ops, expect, self.in_use(), force).titles)
                )
            delta = keeper.stage(ops, expect, self.in_use(), force, who[:100], why[:500], id)
        except Behind as late:
            return pb.ChangeReply(version=keeper.settled, behind=str(late))
        except Refused as no:
            return pb.ChangeReply(version=keeper.settled, faults=[str(f) for f in no.faults[:1000]])
        if not delta.titles:
            return pb.ChangeReply(version=delta.version)
        await self.durable(delta)
        return pb.ChangeReply(version=delta.version, changed=len(delta.titles))

    def durable(self, delta):
        """A future of its being durable. delta: None where it is another's, staged before."""
        done = asyncio.get_running_loop().create_future()
        self.waiting.append(done)
        if delta is not None:
            self.staged.append(delta)
        if self.settling is None:
            self.settling = asyncio.get_running_loop().call_later(GATHER_S, self.settle)
        return done

    # Floors

    def managers(self):
        """Managers that live, as far as this service hears of them."""
        most = round(LIVING * self.fleet.behind_s * 10_000)
        seen = [
            floors.WatcherVersion(name, w.acked, 0 if name in self.wakes else now() - w.heard_at)
            for name, w in sorted(self.watchers.items())
            if w.role == "manager"
        ]
        return [w for w in seen if w.heard_ago <= most]

    async def Floor(self, request, context):
        await self.usable(context)
        keeper, watching = self.keeper, self.managers()

        def reply(**more):
            return pb.FloorReply(
                epoch=self.epoch,
                version=keeper.settled,
                floor=keeper.floor,
                under=floors.below_floor(keeper.floor, watching) if keeper.floor else [],
                **more,
            )

        if not request.floor:
            return reply()
        if await self.made_before(request.id, context) is not None:
            return reply()
        share = 1.0 if request.force else self.fleet.floor_share
        if no := floors.objection(request.floor, keeper.settled, watching, share):
            return reply(refused=no)
        delta = keeper.stage_floor(request.floor, request.who[:100], request.why[:500], request.id)
        if delta is None:
            return reply(refused=f"a floor is only raised: {keeper.now.floor} stands")
        await self.durable(delta)
        self.log.info("floor raised", floor=delta.floor, version=delta.version, who=request.who[:100])
        return reply()

    async def rule(self):
        """Raises the floor by the stated rule, while the settings have it."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self.broken is not None or self.staged:
                continue
            floor = floors.automatic_floor(
                self.settled_at, now(), round(self.fleet.behind_s * 10_000), self.managers(), self.fleet.floor_share
            )
            if floor is not None and floor > self.keeper.floor:
                delta = self.keeper.stage_floor(floor, "", f"settled for {self.fleet.behind_s:g} s")
                try:
                    await self.durable(delta)
                except grpc.aio.AbortError:
                    continue  # the store failed: said where it did
                self.log.info("floor raised", floor=floor, version=delta.version, who="rule")

    def settle(self):
        """One sync for all that waits; only then is any of it told or acknowledged."""
        self.settling, waiting, self.waiting = None, self.waiting, []
        try:
            version = self.keeper.settle()
        except OSError as bad:
            # What reached the disk is not known: nothing more is taken until the state was written anew.
            self.broken = bad
            self.log.error("store failed", detail=str(bad))
            self.resuming.begin()
            for done in waiting:
                if not done.done():
                    done.set_exception(grpc.aio.AbortError("the store failed; whether it was made is not known"))
            return
        self.log.info("settled", version=version, changes=len(waiting))
        self.tell_settled(version)
        for done in waiting:
            if not done.done():
                done.set_result(version)

    def resumed(self):
        """A store that had failed takes records again; what was staged then is settled."""
        self.broken = None
        self.log.info("store taken up again", version=self.keeper.settled)
        self.tell_settled(self.keeper.settled)

    def tell_settled(self, version):
        """To the record and to all who watch."""
        self.settled_at.append((version, now()))
        staged, self.staged = self.staged, []
        for delta in staged:
            self.tell_record(delta.version, delta.titles, delta.floor)
        for wake in self.wakes.values():
            wake.set()

    # Duties: what is done here under a lease

    async def act(self, task, what, owner):
        """One act on this service; what is told of it. ValueError: it can't be done."""
        keeper = self.keeper
        if self.broken is not None:
            raise ValueError("the store takes nothing more")
        if task == "compact":
            records = keeper.log.since_snapshot
            if records < duties.COMPACT_OVER:
                return {"records": records, "compacted": False}
            keeper.compact()
            return {"records": records, "compacted": True}
        if task == "floors":
            floor = floors.automatic_floor(
                self.settled_at, now(), round(self.fleet.behind_s * 10_000), self.managers(), self.fleet.floor_share
            )
            if floor is None or floor <= keeper.floor or self.staged:
                return {"floor": keeper.floor, "raised": False}
            delta = keeper.stage_floor(floor, owner[:100], f"settled for {self.fleet.behind_s:g} s")
            await self.durable(delta)
            self.log.info("floor raised", floor=floor, version=delta.version, who=owner[:100])
            return {"floor": floor, "raised": True}
        if task in ("copies", "reports"):
            return {**what, "at_version": keeper.settled}
        raise ValueError(f"{task}: not a duty that acts on this service")

    async def Leases(self, request, context):
        if self.leases is None:
            return pb.LeasesReply(on=False)
        return await self.leases.tell(request)

    # Watching

    async def Watch(self, requests, context):
        first = await first_of(context)
        if first is None:
            return
        if first.epoch == self.epoch and first.version > self.keeper.settled:
            self.outlived(first.name, first.version)
        await context.send_initial_metadata(())  # so that it knows that it is heard, with nothing to tell
        watcher = Watcher(first.name, first.role, first.epoch, first.version if first.epoch else None, self.epoch)
        wake = asyncio.Event()
        self.watchers[first.name], self.wakes[first.name] = watcher, wake
        self.hear(watcher, first)
        self.log.info("watched", watcher=first.name, holds=first.version, epoch=first.epoch)
        answers, jobs = [], set()

        def tell(reply):
            answers.append(reply)
            wake.set()

        def hear(said):
            self.hear(watcher, said)
            if self.leases is not None and (said.leases or said.acts):
                job = asyncio.ensure_future(self.leases.hear(said, tell))
                jobs.add(job)
                job.add_done_callback(jobs.discard)
            wake.set()

        reader = asyncio.ensure_future(hear_all(context, hear, wake))
        try:
            while not self.stopped.is_set() and not reader.done():
                wake.clear()
                while answers:
                    await context.write(answers.pop(0))
                while self.watchers.get(first.name) is watcher and (message := watcher.next(self.keeper)) is not None:
                    if self.record and (isinstance(message, Delta) or message.last):
                        self.record.put("told", watcher=first.name, version=message.version)
                    await context.write(wire.reply_out(self.epoch, message))
                if self.watchers.get(first.name) is not watcher:
                    return  # it came again by another stream
                await wake.wait()
        finally:
            reader.cancel()
            for job in jobs:
                job.cancel()
            if self.wakes.get(first.name) is wake:
                del self.wakes[first.name]

    def hear(self, watcher, said):
        watcher.heard_at = now()
        if said.WhichOneof("says") == "ack":
            watcher.ack(said.ack)
            if self.record:
                self.record.put("ack", watcher=watcher.name, version=said.ack)
        elif said.WhichOneof("says") == "refusal":
            watcher.nack(said.refusal.version, said.refusal.why)
            self.log.warning("refused", watcher=watcher.name, version=said.refusal.version, why=said.refusal.why)
        if said.in_use or said.WhichOneof("says") == "ack":
            watcher.in_use = {(s.title, s.package): s.count for s in said.in_use}

    def tell_record(self, version, titles, floor=0):
        """What a version says, for whoever judges a day."""
        if self.record:
            self.record.put(
                "version",
                version=version,
                floor=floor,
                epoch=self.epoch,
                titles={
                    name: t
                    and {
                        "holders": {str(b): s for b, s in t.holders},
                        "seats": dict(t.seats),
                        "low": t.low,
                        "top": t.top,
                    }
                    for name, t in titles.items()
                },
            )

    # Looking

    async def Get(self, request, context):
        keeper = self.keeper
        version = request.version if request.HasField("version") else keeper.settled
        titles = keeper.titles_at(version)
        if titles is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, f"version {version} is not known here")
        rows = [titles[name] for name in request.titles if name in titles] if request.titles else list(titles.values())
        parts = [rows[n : n + PART] for n in range(0, len(rows), PART)] or [[]]
        for n, part in enumerate(parts):
            yield wire.part_out(Whole(version, part, n == 0, n + 1 == len(parts), keeper.floor))

    async def History(self, request, context):
        versions = [v for v in self.keeper.history if v <= self.keeper.settled][-(request.last or 20) :]
        return pb.HistoryReply(
            changes=[
                pb.Change(
                    version=v,
                    who=self.keeper.history[v][1],
                    why=self.keeper.history[v][2],
                    titles=list(self.keeper.history[v][0].titles)[:1000],
                )
                for v in versions
            ]
        )

    async def Who(self, request, context):
        return pb.WhoReply(
            epoch=self.epoch,
            version=self.keeper.settled,
            watchers=[
                pb.Watcher(
                    name=w.name,
                    role=w.role,
                    acked=w.acked,
                    refused=w.refused,
                    why=w.why,
                    connected=name in self.wakes,
                    heard_ms_ago=(now() - w.heard_at) // 10,
                )
                for name, w in sorted(self.watchers.items())
            ],
        )
