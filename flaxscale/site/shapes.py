"""The shape of a site file: what may stand there, and which values make sense together.

Spans end in _ms, rates in _kb (kB a second). All figures are the operators'; none is used by a decision before
it has become one of the module's terms (terms.py).
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
    kinds: dict[str, int]  # streams at most, by kind of machine, in the file's order
    kb_per_weight: float
    uplink_kb: float
    guard: float = 0
    note_lag_ms: float = 900
    note_every_ms: float = 3000
    lease_ms: float = 4000  # a box keeps what its manager left so long, unless somebody claims it
    media_ms: float = 30_000  # a box ends what had no media for so long (RFC 7675: consent expires)
    link_figure: str = "x0"  # names in the load reports
    uplink_figure: str | None = None
    streams_figure: str | None = None  # streams that a box runs
    reports: Literal["answers", "probe"] = "answers"  # how boxes report their load: unasked, or to probes only
    weights: Literal["sizes", "none"] = "sizes"  # what the list's weights tell; none: places tell sizes
    behind_s: float = 6  # a manager that settled versions have not reached for so long is a straggler
    floor_share: float = 0.34  # a floor that shuts out more of the living managers is refused unless forced
    floor_by_rule: bool = False  # the service raises the floor to what has been settled for behind_s
    drift: float = 0.01  # clocks of two machines differ by at most so much of any span


class FurtherRow(Struct, forbid_unknown_fields=True):
    free: float
    share: float
    span_ms: float


class DutyRow(Struct, forbid_unknown_fields=True):
    """Something that one manager does for the whole fleet, or several share out, under leases (leases/duties.py)."""

    on: bool = True
    period_s: float = 0  # 0: the duty's own usual figure, as for those below
    span_s: float = 0  # of a lease
    step_s: float = 0  # what one act of it takes at most


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
    view: str | None = None  # package of those who watch
    push: str | None = None  # package of who pushes


class FrontRow(Struct, forbid_unknown_fields=True):
    """Bounds of the front's own sockets, and who may use it."""

    tokens: list[str] = []  # none: open to all
    fleet_token: str | None = None  # shown to boxes
    gate: bool = True  # refuse at once what can't be answered in time, and who tries too often
    member_keys: list[str] = []  # managers sign with the first and take any: so they are changed one by one
    connections: int = 20_000
    box_connections: int = 64
    head_bytes: int = 8192
    body_bytes: int = 65_536
    head_ms: float = 5000
    body_ms: float = 10_000
    idle_ms: float = 75_000
    held_most: int = 100_000  # viewings held at most, playing ones included
    patience_most_ms: float = 30_000  # a client's own Prefer: wait counts up to here
    keep_answers_ms: float = 30_000  # an Idempotency-Key is known this long after its answer
    one_per_viewer: bool = False  # who says its viewer id has one viewing of a title: a new offer is in its place


class Site(Struct, forbid_unknown_fields=True):
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
    duties: dict[str, DutyRow] = {}  # what is done under leases; nothing that is not named here
    peaks: list[PeakRow] = []  # announced here; those put in service under the same name come first


