"""The operators' side of the catalogue service: one call, one answer, errors in plain words."""

import asyncio
import secrets

import grpc
import msgspec

from ..catalogue import wire
from ..proto import catalogue_pb2 as pb
from ..proto import catalogue_pb2_grpc as pb_grpc
from ..proto import peaks_pb2_grpc
from ..serve.clock import now
from .streams import channel_to

PAUSE_S = 0.1


def new_id():
    """One for a change that no other has."""
    return secrets.token_hex(8)


class ServiceError(Exception):
    """The service did not answer, or not as asked."""


class Client:
    def __init__(self, address):
        self.address = address

    async def __aenter__(self):
        self.channel = channel_to(self.address)
        self.stub, self.peaks = pb_grpc.CatalogueStub(self.channel), peaks_pb2_grpc.PeaksStub(self.channel)
        return self

    async def __aexit__(self, *_):
        await self.channel.close()

    async def call(self, method, request, timeout=30.0, stub=None, retry_for_s=0.0):
        """One call, of the catalogue or, with stub=self.peaks, of announced peaks. ServiceError with the reason.

        retry_for_s: how long a call without an answer is repeated. Only for calls that have an id or change nothing.
        """
        until = now() + round(retry_for_s * 10_000)
        while True:
            try:
                return await getattr(stub or self.stub, method)(request, timeout=timeout)
            except grpc.aio.AioRpcError as error:
                if error.code() is grpc.StatusCode.UNAVAILABLE and now() < until:
                    await asyncio.sleep(PAUSE_S)
                    continue
                raise ServiceError(f"{self.address}: {error.code().name}: {error.details()}") from None

    async def change(self, ops, expect=None, force=False, dry=False, who="", why="", id=None, retry_for_s=0.0):
        """The ChangeReply. ops: operations of catalogue.state. id: the change's own; drawn where it is left out."""
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
        """(version, {name: Title})."""
        found, at = {}, 0
        try:
            async for part in self.stub.Get(pb.GetRequest(version=version, titles=titles), timeout=60.0):
                at = part.version
                found.update((t.name, wire.title_from_pb(t)) for t in part.titles)
        except grpc.aio.AioRpcError as error:
            raise ServiceError(f"{self.address}: {error.code().name}: {error.details()}") from None
        return at, found
