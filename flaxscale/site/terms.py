"""Conversion of a checked site file to the decision module's terms."""

import math

from .. import interface
from .load import decode_as, evaluate_jsonnet, raise_first_fault
from .shapes import Site, faults


def span_tenths(ms):
    """A time limit in tenths of a millisecond, rounded down so that it is never exceeded."""
    return math.floor(ms * 10 + 1e-6)


def read_site(file, **variables):
    """The Site of a file. SiteError has the first fault's key and the number of others."""
    return checked(file, decode_as(file, evaluate_jsonnet(file, **variables), Site))


def checked(file, site, under=""):
    """The site, if it has no faults. under: prefix of the keys in the error."""
    raise_first_fault(file, faults(site), under)
    return site


def numbers(names):
    """{name: position}."""
    return {name: n for n, name in enumerate(names)}


class ManagerSite:
    """The site as one manager uses it: its terms, and numbers for the names of packages, kinds and zones.

    before: the ManagerSite in use, when settings are reloaded in a running manager. Running sessions refer to its
    numbers, so names keep their positions, removed names included, and new names are appended.
    """

    def __init__(self, site, me=0, zone=0, seed=0, before=None):
        self.site, self.me, self.seed = site, me, seed
        self.package_rows = {**(before.package_rows if before else {}), **site.packages}
        # kind: maximum of streams
        self.stream_limits = {**(before.stream_limits if before else {}), **site.fleet.kinds}
        self.packages = {name: n for name, n in numbers(self.package_rows).items() if name in site.packages}
        self.kinds = numbers(self.stream_limits)
        self.zones = numbers({**(before.zones if before else {}), **numbers(site.zones)})
        self.zone_name, self.zone = site.zones[zone], self.zones[site.zones[zone]]
        fleet = site.fleet
        self.load_figures = {
            name: figure
            for name, figure in (
                ("link", fleet.link_figure),
                ("uplink", fleet.uplink_figure),
                ("streams", fleet.streams_figure),
            )
            if figure
        }
        self.load_names = tuple(self.load_figures.values())  # as in a probe's answer, in the order of the terms
        # The figures that a set-up's answer has.
        self.note_kinds = {
            self.load_figures[name]: kind
            for name, kind in (("link", interface.NoteKind.LINK), ("uplink", interface.NoteKind.UPLINK))
            if name in self.load_figures and fleet.reports == "answers"
        }
        self.terms = self.build_terms()

    def build_terms(self):
        """The SiteTerms for the decision module."""
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
                    span_tenths(p.join_target_ms),
                    p.value,
                    p.effect,
                    p.group,
                    span_tenths(p.repeat_window_ms),
                    p.floor,
                    min(p.top, rungs - 1),
                    p.scale,
                    p.seats,
                    p.live,
                )
                for p in self.package_rows.values()
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
                tuple(self.stream_limits.values()),
                fleet.kb_per_weight,
                fleet.uplink_kb,
                fleet.guard,
                round(fleet.note_lag_ms * 10),
                round(fleet.note_every_ms * 10),
                tuple(self.load_figures),
                fleet.reports == "probe",
                fleet.weights == "sizes",
            ),
            rules=interface.RuleTerms(
                span_tenths(rules.drain_grace_ms),
                round(rules.warm_within_ms * 10),
                rules.start_capacity,
                rules.tip_multiple,
                round(rules.fall_ms * 10),
                span_tenths(rules.ask_within_ms),
                further and further.free,
                further and further.share,
                further and round(further.span_ms * 10),
            ),
            allowed=interface.Allowed(
                allowed.tune_ins,
                allowed.call_off,
                allowed.hold_off_most_ms > 0,
                span_tenths(allowed.hold_off_most_ms),
                allowed.peers,
                allowed.probes,
                span_tenths(allowed.dial_timeout_ms),
            ),
            prices=interface.Prices(
                site.prices.cross_zone, site.prices.move, site.prices.late, site.prices.peer, site.prices.probe
            ),
            goal=interface.Goal(site.goal.whole, site.goal.worst_window, site.goal.worst_package),
        )

    def patience(self, package, wait):
        """Patience in tenths of ms: the client's `wait` seconds up to a limit, or the package's default."""
        row = list(self.package_rows.values())[package]
        if wait is None:
            return span_tenths(row.patience_ms)
        return span_tenths(min(wait * 1000, self.site.front.patience_most_ms))
