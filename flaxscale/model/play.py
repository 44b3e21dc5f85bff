"""Plays a day in virtual time and counts what it was worth. The same file as `flaxscale day` plays on sockets.

What the model leaves out: HTTP and SDP, time that a manager's own work takes, connections and their limits, the order
in which packets of one instant arrive. Messages between managers and boxes take NET each way, and go by the same ways
(lab/ways.py) as those of processes: on one that is cut they wait, in order, until it is healed; a late one brings them
later, in order. A box that is stopped is one whose ways are all cut; what it streams goes on here, and stops there.
"""

from collections import Counter, defaultdict

from .. import interface
from ..interface import ListKind, NoteKind, Outcome
from ..lab.day import arrivals
from ..lab.shapes import holders_of, ways_of
from ..lab.ways import CLEAR, Fault, Ways, in_pieces
from ..leases.duties import tasks_of
from ..peaks.keeper import RoomKeeper, Surroundings, rates_of
from ..run import AnswerKind
from ..site.terms import Sense
from ..standins.box import site_settings
from .bound import of_play
from .duties import SERVICE, Service
from .fleet import Fleet
from .manager import ModelManager
from .world import World

SECOND = 10_000
NET = 5  # one way between a manager and a box
CLIENT = 10  # one way between a player and a manager
HANDED_OVER = 80_000  # a planned stop ends by then, as the lab's does
LEAVES_UNDER = 0.75  # a player whose viewing gets less than this leaves, now and then
LEAVES = 0.1  # a second, below it


class Numbered:
    """A room keeper whose titles and packages are the numbers that the module knows them by."""

    def __init__(self, keeper, titles, packages):
        self.keeper, self.titles, self.packages = keeper, titles, packages

    def asked(self, title, package, peers):
        self.keeper.asked(title, package, peers)

    def rooms(self, s, servers):
        rooms, titles, packages = self.keeper.rooms(s, servers)
        return (
            rooms,
            {self.titles[t]: rung for t, rung in titles.items()},
            {self.packages[p]: rung for p, rung in packages.items()},
        )


class FixedRoom(Numbered):
    """The baseline: the same part of every link for the announced titles, all day, and marks as ever."""

    def __init__(self, keeper, part, titles, packages):
        super().__init__(keeper, titles, packages)
        self.part = part

    def rooms(self, s, servers):
        peaks = self.keeper.peaks
        return (
            {id: self.part * link for id, (_, link) in servers.items()},
            {self.titles[t]: 0 for p in peaks for t in p.titles},
            {self.packages[k]: 0 for p in peaks for k in p.packages},
        )


class Player:
    """One viewer and its tries."""

    __slots__ = "n", "wish", "package", "tries", "dice", "vw"

    def __init__(self, n, wish, package, tries, dice):
        self.n, self.wish, self.package, self.tries, self.dice = n, wish, package, tries, dice
        self.vw = None


class Viewing:
    __slots__ = "id", "player", "manager", "life", "asked_at", "gone", "server", "nth", "playing", "key", "late", "home"

    def __init__(self, id, player, manager, asked_at):
        self.id, self.player, self.manager, self.life, self.asked_at = id, player, manager, manager.life, asked_at
        self.gone = self.playing = self.late = False
        self.home = manager, manager.life  # whom its player asked, and tells that it goes
        self.server = self.nth = self.key = None


class Row:
    """One second of a day."""

    __slots__ = (
        "asked",
        "earned",
        "requests",
        "fates",
        "rungs",
        "tune_ins",
        "low_floor",
        "bound",
        "kept",
        "free",
        "wanted",
    )

    def __init__(self):
        self.asked, self.earned = defaultdict(float), defaultdict(float)
        self.requests, self.fates, self.rungs, self.tune_ins, self.low_floor = 0, Counter(), Counter(), Counter(), 0
        self.bound = None  # what no placement could have earned, where it was worked out
        # kB a second by peak: kept by the manager that keeps most; free of others on its holders; what it needs.
        self.kept, self.free, self.wanted = {}, {}, {}


