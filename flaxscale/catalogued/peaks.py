"""Announced peaks in service: gRPC beside the catalogue, on a durable log of their own."""

import asyncio
import time

import grpc
import msgspec

from ..catalogue.state import Behind
from ..peaks import wire
from ..peaks.book import Frame, PeakBook, Refused, decode, encode
from ..proto import peaks_pb2 as pb
from ..proto import peaks_pb2_grpc as pb_grpc
from ..serve.clock import now
from ..serve.limit import within
from ..store.latest import LatestRecord
from .resuming import Resuming
from .streams import first_of, hear_all

BEAT_S = 2.0  # the service's clock is told this often where nothing else is
SNAPSHOT_EVERY = 200
ID_LIMIT = 100


class Manager:
    """One who watches."""

    def __init__(self, name):
        self.name, self.acked, self.refused, self.why = name, None, None, ""
        self.heard_at, self.seen, self.wake, self.up = now(), [], asyncio.Event(), True


class PeakService(pb_grpc.PeaksServicer):
    def __init__(self, files, epoch, frame, titles, log, wall=time.time):
        """frame: catalogue.state.Frame of the site. titles(): what the catalogue has now. wall(): Unix seconds."""
        self.store, self.epoch, self.log, self.wall = LatestRecord(files, SNAPSHOT_EVERY), epoch, log, wall
        self.rungs, self.packages, self.titles = frame.rungs, tuple(frame.floors), titles
        self.book = PeakBook() if self.store.kept is None else decode(self.store.kept)[1]
        self.managers, self.broken, self.stopped = {}, None, False
        self.resuming = Resuming(self.resume, self.resumed)

    def stop(self):
        self.stopped = True
        self.resuming.stop()
        for m in self.managers.values():
            m.wake.set()

    def frame(self):
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
        rest = self.frame(), self.wall(), expect, request.who[:100], request.why[:500]
        try:
            match request.WhichOneof("what"):
                case "announce":
                    book.announce(wire.peak_in(request.announce), *rest)
                case "change":
                    book.change(request.change.name, msgspec.json.decode(request.change.json, type=dict), *rest)
                case "cancel":
                    book.cancel(request.cancel, *rest)
                case _:
                    raise Refused(["nothing to announce, change or cancel"])
        except Behind as late:
            return pb.ChangeReply(version=self.book.version, behind=str(late))
        except Refused as no:
            return pb.ChangeReply(version=self.book.version, faults=no.reasons[:100])
        except msgspec.MsgspecError as bad:
            return pb.ChangeReply(version=self.book.version, faults=[f"the fields can't be read: {bad}"])
        book.did(request.id)
        try:
            # Durable before anyone hears of it: a change that was told outlives the service.
            self.store.put(encode(self.epoch, book))
        except OSError as bad:
            self.broken = bad
            self.log.error("store of peaks failed", detail=str(bad))
            self.resuming.begin()
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the store failed; whether it was made is not known")
        self.book = book
        self.log.info("peaks settled", version=book.version, did=book.history[-1].what, name=book.history[-1].name)
        for m in self.managers.values():
            m.wake.set()
        return pb.ChangeReply(version=book.version)

    def resume(self):
        """Writes the book as it stands: the change that failed is not in it."""
        self.store.resume(encode(self.epoch, self.book))

    def resumed(self):
        self.broken = None
        self.log.info("store of peaks taken up again", version=self.book.version)

    # Watching

    async def Watch(self, requests, context):
        first = await first_of(context)
        if first is None:
            return
        m = self.managers[first.name] = Manager(first.name)
        sent = first.version if first.epoch == self.epoch else None
        self.hear(m, first)
        reader = asyncio.ensure_future(hear_all(context, lambda said: self.hear(m, said), m.wake))
        try:
            while not self.stopped and not reader.done() and self.managers.get(first.name) is m:
                m.wake.clear()
                whole = sent != self.book.version
                sent = self.book.version
                await context.write(
                    pb.WatchReply(
                        epoch=self.epoch,
                        version=sent,
                        now_s=self.wall(),
                        beat=not whole,
                        peaks=[wire.peak_out(p) for p in self.book.peaks.values()] if whole else [],
                    )
                )
                try:
                    await within(BEAT_S, m.wake.wait())
                except asyncio.TimeoutError:
                    pass
        finally:
            reader.cancel()
            m.up = False

    def hear(self, m, said):
        m.heard_at = now()
        if said.WhichOneof("says") == "ack":
            m.acked = said.ack
        elif said.WhichOneof("says") == "refusal":
            m.refused, m.why = said.refusal.version, said.refusal.why[:500]
            self.log.warning("peaks refused", watcher=m.name, version=m.refused, why=m.why)
        if said.seen:
            m.seen = list(said.seen)

    # Looking

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
                    name=m.name,
                    acked=m.acked,
                    refused=m.refused,
                    why=m.why,
                    connected=m.up,
                    heard_ms_ago=(now() - m.heard_at) // 10,
                    seen=m.seen,
                )
                for _, m in sorted(self.managers.items())
            ],
        )
