"""Lists of troubles for one day: drawn anew, or changed a little. Pure; all chance comes from the dice handed in.

The kinds are those that a day's file knows, with figures after what public reports of large fleets describe: partial
and one-way cuts, grey failure (slow, late, lossy, a load figure that lies), fast errors, half the capacity gone, a
whole zone at once, outages inside outages (P. Huang et al., "Gray Failure", HotOS 2017; N. Bronson et al., "Metastable
Failures in Distributed Systems", HotOS 2021). Troubles stand between LEAD_S after the day's beginning and TAIL_S before
its end, so that how it went before and whether it came back can be seen.
"""

import math

import msgspec

from ..lab.shapes import MODEL_WAYS, SOCKETS_ONLY, TroubleRow
from ..lab.ways import CHANCES, KINDS

LEAD_S, TAIL_S = 4.0, 9.0
MOST, SHORT_S, LONG_S = 8, 0.5, 8.0  # troubles in a list; how long one lasts
# kind: the least and the most of its value
BOXES = {
    "hang": (1, 1),
    "drain": (1, 1),
    "answer_lost": (0.3, 1),
    "reset_after": (0.3, 1),
    "reset_before": (0.3, 1),
    "half": (0.3, 1),
    "fast_errors": (0.3, 1),
    "slow": (2, 40),
    "link": (0.2, 0.8),
    "neighbour": (0.2, 0.8),
    "report_late": (5_000, 40_000),
    "lie": (0.2, 3),
    "crash": (1, 1),
    "box_stall": (1, 1),
}
MANAGERS = {"manager_crash": (1, 1), "manager_stall": (1, 1), "manager_restart": (1, 1), "disk": (1, 1)}
WHOLE = {"list_late": (500, 4_000), "list_frozen": (1, 1), "uplink": (0.2, 0.8), "crowd": (1.5, 4)}
WITH_CATALOGUE = {"catalogue_crash": (1, 1), "catalogue_stall": (1, 1)}
SHARES = 0.1, 0.2, 0.35, 0.5, 0.75, 1.0
WAYS = {
    "cut": (1, 1),
    "delay": (50, 1_500),
    "refuse": (1, 1),
    "reset": (1, 1),
    "half_open": (1, 1),
    "throttle": (5, 200),
    "lose": (0.1, 0.6),
    "duplicate": (0.1, 0.6),
    "reorder": (0.1, 0.6),
}


