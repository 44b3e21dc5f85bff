"""Announcements as a versioned whole: each change is checked against all of it, and made or refused. No I/O.

The whole is small (at most LIMIT announcements), so that each version is told and kept whole: a follower that missed
any number of versions is right again with the next one.
"""

from typing import NamedTuple

import msgspec

from ..catalogue.state import Behind
from ..store.shapes import decoded
from .announce import Announcement, faults

LIMIT = 200
DONE = 1_000  # changes that are known by their clients' ids
KEEP_ENDED_S = 86_400.0  # an announcement is shown for a day after its end, then it goes
SHAPE = 1
CHANGES = frozenset(Announcement.__struct_fields__) - {"name"}


class Refused(Exception):
    """The change does not fit; every reason."""

    def __init__(self, reasons):
        super().__init__("; ".join(reasons[:5]) + (f" (and {len(reasons) - 5} more)" if len(reasons) > 5 else ""))
        self.reasons = reasons


class Frame(NamedTuple):
    """What announcements must fit."""

    titles: object  # anything that `in` works on: the titles known now
    rungs: int
    packages: tuple


class Change(NamedTuple):
    """What one version did."""

    version: int
    at_s: float
    who: str
    why: str
    what: str  # announced, changed or cancelled
    name: str


class PeakBook:
    def __init__(self, version=0, peaks=(), history=(), done=()):
        """done: {client's id of a change: the version that it made}."""
        self.version, self.peaks, self.history = version, {p.name: p for p in peaks}, list(history)
        self.done = dict(done)

    def announce(self, peak, frame, now_s, expect=None, who="", why=""):
        if peak.name in self.peaks:
            raise Refused([f"{peak.name}: announced already; change or cancel it"])
        return self.move({**self.peaks, peak.name: peak}, "announced", peak.name, frame, now_s, expect, who, why)

    def change(self, name, fields, frame, now_s, expect=None, who="", why=""):
        """fields: {field of an announcement: new value}. A schedule was made for what was, and goes with it."""
        if name not in self.peaks:
            raise Refused([f"{name}: not announced"])
        if odd := sorted(fields.keys() - CHANGES):
            raise Refused([f"{name}: {odd[0]!r} is no field of an announcement; they are {', '.join(sorted(CHANGES))}"])
        if not fields:
            raise Refused([f"{name}: nothing to change"])
        fields = {"schedule": (), **fields}
        try:
            peak = msgspec.convert({**msgspec.to_builtins(self.peaks[name]), **fields}, Announcement)
        except msgspec.ValidationError as bad:
            raise Refused([f"{name}: {bad}"]) from None
        return self.move({**self.peaks, name: peak}, "changed", name, frame, now_s, expect, who, why)

    def cancel(self, name, frame, now_s, expect=None, who="", why=""):
        if name not in self.peaks:
            raise Refused([f"{name}: not announced"])
        rest = {n: p for n, p in self.peaks.items() if n != name}
        return self.move(rest, "cancelled", name, frame, now_s, expect, who, why)

    def move(self, peaks, what, name, frame, now_s, expect, who, why):
        """The next version, or Refused or Behind with all as it was."""
        if expect is not None and expect != self.version:
            raise Behind(expect, self.version)
        # One that is over stands until it goes by itself, also where its title was dropped since.
        peaks = {n: p for n, p in peaks.items() if p.end_s > now_s - KEEP_ENDED_S}
        judged = [p for p in peaks.values() if p.end_s > now_s or p.name == name]
        reasons = [
            f"{n}: {detail}"
            for n, detail in faults(judged, frame.titles, frame.rungs, frame.packages)
            if n == name or what != "cancelled"
        ]
        if what != "cancelled" and name in peaks and peaks[name].end_s <= now_s:
            reasons.append(f"{name}: it ends {now_s - peaks[name].end_s:.0f} s ago")
        if what != "cancelled" and name not in peaks:
            reasons.append(f"{name}: it ended more than a day ago")
        if len(peaks) > LIMIT:
            reasons.append(f"{name}: {LIMIT} announcements stand; no more are taken")
        if reasons and what != "cancelled":
            raise Refused(reasons)
        self.version += 1
        self.peaks = peaks
        self.history = [*self.history, Change(self.version, now_s, who, why, what, name)][-200:]
        return self.version

    def record_change_id(self, id):
        """The version that stands now was asked for under this id: asked for again, it is not made again."""
        if id:
            self.done[id] = self.version
            if len(self.done) > DONE:
                del self.done[next(iter(self.done))]


class KeptBook(msgspec.Struct, array_like=True):
    """A version as it is kept: on the service's log, and at managers."""

    shape: int
    epoch: str
    version: int
    peaks: list[Announcement]
    history: list[tuple[int, float, str, str, str, str]]
    done: list[tuple[str, int]] = []


def encode(epoch, book):
    return msgspec.msgpack.encode(
        KeptBook(
            SHAPE,
            epoch,
            book.version,
            list(book.peaks.values()),
            [tuple(c) for c in book.history],
            list(book.done.items()),
        )
    )


def decode(data):
    """(epoch, PeakBook). ValueError where it is none of a shape that this program knows."""
    kept = decoded(data, KeptBook, SHAPE, "announcements")
    return kept.epoch, PeakBook(kept.version, kept.peaks, [Change(*c) for c in kept.history], kept.done)


class Follower:
    """A manager's side: whole versions in any order and from any service; the last good one is kept."""

    def __init__(self, check=lambda peaks: ()):
        """check(peaks) gives (name, detail) of what this manager can't go by: that version is refused."""
        self.check, self.epoch, self.version, self.peaks = check, None, None, ()

    def apply(self, epoch, version, peaks):
        """True where the announcements moved; False: known before. ValueError: refused, all as it was."""
        if epoch == self.epoch and self.version is not None and version <= self.version:
            return False
        if found := list(self.check(peaks)):
            raise ValueError(f"{found[0][0]}: {found[0][1]}")
        self.epoch, self.version, self.peaks = epoch, version, tuple(peaks)
        return True
