"""Catalogue versions across the fleet, at one manager: rows attached to member messages, catching up from other
managers, going out of service below the version floor, and serving copies to others.

Paths under /fleet: catalogue and digest for managers (signed with a member key), account for operators. Enabled only
where managers exchange messages and a catalogue service distributes versions.
"""

import asyncio
import contextlib
from urllib.parse import parse_qsl

import msgspec

from ..audit.account import as_plain, rows_since
from ..chance import uniform_from_bytes
from ..members import wire as members_wire
from ..members.rate_limit import at_capacity
from ..members.swim import State
from ..members.takeover import assigned_manager
from ..serve.clock import now
from ..signalling.endpoint import Refusal
from ..versions import transfer
from ..versions.catchup import BYTES_PER_SECOND, CatchUp, TransferLimit
from ..versions.table import VersionTable
from .boxes import FLOOR_HEADER

TICK_INTERVAL_S = 0.25
RETURN_DELAY = 10_000  # tenths of a millisecond above the floor before new viewings are accepted again
FETCH_TIMEOUT_S = 20.0  # a transfer is given up after this time
DIGEST_TIMEOUT_S = 1.0
FLOOR_NOTIFIERS = 2  # managers that inform a box to which no manager may have a stream
CONFIRMING_MEMBERS = 2  # other managers whose digests should confirm a copied version
ENCODE_BATCH = 1_000  # titles encoded before yielding to the event loop
FLOOR_NOTICE_SPREAD_S = 0.5  # notices of a new floor to boxes are spread over this time
SIGNATURE_HEADER = "flaxscale-signed"


