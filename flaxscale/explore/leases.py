"""Leases, explored whole: managers, one resource, one granter that crashes and may be put back from an older copy.

The machines are the program's own: leases.granter, leases.holder and leases.fence. Around them stands the least: time
that passes in steps of TICK, in which each party's clock goes on by its own rate (within the bound, or beyond it), a
manager that may be stopped between its check and its act for as long as it likes, messages that come late or never.

Times in a state are what is left of them, so that states come again; tokens count by their order among those in it.
So courses are endless; whether from every state some course leads to a holder can be asked of all.

Invariants: within the bound two managers never believe at once that they hold the piece; tokens at the resource never
go back, whatever the clocks do; no token takes effect for two owners; no token is told to two owners, unless the store
was put back from an older copy.
"""

import itertools
from typing import NamedTuple

from ..leases.fence import Fence
from ..leases.granter import Granted, Granter, Row
from ..leases.holder import Holder, WantedPiece
from ..leases.terms import Task
from .search import added, without

TICK = 10
PIECE = "duty"
NAMES = ("a", "b", "c")
WITHIN, BEYOND = ((9, 10, 11), (10, 11, 9), (11, 9, 10)), ((5, 10, 11), (10, 5, 11))
BUGS = (
    "span counted from the answer",
    "no fence",
    "token lost at a restart",
    "granter forgets a grant",
    "drift left out",
    "a token without its owner",
)


class Side(NamedTuple):
    """A manager. What is left by its own clock; 0: nothing."""

    up: bool
    token: int
    left: int  # of its grant
    asking: int  # since when it asks, negative by its clock; 1: it does not
    act: int  # the token under which it is about to act: it has checked; 0: none
    life: int = 1  # each is an owner of its own to granter and resource


class World(NamedTuple):
    """wire: ("ask" | "granted" | "busy", manager, token, whether it is of its present asking), ("act", manager, token,
    life)."""

    sides: tuple
    granter: bool  # it is up
    count: int
    row: tuple  # (owner, token, left) of the granter's last grant; () none
    opens: int  # by the granter's clock, until something new may be granted
    fence: tuple  # (token, owner) at the resource, () none
    told: tuple  # (token, owner) that were ever told and are still known to somebody
    wire: tuple
    crashes: int
    put_back: int  # times that the store may still be put back
    older: tuple  # (count, row) of the copy, as (count, (owner, token)); () none was made
    doubtful: bool  # the store was put back: a token may have been told twice


def start(managers=2, crashes=1, put_back=0):
    return World((Side(True, 0, 0, 1, 0),) * managers, True, 0, (), 0, (), (), (), crashes, put_back, (), False)


def put_back_soon():
    """A manager was stopped between check and act under a token that the copy of the store knows nothing of."""
    return start(2, 0, 1)._replace(
        granter=False,
        sides=(Side(True, 2, 18, 1, 2), Side(True, 0, 0, 1, 0)),
        count=2,
        row=("a1", 2, 23),
        older=(1, ("b1", 1)),
    )


