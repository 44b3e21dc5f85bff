"""The time axis of announcements at one manager: the catalogue service's wall clock, on this machine's monotonic clock.

Announcements state wall-clock times, but the wall clocks of machines differ by seconds and jump. Once readings of the
service's clock have arrived, the largest of the recent offsets to the monotonic clock is used, since delay can only
make a reading too small. Before that, this machine's wall clock at the first call is used; later jumps of it have no
effect.
"""

from collections import deque

MAX_READINGS = 8  # recent readings of the service's clock that are considered


class Axis:
    """Converts the monotonic clock to the service's wall clock."""

    def __init__(self):
        self.offsets, self.fallback = deque(maxlen=MAX_READINGS), None

    def add_reading(self, service_s, monotonic_s):
        """Records a reading of the service's clock, received at this time of the monotonic clock."""
        offset = service_s - monotonic_s
        if self.offsets and abs(offset - max(self.offsets)) > 5.0:
            self.offsets.clear()  # the service's clock was set, or the service was replaced
        self.offsets.append(offset)

    def at(self, monotonic_s, wall_s):
        """The current time on the axis, in seconds."""
        if self.fallback is None:
            self.fallback = wall_s - monotonic_s
        return monotonic_s + (max(self.offsets) if self.offsets else self.fallback)
