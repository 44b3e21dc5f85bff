"""Managers that talk to each other in a day of the model: who is dead to whom, and who takes over what plays.

The machines are the program's own: members.swim, members.adopt (plan, Course, and the Fence in the boxes),
members.seats and members.ration, used as front/members.py uses them. Around them stand ways in virtual time: a
datagram is gone where its way does not pass, or lost with that way's chance; what goes to and from boxes waits until
it passes. What a client asked for and was not answered is not joined here (recovery.key_registry): its next try is a
new one.

A viewing keeps the number by which the play knows it, whoever holds it; what names its session at its box is the key
under which it was set up, and the epoch.
"""

from typing import NamedTuple

from ..members.adopt import PAUSE, TRIES, Course, Session, plan
from ..members.ration import Ration, full
from ..members.seats import SeatBook
from ..members.swim import State, Swim

NETWORK_DELAY = 5  # one way, as the play's own messages take
REQUEST_TIMEOUT = 10_000  # an asking without an answer is given up
MEDIA_GRACE = 30_000  # a session without media is no orphan before this


class BoxSession(NamedTuple):
    """A session as its box tells it."""

    key: tuple
    owner: str
    epoch: int
    rung: int
    age: int
    media: bool
    viewing: object  # the play's own viewing, which stands for the cookie


class BoxJob:
    """One manager asks one box for the sessions of another, or of an earlier life of its own."""

    def __init__(self, box, owner):
        self.box, self.owner, self.course, self.request_number = box, owner, Course(), 0
        self.waiting_claims, self.orphans, self.rows, self.boot, self.next_rank, self.claims_deferred = (
            [],
            set(),
            {},
            0,
            None,
            False,
        )
        self.claims_out, self.tries = {}, 0  # claims that are out: {key: epoch}


