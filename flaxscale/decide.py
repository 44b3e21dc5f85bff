"""All decisions of flaxscale: who plays, where and at what quality.

A Manager is one instance. It is made from the site's terms (interface.SiteTerms) and then called with
handle(now, event) for each event in order; every call returns the actions that it wants carried out, in
order. The types of both stand in interface.py. Times are whole tenths of a millisecond. Nothing else goes
in or out: no clock, no I/O, nothing shared between instances.
"""
from collections import Counter
from math import exp
from zlib import crc32

from . import interface as face
from .interface import How, ListKind, NoteKind, State

SECOND = 10_000
SLOT = 2_000                # viewings gathered this long are placed together
BRIM = 0.97                 # the lowest rung fits while a link or uplink stays under this
MARK = 0.97                 # mark for the rung step that earns most per kB ...
MARK_SPREAD = 0.15          # ... and so much lower for the one that earns least ...
UNSEEN = 0.04               # ... and for all where the other managers don't tell what they ask
SHED_OVER = 1.2             # only over this do playing viewings step down: less passes by itself ...
SHED_TO = 1.1               # ... and to here
CALM = 5 * SECOND           # room must have lasted this long before a playing viewing steps up
STEP_PAUSE = 6 * SECOND     # a viewing that stepped stays there this long before it steps up
PAYBACK = 3                 # a step up must earn its price this many times over in the life expected
LIFE = 30 * SECOND          # life left that is expected where no hint came
AGE_RESERVE = 0.04          # mark given up for each tell period without news, twice over at most
SHORT = 2 * SECOND          # a short-delivery note keeps new viewings off this long
SHUT = SECOND // 2          # first pause after a failed tune-in, doubled for each one more
SHUT_DOUBLINGS = 5
FULL_PAUSE = 2 * SECOND     # a server that said full is left alone this long: places free as viewings end
TRY_LEAST = SECOND // 4     # no tune-in gets less than this unless patience ends before
PACE_SHARE = 0.7            # of the pace that pushes a cold server over
DEEP, STILL = 0.8, 0.25     # shares of a deep shortage; under the lower nothing flows at all
SETTLE = 2 * SECOND         # the share delivered is smoothed over about this
WARM_SIGN = 0.25            # others ask this much of a link: its server did not start just now
NEAR_WORST = 0.05           # packages served this much better share the worst one's weight to a third
REPORT_AGE, REPORT_TRUST = SECOND // 2, 0.4     # reports in outcomes are late and noisy
BUCKET = 1_000
SLOT_ALARM, LIST_ALARM = 0, 1


class Ring:
    """Amounts over time in fixed buckets that are used again."""

    def __init__(self, width, count):
        self.width, self.cells = width, [[-1, 0] for _ in range(count)]

    def cell(self, now):
        b = now // self.width
        cell = self.cells[b % len(self.cells)]
        if cell[0] != b:
            cell[:] = b, 0
        return cell

    def add(self, now, amount):
        self.cell(now)[1] += amount

    def since(self, then):
        return [amount for b, amount in self.cells if b >= 0 and b * self.width >= then]


class Meter:
    """Account of one link or uplink: the last figure heard, corrected by our own asking since."""

    def __init__(self, kb, peers):
        self.kb, self.peers = max(kb, 1.0), peers
        self.own = 0.0              # kB a second that our viewings ask
        self.base = self.own_then = 0.0
        self.heard_at, self.raised_at = None, 0     # raised_at: when its room was last given out
        self.changes = Ring(BUCKET, 64)
        self.peaks = Ring(SECOND, 8)

    def asks(self, now, own, new=True):
        # What was handed over ran before: a late figure has it in already.
        if new:
            self.changes.add(now, own - self.own)
        elif self.heard_at is not None:
            self.own_then += own - self.own
        self.own = own

    def others(self, now, kb):
        self.changes.add(now, kb)
        self.own_then -= kb

    def use(self):
        # Before any figure came, the others are taken to ask as much as we do.
        if self.heard_at is None:
            return self.own * self.peers / self.kb
        return max(0.0, self.base + (self.own - self.own_then) / self.kb)

    def heard(self, now, lag, amount, trust=1.0):
        then = self.own - sum(self.changes.since(now - lag))
        if self.heard_at is not None and trust < 1:
            amount = trust * amount + (1 - trust) * max(0.0, self.use() - (self.own - then) / self.kb)
        self.base, self.own_then, self.heard_at = amount, then, now
        peak = self.peaks.cell(now)
        peak[1] = max(peak[1], self.use())

    def peak(self, now):
        return max([self.use(), *self.peaks.since(now - CALM)])


