"""The operators' side of the catalogue service: one call, one answer, errors in plain words."""
import grpc
import msgspec

from ..catalogue import wire
from ..proto import catalogue_pb2 as pb
from ..proto import catalogue_pb2_grpc as pb_grpc


class ServiceError(Exception):
    """The service did not answer, or not as asked."""


class Client:
    def __init__(self, address):
        self.address = address

    async def __aenter__(self):
        self.channel = grpc.aio.insecure_channel(self.address, options=[
            ("grpc.max_receive_message_length", 64 << 20), ("grpc.max_send_message_length", 64 << 20),
            ("grpc.enable_http_proxy", 0), ("grpc.use_local_subchannel_pool", 1)])
        self.stub = pb_grpc.CatalogueStub(self.channel)
        return self

    async def __aexit__(self, *_):
        await self.channel.close()

    async def call(self, method, request, timeout=30.0):
        try:
            return await getattr(self.stub, method)(request, timeout=timeout)
        except grpc.aio.AioRpcError as bad:
            raise ServiceError(f"{self.address}: {bad.code().name}: {bad.details()}") from None

    async def change(self, ops, expect=None, force=False, dry=False, who="", why=""):
        """The ChangeReply. ops: operations of catalogue.state."""
        return await self.call("Change", pb.ChangeRequest(ops=msgspec.json.encode(ops), expect=expect, force=force,
                                                          dry=dry, who=who, why=why))

    async def get(self, version=None, titles=()):
        """(version, {name: Title})."""
        found, at = {}, 0
        try:
            async for part in self.stub.Get(pb.GetRequest(version=version, titles=titles), timeout=60.0):
                at = part.version
                found.update((t.name, wire.title_in(t)) for t in part.titles)
        except grpc.aio.AioRpcError as bad:
            raise ServiceError(f"{self.address}: {bad.code().name}: {bad.details()}") from None
        return at, found
