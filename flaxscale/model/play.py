"""Simulates a day in virtual time and computes its worth, from the same file that `flaxscale day` runs on sockets.

Not modelled: HTTP and SDP, the processing time of a manager, connections and their limits, the order in which packets
of one instant arrive. A message between a manager and a box takes NETWORK_DELAY. Messages use the same network paths
("ways", lab/ways.py) as those of processes: on a cut path they wait, in order, until the path is restored; a delayed
path delivers them later, in order. A stalled box is modelled as a box whose paths are all cut; unlike the process, the
modelled box goes on streaming.
"""

from collections import Counter, defaultdict

from .. import interface
from ..interface import ListKind, NoteKind, Outcome
from ..lab.day import arrivals
from ..lab.shapes import holders_of, ways_of
from ..lab.ways import CLEAR, Fault, Ways, in_pieces
from ..leases.duties import tasks_of
from ..peaks.keeper import PeakEnvironment, PeakReserver, bandwidth_function
from ..run import AnswerKind
from ..site.terms import ManagerSite
from ..standins.box import site_settings
from .bound import bound_of_play
from .duties import SERVICE, CatalogueService
from .fleet import Fleet
from .manager import ModelManager
from .world import World

SECOND = 10_000  # in ticks of the virtual clock
# Times are tenths of a millisecond.
NETWORK_DELAY = 5  # one way between a manager and a box
CLIENT_DELAY = 10  # one way between a player and a manager
PLANNED_STOP_LIMIT = 80_000  # a planned stop takes at most this long, as in the lab
LEAVE_BELOW_SHARE = 0.75  # a player may leave a viewing that gets a smaller share of its rate
LEAVE_CHANCE = 0.1  # probability per second of leaving below that share


class NumberedRoomKeeper:
    """Wraps a room keeper: titles and packages are given as the numbers that the decision module uses."""

    def __init__(self, keeper, titles, packages):
        self.keeper, self.titles, self.packages = keeper, titles, packages

    def asked(self, title, package, peers):
        self.keeper.record_request(title, package, peers)

    def rooms(self, second, servers):
        rooms, titles, packages = self.keeper.reserve(second, servers)
        return (
            rooms,
            {self.titles[t]: rung for t, rung in titles.items()},
            {self.packages[p]: rung for p, rung in packages.items()},
        )


class FixedRoomKeeper(NumberedRoomKeeper):
    """The baseline: reserves a fixed share of every link for announced titles all day; titles are marked as usual."""

    def __init__(self, keeper, share, titles, packages):
        super().__init__(keeper, titles, packages)
        self.share = share

    def rooms(self, second, servers):
        peaks = self.keeper.peaks
        return (
            {id: self.share * link for id, (_, link) in servers.items()},
            {self.titles[t]: 0 for p in peaks for t in p.titles},
            {self.packages[k]: 0 for p in peaks for k in p.packages},
        )


class Player:
    """A viewer with the attempts that remain."""

    __slots__ = "number", "request", "package", "tries_left", "dice", "viewing"

    def __init__(self, number, request, package, tries_left, dice):
        self.number, self.request, self.package, self.tries_left, self.dice = number, request, package, tries_left, dice
        self.viewing = None


class Viewing:
    """One request of a player and, once answered, its playing session."""

    __slots__ = (
        "id",
        "player",
        "manager",
        "incarnation",
        "requested_at",
        "ended",
        "server",
        "nth",
        "playing",
        "key",
        "started_late",
        "asked_manager",
    )

    def __init__(self, id, player, manager, requested_at):
        self.id, self.player, self.manager, self.incarnation, self.requested_at = (
            id,
            player,
            manager,
            manager.incarnation,
            requested_at,
        )
        self.ended = self.playing = self.started_late = False
        # The manager that received the request and is notified when the player leaves.
        self.asked_manager = manager, manager.incarnation
        self.server = self.nth = self.key = None


class SecondRow:
    """Totals of one second of a day."""

    __slots__ = (
        "asked",
        "earned",
        "requests",
        "outcomes",
        "rungs",
        "tune_ins",
        "below_floor",
        "bound",
        "kept",
        "free",
        "wanted",
    )

    def __init__(self):
        self.asked, self.earned = defaultdict(float), defaultdict(float)
        self.requests, self.outcomes, self.rungs, self.tune_ins, self.below_floor = (
            0,
            Counter(),
            Counter(),
            Counter(),
            0,
        )
        self.bound = None  # upper bound of the worth that any placement earns, where computed
        # kB a second by peak. kept: the largest reservation of any manager. free: link capacity of the holders that
        # other titles leave unused. wanted: what the peak's viewings need.
        self.kept, self.free, self.wanted = {}, {}, {}


