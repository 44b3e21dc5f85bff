"""Plans the room for announced peaks by a linear program over boxes and time (HiGHS, by way of scipy).

In each step of time the plan says how many kB a second of each box a peak's viewings get. What it maximizes is worth:
the peak's viewings at the rung that room is kept for, ordinary demand at its floor and above it. It is held to links
as they warm, to uplinks, to the pace of cold boxes, to the share of a link that may be kept at all, and to viewings
that stay where they began: what a box carries falls no faster than viewings end.

It states what does not fit, by how much, which further holders would help, which boxes to warm and by when. It is
advice with a date: managers go by it where it is there, and by links alone where it came late or not at all.
"""

import math
from typing import NamedTuple

import msgspec
import numpy
from scipy.optimize import linprog
from scipy.sparse import coo_array

from ..site.load import SiteError, evaluate, shape
from ..site.shapes import Site
from ..site.terms import checked
from .announce import BoxRoom
from .keeper import MAX_RESERVED_SHARE, bandwidth_function
from .lengths import fit
from .times import format_time

STEPS = 40  # steps of time at most; each is at least LEAST_STEP_S
LEAST_STEP_S = 2.0
BRIM = 0.95  # of a link or uplink is planned for
GROUPS = 60  # ordinary titles with the same holders go together; beyond so many the rest as one
AWAY = 1e-3  # of a kB's worth: less on a box that would need a copy first
LEAD_MOST = 120.0  # seconds; longer, and ordinary viewings pay for room that nobody uses


class BoxInput(msgspec.Struct, forbid_unknown_fields=True):
    id: int
    link_kb: float
    rack: int = 0
    slots: int = 1000
    up_s: float = 1e9  # how long it has been up; less than the site's warm-up: it is cold
    spare: bool = False  # not in service: it may be started for the peak


class Question(msgspec.Struct, forbid_unknown_fields=True):
    """What the planner can't see: the fleet, what is asked besides, how long viewings were lately."""

    site: Site
    boxes: list[BoxInput]
    demand: dict[str, float] = {}  # ordinary, by title: kB a second
    lengths: list[float] = []  # seconds of recent viewings
    uplinks: dict[str, float] = {}  # by rack; the site's own where left out


class PlanRequest(NamedTuple):
    question: Question
    peaks: tuple  # Announcements, on one axis with now_s
    held: dict  # title: boxes that hold it
    package: dict  # title: package of those who watch
    now_s: float
    seen: dict = {}  # peak: what came of what was due, as managers saw it
    seconds: float = 30.0


class Short(msgspec.Struct):
    """A peak that does not fit."""

    peak: str
    at_s: float  # when it is worst
    kb: float  # kB a second that find no room then
    viewings: float
    holders: list[tuple[str, int]]  # (title, box): copies that would help, most first
    still_kb: float  # what finds no room even with them: links and uplinks are full
    boxes: int  # so many more boxes of the mean link would carry that


class Warm(msgspec.Struct):
    box: int
    by_s: float  # when it must be started, or is warm
    pace: float  # set-ups a second that all managers together may send it meanwhile
    spare: bool


class Plan(msgspec.Struct):
    schedules: dict[str, tuple[BoxRoom, ...]]
    leads: dict[str, float]
    short: list[Short]
    warm: list[Warm]
    steps_down_s: float | None  # from when ordinary viewings must get less than they ask
    steps_down_kb: float  # and how much less, at the worst
    length: str  # the fitted distribution, in words
    began_s: float
    step_s: float


def read_question(file):
    """The Question of a Jsonnet file, or SiteError."""
    asked = shape(file, evaluate(file), Question)
    checked(file, asked.site, "site.")
    seen = set()
    for n, box in enumerate(asked.boxes):
        if box.id in seen:
            raise SiteError(file, f"boxes.{n}.id", "an id of its own expected")
        seen.add(box.id)
        if box.link_kb <= 0 or box.slots < 1:
            raise SiteError(file, f"boxes.{n}", "a link and slots over 0 expected")
    for key, good, expected in (
        ("boxes", asked.boxes, "at least one box"),
        ("demand", all(kb >= 0 for kb in asked.demand.values()), "0 or more each"),
        ("lengths", all(s > 0 for s in asked.lengths), "seconds over 0 each"),
        ("uplinks", all(r.isdigit() for r in asked.uplinks), "numbers of racks"),
    ):
        if not good:
            raise SiteError(file, key, f"{expected} expected")
    return asked


