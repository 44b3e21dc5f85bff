"""The room that one manager keeps for announced peaks, from its own list and what it sees come. No agreement.

Room is kept ahead by the time that ordinary viewings take to end (LEAD), so that they drain out of it instead of
being stepped down. The peak's own viewings see the whole link at any time: a crowd that comes early finds the room
open at once. What was announced and does not come is handed back along a stated curve: the part that did not come of
what should have is kept for a while longer, halved each HALF. Where holders go, the room moves to those that are
left at the next word of the list; what they can't keep is given up, and said.
"""
from ..interface import State

LEAD = 15.0                 # seconds
HALF = 6.0                  # seconds in which what did not come is halved
GRACE = 3.0                 # seconds after the start before anything counts as not come
LEAST = 8                   # viewings that should have come before a shortfall means anything
MOST = 0.6                  # of a link or uplink is kept at most: ordinary viewings are never pushed out whole


class RoomKeeper:
    def __init__(self, peaks, rates, racks, uplink_kb, holders):
        """rates: kB a second by title and rung, rates(title, rung). holders(title): ids of boxes that hold it."""
        self.peaks, self.rates, self.racks, self.uplink_kb, self.holders = peaks, rates, racks, uplink_kb, holders
        self.come = {p.name: 0 for p in peaks}
        self.missing_since, self.given_up = {}, 0.0

    def asked(self, title, peers):
        """A viewing of this title was asked of this manager: of all, about so many times peers."""
        for p in self.peaks:
            if title in p.titles:
                self.come[p.name] += peers

    def believed(self, p, s):
        """The part of what was announced that is still believed."""
        due = p.come_by(s - GRACE)
        if due < LEAST:
            self.missing_since.pop(p.name, None)
            return 1.0
        came = min(1.0, self.come[p.name] / due)
        since = self.missing_since.setdefault(p.name, s)
        return came + (1 - came) * 0.5 ** ((s - since) / HALF)

    def wanted(self, p, s):
        """kB a second by title that a peak should find free or use at a time."""
        if s >= p.end_s or s < p.start_s - LEAD:
            return {}
        ahead = max(p.watch_at(s), p.watch_at(min(s + LEAD, p.end_s)))
        each = ahead * p.sure * self.believed(p, s) / len(p.titles)
        return {title: each * self.rates(title, p.rung) for title in p.titles}

    def rooms(self, s, servers):
        """({server: kB a second kept}, titles of the peaks on): servers: id to (row, link kB)."""
        rooms, titles, racks = {}, set(), {}
        self.given_up = 0.0
        for p in self.peaks:
            for title, kb in self.wanted(p, s).items():
                titles.add(title)
                ready = {id: servers[id][1] for id in self.holders(title)
                         if id in servers and servers[id][0].state is State.READY}
                total = sum(ready.values())
                for id, link in sorted(ready.items()):
                    rack = servers[id][0].cell % self.racks
                    room = max(0.0, min(kb * link / total, MOST * link - rooms.get(id, 0.0),
                                        MOST * self.uplink_kb - racks.get(rack, 0.0)))
                    rooms[id] = rooms.get(id, 0.0) + room
                    racks[rack] = racks.get(rack, 0.0) + room
                    self.given_up += kb * link / total - room
                if not ready:
                    self.given_up += kb
        return {id: round(kb, 3) for id, kb in rooms.items()}, frozenset(titles)
