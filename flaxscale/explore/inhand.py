"""A viewing in hand, explored whole: three managers, one box, a client that asks again under its key whenever it likes.

The machines are the program's own: recovery.key_registry (who knows of a first try, what boxes' words amount to, the
box's bars) and members.takeover (the fence, who claims what). Around them stands the least: a client that asks a
manager, then another; managers that crash, stand still (a step that never comes is one that comes late) and come back
with another life; a box that may restart and lose all; messages that come late, in any order, or never, those that the
program repeats as often as it likes.

A keeper's or the box's word is heard in the step in which it is given: what its hearer does with it are messages that
may be late in turn, so that a word that is late adds no course of its own; a lost one is one that is not waited for.

Invariants: two set-ups under one key of an unsafe package never stand at a time; no manager answers a client for what
it does not hold; an order never ends what another manager holds. And from every state some course leads to where
nothing is in hand without a holder: the client has its answer or was refused, what stands is held by a living manager
for that client, and all else has ended.
"""

from typing import NamedTuple

from ..members.takeover import Fence, Session, plan_claims
from ..recovery import key_registry
from . import search
from .search import added, without

MANAGERS, MARK, NAME = ("a", "b", "c"), "mark", "viewing"


class At(NamedTuple):
    """The box's session under the mark, one of those that it may have."""

    key: str
    owner: str
    life: int
    epoch: int
    stands: bool  # else it is still worked on


class World(NamedTuple):
    asked: int  # tries that the client made: the first at a, the second at b, the third at c
    fate: str  # of the last: waits, broken, plays, refused, gone
    got: str  # the key that its 201 was for
    lives: tuple  # by manager; a down one's is negative
    hands: tuple  # by manager: what it does for the client, () for nothing
    books: tuple  # by manager: (manager, life) that has the key in hand, or ()
    boot: int
    sessions: tuple  # At, sorted by key
    barred: str  # the manager for whom alone one may begin under the mark; empty: anyone
    ended: tuple  # keys ended by name before or after they came
    wire: tuple
    crashes: int  # that may still come
    boots: int
    hello: tuple  # by manager: its stream to the box will begin anew, and say what stands under its name


def start(crashes=1, boots=1):
    return World(
        0, "none", "", (1, 1, 1), ((), (), ()), ((), (), ()), 0, (), "", (), (), crashes, boots, (False, False, False)
    )


def put(row, n, item):
    return (*row[:n], item, *row[n + 1 :])


def up(world, m):
    return world.lives[m] > 0


def key_of(m, life):
    return f"{MANAGERS[m]}{life}"


def began_by(key):
    return MANAGERS.index(key[0])


