"""Releases to clients: the end of a session is sent until the client acknowledges it."""

from dataclasses import dataclass, field

from ..jsonl import messages
from .clients import ClientConnection

# Spans in tenths of a millisecond.
RESEND_INTERVAL = 1_500  # between two transmissions of an unacknowledged release
SLOW_THRESHOLD = 8_000  # unacknowledged releases are logged after this
RELEASE_TIMEOUT = 80_000  # the protocol allows a release 8 s at most


@dataclass(slots=True, eq=False)
class ClientRelease:
    """One release. `tried`: connections on which it was not acknowledged."""

    cause: int
    requested_at: int
    connection: ClientConnection
    sent_at: int = 0
    tried: set = field(default_factory=set)


class ClientReleases:
    """The releases that clients have not acknowledged, by call."""

    def __init__(self, host):
        self.host, self.pending = host, {}

    def __len__(self):
        return len(self.pending)

    def release(self, session, cause):
        """Tells the client that its session is over, until it acknowledges that."""
        self.pending[session.call] = ClientRelease(cause, self.host.now(), session.client)
        self.send(session.call)

    def send(self, call):
        """Sends a release on the connection of its set-up; without an acknowledgement, on others in turn."""
        release = self.pending[call]
        if release.sent_at or release.connection.closed:
            release.tried.add(release.connection)
            release.connection = self.next_connection(release)
        if not release.connection.closed:
            release.sent_at = self.host.now()
            release.connection.send(messages.encode("end", call, why=release.cause))

    def next_connection(self, release):
        """The next connection to try: untried ones first, then those with most accepted sessions."""
        others = (
            client
            for client in self.host.clients
            if client.validated and not client.closed and client is not release.connection
        )
        return max(
            others,
            default=release.connection,
            key=lambda client: (client not in release.tried, client.accepted_count, client.received_at),
        )

    def maintain(self, now):
        for call, release in list(self.pending.items()):
            if now - release.requested_at > RELEASE_TIMEOUT:
                del self.pending[call]
                self.host.counts["releases not heard"] += 1
            elif now - release.sent_at > RESEND_INTERVAL:
                if now - release.requested_at > SLOW_THRESHOLD:
                    self.log_slow(call, release, now)
                self.send(call)

    def log_slow(self, call, release, now):
        connection = release.connection
        self.host.count_and_log(
            "slow release",
            call=call,
            since=now - release.requested_at,
            carried=connection.accepted_count,
            closed=connection.closed,
        )

    def acknowledged(self, call):
        self.pending.pop(call, None)
