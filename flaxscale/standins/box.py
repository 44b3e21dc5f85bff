"""The behaviour of a media box without sockets: sessions, link and uplink load, warm-up, overload crashes, faults.

Where the demand exceeds the capacity of the link or of the rack's uplink, the rates of all viewings on the box are
reduced by the same share. A box that has just started accepts set-ups at a rate that rises while it warms up; a box
that receives more than `tip_multiple` times that rate over `fall_ms` crashes and stays down.
Times are in tenths of a millisecond.
"""

from collections import deque
from typing import NamedTuple

from ..chance import uniform_from_bytes
from ..members.takeover import Fence

ENDED_KEY_TTL = 600_000  # tenths of a millisecond for which a set-up is refused whose key was ended before it arrived


class Place(NamedTuple):
    """Identity, location and capacity of a box."""

    id: int
    cell: int
    rack: int
    zone: str
    kind: str
    weight: float  # as the box list states it; the capacity of the link may differ
    link_kb: float
    slots: int


class SiteSettings(NamedTuple):
    """The part of the site file that a box needs: rates, rules and packages by name."""

    kb: tuple  # kB/s by rung
    packages: dict  # name: (scale, live, floor)
    titles: dict  # name: (first_cell, cells, view package, push package)
    cells: int
    join: float
    guard: float
    uplink_kb: float
    warm_within: int  # tenths of a millisecond
    start_capacity: float
    tip_multiple: float
    fall: int  # tenths of a millisecond
    reports: str = "answers"  # "probe": load is reported in answers to probes only


def site_settings(site):
    """Returns the part of a validated site file that a box needs."""
    rules = site.rules
    return SiteSettings(
        tuple(site.ladder.kb),
        {name: (package.scale, package.live, package.floor) for name, package in site.packages.items()},
        {name: (title.first_cell, title.cells, title.view, title.push) for name, title in site.titles.items()},
        site.fleet.cells,
        site.ladder.join,
        site.fleet.guard,
        site.fleet.uplink_kb,
        round(rules.warm_within_ms * 10),
        rules.start_capacity,
        rules.tip_multiple,
        round(rules.fall_ms * 10),
        site.fleet.reports,
    )


class Session:
    """One session on a box."""

    __slots__ = (
        "key",
        "title",
        "package",
        "manager",
        "rung",
        "started_at",
        "ufrag",
        "etag",
        "name",
        "sends",
        "cookie",
        "media_requested",
        "life",
        "digest",
        "offer_digest",
        "reply",
        "last_media_at",
    )

    def __init__(self, key, title, package, manager, rung, started_at, sends):
        self.key, self.title, self.package, self.manager = key, title, package, manager
        self.rung, self.started_at, self.sends = rung, started_at, sends
        self.ufrag = self.etag = self.name = None
        self.cookie, self.media_requested = "", False  # stored by its manager; whether its media were ever requested
        self.digest = self.offer_digest = ""  # digests of the client's key and of its offer
        self.reply = None  # (etag, body) of the answer, once it exists
        self.life = ""  # the manager's life: a new one after each of its restarts
        self.last_media_at = started_at  # when media was last sent for it


class SetupResult(NamedTuple):
    """Outcome of a set-up: HTTP status, reason, whether it ran, and the delay of the answer."""

    status: int
    why: str
    ran: bool
    after: int  # tenths of a millisecond


class Trouble:
    """The faults that are injected, set by name. All are off at the start."""

    def __init__(self):
        self.hang = self.drain = self.answer_lost = self.reset_after = self.reset_before = self.half = 0.0
        self.fast_errors = 0.0  # share of set-ups that fail; the fields answer_lost to half are shares too
        self.slow = 1.0  # factor of the duration of set-ups
        self.link = 1.0  # share of the link's capacity that remains
        self.neighbour = 0.0  # share of the link that another program uses
        self.report_late = 0  # additional delay of notes, in tenths of a millisecond
        self.lie = 1.0  # factor by which reported load figures differ from the true ones
        self.unfenced = 0.0  # claims are granted without the fence: injected for the checker to detect
        self.unfloored = 0.0  # the version floor is ignored: injected for the checker to detect

    def set(self, name, value):
        """Sets a fault; ValueError where no fault has this name."""
        if not hasattr(self, name):
            raise ValueError(f"{name!r} is not a trouble of a box; known: {', '.join(sorted(vars(self)))}")
        setattr(self, name, type(getattr(self, name))(value))


