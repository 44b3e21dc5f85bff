"""HTTP server of a media box: WHIP and WHEP with SDP answers, load notes to managers, faults by command.

Paths: /whep/TITLE, /whip/TITLE, /session/NAME, /media/UFRAG (the stand-in's media: one line per second),
/manager/notes (server-sent events), /manager/orders (session ends and rungs), and further /manager/ paths, see
handle_manager. Requests and answers are recorded as the socket receives and sends them.
"""

import asyncio
import hashlib
import json
import secrets
import socket

import msgspec

from ..audit import stamp
from ..http1 import sse
from ..http1.server import Limits
from ..lab.records import Recorder
from ..leases.fence import Fence
from ..recovery.key_registry import SetupFence
from ..serve.clock import now
from ..serve.server import Server
from ..signalling import endpoint, load, sdp
from ..store.latest import LatestRecord
from ..versions.floor import FloorBook, VersionId

HEARTBEAT_S = 0.1  # interval of heartbeats to the box list, in seconds
BELOW_FLOOR = 412, "Under the floor", "what this manager goes by is too old"
MAX_UNDELIVERED = 1_000  # "over" events kept per manager's life, and managers' lives for which any are kept
FENCE_REFUSALS = {410: "Taken up by another manager", 421: "Meant for another start of this box"}
MAX_STAMPS = 2_000  # whole stamps kept, so that later requests may refer to them by number
PROBLEM_TYPE = ("Content-Type", "application/problem+json")


class Orders(msgspec.Struct):
    """Body of /manager/orders."""

    end: list[str] = []
    rungs: dict[str, int] = {}
    epochs: dict[str, int] = {}  # epoch by session key, for sessions that the manager took over


class FenceRequest(msgspec.Struct):
    """Body of /manager/tries: the digest of a client's key."""

    mark: str


class Claims(msgspec.Struct):
    """Body of /manager/adopt."""

    claims: dict[str, int]  # new epoch by session key


