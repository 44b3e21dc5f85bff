"""The front's side of its boxes: set-ups out, note streams in, what is owed to them. Sockets only.

Wire between front and box (docs/signalling.md): a set-up is the client's own POST with an Idempotency-Key that
names it before it is sent; /manager/notes is an event stream; /manager/orders ends set-ups and sets rungs.
"""

import asyncio

import msgspec

from ..interface import NoteKind, Outcome
from ..recovery.owed import Owed
from ..recovery.watch import BoxWatch, Stream
from ..serve import pool as wire
from ..serve.clock import now
from ..signalling import load

GATHER_S = 0.05  # orders to one box wait so long for others
ORDERS_S = 2.0  # orders left unanswered so long are sent again
FLOOR = "flaxscale-floor"  # in a refusal: epoch;floor under which nothing may be done there
RAN = "flaxscale-ran"  # "no" in an answer: the set-up never ran and never will


class NoteEvent(msgspec.Struct):
    """What a box tells of one of our viewings there."""

    key: str
    link: float | None = None
    uplink: float | None = None
    delivered: float | None = None


class OverEvent(msgspec.Struct):
    key: str
    how: str  # left, lost, moved: another manager has it now
    to: str = ""  # which


class OrdersAnswer(msgspec.Struct):
    fenced: list[str] = []


class HelloEvent(msgspec.Struct):
    boot: str
    keys: list[str]


