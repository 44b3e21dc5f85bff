"""Announced peaks at one manager: the reservations kept for them and their clock, updated each second."""

import asyncio
import time

from ..catalogue.title_lookup import title_id
from ..peaks.announce import faults
from ..peaks.axis import Axis
from ..peaks.keeper import PeakEnvironment, PeakReserver, bandwidth_function
from ..serve.clock import now

UPDATE_INTERVAL_S = 1.0
UPDATES_PER_REPORT = 2  # updates between two reports of seen arrivals to the service


class FrontPeaks:
    """Reservations for announced peaks at one manager."""

    def __init__(self, front, address=None, files=None):
        site = front.site
        self.front, self.site, self.axis = front, site, Axis()
        self.reserved_kb, self.timer, self.updates, self.report_task, self.last_sent = (
            bandwidth_function(site),
            None,
            0,
            None,
            None,
        )
        self.site_peaks = [row.announcement() for row in site.peaks]
        self.keeper = PeakReserver(
            self.site_peaks,
            PeakEnvironment(self.reservation_for, front.holders, site.fleet.racks, site.fleet.uplink_kb),
            self.now(),
        )
        self.peak_watch, self.kept_kb = None, 0.0
        if address:
            from ..catalogued.peak_watch import PeakWatch  # loading gRPC is slow, and most tests do not need it

            self.peak_watch = PeakWatch(
                address, front.name, self.peaks_changed, self.sync_clock, front.logger, files, self.check
            )

    def apply_settings(self, site):
        """Applies changed settings; announcements and counted arrivals are kept."""
        self.site, self.reserved_kb = site, bandwidth_function(site)
        self.keeper.environment = PeakEnvironment(
            self.reservation_for, self.front.holders, site.fleet.racks, site.fleet.uplink_kb
        )

    def start(self):
        if self.peak_watch:
            self.peak_watch.start()
        self.update()

    def now(self):
        return self.axis.at(now() / 10_000, time.time())

    def sync_clock(self, service_s):
        self.axis.add_reading(service_s, now() / 10_000)

    def check(self, peaks):
        """Returns the faults of announced peaks; unknown titles are none: the next catalogue version may have them."""
        return faults(
            peaks,
            {title for peak in peaks for title in peak.titles},
            len(self.site.ladder.kb),
            tuple(self.site.packages),
        )

    def peaks_changed(self, peaks):
        known = {peak.name for peak in peaks}
        self.keeper.replace([*(peak for peak in self.site_peaks if peak.name not in known), *peaks])
        self.front.audit.update_stamp()

    # Queries of the keeper

    def package_of(self, title):
        """Returns the package of a title's viewers; an announced package stands for itself."""
        entry = self.front.catalogue_view.find(title, now())
        return entry.view if entry else title if title in self.site.packages else None

    def reservation_for(self, title, rung, viewings, boxes):
        package = self.package_of(title)
        return self.reserved_kb(package, rung, viewings, boxes) if package else 0.0

    # Input from the front

    def count_request(self, title, package):
        if self.keeper.peaks:
            self.keeper.record_request(title, package, self.site.managers)

    def update(self):
        """Sends the current reservations to the decision module and, at intervals, the arrivals seen to the service."""
        self.timer = asyncio.get_running_loop().call_later(UPDATE_INTERVAL_S, self.update)
        if not self.keeper.peaks and not self.last_sent:
            return
        runner, time_s = self.front.runner, self.now()
        servers = {id: (server.row, server.link.capacity_kb) for id, server in runner.manager.servers.items()}
        reservations, titles, packages = self.keeper.reserve(time_s, servers)
        self.kept_kb = sum(reservations.values())
        sent = reservations, titles, packages
        if sent != self.last_sent or reservations:
            runner.peaks_reserved(
                reservations,
                {title_id(title): rung for title, rung in titles.items()},
                {self.front.site_terms.packages[package]: rung for package, rung in packages.items()},
            )
        if bool(reservations) != bool(self.last_sent and self.last_sent[0]):
            self.front.logger.info(
                "room kept",
                kb=round(self.kept_kb),
                boxes=len(reservations),
                peaks=sorted(self.keeper.reserved_kb),
                given_up=round(self.keeper.unplaced_kb),
            )
        self.last_sent = sent if reservations or titles or packages else None
        self.updates += 1
        if (
            self.peak_watch
            and self.updates % UPDATES_PER_REPORT == 0
            and (self.report_task is None or self.report_task.done())
        ):
            arrivals = [
                (
                    peak.name,
                    self.keeper.arrivals[peak.name],
                    max(0.0, self.keeper.expected_arrivals(peak, time_s)),
                    self.keeper.reserved_kb.get(peak.name, 0.0),
                )
                for peak in self.keeper.peaks
                if peak.start_s - peak.lead_s <= time_s < peak.end_s + 10
            ]
            self.report_task = asyncio.ensure_future(self.peak_watch.report_seen(arrivals))

    def state(self):
        time_s = self.now()
        version, up = (self.peak_watch.follower.version, self.peak_watch.up) if self.peak_watch else (None, False)
        return {
            "version": version,
            "up": up,
            "kept_kb": round(self.kept_kb),
            "given_up_kb": round(self.keeper.unplaced_kb),
            "peaks": {
                peak.name: {
                    "starts_in_s": round(peak.start_s - time_s, 1),
                    "ends_in_s": round(peak.end_s - time_s, 1),
                    "came": self.keeper.arrivals[peak.name],
                    "due": round(max(0.0, self.keeper.expected_arrivals(peak, time_s)), 1),
                    "kept_kb": round(self.keeper.reserved_kb.get(peak.name, 0.0)),
                }
                for peak in self.keeper.peaks
            },
        }

    async def stop(self):
        if self.timer is not None:
            self.timer.cancel()
        if self.peak_watch:
            from ..catalogued.streams import cancel_and_wait

            await cancel_and_wait(self.report_task)
            await self.peak_watch.stop()