class Server:
    """What this manager holds of one video server."""

    def __init__(self, row, link, rack):
        self.row, self.link, self.rack = row, link, rack
        self.viewings = {}
        self.ills = 0               # failures not yet answered by as many successes
        self.shut_until = self.full_until = self.short_until = self.shed_at = 0
        self.doubt_at, self.cold_until = None, 0    # doubt: seen failing then, not seen working since
        self.turn = None            # the last turn of the cold pace that we used
        self.seen_warm = False      # it carried viewings that we did not send

    def use(self):
        return max(self.link.use(), self.rack.use())


class Viewing:
    """One request for a viewing, from its arrival to its last outcome."""

    def __init__(self, ask, pack, top, now):
        self.ask, self.id, self.pack = ask, ask.id, pack
        self.seat = ask.title, ask.package
        self.floor, self.top = pack.floor, max(pack.floor, min(ask.top, pack.top, top))
        self.asked_at, self.sent_at, self.deadline = now, now, now + ask.left
        self.nth = -1               # number of the last tune-in
        self.server = None          # where a tune-in is out or it plays
        self.playing = self.answered = self.waiting = False
        self.held = self.rung = 0   # held: slots in which nothing fitted
        self.stepped_at = now
        self.ran_at = self.ran_near = None  # when and to whom a tune-in was sent that may have run
        self.life = None


