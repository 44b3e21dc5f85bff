"""The operators' client of the catalogue service."""

import asyncio
import secrets

import grpc
import msgspec

from ..catalogue import wire
from ..proto import catalogue_pb2 as pb
from ..proto import catalogue_pb2_grpc as pb_grpc
from ..proto import peaks_pb2_grpc
from ..serve.clock import now
from .streams import open_channel

RETRY_PAUSE_S = 0.1  # between two attempts of a call


def new_id():
    """A random id for a change."""
    return secrets.token_hex(8)


class ServiceError(Exception):
    """A call failed; the message has the address and the gRPC status."""


class Client:
    """A connection to the service, as a context manager."""

    def __init__(self, address):
        self.address = address

    async def __aenter__(self):
        self.channel = open_channel(self.address)
        self.stub, self.peaks = pb_grpc.CatalogueStub(self.channel), peaks_pb2_grpc.PeaksStub(self.channel)
        return self

    async def __aexit__(self, *_):
        await self.channel.close()

    async def call(self, method, request, timeout=30.0, stub=None, retry_for_s=0.0):
        """One call, of the catalogue service or, with stub=self.peaks, of the peak service. Raises ServiceError.

        retry_for_s: how long a call without an answer is repeated. Only for calls that have an id or change nothing.
        """
        deadline = now() + round(retry_for_s * 10_000)
        while True:
            try:
                return await getattr(stub or self.stub, method)(request, timeout=timeout)
            except grpc.aio.AioRpcError as error:
                if error.code() is grpc.StatusCode.UNAVAILABLE and now() < deadline:
                    await asyncio.sleep(RETRY_PAUSE_S)
                    continue
                raise ServiceError(f"{self.address}: {error.code().name}: {error.details()}") from None

    async def change(self, ops, expect=None, force=False, dry=False, who="", why="", id=None, retry_for_s=0.0):
        """Makes a change and returns the ChangeReply. ops: operations of catalogue.state. id: random by default."""
        return await self.call(
            "Change",
            pb.ChangeRequest(
                ops=msgspec.json.encode(ops),
                expect=expect,
                force=force,
                dry=dry,
                who=who,
                why=why,
                id="" if dry else id or new_id(),
            ),
            retry_for_s=retry_for_s,
        )

    async def get(self, version=None, titles=()):
        """(version, {name: Title}) at a version (default: the latest), of the given titles or all."""
        titles_by_name, found_version = {}, 0
        try:
            async for part in self.stub.Get(pb.GetRequest(version=version, titles=titles), timeout=60.0):
                found_version = part.version
                titles_by_name.update((t.name, wire.title_from_pb(t)) for t in part.titles)
        except grpc.aio.AioRpcError as error:
            raise ServiceError(f"{self.address}: {error.code().name}: {error.details()}") from None
        return found_version, titles_by_name