class Boxes:
    """All boxes of one front. The owner (front) gives: held keys by box, and hears of notes and losses."""

    def __init__(self, owner, sense, name, life, log):
        """life: of this manager, another one at each start: a box keeps what a life left for a lease."""
        self.owner, self.log = owner, log
        site = sense.site
        self.pool, self.seed = wire.Pool(0, site.front.box_connections), sense.seed
        self.rule(sense)
        self.who = [("Flaxscale-Manager", name), ("Flaxscale-Life", life)]
        if site.front.fleet_token:
            self.who.append(("Authorization", f"Bearer {site.front.fleet_token}"))
        self.places, self.watches, self.streams = {}, {}, {}
        self.playing, self.boots = {}, {}  # box: {key: viewing}; key: the start of the box that plays it
        self.epochs = {}  # key: the epoch under which we hold it, where it was taken over
        self.owed, self.orders_out = Owed(sense.seed), {}
        self.pushing = {}  # box: the wake-up that will send its orders

    def rule(self, sense):
        """Goes by these settings from now on."""
        self.load_names, self.figures = sense.load_names, sense.notes
        self.dial_s = self.pool.dial_s = sense.site.allowed.dial_timeout_ms / 1000

    # Probes

    def probe(self, box, done):
        """Asks a box for its load. done(outcome, took, figures) comes once, later, and in the time of a connection."""
        place, began = self.places.get(box), now()
        if place is None:
            asyncio.get_running_loop().call_soon(done, Outcome.UNREACHED, 0, ())
            return

        def came(result):
            if isinstance(result, wire.Failed):
                how = Outcome.UNREACHED if not result.sent else Outcome.TIMEOUT if result.late else Outcome.RESET
                done(how, now() - began, ())
                return
            figures = load.decode(result.headers.get(load.FIELD))
            whole = result.status == 200 and all(name in figures for name in self.load_names)
            done(
                Outcome.OK if whole else Outcome.ERROR,
                now() - began,
                tuple(figures[name] for name in self.load_names) if whole else (),
            )

        self.pool.send(place.host, place.port, "GET", "/manager/load", self.who, b"", came, self.dial_s)

    # The list

    def placed(self, places):
        """The list's places now. Boxes that went or moved are told from it."""
        before, self.places = self.places, dict(places)
        for box in before.keys() - places.keys():
            self.lose(box, self.watch(box).listed_gone(self.keys(box)), "the list says gone")
            if not self.keys(box):
                self.close_stream(box)
                self.gone(box)
        for box, place in places.items():
            if box in self.watches:
                self.watches[box].listed()
                if box in before and before[box][:2] != place[:2]:
                    self.close_stream(box)
                    self.keep_stream(box)

    def keys(self, box):
        return self.playing.get(box, {})

    def watch(self, box):
        if box not in self.watches:
            self.watches[box] = BoxWatch(box, self.seed)
        return self.watches[box]

    # Set-ups

    def set_up(self, box, target, key, headers, body, done):
        """One POST. done(how or None, took, answer or None, [(NoteKind, amount)]); None: it plays."""
        place = self.places.get(box)
        if place is None:
            return None
        self.keep_stream(box)
        began, field = now(), self.owner.audit.field(box, place.boot)

        def came(result):
            took = now() - began
            if isinstance(result, wire.Answer):
                self.answered_under(box, place.boot, field[1], result)
            if isinstance(result, wire.Failed):
                done(Outcome.RESET if result.sent else Outcome.UNREACHED, took, None, ())
                return
            done(self.how_of(result), took, result, self.notes_of(result.headers))

        return self.pool.send(place.host, place.port, "POST", target, [*headers, field, *self.who], body, came)

    def answered_under(self, box, boot, field, answer):
        """A box answered what carried this stamp; it may have refused it for what it was done under."""
        self.owner.audit.stamps.acknowledged(box, boot, field)
        if FLOOR in answer.headers:
            self.owner.fleet.refused(box, answer.headers)

    def tell_stamp(self, box):
        """Lets a box know under which versions we act, with nothing to do."""
        place = self.places.get(box)
        if place is not None:
            self.send_orders(box, place, [], []) if box not in self.orders_out else self.push(box)

    def how_of(self, answer):
        """An answer as an outcome. What is not said to have never run may have run."""
        if answer.status == 201 and "location" in answer.headers:
            return None
        if answer.headers.get(RAN) == "no":
            return {503: Outcome.FULL, 404: Outcome.LACKING, 421: Outcome.LACKING}.get(answer.status, Outcome.MOOT)
        return Outcome.ERROR

    def notes_of(self, headers):
        figures = load.decode(headers.get(load.FIELD))
        return [(kind, figures[name]) for name, kind in self.figures.items() if name in figures]

    def plays(self, box, key, id, boot, epoch=0):
        self.playing.setdefault(box, {})[key] = id
        self.boots[key] = boot
        watch = self.watch(box)
        if boot is not None and watch.state is Stream.UP and watch.boot != boot:
            # One of both is older than the box's present start, and its stream alone can tell which.
            self.close_stream(box)
            self.keep_stream(box)
        if epoch:
            self.epochs[key] = epoch

    def over(self, box, key):
        """It plays no more, or we want it no more."""
        self.boots.pop(key, None)
        if key not in self.owed.keys(box):
            self.epochs.pop(key, None)
        held = self.playing.get(box)
        if held is not None:
            held.pop(key, None)
            if not held:
                del self.playing[box]

    def gone(self, box):
        """No process is there any more, and nothing is owed to it."""
        for key in list(self.owed.keys(box)):
            self.settled(box, key)
        self.owed.gone(box)

    def settled(self, box, key):
        """Whatever became of it there, it plays there for us no more."""
        self.owed.over(box, key)
        self.owner.ended_there(key)

    # Orders

    def end(self, box, key):
        self.owed.end(box, key, now())
        self.over(box, key)
        self.owner.members.over_early(key)
        self.push(box)

    def set_rung(self, box, key, rung):
        self.owed.rung(box, key, rung)
        self.push(box)

    def push(self, box, after=GATHER_S):
        """Orders are gathered for a moment, so that a crowd that leaves costs few requests."""
        if box not in self.pushing:
            self.pushing[box] = asyncio.get_running_loop().call_later(after, self.push_now, box)

    def push_now(self, box):
        self.pushing.pop(box, None)
        time, at = now(), self.owed.ready_at(box)
        if at is None:
            return
        place = self.places.get(box)
        if place is None:
            if not self.keys(box):
                self.gone(box)
        elif at > time:
            self.push(box, (at - time) / 10_000 + 0.001)
        else:
            self.send_orders(box, place, *self.owed.take(box, time))

    def send_orders(self, box, place, ends, rungs):
        audit, field = self.owner.audit, self.owner.audit.field(box, place.boot)
        for kind, keys in (("end", ends), ("rung", rungs)):
            for key in keys:
                audit.did(kind, key, box)

        def came(result):
            self.orders_out.pop(box, None)
            if isinstance(result, wire.Answer):
                self.answered_under(box, place.boot, field[1], result)
            good = isinstance(result, wire.Answer) and result.status == 200
            self.owed.sent(box, good, now())
            if good:
                self.fenced(box, result.body)
                for key in ends:
                    if key not in self.owed.keys(box):
                        self.epochs.pop(key, None)
                        self.owner.ended_there(key)
            self.push(box)

        self.orders_out[box] = self.pool.send(
            place.host,
            place.port,
            "POST",
            "/manager/orders",
            [("Content-Type", "application/json"), field, *self.who],
            msgspec.json.encode(
                {
                    "end": ends,
                    "rungs": rungs,
                    "epochs": {key: self.epochs[key] for key in (*ends, *rungs) if key in self.epochs},
                }
            ),
            came,
            ORDERS_S,
        )

    def fenced(self, box, body):
        """Orders that the box refused: another manager took the viewing over. It is let go, not ended."""
        try:
            keys = msgspec.json.decode(body, type=OrdersAnswer).fenced
        except msgspec.MsgspecError:
            return
        for key in keys:
            id = self.keys(box).get(key)
            self.settled(box, key)
            if id is not None:
                self.over(box, key)
                self.log.info("fenced", viewing=id, box=box)
                self.owner.session_over(id, Outcome.OK)

    # Notes

    def keep_stream(self, box):
        """A stream to each box that we use, for as long as the list names it."""
        watch, place = self.watch(box), self.places.get(box)
        if place is None or not watch.wants(now()):
            return
        watch.opening(self.keys(box))
        self.streams[box] = stream = wire.EventStream(
            place.host,
            place.port,
            "/manager/notes",
            self.who,
            lambda: None,
            lambda event: self.heard(box, event),
            lambda refused, detail: self.stream_closed(box, refused, detail),
        )
        stream.start(self.dial_s)

    def stream_closed(self, box, refused, detail):
        self.streams.pop(box, None)
        watch = self.watch(box)
        lost = watch.closed(refused, self.keys(box), now())
        self.log.info("stream closed", box=box, refused=refused, detail=detail, lost=len(lost))
        self.lose(box, lost, "its process does not run" if refused else "its stream ended and the list says gone")
        if box in self.places:
            asyncio.get_running_loop().call_later(
                max(0.0, (watch.retry_at - now()) / 10_000) + 0.001, self.keep_stream, box
            )

    def close_stream(self, box):
        if stream := self.streams.pop(box, None):
            stream.cancel()
        if box in self.watches:
            self.watches[box].state = Stream.OFF

    def heard(self, box, event):
        try:
            if event.name == "note":
                note = msgspec.json.decode(event.data, type=NoteEvent)
            elif event.name == "over":
                over = msgspec.json.decode(event.data, type=OverEvent)
            elif event.name == "hello":
                hello = msgspec.json.decode(event.data, type=HelloEvent)
            else:
                return
        except msgspec.MsgspecError as bad:
            self.log.warning("note not read", box=box, detail=str(bad)[:200])
            return
        if event.name == "hello":
            keys = self.keys(box)
            lost = self.watch(box).hello(hello.boot, set(hello.keys), {key: self.boots.get(key) for key in keys})
            self.lose(box, lost, "the box does not know it")
            strange = [key for key in hello.keys if key not in keys and not self.owner.is_out(key)]
            self.owner.found(box, strange)  # set-ups of ours that we know nothing of any more
            return
        if event.name == "over":
            id = self.keys(box).get(over.key)
            self.settled(box, over.key)
            if id is None:
                self.owner.over_early(over.key)
            else:
                self.over(box, over.key)
                self.owner.session_over(id, Outcome.RESET if over.how == "lost" else Outcome.OK, over.to)
            return
        id = self.keys(box).get(note.key)
        if id is None:
            return
        if note.delivered is not None:
            self.owner.noted(id, NoteKind.DELIVERED, note.delivered)
        if note.link is not None:
            self.owner.noted(id, NoteKind.LINK, note.link)
        if note.uplink is not None and NoteKind.UPLINK in self.figures.values():
            self.owner.noted(id, NoteKind.UPLINK, note.uplink)

    def lose(self, box, keys, why):
        for key in list(keys):
            id = self.keys(box).get(key)
            if id is not None:
                self.over(box, key)
                self.log.info("viewing lost", viewing=id, box=box, why=why)
                self.owner.session_over(id, Outcome.RESET)

    async def close(self):
        for timer in self.pushing.values():
            timer.cancel()
        for box in list(self.streams):
            self.close_stream(box)
        await self.pool.close()
