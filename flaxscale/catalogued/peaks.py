"""The service of announced peaks: gRPC beside the catalogue service, with a durable log of its own."""

import asyncio
import time

import grpc
import msgspec

from ..catalogue.state import VersionConflict
from ..peaks import wire
from ..peaks.book import Frame, PeakBook, Refused, decode, encode
from ..proto import peaks_pb2 as pb
from ..proto import peaks_pb2_grpc as pb_grpc
from ..serve.clock import now
from ..serve.limit import within
from ..store.latest import LatestRecord
from .store_retry import StoreRetry
from .streams import first_message, read_all

CLOCK_INTERVAL_S = 2.0  # the service's clock is sent at least this often
SNAPSHOT_EVERY = 200  # versions
ID_LIMIT = 100  # characters of a change id


class PeakWatcher:
    """The state of one watching manager."""

    def __init__(self, name):
        self.name, self.acked, self.refused, self.why = name, None, None, ""
        self.last_received_at, self.seen, self.wake, self.up = now(), [], asyncio.Event(), True


class PeakService(pb_grpc.PeaksServicer):
    """Announcements of peaks: changes, a watch stream, and a list for operators."""

    def __init__(self, files, epoch, limits, titles, log, wall=time.time):
        """limits: the catalogue.state.SiteLimits. titles(): the catalogue's present titles. wall(): Unix seconds."""
        self.store, self.epoch, self.log, self.wall = LatestRecord(files, SNAPSHOT_EVERY), epoch, log, wall
        self.rungs, self.packages, self.titles = limits.rungs, tuple(limits.floors), titles
        self.book = PeakBook() if self.store.kept is None else decode(self.store.kept)[1]
        self.managers, self.broken, self.stopped = {}, None, False
        self.store_retry = StoreRetry(self.resume, self.on_resumed)

    def stop(self):
        self.stopped = True
        self.store_retry.stop()
        for manager in self.managers.values():
            manager.wake.set()

    def frame(self):
        """What announcements are checked against now."""
        return Frame(self.titles(), self.rungs, self.packages)

    # Changes

    async def Change(self, request, context):
        if self.broken is not None:
            await context.abort(grpc.StatusCode.UNAVAILABLE, f"the store takes nothing more: {self.broken}")
        if len(request.id) > ID_LIMIT:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, f"an id of {ID_LIMIT} characters at most")
        if request.id in self.book.done:
            return pb.ChangeReply(version=self.book.done[request.id])
        book = PeakBook(self.book.version, self.book.peaks.values(), self.book.history, self.book.done)
        expect = request.expect if request.HasField("expect") else None
        context_args = self.frame(), self.wall(), expect, request.who[:100], request.why[:500]
        try:
            match request.WhichOneof("what"):
                case "announce":
                    book.announce(wire.peak_in(request.announce), *context_args)
                case "change":
                    book.change(request.change.name, msgspec.json.decode(request.change.json, type=dict), *context_args)
                case "cancel":
                    book.cancel(request.cancel, *context_args)
                case _:
                    raise Refused(["nothing to announce, change or cancel"])
        except VersionConflict as conflict:
            return pb.ChangeReply(version=self.book.version, behind=str(conflict))
        except Refused as refused:
            return pb.ChangeReply(version=self.book.version, faults=refused.reasons[:100])
        except msgspec.MsgspecError as error:
            return pb.ChangeReply(version=self.book.version, faults=[f"the fields can't be read: {error}"])
        book.record_change_id(request.id)
        try:
            # Durable before it is published, so that a published change survives a crash.
            self.store.put(encode(self.epoch, book))
        except OSError as error:
            self.broken = error
            self.log.error("store of peaks failed", detail=str(error))
            self.store_retry.schedule()
            await context.abort(
                grpc.StatusCode.UNAVAILABLE, "the store failed; whether the change was made is not known"
            )
        self.book = book
        self.log.info("peaks settled", version=book.version, did=book.history[-1].what, name=book.history[-1].name)
        for manager in self.managers.values():
            manager.wake.set()
        return pb.ChangeReply(version=book.version)

    def resume(self):
        """Rewrites the present state, which does not have the change that failed."""
        self.store.resume(encode(self.epoch, self.book))

    def on_resumed(self):
        self.broken = None
        self.log.info("store of peaks taken up again", version=self.book.version)

    # Watching

    async def Watch(self, requests, context):
        first = await first_message(context)
        if first is None:
            return
        manager = self.managers[first.name] = PeakWatcher(first.name)
        sent = first.version if first.epoch == self.epoch else None
        self.receive(manager, first)
        reader = asyncio.ensure_future(read_all(context, lambda message: self.receive(manager, message), manager.wake))
        try:
            while not self.stopped and not reader.done() and self.managers.get(first.name) is manager:
                manager.wake.clear()
                changed = sent != self.book.version
                sent = self.book.version
                await context.write(
                    pb.WatchReply(
                        epoch=self.epoch,
                        version=sent,
                        now_s=self.wall(),
                        beat=not changed,
                        peaks=[wire.peak_out(p) for p in self.book.peaks.values()] if changed else [],
                    )
                )
                try:
                    await within(CLOCK_INTERVAL_S, manager.wake.wait())
                except asyncio.TimeoutError:
                    pass
        finally:
            reader.cancel()
            manager.up = False

    def receive(self, manager, message):
        manager.last_received_at = now()
        if message.WhichOneof("says") == "ack":
            manager.acked = message.ack
        elif message.WhichOneof("says") == "refusal":
            manager.refused, manager.why = message.refusal.version, message.refusal.why[:500]
            self.log.warning("peaks refused", watcher=manager.name, version=manager.refused, why=manager.why)
        if message.seen:
            manager.seen = list(message.seen)

    # Queries

    async def List(self, request, context):
        book = self.book
        return pb.ListReply(
            epoch=self.epoch,
            version=book.version,
            now_s=self.wall(),
            peaks=[wire.peak_out(p) for p in book.peaks.values()],
            history=[
                pb.Change(version=c.version, at_s=c.at_s, who=c.who, why=c.why, what=c.what, name=c.name)
                for c in book.history
            ],
            managers=[
                pb.Manager(
                    name=manager.name,
                    acked=manager.acked,
                    refused=manager.refused,
                    why=manager.why,
                    connected=manager.up,
                    heard_ms_ago=(now() - manager.last_received_at) // 10,
                    seen=manager.seen,
                )
                for _, manager in sorted(self.managers.items())
            ],
        )