class Machine:
    def __init__(self, rates, span=20, drift=0.1, bug=None, most=2, watched=False):
        """rates: how far each manager's clock and, last, the granter's goes on in one TICK. most: messages that are on
        their way at a time; one beyond them waits with its sender. watched: what was told is part of a state, so that
        a token told to two owners shows before either acts."""
        self.rates, self.bug, self.most, self.watched = rates, bug, most, watched
        self.task = Task(PIECE, 1, span, 1, 0.0 if bug == "drift left out" else drift)

    # The program's machines, made from a state and put back

    def granter_of(self, world):
        rows = {PIECE: Row(*world.row)} if world.row else {}
        return Granter({PIECE: self.task}, 0, world.count, rows, (), world.opens)

    def with_granter(self, world, granter):
        row = granter.rows.get(PIECE)
        return world._replace(count=granter.count, row=() if row is None else (row.owner, row.token, max(0, row.until)))

    def holder_of(self, side, name):
        holder = Holder(name, 0, 0)
        holder.connected = True
        held = holder.wanted[PIECE] = WantedPiece(self.task, 0)
        held.token, held.until = side.token, side.left
        if side.asking <= 0:
            held.asked_at, held.number = side.asking, 1
        return holder, held

    def believes(self, side, name):
        return side.up and self.holder_of(side, name)[0].holds(PIECE, 0)

    def judge(self, world):
        believers = [n for n, side in enumerate(world.sides) if self.believes(side, NAMES[n])]
        return "two hold at once: " + " and ".join(NAMES[n] for n in believers) if len(believers) > 1 else None

    # Steps

    def steps(self, world):
        world = compressed(world)
        for what, after, broken in self.moves(world):
            if len(after.wire) > self.most:
                continue
            yield what, compressed(after), broken or self.judge(after)

    def moves(self, world):
        yield "time passes", self.tick(world), None
        for n, side in enumerate(world.sides):
            if side.up:
                yield from self.side_moves(world, n, side)
            else:
                yield f"{NAMES[n]} comes back", self.put(world, n, Side(True, 0, 0, 1, 0, side.life + 1)), None
        for message in world.wire:
            yield f"lost: {message}", world._replace(wire=without(world.wire, message)), None
            if world.granter or message[0] != "ask":
                yield from getattr(self, "to_" + message[0])(
                    world._replace(wire=without(world.wire, message)), *message[1:]
                )
        if world.granter:
            if world.crashes:
                yield "the granter crashes", world._replace(granter=False, crashes=world.crashes - 1), None
            if world.put_back and not world.older and world.row:
                yield "a copy of its store is made", world._replace(older=(world.count, world.row[:2])), None
        else:
            yield "the granter starts", self.restarted(world, world.count, world.row), None
            if world.older and world.put_back:
                count, row = world.older
                yield (
                    "the granter starts on the copy",
                    self.restarted(world, count, row)._replace(put_back=world.put_back - 1, older=(), doubtful=True),
                    None,
                )
        if world.crashes:
            for n, side in enumerate(world.sides):
                if side.up:
                    yield (
                        f"{NAMES[n]} crashes",
                        given_up(
                            self.put(world._replace(crashes=world.crashes - 1), n, Side(False, 0, 0, 1, 0, side.life)),
                            n,
                        ),
                        None,
                    )

    def restarted(self, world, count, row):
        granter = Granter({PIECE: self.task}, 0, count, {PIECE: Row(*row[:2], 0)} if row else {}, ())
        opens, wire = granter.opened, tuple(m for m in world.wire if m[0] != "ask")
        if self.bug == "token lost at a restart":
            granter.count, granter.rows = 0, {}
        if self.bug == "granter forgets a grant":
            opens = 0
        return self.with_granter(world._replace(granter=True, opens=opens, wire=wire), granter)

    def tick(self, world):
        sides, given = [], []
        for n, side in enumerate(world.sides):
            on = self.rates[n]
            # An asking grows old by its own clock; given up after a while, as holder.REQUEST_TIMEOUT does.
            asking = side.asking - on if side.asking <= 0 else 1
            if asking < -self.task.span:
                asking = 1
                given.append(n)
            left = max(0, side.left - on)
            sides.append(side._replace(left=left, asking=asking, token=side.token if left else 0))
        on = self.rates[-1]
        row = (*world.row[:2], max(0, world.row[2] - on)) if world.row else ()
        world = world._replace(sides=tuple(sides), row=row, opens=max(0, world.opens - on))
        for n in given:
            world = given_up(world, n)
        return world

    def side_moves(self, world, n, side):
        name = NAMES[n]
        if side.asking > 0:
            holder, held = self.holder_of(side, name)
            [(_, token, _)] = holder.due(0)
            yield (
                f"{name} asks",
                self.put(world, n, side._replace(asking=0))._replace(
                    wire=added(given_up(world, n).wire, ("ask", n, token, True))
                ),
                None,
            )
        holder, _ = self.holder_of(side, name)
        if not side.act and holder.may_begin(PIECE, 0) is not None:
            yield f"{name} checks, and is about to act", self.put(world, n, side._replace(act=side.token)), None
        if side.act:
            yield (
                f"{name} acts",
                self.put(world, n, side._replace(act=0))._replace(
                    wire=added(world.wire, ("act", n, side.act, side.life))
                ),
                None,
            )

    def to_ask(self, world, n, token, present):
        granter, owner = self.granter_of(world), owner_of(n, world.sides[n].life)
        said = granter.request(PIECE, owner, token, 0)
        after = self.with_granter(world, granter)
        if not isinstance(said, Granted):
            yield (
                f"the granter refuses {NAMES[n]}",
                after._replace(wire=added(after.wire, ("busy", n, 0, present))),
                None,
            )
            return
        broken = None
        if not world.doubtful and any(t == said.token and by != owner for t, by in world.told):
            broken = f"token {said.token} is told to two owners"
        after = after._replace(
            told=added(after.told, (said.token, owner)) if self.watched else (),
            wire=added(after.wire, ("granted", n, said.token, present)),
        )
        yield f"the granter grants {said.token} to {NAMES[n]}", after, broken

    def to_busy(self, world, n, _, present):
        side = world.sides[n]
        if present:
            world = self.put(world, n, side._replace(asking=1))
        yield f"{NAMES[n]} hears that it is not free", world, None

    def to_granted(self, world, n, token, present):
        side = world.sides[n]
        if not present:
            yield f"{NAMES[n]} hears an answer to no asking of its own", world, None
            return
        holder, held = self.holder_of(side, NAMES[n])
        if self.bug == "span counted from the answer":
            held.asked_at = 0
        holder.granted(PIECE, 1, token, 0)
        yield (
            f"{NAMES[n]} hears of token {token}",
            self.put(
                world, n, side._replace(token=held.token if held.until > 0 else 0, left=max(0, held.until), asking=1)
            ),
            None,
        )

    def to_act(self, world, n, token, life):
        fence, broken, owner = Fence(), None, owner_of(n, life)
        if world.fence:
            fence.last[PIECE] = world.fence
        if self.bug == "no fence":
            taken = True
        elif self.bug == "a token without its owner":
            taken = token >= fence.token(PIECE)
        else:
            taken = fence.accepts(PIECE, token, owner)
        if taken and world.fence:
            if token < world.fence[0]:
                broken = f"the resource goes back from token {world.fence[0]} to {token}"
            elif token == world.fence[0] and owner != world.fence[1]:
                broken = f"token {token} takes effect for two owners"
        if taken:
            yield f"the act of {NAMES[n]} under {token} takes effect", world._replace(fence=(token, owner)), broken
            return
        # Refused: it says which token it knows, and its manager tells the granter.
        side, granter = world.sides[n], self.granter_of(world)
        if world.granter:
            granter.observe_token(world.fence[0])
            world = self.with_granter(world, granter)
        if (side.up, side.life, side.token) == (True, life, token):
            world = self.put(world, n, side._replace(token=0, left=0))
        yield f"the act of {NAMES[n]} under {token} is refused", world, None

    @staticmethod
    def put(world, n, side):
        return world._replace(sides=(*world.sides[:n], side, *world.sides[n + 1 :]))

    def alike(self, world):
        """The one that stands for all states in which managers with clocks of one rate have changed their names."""
        rates = self.rates[: len(world.sides)]
        return min(
            renamed(world, names)
            for names in itertools.permutations(range(len(rates)))
            if all(rates[n] == rates[to] for n, to in enumerate(names))
        )

    def good(self, world):
        """Somebody holds it under a token that the resource takes."""
        return any(
            self.believes(side, NAMES[n])
            and (not world.fence or side.token > world.fence[0] or (side.token, owner_of(n, side.life)) == world.fence)
            for n, side in enumerate(world.sides)
        )


