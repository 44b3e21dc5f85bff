"""Releases towards clients: what stood and is over is told until the client says that it heard."""

from dataclasses import dataclass, field

from ..jsonl import messages
from .clients import ClientConnection

# Spans in tenths of a millisecond; the protocol gives a release 8 s at most.
AGAIN = 1_500  # a release that no client heard goes again
SLOW = 8_000  # unheard so long it is said in the log
MOST = 80_000


@dataclass(slots=True, eq=False)
class ClientRelease:
    """One release. `tried`: connections on which it was not heard."""

    cause: int
    since: int
    connection: ClientConnection
    said_at: int = 0
    tried: set = field(default_factory=set)


class ClientReleases:
    def __init__(self, host):
        self.host, self.pending = host, {}

    def __len__(self):
        return len(self.pending)

    def release(self, session, cause):
        """The session is over: its client is told, now and until it has heard."""
        self.pending[session.call] = ClientRelease(cause, self.host.now(), session.client)
        self.say(session.call)

    def say(self, call):
        """On the connection of its set-up; if that is gone or does not hear, on others that carry sessions, in turn."""
        release = self.pending[call]
        if release.said_at or release.connection.closed:
            release.tried.add(release.connection)
            release.connection = self.next_connection(release)
        if not release.connection.closed:
            release.said_at = self.host.now()
            release.connection.say(messages.encode("end", call, why=release.cause))

    def next_connection(self, release):
        """Untried ones first, then those that carry most sessions."""
        others = (one for one in self.host.clients if one.good and not one.closed and one is not release.connection)
        return max(
            others,
            default=release.connection,
            key=lambda one: (one not in release.tried, one.carried, one.heard_at),
        )

    def tend(self, now):
        for call, release in list(self.pending.items()):
            if now - release.since > MOST:
                del self.pending[call]
                self.host.counts["releases not heard"] += 1
            elif now - release.said_at > AGAIN:
                if now - release.since > SLOW:
                    self.say_slow(call, release, now)
                self.say(call)

    def say_slow(self, call, release, now):
        connection = release.connection
        self.host.said(
            "slow release", call=call, since=now - release.since, carried=connection.carried, closed=connection.closed
        )

    def heard(self, call):
        self.pending.pop(call, None)
