"""The bandwidth that one manager reserves for announced peaks, from its server list and the arrivals that it counts.

Managers do not coordinate their reservations.

Bandwidth is reserved ahead by the time in which ordinary viewings end (lead_s of an announcement), so that they drain
instead of being stepped down. Viewings of the peak can use the whole link at any time, so an early crowd finds the
bandwidth at once. If fewer viewings arrive than announced, the missing part of the reservation is released
gradually: it halves every SHORTFALL_HALF_LIFE_S. If boxes fail, their part moves to the remaining holders at the next
update; what these can't take is given up and reported.

A planned schedule states the bandwidth for each box. Without one, or for what its boxes can't take any more, the
bandwidth is divided among the holders in proportion to their links.
"""

from typing import NamedTuple

from ..interface import ServerStatus

SHORTFALL_HALF_LIFE_S = 6.0  # time in which the reservation for missing viewings halves
START_GRACE_S = 3.0  # delay after which an announced viewing counts as missing
MIN_EXPECTED_ARRIVALS = 8  # with fewer announced viewings so far, a shortfall is not significant
MAX_RESERVED_SHARE = 0.6  # of a link or uplink, so that ordinary viewings are never displaced completely


class PeakEnvironment(NamedTuple):
    """What a PeakReserver needs to know of the fleet."""

    room_kb: object  # room_kb(title or package, rung, viewings, boxes): kB a second that these viewings need
    holders: object  # holders(title): ids of the boxes that hold it
    racks: int
    uplink_kb: float


class PeakReserver:
    """Counts arrivals and computes the reservations of one manager."""

    def __init__(self, peaks, environment, since=None):
        """since: when this manager started to count arrivals, on the announcements' axis; None: before all of them."""
        self.environment, self.since = environment, since
        self.peaks, self.arrivals, self.shortfall_since = (), {}, {}
        self.unplaced_kb, self.reserved_kb = 0.0, {}  # kB a second of the last reserve(); the latter by peak
        self.replace(peaks)

    def replace(self, peaks):
        """Replaces the announcements; arrivals counted for those that remain are kept."""
        self.peaks = tuple(peaks)
        self.arrivals = {p.name: self.arrivals.get(p.name, 0) for p in self.peaks}
        self.shortfall_since = {name: s for name, s in self.shortfall_since.items() if name in self.arrivals}

    def record_request(self, title, package, managers):
        """Counts a request at this manager, multiplied by the number of managers as an estimate for all of them."""
        for p in self.peaks:
            if title in p.titles or package in p.packages:
                self.arrivals[p.name] += managers

    def expected_arrivals(self, p, s):
        """Announced number of viewings while this manager counted."""
        return p.arrivals_by(s - START_GRACE_S) - (p.arrivals_by(self.since) if self.since is not None else 0.0)

    def confidence(self, p, s):
        """The part of an announcement that is still expected, between the observed part and 1."""
        expected = self.expected_arrivals(p, s)
        if expected < MIN_EXPECTED_ARRIVALS:
            self.shortfall_since.pop(p.name, None)
            return 1.0
        arrived = min(1.0, self.arrivals[p.name] / expected)
        since = self.shortfall_since.setdefault(p.name, s)
        return arrived + (1 - arrived) * 0.5 ** ((s - since) / SHORTFALL_HALF_LIFE_S)

    def expected_viewings(self, p, s):
        """The number of viewings for which bandwidth is to be reserved at a time."""
        if s >= p.end_s or s < p.start_s - p.lead_s:
            return 0.0
        return max(p.viewings_at(s), p.viewings_at(min(s + p.lead_s, p.end_s))) * p.sure * self.confidence(p, s)

    def reserve(self, s, servers):
        """Computes the reservations for a time. servers: {id: (row, link kB)}.

        Returns ({server: kB a second}, {title: rung of the reservation}, the same by package) for the current peaks.
        """
        reservations, racks, self.unplaced_kb, self.reserved_kb = {}, {}, 0.0, {}
        titles, packages = {}, {}
        ready = {id for id, (row, _) in servers.items() if row.state is ServerStatus.READY}

        def reserve_at(id, kb):
            """Reserves more at a box, up to the limits of link and uplink; returns the added kB a second."""
            row, link = servers[id]
            rack = row.cell % self.environment.racks
            added = max(
                0.0,
                min(
                    kb,
                    MAX_RESERVED_SHARE * link - reservations.get(id, 0.0),
                    MAX_RESERVED_SHARE * self.environment.uplink_kb - racks.get(rack, 0.0),
                ),
            )
            reservations[id] = reservations.get(id, 0.0) + added
            racks[rack] = racks.get(rack, 0.0) + added
            return added

        for p in self.peaks:
            if (viewings := self.expected_viewings(p, s)) <= 0:
                continue
            titles.update((t, max(p.rung, titles.get(t, 0))) for t in p.titles)
            packages.update((k, max(p.rung, packages.get(k, 0))) for k in p.packages)
            self.reserved_kb[p.name], self.unplaced_kb = self.reserve_for(p, s, viewings, servers, ready, reserve_at)
        return {id: round(kb, 3) for id, kb in reservations.items() if kb > 0}, titles, packages

    def reserve_for(self, p, s, viewings, servers, ready, reserve_at):
        """Reserves for one peak; returns its kB a second and the sum that found no place so far."""
        parts, reserved, unplaced = len(p.titles) + len(p.packages), 0.0, self.unplaced_kb
        planned = {b.box: b.at(s) * p.sure * self.confidence(p, s) for b in p.schedule}
        for title in [*p.titles, *p.packages]:
            holders = ready.intersection(self.environment.holders(title)) if title in p.titles else ready
            if p.schedule:
                wanted = sum(planned.values()) / parts
                placed = sum(reserve_at(id, planned[id] / parts) for id in sorted(holders) if planned.get(id))
            else:
                wanted, placed = self.environment.room_kb(title, p.rung, viewings / parts, max(1, len(holders))), 0.0
            for _ in range(2):  # the rest of boxes at their limit is divided among the others once
                links = {id: servers[id][1] for id in sorted(holders)}
                total, remaining = sum(links.values()), wanted - placed
                if not total or remaining < 1.0:
                    break
                placed += sum(reserve_at(id, remaining * link / total) for id, link in links.items())
            reserved += placed
            unplaced += max(0.0, wanted - placed)
        return reserved, unplaced


def bandwidth_function(site):
    """room_kb for a site, by package. Viewings of live packages share streams on a box."""
    ladder = site.ladder

    def room_kb(package, rung, viewings, boxes):
        row = site.packages[package]
        kb = ladder.kb[max(rung, row.floor)] * row.scale
        if not row.live:
            return kb * viewings
        full_streams = min(viewings, boxes)  # one full stream on each box; further viewings join it
        return kb * (full_streams + ladder.join * (viewings - full_streams))

    return room_kb
