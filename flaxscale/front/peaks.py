"""Announced peaks at one manager on sockets: the keeper, its clock, and what the module is told each second."""

import asyncio
import time

from ..catalogue.title_lookup import title_id
from ..peaks.announce import faults
from ..peaks.axis import Axis
from ..peaks.keeper import PeakEnvironment, PeakReserver, bandwidth_function
from ..serve.clock import now

EVERY_S = 1.0
TELL_EVERY = 2  # of these, what was seen come is told to the service


class FrontPeaks:
    def __init__(self, front, address=None, files=None):
        site = front.site
        self.front, self.site, self.axis = front, site, Axis()
        self.room_kb, self.timer, self.turns, self.telling, self.told = bandwidth_function(site), None, 0, None, None
        self.stated = [row.announcement() for row in site.peaks]
        self.keeper = PeakReserver(
            self.stated,
            PeakEnvironment(self.room_of, front.holders, site.fleet.racks, site.fleet.uplink_kb),
            self.now(),
        )
        self.watch, self.kept_kb = None, 0.0
        if address:
            from ..catalogued.peak_watch import PeakWatch  # gRPC is slow to load and most tests need none

            self.watch = PeakWatch(address, front.name, self.changed, self.heard_clock, front.lines, files, self.check)

    def rule(self, site):
        """Goes by these settings from now on; what was announced and who came to it stands."""
        self.site, self.room_kb = site, bandwidth_function(site)
        self.keeper.environment = PeakEnvironment(
            self.room_of, self.front.holders, site.fleet.racks, site.fleet.uplink_kb
        )

    def start(self):
        if self.watch:
            self.watch.start()
        self.each()

    def now(self):
        return self.axis.at(now() / 10_000, time.time())

    def heard_clock(self, service_s):
        self.axis.add_reading(service_s, now() / 10_000)

    def check(self, peaks):
        """Titles that this manager does not know yet are no fault: they may come with the catalogue's next version."""
        return faults(peaks, {t for p in peaks for t in p.titles}, len(self.site.ladder.kb), tuple(self.site.packages))

    def changed(self, peaks):
        known = {p.name for p in peaks}
        self.keeper.replace([*(p for p in self.stated if p.name not in known), *peaks])
        self.front.audit.renew()

    # What the keeper asks

    def package_of(self, title):
        """The package of a title's viewers; an announced package is its own."""
        entry = self.front.view.find(title, now())
        return entry.view if entry else title if title in self.site.packages else None

    def room_of(self, title, rung, viewings, boxes):
        package = self.package_of(title)
        return self.room_kb(package, rung, viewings, boxes) if package else 0.0

    # What the front tells

    def asked(self, title, package):
        if self.keeper.peaks:
            self.keeper.record_request(title, package, self.site.managers)

    def each(self):
        """Each second: the room kept now, to the module; what was seen, to the service."""
        self.timer = asyncio.get_running_loop().call_later(EVERY_S, self.each)
        if not self.keeper.peaks and not self.told:
            return
        runner, s = self.front.runner, self.now()
        servers = {id: (srv.row, srv.link.capacity_kb) for id, srv in runner.manager.servers.items()}
        rooms, titles, packages = self.keeper.reserve(s, servers)
        self.kept_kb = sum(rooms.values())
        told = rooms, titles, packages
        if told != self.told or rooms:
            runner.peaks_reserved(
                rooms,
                {title_id(t): rung for t, rung in titles.items()},
                {self.front.sense.packages[p]: rung for p, rung in packages.items()},
            )
        if bool(rooms) != bool(self.told and self.told[0]):
            self.front.lines.info(
                "room kept",
                kb=round(self.kept_kb),
                boxes=len(rooms),
                peaks=sorted(self.keeper.reserved_kb),
                given_up=round(self.keeper.unplaced_kb),
            )
        self.told = told if rooms or titles or packages else None
        self.turns += 1
        if self.watch and self.turns % TELL_EVERY == 0 and (self.telling is None or self.telling.done()):
            seen = [
                (
                    p.name,
                    self.keeper.arrivals[p.name],
                    max(0.0, self.keeper.expected_arrivals(p, s)),
                    self.keeper.reserved_kb.get(p.name, 0.0),
                )
                for p in self.keeper.peaks
                if p.start_s - p.lead_s <= s < p.end_s + 10
            ]
            self.telling = asyncio.ensure_future(self.watch.report_seen(seen))

    def state(self):
        s = self.now()
        version, up = (self.watch.follower.version, self.watch.up) if self.watch else (None, False)
        return {
            "version": version,
            "up": up,
            "kept_kb": round(self.kept_kb),
            "given_up_kb": round(self.keeper.unplaced_kb),
            "peaks": {
                p.name: {
                    "starts_in_s": round(p.start_s - s, 1),
                    "ends_in_s": round(p.end_s - s, 1),
                    "came": self.keeper.arrivals[p.name],
                    "due": round(max(0.0, self.keeper.expected_arrivals(p, s)), 1),
                    "kept_kb": round(self.keeper.reserved_kb.get(p.name, 0.0)),
                }
                for p in self.keeper.peaks
            },
        }

    async def stop(self):
        if self.timer is not None:
            self.timer.cancel()
        if self.watch:
            from ..catalogued.streams import cancel_and_wait

            await cancel_and_wait(self.telling)
            await self.watch.stop()
