"""Measures the fleet's audit and the bringing up of stragglers.

    python -m bench.stragglers cost [--seconds N] [--runs N]      stamps and account against a front without them
    python -m bench.stragglers known                              gossip of versions among 5, 50 and 300, with loss
    python -m bench.stragglers herd                               all behind at once, with the limits and without
    python -m bench.stragglers settled [--seconds N]              settled to acted on by all, by processes
    python -m bench.stragglers keys                               clients with a key against those without

`known` and `herd` run the program's own pure machines in virtual time: one seed, one outcome. The others are of this
machine, whose size is printed. Not part of CI.
"""

import asyncio
import heapq
import json
import pathlib
import tempfile

import click

from bench.front import Bench, machine, quantile, rounds, spread
from flaxscale.chance import uniform_from_bytes
from flaxscale.cli import logs, service
from flaxscale.lab.day import DayRun
from flaxscale.lab.players import Wish, trace_of
from flaxscale.lab.processes import Process
from flaxscale.lab.shapes import read_day
from flaxscale.members.swim import Swim
from flaxscale.members.wire import encode
from flaxscale.versions import catchup
from flaxscale.versions.catchup import CatchUp, TransferLimit
from flaxscale.versions.table import VersionTable

ROOT = pathlib.Path(__file__).parents[1]
TICK = 2_500  # as front/fleet.py looks
PLAIN = (
    "import flaxscale.front.audit as a; a.FrontAudit.stamp_header = lambda *_: ('X-None', '0'); "
    "a.FrontAudit.record = lambda *_: None; from flaxscale.cli.main import main; main()"
)


# Members and their versions in virtual time


class World:
    """Members that tell each other their versions by datagrams that come late or not at all."""

    def __init__(self, count, loss, seed):
        self.loss, self.seed, self.draws, self.now, self.heap = loss, seed, 0, 0, []
        self.names = [f"m{n}" for n in range(count)]
        self.swims = {name: Swim(name, name, f"l{name}", seed, 0, serves=name) for name in self.names}
        self.boards = {name: VersionTable(name, f"l{name}") for name in self.names}
        self.sent, self.bytes = 0, 0
        for name in self.names:
            for other in self.names:
                if other != name:
                    self.swims[name].apply_update(self.swims[other].me, 0)
            self.swims[name].transmissions.clear()
            self.boards[name].update_own(
                epoch="0123456789ab", version=1, digest=2**60, settings="0123456789abcdef", up=True
            )
            self.at(round(self.chance() * 5_000), self.ring, name)

    def chance(self):
        self.draws += 1
        return uniform_from_bytes(b"%d:world:%d" % (self.seed, self.draws))

    def at(self, when, act, *args):
        self.draws += 1
        heapq.heappush(self.heap, (when, self.draws, act, args))

    def ring(self, name):
        swim = self.swims[name]
        self.send(name, swim.tick(self.now))
        self.at(max(self.now + 1, swim.due()), self.ring, name)

    def send(self, name, out):
        for address, message in out:
            message = message._replace(held=self.boards[name].rows_to_send(len(self.names)))
            self.sent += 1
            if self.sent % 50 == 0:
                self.bytes += 50 * len(encode(message, b"k"))
            if self.chance() >= self.loss:
                self.at(self.now + 5 + round(self.chance() * 50), self.heard, address, message)

    def heard(self, name, message):
        board = self.boards[name]
        for row in message.held:
            board.receive(row, message.sender, lambda other: f"l{other}", self.now)
        self.send(name, self.swims[name].receive(message, message.sender, self.now))

    def until(self, done, most):
        """Tenths until done() holds, looked at after each event; None where it does not within `most`."""
        while self.heap and self.now <= most:
            self.now, _, act, args = heapq.heappop(self.heap)
            act(*args)
            if done():
                return self.now
        return None


@click.group()
def main():
    """Measure the audit and the bringing up of stragglers."""