class Group:
    """Demand that can go to the same boxes: ordinary titles, or one title of a peak."""

    def __init__(self, boxes, kb, worth, peak=None, title=None, each=0.0, stays=0.0):
        """kb: per step, kB a second asked. worth: of a kB. stays: the part that still plays a step later."""
        self.boxes, self.kb, self.worth, self.peak, self.title = boxes, kb, worth, peak, title
        self.each, self.stays = each, stays


class Program:
    """The linear program: columns are kB a second of a group at a box in a step."""

    def __init__(self, step_s):
        self.step_s = step_s
        self.columns, self.gain, self.keys = {}, [], []
        self.rows, self.cols, self.values, self.limits = [], [], [], []

    def column(self, key, gain):
        self.columns[key] = len(self.gain)
        self.gain.append(gain)
        self.keys.append(key)
        return self.columns[key]

    def row(self, pairs, limit):
        n = len(self.limits)
        for column, value in pairs:
            self.rows.append(n)
            self.cols.append(column)
            self.values.append(value)
        self.limits.append(limit)

    def solve(self, seconds):
        matrix = coo_array((self.values, (self.rows, self.cols)), shape=(len(self.limits), len(self.gain))).tocsr()
        found = linprog(
            -numpy.array(self.gain),
            A_ub=matrix,
            b_ub=numpy.array(self.limits),
            bounds=(0, None),
            method="highs",
            options={"time_limit": float(seconds)},
        )
        if found.x is None:
            raise ValueError(f"no plan found within {seconds:g} s: {found.message}")
        return found.x


def warmed(box, rules, s_from_now):
    """The share of its link that a box gives then, and whether it is cold."""
    age = (box.up_s if not box.spare else 0.0) + s_from_now
    whole = rules.warm_within_ms / 1000
    return (
        (1.0, False)
        if age >= whole
        else (rules.start_capacity + (1 - rules.start_capacity) * max(0.0, age) / whole, True)
    )


def pace(box, rules):
    """Set-ups a second that all managers together may send a box just started: half of what pushes it over."""
    return 0.5 * rules.tip_multiple * rules.start_capacity * box.slots / (rules.warm_within_ms / 1000)


def ordinary(question, held, package, titles_of_peaks, steps):
    """Groups of ordinary demand: each in two parts, what the floor needs and what lies above it."""
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
    if len(ranked) > GROUPS:  # the small rest as one: it may go wherever any of it may
        rest = [sum(sums[i] for _, sums in ranked[GROUPS:]) for i in range(4)]
        ranked = [*ranked[:GROUPS], (frozenset().union(*(boxes for boxes, _ in ranked[GROUPS:])), rest)]
    for boxes, (low_kb, low_worth, high_kb, high_worth) in ranked:
        for kb, worth in ((low_kb, low_worth), (high_kb, high_worth)):
            if kb > 0:
                yield Group(boxes, [kb] * steps, worth / kb)


def of_peak(p, ask, times, step_s, mean_s):
    """Groups of a peak: one a title, one a package."""
    site, room_kb = ask.question.site, bandwidth_function(ask.question.site)
    parts = len(p.titles) + len(p.packages)
    everywhere = {b.id for b in ask.question.boxes}
    believed = min(2.0, ask.seen.get(p.name, 1.0))
    for title in [*p.titles, *p.packages]:
        package = ask.package.get(title, title)
        if package not in site.packages:
            continue
        boxes = frozenset(ask.held.get(title, ()) if title in p.titles else everywhere)
        row = site.packages[package]
        rung = max(p.rung, row.floor)
        viewings = [p.viewings_at(s + step_s) / parts * believed for s in times]
        most = max(viewings, default=0.0)
        each = room_kb(package, p.rung, most, max(1, len(boxes))) / most if most else 0.0
        yield Group(
            boxes,
            [n * each for n in viewings],
            row.value * site.ladder.worth[rung] / max(each, 1e-9) * p.sure,
            p.name,
            title,
            each,
            math.exp(-step_s / mean_s),
        )


