"""Placement of titles on boxes: copies to add and drop within a budget of moves, solved with HiGHS.

The plan maximizes the value of demand (kB a second by title) that links and uplinks can carry. What a surge to `stress`
times the demand would add counts with a lower weight: a plan for the mean demand alone leaves no capacity for a surge.
Each title keeps at least `copies` holders in at least two racks. The solver splits demand among holders freely, while
managers place viewings greedily, so that the computed gain is an upper bound and not a forecast.
"""

import math
from typing import NamedTuple

import highspy
import numpy

from .state import HOLDING, LEAVING, Hold

SURGE_WEIGHT = 0.25  # weight of value served only in a surge
# Share of a title's value for extra copies, up to its share of the spare room: they give managers a choice of boxes.
CHOICE_WEIGHT = 0.1
MOVE_COST = 1e-4  # share of the total value that an added copy costs; a dropped one costs a tenth of it


class BoxCapacity(NamedTuple):
    """One box in a plan request."""

    id: int
    link_kb: float
    rack: int
    room: int  # titles that the box can hold


class PlanRequest(NamedTuple):
    """The input of the planner."""

    boxes: tuple  # BoxCapacity
    uplinks: dict  # rack: kB a second
    demand: dict  # title: kB a second
    value: dict  # title: value of a kB served; 1 if missing
    moves: int  # maximum of added copies
    copies: int = 3
    stress: float = 1.5


class Plan(NamedTuple):
    """The planner's result."""

    add: list  # (title, box)
    drop: list
    before: float  # share of the demand's value that the present copies can carry
    after: float
    before_surge: float  # the same for a surge
    after_surge: float
    gap: float  # bound on the relative distance from the optimum
    seconds: float

    def ops(self):
        """Two change sets in the order of use: copies are added before others leave."""
        return ([Hold(t, b, HOLDING) for t, b in self.add], [Hold(t, b, LEAVING) for t, b in self.drop])


class SparseRows:
    """The constraint rows of the model as a sparse matrix with bounds."""

    def __init__(self):
        self.start, self.index, self.value, self.low, self.high = [0], [], [], [], []

    def add(self, pairs, low, high):
        """Adds a row with (column, coefficient) pairs and its bounds."""
        for column, value in pairs:
            self.index.append(column)
            self.value.append(value)
        self.start.append(len(self.index))
        self.low.append(low)
        self.high.append(high)


