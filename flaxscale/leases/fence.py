"""The side of what is acted on: it takes no act of an older token than it has seen. No I/O.

What can't carry a fence is not given out as a lease: an act that leaves this program (a page for an operator), and one
whose effect is no one thing that could keep a token (a word to all players).
"""

import msgspec

from ..store.shapes import decoded

SHAPE = 1
PIECES = 10_000


class Kept(msgspec.Struct, array_like=True):
    shape: int
    last: dict[str, tuple[int, str]]


class Fence:
    """One resource's. dump() is to be durable before an act takes effect that changed it, where the resource outlives
    its process."""

    def __init__(self, kept=None):
        """kept: what dump() gave, or None. ValueError where it is neither."""
        self.last = {} if kept is None else decoded(kept, Kept, SHAPE, "fence").last  # piece: (token, owner)

    def dump(self):
        return msgspec.msgpack.encode(Kept(SHAPE, self.last))

    def accepts(self, piece, token, owner):
        """Whether an act under this token may take effect here; from then on no older one does."""
        held, by = self.last.get(piece, (0, ""))
        if token < held or token == held and owner != by or token <= 0:
            return False
        if len(self.last) >= PIECES and piece not in self.last:
            return False
        self.last[piece] = token, owner
        return True

    def token(self, piece):
        return self.last.get(piece, (0, ""))[0]
