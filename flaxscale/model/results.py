"""Results of a simulated day as a Parquet file and as a plot."""

import pathlib

import pyarrow
import pyarrow.parquet


def seconds_table(play):
    """One row per second and package: worth asked and earned, viewings by rung, and the events of that second."""
    rungs, rows = len(play.day.site.ladder.kb), []
    for second in range(int(play.day.length_s) + 3):
        row = play.seconds[second]
        for package, name in enumerate(play.package_names):
            rows.append(
                {
                    "second": second,
                    "package": name,
                    "asked": row.asked[package],
                    "earned": row.earned[package],
                    **{f"rung_{rung}": row.rungs[package, rung] for rung in range(rungs)},
                    "requests": row.requests,
                    **{
                        outcome: row.outcomes[outcome]
                        for outcome in ("plays", "late", "blocked", "aborted", "left", "unanswered")
                    },
                    "tune_ins": row.tune_ins["first"] + row.tune_ins["further"],
                    "further": row.tune_ins["further"],
                }
            )
    return pyarrow.Table.from_pylist(rows).replace_schema_metadata(
        {"site": play.day.site.name, "seed": str(play.seed), "shape": "1"}
    )


def write(play, folder):
    """Writes seconds.parquet to the folder; the same day and seed give the same bytes."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    pyarrow.parquet.write_table(seconds_table(play), folder / "seconds.parquet", compression="zstd")
    return folder / "seconds.parquet"


def draw(play, file):
    """Plots service, answers and viewings by rung per second, with the day's troubles as bars."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    day, seconds = play.day, range(int(play.day.length_s))
    figure, (top, middle, bottom) = pyplot.subplots(3, 1, sharex=True, figsize=(10, 8))
    for package, name in enumerate(play.package_names):
        share = [
            play.seconds[s].earned[package] / play.seconds[s].asked[package]
            if play.seconds[s].asked[package]
            else float("nan")
            for s in seconds
        ]
        if any(play.seconds[s].asked[package] for s in seconds):
            top.plot(seconds, share, label=name)
    top.set_ylabel("earned / asked")
    top.set_ylim(0, 1.05)
    top.legend(loc="lower left", fontsize=8)
    for outcome in ("plays", "blocked", "aborted", "late"):
        middle.plot(seconds, [play.seconds[s].outcomes[outcome] for s in seconds], label=outcome)
    middle.set_ylabel("answers a second")
    middle.legend(fontsize=8)
    rungs = len(day.site.ladder.kb)
    bottom.stackplot(
        seconds,
        [
            [sum(play.seconds[s].rungs[package, r] for package in range(len(play.package_names))) for s in seconds]
            for r in range(rungs)
        ],
        labels=[f"rung {r}" for r in range(rungs)],
    )
    bottom.set_ylabel("viewings by rung")
    bottom.set_xlabel("second")
    bottom.legend(loc="upper left", fontsize=8)
    for n, row in enumerate(day.troubles):
        top.axvspan(
            row.at_s,
            row.at_s + max(0.2, row.for_s),
            ymin=0.95 - 0.04 * (n % 8),
            ymax=0.98 - 0.04 * (n % 8),
            alpha=0.5,
            color=f"C{n % 10}",
        )
        top.text(row.at_s, 1.0 - 0.042 * (n % 8), row.what, fontsize=6)
    figure.tight_layout()
    figure.savefig(file, dpi=110)
    pyplot.close(figure)
