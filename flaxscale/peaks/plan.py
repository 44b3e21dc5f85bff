"""Plans the reservations for announced peaks by a linear program over boxes and time steps (HiGHS, through scipy).

For each step of time the plan states how many kB a second of each box the viewings of a peak get. The objective is the
worth of what is served: viewings of peaks at the rung of the reservation, ordinary demand at its floor and above it.
The constraints are the capacities of links (reduced while boxes warm up) and uplinks, the pace of session requests to
cold boxes, the share of a link that may be reserved, and that viewings stay on their box: the load of a box falls no
faster than viewings end.

The plan reports what does not fit, by how much, which further copies would help, and which boxes to warm and by when.
It is advice: managers use it where it is available and otherwise divide the bandwidth by link capacity.
"""

import math
from typing import NamedTuple

import msgspec
import numpy
from scipy.optimize import linprog
from scipy.sparse import coo_array

from ..site.load import SiteError, decode_as, evaluate_jsonnet
from ..site.shapes import Site
from ..site.terms import checked
from .announce import BoxRoom
from .keeper import MAX_RESERVED_SHARE, bandwidth_function
from .lengths import fit
from .times import format_time

MAX_STEPS = 40  # time steps of a plan; each is at least MIN_STEP_S long
MIN_STEP_S = 2.0
MAX_PLANNED_SHARE = 0.95  # of a link or uplink
MAX_ORDINARY_GROUPS = 60  # ordinary titles are grouped by holders; the smallest groups beyond this number are merged
NEW_COPY_PENALTY = 1e-3  # share of the worth that is lost on a box that would need a copy first
MAX_LEAD_S = 120.0  # with a longer lead, reservations that nobody uses yet would displace ordinary viewings


class BoxInput(msgspec.Struct, forbid_unknown_fields=True):
    """One box in a question."""

    id: int
    link_kb: float
    rack: int = 0
    slots: int = 1000
    up_s: float = 1e9  # time since its start; cold if less than the site's warm-up time
    spare: bool = False  # not in service, but may be started for the peak


class Question(msgspec.Struct, forbid_unknown_fields=True):
    """Input that only the operator has: the fleet, ordinary demand, durations of recent viewings."""

    site: Site
    boxes: list[BoxInput]
    demand: dict[str, float] = {}  # ordinary demand by title, in kB a second
    lengths: list[float] = []  # durations of recent viewings, in seconds
    uplinks: dict[str, float] = {}  # kB a second by rack; by default as in the site


class PlanRequest(NamedTuple):
    """All input of a plan."""

    question: Question
    peaks: tuple  # Announcements, on one axis with now_s
    held: dict  # {title: boxes that hold it}
    package: dict  # {title: package of its viewers}
    now_s: float
    seen: dict = {}  # {peak: arrivals observed by managers, as a share of those announced}
    seconds: float = 30.0  # time limit of the solver


class Shortage(msgspec.Struct):
    """A peak that does not fit."""

    peak: str
    at_s: float  # when the shortage is largest
    kb: float  # kB a second that do not fit at that time
    viewings: float
    holders: list[tuple[str, int]]  # (title, box): copies that would help, most effective first
    still_kb: float  # kB a second that do not fit even with them, because links and uplinks are full
    boxes: int  # number of further boxes with the mean link capacity that would carry the rest


class WarmUp(msgspec.Struct):
    """A box that has to be warm in time."""

    box: int
    by_s: float  # latest time at which it must be started
    pace: float  # limit for session requests a second from all managers together while it warms up
    spare: bool


class Plan(msgspec.Struct):
    """The result: schedules by peak, and what the operator should do."""

    schedules: dict[str, tuple[BoxRoom, ...]]
    leads: dict[str, float]
    short: list[Shortage]
    warm: list[WarmUp]
    steps_down_s: float | None  # time from which ordinary viewings get less than their demand
    steps_down_kb: float  # largest reduction, in kB a second
    length: str  # description of the fitted distribution
    began_s: float
    step_s: float