def build(ask, groups, times, step_s, free=False):
    """The program for these groups. free: titles of peaks may stand on every box."""
    question, made = ask.question, Program(step_s)
    rules, boxes = question.site.rules, {b.id: b for b in question.boxes}
    at_box, at_rack, peaks_at = {}, {}, {}
    for g, group in enumerate(groups):
        allowed = set(boxes) if free and group.peak else group.boxes & set(boxes)
        for t in range(len(times)):
            served = []
            for b in sorted(allowed):
                if boxes[b].spare and not group.peak:
                    continue
                away = AWAY * group.worth if b not in group.boxes else 0.0
                column = made.column((g, b, t), group.worth - away)
                served.append((column, 1.0))
                at_box.setdefault((b, t), []).append((column, 1.0))
                at_rack.setdefault((boxes[b].rack, t), []).append((column, 1.0))
                if group.peak:
                    peaks_at.setdefault((b, t), []).append((column, 1.0))
                    before = made.columns.get((g, b, t - 1))
                    if before is not None:  # what plays there plays on
                        made.row([(before, group.stays), (column, -1.0)], 0.0)
                    if warmed(boxes[b], rules, times[t] - ask.now_s)[1] and group.each:
                        new = pace(boxes[b], rules) * step_s * group.each
                        made.row([(column, 1.0), *([(before, -group.stays)] if before is not None else [])], new)
            if served:
                made.row(served, group.kb[t])
    for (b, t), pairs in at_box.items():
        link = boxes[b].link_kb * warmed(boxes[b], rules, times[t] - ask.now_s)[0]
        made.row(pairs, BRIM * link)
        if (b, t) in peaks_at:
            made.row(peaks_at[b, t], MAX_RESERVED_SHARE * link)
    for (rack, t), pairs in at_rack.items():
        made.row(pairs, BRIM * question.uplinks.get(str(rack), question.site.fleet.uplink_kb))
    return made


def served_of(made, x, groups, steps):
    """{group: [kB a second carried, by step]}."""
    out = [[0.0] * steps for _ in groups]
    for (g, _, t), kb in zip(made.keys, x):
        out[g][t] += float(kb)
    return out


def plan_peaks(ask):
    """The Plan. SiteError where there is nothing to plan from."""
    question = ask.question
    try:
        fitted = fit(question.lengths) if question.lengths else fit([p.length_s for p in ask.peaks])
        return planned(ask, fitted)
    except ValueError as bad:
        raise SiteError("the question", "", str(bad)) from None


def planned(ask, fitted):
    question = ask.question
    lead = fitted.lead_s() if question.lengths else None
    leads = {p.name: min(lead, LEAD_MOST) if lead is not None else p.lead_s for p in ask.peaks}
    first = max(ask.now_s, min(p.start_s - leads[p.name] for p in ask.peaks))
    last = max(p.end_s for p in ask.peaks)
    step_s = max(LEAST_STEP_S, (last - first) / STEPS)
    times = [first + n * step_s for n in range(max(1, math.ceil((last - first) / step_s)))]
    wanted = {t for p in ask.peaks for t in p.titles}
    groups = list(ordinary(question, ask.held, ask.package, wanted, len(times)))
    for p in ask.peaks:
        groups += of_peak(p, ask, times, step_s, p.length_s)
    made = build(ask, groups, times, step_s)
    x = made.solve(ask.seconds)
    served = served_of(made, x, groups, len(times))
    schedules = schedules_of(ask, made, x, groups, times, leads)
    short = []
    for p in ask.peaks:
        own = [g for g, group in enumerate(groups) if group.peak == p.name]
        gaps = [sum(groups[g].kb[t] - served[g][t] for g in own) for t in range(len(times))]
        worst = max(range(len(times)), key=gaps.__getitem__)
        asked = sum(groups[g].kb[worst] for g in own)
        if gaps[worst] > 0.01 * asked + 1:
            short.append(shortage(ask, p, groups, times, step_s, worst, gaps[worst], own))
    down_at, down_kb = stepped_down(groups, served, times)
    return Plan(
        schedules,
        leads,
        short,
        to_warm(ask, schedules, times),
        down_at,
        down_kb,
        f"{fitted.shape}, mean {fitted.mean_s:.1f} s, {fitted.count} viewings, off by {fitted.off:.3f}",
        first,
        step_s,
    )


def schedules_of(ask, made, x, groups, times, leads):
    """{peak: rooms by box}: what is needed within the lead is kept already."""
    out = {}
    for p in ask.peaks:
        rooms = {}
        for (g, b, t), kb in zip(made.keys, x):
            if groups[g].peak == p.name and kb > 0.5:
                rooms.setdefault(b, [0.0] * len(times))[t] += float(kb)
        totals = [sum(kbs[t] for kbs in rooms.values()) for t in range(len(times))]
        # What is kept is what the fullest step within the lead has, box by box: it fits together.
        ahead = max(1, math.ceil(leads[p.name] / made.step_s))
        fullest = [
            max(range(t, min(t + ahead + 1, len(times))), key=lambda n: (round(totals[n]), -n))
            for t in range(len(times))
        ]
        boxes = []
        for b, kbs in sorted(rooms.items()):
            kept, steps = None, []
            for t, s in enumerate(times):
                kb = round(kbs[fullest[t]], 1)
                if kb != kept:
                    steps.append((round(s, 3), kb))
                    kept = kb
            boxes.append(BoxRoom(b, tuple(steps)))
        out[p.name] = tuple(boxes)
    return out


