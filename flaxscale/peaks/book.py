"""The versioned set of announcements: each change is checked against the whole set, then made or refused. No I/O.

The set is small (at most MAX_ANNOUNCEMENTS), so each version is sent and stored completely: a follower that missed any
number of versions is up to date with the next one.
"""

from typing import NamedTuple

import msgspec

from ..catalogue.state import VersionConflict
from ..store.shapes import decoded
from .announce import Announcement, faults

MAX_ANNOUNCEMENTS = 200
MAX_CHANGE_IDS = 1_000  # change ids of clients that are remembered, to detect repeated requests
KEEP_ENDED_S = 86_400.0  # an announcement is listed for a day after its end, then removed
FORMAT_VERSION = 1
CHANGEABLE_FIELDS = frozenset(Announcement.__struct_fields__) - {"name"}


class Refused(Exception):
    """The change is invalid, with all reasons."""

    def __init__(self, reasons):
        super().__init__("; ".join(reasons[:5]) + (f" (and {len(reasons) - 5} more)" if len(reasons) > 5 else ""))
        self.reasons = reasons


class Frame(NamedTuple):
    """What announcements are checked against."""

    titles: object  # container of the titles known now
    rungs: int
    packages: tuple


class Change(NamedTuple):
    """The change that made a version."""

    version: int
    at_s: float
    who: str
    why: str
    what: str  # announced, changed or cancelled
    name: str


class PeakBook:
    """The announcements of one version, with recent changes."""

    def __init__(self, version=0, peaks=(), history=(), done=()):
        """done: {change id of a client: the version that the change made}."""
        self.version, self.peaks, self.history = version, {p.name: p for p in peaks}, list(history)
        self.done = dict(done)

    def announce(self, peak, frame, now_s, expect=None, who="", why=""):
        """Adds an announcement; returns the new version."""
        if peak.name in self.peaks:
            raise Refused([f"{peak.name}: announced already; change or cancel it"])
        return self.commit({**self.peaks, peak.name: peak}, "announced", peak.name, frame, now_s, expect, who, why)

    def change(self, name, fields, frame, now_s, expect=None, who="", why=""):
        """Changes fields of an announcement. Its schedule, planned for the old values, is dropped unless given anew."""
        if name not in self.peaks:
            raise Refused([f"{name}: not announced"])
        if unknown := sorted(fields.keys() - CHANGEABLE_FIELDS):
            raise Refused(
                [
                    f"{name}: {unknown[0]!r} is no field of an announcement; "
                    f"they are {', '.join(sorted(CHANGEABLE_FIELDS))}"
                ]
            )
        if not fields:
            raise Refused([f"{name}: nothing to change"])
        fields = {"schedule": (), **fields}
        try:
            peak = msgspec.convert({**msgspec.to_builtins(self.peaks[name]), **fields}, Announcement)
        except msgspec.ValidationError as error:
            raise Refused([f"{name}: {error}"]) from None
        return self.commit({**self.peaks, name: peak}, "changed", name, frame, now_s, expect, who, why)

    def cancel(self, name, frame, now_s, expect=None, who="", why=""):
        """Removes an announcement; returns the new version."""
        if name not in self.peaks:
            raise Refused([f"{name}: not announced"])
        rest = {n: p for n, p in self.peaks.items() if n != name}
        return self.commit(rest, "cancelled", name, frame, now_s, expect, who, why)

    def commit(self, peaks, what, name, frame, now_s, expect, who, why):
        """Makes the next version; on Refused or VersionConflict nothing changes."""
        if expect is not None and expect != self.version:
            raise VersionConflict(expect, self.version)
        # An announcement that is over stays until KEEP_ENDED_S has passed, even if its title was dropped meanwhile.
        peaks = {n: p for n, p in peaks.items() if p.end_s > now_s - KEEP_ENDED_S}
        checked = [p for p in peaks.values() if p.end_s > now_s or p.name == name]
        reasons = [
            f"{n}: {detail}"
            for n, detail in faults(checked, frame.titles, frame.rungs, frame.packages)
            if n == name or what != "cancelled"
        ]
        if what != "cancelled" and name in peaks and peaks[name].end_s <= now_s:
            reasons.append(f"{name}: it ended {now_s - peaks[name].end_s:.0f} s ago")
        if what != "cancelled" and name not in peaks:
            reasons.append(f"{name}: it ended more than a day ago")
        if len(peaks) > MAX_ANNOUNCEMENTS:
            reasons.append(f"{name}: {MAX_ANNOUNCEMENTS} announcements exist; no more are accepted")
        if reasons and what != "cancelled":
            raise Refused(reasons)
        self.version += 1
        self.peaks = peaks
        self.history = [*self.history, Change(self.version, now_s, who, why, what, name)][-200:]
        return self.version

    def record_change_id(self, id):
        """Records that the change with this id made the current version, so that a retry is not applied again."""
        if id:
            self.done[id] = self.version
            if len(self.done) > MAX_CHANGE_IDS:
                del self.done[next(iter(self.done))]


class KeptBook(msgspec.Struct, array_like=True):
    """A version as stored in the service's log and at managers."""

    shape: int
    epoch: str
    version: int
    peaks: list[Announcement]
    history: list[tuple[int, float, str, str, str, str]]
    done: list[tuple[str, int]] = []


def encode(epoch, book):
    """The stored form of a version."""
    return msgspec.msgpack.encode(
        KeptBook(
            FORMAT_VERSION,
            epoch,
            book.version,
            list(book.peaks.values()),
            [tuple(c) for c in book.history],
            list(book.done.items()),
        )
    )


def decode(data):
    """(epoch, PeakBook) of stored bytes. Raises ValueError for an unknown format."""
    kept = decoded(data, KeptBook, FORMAT_VERSION, "announcements")
    return kept.epoch, PeakBook(kept.version, kept.peaks, [Change(*c) for c in kept.history], kept.done)


class Follower:
    """Manager side: receives complete versions in any order and from any service; keeps the last valid one."""

    def __init__(self, check=lambda peaks: ()):
        """check(peaks) returns (name, detail) of announcements that this manager can't use; that version is refused."""
        self.check, self.epoch, self.version, self.peaks = check, None, None, ()

    def apply(self, epoch, version, peaks):
        """True if the announcements changed, False if the version is known. Raises ValueError if it is refused."""
        if epoch == self.epoch and self.version is not None and version <= self.version:
            return False
        if found := list(self.check(peaks)):
            raise ValueError(f"{found[0][0]}: {found[0][1]}")
        self.epoch, self.version, self.peaks = epoch, version, tuple(peaks)
        return True
