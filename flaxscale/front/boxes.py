"""A manager's connections to boxes: set-ups, note streams, and orders that end sessions or change rungs.

The protocol between front and box is described in docs/signalling.md: a set-up is the client's own POST with an
Idempotency-Key that names the session before it is sent; /manager/notes is an event stream; /manager/orders ends
sessions and sets rungs.
"""

import asyncio

import msgspec

from ..interface import NoteKind, Outcome
from ..recovery.pending_orders import PendingOrders
from ..recovery.watch import BoxWatch, StreamState
from ..serve import pool as wire
from ..serve.clock import now
from ..signalling import load

ORDER_BATCH_DELAY_S = 0.05  # delay before orders are sent, so that orders for one box are batched
ORDER_TIMEOUT_S = 2.0  # orders without an answer within this time are sent again
# in a refusal: "epoch;floor", the lowest catalogue version under which the box accepts actions
FLOOR_HEADER = "flaxscale-floor"
RAN_HEADER = "flaxscale-ran"  # "no" in an answer: the set-up did not run and will not run later


class NoteEvent(msgspec.Struct):
    """A note of a box on one of this manager's sessions."""

    key: str
    link: float | None = None
    uplink: float | None = None
    delivered: float | None = None


class OverEvent(msgspec.Struct):
    """A box reports that a session is over."""

    key: str
    how: str  # "left", "lost" or "moved" (claimed by another manager)
    to: str = ""  # moved: the manager that claimed the session


class OrdersAnswer(msgspec.Struct):
    """A box's answer to orders: keys of sessions that another manager has claimed."""

    fenced: list[str] = []


class HelloEvent(msgspec.Struct):
    """The first event of a stream: the box's boot id and the keys of this manager's sessions."""

    boot: str
    keys: list[str]


