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

NET = 5  # one way, as the play's own messages take
ASK = 10_000  # an asking without an answer is given up
YOUNG = 30_000  # a session without media is no orphan before this


class Row(NamedTuple):
    """A session as its box tells it."""

    key: tuple
    owner: str
    epoch: int
    rung: int
    age: int
    media: bool
    vw: object  # the play's own viewing, which stands for the cookie


class Job:
    """One manager asks one box for the sessions of another, or of an earlier life of its own."""

    def __init__(self, box, of):
        self.box, self.of, self.course, self.number = box, of, Course(), 0
        self.wanted, self.ends, self.rows, self.boot, self.rank_left, self.later = [], set(), {}, 0, None, False
        self.out, self.tries = {}, 0  # claims that are out: {key: epoch}


class Taker:
    """One life of a manager among the others."""

    def __init__(self, play, manager, others):
        """others: names at which it asks for the rest until somebody is known."""
        self.play, self.world, self.manager, self.name, self.life = (
            play,
            play.world,
            manager,
            manager.name,
            manager.life,
        )
        now = self.world.now
        self.swim = Swim(self.name, self.name, f"{self.name}.{self.life}", play.seed * 1000 + manager.me, now)
        self.swim.join(others)
        self.book = SeatBook(now, round(play.day.site.fleet.lease_ms * 10))
        self.ration, self.jobs, self.told, self.alarm = Ration(now), {}, None, 0
        self.view = 0  # of members and boxes: another number where it changed
        self.world.at(now, self.ring, 0)

    def begin(self):
        """Once its boxes are known: what an earlier life left, and the seats that may take."""
        self.listed(list(self.manager.boxes()))
        self.world.at(self.book.until, self.reserve)

    def here(self):
        return self.manager.up and self.manager.life == self.life

    # Who is alive

    def ring(self, alarm):
        if alarm != self.alarm or not self.here() or self.manager.stands(self.ring, alarm):
            return
        self.send(self.swim.tick(self.world.now))
        self.hear_changes()

    def send(self, out):
        for address, message in out:
            self.play.datagram(self.name, address, NET, self.play.member_hears, address, message, self.name)

    def heard(self, message, sender):
        self.send(self.swim.heard(message, sender, self.world.now))
        self.hear_changes()

    def hear_changes(self):
        for news in self.swim.taken_changes():
            self.view += 1
            self.play.records.append(
                (self.world.now, "member", self.name, news.name, news.state.name.lower(), news.boot)
            )
            if news.state in (State.DEAD, State.LEFT):
                self.take_over(news.name)
        self.alarm += 1
        if self.swim.me.state is not State.LEFT:
            self.world.at(max(self.world.now + 10, self.swim.due()), self.ring, self.alarm)

    def leave(self):
        self.send(self.swim.leave())

    # Seats

    def reserve(self):
        """Tells the module of the seats that may be taken without it, where that changed."""
        made = self.book.reserved(self.world.now)
        if self.here() and made != self.told:
            self.told = made
            self.manager.runner.seats_reserved(*made)

    def listed(self, boxes):
        """Boxes that the list names only now may hold sessions of an earlier life."""
        self.view += 1
        if self.book.listed(boxes, self.world.now):
            self.reserve()
        self.take_over(self.name, boxes)

    # Taking over

    def take_over(self, of, boxes=None):
        for box in self.manager.boxes() if boxes is None else boxes:
            if (box, of) not in self.jobs:
                job = self.jobs[box, of] = Job(box, of)
                self.ask(job)

    def may_take(self, of):
        member = self.swim.members.get(of)
        away = of == self.name or member is None or member.state in (State.DEAD, State.LEFT)
        return self.here() and not self.manager.leaving and away

    def ask(self, job):
        if self.here() and self.manager.stands(self.ask, job):
            return
        if not self.may_take(job.of) or not self.manager.lists(job.box):
            self.jobs.pop((job.box, job.of), None)
            return
        job.number += 1
        self.play.send(self.name, f"b{job.box}", NET, self.at_box, job, job.number, self.tell_sessions)
        self.world.later(ASK, self.silent, job, job.number)

    def at_box(self, job, number, what):
        """At the box: one that is gone refuses at once, one that hangs never answers."""
        holder = self.play.fleet.boxes[job.box]
        if holder.dead:
            self.answer(job, self.silent, number)
        elif not holder.box.trouble.hang:
            what(job, number, holder)

    def answer(self, job, act, number, *said):
        self.play.send(f"b{job.box}", self.name, NET, self.hears, act, job, number, *said)

    def hears(self, act, job, number, *said):
        if self.here() and not self.manager.stands(self.hears, act, job, number, *said) and job.number == number:
            act(job, number, *said)

    def silent(self, job, number):
        """No answer to the asking, or to the claims that are out."""
        if not self.here() or job.number != number or self.manager.stands(self.silent, job, number):
            return
        job.number += 1
        if job.out:
            job.tries += 1
            if job.tries < TRIES and self.manager.lists(job.box):
                self.world.later(PAUSE, self.claim, job, job.number)
                return
            for key, epoch in job.out.items():
                self.manager.end_there(job.box, key, epoch)
                self.book.settled(key)
            job.out = {}
            self.go_on(job)
            return
        self.again(job, job.course.failed())

    def again(self, job, pause):
        if pause is None:
            self.jobs.pop((job.box, job.of), None)
        else:
            self.world.later(pause, self.ask, job)

    def tell_sessions(self, job, number, holder):
        now, rows = self.world.now, []
        for key, s in holder.box.sessions.items():
            vw = self.play.by_key.get(key)
            if s.manager == job.of and vw is not None:
                rows.append(
                    Row(
                        key,
                        s.manager,
                        holder.box.fence.epoch(key),
                        s.rung,
                        now - s.started_at,
                        vw.playing and not vw.gone,
                        vw,
                    )
                )
        self.answer(job, self.sessions, number, holder.boot, rows)

    def sessions(self, job, number, boot, rows):
        job.number += 1
        job.rows = {r.key: r for r in rows if not self.manager.holds(r.key)}
        job.boot, job.later, own = boot, False, job.of == self.name
        made = plan(
            [Session(r.key, r.owner, r.epoch, name_of(r.key), r.media or r.age < YOUNG) for r in job.rows.values()],
            job.of,
            self.name,
            [self.name] if own else self.swim.alive(),
            job.course.rank,
        )
        packages = self.play.packages
        job.ends, job.rank_left = set(made.ends), made.next
        job.wanted = sorted(
            made.claims, key=lambda c: (c.key in job.ends, -packages[job.rows[c.key].vw.player.package].value)
        )
        self.go_on(job)

    def go_on(self, job):
        """The next batch of claims, or the end of this asking."""
        own = job.of == self.name
        while job.wanted and self.may_take(job.of):
            most = self.play.day.site.front.held_most
            room = len(job.wanted) if own else most - len(self.manager.viewings)
            if not own and full(len(self.manager.viewings), most, False):
                break  # the next in the order takes them
            may = self.ration.take(self.world.now, len(job.wanted), room)
            if not may:
                if room <= 0:
                    break
                self.world.later(self.ration.wait(), self.wait_over, job, job.number)
                return
            some, job.wanted = job.wanted[:may], job.wanted[may:]
            if self.to_claim(job, some, own):
                job.tries = 0
                self.claim(job, job.number)
                return
        if own and not job.later and not job.wanted:
            self.book.said(job.box)
        self.reserve()
        self.again(job, job.course.came(job.course.rank if job.later else job.rank_left))

    def wait_over(self, job, number):
        if self.here() and job.number == number and not self.manager.stands(self.wait_over, job, number):
            self.go_on(job)

    def to_claim(self, job, some, own):
        """Sets down which of these claims go out now; True where any does."""
        for c in some:
            seat = self.manager.seat_of(job.rows[c.key].vw)
            if self.manager.has_seat(seat, own):
                job.out[c.key] = c.epoch
                self.book.claim(c.key, seat)
                self.reserve()  # each is asked for with those before it counted
            elif own:  # over what seats allow by now, and it bears our name
                self.book.claim(c.key, seat)
                self.manager.end_there(job.box, c.key, job.rows[c.key].epoch)
            else:
                job.later = job.later or bool(self.book.reserved(self.world.now).boxes)
        return bool(job.out)

    def claim(self, job, number):
        if not self.here() or job.number != number or self.manager.stands(self.claim, job, number):
            return
        job.number += 1
        self.play.send(self.name, f"b{job.box}", NET, self.at_box, job, job.number, self.grant)
        self.world.later(ASK, self.silent, job, job.number)

    def grant(self, job, number, holder):
        granted = []
        for key, epoch in job.out.items():
            held = holder.box.sessions.get(key)
            life_before = held.life if held is not None else None
            good, before = holder.box.adopt(key, epoch, self.name, self.life)
            if good:
                granted.append(key)
                if before not in (None, self.name):
                    self.play.moved(holder, key, before, life_before)
                self.play.records.append((self.world.now, "adopted", self.name, key, epoch, before))
                if not self.here():
                    self.play.begin_lease(job.box, key, self.name, self.life)
                if job.rows[key].vw.gone or not job.rows[key].vw.playing:
                    self.play.without_media(holder, key)
        self.answer(job, self.granted, number, granted)

    def granted(self, job, number, keys):
        job.number += 1
        claims, job.out = job.out, {}
        for key in claims:
            if key in keys:
                self.manager.adopted(job.box, job.boot, key, claims[key], job.rows[key], key in job.ends)
                if key not in self.manager.ending:
                    self.book.settled(key)
            else:
                self.book.settled(key)
        self.go_on(job)

    def ended_there(self, key):
        """A box ended a session: where we had claimed it only for that, its seat is free."""
        if self.book.settled(key):
            self.reserve()


def name_of(key):
    """By which a viewing belongs to one of the living: manager, life and number of its set-up."""
    return "%d.%d.%d" % key[:3]