def read_question(file):
    """The Question in a Jsonnet file; raises SiteError if it is invalid."""
    asked = decode_as(file, evaluate_jsonnet(file), Question)
    checked(file, asked.site, "site.")
    seen = set()
    for n, box in enumerate(asked.boxes):
        if box.id in seen:
            raise SiteError(file, f"boxes.{n}.id", "an id of its own expected")
        seen.add(box.id)
        if box.link_kb <= 0 or box.slots < 1:
            raise SiteError(file, f"boxes.{n}", "a link and slots over 0 expected")
    for key, valid, expected in (
        ("boxes", asked.boxes, "at least one box"),
        ("demand", all(kb >= 0 for kb in asked.demand.values()), "0 or more each"),
        ("lengths", all(s > 0 for s in asked.lengths), "seconds over 0 each"),
        ("uplinks", all(r.isdigit() for r in asked.uplinks), "numbers of racks"),
    ):
        if not valid:
            raise SiteError(file, key, f"{expected} expected")
    return asked


class DemandGroup:
    """Demand with the same possible boxes: ordinary titles, or one title of a peak."""

    def __init__(self, boxes, kb, worth, peak=None, title=None, kb_each=0.0, continuing=0.0):
        """kb: demand per step, in kB a second. worth: of one kB. continuing: share that still plays one step later."""
        self.boxes, self.kb, self.worth, self.peak, self.title = boxes, kb, worth, peak, title
        self.kb_each, self.continuing = kb_each, continuing


class LinearProgram:
    """The linear program. Its variables (columns) are kB a second of a group at a box in a step."""

    def __init__(self, step_s):
        self.step_s = step_s
        self.columns, self.worths, self.keys = {}, [], []
        self.row_numbers, self.row_columns, self.row_values, self.limits = [], [], [], []

    def column(self, key, worth):
        """Adds a variable with its coefficient in the objective; returns its number."""
        self.columns[key] = len(self.worths)
        self.worths.append(worth)
        self.keys.append(key)
        return self.columns[key]

    def row(self, pairs, limit):
        """Adds a constraint: the sum of (column, coefficient) terms is at most limit."""
        n = len(self.limits)
        for column, value in pairs:
            self.row_numbers.append(n)
            self.row_columns.append(column)
            self.row_values.append(value)
        self.limits.append(limit)

    def solve(self, seconds):
        """The values of the variables; raises ValueError if none are found within the time limit."""
        matrix = coo_array(
            (self.row_values, (self.row_numbers, self.row_columns)), shape=(len(self.limits), len(self.worths))
        ).tocsr()
        found = linprog(
            -numpy.array(self.worths),
            A_ub=matrix,
            b_ub=numpy.array(self.limits),
            bounds=(0, None),
            method="highs",
            options={"time_limit": float(seconds)},
        )
        if found.x is None:
            raise ValueError(f"no plan found within {seconds:g} s: {found.message}")
        return found.x


def warm_capacity(box, rules, s_from_now):
    """The usable share of a box's link at a time from now, and whether the box is still cold then."""
    age = (box.up_s if not box.spare else 0.0) + s_from_now
    warm_s = rules.warm_within_ms / 1000
    return (
        (1.0, False)
        if age >= warm_s
        else (rules.start_capacity + (1 - rules.start_capacity) * max(0.0, age) / warm_s, True)
    )


def warm_up_pace(box, rules):
    """Limit for session requests a second to a box just started: half of the rate that overloads it."""
    return 0.5 * rules.tip_multiple * rules.start_capacity * box.slots / (rules.warm_within_ms / 1000)


