"""The gate before the decision: what is refused at once, since taking it up would help nobody.

Two reasons to refuse, each said with a time to stay away:

- **The manager is behind.** Its signal is lag: how much later than due its timers ring, which is how long a request
  has waited unseen. As in CoDel (K. Nichols and V. Jacobson, RFC 8289) the least lag of a span counts, so that one
  burst is no overload. While it stays over LAG and does not fall, the rate at which requests are taken is cut to a
  part of what was served; it rises again when the lag is gone. The rate comes as tokens, and a part of them is kept:
  a further try needs some to spare, a client that asked for more than its share needs many, and so does a title that
  makes up half of what was taken, weighed by what its viewings are worth: its crowd can't take the place of all others.
  What is worth less than half of the usual needs some to spare. What patience can no longer cover, lag and a usual
  answer taken off, is refused whatever the rate.
- **A client tries again too soon.** Whoever was refused is told how long to stay away, twice as long each time. One
  that comes before that is refused without a look, and told longer still; one that keeps to it is like any other.

Hold-offs are spread by chance over half their length and more, so that a crowd does not come back as one.
Times are tenths of a millisecond; chance by crc32 over seed and counter.
"""

from typing import NamedTuple
from zlib import crc32

from ..chance import drawn

SPAN = 1_000  # lag is judged over a tenth of a second
LAG = 800  # least lag in a span that means overload
LESS = 0.7  # of the rate: kept in an overloaded span
MORE = 0.05  # of the rate: gained in a good one
LEAST = 20.0  # requests a second are taken whatever the lag
OPEN = 3.0  # the gate opens wholly when the rate is so many times what comes
USUAL = 0.1  # weight of the last answer in the usual one
MAX_COUNTERS = 1 << 16  # counters of clients; two that share one share its allowance
MEAN_EVERY = 10  # spans between two reckonings of what clients ask in the mean
FORGET = 20_000  # a client's count is halved in each two seconds
MEMORY = 300_000  # a refusal is known for half a minute: the next one within it doubles the hold-off
SPARE = 0.25  # of the tokens: left for a further try
MANY = 0.6  # of the tokens: left for a client over its share
SHARE = 2.0  # times the mean of clients lately: more than its share
TITLE_PART = 0.5  # of all taken lately, by worth: a title's crowd
CHEAP = 0.5  # of the usual worth: little
ALL = "all"  # the count of what was taken of any title
WORTH = 0.02  # weight of the last request in the usual worth
FIRST_HOLD_OFF = 2_000  # the first hold-off, in tenths of a millisecond
DOUBLINGS = 5  # how often it doubles


class Refused(NamedTuple):
    why: str  # behind, late, again
    hold_off: int


class DecayingCounts:
    """DecayingCounts by client that fade: halved each `half`."""

    def __init__(self, half):
        self.half, self.rows = half, {}

    def value(self, key, now):
        count, then = self.rows.get(key, (0.0, now))
        return count * 0.5 ** ((now - then) / self.half)

    def mean(self, now):
        """Over clients that asked for something lately."""
        counts = [count for key in self.rows if (count := self.value(key, now)) > 0.25]
        return sum(counts) / len(counts) if counts else 1.0

    def add(self, key, now):
        count = self.value(key, now) + 1
        self.rows[key] = count, now
        if len(self.rows) > MAX_COUNTERS:
            self.rows = {k: row for k, row in self.rows.items() if row[0] * 0.5 ** ((now - row[1]) / self.half) > 0.25}
            while len(self.rows) > MAX_COUNTERS:
                del self.rows[next(iter(self.rows))]
        return count


