"""All decisions of flaxscale: who plays, where and at what quality.

A Manager is one instance, made from the site's terms: handle(now, event) takes each event in order and gives
the actions wanted, in order. interface.py has the types of both. Times are whole tenths of a millisecond.
No clock, no I/O, nothing shared between instances.
"""

from collections import Counter
from math import exp, log

from . import interface
from .decisions.capacity import CapacityAccount
from .decisions.chance import Chance
from .decisions.deadlines import ATTEMPT_LEAST, BEAT, Standstills, attempt_until
from .decisions.peer_load import OthersLoad
from .decisions.renditions import MARK, rendition_steps
from .decisions.retries import RetryBudget
from .decisions.seats import Seats
from .decisions.slow_start import may_send, turn_at
from .decisions.state import SERVES, ServerState, SessionState
from .interface import ListKind, NoteKind, Outcome, ServerStatus
from .units import SECOND

SLOT = 500  # viewings gathered this long are placed together
BRIM = 0.97  # the lowest rung fits while a link or uplink stays under this
SHED_OVER, SHED_TO = 1.1, 1.0  # only over this do playing viewings step down, to here: less passes by itself
STEP_PAUSE = 3 * SECOND  # a viewing that stepped stays there this long before it steps up
PAYBACK = 3  # a step up must earn its price this many times over in the life expected
LIFE = 30 * SECOND  # life left that is expected where no hint came
REST = 2 * SECOND  # a server that said full or delivers short gets nothing new this long
SHUT, SHUT_DOUBLINGS = SECOND // 2, 5  # first pause after a failed tune-in, doubled for each one more
DRAWN = 8  # so many are looked at of the holders heard of, and of the rest; near ones first
DARK = 0.25  # kept free of a link that nothing was heard of, where others use it unseen
DEEP, STILL = 0.94, 0.25  # shares delivered that shed by themselves; under the lower nothing flows at all
SETTLE = 2 * SECOND  # the share delivered is smoothed over about this
FRESH = SECOND // 10  # what others ask of an uplink is reckoned anew after this, or when a figure comes
WARM_SIGN = 0.25  # others ask this much of a link: its server did not start just now
NEAR_WORST = 0.05  # packages served this much better share the worst one's weight to a third
EASED = 1.2  # an announced peak took this much of its room: beyond is a crowd like any other
WORDS_COST = 0.005  # of the service figure, at most, for telling peers what we ask
STANDS = 2 * SECOND  # a note of short delivery holds so long
BLAMED, BEYOND = 12 * SECOND, 0.2  # an uplink is to blame so long for so much more than links explain
LOOKS, LOOK_COST = 3, 0.03  # probes for a viewing: so many, and so much of the service figure, at most
LOOK_AGAIN, LOOK_LAG = 2 * SECOND, SECOND // 2  # a younger figure is not asked for again; a probe's is so old
SLOT_ALARM, BEAT_ALARM = 0, 1


