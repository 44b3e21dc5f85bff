"""A media box on a socket: WHIP and WHEP with its own SDP, notes to its managers, troubles by command.

Paths: /whep/TITLE, /whip/TITLE, /session/NAME, /media/UFRAG (the stand-in's media: a line a second),
/manager/notes (server-sent events), /manager/orders (ends and rungs). What passes is recorded at the socket.
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
from ..store.latest import Latest
from ..versions.floor import At, FloorBook

HEARTBEAT_S = 0.1  # to the box list: that it runs, and what it asks of the rack's uplink
BELOW_FLOOR = 412, "Under the floor", "what this manager goes by is too old"
MAX_UNDELIVERED = 1_000  # overs that a manager is told later, and managers' lives of which any are kept
FENCE_REFUSALS = {410: "Taken up by another manager", 421: "Meant for another start of this box"}
MAX_STAMPS = 2_000  # that are known by their numbers
PROBLEM_TYPE = ("Content-Type", "application/problem+json")


class Orders(msgspec.Struct):
    end: list[str] = []
    rungs: dict[str, int] = {}
    epochs: dict[str, int] = {}  # under which the manager holds a session, where it took it over


class FenceRequest(msgspec.Struct):
    mark: str


class Claims(msgspec.Struct):
    claims: dict[str, int]  # key: the new epoch


class BoxServer:
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
        """site_row gives note_every and note_lag (tenths); lease: sessions end so long after their manager; and
        media: they end so long after their media last flowed.

        files, lease_files: where its floor and its fence of leases are kept. StoreError, ValueError: can't be read.
        """
        self.box, self.note_interval, self.note_delay, self.lease, self.media_timeout = box, *site_row
        self.server = Server(self.handle, Limits(16384, 64, 2048, 65536), most=100_000)
        self.record, self.token = record or Recorder(), token
        self.floor_store = Latest(files, 50) if files is not None else None
        self.lease_store = Latest(lease_files, 50) if lease_files is not None else None
        self.lease_fence = Fence(self.lease_store and self.lease_store.kept)
        self.setup_fence = SetupFence(box.boot)
        self.floor_book, self.stamp_versions = FloorBook(self.floor_store and self.floor_store.kept), {}
        self.streams, self.timers, self.media_by_ufrag, self.key_by_name, self.was_short = {}, set(), {}, {}, {}
        self.undelivered = {}  # (manager, life): what it could not be told, as it had no stream
        self.stream_life, self.stream_ended_at = (
            {},
            {},
        )  # manager: the life whose stream this is; (manager, life): its end
        self.udp, self.loop, self.address = None, None, None
        self.list_address = list_address
        self.catalogue = None
        if catalogue:
            from ..catalogued.watch import CatalogueWatch  # gRPC is slow to load and most boxes need none

            self.catalogue = CatalogueWatch(catalogue, f"box-{box.place.id}", "box", self.titles_changed, log)
            box.catalogue_rows = {}  # it holds nothing until it is told
        fingerprint = hashlib.sha256(f"{box.seed}:{box.place.id}".encode()).digest()
        self.fingerprint = ":".join(f"{b:02X}" for b in fingerprint)

    async def start(self, host="127.0.0.1", port=0):
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
        """A timer that dies with the box."""

        def run():
            self.timers.discard(handle)
            act(*args)

        handle = self.loop.call_later(max(0, tenths) / 10_000, run)
        self.timers.add(handle)
        return handle

    def send_heartbeat(self):
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
        try:
            segments, args = endpoint.split(exchange.request.target)
            if self.token and segments[0] != "media":
                endpoint.check_token(exchange.request.headers, [self.token])
            if segments[0] == "manager" and len(segments) == 2:
                self.handle_manager(exchange, segments[1])
            elif segments[0] == "media" and len(segments) == 2:
                self.handle_media(exchange, segments[1])
            else:
                want = endpoint.read(exchange.request, segments, args)
                if isinstance(want, endpoint.Offer):
                    self.handle_offer(exchange, want)
                elif isinstance(want, endpoint.Patch):
                    self.handle_patch(exchange, want)
                elif isinstance(want, endpoint.Delete):
                    self.handle_delete(exchange, want)
                else:
                    exchange.respond(204, endpoint.options_headers(want))
        except endpoint.Refusal as no:
            exchange.respond(no.status, [PROBLEM_TYPE, ("Flaxscale-Ran", "no"), *no.headers], no.body())

    def handle_offer(self, exchange, offer):
        box, trouble, headers = self.box, self.box.trouble, exchange.request.headers
        key = offer.key or f"direct.{secrets.token_hex(6)}"
        manager, rung = headers.get("flaxscale-manager", ""), headers.get("flaxscale-rung", "0")
        rung = int(rung) if rung.isascii() and rung.isdigit() else -1
        time = now()
        under = self.read_stamp(exchange, manager)
        self.record.put(
            "setup",
            key=key,
            trace=offer.trace,
            manager=manager,
            title=offer.title,
            package=self.package_of(offer),
            rung=rung,
            sends=offer.sends,
            **under,
        )
        exchange.gone = lambda: self.record.put("closed", key=key)
        if trouble.hang:
            return  # taken, and never answered
        if trouble.reset_before and box.chance() < trouble.reset_before:
            exchange.kill()
            self.record.put("closed", key=key)
            return
        if no := self.floor_refusal_headers(manager, under):
            self.refuse_not_run(exchange, key, *BELOW_FLOOR, no)
            return
        mark, printed, meant_for = (*headers.get("flaxscale-try", "").split(";"), "", "")[:3]
        if mark and (status := self.setup_fence.refusal_status(mark, manager, meant_for)):
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
            if mark:
                session.digest, session.offer_digest = mark, printed
                self.setup_fence.started(mark, key)
            if manager:
                self.ensure_lease(manager, session.life)
        kind = next(
            (
                k
                for k in ("answer_lost", "reset_after", "half")
                if session is not None and getattr(trouble, k) and box.chance() < getattr(trouble, k)
            ),
            None,
        )
        patience = headers.get("flaxscale-patience", "")
        until = time + int(patience) * 10 if patience.isascii() and patience.isdigit() else None
        if session is not None and until is not None and time + result.after > until:
            # A span, not a clock time: it is over before the work would be done, so the work is not done.
            self.call_later(until - time, self.patience_expired, exchange, key)
            return
        self.call_later(result.after, self.send_answer, exchange, offer, key, result, session, kind)

    def package_of(self, offer):
        """The package of the title, whether it is held here now or not."""
        if self.box.catalogue_rows is not None:
            row = self.catalogue.follower.titles.get(offer.title)
            return row and (row.push if offer.sends else row.view)
        row = self.box.site.titles.get(offer.title)
        return row and (row[3] if offer.sends else row[2])

    # The catalogue

    def titles_changed(self, titles, version):
        """It holds what the catalogue says, from the moment that it hears it."""
        follower = self.catalogue.follower
        titles = titles if titles is not None else follower.titles
        if self.floor_book.source(str(follower.epoch), follower.floor):
            self.save_floor()
        mine, told = {}, {}
        for name, t in titles.items():
            state = dict(t.holders).get(self.box.place.id) if t is not None else None
            if state is None and name not in (self.box.catalogue_rows or {}):
                continue
            mine[name] = None if state is None else (t.view, t.push, state, t.low, t.top)
            told[name] = [state or "gone", dict(t.seats) if t is not None else {}]
        for session in self.box.apply_catalogue(mine):
            self.record.put("rung", key=session.key, rung=session.rung)
        self.record.put("holds", version=version, titles=told)

    # The floor of versions

    def save_floor(self):
        """Durable before anything is refused by it, so that it holds after a start too."""
        if self.floor_store is not None:
            self.floor_store.put(self.floor_book.dump())
        self.record_floor()

    def record_floor(self):
        if self.floor_book.epoch:
            self.record.put(
                "floor", epoch=self.floor_book.epoch, floor=self.floor_book.floor, earlier=self.floor_book.earlier
            )

    def floor_refusal_headers(self, manager, under):
        """The field of a refusal where a manager acts under the floor, or nobody can tell under what; else none."""
        if self.box.trouble.unfloored or not manager:
            return []
        number = under["stamp"]
        acting = self.stamp_versions.get((manager, under["life"], number))
        if not self.floor_book.refuses(acting):
            return []
        # One that is known by its number, but not here, is told whole the next time.
        lost = ";unknown" if acting is None and number is not None else ""
        return [("Flaxscale-Floor", f"{self.floor_book.epoch};{self.floor_book.floor}{lost}")]

    def assign_credentials(self, session, offer):
        if session.name is None:
            session.name, session.ufrag = secrets.token_urlsafe(9), secrets.token_hex(4)
            session.etag = '"%s"' % secrets.token_hex(4)
            self.key_by_name[session.name] = self.register_media(session.ufrag, session.key)

    def register_media(self, ufrag, key):
        self.media_by_ufrag[ufrag] = key
        return key

    def send_answer(self, exchange, offer, key, result, session, kind):
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
        if kind == "answer_lost":
            self.record.put("lost", key=key)
            return
        if kind == "reset_after":
            self.record.put("lost", key=key)
            exchange.kill()
            self.record.put("closed", key=key)
            return
        told = [self.load_header()] if self.box.site.reports == "answers" else []
        rows = [*told, ("Flaxscale-Ran", "yes" if result.ran else "no"), ("Flaxscale-Boot", self.box.boot)]
        if session is None:
            self.record.put("answer", key=key, status=result.status, ran=result.ran)
            exchange.refuse(result.status, endpoint.TITLES.get(result.status, "Refused"), result.why, rows)
            return
        rows += [
            ("Content-Type", endpoint.SDP),
            ("Location", f"/session/{session.name}"),
            ("ETag", session.etag),
            ("Accept-Patch", endpoint.FRAGMENT),
        ]
        if kind == "half":
            self.record.put("lost", key=key)
            exchange.answered = exchange.streams = True  # it goes on for ever: its closing is still heard of
            exchange.line.write(
                b"HTTP/1.1 201 Created\r\nLocation: /session/%s\r\nContent-Length: %d\r\n\r\n%s"
                % (session.name.encode(), len(body), body[: len(body) // 2])
            )
            return
        self.record.put("answer", key=key, status=201, ran=True, ufrag=session.ufrag)
        exchange.gone = None
        exchange.respond(201, rows, body)

    def patience_expired(self, exchange, key):
        """Its patience is over before it was set up: the work stops, and it never ran."""
        if key not in self.box.sessions or self.box.trouble.hang:
            return
        self.end_session(key, "over time", tell=False)
        self.refuse_not_run(exchange, key, 504, "Its time is over", "not set up within its patience")

    def refuse_not_run(self, exchange, key, status, title, detail, more=()):
        """Refuses a set-up, with the promise that it never ran and never will."""
        self.record.put("answer", key=key, status=status, ran=False)
        exchange.gone = None
        exchange.refuse(status, title, detail, [*more, ("Flaxscale-Ran", "no"), ("Flaxscale-Boot", self.box.boot)])

    def find_session(self, name):
        session = self.box.sessions.get(self.key_by_name.get(name))
        if session is None:
            raise endpoint.Refusal(404, "no such session here")
        return session

    def handle_patch(self, exchange, want):
        if self.box.trouble.hang:
            return
        session, fragment = self.find_session(want.name), want.fragment
        if want.match != "*" and session.etag not in [tag.strip() for tag in want.match.split(",")]:
            raise endpoint.Refusal(412, "the ETag is not the session's", [("ETag", session.etag)])
        if want.match == "*":  # an ICE restart (RFC 9725, 4.3.3): new credentials, a new ETag
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

    def handle_delete(self, exchange, want):
        session = self.find_session(want.name)
        self.end_session(session.key, "left")
        exchange.respond(200)

    def end_session(self, key, how, tell=True):
        """Ends a session; its manager hears of it unless it asked for it itself."""
        session = self.box.end(key, now())
        if session is None:
            return False
        self.key_by_name.pop(session.name, None)
        self.setup_fence.ended(session.digest, key)
        if session.ufrag is not None:
            watcher = self.media_by_ufrag.pop(session.ufrag, None)
            if isinstance(watcher, tuple):
                watcher[1].end()
        self.record.put("over", key=key, how=how)
        if tell:
            self.notify_session_over(session.manager, session.life, key, how)
        return True

    def notify_session_over(self, manager, life, key, how, to=""):
        """Its manager hears that it plays it no more: now, or as the first thing once its stream is there."""
        row = json.dumps({"key": key, "how": how, "to": to})
        if self.has_stream(manager, life):
            self.streams[manager].send(sse.encode("over", row))
        else:
            undelivered = self.undelivered.setdefault((manager, life), [])
            undelivered.append(row)
            del undelivered[:-MAX_UNDELIVERED]
            while len(self.undelivered) > MAX_UNDELIVERED:
                del self.undelivered[next(iter(self.undelivered))]

    # Media: what a player sees of its viewing

    def handle_media(self, exchange, ufrag):
        key = self.media_by_ufrag.get(ufrag)
        key = key[0] if isinstance(key, tuple) else key
        if key not in self.box.sessions:
            raise endpoint.Refusal(404, "no such media here")
        self.media_by_ufrag[ufrag] = key, exchange
        self.box.sessions[key].media_requested = True
        exchange.stream([("Content-Type", "text/plain")])
        exchange.gone = lambda: self.media_closed(ufrag, key)
        self.send_media(exchange, key)

    def media_closed(self, ufrag, key):
        """The player's path is gone: consent has ended (RFC 7675), and so does the session."""
        if key in self.box.sessions and not self.box.trouble.hang:
            self.end_session(key, "left")

    def send_media(self, exchange, key):
        session = self.box.sessions.get(key)
        if session is None or not exchange.streams:
            return
        if not self.box.trouble.hang:
            session.last_media_at = now()
            exchange.send(b"%d %.3f\n" % (session.rung, self.box.delivered_share(now())))
        self.call_later(10_000, self.send_media, exchange, key)

    # Managers

    def handle_manager(self, exchange, what):
        request, name = exchange.request, exchange.request.headers.get("flaxscale-manager", "")
        act = {
            ("notes", "GET"): self.open_note_stream,
            ("orders", "POST"): self.handle_orders,
            ("sessions", "GET"): self.handle_sessions,
            ("adopt", "POST"): self.handle_claims,
            ("load", "GET"): self.handle_probe,
            ("tries", "POST"): self.handle_try_fence,
        }.get((what, request.method))
        if act is None or (not name and what in ("notes", "adopt", "tries")):
            raise endpoint.Refusal(
                404,
                "the paths are /manager/notes, /manager/load and /manager/sessions (GET), "
                "/manager/orders and /manager/adopt (POST)",
            )
        act(exchange, name)

    def open_note_stream(self, exchange, name):
        life = self.manager_life(exchange)
        old, self.streams[name] = self.streams.get(name), exchange
        if old is not None:
            old.end()
        before = self.stream_life.get(name, life)
        if before != life and (name, before) not in self.stream_ended_at:  # it still had its stream: its lease begins
            self.begin_lease(name, before)
        self.stream_life[name] = life
        self.stream_ended_at.pop((name, life), None)
        exchange.stream([("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")])
        exchange.gone = lambda: self.stream_closed(name, life, exchange)
        mine = [key for key, s in self.box.sessions.items() if s.manager == name]
        exchange.send(sse.encode("hello", json.dumps({"boot": self.box.boot, "keys": mine})))
        for row in self.undelivered.pop((name, life), ()):
            exchange.send(sse.encode("over", row))

    def decode_body(self, exchange, kind, what):
        try:
            return msgspec.json.decode(exchange.request.body, type=kind)
        except msgspec.MsgspecError as bad:
            raise endpoint.Refusal(400, f"{what} that can't be read: {bad}") from None

    def respond_json(self, exchange, row):
        exchange.respond(200, [("Content-Type", "application/json")], json.dumps(row).encode())

    def handle_orders(self, exchange, name):
        orders, under = self.decode_body(exchange, Orders, "orders"), self.read_stamp(exchange, name)
        fenced = [
            key
            for key in (*orders.end, *orders.rungs)
            if not self.box.fence.obeys(key, orders.epochs.get(key, 0), name)
        ]
        ends = [key for key in orders.end if key not in fenced]
        # An end does no harm under any version, and what plays must end; a rung is refused under the floor.
        no = self.floor_refusal_headers(name, under)
        rungs = {} if no else orders.rungs
        if ends or rungs:
            self.record.put(
                "ordered",
                keys=[*orders.end, *rungs],
                ends=ends,
                rungs=[key for key in rungs if key not in fenced],
                manager=name,
                **under,
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
        exchange.respond(200, [("Content-Type", "application/json"), *no], json.dumps({"fenced": fenced}).encode())

    def load_header(self):
        return load.FIELD, load.encode(self.box.load_figures(now()))

    def handle_probe(self, exchange, name):
        """A probe: answered beside the set-ups, so that it says that the process runs and how full it is."""
        self.record.put("probed", manager=name)
        if not self.box.trouble.hang:
            exchange.respond(200, [self.load_header()], b"")

    def handle_sessions(self, exchange, name):
        _, args = endpoint.split(exchange.request.target)
        if not self.box.trouble.hang:
            told = [self.session_row(s) for s in self.box.sessions.values() if s.name]
            self.respond_json(
                exchange,
                {
                    "boot": self.box.boot,
                    "sessions": [row for row in told if "of" not in args or row["owner"] == args["of"]],
                },
            )

    def session_row(self, s):
        """A session as managers are told of it."""
        owner, epoch = s.manager, self.box.fence.epoch(s.key)
        if self.box.trouble.unfenced:  # as one that lost what it knew beside the sessions themselves
            owner, epoch = s.key.partition(".")[0], 0
        return {
            "key": s.key,
            "owner": owner,
            "epoch": epoch,
            "rung": s.rung,
            "location": f"/session/{s.name}",
            "media": s.media_requested,
            "age_ms": (now() - s.started_at) / 10,
            "cookie": s.cookie,
        }

    def handle_claims(self, exchange, name):
        claims = self.decode_body(exchange, Claims, "claims").claims
        if not self.box.trouble.hang:
            life, under = self.manager_life(exchange), self.read_stamp(exchange, name)
            if no := self.floor_refusal_headers(name, under):
                exchange.refuse(*BELOW_FLOOR, no)
                return
            if not self.check_lease(exchange):
                return
            self.respond_json(
                exchange,
                {"granted": [key for key, epoch in claims.items() if self.grant_claim(key, epoch, name, life, under)]},
            )

    def check_lease(self, exchange):
        """Whether what is done under a lease may be done: by none older than the last one that was here."""
        field = exchange.request.headers.get("flaxscale-lease")
        if field is None:
            return True
        piece, _, rest = field.partition(";")
        token, _, owner = rest.partition(";")
        if not token.isdecimal() or not owner:
            raise endpoint.Refusal(400, "a lease is told as piece;token;owner")
        row = {"piece": piece[:100], "owner": owner[:100], "token": int(token)}
        if not self.box.trouble.unfenced and not self.lease_fence.takes(piece[:100], int(token), owner[:100]):
            known = self.lease_fence.token(piece[:100])
            self.record.put("lease", did="refused", **row)
            exchange.refuse(409, "An outdated lease", "", [("Flaxscale-Outdated", str(known))])
            return False
        if self.lease_store is not None:
            self.lease_store.put(self.lease_fence.dump())
        self.record.put("lease", did="act", **row)
        return True

    def handle_try_fence(self, exchange, name):
        """A manager takes up a client's earlier try: what stands is told, what has not come can't begin any more."""
        mark = self.decode_body(exchange, FenceRequest, "a mark").mark
        if self.box.trouble.hang:
            return
        session = self.box.sessions.get(self.setup_fence.fence(mark, name, now()))
        self.record.put("try", mark=mark, manager=name, key=session and session.key)
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
        return exchange.request.headers.get("flaxscale-life", "")

    def read_stamp(self, exchange, manager):
        """The life and the stamp under which a manager acts, for the records; a whole stamp gets a row of its own."""
        life, field = self.manager_life(exchange), exchange.request.headers.get("flaxscale-stamp")
        try:
            number, whole = stamp.read(field) if field is not None else (None, None)
        except ValueError as bad:
            self.record.put("bad stamp", manager=manager, life=life, detail=str(bad))
            return {"life": life, "stamp": None}
        if whole is not None:
            self.record.put("stamp", manager=manager, life=life, number=number, stamp=msgspec.structs.asdict(whole))
            at = At(*whole.catalogue) if whole.catalogue is not None else None
            self.stamp_versions[manager, life, number] = at
            if len(self.stamp_versions) > MAX_STAMPS:
                del self.stamp_versions[next(iter(self.stamp_versions))]
            if at is not None and self.floor_book.told(at.epoch, whole.floor):
                self.save_floor()
        return {"life": life, "stamp": number}

    def grant_claim(self, key, epoch, name, life="", under=None):
        """One claim. Who held the session before hears that it is another's now, if it still listens."""
        held = self.box.sessions.get(key)
        life_before = held.life if held is not None else ""
        good, before = self.box.adopt(key, epoch, name, life)
        if good:
            self.record.put("adopted", key=key, manager=name, epoch=epoch, **(under or {}))
            self.ensure_lease(name, life)
            if before != name:
                self.notify_session_over(before, life_before, key, "moved", name)
        return good

    def stream_closed(self, name, life, exchange):
        if self.streams.get(name) is exchange:
            del self.streams[name]
            self.begin_lease(name, life)

    def ensure_lease(self, name, life):
        """Something of this life is here now: without a stream of its own its lease begins."""
        if (name, life) not in self.stream_ended_at and not self.has_stream(name, life):
            self.begin_lease(name, life)

    def has_stream(self, name, life):
        return name in self.streams and self.stream_life.get(name) == life

    def begin_lease(self, name, life):
        self.stream_ended_at[name, life] = now()
        self.call_later(self.lease, self.lease_expired, name, life)

    def lease_expired(self, name, life):
        """A manager's life that stayed away takes with it what nobody claimed."""
        if self.has_stream(name, life) or now() - self.stream_ended_at.get((name, life), now()) < self.lease:
            return
        del self.stream_ended_at[name, life]
        for key in [key for key, s in self.box.sessions.items() if s.manager == name and s.life == life]:
            self.end_session(key, "lease", tell=False)

    def one_session_per_manager(self):
        """For each manager with viewings here, one of them: notes are told on it."""
        found = {}
        for key, session in self.box.sessions.items():
            found.setdefault(session.manager, key)
        return found

    def send_note(self, manager, note):
        if manager in self.streams and not self.box.trouble.hang:
            self.streams[manager].send(sse.encode("note", json.dumps(note)))

    def send_notes(self):
        """How full link and uplink are: to all at the same time, as late as the terms say."""
        figures, late = self.box.load_figures(now()), self.note_delay + self.box.trouble.report_late
        for manager, key in self.one_session_per_manager().items():
            self.call_later(late, self.send_note, manager, {"key": key, "link": figures["x0"], "uplink": figures["x1"]})
        self.call_later(self.note_interval, self.send_notes)

    def send_shortage(self):
        """The share delivered, once a second while it is short, and once after."""
        share = self.box.delivered_share(now())
        for manager, key in self.one_session_per_manager().items():
            was, self.was_short[manager] = self.was_short.get(manager, False), share < 0.98
            if share < 0.98 or was:
                self.call_later(self.note_delay, self.send_note, manager, {"key": key, "delivered": share})
        self.end_idle_sessions()
        self.call_later(10_000, self.send_shortage)

    def end_idle_sessions(self):
        """What had no media for long ends: consent has expired (RFC 7675, 5.1), or there never was any."""
        time = now()
        for key in (
            []
            if self.box.trouble.hang
            else [key for key, s in self.box.sessions.items() if time - s.last_media_at >= self.media_timeout]
        ):
            self.end_session(key, "no media")

    # The end

    def command(self, row):
        """A trouble by command: {"trouble": name, "value": number}."""
        self.box.trouble.set(row["trouble"], row["value"])
        self.record.put("trouble", box=self.box.place.id, name=row["trouble"], value=row["value"])

    def die(self):
        """As a process that is killed: every socket closes at once."""
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
    def __init__(self, owner):
        self.owner = owner

    def datagram_received(self, data, addr):
        told = json.loads(data)
        self.owner.box.other_rack_kb = told["others"]
        self.owner.box.uplink_kb = told["uplink"]

    def error_received(self, error):
        pass  # the list is away for a while; the box goes on with the last it heard
