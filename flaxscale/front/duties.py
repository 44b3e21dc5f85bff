"""Duties that one manager performs for the whole fleet under leases.

The rules about leases (who, when, under which token) are in leases/, the decisions of a duty in leases/duties.py and in
the modules of its subject (catalogue.plan, members.takeover).
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
from .members import LeaseOutdated, Sessions

TICK_INTERVAL_S = 0.2
ACT_TIMEOUT_S = 5.0  # an act without an answer by then may have been done nevertheless
STATE_TIMEOUT_S = 1.0
LEASE_HEADER = "Flaxscale-Lease"  # "piece;token;owner", sent with an action at a box that is done under a lease
# Limits of the planner's proposal
PLAN_COPIES = 3  # copies per title
PLAN_MAX_MOVES = 50  # copies added or dropped
PLAN_TITLES_PER_BOX = 1_000_000  # titles that a box can hold


class FrontDuties:
    """One manager's leases and the duties that it performs under them."""

    def __init__(self, front):
        self.front, self.lease_owner = front, f"{front.name}.{front.boot}"
        self.tasks = duties.tasks_of(front.site.duties, front.site.fleet.drift)
        self.holder, self.turns = Holder(self.lease_owner, front.site_terms.seed, now()), duties.Schedule()
        self.sweeps, self.jobs, self.pending_acts, self.last_act_number, self.timer = {}, set(), {}, 0, None
        self.counts = dict.fromkeys(("granted", "acts", "refused", "failed"), 0)
        self.enabled = False

    def start(self):
        """Enabled only where the site has duties, a catalogue service grants leases and managers exchange messages."""
        self.enabled = (
            bool(self.tasks)
            and self.front.catalogue_watch is not None
            and self.front.members.shell is not None
            and (not self.front.unversioned)
        )
        if self.enabled:
            self.front.catalogue_watch.duties = self
            self.set_service_up(self.front.catalogue_watch.up)
            self.tick()

    async def stop(self):
        """Ends running turns and returns all leases, so that another manager can continue without a gap."""
        if not self.enabled:
            return
        self.enabled = False
        self.timer.cancel()
        for job in list(self.jobs):
            job.cancel()
        await asyncio.gather(*self.jobs, return_exceptions=True)
        await self.give_back(self.holder.release_all(now()))
        self.front.catalogue_watch.duties = None

    def spawn(self, work):
        job = asyncio.get_running_loop().create_task(work)
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)

    # Leases

    def member_fits(self):
        board = self.front.fleet.board
        floor = board.floor()
        return [
            Candidate(row.name, row.full, row.slow, row.behind or row.version < floor, not row.up)
            for row in board.live_rows(self.front.members.alive())
        ]

    def tick(self):
        self.timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self.tick)
        time_now, pieces = now(), duties.pieces_of(self.tasks, self.front.boxes.places)
        if self.holder.granter_silent(time_now):
            self.front.logger.info("leases: no answer from the service, reconnecting")
            self.front.catalogue_watch.reconnect()
        self.front.fleet.update_own_row()
        shares = (
            share(list(pieces), eligible(self.member_fits())) if self.front.fleet.out_of_service_since is None else {}
        )
        own_pieces = {piece: pieces[piece] for piece, name in shares.items() if name == self.front.name}
        self.holder.set_wanted(own_pieces, time_now)
        self.turns.forget(own_pieces)
        self.spawn(self.send_requests(time_now))
        for piece, task in own_pieces.items():
            if self.turns.due(piece, task, time_now) and self.holder.may_begin(piece, time_now) is not None:
                self.turns.begin(piece)
                self.spawn(self.run_turn(piece, task))

    async def send_requests(self, time_now):
        await self.give_back(self.holder.releases(time_now, self.turns.under_way))
        if requests := self.holder.due(time_now):
            await self.front.catalogue_watch.say(
                owner=self.lease_owner,
                seen=self.holder.highest_token,
                leases=[pb.LeaseAsk(piece=piece, token=token, number=number) for piece, token, number in requests],
            )

    async def give_back(self, rows):
        if rows:
            await self.front.catalogue_watch.say(
                owner=self.lease_owner, leases=[pb.LeaseAsk(piece=piece, token=token) for piece, token in rows]
            )

    def set_service_up(self, up):
        self.holder.set_connected(up, len(self.front.members.alive()), now())

    def handle_reply(self, reply):
        time_now = now()
        if reply.WhichOneof("what") == "act":
            if (future := self.pending_acts.get(reply.act.number)) is not None and not future.done():
                future.set_result(reply.act)
            return
        row = reply.lease
        if row.refused:
            self.holder.busy(row.piece, row.number, row.owner, row.token, row.left_ms * 10, time_now)
        elif self.holder.granted(row.piece, row.number, row.token, time_now):
            self.counts["granted"] += 1
            self.front.logger.info("lease", piece=row.piece, token=row.token)

    # Acts

    async def run_turn(self, piece, task):
        """Runs one turn of a duty; each of its acts is checked and fenced separately."""
        completed = False
        try:
            await getattr(self, "do_" + task.name)(piece)
            completed = True
        except LeaseOutdated as error:
            self.holder.outdated(piece, error.token)
            self.counts["refused"] += 1
            self.front.logger.info("lease outdated", piece=piece, known=error.token)
        except (OSError, ValueError, asyncio.TimeoutError, msgspec.MsgspecError) as error:
            self.counts["failed"] += 1
            self.front.logger.info("duty not done", piece=piece, detail=f"{type(error).__name__}: {error}"[:200])
        finally:
            if completed:
                self.turns.done(piece, now())
            else:
                self.turns.failed(piece, task, now())

    def current_lease(self, piece):
        lease = self.holder.may_begin(piece, now())
        if lease is None:
            raise OSError("the lease has ended, or is too short for another step")
        self.front.failpoints.reach("acting")
        return lease

    async def act(self, piece, **fields):
        """Performs an act at the service and returns the service's reply."""
        lease = self.current_lease(piece)
        self.last_act_number += 1
        number, future = self.last_act_number, asyncio.get_running_loop().create_future()
        self.pending_acts[number] = future
        self.counts["acts"] += 1
        try:
            if not await self.front.catalogue_watch.say(
                owner=self.lease_owner,
                acts=[pb.LeaseAct(piece=piece, token=lease.token, number=number, what=json.dumps(fields).encode())],
            ):
                raise OSError("no connection to the service")
            async with asyncio.timeout(ACT_TIMEOUT_S):
                answer = await future
        finally:
            del self.pending_acts[number]
        if answer.token:
            raise LeaseOutdated(answer.token)
        if answer.refused:
            raise ValueError(answer.refused)
        self.front.logger.info("duty", piece=piece, token=lease.token, said=answer.said.decode()[:300])
        return json.loads(answer.said)

    async def do_compact(self, piece):
        await self.act(piece)

    async def do_floors(self, piece):
        await self.act(piece)

    async def do_reports(self, piece):
        """Reports the state of the fleet: who answers, what each one holds and has pending, what its account spans."""
        rows = await self.gather_accounts()
        await self.act(
            piece,
            members={name: row and {k: v for k, v in row.items() if k != "demand"} for name, row in rows.items()},
            silent=sorted(name for name, row in rows.items() if row is None),
        )

    async def do_copies(self, piece):
        """Proposes copies of titles for the current demand, which an operator may apply; another process solves it."""
        front, requested_kb = self.front, Counter()
        for row in (await self.gather_accounts()).values():
            requested_kb.update((row or {}).get("demand", {}))
        follower, places, fleet = front.catalogue_watch.follower, front.box_list.rows, front.site.fleet
        demand = {title: float(n) for title, n in requested_kb.items() if title in follower.titles}
        if not demand or not places:
            await self.act(piece, demand=0, add=[], drop=[])
            return
        problem = {
            "boxes": [
                (id, fleet.kb_per_weight * (row.weight or 1), row.cell % fleet.racks, PLAN_TITLES_PER_BOX)
                for id, row in places.items()
            ],
            "uplinks": {str(rack): fleet.uplink_kb for rack in range(fleet.racks)},
            "demand": demand,
            "value": {},
            "moves": PLAN_MAX_MOVES,
            "copies": PLAN_COPIES,
        }
        holders = {
            name: [box for box, state in title.holders if state == "holding"]
            for name, title in follower.titles.items()
            if name in demand
        }
        step = self.tasks["copies"].step / 10_000
        plan = msgspec.json.decode(await self.run_planner(msgspec.json.encode([problem, holders, step / 2]), step))
        await self.act(
            piece,
            demand=round(sum(requested_kb.values())),
            titles=len(demand),
            add=plan[0][:PLAN_MAX_MOVES],
            drop=plan[1][:PLAN_MAX_MOVES],
            before=plan[2],
            after=plan[3],
        )

    @staticmethod
    async def run_planner(problem, timeout_s):
        """Returns the last output line of the planner process; OSError if it does not finish in time."""
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
            async with asyncio.timeout(timeout_s):
                output, _ = await child.communicate(problem)
        finally:
            if child.returncode is None:
                child.kill()
                await child.wait()
        if child.returncode:
            raise OSError(f"the planner ended with {child.returncode}")
        return output.splitlines()[-1]

    async def gather_accounts(self):
        """Returns {manager: its own account, or None if it does not answer in time}."""

        async def account_of(name):
            if name == self.front.name:
                return self.own_account()
            try:
                return msgspec.json.decode((await self.front.fleet.call(name, "/fleet/duty", STATE_TIMEOUT_S)).body)
            except (OSError, msgspec.MsgspecError):
                return None

        names = self.front.members.alive()
        return dict(zip(names, await asyncio.gather(*(account_of(name) for name in names))))

    def own_account(self):
        """Returns this manager's report on itself, for the manager that gathers the fleet's state."""
        front, audit_account = self.front, self.front.audit.account
        demand, kb = Counter(), front.site.ladder.kb
        for viewing in front.viewings.values():
            session_record = front.runner.sessions.get(viewing.id)
            if viewing.plays and session_record is not None and viewing.offer is not None:
                demand[viewing.offer.title] += kb[0]
        behind_limit = round(front.site.fleet.behind_s * 10_000)
        stragglers = front.fleet.board.stragglers(
            front.members.alive(), front.fleet.suspect_members(), behind_limit, now()
        )
        return {
            "viewings": len(front.viewings),
            "owed": front.boxes.pending_releases.count(),
            "boxes": len(front.box_list.rows),
            "version": front.catalogue_watch.follower.version,
            "stragglers": [[straggler.name, straggler.why] for straggler in stragglers],
            "rows_lost": audit_account.lost if audit_account else None,
            "stamp": front.audit.stamps.number,
            "demand": dict(demand),
        }

    async def do_orphans(self, piece):
        """Takes up a box's sessions that belong to no living manager and that no manager has taken over.

        Their owner may be a manager that no living one has known, for example. Watched sessions are taken over, the
        others are claimed and ended.
        """
        box = int(piece.partition("/")[2])
        place = self.front.boxes.places.get(box)
        if place is None:
            return
        members, sweep = self.front.members, self.sweeps.setdefault(box, duties.OrphanScan())
        found, alive = await members.call(place, "GET", "/manager/sessions", None, Sessions), members.alive()
        orphans = sweep.overdue(
            [(session.key, session.owner, session.epoch) for session in found.sessions], alive, now()
        )
        for owner in sorted({orphan.owner for orphan in orphans}):
            keys, pending = (
                {orphan.key for orphan in orphans if orphan.owner == owner},
                await self.front.release_replicas.pending_for(owner, box),
            )
            lease = self.current_lease(piece)
            self.counts["acts"] += 1
            self.front.logger.info("orphans", box=box, owner=owner, count=len(keys), token=lease.token)
            await members.claim(
                box,
                place,
                owner,
                Sessions(found.boot, [session for session in found.sessions if session.key in keys]),
                len(alive),
                pending,
                [(LEASE_HEADER, f"{piece};{lease.token};{self.lease_owner}")],
            )

    def state(self):
        time_now = now()
        return {
            "on": self.enabled,
            **self.counts,
            "seen": self.holder.highest_token,
            "holds": {
                piece: {"token": held.token, "left_s": (held.until - time_now) / 10_000}
                for piece, held in sorted(self.holder.wanted.items())
                if self.holder.holds(piece, time_now)
            },
            "refused": {piece: list(row) for piece, row in sorted(self.holder.refused.items())},
        }
