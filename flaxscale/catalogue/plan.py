"""Which boxes should hold what: a plan of added and dropped copies under a budget of moves, by HiGHS.

For demand d (kB a second by title) the plan maximizes the value that links and uplinks can carry, counting what a
surge to `stress` times the demand would add at a part of its weight: a plan for the mean alone gives each title just
the room it needs, and the first crowd finds none. Each title keeps at least `copies` holders in at least two racks.
Shares of demand are the solver's; where a viewing really goes is the managers' greedy choice, so that the expected
gain is a bound on what copies can do, not a forecast.
"""

import math
from typing import NamedTuple

import highspy
import numpy

from .state import HOLDING, LEAVING, Hold

SURGE_WEIGHT = 0.25  # of value served only in a surge
CHOICE = 0.1  # of a title's value: what copies up to its part of all room are worth as choice
MOVE_COST = 1e-4  # of the whole demand's value, for each copy added; a tenth of it for one dropped


class BoxCapacity(NamedTuple):
    """One box as the planner sees it."""

    id: int
    link_kb: float
    rack: int
    room: int  # titles that it can hold


class PlanRequest(NamedTuple):
    boxes: tuple  # BoxCapacity
    uplinks: dict  # rack: kB a second
    demand: dict  # title: kB a second
    value: dict  # title: value of a kB served; 1 if left out
    moves: int  # copies added at most
    copies: int = 3
    stress: float = 1.5


class Plan(NamedTuple):
    add: list  # (title, box)
    drop: list
    before: float  # share of the demand's value that the present holders can carry
    after: float
    before_surge: float  # the same of the surge's
    after_surge: float
    gap: float  # how far the solver may be from its best, as a share
    seconds: float

    def ops(self):
        """Change sets, in the order in which they are made: copies come before others leave."""
        return ([Hold(t, b, HOLDING) for t, b in self.add], [Hold(t, b, LEAVING) for t, b in self.drop])


class Rows:
    """A sparse matrix, row by row."""

    def __init__(self):
        self.start, self.index, self.value, self.low, self.high = [0], [], [], [], []

    def add(self, pairs, low, high):
        for column, value in pairs:
            self.index.append(column)
            self.value.append(value)
        self.start.append(len(self.index))
        self.low.append(low)
        self.high.append(high)


