"""Measures a retry storm: all managers stand still for 10 s while clients go on asking, with and without limits.

    python -m bench.storm --seeds 3 [--rate 120]

By processes, on a day of the example's site: three managers, 12 boxes; clients without an answer ask again up to 8
times after 50 to 300 ms. Without limits: no gate and no hold-offs. Not part of CI.
"""

import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
from collections import Counter

import click

from bench.front import ROOMY, machine
from flaxscale.cli import service

ROOT = pathlib.Path(__file__).parent.parent
BEFORE_S, OUT_S, AFTER_S = 6, 10, 14
DAY = (
    """local day = import '%s';
day {
  site+: { managers: 3, fleet+: { uplink_kb: 2e6, kinds: { small: 40, large: 200 } },
           allowed+: { hold_off_most_ms: %d }, front+: { gate: %s } },
  length_s: %d, settle_s: 2.5, lease_ms: 20000, groups: {}, work_ms: 20,
  """
    + ROOMY
    + """,
  demand+: { rate: %g, keyed: 0, back_s: [0.05, 0.3], play_s: [1, 2], pushes: [], tries: 8, returns: 1, leave: 0,
             titles: { ['tour-%%d' %% n]: 1 for n in std.range(1, 6) } },
  troubles: [{ at_s: %d, what: 'manager_stall', managers: [0, 1, 2], for_s: %d }],
}
"""
)


async def play(seed, limits, rate):
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        (folder / "day.jsonnet").write_text(
            DAY
            % (
                ROOT / "examples" / "loss-day.jsonnet",
                2000 if limits else 0,
                "true" if limits else "false",
                BEFORE_S + OUT_S + AFTER_S,
                rate,
                BEFORE_S,
                OUT_S,
            )
        )
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flaxscale",
            "day",
            str(folder / "day.jsonnet"),
            "--seed",
            str(seed),
            "--out",
            str(folder / "out"),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        said, _ = await child.communicate()
        if child.returncode not in (0, 3):
            raise SystemExit(said.decode()[-2000:])
        rows = [json.loads(line) for line in (folder / "out" / "clients.jsonl").read_text().splitlines()]
        lab = [json.loads(line) for line in (folder / "out" / "lab.jsonl").read_text().splitlines()]
    back = max(r["at"] for r in lab if r["what"] == "go_on")
    stall = min(r["at"] for r in lab if r["what"] == "stall")
    plays = [r["at"] for r in rows if r["what"] == "seen" and r["fate"] == "plays"]
    good = Counter((at - back) // 2_500 for at in plays)
    asked = Counter((r["at"] - back) // 10_000 for r in rows if r["what"] == "asked")
    usual = sum(stall - 40_000 <= at < stall for at in plays) / 16
    normal = next((n for n in range(4 * AFTER_S - 8) if all(good[n + k] >= 0.9 * usual for k in range(4))), None)
    return {
        "broke": child.returncode,
        "to_normal": None if normal is None else normal / 4,
        "usual": usual * 4,
        "asked_most": max(n for at, n in asked.items() if at >= 0),
        "first_2s": sum(good[n] for n in range(8)) / 2,
    }


@click.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--rate", default=120.0, show_default=True)
def main(seeds, rate):
    """Play it with and without limits, in turn, and print a line a kind."""
    found = {True: [], False: []}
    for seed in range(1, seeds + 1):
        for limits in found:
            found[limits].append(service.run(play(seed, limits, rate)))
    for limits, rows in found.items():
        normal = [r["to_normal"] for r in rows if r["to_normal"] is not None]
        never = len(rows) - len(normal)
        mean = {key: statistics.mean(r[key] for r in rows) for key in ("usual", "first_2s")}
        middle = statistics.median(normal) if normal else float("nan")
        print(
            f"{'limits' if limits else 'none'}: {rate:g} new a second, {mean['usual']:.0f} played before; nine "
            f"tenths of that again after {middle:.1f} s (never within {AFTER_S} s: {never} of {len(rows)}), "
            f"{mean['first_2s']:.0f} a second in the first 2 s; asked at most {max(r['asked_most'] for r in rows)} "
            f"in a second; broke a rule {sum(r['broke'] != 0 for r in rows)}",
            flush=True,
        )
    machine()


if __name__ == "__main__":
    main()
