"""Duties under leases in a day of the model: who holds which piece, and every act on what it is done to.

The machines are the program's own: granter, holder, shares, duties and fence of leases/, used as front/duties.py and
catalogued/leases.py use them. Around them stand the day's faults: the service is killed or stands
still, ways to it are cut, managers die or are stopped between check and act, clocks run wrong. What a duty does is left
out: an act is its token at the resource, which takes it or refuses it, and that is written down.
"""

from ..leases import duties
from ..leases.fence import Fence
from ..leases.granter import Granted, Granter
from ..leases.holder import Holder
from ..leases.shares import Candidate, eligible, share

NET = 5
TICK = 2_000  # a manager looks at its leases so often, as front/duties.py does
SYNC = 30  # what is new is durable before it is told
WORKS = 300  # between the check of a lease and its act, at most
DIAL = 10_000  # a way to the service that is gone is tried again after this
SERVICE = "catalogue"


class Service:
    """The granter, on its own clock, and the fence of what is done at the service."""

    def __init__(self, play, tasks):
        self.play, self.world, self.tasks, self.up, self.disk = play, play.world, tasks, True, None
        self.granter, self.fence = Granter(tasks, self.world.now), Fence()

    def crash(self):
        """Its disk stays; every stream breaks."""
        self.up, self.disk = False, (self.granter.dump(), self.fence.dump())
        for manager in self.play.managers:
            if manager.duties is not None:
                manager.duties.broken()

    def start(self):
        self.up, self.granter = True, Granter(self.tasks, self.world.now)
        self.granter.load(self.disk[0], self.world.now)
        self.fence = Fence(self.disk[1])

    def hear(self, holder, stream, asked, given):
        """What one manager asks for and gives back. stream: that it said it on; an older one is gone."""
        if not self.up or stream != holder.stream:
            return
        now, told, new = self.world.now, [], False
        self.granter.observe_token(holder.holder.highest_token)
        for piece, token in given:
            new |= self.granter.release(piece, holder.owner, token, now)
        for piece, token, number in asked:
            answer = self.granter.request(piece, holder.owner, token, now)
            new |= isinstance(answer, Granted) and answer.new
            if isinstance(answer, Granted) and answer.new:
                self.play.records.append((now, "granted", holder.owner, piece, answer.token))
            told.append((answer, number))
        if told:
            self.play.send(SERVICE, holder.manager.name, NET + SYNC * new, holder.told, stream, told)

    def acted(self, holder, stream, piece, token):
        if self.up and stream == holder.stream:
            self.granter.observe_token(token)
            holder.judged(SERVICE, self.fence, piece, token)


class Duties:
    """One life of a manager, as a holder."""

    def __init__(self, play, manager, tasks):
        self.play, self.world, self.manager, self.life, self.tasks = play, play.world, manager, manager.life, tasks
        self.owner = f"{manager.name}.{self.life}"
        clock = play.day.clocks.get(manager.name)
        self.rate, self.born = clock.rate if clock is not None else 1.0, self.world.now
        self.holder, self.turns = Holder(self.owner, play.seed * 1000 + manager.me, self.now()), duties.Schedule()
        self.stream, self.linked, self.dial_at, self.mine, self.mine_of = 0, False, 0, {}, None
        self.world.later(1 + manager.me * TICK // max(1, play.day.site.managers), self.tick)

    def now(self):
        """Its steady clock, which may run at another rate."""
        return self.born + round((self.world.now - self.born) * self.rate)

    def here(self):
        return self.manager.up and self.manager.life == self.life

    # The way to the service

    def reaches(self):
        ways, name = self.play.ways, self.manager.name
        return self.play.grants.up and ways.of((name, SERVICE)).passes() and ways.of((SERVICE, name)).passes()

    def link(self):
        if not self.linked and self.world.now >= self.dial_at:
            self.dial_at = self.world.now + DIAL
            if self.reaches():
                self.linked = True
                self.stream += 1
                self.holder.set_connected(True, len(self.manager.taker.swim.alive()), self.now())

    def broken(self):
        """Its stream ended, or is taken for ended."""
        if self.here():
            self.linked, self.dial_at = False, self.world.now + DIAL // 5
            self.holder.set_connected(False, 1, self.now())

    # Holding

    def tick(self):
        if not self.here() or self.manager.stands(self.tick):
            return
        self.world.later(TICK, self.tick)
        now = self.now()
        if self.holder.granter_silent(now):
            self.broken()
        self.link()
        mine = self.shares()
        self.holder.set_wanted(mine, now)
        self.turns.forget(mine)
        given, asked = self.holder.releases(now, self.turns.under_way), self.holder.due(now)
        if self.linked and (given or asked):
            self.play.send(self.manager.name, SERVICE, NET, self.play.grants.hear, self, self.stream, asked, given)
        for piece, task in mine.items():
            lease = self.holder.may_begin(piece, now) if self.turns.due(piece, task, now) else None
            if lease is not None:
                self.turns.begin(piece)
                work = round(WORKS * self.world.dice("duties").draw())
                self.world.later(work, self.act, piece, task, lease.token)

    def shares(self):
        """{piece: Task} that are ours, reckoned where what we know of members or boxes has changed."""
        view = self.manager.taker.view, self.manager.leaving
        if view != self.mine_of:
            pieces = duties.pieces_of(self.tasks, self.manager.boxes())
            alive = () if self.manager.leaving else self.manager.taker.swim.alive()
            shared = share(list(pieces), eligible([Candidate(name) for name in alive]))
            self.mine = {piece: pieces[piece] for piece, name in shared.items() if name == self.manager.name}
            self.mine_of = view
        return self.mine

    def told(self, stream, told):
        if self.here() and not self.manager.stands(self.told, stream, told) and stream == self.stream:
            now = self.now()
            for answer, number in told:
                if isinstance(answer, Granted):
                    if self.holder.granted(answer.piece, number, answer.token, now):
                        self.see_others(answer.piece)
                else:
                    self.holder.busy(answer.piece, number, answer.owner, answer.token, answer.left, now)

    def see_others(self, piece):
        """Written down where another believes, by its own clock, that it holds this one too."""
        for other in self.play.managers:
            part = other.duties
            if part is not self and part is not None and part.here() and part.holder.holds(piece, part.now()):
                self.play.records.append((self.world.now, "both", self.owner, piece, part.owner))

    # Acting

    def act(self, piece, task, token):
        """The lease was checked a moment ago; a manager that was stopped meanwhile acts when it goes on."""
        if not self.here() or self.manager.stands(self.act, piece, task, token):
            return
        self.turns.done(piece, self.now())
        if not task.pieces:
            self.play.send(self.manager.name, SERVICE, NET, self.play.grants.acted, self, self.stream, piece, token)
            return
        holder = self.play.fleet.boxes[int(piece.partition("/")[2])]
        self.play.send(self.manager.name, f"b{holder.place.id}", NET, self.at_box, holder, piece, token)

    def at_box(self, holder, piece, token):
        if not holder.dead and not holder.box.trouble.hang:
            self.judged(f"b{holder.place.id}", holder.leases, piece, token)

    def judged(self, place, fence, piece, token):
        """At what is acted on: it takes the act, or tells the token that it knows."""
        good = fence.accepts(piece, token, self.owner)
        self.play.records.append((self.world.now, "act" if good else "refused", self.owner, piece, token, place))
        if not good:
            self.play.send(place, self.manager.name, NET, self.refused, piece, fence.token(piece))

    def refused(self, piece, known):
        if self.here() and not self.manager.stands(self.refused, piece, known):
            self.holder.outdated(piece, known)
