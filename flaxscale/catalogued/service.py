"""The catalogue service: gRPC over a DurableCatalogue. Changes are made durable in groups and then published."""

import asyncio
import secrets
from collections import deque

import grpc
import msgspec

from ..catalogue import wire
from ..catalogue.durable import DurableCatalogue
from ..catalogue.replication import PART, SnapshotPart, Watcher
from ..catalogue.state import Delta, Op, Refused, VersionConflict
from ..leases import duties
from ..proto import catalogue_pb2 as pb
from ..proto import catalogue_pb2_grpc as pb_grpc
from ..proto import peaks_pb2_grpc
from ..serve.clock import now
from ..site.shapes import FleetRow
from ..versions import floor as floors
from .leases import LeaseService
from .peaks import ID_LIMIT, PeakService
from .store_retry import StoreRetry
from .streams import first_message, read_all

COMMIT_DELAY_S = 0.002  # changes that come within this time share one sync
EPOCH_FILE = "epoch"
FLOOR_CHECK_S = 0.5  # interval of the rule that raises floors
LIVING_FACTOR = 10  # times behind_s: a manager silent for longer is not counted as alive


class CatalogueService(pb_grpc.CatalogueServicer):
    """Changes and queries for operators, and the watch streams of managers and boxes."""

    def __init__(self, files, limits, log, recorder=None, peak_files=None, fleet=None, lease_files=None, tasks=None):
        """recorder: gets versions as they become durable, and acknowledgements; optional.

        peak_files: store of announced peaks; without it there is no peak service.
        fleet: the site's FleetRow, for floors; default figures without it.
        lease_files, tasks: store of leases and the enabled duties; without either there are no leases.
        """
        self.files, self.log, self.recorder = files, log, recorder
        self.catalogue = DurableCatalogue(files, limits)
        self.epoch, self.fleet = self.load_epoch(files), fleet or FleetRow(1, 1, {}, 1, 1)
        self.commit_times, self.floor_task = deque([(self.catalogue.committed_version, now())], 1000), None
        self.watchers, self.wake_events = {}, {}
        self.waiters, self.commit_timer, self.staged_deltas = [], None, []
        self.broken, self.store_retry = None, StoreRetry(self.catalogue.resume, self.on_resumed)
        self.server, self.stopped = None, asyncio.Event()
        self.peaks = peak_files and PeakService(
            peak_files, self.epoch, limits, lambda: self.catalogue.current.titles, log
        )
        self.leases = LeaseService(lease_files, tasks, self.act, log, recorder) if lease_files and tasks else None
        self.record_version(self.catalogue.committed_version, self.catalogue.current.titles)

    def load_epoch(self, files):
        """The epoch of this store; a new store gets a new one."""
        if EPOCH_FILE in files.names():
            return files.read(EPOCH_FILE).decode()
        epoch = secrets.token_hex(6)
        self.store_epoch(files, epoch)
        return epoch

    @staticmethod
    def store_epoch(files, epoch):
        part = EPOCH_FILE + ".part"  # an incomplete one is removed at the next start
        if part in files.names():
            files.remove(part)
        files.append(part, epoch.encode())
        files.sync(part)
        files.rename(part, EPOCH_FILE)

    def start_new_epoch(self, watcher, version):
        """Begins a new epoch when a watcher has a version that this store never committed.

        The store was then restored from an older copy, and its next versions differ from those published under the same
        numbers.
        """
        old_epoch, self.epoch = self.epoch, secrets.token_hex(6)
        self.store_epoch(self.files, self.epoch)
        if self.peaks is not None:
            self.peaks.epoch = self.epoch
        self.log.error(
            "store older than what was told: another epoch",
            watcher=watcher,
            holds=version,
            settled=self.catalogue.committed_version,
            was=old_epoch,
            epoch=self.epoch,
        )
        self.watchers.clear()  # each reconnects and gets a snapshot
        for wake in self.wake_events.values():
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
            self.floor_task = asyncio.ensure_future(self.raise_floors())
        return host, bound

    async def stop(self):
        self.stopped.set()
        if self.floor_task is not None:
            self.floor_task.cancel()
        self.store_retry.stop()
        if self.leases is not None:
            self.leases.stop()
        if self.peaks is not None:
            self.peaks.stop()
        for wake in self.wake_events.values():
            wake.set()
        if self.server:
            await self.server.stop(0.5)

    # Changes

    def in_use(self):
        """{(title, package): seats in use at the manager that uses most}."""
        seats = {}
        for watcher in self.watchers.values():
            for key, count in watcher.in_use.items():
                seats[key] = max(seats.get(key, 0), count)
        return seats

    async def Change(self, request, context):
        if (before := await self.earlier_reply(request.id, context)) is not None:
            return before
        try:
            ops = msgspec.json.decode(request.ops, type=list[Op])
        except msgspec.MsgspecError as error:
            return pb.ChangeReply(
                version=self.catalogue.committed_version, faults=[f"the change set can't be read: {error}"]
            )
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
        if (before := await self.earlier_reply(request.id, context)) is not None:
            return before
        ops = self.catalogue.rollback_ops(request.to)
        if ops is None:
            return pb.ChangeReply(
                version=self.catalogue.committed_version, faults=[f"version {request.to} is not known here"]
            )
        if not ops:
            return pb.ChangeReply(version=self.catalogue.committed_version)
        return await self.change(
            ops,
            request.expect if request.HasField("expect") else self.catalogue.current.version,
            True,
            False,
            request.who,
            f"rollback to version {request.to}",
            context,
            request.id,
        )

    async def require_store(self, context):
        """Aborts the call while the store has failed."""
        if self.broken is not None:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, f"the store takes nothing more: {self.broken}")

    async def earlier_reply(self, id, context):
        """The reply to an earlier change with this id, once that change is durable; None for a new id."""
        if len(id) > ID_LIMIT:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, f"an id of {ID_LIMIT} characters at most")
        if not id or id not in self.catalogue.changes_by_id:
            return None
        version, changed = self.catalogue.changes_by_id[id]
        if version > self.catalogue.committed_version:
            if self.broken is not None:
                return None  # the outcome is unknown until the store resumes; the caller refuses the change
            await self.when_durable(None)
        return pb.ChangeReply(version=version, changed=changed)

    async def change(self, ops, expect, force, dry, who, why, context, id=""):
        """Applies a change set and returns the ChangeReply once it is durable."""
        await self.require_store(context)
        catalogue = self.catalogue
        try:
            if dry:
                trial = type(catalogue.current)(
                    catalogue.current.limits, catalogue.current.version, catalogue.current.titles
                )
                return pb.ChangeReply(
                    version=trial.version, changed=len(trial.apply(ops, expect, self.in_use(), force).titles)
                )
            delta = catalogue.stage(ops, expect, self.in_use(), force, who[:100], why[:500], id)
        except VersionConflict as conflict:
            return pb.ChangeReply(version=catalogue.committed_version, behind=str(conflict))
        except Refused as refused:
            return pb.ChangeReply(version=catalogue.committed_version, faults=[str(f) for f in refused.faults[:1000]])
        if not delta.titles:
            return pb.ChangeReply(version=delta.version)
        await self.when_durable(delta)
        return pb.ChangeReply(version=delta.version, changed=len(delta.titles))

    def when_durable(self, delta):
        """A future that is done when all staged changes are durable. delta: the caller's change, if it staged one."""
        done = asyncio.get_running_loop().create_future()
        self.waiters.append(done)
        if delta is not None:
            self.staged_deltas.append(delta)
        if self.commit_timer is None:
            self.commit_timer = asyncio.get_running_loop().call_later(COMMIT_DELAY_S, self.commit)
        return done

    # Floors

    def living_managers(self):
        """Managers that are connected or were lately, as rows for the floor rules."""
        silence_limit = round(LIVING_FACTOR * self.fleet.behind_s * 10_000)
        seen = [
            floors.WatcherVersion(name, w.acked, 0 if name in self.wake_events else now() - w.last_received_at)
            for name, w in sorted(self.watchers.items())
            if w.role == "manager"
        ]
        return [w for w in seen if w.heard_ago <= silence_limit]

    async def Floor(self, request, context):
        await self.require_store(context)
        catalogue, watching = self.catalogue, self.living_managers()

        def reply(**more):
            return pb.FloorReply(
                epoch=self.epoch,
                version=catalogue.committed_version,
                floor=catalogue.floor,
                under=floors.below_floor(catalogue.floor, watching) if catalogue.floor else [],
                **more,
            )

        if not request.floor:
            return reply()
        if await self.earlier_reply(request.id, context) is not None:
            return reply()
        share = 1.0 if request.force else self.fleet.floor_share
        if objection := floors.objection(request.floor, catalogue.committed_version, watching, share):
            return reply(refused=objection)
        delta = catalogue.stage_floor(request.floor, request.who[:100], request.why[:500], request.id)
        if delta is None:
            return reply(refused=f"a floor can only be raised: {catalogue.current.floor} is in force")
        await self.when_durable(delta)
        self.log.info("floor raised", floor=delta.floor, version=delta.version, who=request.who[:100])
        return reply()

    async def raise_floors(self):
        """Raises the floor by the rule of versions.floor, if the settings enable it."""
        while True:
            await asyncio.sleep(FLOOR_CHECK_S)
            if self.broken is not None or self.staged_deltas:
                continue
            floor = floors.automatic_floor(
                self.commit_times,
                now(),
                round(self.fleet.behind_s * 10_000),
                self.living_managers(),
                self.fleet.floor_share,
            )
            if floor is not None and floor > self.catalogue.floor:
                delta = self.catalogue.stage_floor(floor, "", f"settled for {self.fleet.behind_s:g} s")
                try:
                    await self.when_durable(delta)
                except grpc.aio.AbortError:
                    continue  # the store failed, which was logged there
                self.log.info("floor raised", floor=floor, version=delta.version, who="rule")

    def commit(self):
        """Makes all staged changes durable with one sync, then publishes and acknowledges them."""
        self.commit_timer, waiters, self.waiters = None, self.waiters, []
        try:
            version = self.catalogue.commit()
        except OSError as error:
            # What reached the disk is unknown: no changes are accepted until the state is rewritten.
            self.broken = error
            self.log.error("store failed", detail=str(error))
            self.store_retry.schedule()
            for done in waiters:
                if not done.done():
                    done.set_exception(
                        grpc.aio.AbortError("the store failed; whether the change was made is not known")
                    )
            return
        self.log.info("settled", version=version, changes=len(waiters))
        self.publish_committed(version)
        for done in waiters:
            if not done.done():
                done.set_result(version)

    def on_resumed(self):
        """Called when a failed store works again: the changes staged before are now durable."""
        self.broken = None
        self.log.info("store taken up again", version=self.catalogue.committed_version)
        self.publish_committed(self.catalogue.committed_version)

    def publish_committed(self, version):
        """Sends the staged changes, now durable, to the recorder and to all watchers."""
        self.commit_times.append((version, now()))
        deltas, self.staged_deltas = self.staged_deltas, []
        for delta in deltas:
            self.record_version(delta.version, delta.titles, delta.floor)
        for wake in self.wake_events.values():
            wake.set()

    # Duties: acts that are carried out here under a lease

    async def act(self, task, request, owner):
        """Carries out one act on this service and returns its result. ValueError: the act is not possible."""
        catalogue = self.catalogue
        if self.broken is not None:
            raise ValueError("the store takes nothing more")
        if task == "compact":
            records = catalogue.log.since_snapshot
            if records < duties.COMPACT_OVER:
                return {"records": records, "compacted": False}
            catalogue.compact()
            return {"records": records, "compacted": True}
        if task == "floors":
            floor = floors.automatic_floor(
                self.commit_times,
                now(),
                round(self.fleet.behind_s * 10_000),
                self.living_managers(),
                self.fleet.floor_share,
            )
            if floor is None or floor <= catalogue.floor or self.staged_deltas:
                return {"floor": catalogue.floor, "raised": False}
            delta = catalogue.stage_floor(floor, owner[:100], f"settled for {self.fleet.behind_s:g} s")
            await self.when_durable(delta)
            self.log.info("floor raised", floor=floor, version=delta.version, who=owner[:100])
            return {"floor": floor, "raised": True}
        if task in ("copies", "reports"):
            return {**request, "at_version": catalogue.committed_version}
        raise ValueError(f"{task}: not a duty that acts on this service")

    async def Leases(self, request, context):
        if self.leases is None:
            return pb.LeasesReply(on=False)
        return await self.leases.answer_operator(request)

    # Watch streams

    async def Watch(self, requests, context):
        first = await first_message(context)
        if first is None:
            return
        if first.epoch == self.epoch and first.version > self.catalogue.committed_version:
            self.start_new_epoch(first.name, first.version)
        # Tells the watcher that it is connected, though there may be no message yet.
        await context.send_initial_metadata(())
        watcher = Watcher(first.name, first.role, first.epoch, first.version if first.epoch else None, self.epoch)
        wake = asyncio.Event()
        self.watchers[first.name], self.wake_events[first.name] = watcher, wake
        self.receive(watcher, first)
        self.log.info("watched", watcher=first.name, holds=first.version, epoch=first.epoch)
        lease_replies, lease_tasks = [], set()

        def send_lease_reply(reply):
            lease_replies.append(reply)
            wake.set()

        def receive(message):
            self.receive(watcher, message)
            if self.leases is not None and (message.leases or message.acts):
                lease_task = asyncio.ensure_future(self.leases.handle(message, send_lease_reply))
                lease_tasks.add(lease_task)
                lease_task.add_done_callback(lease_tasks.discard)
            wake.set()

        reader = asyncio.ensure_future(read_all(context, receive, wake))
        try:
            while not self.stopped.is_set() and not reader.done():
                wake.clear()
                while lease_replies:
                    await context.write(lease_replies.pop(0))
                while (
                    self.watchers.get(first.name) is watcher
                    and (message := watcher.next_message(self.catalogue)) is not None
                ):
                    if self.recorder and (isinstance(message, Delta) or message.last):
                        self.recorder.put("told", watcher=first.name, version=message.version)
                    await context.write(wire.reply_to_pb(self.epoch, message))
                if self.watchers.get(first.name) is not watcher:
                    return  # the watcher has opened another stream
                await wake.wait()
        finally:
            reader.cancel()
            for lease_task in lease_tasks:
                lease_task.cancel()
            if self.wake_events.get(first.name) is wake:
                del self.wake_events[first.name]

    def receive(self, watcher, message):
        """Records an acknowledgement, a refusal or seats in use."""
        watcher.last_received_at = now()
        if message.WhichOneof("says") == "ack":
            watcher.ack(message.ack)
            if self.recorder:
                self.recorder.put("ack", watcher=watcher.name, version=message.ack)
        elif message.WhichOneof("says") == "refusal":
            watcher.nack(message.refusal.version, message.refusal.why)
            self.log.warning("refused", watcher=watcher.name, version=message.refusal.version, why=message.refusal.why)
        if message.in_use or message.WhichOneof("says") == "ack":
            watcher.in_use = {(s.title, s.package): s.count for s in message.in_use}

    def record_version(self, version, titles, floor=0):
        """Writes a version to the recorder, for the rule checker."""
        if self.recorder:
            self.recorder.put(
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

    # Queries

    async def Get(self, request, context):
        catalogue = self.catalogue
        version = request.version if request.HasField("version") else catalogue.committed_version
        titles = catalogue.titles_at(version)
        if titles is None:
            await context.abort(grpc.StatusCode.NOT_FOUND, f"version {version} is not known here")
        rows = [titles[name] for name in request.titles if name in titles] if request.titles else list(titles.values())
        parts = [rows[n : n + PART] for n in range(0, len(rows), PART)] or [[]]
        for n, part in enumerate(parts):
            yield wire.part_to_pb(SnapshotPart(version, part, n == 0, n + 1 == len(parts), catalogue.floor))

    async def History(self, request, context):
        versions = [v for v in self.catalogue.history if v <= self.catalogue.committed_version][-(request.last or 20) :]
        return pb.HistoryReply(
            changes=[
                pb.Change(
                    version=v,
                    who=self.catalogue.history[v][1],
                    why=self.catalogue.history[v][2],
                    titles=list(self.catalogue.history[v][0].titles)[:1000],
                )
                for v in versions
            ]
        )

    async def Who(self, request, context):
        return pb.WhoReply(
            epoch=self.epoch,
            version=self.catalogue.committed_version,
            watchers=[
                pb.Watcher(
                    name=w.name,
                    role=w.role,
                    acked=w.acked,
                    refused=w.refused,
                    why=w.why,
                    connected=name in self.wake_events,
                    heard_ms_ago=(now() - w.last_received_at) // 10,
                )
                for name, w in sorted(self.watchers.items())
            ],
        )
