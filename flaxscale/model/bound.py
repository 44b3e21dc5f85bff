"""What no placement can earn more than, in one second of a day: a linear relaxation, solved by HiGHS.

It knows every viewer who wants to watch in that second and every box as it is, and may move all of them anew each
second at no price, cut viewings into parts and give each live viewer the rate of one who joins a stream. What it
leaves out only ever costs a real placement something, so that no placement earns more.

Overload: a box asked u times what its link (or its rack's uplink) gives delivers 1/u and loses stall * (0.98 - 1/u)
of the worth of each viewing. With worths of at most 1 and a stall price of 1/0.98 or more, cutting each box's load
by its own u leaves a placement that fits and earns at least 0.98 times as much: so the bound is the relaxation's
worth over 0.98 (KNEE).
"""

from collections import Counter

import numpy
from scipy.optimize import linprog
from scipy.sparse import coo_array

KNEE = 0.98  # of a viewing's rate: delivered at least this, nothing is lost


class Want:
    """Viewers of one title who can use the same rungs: how many, of what value each, and where it is held."""

    __slots__ = "title", "count", "value", "floor", "top", "scale", "boxes", "seats"

    def __init__(self, title, count, value, floor, top, scale, boxes, seats=0):
        """scale: of the ladder's rates, that of joining a stream included. seats: of the title in all; 0: any."""
        self.title, self.count, self.value, self.floor, self.top = title, count, value, floor, top
        self.scale, self.boxes, self.seats = scale, boxes, seats


class Room:
    """One box: kB a second of its link now, its rack, and the streams that it can hold."""

    __slots__ = "link_kb", "rack", "slots"

    def __init__(self, link_kb, rack, slots):
        self.link_kb, self.rack, self.slots = link_kb, rack, slots


def most(wants, rooms, uplinks, kb, worth, stall):
    """The worth of this second that no placement exceeds.

    wants: [Want]. rooms: {box: Room}; boxes that are not in it take nothing. uplinks: {rack: kB a second}.
    kb, worth: the ladder. ValueError where the proof does not hold.
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

    for want in wants:
        held = [b for b in want.boxes if b in rooms]
        if not held:
            continue
        whole = len(limits)
        limits.append(float(want.count))
        for b in held:
            room, above = rooms[b], None
            for rung in range(want.floor, want.top + 1):
                first = rung == want.floor
                column = len(gain)
                step_kb = want.scale * (kb[rung] - (0 if first else kb[rung - 1]))
                gain.append(-want.value * (worth[rung] - (0 if first else worth[rung - 1])))
                put(row(links, b, room.link_kb), column, step_kb)
                if room.rack in uplinks:
                    put(row(racks, room.rack, uplinks[room.rack]), column, step_kb)
                if first:
                    put(whole, column, 1.0)
                    put(row(slots, b, float(room.slots)), column, 1.0)
                    if want.seats:
                        put(row(seats, want.title, float(want.seats)), column, 1.0)
                else:  # no more at a rung than at the one under it
                    chain = len(limits)
                    limits.append(0.0)
                    put(chain, column, 1.0)
                    put(chain, above, -1.0)
                above = column
    if not gain:
        return 0.0
    matrix = coo_array((values, (rows, columns)), shape=(len(limits), len(gain))).tocsr()
    found = linprog(numpy.array(gain), A_ub=matrix, b_ub=numpy.array(limits), bounds=(0, None), method="highs")
    if found.status != 0:
        raise ValueError(f"no bound found: {found.message}")
    return -float(found.fun) / KNEE


def of_play(play):
    """The bound of the present second of a Play: its watchers, its boxes as they are."""
    site, now, fleet = play.day.site, play.world.now, play.fleet
    ladder = site.ladder
    packages, top_rung = play.packages, len(ladder.kb) - 1
    # Who wants to watch now, and who still does because it began late: both can earn.
    playing = {vw.player for vw in play.by_key.values() if vw.playing and not vw.gone}
    counted = Counter((p.wish.title, p.package, p.wish.top) for p in {*play.watching, *playing})
    wants = []
    for (title, number, top), count in sorted(counted.items(), key=str):
        package = packages[number]
        wants.append(
            Want(
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
    rooms = {
        id: Room(h.box.link_capacity_kb(now), h.place.rack, h.place.slots)
        for id, h in fleet.boxes.items()
        if not h.dead and not h.box.trouble.hang
    }
    return most(wants, rooms, fleet.uplinks, ladder.kb, ladder.worth, ladder.stall)