@main.command()
@click.option("--seeds", default=3)
def known(seeds):
    """A version that all but one take at once: until that one knows it, and until everybody knows that it is behind."""
    for count in (5, 50, 300):
        for loss in (0.0, 0.05, 0.3):
            whole, one, size = [], [], 0
            for seed in range(seeds if count < 300 else 1):
                world = World(count, loss, seed + 1)
                world.until(lambda: world.now > 20_000, 30_000)
                began, base = world.now, (world.sent, world.bytes)
                for name in world.names[1:]:
                    world.boards[name].update_own(version=2)
                all_of, last = set(world.names[1:]), {}

                def look():
                    world.boards["m0"].refresh(world.names, world.now)
                    world.at(world.now + TICK, look)

                look()

                def seen_by_all():
                    if "one" not in last and any(r.version == 2 for r in world.boards["m0"].rows.values()):
                        last["one"] = world.now - began
                    for name in list(all_of):
                        row = world.boards[name].rows.get("m0")
                        if row is None or not row.behind:
                            return False
                        all_of.discard(name)
                    return True

                at = world.until(seen_by_all, began + 600_000)
                whole.append((at - began) / 10_000 if at else float("inf"))
                one.append(last.get("one", float("inf")) / 10_000)
                size = (world.bytes - base[1]) / max(1, world.sent - base[0])
            click.echo(
                f"{count} managers, {loss:.0%} lost: the one behind knows it after {spread(one, 2)} s; all "
                f"others that it is after {spread(whole, 1)} s; {size:.0f} bytes a message"
            )


@main.command()
@click.option("--size", default=5_000_000, help="Bytes of a whole copy.")
def herd(size):
    """All but some are behind at once and the source is away: transfers at once, and until all are up."""
    limits = catchup.MAX_TRANSFERS, catchup.BYTES_PER_SECOND, catchup.SPREAD_PER_MEMBER, catchup.BURST_BYTES
    for count, healthy in ((12, 2), (50, 2), (300, 5)):
        for limited in (True, False):
            catchup.MAX_TRANSFERS, catchup.BYTES_PER_SECOND, catchup.SPREAD_PER_MEMBER, catchup.BURST_BYTES = (
                limits if limited else (10**6, 10**12, 0, 10**12)
            )
            ups = {f"m{n}": CatchUp(f"m{n}", n) for n in range(count)}
            givers = {f"m{n}": TransferLimit(0) for n in range(healthy)}
            behind, out, now, most, asked = set(list(ups)[healthy:]), [], 0, 0, 0
            busy = dict.fromkeys(givers, 0.0)
            while behind and now < 36_000_000:
                while out and out[0][0] <= now:  # a transfer is over
                    at, name, giver = heapq.heappop(out)
                    givers[giver].done(size)
                    ups[name].finished(now, True)
                    behind.discard(name)
                    givers[name], busy[name] = TransferLimit(now), 0.0
                for name in sorted(behind):
                    step = ups[name].next_step(now, 0, len(behind), list(givers))
                    if step.peer is None:
                        continue
                    asked += 1
                    if not givers[step.peer].try_begin(now):
                        ups[name].finished(now, False)
                        continue
                    # Its process encodes one after another, 25 MB a second; its link carries 100.
                    busy[step.peer] = max(busy[step.peer], now) + size / 25e6 * 10_000
                    heapq.heappush(out, (busy[step.peer] + size / 100e6 * 10_000, name, step.peer))
                most = max([most, *(sum(1 for _, _, g in out if g == giver) for giver in givers)])
                now += TICK
            held = most * size / 25e6
            click.echo(
                f"{count} managers, {healthy} up, {'limits' if limited else 'no limits'}: at most {most} "
                f"transfers at one of them ({held:.1f} s of its process), all up after "
                f"{now / 10_000:.1f} s, {asked} asked"
            )
    catchup.MAX_TRANSFERS, catchup.BYTES_PER_SECOND, catchup.SPREAD_PER_MEMBER, catchup.BURST_BYTES = limits


