"""Measures the front on loopback: added time, saturation against a bare relay, cost by the size of the list.

    python -m bench.front added | saturate | sizes [--seconds N] [--runs N]

All boxes are stand-ins. Figures are those of this machine; the size is printed with them. Not part of CI.
"""

import asyncio
import json
import os
import pathlib
import platform
import statistics
import sys
import tempfile

import click

from flaxscale.cli import service
from flaxscale.lab.processes import Process

ROOT = pathlib.Path(__file__).parents[1]
# Twelve boxes with room for all, as part of a day's text that is still to be formatted.
ROOMY = """boxes: [{ cell: n %% 6, kind: 'large', zone: day.site.zones[n %% 3], weight: 25, link_kb: 150000 }
          for n in std.range(0, 11)]"""


def site(boxes, managers=1):
    """Room for all: what is measured is the program, not a shortage."""
    return {
        "name": "bench",
        "managers": managers,
        "packages": {"clip": {"join_target_ms": 1500, "patience_ms": 5000, "value": 1}},
        "ladder": {"kb": [200, 400, 800, 1600], "worth": [0.3, 0.5, 0.8, 1]},
        "fleet": {
            "cells": boxes,
            "racks": max(1, boxes // 10),
            "kinds": {"std": 50_000},
            "kb_per_weight": 1e9,
            "uplink_kb": 1e10,
            "note_every_ms": 3000,
        },
        "rules": {
            "drain_grace_ms": 1000,
            "warm_within_ms": 100,
            "start_capacity": 0.4,
            "tip_multiple": 3,
            "fall_ms": 1000,
        },
        "titles": {f"t{n}": {"first_cell": n % boxes, "cells": 5, "view": "clip"} for n in range(200)},
    }


class Bench:
    """A list, boxes in several processes, and a front or a relay."""

    def __init__(self, boxes, processes=3, work_ms=0.0):
        self.boxes, self.processes, self.work_ms, self.started = boxes, processes, work_ms, []
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name)
        (self.path / "site.json").write_text(json.dumps(site(boxes)))

    async def __aenter__(self):
        file = str(self.path / "site.json")
        listed = await Process(["boxlist", file, "--ready"], self.path / "list.log").start()
        self.started.append(listed)
        self.list = "%s:%d" % listed.address
        share = -(-self.boxes // self.processes)
        for first in range(0, self.boxes, share):
            count = min(share, self.boxes - first)
            self.started.append(
                await Process(
                    [
                        "box",
                        file,
                        "--id",
                        str(first + 1),
                        "--cell",
                        str(first),
                        "--count",
                        str(count),
                        "--list",
                        self.list,
                        "--up-ms",
                        "99999999",
                        "--work-ms",
                        str(self.work_ms),
                        "--record",
                        str(self.path / f"box-{first}.jsonl"),
                        "--ready",
                    ],
                    self.path / f"box-{first}.log",
                ).start()
            )
        return self

    async def __aexit__(self, *_):
        for process in reversed(self.started):
            await process.stop()
        self.folder.cleanup()

    async def front(self, level="warning"):
        args = [
            "front",
            str(self.path / "site.json"),
            "--list",
            self.list,
            "--port",
            "0",
            "--seed",
            "1",
            "--log-level",
            level,
            "--log-file",
            str(self.path / "front.jsonl"),
            "--ready",
        ]
        front = await Process(args, self.path / "front.log").start()
        self.started.append(front)
        await self.listed(front)
        return front

    async def listed(self, front):
        """Until the front's own view names every box."""
        from flaxscale.serve.pool import Pool

        pool = Pool(1.0)
        for _ in range(200):
            came = asyncio.get_running_loop().create_future()
            pool.send(*front.address, "GET", "/state", [], b"", came.set_result)
            if len(json.loads((await came).body)["boxes"]) == self.boxes:
                break
            await asyncio.sleep(0.05)
        else:
            raise RuntimeError("the front did not hear of all boxes")
        await pool.close()
        await asyncio.sleep(0.3)  # past the warm-up that a new manager assumes

    async def relay(self, gather=0.0):
        return await self.python("relay.log", "-m", "bench.relay", self.list, str(self.path / "site.json"), str(gather))

    async def python(self, log, *args):
        """A program that is not one of the command's, but says its address as they do."""
        made = Process([], self.path / log)
        with open(made.log, "ab") as err:
            made.child = await asyncio.create_subprocess_exec(
                sys.executable,
                *args,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=err,
                cwd=ROOT,
            )
        row = json.loads(await made.child.stdout.readline())
        made.address = row["host"], row["port"]
        self.started.append(made)
        return made

    async def load(self, target, generators=3, **how):
        """Runs generators against a program; their results, and the processor time that the program used."""
        before, began = cpu(target.child.pid), asyncio.get_running_loop().time()
        children = [
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bench.load",
                json.dumps(
                    {
                        "host": target.address[0],
                        "port": target.address[1],
                        "titles": [f"t{n}" for n in range(200)],
                        "seed": seed + 1,
                        **how,
                    }
                ),
                stdout=asyncio.subprocess.PIPE,
                cwd=ROOT,
            )
            for seed in range(generators)
        ]
        outs = [json.loads((await child.communicate())[0]) for child in children]
        used = cpu(target.child.pid) - before
        return outs, used, asyncio.get_running_loop().time() - began