def ordinary_groups(question, held, package, titles_of_peaks, steps):
    """Groups of ordinary demand, each split into the demand at the floor rung and the rest above it."""
    site, by_boxes = question.site, {}
    ladder = site.ladder
    for title, kb in question.demand.items():
        if kb <= 0 or title not in held or package.get(title) not in site.packages:
            continue
        boxes = frozenset(held[title])
        row = site.packages[package[title]]
        top = min(row.top, len(ladder.kb) - 1)
        low, high = ladder.kb[row.floor] * row.scale, ladder.kb[top] * row.scale
        sums = by_boxes.setdefault(boxes, [0.0, 0.0, 0.0, 0.0])
        part = low / high
        sums[0] += kb * part
        sums[1] += kb * part * row.value * ladder.worth[row.floor] / low
        if high > low:
            sums[2] += kb * (1 - part)
            sums[3] += kb * (1 - part) * row.value * (ladder.worth[top] - ladder.worth[row.floor]) / (high - low)
    ranked = sorted(by_boxes.items(), key=lambda item: (-item[1][0] - item[1][2], sorted(item[0])))
    if len(ranked) > MAX_ORDINARY_GROUPS:  # merges the small rest; it may use every box that any of its groups may use
        rest = [sum(sums[i] for _, sums in ranked[MAX_ORDINARY_GROUPS:]) for i in range(4)]
        ranked = [
            *ranked[:MAX_ORDINARY_GROUPS],
            (frozenset().union(*(boxes for boxes, _ in ranked[MAX_ORDINARY_GROUPS:])), rest),
        ]
    for boxes, (low_kb, low_worth, high_kb, high_worth) in ranked:
        for kb, worth in ((low_kb, low_worth), (high_kb, high_worth)):
            if kb > 0:
                yield DemandGroup(boxes, [kb] * steps, worth / kb)


def peak_groups(p, request, times, step_s, mean_s):
    """Groups of a peak: one for each title and package."""
    site, room_kb = request.question.site, bandwidth_function(request.question.site)
    parts = len(p.titles) + len(p.packages)
    everywhere = {b.id for b in request.question.boxes}
    arrival_ratio = min(2.0, request.seen.get(p.name, 1.0))
    for title in [*p.titles, *p.packages]:
        package = request.package.get(title, title)
        if package not in site.packages:
            continue
        boxes = frozenset(request.held.get(title, ()) if title in p.titles else everywhere)
        row = site.packages[package]
        rung = max(p.rung, row.floor)
        viewings = [p.viewings_at(s + step_s) / parts * arrival_ratio for s in times]
        most = max(viewings, default=0.0)
        kb_each = room_kb(package, p.rung, most, max(1, len(boxes))) / most if most else 0.0
        yield DemandGroup(
            boxes,
            [n * kb_each for n in viewings],
            row.value * site.ladder.worth[rung] / max(kb_each, 1e-9) * p.sure,
            p.name,
            title,
            kb_each,
            math.exp(-step_s / mean_s),
        )


def build_program(request, groups, times, step_s, anywhere=False):
    """The program for these groups. anywhere: titles of peaks may use every box."""
    question, program = request.question, LinearProgram(step_s)
    rules, boxes = question.site.rules, {b.id: b for b in question.boxes}
    at_box, at_rack, peaks_at = {}, {}, {}
    for g, group in enumerate(groups):
        allowed = set(boxes) if anywhere and group.peak else group.boxes & set(boxes)
        for t in range(len(times)):
            served = []
            for b in sorted(allowed):
                if boxes[b].spare and not group.peak:
                    continue
                penalty = NEW_COPY_PENALTY * group.worth if b not in group.boxes else 0.0
                column = program.column((g, b, t), group.worth - penalty)
                served.append((column, 1.0))
                at_box.setdefault((b, t), []).append((column, 1.0))
                at_rack.setdefault((boxes[b].rack, t), []).append((column, 1.0))
                if group.peak:
                    peaks_at.setdefault((b, t), []).append((column, 1.0))
                    before = program.columns.get((g, b, t - 1))
                    if before is not None:  # viewings stay on their box until they end
                        program.row([(before, group.continuing), (column, -1.0)], 0.0)
                    if warm_capacity(boxes[b], rules, times[t] - request.now_s)[1] and group.kb_each:
                        new = warm_up_pace(boxes[b], rules) * step_s * group.kb_each
                        program.row(
                            [(column, 1.0), *([(before, -group.continuing)] if before is not None else [])], new
                        )
            if served:
                program.row(served, group.kb[t])
    for (b, t), pairs in at_box.items():
        link = boxes[b].link_kb * warm_capacity(boxes[b], rules, times[t] - request.now_s)[0]
        program.row(pairs, MAX_PLANNED_SHARE * link)
        if (b, t) in peaks_at:
            program.row(peaks_at[b, t], MAX_RESERVED_SHARE * link)
    for (rack, t), pairs in at_rack.items():
        program.row(pairs, MAX_PLANNED_SHARE * question.uplinks.get(str(rack), question.site.fleet.uplink_kb))
    return program