def shortage(ask, p, groups, times, step_s, worst, gap, own):
    """What a peak lacks, and what it would take."""
    made = build(ask, groups, times, step_s, free=True)
    x = made.solve(ask.seconds)
    use = {}
    for (g, b, t), kb in zip(made.keys, x):
        if g in own and b not in groups[g].boxes and groups[g].title in p.titles:
            use[groups[g].title, b] = max(use.get((groups[g].title, b), 0.0), float(kb))
    holders = [key for key, kb in sorted(use.items(), key=lambda item: (-item[1], item[0])) if kb > 1]
    served = served_of(made, x, groups, len(times))
    still = max(0.0, sum(groups[g].kb[worst] - served[g][worst] for g in own))
    each = max(groups[g].each for g in own)
    # Fewer copies may do: as many of the most used as carry what the free placement carried beyond the present one.
    need, chosen = gap - still, []
    for key in holders:
        if need <= 0:
            break
        chosen.append(key)
        need -= use[key]
    mean = sum(b.link_kb for b in ask.question.boxes) / len(ask.question.boxes)
    more = math.ceil(still / (MAX_RESERVED_SHARE * mean)) if still > 0.01 * gap + 1 else 0
    return Short(p.name, times[worst], gap, gap / max(each, 1e-9), chosen, still if more else 0.0, more)


def stepped_down(groups, served, times):
    """(from when, how much at the worst): ordinary demand that gets less than it asks."""
    at, most = None, 0.0
    for t, s in enumerate(times):
        less = sum(g.kb[t] - served[n][t] for n, g in enumerate(groups) if g.peak is None)
        asked = sum(g.kb[t] for g in groups if g.peak is None)
        if less > 0.005 * asked + 1:
            at = s if at is None else at
            most = max(most, less)
    return at, most


def to_warm(ask, schedules, times):
    """Cold or spare boxes that the plan uses, and by when each must be started."""
    rules, boxes, out = ask.question.site.rules, {b.id: b for b in ask.question.boxes}, []
    needed = {}
    for rooms in schedules.values():
        for room in rooms:
            if any(kb > 0 for _, kb in room.steps):
                first = next(s for s, kb in room.steps if kb > 0)
                needed[room.box] = min(needed.get(room.box, first), first)
    for b, first in sorted(needed.items()):
        box = boxes[b]
        if box.spare or box.up_s < rules.warm_within_ms / 1000:
            out.append(Warm(b, first - rules.warm_within_ms / 1000, round(pace(box, rules), 2), box.spare))
    return out


def lines(plan):
    """The plan in words."""
    yield f"lengths of viewings: {plan.length}; steps of {plan.step_s:.1f} s"
    for name, rooms in plan.schedules.items():
        most = sum(max((kb for _, kb in room.steps), default=0.0) for room in rooms)
        yield (
            f"{name}: room on {len(rooms)} boxes, {most:.0f} kB/s at the most, kept from {plan.leads[name]:.0f} s ahead"
        )
    for s in plan.short:
        yield (
            f"{s.peak}: does not fit: {s.kb:.0f} kB/s ({s.viewings:.0f} viewings) find no room at {format_time(s.at_s)}"
        )
        if s.holders:
            yield (
                "  copies that would help: "
                + ", ".join(f"{t} on box {b}" for t, b in s.holders[:12])
                + (f" and {len(s.holders) - 12} more" if len(s.holders) > 12 else "")
            )
        if s.boxes:
            yield f"  {s.still_kb:.0f} kB/s find none even then: {s.boxes} more boxes of the mean link would carry them"
    for w in plan.warm:
        yield (
            f"box {w.box}: {'start it' if w.spare else 'cold; started'} by {format_time(w.by_s)}, at most "
            f"{w.pace:g} set-ups a second while it warms"
        )
    if plan.steps_down_s is not None:
        yield (
            f"ordinary viewings get up to {plan.steps_down_kb:.0f} kB/s less than they ask "
            f"from {format_time(plan.steps_down_s)}"
        )
