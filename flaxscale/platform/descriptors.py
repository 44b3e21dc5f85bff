"""The descriptor budget: a reserve, a share for clients, the rest for servers; closes client connections for room."""

import heapq
import resource

RESERVED = 16  # descriptors for the listener, discovery, the peer socket, the log and the event loop
CLIENT_SHARE = 5, 8  # as a fraction of the other descriptors; the rest is for servers
CLIENT_OVERFLOW_MAX = RESERVED // 2  # connections accepted above the clients' share while others are being closed


class Descriptors:
    """Limits the client connections of one manager, and tells the limit of its server connections."""

    def __init__(self, host):
        self.host = host
        self.recheck_pending = False

    def client_limit(self):
        share, total = CLIENT_SHARE
        return (self.host.config.sockets - RESERVED) * share // total

    def server_limit(self):
        return self.host.config.sockets - RESERVED - self.client_limit()

    def make_client_room(self):
        """Closes connections above the clients' share, and stops accepting while none can be closed."""
        clients = self.host.clients
        over = len(clients) - self.client_limit()
        if over > 0:
            self.evict_clients()
        if over >= CLIENT_OVERFLOW_MAX:
            self.abort_closing_clients(1 + over - CLIENT_OVERFLOW_MAX)
        self.host.listener.set_on_hold(len(clients) - self.client_limit() >= CLIENT_OVERFLOW_MAX)

    def recheck_hold(self):
        """To be called whenever a connection may have become closable: no new one comes while accepting is on hold.

        The check runs in the loop's next iteration, once for all connections of this one.
        """
        if self.host.listener.on_hold and not self.recheck_pending:
            self.recheck_pending = True
            self.host.loop.call_soon(self.recheck)

    def recheck(self):
        self.recheck_pending = False
        self.make_client_room()

    def evict_clients(self):
        staying = [client for client in self.host.clients if not (client.closed or client.closing_for_room)]
        over = len(staying) - self.client_limit()
        if over <= 0:
            return
        now = self.host.now()
        for client in heapq.nlargest(over, staying, key=lambda client: client.eviction_rank(now)):
            if not client.open_requests:
                idle, age = now - client.used_at, now - client.connected_at
                self.host.count_and_log("viewers closed for room", good=client.validated, idle=idle, age=age)
                client.close_for_room()

    def abort_closing_clients(self, count):
        """Aborts the connections that were closed longest ago, as their clients had most time to read answers."""
        closing = [client for client in self.host.clients if client.close_started_at is not None]
        for client in heapq.nsmallest(count, closing, key=lambda client: client.close_started_at):
            client.abort()
            self.host.clients.pop(client, None)


def raise_limit(config):
    """Raises the soft descriptor limit to the configured number if it is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < min(config.sockets, hard):
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(config.sockets, hard), hard))
