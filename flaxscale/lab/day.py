"""Plays a day on sockets: list, boxes and managers as processes, players and troubles on time.

All chance of the day itself (who asks for what and when, who leaves, which boxes are struck) comes from its seed
through one door. What the machine adds (scheduling, ports) differs between two runs: the same seed gives the same
demand and the same troubles at the same times, and the rules must hold in every run; figures are those of a run.
"""

import asyncio
import json
import math
import pathlib
import shutil
import signal
import time
from collections import Counter, defaultdict

import msgspec

from ..catalogued.client import Client, ServiceError
from ..peaks import wire
from ..serve.clock import now
from .accounts import write_account
from .chance import Dice
from .changes import Changes
from .players import Player, Wish, trace_of
from .processes import Process, free_udp_port, talk_args
from .records import Recorder
from .shapes import by_relay, link_of, parties_of, ways_of
from .ways import all_ways, in_pieces

START_AT_ONCE = 8


def arrivals(day, seed):
    """(seconds, Wish without n) of a day's first tries, in order: Poisson, thinned where a crowd is on."""
    dice, demand, at, out = Dice(seed, "arrivals"), day.demand, 0.0, []
    crowds = [t for t in day.troubles if t.what == "crowd"]
    peak = demand.rate * max([1.0, *(t.value for t in crowds)])
    while True:
        at -= math.log(1 - dice.draw()) / peak
        if at >= day.length_s:
            return out
        on = [t for t in crowds if t.at_s <= at < t.at_s + t.for_s]
        rate = demand.rate * max([1.0, *(t.value for t in on)])
        weights = demand.titles
        if dice.draw() * peak >= rate:
            continue
        crowd = next((t for t in on if t.titles), None)
        if crowd and dice.draw() < 1 - 1 / crowd.value:
            weights = dict.fromkeys(crowd.titles, 1.0)
        out.append((at, wish(day, dice, dice.pick(weights), f"v{len(out)}")))


def wish(day, dice, title, viewer):
    row = day.site.packages[day.site.titles[title].view]
    rungs = len(day.site.ladder.kb)
    top = rungs // 2 if dice.draw() < day.demand.small else None
    leaves = dice.draw() * row.patience_ms / 15_000 if dice.draw() < day.demand.leave else None
    return Wish(
        0,
        title,
        False,
        viewer,
        row.patience_ms / 1000 * dice.between(day.demand.patience),
        dice.between(day.demand.play_s),
        leaves,
        top,
    )


