"""Measures what the deaths of managers cost: goodput under overload, ends that were owed, and the normal path.

    python -m bench.deaths goodput [--seeds N]      three of ten managers killed at 1, 2 and 5 times capacity
    python -m bench.deaths owed [--seeds N]         ends owed to boxes that hang, by managers that are killed then
    python -m bench.deaths normal --against CHECKOUT [--rounds N]       an undisturbed fleet beside an earlier one

By processes, on days of the examples' site; figures come from the records of clients and boxes. Not part of CI.
"""

import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
from collections import Counter

import click

from bench.front import ROOMY, cpu, machine, quantile, spread
from bench.inhand import rows_of
from flaxscale.chance import uniform_from_bytes
from flaxscale.cli import service
from flaxscale.lab.players import Player, Wish, trace_of
from flaxscale.lab.records import Recorder
from flaxscale.site.load import evaluate_jsonnet

ROOT = pathlib.Path(__file__).parent.parent
SLOTS, PLAY_S, KILL_S, LENGTH_S, AWAY_S = 8, 2.0, 6, 18, 6
CAPACITY = 12 * SLOTS / PLAY_S  # viewings a second that 12 boxes can play
# Begins a day's fleet by the lab of the checkout that it is run in, says where its managers are, and waits.
HOLDS = """import asyncio, json, sys
from flaxscale.cli import logs
from flaxscale.lab.day import DayRun
from flaxscale.lab.shapes import read_day
async def main():
    run = DayRun(read_day(sys.argv[1]), 1, sys.argv[2], logs.logger("error", None))
    await run.begin()
    print(json.dumps([[list(p.address), p.child.pid] for p in run.fronts.values()]), flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    await run.finish()
asyncio.run(main())
"""
CROWDED = (
    """local day = import '%s';
day {
  site+: { managers: 10, fleet+: { uplink_kb: 2e6, kinds: { small: 8, large: %d } } },
  length_s: %d, settle_s: 2.5, lease_ms: 9000, groups: {}, work_ms: 20,
  """
    + ROOMY
    + """,
  demand+: { rate: %g, keyed: 0.5, back_s: [0.2, 0.8], play_s: [1.5, 2.5], pushes: [], tries: 3, returns: 1, leave: 0,
             titles: { ['tour-%%d' %% n]: 1 for n in std.range(1, 6) } },
  troubles: [{ at_s: %d, what: 'manager_crash', managers: [0, 1, 2], for_s: %d }],
}
"""
)
OWED = (
    """local day = import '%s';
day {
  site+: { fleet+: { uplink_kb: 2e6, kinds: { small: 40, large: 200 } } },
  length_s: 14, settle_s: 2.5, lease_ms: 12000, groups: {},
  """
    + ROOMY
    + """,
  demand+: { rate: 40, keyed: 0, play_s: [1, 3], pushes: [], leave: 0,
             titles: { ['tour-%%d' %% n]: 1 for n in std.range(1, 6) } },
  troubles: [{ at_s: 4, what: 'hang', boxes: [0, 2, 4, 6], for_s: 3 },
             { at_s: 5.5, what: 'manager_crash', managers: [0, 1], for_s: 7 }],
}
"""
)


async def played(text, seed, read):
    """read(folder of the records) of one play of a day."""
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        (folder / "day.jsonnet").write_text(text)
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
        return {"broke": child.returncode != 0, **read(folder / "out")}


@click.group()
def main():
    """Measure what deaths of managers cost."""


