"""One manager among the fleet's versions, on its sockets: rows that ride on members' messages, bringing up, being shut
out and coming back, and what it gives others. Paths under /fleet: catalogue and digest for managers (signed with a
member's key), account for operators. Only where managers talk and a catalogue service spreads versions.
"""

import asyncio
import contextlib
from urllib.parse import parse_qsl

import msgspec

from ..audit.account import as_plain, rows_since
from ..chance import drawn
from ..members import wire as members_wire
from ..members.rate_limit import at_capacity
from ..members.swim import State
from ..members.takeover import assigned_manager
from ..serve.clock import now
from ..signalling.endpoint import Refusal
from ..versions import transfer
from ..versions.catchup import BYTES_PER_SECOND, CatchUp, TransferLimit
from ..versions.table import VersionTable
from .boxes import FLOOR

TICK_S = 0.25
STEADY = 10_000  # up again for so long before anything new is taken
FETCH_S = 20.0  # a transfer that is not over by then is given up
DIGEST_S = 1.0
TELLERS = 2  # managers that tell a box which none may have a stream to
WITNESSES = 2  # other managers that are asked what a version amounts to
SLICE = 1_000  # titles encoded between two turns of the loop
TELL_S = 0.5  # boxes hear of a new floor within this
SIGNED = "flaxscale-signed"


