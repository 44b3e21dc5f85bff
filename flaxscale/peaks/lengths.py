"""Duration of viewings: fits a distribution to recent ones and derives how soon current viewings will have ended."""

from typing import NamedTuple

import numpy
from scipy import stats

MIN_FIT_LENGTHS = 20  # with fewer lengths, an exponential distribution with their mean is used
DISTRIBUTIONS = ("expon", "gamma", "lognorm", "weibull_min")
DRAINED_SHARE = 0.25  # a lead ends when at most this share of current viewings still plays
MAX_LEAD_S = 600.0


class LengthDistribution(NamedTuple):
    """A distribution of scipy.stats with its parameters, with location 0."""

    shape: str
    params: tuple
    mean_s: float
    off: float  # Kolmogorov-Smirnov distance between fitted and empirical distribution
    count: int

    def survival(self, s):
        """The share of viewings that last longer than s seconds."""
        return float(getattr(stats, self.shape).sf(s, *self.params))

    def remaining_share(self, s, step_s=0.5):
        """The share of the viewings in progress at some moment that still play s seconds later.

        Long viewings are over-represented among those in progress, which are also partly over. This is the residual
        life of renewal theory: the integral of the survival function beyond s, divided by the mean.
        """
        longest = float(getattr(stats, self.shape).ppf(0.9999, *self.params))
        if s >= longest:
            return 0.0
        grid = numpy.arange(0.0, longest + step_s, step_s)
        survivors = getattr(stats, self.shape).sf(grid, *self.params)
        total = numpy.trapezoid(survivors, grid)
        return float(numpy.trapezoid(survivors[grid >= s], grid[grid >= s]) / total) if total else 0.0

    def lead_s(self):
        """Seconds until all but DRAINED_SHARE of the current viewings will have ended, at most MAX_LEAD_S."""
        low, high = 0.0, MAX_LEAD_S
        if self.remaining_share(high) > DRAINED_SHARE:
            return high
        while high - low > 0.25:
            middle = (low + high) / 2
            low, high = (middle, high) if self.remaining_share(middle) > DRAINED_SHARE else (low, middle)
        return round(high, 1)


def fit(lengths):
    """The best fit of DISTRIBUTIONS by the Akaike information criterion. lengths: seconds, one or more, each over 0."""
    lengths = numpy.asarray([s for s in lengths], dtype=float)
    if not len(lengths) or not numpy.all(numpy.isfinite(lengths)) or lengths.min() <= 0:
        raise ValueError("lengths of viewings: at least one expected, each over 0 seconds")
    mean = float(lengths.mean())
    if len(lengths) < MIN_FIT_LENGTHS or lengths.std() < 1e-6 * mean:
        return LengthDistribution("expon", (0.0, mean), mean, 1.0, len(lengths))
    best = None
    for shape in DISTRIBUTIONS:
        distribution = getattr(stats, shape)
        params = distribution.fit(lengths, floc=0)
        log_likelihood = float(numpy.sum(distribution.logpdf(lengths, *params)))
        if not numpy.isfinite(log_likelihood):
            continue
        score = 2 * (len(params) - 1) - 2 * log_likelihood
        if best is None or score < best[0]:
            off = float(stats.kstest(lengths, shape, args=params).statistic)
            best = (
                score,
                LengthDistribution(
                    shape, tuple(float(p) for p in params), float(distribution.mean(*params)), off, len(lengths)
                ),
            )
    return best[1]
