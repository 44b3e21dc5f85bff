"""Admission control ahead of the decision: requests that could not be served in time are refused at once.

A request is refused for one of two reasons, always with a time to stay away (the hold-off):

- **The manager is overloaded.** The signal is lag: how late the manager's timers fire, which is how long a request has
  waited unread. As in CoDel (K. Nichols and V. Jacobson, RFC 8289) the minimum lag of a span counts, so that a single
  burst is not taken for overload. While that minimum is over OVERLOAD_LAG and does not fall, the admission rate is cut
  to a fraction of what was served; it rises again once the lag is gone. The rate is enforced by a token bucket with
  reserves: a retry needs some spare tokens, a client that asked for more than its share needs many, and so does a title
  that makes up half of recent admissions, weighted by the worth of its viewings, so that the crowd of one title can't
  displace all others. A request worth less than half of the usual worth needs some spare tokens too. A request whose
  remaining patience does not cover the lag and a usual answer time is refused at any rate.
- **A client retries too early.** A refused client is told how long to stay away, twice as long each time. A client that
  returns earlier is refused without further checks and told a longer time; one that waits is treated like any other.

Hold-offs are spread at random between half and one and a half of their nominal length, so that a crowd does not return
at once. Times are tenths of a millisecond; random draws are crc32 over seed and counter.
"""

from typing import NamedTuple
from zlib import crc32

from ..chance import uniform_from_bytes

LAG_SPAN = 1_000  # the minimum lag is taken over spans of a tenth of a second
OVERLOAD_LAG = 800  # a minimum lag over this means overload
RATE_CUT = 0.7  # factor applied to the rate after an overloaded span
RATE_GAIN = 0.05  # part added to the rate after a span without overload
MIN_RATE = 20.0  # requests per second that are admitted at any lag
OPEN_RATIO = 3.0  # the rate limit is lifted when it exceeds the arrivals by this factor
ANSWER_TIME_WEIGHT = 0.1  # weight of the last answer in the moving average of answer times
MAX_COUNTERS = 1 << 16  # client counters; two clients with the same counter share one allowance
MEAN_EVERY_SPANS = 10  # spans between two computations of the mean count per client
COUNT_HALF_LIFE = 20_000  # counts are halved every two seconds
REFUSAL_MEMORY = 300_000  # a further refusal within half a minute doubles the hold-off
RETRY_RESERVE = 0.25  # part of the tokens that must be left for a retry or a request of low worth
CROWD_RESERVE = 0.6  # part of the tokens that must be left for a client over its share or a crowded title
CLIENT_SHARE = 2.0  # a client over its share asked for this many times the recent mean
CROWD_SHARE = 0.5  # a crowded title has this part of recent admissions, by worth
LOW_WORTH = 0.5  # a request of low worth is worth less than this part of the usual
ALL_TITLES = "all"  # key of the count of admissions over all titles
WORTH_WEIGHT = 0.02  # weight of the last request in the moving average of worth
FIRST_HOLD_OFF = 2_000  # nominal length of the first hold-off
MAX_DOUBLINGS = 5  # how often the hold-off doubles at most


class Refused(NamedTuple):
    """Why a request is refused (behind, late or again) and how long its client should stay away."""

    why: str
    hold_off: int


class DecayingCounts:
    """Counts by key that decay exponentially with a half-life."""

    def __init__(self, half_life):
        self.half_life, self.rows = half_life, {}

    def value(self, key, now):
        """The decayed count of a key."""
        count, then = self.rows.get(key, (0.0, now))
        return count * 0.5 ** ((now - then) / self.half_life)

    def mean(self, now):
        """Mean over the keys that were counted recently."""
        counts = [count for key in self.rows if (count := self.value(key, now)) > 0.25]
        return sum(counts) / len(counts) if counts else 1.0

    def add(self, key, now):
        """Adds one to a key and returns its count."""
        count = self.value(key, now) + 1
        self.rows[key] = count, now
        if len(self.rows) > MAX_COUNTERS:
            self.rows = {
                k: row for k, row in self.rows.items() if row[0] * 0.5 ** ((now - row[1]) / self.half_life) > 0.25
            }
            while len(self.rows) > MAX_COUNTERS:
                del self.rows[next(iter(self.rows))]
        return count