async def rounds(bench, targets, runs, seconds, *generators, **how):
    """Loads each target in turn, in another order each round: (name, outs, set-ups made, us of processor each)."""
    names = tuple(targets)
    for n in range(runs):
        for name in names[n % len(names) :] + names[: n % len(names)]:
            outs, used, _ = await bench.load(targets[name], *generators, seconds=seconds, **how)
            good = sum(o["statuses"].get("201", 0) for o in outs)
            yield name, outs, good, used / max(1, good) * 1e6


def cpu(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def quantile(values, q):
    values = sorted(values)
    return values[min(len(values) - 1, int(q * len(values)))]


def spread(values, digits=0):
    return f"{statistics.median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def machine():
    click.echo(f"machine: {os.cpu_count()} cores, Python {platform.python_version()}, loopback, stand-in boxes")


@click.group()
def main():
    """Measure the front."""


@main.command()
@click.option("--seconds", default=20.0)
@click.option("--rate", default=40.0)
@click.option("--boxes", default=40)
@click.option("--runs", default=3)
def added(seconds, rate, boxes, runs):
    """Time from request to answer, less the slot's wait and the box's own time."""

    async def one():
        async with Bench(boxes, work_ms=15) as bench:
            front = await bench.front(level="info")
            outs, _, _ = await bench.load(front, 1, seconds=seconds, rate=rate, keep=2.0)
            waits, box, at = {}, {}, {}
            for line in (bench.path / "front.jsonl").read_text().splitlines():
                row = json.loads(line)
                if row["event"] == "answered":
                    waits[row["trace"]] = row["slot_wait"], row["tries"]
            for file in bench.path.glob("box-*.jsonl"):
                for line in file.read_text().splitlines():
                    row = json.loads(line)
                    if row["what"] == "setup":
                        at[row["key"]] = row["at"], row["trace"]
                    elif row["what"] == "answer" and row["key"] in at:
                        began, trace = at[row["key"]]
                        box[trace] = row["at"] - began
            out = outs[0]
            extra = [
                (after - waits[trace][0] - box[trace]) / 10
                for after, trace in zip(out["after"], out["traces"])
                if waits[trace][1] == 1
            ]
            return extra, out["statuses"]

    machine()
    p50, p99 = [], []
    for _ in range(runs):
        extra, statuses = service.run(one())
        p50.append(quantile(extra, 0.5))
        p99.append(quantile(extra, 0.99))
        click.echo(f"  {len(extra)} set-ups, statuses {statuses}: p50 {p50[-1]:.2f} ms, p99 {p99[-1]:.2f} ms")
    click.echo(
        f"added time at {rate:g} set-ups a second on {boxes} boxes, {runs} runs of {seconds:g} s: "
        f"p50 {spread(p50, 2)} ms, p99 {spread(p99, 2)} ms"
    )


@main.command()
@click.option("--seconds", default=8.0)
@click.option("--boxes", default=40)
@click.option("--runs", default=5)
@click.option("--at-once", default=64, help="Set-ups under way, for each of three generators.")
def saturate(seconds, boxes, runs, at_once):
    """Set-ups (each with its DELETE) a second of one process: the front and two bare relays in turn."""
    names = "front", "relay", "gathering relay"

    async def run():
        rates, costs = {name: [] for name in names}, {name: [] for name in names}
        async with Bench(boxes) as bench:
            targets = dict(zip(names, (await bench.front(), await bench.relay(), await bench.relay(0.05))))
            async for name, outs, good, cost in rounds(bench, targets, runs, seconds, at_once=at_once):
                bad = {k: v for o in outs for k, v in o["statuses"].items() if k != "201"}
                rates[name].append(good / seconds)
                costs[name].append(cost)
                click.echo(
                    f"  {name} {good / seconds:.0f}/s, {cost:.0f} us of processor each"
                    + (f", other statuses {bad}" if bad else "")
                )
        click.echo(f"saturation on {boxes} boxes, {runs} rounds of {seconds:g} s, 3 x {at_once} at once:")
        for name in names:
            ratios = [a / b for a, b in zip(rates["front"], rates[name])]
            click.echo(
                f"  {name}: {spread(rates[name])}/s, {spread(costs[name])} us; front / {name} {spread(ratios, 2)}"
            )

    machine()
    service.run(run())


@main.command()
@click.option("--seconds", default=8.0)
@click.option("--runs", default=3)
@click.option("--rate", default=300.0)
def sizes(seconds, runs, rate):
    """Processor time of a set-up with 30, 120 and 480 boxes on the list, at a rate that all can serve."""

    async def one(boxes):
        async with Bench(boxes, processes=4) as bench:
            front = await bench.front()
            outs, _, _ = await bench.load(front, 1, seconds=2.0, rate=rate, keep=0.5)
            outs, used, _ = await bench.load(front, 1, seconds=seconds, rate=rate, keep=0.5)
            return used / max(1, outs[0]["statuses"].get("201", 0)) * 1e6

    machine()
    found = {}
    for n in range(runs):
        for boxes in (30, 120, 480) if n % 2 == 0 else (480, 120, 30):
            found.setdefault(boxes, []).append(service.run(one(boxes)))
    for boxes, costs in sorted(found.items()):
        click.echo(
            f"{boxes} boxes: {spread(costs)} us of processor a set-up with its DELETE; "
            f"{statistics.median(costs) / statistics.median(found[30]):.2f} times 30 boxes"
        )


if __name__ == "__main__":
    main()
