"""The endpoints of the listed media servers; only those in use are maintained."""

from ..interface import ServerStatus
from .endpoints import Endpoint


class ServerList:
    """endpoints: by server number. addresses: the endpoint that serves at each. active: endpoints in use."""

    def __init__(self, host):
        self.host = host
        self.endpoints, self.addresses, self.active = {}, {}, set()

    def apply_list_update(self, update):
        """Applies a list update from discovery."""
        for row in update.entries:
            self.apply_row(row, update.addresses[row.server])

    def apply_row(self, row, address):
        endpoint = self.endpoints.get(row.server)
        if endpoint is not None:
            endpoint.update_from_list(row)
        if row.state is ServerStatus.GONE:
            if endpoint is not None and endpoint.is_removable():
                self.remove(endpoint)
            return
        ready = row.state is ServerStatus.READY
        if endpoint is not None and endpoint.address == address and not (endpoint.retired and ready):
            return
        # The serving server owns the address; a later row of its previous owner must not take it back.
        previous = self.addresses.get(address)
        if ready and previous is not None and previous.server != row.server:
            previous.retire()
            self.active.add(previous)
        if endpoint is not None:
            endpoint.retire()
            endpoint.lose_sessions()
            self.active.add(endpoint)
        self.endpoints[row.server] = Endpoint(self.host, row.server, address, row.started_at)
        if ready or previous is None:
            self.addresses[address] = self.endpoints[row.server]

    def maintain(self, now):
        self.host.server_connections.collect()
        for endpoint in list(self.active):
            endpoint.maintain(now)
            if endpoint.is_removable():
                self.remove(endpoint)
            elif not endpoint.in_use():
                self.active.discard(endpoint)
        self.host.server_connections.serve_collected(now)

    def unconnected_count(self):
        """How many servers with playing sessions have no connection, on which they could report an end."""
        return sum(bool(endpoint.playing) and not endpoint.is_connected() for endpoint in self.active)

    def longest_silence(self, now):
        """The longest time for which a server with playing sessions was not heard, in tenths of a millisecond."""
        return max((now - endpoint.received_at for endpoint in self.active if endpoint.playing), default=0)

    def remove(self, endpoint):
        endpoint.retire()
        self.active.discard(endpoint)
        if self.endpoints.get(endpoint.server) is endpoint:
            del self.endpoints[endpoint.server]
        if self.addresses.get(endpoint.address) is endpoint:
            del self.addresses[endpoint.address]
