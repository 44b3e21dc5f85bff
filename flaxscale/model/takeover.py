"""Failure detection between managers and take-over of sessions, in a simulated day.

The state machines are the program's own: members.swim, members.adopt (plan, Course, and the Fence in the boxes),
members.seats and members.ration, used as in front/members.py. Messages use the simulated network paths: a datagram is
lost on a cut path, or with the path's loss probability; messages to and from boxes wait until the path is restored. A
client's retry does not join an unanswered request here (recovery.key_registry does that in the front): it is a new
request.

A viewing keeps its number in the simulation whichever manager holds it; at its box, the session is identified by the
key of its set-up and by the epoch.
"""

from typing import NamedTuple

from ..members.rate_limit import ClaimRateLimit, at_capacity
from ..members.seats import SeatBook
from ..members.swim import State, Swim
from ..members.takeover import MAX_FAILURES, RETRY_DELAY, ClaimRetry, Session, plan_claims

# Times are tenths of a millisecond.
NETWORK_DELAY = 5  # one way, as in play.py
REQUEST_TIMEOUT = 10_000  # of a request to a box
MEDIA_GRACE = 30_000  # a younger session without media is not an orphan


class BoxSession(NamedTuple):
    """A session as reported by its box."""

    key: tuple
    owner: str
    epoch: int
    rung: int
    age: int
    media: bool
    viewing: object  # the simulation's viewing, in place of the cookie


class BoxJob:
    """Take-over at one box of the sessions of another manager, or of an earlier incarnation of the same one."""

    def __init__(self, box, owner):
        self.box, self.owner, self.course, self.request_number = box, owner, ClaimRetry(), 0
        self.waiting_claims, self.orphans, self.rows, self.boot, self.next_rank, self.claims_deferred = (
            [],
            set(),
            {},
            0,
            None,
            False,
        )
        self.claims_out, self.tries = {}, 0  # claims_out: claims without an answer so far, {key: epoch}


class Takeover:
    """Membership and take-over state of one incarnation of a manager."""

    def __init__(self, play, manager, others):
        """others: names of the members to contact first, to learn of the rest."""
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
        self.ration, self.jobs, self.last_reserved, self.timer = ClaimRateLimit(now), {}, None, 0
        self.change_count = 0  # incremented with each change of members or boxes
        self.world.call_at(now, self.timer_fires, 0)

    def begin(self):
        """Starts when the boxes are known: looks for sessions of an earlier incarnation and reserves their seats."""
        self.boxes_listed(list(self.manager.listed_boxes()))
        self.world.call_at(self.seat_book.until, self.publish_seats)

    def active(self):
        return self.manager.up and self.manager.incarnation == self.incarnation

    # Membership

    def timer_fires(self, timer):
        if timer != self.timer or not self.active() or self.manager.deferred_by_stall(self.timer_fires, timer):
            return
        self.send(self.swim.tick(self.world.now))
        self.apply_changes()

    def send(self, out):
        for address, message in out:
            self.play.send_datagram(
                self.name, address, NETWORK_DELAY, self.play.member_message_arrives, address, message, self.name
            )

    def message_arrives(self, message, sender):
        self.send(self.swim.receive(message, sender, self.world.now))
        self.apply_changes()

    def apply_changes(self):
        for change in self.swim.take_changes():
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
        """Sends the decision module the seats that may be occupied without its knowledge, if they changed."""
        seats = self.seat_book.reserved(self.world.now)
        if self.active() and seats != self.last_reserved:
            self.last_reserved = seats
            self.manager.runner.seats_reserved(*seats)

    def boxes_listed(self, boxes):
        """Handles newly listed boxes, which may hold sessions of an earlier incarnation."""
        self.change_count += 1
        if self.seat_book.listed(boxes, self.world.now):
            self.publish_seats()
        self.take_over(self.name, boxes)

    # Take-over

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
        """Handles a request at its box: a box that is down refuses at once, one that hangs never answers."""
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
        """Handles a request or claims that got no answer in time."""
        if (
            not self.active()
            or job.request_number != number
            or self.manager.deferred_by_stall(self.timed_out, job, number)
        ):
            return
        job.request_number += 1
        if job.claims_out:
            job.tries += 1
            if job.tries < MAX_FAILURES and self.manager.lists_box(job.box):
                self.world.call_later(RETRY_DELAY, self.send_claims, job, job.request_number)
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
                        now - session.started_at,
                        viewing.playing and not viewing.ended,
                        viewing,
                    )
                )
        self.send_answer(job, self.sessions_listed, number, model_box.boot, rows)

    def sessions_listed(self, job, number, boot, rows):
        job.request_number += 1
        job.rows = {session.key: session for session in rows if not self.manager.knows_session(session.key)}
        job.boot, job.claims_deferred, own = boot, False, job.owner == self.name
        takeover_plan = plan_claims(
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
        """Sends the next batch of claims, or completes this pass."""
        own = job.owner == self.name
        while job.waiting_claims and self.may_take(job.owner):
            max_viewings = self.play.day.site.front.held_most
            room = len(job.waiting_claims) if own else max_viewings - len(self.manager.viewings)
            if not own and at_capacity(len(self.manager.viewings), max_viewings, False):
                break  # the next manager in the order takes them
            allowed = self.ration.take(self.world.now, len(job.waiting_claims), room)
            if not allowed:
                if room <= 0:
                    break
                self.world.call_later(self.ration.wait_time(), self.ration_ready, job, job.request_number)
                return
            batch, job.waiting_claims = job.waiting_claims[:allowed], job.waiting_claims[allowed:]
            if self.prepare_claims(job, batch, own):
                job.tries = 0
                self.send_claims(job, job.request_number)
                return
        if own and not job.claims_deferred and not job.waiting_claims:
            self.seat_book.box_reported(job.box)
        self.publish_seats()
        self.retry(job, job.course.answered(job.course.rank if job.claims_deferred else job.next_rank))

    def ration_ready(self, job, number):
        if (
            self.active()
            and job.request_number == number
            and not self.manager.deferred_by_stall(self.ration_ready, job, number)
        ):
            self.claim_next(job)

    def prepare_claims(self, job, batch, own):
        """Records which of these claims are sent now; True if there are any."""
        for claim in batch:
            seat = self.manager.seat_of(job.rows[claim.key].viewing)
            if self.manager.has_seat(seat, own):
                job.claims_out[claim.key] = claim.epoch
                self.seat_book.claim(claim.key, seat)
                self.publish_seats()  # so that the seats of earlier claims count for the next one
            elif own:  # exceeds the seats by now, and this manager already owns it
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
        """Handles the end of a session at a box: if it was claimed only to be ended, its seat becomes free."""
        if self.seat_book.settled(key):
            self.publish_seats()


def viewing_name(key):
    """The name that determines which live manager takes a viewing: manager, incarnation and number of its set-up."""
    return "%d.%d.%d" % key[:3]
