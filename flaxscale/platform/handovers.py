"""Hand-overs: clients' messages about sessions that play already, and what is needed to judge them.

The server may have left the list or not be on it yet, and the session may be over already.
"""

from ..interface import Outcome
from ..jsonl import messages
from .pending_handovers import PendingHandover, PendingHandovers
from .recent_ends import RecentEnds, SessionEnd
from .sessions import session_of


class Handovers:
    """client_ends, server_ends: ends of sessions, by sender. pending: hand-overs at servers that are not known yet."""

    def __init__(self, host):
        self.host = host
        self.client_ends, self.server_ends = RecentEnds(), RecentEnds()
        self.pending = PendingHandovers()

    # Ends

    def record_client_end(self, message):
        """Records a client's end of a playing session, or of one that is not held here, for later hand-overs."""
        self.record_end(self.client_ends, message, None)

    def record_server_end(self, message, server):
        """Records the same of a server."""
        self.record_end(self.server_ends, message, server)

    def record_end(self, ends, message, server):
        if messages.CALL_ID.match(message.call):
            ends.add(int(message.call, 16), SessionEnd(server, message.why, self.host.now()))

    # Hand-overs

    def handle(self, client, setup):
        """Takes on a session that plays already. False: its server is not known yet, or not any more."""
        host, setup = self.host, setup._replace(desc="")  # not needed; saves memory with thousands of sessions
        endpoint = host.servers.endpoint_of_session(setup.playing_at)
        if endpoint is None:
            self.handle_unlisted(client, setup)
            return False
        host.counts["handed over"] += 1
        session = session_of(setup, client)
        if not self.has_ended(session, endpoint):
            host.sessions[setup.id] = session
            endpoint.expect_session()
            host.mark_playing(session, endpoint)
            host.runner.session_handed_over(host.session_request(setup, 0), setup.playing_at, None)
        return True

    def has_ended(self, session, endpoint):
        """Whether a session that is handed over is over already; tells that to the side that does not know it."""
        by_server = self.server_ends.find(session.id, endpoint.server)
        by_client = self.client_ends.find(session.id, endpoint.server)
        if by_server is None and by_client is None:
            return False
        self.host.count_and_log("ended before its hand-over", call=session.call, by_viewer=by_client is not None)
        if by_server is None:
            self.host.servers.active.add(endpoint)
            endpoint.release(session.call, messages.CAUSE_NORMAL)
        elif by_client is None:
            self.tell_end(session, by_server.cause)
        return True

    def tell_end(self, session, cause):
        """Tells a client that its session has ended at its server, unless it ended the session itself."""
        if messages.OUTCOMES_AFTER_START.get(cause) is not Outcome.CANCELLED:
            self.host.client_releases.release(session, cause)

    def handle_unlisted(self, client, setup):
        """Keeps a hand-over until the list names its server; the session is over if that has gone."""
        if not self.host.servers.names(setup.playing_at):
            self.host.counts["handed over before the list"] += 1
            if self.pending.add(PendingHandover(setup, setup.playing_at, client, self.host.now())):
                return
        self.refuse(client, setup)

    def refuse(self, client, setup):
        """Tells a client that a session which it handed over is over: its server has gone."""
        host = self.host
        if setup.id in host.sessions:
            return
        host.count_and_log("handed over at a server that has gone", call=setup.call, server=f"{setup.playing_at:08x}")
        if self.client_ends.find(setup.id, setup.playing_at) is None:
            by_server = self.server_ends.find(setup.id, setup.playing_at)
            self.tell_end(session_of(setup, client), by_server.cause if by_server else messages.CAUSE_INTERRUPTED)

    # Time and the list

    def list_changed(self):
        """Takes on the hand-overs whose servers the list names by now."""
        if not len(self.pending):
            return
        for handover in self.pending.take(self.host.servers.names):
            if handover.setup.id not in self.host.sessions:
                self.handle(handover.client, handover.setup)

    def expire(self, now):
        """Drops old ends, and refuses hand-overs whose server the list should have named by now."""
        self.server_ends.expire(now)
        self.client_ends.expire(now)
        for handover in self.pending.expire(now):
            self.refuse(handover.client, handover.setup)
