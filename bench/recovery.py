"""Measures recovery: take-over after a kill, a rolling restart under load, detection times.

    python -m bench.recovery kill | restart | mass | detect [...]

Boxes are stand-ins on loopback; detect is in virtual time. Figures are those of this machine. Not part of CI.
"""

import asyncio
import json
import pathlib
import statistics
import tempfile

import click

from bench.front import Bench, machine
from flaxscale.cli import service
from flaxscale.lab.players import Player, Wish, trace_of
from flaxscale.lab.processes import Process, talk_args
from flaxscale.lab.records import Recorder
from flaxscale.members.swim import PERIOD
from flaxscale.model.loss import loss
from flaxscale.model.members import detection
from flaxscale.serve.clock import now


def site(managers, members):
    return {
        "name": "recovery",
        "managers": managers,
        "packages": {"clip": {"join_target_ms": 1000, "patience_ms": 3000, "value": 1}},
        "ladder": {"kb": [100, 200, 400], "worth": [0.3, 0.6, 1]},
        "fleet": {
            "cells": 12,
            "racks": 3,
            "kinds": {"std": 400},
            "kb_per_weight": 1e6,
            "uplink_kb": 1e8,
            "note_lag_ms": 200,
            "note_every_ms": 1000,
        },
        "rules": {
            "drain_grace_ms": 500,
            "warm_within_ms": 100,
            "start_capacity": 0.4,
            "tip_multiple": 3,
            "fall_ms": 500,
        },
        "allowed": {"tune_ins": 4, "hold_off_most_ms": 400, "peers": members},
        "prices": {"peer": 1000},
        "front": {"member_keys": ["bench"]},
        "titles": {"one": {"first_cell": 0, "cells": 12, "view": "clip"}},
    }


class Fleet:
    """List, boxes in one process, managers; and players that hold their media open."""

    def __init__(self, folder, managers, members, lease_ms=6000, work_ms=2.0):
        self.path, self.managers, self.members, self.lease = pathlib.Path(folder), managers, members, lease_ms
        self.work_ms = work_ms
        self.fronts, self.held = {}, {}
        self.player = Player(Recorder(), others=lambda: {f"m{m}": p.address for m, p in self.fronts.items()})

    async def start(self):
        (self.path / "site.json").write_text(json.dumps(site(self.managers, self.members)))
        name = str(self.path / "site.json")
        self.list = await Process(["boxlist", name, "--ready"], self.path / "list.log").start()
        self.boxes = await Process(
            [
                "box",
                name,
                "--id",
                "1",
                "--count",
                "12",
                "--list",
                "%s:%d" % self.list.address,
                "--up-ms",
                "60000",
                "--work-ms",
                str(self.work_ms),
                "--lease-ms",
                str(self.lease),
                "--record",
                str(self.path / "box.jsonl"),
                "--ready",
            ],
            self.path / "box.log",
        ).start()
        for m in range(self.managers):
            await self.start_front(m)
        await asyncio.sleep(2.0)

    async def start_front(self, m, port=0):
        talk = talk_args(self.fronts, m) if self.members else []
        self.fronts[m] = await Process(
            [
                "front",
                str(self.path / "site.json"),
                "--me",
                str(m),
                "--list",
                "%s:%d" % self.list.address,
                "--port",
                str(port),
                *talk,
                "--ready",
            ],
            self.path / f"front-{m}.log",
        ).start()

    async def hold(self, n, manager, length):
        """One viewing held to its end or until it breaks."""
        wish = Wish(n, "one", False, f"v{n}", 3.0, length, None, None, None, trace_of(7, n))
        seen = await self.player.ask(self.fronts[manager].address, f"m{manager}", wish)
        if seen.fate != "plays":
            return seen.fate
        self.held[n] = manager
        whole = await self.player.hold(self.fronts[manager].address, f"m{manager}", wish, seen)
        self.held.pop(n, None)
        return "whole" if whole else "broken"

    def all_rows(self):
        return [json.loads(row) for row in (self.path / "box.jsonl").read_text().splitlines()]

    def rows(self, what):
        return [r for r in self.all_rows() if r["what"] == what]

    async def stop(self):
        await self.player.pool.close()
        await asyncio.gather(*(p.stop() for p in self.fronts.values()))
        await asyncio.gather(self.boxes.stop(), self.list.stop())


@click.group()
def main():
    """Measure recovery."""


