"""What is announced of a peak: which titles, when, how many. Times are seconds on whatever axis the owner uses."""
import msgspec


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    titles: tuple[str, ...]
    start_s: float              # when the first of the crowd come
    end_s: float                # when no more come
    rate: float                 # new viewings a second at its height, at all managers together
    ramp_s: float = 0.0         # from the first to the height
    length_s: float = 40.0      # how long they watch, in the mean
    rung: int = 1               # the rung that room is kept for
    sure: float = 1.0           # how sure: so much of the room is kept

    def rate_at(self, s):
        """New viewings a second announced for a time."""
        if not self.start_s <= s < self.end_s:
            return 0.0
        return self.rate * min(1.0, (s - self.start_s) / self.ramp_s) if self.ramp_s else self.rate

    def come_by(self, s):
        """How many should have come by a time."""
        span = max(0.0, min(s, self.end_s) - self.start_s)
        ramp = min(self.ramp_s, span)
        return self.rate * (ramp * ramp / (2 * self.ramp_s) if self.ramp_s else 0.0) + self.rate * (span - ramp)

    def watch_at(self, s):
        """How many should be watching at a time, each for the mean length."""
        return self.come_by(s) - self.come_by(s - self.length_s)


def faults(peaks, titles, rungs):
    """(name, detail) of all that can't be."""
    out, seen = [], set()
    for p in peaks:
        def want(good, detail, name=p.name):
            if not good:
                out.append((name, detail))
        want(p.name and p.name not in seen, "a name of its own is needed")
        seen.add(p.name)
        want(p.titles, "at least one title is needed")
        for title in p.titles:
            want(title in titles, f"the title {title[:60]!r} is not known")
        want(p.end_s > p.start_s, f"it ends at {p.end_s:g}, before or as it starts at {p.start_s:g}")
        want(p.rate > 0, f"a rate of {p.rate:g}; over 0 is needed")
        want(0 <= p.ramp_s <= p.end_s - p.start_s, f"a ramp of {p.ramp_s:g} s in a peak of {p.end_s - p.start_s:g} s")
        want(p.length_s > 0, f"viewings of {p.length_s:g} s")
        want(0 <= p.rung < rungs, f"rung {p.rung}; the ladder has 0 to {rungs - 1}")
        want(0 < p.sure <= 1, f"sure {p.sure:g}; over 0, at most 1")
    return out