class Gate:
    def __init__(self, seed, on=True):
        """on: False takes everything, for comparison."""
        self.seed, self.draws, self.on = seed, 0, on
        self.rate = self.tokens = None  # requests a second that are taken; None: all
        self.span_at, self.least, self.came, self.taken, self.tokens_at = None, None, 0, 0, 0
        self.usual = 0.0  # what an answer usually takes
        self.asked, self.titles = DecayingCounts(FORGET), DecayingCounts(FORGET)
        self.worth = None  # what is asked for is usually worth
        self.told = {}  # client: (until when it was told to stay away, how often in a row)
        self.spans, self.mean = 0, 1.0  # of what clients asked lately
        self.refused = dict.fromkeys(("behind", "late", "again"), 0)
        self.lag = 0  # the least of the last span, as last judged

    def chance(self):
        self.draws += 1
        return drawn(b"%d:g:%d" % (self.seed, self.draws))

    def hold_off(self, times):
        whole = FIRST_HOLD_OFF << min(max(0, times), DOUBLINGS)
        return whole // 2 + int(self.chance() * whole)

    # What is heard

    def record_lag(self, now, lag):
        """A timer rang so much later than it was due."""
        if self.span_at is None:
            self.span_at = now
        self.least = lag if self.least is None else min(self.least, lag)
        if now - self.span_at >= SPAN:
            self.end_span(now)

    def end_span(self, now):
        """Once a span: the rate for the next."""
        span, before, self.lag = max(1, now - self.span_at) / 10_000, self.lag, self.least
        if self.least > LAG:
            if self.rate is None or self.least >= before:  # else it is on its way down
                served = self.taken / span
                self.rate = max(LEAST, LESS * (served if self.rate is None else min(self.rate, served)))
            self.tokens = min(self.tokens or 0.0, 1.0)
        elif self.rate is not None:
            self.rate += MORE * self.rate
            if self.rate > OPEN * self.came / span:
                self.rate = self.tokens = None
        self.spans += 1
        if self.spans % MEAN_EVERY == 1:
            self.mean = self.asked.mean(now)
            self.told = {key: row for key, row in self.told.items() if now < row[0] + MEMORY}
        self.span_at, self.least, self.came, self.taken = now, None, 0, 0

    def record_answer(self, took):
        """A viewing got its answer so long after it was taken up."""
        self.usual += USUAL * (took - self.usual)

    # What is asked

    def check(self, now, client, left, again, title="", worth=1.0):
        """None where the request is taken up; else Refused. left: what its patience leaves. again: a further try.

        title: for a title of its own; empty: of none. worth: of its package, over 0, in any unit.
        """
        if not self.on:
            return None
        self.came += 1
        self.worth = worth if self.worth is None else self.worth + WORTH * (worth - self.worth)
        mark = crc32(title.encode()) % MAX_COUNTERS if title else None
        crowd = title and self.titles.value(mark, now) * self.worth / worth > TITLE_PART * max(
            1.0, self.titles.value(ALL, now)
        )
        key = crc32(client.encode()) % MAX_COUNTERS
        count = self.asked.add(key, now)
        if now < self.told.get(key, (0, 0))[0]:
            return self.refuse("again", now, key)
        if left < self.lag + self.usual:
            return self.refuse("late", now, key)
        if self.rate is not None and not self.token(
            now, again or worth < CHEAP * self.worth, crowd or count > SHARE * self.mean
        ):
            return self.refuse("behind", now, key)
        self.taken += 1
        for one in (mark, ALL) if title else (ALL,):
            self.titles.add(one, now)
        self.told.pop(key, None)
        return None

    def token(self, now, later, over):
        """One of the requests that are taken in this time. later, over: only where some, or many, are left."""
        most = max(4.0, self.rate * SPAN / 10_000)
        self.tokens = min(most, self.tokens + self.rate * max(0, now - self.tokens_at) / 10_000)
        self.tokens_at = now
        if self.tokens < 1.0 + most * (MANY if over else SPARE if later else 0.0):
            return False
        self.tokens -= 1.0
        return True

    def refuse(self, why, now, key):
        self.refused[why] += 1
        until, times = self.told.get(key, (0, 0))
        times = times + 1 if now < until + MEMORY else 0
        hold = self.hold_off(times)
        # A little less than it is told: clocks and roads differ.
        self.told[key] = now + hold * 9 // 10, times
        return Refused(why, hold)

    def state(self):
        return {
            "on": self.on,
            "rate": None if self.rate is None else round(self.rate, 1),
            "lag_ms": self.lag / 10,
            "usual_answer_ms": round(self.usual / 10, 1),
            "refused": self.refused,
        }
