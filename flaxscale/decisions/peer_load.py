"""What other managers are taken to ask of a link that nothing was heard of: the mean of what was heard lately.

The paper's one dispatcher sees all load. A manager among hundreds hears of the few servers that carry its sessions.
Before any figure the others are taken to ask like us, so far as our few sessions can tell, and else half a link.
"""

from ..units import SECOND
from .windows import BucketWindow

FEW = 4  # so many sessions or figures are half believed
GUESS = 0.5  # of a link, where neither our sessions nor figures tell
UNSEEN = 0.8  # the most that a guess says
LATELY = 8 * SECOND  # figures count so long
BUCKET = SECOND


class OthersLoad:
    """Others' use of links, as figures told of it."""

    def __init__(self) -> None:
        self.uses, self.figures = BucketWindow(BUCKET, LATELY // BUCKET), BucketWindow(BUCKET, LATELY // BUCKET)

    def heard(self, now: int, use: float) -> None:
        self.uses.add(now, use)
        self.figures.add(now, 1)

    def usual(self, now: int, peers: int, sessions: int, own_part: float) -> float:
        """The use of a link by others. own_part: what all our sessions ask, as a part of all links."""
        count, told = (sum(window.since(now - LATELY)) for window in (self.figures, self.uses))
        few = FEW / (sessions + FEW)
        guess = (peers - 1) * ((1 - few) * own_part + few * GUESS / peers)
        return (told + FEW * min(UNSEEN, guess)) / (count + FEW)
