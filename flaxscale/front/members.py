"""Takeover at one manager: queries boxes for sessions of a dead, departed or restarted manager and claims them."""

import asyncio
import base64
from collections import OrderedDict

import msgspec

from .. import interface
from ..members.rate_limit import ClaimRateLimit
from ..members.seats import SeatBook
from ..members.swim import State
from ..members.takeover import (
    MAX_FAILURES,
    RETRY_DELAY,
    ClaimRetry,
    Session,
    assigned_manager,
    next_manager,
    plan_claims,
)
from ..members.udp import MemberSocket
from ..serve.clock import now
from ..store.shapes import decoded
from .boxes import FLOOR_HEADER

BOX_TIMEOUT_S = 1.0
RETRY_PAUSE_S = RETRY_DELAY / 10_000  # pause before the same claims are sent again
MAX_CONCURRENT_QUERIES = 32  # boxes queried at the same time
MAX_MOVED_SESSIONS = 10_000  # sessions for which the claiming manager is remembered
MEDIA_GRACE_MS = 3000  # a session without media is not an orphan before this age
COOKIE_SHAPE = 1


class Cookie(msgspec.Struct, array_like=True):
    """The data stored with a session at its box, from which another manager can take the viewing over."""

    shape: int
    name: str
    title: str
    sends: bool
    viewer: int
    top: int
    hint: int  # expected length in tenths of a millisecond; 0: unknown
    trace: str


def encode_cookie(name, offer, viewer, top):
    cookie = Cookie(
        COOKIE_SHAPE,
        name,
        offer.title,
        offer.sends,
        viewer,
        top,
        round(offer.length * 10_000) if offer.length else 0,
        offer.trace or "",
    )
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(cookie)).decode()


def decode_cookie(text):
    """Decodes a Cookie; ValueError if it has no known shape."""
    return decoded(base64.urlsafe_b64decode(text), Cookie, COOKIE_SHAPE, "cookie")


class SessionRow(msgspec.Struct):
    """One session as a box reports it."""

    key: str
    owner: str
    epoch: int
    rung: int
    location: str
    media: bool
    age_ms: float
    cookie: str


class BelowFloor(OSError):
    """A box refused an action because of the catalogue version that this manager uses."""

    def __init__(self, headers):
        super().__init__("below the version floor")
        self.headers = headers


# in a refusal: the token that the box knows, where an action was done under a lease
OUTDATED_HEADER = "flaxscale-outdated"


class LeaseOutdated(Exception):
    """The receiver of an action knows a later lease token, or the same one with another owner."""

    def __init__(self, token):
        super().__init__(f"token {token} is already known")
        self.token = token


class Sessions(msgspec.Struct):
    """Sessions that a box reports, with its boot id."""

    boot: str
    sessions: list[SessionRow]


class ClaimsAnswer(msgspec.Struct):
    """The keys that a box granted."""

    granted: list[str]