def solve(question, held, titles, fixed_copies, seconds, gap):
    """One run of the solver: (share of value served, the same of a surge, copies, gap, seconds).

    fixed_copies: the copies are the present ones and only the split of demand is free.
    """
    boxes, inf = question.boxes, highspy.kHighsInf
    title_count, box_count = len(titles), len(boxes)
    copies, shares, base, surge, choice = (
        0,
        title_count * box_count,
        2 * title_count * box_count,
        2 * title_count * box_count + title_count,
        2 * title_count * box_count + 2 * title_count,
    )
    columns = 2 * title_count * box_count + 3 * title_count
    total_demand = sum(question.demand[t] for t in titles)
    spare_room = max(0.0, sum(b.room for b in boxes) - title_count * question.copies)
    total_value = sum(question.demand[t] * question.value.get(t, 1.0) for t in titles) or 1.0
    cost, low, high = numpy.zeros(columns), numpy.zeros(columns), numpy.full(columns, inf)
    rows = SparseRows()
    for i, t in enumerate(titles):
        demand, value = question.demand[t], question.value.get(t, 1.0)
        cost[base + i], high[base + i] = value / total_value, demand
        cost[surge + i], high[surge + i] = SURGE_WEIGHT * value / total_value, demand * (question.stress - 1)
        # Managers place greedily and independently, so copies beyond those the flow needs are useful to them.
        high[choice + i] = (
            min(float(box_count), question.copies + spare_room * demand / total_demand) if not fixed_copies else 0.0
        )
        cost[choice + i] = CHOICE_WEIGHT * value * demand / total_value / max(1.0, high[choice + i])
        rows.add([(choice + i, 1.0), *((copies + i * box_count + j, -1.0) for j in range(box_count))], -inf, 0.0)
        for j, box in enumerate(boxes):
            copy, share, holds = copies + i * box_count + j, shares + i * box_count + j, box.id in held[t]
            high[copy] = 1.0
            if fixed_copies:
                low[copy] = high[copy] = float(holds)
            else:
                cost[copy] = MOVE_COST * 0.1 if holds else -MOVE_COST
            high[share] = min(box.link_kb, demand * question.stress)
            rows.add([(share, 1.0), (copy, -min(box.link_kb, demand * question.stress))], -inf, 0.0)
        rows.add(
            [(base + i, 1.0), (surge + i, 1.0), *((shares + i * box_count + j, -1.0) for j in range(box_count))],
            -inf,
            0.0,
        )
        if not fixed_copies:
            rows.add(
                [(copies + i * box_count + j, 1.0) for j in range(box_count)],
                float(min(question.copies, box_count)),
                inf,
            )
            racks = {box.rack for box in boxes}
            if len(racks) > 1:
                for rack in racks:
                    rows.add(
                        [(copies + i * box_count + j, 1.0) for j, b in enumerate(boxes) if b.rack != rack], 1.0, inf
                    )
    for j, box in enumerate(boxes):
        rows.add([(shares + i * box_count + j, 1.0) for i in range(title_count)], -inf, box.link_kb)
        if not fixed_copies:
            rows.add([(copies + i * box_count + j, 1.0) for i in range(title_count)], -inf, float(box.room))
    for rack, kb in question.uplinks.items():
        members = [j for j, b in enumerate(boxes) if b.rack == rack]
        rows.add([(shares + i * box_count + j, 1.0) for i in range(title_count) for j in members], -inf, float(kb))
    if not fixed_copies:
        new = [
            (copies + i * box_count + j, 1.0)
            for i, t in enumerate(titles)
            for j, b in enumerate(boxes)
            if b.id not in held[t]
        ]
        rows.add(new, -inf, float(question.moves))
    model = highspy.HighsLp()
    model.num_col_, model.num_row_, model.sense_ = columns, len(rows.low), highspy.ObjSense.kMaximize
    model.col_cost_, model.col_lower_, model.col_upper_ = cost, low, high
    model.row_lower_, model.row_upper_ = numpy.array(rows.low), numpy.array(rows.high)
    model.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    model.a_matrix_.start_, model.a_matrix_.index_ = numpy.array(rows.start), numpy.array(rows.index)
    model.a_matrix_.value_ = numpy.array(rows.value)
    if not fixed_copies:
        model.integrality_ = [highspy.HighsVarType.kInteger] * (title_count * box_count) + [
            highspy.HighsVarType.kContinuous
        ] * (columns - title_count * box_count)
    solver = highspy.Highs()
    solver.setOptionValue("output_flag", False)
    solver.setOptionValue("time_limit", float(seconds))
    solver.setOptionValue("mip_rel_gap", gap)
    solver.setOptionValue("random_seed", 1)
    solver.passModel(model)
    if not fixed_copies:  # the solver starts from the present copies: the plan is never worse
        start = highspy.HighsSolution()
        start.col_value = [
            float(boxes[n % box_count].id in held[titles[n // box_count]]) if n < title_count * box_count else 0.0
            for n in range(columns)
        ]
        solver.setSolution(start)
    solver.run()
    status, info = solver.getModelStatus(), solver.getInfo()
    if status not in (highspy.HighsModelStatus.kOptimal, highspy.HighsModelStatus.kTimeLimit) or not math.isfinite(
        info.objective_function_value
    ):
        raise ValueError(
            f"no plan fits: {solver.modelStatusToString(status)}; "
            f"{question.copies} copies in two racks need more room on the boxes or more moves"
        )
    solution = numpy.array(solver.getSolution().col_value)
    served = sum(question.value.get(t, 1.0) * solution[base + i] for i, t in enumerate(titles)) / total_value
    surge_served = sum(question.value.get(t, 1.0) * solution[surge + i] for i, t in enumerate(titles)) / total_value
    found = {
        t: {boxes[j].id for j in range(box_count) if solution[copies + i * box_count + j] > 0.5}
        for i, t in enumerate(titles)
    }
    return (
        float(served),
        float(surge_served / max(1e-9, question.stress - 1)),
        found,
        0.0 if fixed_copies else float(info.mip_gap),
        float(solver.getRunTime()),
    )


def plan(question, held, seconds=20.0, gap=0.005):
    """Computes a Plan. held: {title: boxes that hold it}. Titles without demand keep their copies.

    ValueError: no plan fits, or the request is inconsistent.
    """
    titles = sorted(t for t, kb in question.demand.items() if kb > 0)
    if not titles:
        raise ValueError("no title with demand")
    if missing := [t for t in titles if t not in held]:
        raise ValueError(f"demand for {missing[0]!r}, which is not in the catalogue")
    known = {b.id for b in question.boxes}
    if unknown := sorted({b for t in titles for b in held[t]} - known):
        raise ValueError(f"box {unknown[0]} holds titles and is not among the boxes given")
    reserved = {b.id: sum(b.id in boxes for t, boxes in held.items() if t not in set(titles)) for b in question.boxes}
    question = question._replace(boxes=tuple(b._replace(room=b.room - reserved[b.id]) for b in question.boxes))
    before, before_surge, _, _, _ = solve(question, held, titles, True, seconds, gap)
    after, after_surge, found, remaining_gap, solve_seconds = solve(question, held, titles, False, seconds, gap)
    add = sorted((t, b) for t in titles for b in found[t] - set(held[t]))
    drop = sorted((t, b) for t in titles for b in set(held[t]) - found[t])
    return Plan(add, drop, before, after, before_surge, after_surge, remaining_gap, solve_seconds)


def proportional_copies(question, held):
    """The baseline placement, {title: boxes}: copies in proportion to demand, each on the least loaded box."""
    titles = sorted((t for t, kb in question.demand.items() if kb > 0), key=lambda t: (-question.demand[t], t))
    slots = sum(b.room for b in question.boxes)
    total, room = sum(question.demand[t] for t in titles), {b.id: b.room for b in question.boxes}
    load, out = {b.id: 0.0 for b in question.boxes}, {}
    spare_room = slots - sum(min(question.copies, len(question.boxes)) for _ in titles)
    links, racks = {b.id: b.link_kb for b in question.boxes}, {b.id: b.rack for b in question.boxes}
    for t in titles:
        target = min(len(question.boxes), question.copies + int(max(0, spare_room) * question.demand[t] / total))
        chosen = []
        while len(chosen) < target:
            free = [b for b in links if room[b] > 0 and b not in chosen]
            if not free:
                break
            if chosen and len({racks[c] for c in chosen}) == 1 and len(chosen) == target - 1:
                free = [b for b in free if racks[b] != racks[chosen[0]]] or free
            best = min(free, key=lambda b: (load[b] / links[b], b))
            chosen.append(best)
            room[best] -= 1
            load[best] += question.demand[t] / target
        out[t] = set(chosen)
    return {**{t: set(b) for t, b in held.items()}, **out}


def carried_value(question, held):
    """(share of the demand's value that these holders can carry, the same for a surge)."""
    titles = sorted(t for t, kb in question.demand.items() if kb > 0)
    return solve(question, held, titles, True, 20.0, 0.005)[:2]