class Machine:
    def __init__(self, unsafe, asks=2, back=False, bug=None):
        """asks: tries that the client makes at most. back: who crashed may come back. bug: one of BUGS, to see that
        it is found."""
        self.unsafe, self.asks, self.back, self.bug = unsafe, asks, back, bug

    # The client

    def steps(self, world):
        """(what happens, the world after it, a broken invariant or None)."""
        if world.asked < self.asks and world.fate != "plays" and up(world, m := world.asked):
            yield self.taken(world, m)
        for m in range(len(MANAGERS)):
            if up(world, m):
                yield from self.manager(world, m)
            elif world.lives[m] == -1 and self.back:  # once
                yield (
                    f"{MANAGERS[m]} comes back",
                    world._replace(lives=put(world.lives, m, 2), hello=put(world.hello, m, True)),
                    None,
                )
        for message in world.wire:
            after = world._replace(wire=without(world.wire, message))
            yield from getattr(self, "to_" + message[0])(after, *message[1:])
        for at in world.sessions:
            if not at.stands:
                yield f"the box has set up {at.key}", self.worked(world, at), None
            if abs(world.lives[MANAGERS.index(at.owner)]) != at.life or not up(world, MANAGERS.index(at.owner)):
                yield f"the lease ends {at.key}", self.over(world, at.key), None
        if world.fate == "broken":
            yield "the client gives up", world._replace(fate="gone"), None
        if world.boots:
            yield (
                "the box restarts",
                world._replace(
                    boots=world.boots - 1,
                    boot=world.boot + 1,
                    sessions=(),
                    barred="",
                    ended=(),
                    hello=tuple(up(world, m) for m in range(len(MANAGERS))),
                ),
                None,
            )
        for m in range(len(MANAGERS)):
            if world.crashes and up(world, m):
                mine = world.fate == "waits" and world.asked - 1 == m
                yield (
                    f"{MANAGERS[m]} crashes",
                    world._replace(
                        crashes=world.crashes - 1,
                        lives=put(world.lives, m, -world.lives[m]),
                        fate="broken" if mine else world.fate,
                        hello=put(world.hello, m, False),
                        hands=put(world.hands, m, ()),
                        books=put(world.books, m, ()),
                    ),
                    None,
                )

    def taken(self, world, m):
        """The client asks the next manager; the one before hears that it left, if it lives."""
        world = world._replace(asked=world.asked + 1, fate="waits")
        me, others = MANAGERS[m], [n for n in range(len(MANAGERS)) if n != m]
        found, books = self.kept(world, m, m)
        wire = added(world.wire, *(("keep", m, world.lives[m], n) for n in others))
        if self.bug == "nobody is asked":
            return f"the client asks {me}", self.begin(world._replace(books=books, wire=wire), m, world.boot), None
        return (
            f"the client asks {me}",
            world._replace(
                books=books, wire=wire, hands=put(world.hands, m, ("asks", tuple(others), (found,), world.boot))
            ),
            None,
        )

    def kept(self, world, keeper, m):
        """What a keeper's own book says of this try of m's, and the books after it."""
        book = key_registry.KeyRegistry()
        if world.books[keeper]:
            manager, life = world.books[keeper]
            book.rows[MARK] = key_registry.Registration(manager, str(life), 0)
        found = book.register(MARK, MANAGERS[m], str(world.lives[m]), 0)
        row = book.rows[MARK]
        return found, put(world.books, keeper, (row.manager, int(row.boot)))

    # Managers

    def manager(self, world, m):
        me, hand = MANAGERS[m], world.hands[m]
        if (
            hand
            and world.asked - 1 > m
            and hand[0] not in ("ends", "claims")
            and (hand[0] != "holds" or world.got != hand[1])
        ):
            yield f"{me} hears that its client left", self.left(world, m), None
        if hand and hand[0] == "asks" and hand[1]:
            yield (
                f"{me} waits no longer for {MANAGERS[hand[1][0]]}",
                self.answered(world, m, hand[1][0], key_registry.SILENT),
                None,
            )
        if hand and hand[0] == "box":
            if not self.unsafe or self.bug == "a silent box says no":
                yield f"{me} waits no longer for the box", self.settled(world, m, None), None
            yield f"{me} has no answer when the patience ends", self.refuse(world, m), None
        if hand and hand[0] == "out":
            yield f"{me} waits no longer for {hand[1]}", self.end(self.refuse(world, m), m, hand[1], 0), None
        for at in world.sessions:
            if at.owner != me and not up(world, MANAGERS.index(at.owner)) and at.stands:
                yield from self.take_over(world, m, at)
        if world.hello[m]:
            yield from self.hears_hello(world, m)
        if hand and hand[0] == "ends" and ("end", m, hand[1], hand[2]) not in world.wire:
            yield f"{me} asks again for the end of {hand[1]}", self.end(world, m, hand[1], hand[2]), None

    def hears_hello(self, world, m):
        """The box names what stands under this manager's name: what it does not know it ends, or takes up."""
        strange = [
            at
            for at in world.sessions
            if at.owner == MANAGERS[m]
            and at.stands
            and not any(w[:3] in (("claim", m, at.key), ("end", m, at.key)) for w in world.wire)
            and (world.hands[m][1:2] != (at.key,))
        ]
        mine = [at.key for at in world.sessions if at.owner == MANAGERS[m]]
        if world.hands[m][:1] == ("holds",) and world.hands[m][1] not in mine:
            yield (
                f"the box does not know {world.hands[m][1]} of {MANAGERS[m]}'s",
                world._replace(hands=put(world.hands, m, ())),
                None,
            )
        elif not strange:
            yield (
                f"the box names nothing that {MANAGERS[m]} does not know",
                world._replace(hello=put(world.hello, m, False)),
                None,
            )
        for at in strange if not world.hands[m] else ():
            if at.key == key_of(m, world.lives[m]) and at.epoch == 0:
                yield (f"{MANAGERS[m]} ends {at.key}, of which it knows nothing", self.end(world, m, at.key, 0), None)
            else:
                yield from self.take_over(world, m, at)

    def left(self, world, m):
        hand, world = world.hands[m], world._replace(hands=put(world.hands, m, ()))
        if hand[0] == "out":
            return self.end(world, m, hand[1], 0) if self.bug != "nothing is owed" else world
        if hand[0] == "holds":
            return self.end(world, m, hand[1], hand[2])
        return world

    def end(self, world, m, key, epoch):
        """Owed to the box until it says yes."""
        return world._replace(
            hands=put(world.hands, m, ("ends", key, epoch)), wire=added(world.wire, ("end", m, key, epoch))
        )

    def refuse(self, world, m):
        mine = world.asked - 1 == m and world.fate == "waits"
        return world._replace(hands=put(world.hands, m, ()), fate="refused" if mine else world.fate)

    def answered(self, world, m, keeper, found):
        """A keeper has answered, or is not waited for; after the last one it is known whether there was a first try."""
        _, waiting, came, boot = world.hands[m]
        waiting, came = tuple(n for n in waiting if n != keeper), (*came, found)
        if waiting:
            return world._replace(hands=put(world.hands, m, ("asks", waiting, came, boot)))
        if key_registry.earliest_registration(came, self.unsafe) is None:
            return self.begin(world, m, boot)
        return self.ask_box(world, m, boot)

    def ask_box(self, world, m, boot):
        return world._replace(
            hands=put(world.hands, m, ("box", boot)), wire=added(world.wire, ("try", m, world.lives[m]))
        )

    def begin(self, world, m, boot):
        """boot: the start of the box that was known when the viewing came."""
        key = key_of(m, world.lives[m])
        return world._replace(hands=put(world.hands, m, ("out", key)), wire=added(world.wire, ("setup", m, key, boot)))

    def settled(self, world, m, said):
        """said: what the box told, (Said, At or None); None: nothing."""
        step, boot = (
            key_registry.next_step({1: said and said[0]}, self.unsafe and self.bug != "a silent box says no"),
            (world.hands[m][1]),
        )
        if isinstance(step, key_registry.StartNew):
            return self.begin(world, m, boot)
        if isinstance(step, key_registry.AskBoxes):
            return self.ask_box(world, m, boot)
        at = said[1]
        if self.bug == "joins without a claim":
            return self.plays(world._replace(hands=put(world.hands, m, ("holds", at.key, at.epoch))), m, at.key)
        return world._replace(
            hands=put(world.hands, m, ("claims", at.key, at.epoch + 1)),
            wire=added(world.wire, ("claim", m, at.key, at.epoch + 1, world.lives[m])),
        )

    def plays(self, world, m, key):
        """Its client is answered, if it still waits there."""
        if world.asked - 1 == m and world.fate == "waits":
            return world._replace(fate="plays", got=key)
        return world

    def take_over(self, world, m, at):
        """A dead manager's, or an earlier life's own: claimed by whom the hashing names, and ended where unwatched."""
        alive = [name for n, name in enumerate(MANAGERS) if up(world, n)]
        made = plan_claims(
            [Session(at.key, at.owner, at.epoch, NAME, at.key == world.got)],
            at.owner,
            MANAGERS[m],
            [MANAGERS[m]] if at.owner == MANAGERS[m] else alive,
        )
        for c in made.claims:
            claim = ("claim", m, c.key, c.epoch, world.lives[m])
            if claim not in world.wire and not world.hands[m]:
                yield (
                    f"{MANAGERS[m]} claims {c.key}",
                    world._replace(
                        hands=put(world.hands, m, ("claims", c.key, c.epoch)), wire=added(world.wire, claim)
                    ),
                    None,
                )

    # What arrives

    def to_keep(self, world, m, life, keeper):
        if not up(world, keeper):
            return
        found, books = self.kept(world, keeper, m)
        world, hand = world._replace(books=books), world.hands[m]
        if world.lives[m] == life and hand and hand[0] == "asks" and keeper in hand[1]:
            world = self.answered(world, m, keeper, found)
        yield f"{MANAGERS[keeper]} is told that {MANAGERS[m]} has it", world, None

    def to_try(self, world, m, life):
        bars = key_registry.SetupFence()
        for at in world.sessions:
            bars.started(MARK, at.key)
        if world.barred:
            bars.fenced[MARK] = world.barred, 0
        stands = bars.fence(MARK, MANAGERS[m], 0)
        at = next((at for at in world.sessions if at.key == stands), None)
        said = key_registry.BoxAnswer(at is not None and at.stands, at is not None and not at.stands)
        if self.bug != "nothing is barred":
            world = world._replace(barred=bars.fenced[MARK][0])
        if world.lives[m] == life and world.hands[m][:1] == ("box",):
            world = self.settled(world, m, (said, at))
        yield f"the box is asked by {MANAGERS[m]} for the first try", world, None

    def to_setup(self, world, m, key, boot):
        bars = key_registry.SetupFence()
        if world.barred:
            bars.fenced[MARK] = world.barred, 0
        life, other = int(key[1:]), boot != world.boot and self.bug != "no start is named"
        if (
            other
            or bars.refusal_status(MARK, MANAGERS[m])
            or key in world.ended
            or key in [at.key for at in world.sessions]
        ):
            yield f"the box refuses {key}: it never ran", self.never_ran(world, m, key, life), None
            return
        broken = None
        if self.unsafe and world.sessions:
            broken = f"{key} begins while {world.sessions[0].key} stands, under one key of an unsafe package"
        yield (
            f"the box begins {key}",
            world._replace(sessions=added(world.sessions, At(key, MANAGERS[m], life, 0, False))),
            broken,
        )

    def never_ran(self, world, m, key, life):
        if world.lives[m] == life and world.hands[m] == ("out", key):
            return self.refuse(world, m)
        return world

    def worked(self, world, at):
        return world._replace(
            sessions=added(without(world.sessions, at), at._replace(stands=True)),
            wire=added(world.wire, ("answer", began_by(at.key), at.key, world.boot)),
        )

    def to_answer(self, world, m, key, boot):
        life, hand = int(key[1:]), world.hands[m]
        if world.lives[m] != life or hand != ("out", key):
            yield f"the answer of {key} meets nobody", world, None
            return
        held = world._replace(hands=put(world.hands, m, ("holds", key, 0)))
        if boot != world.boot and self.bug != "an answer of another start is believed":
            held = held._replace(hello=put(held.hello, m, True))  # the stream is asked for anew
        yield f"{MANAGERS[m]} has {key}", self.plays(held, m, key), None

    def to_claim(self, world, m, key, epoch, life):
        me, held, now = MANAGERS[m], {at.key: at for at in world.sessions}, abs(world.lives[m])
        good = key in held and fence_of(world).claim(key, epoch, me)
        if good:
            before = held[key]
            world = world._replace(
                sessions=added(
                    without(world.sessions, before),
                    before._replace(
                        owner=me,
                        epoch=epoch,
                        life=now if self.bug == "a claim is of the life that there is now" else life,
                    ),
                )
            )
            if before.owner != me and self.bug != "who lost it is not told":
                world = world._replace(
                    wire=added(world.wire, ("moved", MANAGERS.index(before.owner), key, before.life))
                )
        what = f"the box {'grants' if good else 'refuses'} {me}'s claim to {key}"
        if world.lives[m] != life or world.hands[m] != ("claims", key, epoch):
            yield what, world, None
        elif not good:
            yield what, self.refuse(world, m), None
        elif key == world.got or world.asked - 1 == m and world.fate == "waits":
            yield what, self.plays(world._replace(hands=put(world.hands, m, ("holds", key, epoch))), m, key), None
        else:
            yield f"{what}, which ends it: nobody watches", self.end(world, m, key, epoch), None

    def to_moved(self, world, m, key, life):
        """Told by the stream, now or when it is there: before or after the answer of the set-up itself."""
        if world.lives[m] != life:
            return
        if world.hands[m][:2] == ("holds", key):
            world = world._replace(hands=put(world.hands, m, ()))
        elif world.hands[m] == ("out", key):
            world = self.refuse(world, m)
        yield f"{MANAGERS[m]} hears that {key} is another's", world, None

    def to_end(self, world, m, key, epoch):
        fence = fence_of(world)
        done = world._replace(hands=put(world.hands, m, ())) if world.hands[m] == ("ends", key, epoch) else world
        if not fence.accepts(key, epoch, MANAGERS[m]):
            yield f"the box refuses {MANAGERS[m]}'s end of {key}", done, None
            return
        broken = None
        if key == world.got and any(at.key == key and at.owner != MANAGERS[m] for at in world.sessions):
            broken = f"{MANAGERS[m]} ends {key}, which another manager holds"
        ended = done.ended if self.bug == "an end is not remembered" else added(done.ended, key)
        yield f"the box ends {key}", self.over(done._replace(ended=ended), key), broken

    def over(self, world, key):
        return world._replace(sessions=tuple(at for at in world.sessions if at.key != key))


