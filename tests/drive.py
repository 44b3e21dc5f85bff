"""A small site and a manager that tests feed events by hand. Its actions are compared with a stored trace."""

import difflib
import os
import pathlib
import unittest

from flaxscale import interface
from flaxscale.decide import Manager

S = 10_000  # a second, in tenths of a millisecond
TRACES = pathlib.Path(__file__).parent / "traces"


def pack(**changes):
    """A package with these fields changed."""
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
    """Tests of subclasses call start(), then at() with events, and end with compare()."""

    def setUp(self):
        self.lines = []

    def start(self, *packages, warm=True, servers=3, quiet=False, **terms):
        self.manager, self.timers, self.now, self.quiet = Manager(site(packages, **terms)), [], 100 * S, quiet
        self.at(0, self.list(*range(1, servers + 1)))
        if warm:  # so long after its start that the manager trusts the server list
            self.at(20 * S)

    def list(self, *servers, kind=interface.ListKind.CACHED, state=interface.ServerStatus.READY, started_at=0):
        return interface.ServerListUpdate(
            kind, tuple(interface.ServerEntry(n, 0, (n - 1) % 3, n % 2, 1.0, started_at, state) for n in servers)
        )

    def ask(self, id, package=0, title=9, left=30_000, top=2, cells=3, first=0, hint=0):
        return interface.SessionRequest(id, package, title, id, left, top, first, cells, hint, False, False)

    def at(self, later, *events, say="", stands=False):
        """Moves the clock on and handles the events. Timers due meanwhile fire at their time first.

        say: a comment line for the trace. stands: the manager stalls, and the timers fire at the end.
        """
        until = self.now + later
        if stands:
            self.now = until
        while self.timers and min(self.timers)[0] <= until:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.handle(interface.TimerFired(timer[1]))
        self.now = until
        if say:
            self.lines.append(f"-- {say}")
        for event in events:
            self.handle(event)

    def handle(self, event):
        """Gives the manager an event, starts the timers that it asks for and adds its other actions to the trace."""
        for action in self.manager.handle(self.now, event):
            if isinstance(action, interface.Remind):
                self.timers.append((self.now + action.after, action.token))
                continue
            if self.quiet:
                continue
            name, fields = type(action).__name__, dict(action._asdict())
            if "expire_at" in fields:
                fields["for"] = fields.pop("expire_at") - self.now
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            self.lines.append(f"{(self.now - 100 * S) / S:7.2f} {name} {text}")

    def begun(self, id, server, nth=0):
        return interface.AttemptSucceeded(id, nth, server, 1_000)

    def ended(self, id, server, outcome, nth=0, over=False, load=()):
        return interface.AttemptEnded(id, nth, server, outcome, 1_000, over, load)

    def looked(self, server, link, uplink=0.1, streams=5.0):
        """The answer to a probe."""
        return interface.ProbeEnded(server, interface.Outcome.OK, 30, (streams, link, uplink))

    def link(self, id, server, amount):
        """A note on the use of a server's link."""
        return interface.PlaybackNote(id, 0, server, interface.NoteKind.LINK, amount)

    def handed(self, id, server, rung=0, **ask):
        """Events that hand over a session which plays at this server and rung."""
        return (
            interface.SessionHandedOver(self.ask(id, **ask), server),
            interface.PlaybackNote(id, 0, server, interface.NoteKind.RUNG, float(rung)),
        )

    def plays(self, *ids, server=1, rung=2):
        """Hands over sessions that play at this server and rung."""
        for id in ids:
            self.at(0, *self.handed(id, server, rung))

    def compare(self):
        """Compares the trace with the stored one of this test. With FLAXSCALE_KEEP set, it is stored first."""
        path = TRACES / f"{self._testMethodName.removeprefix('test_')}.txt"
        if os.environ.get("FLAXSCALE_KEEP"):
            path.write_text("\n".join(self.lines) + "\n")
        expected = path.read_text().splitlines()
        diff = list(difflib.unified_diff(expected, self.lines, "expected", "now", lineterm=""))
        self.assertFalse(diff, "\n" + "\n".join(diff))
