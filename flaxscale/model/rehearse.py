"""Rehearses announced peaks in virtual time: the same seeds with and without held room, against what can be earned.

Ways: `none` keeps nothing, `fixed` a part of every link all day, `held` is what managers do by links alone, `planned`
goes by the planner's schedule. Bounds are those of an all-knowing placement (bound.py), worked out every few seconds.
"""

import concurrent.futures
from typing import NamedTuple

import msgspec

from ..lab.shapes import holders_of, link_of, read_day
from ..peaks.plan import Ask, BoxAsked, Question, plan_peaks
from .experiment import interval
from .play import Play

WAYS = ("none", "fixed", "held", "planned")
FIXED = 0.15  # of every link, for the baseline
BOUND_EVERY = 5  # seconds


class Rehearsed(NamedTuple):
    """One play. Shares are of what was asked in those seconds."""

    inside: float
    outside: float
    packages: dict  # package: share inside
    blocked: float  # of the requests
    lowest: int  # viewing seconds on the ladder's lowest rung, of packages whose floor lies above it
    at_floor: float  # share of the announced titles' viewing time inside at their package's floor
    fell: int
    faults: int
    bound_inside: float | None
    bound_outside: float | None
    peaks: dict  # name: (seconds ready before the start, seconds until handed back after the end)


def ask_of(day, now_s=0.0):
    """The planner's question for a day: its boxes, its ordinary demand, the lengths that its viewers watch."""
    site, demand = day.site, day.demand
    ladder = site.ladder
    boxes = [
        BoxAsked(n + 1, link_of(day, b), b.cell % site.fleet.racks, site.fleet.kinds[b.kind], 0.0 if b.cold else 1e9)
        for n, b in enumerate(day.boxes)
    ]
    held = {name: set(holders_of(day, name)) for name in site.titles}
    package = {name: row.view for name, row in site.titles.items() if row.view}
    mean_s, whole = sum(demand.play_s) / 2, sum(demand.titles.values())
    asked = {}
    for name, weight in demand.titles.items():
        row = site.packages[package[name]]
        kb = ladder.kb[min(row.top, len(ladder.kb) - 1)] * row.scale * (ladder.join if row.live else 1.0)
        asked[name] = demand.rate * weight / whole * mean_s * kb
    low, high = demand.play_s
    lengths = [low + (high - low) * (n + 0.5) / 40 for n in range(40)]
    return Ask(Question(site, boxes, asked, lengths), tuple(day.peaks), held, package, now_s)


def scheduled(day):
    """The day's announcements with the planner's schedules and leads."""
    plan = plan_peaks(ask_of(day))
    return [msgspec.structs.replace(p, schedule=plan.schedules[p.name], lead_s=plan.leads[p.name]) for p in day.peaks]


def within(day, second):
    return any(p.start_s <= second < p.end_s for p in day.peaks)


def rehearse(day, seed, way, bound=False):
    """One play, as figures."""
    keep = {"none": False, "fixed": FIXED}.get(way, True)
    play = Play(
        day,
        seed,
        keep=keep,
        bound_every=BOUND_EVERY if bound else 0,
        peaks=scheduled(day) if way == "planned" else None,
    )
    play.run()
    return figures_of(play)


def share(rows, earned, asked):
    whole = sum(asked(r) for r in rows)
    return sum(earned(r) for r in rows) / whole if whole else 0.0


def figures_of(play):
    day, length = play.day, int(play.day.length_s)
    inside = [play.seconds[s] for s in range(length) if within(day, s)]
    outside = [play.seconds[s] for s in range(length) if not within(day, s)]
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
    whole = floor = lowest = 0
    for row in inside:
        for (package, rung), n in row.rungs.items():
            row_floor = play.packages[package].floor
            lowest += n * (rung == 0 < row_floor)
            if package in announced:
                whole += n
                floor += n * (rung <= row_floor)
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
        floor / whole if whole else 0.0,
        totals["fell"],
        totals["faults"],
        bound(inside),
        bound(outside),
        {p.name: (ready_before(play, p), released_after(play, p)) for p in day.peaks},
    )


def ready_before(play, p):
    """Seconds before the start from which on the peak's holders have what it needs at its start free of others.

    Negative: so late after it; None: never by its end.
    """
    row_of = play.seconds
    need = max((row_of[s].wanted.get(p.name, 0.0) for s in range(int(p.start_s), int(p.start_s) + 2)), default=0.0)
    for s in range(max(0, int(p.start_s - p.lead_s) - 5), int(p.end_s)):
        if row_of[s].free.get(p.name, 0.0) >= need:
            return p.start_s - s
    return None