@main.command()
@click.option("--viewings", default=500)
@click.option("--managers", default=5)
@click.option("--members/--alone", default=True, help="Whether managers talk to each other.")
@click.option("--runs", default=3)
def kill(viewings, managers, members, runs):
    """One of the managers is killed while viewings play."""

    async def one():
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(folder, managers, members)
            await fleet.start()
            try:
                tasks = []
                for n in range(viewings):
                    tasks.append(asyncio.ensure_future(fleet.hold(n, n % managers, 22.0)))
                    await asyncio.sleep(0.004)
                while len(fleet.held) < viewings - sum(t.done() for t in tasks):
                    await asyncio.sleep(0.05)
                had, at = sum(m == 0 for m in fleet.held.values()), now()
                await fleet.fronts[0].kill()
                fates = await asyncio.gather(*tasks)
                adopted = fleet.rows("adopted")
                took = [(r["at"] - at) / 10_000 for r in adopted]
                keys = [(r["key"], r["epoch"]) for r in adopted]
                return had, fates.count("broken"), len(took), len(keys) - len(set(keys)), sorted(took)
            finally:
                await fleet.stop()

    for _ in range(runs):
        had, lost, taken, twice, took = service.run(one())
        spread = f"first {took[0]:.2f} s, all after {took[-1]:.2f} s" if took else "none taken over"
        print(
            f"{managers} managers, {viewings} viewings, {had} at the one that was killed: lost {lost}, taken over "
            f"{taken}, twice under one epoch {twice}; {spread}",
            flush=True,
        )
    machine()


@main.command()
@click.option("--viewings", default=1000)
@click.option("--work-ms", default=120.0, help="What a set-up takes at a box: most cancels meet one on its way.")
def cancel(viewings, work_ms):
    """Clients that go before their answer: tune-ins sent afterwards, and how long their boxes stay busy."""

    async def run():
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(folder, 2, False, work_ms=work_ms)
            await fleet.start()
            fleet.player.record = Recorder(fleet.path / "clients.jsonl")
            try:
                tasks = []
                for n in range(viewings):
                    wish = Wish(
                        n, "one", False, f"v{n}", 3.0, 5.0, 0.02 + 0.2 * (n % 50) / 50, None, None, trace_of(7, n)
                    )
                    m = n % 2
                    tasks.append(asyncio.ensure_future(fleet.player.ask(fleet.fronts[m].address, f"m{m}", wish)))
                    await asyncio.sleep(0.004)
                fates = [t.fate for t in await asyncio.gather(*tasks)]
                await asyncio.sleep(2.0)
            finally:
                await fleet.stop()
            clients = [json.loads(row) for row in (fleet.path / "clients.jsonl").read_text().splitlines()]
            traces = {r["n"]: r["trace"] for r in clients if r["what"] == "asked"}
            left = {traces[r["n"]]: r["at"] for r in clients if r["what"] == "seen" and r["fate"] == "left"}
            busy, after, keys, set_up, crossed = [], 0, {}, {}, 0
            for row in fleet.all_rows():
                if row["what"] == "setup" and row["trace"] in left:
                    keys[row["key"]] = row["trace"]
                    after += row["at"] > left[row["trace"]] + 50
                elif row["what"] == "answer" and row["status"] == 201:
                    set_up[row["key"]] = row["at"]
                elif row["what"] in ("ordered", "over", "answer"):
                    for key in row["ends"] if row["what"] == "ordered" else [row.get("key")]:
                        if key in keys:
                            at = left[keys.pop(key)]
                            # Its 201 was on its way as the client went: only the media's own time ends such a one.
                            if abs(set_up.get(key, 0) - at) < 100:
                                crossed += 1
                            else:
                                busy.append(max(0, row["at"] - at) / 10)
            busy.sort()
            print(
                f"{viewings} clients, {fates.count('left')} went before their answer: tune-ins sent more than 5 ms "
                f"after that {after}; box free after p50 {busy[len(busy) // 2]:.0f} ms, p99 "
                f"{busy[int(0.99 * len(busy))]:.0f} ms, at most {busy[-1]:.0f} ms; {crossed} met their own 201 "
                f"within 10 ms; never told {len(keys)}"
            )
            machine()

    service.run(run())


