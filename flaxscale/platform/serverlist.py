"""The media servers of the list, as endpoints; upkeep is of those only where something of ours is."""

from ..interface import ServerStatus
from .endpoints import Endpoint


class ServerList:
    """endpoints: by server. addresses: who serves there. busy: where something of ours is, or is on its way."""

    def __init__(self, host):
        self.host = host
        self.endpoints, self.addresses, self.busy = {}, {}, set()

    def hear(self, news):
        """The list, as discovery tells it."""
        for row in news.entries:
            self.hear_row(row, news.addresses[row.server])

    def hear_row(self, row, address):
        endpoint = self.endpoints.get(row.server)
        if endpoint is not None:
            endpoint.told(row)
        if row.state is ServerStatus.GONE:
            if endpoint is not None and endpoint.forgettable():
                self.forget(endpoint)
            return
        ready = row.state is ServerStatus.READY
        if endpoint is not None and endpoint.address == address and not (endpoint.gone and ready):
            return
        # Who serves now has the address; what is told later of one that had it before must not take it away.
        before = self.addresses.get(address)
        if ready and before is not None and before.server != row.server:
            before.shut()
            self.busy.add(before)
        if endpoint is not None:
            endpoint.shut()
            endpoint.lost()
            self.busy.add(endpoint)
        self.endpoints[row.server] = Endpoint(self.host, row.server, address, row.started_at)
        if ready or before is None:
            self.addresses[address] = self.endpoints[row.server]

    def tend(self, now):
        for endpoint in list(self.busy):
            endpoint.tend(now)
            if endpoint.forgettable():
                self.forget(endpoint)
            elif not endpoint.busy():
                self.busy.discard(endpoint)

    def forget(self, endpoint):
        endpoint.shut()
        self.busy.discard(endpoint)
        if self.endpoints.get(endpoint.server) is endpoint:
            del self.endpoints[endpoint.server]
        if self.addresses.get(endpoint.address) is endpoint:
            del self.addresses[endpoint.address]
