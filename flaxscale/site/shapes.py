"""The structure of a site file, and checks of its values.

Time spans end in _ms, rates in _kb (kB a second). Decisions don't use these values directly but the terms that terms.py
makes of them.
"""

from typing import Literal

import msgspec

from ..leases.duties import DUTIES, task_with
from ..peaks.announce import faults as peak_faults
from ..peaks.times import PeakRow

Struct = msgspec.Struct


class PackageRow(Struct, forbid_unknown_fields=True):
    join_target_ms: float
    patience_ms: float
    value: float
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window_ms: float = 0
    floor: int = 0
    top: int = 99
    scale: float = 1
    seats: int = 0
    live: bool = False


class LadderRow(Struct, forbid_unknown_fields=True):
    kb: list[float]
    worth: list[float]
    switch_cost_ms: float = 500
    stall: float = 7
    join: float = 1


class FleetRow(Struct, forbid_unknown_fields=True):
    cells: int
    racks: int
    kinds: dict[str, int]  # maximum of streams by kind of machine, in file order
    kb_per_weight: float
    uplink_kb: float
    guard: float = 0
    note_lag_ms: float = 900
    note_every_ms: float = 3000
    lease_ms: float = 4000  # how long a box keeps the sessions of a lost manager if no manager claims them
    media_ms: float = 30_000  # a box ends a session without media for this long (RFC 7675, consent expiry)
    link_figure: str = "x0"  # names in the load reports
    uplink_figure: str | None = None
    streams_figure: str | None = None  # the figure for the streams that a box runs
    reports: Literal["answers", "probe"] = "answers"  # how boxes report load: in answers to set-ups or to probes
    weights: Literal["sizes", "none"] = (
        "sizes"  # meaning of the list's weights; none: a box's size comes from its place
    )
    behind_s: float = 6  # a manager without a version committed this long ago is a straggler
    floor_share: float = 0.34  # a floor that excludes a larger share of live managers is refused unless forced
    floor_by_rule: bool = False  # the service raises the floor to the version committed behind_s ago
    drift: float = 0.01  # maximum relative difference between two machines' clocks


class FurtherRow(Struct, forbid_unknown_fields=True):
    free: float
    share: float
    span_ms: float


class DutyRow(Struct, forbid_unknown_fields=True):
    """A task that one manager does for the fleet, or several share, under leases (leases/duties.py)."""

    on: bool = True
    period_s: float = 0  # 0, here and below: the duty's default
    span_s: float = 0  # lease length
    step_s: float = 0  # maximum duration of one act


class RulesRow(Struct, forbid_unknown_fields=True):
    drain_grace_ms: float
    warm_within_ms: float
    start_capacity: float
    tip_multiple: float
    fall_ms: float
    ask_within_ms: float = 10_000
    further: FurtherRow | None = None


class AllowedRow(Struct, forbid_unknown_fields=True):
    tune_ins: int = 4
    call_off: bool = True
    hold_off_most_ms: float = 0  # 0: no hold-off
    peers: bool = False
    probes: bool = False
    dial_timeout_ms: float = 250


class PricesRow(Struct, forbid_unknown_fields=True):
    cross_zone: float = 0
    move: float = 0.1
    late: float = 0.05
    peer: float = 0.01
    probe: float = 0


class GoalRow(Struct, forbid_unknown_fields=True):
    whole: float = 0.5
    worst_window: float = 0.3
    worst_package: float = 0.2


class TitleRow(Struct, forbid_unknown_fields=True):
    first_cell: int
    cells: int
    view: str | None = None  # package of its viewers
    push: str | None = None  # package of its publishers