class Play:
    def __init__(self, day, seed, tap=None, keep=True, bound_every=0, peaks=None):
        """tap(now, event, actions): called with each input and output of the decision modules.

        keep: whether room for announced peaks is reserved; a number: a fixed share of every link, all day.
        peaks: announcements that replace those of the day, for example with a planner's schedule.
        bound_every: interval in seconds at which the upper bound of an omniscient placement is computed; 0: never.
        """
        self.day, self.seed, self.tap, self.room_policy, self.bound_every = day, seed, tap, keep, bound_every
        self.peaks = tuple(day.peaks if peaks is None else peaks)
        self.world = World(seed)
        self.began = self.world.now
        sense = ManagerSite(day.site, 0, 0, seed)
        self.packages = list(day.site.packages.values())
        self.package_names = list(day.site.packages)
        self.package_numbers = sense.packages
        self.fleet = Fleet(self.world, day, site_settings(day.site), sense, self.send)
        self.ways, self.held_messages, self.last_arrival, self.fault_count = Ways(), {}, {}, 0
        self.outages = Counter()  # by process: number of active troubles that keep it down
        self.faults, self.seconds, self.viewing_count = [], defaultdict(SecondRow), 0
        self.title_numbers = {name: number for number, name in enumerate(sorted(day.site.titles))}
        self.rates, self.holders_by_title = bandwidth_function(day.site), {}
        self.viewing_by_key, self.records = {}, []  # records: (when, what, who, ...) of members and claims
        tasks = tasks_of(day.site.duties, day.site.fleet.drift)
        self.catalogue_service = (
            CatalogueService(self, tasks) if tasks and day.members and day.catalogue is not None else None
        )
        self.managers = [ModelManager(self, m) for m in range(day.site.managers)]
        self.fleet.managers = self.managers

    def manager_named(self, name):
        """The manager of this name; paths, members and boxes use names."""
        return self.managers[int(name[1:])]

    def new_room_keeper(self, since=None):
        """A room keeper for a manager that starts now, or None if nothing is announced or reserved."""
        day = self.day
        if not self.peaks or self.room_policy is False:
            return None

        def room_kb(title, *rest):
            return self.rates(day.site.titles[title].view if title in day.site.titles else title, *rest)

        fleet = day.site.fleet
        room_keeper = PeakReserver(
            self.peaks, PeakEnvironment(room_kb, self.holders, fleet.racks, fleet.uplink_kb), since
        )
        if self.room_policy is not True:
            return FixedRoomKeeper(room_keeper, self.room_policy, self.title_numbers, self.package_numbers)
        return NumberedRoomKeeper(room_keeper, self.title_numbers, self.package_numbers)

    def holders(self, title):
        if title not in self.holders_by_title:
            self.holders_by_title[title] = holders_of(self.day, title)
        return self.holders_by_title[title]

    def day_s(self):
        """Seconds since the beginning of the day, the time scale of announcements."""
        return (self.world.now - self.began) / SECOND

    def current_second(self):
        return self.seconds[(self.world.now - self.began) // SECOND]

    # Players

    def send_request(self, player):
        """Sends the request to a random manager, which may be down: a player does not know."""
        manager = self.managers[int(player.dice.draw() * len(self.managers))]
        row = self.current_second()
        row.requests += 1
        self.world.call_later(CLIENT_DELAY, self.request_arrives, player, manager, self.world.now)

    def request_arrives(self, player, manager, requested_at):
        if not manager.up or manager.stopping:
            self.current_second().outcomes["unreached"] += 1
            self.retry_later(player)
            return
        if manager.deferred_by_stall(self.request_arrives, player, manager, requested_at):
            return
        self.viewing_count += 1
        title, request = self.day.site.titles[player.request.title], player.request
        viewing = player.viewing = manager.viewings[self.viewing_count] = Viewing(
            self.viewing_count, player, manager, requested_at
        )
        if manager.room_keeper is not None:
            manager.room_keeper.asked(request.title, title.view, len(self.managers))
        patience = round(request.patience * SECOND)
        waited = self.world.now - requested_at - CLIENT_DELAY  # while its manager was stalled
        if waited >= patience:
            manager.viewings.pop(viewing.id)
            self.current_second().outcomes["manager stood"] += 1
            self.retry_later(player)
            return
        if request.leaves is not None and player.tries_left == self.day.demand.tries:
            self.world.call_later(round(request.leaves * SECOND), self.leave_unanswered, viewing)
        self.world.call_at(requested_at + patience, self.patience_over, viewing)
        manager.runner.session_requested(
            self.session_request_for(viewing, max(0, patience - waited - 2 * CLIENT_DELAY))
        )

    def session_request_for(self, viewing, patience_left):
        """The event that describes a viewing to the decision module. patience_left: time until the player gives up."""
        player, request = viewing.player, viewing.player.request
        title, rungs = self.day.site.titles[request.title], len(self.day.site.ladder.kb) - 1
        return interface.SessionRequest(
            viewing.id,
            player.package,
            self.title_numbers[request.title],
            player.number,
            patience_left,
            rungs if request.top is None else min(request.top, rungs),
            title.first_cell,
            title.cells,
            round(request.length * SECOND),
            False,
            player.tries_left < self.day.demand.tries,
        )

    def leave_unanswered(self, viewing):
        if viewing.manager.deferred_by_stall(self.leave_unanswered, viewing):
            return
        if (
            not viewing.ended
            and not viewing.playing
            and viewing.manager.up
            and viewing.incarnation == viewing.manager.incarnation
        ):
            viewing.ended = True
            self.current_second().outcomes["left"] += 1
            viewing.manager.runner.client_left(viewing.id)

    def patience_over(self, viewing):
        """The player's patience ran out without an answer: a rule violation unless the manager crashed or stalled."""
        if not viewing.ended and not viewing.playing:
            viewing.ended = True
            alive, stalled = (
                viewing.manager.up and viewing.incarnation == viewing.manager.incarnation,
                viewing.manager.stalled_until >= self.world.now,
            )
            self.current_second().outcomes[
                "manager stood" if alive and stalled else "unanswered" if alive else "manager died"
            ] += 1
            if not alive or stalled:
                self.retry_later(viewing.player)

    def manager_answered(self, manager, viewing, answer):
        """Handles a manager's answer, which reaches the player CLIENT_DELAY later."""
        if answer.kind is AnswerKind.PLAYS:
            viewing.playing = True
            self.world.call_later(CLIENT_DELAY, self.playback_starts, viewing)
            return
        manager.viewings.pop(viewing.id, None)
        if answer.overdue and not manager.recently_stalled():
            self.faults.append(f"viewing {viewing.id}: answer after its deadline")
        if not viewing.ended:
            viewing.ended = True
            self.current_second().outcomes[answer.kind.value] += 1
            if answer.kind is not AnswerKind.LEFT:
                self.world.call_later(max(CLIENT_DELAY, answer.hold_off), self.retry_later, viewing.player)

    def playback_starts(self, viewing):
        player, package = viewing.player, self.packages[viewing.player.package]
        viewing.started_late = self.world.now - viewing.requested_at > package.join_target_ms * 10
        self.current_second().outcomes["late" if viewing.started_late else "plays"] += 1
        self.world.call_later(round(player.request.length * SECOND), self.playback_complete, viewing)

    def playback_complete(self, viewing):
        """Ends a viewing that was watched to its end."""
        if not viewing.ended and viewing.key in self.viewing_by_key:
            viewing.ended = True
            self.player_leaves(viewing)

    def player_leaves(self, viewing):
        """Notifies the manager that received the request; if it no longer holds the viewing, the current holder."""
        manager, incarnation = viewing.asked_manager
        if manager.up and incarnation == manager.incarnation and viewing.id in manager.viewings:
            if not manager.deferred_by_stall(self.player_leaves, viewing):
                manager.runner.client_left(viewing.id)
        elif (
            viewing.manager.up
            and viewing.incarnation == viewing.manager.incarnation
            and not viewing.manager.deferred_by_stall(self.player_leaves, viewing)
        ):
            viewing.manager.runner.client_left(viewing.id)

    def retry_later(self, player):
        player.tries_left -= 1
        demand = self.day.demand
        if player.tries_left > 0 and player.dice.draw() < demand.returns:
            self.world.call_later(round(player.dice.between(demand.back_s) * SECOND), self.send_request, player)

    # Network paths

    def send(self, sender, receiver, delay, callback, *args):
        """Calls callback(*args) when a message sent now is delivered: after `delay` on a path without faults."""
        state = self.ways.of((sender, receiver))
        if state is CLEAR and (sender, receiver) not in self.last_arrival:
            self.world.call_later(delay, callback, *args)
        elif not state.passes():
            self.held_messages.setdefault((sender, receiver), []).append((delay, callback, args))
        else:  # delivered in order, as on one connection
            delayed = delay + round(10 * (state.delay_ms + state.jitter_ms * self.world.dice("ways").draw()))
            at = self.last_arrival[sender, receiver] = max(
                self.world.now + delayed, self.last_arrival.get((sender, receiver), 0)
            )
            self.world.call_at(at, callback, *args)
            if state is CLEAR and at == self.world.now + delay:  # all delayed messages have been delivered
                del self.last_arrival[sender, receiver]

    def send_datagram(self, sender, receiver, delay, callback, *args):
        """The same for a datagram, which is not retransmitted: it is lost on a cut path."""
        state, dice = self.ways.of((sender, receiver)), self.world.dice("datagrams")
        if state is CLEAR:
            self.world.call_later(delay, callback, *args)
        elif state.passes() and not (state.lose and dice.draw() < state.lose):
            self.world.call_later(delay + round(10 * (state.delay_ms + state.jitter_ms * dice.draw())), callback, *args)

    def member_message_arrives(self, address, message, sender):
        manager = self.manager_named(address)
        if manager.up and not manager.deferred_by_stall(self.member_message_arrives, address, message, sender):
            manager.takeover.message_arrives(message, sender)

    def apply_fault(self, fault, ways, span, pieces):
        """Applies a fault to paths for `span`. pieces: [(time after its end, paths restored then)]."""
        self.fault_count += 1
        self.ways.put(self.fault_count, fault, ways)
        for after, healed in pieces:
            self.world.call_later(span + round(after * SECOND), self.heal, self.fault_count, healed)

    def heal(self, number, ways):
        for way in self.ways.heal(number, ways):
            if self.ways.of(way).passes():
                for delay, callback, args in self.held_messages.pop(way, ()):
                    self.send(*way, delay, callback, *args)

    # Between managers and boxes

    def set_up(self, manager, viewing, nth, server, rung):
        viewing.server, viewing.nth, viewing.key = server, nth, (manager.number, manager.incarnation, viewing.id, nth)
        self.current_second().tune_ins["further" if nth else "first"] += 1
        self.send(
            manager.name,
            f"b{server}",
            NETWORK_DELAY,
            self.set_up_at_box,
            manager,
            manager.incarnation,
            viewing,
            viewing.key,
            server,
            rung,
            self.world.now,
            self.fleet.boxes[server].boot,
        )

    def probe(self, manager, incarnation, server):
        """Probes a box, independently of set-ups; a box that hangs or can't be reached makes the probe time out."""
        model_box, ways = self.fleet.boxes[server], ((manager.name, f"b{server}"), (f"b{server}", manager.name))
        cut = not all(self.ways.of(way).passes() for way in ways)
        if model_box.dead or model_box.box.trouble.hang or cut:
            limit = round(self.day.site.allowed.dial_timeout_ms * 10)
            self.world.call_later(
                limit,
                manager.probe_ended,
                incarnation,
                server,
                Outcome.UNREACHED if model_box.dead else Outcome.TIMEOUT,
                limit,
                None,
            )
        else:
            self.world.call_later(
                2 * NETWORK_DELAY,
                manager.probe_ended,
                incarnation,
                server,
                Outcome.OK,
                2 * NETWORK_DELAY,
                model_box.figures(self.world.now),
            )

    def set_up_at_box(self, manager, incarnation, viewing, key, server, rung, sent_at, boot):
        """Handles a set-up at its box. boot: the start of the box it was sent to; a restart breaks the connection."""
        model_box, now = self.fleet.boxes[server], self.world.now

        def answer(after, outcome, figures=None):
            self.send(
                f"b{server}",
                manager.name,
                after + NETWORK_DELAY,
                self.set_up_outcome,
                manager,
                incarnation,
                viewing.id,
                key[3],
                outcome,
                sent_at,
                figures,
            )

        if model_box.dead:
            answer(0, Outcome.UNREACHED)
            return
        if model_box.boot != boot:
            answer(0, Outcome.RESET)
            return
        box, trouble = model_box.box, model_box.box.trouble
        if trouble.hang:
            return
        if trouble.reset_before and box.chance() < trouble.reset_before:
            answer(0, Outcome.RESET)
            return
        verdict, session = box.set_up(
            key, viewing.player.request.title, viewing.player.request.sends, manager.name, rung, now
        )
        if verdict.status == 0:
            self.fleet.fallen += 1
            self.crash_box(model_box)
            answer(0, Outcome.RESET)
            return
        if session is None:
            outcome = (
                {503: Outcome.FULL, 404: Outcome.LACKING}.get(verdict.status, Outcome.MOOT)
                if not verdict.ran
                else Outcome.ERROR
            )
            self.current_second().tune_ins[outcome.value] += 1
            answer(verdict.after, outcome)
            return
        session.life = incarnation
        self.viewing_by_key[key] = viewing
        model_box.update_load()
        answer_lost = next(
            (k for k in ("answer_lost", "half") if getattr(trouble, k) and box.chance() < getattr(trouble, k)), None
        )
        if answer_lost:
            return
        if trouble.reset_after and box.chance() < trouble.reset_after:
            answer(verdict.after, Outcome.RESET)
            self.world.call_later(verdict.after, self.send_end_order, server, key, manager, 0)
            return
        self.world.call_later(
            verdict.after, self.set_up_complete, model_box, model_box.boot, manager, incarnation, viewing, key, sent_at
        )

    def set_up_complete(self, model_box, boot, manager, incarnation, viewing, key, sent_at):
        now = self.world.now
        if model_box.dead or model_box.boot != boot or model_box.box.trouble.hang:
            if model_box.dead or model_box.boot != boot:
                self.send(
                    f"b{model_box.place.id}",
                    manager.name,
                    NETWORK_DELAY,
                    self.set_up_outcome,
                    manager,
                    incarnation,
                    viewing.id,
                    key[3],
                    Outcome.RESET,
                    sent_at,
                    None,
                )
            return
        if key in model_box.box.sessions:
            self.send(
                f"b{model_box.place.id}",
                manager.name,
                NETWORK_DELAY,
                self.set_up_outcome,
                manager,
                incarnation,
                viewing.id,
                key[3],
                None,
                sent_at,
                model_box.figures(now),
            )

    def set_up_outcome(self, manager, incarnation, id, nth, outcome, sent_at, figures):
        """Delivers the outcome of a set-up to its manager."""
        manager.set_up_ended(incarnation, id, nth, outcome, self.world.now - sent_at, figures)

    def send_end_order(self, server, key, manager, epoch):
        """Sends the order to end a session, from a manager that holds it under this epoch."""
        self.send(
            manager.name,
            f"b{server}",
            NETWORK_DELAY,
            self.end_order_arrives,
            server,
            key,
            manager,
            manager.incarnation,
            epoch,
        )

    def end_order_arrives(self, server, key, manager, incarnation, epoch):
        model_box = self.fleet.boxes[server]
        if model_box.dead:
            return
        if model_box.box.trouble.hang:
            self.world.call_later(SECOND, self.end_order_arrives, server, key, manager, incarnation, epoch)
            return
        if not model_box.box.fence.accepts(key, epoch, manager.name):  # another manager holds the session
            if key in self.viewing_by_key and self.viewing_by_key[key].ended:
                self.begin_media_timeout(model_box, key)
            self.send(f"b{server}", manager.name, NETWORK_DELAY, manager.session_moved, incarnation, key[2])
            return
        self.end_session(model_box, key, manager, incarnation)

    def end_session(self, model_box, key, manager=None, incarnation=0):
        """Ends a session at its box and notifies the manager that ordered it, if any."""
        viewing = self.viewing_by_key.pop(key, None)
        if model_box.box.end(key, self.world.now) is not None:
            model_box.update_load()
        if viewing is not None and viewing.playing:
            viewing.ended = True
        if manager is not None and manager.takeover is not None:
            self.send(f"b{model_box.place.id}", manager.name, NETWORK_DELAY, manager.session_over, incarnation, key)

    def notify_moved(self, model_box, key, name, incarnation):
        """Notifies the previous holder of a session that another manager holds it."""
        previous = self.manager_named(name)
        self.send(f"b{model_box.place.id}", name, NETWORK_DELAY, previous.session_moved, incarnation, key[2])

    def viewing_without_player(self, viewing, key):
        """A replacement viewing for a session that was taken over before its player received an answer."""
        other = self.viewing_by_key[key] = Viewing(viewing.id, viewing.player, viewing.manager, viewing.requested_at)
        other.server, other.nth, other.key, other.ended = viewing.server, viewing.nth, key, True
        return other

    def begin_media_timeout(self, model_box, key):
        """Starts the media timeout of a session that was taken over and that nobody watches."""
        self.world.call_later(
            round(self.day.site.fleet.media_ms * 10), self.media_timeout, model_box, model_box.boot, key
        )

    def media_timeout(self, model_box, boot, key):
        viewing, session = self.viewing_by_key.get(key), model_box.box.sessions.get(key)
        if (
            model_box.dead
            or model_box.boot != boot
            or session is None
            or viewing is None
            or viewing.playing
            and not viewing.ended
        ):
            return
        owner = self.manager_named(session.manager)
        self.send(
            f"b{model_box.place.id}",
            owner.name,
            NETWORK_DELAY,
            owner.session_lost,
            session.life,
            key[2],
            key[3],
            Outcome.OK,
        )
        self.end_session(model_box, key)

    def begin_lease(self, server, key, name, incarnation):
        model_box = self.fleet.boxes[server]
        lease = round(self.day.site.fleet.lease_ms * 10)
        self.world.call_later(lease, self.lease_expires, model_box, model_box.boot, key, name, incarnation)

    def lease_expires(self, model_box, boot, key, name, incarnation):
        """Ends a session whose manager crashed and that no other manager claimed within the lease."""
        session, viewing = model_box.box.sessions.get(key), self.viewing_by_key.get(key)
        if (
            model_box.dead
            or model_box.boot != boot
            or session is None
            or (session.manager, session.life) != (name, incarnation)
        ):
            return
        if model_box.box.trouble.hang:
            self.world.call_later(SECOND, self.lease_expires, model_box, boot, key, name, incarnation)
            return
        if viewing is not None and viewing.playing and not viewing.ended:
            self.current_second().outcomes["lost with its manager"] += 1
            self.world.call_later(CLIENT_DELAY, self.retry_later, viewing.player)
        self.end_session(model_box, key)

    def set_rung(self, server, key, rung, manager, epoch):
        self.send(manager.name, f"b{server}", NETWORK_DELAY, self.rung_order_arrives, server, key, rung, manager, epoch)

    def rung_order_arrives(self, server, key, rung, manager, epoch):
        model_box = self.fleet.boxes[server]
        if (
            not model_box.dead
            and model_box.box.fence.accepts(key, epoch, manager.name)
            and model_box.box.set_rung(key, rung) is not None
        ):
            model_box.update_load()

    def send_peer_load(self, manager, server, kb):
        for other in self.managers:
            if other is not manager:
                self.send(
                    manager.name,
                    other.name,
                    NETWORK_DELAY,
                    self.peer_load_arrives,
                    other,
                    other.incarnation,
                    manager.number,
                    server,
                    kb,
                )

    def peer_load_arrives(self, manager, incarnation, peer, server, kb):
        if manager.deferred_by_stall(self.peer_load_arrives, manager, incarnation, peer, server, kb):
            return
        if manager.up and manager.incarnation == incarnation:
            manager.runner.peer_load_changed(peer, server, kb)

    def crash_box(self, model_box):
        """Crashes a box: its viewings break, and their managers and players are notified."""
        sessions = dict(model_box.box.sessions)
        model_box.dead = True
        model_box.box.sessions = {}
        model_box.update_load()
        self.fleet.update_list(model_box)
        for key, session in sessions.items():
            viewing = self.viewing_by_key.pop(key, None)
            if viewing is None:
                continue
            owner = self.manager_named(session.manager)
            self.send(
                f"b{model_box.place.id}", owner.name, NETWORK_DELAY, owner.session_lost, session.life, key[2], key[3]
            )
            if viewing.playing and not viewing.ended:
                viewing.ended = True
                self.retry_later(viewing.player)

    def manager_crashed(self, viewing):
        """The viewing's manager crashed: unless claimed, the session ends with its lease and the player retries."""
        if not self.day.members and viewing.playing and not viewing.ended:
            viewing.ended = True
            self.retry_later(viewing.player)
        if viewing.key is not None:
            self.begin_lease(viewing.server, viewing.key, viewing.manager.name, viewing.incarnation)

    # Load reports of boxes, and the worth of each second

    def one_session_per_manager(self, model_box):
        key_by_manager = {}
        for key, session in model_box.box.sessions.items():
            owner = session.manager, session.life
            if (
                owner not in key_by_manager
                and (viewing := self.viewing_by_key.get(key)) is not None
                and viewing.playing
            ):
                key_by_manager[owner] = key
        return key_by_manager

    def send_notes(self, model_box, boot, key, notes):
        if not model_box.dead and model_box.boot == boot and not model_box.box.trouble.hang:
            session = model_box.box.sessions.get(key)
            if session is not None:
                owner = self.manager_named(session.manager)
                self.send(
                    f"b{model_box.place.id}", owner.name, 0, self.notes_arrive, owner, session.life, key[2], notes
                )

    def notes_arrive(self, owner, incarnation, id, notes):
        for kind, amount in notes:
            owner.playback_note(incarnation, id, kind, amount)

    def report_load(self, model_box):
        if model_box.dead:
            return
        figures, fleet = model_box.figures(self.world.now), self.day.site.fleet
        delay = round(fleet.note_lag_ms * 10) + model_box.box.trouble.report_late
        notes = [(NoteKind.LINK, figures[fleet.link_figure])]
        if fleet.uplink_figure:
            notes.append((NoteKind.UPLINK, figures[fleet.uplink_figure]))
        for key in self.one_session_per_manager(model_box).values():
            self.world.call_later(delay, self.send_notes, model_box, model_box.boot, key, notes)

    def score(self):
        """Each second: adds up worth earned and asked, reports delivered shares, lets dissatisfied players leave."""
        now, row, site = self.world.now, self.current_second(), self.day.site
        worth, stall, dice = site.ladder.worth, site.ladder.stall, self.world.dice("leave")
        delay = round(site.fleet.note_lag_ms * 10)
        for model_box in self.fleet.boxes.values():
            if model_box.dead or not model_box.box.sessions:
                continue
            share = model_box.delivered(now)
            short = max(0.0, 0.98 - share)
            for key, session in list(model_box.box.sessions.items()):
                viewing = self.viewing_by_key.get(key)
                if viewing is None or not viewing.playing or viewing.ended:
                    continue
                package = self.packages[viewing.player.package]
                value = package.value * max(0.0, worth[session.rung] - stall * short)
                if not viewing.started_late:
                    row.earned[viewing.player.package] += value
                row.rungs[viewing.player.package, session.rung] += 1
                row.below_floor += session.rung < package.floor
                if share < LEAVE_BELOW_SHARE and dice.draw() < LEAVE_CHANCE:
                    viewing.ended = True
                    self.player_leaves(viewing)
            if short > 0 or model_box in self.short_boxes:
                for key in self.one_session_per_manager(model_box).values():
                    self.world.call_later(
                        delay, self.send_notes, model_box, model_box.boot, key, [(NoteKind.DELIVERED, share)]
                    )
            if short > 0:
                self.short_boxes.add(model_box)
            else:
                self.short_boxes.discard(model_box)
        for player in self.watchers:
            package = self.packages[player.package]
            top = min(package.top, len(worth) - 1, len(worth) - 1 if player.request.top is None else player.request.top)
            row.asked[player.package] += package.value * worth[max(top, package.floor)]
        for peak in self.peaks:
            self.record_peak_room(peak, row, now)
        if self.bound_every and (now - self.began) // SECOND % self.bound_every == 0:
            row.bound = bound_of_play(self)

    def record_peak_room(self, peak, row, now):
        """Records what the peak's viewings need now, and what other titles leave free of its holders' links."""
        second, site = self.day_s(), self.day.site
        if not peak.start_s - peak.lead_s - 5 <= second < peak.end_s + 5:
            return
        parts, titles = len(peak.titles) + len(peak.packages), set(peak.titles)
        row.wanted[peak.name] = sum(
            self.rates(
                site.titles[t].view if t in site.titles else t,
                peak.rung,
                peak.viewings_at(max(second, peak.start_s + 1)) / parts,
                max(1, len(self.holders(t)) if t in titles else len(self.fleet.boxes)),
            )
            for t in (*peak.titles, *peak.packages)
        )
        boxes = set(self.fleet.boxes) if peak.packages else {b for t in peak.titles for b in self.holders(t)}
        free = 0.0
        for id in boxes:
            model_box = self.fleet.boxes[id]
            if not model_box.dead:
                others = sum(
                    self.session_kb(session)
                    for session in model_box.box.sessions.values()
                    if session.title not in titles and session.package not in peak.packages
                )
                free += max(0.0, model_box.box.link_capacity_kb(now) - others)
        row.free[peak.name] = free

    def session_kb(self, session):
        return self.day.site.ladder.kb[session.rung] * self.day.site.packages[session.package].scale

    # Troubles, by the names of the day's file

    def apply_trouble(self, number, row):
        boxes = self.trouble_targets(
            number, row, range(1, len(self.fleet.boxes) + 1), row.boxes and [b + 1 for b in row.boxes]
        )
        managers = self.trouble_targets(number, row, range(len(self.managers)), row.managers)
        span, fleet = round(row.for_s * SECOND), self.fleet
        if row.what == "crash":
            for b in boxes:
                if not fleet.boxes[b].dead:
                    self.crash_box(fleet.boxes[b])
                self.outages["b", b] += 1
                self.world.call_later(span, self.restart_box, fleet.boxes[b])
        elif row.what == "manager_crash":
            for m in managers:
                if self.managers[m].up:
                    self.managers[m].crash()
                self.outages["m", m] += 1
                self.world.call_later(span, self.restart_manager, self.managers[m])
        elif row.what == "manager_restart":
            for m in managers:
                if not self.outages["m", m]:
                    self.outages["m", m] += 1
                    self.managers[m].begin_planned_stop()
                    self.finish_planned_stop(
                        self.managers[m], self.managers[m].incarnation, self.world.now + PLANNED_STOP_LIMIT, span
                    )
        elif row.what == "manager_stall":
            for m in managers:
                self.managers[m].stall(span)
        elif row.what == "list_late":
            fleet.list_delay = round(row.value * 10)
            self.world.call_later(span, setattr, fleet, "list_delay", round(self.day.list_late_ms * 10))
        elif row.what == "list_frozen":
            fleet.list_frozen = True
            self.world.call_later(span, setattr, fleet, "list_frozen", False)
        elif row.what == "uplink":
            rack, kb = row.rack or 0, self.day.site.fleet.uplink_kb
            fleet.uplinks[rack] = kb * row.value
            self.world.call_later(span, fleet.uplinks.__setitem__, rack, kb)
        elif row.what == "way":
            ways = ways_of(self.day, number)
            self.apply_fault(
                Fault(row.kind, row.value, row.jitter),
                ways,
                span,
                in_pieces(ways, row.heal_s, self.world.dice(f"heal-{number}")),
            )
        elif row.what in ("box_stall", "catalogue_stall"):
            others = [m.name for m in self.managers]
            for name in [SERVICE] if row.what == "catalogue_stall" else [f"b{b}" for b in boxes]:
                ways = [way for o in others for way in ((o, name), (name, o))]
                self.apply_fault(Fault("cut"), ways, span, [(0.0, ways)])
        elif row.what == "catalogue_crash":  # here it sends titles only once, and managers keep them
            if self.catalogue_service is not None:
                self.outages[SERVICE] += 1
                if self.catalogue_service.up:
                    self.catalogue_service.crash()
                self.world.call_later(span, self.restart_service)
        elif row.what == "crowd":
            pass  # contained in the arrivals
        else:
            for b in boxes:
                self.set_trouble(fleet.boxes[b], row.what, row.value)
                off = 1.0 if row.what in ("slow", "link", "lie") else 0.0
                self.world.call_later(span, self.set_trouble, fleet.boxes[b], row.what, off)

    def set_trouble(self, model_box, name, value):
        model_box.box.trouble.set(name, value)
        self.fleet.update_list(model_box)

    def trouble_targets(self, number, trouble, items, chosen):
        if chosen is not None:
            return chosen
        count = max(1, round(len(items) * (trouble.share if trouble.share is not None else 1)))
        return self.world.dice(f"trouble-{number}").some(items, count)

    def restart_box(self, model_box):
        self.outages["b", model_box.place.id] -= 1
        if self.outages["b", model_box.place.id]:
            return  # outages overlap: restart when the last one is over
        model_box.start(self.world.now)
        self.fleet.update_list(model_box)

    def restart_service(self):
        self.outages[SERVICE] -= 1
        if not self.outages[SERVICE]:
            self.catalogue_service.start()

    def restart_manager(self, manager):
        self.outages["m", manager.number] -= 1
        if self.outages["m", manager.number]:
            return
        manager.start([row for row in manager.known_servers.values() if row.state is not interface.ServerStatus.GONE])
        self.send(
            "list", manager.name, round(self.fleet.list_delay), self.full_list_arrives, manager, manager.incarnation
        )

    def finish_planned_stop(self, manager, incarnation, until, span):
        """Completes a planned stop once no viewing is left, or at `until`; the manager restarts `span` later."""
        if manager.incarnation == incarnation:
            if manager.viewings and self.day.members and self.world.now < until:
                self.world.call_later(SECOND // 10, self.finish_planned_stop, manager, incarnation, until, span)
                return
            manager.crash()
        self.world.call_later(span, self.restart_manager, manager)

    def full_list_arrives(self, manager, incarnation):
        if manager.deferred_by_stall(self.full_list_arrives, manager, incarnation):
            return
        if manager.up and manager.incarnation == incarnation:
            manager.runner.server_list_changed(ListKind.FULL, self.fleet.full_list())
            manager.known_servers |= {row.server: row for row in self.fleet.full_list()}
            manager.list_changed(self.fleet.full_list())

    # The day

    def run(self):
        """Simulates the whole day; returns self."""
        world, day = self.world, self.day
        settle = round(day.settle_s * SECOND)
        self.watchers, self.short_boxes = {}, set()
        self.began = world.now + settle
        every = round(day.site.fleet.note_every_ms * 10)
        for n, model_box in enumerate(self.fleet.boxes.values() if every else ()):
            world.call_at(
                world.now + 1 + n * every // max(1, len(self.fleet.boxes)), self.begin_load_reports, model_box, every
            )
        world.call_at(self.began, world.call_every, SECOND, self.score)
        for manager in self.managers if self.peaks else ():
            world.call_at(self.began - settle, self.update_room, manager)
        for n, row in enumerate(day.troubles):
            world.call_at(self.began + round(row.at_s * SECOND), self.apply_trouble, n, row)
        for n, (at, request) in enumerate(arrivals(day, self.seed)):
            time = self.began + round(at * SECOND)
            world.call_at(time, self.viewer_arrives, n, request)
        world.run(self.began + round(day.length_s * SECOND) + 3 * SECOND)
        self.faults += [f"manager {m.number}: {m.runner.faults} faults" for m in self.managers if m.runner.faults]
        return self

    def update_room(self, manager):
        s = self.day_s()
        manager.reserve_room(s)
        if manager.up and manager.room_keeper is not None:
            row, keeper = self.current_second(), manager.room_keeper.keeper
            for name, kb in keeper.reserved_kb.items():
                row.kept[name] = max(row.kept.get(name, 0.0), kb)
        self.world.call_later(SECOND, self.update_room, manager)

    def begin_load_reports(self, model_box, every):
        self.report_load(model_box)
        self.world.call_every(every, self.report_load, model_box)

    def viewer_arrives(self, number, request):
        """A viewer arrives, who wants to watch for the requested length from now, served or not."""
        row = self.day.site.titles[request.title]
        player = Player(
            number, request, self.package_numbers[row.view], self.day.demand.tries, self.world.dice(f"player-{number}")
        )
        self.watchers[player] = True
        self.world.call_later(round(request.length * SECOND), self.watchers.pop, player, None)
        self.send_request(player)

    # Results

    def service(self, since=0, until=1 << 40):
        """Worth earned divided by worth asked, over all packages, for seconds in [since, until)."""
        asked = earned = 0.0
        for second, row in self.seconds.items():
            if since <= second < until:
                asked += sum(row.asked.values())
                earned += sum(row.earned.values())
        return earned / asked if asked else 0.0

    def totals(self):
        outcomes, tune_ins = Counter(), Counter()
        for row in self.seconds.values():
            outcomes += row.outcomes
            tune_ins += row.tune_ins
        return {
            "service": round(self.service(0, int(self.day.length_s)), 6),
            "requests": sum(r.requests for r in self.seconds.values()),
            "fates": dict(sorted(outcomes.items())),
            "tune_ins": dict(sorted(tune_ins.items())),
            "fell": self.fleet.fallen,
            "faults": len(self.faults),
            "under_floor": sum(r.below_floor for r in self.seconds.values()),
        }
