"""Descriptors: a part for clients, the rest for servers, less a reserve; who makes room when they run short."""

import heapq
import resource

RESERVE = 16  # for the listener, discovery, the peers, the log and the loop
CLIENTS_PART = 5, 8  # of the others, for clients; the rest is for servers
CLIENTS_OVER = RESERVE // 2  # connections past the clients' part that are let in while others make room for them


class Descriptors:
    def __init__(self, host):
        self.host = host

    def clients_most(self):
        part, whole = CLIENTS_PART
        return (self.host.config.sockets - RESERVE) * part // whole

    def servers_most(self):
        return self.host.config.sockets - RESERVE - self.clients_most()

    def room_to_dial(self):
        """Whether one more connection to a server may be made; the one that idles longest makes room for it."""
        busy = self.host.servers.busy
        used = sum(len(endpoint.connections) + endpoint.dialing for endpoint in busy)
        if used < self.servers_most():
            return True
        idle = [one for endpoint in busy for one in endpoint.connections if one.free()]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.since).close()
        return True

    def make_client_room(self):
        """Past our share whoever is spared most easily leaves; where nobody is, newcomers wait in the kernel."""
        clients = self.host.clients
        over = len(clients) - self.clients_most()
        if over > 0:
            self.close_spare_clients()
        if over >= CLIENTS_OVER:
            self.abort_closing_clients(1 + over - CLIENTS_OVER)
        self.host.listener.hold(len(clients) - self.clients_most() >= CLIENTS_OVER)

    def close_spare_clients(self):
        staying = [one for one in self.host.clients if not (one.closed or one.leaving)]
        over = len(staying) - self.clients_most()
        if over <= 0:
            return
        now = self.host.now()
        for first in heapq.nlargest(over, staying, key=lambda one: one.spare(now)):
            if not first.open:
                idle, age = now - first.used_at, now - first.since
                self.host.said("viewers closed for room", good=first.good, idle=idle, age=age)
                first.leave()

    def abort_closing_clients(self, count):
        """Those that we closed longest ago have had most of their time to read."""
        closing = [one for one in self.host.clients if one.closing_at is not None]
        for first in heapq.nsmallest(count, closing, key=lambda one: one.closing_at):
            first.abort()
            self.host.clients.pop(first, None)


def raise_limit(config):
    """Raises the soft limit to what the configuration gives, where the platform left it lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < min(config.sockets, hard):
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(config.sockets, hard), hard))
