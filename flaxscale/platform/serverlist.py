"""The endpoints of the listed media servers; only those in use are maintained."""

from collections import OrderedDict

from ..interface import ServerStatus
from .endpoints import Endpoint

REMOVED_MAX = 4_096  # servers that left the list, whose addresses are kept; the oldest are dropped


class ServerList:
    """endpoints: by server number. addresses: the endpoint that serves at each. active: endpoints in use.

    removed: the addresses of servers that left the list and have no endpoint, by server number.
    """

    def __init__(self, host):
        self.host = host
        self.endpoints, self.addresses, self.active = {}, {}, set()
        self.removed = OrderedDict()

    def apply_list_update(self, update):
        """Applies a list update from discovery."""
        for row in update.entries:
            self.apply_row(row, update.addresses[row.server])

    def apply_row(self, row, address):
        endpoint = self.endpoints.get(row.server)
        if endpoint is not None:
            endpoint.update_from_list(row)
        if row.state is ServerStatus.GONE:
            if endpoint is None:
                self.keep_address(row.server, address)
            elif endpoint.is_removable():
                self.remove(endpoint)
            return
        self.removed.pop(row.server, None)
        ready = row.state is ServerStatus.READY
        if endpoint is not None and endpoint.address == address and not (endpoint.retired and ready):
            return
        # The serving server owns the address; a later row of its previous owner must not take it back.
        previous, new = self.addresses.get(address), Endpoint(self.host, row.server, address, row.started_at)
        if ready and previous is not None and previous.server != row.server:
            previous.retire(successor=new)
            self.active.add(previous)
        if endpoint is not None:
            endpoint.retire()
            endpoint.lose_sessions()
            self.active.add(endpoint)
        self.endpoints[row.server] = new
        if ready or previous is None:
            self.addresses[address] = new

    def names(self, server):
        """Whether the list names a server, or named it before the server left the list."""
        return server in self.endpoints or server in self.removed

    def endpoint_of_session(self, server):
        """The endpoint of a server at which a session is said to play, None: it has none, or a successor's address.

        A server that left the list gets an endpoint again: its process may run on with its sessions, and if it does
        not, the refused connections show it.
        """
        endpoint, address = self.endpoints.get(server), self.removed.get(server)
        if endpoint is not None or address is None or address in self.addresses:
            return endpoint
        del self.removed[server]
        endpoint = self.endpoints[server] = self.addresses[address] = Endpoint(self.host, server, address, 0)
        endpoint.list_state = ServerStatus.GONE
        self.active.add(endpoint)
        return endpoint

    def keep_address(self, server, address):
        """Keeps the address of a server that left the list."""
        self.removed[server] = address
        self.removed.move_to_end(server)
        if len(self.removed) > REMOVED_MAX:
            self.removed.popitem(last=False)

    def maintain(self, now):
        self.host.server_connections.collect()
        try:
            for endpoint in list(self.active):
                endpoint.maintain(now)
                if endpoint.is_removable():
                    self.remove(endpoint)
                elif not endpoint.in_use():
                    self.active.discard(endpoint)
        finally:  # an error at one server must not keep the others from their connections
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
            self.keep_address(endpoint.server, endpoint.address)
        if self.addresses.get(endpoint.address) is endpoint:
            del self.addresses[endpoint.address]