class Boxes:
    """The connections of one front to all boxes; the owner (the front) is informed of notes and ended sessions."""

    def __init__(self, owner, site_terms, name, boot, log):
        """boot: name of this manager's boot, new at each start: a box keeps sessions of an earlier boot for a lease."""
        self.owner, self.log = owner, log
        site = site_terms.site
        self.pool, self.seed = wire.Pool(0, site.front.box_connections), site_terms.seed
        self.apply_settings(site_terms)
        self.identity_headers = [("Flaxscale-Manager", name), ("Flaxscale-Life", boot)]
        if site.front.fleet_token:
            self.identity_headers.append(("Authorization", f"Bearer {site.front.fleet_token}"))
        self.places, self.watches, self.streams = {}, {}, {}
        # sessions: {box: {key: viewing id}}; session_boots: {key: boot id of the box that plays the session}
        self.sessions, self.session_boots = {}, {}
        self.epochs = {}  # {key: the epoch under which a session that was taken over is held}
        self.pending_releases, self.orders_in_flight = PendingOrders(site_terms.seed), {}
        self.order_timers = {}  # {box: timer that sends the box's pending orders}

    def apply_settings(self, site_terms):
        """Applies changed settings."""
        self.load_names, self.note_kinds = site_terms.load_names, site_terms.note_kinds
        self.dial_s = self.pool.connect_timeout_s = site_terms.site.allowed.dial_timeout_ms / 1000

    # Probes

    def probe(self, box, done):
        """Queries the load of a box and calls done(outcome, duration, figures) once, within the connection timeout."""
        place, started_at = self.places.get(box), now()
        if place is None:
            asyncio.get_running_loop().call_soon(done, Outcome.UNREACHED, 0, ())
            return

        def on_answer(result):
            if isinstance(result, wire.RequestFailed):
                outcome = (
                    Outcome.UNREACHED if not result.sent else Outcome.TIMEOUT if result.timed_out else Outcome.RESET
                )
                done(outcome, now() - started_at, ())
                return
            figures = load.decode(result.headers.get(load.FIELD))
            complete = result.status == 200 and all(name in figures for name in self.load_names)
            done(
                Outcome.OK if complete else Outcome.ERROR,
                now() - started_at,
                tuple(figures[name] for name in self.load_names) if complete else (),
            )

        self.pool.send(
            place.host, place.port, "GET", "/manager/load", self.identity_headers, b"", on_answer, self.dial_s
        )

    # The box list

    def update_places(self, places):
        """Applies the places of the box list; sessions at boxes that were removed are reported as lost."""
        before, self.places = self.places, dict(places)
        for box in before.keys() - places.keys():
            self.lose_sessions(box, self.watch_of(box).listed_gone(self.sessions_at(box)), "the list says gone")
            if not self.sessions_at(box):
                self.close_stream(box)
                self.forget_box(box)
        for box, place in places.items():
            if box in self.watches:
                self.watches[box].listed()
                if box in before and before[box][:2] != place[:2]:
                    self.close_stream(box)
                    self.ensure_stream(box)

    def sessions_at(self, box):
        return self.sessions.get(box, {})

    def watch_of(self, box):
        if box not in self.watches:
            self.watches[box] = BoxWatch(box, self.seed)
        return self.watches[box]

    # Set-ups

    def set_up(self, box, target, key, headers, body, done):
        """Sends one set-up and calls done(outcome, duration, answer, [(NoteKind, amount)]); outcome None: it plays.

        Returns the call, or None if the box is not listed.
        """
        place = self.places.get(box)
        if place is None:
            return None
        self.ensure_stream(box)
        started_at, stamp = now(), self.owner.audit.stamp_header(box, place.boot)

        def on_answer(result):
            duration = now() - started_at
            if isinstance(result, wire.Response):
                self.stamp_answered(box, place.boot, stamp[1], result)
            if isinstance(result, wire.RequestFailed):
                done(Outcome.RESET if result.sent else Outcome.UNREACHED, duration, None, ())
                return
            done(self.outcome_of(result), duration, result, self.figures_of(result.headers))

        return self.pool.send(
            place.host, place.port, "POST", target, [*headers, stamp, *self.identity_headers], body, on_answer
        )

    def stamp_answered(self, box, boot, stamp_value, answer):
        """Handles the box's reaction to the stamp of a request: accepted, or refused below the box's version floor."""
        self.owner.audit.stamps.acknowledged(box, boot, stamp_value)
        if FLOOR_HEADER in answer.headers:
            self.owner.fleet.refused_by_box(box, answer.headers)

    def send_stamp(self, box):
        """Informs a box of this manager's current versions when no other order is due."""
        place = self.places.get(box)
        if place is not None:
            self.send_orders(box, place, [], []) if box not in self.orders_in_flight else self.schedule_orders(box)

    def outcome_of(self, answer):
        """Maps an answer to an outcome; unless the box states that the set-up did not run, it may have run."""
        if answer.status == 201 and "location" in answer.headers:
            return None
        if answer.headers.get(RAN_HEADER) == "no":
            return {503: Outcome.FULL, 404: Outcome.LACKING, 421: Outcome.LACKING}.get(answer.status, Outcome.MOOT)
        return Outcome.ERROR

    def figures_of(self, headers):
        figures = load.decode(headers.get(load.FIELD))
        return [(kind, figures[name]) for name, kind in self.note_kinds.items() if name in figures]

    def session_started(self, box, key, viewing_id, boot, epoch=0):
        self.sessions.setdefault(box, {})[key] = viewing_id
        self.session_boots[key] = boot
        watch = self.watch_of(box)
        if boot is not None and watch.state is StreamState.UP and watch.boot != boot:
            # Either this session or the stream belongs to an earlier boot of the box; only a new stream can tell which.
            self.close_stream(box)
            self.ensure_stream(box)
        if epoch:
            self.epochs[key] = epoch

    def forget_session(self, box, key):
        """Forgets a session that ended or that is being ended."""
        self.session_boots.pop(key, None)
        if key not in self.pending_releases.release_keys(box):
            self.epochs.pop(key, None)
        sessions = self.sessions.get(box)
        if sessions is not None:
            sessions.pop(key, None)
            if not sessions:
                del self.sessions[box]

    def forget_box(self, box):
        """Forgets a box without a running process: no release is pending there any more."""
        for key in list(self.pending_releases.release_keys(box)):
            self.release_settled(box, key)
        self.pending_releases.drop_box(box)

    def release_settled(self, box, key):
        """Drops the pending release of a session that no longer plays at the box for this manager."""
        self.pending_releases.discard(box, key)
        self.owner.ended_at_box(key)

    # Orders

    def end(self, box, key):
        self.pending_releases.add_release(box, key, now())
        self.forget_session(box, key)
        self.owner.members.ended_before_grant(key)
        self.schedule_orders(box)

    def set_rung(self, box, key, rung):
        self.pending_releases.set_rung(box, key, rung)
        self.schedule_orders(box)

    def schedule_orders(self, box, delay_s=ORDER_BATCH_DELAY_S):
        """Schedules a batch of orders; the delay keeps the number of requests low when many clients leave at once."""
        if box not in self.order_timers:
            self.order_timers[box] = asyncio.get_running_loop().call_later(delay_s, self.flush_orders, box)

    def flush_orders(self, box):
        self.order_timers.pop(box, None)
        time_now, ready_at = now(), self.pending_releases.ready_at(box)
        if ready_at is None:
            return
        place = self.places.get(box)
        if place is None:
            if not self.sessions_at(box):
                self.forget_box(box)
        elif ready_at > time_now:
            self.schedule_orders(box, (ready_at - time_now) / 10_000 + 0.001)
        else:
            self.send_orders(box, place, *self.pending_releases.next_batch(box, time_now))

    def send_orders(self, box, place, ends, rungs):
        audit, stamp = self.owner.audit, self.owner.audit.stamp_header(box, place.boot)
        for kind, keys in (("end", ends), ("rung", rungs)):
            for key in keys:
                audit.record(kind, key, box)

        def on_answer(result):
            self.orders_in_flight.pop(box, None)
            if isinstance(result, wire.Response):
                self.stamp_answered(box, place.boot, stamp[1], result)
            accepted = isinstance(result, wire.Response) and result.status == 200
            self.pending_releases.batch_done(box, accepted, now())
            if accepted:
                self.handle_fenced(box, result.body)
                for key in ends:
                    if key not in self.pending_releases.release_keys(box):
                        self.epochs.pop(key, None)
                        self.owner.ended_at_box(key)
            self.schedule_orders(box)

        self.orders_in_flight[box] = self.pool.send(
            place.host,
            place.port,
            "POST",
            "/manager/orders",
            [("Content-Type", "application/json"), stamp, *self.identity_headers],
            msgspec.json.encode(
                {
                    "end": ends,
                    "rungs": rungs,
                    "epochs": {key: self.epochs[key] for key in (*ends, *rungs) if key in self.epochs},
                }
            ),
            on_answer,
            ORDER_TIMEOUT_S,
        )

    def handle_fenced(self, box, body):
        """Drops the sessions that the box refused to change because another manager has claimed them."""
        try:
            keys = msgspec.json.decode(body, type=OrdersAnswer).fenced
        except msgspec.MsgspecError:
            return
        for key in keys:
            id = self.sessions_at(box).get(key)
            self.release_settled(box, key)
            if id is not None:
                self.forget_session(box, key)
                self.log.info("fenced", viewing=id, box=box)
                self.owner.session_ended(id, Outcome.OK)

    # Notes

    def ensure_stream(self, box):
        """Opens a stream to a box that is in use, unless it is open or the box is not listed."""
        watch, place = self.watch_of(box), self.places.get(box)
        if place is None or not watch.should_open(now()):
            return
        watch.opening(self.sessions_at(box))
        self.streams[box] = stream = wire.EventStream(
            place.host,
            place.port,
            "/manager/notes",
            self.identity_headers,
            lambda: None,
            lambda event: self.handle_event(box, event),
            lambda refused, detail: self.stream_closed(box, refused, detail),
        )
        stream.start(self.dial_s)

    def stream_closed(self, box, refused, detail):
        self.streams.pop(box, None)
        watch = self.watch_of(box)
        lost = watch.closed(refused, self.sessions_at(box), now())
        self.log.info("stream closed", box=box, refused=refused, detail=detail, lost=len(lost))
        self.lose_sessions(
            box, lost, "its process is not running" if refused else "its stream ended and the list says gone"
        )
        if box in self.places:
            asyncio.get_running_loop().call_later(
                max(0.0, (watch.retry_at - now()) / 10_000) + 0.001, self.ensure_stream, box
            )

    def close_stream(self, box):
        if stream := self.streams.pop(box, None):
            stream.cancel()
        if box in self.watches:
            self.watches[box].state = StreamState.OFF

    def handle_event(self, box, event):
        try:
            if event.name == "note":
                note = msgspec.json.decode(event.data, type=NoteEvent)
            elif event.name == "over":
                over = msgspec.json.decode(event.data, type=OverEvent)
            elif event.name == "hello":
                hello = msgspec.json.decode(event.data, type=HelloEvent)
            else:
                return
        except msgspec.MsgspecError as error:
            self.log.warning("note unreadable", box=box, detail=str(error)[:200])
            return
        if event.name == "hello":
            keys = self.sessions_at(box)
            lost = self.watch_of(box).hello(
                hello.boot, set(hello.keys), {key: self.session_boots.get(key) for key in keys}
            )
            self.lose_sessions(box, lost, "the box does not know the session")
            unknown = [key for key in hello.keys if key not in keys and not self.owner.is_pending(key)]
            self.owner.unknown_sessions(box, unknown)  # sessions that carry this manager's name and are not known here
            return
        if event.name == "over":
            id = self.sessions_at(box).get(over.key)
            self.release_settled(box, over.key)
            if id is None:
                self.owner.ended_before_answer(over.key)
            else:
                self.forget_session(box, over.key)
                self.owner.session_ended(id, Outcome.RESET if over.how == "lost" else Outcome.OK, over.to)
            return
        id = self.sessions_at(box).get(note.key)
        if id is None:
            return
        if note.delivered is not None:
            self.owner.box_note(id, NoteKind.DELIVERED, note.delivered)
        if note.link is not None:
            self.owner.box_note(id, NoteKind.LINK, note.link)
        if note.uplink is not None and NoteKind.UPLINK in self.note_kinds.values():
            self.owner.box_note(id, NoteKind.UPLINK, note.uplink)

    def lose_sessions(self, box, keys, reason):
        for key in list(keys):
            id = self.sessions_at(box).get(key)
            if id is not None:
                self.forget_session(box, key)
                self.log.info("viewing lost", viewing=id, box=box, why=reason)
                self.owner.session_ended(id, Outcome.RESET)

    async def close(self):
        for timer in self.order_timers.values():
            timer.cancel()
        for box in list(self.streams):
            self.close_stream(box)
        await self.pool.close()
