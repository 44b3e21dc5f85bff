"""What the module believes against what crossed the sockets, summed up between two lines of state in the log.

Belief is read from the module and never written. Truth is what servers tell on the sockets (asked of their links) and
what the shell itself sent and got (set-ups out, viewings that stand).
"""

from .. import interface


class Belief:
    def __init__(self, host):
        self.host = host
        self.begin()

    def begin(self):
        self.notes, self.off, self.bias, self.worst, self.told = 0, 0.0, 0.0, 0.0, 0.0

    def noted(self, server, kind, told):
        """Before the module hears a figure of a link: how far its own account was off."""
        srv = self.host.runner.manager.servers.get(server)
        if kind is not interface.NoteKind.LINK or srv is None or srv.link.heard_at is None:
            return
        gap = srv.link.use() - told
        self.notes += 1
        self.told += told
        self.off += abs(gap)
        self.bias += gap
        self.worst = max(self.worst, abs(gap))

    def taken(self):
        """The figures since the last call."""
        manager, endpoints = self.host.runner.manager, self.host.servers.endpoints
        apart = out = 0
        for server, srv in manager.servers.items():
            playing = sum(vw.playing for vw in srv.viewings.values())
            out += len(srv.viewings) - playing
            apart += abs(playing - (len(endpoints[server].playing) if server in endpoints else 0))
        sent = sum(one.call is not None for endpoint in endpoints.values() for one in endpoint.connections) + sum(
            len(endpoint.waiting) for endpoint in endpoints.values()
        )
        n = max(1, self.notes)
        rungs = [vw.rung for vw in manager.viewings.values() if vw.playing]
        found = {
            "figures": self.notes,
            "use_told": round(self.told / n, 3),
            "rung": round(sum(rungs) / max(1, len(rungs)), 2),
            "use_off": round(self.off / n, 3),
            "use_bias": round(self.bias / n, 3),
            "use_worst": round(self.worst, 2),
            "viewings_apart": apart,
            "out_believed": out,
            "out_sent": sent,
            "shut": sum(manager.now < srv.shut_until for srv in manager.servers.values()),
            "rests": sum(manager.now < srv.rests_until for srv in manager.servers.values()),
            "cold": sum(manager.is_cold(srv) for srv in manager.servers.values()),
        }
        self.begin()
        return found
