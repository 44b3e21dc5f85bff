"""A checked site file as the module's terms."""

import math

from .. import interface
from .load import evaluate, refuse, shape
from .shapes import Site, faults


def span(ms):
    """Bounds on us are cut down to whole tenths of a millisecond, so that they are never overrun."""
    return math.floor(ms * 10 + 1e-6)


def read_site(file, **given):
    """The Site of a file; SiteError names the first fault's key and counts the others."""
    return checked(file, shape(file, evaluate(file, **given), Site))


def checked(file, site, under=""):
    refuse(file, faults(site), under)
    return site


def numbers(names):
    return {name: n for n, name in enumerate(names)}


class Sense:
    """A site as one manager reads it: its terms, and numbers for the names of packages, kinds and zones.

    before: the Sense that is in service, where this one follows it in a running manager. What is in work goes by its
    numbers: names keep their places in its dicts, those that are gone too, and new ones come after them.
    """

    def __init__(self, site, me=0, zone=0, seed=0, before=None):
        self.site, self.me, self.seed = site, me, seed
        self.rows = {**(before.rows if before else {}), **site.packages}
        self.places = {**(before.places if before else {}), **site.fleet.kinds}  # streams at most, by kind
        self.packages = {name: n for name, n in numbers(self.rows).items() if name in site.packages}
        self.kinds = numbers(self.places)
        self.zones = numbers({**(before.zones if before else {}), **numbers(site.zones)})
        self.zone_name, self.zone = site.zones[zone], self.zones[site.zones[zone]]
        fleet = site.fleet
        self.figures = {
            name: figure
            for name, figure in (
                ("link", fleet.link_figure),
                ("uplink", fleet.uplink_figure),
                ("streams", fleet.streams_figure),
            )
            if figure
        }
        self.load_names = tuple(self.figures.values())  # in a probe's answer, in the order of the terms
        self.notes = {
            self.figures[name]: kind
            for name, kind in (("link", interface.NoteKind.LINK), ("uplink", interface.NoteKind.UPLINK))
            if name in self.figures and fleet.reports == "answers"
        }  # that a set-up's answer brings
        self.terms = self.make()

    def make(self):
        site, rungs = self.site, len(self.site.ladder.kb)
        rules, fleet, allowed = site.rules, site.fleet, site.allowed
        further = rules.further
        return interface.SiteTerms(
            manager_number=self.me,
            manager_count=site.managers,
            zone=self.zone,
            seed=self.seed,
            packages=tuple(
                interface.Package(
                    span(p.join_target_ms),
                    p.value,
                    p.effect,
                    p.group,
                    span(p.repeat_window_ms),
                    p.floor,
                    min(p.top, rungs - 1),
                    p.scale,
                    p.seats,
                    p.live,
                )
                for p in self.rows.values()
            ),
            ladder=interface.Ladder(
                tuple(site.ladder.kb),
                tuple(site.ladder.worth),
                round(site.ladder.switch_cost_ms * 10),
                site.ladder.stall,
                site.ladder.join,
            ),
            fleet=interface.FleetTerms(
                fleet.cells,
                fleet.racks,
                tuple(self.places.values()),
                fleet.kb_per_weight,
                fleet.uplink_kb,
                fleet.guard,
                round(fleet.note_lag_ms * 10),
                round(fleet.note_every_ms * 10),
                tuple(self.figures),
                fleet.reports == "probe",
                fleet.weights == "sizes",
            ),
            rules=interface.RuleTerms(
                span(rules.drain_grace_ms),
                round(rules.warm_within_ms * 10),
                rules.start_capacity,
                rules.tip_multiple,
                round(rules.fall_ms * 10),
                span(rules.ask_within_ms),
                further and further.free,
                further and further.share,
                further and round(further.span_ms * 10),
            ),
            allowed=interface.Allowed(
                allowed.tune_ins,
                allowed.call_off,
                allowed.hold_off_most_ms > 0,
                span(allowed.hold_off_most_ms),
                allowed.peers,
                allowed.probes,
                span(allowed.dial_timeout_ms),
            ),
            prices=interface.Prices(
                site.prices.cross_zone, site.prices.move, site.prices.late, site.prices.peer, site.prices.probe
            ),
            goal=interface.Goal(site.goal.whole, site.goal.worst_window, site.goal.worst_package),
        )

    def patience(self, package, wait):
        """Viewer patience in tenths: the client's own word, up to a bound, else the package's."""
        row = list(self.rows.values())[package]
        if wait is None:
            return span(row.patience_ms)
        return span(min(wait * 1000, self.site.front.patience_most_ms))
