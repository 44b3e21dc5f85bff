"""Orders that a manager's boxes have not confirmed yet: set-ups and sessions to release, rungs to set.

The answer to an order may be lost after the work was done. Each set-up is therefore named before it is sent, and its
release by that name is repeated as often as it takes. One batch at a time is in flight to a box; a batch that fails is
sent again after a pause that doubles. All orders are idempotent: releasing a session twice changes nothing, and a rung
is sent as an absolute value. Times are tenths of a millisecond.
"""

from ..chance import uniform_from_bytes

RETRY_PAUSE = 1_000  # tenths of a millisecond; doubled with each failure
MAX_DOUBLINGS = 5  # of RETRY_PAUSE: up to 3.2 s
BATCH_SIZE = 200
MAX_RELEASES_PER_BOX = 20_000  # beyond that the oldest are dropped: a box ends abandoned sessions by itself


class BoxOrders:
    """Orders to one box."""

    __slots__ = "releases", "rungs", "in_flight", "failures", "retry_at"

    def __init__(self):
        self.releases, self.rungs, self.in_flight = {}, {}, None  # releases: {key: pending since}
        self.failures = self.retry_at = 0


class PendingOrders:
    """Orders to all boxes of one manager."""

    def __init__(self, seed):
        self.seed, self.draws, self.boxes, self.dropped = seed, 0, {}, 0

    def add_release(self, box, key, now=0):
        """Adds the release of a session; one that is pending already keeps its time."""
        orders = self.boxes.setdefault(box, BoxOrders())
        orders.rungs.pop(key, None)
        orders.releases.setdefault(key, now)
        if len(orders.releases) > MAX_RELEASES_PER_BOX:
            del orders.releases[next(iter(orders.releases))]
            self.dropped += 1

    def set_rung(self, box, key, rung):
        """Sets the rung to send; it replaces an earlier one that was not sent yet."""
        orders = self.boxes.setdefault(box, BoxOrders())
        if key not in orders.releases:
            orders.rungs[key] = rung

    def discard(self, box, key):
        """Removes all orders for a session that the box reported as ended."""
        if orders := self.boxes.get(box):
            orders.rungs.pop(key, None)
            orders.releases.pop(key, None)

    def pending_releases(self):
        """{box: {key: pending since}} of all pending releases."""
        return {box: orders.releases for box, orders in self.boxes.items() if orders.releases}

    def release_keys(self, box):
        """Keys of the sessions whose release is pending at a box."""
        orders = self.boxes.get(box)
        return orders.releases if orders else ()

    def next_batch(self, box, now):
        """(releases, rungs) to send now, or None: nothing pending, a batch in flight, or the pause is not over."""
        orders = self.boxes.get(box)
        if (
            orders is None
            or orders.in_flight is not None
            or now < orders.retry_at
            or not (orders.releases or orders.rungs)
        ):
            return None
        releases = list(orders.releases)[:BATCH_SIZE]
        rungs = dict(list(orders.rungs.items())[:BATCH_SIZE])
        orders.in_flight = releases, rungs
        return orders.in_flight

    def batch_done(self, box, succeeded, now):
        """Records the outcome of the batch in flight."""
        orders = self.boxes.get(box)
        if orders is None or orders.in_flight is None:
            return
        (releases, rungs), orders.in_flight = orders.in_flight, None
        if not succeeded:
            orders.failures += 1
            self.draws += 1
            pause = RETRY_PAUSE << min(orders.failures, MAX_DOUBLINGS)
            # Jitter, so that the managers of a box that comes back don't all send to it at the same time.
            fraction = uniform_from_bytes(b"%d:%d" % (self.seed, self.draws))
            orders.retry_at = now + pause // 2 + int(fraction * (pause // 2))
            return
        orders.failures = orders.retry_at = 0
        for key in releases:
            orders.releases.pop(key, None)
        for key, rung in rungs.items():
            if orders.rungs.get(key) == rung:  # not changed while the batch was in flight
                del orders.rungs[key]
        if not (orders.releases or orders.rungs):
            del self.boxes[box]

    def drop_box(self, box):
        """Removes all orders to a box whose process is gone, and its sessions with it."""
        self.boxes.pop(box, None)

    def ready_at(self, box):
        """When the next batch can be sent: a time, 0 for at once, None if nothing is pending or a batch in flight."""
        orders = self.boxes.get(box)
        return (
            None
            if orders is None or orders.in_flight is not None or not (orders.releases or orders.rungs)
            else orders.retry_at
        )

    def count(self):
        """Number of pending orders."""
        return sum(len(orders.releases) + len(orders.rungs) for orders in self.boxes.values())