class FrontRow(Struct, forbid_unknown_fields=True):
    """Limits of the front's sockets, and access."""

    tokens: list[str] = []  # empty: no token needed
    fleet_token: str | None = None  # sent to boxes
    gate: bool = True  # refuse requests that can't be answered in time, and too frequent retries
    member_keys: list[str] = []  # managers sign with the first and accept any, so that keys can be rotated
    connections: int = 20_000
    box_connections: int = 64
    head_bytes: int = 8192
    body_bytes: int = 65_536
    head_ms: float = 5000
    body_ms: float = 10_000
    idle_ms: float = 75_000
    held_most: int = 100_000  # maximum of viewings, running ones included
    patience_most_ms: float = 30_000  # limit on the client's Prefer: wait
    keep_answers_ms: float = 30_000  # an Idempotency-Key is kept this long after its answer
    one_per_viewer: bool = False  # a viewer id has one viewing of a title; a new offer replaces it


class Site(Struct, forbid_unknown_fields=True):
    """A site file."""

    name: str
    packages: dict[str, PackageRow]
    ladder: LadderRow
    fleet: FleetRow
    rules: RulesRow
    titles: dict[str, TitleRow]
    managers: int = 1
    zones: list[str] = msgspec.field(default_factory=lambda: ["one"])
    allowed: AllowedRow = msgspec.field(default_factory=AllowedRow)
    prices: PricesRow = msgspec.field(default_factory=PricesRow)
    goal: GoalRow = msgspec.field(default_factory=GoalRow)
    front: FrontRow = msgspec.field(default_factory=FrontRow)
    duties: dict[str, DutyRow] = {}  # enabled duties, by name
    peaks: list[PeakRow] = []  # default announcements; one made at the service under the same name takes precedence


