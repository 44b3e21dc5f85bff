"""Take-over on sockets: sessions of a manager that died, left or was restarted are asked for at boxes and claimed."""

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
from .boxes import FLOOR

ASK_S, PAUSE_S = 1.0, RETRY_DELAY / 10_000
ASKED_MOST = 32  # boxes that are asked at a time
GONE_MOST = 10_000
YOUNG_MS = 3000  # a session without media is no orphan before this
SHAPE = 1


class Cookie(msgspec.Struct, array_like=True):
    """What is put down with a session at its box, for whoever takes the viewing over."""

    shape: int
    name: str
    title: str
    sends: bool
    viewer: int
    top: int
    hint: int  # expected length, tenths of a millisecond; 0: none
    trace: str


def cookie_out(name, offer, viewer, top):
    made = Cookie(
        SHAPE,
        name,
        offer.title,
        offer.sends,
        viewer,
        top,
        round(offer.length * 10_000) if offer.length else 0,
        offer.trace or "",
    )
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(made)).decode()


def cookie_in(text):
    """A Cookie; ValueError where it is none that this program knows."""
    return decoded(base64.urlsafe_b64decode(text), Cookie, SHAPE, "cookie")


class SessionRow(msgspec.Struct):
    """One session as a box tells it."""

    key: str
    owner: str
    epoch: int
    rung: int
    location: str
    media: bool
    age_ms: float
    cookie: str


class UnderFloor(OSError):
    """A box refused it for the version under which it was done."""

    def __init__(self, headers):
        super().__init__("under the floor of versions")
        self.headers = headers


OUTDATED = "flaxscale-outdated"  # in a refusal: the token that is known where something was done under a lease


class Outdated(Exception):
    """What was acted on knows a later token, or this one of another owner."""

    def __init__(self, token):
        super().__init__(f"token {token} is known there")
        self.token = token


class Sessions(msgspec.Struct):
    boot: str
    sessions: list[SessionRow]


class Granted(msgspec.Struct):
    granted: list[str]