def owner_of(n, life):
    return f"{NAMES[n]}{life}"


def renamed(world, names):
    """The same state with manager n called names[n]."""

    def owner(by):
        return NAMES[names[NAMES.index(by[0])]] + by[1:]

    sides = [None] * len(names)
    for n, side in enumerate(world.sides):
        sides[names[n]] = side
    older = world.older and (world.older[0], (owner(world.older[1][0]), world.older[1][1]))
    return world._replace(
        sides=tuple(sides),
        row=(owner(world.row[0]), *world.row[1:]) if world.row else (),
        fence=(world.fence[0], owner(world.fence[1])) if world.fence else (),
        older=older,
        told=tuple(sorted((token, owner(by)) for token, by in world.told)),
        wire=tuple(sorted((kind, names[n], *rest) for kind, n, *rest in world.wire)),
    )


def given_up(world, n):
    """No answer that is still on its way is to the present asking of this manager any more."""
    return world._replace(wire=tuple(sorted((*m[:3], False) if m[1] == n and m[0] != "act" else m for m in world.wire)))


def compressed(world):
    """The same state with its tokens counted anew from 1, in their order, and what nobody knows any more left out."""
    kept = {s.token for s in world.sides} | {s.act for s in world.sides} | {m[2] for m in world.wire}
    kept |= set(world.row[1:2]) | set(world.fence[:1]) | {world.count}
    if world.older:
        kept |= {world.older[0], world.older[1][1]}
    kept.discard(0)
    to = {0: 0, **{token: n + 1 for n, token in enumerate(sorted(kept))}}
    told = tuple(sorted((to[t], owner) for t, owner in world.told if t in kept))
    return world._replace(
        sides=tuple(s._replace(token=to[s.token], act=to[s.act]) for s in world.sides),
        count=to[world.count],
        row=(world.row[0], to[world.row[1]], world.row[2]) if world.row else (),
        fence=(to[world.fence[0]], world.fence[1]) if world.fence else (),
        told=told,
        wire=tuple(sorted((*m[:2], to[m[2]], m[3]) for m in world.wire)),
        older=(to[world.older[0]], (world.older[1][0], to[world.older[1][1]])) if world.older else (),
    )