def faults(site):
    """(key, what was expected) of all faults that types can't express."""
    found = []

    def require(accepted, key, expected):
        if not accepted:
            found.append((key, expected))

    require(site.packages, "packages", "at least one package")
    rungs = len(site.ladder.kb)
    require(rungs >= 1 and all(kb > 0 for kb in site.ladder.kb), "ladder.kb", "at least one rate, each over 0")
    require(sorted(site.ladder.kb) == site.ladder.kb, "ladder.kb", "rates in rising order")
    require(len(site.ladder.worth) == rungs, "ladder.worth", f"{rungs} figures, one for each rate in ladder.kb")
    require(sorted(site.ladder.worth) == site.ladder.worth, "ladder.worth", "figures in rising order")
    require(0 < site.ladder.join <= 1, "ladder.join", "over 0, at most 1")
    for name, row in site.packages.items():
        at = f"packages.{name}"
        require(row.join_target_ms > 0, f"{at}.join_target_ms", "over 0")
        require(
            row.patience_ms > row.join_target_ms, f"{at}.patience_ms", f"over the join target of {row.join_target_ms:g}"
        )
        require(row.value > 0, f"{at}.value", "over 0")
        require(0 <= row.floor < max(rungs, 1), f"{at}.floor", f"a rung, 0 to {rungs - 1}")
        require(row.top >= row.floor, f"{at}.top", f"the floor {row.floor} or more")
        require(row.scale > 0, f"{at}.scale", "over 0")
        require(row.seats >= 0, f"{at}.seats", "0 (any number) or more")
        require(
            row.effect != "keyed" or row.repeat_window_ms > 0, f"{at}.repeat_window_ms", "over 0 for a keyed package"
        )
    fleet = site.fleet
    require(fleet.cells >= 1, "fleet.cells", "1 or more")
    require(1 <= fleet.racks <= max(fleet.cells, 1), "fleet.racks", f"1 to {fleet.cells}, the cells")
    require(
        fleet.kinds and all(n >= 1 for n in fleet.kinds.values()),
        "fleet.kinds",
        "at least one kind, each with 1 stream or more",
    )
    require(fleet.kb_per_weight > 0, "fleet.kb_per_weight", "over 0")
    require(fleet.uplink_kb > 0, "fleet.uplink_kb", "over 0")
    reports_by_probe = fleet.reports == "probe"
    require(fleet.lease_ms > 0, "fleet.lease_ms", "over 0")
    require(fleet.media_ms > 0, "fleet.media_ms", "over 0")
    require(fleet.behind_s > 0, "fleet.behind_s", "over 0")
    require(0 <= fleet.floor_share <= 1, "fleet.floor_share", "0 to 1")
    require(
        fleet.note_every_ms > 0 or fleet.note_every_ms == 0 and reports_by_probe,
        "fleet.note_every_ms",
        "over 0, or 0 where fleet.reports is 'probe'",
    )
    require(site.allowed.probes or not reports_by_probe, "allowed.probes", "true, as fleet.reports is 'probe',")
    figures = [name for name in (fleet.link_figure, fleet.uplink_figure, fleet.streams_figure) if name is not None]
    require(len(set(figures)) == len(figures), "fleet.link_figure", "another name than the other figures'")
    for key in ("cross_zone", "move", "late", "peer", "probe"):
        require(getattr(site.prices, key) >= 0, f"prices.{key}", "0 or more")
    rules = site.rules
    require(rules.warm_within_ms > 0, "rules.warm_within_ms", "over 0")
    require(0 < rules.start_capacity <= 1, "rules.start_capacity", "over 0, at most 1")
    require(rules.tip_multiple > 1, "rules.tip_multiple", "over 1")
    require(rules.fall_ms > 0, "rules.fall_ms", "over 0")
    require(rules.drain_grace_ms >= 0, "rules.drain_grace_ms", "0 or more")
    if rules.further:
        require(rules.further.span_ms > 0, "rules.further.span_ms", "over 0")
        require(rules.further.free >= 0 and rules.further.share >= 0, "rules.further", "0 or more")
    require(site.allowed.tune_ins >= 1, "allowed.tune_ins", "1 or more")
    require(site.allowed.dial_timeout_ms > 0, "allowed.dial_timeout_ms", "over 0")
    require(1 <= site.managers <= 65_535, "managers", "1 to 65535")
    require(site.zones, "zones", "at least one zone")
    for name, row in site.titles.items():
        at = f"titles.{name}"
        require(0 <= row.first_cell < max(fleet.cells, 1), f"{at}.first_cell", f"a cell, 0 to {fleet.cells - 1}")
        require(1 <= row.cells <= max(fleet.cells, 1), f"{at}.cells", f"1 to {fleet.cells}, the cells")
        require(row.view or row.push, at, "a package to view or to push")
        for use in ("view", "push"):
            package = getattr(row, use)
            require(
                package is None or package in site.packages,
                f"{at}.{use}",
                f"one of the packages {', '.join(site.packages)}",
            )
    require(0 <= fleet.drift < 0.5, "fleet.drift", "0 up to 0.5")
    for name, row in site.duties.items():
        require(name in DUTIES, f"duties.{name}", f"one of {', '.join(DUTIES)}")
        require(min(row.period_s, row.span_s, row.step_s) >= 0, f"duties.{name}", "figures of 0 or more")
        fault = name in DUTIES and task_with(name, row.period_s, row.span_s, row.step_s, fleet.drift).error()
        require(not fault, f"duties.{name}.span_s", f"another figure ({fault})")
    announced = []
    for n, row in enumerate(site.peaks):
        try:
            announced.append(row.announcement())
        except ValueError as error:
            require(False, f"peaks.{n}", f"another time ({error})")
        require(not (row.start.startswith("+") or row.end.startswith("+")), f"peaks.{n}", "times with a date")
    for name, detail in peak_faults(announced, site.titles, rungs, tuple(site.packages)):
        require(False, f"peaks.{name}", f"another figure ({detail})")
    for key in (
        "connections",
        "box_connections",
        "head_bytes",
        "body_bytes",
        "head_ms",
        "body_ms",
        "idle_ms",
        "held_most",
        "patience_most_ms",
    ):
        require(getattr(site.front, key) > 0, f"front.{key}", "over 0")
    return found
