"""Announcements of peaks: which titles or packages, when, how many viewings.

Times are seconds on the time axis of the process that holds them.
"""

import msgspec

NAME_LIMIT = 80  # characters
TITLES_LIMIT = 500
BOXES_LIMIT = 4096  # in one schedule
STEPS_LIMIT = 720  # for each box of a schedule


class BoxRoom(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The bandwidth that a planned schedule reserves at one box, as a step function of time."""

    box: int
    steps: tuple[tuple[float, float], ...]  # (seconds, kB a second), in order of time

    def at(self, s):
        """kB a second reserved at a time."""
        kb = 0.0
        for since, room in self.steps:
            if since > s:
                break
            kb = room
        return kb


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One announced peak."""

    name: str
    titles: tuple[str, ...] = ()
    start_s: float = 0.0  # when the first viewings are expected
    end_s: float = 0.0  # when no further viewings are expected
    rate: float = 0.0  # new viewings a second at the maximum, at all managers together
    ramp_s: float = 0.0  # from the start to the maximum rate
    length_s: float = 40.0  # mean duration of a viewing
    rung: int = 1  # the rung for which bandwidth is reserved
    sure: float = 1.0  # certainty, over 0 to 1: the share of the bandwidth that is reserved
    packages: tuple[str, ...] = ()
    lead_s: float = (
        15.0  # bandwidth is reserved so long before it is needed, so that ordinary viewings on it end by then
    )
    schedule: tuple[
        BoxRoom, ...
    ] = ()  # from the planner; without one each manager divides the bandwidth by link capacity

    def rate_at(self, s):
        """Announced new viewings a second at a time."""
        if not self.start_s <= s < self.end_s:
            return 0.0
        return self.rate * min(1.0, (s - self.start_s) / self.ramp_s) if self.ramp_s else self.rate

    def arrivals_by(self, s):
        """Announced number of viewings started up to a time."""
        span = max(0.0, min(s, self.end_s) - self.start_s)
        ramp = min(self.ramp_s, span)
        return self.rate * (ramp * ramp / (2 * self.ramp_s) if self.ramp_s else 0.0) + self.rate * (span - ramp)

    def viewings_at(self, s):
        """Announced number of concurrent viewings at a time, each of the mean length."""
        return self.arrivals_by(s) - self.arrivals_by(s - self.length_s)

    def shifted(self, offset_s):
        """The same announcement on a time axis that is offset_s ahead."""
        return msgspec.structs.replace(
            self,
            start_s=self.start_s + offset_s,
            end_s=self.end_s + offset_s,
            schedule=tuple(BoxRoom(b.box, tuple((s + offset_s, kb) for s, kb in b.steps)) for b in self.schedule),
        )


def faults(peaks, titles, rungs, packages=()):
    """(name, detail) of each invalid statement in these announcements."""
    found, names = [], set()
    for p in peaks:

        def require(condition, detail, name=p.name):
            if not condition:
                found.append((name, detail))

        require(p.name and p.name not in names, "a name of its own is needed")
        require(
            len(p.name) <= NAME_LIMIT and p.name.isprintable(), f"a name of at most {NAME_LIMIT} printable characters"
        )
        names.add(p.name)
        require(p.titles or p.packages, "at least one title or package is needed")
        require(
            len(p.titles) <= TITLES_LIMIT, f"{len(p.titles)} titles; {TITLES_LIMIT} at most: announce their package"
        )
        for title in p.titles:
            require(title in titles, f"the title {title[:60]!r} is not known")
        for package in p.packages:
            require(package in packages, f"the package {package[:60]!r} is none of {', '.join(packages) or 'the site'}")
        require(p.end_s > p.start_s, f"it ends at {p.end_s:g}, before or as it starts at {p.start_s:g}")
        require(p.rate > 0, f"a rate of {p.rate:g}; over 0 is needed")
        require(
            0 <= p.ramp_s <= p.end_s - p.start_s, f"a ramp of {p.ramp_s:g} s in a peak of {p.end_s - p.start_s:g} s"
        )
        require(p.length_s > 0, f"viewings of {p.length_s:g} s")
        require(p.lead_s >= 0, f"a lead of {p.lead_s:g} s; 0 or more is needed")
        require(0 <= p.rung < rungs, f"rung {p.rung}; the ladder has 0 to {rungs - 1}")
        require(0 < p.sure <= 1, f"sure {p.sure:g}; over 0, at most 1")
        require(
            len(p.schedule) <= BOXES_LIMIT and all(len(b.steps) <= STEPS_LIMIT for b in p.schedule),
            f"a schedule of more than {BOXES_LIMIT} boxes or {STEPS_LIMIT} steps a box",
        )
        for b in p.schedule:
            times = [s for s, _ in b.steps]
            require(
                times == sorted(times) and all(kb >= 0 for _, kb in b.steps),
                f"the schedule of box {b.box}: times must rise, rooms be 0 or more",
            )
    return found