def released_after(play, p):
    """Seconds after the end until no room is kept for it any more."""
    last = max((s for s, row in play.seconds.items() if row.kept.get(p.name, 0.0) > 0), default=None)
    return None if last is None else last + 1 - p.end_s


def one(job):
    file, given, way, seed, bound = job
    return rehearse(read_day(file, sockets=False, **given), seed, way, bound)


def compare(file, given, ways, seeds, processes, bound=True):
    """{way: [Rehearsed by seed]}. Bounds go with the first way: they are the same for all."""
    jobs = [(str(file), given, way, seed, bound and n == 0) for n, way in enumerate(ways) for seed in seeds]
    jobs.sort(key=lambda job: not job[4])  # the long ones first
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        made = dict(zip([(j[2], j[3]) for j in jobs], pool.map(one, jobs)))
    return {way: [made[way, seed] for seed in seeds] for way in ways}


def closed(made, way):
    """The part of the distance from `none` to the bound that a way closes inside the window, paired by seed."""
    return interval(
        (w.inside - n.inside) / (n.bound_inside - n.inside)
        for w, n in zip(made[way], made["none"])
        if n.bound_inside is not None and n.bound_inside > n.inside
    )


def lines(made):
    """What came of it, as text."""
    first = made[next(iter(made))]
    yield f"{'way':>8}  {'inside':>22}  {'outside':>22}  {'blocked':>8}  {'at floor':>8}  lowest  fell  faults"
    for way, rows in made.items():
        yield (
            f"{way:>8}  {short(r.inside for r in rows):>22}  {short(r.outside for r in rows):>22}  "
            f"{interval(r.blocked for r in rows).mean:8.3f}  {interval(r.at_floor for r in rows).mean:8.3f}  "
            f"{sum(r.lowest for r in rows):6}  {sum(r.fell for r in rows):4}  {sum(r.faults for r in rows):6}"
        )
        for package in rows[0].packages:
            yield f"{'':>8}    {package}: {short(r.packages[package] for r in rows if package in r.packages)} inside"
        if "none" in made and way != "none":
            if first[0].bound_inside is not None:
                yield f"{'':>8}    distance to the bound closed inside: {short_of(closed(made, way))}"
            yield (
                f"{'':>8}    less none: inside {paired(rows, made['none'], 'inside')}, "
                f"outside {paired(rows, made['none'], 'outside')}"
            )
        for name in rows[0].peaks:
            ready = [r.peaks[name][0] for r in rows]
            back = [r.peaks[name][1] for r in rows if r.peaks[name][1] is not None]
            said = [f"{s:+.0f}" for s in sorted(x for x in ready if x is not None)]
            yield (
                f"{'':>8}    {name}: ready before its start by {' '.join(said) or '-'} s"
                f"{'' if len(said) == len(ready) else f', never in {len(ready) - len(said)}'}"
                + (f"; handed back {max(back):+.0f} s after its end at the latest" if back else "")
            )
    if first[0].bound_inside is not None:
        yield (
            f"   bound  {short(r.bound_inside for r in first):>22}  "
            f"{short(r.bound_outside for r in first if r.bound_outside is not None):>22}"
        )


def short(values):
    return short_of(interval(values))


def short_of(i):
    return f"{i.mean:.3f} +- {i.half:.3f}"


def paired(rows, others, field):
    i = interval(getattr(a, field) - getattr(b, field) for a, b in zip(rows, others))
    return f"{i.mean:+.4f} +- {i.half:.4f}"


def draw(play, file):
    """Room kept and free on the holders, worth, and rungs of what was announced, over the day."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    day, seconds = play.day, range(int(play.day.length_s))
    figure, (top, middle, low) = pyplot.subplots(3, 1, sharex=True, figsize=(10, 8))
    for p in day.peaks:
        top.plot(seconds, [play.seconds[s].kept.get(p.name, 0.0) / 1000 for s in seconds], label=f"kept for {p.name}")
        top.plot(
            seconds,
            [play.seconds[s].free.get(p.name, 0.0) / 1000 for s in seconds],
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
        [[sum(r.rungs[p, rung] for p in range(len(play.package_names))) for r in rows] for rung in rungs],
        labels=[f"rung {r}" for r in rungs],
    )
    low.set_ylabel("viewings by rung")
    low.set_xlabel("second")
    for axes in (top, middle, low):
        axes.legend(fontsize=8, loc="upper left")
        for p in day.peaks:
            axes.axvspan(p.start_s, p.end_s, alpha=0.12, color="C7")
    figure.tight_layout()
    figure.savefig(file, dpi=110)
    pyplot.close(figure)
