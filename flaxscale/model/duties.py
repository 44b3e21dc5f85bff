"""Duties under leases in a simulated day: which manager holds which piece, and every act on a resource.

The state machines are the program's own: granter, holder, shares, duties and fence of leases/, used as in
front/duties.py and catalogued/leases.py. The day's faults act on them: the service crashes or stalls, paths to it are
cut, managers crash or stall between the check of a lease and the act, clocks run at wrong rates. The work of a duty is
not modelled: an act is a token sent to the resource, which accepts or refuses it, and the result is recorded.
"""

from ..leases import duties
from ..leases.fence import Fence
from ..leases.granter import Granted, Granter
from ..leases.holder import Holder
from ..leases.shares import Candidate, eligible, share

# Times are tenths of a millisecond.
NETWORK_DELAY = 5  # one way, as in play.py
TICK_INTERVAL = 2_000  # between two checks of a manager's leases, as in front/duties.py
SYNC_TIME = 30  # a new grant is written to disk before it is sent
MAX_WORK_TIME = 300  # between the check of a lease and its act
RECONNECT_DELAY = 10_000  # after a failed connection attempt to the service
SERVICE = "catalogue"


class CatalogueService:
    """The granter, on its own clock, and the fence for acts at the service."""

    def __init__(self, play, tasks):
        self.play, self.world, self.tasks, self.up, self.disk = play, play.world, tasks, True, None
        self.granter, self.fence = Granter(tasks, self.world.now), Fence()

    def crash(self):
        """Crashes the service: its disk is kept, and every stream breaks."""
        self.up, self.disk = False, (self.granter.dump(), self.fence.dump())
        for manager in self.play.managers:
            if manager.duties is not None:
                manager.duties.connection_lost()

    def start(self):
        self.up, self.granter = True, Granter(self.tasks, self.world.now)
        self.granter.load(self.disk[0], self.world.now)
        self.fence = Fence(self.disk[1])

    def request_arrives(self, duties_of_manager, stream, asked, given):
        """Handles requests and releases of one manager. stream: number of the connection; an older one has ended."""
        if not self.up or stream != duties_of_manager.stream:
            return
        now, answers, new = self.world.now, [], False
        self.granter.observe_token(duties_of_manager.holder.highest_token)
        for piece, token in given:
            new |= self.granter.release(piece, duties_of_manager.owner, token, now)
        for piece, token, number in asked:
            answer = self.granter.request(piece, duties_of_manager.owner, token, now)
            new |= isinstance(answer, Granted) and answer.new
            if isinstance(answer, Granted) and answer.new:
                self.play.records.append((now, "granted", duties_of_manager.owner, piece, answer.token))
            answers.append((answer, number))
        if answers:
            self.play.send(
                SERVICE,
                duties_of_manager.manager.name,
                NETWORK_DELAY + SYNC_TIME * new,
                duties_of_manager.answers_arrive,
                stream,
                answers,
            )

    def act_arrives(self, duties_of_manager, stream, piece, token):
        if self.up and stream == duties_of_manager.stream:
            self.granter.observe_token(token)
            duties_of_manager.act_at_resource(SERVICE, self.fence, piece, token)


