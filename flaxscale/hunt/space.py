"""Lists of troubles for one day: drawn at random, or mutated in one place. Pure; all randomness comes from the dice
passed in.

The kinds are those that a day's file accepts, with ranges based on public reports of large fleets: partial and one-way
cuts, grey failure (slow, late, lossy, a wrong load figure), fast errors, half the capacity lost, a whole zone failing
at once, outages inside outages (P. Huang et al., "Gray Failure", HotOS 2017; N. Bronson et al., "Metastable Failures in
Distributed Systems", HotOS 2021). Troubles lie between LEAD_S after the day's beginning and TAIL_S before its end, so
that the service before the first trouble is measured and recovery after the last can be decided.
"""

import math

import msgspec

from ..lab.shapes import MODEL_WAYS, SOCKETS_ONLY, TroubleRow
from ..lab.ways import CHANCES, KINDS

LEAD_S = 4.0  # from the day's beginning to the first trouble
TAIL_S = 9.0  # from the end of the last trouble to the day's end
MAX_TROUBLES = 8  # in a list
MIN_DURATION_S = 0.5  # of a trouble
MAX_DURATION_S = 8.0  # of a trouble; a manager's may be longer, see Space
# Kinds of troubles by target, each with the least and the greatest value: {kind: (least, greatest)}.
BOX_KINDS = {
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
MANAGER_KINDS = {"manager_crash": (1, 1), "manager_stall": (1, 1), "manager_restart": (1, 1), "disk": (1, 1)}
FLEET_KINDS = {"list_late": (500, 4_000), "list_frozen": (1, 1), "uplink": (0.2, 0.8), "crowd": (1.5, 4)}
CATALOGUE_KINDS = {"catalogue_crash": (1, 1), "catalogue_stall": (1, 1)}
TARGET_SHARES = 0.1, 0.2, 0.35, 0.5, 0.75, 1.0  # of the boxes or managers, that a trouble strikes
WAY_KINDS = {  # faults of the ways between processes
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
    """The troubles that can be drawn for one day."""

    def __init__(self, day, sockets):
        """sockets: the day is played by processes, which support all kinds; else only the kinds of the model."""
        self.day, self.sockets = day, sockets
        known = {**BOX_KINDS, **MANAGER_KINDS, **FLEET_KINDS, **(CATALOGUE_KINDS if day.catalogue else {})}
        self.kinds = {kind: value for kind, value in known.items() if sockets or kind not in SOCKETS_ONLY}
        self.kinds["way"] = None
        self.ways = {
            kind: value for kind, value in WAY_KINDS.items() if kind in KINDS and (sockets or kind in MODEL_WAYS)
        }
        if not day.members:  # datagrams are only sent between members
            self.ways = {kind: value for kind, value in self.ways.items() if kind not in CHANCES}
        # With take-over between members an outage must outlast the lease: a manager that restarts before its lease
        # ends resumes its own sessions, and nothing is taken over.
        self.max_manager_outage_s = (
            max(MAX_DURATION_S, day.site.fleet.lease_ms / 1000 + 4) if day.members else MAX_DURATION_S
        )
        self.latest_end_s = day.length_s - TAIL_S
        if self.latest_end_s - LEAD_S < MAX_DURATION_S:
            raise ValueError(f"length_s: a day of {LEAD_S + MAX_DURATION_S + TAIL_S:g} s or more expected")

    def draw_value(self, dice, pair):
        """A value of the range `pair`, uniform on a logarithmic scale."""
        low, high = pair
        return low if low == high else round(math.exp(dice.between((math.log(low), math.log(high)))), 3)

    def draw_indexes(self, dice, count):
        """Indexes of a share of `count` parties; in half the draws adjacent ones, as in a failing rack or zone."""
        chosen = max(1, round(count * TARGET_SHARES[int(dice.draw() * len(TARGET_SHARES))]))
        if dice.draw() < 0.5:
            first = int(dice.draw() * count)
            return sorted((first + n) % count for n in range(chosen))
        return dice.some(range(count), chosen)

    def draw_endpoints(self, dice):
        """Names of the processes at one end of a faulty way."""
        sort = int(dice.draw() * 5)
        if sort < 2:
            return [f"m{m}" for m in self.draw_indexes(dice, self.day.site.managers)]
        if sort < 4:
            return [f"b{b + 1}" for b in self.draw_indexes(dice, len(self.day.boxes))]
        return ["catalogue"] if self.day.catalogue and dice.draw() < 0.5 else ["list"]

    def draw_trouble(self, dice):
        """One trouble."""
        kind = list(self.kinds)[int(dice.draw() * len(self.kinds))]
        kind = "way" if dice.draw() < 0.25 else kind  # raised weight: stands for all kinds of way faults
        at_s = round(dice.between((LEAD_S, self.latest_end_s - MIN_DURATION_S)), 2)
        longest = self.max_manager_outage_s if kind in MANAGER_KINDS else MAX_DURATION_S
        row = TroubleRow(
            at_s=at_s, what=kind, for_s=round(dice.between((MIN_DURATION_S, min(longest, self.latest_end_s - at_s))), 2)
        )
        if kind == "way":
            way = list(self.ways)[int(dice.draw() * len(self.ways))]
            return self.with_endpoints(
                dice,
                msgspec.structs.replace(
                    row,
                    kind=way,
                    value=self.draw_value(dice, self.ways[way]),
                    one_way=dice.draw() < 0.4,
                    jitter=round(dice.between((0, 300))) if way == "delay" else 0,
                    heal_s=round(dice.between((0.1, 2)), 2) if dice.draw() < 0.3 else 0,
                ),
            )
        row = msgspec.structs.replace(row, value=self.draw_value(dice, self.kinds[kind]))
        if kind in BOX_KINDS:
            return msgspec.structs.replace(row, boxes=self.draw_indexes(dice, len(self.day.boxes)))
        if kind in MANAGER_KINDS:
            row = msgspec.structs.replace(row, managers=self.draw_indexes(dice, self.day.site.managers))
            if kind == "disk":
                return msgspec.structs.replace(row, kind="full" if dice.draw() < 0.5 else "slow", value=50)
            return msgspec.structs.replace(row, disk=dice.draw() < 0.7) if kind == "manager_crash" else row
        if kind == "uplink":
            return msgspec.structs.replace(row, rack=int(dice.draw() * self.day.site.fleet.racks))
        return row

    def with_endpoints(self, dice, row):
        """The faulty way `row` with the two groups of processes between which it lies.

        Where the two drawn groups have no way between them, the second becomes all boxes or all managers.
        """
        one, other = self.draw_endpoints(dice), self.draw_endpoints(dice)
        if one[0][0] == other[0][0] == "m" and set(one) & set(other):
            other = [f"m{m}" for m in range(self.day.site.managers) if f"m{m}" not in one]
        if not other or one[0][0] == other[0][0] != "m" or {one[0][0], other[0][0]} <= {"l", "c"}:
            other = ["boxes"] if one[0][0] == "m" else ["managers"]
        if one[0][0] == "b" and other[0][0] == "m" and dice.draw() < 0.5:
            one, other = other, one  # one-way faults strike both directions equally often
        return msgspec.structs.replace(row, between=[one, other])

    def draw_list(self, dice):
        """A list of one to four troubles."""
        return in_order(self.draw_trouble(dice) for _ in range(1 + int(dice.draw() * 4)))

    def mutate(self, troubles, dice):
        """The list with one mutation: a trouble added, added within another, removed, moved, resized or redrawn."""
        troubles, mutation = list(troubles), int(dice.draw() * 6)
        n = int(dice.draw() * len(troubles)) if troubles else 0
        if not troubles or mutation == 0 and len(troubles) < MAX_TROUBLES:
            return in_order([*troubles, self.draw_trouble(dice)])
        row = troubles[n]
        if mutation == 1 and len(troubles) < MAX_TROUBLES:  # an outage inside an outage
            inner = self.draw_trouble(dice)
            at_s = round(min(self.latest_end_s - MIN_DURATION_S, row.at_s + row.for_s * dice.draw()), 2)
            return in_order(
                [
                    *troubles,
                    msgspec.structs.replace(
                        inner, at_s=at_s, for_s=round(min(inner.for_s, self.latest_end_s - at_s), 2)
                    ),
                ]
            )
        if mutation == 2 and len(troubles) > 1:
            return in_order(troubles[:n] + troubles[n + 1 :])
        if mutation == 3:
            at_s = round(min(max(LEAD_S, row.at_s + dice.between((-2, 2))), self.latest_end_s - MIN_DURATION_S), 2)
            row = msgspec.structs.replace(row, at_s=at_s, for_s=round(min(row.for_s, self.latest_end_s - at_s), 2))
        elif mutation == 4:
            duration_s = row.for_s * dice.between((0.4, 2.5))
            row = msgspec.structs.replace(
                row,
                for_s=round(
                    min(max(MIN_DURATION_S, duration_s), self.max_manager_outage_s, self.latest_end_s - row.at_s), 2
                ),
            )
        else:
            redrawn = self.draw_trouble(dice)
            row = msgspec.structs.replace(redrawn, at_s=row.at_s, for_s=row.for_s)
        return in_order([*troubles[:n], row, *troubles[n + 1 :]])


def in_order(troubles):
    """The troubles by start time, then by kind."""
    return sorted(troubles, key=lambda row: (row.at_s, row.what))


def healed_at(troubles):
    """The second of the day at which the last trouble has ended and healed."""
    return max((row.at_s + row.for_s + row.heal_s for row in troubles), default=0.0)
