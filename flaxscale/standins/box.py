"""What a media box does, without sockets: sessions, link and uplink, warm-up and falling over, troubles.

Where more is asked than the link or the rack's uplink gives, every viewing there gets the same cut. A box that
has just started takes set-ups at a pace that rises while it warms; pushed over `tip_multiple` times that pace for
`fall_ms`, it falls over and stays down. Times are tenths of a millisecond.
"""

from collections import deque
from typing import NamedTuple

from ..chance import uniform_from_bytes
from ..members.adopt import Fence

ENDED_KEY_TTL = 600_000  # a name that was ended before it came is refused this long


class Place(NamedTuple):
    """What kind of box it is, and where it stands."""

    id: int
    cell: int
    rack: int
    zone: str
    kind: str
    weight: float  # by the list; the link may differ
    link_kb: float
    slots: int


class SiteSettings(NamedTuple):
    """What boxes know of the site: rates, rules and packages by name."""

    kb: tuple
    packages: dict  # name: (scale, live, floor)
    titles: dict  # name: (first_cell, cells, view package, push package)
    cells: int
    join: float
    guard: float
    uplink_kb: float
    warm_within: int
    start_capacity: float
    tip_multiple: float
    fall: int
    reports: str = "answers"  # "probe": load is told to probes only


def site_settings(site):
    """What boxes know of a checked site file."""
    rules = site.rules
    return SiteSettings(
        tuple(site.ladder.kb),
        {n: (p.scale, p.live, p.floor) for n, p in site.packages.items()},
        {n: (t.first_cell, t.cells, t.view, t.push) for n, t in site.titles.items()},
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
        self.cookie, self.media_requested = "", False  # put down by its manager; whether its media were ever asked for
        self.digest = self.offer_digest = ""  # of its client's key and offer
        self.reply = None  # (etag, body) of its answer, once it is worked out
        self.life = ""  # of its manager, which is another one after a restart
        self.last_media_at = started_at  # when its media last flowed to somebody


class SetupResult(NamedTuple):
    """What becomes of a set-up: a status, why, whether it ran, and after how long the answer goes."""

    status: int
    why: str
    ran: bool
    after: int


class Trouble:
    """Which troubles are on. All off at the start; set by name."""

    def __init__(self):
        self.hang = self.drain = self.answer_lost = self.reset_after = self.reset_before = self.half = 0.0
        self.fast_errors = 0.0  # the share of set-ups that fail, as for the four before it
        self.slow = 1.0  # set-ups take so many times as long
        self.link = 1.0  # the link gives this part
        self.neighbour = 0.0  # another program takes this part of the link
        self.report_late = 0  # notes come so much later
        self.lie = 1.0  # the figures told are so many times the true ones
        self.unfenced = 0.0  # it forgets what was claimed and grants it again: planted, for the checker to find

        self.unfloored = 0.0  # it forgets the floor of versions: planted, as the one before it

    def set(self, name, value):
        if not hasattr(self, name):
            raise ValueError(f"{name!r} is no trouble of a box; known: {', '.join(sorted(vars(self)))}")
        setattr(self, name, type(getattr(self, name))(value))


class Box:
    def __init__(self, place, site, boot, started_at, seed, setup_time=150):
        """work: what a set-up takes here, in tenths of a millisecond, at no trouble."""
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
        self.catalogue_rows = None  # with a catalogue: {title: (view, push, state, low, top)} of its own
        self.other_rack_kb = 0.0  # kB a second that the rest of the rack asks, as last told
        self.uplink_kb = site.uplink_kb

    def chance(self):
        self.draw_count += 1
        return uniform_from_bytes(b"%d:%d:%d" % (self.seed, self.place.id, self.draw_count))

    # Warmth and the pace

    def warmup_share(self, now):
        """The share of its pace and of its link that it has warmup_share to."""
        start, age = self.site.start_capacity, now - self.started_at
        if age >= self.site.warm_within:
            return 1.0
        return start + (1 - start) * age / self.site.warm_within

    def arrival_overloads(self, now):
        """Counts a set-up that arrives; True where it pushes the box over.

        Over the pace means more arrivals within fall_ms than the multiple allows there, counted whole: one more
        than the allowed number rounded up, so that the first few after a start can't fell it by rounding.
        """
        self.arrivals.append(now)
        while self.arrivals and self.arrivals[0] <= now - self.site.fall:
            self.arrivals.popleft()
        if now - self.started_at >= self.site.warm_within:
            return False
        pace = self.place.slots / self.site.warm_within * self.warmup_share(now)
        allowed = self.site.tip_multiple * pace * self.site.fall
        return len(self.arrivals) > int(allowed) + 1

    # Rates

    def demand_kb(self):
        """kB a second that its sessions ask: viewers of one live title and rung share a stream in part."""
        streams, total = {}, 0.0
        for s in self.sessions.values():
            scale, live, _ = self.site.packages[s.package]
            kb = self.site.kb[s.rung] * scale
            if live:
                n = streams[s.title, s.package, s.rung] = streams.get((s.title, s.package, s.rung), 0) + 1
                kb *= self.site.join if n > 1 else 1
            total += kb
        return total

    def link_capacity_kb(self, now):
        t = self.trouble
        return max(1.0, self.place.link_kb * self.warmup_share(now) * t.link * (1 - t.neighbour))

    def utilizations(self, now):
        """(what is asked of the link over what it gives, the same of the uplink)."""
        own = self.demand_kb()
        return own / self.link_capacity_kb(now), (own + self.other_rack_kb) / max(1.0, self.uplink_kb)

    def delivered_share(self, now):
        """The share of their rates that its viewings get: the same for all of them."""
        if self.trouble.hang or self.crashed:
            return 0.0
        return min(1.0, *(1 / use if use > 1 else 1.0 for use in self.utilizations(now)))

    def load_figures(self, now):
        link, uplink = self.utilizations(now)
        return {"x0": link * self.trouble.lie, "x1": uplink * self.trouble.lie, "inflight": len(self.sessions)}

    # Set-ups

    def package_of(self, title, sends):
        """The package that a set-up of this title would be in here; None where it does not hold it now."""
        if self.catalogue_rows is not None:
            row = self.catalogue_rows.get(title)
            return row[1 if sends else 0] if row is not None and row[2] == "holding" else None
        row = self.site.titles.get(title)
        if row is None or (self.place.cell - row[0]) % self.site.cells >= row[1]:
            return None
        return row[3] if sends else row[2]

    def rung_range(self, title):
        if self.catalogue_rows is not None and title in self.catalogue_rows:
            return self.catalogue_rows[title][3:5]
        return 0, len(self.site.kb) - 1

    def apply_catalogue(self, titles, drop_others=False):
        """What its catalogue says now; {title: row or None}. Returns the sessions whose rung is withdrawn."""
        if self.catalogue_rows is None or drop_others:
            self.catalogue_rows = {}
        self.catalogue_rows.update(titles)
        self.catalogue_rows = {title: row for title, row in self.catalogue_rows.items() if row is not None}
        out = []
        for session in self.sessions.values():
            low, top = self.rung_range(session.title)
            if not low <= session.rung <= top:
                session.rung = min(max(session.rung, low), top)
                out.append(session)
        return out

    def set_up(self, key, title, sends, manager, rung, now):
        """(SetupResult, Session or None). None of the answers below 400 is given without a session behind it."""
        t = self.trouble
        self.ended_keys = (
            {k: at for k, at in self.ended_keys.items() if at > now - ENDED_KEY_TTL}
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
        rung = min(max(rung, low), top)  # its manager may not know yet that a rendition was withdrawn
        if t.fast_errors and self.chance() < t.fast_errors:
            return SetupResult(500, "failed", True, 5), None
        if t.drain:
            return SetupResult(503, "draining", False, 0), None
        if len(self.sessions) >= self.place.slots:
            return SetupResult(503, "all places are taken", False, 0), None
        if self.site.guard and self.utilizations(now)[0] >= self.site.guard:
            return SetupResult(503, "the link is full", False, 0), None
        session = self.sessions[key] = Session(key, title, package, manager, rung, now, sends)
        self.fence.begin(key, manager)
        took = self.setup_time * (0.8 + 0.4 * self.chance()) * t.slow / self.warmup_share(now)
        return SetupResult(201, "", True, round(took)), session

    def end(self, key, now):
        """Ends a session or a set-up by its name; one that has not come yet will be refused when it does."""
        self.ended_keys[key] = now
        self.fence.over(key)
        return self.sessions.pop(key, None)

    def adopt(self, key, epoch, manager, life=""):
        """A manager's claim to a session; (granted, the manager that it was taken from)."""
        session = self.sessions.get(key)
        if session is None or not (self.trouble.unfenced or self.fence.claim(key, epoch, manager)):
            return False, None
        before, session.manager, session.life = session.manager, manager, life
        return True, before

    def set_rung(self, key, rung):
        session = self.sessions.get(key)
        if session is None or not 0 <= rung < len(self.site.kb):
            return None
        low, top = self.rung_range(session.title)
        session.rung = min(max(rung, low), top)
        return session.rung
