"""What one manager does for the whole fleet under leases, on its sockets. Who may, when and under which token leases/
says; what a duty decides stands in leases/duties.py and where its matter lies (catalogue.plan, members.takeover).
"""

import asyncio
import json
import sys
from collections import Counter

import msgspec

from ..leases import duties
from ..leases.holder import Holder
from ..leases.shares import Candidate, eligible, share
from ..proto import catalogue_pb2 as pb
from ..serve.clock import now
from .members import Outdated, Sessions

TICK_S = 0.2
ACT_S = 5.0  # an act that the service does not answer by then may have been done
STATE_S = 1.0
FIELD = "Flaxscale-Lease"  # piece;token;owner with what is done at a box under a lease
COPIES, MOVES, ROOM = 3, 50, 1_000_000  # of the planner's proposal; titles that a box can hold


class FrontDuties:
    def __init__(self, front):
        self.front, self.owner = front, f"{front.name}.{front.boot}"
        self.tasks = duties.tasks_of(front.site.duties, front.site.fleet.drift)
        self.holder, self.turns = Holder(self.owner, front.sense.seed, now()), duties.Schedule()
        self.sweeps, self.jobs, self.acts, self.numbers, self.timer = {}, set(), {}, 0, None
        self.counts = dict.fromkeys(("granted", "acts", "refused", "failed"), 0)
        self.on = False

    def start(self):
        """Only where the site has duties, a catalogue's service grants them, and managers talk."""
        self.on = (
            bool(self.tasks)
            and self.front.watch is not None
            and self.front.members.shell is not None
            and (not self.front.older)
        )
        if self.on:
            self.front.watch.duties = self
            self.source(self.front.watch.up)
            self.tick()

    async def stop(self):
        """A planned stop: what is under way ends, all is given back, so that another goes on with no gap."""
        if not self.on:
            return
        self.on = False
        self.timer.cancel()
        for job in list(self.jobs):
            job.cancel()
        await asyncio.gather(*self.jobs, return_exceptions=True)
        await self.give(self.holder.release_all(now()))
        self.front.watch.duties = None

    def own(self, work):
        job = asyncio.get_running_loop().create_task(work)
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)

    # Leases

    def fits(self):
        board = self.front.fleet.board
        floor = board.floor()
        return [
            Candidate(row.name, row.full, row.slow, row.behind or row.version < floor, not row.up)
            for row in board.live_rows(self.front.members.alive())
        ]

    def tick(self):
        self.timer = asyncio.get_running_loop().call_later(TICK_S, self.tick)
        time, pieces = now(), duties.pieces_of(self.tasks, self.front.boxes.places)
        if self.holder.granter_silent(time):
            self.front.lines.info("leases: the service is silent, asked anew")
            self.front.watch.nudge()
        self.front.fleet.renew()
        shared = share(list(pieces), eligible(self.fits())) if self.front.fleet.shut is None else {}
        mine = {piece: pieces[piece] for piece, name in shared.items() if name == self.front.name}
        self.holder.set_wanted(mine, time)
        self.turns.forget(mine)
        self.own(self.say(time))
        for piece, task in mine.items():
            if self.turns.due(piece, task, time) and self.holder.may_begin(piece, time) is not None:
                self.turns.begin(piece)
                self.own(self.do(piece, task))

    async def say(self, time):
        await self.give(self.holder.releases(time, self.turns.under_way))
        if asked := self.holder.due(time):
            await self.front.watch.say(
                owner=self.owner,
                seen=self.holder.highest_token,
                leases=[pb.LeaseAsk(piece=piece, token=token, number=number) for piece, token, number in asked],
            )

    async def give(self, rows):
        if rows:
            await self.front.watch.say(
                owner=self.owner, leases=[pb.LeaseAsk(piece=piece, token=token) for piece, token in rows]
            )

    def source(self, up):
        self.holder.set_connected(up, len(self.front.members.alive()), now())

    def heard(self, reply):
        time = now()
        if reply.WhichOneof("what") == "act":
            if (came := self.acts.get(reply.act.number)) is not None and not came.done():
                came.set_result(reply.act)
            return
        row = reply.lease
        if row.refused:
            self.holder.busy(row.piece, row.number, row.owner, row.token, row.left_ms * 10, time)
        elif self.holder.granted(row.piece, row.number, row.token, time):
            self.counts["granted"] += 1
            self.front.lines.info("lease", piece=row.piece, token=row.token)

    # Acting

    async def do(self, piece, task):
        """One turn of a duty. Each of its acts is checked, and fenced, by itself."""
        done = False
        try:
            await getattr(self, "do_" + task.name)(piece)
            done = True
        except Outdated as no:
            self.holder.outdated(piece, no.token)
            self.counts["refused"] += 1
            self.front.lines.info("lease outdated", piece=piece, known=no.token)
        except (OSError, ValueError, asyncio.TimeoutError, msgspec.MsgspecError) as bad:
            self.counts["failed"] += 1
            self.front.lines.info("duty not done", piece=piece, detail=f"{type(bad).__name__}: {bad}"[:200])
        finally:
            if done:
                self.turns.done(piece, now())
            else:
                self.turns.failed(piece, task, now())

    def lease(self, piece):
        lease = self.holder.may_begin(piece, now())
        if lease is None:
            raise OSError("the lease is over, or too short for a step")
        self.front.steps.at("acting")
        return lease

    async def act(self, piece, **what):
        """An act on the service; what it told of it."""
        lease = self.lease(piece)
        self.numbers += 1
        number, came = self.numbers, asyncio.get_running_loop().create_future()
        self.acts[number] = came
        self.counts["acts"] += 1
        try:
            if not await self.front.watch.say(
                owner=self.owner,
                acts=[pb.LeaseAct(piece=piece, token=lease.token, number=number, what=json.dumps(what).encode())],
            ):
                raise OSError("no way to the service")
            async with asyncio.timeout(ACT_S):
                told = await came
        finally:
            del self.acts[number]
        if told.token:
            raise Outdated(told.token)
        if told.refused:
            raise ValueError(told.refused)
        self.front.lines.info("duty", piece=piece, token=lease.token, said=told.said.decode()[:300])
        return json.loads(told.said)

    async def do_compact(self, piece):
        await self.act(piece)

    async def do_floors(self, piece):
        await self.act(piece)

    async def do_reports(self, piece):
        """The fleet's state in few words: who answers, what each holds and owes, what each account spans."""
        rows = await self.gather()
        await self.act(
            piece,
            members={name: row and {k: v for k, v in row.items() if k != "demand"} for name, row in rows.items()},
            silent=sorted(name for name, row in rows.items() if row is None),
        )

    async def do_copies(self, piece):
        """A proposal of copies for what plays now; an operator may take it. Another process solves it."""
        front, asked = self.front, Counter()
        for row in (await self.gather()).values():
            asked.update((row or {}).get("demand", {}))
        follower, places, fleet = front.watch.follower, front.book.rows, front.site.fleet
        demand = {title: float(n) for title, n in asked.items() if title in follower.titles}
        if not demand or not places:
            await self.act(piece, demand=0, add=[], drop=[])
            return
        question = {
            "boxes": [
                (id, fleet.kb_per_weight * (row.weight or 1), row.cell % fleet.racks, ROOM)
                for id, row in places.items()
            ],
            "uplinks": {str(rack): fleet.uplink_kb for rack in range(fleet.racks)},
            "demand": demand,
            "value": {},
            "moves": MOVES,
            "copies": COPIES,
        }
        held = {
            name: [b for b, s in t.holders if s == "holding"] for name, t in follower.titles.items() if name in demand
        }
        step = self.tasks["copies"].step / 10_000
        made = msgspec.json.decode(await self.solved(msgspec.json.encode([question, held, step / 2]), step))
        await self.act(
            piece,
            demand=round(sum(asked.values())),
            titles=len(demand),
            add=made[0][:MOVES],
            drop=made[1][:MOVES],
            before=made[2],
            after=made[3],
        )

    @staticmethod
    async def solved(asked, within):
        """What the planner's own process says, its last line; OSError where it says nothing in time."""
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flaxscale",
            "solve",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            async with asyncio.timeout(within):
                said, _ = await child.communicate(asked)
        finally:
            if child.returncode is None:
                child.kill()
                await child.wait()
        if child.returncode:
            raise OSError(f"the planner ended with {child.returncode}")
        return said.splitlines()[-1]

    async def gather(self):
        """{manager: its account of itself, None where it does not answer in time}."""

        async def one(name):
            if name == self.front.name:
                return self.account()
            try:
                return msgspec.json.decode((await self.front.fleet.call(name, "/fleet/duty", STATE_S)).body)
            except (OSError, msgspec.MsgspecError):
                return None

        names = self.front.members.alive()
        return dict(zip(names, await asyncio.gather(*(one(name) for name in names))))

    def account(self):
        """What this manager tells whoever gathers the fleet's state."""
        front, account = self.front, self.front.audit.account
        demand, kb = Counter(), front.site.ladder.kb
        for vw in front.viewings.values():
            held = front.runner.sessions.get(vw.id)
            if vw.plays and held is not None and vw.offer is not None:
                demand[vw.offer.title] += kb[0]
        behind = round(front.site.fleet.behind_s * 10_000)
        stragglers = front.fleet.board.stragglers(front.members.alive(), front.fleet.suspects(), behind, now())
        return {
            "viewings": len(front.viewings),
            "owed": front.boxes.owed.count(),
            "boxes": len(front.book.rows),
            "version": front.watch.follower.version,
            "stragglers": [[s.name, s.why] for s in stragglers],
            "rows_lost": account.lost if account else None,
            "stamp": front.audit.stamps.number,
            "demand": dict(demand),
        }

    async def do_orphans(self, piece):
        """Sessions of a box that no living manager has, and that nobody took over: of one that none of us knew, say.

        Those that are watched are taken up like any other, the rest is claimed and ended.
        """
        box = int(piece.partition("/")[2])
        place = self.front.boxes.places.get(box)
        if place is None:
            return
        members, sweep = self.front.members, self.sweeps.setdefault(box, duties.OrphanScan())
        found, alive = await members.call(place, "GET", "/manager/sessions", None, Sessions), members.alive()
        lone = sweep.overdue([(r.key, r.owner, r.epoch) for r in found.sessions], alive, now())
        for owner in sorted({o.owner for o in lone}):
            keys, owed = {o.key for o in lone if o.owner == owner}, await self.front.lent.of(owner, box)
            lease = self.lease(piece)
            self.counts["acts"] += 1
            self.front.lines.info("orphans", box=box, owner=owner, count=len(keys), token=lease.token)
            await members.claim(
                box,
                place,
                owner,
                Sessions(found.boot, [r for r in found.sessions if r.key in keys]),
                len(alive),
                owed,
                [(FIELD, f"{piece};{lease.token};{self.owner}")],
            )

    def state(self):
        time = now()
        return {
            "on": self.on,
            **self.counts,
            "seen": self.holder.highest_token,
            "holds": {
                piece: {"token": held.token, "left_s": (held.until - time) / 10_000}
                for piece, held in sorted(self.holder.wanted.items())
                if self.holder.holds(piece, time)
            },
            "refused": {piece: list(row) for piece, row in sorted(self.holder.refused.items())},
        }
