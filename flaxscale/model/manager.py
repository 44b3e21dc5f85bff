"""A session manager in virtual time: the very runner and module of the front, behind a port without sockets."""

from ..interface import ListKind, Outcome, ServerStatus
from ..run import Phase, Runner
from ..site.terms import ManagerSite
from .duties import Duties
from .takeover import Taker

CATCHES_UP = 500  # after a standstill, as the checker of sockets allows


class ModelManager:
    """The runner's port. Its messages take as long as the world says; what is lost is lost."""

    def __init__(self, play, me):
        self.play, self.world, self.me, self.up, self.life = play, play.world, me, True, 0
        self.name = f"m{me}"
        self.told, self.viewings, self.alarm, self.until = {}, {}, 0, 0
        self.taker, self.duties, self.claimed, self.ending, self.early = None, None, {}, {}, set()
        self.start(play.fleet.full())

    def start(self, rows):
        self.life += 1
        self.up, self.viewings, self.leaving = True, {}, False
        # claimed: {viewing: (key, epoch)} of what was taken over; ending: {key: epoch} of what is claimed to be ended.
        self.claimed, self.ending, self.early = {}, {}, set()
        sense = ManagerSite(self.play.day.site, self.me, 0, self.play.seed * 1000 + self.me + self.life * 7919)
        self.load_names, self.figures = sense.load_names, sense.note_kinds
        self.runner = Runner(sense.terms, self, self.play.tap)
        self.keeper = self.play.keeper(self.play.day_s() if self.life > 1 else None)
        self.told = {row.server: row for row in rows}
        self.runner.server_list_changed(ListKind.CACHED, rows)
        if self.play.day.members:
            names = [f"m{m}" for m in range(self.play.day.site.managers)]
            self.taker = Taker(self.play, self, names[: self.me] if self.life == 1 else names)
            self.taker.begin()
            if self.play.grants is not None:
                self.duties = Duties(self.play, self, self.play.grants.tasks)

    # What it holds, and under which name and epoch

    def boxes(self):
        return [row.server for row in self.told.values() if row.state is not ServerStatus.GONE]

    def lists(self, box):
        row = self.told.get(box)
        return row is not None and row.state is not ServerStatus.GONE

    def listed(self, rows):
        if self.taker is not None:
            self.taker.listed([row.server for row in rows if row.state is not ServerStatus.GONE])

    def key_of(self, id, nth):
        """(key, epoch) of a session, or of a set-up, at its box."""
        return self.claimed.get(id) or ((self.me, self.life, id, nth), 0)

    def holds(self, key):
        """Whether a session at a box is this life's already: played, out, or claimed to be ended."""
        return key[:2] == (self.me, self.life) or key in self.ending or self.claimed.get(key[2], (None,))[0] == key

    def seat_of(self, vw):
        return self.play.titles[vw.player.wish.title], vw.player.package

    def has_seat(self, seat, own):
        module = self.runner.manager
        return module.has_seat(seat, () if own else module.servers.values())

    def adopted(self, box, boot, key, epoch, row, orphan):
        """A box granted a claim: the viewing plays on, under this manager."""
        vw = row.vw
        if orphan or vw.id in self.viewings or self.play.fleet.boxes[box].boot != boot:
            self.end_there(box, key, epoch)
            return
        if not vw.playing:  # its player was never answered, and waits at the one that it asked
            vw = self.play.unwatched(vw, key)
        self.claimed[vw.id] = key, epoch
        self.viewings[vw.id], vw.manager, vw.life = vw, self, self.life
        self.runner.session_handed_over(self.play.asked_of(vw, 0), box, row.rung, row.age)
        if vw.playing and vw.gone:  # its player went while nobody held it
            self.runner.client_left(vw.id)

    def end_there(self, box, key, epoch):
        """Ends a session there that is not to be held."""
        self.ending[key] = epoch
        self.play.end_at_box(box, key, self, epoch)

    def moved(self, life, id):
        """A box says that a viewing is another manager's now."""
        if self.stands(self.moved, life, id) or not self.up or life != self.life or id not in self.viewings:
            return
        held = self.runner.sessions.get(id)
        if held is not None and held.phase is not Phase.PLAYS:
            self.early.add(id)  # a set-up that is out: its answer is still to come
            return
        self.viewings.pop(id)
        self.claimed.pop(id, None)
        if held is not None:
            self.runner.attempt_ended(id, held.nth, Outcome.OK, 0)

    def keep_room(self, s):
        """Each second: the room for announced peaks, from this manager's own list."""
        if self.up and self.keeper is not None:
            servers = {id: (srv.row, srv.link.capacity_kb) for id, srv in self.runner.manager.servers.items()}
            self.runner.peaks_reserved(*self.keeper.rooms(s, servers))

    def crash(self):
        """Outright: all that it knew is gone; its boxes end what it held when their lease is over."""
        self.up = False
        self.life += 1
        self.alarm += 1
        for vw in list(self.viewings.values()):
            self.play.manager_lost(vw)
        self.viewings = {}
        for job in self.taker.jobs.values() if self.taker is not None else ():
            for key in job.out:  # it may have been granted them, and never hears of it
                self.play.begin_lease(job.box, key, self.name, self.life - 1)

    def leave(self):
        """A planned stop begins: others take over what plays, and nothing new is taken."""
        self.leaving = True
        if self.taker is not None:
            self.taker.leave()

    def stall(self, span):
        """Stands still for so long: whatever reaches it meanwhile waits, in order."""
        self.until = max(self.until, self.world.now + span)

    def stands(self, act, *args):
        """Whether it stands still; then this waits until it goes on."""
        if self.world.now >= self.until:
            return False
        self.world.at(self.until, act, *args)
        return True

    # The port

    def now(self):
        return self.world.now

    def wake_at(self, at):
        self.alarm += 1
        self.world.at(at, self.ring, self.alarm)

    def ring(self, alarm):
        if self.stands(self.ring, alarm):
            return
        if self.up and alarm == self.alarm:  # only the last that was asked for
            self.runner.tick()

    def start_attempt(self, id, nth, server, rung, left):
        self.play.set_up(self, self.viewings[id], nth, server, rung)

    def abandon_attempt(self, id, nth, server):
        self.order_end(id, nth, server)
        return True

    def order_end(self, id, nth, server):
        key, epoch = self.key_of(id, nth)
        self.play.end_at_box(server, key, self, epoch)

    def end_session(self, id, nth, server):
        self.order_end(id, nth, server)
        self.viewings.pop(id, None)
        self.claimed.pop(id, None)

    def set_rung(self, id, nth, server, rung):
        key, epoch = self.key_of(id, nth)
        self.play.set_rung(server, key, rung, self, epoch)

    def answer(self, id, answer):
        self.play.answered(self, self.viewings[id], answer)

    def tell_peers(self, server, kb):
        self.play.peer_word(self, server, kb)

    def probe(self, server):
        self.play.probe(self, self.life, server)

    def log(self, text):
        if not self.stood():
            self.play.faults.append(text)

    def stood(self):
        """Whether it has just gone on: what it missed meanwhile is no fault of its decisions."""
        return self.world.now <= self.until + CATCHES_UP

    # From boxes

    def outcome(self, life, id, nth, how, took, figures):
        """What came of a set-up; figures: a load report, or None."""
        if self.stands(self.outcome, life, id, nth, how, took, figures):
            return
        if not self.up or life != self.life:
            return
        if how is None and id in self.early:  # it is another's by now
            self.early.discard(id)
            self.runner.attempt_ended(id, nth, Outcome.RESET, took)
        elif how is None:
            notes = [(kind, figures[name]) for name, kind in self.figures.items()]
            if not self.runner.attempt_succeeded(id, nth, took, notes):
                vw = self.viewings.get(id)
                if vw is not None and vw.server is not None:
                    self.play.end_at_box(vw.server, (self.me, life, id, nth), self, 0)
        else:
            self.runner.attempt_ended(id, nth, how, took)

    def probed(self, life, server, how, took, figures):
        if self.stands(self.probed, life, server, how, took, figures):
            return
        if self.up and life == self.life:
            self.runner.probe_ended(server, how, took, [figures[name] for name in self.load_names] if figures else ())

    def lost(self, life, id, nth, how=Outcome.RESET):
        if self.stands(self.lost, life, id, nth, how):
            return
        if self.up and life == self.life and id in self.viewings:
            if id in self.claimed:
                self.claimed.pop(id)
                nth = 0
            if self.runner.sessions[id].phase is Phase.PLAYS:
                self.viewings.pop(id)  # else its tune-in failed, and the module may try another
            self.runner.attempt_ended(id, nth, how, 0)

    def note(self, life, id, kind, amount):
        if self.stands(self.note, life, id, kind, amount):
            return
        if self.up and life == self.life and id in self.viewings:
            self.runner.playback_note(id, kind, amount)

    def said_over(self, life, key):
        """A box ended a session."""
        if self.up and life == self.life:
            self.ending.pop(key, None)
            if self.taker is not None:
                self.taker.ended_there(key)
