"""Upper bound of the worth that any placement earns in one second of a day: a linear program, solved by HiGHS.

The relaxation knows every viewer who wants to watch in that second and the state of every box. It may move all viewers
each second at no cost, split viewings, and give each live viewer the rate of one who joins a stream. Everything that
it leaves out can only cost a real placement worth, so no placement earns more.

Overload: a box whose load is u times the capacity of its link (or of its rack's uplink) delivers 1/u and loses
stall * (0.98 - 1/u) of the worth of each viewing. With worths of at most 1 and a stall price of at least 1/0.98,
dividing each box's load by its own u leaves a feasible placement that earns at least 0.98 times as much. The bound is
therefore the worth of the relaxation divided by 0.98 (KNEE).
"""

from collections import Counter

import numpy
from scipy.optimize import linprog
from scipy.sparse import coo_array

KNEE = 0.98  # share of a viewing's rate; no worth is lost if at least this is delivered


class Demand:
    """Viewers of one title who can use the same rungs: their number, the value of each, and the title's boxes."""

    __slots__ = "title", "count", "value", "floor", "top", "scale", "boxes", "seats"

    def __init__(self, title, count, value, floor, top, scale, boxes, seats=0):
        """scale: factor on the ladder's rates, including the join factor. seats: total of the title; 0: no limit."""
        self.title, self.count, self.value, self.floor, self.top = title, count, value, floor, top
        self.scale, self.boxes, self.seats = scale, boxes, seats


class BoxCapacity:
    """Capacity of one box: present link rate in kB a second, rack, and number of streams."""

    __slots__ = "link_kb", "rack", "slots"

    def __init__(self, link_kb, rack, slots):
        self.link_kb, self.rack, self.slots = link_kb, rack, slots


def max_worth(demands, boxes_by_id, uplinks, kb, worth, stall):
    """Upper bound of the worth that any placement earns in one second.

    demands: [Demand]. boxes_by_id: {box: BoxCapacity}; other boxes take no viewings. uplinks: {rack: kB a second}.
    kb, worth: the ladder. Raises ValueError if the conditions of the proof do not hold.
    """
    if max(worth) > 1 or stall < 1 / KNEE:
        raise ValueError(f"worths of at most 1 and a stall price of {1 / KNEE:.3f} or more are needed")
    links, racks, slots, seats = {}, {}, {}, {}
    rows, columns, values, limits, gain = [], [], [], [], []

    def row(index, key, limit):
        if key not in index:
            index[key] = len(limits)
            limits.append(limit)
        return index[key]

    def put(r, column, value):
        rows.append(r)
        columns.append(column)
        values.append(value)

    for demand in demands:
        boxes = [b for b in demand.boxes if b in boxes_by_id]
        if not boxes:
            continue
        count_limit = len(limits)
        limits.append(float(demand.count))
        for b in boxes:
            box, above = boxes_by_id[b], None
            for rung in range(demand.floor, demand.top + 1):
                first = rung == demand.floor
                column = len(gain)
                step_kb = demand.scale * (kb[rung] - (0 if first else kb[rung - 1]))
                gain.append(-demand.value * (worth[rung] - (0 if first else worth[rung - 1])))
                put(row(links, b, box.link_kb), column, step_kb)
                if box.rack in uplinks:
                    put(row(racks, box.rack, uplinks[box.rack]), column, step_kb)
                if first:
                    put(count_limit, column, 1.0)
                    put(row(slots, b, float(box.slots)), column, 1.0)
                    if demand.seats:
                        put(row(seats, demand.title, float(demand.seats)), column, 1.0)
                else:  # no more viewers at a rung than at the one below it
                    chain = len(limits)
                    limits.append(0.0)
                    put(chain, column, 1.0)
                    put(chain, above, -1.0)
                above = column
    if not gain:
        return 0.0
    matrix = coo_array((values, (rows, columns)), shape=(len(limits), len(gain))).tocsr()
    solution = linprog(numpy.array(gain), A_ub=matrix, b_ub=numpy.array(limits), bounds=(0, None), method="highs")
    if solution.status != 0:
        raise ValueError(f"no bound found: {solution.message}")
    return -float(solution.fun) / KNEE


def bound_of_play(play):
    """The bound of the current second of a Play, from its watchers and the state of its boxes."""
    site, now, fleet = play.day.site, play.world.now, play.fleet
    ladder = site.ladder
    packages, top_rung = play.packages, len(ladder.kb) - 1
    # Viewers who want to watch now, and those still watching because they started late: both can earn.
    playing = {viewing.player for viewing in play.viewing_by_key.values() if viewing.playing and not viewing.ended}
    counted = Counter(
        (player.request.title, player.package, player.request.top) for player in {*play.watchers, *playing}
    )
    demands = []
    for (title, number, top), count in sorted(counted.items(), key=str):
        package = packages[number]
        demands.append(
            Demand(
                title,
                count,
                package.value,
                package.floor,
                max(package.floor, min(package.top, top_rung, top_rung if top is None else top)),
                package.scale * (ladder.join if package.live else 1.0),
                play.holders(title),
                package.seats * site.managers,
            )
        )
    boxes_by_id = {
        id: BoxCapacity(model_box.box.link_capacity_kb(now), model_box.place.rack, model_box.place.slots)
        for id, model_box in fleet.boxes.items()
        if not model_box.dead and not model_box.box.trouble.hang
    }
    return max_worth(demands, boxes_by_id, fleet.uplinks, ladder.kb, ladder.worth, ladder.stall)