class Box:
    """One run of a box: its sessions, load, warm-up state and injected faults."""

    def __init__(self, place, site, boot, started_at, seed, setup_time=150):
        """setup_time: duration of a set-up on a warm box without faults, in tenths of a millisecond."""
        self.place, self.site, self.boot, self.started_at, self.seed, self.setup_time = (
            place,
            site,
            boot,
            started_at,
            seed,
            setup_time,
        )
        self.sessions, self.ended_keys, self.trouble, self.draw_count = {}, {}, Trouble(), 0
        self.arrivals, self.crashed = deque(), False
        self.fence = Fence()
        self.catalogue_rows = None  # with a catalogue: {title: (view, push, state, low, top)} of this box
        self.other_rack_kb = 0.0  # kB/s that the other boxes of the rack need, as last reported
        self.uplink_kb = site.uplink_kb

    def chance(self):
        """Returns the next pseudo-random share in [0, 1) of this box."""
        self.draw_count += 1
        return uniform_from_bytes(b"%d:%d:%d" % (self.seed, self.place.id, self.draw_count))

    # Warm-up and overload

    def warmup_share(self, now):
        """Returns the share of the full set-up rate and link capacity that the box has reached."""
        start, age = self.site.start_capacity, now - self.started_at
        if age >= self.site.warm_within:
            return 1.0
        return start + (1 - start) * age / self.site.warm_within

    def arrival_overloads(self, now):
        """Counts an arriving set-up; True where it overloads a box that is warming up.

        Overload means more arrivals within fall_ms than the rate times the multiple allows. The allowed number is
        rounded up to a whole one, so that the first few arrivals after a start can't crash the box by rounding.
        """
        self.arrivals.append(now)
        while self.arrivals and self.arrivals[0] <= now - self.site.fall:
            self.arrivals.popleft()
        if now - self.started_at >= self.site.warm_within:
            return False
        rate = self.place.slots / self.site.warm_within * self.warmup_share(now)
        allowed = self.site.tip_multiple * rate * self.site.fall
        return len(self.arrivals) > int(allowed) + 1

    # Link load

    def demand_kb(self):
        """Returns the kB/s that the sessions need. Viewers of one live title at one rung share a part of the stream."""
        streams, total = {}, 0.0
        for session in self.sessions.values():
            scale, live, _ = self.site.packages[session.package]
            kb = self.site.kb[session.rung] * scale
            if live:
                count = streams[session.title, session.package, session.rung] = (
                    streams.get((session.title, session.package, session.rung), 0) + 1
                )
                kb *= self.site.join if count > 1 else 1
            total += kb
        return total

    def link_capacity_kb(self, now):
        """Returns the capacity of the link in kB/s, by warm-up and faults."""
        trouble = self.trouble
        return max(1.0, self.place.link_kb * self.warmup_share(now) * trouble.link * (1 - trouble.neighbour))

    def utilizations(self, now):
        """Returns (demand over capacity of the link, the same for the rack's uplink)."""
        demand = self.demand_kb()
        return demand / self.link_capacity_kb(now), (demand + self.other_rack_kb) / max(1.0, self.uplink_kb)

    def delivered_share(self, now):
        """Returns the share of their rates that all viewings on the box receive."""
        if self.trouble.hang or self.crashed:
            return 0.0
        return min(1.0, *(1 / use if use > 1 else 1.0 for use in self.utilizations(now)))

    def load_figures(self, now):
        """Returns the load figures that the box reports."""
        link, uplink = self.utilizations(now)
        return {"x0": link * self.trouble.lie, "x1": uplink * self.trouble.lie, "inflight": len(self.sessions)}

    # Set-ups

    def package_of(self, title, sends):
        """Returns the package of a set-up of this title; None where the box does not hold the title now."""
        if self.catalogue_rows is not None:
            row = self.catalogue_rows.get(title)
            return row[1 if sends else 0] if row is not None and row[2] == "holding" else None
        row = self.site.titles.get(title)
        if row is None or (self.place.cell - row[0]) % self.site.cells >= row[1]:
            return None
        return row[3] if sends else row[2]

    def rung_range(self, title):
        """Returns (lowest, highest rung) that the title may be sent at."""
        if self.catalogue_rows is not None and title in self.catalogue_rows:
            return self.catalogue_rows[title][3:5]
        return 0, len(self.site.kb) - 1

    def apply_catalogue(self, titles, drop_others=False):
        """Applies {title: row or None} of the catalogue. Returns the sessions whose rung had to change."""
        if self.catalogue_rows is None or drop_others:
            self.catalogue_rows = {}
        self.catalogue_rows.update(titles)
        self.catalogue_rows = {title: row for title, row in self.catalogue_rows.items() if row is not None}
        changed = []
        for session in self.sessions.values():
            low, top = self.rung_range(session.title)
            if not low <= session.rung <= top:
                session.rung = min(max(session.rung, low), top)
                changed.append(session)
        return changed

    def set_up(self, key, title, sends, manager, rung, now):
        """Returns (SetupResult, Session or None). Every status from 200 to 399 comes with a session."""
        trouble = self.trouble
        self.ended_keys = (
            {ended: at for ended, at in self.ended_keys.items() if at > now - ENDED_KEY_TTL}
            if len(self.ended_keys) > 5000
            else self.ended_keys
        )
        if self.crashed or self.arrival_overloads(now):
            self.crashed = True
            return SetupResult(0, "fallen over", False, 0), None
        if key in self.ended_keys:
            return SetupResult(410, "ended before it came", False, 0), None
        if key in self.sessions:
            return SetupResult(201, "set up before", True, 0), self.sessions[key]
        package = self.package_of(title, sends)
        if package is None:
            return SetupResult(404, "no such title here", False, 0), None
        low, top = self.rung_range(title)
        if not 0 <= rung < len(self.site.kb):
            return SetupResult(422, "no such rung", False, 0), None
        rung = min(max(rung, low), top)  # the manager may not know yet that a rendition was withdrawn
        if trouble.fast_errors and self.chance() < trouble.fast_errors:
            return SetupResult(500, "failed", True, 5), None
        if trouble.drain:
            return SetupResult(503, "draining", False, 0), None
        if len(self.sessions) >= self.place.slots:
            return SetupResult(503, "all places are taken", False, 0), None
        if self.site.guard and self.utilizations(now)[0] >= self.site.guard:
            return SetupResult(503, "the link is full", False, 0), None
        session = self.sessions[key] = Session(key, title, package, manager, rung, now, sends)
        self.fence.begin(key, manager)
        duration = self.setup_time * (0.8 + 0.4 * self.chance()) * trouble.slow / self.warmup_share(now)
        return SetupResult(201, "", True, round(duration)), session

    def end(self, key, now):
        """Ends a session or a set-up by its key; a set-up that has not arrived yet is refused when it arrives."""
        self.ended_keys[key] = now
        self.fence.remove(key)
        return self.sessions.pop(key, None)

    def adopt(self, key, epoch, manager, life=""):
        """Decides on a manager's claim to a session; returns (granted, previous manager)."""
        session = self.sessions.get(key)
        if session is None or not (self.trouble.unfenced or self.fence.claim(key, epoch, manager)):
            return False, None
        previous, session.manager, session.life = session.manager, manager, life
        return True, previous

    def set_rung(self, key, rung):
        """Sets a session's rung within the title's range; returns the rung set, None where nothing was set."""
        session = self.sessions.get(key)
        if session is None or not 0 <= rung < len(self.site.kb):
            return None
        low, top = self.rung_range(session.title)
        session.rung = min(max(rung, low), top)
        return session.rung