class Manager:
    def __init__(self, terms):
        self.servers, self.racks, self.cells = {}, {}, {}
        self.sessions, self.waiting, self.seats = {}, [], Seats()
        self.titles = {}  # what a catalogue told of titles
        self.lacking = {}  # (server, title): until when it is not asked for it
        self.kept_for = {}, {}  # titles, packages of an announced peak: the rung that room is kept for
        self.slot_at = self.started_at = self.usual_at = None
        self.calls = self.weighed_at = self.usual_use = 0
        self.retries, self.chances = RetryBudget(terms.rules), Chance()
        self.now, self.out, self.eased, self.asked_kb = 0, [], False, 0.0  # asked_kb: by all our viewings
        self.links_kb = None  # of all links together, until the list changes
        self.standstills, self.others_load = Standstills(), OthersLoad()
        self.rule(terms)

    def rule(self, terms):
        """Goes by these terms from now on."""
        self.terms, self.rules, self.allowed = terms, terms.rules, terms.allowed
        self.cross, self.dial = (
            price * sum(p.value for p in terms.packages) / len(terms.packages)
            for price in (terms.prices.cross_zone, terms.prices.handshake)
        )
        self.looks = (
            int(min(LOOKS, LOOK_COST / max(terms.prices.probe, 1e-9)))
            if (terms.allowed.may_probe and terms.fleet.load_by_probe)
            else 0
        )
        # A viewing changes our asking about three times, a word has eight bytes, the price is for 256.
        self.tells = (
            terms.allowed.may_message_peers and terms.prices.peer * 24 / 256 * (terms.manager_count - 1) <= WORDS_COST
        )
        self.marks = rendition_steps(self.terms, {})

    def changed(self, event):
        """New terms in service: who waits or plays goes by them at once; what was counted stands."""
        self.rule(event.terms)
        for vw in self.sessions.values():
            self.bind(vw)
        self.racks = {}
        for srv in self.servers.values():
            srv.other_streams = 0  # streams may be reported no more
            self.stand(srv)
            self.recount(srv)
        self.set_rungs({vw: vw.in_bounds() for vw in self.sessions.values() if vw.playing and vw.server})

    def weigh(self):
        """The site's goal counts the worst-served package apart: steps of those near it earn more."""
        self.weighed_at, goal, asked, served = self.now, self.terms.goal, Counter(), Counter()
        self.lacking = {key: until for key, until in self.lacking.items() if until > self.now}
        for vw in self.sessions.values():
            asked[vw.ask.package] += self.terms.ladder.worth[vw.top]
            served[vw.ask.package] += self.terms.ladder.worth[vw.rung] * vw.playing
        if not asked or not goal.worst_package:
            return
        near = {p: exp(-served[p] / asked[p] / NEAR_WORST) for p in asked}
        total = sum(self.terms.packages[p].value * asked[p] for p in asked)
        self.marks = rendition_steps(
            self.terms,
            {
                p: 1
                + goal.worst_package
                / max(goal.overall, 0.1)
                * near[p]
                / sum(near.values())
                * total
                / (self.terms.packages[p].value * asked[p])
                for p in asked
            },
        )

    def step(self, vw, rung):
        return self.marks[vw.ask.package, rung]

    # The events

    def handle(self, now, event):
        self.now, self.out, self.calls = now, [], self.calls + 1
        if self.started_at is None:
            self.started_at = now
            self.standstills.begin(now)
            self.out.append(interface.Remind(BEAT_ALARM, BEAT))
        if now >= self.weighed_at + SECOND:
            self.weigh()
        acts = {
            interface.SessionRequest: self.take,
            interface.PlaybackNote: self.note,
            interface.AttemptEnded: self.ended,
            interface.AttemptSucceeded: self.begun,
            interface.TimerFired: self.alarm,
            interface.ServerListUpdate: self.listing,
            interface.SessionHandedOver: self.hand_over,
            interface.ClientLeft: self.left,
            interface.ProbeEnded: self.probed,
            interface.PeerLoadChange: self.peer_says,
            interface.PeakReservations: self.keep,
            interface.SeatReservations: self.reserve,
            interface.TermsChanged: self.changed,
            interface.TitleUpdate: self.catalogued,
        }
        acts[type(event)](event)
        return self.out

    def take(self, ask):
        self.retries.session(self.now)
        vw = self.viewing(ask)
        self.look(vw)
        self.resume(vw, None)

    def look(self, vw):
        """Where only probes bring load reports, a few holders are asked while it waits for its slot."""
        dim = (
            [
                srv
                for srv in self.holders(vw)
                if srv.row.state is ServerStatus.READY and self.now >= srv.backoff_until and self.dim(srv)
            ]
            if self.looks
            else []
        )
        for srv in self.some(dim, self.looks):
            self.probe(srv)

    def dim(self, srv):
        return self.now - (srv.link.reported_at or 0) >= LOOK_AGAIN

    def probe(self, srv):
        if self.dim(srv) and not srv.looking:
            srv.looking = True
            self.out.append(interface.Probe(srv.row.server))

    def look_up(self):
        """What plays at its lowest rung is looked after too: it may have begun in a crowd."""
        for vw in self.sessions.values() if self.looks else ():
            if vw.playing and vw.server and vw.rung == vw.floor < vw.top and self.now - vw.stepped_at >= vw.look_after:
                vw.look_after *= 3
                self.probe(vw.server)

    def probed(self, event):
        srv, figures = self.servers.get(event.server), dict(zip(self.terms.fleet.load_names, event.load))
        if srv is None:
            return
        srv.looking, srv.other_streams = False, max(0, figures.get("streams", 0) - len(srv.sessions))
        if event.outcome is not Outcome.OK:
            srv.paused_until = self.now + REST
        if "uplink" in figures:
            srv.rack.heard(self.now, LOOK_LAG, figures["uplink"])
        if "link" in figures:
            self.heard(srv, LOOK_LAG, figures["link"])
            self.step_down(srv, srv.use())
            self.step_up([srv])

    def heard(self, srv, lag, amount):
        """A figure of a link, from a note or a probe."""
        srv.link.heard(self.now, lag, amount)
        others = max(0.0, amount - srv.link.own_kb / srv.link.capacity_kb)
        if srv.rack.reckoned[0] <= self.now:  # else it is to blame
            srv.rack.reckoned = -SECOND, 0
        self.others_load.heard(self.now, others)
        srv.seen_warm |= others > WARM_SIGN

    def viewing(self, ask):
        vw = SessionState(ask, self.now)
        self.sessions[ask.id], vw.life = vw, self.life(vw)
        self.bind(vw)
        return vw

    def bind(self, vw):
        known, vw.pack = self.titles.get(vw.ask.title), self.terms.packages[vw.ask.package]
        vw.bound(known.lowest_rung if known else 0, known.highest_rung if known else len(self.terms.ladder.kb) - 1)

    def hand_over(self, event):
        vw = self.viewing(event.request)
        vw.nth, vw.rung, vw.playing, vw.answered = 0, vw.floor, True, True
        vw.stepped_at -= STEP_PAUSE
        next(vw.life)
        if srv := self.servers.get(event.server):
            srv.seen_warm |= event.age >= self.rules.warm_up_time
        self.occupy(vw, srv)

    def left(self, event):
        if vw := self.sessions.get(event.id):
            vw.answered = True
            self.forget(vw)
            if vw.server and not vw.playing and self.allowed.may_cancel:
                self.out.append(interface.CallOff(vw.id, vw.nth))

    def begun(self, event):
        vw = self.sessions.get(event.id)
        if vw and event.nth == vw.nth:
            vw.playing, vw.answered, vw.stepped_at, vw.begun_at = True, True, self.now, self.now
            self.resume(vw, Outcome.OK)
            if vw.server:
                self.well(vw.server)
                self.set_rungs({vw: vw.in_bounds()})  # a rendition may have gone while the tune-in was out

    def ended(self, event):
        srv, vw = self.servers.get(event.server), self.sessions.get(event.id)
        if vw is None or event.nth != vw.nth:
            return
        if srv and event.outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.UNREACHED, Outcome.RESET):
            if event.outcome is Outcome.ERROR and self.now - srv.well_at < SERVES:
                vw.erred.setdefault(srv, (srv.failures, srv.backoff_until, srv.failed_at))
            self.ill(srv)
            # Two that serve others well answered it alike: the fault is its own, and no third is asked.
            for other, was in vw.erred.items() if len(vw.erred) > 1 else ():
                other.failures, other.backoff_until, other.failed_at = was
        elif srv and event.outcome is Outcome.FULL:
            srv.paused_until = self.now + REST
        elif event.outcome is Outcome.LACKING:
            # It is ahead of us, or behind: others first, this one again when one of us may have caught up.
            self.lacking[event.server, vw.ask.title] = self.now + REST
        if event.outcome not in (Outcome.FULL, Outcome.UNREACHED, Outcome.MOOT, Outcome.LACKING):
            vw.ran_at, vw.ran_near = vw.sent_at, srv and srv.row
        self.vacate(vw)
        if event.session_over or vw.answered:
            self.forget(vw)
        else:
            self.resume(vw, event.outcome)

    def catalogued(self, event):
        """A title changed in service: what waits goes by it at once, what plays keeps to the rungs left.

        A tune-in that is out stands, also to a server that holds the title no longer: the server knows that
        best and says so before anything runs; calling it off would cost a further tune-in and the wait.
        """
        if event.holders is None:
            self.titles.pop(event.title, None)
            return
        self.titles[event.title] = event
        changed = [vw for vw in self.sessions.values() if vw.ask.title == event.title]
        for vw in changed:
            self.bind(vw)
        self.set_rungs({vw: vw.in_bounds() for vw in changed if vw.playing and vw.server})

    def keep(self, event):
        """Room for an announced peak: others see a smaller link and uplink, the peak's own the whole.

        What others take of it is reckoned like ours, over all servers: one has too few of ours to tell by. Up
        to its rung no mark need be lower, as those that it keeps links open for have come. Beyond is a crowd.
        """
        self.kept_for, whole = (event.titles, event.packages), sum(event.reserved_kb.values())
        took = (
            sum(
                self.asking(vw for vw in srv.sessions.values() if self.kept_rung(vw) >= 0)
                for server, srv in self.servers.items()
                if server in event.reserved_kb
            )
            if whole
            else 0
        )
        left = max(0.0, 1 - took * self.terms.manager_count / whole) if whole else 0
        self.eased = took * self.terms.manager_count <= EASED * whole
        for rack in self.racks.values():
            rack.reserved_kb = 0.0
        for server, srv in self.servers.items():
            srv.reserved_kb = event.reserved_kb.get(server, 0.0) * left
            srv.rack.reserved_kb += srv.reserved_kb

    def reserve(self, event):
        self.seats.reserve(event.seats, event.servers)

    def kept_rung(self, vw):
        return max(self.kept_for[0].get(vw.ask.title, -1), self.kept_for[1].get(vw.ask.package, -1))

    def mark(self, vw, rung):
        return MARK if self.eased and rung <= self.kept_rung(vw) else self.step(vw, rung).mark

    def alarm(self, event):
        if event.token == SLOT_ALARM and self.slot_at is not None:
            self.slot()
        elif event.token == BEAT_ALARM:
            self.standstills.beat(self.now)
            self.look_up()
            self.out.append(interface.Remind(BEAT_ALARM, BEAT))

    # One viewing, top to bottom

    def life(self, vw):
        """Yields what the viewing wants ("seat", "tune", "play"); resumed with what came of it."""
        while not vw.playing:
            spot = yield "seat"
            if spot is None:
                break
            how = yield "tune", spot
            if how is not Outcome.OK and not self.may_repeat(vw):
                break
        if vw.playing:
            yield "play"
        else:
            self.give_up(vw)

    def resume(self, vw, result):
        try:
            want = vw.life.send(result)
        except StopIteration:
            self.forget(vw)
            return
        if want == "seat":
            self.seat(vw)
        elif want != "play":
            self.tune(vw, *want[1])

    def seat(self, vw):
        """Waits for the slot, unless waiting would cost the join target or the viewer."""
        vw.held, slot_end = 0, self.slot_at or self.now + SLOT
        due = min(self.out_until(vw), vw.asked_at + vw.pack.join_target) - ATTEMPT_LEAST
        if vw.nth >= 0 or slot_end > due:
            # At once only where it should work: a sole holder that just failed gets till the slot's end.
            last = self.now + 2 * SLOT > self.out_until(vw) - ATTEMPT_LEAST
            if (spot := self.spot(vw, bad_too=last)) or last:
                self.resume(vw, spot)
                return
        self.wait(vw)

    def out_until(self, vw):
        """How long a tune-in may be out: half the patience, or the longest standstill, is for the answer."""
        return attempt_until(vw.asked_at, vw.ask.time_left, vw.deadline, self.standstills.lately(self.now))

    def wait(self, vw):
        vw.waiting = True
        self.waiting.append(vw)
        if self.slot_at is None:
            self.slot_at = self.now + SLOT
            self.out.append(interface.Remind(SLOT_ALARM, SLOT))

    def slot(self):
        """The slot's end: the waiting viewings in the order of what their lowest rung earns per kB."""
        queue, self.waiting, self.slot_at = self.waiting, [], None
        queue.sort(key=lambda vw: (-self.step(vw, vw.floor).earns, vw.asked_at, vw.id))
        for vw in queue:
            vw.waiting = False
            spot = self.spot(vw)
            if spot or vw.held:
                self.resume(vw, spot)
            else:
                vw.held = 1
                self.wait(vw)

    def chance(self):
        return self.chances.draw(self.terms.seed)

    def may_repeat(self, vw):
        late = self.now + ATTEMPT_LEAST > self.out_until(vw)
        if (
            late
            or len(vw.erred) > 1
            or vw.nth + 1 >= self.allowed.max_attempts
            or (
                vw.ran_at is not None
                and vw.pack.effect != "safe"
                and (vw.pack.effect == "unsafe" or self.now - vw.ran_at >= vw.pack.repeat_window)
            )
        ):
            return False
        return self.retries.allows(self.now, self.rules)

    def give_up(self, vw):
        """The final answer, at once: a block wherever a repeat by the viewer is harmless."""
        pack, vw.answered = vw.pack, True
        if vw.ran_at is None or pack.effect == "safe" or (pack.effect == "keyed" and pack.group == "all"):
            most = self.allowed.max_hold_off if self.allowed.may_hold_off else 0
            # Spread, or the viewers blocked together come again together.
            self.out.append(interface.Block(vw.id, most // 2 + int(self.chance() * (most // 2))))
        else:
            self.out.append(interface.Abort(vw.id))

    def tune(self, vw, srv, rung):
        if vw.nth >= 0:
            self.retries.retry(self.now)
        vw.nth, vw.sent_at, expire = vw.nth + 1, self.now, self.out_until(vw)
        # Against servers that answer nothing: leave time for another, except where it could not be used.
        if vw.pack.effect == "safe" and vw.nth + 1 < self.allowed.max_attempts:
            expire = min(expire, self.now + max(ATTEMPT_LEAST, vw.pack.join_target // 2))
        if self.is_cold(srv):
            srv.last_turn = self.slow_start_turn(srv)
        if rung != vw.floor or vw.rung != vw.floor:
            self.out.append(interface.SetRung(vw.id, rung))
        vw.rung = rung
        self.out.append(interface.TuneIn(vw.id, srv.row.server, expire))
        self.occupy(vw, srv)

    def occupy(self, vw, srv):
        vw.server = srv
        self.seats.take(vw.seat)
        if srv:
            srv.sessions[vw.id], srv.judged = vw, -1
            self.recount(srv, new=not vw.playing)

    def vacate(self, vw):
        srv, vw.server = vw.server, None
        self.seats.free(vw.seat)
        if srv:
            srv.sessions.pop(vw.id, None)
            self.recount(srv)
            self.drop(srv)

    def forget(self, vw):
        if vw.server is None:
            self.sessions.pop(vw.id, None)
        if vw.waiting:
            self.waiting.remove(vw)
            vw.waiting = False

    # Placement

    def spot(self, vw, bad_too=True):
        """The holder and rung of most immediate value; ties go to the roomiest holder."""
        holders, every = self.open_holders(vw, bad_too), self.terms.fleet.note_every
        old = self.now - 2 * (every or 2 * SECOND)
        for srv in holders:  # where we hold nothing no figure comes, and the last one misleads
            if not (srv.sessions and every) and (srv.link.reported_at or 0) < old:
                srv.link.reported_at, srv.other_streams = None, 0
        # Of those that nothing was heard of one by chance, or all managers would take the same largest.
        dark = {
            srv: max(1.0, srv.link.capacity_kb * (1 - srv.use()))
            for srv in self.some([srv for srv in holders if srv.link.reported_at is None], DRAWN)
        }
        drawn = dark and max(dark, key=lambda srv: log(self.chance() + 1e-9) / dark[srv])
        # Of those heard of a few: figures come to all managers at once, who would all take the same best.
        heard = self.some([srv for srv in holders if srv.link.reported_at is not None], DRAWN)
        fits = [(*self.fit(srv, vw), srv) for srv in (heard + [drawn] if drawn else heard)]
        # Where nothing of ours plays there is no connection: it has its price, and many managers pay it.
        best = max(
            (fit for fit in fits if fit[0] is not None),
            default=None,
            key=lambda fit: (
                vw.pack.value * self.terms.ladder.worth[fit[0]]
                - self.crossing(fit[2])
                - (0 if fit[2].sessions else self.dial),
                fit[1],
            ),
        )
        return best and (best[2], best[0])

    def some(self, holders, count):
        """So many of them by chance, near ones first."""
        found, far = [], {srv for srv in holders if self.crossing(srv)}
        for pool in ([srv for srv in holders if srv not in far], [srv for srv in holders if srv in far]):
            while pool and len(found) < count:
                found.append(pool.pop(int(self.chance() * len(pool))))
        return found

    def crossing(self, srv):
        """What a viewing at another zone's server costs, in the worth that it would earn."""
        return self.cross if srv.row.zone != self.terms.zone else 0

    def holders(self, vw):
        """The servers that hold its title: as the catalogue told, else the cells in a row of its request."""
        if known := self.titles.get(vw.ask.title):
            return [self.servers[server] for server in sorted(known.holders) if server in self.servers]
        if vw.ask.cells >= self.terms.fleet.cells:
            return list(self.servers.values())
        return [
            srv
            for j in range(vw.ask.cells)
            for srv in self.cells.get((vw.ask.first_cell + j) % self.terms.fleet.cells, {}).values()
        ]

    def has_seat(self, seat, holders=()):
        """Whether one more may play there. Not while an earlier life of ours may fill seats unknown to us."""
        known, pack, unheard = self.titles.get(seat[0]), self.terms.packages[seat[1]], self.seats.unheard
        most = dict(known.seats).get(seat[1], pack.seats) if known else pack.seats
        # A catalogue's holders are those of today; what plays may have begun when others held the title.
        hidden = unheard and holders and (known or any(srv.row.server in unheard for srv in holders))
        return self.seats.has_room(seat, most, bool(hidden))

    def open_holders(self, vw, bad_too=True):
        """The holders of the title to which the rules and their health let a tune-in go now."""
        every = self.holders(vw)
        if (
            not self.has_seat(vw.seat, every)
            or self.now >= self.out_until(vw)
            or vw.nth >= 0
            and not self.may_repeat(vw)
        ):
            return []
        holders = [srv for srv in every if (srv.usable if srv.judged == self.calls else self.judge(srv))]
        if vw.ran_at is not None or self.lacking:
            holders = [
                srv
                for srv in holders
                if self.near_enough(vw, srv.row) and self.now >= self.lacking.get((srv.row.server, vw.ask.title), 0)
            ]
        sound = [srv for srv in holders if self.sound(srv)]
        if sound or not bad_too:
            return sound
        # All look bad: those whose pause ends first. One by its id alone was the same for all managers.
        first = min((max(srv.backoff_until, self.now) for srv in holders), default=0)
        return [srv for srv in holders if max(srv.backoff_until, self.now) == first]

    def judge(self, srv):
        """Whether rules and places let anything go there; once a call, as a slot asks that many times."""
        srv.judged, srv.usable = (
            self.calls,
            (
                srv.row.state is ServerStatus.READY
                and self.slow_start_allows(srv)
                and len(srv.sessions) + srv.other_streams + 1 <= self.terms.fleet.slots[srv.row.kind]
            ),
        )
        return srv.usable

    def near_enough(self, vw, row):
        """A keyed package that may have run is repeated only inside its group."""
        ran, free = vw.ran_near, vw.pack.effect != "keyed" or vw.ran_at is None or vw.pack.group == "all"
        return free or ran and (row.zone == ran.zone if vw.pack.group == "zone" else row.cell == ran.cell)

    def rate(self, srv, vw, rung):
        """What the viewing would add at this server: less where it joins a live stream of ours."""
        joins = vw.pack.live and any(
            o.rung == rung and o.seat == vw.seat and o is not vw for o in srv.sessions.values()
        )
        return self.step(vw, rung).kb * (self.terms.ladder.join if joins else 1)

    def fit(self, srv, vw):
        """The rung rule: the highest under its mark, else the lowest that fits under the brim."""
        # The rate, as a part of the link, on the larger use of the two: a link that reads emptier than its
        # rack is not taken at its word, or all managers rush to it.
        dark = DARK * (1 - 1 / self.terms.manager_count) if srv.link.reported_at is None else 0
        mine = self.kept_rung(vw) >= 0
        kept, both = (
            (0, 0) if mine else (srv.reserved_kb / srv.link.capacity_kb, srv.rack.reserved_kb / srv.rack.capacity_kb)
        )
        use, cap = srv.use() + dark + max(kept, both), min(srv.link.capacity_kb, srv.rack.capacity_kb)
        for rung in range(vw.top, vw.floor - 1, -1):
            kb = self.rate(srv, vw, rung)
            after = max(use + kb / srv.link.capacity_kb, srv.rack.use() + both + kb / srv.rack.capacity_kb)
            if rung == vw.floor:  # nobody is blocked for a crowd that may come
                after -= max(kept, both)
            if after <= (self.mark(vw, rung) if rung > vw.floor else BRIM + dark):
                return rung, (1 - after) * cap
        return None, 0

    def asking(self, viewings):
        """kB a second of viewings at one server: streams that are shared count once and a part."""
        streams = {}
        for vw in viewings:
            key = vw.ask.package, vw.rung, vw.ask.title if vw.pack.live else vw.id
            streams[key] = streams.get(key, 0) + 1
        return sum(
            self.marks[p, rung].kb * (1 + self.terms.ladder.join * (n - 1)) for (p, rung, _), n in streams.items()
        )

    def recount(self, srv, new=True):
        own = self.asking(srv.sessions.values())
        if new and self.tells and own != srv.link.own_kb:
            self.out.append(interface.TellPeers(srv.row.server, own - srv.link.own_kb))
        self.asked_kb += own - srv.link.own_kb
        srv.rack.asks(self.now, srv.rack.own_kb + own - srv.link.own_kb, new)
        srv.link.asks(self.now, own, new)

    def usual(self):
        """What others ask of an unheard link. By its own asking alone a busy newcomer took all for full."""
        if self.usual_at != self.now:
            self.usual_at, own_part = self.now, self.asked_kb / self.all_links()
            self.usual_use = self.others_load.usual(self.now, self.terms.manager_count, len(self.sessions), own_part)
        return self.usual_use

    def all_links(self):
        """kB a second of all links together: added up when the list changes, not at each question."""
        if self.links_kb is None:
            self.links_kb = max(1.0, sum(srv.link.capacity_kb for srv in self.servers.values()))
        return self.links_kb

    def usual_uplink(self, rack):
        """What others ask of an unreported uplink, by its own links: the usual alone is that of busy ones."""
        if self.now - rack.reckoned[0] > FRESH:
            others = (
                sum(
                    (
                        max(0.0, link.use() - link.own_kb / link.capacity_kb)
                        if link.reported_at is not None and self.now - link.reported_at < 8 * SECOND
                        else self.usual()
                    )
                    * link.capacity_kb
                    for link in (srv.link for srv in rack.servers)
                )
                / rack.capacity_kb
            )
            rack.reckoned = self.now, others
        return rack.reckoned[1]

    # Health and the cold pace

    def sound(self, srv):
        return (
            self.now >= max(srv.paused_until, srv.backoff_until)
            and not srv.looking
            and not (srv.failures and any(not vw.playing for vw in srv.sessions.values()))
        )

    def ill(self, srv):
        """A failed tune-in or a lost stream, whatever the cause: pause, longer each time, then one trial."""
        if self.now >= srv.backoff_until:
            srv.failures += 1
            srv.backoff_until = self.now + (SHUT << min(srv.failures, SHUT_DOUBLINGS))
        srv.failed_at = self.now

    def well(self, srv):
        srv.failures, srv.well_at = srv.failures // 2, self.now
        # A server that failed and came back may have restarted, whatever the list says.
        if srv.failed_at is not None:
            srv.failed_at, srv.cold_until = None, max(srv.cold_until, self.now + self.rules.warm_up_time)

    def is_cold(self, srv):
        # The list of a manager that has just started may not know of a restart; what it sees there may.
        return (
            srv.failed_at is not None
            or self.now < srv.cold_until
            or (not srv.seen_warm and self.now < self.started_at + self.rules.warm_up_time)
        )

    def slow_start_turn(self, srv):
        """Turns of the time in which one set-up of all managers may go to a cold server."""
        return turn_at(self.now, self.rules, self.terms.fleet.slots[srv.row.kind])

    def slow_start_allows(self, srv):
        if not self.is_cold(srv):
            return True
        known_cold = srv.failed_at is not None or self.now < srv.cold_until
        return may_send(
            self.slow_start_turn(srv), srv.last_turn, known_cold, self.terms.manager_number, self.terms.manager_count
        )

    # What is heard of servers

    def listing(self, event):
        named = {row.server for row in event.entries}
        for row in [
            *event.entries,
            *(
                srv.row._replace(state=ServerStatus.GONE)
                for n, srv in self.servers.items()
                if event.kind is not ListKind.DELTA and n not in named
            ),
        ]:
            self.update_server(row)

    def update_server(self, row):
        if row.server not in self.servers and row.state is ServerStatus.GONE:
            return
        if (srv := self.servers.get(row.server)) is None:
            srv = self.servers[row.server] = ServerState(row, CapacityAccount(1, self.usual))
            self.stand(srv)
            self.cells.setdefault(row.cell, {})[row.server] = srv
        if row.started_at > srv.row.started_at and srv.failed_at is not None and row.started_at > srv.failed_at:
            srv.failed_at, srv.failures, srv.backoff_until = None, 0, 0
        srv.row = row
        srv.cold_until = max(srv.cold_until, row.started_at and row.started_at + self.rules.warm_up_time)
        self.drop(srv)

    def drop(self, srv):
        """Gone and empty is forgotten, or replaced machines fill the memory and weigh on their rack."""
        if srv.row.state is ServerStatus.GONE and not srv.sessions and self.servers.pop(srv.row.server, None):
            srv.rack.servers.remove(srv)
            self.links_kb = None
            self.cells.get(srv.row.cell, {}).pop(srv.row.server, None)

    def stand(self, srv):
        """Puts a server's link in its rack, at the size that the terms give it."""
        fleet, number, size = self.terms.fleet, srv.row.cell % self.terms.fleet.racks, srv.row.weight
        if not fleet.weights_known:  # the places of its kind tell its size
            size = fleet.slots[srv.row.kind] * len(fleet.slots) / sum(fleet.slots)
        srv.link.capacity_kb = max(1.0, size * fleet.kb_per_weight)
        if number not in self.racks:
            rack = self.racks[number] = CapacityAccount(fleet.uplink_kb, lambda: self.usual_uplink(rack))
        srv.rack = self.racks[number]
        srv.rack.servers.append(srv)
        self.links_kb = None
        srv.rack.own_kb += srv.link.own_kb

    def peer_says(self, event):
        """Another manager's change of asking counts until a figure shows it: against one rush to one room."""
        if event.server in self.servers:
            self.servers[event.server].link.others(self.now, event.kb)

    def note(self, event):
        vw, srv = self.sessions.get(event.id), self.servers.get(event.server)
        if event.kind is NoteKind.RUNG and vw and vw.server:
            vw.rung = int(event.amount)
            self.recount(vw.server, new=False)
        if event.kind is NoteKind.RUNG or srv is None:
            return
        lag = 0 if vw and vw.begun_at == self.now else self.terms.fleet.note_lag  # fresh at its set-up
        if event.kind is NoteKind.DELIVERED:
            return self.delivers(srv, lag, event.amount)
        if event.kind is NoteKind.LINK:
            self.heard(srv, lag, event.amount)
        else:
            srv.rack.heard(self.now, lag, event.amount)
        self.step_down(srv, srv.use())
        if event.kind is NoteKind.UPLINK:
            self.step_up(srv.rack.servers)
        elif srv.rack.reported_at is None:
            self.step_up([srv])

    def delivers(self, srv, lag, share):
        """A server delivers this share: if short, nothing new goes there for a while, and ours steps down.

        An uplink that nobody reports is as short as the least short of its servers that play for us, unless a
        link heard of since explains it. Else a rack behind a weak one draws all: its links look the emptiest.
        """
        if share < 0.98:
            srv.paused_until = self.now + REST
        if self.now >= srv.short_at + STANDS:
            srv.short_since = self.now
        srv.short_at, srv.asked = self.now, 1 / max(share, STILL)
        if "uplink" not in self.terms.fleet.load_names:
            ours = [
                o
                for o in srv.rack.servers
                if any(vw.playing and self.now >= vw.stepped_at + STANDS for vw in o.sessions.values())
            ]
            asked = min((o.asked if self.now < o.short_at + STANDS else 0 for o in ours), default=0)
            told = [o.link.use() for o in ours if (o.link.reported_at or 0) >= o.short_since + lag]
            if told and asked > max(told) + BEYOND:
                srv.rack.reckoned = self.now + BLAMED, asked - srv.rack.own_kb / srv.rack.capacity_kb
        # A shortage that the account does not show: figures are late, or the bottleneck is not told of.
        # Not while what we shed last may not be in the share yet, nor where nothing flows.
        if STILL < share < DEEP and self.now >= srv.shed_at + lag + SETTLE:
            self.step_down(srv, 1 / share)

    # Rungs of what plays

    def set_rungs(self, plan):
        """One change a viewing however many rungs it spans: each has its price."""
        changed = [vw for vw in plan if plan[vw] != vw.rung]
        for vw in changed:
            vw.rung, vw.stepped_at = plan[vw], self.now
            self.out.append(interface.SetRung(vw.id, vw.rung))
        for srv in dict.fromkeys(vw.server for vw in changed):
            self.recount(srv)

    def step_down(self, srv, use):
        """A link that is short sheds the steps that earn least; each sheds its part, as all hear the same."""
        if use > SHED_OVER:
            srv.shed_at = self.now
            self.set_rungs(self.shed(srv.sessions.values(), srv.link.own_kb * (1 - SHED_TO / use)))

    def shed(self, viewings, kb):
        """Plan of rungs that frees so much, from the steps that earn least; a part of a step by chance."""
        plan = {vw: vw.rung for vw in viewings if vw.playing}
        while kb > 0:
            vw = min(
                (vw for vw in plan if plan[vw] > vw.floor),
                default=None,
                key=lambda vw: (self.step(vw, plan[vw]).earns, vw.id),
            )
            if vw is None:
                break
            less = self.step(vw, plan[vw]).kb - self.step(vw, plan[vw] - 1).kb
            if kb < less and self.chance() * less > kb:
                break
            plan[vw] -= 1
            kb -= less
        return plan

    def step_up(self, servers):
        """Room goes to the steps that earn most; a reported uplink's to all its servers at once."""
        ladder, rack, both = self.terms.ladder, servers[0].rack, servers[0].rack.use()
        use = {
            srv: srv.use() if rack.reported_at is None else srv.link.use()
            for srv in servers
            if self.now >= srv.paused_until
        }
        plan = {
            vw: vw.rung
            for srv in use
            for vw in srv.sessions.values()
            if vw.playing and vw.rung < vw.top and self.now - vw.stepped_at >= STEP_PAUSE
        }
        open_to = set(plan)
        while open_to:
            vw = max(open_to, key=lambda vw: (self.step(vw, plan[vw] + 1).earns, -vw.id))
            mark, srv, link = self.mark(vw, plan[vw] + 1), vw.server, vw.server.link
            if self.kept_rung(vw) < 0:
                mark -= max(srv.reserved_kb / link.capacity_kb, rack.reserved_kb / rack.capacity_kb)
            kb = self.step(vw, plan[vw] + 1).kb - self.step(vw, plan[vw]).kb
            alone = max(use[srv] + 2 * kb / link.capacity_kb, both + 2 * kb / rack.capacity_kb) <= mark
            # All who hear of this room take their own share of it, less than a step by chance.
            part = min(
                1.0,
                max(0.0, mark - use[srv]) * link.capacity_kb * link.share() / kb,
                max(0.0, mark - both) * rack.capacity_kb * rack.share() / kb,
            )
            if fits := alone and self.chance() < part:
                use[srv] += kb / link.capacity_kb / link.share()
                both += kb / rack.capacity_kb / rack.share()
                plan[vw] += 1
            if not fits or plan[vw] == vw.top:
                open_to.discard(vw)
        self.set_rungs(
            {
                vw: r
                for vw, r in plan.items()
                if (ladder.worth[r] - ladder.worth[vw.rung])
                * (vw.asked_at + vw.ask.expected_length - self.now if vw.ask.expected_length else LIFE)
                >= PAYBACK * ladder.switch_cost
            }
        )