class BoxServer:
    """The HTTP server of one box, with its heartbeats, catalogue watch, leases of managers and version floor."""

    def __init__(
        self,
        box,
        site_row,
        list_address=None,
        record=None,
        token=None,
        catalogue=None,
        log=None,
        files=None,
        lease_files=None,
    ):
        """site_row: four times in tenths of a millisecond: the interval and the delay of notes, the lease after which
        a disconnected manager's sessions end, and the time without media after which a session ends.

        files, lease_files: storage of the version floor and of the lease fence. Raises StoreError or ValueError where
        these can't be read.
        """
        self.box, self.note_interval, self.note_delay, self.lease, self.media_timeout = box, *site_row
        self.server = Server(self.handle, Limits(16384, 64, 2048, 65536), max_connections=100_000)
        self.record, self.token = record or Recorder(), token
        self.floor_store = LatestRecord(files, 50) if files is not None else None
        self.lease_store = LatestRecord(lease_files, 50) if lease_files is not None else None
        self.lease_fence = Fence(self.lease_store and self.lease_store.kept)
        self.setup_fence = SetupFence(box.boot)
        self.floor_book, self.stamp_versions = FloorBook(self.floor_store and self.floor_store.kept), {}
        self.streams, self.timers, self.media_by_ufrag, self.key_by_name, self.was_short = {}, set(), {}, {}, {}
        self.undelivered = {}  # (manager, life): "over" events that wait for its next stream
        # stream_life: manager -> life of its current stream. stream_ended_at: (manager, life) -> start of its lease.
        self.stream_life, self.stream_ended_at = {}, {}
        self.udp, self.loop, self.address = None, None, None
        self.list_address = list_address
        self.catalogue = None
        if catalogue:
            from ..catalogued.watch import CatalogueWatch  # imported here as gRPC is slow to load and few boxes use it

            self.catalogue = CatalogueWatch(catalogue, f"box-{box.place.id}", "box", self.titles_changed, log)
            box.catalogue_rows = {}  # the box holds no title until the catalogue says so
        fingerprint = hashlib.sha256(f"{box.seed}:{box.place.id}".encode()).digest()
        self.fingerprint = ":".join(f"{byte:02X}" for byte in fingerprint)

    async def start(self, host="127.0.0.1", port=0):
        """Listens, and starts heartbeats, the catalogue watch and notes. Returns the address."""
        self.loop = asyncio.get_running_loop()
        self.address = await self.server.listen(host, port)
        if self.list_address:
            list_host, _, list_port = self.list_address.rpartition(":")
            self.udp, _ = await self.loop.create_datagram_endpoint(
                lambda: HeartbeatProtocol(self), remote_addr=(list_host, int(list_port)), family=socket.AF_INET
            )
            self.send_heartbeat()
        if self.catalogue:
            self.catalogue.start()
        if self.note_interval:
            self.call_later(self.note_interval, self.send_notes)
        self.call_later(10_000, self.send_shortage)
        self.record.put(
            "start",
            box=self.box.place.id,
            boot=self.box.boot,
            cell=self.box.place.cell,
            slots=self.box.place.slots,
            up=now() - self.box.started_at,
        )
        self.record_floor()
        return self.address

    def call_later(self, tenths, act, *args):
        """Schedules a call that is cancelled when the box is killed."""

        def run():
            self.timers.discard(handle)
            act(*args)

        handle = self.loop.call_later(max(0, tenths) / 10_000, run)
        self.timers.add(handle)
        return handle

    def send_heartbeat(self):
        """Sends the box's entry and its uplink demand to the box list, and schedules the next heartbeat."""
        box, place = self.box, self.box.place
        self.udp.sendto(
            json.dumps(
                {
                    "id": place.id,
                    "address": "%s:%d" % self.address,
                    "kind": place.kind,
                    "cell": place.cell,
                    "zone": place.zone,
                    "weight": place.weight,
                    "boot": box.boot,
                    "up_ms": (now() - box.started_at) / 10,
                    "state": "draining" if box.trouble.drain else "ready",
                    "rack": place.rack,
                    "kb": 0.0 if box.crashed else box.demand_kb(),
                }
            ).encode()
        )
        self.call_later(round(HEARTBEAT_S * 10_000), self.send_heartbeat)

    # Requests

    def handle(self, exchange):
        """Dispatches a request by its path."""
        try:
            segments, args = endpoint.split_target(exchange.request.target)
            if self.token and segments[0] != "media":
                endpoint.check_token(exchange.request.headers, [self.token])
            if segments[0] == "manager" and len(segments) == 2:
                self.handle_manager(exchange, segments[1])
            elif segments[0] == "media" and len(segments) == 2:
                self.handle_media(exchange, segments[1])
            else:
                message = endpoint.parse_request(exchange.request, segments, args)
                if isinstance(message, endpoint.Offer):
                    self.handle_offer(exchange, message)
                elif isinstance(message, endpoint.Patch):
                    self.handle_patch(exchange, message)
                elif isinstance(message, endpoint.Delete):
                    self.handle_delete(exchange, message)
                else:
                    exchange.respond(204, endpoint.options_headers(message))
        except endpoint.Refusal as refusal:
            exchange.respond(refusal.status, [PROBLEM_TYPE, ("Flaxscale-Ran", "no"), *refusal.headers], refusal.body())

    def handle_offer(self, exchange, offer):
        """Sets up a session for a WHIP or WHEP offer, subject to the injected faults."""
        box, trouble, headers = self.box, self.box.trouble, exchange.request.headers
        key = offer.key or f"direct.{secrets.token_hex(6)}"
        manager, rung = headers.get("flaxscale-manager", ""), headers.get("flaxscale-rung", "0")
        rung = int(rung) if rung.isascii() and rung.isdigit() else -1
        time = now()
        stamp_fields = self.read_stamp(exchange, manager)
        self.record.put(
            "setup",
            key=key,
            trace=offer.trace,
            manager=manager,
            title=offer.title,
            package=self.package_of(offer),
            rung=rung,
            sends=offer.sends,
            **stamp_fields,
        )
        exchange.on_disconnect = lambda: self.record.put("closed", key=key)
        if trouble.hang:
            return  # accepted and never answered
        if trouble.reset_before and box.chance() < trouble.reset_before:
            exchange.abort()
            self.record.put("closed", key=key)
            return
        if floor_headers := self.floor_refusal_headers(manager, stamp_fields):
            self.refuse_not_run(exchange, key, *BELOW_FLOOR, floor_headers)
            return
        digest, offer_digest, intended_boot = (*headers.get("flaxscale-try", "").split(";"), "", "")[:3]
        if digest and (status := self.setup_fence.refusal_status(digest, manager, intended_boot)):
            self.refuse_not_run(exchange, key, status, FENCE_REFUSALS[status], "")
            return
        result, session = box.set_up(key, offer.title, offer.sends, manager, rung, time)
        if result.status == 0:
            self.record.put("fell", box=box.place.id, boot=box.boot)
            self.die()
            return
        if session is not None:
            self.record.put("begun", key=key)
            self.assign_credentials(session, offer)
            session.cookie = headers.get("flaxscale-cookie", "")[:2000]
            session.life = self.manager_life(exchange)
            if digest:
                session.digest, session.offer_digest = digest, offer_digest
                self.setup_fence.started(digest, key)
            if manager:
                self.ensure_lease(manager, session.life)
        fault = next(
            (
                name
                for name in ("answer_lost", "reset_after", "half")
                if session is not None and getattr(trouble, name) and box.chance() < getattr(trouble, name)
            ),
            None,
        )
        patience_ms = headers.get("flaxscale-patience", "")
        deadline = time + int(patience_ms) * 10 if patience_ms.isascii() and patience_ms.isdigit() else None
        if session is not None and deadline is not None and time + result.after > deadline:
            # The header is a duration, not a clock time. The set-up would finish after it, so it is given up then.
            self.call_later(deadline - time, self.patience_expired, exchange, key)
            return
        self.call_later(result.after, self.send_answer, exchange, offer, key, result, session, fault)

    def package_of(self, offer):
        """Returns the package of the offer's title, whether or not the box holds the title now."""
        if self.box.catalogue_rows is not None:
            row = self.catalogue.follower.titles.get(offer.title)
            return row and (row.push if offer.sends else row.view)
        row = self.box.site.titles.get(offer.title)
        return row and (row[3] if offer.sends else row[2])

    # The catalogue

    def titles_changed(self, titles, version):
        """Applies a change of the catalogue: the box holds what the catalogue says as soon as it receives it."""
        follower = self.catalogue.follower
        titles = titles if titles is not None else follower.titles
        if self.floor_book.set_from_source(str(follower.epoch), follower.floor):
            self.save_floor()
        rows, recorded = {}, {}
        for name, title in titles.items():
            state = dict(title.holders).get(self.box.place.id) if title is not None else None
            if state is None and name not in (self.box.catalogue_rows or {}):
                continue
            rows[name] = None if state is None else (title.view, title.push, state, title.low, title.top)
            recorded[name] = [state or "gone", dict(title.seats) if title is not None else {}]
        for session in self.box.apply_catalogue(rows):
            self.record.put("rung", key=session.key, rung=session.rung)
        self.record.put("holds", version=version, titles=recorded)

    # The version floor

    def save_floor(self):
        """Stores the floor before any request is refused by it, so that it also holds after a restart."""
        if self.floor_store is not None:
            self.floor_store.put(self.floor_book.dump())
        self.record_floor()

    def record_floor(self):
        """Records the floor, where there is one."""
        if self.floor_book.epoch:
            self.record.put(
                "floor", epoch=self.floor_book.epoch, floor=self.floor_book.floor, earlier=self.floor_book.earlier
            )

    def floor_refusal_headers(self, manager, stamp_fields):
        """Returns the refusal's headers where a manager acts under the floor or its version is unknown, else none."""
        if self.box.trouble.unfloored or not manager:
            return []
        number = stamp_fields["stamp"]
        version = self.stamp_versions.get((manager, stamp_fields["life"], number))
        if not self.floor_book.refuses(version):
            return []
        # A stamp number without its stamp: ";unknown" makes the manager send the whole stamp next time.
        unknown = ";unknown" if version is None and number is not None else ""
        return [("Flaxscale-Floor", f"{self.floor_book.epoch};{self.floor_book.floor}{unknown}")]

    def assign_credentials(self, session, offer):
        """Gives a new session its name, ufrag and ETag."""
        if session.name is None:
            session.name, session.ufrag = secrets.token_urlsafe(9), secrets.token_hex(4)
            session.etag = '"%s"' % secrets.token_hex(4)
            self.key_by_name[session.name] = self.register_media(session.ufrag, session.key)

    def register_media(self, ufrag, key):
        """Maps a ufrag to its session's key; returns the key."""
        self.media_by_ufrag[ufrag] = key
        return key

    def send_answer(self, exchange, offer, key, result, session, fault):
        """Answers an offer, or loses the answer in the way that an injected fault names."""
        if self.box.trouble.hang or (session is not None and session.key not in self.box.sessions):
            if exchange.answered or self.box.trouble.hang:
                return
            self.record.put("answer", key=key, status=410, ran=True)
            exchange.refuse(410, "It was ended while it was set up", "", [("Flaxscale-Ran", "yes")])
            return
        if session is not None:
            host, port = self.address
            body = sdp.answer(
                offer.media,
                offer.sends,
                session.ufrag,
                secrets.token_urlsafe(18).replace("-", "+").replace("_", "/"),
                self.fingerprint,
                f"1 1 tcp 2130706431 {host} {port} typ host tcptype passive",
            )
            session.reply = session.etag, body
        if fault == "answer_lost":
            self.record.put("lost", key=key)
            return
        if fault == "reset_after":
            self.record.put("lost", key=key)
            exchange.abort()
            self.record.put("closed", key=key)
            return
        load_headers = [self.load_header()] if self.box.site.reports == "answers" else []
        headers = [*load_headers, ("Flaxscale-Ran", "yes" if result.ran else "no"), ("Flaxscale-Boot", self.box.boot)]
        if session is None:
            self.record.put("answer", key=key, status=result.status, ran=result.ran)
            exchange.refuse(result.status, endpoint.PROBLEM_TITLES.get(result.status, "Refused"), result.why, headers)
            return
        headers += [
            ("Content-Type", endpoint.SDP),
            ("Location", f"/session/{session.name}"),
            ("ETag", session.etag),
            ("Accept-Patch", endpoint.FRAGMENT),
        ]
        if fault == "half":
            self.record.put("lost", key=key)
            # The response never completes; exchange.gone still reports its closing.
            exchange.answered = exchange.streams = True
            exchange.connection.write(
                b"HTTP/1.1 201 Created\r\nLocation: /session/%s\r\nContent-Length: %d\r\n\r\n%s"
                % (session.name.encode(), len(body), body[: len(body) // 2])
            )
            return
        self.record.put("answer", key=key, status=201, ran=True, ufrag=session.ufrag)
        exchange.on_disconnect = None
        exchange.respond(201, headers, body)

    def patience_expired(self, exchange, key):
        """Gives up a set-up that did not finish within its patience; it never ran."""
        if key not in self.box.sessions or self.box.trouble.hang:
            return
        self.end_session(key, "over time", tell=False)
        self.refuse_not_run(exchange, key, 504, "Its time is over", "not set up within its patience")

    def refuse_not_run(self, exchange, key, status, title, detail, more=()):
        """Refuses a set-up with the guarantee that it has not run and will not run."""
        self.record.put("answer", key=key, status=status, ran=False)
        exchange.on_disconnect = None
        exchange.refuse(status, title, detail, [*more, ("Flaxscale-Ran", "no"), ("Flaxscale-Boot", self.box.boot)])

    def find_session(self, name):
        """Returns the session of a resource name; raises a 404 refusal where there is none."""
        session = self.box.sessions.get(self.key_by_name.get(name))
        if session is None:
            raise endpoint.Refusal(404, "no such session here")
        return session

    def handle_patch(self, exchange, message):
        """Handles trickled candidates and ICE restarts."""
        if self.box.trouble.hang:
            return
        session, fragment = self.find_session(message.name), message.fragment
        if message.match != "*" and session.etag not in [tag.strip() for tag in message.match.split(",")]:
            raise endpoint.Refusal(412, "the ETag is not the session's", [("ETag", session.etag)])
        if message.match == "*":  # an ICE restart (RFC 9725, 4.3.3): new credentials, a new ETag
            if not fragment.pwd:
                raise endpoint.Refusal(422, "an ICE restart needs a new ufrag and password")
            self.media_by_ufrag.pop(session.ufrag, None)
            session.ufrag, session.etag = secrets.token_hex(4), '"%s"' % secrets.token_hex(4)
            self.register_media(session.ufrag, session.key)
            host, port = self.address
            body = (
                f"a=ice-ufrag:{session.ufrag}\r\na=ice-pwd:{secrets.token_hex(12)}\r\n"
                f"a=candidate:1 1 tcp 2130706431 {host} {port} typ host tcptype passive\r\n"
                "a=end-of-candidates\r\n"
            ).encode()
            exchange.respond(200, [("Content-Type", endpoint.FRAGMENT), ("ETag", session.etag)], body)
            return
        exchange.respond(204, [("ETag", session.etag)])

    def handle_delete(self, exchange, message):
        """Ends a session at its client's request."""
        session = self.find_session(message.name)
        self.end_session(session.key, "left")
        exchange.respond(200)

    def end_session(self, key, how, tell=True):
        """Ends a session; tell: its manager is notified, as it did not order the end itself. False: no such session."""
        session = self.box.end(key, now())
        if session is None:
            return False
        self.key_by_name.pop(session.name, None)
        self.setup_fence.ended(session.digest, key)
        if session.ufrag is not None:
            entry = self.media_by_ufrag.pop(session.ufrag, None)
            if isinstance(entry, tuple):
                entry[1].end()
        self.record.put("over", key=key, how=how)
        if tell:
            self.notify_session_over(session.manager, session.life, key, how)
        return True

    def notify_session_over(self, manager, life, key, how, to=""):
        """Sends the manager an "over" event: now, or as soon as it opens its next stream."""
        row = json.dumps({"key": key, "how": how, "to": to})
        if self.has_stream(manager, life):
            self.streams[manager].send(sse.encode("over", row))
        else:
            undelivered = self.undelivered.setdefault((manager, life), [])
            undelivered.append(row)
            del undelivered[:-MAX_UNDELIVERED]
            while len(self.undelivered) > MAX_UNDELIVERED:
                del self.undelivered[next(iter(self.undelivered))]

    # Media

    def handle_media(self, exchange, ufrag):
        """Streams the media of a session to its player."""
        key = self.media_by_ufrag.get(ufrag)
        key = key[0] if isinstance(key, tuple) else key
        if key not in self.box.sessions:
            raise endpoint.Refusal(404, "no such media here")
        self.media_by_ufrag[ufrag] = key, exchange
        self.box.sessions[key].media_requested = True
        exchange.stream([("Content-Type", "text/plain")])
        exchange.on_disconnect = lambda: self.media_closed(ufrag, key)
        self.send_media(exchange, key)

    def media_closed(self, ufrag, key):
        """Ends the session whose media connection closed, as consent has ended (RFC 7675)."""
        if key in self.box.sessions and not self.box.trouble.hang:
            self.end_session(key, "left")

    def send_media(self, exchange, key):
        """Sends one line of media per second: the rung and the delivered share."""
        session = self.box.sessions.get(key)
        if session is None or not exchange.streams:
            return
        if not self.box.trouble.hang:
            session.last_media_at = now()
            exchange.send(b"%d %.3f\n" % (session.rung, self.box.delivered_share(now())))
        self.call_later(10_000, self.send_media, exchange, key)

    # Managers

    def handle_manager(self, exchange, path):
        """Dispatches a manager's request."""
        request, name = exchange.request, exchange.request.headers.get("flaxscale-manager", "")
        handler = {
            ("notes", "GET"): self.open_note_stream,
            ("orders", "POST"): self.handle_orders,
            ("sessions", "GET"): self.handle_sessions,
            ("adopt", "POST"): self.handle_claims,
            ("load", "GET"): self.handle_probe,
            ("tries", "POST"): self.handle_try_fence,
        }.get((path, request.method))
        if handler is None or (not name and path in ("notes", "adopt", "tries")):
            raise endpoint.Refusal(
                404,
                "the paths are /manager/notes, /manager/load and /manager/sessions (GET), "
                "/manager/orders and /manager/adopt (POST)",
            )
        handler(exchange, name)

    def open_note_stream(self, exchange, name):
        """Opens a manager's event stream: the sessions under its name, then the "over" events that waited for it."""
        life = self.manager_life(exchange)
        previous, self.streams[name] = self.streams.get(name), exchange
        if previous is not None:
            previous.end()
        previous_life = self.stream_life.get(name, life)
        # The previous life's stream was still open: its lease begins now.
        if previous_life != life and (name, previous_life) not in self.stream_ended_at:
            self.begin_lease(name, previous_life)
        self.stream_life[name] = life
        self.stream_ended_at.pop((name, life), None)
        exchange.stream([("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")])
        exchange.on_disconnect = lambda: self.stream_closed(name, life, exchange)
        keys = [key for key, session in self.box.sessions.items() if session.manager == name]
        exchange.send(sse.encode("hello", json.dumps({"boot": self.box.boot, "keys": keys})))
        for row in self.undelivered.pop((name, life), ()):
            exchange.send(sse.encode("over", row))

    def decode_body(self, exchange, kind, what):
        """Decodes a JSON body; raises a 400 refusal where it is malformed."""
        try:
            return msgspec.json.decode(exchange.request.body, type=kind)
        except msgspec.MsgspecError as bad:
            raise endpoint.Refusal(400, f"{what} that can't be read: {bad}") from None

    def respond_json(self, exchange, row):
        """Responds with a JSON object."""
        exchange.respond(200, [("Content-Type", "application/json")], json.dumps(row).encode())

    def handle_orders(self, exchange, name):
        """Carries out a manager's orders, except for sessions that it no longer holds."""
        orders, stamp_fields = self.decode_body(exchange, Orders, "orders"), self.read_stamp(exchange, name)
        fenced = [
            key
            for key in (*orders.end, *orders.rungs)
            if not self.box.fence.accepts(key, orders.epochs.get(key, 0), name)
        ]
        ends = [key for key in orders.end if key not in fenced]
        # Ends are carried out whatever the version, as they do no harm and sessions must end; rungs are refused under
        # the floor.
        floor_headers = self.floor_refusal_headers(name, stamp_fields)
        rungs = {} if floor_headers else orders.rungs
        if ends or rungs:
            self.record.put(
                "ordered",
                keys=[*orders.end, *rungs],
                ends=ends,
                rungs=[key for key in rungs if key not in fenced],
                manager=name,
                **stamp_fields,
            )
        if fenced:
            self.record.put("fenced", manager=name, keys=fenced)
        if self.box.trouble.hang:
            return
        for key in ends:
            if not self.end_session(key, "ended", tell=False):
                self.record.put("unmade", key=key)
        for key, rung in rungs.items():
            if key not in fenced and (set_to := self.box.set_rung(key, rung)) is not None:
                self.record.put("rung", key=key, rung=set_to)
        exchange.respond(
            200, [("Content-Type", "application/json"), *floor_headers], json.dumps({"fenced": fenced}).encode()
        )

    def load_header(self):
        """Returns the header with the box's load."""
        return load.FIELD, load.encode(self.box.load_figures(now()))

    def handle_probe(self, exchange, name):
        """Answers a probe independently of set-ups: it shows that the process runs and how loaded it is."""
        self.record.put("probed", manager=name)
        if not self.box.trouble.hang:
            exchange.respond(200, [self.load_header()], b"")

    def handle_sessions(self, exchange, name):
        """Lists the sessions, all or those of one owner (query argument "of")."""
        _, args = endpoint.split_target(exchange.request.target)
        if not self.box.trouble.hang:
            rows = [self.session_row(session) for session in self.box.sessions.values() if session.name]
            self.respond_json(
                exchange,
                {
                    "boot": self.box.boot,
                    "sessions": [row for row in rows if "of" not in args or row["owner"] == args["of"]],
                },
            )

    def session_row(self, session):
        """Returns a session as managers receive it."""
        owner, epoch = session.manager, self.box.fence.epoch(session.key)
        if self.box.trouble.unfenced:  # a box that lost its fence: owner and epoch as at the set-up
            owner, epoch = session.key.partition(".")[0], 0
        return {
            "key": session.key,
            "owner": owner,
            "epoch": epoch,
            "rung": session.rung,
            "location": f"/session/{session.name}",
            "media": session.media_requested,
            "age_ms": (now() - session.started_at) / 10,
            "cookie": session.cookie,
        }

    def handle_claims(self, exchange, name):
        """Grants a manager's claims to sessions, where its version and lease allow it."""
        claims = self.decode_body(exchange, Claims, "claims").claims
        if not self.box.trouble.hang:
            life, stamp_fields = self.manager_life(exchange), self.read_stamp(exchange, name)
            if floor_headers := self.floor_refusal_headers(name, stamp_fields):
                exchange.refuse(*BELOW_FLOOR, floor_headers)
                return
            if not self.check_lease(exchange):
                return
            self.respond_json(
                exchange,
                {
                    "granted": [
                        key for key, epoch in claims.items() if self.grant_claim(key, epoch, name, life, stamp_fields)
                    ]
                },
            )

    def check_lease(self, exchange):
        """Refuses a request whose lease is older than the newest one seen; returns whether it may go on."""
        field = exchange.request.headers.get("flaxscale-lease")
        if field is None:
            return True
        piece, _, rest = field.partition(";")
        token, _, owner = rest.partition(";")
        if not token.isdecimal() or not owner:
            raise endpoint.Refusal(400, "a lease is told as piece;token;owner")
        row = {"piece": piece[:100], "owner": owner[:100], "token": int(token)}
        if not self.box.trouble.unfenced and not self.lease_fence.accepts(piece[:100], int(token), owner[:100]):
            known = self.lease_fence.token(piece[:100])
            self.record.put("lease", did="refused", **row)
            exchange.refuse(409, "An outdated lease", "", [("Flaxscale-Outdated", str(known))])
            return False
        if self.lease_store is not None:
            self.lease_store.put(self.lease_fence.dump())
        self.record.put("lease", did="act", **row)
        return True

    def handle_try_fence(self, exchange, name):
        """Fences a client's earlier attempt for a manager that takes it over.

        A session that exists is returned; a set-up that has not arrived yet can no longer begin.
        """
        digest = self.decode_body(exchange, FenceRequest, "a mark").mark
        if self.box.trouble.hang:
            return
        session = self.box.sessions.get(self.setup_fence.fence(digest, name, now()))
        self.record.put("try", mark=digest, manager=name, key=session and session.key)
        if session is None or session.reply is None:
            self.respond_json(exchange, {"boot": self.box.boot, "out": session is not None})
            return
        etag, body = session.reply
        self.respond_json(
            exchange,
            {
                "boot": self.box.boot,
                "stood": {
                    **self.session_row(session),
                    "print": session.offer_digest,
                    "etag": etag,
                    "body": body.decode(),
                },
            },
        )

    def manager_life(self, exchange):
        """Returns the life of the manager that sent the request."""
        return exchange.request.headers.get("flaxscale-life", "")

    def read_stamp(self, exchange, manager):
        """Returns the manager's life and stamp number as record fields; a whole stamp gets a row of its own."""
        life, field = self.manager_life(exchange), exchange.request.headers.get("flaxscale-stamp")
        try:
            number, whole = stamp.parse(field) if field is not None else (None, None)
        except ValueError as bad:
            self.record.put("bad stamp", manager=manager, life=life, detail=str(bad))
            return {"life": life, "stamp": None}
        if whole is not None:
            self.record.put("stamp", manager=manager, life=life, number=number, stamp=msgspec.structs.asdict(whole))
            version = VersionId(*whole.catalogue) if whole.catalogue is not None else None
            self.stamp_versions[manager, life, number] = version
            if len(self.stamp_versions) > MAX_STAMPS:
                del self.stamp_versions[next(iter(self.stamp_versions))]
            if version is not None and self.floor_book.raise_from_peer(version.epoch, whole.floor):
                self.save_floor()
        return {"life": life, "stamp": number}

    def grant_claim(self, key, epoch, name, life="", stamp_fields=None):
        """Decides on one claim; notifies the previous holder where the session went to another manager."""
        held = self.box.sessions.get(key)
        previous_life = held.life if held is not None else ""
        granted, previous = self.box.adopt(key, epoch, name, life)
        if granted:
            self.record.put("adopted", key=key, manager=name, epoch=epoch, **(stamp_fields or {}))
            self.ensure_lease(name, life)
            if previous != name:
                self.notify_session_over(previous, previous_life, key, "moved", name)
        return granted

    def stream_closed(self, name, life, exchange):
        """Begins the lease of a manager whose current stream closed."""
        if self.streams.get(name) is exchange:
            del self.streams[name]
            self.begin_lease(name, life)

    def ensure_lease(self, name, life):
        """Begins the lease of a manager's life that has sessions here but neither a stream nor a running lease."""
        if (name, life) not in self.stream_ended_at and not self.has_stream(name, life):
            self.begin_lease(name, life)

    def has_stream(self, name, life):
        """Returns whether this life of the manager has an open stream."""
        return name in self.streams and self.stream_life.get(name) == life

    def begin_lease(self, name, life):
        """Starts the time after which this life's sessions end unless it returns."""
        self.stream_ended_at[name, life] = now()
        self.call_later(self.lease, self.lease_expired, name, life)

    def lease_expired(self, name, life):
        """Ends the unclaimed sessions of a manager's life that did not return within the lease."""
        if self.has_stream(name, life) or now() - self.stream_ended_at.get((name, life), now()) < self.lease:
            return
        del self.stream_ended_at[name, life]
        for key in [
            key for key, session in self.box.sessions.items() if session.manager == name and session.life == life
        ]:
            self.end_session(key, "lease", tell=False)

    def one_session_per_manager(self):
        """Returns {manager: key of one of its sessions here}; notes name that session."""
        keys = {}
        for key, session in self.box.sessions.items():
            keys.setdefault(session.manager, key)
        return keys

    def send_note(self, manager, note):
        """Sends a note on the manager's stream, if it has one."""
        if manager in self.streams and not self.box.trouble.hang:
            self.streams[manager].send(sse.encode("note", json.dumps(note)))

    def send_notes(self):
        """Sends link and uplink load to all managers at once, with the delay of the site's settings."""
        figures, late = self.box.load_figures(now()), self.note_delay + self.box.trouble.report_late
        for manager, key in self.one_session_per_manager().items():
            self.call_later(late, self.send_note, manager, {"key": key, "link": figures["x0"], "uplink": figures["x1"]})
        self.call_later(self.note_interval, self.send_notes)

    def send_shortage(self):
        """Reports the delivered share once per second while it is below 0.98, and once after it has recovered."""
        share = self.box.delivered_share(now())
        for manager, key in self.one_session_per_manager().items():
            was_short, self.was_short[manager] = self.was_short.get(manager, False), share < 0.98
            if share < 0.98 or was_short:
                self.call_later(self.note_delay, self.send_note, manager, {"key": key, "delivered": share})
        self.end_idle_sessions()
        self.call_later(10_000, self.send_shortage)

    def end_idle_sessions(self):
        """Ends sessions without media for media_timeout: consent has expired (RFC 7675, 5.1) or was never given."""
        time = now()
        for key in (
            []
            if self.box.trouble.hang
            else [
                key for key, session in self.box.sessions.items() if time - session.last_media_at >= self.media_timeout
            ]
        ):
            self.end_session(key, "no media")

    # Faults and shutdown

    def command(self, row):
        """Sets a fault: {"trouble": name, "value": number}."""
        self.box.trouble.set(row["trouble"], row["value"])
        self.record.put("trouble", box=self.box.place.id, name=row["trouble"], value=row["value"])

    def die(self):
        """Stops like a killed process: every socket closes at once."""
        self.record.put("dead", box=self.box.place.id, boot=self.box.boot)
        for timer in list(self.timers):
            timer.cancel()
        self.timers.clear()
        if self.catalogue and self.catalogue.task:
            self.catalogue.task.cancel()
        self.server.stop_listening()
        if self.server.sweeper:
            self.server.sweeper.cancel()
        self.server.abort_all()
        if self.udp is not None:
            self.udp.close()


class HeartbeatProtocol(asyncio.DatagramProtocol):
    """Receives the box list's answers to heartbeats."""

    def __init__(self, owner):
        self.owner = owner

    def datagram_received(self, data, addr):
        answer = json.loads(data)
        self.owner.box.other_rack_kb = answer["others"]
        self.owner.box.uplink_kb = answer["uplink"]

    def error_received(self, error):
        pass  # the list can't be reached; the box keeps the last figures
