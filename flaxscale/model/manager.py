"""A session manager in virtual time: the very runner and module of the front, behind a port without sockets."""

from ..interface import ListKind, Outcome, ServerStatus
from ..run import Phase, Runner
from ..site.terms import Sense
from .duties import Duties
from .takeover import Takeover

STALL_GRACE = 500  # after a standstill, as the checker of sockets allows


class ModelManager:
    """The runner's port. Its messages take as long as the world says; what is lost is lost."""

    def __init__(self, play, me):
        self.play, self.world, self.number, self.up, self.incarnation = play, play.world, me, True, 0
        self.name = f"m{me}"
        self.known_servers, self.viewings, self.timer, self.stalled_until = {}, {}, 0, 0
        self.takeover, self.duties, self.claimed, self.ending, self.moved_during_set_up = None, None, {}, {}, set()
        self.start(play.fleet.full_list())

    def start(self, rows):
        self.incarnation += 1
        self.up, self.viewings, self.stopping = True, {}, False
        # claimed: {viewing: (key, epoch)} of what was taken over; ending: {key: epoch} of what is claimed to be ended.
        self.claimed, self.ending, self.moved_during_set_up = {}, {}, set()
        sense = Sense(self.play.day.site, self.number, 0, self.play.seed * 1000 + self.number + self.incarnation * 7919)
        self.load_names, self.note_figures = sense.load_names, sense.notes
        self.runner = Runner(sense.terms, self, self.play.tap)
        self.room_keeper = self.play.new_room_keeper(self.play.day_s() if self.incarnation > 1 else None)
        self.known_servers = {row.server: row for row in rows}
        self.runner.server_list_changed(ListKind.CACHED, rows)
        if self.play.day.members:
            names = [f"m{m}" for m in range(self.play.day.site.managers)]
            self.takeover = Takeover(self.play, self, names[: self.number] if self.incarnation == 1 else names)
            self.takeover.begin()
            if self.play.catalogue_service is not None:
                self.duties = Duties(self.play, self, self.play.catalogue_service.tasks)

    # What it holds, and under which name and epoch

    def listed_boxes(self):
        return [row.server for row in self.known_servers.values() if row.state is not ServerStatus.GONE]

    def lists_box(self, box):
        row = self.known_servers.get(box)
        return row is not None and row.state is not ServerStatus.GONE

    def list_changed(self, rows):
        if self.takeover is not None:
            self.takeover.boxes_listed([row.server for row in rows if row.state is not ServerStatus.GONE])

    def key_of(self, id, nth):
        """(key, epoch) of a session, or of a set-up, at its box."""
        return self.claimed.get(id) or ((self.number, self.incarnation, id, nth), 0)

    def knows_session(self, key):
        """Whether a session at a box is this life's already: played, out, or claimed to be ended."""
        return (
            key[:2] == (self.number, self.incarnation)
            or key in self.ending
            or self.claimed.get(key[2], (None,))[0] == key
        )

    def seat_of(self, viewing):
        return self.play.title_numbers[viewing.player.request.title], viewing.player.package

    def has_seat(self, seat, own):
        module = self.runner.manager
        return module.has_seat(seat, () if own else module.servers.values())

    def claim_granted(self, box, boot, key, epoch, row, orphan):
        """A box granted a claim: the viewing plays on, under this manager."""
        viewing = row.viewing
        if orphan or viewing.id in self.viewings or self.play.fleet.boxes[box].boot != boot:
            self.end_unheld(box, key, epoch)
            return
        if not viewing.playing:  # its player was never answered, and waits at the one that it asked
            viewing = self.play.viewing_without_player(viewing, key)
        self.claimed[viewing.id] = key, epoch
        self.viewings[viewing.id], viewing.manager, viewing.incarnation = viewing, self, self.incarnation
        self.runner.session_handed_over(self.play.session_request_for(viewing, 0), box, row.rung, row.age)
        if viewing.playing and viewing.ended:  # its player went while nobody held it
            self.runner.client_left(viewing.id)

    def end_unheld(self, box, key, epoch):
        """Ends a session there that is not to be held."""
        self.ending[key] = epoch
        self.play.send_end_order(box, key, self, epoch)

    def session_moved(self, incarnation, id):
        """A box says that a viewing is another manager's now."""
        if (
            self.deferred_by_stall(self.session_moved, incarnation, id)
            or not self.up
            or incarnation != self.incarnation
            or id not in self.viewings
        ):
            return
        held = self.runner.sessions.get(id)
        if held is not None and held.phase is not Phase.PLAYS:
            self.moved_during_set_up.add(id)  # a set-up that is out: its answer is still to come
            return
        self.viewings.pop(id)
        self.claimed.pop(id, None)
        if held is not None:
            self.runner.attempt_ended(id, held.nth, Outcome.OK, 0)

    def reserve_room(self, day_s):
        """Each second: the room for announced peaks, from this manager's own list."""
        if self.up and self.room_keeper is not None:
            servers = {
                server_id: (server.row, server.link.capacity_kb)
                for server_id, server in self.runner.manager.servers.items()
            }
            self.runner.peaks_reserved(*self.room_keeper.rooms(day_s, servers))

    def crash(self):
        """Outright: all that it knew is gone; its boxes end what it held when their lease is over."""
        self.up = False
        self.incarnation += 1
        self.timer += 1
        for viewing in list(self.viewings.values()):
            self.play.manager_crashed(viewing)
        self.viewings = {}
        for job in self.takeover.jobs.values() if self.takeover is not None else ():
            for key in job.claims_out:  # it may have been granted them, and never hears of it
                self.play.begin_lease(job.box, key, self.name, self.incarnation - 1)

    def begin_planned_stop(self):
        """A planned stop begins: others take over what plays, and nothing new is taken."""
        self.stopping = True
        if self.takeover is not None:
            self.takeover.leave()

    def stall(self, duration):
        """Stands still for so long: whatever reaches it meanwhile waits, in order."""
        self.stalled_until = max(self.stalled_until, self.world.now + duration)

    def deferred_by_stall(self, callback, *args):
        """Whether it stands still; then this waits until it goes on."""
        if self.world.now >= self.stalled_until:
            return False
        self.world.call_at(self.stalled_until, callback, *args)
        return True

    # The port

    def now(self):
        return self.world.now

    def wake_at(self, at):
        self.timer += 1
        self.world.call_at(at, self.timer_fires, self.timer)

    def timer_fires(self, alarm):
        if self.deferred_by_stall(self.timer_fires, alarm):
            return
        if self.up and alarm == self.timer:  # only the last that was asked for
            self.runner.tick()

    def start_attempt(self, id, nth, server, rung, left):
        self.play.set_up(self, self.viewings[id], nth, server, rung)

    def abandon_attempt(self, id, nth, server):
        self.send_end_order(id, nth, server)
        return True

    def send_end_order(self, id, nth, server):
        key, epoch = self.key_of(id, nth)
        self.play.send_end_order(server, key, self, epoch)

    def end_session(self, id, nth, server):
        self.send_end_order(id, nth, server)
        self.viewings.pop(id, None)
        self.claimed.pop(id, None)

    def set_rung(self, id, nth, server, rung):
        key, epoch = self.key_of(id, nth)
        self.play.set_rung(server, key, rung, self, epoch)

    def answer(self, id, answer):
        self.play.manager_answered(self, self.viewings[id], answer)

    def tell_peers(self, server, kb):
        self.play.send_peer_load(self, server, kb)

    def probe(self, server):
        self.play.probe(self, self.incarnation, server)

    def log(self, text):
        if not self.recently_stalled():
            self.play.faults.append(text)

    def recently_stalled(self):
        """Whether it has just gone on: what it missed meanwhile is no fault of its decisions."""
        return self.world.now <= self.stalled_until + STALL_GRACE

    # From boxes

    def set_up_ended(self, incarnation, id, nth, outcome, took, figures):
        """What came of a set-up; figures: a load report, or None."""
        if self.deferred_by_stall(self.set_up_ended, incarnation, id, nth, outcome, took, figures):
            return
        if not self.up or incarnation != self.incarnation:
            return
        if outcome is None and id in self.moved_during_set_up:  # it is another's by now
            self.moved_during_set_up.discard(id)
            self.runner.attempt_ended(id, nth, Outcome.RESET, took)
        elif outcome is None:
            notes = [(kind, figures[name]) for name, kind in self.note_figures.items()]
            if not self.runner.attempt_succeeded(id, nth, took, notes):
                viewing = self.viewings.get(id)
                if viewing is not None and viewing.server is not None:
                    self.play.send_end_order(viewing.server, (self.number, incarnation, id, nth), self, 0)
        else:
            self.runner.attempt_ended(id, nth, outcome, took)

    def probe_ended(self, incarnation, server, outcome, took, figures):
        if self.deferred_by_stall(self.probe_ended, incarnation, server, outcome, took, figures):
            return
        if self.up and incarnation == self.incarnation:
            self.runner.probe_ended(
                server, outcome, took, [figures[name] for name in self.load_names] if figures else ()
            )

    def session_lost(self, incarnation, id, nth, outcome=Outcome.RESET):
        if self.deferred_by_stall(self.session_lost, incarnation, id, nth, outcome):
            return
        if self.up and incarnation == self.incarnation and id in self.viewings:
            if id in self.claimed:
                self.claimed.pop(id)
                nth = 0
            if self.runner.sessions[id].phase is Phase.PLAYS:
                self.viewings.pop(id)  # else its tune-in failed, and the module may try another
            self.runner.attempt_ended(id, nth, outcome, 0)

    def playback_note(self, incarnation, id, kind, amount):
        if self.deferred_by_stall(self.playback_note, incarnation, id, kind, amount):
            return
        if self.up and incarnation == self.incarnation and id in self.viewings:
            self.runner.playback_note(id, kind, amount)

    def session_over(self, incarnation, key):
        """A box ended a session."""
        if self.up and incarnation == self.incarnation:
            self.ending.pop(key, None)
            if self.takeover is not None:
                self.takeover.session_ended(key)
