"""Measures the live catalogue on loopback: change to effect, a large catalogue, and plans as played.

    python -m bench.catalogue effect | large | plans [...]

All boxes are stand-ins. Figures are those of this machine; the size is printed with them. Not part of CI.
"""

import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
import time

import click
import msgspec

from bench.front import Bench, cpu, machine, quantile, site, spread
from flaxscale.catalogue.files import write_parquet
from flaxscale.catalogue.plan import BoxCapacity, PlanRequest, carried_value, plan, proportional_copies
from flaxscale.catalogue.state import HOLDING, Put, Title
from flaxscale.catalogued.client import Client
from flaxscale.cli import service
from flaxscale.lab.day import DayRun
from flaxscale.lab.processes import Process
from flaxscale.lab.service import service_of
from flaxscale.lab.shapes import ChangesRow, Day, read_day
from flaxscale.serve.clock import now


class Quiet:
    """A log for days played here."""

    def info(self, *_, **__):
        pass

    warning = error = info


def rss_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def serve(path, name="catalogue"):
    return await Process(
        [
            "catalogue",
            "serve",
            str(path / "site.json"),
            "--store",
            str(path / name),
            "--port",
            "0",
            "--log-level",
            "warning",
            "--ready",
        ],
        path / f"{name}.log",
    ).start()


def rows_of(file, event):
    return [r for r in map(json.loads, file.read_text().splitlines()) if r["event"] == event]


@click.group()
def main():
    """Measure the catalogue."""