class DayRun:
    def __init__(self, day, seed, out, log):
        self.day, self.seed, self.out, self.log = day, seed, pathlib.Path(out), log
        self.out.mkdir(parents=True, exist_ok=True)
        self.lab = Recorder(self.out / "lab.jsonl")
        self.record = Recorder(self.out / "clients.jsonl")
        token = day.site.front.tokens[0] if day.site.front.tokens else None
        self.player = Player(self.record, token, others=lambda: {f"m{m}": p.address for m, p in self.fronts.items()})
        self.list, self.boxes, self.fronts, self.starts = None, {}, {}, {}
        self.relay, self.member_ports = None, {}
        self.catalogue = self.changes = None
        self.tasks, self.count, self.up = set(), 0, set()
        self.lies = ()  # managers whose copies are damaged
        self.steps = {}  # manager: STEP:ACT, from its next start on
        self.stopping = False
        self.down = Counter()  # of troubles that keep a box or a manager down
        self.doors = defaultdict(asyncio.Lock)  # a box or a manager is killed or started, one after the other

    # Processes

    async def begin(self):
        day = self.day
        (self.out / "site.json").write_bytes(msgspec.json.encode(day.site))
        if by_relay(day):
            await self.start_relay()
        self.list = await Process(
            [
                "boxlist",
                str(self.out / "site.json"),
                "--late-ms",
                str(day.list_late_ms),
                "--record",
                str(self.out / "boxlist.jsonl"),
                "--ready",
            ],
            self.out / "boxlist.log",
        ).start()
        self.list_address = "%s:%d" % self.list.address
        if self.relay:
            self.reached("list", self.list.address, self.list.address)
            self.list.say(
                ways={m: {b[1:]: self.way(m, b) for b in self.parties["boxes"]} for m in self.parties["managers"]}
            )
        if day.catalogue:
            await self.start_catalogue()
        for first in range(0, len(day.boxes), START_AT_ONCE):
            await asyncio.gather(
                *(
                    self.start_box(n, not day.boxes[n].cold)
                    for n in range(first, min(first + START_AT_ONCE, len(day.boxes)))
                )
            )
        if day.members:  # each begins with those before it
            for m in range(day.site.managers):
                await self.start_front(m)
        else:
            await asyncio.gather(*(self.start_front(m) for m in range(day.site.managers)))
        (self.out / "day.json").write_text(
            json.dumps(
                {
                    "seed": self.seed,
                    "length_s": day.length_s,
                    "site": msgspec.to_builtins(day.site),
                    "after": msgspec.to_builtins(day.after),
                    "managers": {f"m{m}": list(p.address) for m, p in self.fronts.items()},
                }
            )
        )

    async def start_catalogue(self, port=0):
        self.catalogue = await Process(
            [
                "catalogue",
                "serve",
                str(self.out / "site.json"),
                "--store",
                str(self.out / "catalogue"),
                "--port",
                str(port),
                "--record",
                str(self.out / "catalogue.jsonl"),
                "--ready",
            ],
            self.out / "catalogue.log",
        ).start()
        self.reached("catalogue", self.catalogue.address)
        if not self.catalogue.ready["version"]:
            self.changes = Changes(self.day, self.seed, "%s:%d" % self.catalogue.address, self.lab)
            await self.changes.begin()

    # Ways

    async def start_relay(self):
        self.parties = parties_of(self.day)
        (self.out / "pairs.json").write_text(json.dumps(all_ways(self.parties)))
        self.relay = await Process(
            [
                "relay",
                str(self.out / "pairs.json"),
                "--seed",
                str(self.seed),
                "--record",
                str(self.out / "relay.jsonl"),
                "--ready",
            ],
            self.out / "relay.log",
        ).start()
        if self.day.members:  # each reaches the others by the relay from the first datagram on
            self.member_ports = {m: free_udp_port() for m in range(self.day.site.managers)}
            for m in range(self.day.site.managers):
                self.reached(f"m{m}", ("127.0.0.1", 0), ("127.0.0.1", self.member_ports[m]))
                (self.out / f"via-{m}.json").write_text(
                    json.dumps(
                        {
                            f"127.0.0.1:{port}": self.way(f"m{m}", f"m{o}")
                            for o, port in self.member_ports.items()
                            if o != m
                        }
                    )
                )

    def way(self, a, b):
        """The address by which one party reaches another."""
        return "127.0.0.1:%d" % self.relay.ready["ways"][f"{a}>{b}"]

    def reached(self, name, address, udp=None):
        """Tells the relay where a party is now."""
        if self.relay:
            self.relay.say(target=name, address="%s:%d" % address, udp="%s:%d" % udp if udp else None)

    def list_of(self, name):
        return self.way(name, "list") if self.relay else self.list_address

    def catalogue_of(self, name):
        if not self.catalogue:
            return []
        return ["--catalogue", self.way(name, "catalogue") if self.relay else "%s:%d" % self.catalogue.address]

    async def strike(self, n, row):
        """A fault of ways, for its time."""
        ways, dice = ways_of(self.day, n), Dice(self.seed, f"heal-{n}")
        self.relay.say(fault=n, kind=row.kind, value=row.value, jitter=row.jitter, ways=ways)
        self.lab.put("fault", n=n, kind=row.kind, ways=[f"{a}>{b}" for a, b in ways])
        await asyncio.sleep(row.for_s)
        before = 0.0
        for after, some in in_pieces(ways, row.heal_s, dice):
            await asyncio.sleep(after - before)
            before = after
            self.relay.say(heal=n, ways=some)
            self.lab.put("heal", n=n, ways=[f"{a}>{b}" for a, b in some])

    async def announce(self):
        """Puts the day's peaks in service; their seconds are the day's, on the machine's wall clock there."""
        if not self.day.peaks:
            return
        from ..proto import peaks_pb2 as pb

        began = time.time()
        async with Client("%s:%d" % self.catalogue.address) as client:
            for p in self.day.peaks:
                reply = await client.call(
                    "Change",
                    pb.ChangeRequest(announce=wire.peak_out(p.shifted(began)), why="the day's"),
                    stub=client.peaks,
                )
                if reply.faults:
                    raise RuntimeError(f"the day's peak was refused: {reply.faults[0]}")
                self.lab.put("announced", name=p.name, version=reply.version)

    async def raise_floor(self, row):
        """As an operator does; what the service answered is in the records."""
        from ..proto import catalogue_pb2 as pb

        async with Client("%s:%d" % self.catalogue.address) as client:
            try:
                at = await client.call("Floor", pb.FloorRequest())
                reply = await client.call(
                    "Floor",
                    pb.FloorRequest(floor=max(1, at.version - int(row.value)), force=row.force, why="the day's"),
                )
            except ServiceError as bad:
                self.lab.put("floor", refused=str(bad))
                return
        self.lab.put("floor", floor=reply.floor, version=reply.version, refused=reply.refused, under=list(reply.under))

    def with_members(self, m):
        if not self.day.members:
            return []
        if not self.relay:
            return talk_args(self.fronts, m)
        seeds = [f"127.0.0.1:{port}" for o, port in self.member_ports.items() if o != m and o in self.fronts]
        return [
            "--member-port",
            str(self.member_ports[m]),
            "--via",
            str(self.out / f"via-{m}.json"),
            *(arg for seed in seeds for arg in ("--member", seed)),
        ]

    def as_told(self, m):
        """The lab's own options: a step at which it dies or stops, a wrong clock, an older build."""
        clock = self.day.clocks.get(f"m{m}")
        return [
            *(["--step", self.steps[m]] if m in self.steps else ()),
            *(["--clock", f"{clock.step_s}:{clock.rate}"] if clock else ()),
            *(["--older"] if f"m{m}" in self.day.older else ()),
            *(["--lies"] if m in self.lies else ()),
        ]

    async def start_box(self, n, warm, port=0):
        row, starts = self.day.boxes[n], self.starts
        starts[n] = starts.get(n, 0) + 1
        up = self.day.site.rules.warm_within_ms * 2 if warm else 0
        self.boxes[n] = await Process(
            [
                "box",
                str(self.out / "site.json"),
                *self.catalogue_of(f"b{n + 1}"),
                "--id",
                str(n + 1),
                "--cell",
                str(row.cell),
                "--kind",
                row.kind,
                "--zone",
                row.zone,
                "--weight",
                str(row.weight),
                "--link-kb",
                str(link_of(self.day, row)),
                "--list",
                self.list_of(f"b{n + 1}"),
                "--up-ms",
                str(up),
                "--seed",
                str(self.seed),
                "--port",
                str(port),
                "--work-ms",
                str(self.day.work_ms),
                "--state",
                str(self.out / "boxes"),
                "--record",
                str(self.out / f"box-{n + 1}-{starts[n]}.jsonl"),
                "--ready",
            ],
            self.out / f"box-{n + 1}.log",
        ).start()
        self.reached(f"b{n + 1}", self.boxes[n].address)

    async def start_front(self, m, port=0):
        self.fronts[m] = await Process(
            [
                "front",
                str(self.out / "site.json"),
                *self.catalogue_of(f"m{m}"),
                *self.as_told(m),
                "--me",
                str(m),
                "--list",
                self.list_of(f"m{m}"),
                "--disk-fault",
                str(self.out / f"disk-{m}"),
                "--seed",
                str(self.seed * 1000 + m + len(self.starts) * 7),
                "--state",
                str(self.out / "state"),
                "--port",
                str(port),
                *self.with_members(m),
                "--ready",
            ],
            self.out / f"front-{m}.log",
        ).start()
        self.up.add(m)

    # Players

    def own(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def play(self, wish, dice, tries):
        """One player: asks some manager, plays, comes again after a break or a block."""
        keyed = self.day.demand.keyed and dice.draw() < self.day.demand.keyed
        while not self.stopping:
            managers = sorted(self.fronts)
            m = managers[int(dice.draw() * len(managers))]
            self.count += 1
            # A key is another one once something came of it.
            key = wish.key or (f"{wish.viewer}-{self.count}" if keyed else None)
            wish = wish._replace(n=self.count, trace=trace_of(self.seed, self.count), key=key)
            seen = await self.player.ask(self.fronts[m].address, f"m{m}", wish)
            if seen.fate == "plays":
                whole = await self.player.hold(self.fronts[m].address, f"m{m}", wish, seen)
                if whole:
                    return
                wish = wish._replace(key=None)
            elif seen.fate in ("left", "gave_up", "refused"):
                return
            elif seen.fate == "blocked":
                wish = wish._replace(key=None)
            tries -= 1
            if tries <= 0 or dice.draw() >= self.day.demand.returns:
                return
            wish = wish._replace(leaves=None)
            await asyncio.sleep(dice.between(self.day.demand.back_s))

    async def push(self, title, dice):
        """A camera that pushes all day; it comes again whenever its push ends."""
        row, key = self.day.site.packages[self.day.site.titles[title].push], None
        while not self.stopping:
            managers = sorted(self.fronts)
            m = managers[int(dice.draw() * len(managers))]
            self.count += 1
            key = key or (f"camera-{title}-{self.count}" if self.day.demand.keyed else None)
            wish = Wish(
                self.count,
                title,
                True,
                f"camera-{title}",
                row.patience_ms / 1000,
                dice.between(self.day.demand.play_s),
                None,
                None,
                key,
                trace_of(self.seed, self.count),
            )
            seen = await self.player.ask(self.fronts[m].address, f"m{m}", wish)
            if seen.fate == "plays":
                await self.player.hold(self.fronts[m].address, f"m{m}", wish, seen)
            if seen.fate not in ("broken", "unreached", "gave_up"):
                key = None
            await asyncio.sleep(0.2)

    async def crowd(self):
        began = now()
        for n, (at, wish) in enumerate(arrivals(self.day, self.seed)):
            await asyncio.sleep(max(0.0, at - (now() - began) / 10_000))
            self.own(self.play(wish, Dice(self.seed, f"player-{n}"), self.day.demand.tries))

    # Troubles

    def struck(self, n, row, items, named):
        if named is not None:
            return named
        count = max(1, round(len(items) * (row.share if row.share is not None else 1)))
        return Dice(self.seed, f"trouble-{n}").some(items, count)

    async def trouble(self, n, row):
        await asyncio.sleep(row.at_s)
        boxes = self.struck(n, row, range(len(self.day.boxes)), row.boxes)
        managers = self.struck(n, row, range(self.day.site.managers), row.managers)
        hit = managers if row.what.startswith("manager") or row.what in ("settings", "disk") else boxes
        hit = [] if row.what in ("way", "floor") else hit
        self.lab.put("trouble", name=row.what, value=row.value, hit=list(hit), for_s=row.for_s)
        self.log.info("trouble", what=row.what, hit=list(hit), for_s=row.for_s)
        if row.what == "crash":
            ports = {b: self.boxes[b].address[1] for b in boxes}
            await asyncio.gather(*(self.kill("b", b, self.boxes, box=b + 1) for b in boxes))
            await self.down_for(row.for_s, "b", boxes, lambda b: self.start_box(b, False, ports[b]))
        elif row.what == "manager_crash":
            ports = {m: self.fronts[m].address[1] for m in managers}
            await asyncio.gather(*(self.kill("m", m, self.fronts, manager=f"m{m}") for m in managers))
            for kept in (self.out / "state").glob("*") if not row.disk else ():
                if kept.stem.rpartition("-")[2] in {f"m{m}" for m in managers}:
                    shutil.rmtree(kept) if kept.is_dir() else kept.unlink()
            await self.down_for(row.for_s, "m", managers, lambda m: self.start_front(m, ports[m]), "back")
        elif row.what == "way":
            await self.strike(n, row)
        elif row.what == "disk":
            for m in managers:
                (self.out / f"disk-{m}").write_text("full" if row.kind == "full" else f"slow:{row.value}")
            await asyncio.sleep(row.for_s)
            for m in managers:
                (self.out / f"disk-{m}").unlink()
        elif row.what == "manager_restart":  # planned, one after another: each leaves, and comes back
            for m in managers:
                if self.down["m", m]:
                    continue
                port = self.fronts[m].address[1]
                self.lab.put("restart", manager=f"m{m}")
                await self.fronts[m].stop(within=8.0)
                await self.down_for(row.for_s, "m", [m], lambda m, port=port: self.start_front(m, port), "restarted")
        elif row.what == "manager_stall":
            for m in managers:
                self.lab.put("stall", manager=f"m{m}")
                self.fronts[m].signal(signal.SIGSTOP)
            await asyncio.sleep(row.for_s)
            for m in managers:
                self.fronts[m].signal(signal.SIGCONT)
                self.lab.put("go_on", manager=f"m{m}")
        elif row.what in ("box_stall", "catalogue_stall"):
            stalled = [self.catalogue] if row.what == "catalogue_stall" else [self.boxes[b] for b in boxes]
            for process in stalled:
                process.signal(signal.SIGSTOP)
            for b in boxes if row.what == "box_stall" else ():
                self.lab.put("box_stall", box=b + 1)
            await asyncio.sleep(row.for_s)
            for process in stalled:
                process.signal(signal.SIGCONT)
            for b in boxes if row.what == "box_stall" else ():
                self.lab.put("box_go_on", box=b + 1)
        elif row.what == "catalogue_crash" and self.catalogue:
            port = self.catalogue.address[1]
            await self.catalogue.kill()
            await asyncio.sleep(row.for_s)
            await self.start_catalogue(port)
        elif row.what == "settings":
            for site, wait_s in ((self.day.after, row.for_s), (self.day.site, 0)):
                (self.out / "site.json").write_bytes(msgspec.json.encode(site))
                for m in managers:
                    self.lab.put("settings", manager=f"m{m}", site=site.name)
                    self.fronts[m].signal(signal.SIGHUP)
                await asyncio.sleep(wait_s)
        elif row.what == "floor":
            await self.raise_floor(row)
        elif row.what == "list_late":
            self.list.say(late_ms=row.value)
            await asyncio.sleep(row.for_s)
            self.list.say(late_ms=self.day.list_late_ms)
        elif row.what == "list_frozen":
            self.list.say(frozen=True)
            await asyncio.sleep(row.for_s)
            self.list.say(frozen=False)
        elif row.what == "uplink":
            self.list.say(rack=row.rack or 0, uplink=self.day.site.fleet.uplink_kb * row.value)
            await asyncio.sleep(row.for_s)
            self.list.say(rack=row.rack or 0, uplink=self.day.site.fleet.uplink_kb)
        elif row.what != "crowd":
            for b in boxes:
                self.boxes[b].say(trouble=row.what, value=row.value)
            await asyncio.sleep(row.for_s)
            off = 1.0 if row.what in ("slow", "link", "lie") else 0.0
            for b in boxes:
                self.boxes[b].say(trouble=row.what, value=off)

    async def kill(self, kind, n, processes, **who):
        """Kills a box or a manager; one that is just being started when it is up."""
        async with self.doors[kind, n]:
            self.lab.put("kill", **who)
            await processes[n].kill()

    async def down_for(self, seconds, kind, hit, start, said=None):
        """Starts anew after so long what no other trouble keeps down then: an outage inside an outage ends with the
        last of them."""
        self.down.update((kind, n) for n in hit)
        await asyncio.sleep(seconds)
        self.down.subtract((kind, n) for n in hit)

        async def back(n):
            async with self.doors[kind, n]:
                if not self.down[kind, n] and not self.runs(kind, n):
                    await start(n)
                    if said:
                        self.lab.put(said, manager=f"m{n}")

        await asyncio.gather(*map(back, hit))

    def runs(self, kind, n):
        child = (self.boxes if kind == "b" else self.fronts)[n].child
        return child is not None and child.returncode is None

    # The day

    async def run(self):
        """Plays it all; returns the counts of what players saw."""
        await self.begin()
        try:
            await asyncio.sleep(self.day.settle_s)
            self.lab.put("begin")
            await self.announce()
            troubles = [asyncio.ensure_future(self.trouble(n, row)) for n, row in enumerate(self.day.troubles)]
            pushes = [
                asyncio.ensure_future(self.push(title, Dice(self.seed, f"push-{title}")))
                for title in self.day.demand.pushes
            ]
            if self.changes and self.day.catalogue.rate:
                pushes.append(asyncio.ensure_future(self.changes.run()))
            await self.crowd()
            for done in await asyncio.gather(*troubles, return_exceptions=True):
                if isinstance(done, Exception):
                    raise done
            if self.tasks:  # players still at it get their answers; long viewings are cut
                most = max(p.patience_ms for p in self.day.site.packages.values()) / 1000
                await asyncio.wait(set(self.tasks), timeout=most * max(self.day.demand.patience) + 0.5)
            self.stopping = True
            self.lab.put("end")
            for task in [*self.tasks, *pushes]:
                task.cancel()
            await asyncio.gather(*self.tasks, *pushes, return_exceptions=True)
        finally:
            await self.finish()

    async def finish(self):
        await self.player.pool.close()
        await asyncio.gather(*(p.stop() for p in self.fronts.values()))
        await asyncio.gather(*(p.stop() for p in self.boxes.values()))
        for process in (self.catalogue, self.list, self.relay):
            if process is not None:
                await process.stop()
        for folder in sorted((self.out / "state").glob("account-m*")):
            write_account(folder, self.out / f"{folder.name}.jsonl")
        self.lab.close()
        self.record.close()