@main.command()
@click.option("--seconds", default=6.0)
@click.option("--boxes", default=40)
@click.option("--runs", default=5)
@click.option("--rate", default=400.0)
def cost(seconds, boxes, runs, rate):
    """Three fronts in turn at a rate that all serve: stamps and account, stamps alone, neither."""
    names = "stamps and account", "stamps", "neither"

    async def run():
        rates, costs, late = ({name: [] for name in names} for _ in range(3))
        async with Bench(boxes) as bench:
            args = [
                "front",
                str(bench.path / "site.json"),
                "--list",
                bench.list,
                "--port",
                "0",
                "--seed",
                "1",
                "--log-level",
                "warning",
                "--ready",
            ]
            kept = await Process([*args, "--state", str(bench.path / "state")], bench.path / "kept.log").start()
            bench.started.append(kept)
            plain = await bench.python("plain.log", "-c", PLAIN, *args)
            for front in (kept, plain):
                await bench.listed(front)
            targets = dict(zip(names, (kept, await bench.front(), plain)))
            async for name, outs, good, used in rounds(bench, targets, runs, seconds, 1, rate=rate, keep=0.5):
                rates[name].append(good / seconds)
                costs[name].append(used)
                late[name].append(quantile([a for o in outs for a in o["after"]], 0.99) / 10)
        for name in names:
            ratios = [a / b for a, b in zip(costs[name], costs["neither"])]
            click.echo(
                f"  {name}: {spread(rates[name])}/s, p99 {spread(late[name])} ms, {spread(costs[name])} us "
                f"of processor each; to neither {spread(ratios, 3)}"
            )

    machine()
    service.run(run())


@main.command()
@click.option("--seconds", default=15.0)
def settled(seconds):
    """A quiet day with 3 changes a second: from settled to the last manager's acknowledgement."""
    machine()
    for managers in (5, 12):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, "day.jsonnet")
            file.write_text(
                """local day = import '%s';
                day { troubles: [], clocks: {}, groups: {}, length_s: %g, catalogue: { rate: 3, for_s: %g },
                      site+: { managers: %d, fleet+: { floor_by_rule: false } } }"""
                % (ROOT / "examples/straggler-day.jsonnet", seconds, seconds - 2, managers)
            )
            service.run(DayRun(read_day(str(file)), 1, pathlib.Path(folder, "out"), logs.logger("error", None)).run())
            kept = pathlib.Path(folder, "out", "catalogue.jsonl")
            rows = [json.loads(line) for line in kept.read_text().splitlines()]
            made = {r["version"]: r["at"] for r in rows if r["what"] == "version" and r["version"] > 1}
            last = {}
            for r in rows:
                if r["what"] == "ack" and r["watcher"][0] == "m" and r["version"] in made:
                    last.setdefault(r["version"], {})[r["watcher"]] = r["at"]
            spans = [(max(by.values()) - made[v]) / 10 for v, by in last.items() if len(by) == managers]
            click.echo(
                f"{managers} managers, {len(spans)} versions: acted on by all after "
                f"p50 {quantile(spans, 0.5):.1f} ms, p99 {quantile(spans, 0.99):.1f} ms"
            )


@main.command()
@click.option("--count", default=600)
@click.option("--rate", default=60.0)
def keys(count, rate):
    """Five managers, every second client with an Idempotency-Key: what looking for its first try costs."""
    machine()

    async def run(folder):
        file = pathlib.Path(folder, "day.jsonnet")
        file.write_text(
            "local day = import '%s'; day { troubles: [], ways: false, work_ms: 5, length_s: 60 }"
            % (ROOT / "examples/loss-day.jsonnet")
        )
        played = DayRun(read_day(str(file)), 1, pathlib.Path(folder, "out"), logs.logger("error", None))
        await played.begin()
        await asyncio.sleep(2.0)
        seen, tasks = {True: [], False: []}, []

        async def one(n):
            wish = Wish(
                n, f"tour-{n % 6 + 1}", False, f"v{n}", 3.0, 1.0, None, 0, f"k{n}" if n % 2 else None, trace_of(1, n)
            )
            got = await played.player.ask(played.fronts[n % 5].address, f"m{n % 5}", wish)
            if got.fate == "plays":
                seen[bool(n % 2)].append(got.after / 10)
                await played.player.end(played.fronts[n % 5].address, got.location)

        for n in range(count):
            tasks.append(asyncio.ensure_future(one(n)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        await played.finish()
        for keyed, name in ((False, "without a key"), (True, "with one")):
            rows = seen[keyed]
            click.echo(
                f"{name}: {len(rows)} played, p50 {quantile(rows, 0.5):.1f} ms, p99 {quantile(rows, 0.99):.1f} ms"
            )

    with tempfile.TemporaryDirectory() as folder:
        service.run(run(folder))


if __name__ == "__main__":
    main()
