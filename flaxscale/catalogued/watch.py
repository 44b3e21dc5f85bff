"""Follows the catalogue: a stream that comes back by itself, versions acknowledged or refused, the last good one kept.

The owner hears changed(titles) after each version taken. What is kept on disk is a log of its own: the deltas as they
come, and the whole in slices between answers, so that a large catalogue never holds up a set-up.
"""

import asyncio
import time
from collections import deque

import grpc
import msgspec

from ..catalogue import wire
from ..catalogue.replication import Follower, SnapshotPart, VersionGap
from ..catalogue.state import Delta, Title, decode_delta, encode_delta
from ..proto import catalogue_pb2 as pb
from ..proto import catalogue_pb2_grpc as pb_grpc
from ..serve.clock import now
from ..store.log import Log, StoreError
from .streams import cancel_and_wait, channel_to, come_back

SLICE = 1_000  # titles encoded between two turns of the loop
KEEP_EVERY = 5_000  # deltas in the log before the whole is written again
RECENT = 500  # deltas and digests that are known, to hand over and to compare


class KeptStart(msgspec.Struct, array_like=True):
    """The head of a kept whole."""

    shape: int
    epoch: str
    version: int
    wall: float  # when it was kept, by the wall clock: to say how old it is after a start
    titles: list[Title]
    floor: int = 0


