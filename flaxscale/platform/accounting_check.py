"""Compares the decision module's accounting with what crossed the sockets, summarised in each "state" log line.

The module's figures are read and never written. They are compared with the link load that servers report and with what
the connections sent and received: set-ups without an answer, and sessions that play.
"""

from .. import interface


class AccountingCheck:
    """Collects the differences between estimated and reported link load since the last summary."""

    def __init__(self, host):
        self.host = host
        self.reset()

    def reset(self):
        self.reports, self.absolute_error, self.error_sum, self.largest_error, self.load_sum = 0, 0.0, 0.0, 0.0, 0.0

    def compare(self, number, kind, reported):
        """Compares the module's link estimate with a reported link load, before the module receives the report."""
        server = self.host.runner.manager.servers.get(number)
        if kind is not interface.NoteKind.LINK or server is None or server.link.reported_at is None:
            return
        error = server.link.use() - reported
        self.reports += 1
        self.load_sum += reported
        self.absolute_error += abs(error)
        self.error_sum += error
        self.largest_error = max(self.largest_error, abs(error))

    def summary(self):
        """Returns the figures since the last call and resets them."""
        manager, endpoints = self.host.runner.manager, self.host.servers.endpoints
        session_count_error = attempts_counted = 0
        for number, server in manager.servers.items():
            playing = sum(session.playing for session in server.sessions.values())
            attempts_counted += len(server.sessions) - playing
            session_count_error += abs(playing - (len(endpoints[number].playing) if number in endpoints else 0))
        attempts_sent = sum(
            connection.open_call is not None for endpoint in endpoints.values() for connection in endpoint.connections
        ) + sum(len(endpoint.waiting_sessions) for endpoint in endpoints.values())
        report_count = max(1, self.reports)
        rungs = [session.rung for session in manager.sessions.values() if session.playing]
        summary = {
            "figures": self.reports,
            "use_told": round(self.load_sum / report_count, 3),
            "rung": round(sum(rungs) / max(1, len(rungs)), 2),
            "use_off": round(self.absolute_error / report_count, 3),
            "use_bias": round(self.error_sum / report_count, 3),
            "use_worst": round(self.largest_error, 2),
            "viewings_apart": session_count_error,
            "out_believed": attempts_counted,
            "out_sent": attempts_sent,
            "shut": sum(manager.now < server.backoff_until for server in manager.servers.values()),
            "rests": sum(manager.now < server.paused_until for server in manager.servers.values()),
            "cold": sum(manager.is_cold(server) for server in manager.servers.values()),
        }
        self.reset()
        return summary