class Manager:
    def __init__(self, terms):
        self.terms, self.rules, self.allowed = terms, terms.rules, terms.allowed
        self.servers, self.racks, self.cells = {}, {}, {}
        self.viewings, self.waiting, self.seats = {}, [], Counter()
        self.slot_at = self.started_at = None
        self.draws = self.list_tries = self.weighed_at = 0
        span = terms.rules.further_span or SECOND
        self.taken, self.further = (Ring(-(-span // 16), 20) for _ in range(2))
        self.now, self.out, self.marks = 0, [], self.rung_marks({})

    def weigh(self):
        """The site's goal counts the worst-served package apart: steps of those near it earn that much more.

        Against leaving a package with dear steps low. Could harm where the others' are served unlike ours.
        """
        self.weighed_at, goal, asked, served = self.now, self.terms.goal, {}, {}
        for vw in self.viewings.values():
            p = vw.ask.package
            asked[p] = asked.get(p, 0) + self.terms.ladder.worth[vw.top]
            served[p] = served.get(p, 0) + self.terms.ladder.worth[vw.rung] * vw.playing
        if not asked or not goal.worst_package:
            return
        near = {p: exp(-served[p] / asked[p] / NEAR_WORST) for p in asked}
        total = sum(self.terms.packages[p].value * asked[p] for p in asked)
        self.marks = self.rung_marks({
            p: 1 + goal.worst_package / max(goal.whole, 0.1) * near[p] / sum(near.values())
            * total / (self.terms.packages[p].value * asked[p]) for p in asked})

    def rung_marks(self, weights):
        """For each package and rung: its rate, the mark of the step to it, and what that earns per kB.

        A lower mark for steps that earn less per kB (trunk reservation) keeps links open for those that earn
        more, against crowds that come after the rich rungs are given out.
        """
        ladder, steps = self.terms.ladder, {}
        for p, pack in enumerate(self.terms.packages):
            for r, (kb, worth) in enumerate(zip(ladder.kb, ladder.worth)):
                less_kb, less = (ladder.kb[r - 1], ladder.worth[r - 1]) if r > pack.floor else (0, 0)
                gain = pack.value * weights.get(p, 1) * (worth - less)
                steps[p, r] = gain / (max(kb - less_kb, 1e-9) * pack.scale)
        order = sorted(set(steps.values()), reverse=True)
        most = MARK - UNSEEN * (not self.allowed.peers)
        mark = {earns: most - MARK_SPREAD * i / max(1, len(order) - 1) for i, earns in enumerate(order)}
        return {(p, r): (ladder.kb[r] * self.terms.packages[p].scale, mark[earns], earns)
                for (p, r), earns in steps.items()}

    def step(self, vw, rung):
        return self.marks[vw.ask.package, rung]

    # The events

    def handle(self, now, event):
        self.now, self.out = now, []
        if self.started_at is None:
            self.started_at = now
            if self.terms.asks_for_list:
                self.out.append(face.KeepListed(True))
        if now >= self.weighed_at + SECOND:
            self.weigh()
        act = {face.Asked: self.take, face.Note: self.note, face.Ended: self.ended, face.Begun: self.begun,
               face.Alarm: self.alarm, face.Listing: self.listing, face.HandedOver: self.hand_over,
               face.Left: self.left, face.PeerSays: self.peer_says}.get(type(event))
        if act:
            act(event)
        return self.out

    def take(self, ask):
        self.taken.add(self.now, 1)
        self.resume(self.viewing(ask), None)

    def viewing(self, ask):
        vw = Viewing(ask, self.terms.packages[ask.package], len(self.terms.ladder.kb) - 1, self.now)
        self.viewings[ask.id], vw.life = vw, self.life(vw)
        return vw

    def hand_over(self, event):
        vw = self.viewing(event.viewing)
        vw.nth, vw.rung, vw.playing, vw.answered = 0, vw.floor, True, True
        vw.stepped_at -= STEP_PAUSE
        next(vw.life)
        if srv := self.servers.get(event.server):
            srv.seen_warm = True
        self.occupy(vw, srv)

    def left(self, event):
        if vw := self.viewings.get(event.id):
            vw.answered = True
            self.forget(vw)
            if vw.server and not vw.playing and self.allowed.call_off:
                self.out.append(face.CallOff(vw.id, vw.nth))

    def begun(self, event):
        vw = self.viewings.get(event.id)
        if vw and event.nth == vw.nth:
            vw.playing, vw.answered, vw.stepped_at = True, True, self.now
            if vw.server:
                self.well(vw.server)
            self.resume(vw, How.OK)

    def ended(self, event):
        srv, vw = self.servers.get(event.server), self.viewings.get(event.id)
        if srv:
            self.report(srv, event.load)
        if vw is None or event.nth != vw.nth:
            return
        if srv and event.how in (How.ERROR, How.TIMEOUT, How.UNREACHED, How.RESET):
            self.ill(srv)
        elif srv and event.how is How.FULL:
            srv.full_until = self.now + FULL_PAUSE
        if event.how not in (How.FULL, How.UNREACHED, How.MOOT):
            vw.ran_at, vw.ran_near = vw.sent_at, srv and srv.row
        self.vacate(vw)
        if event.over or vw.answered:
            self.forget(vw)
        else:
            self.resume(vw, event.how)

    def alarm(self, event):
        if event.token == SLOT_ALARM:
            self.slot()
        else:
            self.out.append(face.KeepListed(True))

    # One viewing, top to bottom

    def life(self, vw):
        """Yields what the viewing wants ("seat", "tune", "play"); resumed with what came of it."""
        while not vw.playing:
            spot = yield "seat"
            if spot is None:
                break
            how = yield "tune", spot
            if how is not How.OK and not self.may_repeat(vw):
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
        due = min(vw.deadline, vw.asked_at + vw.pack.join_target) - TRY_LEAST
        if vw.nth >= 0 or slot_end > due:
            # At once only where it should work: a sole holder that just failed gets till the slot's end.
            last = self.now + 2 * SLOT > vw.deadline - TRY_LEAST
            spot = self.spot(vw, bad_too=last)
            if spot or last:
                self.resume(vw, spot)
                return
        self.wait(vw)

    def wait(self, vw):
        vw.waiting = True
        self.waiting.append(vw)
        if self.slot_at is None:
            self.slot_at = self.now + SLOT
            self.out.append(face.Remind(SLOT_ALARM, SLOT))

    def slot(self):
        """The slot's end: the waiting viewings in the order of what their lowest rung earns per kB."""
        queue, self.waiting, self.slot_at = self.waiting, [], None
        queue.sort(key=lambda vw: (-self.step(vw, vw.floor)[2], vw.asked_at, vw.id))
        for vw in queue:
            vw.waiting = False
            spot = self.spot(vw) or (vw.held and self.squeeze(vw))
            if spot or vw.held:
                self.resume(vw, spot)
            else:
                vw.held = 1
                self.wait(vw)

    def may_repeat(self, vw):
        if vw.nth + 1 >= self.allowed.tune_ins or self.now >= vw.deadline or (
                vw.ran_at is not None and vw.pack.effect != "safe"
                and (vw.pack.effect == "unsafe" or self.now - vw.ran_at >= vw.pack.repeat_window)):
            return False
        if self.rules.further_span is None:
            return True
        # The oldest bucket counts whole against us and not for us, so that the ration holds in any window.
        width, start = self.further.width, self.now - self.rules.further_span
        ration = self.rules.further_free + self.rules.further_share * sum(self.taken.since(start + 1))
        return sum(self.further.since(start - width)) + 1 <= ration

    def give_up(self, vw):
        """The final answer, at once: a block wherever a repeat by the viewer is harmless."""
        pack, vw.answered = vw.pack, True
        if vw.ran_at is None or pack.effect == "safe" or (pack.effect == "keyed" and pack.group == "all"):
            most = self.allowed.hold_off_most if self.allowed.hold_off else 0
            # Spread, or the viewers blocked together come again together.
            self.draws += 1
            chance = crc32(b"%d:%d" % (self.terms.seed, self.draws)) / 2 ** 32
            self.out.append(face.Block(vw.id, most // 2 + int(chance * (most // 2))))
        else:
            self.out.append(face.Abort(vw.id))

    def tune(self, vw, srv, rung):
        if vw.nth >= 0:
            self.further.add(self.now, 1)
        vw.nth, vw.sent_at, expire = vw.nth + 1, self.now, vw.deadline
        # Against servers that answer nothing: leave time for another, except where it could not be used.
        if vw.pack.effect == "safe" and vw.nth + 1 < self.allowed.tune_ins:
            left = vw.deadline - self.now
            expire = self.now + min(left, max(TRY_LEAST, min(left, vw.pack.join_target) // 2))
        if self.is_cold(srv):
            srv.turn = self.pace_turn(srv)
        if rung != vw.floor or vw.rung != vw.floor:
            self.out.append(face.SetRung(vw.id, rung))
        vw.rung = rung
        self.out.append(face.TuneIn(vw.id, srv.row.server, expire))
        self.occupy(vw, srv)

    def occupy(self, vw, srv):
        vw.server = srv
        self.seats[vw.seat] += 1
        if srv:
            srv.viewings[vw.id] = vw
            self.recount(srv, new=not vw.playing)

    def vacate(self, vw):
        srv, vw.server = vw.server, None
        self.seats[vw.seat] -= 1
        if not self.seats[vw.seat]:
            del self.seats[vw.seat]
        if srv:
            srv.viewings.pop(vw.id, None)
            self.recount(srv)

    def forget(self, vw):
        if vw.server is None:
            self.viewings.pop(vw.id, None)
        if vw.waiting:
            self.waiting.remove(vw)
            vw.waiting = False

    # Placement

    def spot(self, vw, bad_too=True):
        """The holder and rung of most immediate value; ties go to the roomiest holder."""
        best = None
        for srv in self.open_holders(vw, bad_too):
            rung, room = self.fit(srv, vw)
            if rung is not None and (best is None or (rung, room) > best[:2]):
                best = rung, room, srv
        return best and (best[2], best[0])

    def open_holders(self, vw, bad_too=True):
        """The holders of the title to which the rules and their health let a tune-in go now."""
        if vw.pack.seats and self.seats[vw.seat] >= vw.pack.seats or vw.nth >= 0 and not self.may_repeat(vw):
            return []
        fleet = self.terms.fleet
        holders = [srv for j in range(vw.ask.cells)
                   for srv in self.cells.get((vw.ask.first_cell + j) % fleet.cells, {}).values()
                   if srv.row.state is State.READY and self.near_enough(vw, srv.row) and self.in_pace(srv)
                   and len(srv.viewings) < fleet.slots[srv.row.kind]]
        sound = [srv for srv in holders if self.sound(srv)]
        if sound or not bad_too:
            return sound
        # Where every holder looks bad, one bad holder is tried rather than nobody served.
        return sorted(holders, key=lambda srv: (srv.shut_until, srv.row.server))[:1]

    def squeeze(self, vw):
        """Room for a viewing that would be blocked, from steps of ours that earn less per kB than it will.

        Against crowds that find links full of rungs given out before them. Each step down has its price.
        """
        best, (kb, _, earns) = None, self.step(vw, vw.floor)
        for srv in self.open_holders(vw):
            excess = max(srv.use() - BRIM + kb / srv.link.kb, srv.rack.use() - BRIM + kb / srv.rack.kb)
            excess *= min(srv.link.kb, srv.rack.kb)
            plan, freed = self.shed(srv, excess, earns)
            cost = sum(plan[o] != o.rung for o in plan)
            if freed >= excess and (best is None or cost < best[0]):
                best = cost, srv, plan
        if best:
            self.set_rungs(best[2])
        return best and (best[1], vw.floor)

    def near_enough(self, vw, row):
        """A keyed package that may have run is repeated only inside its group."""
        pack, ran = vw.pack, vw.ran_near
        free = pack.effect != "keyed" or vw.ran_at is None or pack.group == "all"
        return free or ran and (row.zone == ran.zone if pack.group == "zone" else row.cell == ran.cell)

    def rate(self, srv, vw, rung):
        """What the viewing would add at this server: less where it joins a live stream of ours."""
        kb = self.step(vw, rung)[0]
        joins = vw.pack.live and any(
            o.rung == rung and o.seat == vw.seat and o is not vw for o in srv.viewings.values())
        return kb * self.terms.ladder.join if joins else kb

    def fit(self, srv, vw):
        """The rung rule: the highest under its mark, else the lowest that fits under the brim."""
        # The rate, as a part of the link, on the larger use of the two: a link that reads emptier than its
        # rack is not taken at its word, or all managers rush to it.
        use, cap = srv.use() + self.age_reserve(srv), min(srv.link.kb, srv.rack.kb)
        for rung in range(vw.top, vw.floor - 1, -1):
            kb = self.rate(srv, vw, rung)
            after = max(use + kb / srv.link.kb, srv.rack.use() + kb / srv.rack.kb)
            if after <= (self.step(vw, rung)[1] if rung > vw.floor else BRIM):
                return rung, (1 - after) * cap
        return None, 0

    def age_reserve(self, srv):
        """Old figures hide what the other managers have sent since: keep more free, within bounds."""
        every, heard_at = self.terms.fleet.note_every, srv.link.heard_at
        return AGE_RESERVE * min(2, max(0, (self.now - heard_at) / every - 1)) if every and heard_at else 0

    def recount(self, srv, new=True):
        """Our asking at a server, from its viewings: streams that are shared count once and a part."""
        streams = {}
        for vw in srv.viewings.values():
            key = vw.ask.package, vw.rung, vw.ask.title if vw.pack.live else vw.id
            streams[key] = streams.get(key, 0) + 1
        own = sum(self.marks[p, rung][0] * (1 + self.terms.ladder.join * (n - 1))
                  for (p, rung, _), n in streams.items())
        if new and self.allowed.peers and own != srv.link.own:
            self.out.append(face.TellPeers(srv.row.server, own - srv.link.own))
        srv.rack.asks(self.now, srv.rack.own + own - srv.link.own, new)
        srv.link.asks(self.now, own, new)

    # Health and the cold pace

    def sound(self, srv):
        return (self.now >= srv.full_until and self.now >= srv.short_until and self.now >= srv.shut_until
                and not (srv.ills and any(not vw.playing for vw in srv.viewings.values())))

    def ill(self, srv):
        """A failed tune-in or a lost stream, whatever the cause: pause, longer each time, then one trial."""
        if self.now >= srv.shut_until:
            srv.ills += 1
            srv.shut_until = self.now + (SHUT << min(srv.ills, SHUT_DOUBLINGS))
        srv.doubt_at = self.now

    def well(self, srv):
        srv.ills = srv.ills // 2
        # A server that failed and came back may have restarted, whatever the list says.
        if srv.doubt_at is not None:
            srv.doubt_at, srv.cold_until = None, max(srv.cold_until, self.now + self.rules.warm_within)

    def is_cold(self, srv):
        # The list of a manager that has just started may not know of a restart; what it sees there may.
        return (srv.doubt_at is not None or self.now < srv.cold_until
                or (not srv.seen_warm and self.now < self.started_at + self.rules.warm_within))

    def pace_turn(self, srv):
        """Turns of the time in which one set-up of all managers may go to a cold server."""
        rules, places = self.rules, self.terms.fleet.slots[srv.row.kind]
        rate = PACE_SHARE * rules.tip_multiple * rules.start_capacity * places / rules.warm_within
        return int(self.now * rate)

    def in_pace(self, srv):
        if not self.is_cold(srv):
            return True
        turn, peers = self.pace_turn(srv), self.terms.peers
        # Known to be cold: all keep to turns. Cold for all that a new list can't tell: our share at any time.
        if srv.doubt_at is None and self.now >= srv.cold_until:
            return srv.turn is None or turn - srv.turn >= peers
        return turn % peers == self.terms.me and srv.turn != turn

    # What is heard of servers

    def listing(self, event):
        if event.kind is ListKind.FAILED:
            self.list_tries += 1
            self.out.append(face.Remind(LIST_ALARM, SECOND << min(self.list_tries, 3)))
            return
        self.list_tries, named = 0, {row.server for row in event.entries}
        left_out = [] if event.kind is ListKind.DELTA else [
            srv.row._replace(state=State.GONE) for server, srv in self.servers.items() if server not in named]
        for row in [*event.entries, *left_out]:
            self.listed(row)

    def listed(self, row):
        fleet, srv = self.terms.fleet, self.servers.get(row.server)
        if row.state is State.GONE and not (srv and srv.viewings):
            # Forgotten, or a fleet that replaces its machines would fill the memory with the old ones.
            self.servers.pop(row.server, None)
            self.cells.get(row.cell, {}).pop(row.server, None)
            return
        if srv is None:
            rack = self.racks.setdefault(row.cell % fleet.racks, Meter(fleet.uplink_kb, self.terms.peers))
            link = Meter(row.weight * fleet.kb_per_weight, self.terms.peers)
            srv = self.servers[row.server] = Server(row, link, rack)
            self.cells.setdefault(row.cell, {})[row.server] = srv
        if row.started_at > srv.row.started_at and srv.doubt_at is not None and row.started_at > srv.doubt_at:
            srv.doubt_at, srv.ills, srv.shut_until = None, 0, 0
        srv.row = row
        srv.cold_until = max(srv.cold_until, row.started_at and row.started_at + self.rules.warm_within)

    def peer_says(self, event):
        """Another manager's change of asking, known before any figure shows it: against one rush to one room.

        The next figure overrules it, so that a lost word or a dead peer does no lasting harm.
        """
        if event.server in self.servers:
            self.servers[event.server].link.others(self.now, event.kb)

    def report(self, srv, load):
        told = dict(zip(self.terms.fleet.load_names, load))
        for meter, amount in ((srv.link, told.get("x0", told.get("cpu_share"))), (srv.rack, told.get("x1"))):
            if amount is not None:
                meter.heard(self.now, REPORT_AGE, amount, REPORT_TRUST)

    def note(self, event):
        vw, srv = self.viewings.get(event.id), self.servers.get(event.server)
        if event.kind is NoteKind.RUNG:
            if vw and vw.server:
                vw.rung = int(event.amount)
                self.recount(vw.server, new=False)
            return
        if srv is None:
            return
        lag = 0 if vw and vw.playing and vw.stepped_at == self.now else self.terms.fleet.note_lag
        if event.kind is NoteKind.LINK:
            srv.link.heard(self.now, lag, event.amount)
            srv.seen_warm |= event.amount - srv.link.own / srv.link.kb > WARM_SIGN
        elif event.kind is NoteKind.UPLINK:
            srv.rack.heard(self.now, lag, event.amount)
        elif event.amount < 0.98:
            srv.short_until = self.now + SHORT
        # A deep shortage that the account does not show: figures are late or the bottleneck is none of
        # those reported. Not while what we shed last may not be in the share yet, nor where nothing flows.
        hidden = (event.kind is NoteKind.DELIVERED and STILL < event.amount < DEEP
                  and self.now >= srv.shed_at + lag + SETTLE)
        self.step_down(srv, 1 / event.amount if hidden else 0)
        if event.kind is NoteKind.LINK and srv.rack.heard_at is None:
            self.step_up([srv])
        elif event.kind is NoteKind.UPLINK and self.now >= srv.rack.raised_at + lag + SETTLE:
            srv.rack.raised_at = self.now
            self.step_up([o for o in self.servers.values() if o.rack is srv.rack])

    # Rungs of what plays

    def set_rungs(self, plan):
        """One change a viewing however many rungs it spans: each has its price."""
        changed = [vw for vw in plan if plan[vw] != vw.rung]
        for vw in changed:
            vw.rung, vw.stepped_at = plan[vw], self.now
            self.out.append(face.SetRung(vw.id, vw.rung))
        for srv in dict.fromkeys(vw.server for vw in changed):
            self.recount(srv)

    def step_down(self, srv, hidden=0):
        """A link that is short sheds the steps that earn least; each manager sheds its own part.

        What we shed lowers the use by our share of it: the others hear the same and do the same.
        """
        use = max(srv.use(), hidden)
        if use <= SHED_OVER or not srv.link.own:
            return
        srv.shed_at = self.now
        self.set_rungs(self.shed(srv, srv.link.own * (1 - SHED_TO / use))[0])

    def shed(self, srv, kb, below=float("inf")):
        """Plan of rungs that frees so much, from the steps that earn least, and what it frees."""
        plan, freed = {vw: vw.rung for vw in srv.viewings.values() if vw.playing}, 0.0
        while freed < kb:
            vw = min((vw for vw in plan if plan[vw] > vw.floor), default=None,
                     key=lambda vw: (self.step(vw, plan[vw])[2], vw.id))
            if vw is None or self.step(vw, plan[vw])[2] >= below:
                break
            plan[vw] -= 1
            freed += self.step(vw, plan[vw] + 1)[0] - self.step(vw, plan[vw])[0]
        return plan, freed

    def step_up(self, servers):
        """Lasting room goes to the steps that earn most; the others may be raising at the same news.

        A reported uplink's room goes to all its servers at once, against the first to hear taking it all.
        """
        ladder, rack = self.terms.ladder, servers[0].rack
        both = rack.peak(self.now)
        use = {srv: max(srv.link.peak(self.now), both if rack.heard_at is None else 0) + self.age_reserve(srv)
               for srv in servers if self.now >= srv.short_until}
        rush = (1 + self.terms.peers) / 2
        plan = {vw: vw.rung for srv in use for vw in srv.viewings.values()
                if vw.playing and vw.rung < vw.top and self.now - vw.stepped_at >= STEP_PAUSE}
        open_to = set(plan)
        while open_to:
            vw = max(open_to, key=lambda vw: (self.step(vw, plan[vw] + 1)[2], -vw.id))
            kb, mark, _ = self.step(vw, plan[vw] + 1)
            kb = rush * (kb - self.step(vw, plan[vw])[0])
            fits = max(use[vw.server] + kb / vw.server.link.kb, both + kb / rack.kb) <= mark
            if fits:
                use[vw.server], both = use[vw.server] + kb / vw.server.link.kb, both + kb / rack.kb
                plan[vw] += 1
            if not fits or plan[vw] == vw.top:
                open_to.discard(vw)
        for vw in plan:
            gain = ladder.worth[plan[vw]] - ladder.worth[vw.rung]
            life = vw.asked_at + vw.ask.hint - self.now if vw.ask.hint else LIFE
            if gain * life < PAYBACK * ladder.switch_cost:
                plan[vw] = vw.rung
        self.set_rungs(plan)