class Duties:
    """One incarnation of a manager as a lease holder."""

    def __init__(self, play, manager, tasks):
        self.play, self.world, self.manager, self.incarnation, self.tasks = (
            play,
            play.world,
            manager,
            manager.incarnation,
            tasks,
        )
        self.owner = f"{manager.name}.{self.incarnation}"
        clock = play.day.clocks.get(manager.name)
        self.clock_rate, self.began = clock.rate if clock is not None else 1.0, self.world.now
        self.holder, self.turns = Holder(self.owner, play.seed * 1000 + manager.number, self.now()), duties.Schedule()
        self.stream, self.connected, self.connect_at, self.pieces, self.pieces_for = 0, False, 0, {}, None
        self.world.call_later(1 + manager.number * TICK_INTERVAL // max(1, play.day.site.managers), self.tick)

    def now(self):
        """The manager's monotonic clock, which may run at a wrong rate."""
        return self.began + round((self.world.now - self.began) * self.clock_rate)

    def active(self):
        return self.manager.up and self.manager.incarnation == self.incarnation

    # Connection to the service

    def service_reachable(self):
        ways, name = self.play.ways, self.manager.name
        return (
            self.play.catalogue_service.up and ways.of((name, SERVICE)).passes() and ways.of((SERVICE, name)).passes()
        )

    def connect(self):
        if not self.connected and self.world.now >= self.connect_at:
            self.connect_at = self.world.now + RECONNECT_DELAY
            if self.service_reachable():
                self.connected = True
                self.stream += 1
                self.holder.set_connected(True, len(self.manager.takeover.swim.alive()), self.now())

    def connection_lost(self):
        """Handles a stream that ended or counts as ended."""
        if self.active():
            self.connected, self.connect_at = False, self.world.now + RECONNECT_DELAY // 5
            self.holder.set_connected(False, 1, self.now())

    # Leases

    def tick(self):
        if not self.active() or self.manager.deferred_by_stall(self.tick):
            return
        self.world.call_later(TICK_INTERVAL, self.tick)
        now = self.now()
        if self.holder.granter_silent(now):
            self.connection_lost()
        self.connect()
        mine = self.own_pieces()
        self.holder.set_wanted(mine, now)
        self.turns.forget(mine)
        given, asked = self.holder.releases(now, self.turns.under_way), self.holder.due(now)
        if self.connected and (given or asked):
            self.play.send(
                self.manager.name,
                SERVICE,
                NETWORK_DELAY,
                self.play.catalogue_service.request_arrives,
                self,
                self.stream,
                asked,
                given,
            )
        for piece, task in mine.items():
            lease = self.holder.may_begin(piece, now) if self.turns.due(piece, task, now) else None
            if lease is not None:
                self.turns.begin(piece)
                work = round(MAX_WORK_TIME * self.world.dice("duties").draw())
                self.world.call_later(work, self.act, piece, task, lease.token)

    def own_pieces(self):
        """{piece: Task} of this manager, recomputed when its members or boxes have changed."""
        view = self.manager.takeover.change_count, self.manager.stopping
        if view != self.pieces_for:
            pieces = duties.pieces_of(self.tasks, self.manager.listed_boxes())
            alive = () if self.manager.stopping else self.manager.takeover.swim.alive()
            shared = share(list(pieces), eligible([Candidate(name) for name in alive]))
            self.pieces = {piece: pieces[piece] for piece, name in shared.items() if name == self.manager.name}
            self.pieces_for = view
        return self.pieces

    def answers_arrive(self, stream, answers):
        if (
            self.active()
            and not self.manager.deferred_by_stall(self.answers_arrive, stream, answers)
            and stream == self.stream
        ):
            now = self.now()
            for answer, number in answers:
                if isinstance(answer, Granted):
                    if self.holder.granted(answer.piece, number, answer.token, now):
                        self.record_double_holding(answer.piece)
                else:
                    self.holder.busy(answer.piece, number, answer.owner, answer.token, answer.left, now)

    def record_double_holding(self, piece):
        """Records it if another manager, by its own clock, holds the same piece."""
        for other in self.play.managers:
            other_duties = other.duties
            if (
                other_duties is not self
                and other_duties is not None
                and other_duties.active()
                and other_duties.holder.holds(piece, other_duties.now())
            ):
                self.play.records.append((self.world.now, "both", self.owner, piece, other_duties.owner))

    # Acts

    def act(self, piece, task, token):
        """Performs an act some time after the check of its lease; a stalled manager acts when the stall ends."""
        if not self.active() or self.manager.deferred_by_stall(self.act, piece, task, token):
            return
        self.turns.done(piece, self.now())
        if not task.pieces:
            self.play.send(
                self.manager.name,
                SERVICE,
                NETWORK_DELAY,
                self.play.catalogue_service.act_arrives,
                self,
                self.stream,
                piece,
                token,
            )
            return
        model_box = self.play.fleet.boxes[int(piece.partition("/")[2])]
        self.play.send(self.manager.name, f"b{model_box.place.id}", NETWORK_DELAY, self.at_box, model_box, piece, token)

    def at_box(self, model_box, piece, token):
        if not model_box.dead and not model_box.box.trouble.hang:
            self.act_at_resource(f"b{model_box.place.id}", model_box.lease_fence, piece, token)

    def act_at_resource(self, place, fence, piece, token):
        """Handles an act at its resource: it accepts the act, or answers with the newer token that it knows."""
        accepted = fence.accepts(piece, token, self.owner)
        self.play.records.append((self.world.now, "act" if accepted else "refused", self.owner, piece, token, place))
        if not accepted:
            self.play.send(place, self.manager.name, NETWORK_DELAY, self.act_refused, piece, fence.token(piece))

    def act_refused(self, piece, known):
        if self.active() and not self.manager.deferred_by_stall(self.act_refused, piece, known):
            self.holder.outdated(piece, known)
