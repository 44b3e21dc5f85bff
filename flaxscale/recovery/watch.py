"""Whether a box still plays a manager's sessions, concluded from its note stream alone; boxes are not probed for it.

A note stream is kept open to each box that was sent any request. Its first message names the box process and this
manager's sessions there; a session that played before the stream was requested and is not named is lost. A refused
connection means that no process listens at the address: all sessions there are lost. A stream that merely breaks, or a
connection that hangs, proves nothing: the viewings are kept and the stream is retried, since a stalled box or a failed
network path may recover, and giving a viewing up too early costs its viewer a new set-up.

Times are tenths of a millisecond.
"""

from enum import Enum

from ..chance import uniform_from_bytes

RETRY_PAUSE = 1_000  # tenths of a millisecond; doubled with each failure after the first
MAX_DOUBLINGS = 5  # of RETRY_PAUSE: up to 3.2 s


class StreamState(Enum):
    """State of the note stream to one box."""

    OFF = "off"
    OPENING = "opening"
    UP = "up"
    WAITS = "waits"


class BoxWatch:
    """The note stream of one box. Methods return the keys of the sessions that are lost, where there can be any."""

    def __init__(self, box, seed):
        self.box, self.seed, self.draws = box, seed, 0
        self.state, self.boot, self.failures, self.retry_at = StreamState.OFF, None, 0, 0
        self.playing_at_open = frozenset()  # sessions that played when the stream was requested
        self.gone = False  # according to the box list

    def should_open(self, now):
        """Whether to open the stream now."""
        return self.state is StreamState.OFF or (self.state is StreamState.WAITS and now >= self.retry_at)

    def opening(self, playing):
        """The stream is being requested. playing: keys of the sessions that play."""
        self.state, self.playing_at_open = StreamState.OPENING, frozenset(playing)

    def hello(self, boot, keys, playing):
        """The stream's first message: the box process and this manager's sessions there.

        playing: {key: the box process in which it began}. A session that began while the stream was being requested may
        be younger than the message; whether it is lost depends on the box process in which it began.
        """
        self.state, self.boot, self.failures, self.gone = StreamState.UP, boot, 0, False
        return [
            key
            for key, began_in in playing.items()
            if key not in keys and (key in self.playing_at_open or began_in != boot)
        ]

    def closed(self, refused, playing, now):
        """The stream ended or could not be opened."""
        self.failures += 1
        self.draws += 1
        pause = RETRY_PAUSE << min(self.failures - 1, MAX_DOUBLINGS)
        fraction = uniform_from_bytes(b"%d:%d:%d" % (self.seed, self.box, self.draws))
        self.state, self.retry_at = StreamState.WAITS, now + pause // 2 + int(fraction * (pause // 2))
        return list(playing) if refused or self.gone else []

    def listed_gone(self, playing):
        """The list says that the box is gone; while its stream is open, the stream takes precedence over the list."""
        self.gone = True
        return list(playing) if self.state in (StreamState.WAITS, StreamState.OFF) else []

    def listed(self):
        """The list names the box as present."""
        self.gone = False
