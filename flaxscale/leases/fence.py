"""Fencing at the resource: no act under an older token than one that it has seen is accepted. No I/O.

A duty whose resource can't keep a fence is not given out as a lease: an act outside this program (paging an operator),
or one without a single resource that could store a token (a message to all players).
"""

import msgspec

from ..store.shapes import decoded

SHAPE = 1  # number of the stored form
MAX_PIECES = 10_000  # that one resource remembers


class Kept(msgspec.Struct, array_like=True):
    """The stored form of a Fence."""

    shape: int
    last: dict[str, tuple[int, str]]


class Fence:
    """The fence of one resource.

    Where the resource outlives its process, dump() must be durable before an act that changed the fence takes effect.
    """

    def __init__(self, kept=None):
        """kept: what dump() returned, or None. ValueError where it can't be decoded."""
        self.last = {} if kept is None else decoded(kept, Kept, SHAPE, "fence").last  # piece: (token, owner)

    def dump(self):
        """The bytes to store."""
        return msgspec.msgpack.encode(Kept(SHAPE, self.last))

    def accepts(self, piece, token, owner):
        """Whether an act under this token may take effect. Where it may, acts under older tokens no longer do."""
        last_token, last_owner = self.last.get(piece, (0, ""))
        if token < last_token or token == last_token and owner != last_owner or token <= 0:
            return False
        if len(self.last) >= MAX_PIECES and piece not in self.last:
            return False
        self.last[piece] = token, owner
        return True

    def token(self, piece):
        """The newest token that was accepted for a piece; 0: none."""
        return self.last.get(piece, (0, ""))[0]
