"""The shape of a day's file: a site, a fleet, demand and troubles on a time line. Played on sockets here."""

import msgspec

from ..peaks.announce import Announcement
from ..peaks.announce import faults as peak_faults
from ..site.load import decode_as, evaluate_jsonnet, raise_first_fault
from ..site.shapes import Site, Struct
from ..site.terms import checked
from ..standins.box import Trouble
from .ways import CHANCES, KINDS, WayError, named, parties, struck


class BoxRow(Struct, forbid_unknown_fields=True):
    cell: int
    kind: str
    zone: str = "one"
    weight: float = 1.0
    link_kb: float | None = None  # none: what its weight says
    cold: bool = False  # it starts with the day


class DemandRow(Struct, forbid_unknown_fields=True):
    rate: float  # new viewings a second
    titles: dict[str, float]  # weight by title
    pushes: list[str] = []  # titles that are pushed through the day
    play_s: list[float] = msgspec.field(default_factory=lambda: [4.0, 9.0])
    patience: list[float] = msgspec.field(default_factory=lambda: [1.0, 1.0])  # times the package's
    returns: float = 0.9  # come again after a break or a block
    back_s: list[float] = msgspec.field(default_factory=lambda: [0.5, 2.0])
    tries: int = 3
    leave: float = 0.02  # go before they are answered
    small: float = 0.2  # can use the lower half of the rungs only
    keyed: float = 0  # ask under an Idempotency-Key, and again under it where no answer came


class TroubleRow(Struct, forbid_unknown_fields=True):
    at_s: float
    what: str
    for_s: float = 0
    value: float = 1
    share: float | None = None  # of the boxes or managers, drawn by the seed
    boxes: list[int] | None = None
    managers: list[int] | None = None
    titles: list[str] | None = None
    rack: int | None = None
    between: list[list[str]] | None = None  # way: groups between which the fault strikes: names of parties or of groups
    kind: str = "cut"  # way: of the fault (lab/ways.py); disk: full or slow
    one_way: bool = False  # way: only from the first group to the second
    jitter: float = 0  # way, delay: up to so many ms more
    heal_s: float = 0  # way: its pairs heal one by one in this time, not all at once
    disk: bool = True  # manager_crash: it comes back with what its disk kept
    force: bool = False  # floor: whoever it shuts out; value: so many versions under the settled one


class ClockRow(Struct, forbid_unknown_fields=True):
    """A manager's clock that is wrong."""

    step_s: float = 0
    rate: float = 1.0  # its seconds in one of ours


class ChangesRow(Struct, forbid_unknown_fields=True):
    """A live catalogue that changes through the day: holders come and go, renditions and seats change."""

    rate: float = 0  # change sets a second
    from_s: float = 0
    for_s: float = 1e9
    titles: list[str] | None = None  # all of the site's if left out


class Day(Struct, forbid_unknown_fields=True):
    site: Site
    boxes: list[BoxRow]
    demand: DemandRow
    length_s: float
    troubles: list[TroubleRow] = []
    catalogue: ChangesRow | None = None
    peaks: list[Announcement] = []  # seconds of the day; put in service as it begins
    holders: dict[str, list[int]] | None = None  # with a catalogue: numbers of boxes by title, not the cells
    after: Site | None = None  # the settings of the trouble `settings`: loaded, then the first ones again
    members: bool = False  # managers talk to each other and take over from those that die
    settle_s: float = 2.0  # before the day begins
    list_late_ms: float = 300
    ways: bool = False  # all processes reach each other by a relay; so they do where a trouble is a way
    groups: dict[str, list[str]] = {}  # names for several parties: m0, b1, list, catalogue, managers, boxes
    clocks: dict[str, ClockRow] = {}  # by manager, m0 ...
    older: list[str] = []  # managers of an older build, which say nothing of their versions
    lease_ms: float | None = None  # the site's fleet.lease_ms if left out
    work_ms: float = 15


def holders_of(day, title):
    """Ids of the boxes in the title's cells, as the site file places it."""
    row, cells = day.site.titles[title], day.site.fleet.cells
    return [n + 1 for n, b in enumerate(day.boxes) if (b.cell - row.first_cell) % cells < row.cells]


def link_of(day, box):
    """kB a second of a box's link, by its own figure or by its weight."""
    return box.link_kb if box.link_kb is not None else box.weight * day.site.fleet.kb_per_weight


BOX_TROUBLES = frozenset(vars(Trouble()))
WHOLE = {
    "crash",
    "manager_crash",
    "manager_stall",
    "manager_restart",
    "catalogue_crash",
    "list_late",
    "list_frozen",
    "crowd",
    "uplink",
    "settings",
    "way",
    "disk",
    "box_stall",
    "catalogue_stall",
    "floor",
}
SOCKETS_ONLY = {"disk", "floor", "settings"}
MODEL_WAYS = {"cut", "delay", "lose"}  # kinds that the model plays: the others are of connections; it has none
MOST_PROCESSES = 400


def parties_of(day):
    return parties(day.site.managers, len(day.boxes), day.catalogue is not None)


def by_relay(day):
    return day.ways or any(row.what == "way" for row in day.troubles)


def ways_of(day, n):
    """The ways that trouble n strikes; WayError where it names nobody."""
    row = day.troubles[n]
    return struck(row.between or [], row.one_way, parties_of(day), day.groups, f"troubles.{n}.between")


