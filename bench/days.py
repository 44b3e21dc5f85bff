"""Plays every example day on many seeds, several at a time, and prints which rules were kept, by day.

    python -m bench.days [DAY ...] --seeds 50 --jobs 4 --keep FOLDER

A play whose rules broke, or whose program failed, is kept whole in FOLDER; the others leave a line in results.jsonl
there. A run that was stopped goes on with the plays that have no line yet. Not part of CI: 50 seeds of all days take
about an hour with four at a time.
"""

import asyncio
import json
import pathlib
import shutil
import sys
from collections import Counter

import click

from bench.front import machine
from flaxscale.cli import service
from flaxscale.rules.check import check
from flaxscale.rules.duties import duties
from flaxscale.rules.promises import promises
from flaxscale.rules.records import RecordError

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
PLAYED = "*-day.jsonnet", "short-peak.jsonnet"  # the others are sites, questions, or days of the model alone


def example_days():
    return sorted(file for pattern in PLAYED for file in EXAMPLES.glob(pattern))


def seen_of(folder):
    """(all answers, those of packages with seats) by fate, from the players' and the boxes' records."""
    site = json.loads((folder / "day.json").read_text())["site"]
    bounded = {name for name, row in site["packages"].items() if row["seats"]}
    of = {t: row["view"] for t, row in site["titles"].items()}
    rows = [json.loads(line) for line in (folder / "clients.jsonl").read_text().splitlines()]
    seated = {r["n"] for r in rows if r["what"] == "asked" and not r["sends"] and of.get(r["title"]) in bounded}
    seen = [r for r in rows if r["what"] == "seen"]
    return Counter(r["fate"] for r in seen), Counter(r["fate"] for r in seen if r["n"] in seated)


async def play(file, seed, keep):
    """One play; the line kept of it."""
    folder = keep / f"{file.stem}-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    said = keep / f"{file.stem}-{seed}.log"
    with said.open("wb") as out:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flaxscale",
            "day",
            str(file),
            "--seed",
            str(seed),
            "--out",
            str(folder),
            stdout=out,
            stderr=out,
        )
        status = await child.wait()
    row = {"day": file.stem, "seed": seed, "status": status, "breaks": [], "requests": 0}
    try:
        verdict = check(folder)
        row |= {
            "breaks": [[b.rule, b.detail] for b in [*verdict.breaks, *promises(folder), *duties(folder)]],
            "requests": verdict.requests,
            "answered": verdict.answered,
        }
        row["seen"], row["seated"] = seen_of(folder)
    except RecordError as bad:
        row["breaks"] = [[0, str(bad)]]
    if status == 0 and not row["breaks"]:
        shutil.rmtree(folder)
        said.unlink()
    return row


def table(rows):
    """A line a day: how many plays kept all rules, and what broke in the others."""
    for day in sorted({r["day"] for r in rows}):
        mine = [r for r in rows if r["day"] == day]
        good = sum(r["status"] == 0 and not r["breaks"] for r in mine)
        seated = sum((Counter(r.get("seated", {})) for r in mine), Counter())
        asked = sum(seated.values())
        blocked = f"; of {asked} asked with seats {seated['blocked']} blocked" if asked else ""
        print(
            f"{day}: {good} of {len(mine)} plays keep 6 of 6 rules; {sum(r['requests'] for r in mine)} requests"
            f"{blocked}"
        )
        for r in mine:
            for rule, detail in r["breaks"][:3] or ([[0, f"status {r['status']}"]] if r["status"] else []):
                print(f"  seed {r['seed']}: rule {rule}: {detail}")


@click.command()
@click.argument("days", nargs=-1, type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--seeds", default=50, show_default=True)
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--jobs", default=4, show_default=True, help="Days played at a time.")
@click.option(
    "--keep", required=True, type=click.Path(path_type=pathlib.Path), help="Folder of results and broken plays."
)
def main(days, seeds, first, jobs, keep):
    """Play DAYS, all example days if none is named, on many seeds."""
    keep.mkdir(parents=True, exist_ok=True)
    results = keep / "results.jsonl"
    rows = [json.loads(line) for line in results.read_text().splitlines()] if results.exists() else []
    done = {(r["day"], r["seed"]) for r in rows}
    wanted = [
        (file, seed)
        for seed in range(first, first + seeds)
        for file in days or example_days()
        if (file.stem, seed) not in done
    ]

    async def run():
        limit = asyncio.Semaphore(jobs)

        async def one(file, seed):
            async with limit:
                row = await play(file, seed, keep)
            rows.append(row)
            with results.open("a") as out:
                out.write(json.dumps(row) + "\n")

        await asyncio.gather(*(one(file, seed) for file, seed in wanted))

    service.run(run())
    table(rows)
    machine()
    sys.exit(any(r["breaks"] or r["status"] for r in rows))


if __name__ == "__main__":
    main()
