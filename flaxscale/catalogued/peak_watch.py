"""A manager's watch on announced peaks: a stream that reconnects, and the last good version on disk."""

import asyncio

import grpc

from ..peaks import wire
from ..peaks.book import Follower, PeakBook, decode, encode
from ..proto import peaks_pb2 as pb
from ..proto import peaks_pb2_grpc as pb_grpc
from ..store.latest import LatestRecord
from ..store.log import StoreError
from .streams import cancel_and_wait, open_channel, run_with_reconnect

SNAPSHOT_EVERY = 50  # versions


class PeakWatch:
    """Follows the peak service over a stream."""

    def __init__(self, address, name, on_change, on_clock, log, files=None, check=lambda peaks: ()):
        """on_change(peaks): called for each applied version. on_clock(seconds): for each service clock received."""
        self.address, self.name, self.on_change, self.on_clock, self.log = address, name, on_change, on_clock, log
        self.follower, self.files, self.store, self.task, self.up = Follower(check), files, None, None, False
        self.call = None

    def start(self):
        if self.files is not None:
            self.load()
        self.task = asyncio.get_running_loop().create_task(run_with_reconnect(self.run_stream, self.on_closed))

    def load(self):
        """Reads the stored version. Unreadable data is not used, and nothing is stored from then on."""
        try:
            self.store = LatestRecord(self.files, SNAPSHOT_EVERY)
            if self.store.kept is not None:
                epoch, book = decode(self.store.kept)
                self.follower.apply(epoch, book.version, book.peaks.values())
                self.on_change(self.follower.peaks)
        except (StoreError, OSError, ValueError) as error:
            self.log.error("kept peaks not used", detail=str(error))
            self.store = None

    def persist(self):
        """Stores the present version."""
        if self.store is None:
            return
        follower = self.follower
        try:
            self.store.put(encode(follower.epoch, PeakBook(follower.version, follower.peaks)))
        except OSError as error:
            self.log.error("peaks not kept", detail=str(error))
            self.store = None

    def on_closed(self, why):
        self.up, self.call = False, None
        if why is not None:
            self.log.info("peaks not followed", detail=why[:300])

    async def run_stream(self):
        follower = self.follower
        async with open_channel(self.address) as channel:
            call = pb_grpc.PeaksStub(channel).Watch()
            await call.write(pb.WatchRequest(name=self.name, epoch=follower.epoch or "", version=follower.version or 0))
            while (reply := await call.read()) is not grpc.aio.EOF:
                self.up, self.call = True, call
                self.on_clock(reply.now_s)
                if not reply.beat:
                    await call.write(self.apply_reply(reply))

    def apply_reply(self, reply):
        """Applies a version; the acknowledgement or refusal to send."""
        try:
            applied = self.follower.apply(reply.epoch, reply.version, [wire.peak_in(p) for p in reply.peaks])
        except ValueError as error:
            self.log.error("peaks refused", version=reply.version, why=str(error)[:300])
            return pb.WatchRequest(name=self.name, refusal=pb.Refusal(version=reply.version, why=str(error)[:500]))
        if applied:
            self.log.info("peaks", version=reply.version, count=len(reply.peaks))
            self.on_change(self.follower.peaks)
            self.persist()
        return pb.WatchRequest(name=self.name, ack=reply.version)

    async def report_seen(self, seen):
        """Reports the arrivals: [(name, arrived, due, kB a second kept)]. Dropped while the stream is down."""
        if self.call is not None and seen:
            try:
                await self.call.write(
                    pb.WatchRequest(
                        name=self.name, seen=[pb.Seen(name=n, came=c, due=d, kept_kb=kb) for n, c, d, kb in seen]
                    )
                )
            except (grpc.aio.AioRpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
                pass  # the stream is closing; the next report has the totals again

    async def stop(self):
        await cancel_and_wait(self.task)
