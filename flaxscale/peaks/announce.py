"""What is announced of a peak: which titles or packages, when, how many. Times are seconds on the owner's axis."""

import msgspec

NAME_LIMIT = 80  # characters
TITLES_LIMIT = 500
BOXES_LIMIT = 4096  # in one schedule
STEPS_LIMIT = 720  # for each box of a schedule


class BoxRoom(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a planned schedule keeps at one box: from each time on, so many kB a second."""

    box: int
    steps: tuple[tuple[float, float], ...]  # (seconds, kB a second), rising in time

    def at(self, s):
        kb = 0.0
        for since, room in self.steps:
            if since > s:
                break
            kb = room
        return kb


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    titles: tuple[str, ...] = ()
    start_s: float = 0.0  # when the first of the crowd come
    end_s: float = 0.0  # when no more come
    rate: float = 0.0  # new viewings a second at its height, at all managers together
    ramp_s: float = 0.0  # from the first to the height
    length_s: float = 40.0  # how long they watch, in the mean
    rung: int = 1  # the rung that room is kept for
    sure: float = 1.0  # how sure: so much of the room is kept
    packages: tuple[str, ...] = ()
    lead_s: float = 15.0  # room is kept so long before it is needed: others drain out of it by then
    schedule: tuple[BoxRoom, ...] = ()  # a planner's; without one each manager goes by links alone

    def rate_at(self, s):
        """New viewings a second announced for a time."""
        if not self.start_s <= s < self.end_s:
            return 0.0
        return self.rate * min(1.0, (s - self.start_s) / self.ramp_s) if self.ramp_s else self.rate

    def arrivals_by(self, s):
        """How many should have come by a time."""
        span = max(0.0, min(s, self.end_s) - self.start_s)
        ramp = min(self.ramp_s, span)
        return self.rate * (ramp * ramp / (2 * self.ramp_s) if self.ramp_s else 0.0) + self.rate * (span - ramp)

    def viewings_at(self, s):
        """How many should be watching at a time, each for the mean length."""
        return self.arrivals_by(s) - self.arrivals_by(s - self.length_s)

    def shifted(self, by_s):
        """The same on an axis that reads so much more."""
        return msgspec.structs.replace(
            self,
            start_s=self.start_s + by_s,
            end_s=self.end_s + by_s,
            schedule=tuple(BoxRoom(b.box, tuple((s + by_s, kb) for s, kb in b.steps)) for b in self.schedule),
        )


def faults(peaks, titles, rungs, packages=()):
    """(name, detail) of all that can't be."""
    out, seen = [], set()
    for p in peaks:

        def want(good, detail, name=p.name):
            if not good:
                out.append((name, detail))

        want(p.name and p.name not in seen, "a name of its own is needed")
        want(len(p.name) <= NAME_LIMIT and p.name.isprintable(), f"a name of at most {NAME_LIMIT} printable characters")
        seen.add(p.name)
        want(p.titles or p.packages, "at least one title or package is needed")
        want(len(p.titles) <= TITLES_LIMIT, f"{len(p.titles)} titles; {TITLES_LIMIT} at most: announce their package")
        for title in p.titles:
            want(title in titles, f"the title {title[:60]!r} is not known")
        for package in p.packages:
            want(package in packages, f"the package {package[:60]!r} is none of {', '.join(packages) or 'the site'}")
        want(p.end_s > p.start_s, f"it ends at {p.end_s:g}, before or as it starts at {p.start_s:g}")
        want(p.rate > 0, f"a rate of {p.rate:g}; over 0 is needed")
        want(0 <= p.ramp_s <= p.end_s - p.start_s, f"a ramp of {p.ramp_s:g} s in a peak of {p.end_s - p.start_s:g} s")
        want(p.length_s > 0, f"viewings of {p.length_s:g} s")
        want(p.lead_s >= 0, f"a lead of {p.lead_s:g} s; 0 or more is needed")
        want(0 <= p.rung < rungs, f"rung {p.rung}; the ladder has 0 to {rungs - 1}")
        want(0 < p.sure <= 1, f"sure {p.sure:g}; over 0, at most 1")
        want(
            len(p.schedule) <= BOXES_LIMIT and all(len(b.steps) <= STEPS_LIMIT for b in p.schedule),
            f"a schedule of more than {BOXES_LIMIT} boxes or {STEPS_LIMIT} steps a box",
        )
        for b in p.schedule:
            times = [s for s, _ in b.steps]
            want(
                times == sorted(times) and all(kb >= 0 for _, kb in b.steps),
                f"the schedule of box {b.box}: times must rise, rooms be 0 or more",
            )
    return out
