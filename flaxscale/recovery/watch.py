"""Whether a box still plays what we set up there, told from its note stream alone. Boxes are not probed.

A stream is held to each box that we sent anything. Its first message names the box's start and our sessions
there; what was playing before we asked for that stream and is not named is lost. A refused connection means that
no process listens at the address: all that played there is lost. A stream that merely breaks, or a connection
that hangs, proves nothing: the viewings are kept and the stream is tried again, since a box that stands still
or a path that fails may come back, and a viewing given up too early costs its viewer a new set-up.
"""

from enum import Enum

from ..chance import drawn

RETRY = 1_000  # a tenth of a second
DOUBLINGS = 5  # up to 3.2 s


class StreamState(Enum):
    OFF = "off"
    OPENING = "opening"
    UP = "up"
    WAITS = "waits"


class BoxWatch:
    """One box. Calls return the keys of viewings that are lost, where they can be."""

    def __init__(self, box, seed):
        self.box, self.seed, self.draws = box, seed, 0
        self.state, self.boot, self.fails, self.retry_at = StreamState.OFF, None, 0, 0
        self.before = frozenset()  # what played when the stream was asked for
        self.gone = False  # by the list

    def should_open(self, now):
        """Whether to open the stream now."""
        return self.state is StreamState.OFF or (self.state is StreamState.WAITS and now >= self.retry_at)

    def opening(self, playing):
        self.state, self.before = StreamState.OPENING, frozenset(playing)

    def hello(self, boot, keys, playing):
        """The stream's first message: the box's start and our sessions there. playing: key to the start it began in.

        What began while the stream was being asked for may be younger than the message; its own start tells.
        """
        self.state, self.boot, self.fails, self.gone = StreamState.UP, boot, 0, False
        return [
            key for key, began_in in playing.items() if key not in keys and (key in self.before or began_in != boot)
        ]

    def closed(self, refused, playing, now):
        """The stream ended, or could not be opened."""
        self.fails += 1
        self.draws += 1
        pause = RETRY << min(self.fails - 1, DOUBLINGS)
        chance = drawn(b"%d:%d:%d" % (self.seed, self.box, self.draws))
        self.state, self.retry_at = StreamState.WAITS, now + pause // 2 + int(chance * (pause // 2))
        return list(playing) if refused or self.gone else []

    def listed_gone(self, playing):
        """The list says that it is gone; where its stream still runs, the stream is believed, not the list."""
        self.gone = True
        return list(playing) if self.state in (StreamState.WAITS, StreamState.OFF) else []

    def listed(self):
        self.gone = False