def served_by_group(program, solution, groups, steps):
    """For each group, the served kB a second by step."""
    served = [[0.0] * steps for _ in groups]
    for (g, _, t), kb in zip(program.keys, solution):
        served[g][t] += float(kb)
    return served


def plan_peaks(request):
    """Makes the Plan; raises SiteError if the input does not suffice for one."""
    question = request.question
    try:
        fitted = fit(question.lengths) if question.lengths else fit([p.length_s for p in request.peaks])
        return make_plan(request, fitted)
    except ValueError as error:
        raise SiteError("the question", "", str(error)) from None


def make_plan(request, fitted):
    """The Plan for a distribution of viewing lengths."""
    question = request.question
    lead = fitted.lead_s() if question.lengths else None
    leads = {p.name: min(lead, MAX_LEAD_S) if lead is not None else p.lead_s for p in request.peaks}
    first = max(request.now_s, min(p.start_s - leads[p.name] for p in request.peaks))
    last = max(p.end_s for p in request.peaks)
    step_s = max(MIN_STEP_S, (last - first) / MAX_STEPS)
    times = [first + n * step_s for n in range(max(1, math.ceil((last - first) / step_s)))]
    peak_titles = {t for p in request.peaks for t in p.titles}
    groups = list(ordinary_groups(question, request.held, request.package, peak_titles, len(times)))
    for p in request.peaks:
        groups += peak_groups(p, request, times, step_s, p.length_s)
    program = build_program(request, groups, times, step_s)
    solution = program.solve(request.seconds)
    served = served_by_group(program, solution, groups, len(times))
    schedules = build_schedules(request, program, solution, groups, times, leads)
    short = []
    for p in request.peaks:
        own = [g for g, group in enumerate(groups) if group.peak == p.name]
        gaps = [sum(groups[g].kb[t] - served[g][t] for g in own) for t in range(len(times))]
        worst = max(range(len(times)), key=gaps.__getitem__)
        asked = sum(groups[g].kb[worst] for g in own)
        if gaps[worst] > 0.01 * asked + 1:
            short.append(find_shortage(request, p, groups, times, step_s, worst, gaps[worst], own))
    step_down_s, step_down_kb = find_step_down(groups, served, times)
    return Plan(
        schedules,
        leads,
        short,
        to_warm(request, schedules, times),
        step_down_s,
        step_down_kb,
        f"{fitted.shape}, mean {fitted.mean_s:.1f} s, {fitted.count} viewings, off by {fitted.off:.3f}",
        first,
        step_s,
    )


def build_schedules(request, program, solution, groups, times, leads):
    """{peak: reservations by box}; each reserves now what is needed within the lead."""
    out = {}
    for p in request.peaks:
        rooms = {}
        for (g, b, t), kb in zip(program.keys, solution):
            if groups[g].peak == p.name and kb > 0.5:
                rooms.setdefault(b, [0.0] * len(times))[t] += float(kb)
        totals = [sum(kbs[t] for kbs in rooms.values()) for t in range(len(times))]
        # Each box reserves its part of the step with the largest total within the lead, so the parts fit together.
        ahead = max(1, math.ceil(leads[p.name] / program.step_s))
        fullest = [
            max(range(t, min(t + ahead + 1, len(times))), key=lambda n: (round(totals[n]), -n))
            for t in range(len(times))
        ]
        boxes = []
        for b, kbs in sorted(rooms.items()):
            current_kb, steps = None, []
            for t, s in enumerate(times):
                kb = round(kbs[fullest[t]], 1)
                if kb != current_kb:
                    steps.append((round(s, 3), kb))
                    current_kb = kb
            boxes.append(BoxRoom(b, tuple(steps)))
        out[p.name] = tuple(boxes)
    return out


