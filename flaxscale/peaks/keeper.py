"""The room that one manager keeps for announced peaks, from its own list and what it sees come. No agreement.

Room is kept ahead by the time that ordinary viewings take to end (an announcement's lead), so that they drain out of
it instead of being stepped down. The peak's own viewings see the whole link at any time: a crowd that comes early
finds the room open at once. What was announced and does not come is handed back along a stated curve: the part that
did not come of what should have is kept for a while longer, halved each SHORTFALL_HALF_LIFE_S. Where holders go, the
room moves to those that are left at the next word of the list; what they can't keep is given up, and said.

A planner's schedule says how much each box keeps; without one, or for what its boxes can't keep any more, room goes
to holders by their links.
"""

from typing import NamedTuple

from ..interface import ServerStatus

SHORTFALL_HALF_LIFE_S = 6.0  # seconds in which what did not come is halved
START_GRACE_S = 3.0  # seconds after the start before anything counts as not come
MIN_EXPECTED_ARRIVALS = 8  # viewings that should have come before a shortfall means anything
MAX_RESERVED_SHARE = 0.6  # of a link or uplink is kept at most: ordinary viewings are never pushed out whole


class PeakEnvironment(NamedTuple):
    """What a keeper asks of its surroundings."""

    room_kb: object  # room_kb(title or package, rung, viewings, boxes): kB a second for so many
    holders: object  # holders(title): ids of the boxes that hold it
    racks: int
    uplink_kb: float


class PeakReserver:
    def __init__(self, peaks, fleet, since=None):
        """since: when this manager began to count who comes, on the announcements' axis; None: before all of them."""
        self.fleet, self.since = fleet, since
        self.peaks, self.arrivals, self.missing_since = (), {}, {}
        self.unplaced_kb, self.reserved_kb = 0.0, {}  # kB a second; the latter by peak
        self.replace(peaks)

    def replace(self, peaks):
        """Announcements changed in service; who came to those that stay is still counted."""
        self.peaks = tuple(peaks)
        self.arrivals = {p.name: self.arrivals.get(p.name, 0) for p in self.peaks}
        self.missing_since = {name: s for name, s in self.missing_since.items() if name in self.arrivals}

    def record_request(self, title, package, peers):
        """A viewing of this title was asked of this manager: of all, about so many times peers."""
        for p in self.peaks:
            if title in p.titles or package in p.packages:
                self.arrivals[p.name] += peers

    def expected_arrivals(self, p, s):
        """How many should have come while this manager counted."""
        return p.arrivals_by(s - START_GRACE_S) - (p.arrivals_by(self.since) if self.since is not None else 0.0)

    def confidence(self, p, s):
        """The part of what was announced that is still believed."""
        due = self.expected_arrivals(p, s)
        if due < MIN_EXPECTED_ARRIVALS:
            self.missing_since.pop(p.name, None)
            return 1.0
        came = min(1.0, self.arrivals[p.name] / due)
        since = self.missing_since.setdefault(p.name, s)
        return came + (1 - came) * 0.5 ** ((s - since) / SHORTFALL_HALF_LIFE_S)

    def wanted(self, p, s):
        """How many viewings a peak should find room for at a time."""
        if s >= p.end_s or s < p.start_s - p.lead_s:
            return 0.0
        return max(p.viewings_at(s), p.viewings_at(min(s + p.lead_s, p.end_s))) * p.sure * self.confidence(p, s)

    def reserve(self, s, servers):
        """The room kept now. servers: {id: (row, link kB)}.

        ({server: kB a second}, {title: rung that room is kept for}, the same by package), of the peaks that are on.
        """
        rooms, racks, self.unplaced_kb, self.reserved_kb = {}, {}, 0.0, {}
        titles, packages = {}, {}
        ready = {id for id, (row, _) in servers.items() if row.state is ServerStatus.READY}

        def keep(id, kb):
            """Keeps so much more at a box, as far as it may; returns what it kept."""
            row, link = servers[id]
            rack = row.cell % self.fleet.racks
            room = max(
                0.0,
                min(
                    kb,
                    MAX_RESERVED_SHARE * link - rooms.get(id, 0.0),
                    MAX_RESERVED_SHARE * self.fleet.uplink_kb - racks.get(rack, 0.0),
                ),
            )
            rooms[id] = rooms.get(id, 0.0) + room
            racks[rack] = racks.get(rack, 0.0) + room
            return room

        for p in self.peaks:
            if (viewings := self.wanted(p, s)) <= 0:
                continue
            titles.update((t, max(p.rung, titles.get(t, 0))) for t in p.titles)
            packages.update((k, max(p.rung, packages.get(k, 0))) for k in p.packages)
            self.reserved_kb[p.name], self.unplaced_kb = self.keep_one(p, s, viewings, servers, ready, keep)
        return {id: round(kb, 3) for id, kb in rooms.items() if kb > 0}, titles, packages

    def keep_one(self, p, s, viewings, servers, ready, keep):
        """(kB a second kept for one peak, given up in all so far)."""
        parts, kept, lost = len(p.titles) + len(p.packages), 0.0, self.unplaced_kb
        planned = {b.box: b.at(s) * p.sure * self.confidence(p, s) for b in p.schedule}
        for title in [*p.titles, *p.packages]:
            holders = ready.intersection(self.fleet.holders(title)) if title in p.titles else ready
            if p.schedule:
                want = sum(planned.values()) / parts
                got = sum(keep(id, planned[id] / parts) for id in sorted(holders) if planned.get(id))
            else:
                want, got = self.fleet.room_kb(title, p.rung, viewings / parts, max(1, len(holders))), 0.0
            for _ in range(2):  # what one box can't keep, the others are asked for once
                links = {id: servers[id][1] for id in sorted(holders)}
                total, left = sum(links.values()), want - got
                if not total or left < 1.0:
                    break
                got += sum(keep(id, left * link / total) for id, link in links.items())
            kept += got
            lost += max(0.0, want - got)
        return kept, lost


def bandwidth_function(site):
    """room_kb for a site: titles that are live share their streams; the title's own package, or a package."""
    ladder = site.ladder

    def room_kb(package, rung, viewings, boxes):
        row = site.packages[package]
        kb = ladder.kb[max(rung, row.floor)] * row.scale
        if not row.live:
            return kb * viewings
        full = min(viewings, boxes)  # one whole stream on each box, the others join them
        return kb * (full + ladder.join * (viewings - full))

    return room_kb
