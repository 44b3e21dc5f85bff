"""A session manager in virtual time: the very runner and module of the front, behind a port without sockets."""
from ..interface import How, ListKind
from ..run import Phase, Runner
from ..site.terms import Sense

CATCHES_UP = 500                # after a standstill, as the checker of sockets allows


class ModelManager:
    """The runner's port. Its messages take as long as the world says; what is lost is lost."""

    def __init__(self, play, me):
        self.play, self.world, self.me, self.up, self.life = play, play.world, me, True, 0
        self.name = f"m{me}"
        self.told, self.viewings, self.alarm, self.until = {}, {}, 0, 0
        self.start(play.fleet.full())

    def start(self, rows):
        self.life += 1
        self.up, self.viewings = True, {}
        sense = Sense(self.play.day.site, self.me, 0, self.play.seed * 1000 + self.me + self.life * 7919)
        self.load_names, self.figures = sense.load_names, sense.notes
        self.runner = Runner(sense.terms, self, self.play.tap)
        self.keeper = self.play.keeper(self.play.day_s() if self.life > 1 else None)
        self.told = {row.server: row for row in rows}
        self.runner.listing(ListKind.CACHED, rows)

    def keep_room(self, s):
        """Each second: the room for announced peaks, from this manager's own list."""
        if self.up and self.keeper is not None:
            servers = {id: (srv.row, srv.link.kb) for id, srv in self.runner.manager.servers.items()}
            self.runner.kept(*self.keeper.rooms(s, servers))

    def crash(self):
        """Outright: all that it knew is gone; its boxes end what it held when their lease is over."""
        self.up = False
        self.life += 1
        self.alarm += 1
        for vw in list(self.viewings.values()):
            self.play.manager_lost(vw)
        self.viewings = {}

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

    def wake(self, at):
        self.alarm += 1
        self.world.at(at, self.ring, self.alarm)

    def ring(self, alarm):
        if self.stands(self.ring, alarm):
            return
        if self.up and alarm == self.alarm:     # only the last that was asked for
            self.runner.tick()

    def tune_in(self, id, nth, server, rung, left):
        self.play.set_up(self, self.viewings[id], nth, server, rung)

    def abandon(self, id, nth, server):
        self.play.end_at_box(server, (self.me, self.life, id, nth))
        return True

    def end(self, id, nth, server):
        self.play.end_at_box(server, (self.me, self.life, id, nth))
        self.viewings.pop(id, None)

    def set_rung(self, id, nth, server, rung):
        self.play.set_rung(server, (self.me, self.life, id, nth), rung)

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
        if how is None:
            notes = [(kind, figures[name]) for name, kind in self.figures.items()]
            if not self.runner.begun(id, nth, took, notes):
                vw = self.viewings.get(id)
                if vw is not None and vw.server is not None:
                    self.play.end_at_box(vw.server, (self.me, life, id, nth))
        else:
            self.runner.ended(id, nth, how, took)

    def probed(self, life, server, how, took, figures):
        if self.stands(self.probed, life, server, how, took, figures):
            return
        if self.up and life == self.life:
            self.runner.probed(server, how, took, [figures[name] for name in self.load_names] if figures else ())

    def lost(self, life, id, nth, how=How.RESET):
        if self.stands(self.lost, life, id, nth, how):
            return
        if self.up and life == self.life and id in self.viewings:
            if self.runner.held[id].phase is Phase.PLAYS:
                self.viewings.pop(id)       # else its tune-in failed, and the module may try another
            self.runner.ended(id, nth, how, 0)

    def note(self, life, id, kind, amount):
        if self.stands(self.note, life, id, kind, amount):
            return
        if self.up and life == self.life and id in self.viewings:
            self.runner.note(id, kind, amount)