class FrontMembers:
    def __init__(self, front, keys, seeds, members=True, via=None):
        """members: False: no talk between managers; only what was this manager's own is taken up again at a start.

        via: {a member's address: the one by which we reach it}, where that is another one.
        """
        self.via = via
        self.front, self.keys, self.seeds = front, [k.encode() for k in keys], seeds
        self.shell, self.jobs, self.on = None, {}, members
        self.taken = self.refused = 0
        self.book = SeatBook(now(), round(front.site.fleet.lease_ms * 10))
        self.ration, self.asking = ClaimRateLimit(now()), asyncio.Semaphore(ASKED_MOST)
        self.told, self.timer = None, None
        self.gone_to = OrderedDict()  # viewings that another manager took from us
        self.claiming, self.lost_again = set(), set()  # claims that are out; what of them is over again

    async def start(self, host, port, serves):
        front = self.front
        if self.on:
            self.shell = MemberSocket(
                front.name,
                "%s:%d" % serves,
                front.boot,
                front.sense.seed,
                self.keys,
                front.lines,
                self.changed,
                self.word,
                self.via,
                front.fleet,
            )
            self.address = await self.shell.start(host, port, self.seeds)
            return self.address
        return None

    def recover(self):
        """At a start: whatever an earlier life of this manager left playing."""
        self.timer = asyncio.get_running_loop().call_later((self.book.until - now()) / 10_000, self.reserve)
        self.listed(self.front.boxes.places)

    def reserve(self):
        """Tells the module of the seats that may be taken without it, where that changed."""
        made = self.book.reserved(now())
        if made != self.told:
            self.told = made
            self.front.runner.seats_reserved(*made)

    def over_early(self, key):
        """A session is over, or another's, by its box's stream or by our own order: where its claim is out, the grant
        is on another way and comes later. Held all the same it would be ours for good, with nothing there."""
        if key in self.claiming:
            self.lost_again.add(key)

    def ended_there(self, key):
        """A box ended a session, or is gone with it: where we had claimed it only for that, its seat is free."""
        if self.book.settled(key):
            self.reserve()

    # Members

    def alive(self):
        return self.shell.swim.alive() if self.shell and self.shell.swim else [self.front.name]

    def member(self, name):
        """What we hold of another manager, or None."""
        return self.shell.swim.members.get(name) if self.shell else None

    def serves(self, name):
        member = self.member(name)
        return member.serves if member is not None else None

    def moved(self, name, to):
        """Another manager has this viewing now: whoever asks us for it is sent there."""
        self.gone_to[name] = to
        while len(self.gone_to) > GONE_MOST:
            self.gone_to.popitem(last=False)

    def present(self, name, asked):
        """Where to ask for a viewing that is not ours, or None: nobody but us can know."""
        if self.shell is None:
            return None
        manager = next_manager(name, self.front.name, self.alive(), self.gone_to.get(name), asked)
        return manager and self.serves(manager)

    def takers(self):
        """Members that may take something over: those that live and do not say that they are full; all, if all do."""
        alive, full = self.alive(), self.front.fleet.full()
        return [name for name in alive if name not in full] or alive

    def another(self, viewer):
        """Where another manager serves, for a viewer who can't be taken here."""
        others = [n for n in self.alive() if n != self.front.name]
        others = [n for n in others if n in self.takers()] or others
        return self.serves(assigned_manager(str(viewer), others)) if others else None

    def changed(self, changes):
        if self.shell.swim is not None:
            self.front.audit.renew()
        for news in changes:
            if news.state in (State.DEAD, State.LEFT):
                self.take_over(news.name)

    def word(self, sender, box, kb):
        self.front.runner.peer_load_changed(sender, box, kb)

    # Taking over

    def take_over(self, manager, boxes=None):
        """Asks boxes, all that are listed where none are named, for that manager's sessions; one job each at a time."""
        if self.front.fleet.shut is not None:
            return  # what is under the floor takes nothing over
        for box in list(self.front.boxes.places) if boxes is None else boxes:
            if (box, manager) not in self.jobs:
                job = asyncio.get_running_loop().create_task(self.from_box(box, manager))
                self.jobs[box, manager] = job
                job.add_done_callback(lambda _, key=(box, manager): self.jobs.pop(key, None))

    def listed(self, boxes):
        """Boxes that the list names only now may hold sessions of an earlier life."""
        if self.book.listed(boxes, now()):
            self.reserve()
        self.take_over(self.front.name, boxes)

    def said(self, box):
        """Nothing of an earlier life is left at a box that we don't know of."""
        self.book.box_reported(box)
        self.reserve()

    def still_away(self, manager):
        return manager == self.front.name or manager not in self.alive()

    async def from_box(self, box, manager):
        course, lent = ClaimRetry(), self.front.lent
        while self.may_take(manager) and (place := self.front.boxes.places.get(box)) is not None:
            try:
                async with self.asking:
                    if manager != self.front.name:
                        self.front.steps.at("asking")
                    found, owed = await asyncio.gather(
                        self.call(place, "GET", f"/manager/sessions?of={manager}", None, Sessions),
                        lent.of(manager, box),
                    )
                    pause = course.answered(await self.claim(box, place, manager, found, course.rank, owed))
            except (OSError, asyncio.TimeoutError, msgspec.MsgspecError) as bad:
                pause = course.failed()
                self.front.lines.info(
                    "sessions not heard", box=box, of=manager, detail=str(bad)[:200], tries=course.failures
                )
            if pause is None:
                return
            await asyncio.sleep(pause / 10_000)

    def may_take(self, manager):
        """It is not back, when it takes its own up again, and we are in service, and stay: who leaves with it would
        claim what the others, who have asked already for what is ours, never look for again."""
        swim = self.shell.swim if self.shell is not None else None  # None: a list came before its socket was open
        leaving = swim is not None and swim.me.state is State.LEFT
        return self.still_away(manager) and self.front.fleet.shut is None and not leaving

    async def call(self, place, method, target, body, kind, more=(), within=ASK_S):
        result = await self.front.boxes.pool.ask(
            place.host,
            place.port,
            method,
            target,
            [("Content-Type", "application/json"), *more, *self.front.boxes.who],
            msgspec.json.encode(body) if body is not None else b"",
            within,
        )
        if FLOOR in result.headers:
            raise UnderFloor(result.headers)
        if OUTDATED in result.headers:
            raise Outdated(int(result.headers[OUTDATED]))
        if result.status != 200:
            raise OSError(f"status {result.status}")
        return msgspec.json.decode(result.body, type=kind)

    async def claim(self, box, place, manager, found, rank, owed, under=()):
        """Claims what is ours to take of a box's answer. The rank at which to come again, None: nothing is left.

        under: a field that names the lease, where it is done under one; Outdated where that is over.
        """
        front, own = self.front, manager == self.front.name
        rows, cookies, whole = {}, {}, True
        for row in found.sessions:
            if (
                row.key in front.boxes.keys(box)
                or front.is_out(row.key)
                or row.key.startswith(f"{front.name}.{front.boot}.")
                or row.key in self.claiming
                or row.key in front.boxes.owed.keys(box)
            ):
                continue  # of this very life, or soon to be; or its client has ended it
            try:
                cookies[row.key] = cookie_in(row.cookie)
            except ValueError as bad:
                front.lines.info("session not taken over", key=row.key, detail=str(bad))
                whole = False
                continue
            rows[row.key] = row
        sessions = [
            Session(r.key, r.owner, r.epoch, cookies[r.key].name, r.media or r.age_ms < YOUNG_MS) for r in rows.values()
        ]
        made = plan_claims(sessions, manager, front.name, [front.name] if own else self.takers(), rank, owed)
        wanted = sorted(made.claims, key=lambda c: (c.key in made.ends, -front.value_of(cookies[c.key])))
        later = False
        while wanted and self.may_take(manager):
            room = len(wanted) if own else front.site.front.held_most - len(front.viewings)
            may = self.ration.take(now(), len(wanted), room)
            if not may:
                if room <= 0:
                    break  # the next in the order takes them
                await asyncio.sleep(self.ration.wait_time() / 10_000)
                continue
            claims, unknown = self.to_claim(box, wanted[:may], own, rows, cookies)
            wanted, later = wanted[may:], later or unknown
            if not claims:
                continue
            front.steps.at("claiming")
            granted = await self.granted(box, place, claims, under)
            front.steps.at("granted")
            for key in granted:
                if key in owed:
                    front.lent.counts["carried_out"] += 1
                front.adopted(box, place, key, claims[key], rows[key], cookies[key], found.boot, key in made.ends)
                front.steps.at("adopted")
            for key in claims:
                if key not in front.boxes.owed.keys(box):
                    self.book.settled(key)
            self.taken += len(granted)
            self.refused += len(claims) - len(granted)
            front.lines.info(
                "taken over",
                box=box,
                of=manager,
                count=len(granted),
                rank=rank,
                refused=len(claims) - len(granted),
                left=len(wanted),
            )
        if own and whole and not later and not wanted:
            self.said(box)
        self.reserve()
        return rank if later else made.next

    def to_claim(self, box, wanted, own, rows, cookies):
        """({key: epoch} to claim now, whether something of it may be claimed only later)."""
        front, claims, later = self.front, {}, False
        for c in wanted:  # who watches first, and what is worth most, where there is little room
            seat = front.seat_of(cookies[c.key])
            if seat is None:
                later = True  # its title is not known yet, or not any more
            elif front.has_seat(seat, own):
                claims[c.key] = c.epoch
                self.book.claim(c.key, seat)
                self.reserve()  # each is asked for with those before it counted
            elif own:  # over what seats allow by now, and it bears our name
                self.book.claim(c.key, seat)
                front.let_end(box, c.key, rows[c.key].epoch, "no seat")
            else:  # the lease ends it, unless we only don't know yet what we have ourselves
                later = later or bool(self.book.reserved(now()).boxes)
        return claims, later

    async def granted(self, box, place, claims, under=()):
        """Keys that a box granted, and that are ours still. An answer that is lost may have granted all: the same
        claims are asked for again. Where the box stays silent they are given up: it is told to end what it may have
        granted.
        """
        audit = self.front.audit
        self.claiming.update(claims)
        try:
            for n in range(MAX_FAILURES):
                try:
                    for key in claims:
                        audit.did("claim", key, box)
                    field = audit.field(box, place.boot)
                    said = await self.call(
                        place, "POST", "/manager/adopt", {"claims": claims}, Granted, [field, *under]
                    )
                    audit.stamps.acknowledged(box, place.boot, field[1])
                    good = [key for key in said.granted if key in claims]
                    for key in self.lost_again.intersection(good):  # refused there where it is another's
                        self.front.let_end(box, key, claims[key], "over meanwhile")
                    return [key for key in good if key not in self.lost_again]
                except UnderFloor as no:  # the box granted none of it
                    self.front.boxes.answered_under(box, place.boot, field[1], no)
                    if self.front.fleet.shut is not None:
                        return []
                except (OSError, asyncio.TimeoutError, msgspec.MsgspecError) as bad:
                    self.front.lines.info(
                        "claims not answered", box=box, count=len(claims), tries=n + 1, detail=str(bad)[:200]
                    )
                    if box not in self.front.boxes.places:
                        break
                await asyncio.sleep(PAUSE_S)
        except (asyncio.CancelledError, Outdated):
            for key in claims:
                self.book.settled(key)
            raise
        finally:
            self.claiming.difference_update(claims)
            self.lost_again.difference_update(claims)
        for key, epoch in claims.items():
            self.front.let_end(box, key, epoch, "claim not answered")
        return []

    def state(self):
        if self.shell is None:
            return {"on": False, "taken_over": self.taken, "not_heard_yet": len(self.book.reserved(now()).boxes)}
        members = {
            m.name: {
                "state": m.state.name.lower(),
                "incarnation": m.incarnation,
                "address": m.address,
                "serves": m.serves,
                "boot": m.boot,
            }
            for m in self.shell.swim.members.values()
        }
        return {
            "on": True,
            "alive": self.alive(),
            "members": members,
            "taken_over": self.taken,
            "claims_refused": self.refused,
            "not_heard_yet": len(self.book.reserved(now()).boxes),
            "stood_still": self.shell.swim.stalls,
            "messages_refused": self.shell.refused,
        }

    def leave(self):
        if self.shell:
            self.shell.leave()

    def back(self):
        """In service again after leaving: others hear so, and what bears our name and nobody took is claimed."""
        if self.shell:
            self.shell.rejoin()
        self.take_over(self.front.name)

    async def stop(self):
        if self.timer is not None:
            self.timer.cancel()
        for job in list(self.jobs.values()):
            job.cancel()
        await asyncio.gather(*self.jobs.values(), return_exceptions=True)
        if self.shell:
            self.shell.close()


def ask_of(id, cookie, package, title, row, top):
    """What the module is told of a viewing that plays already."""
    return interface.SessionRequest(
        id, package, title, cookie.viewer, 0, min(cookie.top, top), row.first_cell, row.cells, cookie.hint, False, False
    )