class Play:
    def __init__(self, day, seed, tap=None, keep=True, bound_every=0, peaks=None):
        """tap(now, event, actions) sees what goes into the modules and comes out.

        keep: room for announced peaks; False: none; a number: a fixed part of every link, all day.
        peaks: announcements in place of the day's own, as with a planner's schedule.
        bound_every: seconds between two at which the bound of an all-knowing placement is worked out; 0: never.
        """
        self.day, self.seed, self.tap, self.keep, self.bound_every = day, seed, tap, keep, bound_every
        self.peaks = tuple(day.peaks if peaks is None else peaks)
        self.world = World(seed)
        self.began = self.world.now
        sense = Sense(day.site, 0, 0, seed)
        self.packages = list(day.site.packages.values())
        self.names = list(day.site.packages)
        self.numbers = sense.packages
        self.fleet = Fleet(self.world, day, site_settings(day.site), sense, self.send)
        self.ways, self.waiting, self.late_on, self.way_faults = Ways(), {}, {}, 0
        self.down = Counter()  # of troubles that keep a box or a manager down
        self.faults, self.seconds, self.ids = [], defaultdict(Row), 0
        self.titles = {name: n for n, name in enumerate(sorted(day.site.titles))}
        self.rates, self.held = rates_of(day.site), {}
        self.by_key, self.records = {}, []  # records: (when, what, who, ...) of members and claims
        tasks = tasks_of(day.site.duties, day.site.fleet.drift)
        self.grants = Service(self, tasks) if tasks and day.members and day.catalogue is not None else None
        self.managers = [ModelManager(self, m) for m in range(day.site.managers)]
        self.fleet.managers = self.managers

    def named(self, name):
        """The manager that ways, members and boxes call so."""
        return self.managers[int(name[1:])]

    def keeper(self, since=None):
        """The room keeper of one manager that begins now, or None where nothing is announced or nothing kept."""
        day = self.day
        if not self.peaks or self.keep is False:
            return None

        def room_kb(title, *rest):
            return self.rates(day.site.titles[title].view if title in day.site.titles else title, *rest)

        fleet = day.site.fleet
        made = RoomKeeper(self.peaks, Surroundings(room_kb, self.holders, fleet.racks, fleet.uplink_kb), since)
        if self.keep is not True:
            return FixedRoom(made, self.keep, self.titles, self.numbers)
        return Numbered(made, self.titles, self.numbers)

    def holders(self, title):
        if title not in self.held:
            self.held[title] = holders_of(self.day, title)
        return self.held[title]

    def day_s(self):
        """Seconds of the day, as announcements have them."""
        return (self.world.now - self.began) / SECOND

    def second(self):
        return self.seconds[(self.world.now - self.began) // SECOND]

    # Players

    def ask(self, p):
        """Some manager, up or not: a player does not know."""
        manager = self.managers[int(p.dice.draw() * len(self.managers))]
        row = self.second()
        row.requests += 1
        self.world.later(CLIENT, self.arrive, p, manager, self.world.now)

    def arrive(self, p, manager, asked_at):
        if not manager.up or manager.leaving:
            self.second().fates["unreached"] += 1
            self.come_again(p)
            return
        if manager.stands(self.arrive, p, manager, asked_at):
            return
        self.ids += 1
        title, wish = self.day.site.titles[p.wish.title], p.wish
        vw = p.vw = manager.viewings[self.ids] = Viewing(self.ids, p, manager, asked_at)
        if manager.keeper is not None:
            manager.keeper.asked(wish.title, title.view, len(self.managers))
        patience = round(wish.patience * SECOND)
        waited = self.world.now - asked_at - CLIENT  # while its manager stood still
        if waited >= patience:
            manager.viewings.pop(vw.id)
            self.second().fates["manager stood"] += 1
            self.come_again(p)
            return
        if wish.leaves is not None and p.tries == self.day.demand.tries:
            self.world.later(round(wish.leaves * SECOND), self.leave, vw)
        self.world.at(asked_at + patience, self.give_up, vw)
        manager.runner.session_requested(self.asked_of(vw, max(0, patience - waited - 2 * CLIENT)))

    def asked_of(self, vw, left):
        """What a module is told of a viewing. left: of its patience."""
        p, wish = vw.player, vw.player.wish
        title, rungs = self.day.site.titles[wish.title], len(self.day.site.ladder.kb) - 1
        return interface.SessionRequest(
            vw.id,
            p.package,
            self.titles[wish.title],
            p.n,
            left,
            rungs if wish.top is None else min(wish.top, rungs),
            title.first_cell,
            title.cells,
            round(wish.length * SECOND),
            False,
            p.tries < self.day.demand.tries,
        )

    def leave(self, vw):
        if vw.manager.stands(self.leave, vw):
            return
        if not vw.gone and not vw.playing and vw.manager.up and vw.life == vw.manager.life:
            vw.gone = True
            self.second().fates["left"] += 1
            vw.manager.runner.client_left(vw.id)

    def give_up(self, vw):
        """Its patience is over and no answer came: a rule is broken, unless its manager died."""
        if not vw.gone and not vw.playing:
            vw.gone = True
            alive, stood = vw.manager.up and vw.life == vw.manager.life, vw.manager.until >= self.world.now
            self.second().fates["manager stood" if alive and stood else "unanswered" if alive else "manager died"] += 1
            if not alive or stood:
                self.come_again(vw.player)

    def answered(self, manager, vw, answer):
        """The manager's answer; the player hears it a moment later."""
        if answer.kind is AnswerKind.PLAYS:
            vw.playing = True
            self.world.later(CLIENT, self.plays, vw)
            return
        manager.viewings.pop(vw.id, None)
        if answer.overdue and not manager.stood():
            self.faults.append(f"viewing {vw.id} was overdue")
        if not vw.gone:
            vw.gone = True
            self.second().fates[answer.kind.value] += 1
            if answer.kind is not AnswerKind.LEFT:
                self.world.later(max(CLIENT, answer.hold_off), self.come_again, vw.player)

    def plays(self, vw):
        p, package = vw.player, self.packages[vw.player.package]
        vw.late = self.world.now - vw.asked_at > package.join_target_ms * 10
        self.second().fates["late" if vw.late else "plays"] += 1
        self.world.later(round(p.wish.length * SECOND), self.over, vw)

    def over(self, vw):
        """It was watched to its end."""
        if not vw.gone and vw.key in self.by_key:
            vw.gone = True
            self.left(vw)

    def left(self, vw):
        """Whom it asked hears that its player went; where that one has it no more, who has it now."""
        manager, life = vw.home
        if manager.up and life == manager.life and vw.id in manager.viewings:
            if not manager.stands(self.left, vw):
                manager.runner.client_left(vw.id)
        elif vw.manager.up and vw.life == vw.manager.life and not vw.manager.stands(self.left, vw):
            vw.manager.runner.client_left(vw.id)

    def come_again(self, p):
        p.tries -= 1
        demand = self.day.demand
        if p.tries > 0 and p.dice.draw() < demand.returns:
            self.world.later(round(p.dice.between(demand.back_s) * SECOND), self.ask, p)

    # Ways

    def send(self, a, b, span, act, *args):
        """act(*args) once what a party sends now has reached another, `span` after that on a way without faults."""
        state = self.ways.of((a, b))
        if state is CLEAR and (a, b) not in self.late_on:
            self.world.later(span, act, *args)
        elif not state.passes():
            self.waiting.setdefault((a, b), []).append((span, act, args))
        else:  # in order, as on one connection
            late = span + round(10 * (state.delay_ms + state.jitter_ms * self.world.dice("ways").draw()))
            at = self.late_on[a, b] = max(self.world.now + late, self.late_on.get((a, b), 0))
            self.world.at(at, act, *args)
            if state is CLEAR and at == self.world.now + span:  # what was late has all come
                del self.late_on[a, b]

    def datagram(self, a, b, span, act, *args):
        """The same for what no connection makes good: it is gone where the way does not pass."""
        state, dice = self.ways.of((a, b)), self.world.dice("datagrams")
        if state is CLEAR:
            self.world.later(span, act, *args)
        elif state.passes() and not (state.lose and dice.draw() < state.lose):
            self.world.later(span + round(10 * (state.delay_ms + state.jitter_ms * dice.draw())), act, *args)

    def member_hears(self, address, message, sender):
        manager = self.named(address)
        if manager.up and not manager.stands(self.member_hears, address, message, sender):
            manager.taker.heard(message, sender)

    def strike(self, fault, ways, span, pieces):
        """A fault of ways for so long; pieces: [(after it, ways)] that heal then."""
        self.way_faults += 1
        self.ways.put(self.way_faults, fault, ways)
        for after, some in pieces:
            self.world.later(span + round(after * SECOND), self.heal, self.way_faults, some)

    def heal(self, number, ways):
        for way in self.ways.heal(number, ways):
            if self.ways.of(way).passes():
                for span, act, args in self.waiting.pop(way, ()):
                    self.send(*way, span, act, *args)

    # Between managers and boxes

    def set_up(self, manager, vw, nth, server, rung):
        vw.server, vw.nth, vw.key = server, nth, (manager.me, manager.life, vw.id, nth)
        self.second().tune_ins["further" if nth else "first"] += 1
        self.send(
            manager.name,
            f"b{server}",
            NET,
            self.at_box,
            manager,
            manager.life,
            vw,
            vw.key,
            server,
            rung,
            self.world.now,
            self.fleet.boxes[server].boot,
        )

    def probe(self, manager, life, server):
        """Answered beside the set-ups; a box that hangs, is gone or out of reach lets it run into its limit."""
        holder, ways = self.fleet.boxes[server], ((manager.name, f"b{server}"), (f"b{server}", manager.name))
        cut = not all(self.ways.of(way).passes() for way in ways)
        if holder.dead or holder.box.trouble.hang or cut:
            limit = round(self.day.site.allowed.dial_timeout_ms * 10)
            self.world.later(
                limit, manager.probed, life, server, Outcome.UNREACHED if holder.dead else Outcome.TIMEOUT, limit, None
            )
        else:
            self.world.later(2 * NET, manager.probed, life, server, Outcome.OK, 2 * NET, holder.figures(self.world.now))

    def at_box(self, manager, life, vw, key, server, rung, sent_at, boot):
        """boot: the box's start to which it was sent; a later one never hears of it, as its connection is gone."""
        holder, now = self.fleet.boxes[server], self.world.now

        def answer(after, how, figures=None):
            self.send(
                f"b{server}", manager.name, after + NET, self.come, manager, life, vw.id, key[3], how, sent_at, figures
            )

        if holder.dead:
            answer(0, Outcome.UNREACHED)
            return
        if holder.boot != boot:
            answer(0, Outcome.RESET)
            return
        box, t = holder.box, holder.box.trouble
        if t.hang:
            return
        if t.reset_before and box.chance() < t.reset_before:
            answer(0, Outcome.RESET)
            return
        verdict, session = box.set_up(key, vw.player.wish.title, vw.player.wish.sends, manager.name, rung, now)
        if verdict.status == 0:
            self.fleet.fell += 1
            self.die(holder)
            answer(0, Outcome.RESET)
            return
        if session is None:
            how = (
                {503: Outcome.FULL, 404: Outcome.LACKING}.get(verdict.status, Outcome.MOOT)
                if not verdict.ran
                else Outcome.ERROR
            )
            self.second().tune_ins[how.value] += 1
            answer(verdict.after, how)
            return
        session.life = life
        self.by_key[key] = vw
        holder.changed()
        lost = next((k for k in ("answer_lost", "half") if getattr(t, k) and box.chance() < getattr(t, k)), None)
        if lost:
            return
        if t.reset_after and box.chance() < t.reset_after:
            answer(verdict.after, Outcome.RESET)
            self.world.later(verdict.after, self.end_at_box, server, key, manager, 0)
            return
        self.world.later(verdict.after, self.answer_up, holder, holder.boot, manager, life, vw, key, sent_at)

    def answer_up(self, holder, boot, manager, life, vw, key, sent_at):
        now = self.world.now
        if holder.dead or holder.boot != boot or holder.box.trouble.hang:
            if holder.dead or holder.boot != boot:
                self.send(
                    f"b{holder.place.id}",
                    manager.name,
                    NET,
                    self.come,
                    manager,
                    life,
                    vw.id,
                    key[3],
                    Outcome.RESET,
                    sent_at,
                    None,
                )
            return
        if key in holder.box.sessions:
            self.send(
                f"b{holder.place.id}",
                manager.name,
                NET,
                self.come,
                manager,
                life,
                vw.id,
                key[3],
                None,
                sent_at,
                holder.figures(now),
            )

    def come(self, manager, life, id, nth, how, sent_at, figures):
        """An outcome reaches its manager."""
        manager.outcome(life, id, nth, how, self.world.now - sent_at, figures)

    def end_at_box(self, server, key, manager, epoch):
        """An order of a manager that holds the session under this epoch."""
        self.send(manager.name, f"b{server}", NET, self.ended_at_box, server, key, manager, manager.life, epoch)

    def ended_at_box(self, server, key, manager, life, epoch):
        holder = self.fleet.boxes[server]
        if holder.dead:
            return
        if holder.box.trouble.hang:
            self.world.later(SECOND, self.ended_at_box, server, key, manager, life, epoch)
            return
        if not holder.box.fence.obeys(key, epoch, manager.name):  # it is another's by now
            if key in self.by_key and self.by_key[key].gone:
                self.without_media(holder, key)
            self.send(f"b{server}", manager.name, NET, manager.moved, life, key[2])
            return
        self.over_at_box(holder, key, manager, life)

    def over_at_box(self, holder, key, manager=None, life=0):
        """A session ends there. Who ended it hears so."""
        vw = self.by_key.pop(key, None)
        if holder.box.end(key, self.world.now) is not None:
            holder.changed()
        if vw is not None and vw.playing:
            vw.gone = True
        if manager is not None and manager.taker is not None:
            self.send(f"b{holder.place.id}", manager.name, NET, manager.said_over, life, key)

    def moved(self, holder, key, name, life):
        """Who held a session hears that it is another's, if it still listens."""
        before = self.named(name)
        self.send(f"b{holder.place.id}", name, NET, before.moved, life, key[2])

    def unwatched(self, vw, key):
        """What stands in for a session that was taken over before its own player was answered."""
        other = self.by_key[key] = Viewing(vw.id, vw.player, vw.manager, vw.asked_at)
        other.server, other.nth, other.key, other.gone = vw.server, vw.nth, key, True
        return other

    def without_media(self, holder, key):
        """A session that was taken over and that nobody watches: it ends a while after its media last flowed."""
        self.world.later(round(self.day.site.fleet.media_ms * 10), self.starved, holder, holder.boot, key)

    def starved(self, holder, boot, key):
        vw, session = self.by_key.get(key), holder.box.sessions.get(key)
        if holder.dead or holder.boot != boot or session is None or vw is None or vw.playing and not vw.gone:
            return
        owner = self.named(session.manager)
        self.send(f"b{holder.place.id}", owner.name, NET, owner.lost, session.life, key[2], key[3], Outcome.OK)
        self.over_at_box(holder, key)

    def begin_lease(self, server, key, name, life):
        holder = self.fleet.boxes[server]
        lease = round(self.day.site.fleet.lease_ms * 10)
        self.world.later(lease, self.lease_over, holder, holder.boot, key, name, life)

    def lease_over(self, holder, boot, key, name, life):
        """What a manager that died left, and nobody claimed."""
        session, vw = holder.box.sessions.get(key), self.by_key.get(key)
        if holder.dead or holder.boot != boot or session is None or (session.manager, session.life) != (name, life):
            return
        if holder.box.trouble.hang:
            self.world.later(SECOND, self.lease_over, holder, boot, key, name, life)
            return
        if vw is not None and vw.playing and not vw.gone:
            self.second().fates["lost with its manager"] += 1
            self.world.later(CLIENT, self.come_again, vw.player)
        self.over_at_box(holder, key)

    def set_rung(self, server, key, rung, manager, epoch):
        self.send(manager.name, f"b{server}", NET, self.rung_at_box, server, key, rung, manager, epoch)

    def rung_at_box(self, server, key, rung, manager, epoch):
        holder = self.fleet.boxes[server]
        if (
            not holder.dead
            and holder.box.fence.obeys(key, epoch, manager.name)
            and holder.box.set_rung(key, rung) is not None
        ):
            holder.changed()

    def peer_word(self, manager, server, kb):
        for other in self.managers:
            if other is not manager:
                self.send(manager.name, other.name, NET, self.hear_peer, other, other.life, manager.me, server, kb)

    def hear_peer(self, manager, life, peer, server, kb):
        if manager.stands(self.hear_peer, manager, life, peer, server, kb):
            return
        if manager.up and manager.life == life:
            manager.runner.peer_load_changed(peer, server, kb)

    def die(self, holder):
        """A box's process is gone: its viewings break, their managers and players notice."""
        sessions = dict(holder.box.sessions)
        holder.dead = True
        holder.box.sessions = {}
        holder.changed()
        self.fleet.changed(holder)
        for key, session in sessions.items():
            vw = self.by_key.pop(key, None)
            if vw is None:
                continue
            owner = self.named(session.manager)
            self.send(f"b{holder.place.id}", owner.name, NET, owner.lost, session.life, key[2], key[3])
            if vw.playing and not vw.gone:
                vw.gone = True
                self.come_again(vw.player)

    def manager_lost(self, vw):
        """Its manager died; its box ends it after the lease, unless it is claimed, and then the player comes again."""
        if not self.day.members and vw.playing and not vw.gone:
            vw.gone = True
            self.come_again(vw.player)
        if vw.key is not None:
            self.begin_lease(vw.server, vw.key, vw.manager.name, vw.life)

    # What boxes tell, and what it is all worth

    def one_each(self, holder):
        found = {}
        for key, session in holder.box.sessions.items():
            owner = session.manager, session.life
            if owner not in found and (vw := self.by_key.get(key)) is not None and vw.playing:
                found[owner] = key
        return found

    def tell(self, holder, boot, key, notes):
        if not holder.dead and holder.boot == boot and not holder.box.trouble.hang:
            session = holder.box.sessions.get(key)
            if session is not None:
                owner = self.named(session.manager)
                self.send(f"b{holder.place.id}", owner.name, 0, self.told, owner, session.life, key[2], notes)

    def told(self, owner, life, id, notes):
        for kind, amount in notes:
            owner.note(life, id, kind, amount)

    def notes(self, holder):
        if holder.dead:
            return
        figures, fleet = holder.figures(self.world.now), self.day.site.fleet
        late = round(fleet.note_lag_ms * 10) + holder.box.trouble.report_late
        notes = [(NoteKind.LINK, figures[fleet.link_figure])]
        if fleet.uplink_figure:
            notes.append((NoteKind.UPLINK, figures[fleet.uplink_figure]))
        for key in self.one_each(holder).values():
            self.world.later(late, self.tell, holder, holder.boot, key, notes)

    def score(self):
        """Each second: worth earned and asked, shares told, players who leave a viewing that starves."""
        now, row, site = self.world.now, self.second(), self.day.site
        worth, stall, dice = site.ladder.worth, site.ladder.stall, self.world.dice("leave")
        late = round(site.fleet.note_lag_ms * 10)
        for holder in self.fleet.boxes.values():
            if holder.dead or not holder.box.sessions:
                continue
            share = holder.delivered(now)
            short = max(0.0, 0.98 - share)
            for key, session in list(holder.box.sessions.items()):
                vw = self.by_key.get(key)
                if vw is None or not vw.playing or vw.gone:
                    continue
                package = self.packages[vw.player.package]
                value = package.value * max(0.0, worth[session.rung] - stall * short)
                if not vw.late:
                    row.earned[vw.player.package] += value
                row.rungs[vw.player.package, session.rung] += 1
                row.low_floor += session.rung < package.floor
                if share < LEAVES_UNDER and dice.draw() < LEAVES:
                    vw.gone = True
                    self.left(vw)
            if short > 0 or holder in self.was_short:
                for key in self.one_each(holder).values():
                    self.world.later(late, self.tell, holder, holder.boot, key, [(NoteKind.DELIVERED, share)])
            if short > 0:
                self.was_short.add(holder)
            else:
                self.was_short.discard(holder)
        for p in self.watching:
            package = self.packages[p.package]
            top = min(package.top, len(worth) - 1, len(worth) - 1 if p.wish.top is None else p.wish.top)
            row.asked[p.package] += package.value * worth[max(top, package.floor)]
        for p in self.peaks:
            self.see_room(p, row, now)
        if self.bound_every and (now - self.began) // SECOND % self.bound_every == 0:
            row.bound = of_play(self)

    def see_room(self, p, row, now):
        """What the peak's viewings need now, and what others leave free of its holders' links."""
        s, site = self.day_s(), self.day.site
        if not p.start_s - p.lead_s - 5 <= s < p.end_s + 5:
            return
        parts, titles = len(p.titles) + len(p.packages), set(p.titles)
        row.wanted[p.name] = sum(
            self.rates(
                site.titles[t].view if t in site.titles else t,
                p.rung,
                p.watch_at(max(s, p.start_s + 1)) / parts,
                max(1, len(self.holders(t)) if t in titles else len(self.fleet.boxes)),
            )
            for t in (*p.titles, *p.packages)
        )
        boxes = set(self.fleet.boxes) if p.packages else {b for t in p.titles for b in self.holders(t)}
        free = 0.0
        for id in boxes:
            holder = self.fleet.boxes[id]
            if not holder.dead:
                others = sum(
                    self.kb(session)
                    for session in holder.box.sessions.values()
                    if session.title not in titles and session.package not in p.packages
                )
                free += max(0.0, holder.box.link_capacity_kb(now) - others)
        row.free[p.name] = free

    def kb(self, session):
        return self.day.site.ladder.kb[session.rung] * self.day.site.packages[session.package].scale

    # Troubles, as a day's file names them

    def trouble(self, n, row):
        boxes = self.struck(n, row, range(1, len(self.fleet.boxes) + 1), row.boxes and [b + 1 for b in row.boxes])
        managers = self.struck(n, row, range(len(self.managers)), row.managers)
        span, fleet = round(row.for_s * SECOND), self.fleet
        if row.what == "crash":
            for b in boxes:
                if not fleet.boxes[b].dead:
                    self.die(fleet.boxes[b])
                self.down["b", b] += 1
                self.world.later(span, self.box_back, fleet.boxes[b])
        elif row.what == "manager_crash":
            for m in managers:
                if self.managers[m].up:
                    self.managers[m].crash()
                self.down["m", m] += 1
                self.world.later(span, self.manager_back, self.managers[m])
        elif row.what == "manager_restart":
            for m in managers:
                if not self.down["m", m]:
                    self.down["m", m] += 1
                    self.managers[m].leave()
                    self.stopping(self.managers[m], self.managers[m].life, self.world.now + HANDED_OVER, span)
        elif row.what == "manager_stall":
            for m in managers:
                self.managers[m].stall(span)
        elif row.what == "list_late":
            fleet.late = round(row.value * 10)
            self.world.later(span, setattr, fleet, "late", round(self.day.list_late_ms * 10))
        elif row.what == "list_frozen":
            fleet.frozen = True
            self.world.later(span, setattr, fleet, "frozen", False)
        elif row.what == "uplink":
            rack, kb = row.rack or 0, self.day.site.fleet.uplink_kb
            fleet.uplinks[rack] = kb * row.value
            self.world.later(span, fleet.uplinks.__setitem__, rack, kb)
        elif row.what == "way":
            ways = ways_of(self.day, n)
            self.strike(
                Fault(row.kind, row.value, row.jitter),
                ways,
                span,
                in_pieces(ways, row.heal_s, self.world.dice(f"heal-{n}")),
            )
        elif row.what in ("box_stall", "catalogue_stall"):
            others = [m.name for m in self.managers]
            for name in [SERVICE] if row.what == "catalogue_stall" else [f"b{b}" for b in boxes]:
                ways = [way for o in others for way in ((o, name), (name, o))]
                self.strike(Fault("cut"), ways, span, [(0.0, ways)])
        elif row.what == "catalogue_crash":  # what it tells of titles is told once here, and managers keep it
            if self.grants is not None:
                self.down[SERVICE] += 1
                if self.grants.up:
                    self.grants.crash()
                self.world.later(span, self.service_back)
        elif row.what == "crowd":
            pass  # it is in the arrivals
        else:
            for b in boxes:
                self.set_trouble(fleet.boxes[b], row.what, row.value)
                off = 1.0 if row.what in ("slow", "link", "lie") else 0.0
                self.world.later(span, self.set_trouble, fleet.boxes[b], row.what, off)

    def set_trouble(self, holder, name, value):
        holder.box.trouble.set(name, value)
        self.fleet.changed(holder)

    def struck(self, n, row, items, named):
        if named is not None:
            return named
        count = max(1, round(len(items) * (row.share if row.share is not None else 1)))
        return self.world.dice(f"trouble-{n}").some(items, count)

    def box_back(self, holder):
        self.down["b", holder.place.id] -= 1
        if self.down["b", holder.place.id]:
            return  # an outage inside an outage: back when the last one is over
        holder.start(self.world.now)
        self.fleet.changed(holder)

    def service_back(self):
        self.down[SERVICE] -= 1
        if not self.down[SERVICE]:
            self.grants.start()

    def manager_back(self, manager):
        self.down["m", manager.me] -= 1
        if self.down["m", manager.me]:
            return
        manager.start([row for row in manager.told.values() if row.state is not interface.ServerStatus.GONE])
        self.send("list", manager.name, round(self.fleet.late), self.full_list, manager, manager.life)

    def stopping(self, manager, life, until, span):
        """A planned stop is over once all that played is another's; then it is away for so long."""
        if manager.life == life:
            if manager.viewings and self.day.members and self.world.now < until:
                self.world.later(SECOND // 10, self.stopping, manager, life, until, span)
                return
            manager.crash()
        self.world.later(span, self.manager_back, manager)

    def full_list(self, manager, life):
        if manager.stands(self.full_list, manager, life):
            return
        if manager.up and manager.life == life:
            manager.runner.server_list_changed(ListKind.FULL, self.fleet.full())
            manager.told |= {row.server: row for row in self.fleet.full()}
            manager.listed(self.fleet.full())

    # The day

    def run(self):
        """Plays it all; returns self."""
        world, day = self.world, self.day
        settle = round(day.settle_s * SECOND)
        self.watching, self.was_short = {}, set()
        self.began = world.now + settle
        every = round(day.site.fleet.note_every_ms * 10)
        for n, holder in enumerate(self.fleet.boxes.values() if every else ()):
            world.at(world.now + 1 + n * every // max(1, len(self.fleet.boxes)), self.begin_notes, holder, every)
        world.at(self.began, world.every, SECOND, self.score)
        for manager in self.managers if self.peaks else ():
            world.at(self.began - settle, self.keep_rooms, manager)
        for n, row in enumerate(day.troubles):
            world.at(self.began + round(row.at_s * SECOND), self.trouble, n, row)
        for n, (at, wish) in enumerate(arrivals(day, self.seed)):
            time = self.began + round(at * SECOND)
            world.at(time, self.wants, n, wish)
        world.run(self.began + round(day.length_s * SECOND) + 3 * SECOND)
        self.faults += [f"manager {m.me}: {m.runner.faults} faults" for m in self.managers if m.runner.faults]
        return self

    def keep_rooms(self, manager):
        s = self.day_s()
        manager.keep_room(s)
        if manager.up and manager.keeper is not None:
            row, keeper = self.second(), manager.keeper.keeper
            for name, kb in keeper.kept.items():
                row.kept[name] = max(row.kept.get(name, 0.0), kb)
        self.world.later(SECOND, self.keep_rooms, manager)

    def begin_notes(self, holder, every):
        self.notes(holder)
        self.world.every(every, self.notes, holder)

    def wants(self, n, wish):
        """A viewer wants to watch from now for its length, served or not."""
        row = self.day.site.titles[wish.title]
        p = Player(n, wish, self.numbers[row.view], self.day.demand.tries, self.world.dice(f"player-{n}"))
        self.watching[p] = True
        self.world.later(round(wish.length * SECOND), self.watching.pop, p, None)
        self.ask(p)

    # What it came to

    def service(self, since=0, until=1 << 40):
        """Worth earned over worth asked, of all packages, in a span of seconds."""
        asked = earned = 0.0
        for second, row in self.seconds.items():
            if since <= second < until:
                asked += sum(row.asked.values())
                earned += sum(row.earned.values())
        return earned / asked if asked else 0.0

    def totals(self):
        fates, tune_ins = Counter(), Counter()
        for row in self.seconds.values():
            fates += row.fates
            tune_ins += row.tune_ins
        return {
            "service": round(self.service(0, int(self.day.length_s)), 6),
            "requests": sum(r.requests for r in self.seconds.values()),
            "fates": dict(sorted(fates.items())),
            "tune_ins": dict(sorted(tune_ins.items())),
            "fell": self.fleet.fell,
            "faults": len(self.faults),
            "under_floor": sum(r.low_floor for r in self.seconds.values()),
        }