class FrontFleet:
    """One manager's part in distributing catalogue versions."""

    def __init__(self, front):
        self.front, self.enabled = front, False
        self.board, self.catch_up, self.copy_sender = (
            VersionTable(front.name, front.boot),
            CatchUp(front.name, front.site_terms.seed),
            TransferLimit(now()),
        )
        self.corrupts_copies = False  # for the lab: damages the copies that it serves
        self.out_of_service_since = None  # since when no new viewings are accepted
        self.announced_floor, self.abandoned_epoch, self.above_floor_since, self.epoch = 0, None, None, None
        self.timer, self.jobs, self.counts = (
            None,
            set(),
            dict.fromkeys(("nudges", "brought_up", "copies_refused", "sent_on", "shut_out", "refused_by_boxes"), 0),
        )

    # Start and stop

    def start(self):
        self.enabled = (
            self.front.catalogue_watch is not None
            and self.front.members.shell is not None
            and not self.front.unversioned
        )
        if self.enabled:
            self.tick()

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
        for job in list(self.jobs):
            job.cancel()

    def spawn(self, work):
        job = asyncio.get_running_loop().create_task(work)
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)

    # Rows of member messages

    def update_own_row(self):
        front = self.front
        figures = {
            "list_version": front.box_list.version or 0,
            "settings": front.settings_digest,
            "full": at_capacity(len(front.viewings), front.site.front.held_most, front.gate.rate is not None),
            "slow": front.stall_detector.stalled_recently(now()),
        }
        if self.enabled:
            follower = front.catalogue_watch.follower
            figures |= {
                "epoch": follower.epoch or "",
                "version": follower.version or 0,
                "floor": max(follower.floor, self.announced_floor),
                "digest": follower.digest,
                "up": front.catalogue_watch.up,
                "refused": front.catalogue_watch.refused,
            }
        self.board.update_own(**figures)

    def attached_rows(self, members):
        if self.front.unversioned:
            return ()
        self.update_own_row()
        return self.board.rows_to_send(members)

    def full(self):
        """Returns the names of the members that accept nothing more, including this manager if it is full."""
        self.update_own_row()
        return {row.name for row in (self.board.me, *self.board.rows.values()) if row.full}

    def receive_rows(self, rows, sender):
        time_now = now()
        for row in rows:
            self.board.receive(row, sender, self.boot_of, time_now)

    def boot_of(self, name):
        member = self.front.members.shell.swim.members.get(name)
        return member and member.boot

    def alive(self):
        return self.front.members.alive()

    def suspect_members(self):
        return [
            member.name
            for member in self.front.members.shell.swim.members.values()
            if member.state in (State.SUSPECT, State.DEAD)
        ]

    # Catching up

    def tick(self):
        self.timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self.tick)
        if self.front.server.stopping:
            return
        time_now, alive = now(), self.alive()
        self.update_own_row()
        newest = self.board.refresh(alive, time_now)
        self.check_floor(time_now)
        behind_since = self.board.behind_since
        givers = (
            [
                row.name
                for row in self.board.live_rows(alive)
                if row.name != self.front.name and newest is not None and row.version_id() == newest
            ]
            if behind_since is not None
            else ()
        )
        step = self.catch_up.next_step(time_now, behind_since, self.board.count_behind(alive), givers)
        if step.nudge:
            self.counts["nudges"] += 1
            self.front.logger.info("behind: source asked anew", since=time_now - behind_since, newest=newest)
            self.front.catalogue_watch.reconnect()
            if self.front.list_follower:
                self.front.list_follower.reconnect()
        if step.peer is not None:
            self.spawn(self.fetch(step.peer, newest))

    async def call(self, name, target, timeout_s):
        """Sends a signed GET to another manager and returns its Answer; OSError on failure."""
        service_address = self.front.members.service_address(name)
        if service_address is None:
            raise OSError(f"{name} has no known address")
        host, _, port = service_address.rpartition(":")
        result = await self.front.boxes.pool.fetch(
            host,
            int(port),
            "GET",
            target,
            [(SIGNATURE_HEADER, members_wire.sign(target, self.front.members.member_keys[0]))],
            b"",
            timeout_s,
        )
        if result.status != 200:
            raise OSError(f"status {result.status}")
        return result

    async def fetch(self, peer, newest):
        """Fetches another manager's copy of the catalogue and applies it if its digest is confirmed."""
        follower, logger, applied, is_damaged = self.front.catalogue_watch.follower, self.front.logger, False, False
        try:
            since = follower.version if follower.epoch == newest.epoch else -1
            result = await self.call(
                peer, f"/fleet/catalogue?epoch={newest.epoch}&since={since}&from={self.front.name}", FETCH_TIMEOUT_S
            )
            digests = await self.confirming_digests(peer, newest.epoch, transfer.version_of(result.body))
            epoch, messages = transfer.verify(result.body, follower, newest.epoch, digests)
            self.front.catalogue_watch.apply_handed_over(epoch, messages)
            applied = True
            self.counts["brought_up"] += 1
            logger.info("brought up", by=peer, epoch=epoch, version=follower.version, bytes=len(result.body))
        except ValueError as error:
            is_damaged = getattr(error, "bad_copy", False)
            self.counts["copies_refused"] += 1
            logger.warning("copy refused", by=peer, why=str(error)[:300])
        except OSError as error:
            logger.info("not brought up", by=peer, detail=str(error)[:200])
        finally:
            self.catch_up.finished(now(), applied, is_damaged)

    async def confirming_digests(self, giver, epoch, version):
        """Returns {name: digest} of other members that have a version, from their rows or by asking them."""
        rows = [
            row
            for row in self.board.live_rows(self.alive())
            if row.name not in (giver, self.front.name) and row.epoch == epoch
        ]
        digests = {row.name: row.digest for row in rows if row.version == version and row.digest}
        # may have the version by now, or still know it
        candidates = sorted(row.name for row in rows if row.name not in digests)
        for name in candidates[: max(0, CONFIRMING_MEMBERS - len(digests))]:
            with contextlib.suppress(OSError, ValueError):
                result = await self.call(name, f"/fleet/digest?epoch={epoch}&version={version}", DIGEST_TIMEOUT_S)
                digests[name] = msgspec.json.decode(result.body, type=int)
        return transfer.PeerDigests(digests, len(self.alive()) > 2)

    # Version floor

    def refused_by_box(self, box, headers):
        """Handles a box's refusal of this manager's version."""
        self.counts["refused_by_boxes"] += 1
        epoch, _, rest = headers[FLOOR_HEADER].partition(";")
        floor, _, unknown = rest.partition(";")
        if unknown:
            self.front.audit.stamps.forget(box)
            return
        if not self.enabled or not floor.isdigit():
            return
        follower = self.front.catalogue_watch.follower
        if epoch == follower.epoch:
            self.announced_floor = max(self.announced_floor, int(floor))
        elif follower.epoch:
            self.abandoned_epoch = follower.epoch  # the box no longer uses this epoch
        self.check_floor(now())

    def below_floor(self):
        follower = self.front.catalogue_watch.follower
        if follower.epoch != self.abandoned_epoch:
            self.abandoned_epoch = None
        return self.abandoned_epoch is not None or (follower.version or 0) < self.floor()

    def floor(self):
        """Returns the highest floor known for the current epoch."""
        return max(self.board.floor(), self.announced_floor if self.front.catalogue_watch.follower.epoch else 0)

    def check_floor(self, time_now):
        """Stops accepting new viewings below the version floor, and accepts them again once above it for a while."""
        if self.below_floor():
            self.above_floor_since = None
            if self.out_of_service_since is None:
                self.out_of_service_since, follower = time_now, self.front.catalogue_watch.follower
                self.counts["shut_out"] += 1
                self.front.audit.record("shut", f"{follower.epoch};{follower.version}")
                self.front.logger.warning(
                    "under the floor: nothing new is taken",
                    version=follower.version,
                    floor=self.floor(),
                    viewings=len(self.front.viewings),
                )
                if len(self.alive()) > 1:
                    self.front.members.leave()  # other managers claim the sessions that play here
            return
        if self.out_of_service_since is None:
            return
        self.above_floor_since = self.above_floor_since or time_now
        if time_now - self.above_floor_since >= RETURN_DELAY:
            self.front.logger.info(
                "over the floor again",
                version=self.front.catalogue_watch.follower.version,
                after=time_now - self.out_of_service_since,
            )
            self.out_of_service_since = self.above_floor_since = None
            self.front.audit.record("open", "")
            self.front.members.rejoin()

    def version_taken(self, follower):
        """Handles a new catalogue version: if it raises the floor, informs boxes that the source may not reach."""
        if follower.epoch != self.epoch:
            self.epoch, self.announced_floor = follower.epoch, 0
        if follower.floor <= self.announced_floor:
            return
        self.announced_floor = floor = follower.floor
        if not self.enabled:
            return
        loop = asyncio.get_running_loop()
        for box in [box for box in self.front.boxes.places if box in self.front.boxes.streams or self.notifies(box)]:
            fraction = uniform_from_bytes(b"%d:floor:%d:%d" % (self.front.site_terms.seed, box, floor))
            loop.call_later(fraction * FLOOR_NOTICE_SPREAD_S, self.front.boxes.send_stamp, box)

    def notifies(self, box):
        """Tells whether this manager informs a box that may have no stream to any manager; hashing selects two."""
        others = list(self.alive())
        for _ in range(FLOOR_NOTIFIERS):
            if others:
                others.remove(notifier := assigned_manager(f"floor-{box}", others))
                if notifier == self.front.name:
                    return True
        return False

    def redirect_if_out_of_service(self, exchange, viewer):
        """Redirects a new request, or refuses it, while this manager is out of service."""
        if self.out_of_service_since is None:
            return
        self.counts["sent_on"] += 1
        if address := self.front.members.alternative_for(viewer):
            raise Refusal(
                307,
                "this manager's catalogue version is too old",
                [("Location", f"http://{address}{exchange.request.target}")],
            )
        raise Refusal(
            503, "this manager's catalogue version is too old, and no other manager is known", [("Retry-After", "1")]
        )

    # Requests from other managers

    def handle(self, exchange, resource):
        path, _, query = exchange.request.target.partition("?")
        args = dict(parse_qsl(query))
        if resource == "account":
            self.front.check_operator(exchange, "the account is only readable on the manager's disk")
            self.send_account(exchange, args)
            return
        if self.front.members.shell is None:
            raise Refusal(404, "managers exchange no messages here")
        if not members_wire.signed(
            exchange.request.target, exchange.request.headers.get(SIGNATURE_HEADER), self.front.members.member_keys
        ):
            raise Refusal(401, "a signature with a member key is required")
        if resource == "try":
            exchange.respond(200, [("Content-Type", "application/json")], self.front.retries.handle_lookup(args))
            return
        if resource == "duty":
            if not self.front.duties.enabled:
                raise Refusal(404, "duties are disabled here")
            exchange.respond(
                200, [("Content-Type", "application/json")], msgspec.json.encode(self.front.duties.own_account())
            )
            return
        if resource in ("owed", "owes"):
            try:
                exchange.respond(
                    200,
                    [("Content-Type", "application/json")],
                    self.front.release_replicas.handle_request(resource, args),
                )
            except ValueError as error:
                raise Refusal(400, str(error)) from None
            return
        if not self.enabled:
            raise Refusal(404, "version distribution is disabled here")
        if resource == "digest":
            catalogue_watch, version = self.front.catalogue_watch, args.get("version", "")
            known = (
                catalogue_watch.digests.get(int(version))
                if version.isdecimal() and args.get("epoch") == catalogue_watch.follower.epoch
                else None
            )
            if known is None:
                raise Refusal(404, "this version is unknown here")
            exchange.respond(200, [("Content-Type", "application/json")], str(known).encode())
            return
        if not self.copy_sender.try_begin(now()):
            raise Refusal(503, "too many copies are being sent, retry", [("Retry-After", "1")])
        self.spawn(self.give_copy(exchange, args))

    async def give_copy(self, exchange, args):
        catalogue_watch, since, copy = self.front.catalogue_watch, args.get("since", ""), b""
        since = int(since) if since.isdecimal() else -1
        try:
            copy = transfer.encode_changes(
                self.front.name, catalogue_watch.follower, catalogue_watch.recent, args.get("epoch"), since
            )
            if copy is None:
                parts = []
                for part in transfer.encode_whole(self.front.name, catalogue_watch.follower, ENCODE_BATCH):
                    parts.append(part)
                    await asyncio.sleep(0)
                copy = b"".join(parts)
            if self.corrupts_copies:
                copy = copy[: len(copy) // 2] + bytes([copy[len(copy) // 2] ^ 0x01]) + copy[len(copy) // 2 + 1 :]
            self.front.logger.info("copy sent", to=args.get("from", "")[:40], since=since, bytes=len(copy))
            exchange.respond(200, [("Content-Type", "application/msgpack")], copy)
        finally:  # counted as being sent for as long as the transfer may take
            size = len(copy or b"")
            asyncio.get_running_loop().call_later(size / BYTES_PER_SECOND, self.copy_sender.done, size)

    def send_account(self, exchange, args):
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

    # State report

    def state(self):
        if not self.enabled:
            return {"on": False}
        time_now, alive = now(), self.alive()
        behind = round(self.front.site.fleet.behind_s * 10_000)
        return {
            "on": True,
            "shut_out_for_s": None
            if self.out_of_service_since is None
            else (time_now - self.out_of_service_since) / 10_000,
            "floor": self.floor(),
            "newest": self.board.newest(alive),
            **self.counts,
            "given": self.copy_sender.given,
            "giving_refused": self.copy_sender.refused,
            "rows": {
                row.name: {
                    **row._asdict(),
                    "heard_s_ago": 0
                    if row.name == self.front.name
                    else (time_now - self.board.received_at.get(row.name, time_now)) / 10_000,
                }
                for row in [self.board.me, *self.board.rows.values()]
            },
            "stragglers": [
                {**straggler._asdict(), "since_s": (time_now - straggler.since) / 10_000}
                for straggler in self.board.stragglers(alive, self.suspect_members(), behind, time_now)
            ],
        }