class Gate:
    """Decides for each request whether it is admitted, from the manager's lag and the clients' recent requests."""

    def __init__(self, seed, on=True):
        """on: False admits everything, for comparison."""
        self.seed, self.draws, self.on = seed, 0, on
        self.rate = self.tokens = None  # admitted requests per second; None: no limit
        self.span_began_at, self.min_lag, self.arrived, self.admitted, self.tokens_at = None, None, 0, 0, 0
        self.usual_answer_time = 0.0
        self.client_counts, self.title_counts = DecayingCounts(COUNT_HALF_LIFE), DecayingCounts(COUNT_HALF_LIFE)
        self.usual_worth = None
        self.hold_offs = {}  # client: (end of its hold-off, how many refusals came before in a row)
        self.span_count, self.mean_count = 0, 1.0  # mean_count: of recent requests per client
        self.refused = dict.fromkeys(("behind", "late", "again"), 0)
        self.lag = 0  # minimum lag of the last complete span

    def draw(self):
        """A pseudo-random number from 0 up to 1."""
        self.draws += 1
        return uniform_from_bytes(b"%d:g:%d" % (self.seed, self.draws))

    def hold_off(self, refusals):
        """A randomly spread hold-off after so many refusals in a row."""
        nominal = FIRST_HOLD_OFF << min(max(0, refusals), MAX_DOUBLINGS)
        return nominal // 2 + int(self.draw() * nominal)

    # Measurements

    def record_lag(self, now, lag):
        """Records how much later than due a timer fired."""
        if self.span_began_at is None:
            self.span_began_at = now
        self.min_lag = lag if self.min_lag is None else min(self.min_lag, lag)
        if now - self.span_began_at >= LAG_SPAN:
            self.end_span(now)

    def end_span(self, now):
        """Sets the admission rate for the next span."""
        seconds, before, self.lag = max(1, now - self.span_began_at) / 10_000, self.lag, self.min_lag
        if self.min_lag > OVERLOAD_LAG:
            if self.rate is None or self.min_lag >= before:  # otherwise the lag is falling already
                served = self.admitted / seconds
                self.rate = max(MIN_RATE, RATE_CUT * (served if self.rate is None else min(self.rate, served)))
            self.tokens = min(self.tokens or 0.0, 1.0)
        elif self.rate is not None:
            self.rate += RATE_GAIN * self.rate
            if self.rate > OPEN_RATIO * self.arrived / seconds:
                self.rate = self.tokens = None
        self.span_count += 1
        if self.span_count % MEAN_EVERY_SPANS == 1:
            self.mean_count = self.client_counts.mean(now)
            self.hold_offs = {client: row for client, row in self.hold_offs.items() if now < row[0] + REFUSAL_MEMORY}
        self.span_began_at, self.min_lag, self.arrived, self.admitted = now, None, 0, 0

    def record_answer(self, duration):
        """Records how long after its admission a viewing was answered."""
        self.usual_answer_time += ANSWER_TIME_WEIGHT * (duration - self.usual_answer_time)

    # Requests

    def check(self, now, client, patience_left, is_retry, title="", worth=1.0):
        """None where the request is admitted, otherwise Refused.

        title: empty where the request is for no title in particular. worth: of its package, positive, in any unit.
        """
        if not self.on:
            return None
        self.arrived += 1
        self.usual_worth = (
            worth if self.usual_worth is None else self.usual_worth + WORTH_WEIGHT * (worth - self.usual_worth)
        )
        title_counter = crc32(title.encode()) % MAX_COUNTERS if title else None
        crowded = title and self.title_counts.value(title_counter, now) * self.usual_worth / worth > CROWD_SHARE * max(
            1.0, self.title_counts.value(ALL_TITLES, now)
        )
        client_counter = crc32(client.encode()) % MAX_COUNTERS
        count = self.client_counts.add(client_counter, now)
        if now < self.hold_offs.get(client_counter, (0, 0))[0]:
            return self.refuse("again", now, client_counter)
        if patience_left < self.lag + self.usual_answer_time:
            return self.refuse("late", now, client_counter)
        if self.rate is not None and not self.take_token(
            now, is_retry or worth < LOW_WORTH * self.usual_worth, crowded or count > CLIENT_SHARE * self.mean_count
        ):
            return self.refuse("behind", now, client_counter)
        self.admitted += 1
        for counter in (title_counter, ALL_TITLES) if title else (ALL_TITLES,):
            self.title_counts.add(counter, now)
        self.hold_offs.pop(client_counter, None)
        return None

    def take_token(self, now, keep_some, keep_many):
        """Takes a token of the bucket. keep_some, keep_many: only where RETRY_RESERVE or CROWD_RESERVE remains."""
        capacity = max(4.0, self.rate * LAG_SPAN / 10_000)
        self.tokens = min(capacity, self.tokens + self.rate * max(0, now - self.tokens_at) / 10_000)
        self.tokens_at = now
        if self.tokens < 1.0 + capacity * (CROWD_RESERVE if keep_many else RETRY_RESERVE if keep_some else 0.0):
            return False
        self.tokens -= 1.0
        return True

    def refuse(self, why, now, client_counter):
        """Counts the refusal and sets the client's hold-off."""
        self.refused[why] += 1
        until, refusals = self.hold_offs.get(client_counter, (0, 0))
        refusals = refusals + 1 if now < until + REFUSAL_MEMORY else 0
        hold_off = self.hold_off(refusals)
        # Enforced for a little less than the client is told, since clocks and network delays differ.
        self.hold_offs[client_counter] = now + hold_off * 9 // 10, refusals
        return Refused(why, hold_off)

    def state(self):
        """The gate's part of the manager's state report."""
        return {
            "on": self.on,
            "rate": None if self.rate is None else round(self.rate, 1),
            "lag_ms": self.lag / 10,
            "usual_answer_ms": round(self.usual_answer_time / 10, 1),
            "refused": self.refused,
        }