def fence_of(world):
    fence = Fence()
    for at in world.sessions:
        fence.held[at.key] = at.owner, at.epoch
    return fence


def judged(world):
    """A broken invariant of a state."""
    for m, hand in enumerate(world.hands):
        if hand and hand[0] == "holds" and world.got == hand[1] and up(world, m):
            at = next((at for at in world.sessions if at.key == hand[1]), None)
            if at is not None and at.epoch == hand[2] and at.owner != MANAGERS[m]:
                return f"{MANAGERS[m]} holds {hand[1]} under epoch {hand[2]}, the box says {at.owner}"
    return None


def settled(world):
    """Whether nothing is in hand without a holder."""
    if world.fate == "waits" or any(hand and hand[0] != "holds" for hand in world.hands):
        return False
    for m, hand in enumerate(world.hands):
        if hand and up(world, m) and not any(at[:2] == (hand[1], MANAGERS[m]) for at in world.sessions):
            return False  # it believes to hold what another has, or nobody
    for at in world.sessions:
        m = MANAGERS.index(at.owner)
        if (
            not at.stands
            or not up(world, m)
            or world.lives[m] != at.life
            or at.key != world.got
            or (world.hands[m] != ("holds", at.key, at.epoch))
        ):
            return False
    return True


BUGS = (
    "nobody is asked",
    "a silent box says no",
    "nothing is barred",
    "joins without a claim",
    "no start is named",
    "nothing is owed",
    "an end is not remembered",
    "who lost it is not told",
    "an answer of another start is believed",
    "a claim is of the life that there is now",
)


class Small(NamedTuple):
    """A case that is explored whole."""

    unsafe: bool
    asks: int = 2
    crashes: int = 0
    boots: int = 0
    back: bool = False


def explore(case, bug=None, most=400_000):
    machine = Machine(case.unsafe, case.asks, case.back, bug)

    def steps(world):
        for what, after, broken in machine.steps(world):
            yield what, after, broken or judged(after)

    def same(world):
        """Without what can't matter any more: books that nobody will ask, ends of what has come or never will."""
        on_its_way = {w[2] for w in world.wire if w[0] == "setup"}
        if world.asked == case.asks and not any(hand and hand[0] == "asks" for hand in world.hands):
            world = world._replace(books=((), (), ()), wire=tuple(w for w in world.wire if w[0] != "keep"))
        return world._replace(ended=tuple(key for key in world.ended if key in on_its_way))

    return search.explore(start(case.crashes, case.boots), steps, most, settled, same)


def wander(choose, count, unsafe):
    machine = Machine(unsafe, len(MANAGERS), True)
    return search.wander(start(3, 3), machine.steps, choose, count)