class CatalogueWatch:
    def __init__(self, address, name, role, changed, log, files=None, check=lambda titles: None, in_use=dict):
        """changed(titles or None, version): None once at the start, for what was kept. in_use() gives seats.

        duties, set afterwards: hears of leases by this stream (source(up), heard(reply)); nothing is said of them else.
        """
        self.duties, self.call, self.writing = None, None, asyncio.Lock()
        self.address, self.name, self.role, self.changed, self.log = address, name, role, changed, log
        self.follower, self.in_use, self.files = Follower(check), in_use, files
        self.heard_at, self.kept_wall, self.task, self.channel, self.store = None, None, None, None, None
        self.up, self.saving, self.since = False, None, 0
        self.inner, self.sooner = None, asyncio.Event()
        self.recent, self.digests, self.refused = deque(maxlen=RECENT), {}, 0

    def start(self):
        if self.files is not None:
            self.load()
        self.task = asyncio.get_running_loop().create_task(come_back(self.one_stream, self.closed, self.sooner))

    # On disk

    def load(self):
        try:
            self.store = Log(self.files)
            found = self.store.found
            if found.snapshot is None:
                return
            kept = msgspec.msgpack.decode(found.snapshot, type=KeptStart)
            self.follower.load(kept.epoch, kept.version, {t.name: t for t in kept.titles}, kept.floor)
            for _, content in found.records:
                delta, *_ = decode_delta(content)
                self.follower.apply_delta(kept.epoch, delta)
            self.since, self.kept_wall = len(found.records), kept.wall
        except (StoreError, OSError, ValueError, VersionGap, msgspec.MsgspecError) as error:
            # Never served from what does not read: without a service this manager has no titles, and says so.
            self.log.error("kept catalogue not used", detail=str(error))
            self.follower.load(None, None, {})
            self.store = None
            return
        self.changed(None, self.follower.version)

    def keep(self, delta, whole):
        """A delta goes to the log at once; a whole is written in slices."""
        if self.store is None:
            return
        try:
            if whole or self.since >= KEEP_EVERY:
                self.save()
            else:
                if self.saving is None:
                    self.store.append(encode_delta(delta))
                    self.store.commit()
                    self.since += 1
        except OSError as error:
            self.log.error("catalogue not kept", detail=str(error))
            self.store = None

    def save(self):
        if self.saving is not None:
            self.saving.cancel()
        self.since = 0
        self.saving = asyncio.get_running_loop().create_task(self.save_slices())

    async def save_slices(self):
        f = self.follower
        epoch, version, titles, floor = f.epoch, f.version, list(f.titles.values()), f.floor
        parts = []
        for n in range(0, len(titles), SLICE):
            parts.append(b"".join(msgspec.msgpack.encode(t) for t in titles[n : n + SLICE]))
            await asyncio.sleep(0)
        head = msgspec.msgpack.encode([1, epoch, version, time.time()])
        # An array of six with an array of so many titles in it, put together from its slices.
        data = (
            b"\x96"
            + head[1:]
            + b"\xdd"
            + len(titles).to_bytes(4, "big")
            + b"".join(parts)
            + msgspec.msgpack.encode(floor)
        )
        self.saving = None
        try:
            self.store.append(b"whole")  # so that this snapshot has a number of its own
            self.store.commit()
            self.store.snapshot(data)
        except OSError as error:
            self.log.error("catalogue not kept", detail=str(error))
            self.store = None
            return
        if f.version != version:  # what came meanwhile was not logged
            self.save()

    # The stream

    def closed(self, why):
        self.up, self.call = False, None
        if self.duties is not None:
            self.duties.source(False)
        if why is not None:
            self.log.info("catalogue not followed", detail=why[:300])

    def reconnect(self):
        """Asks the source anew at once, whatever the stream that stands seems to do."""
        self.sooner.set()
        if self.inner is not None:
            self.inner.cancel()

    async def one_stream(self):
        self.sooner.clear()
        self.inner = asyncio.ensure_future(self.listen())
        try:
            await asyncio.wait({self.inner})
            if self.inner.cancelled():
                self.sooner.set()
                return "asked anew"
            self.inner.result()
        except VersionGap as gap:
            self.follower.epoch = None  # ask for the whole
            return str(gap)
        finally:
            await cancel_and_wait(self.inner)

    async def listen(self):
        f = self.follower
        async with channel_to(self.address) as channel:
            call = pb_grpc.CatalogueStub(channel).Watch()
            await call.write(
                pb.WatchRequest(
                    name=self.name, role=self.role, epoch=f.epoch or "", version=f.version or 0, in_use=self.seats()
                )
            )
            await call.initial_metadata()  # it is there, though it may have nothing to tell
            self.up, self.heard_at, self.call = True, now(), call
            if self.duties is not None:
                self.duties.source(True)
            while (reply := await call.read()) is not grpc.aio.EOF:
                self.up, self.heard_at = True, now()
                if reply.WhichOneof("what") in ("lease", "act"):
                    if self.duties is not None:
                        self.duties.heard(reply)
                elif (said := self.take(reply)) is not None:
                    async with self.writing:
                        await call.write(said)

    async def say(self, **fields):
        """Something of leases on the stream that stands; False where none does, and nothing was said."""
        if (call := self.call) is None:
            return False
        try:
            async with self.writing:
                await call.write(pb.WatchRequest(name=self.name, **fields))
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            return False  # it ended meanwhile; what may have been said is fenced
        return True

    def take(self, reply):
        """One message; what to say to it, or None."""
        f = self.follower
        try:
            message = wire.reply_from_pb(reply)
            changed = (f.apply_part if isinstance(message, SnapshotPart) else f.apply_delta)(reply.epoch, message)
        except ValueError as error:
            version = reply.part.version or reply.delta.version
            self.log.error("catalogue refused", version=version, why=str(error)[:300])
            self.refused = version
            return pb.WatchRequest(name=self.name, refusal=pb.Refusal(version=version, why=str(error)[:500]))
        if isinstance(message, SnapshotPart) and not message.last:
            return None
        self.took(message, changed)
        return pb.WatchRequest(name=self.name, ack=f.version, in_use=self.seats())

    def took(self, message, changed):
        """A version is in force. changed: its titles; None: we were there before."""
        f = self.follower
        if changed is None:
            return
        self.refused = 0
        if isinstance(message, SnapshotPart):
            self.recent.clear()
            self.digests.clear()
        else:
            self.recent.append(message)
        self.digests[f.version] = f.digest
        if len(self.digests) > RECENT:
            del self.digests[next(iter(self.digests))]
        self.log.info("catalogue", version=f.version, titles=len(changed))
        self.changed(changed, f.version)
        self.keep(Delta(f.version, changed, f.floor), isinstance(message, SnapshotPart))

    def apply_handed_over(self, epoch, messages):
        """Takes what another manager handed over, checked against its digest before. ValueError: it does not fit us."""
        for message in messages:
            f = self.follower
            self.took(message, (f.apply_part if isinstance(message, SnapshotPart) else f.apply_delta)(epoch, message))

    def seats(self):
        return [pb.SeatsInUse(title=t, package=p, count=n) for (t, p), n in self.in_use().items()]

    def age_s(self):
        """Seconds since the service was last heard; since it was kept, where it was not heard in this life."""
        if self.heard_at is not None:
            return (now() - self.heard_at) / 10_000
        return None if self.kept_wall is None else max(0.0, time.time() - self.kept_wall)

    async def stop(self):
        for task in (self.task, self.saving):
            await cancel_and_wait(task)
