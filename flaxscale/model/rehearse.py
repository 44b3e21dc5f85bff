"""Simulates announced peaks: the same seeds with and without reserved room, compared with an upper bound.

Ways: `none` reserves nothing, `fixed` a share of every link all day, `held` is what managers reserve from their links
alone, `planned` follows the planner's schedule. The upper bound is that of an omniscient placement (bound.py),
computed every BOUND_EVERY seconds.
"""

import concurrent.futures
from typing import NamedTuple

import msgspec

from ..lab.shapes import holders_of, link_of, read_day
from ..peaks.plan import BoxInput, PlanRequest, Question, plan_peaks
from .experiment import interval
from .play import Play

WAYS = ("none", "fixed", "held", "planned")
FIXED = 0.15  # share of every link reserved by the baseline
BOUND_EVERY = 5  # seconds


class Rehearsed(NamedTuple):
    """Results of one run. `inside` and `outside` the peaks: worth earned as a share of the worth asked."""

    inside: float
    outside: float
    packages: dict  # package: share inside
    blocked: float  # of the requests
    lowest: int  # viewing seconds on the lowest rung, of packages with a higher floor
    at_floor: float  # share of the announced packages' viewing time inside that was at or below their floor
    fell: int
    faults: int
    bound_inside: float | None
    bound_outside: float | None
    peaks: dict  # name: (seconds ready before the start, seconds until released after the end)


def planning_input(day, now_s=0.0):
    """The planner's input for a day: its boxes, its regular demand, and the lengths that viewers watch."""
    site, demand = day.site, day.demand
    ladder = site.ladder
    boxes = [
        BoxInput(n + 1, link_of(day, b), b.cell % site.fleet.racks, site.fleet.kinds[b.kind], 0.0 if b.cold else 1e9)
        for n, b in enumerate(day.boxes)
    ]
    held = {name: set(holders_of(day, name)) for name in site.titles}
    package = {name: row.view for name, row in site.titles.items() if row.view}
    mean_s, total_weight = sum(demand.play_s) / 2, sum(demand.titles.values())
    asked = {}
    for name, weight in demand.titles.items():
        row = site.packages[package[name]]
        kb = ladder.kb[min(row.top, len(ladder.kb) - 1)] * row.scale * (ladder.join if row.live else 1.0)
        asked[name] = demand.rate * weight / total_weight * mean_s * kb
    low, high = demand.play_s
    lengths = [low + (high - low) * (n + 0.5) / 40 for n in range(40)]
    return PlanRequest(Question(site, boxes, asked, lengths), tuple(day.peaks), held, package, now_s)


def with_schedules(day):
    """The day's announcements with the planner's schedules and leads."""
    plan = plan_peaks(planning_input(day))
    return [
        msgspec.structs.replace(peak, schedule=plan.schedules[peak.name], lead_s=plan.leads[peak.name])
        for peak in day.peaks
    ]


def in_peak(day, second):
    return any(p.start_s <= second < p.end_s for p in day.peaks)


def rehearse(day, seed, way, bound=False):
    """Runs one simulation and returns its results."""
    keep = {"none": False, "fixed": FIXED}.get(way, True)
    play = Play(
        day,
        seed,
        keep=keep,
        bound_every=BOUND_EVERY if bound else 0,
        peaks=with_schedules(day) if way == "planned" else None,
    )
    play.run()
    return figures_of(play)


def share(rows, earned, asked):
    total = sum(asked(r) for r in rows)
    return sum(earned(r) for r in rows) / total if total else 0.0


def figures_of(play):
    day, length = play.day, int(play.day.length_s)
    inside = [play.seconds[s] for s in range(length) if in_peak(day, s)]
    outside = [play.seconds[s] for s in range(length) if not in_peak(day, s)]
    totals = play.totals()

    def served(rows):
        return share(rows, lambda r: sum(r.earned.values()), lambda r: sum(r.asked.values()))

    def bound(rows):
        rows = [r for r in rows if r.bound is not None]
        return share(rows, lambda r: r.bound, lambda r: sum(r.asked.values())) if rows else None

    site = day.site
    announced = {play.package_numbers[site.titles[t].view] for p in day.peaks for t in p.titles} | {
        play.package_numbers[k] for p in day.peaks for k in p.packages
    }
    announced_seconds = at_floor_seconds = lowest = 0
    for row in inside:
        for (package, rung), n in row.rungs.items():
            row_floor = play.packages[package].floor
            lowest += n * (rung == 0 < row_floor)
            if package in announced:
                announced_seconds += n
                at_floor_seconds += n * (rung <= row_floor)
    return Rehearsed(
        served(inside),
        served(outside),
        {
            name: share(inside, lambda r, n=n: r.earned[n], lambda r, n=n: r.asked[n])
            for n, name in enumerate(play.package_names)
            if any(r.asked[n] for r in inside)
        },
        totals["fates"].get("blocked", 0) / max(1, totals["requests"]),
        lowest,
        at_floor_seconds / announced_seconds if announced_seconds else 0.0,
        totals["fell"],
        totals["faults"],
        bound(inside),
        bound(outside),
        {p.name: (seconds_ready_before(play, p), seconds_to_release(play, p)) for p in day.peaks},
    )


def seconds_ready_before(play, peak):
    """How many seconds before the start the holders first have the capacity free that the peak needs at its start.

    Negative: seconds after the start; None: not before its end.
    """
    row_of = play.seconds
    need = max(
        (row_of[s].wanted.get(peak.name, 0.0) for s in range(int(peak.start_s), int(peak.start_s) + 2)), default=0.0
    )
    for s in range(max(0, int(peak.start_s - peak.lead_s) - 5), int(peak.end_s)):
        if row_of[s].free.get(peak.name, 0.0) >= need:
            return peak.start_s - s
    return None