@main.command()
@click.option("--managers", default=20)
@click.option("--changes", default=300)
@click.option("--rate", default=20.0)
def effect(managers, changes, rate):
    """From the acknowledged change to the last manager whose module has it."""

    async def run():
        with tempfile.TemporaryDirectory() as folder:
            path, started = pathlib.Path(folder), []
            (path / "site.json").write_text(json.dumps(site(10, managers)))
            try:
                started.append(await Process(["boxlist", str(path / "site.json"), "--ready"], path / "l.log").start())
                started.append(served := await serve(path))
                at = "%s:%d" % served.address
                for m in range(managers):
                    started.append(
                        await Process(
                            [
                                "front",
                                str(path / "site.json"),
                                "--me",
                                str(m),
                                "--list",
                                "%s:%d" % started[0].address,
                                "--catalogue",
                                at,
                                "--port",
                                "0",
                                "--state",
                                str(path / "state"),
                                "--log-file",
                                str(path / f"m{m}.jsonl"),
                                "--ready",
                            ],
                            path / f"m{m}.log",
                        ).start()
                    )
                acked, took = {}, []
                async with Client(at) as client:
                    for n in range(changes):
                        began = now()
                        reply = await client.change(
                            [Put(f"t{n % 50}", "clip", low=n // 50 % 2, holders={str(n % 9 + 1): HOLDING})]
                        )
                        acked[reply.version] = now()
                        took.append((acked[reply.version] - began) / 10)
                        await asyncio.sleep(1 / rate)
                await asyncio.sleep(1.0)
                late = []
                per = [
                    {r["version"]: r["mono"] for r in rows_of(path / f"m{m}.jsonl", "catalogue")}
                    for m in range(managers)
                ]
                for version, at_ in acked.items():
                    if all(version in seen for seen in per):
                        late.append(max(0, max(seen[version] for seen in per) - at_) / 10)
                click.echo(
                    f"change to effect, {managers} managers, {len(late)} of {changes} changes at {rate:g} a "
                    f"second: p50 {quantile(late, 0.5):.1f} ms, p99 {quantile(late, 0.99):.1f} ms, most "
                    f"{max(late):.1f} ms after the acknowledgement, which "
                    f"itself took p50 {quantile(took, 0.5):.1f} ms, "
                    f"p99 {quantile(took, 0.99):.1f} ms"
                )
            finally:
                await asyncio.gather(*(p.stop() for p in reversed(started)))

    machine()
    service.run(run())


def many(count, boxes):
    """Titles for a large catalogue; the first 200 are those that the load asks for."""
    return [
        Title(
            f"t{n}", "clip", None, 0, 3, ("H264",), (), tuple(sorted(((n + j) % boxes + 1, HOLDING) for j in range(5)))
        )
        for n in range(count)
    ]


@main.command()
@click.option("--titles", default=200_000)
@click.option("--boxes", default=500)
@click.option("--runs", default=3)
@click.option("--seconds", default=6.0)
@click.option("--rate", default=200.0)
def large(titles, boxes, runs, seconds, rate):
    """A large catalogue against one of 200 titles: load, memory, a change of 1,000 titles, cost of a set-up."""

    async def run():
        async with Bench(boxes, processes=4) as bench:
            path, costs = bench.path, {}
            fronts = {}
            for count in (200, titles):
                write_parquet(path / f"{count}.parquet", many(count, boxes))
                served = await serve(path, f"store{count}")
                bench.started.append(served)
                at = "%s:%d" % served.address
                began = time.monotonic()
                put = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "flaxscale",
                    "catalogue",
                    "put",
                    str(path / f"{count}.parquet"),
                    "--at",
                    at,
                    stdout=asyncio.subprocess.DEVNULL,
                )
                await put.wait()
                put_s = time.monotonic() - began
                log = path / f"front{count}.jsonl"
                front = await Process(
                    [
                        "front",
                        str(path / "site.json"),
                        "--list",
                        bench.list,
                        "--catalogue",
                        at,
                        "--port",
                        "0",
                        "--seed",
                        "1",
                        "--log-file",
                        str(log),
                        "--state",
                        str(path / f"state{count}"),
                        "--ready",
                    ],
                    path / f"front{count}.log",
                ).start()
                bench.started.append(front)
                await bench.listed(front)
                while not rows_of(log, "catalogue"):
                    await asyncio.sleep(0.05)
                loaded = (rows_of(log, "catalogue")[0]["mono"] - rows_of(log, "serves")[0]["mono"]) / 10_000
                await asyncio.sleep(5.0)  # its copy on disk is written meanwhile
                async with Client(at) as client:
                    ops = [
                        Put(t.name, "clip", low=1, holders={str(b): s for b, s in t.holders})
                        for t in many(count, boxes)[-1000:]
                    ]
                    began = now()
                    reply = await client.change(ops)
                    acked = (now() - began) / 10
                while reply.version not in {r["version"] for r in rows_of(log, "catalogue")}:
                    await asyncio.sleep(0.02)
                taken = {r["version"]: r["mono"] for r in rows_of(log, "catalogue")}
                effect_ms = (taken[reply.version] - began) / 10
                click.echo(
                    f"  {count} titles: put in {put_s:.1f} s; the manager had them {loaded:.2f} s after it "
                    f"served, memory {rss_mb(front.child.pid):.0f} MB; {len(ops)} titles changed: acknowledged "
                    f"in {acked:.0f} ms, in effect after {effect_ms:.0f} ms"
                )
                await front.stop()
                began = time.monotonic()
                front = await Process(
                    [
                        "front",
                        str(path / "site.json"),
                        "--list",
                        bench.list,
                        "--catalogue",
                        at,
                        "--port",
                        "0",
                        "--seed",
                        "1",
                        "--log-level",
                        "warning",
                        "--state",
                        str(path / f"state{count}"),
                        "--ready",
                    ],
                    path / f"front{count}b.log",
                ).start()
                click.echo(
                    f"  {count} titles: started from its own copy in {time.monotonic() - began:.2f} s, "
                    f"memory {rss_mb(front.child.pid):.0f} MB"
                )
                bench.started.append(front)
                await bench.listed(front)
                fronts[count] = front
            for n in range(runs):
                for count in (200, titles) if n % 2 == 0 else (titles, 200):
                    before = cpu(fronts[count].child.pid)
                    outs, _, _ = await bench.load(fronts[count], 1, seconds=seconds, rate=rate, keep=0.5)
                    good = outs[0]["statuses"].get("201", 0)
                    costs.setdefault(count, []).append((cpu(fronts[count].child.pid) - before) / max(1, good) * 1e6)
            ratios = [a / b for a, b in zip(costs[titles], costs[200])]
            click.echo(
                f"cost of a set-up with its DELETE on {boxes} boxes: 200 titles {spread(costs[200])} us, "
                f"{titles} titles {spread(costs[titles])} us, ratio {spread(ratios, 2)}"
            )

    machine()
    service.run(run())


DEMANDS = {"steep": 1.4, "usual": 0.9, "flat": 0.3}


def day_of(exponent):
    """A day without troubles whose demand is Zipf of this exponent over the site's titles to watch."""
    day = read_day("examples/bad-day.jsonnet")
    watched = sorted(t for t, row in day.site.titles.items() if row.view)
    demand = msgspec.structs.replace(
        day.demand,
        rate=9.0,
        pushes=[],
        leave=0.0,
        play_s=[5.0, 9.0],
        titles={t: 1.0 / (n + 1) ** exponent for n, t in enumerate(watched)},
    )
    return msgspec.convert(
        msgspec.to_builtins(msgspec.structs.replace(day, troubles=[], length_s=14.0, demand=demand, catalogue=None)),
        Day,
    )


def question_of(day):
    """What the planner is asked about a day: mean kB a second of each title at the top rungs."""
    site_, length = day.site, sum(day.demand.play_s) / 2
    total = sum(day.demand.titles.values())
    demand, value = {}, {}
    for t, weight in day.demand.titles.items():
        package = site_.packages[site_.titles[t].view]
        kb = site_.ladder.kb[min(package.top, len(site_.ladder.kb) - 1)] * package.scale
        demand[t] = day.demand.rate * weight / total * length * kb
        value[t] = package.value / package.scale
    boxes = tuple(BoxCapacity(n, b.link_kb, b.cell % site_.fleet.racks, 9) for n, b in enumerate(day.boxes))
    return PlanRequest(boxes, {r: site_.fleet.uplink_kb for r in range(site_.fleet.racks)}, demand, value, 20, 3)


@main.command()
@click.option("--runs", default=3)
def plans(runs):
    """Holders as they are, proportional copies and the plan: what can be carried, and service as played on sockets."""

    async def play(day, holders, seed, folder):
        made = msgspec.structs.replace(day, holders={t: sorted(b) for t, b in holders.items()}, catalogue=ChangesRow())
        await DayRun(made, seed, folder, Quiet()).run()
        return service_of(folder, day.site)

    machine()
    for name, exponent in DEMANDS.items():
        day = day_of(exponent)
        q = question_of(day)
        # Three copies of each, as a fleet has them that was filled without a look at the demand.
        now_held = {
            t: {(i * 5 + j * 4 + 1) % len(day.boxes) for j in range(3)} for i, t in enumerate(sorted(day.demand.titles))
        }
        found = plan(q, now_held, 15)
        planned = {
            t: (now_held[t] | {b for x, b in found.add if x == t}) - {b for x, b in found.drop if x == t}
            for t in now_held
        }
        ways = {"as they are": now_held, "proportional": proportional_copies(q, now_held), "plan": planned}
        results = {way: [] for way in ways}

        async def together(seed):
            """The three at the same time, so that what the machine does besides hits all alike."""
            with tempfile.TemporaryDirectory() as folder:
                return await asyncio.gather(
                    *(play(day, holders, seed, f"{folder}/{n}") for n, holders in enumerate(ways.values()))
                )

        for seed in range(1, runs + 1):
            for way, figure in zip(ways, service.run(together(seed))):
                results[way].append(figure)
        for way, holders in ways.items():
            base, surge = carried_value(q, holders)
            copies = sum(len(b) for b in holders.values())
            click.echo(
                f"  {name} demand, {way}: {copies} copies, can carry {base:.3f} (surge {surge:.3f}); service "
                f"played {spread(results[way], 3)}, difference to as they are "
                f"{statistics.mean(a - b for a, b in zip(results[way], results['as they are'])):+.3f}"
            )


if __name__ == "__main__":
    main()