class Space:
    def __init__(self, day, sockets):
        """sockets: by processes, where all kinds are; else those that the model plays."""
        self.day, self.sockets = day, sockets
        known = {**BOXES, **MANAGERS, **WHOLE, **(WITH_CATALOGUE if day.catalogue else {})}
        self.kinds = {kind: value for kind, value in known.items() if sockets or kind not in SOCKETS_ONLY}
        self.kinds["way"] = None
        self.ways = {kind: value for kind, value in WAYS.items() if kind in KINDS and (sockets or kind in MODEL_WAYS)}
        if not day.members:  # datagrams pass between members only
            self.ways = {kind: value for kind, value in self.ways.items() if kind not in CHANCES}
        # Longer than a lease where others take over: a manager that is back before takes up its own again.
        self.long = max(LONG_S, day.site.fleet.lease_ms / 1000 + 4) if day.members else LONG_S
        self.last = day.length_s - TAIL_S
        if self.last - LEAD_S < LONG_S:
            raise ValueError(f"length_s: a day of {LEAD_S + LONG_S + TAIL_S:g} s or more expected")

    def between(self, dice, pair):
        """A value: the greater the spread, the more evenly over its sizes."""
        low, high = pair
        return low if low == high else round(math.exp(dice.between((math.log(low), math.log(high)))), 3)

    def some(self, dice, count):
        """Numbers of a part of `count` parties; often those of one part of the list, as a rack or a zone is."""
        many = max(1, round(count * SHARES[int(dice.draw() * len(SHARES))]))
        if dice.draw() < 0.5:
            first = int(dice.draw() * count)
            return sorted((first + n) % count for n in range(many))
        return dice.some(range(count), many)

    def group(self, dice):
        """Names of parties that a way may lead from or to."""
        sort = int(dice.draw() * 5)
        if sort < 2:
            return [f"m{m}" for m in self.some(dice, self.day.site.managers)]
        if sort < 4:
            return [f"b{b + 1}" for b in self.some(dice, len(self.day.boxes))]
        return ["catalogue"] if self.day.catalogue and dice.draw() < 0.5 else ["list"]

    def drawn(self, dice):
        """One trouble."""
        kind = list(self.kinds)[int(dice.draw() * len(self.kinds))]
        kind = "way" if dice.draw() < 0.25 else kind  # there are as many ways as all else together
        at = round(dice.between((LEAD_S, self.last - SHORT_S)), 2)
        most = self.long if kind in MANAGERS else LONG_S
        row = TroubleRow(at_s=at, what=kind, for_s=round(dice.between((SHORT_S, min(most, self.last - at))), 2))
        if kind == "way":
            way = list(self.ways)[int(dice.draw() * len(self.ways))]
            return self.pair(
                dice,
                msgspec.structs.replace(
                    row,
                    kind=way,
                    value=self.between(dice, self.ways[way]),
                    one_way=dice.draw() < 0.4,
                    jitter=round(dice.between((0, 300))) if way == "delay" else 0,
                    heal_s=round(dice.between((0.1, 2)), 2) if dice.draw() < 0.3 else 0,
                ),
            )
        row = msgspec.structs.replace(row, value=self.between(dice, self.kinds[kind]))
        if kind in BOXES:
            return msgspec.structs.replace(row, boxes=self.some(dice, len(self.day.boxes)))
        if kind in MANAGERS:
            row = msgspec.structs.replace(row, managers=self.some(dice, self.day.site.managers))
            if kind == "disk":
                return msgspec.structs.replace(row, kind="full" if dice.draw() < 0.5 else "slow", value=50)
            return msgspec.structs.replace(row, disk=dice.draw() < 0.7) if kind == "manager_crash" else row
        if kind == "uplink":
            return msgspec.structs.replace(row, rack=int(dice.draw() * self.day.site.fleet.racks))
        return row

    def pair(self, dice, row):
        """Two groups between which ways lead; a side alone is cut from all boxes."""
        one, other = self.group(dice), self.group(dice)
        if one[0][0] == other[0][0] == "m" and set(one) & set(other):
            other = [f"m{m}" for m in range(self.day.site.managers) if f"m{m}" not in one]
        if not other or one[0][0] == other[0][0] != "m" or {one[0][0], other[0][0]} <= {"l", "c"}:
            other = ["boxes"] if one[0][0] == "m" else ["managers"]
        if one[0][0] == "b" and other[0][0] == "m" and dice.draw() < 0.5:
            one, other = other, one  # from managers to boxes as often as back
        return msgspec.structs.replace(row, between=[one, other])

    def fresh(self, dice):
        """A whole list."""
        return ordered(self.drawn(dice) for _ in range(1 + int(dice.draw() * 4)))

    def changed(self, troubles, dice):
        """The same with one thing else: one more, at the time of another or not, one fewer, moved, longer, redrawn."""
        troubles, how = list(troubles), int(dice.draw() * 6)
        n = int(dice.draw() * len(troubles)) if troubles else 0
        if not troubles or how == 0 and len(troubles) < MOST:
            return ordered([*troubles, self.drawn(dice)])
        row = troubles[n]
        if how == 1 and len(troubles) < MOST:  # an outage inside an outage
            inner = self.drawn(dice)
            at = round(min(self.last - SHORT_S, row.at_s + row.for_s * dice.draw()), 2)
            return ordered(
                [*troubles, msgspec.structs.replace(inner, at_s=at, for_s=round(min(inner.for_s, self.last - at), 2))]
            )
        if how == 2 and len(troubles) > 1:
            return ordered(troubles[:n] + troubles[n + 1 :])
        if how == 3:
            at = round(min(max(LEAD_S, row.at_s + dice.between((-2, 2))), self.last - SHORT_S), 2)
            row = msgspec.structs.replace(row, at_s=at, for_s=round(min(row.for_s, self.last - at), 2))
        elif how == 4:
            longer = row.for_s * dice.between((0.4, 2.5))
            row = msgspec.structs.replace(
                row, for_s=round(min(max(SHORT_S, longer), self.long, self.last - row.at_s), 2)
            )
        else:
            made = self.drawn(dice)
            row = msgspec.structs.replace(made, at_s=row.at_s, for_s=row.for_s)
        return ordered([*troubles[:n], row, *troubles[n + 1 :]])


def ordered(troubles):
    return sorted(troubles, key=lambda row: (row.at_s, row.what))


def healed_at(troubles):
    """Seconds of the day from which on nothing strikes any more."""
    return max((row.at_s + row.for_s + row.heal_s for row in troubles), default=0.0)