def solve(question, held, titles, fixed, seconds, gap):
    """(objective parts, copies, gap, time): one call of the solver. fixed: the present copies, only shares are free."""
    boxes, inf = question.boxes, highspy.kHighsInf
    nt, nb = len(titles), len(boxes)
    copies, shares, base, surge, choice = 0, nt * nb, 2 * nt * nb, 2 * nt * nb + nt, 2 * nt * nb + 2 * nt
    columns = 2 * nt * nb + 3 * nt
    asked = sum(question.demand[t] for t in titles)
    spare = max(0.0, sum(b.room for b in boxes) - nt * question.copies)
    whole = sum(question.demand[t] * question.value.get(t, 1.0) for t in titles) or 1.0
    cost, low, high = numpy.zeros(columns), numpy.zeros(columns), numpy.full(columns, inf)
    rows = Rows()
    for i, t in enumerate(titles):
        d, v = question.demand[t], question.value.get(t, 1.0)
        cost[base + i], high[base + i] = v / whole, d
        cost[surge + i], high[surge + i] = SURGE_WEIGHT * v / whole, d * (question.stress - 1)
        # Managers place greedily and don't see each other: copies beyond what the flow needs give them choice.
        high[choice + i] = min(float(nb), question.copies + spare * d / asked) if not fixed else 0.0
        cost[choice + i] = CHOICE * v * d / whole / max(1.0, high[choice + i])
        rows.add([(choice + i, 1.0), *((copies + i * nb + j, -1.0) for j in range(nb))], -inf, 0.0)
        for j, box in enumerate(boxes):
            x, y, has = copies + i * nb + j, shares + i * nb + j, box.id in held[t]
            high[x] = 1.0
            if fixed:
                low[x] = high[x] = float(has)
            else:
                cost[x] = MOVE_COST * 0.1 if has else -MOVE_COST
            high[y] = min(box.link_kb, d * question.stress)
            rows.add([(y, 1.0), (x, -min(box.link_kb, d * question.stress))], -inf, 0.0)
        rows.add([(base + i, 1.0), (surge + i, 1.0), *((shares + i * nb + j, -1.0) for j in range(nb))], -inf, 0.0)
        if not fixed:
            rows.add([(copies + i * nb + j, 1.0) for j in range(nb)], float(min(question.copies, nb)), inf)
            racks = {box.rack for box in boxes}
            if len(racks) > 1:
                for rack in racks:
                    rows.add([(copies + i * nb + j, 1.0) for j, b in enumerate(boxes) if b.rack != rack], 1.0, inf)
    for j, box in enumerate(boxes):
        rows.add([(shares + i * nb + j, 1.0) for i in range(nt)], -inf, box.link_kb)
        if not fixed:
            rows.add([(copies + i * nb + j, 1.0) for i in range(nt)], -inf, float(box.room))
    for rack, kb in question.uplinks.items():
        members = [j for j, b in enumerate(boxes) if b.rack == rack]
        rows.add([(shares + i * nb + j, 1.0) for i in range(nt) for j in members], -inf, float(kb))
    if not fixed:
        new = [
            (copies + i * nb + j, 1.0) for i, t in enumerate(titles) for j, b in enumerate(boxes) if b.id not in held[t]
        ]
        rows.add(new, -inf, float(question.moves))
    lp = highspy.HighsLp()
    lp.num_col_, lp.num_row_, lp.sense_ = columns, len(rows.low), highspy.ObjSense.kMaximize
    lp.col_cost_, lp.col_lower_, lp.col_upper_ = cost, low, high
    lp.row_lower_, lp.row_upper_ = numpy.array(rows.low), numpy.array(rows.high)
    lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    lp.a_matrix_.start_, lp.a_matrix_.index_ = numpy.array(rows.start), numpy.array(rows.index)
    lp.a_matrix_.value_ = numpy.array(rows.value)
    if not fixed:
        lp.integrality_ = [highspy.HighsVarType.kInteger] * (nt * nb) + [highspy.HighsVarType.kContinuous] * (
            columns - nt * nb
        )
    h = highspy.Highs()
    h.setOptionValue("output_flag", False)
    h.setOptionValue("time_limit", float(seconds))
    h.setOptionValue("mip_rel_gap", gap)
    h.setOptionValue("random_seed", 1)
    h.passModel(lp)
    if not fixed:  # the present copies are a start: the plan is never worse than they are
        start = highspy.HighsSolution()
        start.col_value = [
            float(boxes[n % nb].id in held[titles[n // nb]]) if n < nt * nb else 0.0 for n in range(columns)
        ]
        h.setSolution(start)
    h.run()
    status, info = h.getModelStatus(), h.getInfo()
    if status not in (highspy.HighsModelStatus.kOptimal, highspy.HighsModelStatus.kTimeLimit) or not math.isfinite(
        info.objective_function_value
    ):
        raise ValueError(
            f"no plan fits: {h.modelStatusToString(status)}; "
            f"{question.copies} copies in two racks need room on the boxes and moves enough"
        )
    x = numpy.array(h.getSolution().col_value)
    served = sum(question.value.get(t, 1.0) * x[base + i] for i, t in enumerate(titles)) / whole
    more = sum(question.value.get(t, 1.0) * x[surge + i] for i, t in enumerate(titles)) / whole
    found = {t: {boxes[j].id for j in range(nb) if x[copies + i * nb + j] > 0.5} for i, t in enumerate(titles)}
    return (
        float(served),
        float(more / max(1e-9, question.stress - 1)),
        found,
        0.0 if fixed else float(info.mip_gap),
        float(h.getRunTime()),
    )


def plan(question, held, seconds=20.0, gap=0.005):
    """A Plan. held: {title: boxes that hold it}. Titles without demand keep their copies.

    ValueError where nothing fits, with what is in the way.
    """
    titles = sorted(t for t, kb in question.demand.items() if kb > 0)
    if not titles:
        raise ValueError("no title with demand")
    if missing := [t for t in titles if t not in held]:
        raise ValueError(f"demand for {missing[0]!r}, which is not in the catalogue")
    known = {b.id for b in question.boxes}
    if strange := sorted({b for t in titles for b in held[t]} - known):
        raise ValueError(f"box {strange[0]} holds titles and is not among the boxes given")
    idle = {b.id: sum(b.id in boxes for t, boxes in held.items() if t not in set(titles)) for b in question.boxes}
    question = question._replace(boxes=tuple(b._replace(room=b.room - idle[b.id]) for b in question.boxes))
    before, before_more, _, _, _ = solve(question, held, titles, True, seconds, gap)
    after, after_more, found, missed, took = solve(question, held, titles, False, seconds, gap)
    add = sorted((t, b) for t in titles for b in found[t] - set(held[t]))
    drop = sorted((t, b) for t in titles for b in set(held[t]) - found[t])
    return Plan(add, drop, before, after, before_more, after_more, missed, took)


def proportional_copies(question, held):
    """The baseline: copies in proportion to demand, on the boxes with most room left; {title: boxes}."""
    titles = sorted((t for t, kb in question.demand.items() if kb > 0), key=lambda t: (-question.demand[t], t))
    slots = sum(b.room for b in question.boxes)
    total, room = sum(question.demand[t] for t in titles), {b.id: b.room for b in question.boxes}
    load, out = {b.id: 0.0 for b in question.boxes}, {}
    spare = slots - sum(min(question.copies, len(question.boxes)) for _ in titles)
    links, racks = {b.id: b.link_kb for b in question.boxes}, {b.id: b.rack for b in question.boxes}
    for t in titles:
        want = min(len(question.boxes), question.copies + int(max(0, spare) * question.demand[t] / total))
        chosen = []
        while len(chosen) < want:
            free = [b for b in links if room[b] > 0 and b not in chosen]
            if not free:
                break
            if chosen and len({racks[c] for c in chosen}) == 1 and len(chosen) == want - 1:
                free = [b for b in free if racks[b] != racks[chosen[0]]] or free
            best = min(free, key=lambda b: (load[b] / links[b], b))
            chosen.append(best)
            room[best] -= 1
            load[best] += question.demand[t] / want
        out[t] = set(chosen)
    return {**{t: set(b) for t, b in held.items()}, **out}


def carried_value(question, held):
    """(share of the demand's value that these holders can carry, the same of the surge's)."""
    titles = sorted(t for t, kb in question.demand.items() if kb > 0)
    return solve(question, held, titles, True, 20.0, 0.005)[:2]