def seconds_to_release(play, peak):
    """Seconds from the end until no room is reserved for the peak."""
    last = max((s for s, row in play.seconds.items() if row.kept.get(peak.name, 0.0) > 0), default=None)
    return None if last is None else last + 1 - peak.end_s


def run_job(job):
    file, given, way, seed, bound = job
    return rehearse(read_day(file, sockets=False, **given), seed, way, bound)


def compare(file, given, ways, seeds, processes, bound=True):
    """{way: [Rehearsed by seed]}. Bounds are computed with the first way only: they are the same for all."""
    jobs = [(str(file), given, way, seed, bound and n == 0) for n, way in enumerate(ways) for seed in seeds]
    jobs.sort(key=lambda job: not job[4])  # the longest first
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        results = dict(zip([(j[2], j[3]) for j in jobs], pool.map(run_job, jobs)))
    return {way: [results[way, seed] for seed in seeds] for way in ways}


def share_closed(results, way):
    """Share of the distance from `none` to the bound that a way closes inside the peaks, paired by seed."""
    return interval(
        (run.inside - baseline.inside) / (baseline.bound_inside - baseline.inside)
        for run, baseline in zip(results[way], results["none"])
        if baseline.bound_inside is not None and baseline.bound_inside > baseline.inside
    )


def lines(results):
    """The results as lines of text."""
    first = results[next(iter(results))]
    yield f"{'way':>8}  {'inside':>22}  {'outside':>22}  {'blocked':>8}  {'at floor':>8}  lowest  fell  faults"
    for way, rows in results.items():
        yield (
            f"{way:>8}  {summary(r.inside for r in rows):>22}  {summary(r.outside for r in rows):>22}  "
            f"{interval(r.blocked for r in rows).mean:8.3f}  {interval(r.at_floor for r in rows).mean:8.3f}  "
            f"{sum(r.lowest for r in rows):6}  {sum(r.fell for r in rows):4}  {sum(r.faults for r in rows):6}"
        )
        for package in rows[0].packages:
            yield f"{'':>8}    {package}: {summary(r.packages[package] for r in rows if package in r.packages)} inside"
        if "none" in results and way != "none":
            if first[0].bound_inside is not None:
                yield f"{'':>8}    distance to the bound closed inside: {format_interval(share_closed(results, way))}"
            yield (
                f"{'':>8}    less none: inside {paired_difference(rows, results['none'], 'inside')}, "
                f"outside {paired_difference(rows, results['none'], 'outside')}"
            )
        for name in rows[0].peaks:
            ready = [r.peaks[name][0] for r in rows]
            released = [r.peaks[name][1] for r in rows if r.peaks[name][1] is not None]
            ready_texts = [f"{s:+.0f}" for s in sorted(x for x in ready if x is not None)]
            yield (
                f"{'':>8}    {name}: ready before its start by {' '.join(ready_texts) or '-'} s"
                f"{'' if len(ready_texts) == len(ready) else f', never in {len(ready) - len(ready_texts)}'}"
                + (f"; handed back {max(released):+.0f} s after its end at the latest" if released else "")
            )
    if first[0].bound_inside is not None:
        yield (
            f"   bound  {summary(r.bound_inside for r in first):>22}  "
            f"{summary(r.bound_outside for r in first if r.bound_outside is not None):>22}"
        )


def summary(values):
    return format_interval(interval(values))


def format_interval(value):
    return f"{value.mean:.3f} +- {value.half:.3f}"


def paired_difference(rows, others, field):
    difference = interval(getattr(a, field) - getattr(b, field) for a, b in zip(rows, others))
    return f"{difference.mean:+.4f} +- {difference.half:.4f}"


def draw(play, file):
    """Plots reserved and free room on the holders, worth, and viewings by rung over the day."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    day, seconds = play.day, range(int(play.day.length_s))
    figure, (top, middle, low) = pyplot.subplots(3, 1, sharex=True, figsize=(10, 8))
    for peak in day.peaks:
        top.plot(
            seconds, [play.seconds[s].kept.get(peak.name, 0.0) / 1000 for s in seconds], label=f"kept for {peak.name}"
        )
        top.plot(
            seconds,
            [play.seconds[s].free.get(peak.name, 0.0) / 1000 for s in seconds],
            "--",
            label="free of others on its holders",
        )
    top.set_ylabel("MB a second")
    rows = [play.seconds[s] for s in seconds]
    middle.plot(seconds, [sum(r.earned.values()) / (sum(r.asked.values()) or 1) for r in rows], label="earned / asked")
    bounds = [(s, r.bound / (sum(r.asked.values()) or 1)) for s, r in zip(seconds, rows) if r.bound is not None]
    if bounds:
        middle.plot(*zip(*bounds), ":", label="bound")
    middle.set_ylim(0, 1.05)
    rungs = range(len(day.site.ladder.kb))
    low.stackplot(
        seconds,
        [[sum(r.rungs[package, rung] for package in range(len(play.package_names))) for r in rows] for rung in rungs],
        labels=[f"rung {r}" for r in rungs],
    )
    low.set_ylabel("viewings by rung")
    low.set_xlabel("second")
    for axes in (top, middle, low):
        axes.legend(fontsize=8, loc="upper left")
        for peak in day.peaks:
            axes.axvspan(peak.start_s, peak.end_s, alpha=0.12, color="C7")
    figure.tight_layout()
    figure.savefig(file, dpi=110)
    pyplot.close(figure)