class Takeover:
    """One life of a manager among the others."""

    def __init__(self, play, manager, others):
        """others: names at which it asks for the rest until somebody is known."""
        self.play, self.world, self.manager, self.name, self.incarnation = (
            play,
            play.world,
            manager,
            manager.name,
            manager.incarnation,
        )
        now = self.world.now
        self.swim = Swim(
            self.name, self.name, f"{self.name}.{self.incarnation}", play.seed * 1000 + manager.number, now
        )
        self.swim.join(others)
        self.seat_book = SeatBook(now, round(play.day.site.fleet.lease_ms * 10))
        self.ration, self.jobs, self.last_reserved, self.timer = Ration(now), {}, None, 0
        self.change_count = 0  # of members and boxes: another number where it changed
        self.world.call_at(now, self.timer_fires, 0)

    def begin(self):
        """Once its boxes are known: what an earlier life left, and the seats that may take."""
        self.boxes_listed(list(self.manager.listed_boxes()))
        self.world.call_at(self.seat_book.until, self.publish_seats)

    def active(self):
        return self.manager.up and self.manager.incarnation == self.incarnation

    # Who is alive

    def timer_fires(self, alarm):
        if alarm != self.timer or not self.active() or self.manager.deferred_by_stall(self.timer_fires, alarm):
            return
        self.send(self.swim.tick(self.world.now))
        self.apply_changes()

    def send(self, out):
        for address, message in out:
            self.play.send_datagram(
                self.name, address, NETWORK_DELAY, self.play.member_message_arrives, address, message, self.name
            )

    def message_arrives(self, message, sender):
        self.send(self.swim.heard(message, sender, self.world.now))
        self.apply_changes()

    def apply_changes(self):
        for change in self.swim.taken_changes():
            self.change_count += 1
            self.play.records.append(
                (self.world.now, "member", self.name, change.name, change.state.name.lower(), change.boot)
            )
            if change.state in (State.DEAD, State.LEFT):
                self.take_over(change.name)
        self.timer += 1
        if self.swim.me.state is not State.LEFT:
            self.world.call_at(max(self.world.now + 10, self.swim.due()), self.timer_fires, self.timer)

    def leave(self):
        self.send(self.swim.leave())

    # Seats

    def publish_seats(self):
        """Tells the module of the seats that may be taken without it, where that changed."""
        seats = self.seat_book.reserved(self.world.now)
        if self.active() and seats != self.last_reserved:
            self.last_reserved = seats
            self.manager.runner.seats_reserved(*seats)

    def boxes_listed(self, boxes):
        """Boxes that the list names only now may hold sessions of an earlier life."""
        self.change_count += 1
        if self.seat_book.listed(boxes, self.world.now):
            self.publish_seats()
        self.take_over(self.name, boxes)

    # Taking over

    def take_over(self, owner, boxes=None):
        for box in self.manager.listed_boxes() if boxes is None else boxes:
            if (box, owner) not in self.jobs:
                job = self.jobs[box, owner] = BoxJob(box, owner)
                self.request_sessions(job)

    def may_take(self, owner):
        member = self.swim.members.get(owner)
        gone = owner == self.name or member is None or member.state in (State.DEAD, State.LEFT)
        return self.active() and not self.manager.stopping and gone

    def request_sessions(self, job):
        if self.active() and self.manager.deferred_by_stall(self.request_sessions, job):
            return
        if not self.may_take(job.owner) or not self.manager.lists_box(job.box):
            self.jobs.pop((job.box, job.owner), None)
            return
        job.request_number += 1
        self.play.send(
            self.name, f"b{job.box}", NETWORK_DELAY, self.request_at_box, job, job.request_number, self.list_sessions
        )
        self.world.call_later(REQUEST_TIMEOUT, self.timed_out, job, job.request_number)

    def request_at_box(self, job, number, operation):
        """At the box: one that is gone refuses at once, one that hangs never answers."""
        model_box = self.play.fleet.boxes[job.box]
        if model_box.dead:
            self.send_answer(job, self.timed_out, number)
        elif not model_box.box.trouble.hang:
            operation(job, number, model_box)

    def send_answer(self, job, callback, number, *content):
        self.play.send(f"b{job.box}", self.name, NETWORK_DELAY, self.answer_arrives, callback, job, number, *content)

    def answer_arrives(self, callback, job, number, *content):
        if (
            self.active()
            and not self.manager.deferred_by_stall(self.answer_arrives, callback, job, number, *content)
            and job.request_number == number
        ):
            callback(job, number, *content)

    def timed_out(self, job, number):
        """No answer to the asking, or to the claims that are out."""
        if (
            not self.active()
            or job.request_number != number
            or self.manager.deferred_by_stall(self.timed_out, job, number)
        ):
            return
        job.request_number += 1
        if job.claims_out:
            job.tries += 1
            if job.tries < TRIES and self.manager.lists_box(job.box):
                self.world.call_later(PAUSE, self.send_claims, job, job.request_number)
                return
            for key, epoch in job.claims_out.items():
                self.manager.end_unheld(job.box, key, epoch)
                self.seat_book.settled(key)
            job.claims_out = {}
            self.claim_next(job)
            return
        self.retry(job, job.course.failed())

    def retry(self, job, pause):
        if pause is None:
            self.jobs.pop((job.box, job.owner), None)
        else:
            self.world.call_later(pause, self.request_sessions, job)

    def list_sessions(self, job, number, model_box):
        now, rows = self.world.now, []
        for key, session in model_box.box.sessions.items():
            viewing = self.play.viewing_by_key.get(key)
            if session.manager == job.owner and viewing is not None:
                rows.append(
                    BoxSession(
                        key,
                        session.manager,
                        model_box.box.fence.epoch(key),
                        session.rung,
                        now - session.began,
                        viewing.playing and not viewing.ended,
                        viewing,
                    )
                )
        self.send_answer(job, self.sessions_listed, number, model_box.boot, rows)

    def sessions_listed(self, job, number, boot, rows):
        job.request_number += 1
        job.rows = {session.key: session for session in rows if not self.manager.knows_session(session.key)}
        job.boot, job.claims_deferred, own = boot, False, job.owner == self.name
        takeover_plan = plan(
            [
                Session(
                    session.key,
                    session.owner,
                    session.epoch,
                    viewing_name(session.key),
                    session.media or session.age < MEDIA_GRACE,
                )
                for session in job.rows.values()
            ],
            job.owner,
            self.name,
            [self.name] if own else self.swim.alive(),
            job.course.rank,
        )
        packages = self.play.packages
        job.orphans, job.next_rank = set(takeover_plan.ends), takeover_plan.next
        job.waiting_claims = sorted(
            takeover_plan.claims,
            key=lambda claim: (claim.key in job.orphans, -packages[job.rows[claim.key].viewing.player.package].value),
        )
        self.claim_next(job)

    def claim_next(self, job):
        """The next batch of claims, or the end of this asking."""
        own = job.owner == self.name
        while job.waiting_claims and self.may_take(job.owner):
            max_viewings = self.play.day.site.front.held_most
            room = len(job.waiting_claims) if own else max_viewings - len(self.manager.viewings)
            if not own and full(len(self.manager.viewings), max_viewings, False):
                break  # the next in the order takes them
            allowed = self.ration.take(self.world.now, len(job.waiting_claims), room)
            if not allowed:
                if room <= 0:
                    break
                self.world.call_later(self.ration.wait(), self.ration_ready, job, job.request_number)
                return
            batch, job.waiting_claims = job.waiting_claims[:allowed], job.waiting_claims[allowed:]
            if self.prepare_claims(job, batch, own):
                job.tries = 0
                self.send_claims(job, job.request_number)
                return
        if own and not job.claims_deferred and not job.waiting_claims:
            self.seat_book.said(job.box)
        self.publish_seats()
        self.retry(job, job.course.came(job.course.rank if job.claims_deferred else job.next_rank))

    def ration_ready(self, job, number):
        if (
            self.active()
            and job.request_number == number
            and not self.manager.deferred_by_stall(self.ration_ready, job, number)
        ):
            self.claim_next(job)

    def prepare_claims(self, job, batch, own):
        """Sets down which of these claims go out now; True where any does."""
        for claim in batch:
            seat = self.manager.seat_of(job.rows[claim.key].viewing)
            if self.manager.has_seat(seat, own):
                job.claims_out[claim.key] = claim.epoch
                self.seat_book.claim(claim.key, seat)
                self.publish_seats()  # each is asked for with those before it counted
            elif own:  # over what seats allow by now, and it bears our name
                self.seat_book.claim(claim.key, seat)
                self.manager.end_unheld(job.box, claim.key, job.rows[claim.key].epoch)
            else:
                job.claims_deferred = job.claims_deferred or bool(self.seat_book.reserved(self.world.now).boxes)
        return bool(job.claims_out)

    def send_claims(self, job, number):
        if (
            not self.active()
            or job.request_number != number
            or self.manager.deferred_by_stall(self.send_claims, job, number)
        ):
            return
        job.request_number += 1
        self.play.send(
            self.name, f"b{job.box}", NETWORK_DELAY, self.request_at_box, job, job.request_number, self.grant_claims
        )
        self.world.call_later(REQUEST_TIMEOUT, self.timed_out, job, job.request_number)

    def grant_claims(self, job, number, model_box):
        granted = []
        for key, epoch in job.claims_out.items():
            held = model_box.box.sessions.get(key)
            life_before = held.life if held is not None else None
            granted_here, previous = model_box.box.adopt(key, epoch, self.name, self.incarnation)
            if granted_here:
                granted.append(key)
                if previous not in (None, self.name):
                    self.play.notify_moved(model_box, key, previous, life_before)
                self.play.records.append((self.world.now, "adopted", self.name, key, epoch, previous))
                if not self.active():
                    self.play.begin_lease(job.box, key, self.name, self.incarnation)
                if job.rows[key].viewing.ended or not job.rows[key].viewing.playing:
                    self.play.begin_media_timeout(model_box, key)
        self.send_answer(job, self.claims_granted, number, granted)

    def claims_granted(self, job, number, keys):
        job.request_number += 1
        claims, job.claims_out = job.claims_out, {}
        for key in claims:
            if key in keys:
                self.manager.claim_granted(job.box, job.boot, key, claims[key], job.rows[key], key in job.orphans)
                if key not in self.manager.ending:
                    self.seat_book.settled(key)
            else:
                self.seat_book.settled(key)
        self.claim_next(job)

    def session_ended(self, key):
        """A box ended a session: where we had claimed it only for that, its seat is free."""
        if self.seat_book.settled(key):
            self.publish_seats()


def viewing_name(key):
    """By which a viewing belongs to one of the living: manager, life and number of its set-up."""
    return "%d.%d.%d" % key[:3]
