"""The connections to all media servers, within the manager's descriptors.

Sessions may play on more servers than there are descriptors. A server says the end of a session on any open connection
or on the next that is opened, and the client must be told within 8 s (PROTOCOL). So every server with something to say
or to be told is due for a contact: a connection of which nothing is expected but what the server has to say. Contacts
are opened in the order in which they are due, each for the connection that was idle for longest. Every descriptor
counts from the dial until the transport is closed, so that the limit holds whatever the servers do.
"""

import bisect
from collections import deque

from .connection_budget import CONTACT_TIME_MIN, closing_rank, shares


class ContactRequest:
    """A server that needs a connection, and when it is due: before that it gets one only if a descriptor is free."""

    __slots__ = "due_at", "endpoint"

    def __init__(self, due_at, endpoint):
        self.due_at, self.endpoint = due_at, endpoint

    def order(self):
        return -self.due_at


class ServerConnections:
    """open: all that hold a descriptor. waiting: (since when, endpoint, session) of set-ups that wait for one."""

    def __init__(self, host):
        self.host = host
        self.open, self.waiting = set(), deque()
        self.contacts = []  # ContactRequests; the next one is the last of the list
        self.requesting = set()  # endpoints of these requests
        self.collecting = self.serve_scheduled = False

    def shares(self):
        return shares(self.host.descriptors.server_limit())

    # Requests

    def connect_for_set_up(self, endpoint, session):
        """Opens a connection for a set-up, or lets it wait for a descriptor. False: set-ups hold all of their share."""
        available = self.shares()
        if len(self.waiting) + self.busy_count() >= available.set_ups:
            return False
        if self.waiting or len(self.open) >= available.total:
            self.host.counts["set-ups that waited for a descriptor"] += 1
            self.waiting.append((self.host.now(), endpoint, session))
        else:
            endpoint.dial(session)
        self.make_room(self.host.now())
        return True

    def request_contact(self, endpoint, now):
        """Opens a connection to a server when its turn comes."""
        if endpoint in self.requesting:
            return
        self.requesting.add(endpoint)
        request = ContactRequest(endpoint.contact_due_at(now), endpoint)
        if self.collecting:
            self.contacts.append(request)
        else:
            bisect.insort(self.contacts, request, key=ContactRequest.order)
            self.serve(now)

    def collect(self):
        """Begins a maintenance pass: drops all requests, as endpoints repeat those that still hold."""
        self.contacts, self.requesting, self.collecting = [], set(), True

    def serve_collected(self, now):
        """Ends a maintenance pass."""
        self.collecting = False
        self.expire_waiting(now)
        self.contacts.sort(key=ContactRequest.order)
        self.serve(now)

    # Descriptors

    def add(self, connection):
        """Counts a connection from its dial on."""
        self.open.add(connection)

    def remove(self, connection):
        """Frees the descriptor of a connection: its dial failed, or its transport is closed."""
        self.open.discard(connection)
        if (self.waiting or self.contacts) and not self.serve_scheduled and not self.host.stopped:
            self.serve_scheduled = True
            self.host.loop.call_soon(self.serve_scheduled_requests)

    def serve_scheduled_requests(self):
        self.serve_scheduled = False
        self.serve(self.host.now())

    def serve(self, now):
        """Opens what waits and is allowed: set-ups first, as their time is short, within their share."""
        if self.host.stopped:
            return
        total = self.shares().total
        while self.waiting and len(self.open) < total:
            _, endpoint, session = self.waiting.popleft()
            endpoint.connect_waiting(session)
        limit = self.shares().contact_limit(self.busy_count())
        while self.contacts and len(self.open) < limit:
            endpoint = self.contacts.pop().endpoint
            self.requesting.discard(endpoint)
            if endpoint.contact_due_at(now) is not None:
                endpoint.dial(None)
        self.make_room(now)

    def expire_waiting(self, now):
        """Gives up set-ups that waited for as long as a dial may take, before their server is blamed for the time."""
        wait_max = self.host.config.terms.allowed.dial_timeout
        while self.waiting and now - self.waiting[0][0] > wait_max:
            _, endpoint, session = self.waiting.popleft()
            endpoint.no_descriptor(session)

    def make_room(self, now):
        """Closes idle connections for set-ups that wait and contacts that are due, and for the next set-up."""
        staying = sum(not connection.closed for connection in self.open)
        limit = self.shares().contact_limit(self.busy_count())
        missing = staying + len(self.waiting) + self.due_count(now) - limit
        if missing <= 0:
            return
        candidates = [connection for connection in self.open if connection.may_make_room(now - CONTACT_TIME_MIN)]
        candidates.sort(key=lambda connection: closing_rank(connection.idle_state()))
        for connection in candidates[:missing]:
            self.host.counts["closed for room"] += 1
            connection.close()

    def busy_count(self):
        """How many connections serve set-ups."""
        return sum(connection.is_busy() for connection in self.open)

    def due_count(self, now):
        """How many of the requested contacts are due."""
        return len(self.contacts) - bisect.bisect_left(self.contacts, -now, key=ContactRequest.order)
