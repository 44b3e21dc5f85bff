"""The time axis of announcements at one manager: seconds of the service's clock, on a clock that never jumps.

Announcements say when by the wall clock, and wall clocks of machines differ by seconds and jump. Where the service
was heard, its own clock counts: of the differences seen lately the largest, since what is told only ever comes
late. Before it was heard, this machine's wall clock counts as it was at the first look; a later jump of it changes
nothing.
"""

from collections import deque

LATEST = 8  # tellings of the service's clock that count


class Axis:
    def __init__(self):
        self.told, self.first = deque(maxlen=LATEST), None

    def add_reading(self, service_s, steady_s):
        """The service's clock said this, read at this time of our steady clock."""
        difference = service_s - steady_s
        if self.told and abs(difference - max(self.told)) > 5.0:
            self.told.clear()  # the service's clock was set, or another service speaks
        self.told.append(difference)

    def at(self, steady_s, wall_s):
        """Seconds on the axis now."""
        if self.first is None:
            self.first = wall_s - steady_s
        return steady_s + (max(self.told) if self.told else self.first)
