"""Follows the catalogue service: a stream that reconnects, and the last good version on disk.

Each version is acknowledged or refused, and on_change(titles) is called for each applied one. The local log gets deltas
as they come. Snapshots are encoded in slices between other work, so that a large catalogue does not delay set-ups.
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
from .streams import cancel_and_wait, open_channel, run_with_reconnect

SLICE_TITLES = 1_000  # titles encoded before the event loop runs other tasks
SNAPSHOT_EVERY = 5_000  # deltas in the log before a new snapshot
KEPT_DELTAS = 500  # recent deltas and digests that are kept, for hand-overs and comparison


class StoredSnapshot(msgspec.Struct, array_like=True):
    """A snapshot on disk."""

    shape: int
    epoch: str
    version: int
    wall: float  # Unix time of writing, for the age after a start
    titles: list[Title]
    floor: int = 0


class CatalogueWatch:
    """A copy of the catalogue that follows the service."""

    def __init__(self, address, name, role, on_change, log, files=None, check=lambda titles: None, in_use=dict):
        """on_change(titles, version): called for each applied version; titles is None for the stored one at start.

        in_use(): {(title, package): seats in use}. The attribute duties, if set later, gets source(up) when the stream
        opens or closes and heard(reply) for each message on leases.
        """
        self.duties, self.call, self.writing = None, None, asyncio.Lock()
        self.address, self.name, self.role, self.on_change, self.log = address, name, role, on_change, log
        self.follower, self.in_use, self.files = Follower(check), in_use, files
        self.last_received_at, self.stored_wall, self.task, self.channel, self.store = None, None, None, None, None
        self.up, self.snapshot_task, self.logged_deltas = False, None, 0
        self.stream_task, self.reconnect_event = None, asyncio.Event()
        self.recent, self.digests, self.refused = deque(maxlen=KEPT_DELTAS), {}, 0

    def start(self):
        if self.files is not None:
            self.load()
        self.task = asyncio.get_running_loop().create_task(
            run_with_reconnect(self.run_stream, self.on_closed, self.reconnect_event)
        )

    # On disk

    def load(self):
        """Reads the stored catalogue. Unreadable data is not used, and nothing is stored from then on."""
        try:
            self.store = Log(self.files)
            found = self.store.found
            if found.snapshot is None:
                return
            stored = msgspec.msgpack.decode(found.snapshot, type=StoredSnapshot)
            self.follower.load(stored.epoch, stored.version, {t.name: t for t in stored.titles}, stored.floor)
            for _, content in found.records:
                delta, *_ = decode_delta(content)
                self.follower.apply_delta(stored.epoch, delta)
            self.logged_deltas, self.stored_wall = len(found.records), stored.wall
        except (StoreError, OSError, ValueError, VersionGap, msgspec.MsgspecError) as error:
            # Unreadable data is never served: without the service this manager has no titles, which its state shows.
            self.log.error("kept catalogue not used", detail=str(error))
            self.follower.load(None, None, {})
            self.store = None
            return
        self.on_change(None, self.follower.version)

    def persist(self, delta, whole):
        """Stores a version: a delta is logged at once, a snapshot is written in slices."""
        if self.store is None:
            return
        try:
            if whole or self.logged_deltas >= SNAPSHOT_EVERY:
                self.start_snapshot()
            else:
                if self.snapshot_task is None:
                    self.store.append(encode_delta(delta))
                    self.store.commit()
                    self.logged_deltas += 1
        except OSError as error:
            self.log.error("catalogue not kept", detail=str(error))
            self.store = None

    def start_snapshot(self):
        """Starts writing a snapshot of the present version."""
        if self.snapshot_task is not None:
            self.snapshot_task.cancel()
        self.logged_deltas = 0
        self.snapshot_task = asyncio.get_running_loop().create_task(self.write_snapshot())

    async def write_snapshot(self):
        follower = self.follower
        epoch, version, titles, floor = follower.epoch, follower.version, list(follower.titles.values()), follower.floor
        parts = []
        for n in range(0, len(titles), SLICE_TITLES):
            parts.append(b"".join(msgspec.msgpack.encode(t) for t in titles[n : n + SLICE_TITLES]))
            await asyncio.sleep(0)
        head = msgspec.msgpack.encode([1, epoch, version, time.time()])
        # The msgpack array of the six StoredSnapshot fields, assembled from the slices of its titles array.
        data = (
            b"\x96"
            + head[1:]
            + b"\xdd"
            + len(titles).to_bytes(4, "big")
            + b"".join(parts)
            + msgspec.msgpack.encode(floor)
        )
        self.snapshot_task = None
        try:
            self.store.append(b"whole")  # a record, so that this snapshot gets a new number
            self.store.commit()
            self.store.snapshot(data)
        except OSError as error:
            self.log.error("catalogue not kept", detail=str(error))
            self.store = None
            return
        if follower.version != version:  # versions applied during the writing were not logged
            self.start_snapshot()

    # The stream

    def on_closed(self, why):
        self.up, self.call = False, None
        if self.duties is not None:
            self.duties.set_service_up(False)
        if why is not None:
            self.log.info("catalogue not followed", detail=why[:300])

    def reconnect(self):
        """Opens a new stream at once, even if the present one seems to work."""
        self.reconnect_event.set()
        if self.stream_task is not None:
            self.stream_task.cancel()

    async def run_stream(self):
        self.reconnect_event.clear()
        self.stream_task = asyncio.ensure_future(self.read_stream())
        try:
            await asyncio.wait({self.stream_task})
            if self.stream_task.cancelled():
                self.reconnect_event.set()
                return "reconnect requested"
            self.stream_task.result()
        except VersionGap as gap:
            self.follower.epoch = None  # request a snapshot
            return str(gap)
        finally:
            await cancel_and_wait(self.stream_task)

    async def read_stream(self):
        follower = self.follower
        async with open_channel(self.address) as channel:
            call = pb_grpc.CatalogueStub(channel).Watch()
            await call.write(
                pb.WatchRequest(
                    name=self.name,
                    role=self.role,
                    epoch=follower.epoch or "",
                    version=follower.version or 0,
                    in_use=self.seats_in_use(),
                )
            )
            await call.initial_metadata()  # the service is connected, though it may send no message yet
            self.up, self.last_received_at, self.call = True, now(), call
            if self.duties is not None:
                self.duties.set_service_up(True)
            while (reply := await call.read()) is not grpc.aio.EOF:
                self.up, self.last_received_at = True, now()
                if reply.WhichOneof("what") in ("lease", "act"):
                    if self.duties is not None:
                        self.duties.handle_reply(reply)
                elif (answer := self.apply_reply(reply)) is not None:
                    async with self.writing:
                        await call.write(answer)

    async def say(self, **fields):
        """Sends lease fields on the open stream. False: there is none, and the message was not sent."""
        if (call := self.call) is None:
            return False
        try:
            async with self.writing:
                await call.write(pb.WatchRequest(name=self.name, **fields))
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            return False  # the stream has closed; a message that did arrive is subject to fencing
        return True

    def apply_reply(self, reply):
        """Applies a message; the acknowledgement or refusal to send, or None."""
        follower = self.follower
        try:
            message = wire.reply_from_pb(reply)
            changed = (follower.apply_part if isinstance(message, SnapshotPart) else follower.apply_delta)(
                reply.epoch, message
            )
        except ValueError as error:
            version = reply.part.version or reply.delta.version
            self.log.error("catalogue refused", version=version, why=str(error)[:300])
            self.refused = version
            return pb.WatchRequest(name=self.name, refusal=pb.Refusal(version=version, why=str(error)[:500]))
        if isinstance(message, SnapshotPart) and not message.last:
            return None
        self.version_applied(message, changed)
        return pb.WatchRequest(name=self.name, ack=follower.version, in_use=self.seats_in_use())

    def version_applied(self, message, changed):
        """Publishes and stores an applied version. changed: its titles; None: the version did not move."""
        follower = self.follower
        if changed is None:
            return
        self.refused = 0
        if isinstance(message, SnapshotPart):
            self.recent.clear()
            self.digests.clear()
        else:
            self.recent.append(message)
        self.digests[follower.version] = follower.digest
        if len(self.digests) > KEPT_DELTAS:
            del self.digests[next(iter(self.digests))]
        self.log.info("catalogue", version=follower.version, titles=len(changed))
        self.on_change(changed, follower.version)
        self.persist(Delta(follower.version, changed, follower.floor), isinstance(message, SnapshotPart))

    def apply_handed_over(self, epoch, messages):
        """Applies what another manager handed over, its digest checked before. ValueError: it is refused here."""
        for message in messages:
            follower = self.follower
            self.version_applied(
                message,
                (follower.apply_part if isinstance(message, SnapshotPart) else follower.apply_delta)(epoch, message),
            )

    def seats_in_use(self):
        return [pb.SeatsInUse(title=t, package=p, count=n) for (t, p), n in self.in_use().items()]

    def age_s(self):
        """Seconds since the service's last message, or since the stored snapshot if there was none since the start."""
        if self.last_received_at is not None:
            return (now() - self.last_received_at) / 10_000
        return None if self.stored_wall is None else max(0.0, time.time() - self.stored_wall)

    async def stop(self):
        for task in (self.task, self.snapshot_task):
            await cancel_and_wait(task)