def find_shortage(request, p, groups, times, step_s, worst, gap, own):
    """The Shortage of a peak: what does not fit and what would help."""
    program = build_program(request, groups, times, step_s, anywhere=True)
    solution = program.solve(request.seconds)
    use = {}
    for (g, b, t), kb in zip(program.keys, solution):
        if g in own and b not in groups[g].boxes and groups[g].title in p.titles:
            use[groups[g].title, b] = max(use.get((groups[g].title, b), 0.0), float(kb))
    holders = [key for key, kb in sorted(use.items(), key=lambda item: (-item[1], item[0])) if kb > 1]
    served = served_by_group(program, solution, groups, len(times))
    unplaced_kb = max(0.0, sum(groups[g].kb[worst] - served[g][worst] for g in own))
    kb_each = max(groups[g].kb_each for g in own)
    # Not all copies may be needed: takes the most used ones until they carry what unrestricted placement gains.
    missing_kb, chosen = gap - unplaced_kb, []
    for key in holders:
        if missing_kb <= 0:
            break
        chosen.append(key)
        missing_kb -= use[key]
    mean = sum(b.link_kb for b in request.question.boxes) / len(request.question.boxes)
    more = math.ceil(unplaced_kb / (MAX_RESERVED_SHARE * mean)) if unplaced_kb > 0.01 * gap + 1 else 0
    return Shortage(p.name, times[worst], gap, gap / max(kb_each, 1e-9), chosen, unplaced_kb if more else 0.0, more)


def find_step_down(groups, served, times):
    """(time of the first reduction of ordinary demand, largest reduction in kB a second)."""
    since, largest = None, 0.0
    for t, s in enumerate(times):
        less = sum(g.kb[t] - served[n][t] for n, g in enumerate(groups) if g.peak is None)
        asked = sum(g.kb[t] for g in groups if g.peak is None)
        if less > 0.005 * asked + 1:
            since = s if since is None else since
            largest = max(largest, less)
    return since, largest


def to_warm(request, schedules, times):
    """The cold and spare boxes that the plan uses, with the time by which each must be started."""
    rules, boxes, out = request.question.site.rules, {b.id: b for b in request.question.boxes}, []
    needed = {}
    for rooms in schedules.values():
        for room in rooms:
            if any(kb > 0 for _, kb in room.steps):
                first = next(s for s, kb in room.steps if kb > 0)
                needed[room.box] = min(needed.get(room.box, first), first)
    for b, first in sorted(needed.items()):
        box = boxes[b]
        if box.spare or box.up_s < rules.warm_within_ms / 1000:
            out.append(WarmUp(b, first - rules.warm_within_ms / 1000, round(warm_up_pace(box, rules), 2), box.spare))
    return out


def plan_lines(plan):
    """Yields the lines of a report on the plan."""
    yield f"lengths of viewings: {plan.length}; steps of {plan.step_s:.1f} s"
    for name, rooms in plan.schedules.items():
        most = sum(max((kb for _, kb in room.steps), default=0.0) for room in rooms)
        yield (
            f"{name}: reservations on {len(rooms)} boxes, {most:.0f} kB/s at most, from {plan.leads[name]:.0f} s ahead"
        )
    for s in plan.short:
        yield (
            f"{s.peak}: does not fit: {s.kb:.0f} kB/s ({s.viewings:.0f} viewings) "
            f"exceed the capacity at {format_time(s.at_s)}"
        )
        if s.holders:
            yield (
                "  copies that would help: "
                + ", ".join(f"{t} on box {b}" for t, b in s.holders[:12])
                + (f" and {len(s.holders) - 12} more" if len(s.holders) > 12 else "")
            )
        if s.boxes:
            yield (
                f"  {s.still_kb:.0f} kB/s do not fit even then: "
                f"{s.boxes} more boxes with the mean link would carry them"
            )
    for w in plan.warm:
        yield (
            f"box {w.box}: {'start it' if w.spare else 'cold; started'} by {format_time(w.by_s)}, at most "
            f"{w.pace:g} session requests a second while it warms up"
        )
    if plan.steps_down_s is not None:
        yield (
            f"ordinary viewings get up to {plan.steps_down_kb:.0f} kB/s less than their demand "
            f"from {format_time(plan.steps_down_s)}"
        )
