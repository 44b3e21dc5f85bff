"""A session manager in virtual time: the front's own runner and decision module, behind a port without sockets."""

from ..interface import ListKind, Outcome, ServerStatus
from ..run import Phase, Runner
from ..site.terms import ManagerSite
from .duties import Duties
from .takeover import Takeover

STALL_GRACE = 500  # tenths of a millisecond after a stall, as the checker for processes allows


class ModelManager:
    """Implements the runner's port. Messages take the delays of the simulation; lost ones are not resent."""

    def __init__(self, play, number):
        self.play, self.world, self.number, self.up, self.incarnation = play, play.world, number, True, 0
        self.name = f"m{number}"
        self.known_servers, self.viewings, self.timer, self.stalled_until = {}, {}, 0, 0
        self.takeover, self.duties, self.claimed, self.ending, self.moved_during_set_up = None, None, {}, {}, set()
        self.start(play.fleet.full_list())

    def start(self, rows):
        self.incarnation += 1
        self.up, self.viewings, self.stopping = True, {}, False
        # claimed: {viewing: (key, epoch)} of sessions taken over; ending: {key: epoch} of sessions claimed to be ended.
        self.claimed, self.ending, self.moved_during_set_up = {}, {}, set()
        sense = ManagerSite(
            self.play.day.site, self.number, 0, self.play.seed * 1000 + self.number + self.incarnation * 7919
        )
        self.load_names, self.note_figures = sense.load_names, sense.note_kinds
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

    # Sessions held, with their keys and epochs

    def listed_boxes(self):
        return [row.server for row in self.known_servers.values() if row.state is not ServerStatus.GONE]

    def lists_box(self, box):
        row = self.known_servers.get(box)
        return row is not None and row.state is not ServerStatus.GONE

    def list_changed(self, rows):
        if self.takeover is not None:
            self.takeover.boxes_listed([row.server for row in rows if row.state is not ServerStatus.GONE])

    def key_of(self, id, nth):
        """(key, epoch) of a session or a set-up at its box."""
        return self.claimed.get(id) or ((self.number, self.incarnation, id, nth), 0)

    def knows_session(self, key):
        """Whether a session at a box is this incarnation's already: playing, being set up, or claimed to be ended."""
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
        """Handles a granted claim: the viewing goes on under this manager."""
        viewing = row.viewing
        if orphan or viewing.id in self.viewings or self.play.fleet.boxes[box].boot != boot:
            self.end_unheld(box, key, epoch)
            return
        if not viewing.playing:  # its player got no answer and waits at the manager that it asked
            viewing = self.play.viewing_without_player(viewing, key)
        self.claimed[viewing.id] = key, epoch
        self.viewings[viewing.id], viewing.manager, viewing.incarnation = viewing, self, self.incarnation
        self.runner.session_handed_over(self.play.session_request_for(viewing, 0), box, row.rung, row.age)
        if viewing.playing and viewing.ended:  # its player left while no manager held the viewing
            self.runner.client_left(viewing.id)

    def end_unheld(self, box, key, epoch):
        """Ends a session at a box that is not to be kept."""
        self.ending[key] = epoch
        self.play.send_end_order(box, key, self, epoch)

    def session_moved(self, incarnation, id):
        """Handles a box's notification that another manager holds a viewing."""
        if (
            self.deferred_by_stall(self.session_moved, incarnation, id)
            or not self.up
            or incarnation != self.incarnation
            or id not in self.viewings
        ):
            return
        held = self.runner.sessions.get(id)
        if held is not None and held.phase is not Phase.PLAYS:
            self.moved_during_set_up.add(id)  # the answer of the set-up is still to come
            return
        self.viewings.pop(id)
        self.claimed.pop(id, None)
        if held is not None:
            self.runner.attempt_ended(id, held.nth, Outcome.OK, 0)

    def reserve_room(self, day_s):
        """Each second: reserves room for announced peaks, computed from this manager's own list."""
        if self.up and self.room_keeper is not None:
            servers = {
                server_id: (server.row, server.link.capacity_kb)
                for server_id, server in self.runner.manager.servers.items()
            }
            self.runner.peaks_reserved(*self.room_keeper.rooms(day_s, servers))

    def crash(self):
        """Crashes: all state is lost, and the boxes end the manager's sessions when their lease expires."""
        self.up = False
        self.incarnation += 1
        self.timer += 1
        for viewing in list(self.viewings.values()):
            self.play.manager_crashed(viewing)
        self.viewings = {}
        for job in self.takeover.jobs.values() if self.takeover is not None else ():
            for key in job.claims_out:  # the claim may be granted, and its answer finds no manager
                self.play.begin_lease(job.box, key, self.name, self.incarnation - 1)

    def begin_planned_stop(self):
        """Begins a planned stop: other managers take over the sessions, and new requests are refused."""
        self.stopping = True
        if self.takeover is not None:
            self.takeover.leave()

    def stall(self, duration):
        """Stalls for `duration`; messages that arrive meanwhile wait, in order."""
        self.stalled_until = max(self.stalled_until, self.world.now + duration)

    def deferred_by_stall(self, callback, *args):
        """Whether the manager is stalled; if so, calls callback(*args) when the stall ends."""
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

    def timer_fires(self, timer):
        if self.deferred_by_stall(self.timer_fires, timer):
            return
        if self.up and timer == self.timer:  # only the timer set last
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

    def session_removed(self, id):
        """Nothing to do: the model's record ends with the answer or with the end of playback."""

    def tell_peers(self, server, kb):
        self.play.send_peer_load(self, server, kb)

    def probe(self, server):
        self.play.probe(self, self.incarnation, server)

    def log(self, text):
        if not self.recently_stalled():
            self.play.faults.append(text)

    def recently_stalled(self):
        """Whether a stall ended just now: deadlines missed during it are not faults of the decision module."""
        return self.world.now <= self.stalled_until + STALL_GRACE

    # From boxes

    def set_up_ended(self, incarnation, id, nth, outcome, took, figures):
        """Handles the outcome of a set-up. outcome: None on success; figures: a load report, or None."""
        if self.deferred_by_stall(self.set_up_ended, incarnation, id, nth, outcome, took, figures):
            return
        if not self.up or incarnation != self.incarnation:
            return
        if outcome is None and id in self.moved_during_set_up:  # another manager holds the session
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
                self.viewings.pop(id)  # otherwise its tune-in failed, and the module may try another box
            self.runner.attempt_ended(id, nth, outcome, 0)

    def playback_note(self, incarnation, id, kind, amount):
        if self.deferred_by_stall(self.playback_note, incarnation, id, kind, amount):
            return
        if self.up and incarnation == self.incarnation and id in self.viewings:
            self.runner.playback_note(id, kind, amount)

    def session_over(self, incarnation, key):
        """Handles a box's confirmation that a session has ended."""
        if self.up and incarnation == self.incarnation:
            self.ending.pop(key, None)
            if self.takeover is not None:
                self.takeover.session_ended(key)