class FrontMembers:
    """The member protocol and the takeover of sessions at one manager."""

    def __init__(self, front, member_keys, seeds, members=True, member_routes=None):
        """members: if False, managers exchange no messages; only this manager's own earlier sessions are taken over.

        member_routes: {a member's address: the address under which this manager reaches the member}, where they differ.
        """
        self.member_routes = member_routes
        self.front, self.member_keys, self.seeds = front, [key.encode() for key in member_keys], seeds
        self.shell, self.jobs, self.enabled = None, {}, members
        self.taken_over = self.claims_refused = 0
        self.seat_claims = SeatBook(now(), round(front.site.fleet.lease_ms * 10))
        self.ration, self.query_limit = ClaimRateLimit(now()), asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        self.last_reserved, self.reserve_timer = None, None
        self.moved_to = OrderedDict()  # {session name: manager that claimed the session}
        # keys of claims without an answer yet; those of them whose session has ended since
        self.claims_in_flight, self.ended_while_claiming = set(), set()

    async def start(self, host, port, service_address):
        front = self.front
        if self.enabled:
            self.shell = MemberSocket(
                front.name,
                "%s:%d" % service_address,
                front.boot,
                front.site_terms.seed,
                self.member_keys,
                front.logger,
                self.members_changed,
                self.peer_message,
                self.member_routes,
                front.fleet,
            )
            self.address = await self.shell.start(host, port, self.seeds)
            return self.address
        return None

    def recover(self):
        """Takes over, at a start, the sessions that an earlier boot of this manager left playing."""
        self.reserve_timer = asyncio.get_running_loop().call_later(
            (self.seat_claims.until - now()) / 10_000, self.update_reservations
        )
        self.boxes_listed(self.front.boxes.places)

    def update_reservations(self):
        """Informs the decision module, on a change, of the seats that unsettled claims may occupy."""
        reserved = self.seat_claims.reserved(now())
        if reserved != self.last_reserved:
            self.last_reserved = reserved
            self.front.runner.seats_reserved(*reserved)

    def ended_before_grant(self, key):
        """Records that a session ended or was claimed by another manager, by its box's stream or this manager's order.

        The grant of a claim uses another connection and may arrive later; a session adopted then would be held
        forever although nothing plays at the box.
        """
        if key in self.claims_in_flight:
            self.ended_while_claiming.add(key)

    def ended_at_box(self, key):
        """Frees the seat of a session that was claimed only to be ended, once its box has ended it or is gone."""
        if self.seat_claims.settled(key):
            self.update_reservations()

    # Members

    def alive(self):
        return self.shell.swim.alive() if self.shell and self.shell.swim else [self.front.name]

    def member(self, name):
        """Returns what is known of another manager, or None."""
        return self.shell.swim.members.get(name) if self.shell else None

    def service_address(self, name):
        member = self.member(name)
        return member.serves if member is not None else None

    def record_move(self, name, to):
        """Records which manager has claimed a viewing, for redirects of its client."""
        self.moved_to[name] = to
        while len(self.moved_to) > MAX_MOVED_SESSIONS:
            self.moved_to.popitem(last=False)

    def locate(self, name, asked):
        """Returns the address of the manager to ask for a viewing; None if there is no better one than this manager."""
        if self.shell is None:
            return None
        manager = next_manager(name, self.front.name, self.alive(), self.moved_to.get(name), asked)
        return manager and self.service_address(manager)

    def available_members(self):
        """Returns the living members that have not reported being full, or all living ones if all are full."""
        alive, full = self.alive(), self.front.fleet.full()
        return [name for name in alive if name not in full] or alive

    def alternative_for(self, viewer):
        """Returns the service address of another manager for a viewer that can't be accepted here."""
        others = [name for name in self.alive() if name != self.front.name]
        others = [name for name in others if name in self.available_members()] or others
        return self.service_address(assigned_manager(str(viewer), others)) if others else None

    def members_changed(self, changes):
        if self.shell.swim is not None:
            self.front.audit.update_stamp()
        for change in changes:
            if change.state in (State.DEAD, State.LEFT):
                self.take_over(change.name)

    def peer_message(self, sender, box, kb):
        self.front.runner.peer_load_changed(sender, box, kb)

    # Takeover

    def take_over(self, manager, boxes=None):
        """Takes over a manager's sessions at the given boxes, by default at all listed ones; one job for each."""
        if self.front.fleet.out_of_service_since is not None:
            return  # a manager below the version floor takes nothing over
        for box in list(self.front.boxes.places) if boxes is None else boxes:
            if (box, manager) not in self.jobs:
                job = asyncio.get_running_loop().create_task(self.take_over_from_box(box, manager))
                self.jobs[box, manager] = job
                job.add_done_callback(lambda _, key=(box, manager): self.jobs.pop(key, None))

    def boxes_listed(self, boxes):
        """Checks newly listed boxes for sessions of an earlier boot."""
        if self.seat_claims.listed(boxes, now()):
            self.update_reservations()
        self.take_over(self.front.name, boxes)

    def nothing_left(self, box):
        """Records that a box holds no unknown sessions of an earlier boot."""
        self.seat_claims.box_reported(box)
        self.update_reservations()

    def is_away(self, manager):
        return manager == self.front.name or manager not in self.alive()

    async def take_over_from_box(self, box, manager):
        retry_course, release_replicas = ClaimRetry(), self.front.release_replicas
        while self.may_take_over(manager) and (place := self.front.boxes.places.get(box)) is not None:
            try:
                async with self.query_limit:
                    if manager != self.front.name:
                        self.front.failpoints.reach("asking")
                    found, pending = await asyncio.gather(
                        self.call(place, "GET", f"/manager/sessions?of={manager}", None, Sessions),
                        release_replicas.pending_for(manager, box),
                    )
                    pause = retry_course.answered(
                        await self.claim(box, place, manager, found, retry_course.rank, pending)
                    )
            except (OSError, asyncio.TimeoutError, msgspec.MsgspecError) as error:
                pause = retry_course.failed()
                self.front.logger.info(
                    "session query failed", box=box, of=manager, detail=str(error)[:200], tries=retry_course.failures
                )
            if pause is None:
                return
            await asyncio.sleep(pause / 10_000)

    def may_take_over(self, manager):
        """Tells whether this manager may take over sessions of another one, or of its own earlier boot.

        Not if the other manager is back, which takes its own sessions over; nor while this manager is out of service
        or leaving: the others have already queried the boxes for its sessions and would not find later claims.
        """
        # None: the box list arrived before the member socket was open
        swim = self.shell.swim if self.shell is not None else None
        leaving = swim is not None and swim.me.state is State.LEFT
        return self.is_away(manager) and self.front.fleet.out_of_service_since is None and not leaving

    async def call(self, place, method, target, body, answer_type, extra_headers=(), timeout_s=BOX_TIMEOUT_S):
        result = await self.front.boxes.pool.fetch(
            place.host,
            place.port,
            method,
            target,
            [("Content-Type", "application/json"), *extra_headers, *self.front.boxes.identity_headers],
            msgspec.json.encode(body) if body is not None else b"",
            timeout_s,
        )
        if FLOOR_HEADER in result.headers:
            raise BelowFloor(result.headers)
        if OUTDATED_HEADER in result.headers:
            raise LeaseOutdated(int(result.headers[OUTDATED_HEADER]))
        if result.status != 200:
            raise OSError(f"status {result.status}")
        return msgspec.json.decode(result.body, type=answer_type)

    async def claim(self, box, place, manager, found, rank, pending, lease_headers=()):
        """Claims those sessions of a box's answer that are this manager's to take.

        Returns the rank at which to query again, or None if nothing is left.
        lease_headers: header that names the lease, if the claim needs one; LeaseOutdated if that lease has ended.
        """
        front, is_own = self.front, manager == self.front.name
        rows, cookies, all_read = {}, {}, True
        for row in found.sessions:
            if (
                row.key in front.boxes.sessions_at(box)
                or front.is_pending(row.key)
                or row.key.startswith(f"{front.name}.{front.boot}.")
                or row.key in self.claims_in_flight
                or row.key in front.boxes.pending_releases.release_keys(box)
            ):
                continue  # held here, about to be, or already ended by its client
            try:
                cookies[row.key] = decode_cookie(row.cookie)
            except ValueError as error:
                front.logger.info("session not taken over", key=row.key, detail=str(error))
                all_read = False
                continue
            rows[row.key] = row
        sessions = [
            Session(
                session.key,
                session.owner,
                session.epoch,
                cookies[session.key].name,
                session.media or session.age_ms < MEDIA_GRACE_MS,
            )
            for session in rows.values()
        ]
        takeover_plan = plan_claims(
            sessions, manager, front.name, [front.name] if is_own else self.available_members(), rank, pending
        )
        wanted = sorted(
            takeover_plan.claims,
            key=lambda claim: (claim.key in takeover_plan.ends, -front.value_per_second(cookies[claim.key])),
        )
        retry_later = False
        while wanted and self.may_take_over(manager):
            capacity = len(wanted) if is_own else front.site.front.held_most - len(front.viewings)
            allowed = self.ration.take(now(), len(wanted), capacity)
            if not allowed:
                if capacity <= 0:
                    break  # the next manager in the order takes them
                await asyncio.sleep(self.ration.wait_time() / 10_000)
                continue
            claims, unresolved = self.select_claims(box, wanted[:allowed], is_own, rows, cookies)
            wanted, retry_later = wanted[allowed:], retry_later or unresolved
            if not claims:
                continue
            front.failpoints.reach("claiming")
            granted = await self.request_claims(box, place, claims, lease_headers)
            front.failpoints.reach("granted")
            for key in granted:
                if key in pending:
                    front.release_replicas.counts["carried_out"] += 1
                front.adopt(
                    box, place, key, claims[key], rows[key], cookies[key], found.boot, key in takeover_plan.ends
                )
                front.failpoints.reach("adopted")
            for key in claims:
                if key not in front.boxes.pending_releases.release_keys(box):
                    self.seat_claims.settled(key)
            self.taken_over += len(granted)
            self.claims_refused += len(claims) - len(granted)
            front.logger.info(
                "taken over",
                box=box,
                of=manager,
                count=len(granted),
                rank=rank,
                refused=len(claims) - len(granted),
                left=len(wanted),
            )
        if is_own and all_read and not retry_later and not wanted:
            self.nothing_left(box)
        self.update_reservations()
        return rank if retry_later else takeover_plan.next

    def select_claims(self, box, wanted, is_own, rows, cookies):
        """Returns ({key: epoch} to claim now, whether some of the sessions can be claimed only later)."""
        front, claims, retry_later = self.front, {}, False
        for claim in wanted:  # watched and most valuable sessions first, in case capacity is short
            seat = front.seat_for(cookies[claim.key])
            if seat is None:
                retry_later = True  # its title is not known yet, or no longer
            elif front.has_free_seat(seat, is_own):
                claims[claim.key] = claim.epoch
                self.seat_claims.claim(claim.key, seat)
                self.update_reservations()  # each seat check counts the claims before it
            elif is_own:  # over the seat limit, and the session carries this manager's name
                self.seat_claims.claim(claim.key, seat)
                front.end_unheld(box, claim.key, rows[claim.key].epoch, "no seat")
            else:  # left to end with its lease, unless this manager does not yet know all sessions of its own
                retry_later = retry_later or bool(self.seat_claims.reserved(now()).boxes)
        return claims, retry_later

    async def request_claims(self, box, place, claims, lease_headers=()):
        """Returns the keys that a box granted and that are still wanted.

        If the answer is lost, all claims may have been granted, so the same claims are sent again. If the box stays
        silent they are given up, and the box is ordered to end whatever it may have granted.
        """
        audit = self.front.audit
        self.claims_in_flight.update(claims)
        try:
            for attempt in range(MAX_FAILURES):
                try:
                    for key in claims:
                        audit.record("claim", key, box)
                    stamp = audit.stamp_header(box, place.boot)
                    answer = await self.call(
                        place, "POST", "/manager/adopt", {"claims": claims}, ClaimsAnswer, [stamp, *lease_headers]
                    )
                    audit.stamps.acknowledged(box, place.boot, stamp[1])
                    granted = [key for key in answer.granted if key in claims]
                    # the box refuses the order if another manager has the session
                    for key in self.ended_while_claiming.intersection(granted):
                        self.front.end_unheld(box, key, claims[key], "ended while being claimed")
                    return [key for key in granted if key not in self.ended_while_claiming]
                except BelowFloor as refusal:  # the box granted no claim
                    self.front.boxes.stamp_answered(box, place.boot, stamp[1], refusal)
                    if self.front.fleet.out_of_service_since is not None:
                        return []
                except (OSError, asyncio.TimeoutError, msgspec.MsgspecError) as error:
                    self.front.logger.info(
                        "claims not answered", box=box, count=len(claims), tries=attempt + 1, detail=str(error)[:200]
                    )
                    if box not in self.front.boxes.places:
                        break
                await asyncio.sleep(RETRY_PAUSE_S)
        except (asyncio.CancelledError, LeaseOutdated):
            for key in claims:
                self.seat_claims.settled(key)
            raise
        finally:
            self.claims_in_flight.difference_update(claims)
            self.ended_while_claiming.difference_update(claims)
        for key, epoch in claims.items():
            self.front.end_unheld(box, key, epoch, "claim not answered")
        return []

    def state(self):
        if self.shell is None:
            return {
                "on": False,
                "taken_over": self.taken_over,
                "not_heard_yet": len(self.seat_claims.reserved(now()).boxes),
            }
        members = {
            member.name: {
                "state": member.state.name.lower(),
                "incarnation": member.incarnation,
                "address": member.address,
                "serves": member.serves,
                "boot": member.boot,
            }
            for member in self.shell.swim.members.values()
        }
        return {
            "on": True,
            "alive": self.alive(),
            "members": members,
            "taken_over": self.taken_over,
            "claims_refused": self.claims_refused,
            "not_heard_yet": len(self.seat_claims.reserved(now()).boxes),
            "stood_still": self.shell.swim.stalls,
            "messages_refused": self.shell.refused,
        }

    def leave(self):
        if self.shell:
            self.shell.leave()

    def rejoin(self):
        """Returns to service after leaving: informs the others and claims its own sessions that were not taken over."""
        if self.shell:
            self.shell.rejoin()
        self.take_over(self.front.name)

    async def stop(self):
        if self.reserve_timer is not None:
            self.reserve_timer.cancel()
        for job in list(self.jobs.values()):
            job.cancel()
        await asyncio.gather(*self.jobs.values(), return_exceptions=True)
        if self.shell:
            self.shell.close()


def handover_request(id, cookie, package, title, entry, top):
    """Builds the event that hands a playing viewing over to the decision module."""
    return interface.SessionRequest(
        id,
        package,
        title,
        cookie.viewer,
        0,
        min(cookie.top, top),
        entry.first_cell,
        entry.cells,
        cookie.hint,
        False,
        False,
    )
