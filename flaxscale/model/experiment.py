"""Experiments in virtual time: many seeds in several processes, confidence intervals, and paired comparisons."""

import concurrent.futures
import math
import statistics
from typing import NamedTuple

from scipy import stats

from ..lab.shapes import read_day
from .play import Play


class Interval(NamedTuple):
    """A mean with the half width of its 95% confidence interval, by Student's t."""

    mean: float
    half: float
    count: int

    def __str__(self):
        return f"{self.mean:.4f} +- {self.half:.4f} ({self.count} seeds)"


def interval(values):
    values = list(values)
    if len(values) < 2:
        return Interval(values[0] if values else math.nan, math.nan, len(values))
    half = stats.t.ppf(0.975, len(values) - 1) * statistics.stdev(values) / math.sqrt(len(values))
    return Interval(statistics.fmean(values), float(half), len(values))


def run_job(job):
    """(seed, totals) of a day's file and a seed. Runs in a worker process."""
    file, seed, given = job
    play = Play(read_day(file, sockets=False, **given), seed).run()
    return seed, play.totals()


def sweep(file, seeds, processes=1, **given):
    """{seed: totals} in the order of the seeds; the result does not depend on the number of processes."""
    jobs = [(str(file), seed, given) for seed in seeds]
    if processes == 1:
        return dict(map(run_job, jobs))
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        return dict(pool.map(run_job, jobs))


def figures(totals):
    """The figures that experiments compare: service, answers per request, and tune-ins per first tune-in."""
    fates, requests = totals["fates"], max(1, totals["requests"])
    first = max(1, totals["tune_ins"].get("first", 0))
    return {
        "service": totals["service"],
        "plays": fates.get("plays", 0) / requests,
        "blocked": fates.get("blocked", 0) / requests,
        "aborted": fates.get("aborted", 0) / requests,
        "late": fates.get("late", 0) / requests,
        "unanswered": fates.get("unanswered", 0) / requests,
        "tune_ins": (first + totals["tune_ins"].get("further", 0)) / first,
    }


def compare(one_day, other_day):
    """{figure: Interval of one minus other}, paired by seed, so that both have the same demand."""
    a, b = ({seed: figures(t) for seed, t in totals.items()} for totals in (one_day, other_day))
    seeds = sorted(a.keys() & b.keys())
    return {
        name: interval(a[seed][name] - b[seed][name] for seed in seeds)
        for name in figures(next(iter(one_day.values())))
    }