def plays_by_span(out):
    clients, lab = rows_of(out / "clients.jsonl"), rows_of(out / "lab.jsonl")
    killed = min(r["at"] for r in lab if r["what"] == "kill")
    plays = [(r["at"] - killed) / 10_000 for r in clients if r["what"] == "seen" and r["fate"] == "plays"]
    asked = Counter((r["at"] - killed) // 10_000 for r in clients if r["what"] == "asked")
    spans = {"before": (-3.5, 0.0), "dead": (0.5, AWAY_S), "back": (AWAY_S + 1.5, LENGTH_S - KILL_S)}
    return {
        **{name: sum(a <= at < b for at in plays) / (b - a) for name, (a, b) in spans.items()},
        "asked": max(asked.values()),
    }


@main.command()
@click.option("--seeds", default=3, show_default=True)
def goodput(seeds):
    """Viewings that begin a second, before, while three of ten managers are dead, and once they are back."""
    for times in (1, 2, 5):
        rows = [
            service.run(
                played(
                    CROWDED
                    % (ROOT / "examples" / "loss-day.jsonnet", SLOTS, LENGTH_S, times * CAPACITY, KILL_S, AWAY_S),
                    seed,
                    plays_by_span,
                )
            )
            for seed in range(1, seeds + 1)
        ]
        told = ", ".join(f"{name} {statistics.mean(r[name] for r in rows):.0f}" for name in ("before", "dead", "back"))
        print(
            f"{times} times {CAPACITY:g} a second: {told}; asked at most {max(r['asked'] for r in rows)} in a "
            f"second; broke a rule {sum(r['broke'] for r in rows)} of {len(rows)}",
            flush=True,
        )
    machine()


def owed_by_dead(out):
    """Sessions at a hanging box whose client ended them (DELETE answered) before their manager was killed."""
    clients, lab = rows_of(out / "clients.jsonl"), rows_of(out / "lab.jsonl")
    kills = {r["manager"]: r["at"] for r in lab if r["what"] == "kill"}
    hang = next(r for r in lab if r["what"] == "trouble" and r["name"] == "hang")
    free_at = hang["at"] + round(hang["for_s"] * 10_000)
    deleted = {r["trace"]: r["at"] for r in clients if r["what"] == "deleted"}
    late, never, ordered = [], 0, 0
    for file in out.glob("box-*.jsonl"):
        rows, keys, over, told = rows_of(file), {}, {}, set()
        for r in rows:
            if r["what"] == "setup":
                keys[r["key"]] = r["trace"], r["manager"]
            elif r["what"] == "over":
                over.setdefault(r["key"], r["at"])
            elif r["what"] == "ordered":
                for key in r["ends"]:
                    over.setdefault(key, r["at"])
                    told.add(key)
        for key, (trace, manager) in keys.items():
            ended = deleted.get(trace)
            if manager not in kills or ended is None or not hang["at"] <= ended < kills[manager]:
                continue
            if over.get(key, 1 << 62) < kills[manager]:
                continue  # its box was told, or heard of its media's end, while its manager lived
            if key in over:
                late.append((over[key] - max(kills[manager], free_at)) / 10_000)
                ordered += key in told
            else:
                never += 1
    return {"late": late, "never": never, "ordered": ordered}


@main.command()
@click.option("--seeds", default=5, show_default=True)
def owed(seeds):
    """How late what a killed manager owed to hanging boxes is ended, from its death or the box's return on."""
    rows = [
        service.run(played(OWED % (ROOT / "examples" / "loss-day.jsonnet"), seed, owed_by_dead))
        for seed in range(1, seeds + 1)
    ]
    late = [max(0.0, s) for r in rows for s in r["late"]]
    told = f"p50 {quantile(late, 0.5):.2f} s, p99 {quantile(late, 0.99):.2f}, at most {max(late):.2f}" if late else "-"
    print(
        f"{len(rows)} plays ({sum(r['broke'] for r in rows)} broke a rule): {len(late)} ends owed by the dead, "
        f"carried out after {told} ({sum(r['ordered'] for r in rows)} by another's order, the others by their box); "
        f"never {sum(r['never'] for r in rows)}"
    )
    machine()


@main.command()
@click.option("--against", required=True, type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--rounds", default=6, show_default=True)
@click.option("--seconds", default=6.0, show_default=True)
@click.option("--rate", default=100.0, show_default=True)
def normal(against, rounds, seconds, rate):
    """Two undisturbed fleets of five managers, one of each checkout, loaded in turn: added time and processor."""

    async def fleet(name, checkout, folder):
        """A fleet of a checkout's own programs, begun by its own lab: (the program that holds it, its managers)."""
        file = folder / f"{name}.jsonnet"
        file.write_text(
            "local day = import '%s'; day { troubles: [], work_ms: 2, length_s: 60, lease_ms: 60000, "
            "site+: { fleet+: { uplink_kb: 2e6, kinds: { small: 40, large: 200 } } }, boxes: [ b { "
            "weight: 25, link_kb: 150000 } for b in day.boxes ] }" % (checkout / "examples" / "handover-day.jsonnet")
        )
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            HOLDS,
            str(file),
            str(folder / name),
            cwd=checkout,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        return child, json.loads(await child.stdout.readline())

    async def load(run, first):
        """Set-ups with and without a key in turn, each ended at once: {keyed: [ms]}, us of processor each."""
        (_, fronts), took, tasks = run, {True: [], False: []}, []
        used = sum(cpu(pid) for _, pid in fronts)

        async def one(n):
            m, keyed = n % len(fronts), n // len(fronts) % 2 == 1
            wish = Wish(
                n, f"tour-{n % 6 + 1}", False, f"v{n}", 3.0, 1.0, None, 0, f"k{n}" if keyed else None, trace_of(1, n)
            )
            got = await player.ask(fronts[m][0], f"m{m}", wish)
            if got.fate == "plays":
                took[keyed].append(got.after / 10)
                await player.end(fronts[m][0], got.location)

        loop = asyncio.get_running_loop()
        began = loop.time()
        for n in range(round(seconds * rate)):
            # Not in step with the managers' slots, which would make one fleet's round all early and another's all late.
            await asyncio.sleep(max(0.0, began + (n + 5 * uniform_from_bytes(b"normal:%d" % n)) / rate - loop.time()))
            tasks.append(asyncio.ensure_future(one(first + n)))
        await asyncio.gather(*tasks)
        used = sum(cpu(pid) for _, pid in fronts) - used
        return took, used / max(1, len(took[True]) + len(took[False])) * 1e6

    token = json.loads(evaluate_jsonnet(str(ROOT / "examples" / "boats.jsonnet")))["front"]["tokens"][0]
    player = Player(Recorder(), token)

    async def both(folder):
        runs = {"this": await fleet("this", ROOT, folder), "against": await fleet("against", against.resolve(), folder)}
        await asyncio.sleep(2.0)
        found, n = {name: [] for name in runs}, 0
        for k in range(rounds):
            for name in sorted(runs, reverse=bool(k % 2)):
                found[name].append(await load(runs[name], n))
                n += round(seconds * rate)
        for child, _ in runs.values():
            await child.communicate(b"end\n")
        for name, rows in found.items():
            for keyed in (False, True):
                p50, p99 = ([quantile(took[keyed], q) for took, _ in rows] for q in (0.5, 0.99))
                print(f"{name}, {'with a key' if keyed else 'without'}: p50 {spread(p50, 1)} ms, p99 {spread(p99, 1)}")
            print(f"{name}: {spread([us for _, us in rows])} us of processor a set-up, all five managers")
        ratio = [a[1] / b[1] for a, b in zip(found["this"], found["against"])]
        print(f"processor a set-up, this to against, by round: {spread(ratio, 2)}")
        machine()

    with tempfile.TemporaryDirectory() as folder:
        service.run(both(pathlib.Path(folder)))


if __name__ == "__main__":
    main()