def faults(site):
    """(key, what was expected) for all that no type can tell; every one, not only the first."""
    out = []

    def want(good, key, expected):
        if not good:
            out.append((key, expected))

    want(site.packages, "packages", "at least one package")
    rungs = len(site.ladder.kb)
    want(rungs >= 1 and all(kb > 0 for kb in site.ladder.kb), "ladder.kb", "at least one rate, each over 0")
    want(sorted(site.ladder.kb) == site.ladder.kb, "ladder.kb", "rates in rising order")
    want(len(site.ladder.worth) == rungs, "ladder.worth", f"{rungs} figures, one a rate in ladder.kb")
    want(sorted(site.ladder.worth) == site.ladder.worth, "ladder.worth", "figures in rising order")
    want(0 < site.ladder.join <= 1, "ladder.join", "over 0, at most 1")
    for name, row in site.packages.items():
        at = f"packages.{name}"
        want(row.join_target_ms > 0, f"{at}.join_target_ms", "over 0")
        want(
            row.patience_ms > row.join_target_ms, f"{at}.patience_ms", f"over the join target of {row.join_target_ms:g}"
        )
        want(row.value > 0, f"{at}.value", "over 0")
        want(0 <= row.floor < max(rungs, 1), f"{at}.floor", f"a rung, 0 to {rungs - 1}")
        want(row.top >= row.floor, f"{at}.top", f"the floor {row.floor} or more")
        want(row.scale > 0, f"{at}.scale", "over 0")
        want(row.seats >= 0, f"{at}.seats", "0 (any number) or more")
        want(row.effect != "keyed" or row.repeat_window_ms > 0, f"{at}.repeat_window_ms", "over 0 for a keyed package")
    fleet = site.fleet
    want(fleet.cells >= 1, "fleet.cells", "1 or more")
    want(1 <= fleet.racks <= max(fleet.cells, 1), "fleet.racks", f"1 to {fleet.cells}, the cells")
    want(
        fleet.kinds and all(n >= 1 for n in fleet.kinds.values()),
        "fleet.kinds",
        "at least one kind, each with 1 stream or more",
    )
    want(fleet.kb_per_weight > 0, "fleet.kb_per_weight", "over 0")
    want(fleet.uplink_kb > 0, "fleet.uplink_kb", "over 0")
    asked = fleet.reports == "probe"
    want(fleet.lease_ms > 0, "fleet.lease_ms", "over 0")
    want(fleet.media_ms > 0, "fleet.media_ms", "over 0")
    want(fleet.behind_s > 0, "fleet.behind_s", "over 0")
    want(0 <= fleet.floor_share <= 1, "fleet.floor_share", "0 to 1")
    want(
        fleet.note_every_ms > 0 or fleet.note_every_ms == 0 and asked,
        "fleet.note_every_ms",
        "over 0, or 0 where fleet.reports is 'probe'",
    )
    want(site.allowed.probes or not asked, "allowed.probes", "true, as fleet.reports is 'probe',")
    figures = [name for name in (fleet.link_figure, fleet.uplink_figure, fleet.streams_figure) if name is not None]
    want(len(set(figures)) == len(figures), "fleet.link_figure", "another name than the other figures'")
    for key in ("cross_zone", "move", "late", "peer", "probe"):
        want(getattr(site.prices, key) >= 0, f"prices.{key}", "0 or more")
    rules = site.rules
    want(rules.warm_within_ms > 0, "rules.warm_within_ms", "over 0")
    want(0 < rules.start_capacity <= 1, "rules.start_capacity", "over 0, at most 1")
    want(rules.tip_multiple > 1, "rules.tip_multiple", "over 1")
    want(rules.fall_ms > 0, "rules.fall_ms", "over 0")
    want(rules.drain_grace_ms >= 0, "rules.drain_grace_ms", "0 or more")
    if rules.further:
        want(rules.further.span_ms > 0, "rules.further.span_ms", "over 0")
        want(rules.further.free >= 0 and rules.further.share >= 0, "rules.further", "0 or more")
    want(site.allowed.tune_ins >= 1, "allowed.tune_ins", "1 or more")
    want(site.allowed.dial_timeout_ms > 0, "allowed.dial_timeout_ms", "over 0")
    want(1 <= site.managers <= 65_535, "managers", "1 to 65535")
    want(site.zones, "zones", "at least one zone")
    for name, row in site.titles.items():
        at = f"titles.{name}"
        want(0 <= row.first_cell < max(fleet.cells, 1), f"{at}.first_cell", f"a cell, 0 to {fleet.cells - 1}")
        want(1 <= row.cells <= max(fleet.cells, 1), f"{at}.cells", f"1 to {fleet.cells}, the cells")
        want(row.view or row.push, at, "a package to view or to push")
        for use in ("view", "push"):
            package = getattr(row, use)
            want(
                package is None or package in site.packages,
                f"{at}.{use}",
                f"one of the packages {', '.join(site.packages)}",
            )
    want(0 <= fleet.drift < 0.5, "fleet.drift", "0 up to 0.5")
    for name, row in site.duties.items():
        want(name in DUTIES, f"duties.{name}", f"one of {', '.join(DUTIES)}")
        want(min(row.period_s, row.span_s, row.step_s) >= 0, f"duties.{name}", "figures of 0 or more")
        fault = name in DUTIES and task_with(name, row.period_s, row.span_s, row.step_s, fleet.drift).error()
        want(not fault, f"duties.{name}.span_s", f"another figure ({fault})")
    announced = []
    for n, row in enumerate(site.peaks):
        try:
            announced.append(row.announcement())
        except ValueError as bad:
            want(False, f"peaks.{n}", f"another time ({bad})")
        want(not (row.start.startswith("+") or row.end.startswith("+")), f"peaks.{n}", "times with a date")
    for name, detail in peak_faults(announced, site.titles, rungs, tuple(site.packages)):
        want(False, f"peaks.{name}", f"another figure ({detail})")
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
        want(getattr(site.front, key) > 0, f"front.{key}", "over 0")
    return out