class FrontFleet:
    def __init__(self, front):
        self.front, self.on = front, False
        self.board, self.up, self.giver = (
            VersionTable(front.name, front.boot),
            CatchUp(front.name, front.sense.seed),
            TransferLimit(now()),
        )
        self.lies = False  # the lab's: damages what it hands over
        self.shut = None  # since when nothing new is taken
        self.told_floor, self.left_epoch, self.level_since, self.epoch = 0, None, None, None
        self.timer, self.jobs, self.counts = (
            None,
            set(),
            dict.fromkeys(("nudges", "brought_up", "copies_refused", "sent_on", "shut_out", "refused_by_boxes"), 0),
        )

    # Life

    def start(self):
        self.on = self.front.watch is not None and self.front.members.shell is not None and not self.front.older
        if self.on:
            self.tick()

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
        for job in list(self.jobs):
            job.cancel()

    def own(self, work):
        job = asyncio.get_running_loop().create_task(work)
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)

    # On members' messages

    def renew(self):
        front = self.front
        more = {
            "list_version": front.book.version or 0,
            "settings": front.mark,
            "full": at_capacity(len(front.viewings), front.site.front.held_most, front.gate.rate is not None),
            "slow": front.still.slow(now()),
        }
        if self.on:
            f = front.watch.follower
            more |= {
                "epoch": f.epoch or "",
                "version": f.version or 0,
                "floor": max(f.floor, self.told_floor),
                "digest": f.sum,
                "up": front.watch.up,
                "refused": front.watch.refused,
            }
        self.board.update_own(**more)

    def rides(self, members):
        if self.front.older:
            return ()
        self.renew()
        return self.board.rows_to_send(members)

    def full(self):
        """Members that say that they take nothing more, ourselves among them where we don't."""
        self.renew()
        return {row.name for row in (self.board.me, *self.board.rows.values()) if row.full}

    def hear(self, rows, sender):
        time = now()
        for row in rows:
            self.board.receive(row, sender, self.boot_of, time)

    def boot_of(self, name):
        member = self.front.members.shell.swim.members.get(name)
        return member and member.boot

    def alive(self):
        return self.front.members.alive()

    def suspects(self):
        return [
            m.name for m in self.front.members.shell.swim.members.values() if m.state in (State.SUSPECT, State.DEAD)
        ]

    # Being behind

    def tick(self):
        self.timer = asyncio.get_running_loop().call_later(TICK_S, self.tick)
        if self.front.server.stopping:
            return
        time, alive = now(), self.alive()
        self.renew()
        newest = self.board.refresh(alive, time)
        self.mind_floor(time)
        since = self.board.behind_since
        givers = (
            [
                row.name
                for row in self.board.live_rows(alive)
                if row.name != self.front.name and newest is not None and row.version_id() == newest
            ]
            if since is not None
            else ()
        )
        step = self.up.next_step(time, since, self.board.count_behind(alive), givers)
        if step.nudge:
            self.counts["nudges"] += 1
            self.front.lines.info("behind: source asked anew", since=time - since, newest=newest)
            self.front.watch.nudge()
            if self.front.follower:
                self.front.follower.nudge()
        if step.peer is not None:
            self.own(self.fetch(step.peer, newest))

    async def call(self, name, target, seconds):
        """A signed GET at another manager: its Answer; OSError otherwise."""
        serves = self.front.members.serves(name)
        if serves is None:
            raise OSError(f"{name} is not known")
        host, _, port = serves.rpartition(":")
        result = await self.front.boxes.pool.ask(
            host,
            int(port),
            "GET",
            target,
            [(SIGNED, members_wire.sign(target, self.front.members.keys[0]))],
            b"",
            seconds,
        )
        if result.status != 200:
            raise OSError(f"status {result.status}")
        return result

    async def fetch(self, peer, newest):
        """Asks another manager for its copy, and takes it on where it is what it says."""
        follower, lines, good, lied = self.front.watch.follower, self.front.lines, False, False
        try:
            since = follower.version if follower.epoch == newest.epoch else -1
            result = await self.call(
                peer, f"/fleet/catalogue?epoch={newest.epoch}&since={since}&from={self.front.name}", FETCH_S
            )
            told_by = await self.witnesses(peer, newest.epoch, transfer.version_of(result.body))
            epoch, messages = transfer.verify(result.body, follower, newest.epoch, told_by)
            self.front.watch.handed(epoch, messages)
            good = True
            self.counts["brought_up"] += 1
            lines.info("brought up", by=peer, epoch=epoch, version=follower.version, bytes=len(result.body))
        except ValueError as bad:
            lied = getattr(bad, "bad_copy", False)
            self.counts["copies_refused"] += 1
            lines.warning("copy refused", by=peer, why=str(bad)[:300])
        except OSError as bad:
            lines.info("not brought up", by=peer, detail=str(bad)[:200])
        finally:
            self.up.finished(now(), good, lied)

    async def witnesses(self, giver, epoch, version):
        """{name: digest} of others that hold a version, by the members' rows or asked for."""
        rows = [
            row
            for row in self.board.live_rows(self.alive())
            if row.name not in (giver, self.front.name) and row.epoch == epoch
        ]
        told_by = {row.name: row.digest for row in rows if row.version == version and row.digest}
        able = sorted(row.name for row in rows if row.name not in told_by)  # it may know it by now, or still
        for name in able[: max(0, WITNESSES - len(told_by))]:
            with contextlib.suppress(OSError, ValueError):
                result = await self.call(name, f"/fleet/digest?epoch={epoch}&version={version}", DIGEST_S)
                told_by[name] = msgspec.json.decode(result.body, type=int)
        return transfer.PeerDigests(told_by, len(self.alive()) > 2)

    # The floor

    def refused(self, box, headers):
        """A box refused what came under our version."""
        self.counts["refused_by_boxes"] += 1
        epoch, _, rest = headers[FLOOR].partition(";")
        floor, _, unknown = rest.partition(";")
        if unknown:
            self.front.audit.stamps.forget(box)
            return
        if not self.on or not floor.isdigit():
            return
        f = self.front.watch.follower
        if epoch == f.epoch:
            self.told_floor = max(self.told_floor, int(floor))
        elif f.epoch:
            self.left_epoch = f.epoch  # that box has left this epoch behind
        self.mind_floor(now())

    def under(self):
        f = self.front.watch.follower
        if f.epoch != self.left_epoch:
            self.left_epoch = None
        return self.left_epoch is not None or (f.version or 0) < self.floor()

    def floor(self):
        """The highest that we know of, of our epoch."""
        return max(self.board.floor(), self.told_floor if self.front.watch.follower.epoch else 0)

    def mind_floor(self, time):
        """Goes out of service for new viewings while under the floor, and back by itself once it is up."""
        if self.under():
            self.level_since = None
            if self.shut is None:
                self.shut, f = time, self.front.watch.follower
                self.counts["shut_out"] += 1
                self.front.audit.did("shut", f"{f.epoch};{f.version}")
                self.front.lines.warning(
                    "under the floor: nothing new is taken",
                    version=f.version,
                    floor=self.floor(),
                    viewings=len(self.front.viewings),
                )
                if len(self.alive()) > 1:
                    self.front.members.leave()  # others claim what plays here
            return
        if self.shut is None:
            return
        self.level_since = self.level_since or time
        if time - self.level_since >= STEADY:
            self.front.lines.info(
                "over the floor again", version=self.front.watch.follower.version, after=time - self.shut
            )
            self.shut = self.level_since = None
            self.front.audit.did("open", "")
            self.front.members.back()

    def versions(self, follower):
        """A version was taken. Where it raises the floor, boxes that the source does not reach hear it from us."""
        if follower.epoch != self.epoch:
            self.epoch, self.told_floor = follower.epoch, 0
        if follower.floor <= self.told_floor:
            return
        self.told_floor = floor = follower.floor
        if not self.on:
            return
        loop = asyncio.get_running_loop()
        for box in [box for box in self.front.boxes.places if box in self.front.boxes.streams or self.tells(box)]:
            chance = drawn(b"%d:floor:%d:%d" % (self.front.sense.seed, box, floor))
            loop.call_later(chance * TELL_S, self.front.boxes.tell_stamp, box)

    def tells(self, box):
        """Whether it is ours to tell a box that none of us may have a stream to: two managers do, by the hashing."""
        others = list(self.alive())
        for _ in range(TELLERS):
            if others:
                others.remove(first := assigned_manager(f"floor-{box}", others))
                if first == self.front.name:
                    return True
        return False

    def turn_away(self, exchange, viewer):
        """Answers at once, with whom to ask, while nothing new may be taken."""
        if self.shut is None:
            return
        self.counts["sent_on"] += 1
        if at := self.front.members.another(viewer):
            raise Refusal(
                307, "this manager goes by too old a version", [("Location", f"http://{at}{exchange.request.target}")]
            )
        raise Refusal(503, "this manager goes by too old a version, and knows of no other", [("Retry-After", "1")])

    # What others ask

    def handle(self, exchange, what):
        path, _, query = exchange.request.target.partition("?")
        args = dict(parse_qsl(query))
        if what == "account":
            self.front.check_operator(exchange, "an account stays on its manager's disk")
            self.tell_account(exchange, args)
            return
        if self.front.members.shell is None:
            raise Refusal(404, "managers don't talk here")
        if not members_wire.signed(
            exchange.request.target, exchange.request.headers.get(SIGNED), self.front.members.keys
        ):
            raise Refusal(401, "managers sign with a member's key")
        if what == "try":
            exchange.respond(200, [("Content-Type", "application/json")], self.front.tries.asked(args))
            return
        if what == "duty":
            if not self.front.duties.on:
                raise Refusal(404, "no duties are on here")
            exchange.respond(
                200, [("Content-Type", "application/json")], msgspec.json.encode(self.front.duties.account())
            )
            return
        if what in ("owed", "owes"):
            try:
                exchange.respond(200, [("Content-Type", "application/json")], self.front.lent.asked(what, args))
            except ValueError as bad:
                raise Refusal(400, str(bad)) from None
            return
        if not self.on:
            raise Refusal(404, "no versions are spread here")
        if what == "digest":
            f, version = self.front.watch, args.get("version", "")
            known = f.sums.get(int(version)) if version.isdecimal() and args.get("epoch") == f.follower.epoch else None
            if known is None:
                raise Refusal(404, "this version is not known here")
            exchange.respond(200, [("Content-Type", "application/json")], str(known).encode())
            return
        if not self.giver.try_begin(now()):
            raise Refusal(503, "others are just being brought up", [("Retry-After", "1")])
        self.own(self.give(exchange, args))

    async def give(self, exchange, args):
        watch, since, made = self.front.watch, args.get("since", ""), b""
        since = int(since) if since.isdecimal() else -1
        try:
            made = transfer.encode_changes(self.front.name, watch.follower, watch.recent, args.get("epoch"), since)
            if made is None:
                parts = []
                for part in transfer.encode_whole(self.front.name, watch.follower, SLICE):
                    parts.append(part)
                    await asyncio.sleep(0)
                made = b"".join(parts)
            if self.lies:
                made = made[: len(made) // 2] + bytes([made[len(made) // 2] ^ 0x01]) + made[len(made) // 2 + 1 :]
            self.front.lines.info("copy given", to=args.get("from", "")[:40], since=since, bytes=len(made))
            exchange.respond(200, [("Content-Type", "application/msgpack")], made)
        finally:  # it counts as out for as long as its bytes may take
            size = len(made or b"")
            asyncio.get_running_loop().call_later(size / BYTES_PER_SECOND, self.giver.done, size)

    def tell_account(self, exchange, args):
        account = self.front.audit.account
        if account is None:
            raise Refusal(404, "this manager keeps no account")
        since = int(args["since"]) if args.get("since", "").isdigit() else 0
        rows = rows_since(account, since)
        exchange.respond(
            200,
            [("Content-Type", "application/x-ndjson")],
            b"".join(msgspec.json.encode(as_plain(row)) + b"\n" for row in rows),
        )

    # What is said of it

    def state(self):
        if not self.on:
            return {"on": False}
        time, alive = now(), self.alive()
        behind = round(self.front.site.fleet.behind_s * 10_000)
        return {
            "on": True,
            "shut_out_for_s": None if self.shut is None else (time - self.shut) / 10_000,
            "floor": self.floor(),
            "newest": self.board.newest(alive),
            **self.counts,
            "given": self.giver.given,
            "giving_refused": self.giver.refused,
            "rows": {
                row.name: {
                    **row._asdict(),
                    "heard_s_ago": 0
                    if row.name == self.front.name
                    else (time - self.board.received_at.get(row.name, time)) / 10_000,
                }
                for row in [self.board.me, *self.board.rows.values()]
            },
            "stragglers": [
                {**s._asdict(), "since_s": (time - s.since) / 10_000}
                for s in self.board.stragglers(alive, self.suspects(), behind, time)
            ],
        }