def faults(day, sockets):
    out = []

    def want(good, key, expected):
        if not good:
            out.append((key, expected))

    site = day.site
    want(day.boxes, "boxes", "at least one box")
    want(
        not sockets or len(day.boxes) + site.managers <= MOST_PROCESSES,
        "boxes",
        f"at most {MOST_PROCESSES} processes with the managers; this day would start {len(day.boxes) + site.managers}",
    )
    want(day.length_s > 0, "length_s", "over 0")
    want(day.demand.rate > 0, "demand.rate", "over 0")
    for n, box in enumerate(day.boxes):
        want(0 <= box.cell < site.fleet.cells, f"boxes.{n}.cell", f"0 to {site.fleet.cells - 1}")
        want(box.kind in site.fleet.kinds, f"boxes.{n}.kind", f"one of {', '.join(site.fleet.kinds)}")
        want(box.zone in site.zones, f"boxes.{n}.zone", f"one of {', '.join(site.zones)}")
    for title in [*day.demand.titles, *day.demand.pushes]:
        want(title in site.titles, f"demand.titles.{title}", "a title of the site")
    want(0 <= day.demand.keyed <= 1, "demand.keyed", "a share, 0 to 1")
    for key in ("play_s", "patience", "back_s"):
        pair = getattr(day.demand, key)
        want(len(pair) == 2 and 0 < pair[0] <= pair[1], f"demand.{key}", "two figures, rising, over 0")
    if day.catalogue:
        want(day.catalogue.rate >= 0, "catalogue.rate", "0 or more")
        for title in day.catalogue.titles or ():
            want(title in site.titles, f"catalogue.titles.{title}", "a title of the site")
    for title, boxes in (day.holders or {}).items():
        want(title in site.titles, f"holders.{title}", "a title of the site")
        want(
            boxes and all(0 <= b < len(day.boxes) for b in boxes),
            f"holders.{title}",
            f"numbers of boxes, 0 to {len(day.boxes) - 1}",
        )
    want(not day.holders or day.catalogue, "holders", "a catalogue too")
    want(
        not day.members or (site.allowed.peers and site.front.member_keys),
        "members",
        "allowed.peers true and front.member_keys in the site too",
    )
    want(not sockets or not day.peaks or day.catalogue, "peaks", "a catalogue too: its service is told of them")
    for name, detail in peak_faults(day.peaks, site.titles, len(site.ladder.kb), tuple(site.packages)):
        want(False, f"peaks.{name}", f"another figure ({detail})")
    for name, members in day.groups.items():
        try:
            named(members, parties_of(day), {}, f"groups.{name}")
        except WayError as bad:
            want(False, bad.key, bad.expected)
    for n, name in enumerate(day.older):
        want(name in parties_of(day)["managers"], f"older.{n}", f"a manager, m0 to m{site.managers - 1}")
    for name, clock in day.clocks.items():
        want(name in parties_of(day)["managers"], f"clocks.{name}", f"a manager, m0 to m{site.managers - 1}")
        want(0.5 <= clock.rate <= 2, f"clocks.{name}.rate", "0.5 to 2")
    for n, row in enumerate(day.troubles):
        at = f"troubles.{n}"
        want(row.what != "settings" or day.after is not None, "after", "the settings that the trouble loads")
        want(row.what in BOX_TROUBLES | WHOLE, f"{at}.what", f"one of {', '.join(sorted(BOX_TROUBLES | WHOLE))}")
        want(0 <= row.at_s <= day.length_s, f"{at}.at_s", f"within the day, 0 to {day.length_s:g}")
        want(row.share is None or 0 < row.share <= 1, f"{at}.share", "over 0, at most 1")
        want(
            row.boxes is None or all(0 <= b < len(day.boxes) for b in row.boxes),
            f"{at}.boxes",
            f"numbers of boxes, 0 to {len(day.boxes) - 1}",
        )
        want(
            sockets is not False or row.what not in SOCKETS_ONLY,
            f"{at}.what",
            f"a trouble that the model plays ({row.what!r} needs processes)",
        )
        if row.what == "way":
            want(
                sockets is not False or row.kind in MODEL_WAYS,
                f"{at}.kind",
                f"one of {', '.join(sorted(MODEL_WAYS))} in the model ({row.kind!r} needs processes)",
            )
            want(row.kind in KINDS, f"{at}.kind", f"one of {', '.join(sorted(KINDS))}")
            want(row.kind not in CHANCES or 0 < row.value <= 1, f"{at}.value", "a share, over 0, at most 1")
            want(row.kind != "throttle" or row.value > 0, f"{at}.value", "kB a second, over 0")
            want(row.jitter >= 0 and row.heal_s >= 0, f"{at}.heal_s", "0 or more, as jitter")
            try:
                ways_of(day, n)
            except WayError as bad:
                want(False, bad.key, bad.expected)
        want(row.what not in ("catalogue_stall", "floor") or day.catalogue, f"{at}.what", "a catalogue too")
        want(row.what != "floor" or row.value >= 0, f"{at}.value", "0 or more")
        want(row.what != "disk" or row.kind in ("full", "slow"), f"{at}.kind", "full or slow")
        want(
            row.managers is None or all(0 <= m < site.managers for m in row.managers),
            f"{at}.managers",
            f"numbers of managers, 0 to {site.managers - 1}",
        )
    return out


def read_day(file, sockets=True, **given):
    """The Day of a file, or SiteError with file, key and what was expected.

    sockets: True: it will start processes; False: the model will play it; None: it is only looked at.
    """
    day = decode_as(file, evaluate_jsonnet(file, **given), Day)
    if day.lease_ms is not None:
        day.site.fleet.lease_ms = day.lease_ms
    checked(file, day.site, "site.")
    if day.after is not None:
        checked(file, day.after, "after.")
    raise_first_fault(file, faults(day, sockets))
    return day
