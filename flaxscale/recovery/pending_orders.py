"""What a manager owes its boxes: set-ups and sessions to end, rungs to change, until each box has said yes.

An answer may be lost after the work was done, so that what is ended is ended by the name that it was given
before it was sent, as often as it takes. One batch is out to a box at a time; a batch that fails is sent again
after a pause that doubles. All of it is idempotent: an end twice is an end, a rung is told as a figure.
"""

from ..chance import drawn

PAUSE = 1_000  # a tenth of a second
DOUBLINGS = 5  # up to 3.2 s
BATCH_SIZE = 200
MOST = 20_000  # ends kept for one box; past it the oldest go, since a box ends them by itself


class BoxOrders:
    """One box."""

    __slots__ = "ends", "rungs", "out", "fails", "wait_until"

    def __init__(self):
        self.ends, self.rungs, self.out = {}, {}, None  # ends: {key: since when}
        self.fails = self.wait_until = 0


class PendingOrders:
    def __init__(self, seed):
        self.seed, self.draws, self.boxes, self.dropped = seed, 0, {}, 0

    def add_release(self, box, key, now=0):
        """PendingOrders from now on."""
        debt = self.boxes.setdefault(box, BoxOrders())
        debt.rungs.pop(key, None)
        debt.ends.setdefault(key, now)
        if len(debt.ends) > MOST:
            del debt.ends[next(iter(debt.ends))]
            self.dropped += 1

    def set_rung(self, box, key, rung):
        """The last rung told counts; the ones before it need not arrive."""
        debt = self.boxes.setdefault(box, BoxOrders())
        if key not in debt.ends:
            debt.rungs[key] = rung

    def discard(self, box, key):
        """The box said so itself: nothing is owed for it."""
        if debt := self.boxes.get(box):
            debt.rungs.pop(key, None)
            debt.ends.pop(key, None)

    def pending_releases(self):
        """{box: {key: since when}} of all ends that are owed."""
        return {box: debt.ends for box, debt in self.boxes.items() if debt.ends}

    def release_keys(self, box):
        """Names of sessions whose end is owed there."""
        debt = self.boxes.get(box)
        return debt.ends if debt else ()

    def next_batch(self, box, now):
        """(ends, rungs) to send now, or None: nothing owed, a batch is out, or the pause is not over."""
        debt = self.boxes.get(box)
        if debt is None or debt.out is not None or now < debt.wait_until or not (debt.ends or debt.rungs):
            return None
        ends = list(debt.ends)[:BATCH_SIZE]
        rungs = dict(list(debt.rungs.items())[:BATCH_SIZE])
        debt.out = ends, rungs
        return debt.out

    def batch_done(self, box, good, now):
        """What became of the batch that was out."""
        debt = self.boxes.get(box)
        if debt is None or debt.out is None:
            return
        (ends, rungs), debt.out = debt.out, None
        if not good:
            debt.fails += 1
            self.draws += 1
            pause = PAUSE << min(debt.fails, DOUBLINGS)
            # Spread, or all managers of a box that comes back call on it together.
            chance = drawn(b"%d:%d" % (self.seed, self.draws))
            debt.wait_until = now + pause // 2 + int(chance * (pause // 2))
            return
        debt.fails = debt.wait_until = 0
        for key in ends:
            debt.ends.pop(key, None)
        for key, rung in rungs.items():
            if debt.rungs.get(key) == rung:  # not changed again while the batch was out
                del debt.rungs[key]
        if not (debt.ends or debt.rungs):
            del self.boxes[box]

    def drop_box(self, box):
        """Its process is gone, and what it held with it."""
        self.boxes.pop(box, None)

    def ready_at(self, box):
        """When something can be sent to a box: a time, 0 for at once, None if nothing is owed or a batch is out."""
        debt = self.boxes.get(box)
        return None if debt is None or debt.out is not None or not (debt.ends or debt.rungs) else debt.wait_until

    def count(self):
        return sum(len(d.ends) + len(d.rungs) for d in self.boxes.values())
