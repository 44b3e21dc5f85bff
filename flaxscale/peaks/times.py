"""Times of announcements as text: ISO 8601 with an offset (RFC 3339, section 5.6), or a duration from now."""

import datetime
import re

import msgspec

from .announce import Announcement

DURATION = re.compile(r"\+(\d+(?:\.\d+)?)(s|m|h|d)")
UNIT_SECONDS = {"s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}


def parse_time(text, now_s):
    """Unix seconds of '2026-12-05T18:00:00+03:00', or of '+90s', '+15m', '+2h', '+1d' from now; else ValueError."""
    if match := DURATION.fullmatch(text.strip()):
        return now_s + float(match[1]) * UNIT_SECONDS[match[2]]
    try:
        time = datetime.datetime.fromisoformat(text.strip())
    except ValueError:
        raise ValueError(f"{text[:40]!r} is no time: 2026-12-05T18:00:00+03:00 or +15m expected") from None
    if time.tzinfo is None:
        raise ValueError(f"{text[:40]!r} has no offset from UTC: 2026-12-05T18:00:00+03:00 or ...Z expected")
    return time.timestamp()


def format_time(s):
    """Unix seconds as a time in UTC, to the second."""
    return datetime.datetime.fromtimestamp(s, datetime.timezone.utc).strftime("%Y-%m-%dT%H:%M:%SZ")


class PeakRow(msgspec.Struct, forbid_unknown_fields=True):
    """An announcement in a site file. start, end: times for parse_time."""

    name: str
    start: str
    end: str
    rate: float
    titles: tuple[str, ...] = ()
    packages: tuple[str, ...] = ()
    ramp_s: float = 0.0
    length_s: float = 40.0
    rung: int = 1
    sure: float = 1.0
    lead_s: float = 15.0

    def announcement(self, now_s=0.0):
        """The Announcement, with times as Unix seconds."""
        return Announcement(
            self.name,
            self.titles,
            parse_time(self.start, now_s),
            parse_time(self.end, now_s),
            self.rate,
            self.ramp_s,
            self.length_s,
            self.rung,
            self.sure,
            self.packages,
            self.lead_s,
        )
