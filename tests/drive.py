"""A small made-up site and a manager driven by hand; its decisions are compared with a kept trace."""

import difflib
import os
import pathlib
import unittest

from flaxscale import interface
from flaxscale.decide import Manager

S = 10_000  # a second
TRACES = pathlib.Path(__file__).parent / "traces"


def pack(**changes):
    row = dict(
        join_target=15_000,
        value=1.0,
        effect="safe",
        group="all",
        repeat_window=5 * S,
        floor=0,
        top=2,
        scale=1.0,
        seats=0,
        live=False,
    )
    return interface.Package(**{**row, **changes})


def site(
    packages,
    peers=1,
    me=0,
    tune_ins=4,
    further=(None, None, None),
    worst_package=0.0,
    uplink_kb=3000.0,
    tells=False,
    seed=7,
    word_price=0.0,
    racks=1,
    slots=(8,),
    probes=False,
    weighed=True,
    cross=0.0,
):
    return interface.SiteTerms(
        manager_number=me,
        manager_count=peers,
        zone=0,
        seed=seed,
        packages=tuple(packages),
        ladder=interface.Ladder((100.0, 200.0, 400.0), (0.3, 0.6, 1.0), 5_000, 6.0, 0.25),
        fleet=interface.FleetTerms(
            3,
            racks,
            slots,
            1000.0,
            uplink_kb,
            0.0,
            10_000,
            0 if probes else 3 * S,
            ("streams", "link", "uplink") if probes else ("link",),
            probes,
            weighed,
        ),
        rules=interface.RuleTerms(1 * S, 10 * S, 0.4, 2.5, 1 * S, 10 * S, *further),
        allowed=interface.Allowed(tune_ins, True, True, 5_000, tells, probes, 2_500),
        prices=interface.Prices(cross, 0.1, 0.05, word_price, 0.01 if probes else 0.0),
        goal=interface.Goal(0.6, 0.2, worst_package),
    )


class Drive(unittest.TestCase):
    """Subclasses call start, then at(...) with events; compare() ends the test."""

    def setUp(self):
        self.lines = []

    def start(self, *packages, warm=True, servers=3, quiet=False, **terms):
        self.manager, self.alarms, self.now, self.quiet = Manager(site(packages, **terms)), [], 100 * S, quiet
        self.at(0, self.list(*range(1, servers + 1)))
        if warm:  # old enough to trust its list
            self.at(20 * S)

    def list(self, *servers, kind=interface.ListKind.CACHED, state=interface.ServerStatus.READY, started_at=0):
        return interface.ServerListUpdate(
            kind, tuple(interface.ServerEntry(n, 0, (n - 1) % 3, n % 2, 1.0, started_at, state) for n in servers)
        )

    def ask(self, id, package=0, title=9, left=30_000, top=2, cells=3, first=0, hint=0):
        return interface.SessionRequest(id, package, title, id, left, top, first, cells, hint, False, False)

    def at(self, later, *events, say="", stands=False):
        """Moves the clock on (the alarms between ring first, or all at the end) and hands the events over."""
        until = self.now + later
        if stands:
            self.now = until
        while self.alarms and min(self.alarms)[0] <= until:
            due = min(self.alarms)
            self.alarms.remove(due)
            self.now = max(self.now, due[0])
            self.tell(interface.TimerFired(due[1]))
        self.now = until
        if say:
            self.lines.append(f"-- {say}")
        for event in events:
            self.tell(event)

    def tell(self, event):
        for act in self.manager.handle(self.now, event):
            if isinstance(act, interface.Remind):
                self.alarms.append((self.now + act.after, act.token))
                continue
            if self.quiet:
                continue
            name, said = type(act).__name__, dict(act._asdict())
            if "expire_at" in said:
                said["for"] = said.pop("expire_at") - self.now
            told = " ".join(f"{key}={value}" for key, value in said.items())
            self.lines.append(f"{(self.now - 100 * S) / S:7.2f} {name} {told}")

    def begun(self, id, server, nth=0):
        return interface.AttemptSucceeded(id, nth, server, 1_000)

    def ended(self, id, server, how, nth=0, over=False, load=()):
        return interface.AttemptEnded(id, nth, server, how, 1_000, over, load)

    def looked(self, server, link, uplink=0.1, streams=5.0):
        return interface.ProbeEnded(server, interface.Outcome.OK, 30, (streams, link, uplink))

    def link(self, id, server, amount):
        return interface.PlaybackNote(id, 0, server, interface.NoteKind.LINK, amount)

    def handed(self, id, server, rung=0, **ask):
        return (
            interface.SessionHandedOver(self.ask(id, **ask), server),
            interface.PlaybackNote(id, 0, server, interface.NoteKind.RUNG, float(rung)),
        )

    def plays(self, *ids, server=1, rung=2):
        for id in ids:
            self.at(0, *self.handed(id, server, rung))

    def compare(self):
        path = TRACES / f"{self._testMethodName.removeprefix('test_')}.txt"
        if os.environ.get("FLAXSCALE_KEEP"):
            path.write_text("\n".join(self.lines) + "\n")
        kept = path.read_text().splitlines()
        diff = list(difflib.unified_diff(kept, self.lines, "kept", "now", lineterm=""))
        self.assertFalse(diff, "\n" + "\n".join(diff))
