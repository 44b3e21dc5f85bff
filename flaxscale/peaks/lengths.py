"""How long viewings last: a distribution fitted to recent ones, and how soon those that play now will have ended."""

from typing import NamedTuple

import numpy
from scipy import stats

LEAST = 20  # lengths that a fit needs; under it the mean alone, as an exponential
SHAPES = ("expon", "gamma", "lognorm", "weibull_min")
DRAINED = 0.25  # a lead is over when no more than this part of what plays now still plays
LEAD_MOST_S = 600.0


class Fitted(NamedTuple):
    """A distribution of scipy.stats by name and parameters (its origin at 0)."""

    shape: str
    params: tuple
    mean_s: float
    off: float  # largest distance of the two distribution functions (Kolmogorov and Smirnov)
    count: int

    def survives(self, s):
        """The part of viewings that last longer than so many seconds."""
        return float(getattr(stats, self.shape).sf(s, *self.params))

    def still_plays(self, s, step_s=0.5):
        """The part of what plays at some moment that still plays s seconds later.

        Those met at some moment are longer than most, and partly watched: the residual life of renewal theory,
        the integral of the survival function beyond s, over its mean.
        """
        top = float(getattr(stats, self.shape).ppf(0.9999, *self.params))
        if s >= top:
            return 0.0
        grid = numpy.arange(0.0, top + step_s, step_s)
        alive = getattr(stats, self.shape).sf(grid, *self.params)
        whole = numpy.trapezoid(alive, grid)
        return float(numpy.trapezoid(alive[grid >= s], grid[grid >= s]) / whole) if whole else 0.0

    def lead_s(self):
        """Seconds in which all but DRAINED of what plays will have ended."""
        low, high = 0.0, LEAD_MOST_S
        if self.still_plays(high) > DRAINED:
            return high
        while high - low > 0.25:
            middle = (low + high) / 2
            low, high = (middle, high) if self.still_plays(middle) > DRAINED else (low, middle)
        return round(high, 1)


def fit(lengths):
    """The best of SHAPES by Akaike's criterion. lengths: seconds, each over 0. ValueError where there are none."""
    lengths = numpy.asarray([s for s in lengths], dtype=float)
    if not len(lengths) or not numpy.all(numpy.isfinite(lengths)) or lengths.min() <= 0:
        raise ValueError("lengths of viewings: at least one expected, each over 0 seconds")
    mean = float(lengths.mean())
    if len(lengths) < LEAST or lengths.std() < 1e-6 * mean:
        return Fitted("expon", (0.0, mean), mean, 1.0, len(lengths))
    best = None
    for shape in SHAPES:
        law = getattr(stats, shape)
        params = law.fit(lengths, floc=0)
        likely = float(numpy.sum(law.logpdf(lengths, *params)))
        if not numpy.isfinite(likely):
            continue
        score = 2 * (len(params) - 1) - 2 * likely
        if best is None or score < best[0]:
            off = float(stats.kstest(lengths, shape, args=params).statistic)
            best = score, Fitted(shape, tuple(float(p) for p in params), float(law.mean(*params)), off, len(lengths))
    return best[1]
