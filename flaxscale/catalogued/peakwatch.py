"""Follows announced peaks: a stream that comes back by itself, the last good version kept on disk."""

import asyncio

import grpc

from ..peaks import wire
from ..peaks.book import Follower, PeakBook, decode, encode
from ..proto import peaks_pb2 as pb
from ..proto import peaks_pb2_grpc as pb_grpc
from ..store.latest import LatestRecord
from ..store.log import StoreError
from .streams import channel_to, come_back, ended

SNAPSHOT_EVERY = 50


class PeakWatch:
    def __init__(self, address, name, changed, clock_heard, log, files=None, check=lambda peaks: ()):
        """changed(peaks): a version was taken. clock_heard(seconds): the service's clock, as just heard."""
        self.address, self.name, self.changed, self.clock_heard, self.log = address, name, changed, clock_heard, log
        self.follower, self.files, self.store, self.task, self.up = Follower(check), files, None, None, False
        self.call = None

    def start(self):
        if self.files is not None:
            self.load()
        self.task = asyncio.get_running_loop().create_task(come_back(self.one_stream, self.closed))

    def load(self):
        try:
            self.store = LatestRecord(self.files, SNAPSHOT_EVERY)
            if self.store.kept is not None:
                epoch, book = decode(self.store.kept)
                self.follower.take(epoch, book.version, book.peaks.values())
                self.changed(self.follower.peaks)
        except (StoreError, OSError, ValueError) as bad:
            self.log.error("kept peaks not used", detail=str(bad))
            self.store = None

    def keep(self):
        if self.store is None:
            return
        f = self.follower
        try:
            self.store.put(encode(f.epoch, PeakBook(f.version, f.peaks)))
        except OSError as bad:
            self.log.error("peaks not kept", detail=str(bad))
            self.store = None

    def closed(self, why):
        self.up, self.call = False, None
        if why is not None:
            self.log.info("peaks not followed", detail=why[:300])

    async def one_stream(self):
        f = self.follower
        async with channel_to(self.address) as channel:
            call = pb_grpc.PeaksStub(channel).Watch()
            await call.write(pb.WatchRequest(name=self.name, epoch=f.epoch or "", version=f.version or 0))
            while (reply := await call.read()) is not grpc.aio.EOF:
                self.up, self.call = True, call
                self.clock_heard(reply.now_s)
                if not reply.beat:
                    await call.write(self.take(reply))

    def take(self, reply):
        """One version; what to say to it."""
        try:
            moved = self.follower.take(reply.epoch, reply.version, [wire.peak_in(p) for p in reply.peaks])
        except ValueError as bad:
            self.log.error("peaks refused", version=reply.version, why=str(bad)[:300])
            return pb.WatchRequest(name=self.name, refusal=pb.Refusal(version=reply.version, why=str(bad)[:500]))
        if moved:
            self.log.info("peaks", version=reply.version, count=len(reply.peaks))
            self.changed(self.follower.peaks)
            self.keep()
        return pb.WatchRequest(name=self.name, ack=reply.version)

    async def tell(self, seen):
        """What was seen come: [(name, came, due, kB a second kept)]. Lost where the stream is down."""
        if self.call is not None and seen:
            try:
                await self.call.write(
                    pb.WatchRequest(
                        name=self.name, seen=[pb.Seen(name=n, came=c, due=d, kept_kb=kb) for n, c, d, kb in seen]
                    )
                )
            except (grpc.aio.AioRpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
                pass  # the stream is just ending; the next one tells it anew

    async def stop(self):
        await ended(self.task)