@main.command()
@click.option("--rate", default=100.0)
@click.option("--managers", default=5)
def restart(rate, managers):
    """Each manager in turn is stopped and started again, at so many new viewings a second."""

    async def run():
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(folder, managers, True)
            await fleet.start()
            fates, late, tasks, over, down = {}, 0, set(), False, set()

            async def ask(n):
                nonlocal late
                up = [m for m in fleet.fronts if m not in down]  # as a balancer that hears of a planned stop
                m = up[n % len(up)]
                began = now()
                wish = Wish(n, "one", False, f"v{n}", 3.0, 3.0, None, None, None, trace_of(7, n))
                seen = await fleet.player.ask(fleet.fronts[m].address, f"m{m}", wish)
                late += seen.fate == "plays" and now() - began > 10_000
                fate = seen.fate
                if seen.fate == "plays":
                    whole = await fleet.player.hold(fleet.fronts[m].address, f"m{m}", wish, seen)
                    fate = "whole" if whole else "broken"
                fates[fate] = fates.get(fate, 0) + 1

            async def load():
                loop, n = asyncio.get_running_loop(), 0
                began = loop.time()
                while not over:
                    await asyncio.sleep(max(0.0, began + n / rate - loop.time()))
                    n += 1
                    task = asyncio.ensure_future(ask(n))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)

            loading = asyncio.ensure_future(load())
            try:
                await asyncio.sleep(4.0)
                for m in range(managers):
                    port = fleet.fronts[m].address[1]
                    stop = asyncio.ensure_future(fleet.fronts[m].stop(within=10.0))
                    await asyncio.sleep(0.3)  # requests still come to one that leaves: it sends them on
                    down.add(m)
                    await stop
                    await fleet.start_front(m, port)
                    await asyncio.sleep(1.5)
                    down.discard(m)
                await asyncio.sleep(1.0)
                over = True
                await loading
                await asyncio.gather(*tasks)
                print(
                    f"{managers} managers restarted one by one at {rate:g} a second: {dict(sorted(fates.items()))}, "
                    f"late {late}; taken over {len(fleet.rows('adopted'))}, fenced orders "
                    f"{len(fleet.rows('fenced'))}"
                )
                machine()
            finally:
                loading.cancel()
                await fleet.stop()

    service.run(run())


@main.command()
@click.option("--seconds", default=8.0)
@click.option("--capacity", default=1500.0, help="Set-ups a second that one front can do, as measured here.")
def overload(seconds, capacity):
    """Goodput of one front at 1, 2 and 5 times its capacity, with and without the gate."""

    async def one(times, gate):
        async with Bench(40) as bench:
            made = json.loads((bench.path / "site.json").read_text())
            made["front"] = {"gate": gate}
            made["packages"]["clip"]["patience_ms"] = 3000
            (bench.path / "site.json").write_text(json.dumps(made))
            front = await bench.front()
            outs, _, _ = await bench.load(front, 3, seconds=seconds, rate=capacity * times / 3)
            after = [a for o in outs for a in o["after"]]
            statuses = {}
            for o in outs:
                for status, n in o["statuses"].items():
                    statuses[status] = statuses.get(status, 0) + n
            return sum(a <= 15_000 for a in after) / seconds, sum(a <= 30_000 for a in after) / seconds, statuses

    for times in (1, 2, 5):
        for gate in (True, False):
            good, answered, statuses = service.run(one(times, gate))
            print(
                f"{times} times {capacity:g} a second, gate {'on' if gate else 'off'}: {good:.0f} a second within "
                f"the join target of 1.5 s, {answered:.0f} within the patience of 3 s; statuses {statuses}",
                flush=True,
            )
    machine()


@main.command()
@click.option("--viewings", default=100_000)
@click.option("--lease-ms", default=20_000)
def mass(viewings, lease_ms):
    """1, 3 and 7 of ten managers killed at once with so many viewings, in virtual time."""
    for dead in (1, 3, 7):
        came = loss(10, dead, viewings, 100, lease_ms=lease_ms)
        print(
            f"{dead} of 10: {came.held} of {came.viewings} held by others, {came.lost} past their lease, twice "
            f"{came.twice}; deaths known after {came.known_s:.1f} s, half held after {came.half_s:.1f}, all after "
            f"{came.all_s:.1f}; {came.messages} messages, worst box {came.worst_box} claims a second, one manager "
            f"took {came.worst_manager}",
            flush=True,
        )


@main.command()
@click.option("--seeds", default=10)
def detect(seeds):
    """Detection of a death in virtual time, by members and loss."""
    for count in (5, 50, 300):
        for lost in (0.0, 0.05, 0.3):
            rows = [detection(count, lost, seed, 40) for seed in range(1, (seeds if count < 300 else 3) + 1)]
            firsts, lasts = [r[0] * PERIOD / 1e4 for r in rows], [r[1] * PERIOD / 1e4 for r in rows]
            print(
                f"{count} members, loss {lost:.0%}, {len(rows)} seeds: first knows after "
                f"{statistics.mean(firsts):.1f} s, all after {statistics.mean(lasts):.1f} s (at most "
                f"{max(lasts):.1f}); deaths told falsely in {20 * PERIOD / 1e4:.0f} s before: "
                f"{statistics.mean(r[2] for r in rows):.1f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
