"""Measures work in hand through mass deaths: 1 of 5, 3 of 5 and 7 of 10 managers killed under 100 requests a second.

    python -m bench.inhand --seeds 20 --jobs 2 [--against CHECKOUT] [--only 3of5]

Each play is a day by processes; nine clients in ten ask again under their key. With --against the same days are played
by another checkout of the program as well, in turn, so that both meet the same machine. Not part of CI.
"""

import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
from collections import Counter, defaultdict

import click

from bench.front import ROOMY, machine
from flaxscale.cli import service

ROOT = pathlib.Path(__file__).parent.parent
CASES = {"1of5": (5, 1), "3of5": (5, 3), "7of10": (10, 7)}
DAY = (
    """local day = import '%s';
day {
  site+: { managers: %d, fleet+: { uplink_kb: 2e6, kinds: { small: 24, large: 200 } } },
  length_s: 13, settle_s: 2.5, lease_ms: 9000,
  """
    + ROOMY
    + """,
  groups: {}, work_ms: 40,
  demand+: { rate: 100, keyed: 0.9, back_s: [0.05, 0.3], play_s: [2.5, 4.5], pushes: [], tries: 6, returns: 1, leave: 0,
             titles: { ['tour-%%d' %% n]: 1 for n in std.range(1, 6) } },
  troubles: [{ at_s: 4, what: 'manager_crash', managers: std.range(0, %d), for_s: 6 }],
}
"""
)


async def play(checkout, case, seed):
    """What came of one play, as counts and times; None where the program failed."""
    managers, killed = CASES[case]
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        file = folder / "day.jsonnet"
        file.write_text(DAY % (checkout / "examples" / "loss-day.jsonnet", managers, killed - 1))
        child = await asyncio.create_subprocess_exec(
            str(checkout / ".venv/bin/python"),
            "-m",
            "flaxscale",
            "day",
            str(file),
            "--seed",
            str(seed),
            "--out",
            str(folder / "out"),
            cwd=checkout,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        said, _ = await child.communicate()
        if child.returncode not in (0, 3):
            print(said.decode()[-2000:], file=sys.stderr)
            return None
        return {**judged(folder / "out"), "status": child.returncode}


def rows_of(file):
    return [json.loads(line) for line in file.read_text().splitlines()]


def judged(out):
    clients, lab = rows_of(out / "clients.jsonl"), rows_of(out / "lab.jsonl")
    kills = {r["manager"]: r["at"] for r in lab if r["what"] == "kill" and "manager" in r}
    back = {r["manager"]: r["at"] for r in lab if r["what"] == "back"}
    asked = {r["n"]: r for r in clients if r["what"] == "asked"}
    seen = {r["n"]: r for r in clients if r["what"] == "seen"}
    groups, of_trace = defaultdict(list), {}
    for n, row in sorted(asked.items(), key=lambda item: item[1]["at"]):
        if row.get("key"):
            groups[row["key"]].append(n)
            of_trace[row["trace"]] = row["key"]
    waits, gave_up, met = [], 0, 0
    for tries in groups.values():
        dead = [
            n
            for n in tries
            if n in seen
            and seen[n]["fate"] in ("unreached", "broken", "gave_up")
            and (m := asked[n]["manager"]) in kills
            and seen[n]["at"] >= kills[m]
            and asked[n]["at"] <= back.get(m, 1e18)
        ]
        if not dead:
            continue
        met += 1
        plays = [seen[n]["at"] for n in tries if n in seen and seen[n]["fate"] == "plays"]
        if plays:
            waits.append((min(plays) - asked[tries[0]]["at"]) / 10)
        gave_up += any(seen[n]["fate"] == "gave_up" for n in dead)
    held = [r for r in clients if r["what"] == "held"]
    stands = defaultdict(list)
    for file in out.glob("box-*.jsonl"):
        box, over = rows_of(file), {}
        for r in box:
            if r["what"] == "over":
                over.setdefault(r["key"], r["at"])
        trace = {r["key"]: r["trace"] for r in box if r["what"] == "setup"}
        for r in box:
            if r["what"] == "answer" and r["status"] == 201 and trace[r["key"]] in of_trace:
                stands[of_trace[trace[r["key"]]]].append((r["at"], over.get(r["key"], 1 << 60)))
    twice = sum(any(two[0] < one[1] for one, two in zip(rows, rows[1:])) for rows in map(sorted, stands.values()))
    logs = "".join(file.read_text() for file in out.glob("front-*.log"))
    return {
        "requests": len(asked),
        "met a dead manager": met,
        "waited out the patience": gave_up,
        "answered lost": sum(not r["whole"] for r in held),
        "stood twice": twice,
        "joined": logs.count('"joined its first try"'),
        "barred": logs.count('"first try barred"'),
        "taken over": logs.count('"took over"'),
        "waits": waits,
    }


def line(name, rows):
    total, waits = Counter(), sorted(w for r in rows for w in r["waits"])
    for r in rows:
        total.update({k: v for k, v in r.items() if isinstance(v, int) and k != "status"})
    at = [f"{statistics.median(waits):.0f}", f"{waits[int(0.99 * len(waits))]:.0f}"] if waits else ["-", "-"]
    broken = sum(r["status"] != 0 for r in rows)
    counts = ", ".join(f"{key} {value}" for key, value in total.items())
    return (
        f"{name}: {len(rows)} plays ({broken} broke a rule); {counts}; "
        f"first answer of those hit p50 {at[0]} ms, p99 {at[1]} ms"
    )


@click.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--jobs", default=2, show_default=True)
@click.option("--against", default=None, type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--only", default=None, type=click.Choice(list(CASES)))
def main(seeds, jobs, against, only):
    """Play each case on many seeds and print a line a case and checkout."""
    checkouts = {"this": ROOT, **({"against": against.resolve()} if against else {})}

    async def run():
        limit, found = asyncio.Semaphore(jobs), defaultdict(list)

        async def one(case, seed, name):
            async with limit:
                if (row := await play(checkouts[name], case, seed)) is not None:
                    found[case, name].append(row)

        for case in [only] if only else CASES:
            await asyncio.gather(*(one(case, seed, name) for seed in range(1, seeds + 1) for name in checkouts))
            for name in checkouts:
                print(line(f"{case} {name}", found[case, name]), flush=True)

    service.run(run())
    machine()


if __name__ == "__main__":
    main()
