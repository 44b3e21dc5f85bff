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
from ..store.latest import LatestRecord
from ..versions.floor import FloorBook, VersionId

BEAT_S = 0.1  # to the box list: that it runs, and what it asks of the rack's uplink
UNDER_FLOOR = 412, "Under the floor", "what this manager goes by is too old"
UNHEARD = 1_000  # overs that a manager is told later, and managers' lives of which any are kept
REFUSED_TRY = {410: "Taken up by another manager", 421: "Meant for another start of this box"}
STAMPS = 2_000  # that are known by their numbers
PROBLEM = ("Content-Type", "application/problem+json")


class Orders(msgspec.Struct):
    end: list[str] = []
    rungs: dict[str, int] = {}
    epochs: dict[str, int] = {}  # under which the manager holds a session, where it took it over


class Mark(msgspec.Struct):
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
        self.box, self.note_every, self.note_lag, self.lease, self.media_most = box, *site_row
        self.server = Server(self.handle, Limits(16384, 64, 2048, 65536), max_connections=100_000)
        self.record, self.token = record or Recorder(), token
        self.kept = LatestRecord(files, 50) if files is not None else None
        self.kept_leases = LatestRecord(lease_files, 50) if lease_files is not None else None
        self.leases = Fence(self.kept_leases and self.kept_leases.kept)
        self.bars = SetupFence(box.boot)
        self.floors, self.acting = FloorBook(self.kept and self.kept.kept), {}
        self.streams, self.timers, self.media, self.names, self.short = {}, set(), {}, {}, {}
        self.unheard = {}  # (manager, life): what it could not be told, as it had no stream
        self.lives, self.last_stream = {}, {}  # manager: the life whose stream this is; (manager, life): its end
        self.udp, self.loop, self.address = None, None, None
        self.list_address = list_address
        self.catalogue = None
        if catalogue:
            from ..catalogued.watch import CatalogueWatch  # gRPC is slow to load and most boxes need none

            self.catalogue = CatalogueWatch(catalogue, f"box-{box.place.id}", "box", self.title_news, log)
            box.live = {}  # it holds nothing until it is told
        fingerprint = hashlib.sha256(f"{box.seed}:{box.place.id}".encode()).digest()
        self.fingerprint = ":".join(f"{b:02X}" for b in fingerprint)

    async def start(self, host="127.0.0.1", port=0):
        self.loop = asyncio.get_running_loop()
        self.address = await self.server.listen(host, port)
        if self.list_address:
            list_host, _, list_port = self.list_address.rpartition(":")
            self.udp, _ = await self.loop.create_datagram_endpoint(
                lambda: Beat(self), remote_addr=(list_host, int(list_port)), family=socket.AF_INET
            )
            self.beat()
        if self.catalogue:
            self.catalogue.start()
        if self.note_every:
            self.later(self.note_every, self.notes)
        self.later(10_000, self.shortage)
        self.record.put(
            "start",
            box=self.box.place.id,
            boot=self.box.boot,
            cell=self.box.place.cell,
            slots=self.box.place.slots,
            up=now() - self.box.started_at,
        )
        self.tell_floor()
        return self.address

    def later(self, tenths, act, *args):
        """A timer that dies with the box."""

        def run():
            self.timers.discard(handle)
            act(*args)

        handle = self.loop.call_later(max(0, tenths) / 10_000, run)
        self.timers.add(handle)
        return handle

    def beat(self):
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
                    "kb": 0.0 if box.fallen else box.asked(),
                }
            ).encode()
        )
        self.later(round(BEAT_S * 10_000), self.beat)

    # Requests

    def handle(self, exchange):
        try:
            segments, args = endpoint.split_target(exchange.request.target)
            if self.token and segments[0] != "media":
                endpoint.check_token(exchange.request.headers, [self.token])
            if segments[0] == "manager" and len(segments) == 2:
                self.manager(exchange, segments[1])
            elif segments[0] == "media" and len(segments) == 2:
                self.play(exchange, segments[1])
            else:
                want = endpoint.parse_request(exchange.request, segments, args)
                if isinstance(want, endpoint.Offer):
                    self.offer(exchange, want)
                elif isinstance(want, endpoint.Patch):
                    self.patch(exchange, want)
                elif isinstance(want, endpoint.Delete):
                    self.delete(exchange, want)
                else:
                    exchange.respond(204, endpoint.options_headers(want))
        except endpoint.Refusal as no:
            exchange.respond(no.status, [PROBLEM, ("Flaxscale-Ran", "no"), *no.headers], no.body())

    def offer(self, exchange, offer):
        box, trouble, headers = self.box, self.box.trouble, exchange.request.headers
        key = offer.key or f"direct.{secrets.token_hex(6)}"
        manager, rung = headers.get("flaxscale-manager", ""), headers.get("flaxscale-rung", "0")
        rung = int(rung) if rung.isascii() and rung.isdigit() else -1
        time = now()
        under = self.under(exchange, manager)
        self.record.put(
            "setup",
            key=key,
            trace=offer.trace,
            manager=manager,
            title=offer.title,
            package=self.package(offer),
            rung=rung,
            sends=offer.sends,
            **under,
        )
        exchange.on_disconnect = lambda: self.record.put("closed", key=key)
        if trouble.hang:
            return  # taken, and never answered
        if trouble.reset_before and box.chance() < trouble.reset_before:
            exchange.abort()
            self.record.put("closed", key=key)
            return
        if no := self.under_floor(manager, under):
            self.never_ran(exchange, key, *UNDER_FLOOR, no)
            return
        mark, printed, meant_for = (*headers.get("flaxscale-try", "").split(";"), "", "")[:3]
        if mark and (status := self.bars.refusal_status(mark, manager, meant_for)):
            self.never_ran(exchange, key, status, REFUSED_TRY[status], "")
            return
        verdict, session = box.set_up(key, offer.title, offer.sends, manager, rung, time)
        if verdict.status == 0:
            self.record.put("fell", box=box.place.id, boot=box.boot)
            self.die()
            return
        if session is not None:
            self.record.put("begun", key=key)
            self.open(session, offer)
            session.cookie = headers.get("flaxscale-cookie", "")[:2000]
            session.life = self.life_of(exchange)
            if mark:
                session.mark, session.print = mark, printed
                self.bars.started(mark, key)
            if manager:
                self.attend(manager, session.life)
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
        if session is not None and until is not None and time + verdict.after > until:
            # A span, not a clock time: it is over before the work would be done, so the work is not done.
            self.later(until - time, self.over_time, exchange, key)
            return
        self.later(verdict.after, self.answer, exchange, offer, key, verdict, session, kind)

    def package(self, offer):
        """The package of the title, whether it is held here now or not."""
        if self.box.live is not None:
            row = self.catalogue.follower.titles.get(offer.title)
            return row and (row.push if offer.sends else row.view)
        row = self.box.site.titles.get(offer.title)
        return row and (row[3] if offer.sends else row[2])

    # The catalogue

    def title_news(self, titles, version):
        """It holds what the catalogue says, from the moment that it hears it."""
        follower = self.catalogue.follower
        titles = titles if titles is not None else follower.titles
        if self.floors.set_from_source(str(follower.epoch), follower.floor):
            self.keep_floor()
        mine, told = {}, {}
        for name, t in titles.items():
            state = dict(t.holders).get(self.box.place.id) if t is not None else None
            if state is None and name not in (self.box.live or {}):
                continue
            mine[name] = None if state is None else (t.view, t.push, state, t.low, t.top)
            told[name] = [state or "gone", dict(t.seats) if t is not None else {}]
        for session in self.box.catalogued(mine):
            self.record.put("rung", key=session.key, rung=session.rung)
        self.record.put("holds", version=version, titles=told)

    # The floor of versions

    def keep_floor(self):
        """Durable before anything is refused by it, so that it holds after a start too."""
        if self.kept is not None:
            self.kept.put(self.floors.dump())
        self.tell_floor()

    def tell_floor(self):
        if self.floors.epoch:
            self.record.put("floor", epoch=self.floors.epoch, floor=self.floors.floor, earlier=self.floors.earlier)

    def under_floor(self, manager, under):
        """The field of a refusal where a manager acts under the floor, or nobody can tell under what; else none."""
        if self.box.trouble.unfloored or not manager:
            return []
        number = under["stamp"]
        acting = self.acting.get((manager, under["life"], number))
        if not self.floors.refuses(acting):
            return []
        # One that is known by its number, but not here, is told whole the next time.
        lost = ";unknown" if acting is None and number is not None else ""
        return [("Flaxscale-Floor", f"{self.floors.epoch};{self.floors.floor}{lost}")]

    def open(self, session, offer):
        if session.name is None:
            session.name, session.ufrag = secrets.token_urlsafe(9), secrets.token_hex(4)
            session.etag = '"%s"' % secrets.token_hex(4)
            self.names[session.name] = self.media_key(session.ufrag, session.key)

    def media_key(self, ufrag, key):
        self.media[ufrag] = key
        return key

    def answer(self, exchange, offer, key, verdict, session, kind):
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
            exchange.abort()
            self.record.put("closed", key=key)
            return
        told = [self.report()] if self.box.site.reports == "answers" else []
        rows = [*told, ("Flaxscale-Ran", "yes" if verdict.ran else "no"), ("Flaxscale-Boot", self.box.boot)]
        if session is None:
            self.record.put("answer", key=key, status=verdict.status, ran=verdict.ran)
            exchange.refuse(verdict.status, endpoint.PROBLEM_TITLES.get(verdict.status, "Refused"), verdict.why, rows)
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
            exchange.connection.write(
                b"HTTP/1.1 201 Created\r\nLocation: /session/%s\r\nContent-Length: %d\r\n\r\n%s"
                % (session.name.encode(), len(body), body[: len(body) // 2])
            )
            return
        self.record.put("answer", key=key, status=201, ran=True, ufrag=session.ufrag)
        exchange.on_disconnect = None
        exchange.respond(201, rows, body)

    def over_time(self, exchange, key):
        """Its patience is over before it was set up: the work stops, and it never ran."""
        if key not in self.box.sessions or self.box.trouble.hang:
            return
        self.finish(key, "over time", tell=False)
        self.never_ran(exchange, key, 504, "Its time is over", "not set up within its patience")

    def never_ran(self, exchange, key, status, title, detail, more=()):
        """Refuses a set-up, with the promise that it never ran and never will."""
        self.record.put("answer", key=key, status=status, ran=False)
        exchange.on_disconnect = None
        exchange.refuse(status, title, detail, [*more, ("Flaxscale-Ran", "no"), ("Flaxscale-Boot", self.box.boot)])

    def session_of(self, name):
        session = self.box.sessions.get(self.names.get(name))
        if session is None:
            raise endpoint.Refusal(404, "no such session here")
        return session

    def patch(self, exchange, want):
        if self.box.trouble.hang:
            return
        session, fragment = self.session_of(want.name), want.fragment
        if want.match != "*" and session.etag not in [tag.strip() for tag in want.match.split(",")]:
            raise endpoint.Refusal(412, "the ETag is not the session's", [("ETag", session.etag)])
        if want.match == "*":  # an ICE restart (RFC 9725, 4.3.3): new credentials, a new ETag
            if not fragment.pwd:
                raise endpoint.Refusal(422, "an ICE restart needs a new ufrag and password")
            self.media.pop(session.ufrag, None)
            session.ufrag, session.etag = secrets.token_hex(4), '"%s"' % secrets.token_hex(4)
            self.media_key(session.ufrag, session.key)
            host, port = self.address
            body = (
                f"a=ice-ufrag:{session.ufrag}\r\na=ice-pwd:{secrets.token_hex(12)}\r\n"
                f"a=candidate:1 1 tcp 2130706431 {host} {port} typ host tcptype passive\r\n"
                "a=end-of-candidates\r\n"
            ).encode()
            exchange.respond(200, [("Content-Type", endpoint.FRAGMENT), ("ETag", session.etag)], body)
            return
        exchange.respond(204, [("ETag", session.etag)])

    def delete(self, exchange, want):
        session = self.session_of(want.name)
        self.finish(session.key, "left")
        exchange.respond(200)

    def finish(self, key, how, tell=True):
        """Ends a session; its manager hears of it unless it asked for it itself."""
        session = self.box.end(key, now())
        if session is None:
            return False
        self.names.pop(session.name, None)
        self.bars.ended(session.mark, key)
        if session.ufrag is not None:
            watcher = self.media.pop(session.ufrag, None)
            if isinstance(watcher, tuple):
                watcher[1].end()
        self.record.put("over", key=key, how=how)
        if tell:
            self.tell_over(session.manager, session.life, key, how)
        return True

    def tell_over(self, manager, life, key, how, to=""):
        """Its manager hears that it plays it no more: now, or as the first thing once its stream is there."""
        row = json.dumps({"key": key, "how": how, "to": to})
        if self.attended(manager, life):
            self.streams[manager].send(sse.encode("over", row))
        else:
            unheard = self.unheard.setdefault((manager, life), [])
            unheard.append(row)
            del unheard[:-UNHEARD]
            while len(self.unheard) > UNHEARD:
                del self.unheard[next(iter(self.unheard))]

    # Media: what a player sees of its viewing

    def play(self, exchange, ufrag):
        key = self.media.get(ufrag)
        key = key[0] if isinstance(key, tuple) else key
        if key not in self.box.sessions:
            raise endpoint.Refusal(404, "no such media here")
        self.media[ufrag] = key, exchange
        self.box.sessions[key].media = True
        exchange.stream([("Content-Type", "text/plain")])
        exchange.on_disconnect = lambda: self.media_gone(ufrag, key)
        self.flow(exchange, key)

    def media_gone(self, ufrag, key):
        """The player's path is gone: consent has ended (RFC 7675), and so does the session."""
        if key in self.box.sessions and not self.box.trouble.hang:
            self.finish(key, "left")

    def flow(self, exchange, key):
        session = self.box.sessions.get(key)
        if session is None or not exchange.streams:
            return
        if not self.box.trouble.hang:
            session.flowed = now()
            exchange.send(b"%d %.3f\n" % (session.rung, self.box.delivered(now())))
        self.later(10_000, self.flow, exchange, key)

    # Managers

    def manager(self, exchange, what):
        request, name = exchange.request, exchange.request.headers.get("flaxscale-manager", "")
        act = {
            ("notes", "GET"): self.note_stream,
            ("orders", "POST"): self.orders,
            ("sessions", "GET"): self.sessions,
            ("adopt", "POST"): self.claims,
            ("load", "GET"): self.probe,
            ("tries", "POST"): self.take_try,
        }.get((what, request.method))
        if act is None or (not name and what in ("notes", "adopt", "tries")):
            raise endpoint.Refusal(
                404,
                "the paths are /manager/notes, /manager/load and /manager/sessions (GET), "
                "/manager/orders and /manager/adopt (POST)",
            )
        act(exchange, name)

    def note_stream(self, exchange, name):
        life = self.life_of(exchange)
        old, self.streams[name] = self.streams.get(name), exchange
        if old is not None:
            old.end()
        before = self.lives.get(name, life)
        if before != life and (name, before) not in self.last_stream:  # it still had its stream: its lease begins
            self.begin_lease(name, before)
        self.lives[name] = life
        self.last_stream.pop((name, life), None)
        exchange.stream([("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")])
        exchange.on_disconnect = lambda: self.manager_gone(name, life, exchange)
        mine = [key for key, s in self.box.sessions.items() if s.manager == name]
        exchange.send(sse.encode("hello", json.dumps({"boot": self.box.boot, "keys": mine})))
        for row in self.unheard.pop((name, life), ()):
            exchange.send(sse.encode("over", row))

    def body_of(self, exchange, kind, what):
        try:
            return msgspec.json.decode(exchange.request.body, type=kind)
        except msgspec.MsgspecError as bad:
            raise endpoint.Refusal(400, f"{what} that can't be read: {bad}") from None

    def say(self, exchange, row):
        exchange.respond(200, [("Content-Type", "application/json")], json.dumps(row).encode())

    def orders(self, exchange, name):
        orders, under = self.body_of(exchange, Orders, "orders"), self.under(exchange, name)
        fenced = [
            key
            for key in (*orders.end, *orders.rungs)
            if not self.box.fence.accepts(key, orders.epochs.get(key, 0), name)
        ]
        ends = [key for key in orders.end if key not in fenced]
        # An end does no harm under any version, and what plays must end; a rung is refused under the floor.
        no = self.under_floor(name, under)
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
            if not self.finish(key, "ended", tell=False):
                self.record.put("unmade", key=key)
        for key, rung in rungs.items():
            if key not in fenced and (set_to := self.box.set_rung(key, rung)) is not None:
                self.record.put("rung", key=key, rung=set_to)
        exchange.respond(200, [("Content-Type", "application/json"), *no], json.dumps({"fenced": fenced}).encode())

    def report(self):
        return load.FIELD, load.encode(self.box.figures(now()))

    def probe(self, exchange, name):
        """A probe: answered beside the set-ups, so that it says that the process runs and how full it is."""
        self.record.put("probed", manager=name)
        if not self.box.trouble.hang:
            exchange.respond(200, [self.report()], b"")

    def sessions(self, exchange, name):
        _, args = endpoint.split_target(exchange.request.target)
        if not self.box.trouble.hang:
            told = [self.session_row(s) for s in self.box.sessions.values() if s.name]
            self.say(
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
            "media": s.media,
            "age_ms": (now() - s.began) / 10,
            "cookie": s.cookie,
        }

    def claims(self, exchange, name):
        claims = self.body_of(exchange, Claims, "claims").claims
        if not self.box.trouble.hang:
            life, under = self.life_of(exchange), self.under(exchange, name)
            if no := self.under_floor(name, under):
                exchange.refuse(*UNDER_FLOOR, no)
                return
            if not self.under_lease(exchange):
                return
            self.say(
                exchange,
                {"granted": [key for key, epoch in claims.items() if self.adopt(key, epoch, name, life, under)]},
            )

    def under_lease(self, exchange):
        """Whether what is done under a lease may be done: by none older than the last one that was here."""
        field = exchange.request.headers.get("flaxscale-lease")
        if field is None:
            return True
        piece, _, rest = field.partition(";")
        token, _, owner = rest.partition(";")
        if not token.isdecimal() or not owner:
            raise endpoint.Refusal(400, "a lease is told as piece;token;owner")
        row = {"piece": piece[:100], "owner": owner[:100], "token": int(token)}
        if not self.box.trouble.unfenced and not self.leases.accepts(piece[:100], int(token), owner[:100]):
            known = self.leases.token(piece[:100])
            self.record.put("lease", did="refused", **row)
            exchange.refuse(409, "An outdated lease", "", [("Flaxscale-Outdated", str(known))])
            return False
        if self.kept_leases is not None:
            self.kept_leases.put(self.leases.dump())
        self.record.put("lease", did="act", **row)
        return True

    def take_try(self, exchange, name):
        """A manager takes up a client's earlier try: what stands is told, what has not come can't begin any more."""
        mark = self.body_of(exchange, Mark, "a mark").mark
        if self.box.trouble.hang:
            return
        session = self.box.sessions.get(self.bars.fence(mark, name, now()))
        self.record.put("try", mark=mark, manager=name, key=session and session.key)
        if session is None or session.reply is None:
            self.say(exchange, {"boot": self.box.boot, "out": session is not None})
            return
        etag, body = session.reply
        self.say(
            exchange,
            {
                "boot": self.box.boot,
                "stood": {**self.session_row(session), "print": session.print, "etag": etag, "body": body.decode()},
            },
        )

    def life_of(self, exchange):
        return exchange.request.headers.get("flaxscale-life", "")

    def under(self, exchange, manager):
        """The life and the stamp under which a manager acts, for the records; a whole stamp gets a row of its own."""
        life, field = self.life_of(exchange), exchange.request.headers.get("flaxscale-stamp")
        try:
            number, whole = stamp.parse(field) if field is not None else (None, None)
        except ValueError as bad:
            self.record.put("bad stamp", manager=manager, life=life, detail=str(bad))
            return {"life": life, "stamp": None}
        if whole is not None:
            self.record.put("stamp", manager=manager, life=life, number=number, stamp=msgspec.structs.asdict(whole))
            at = VersionId(*whole.catalogue) if whole.catalogue is not None else None
            self.acting[manager, life, number] = at
            if len(self.acting) > STAMPS:
                del self.acting[next(iter(self.acting))]
            if at is not None and self.floors.raise_from_peer(at.epoch, whole.floor):
                self.keep_floor()
        return {"life": life, "stamp": number}

    def adopt(self, key, epoch, name, life="", under=None):
        """One claim. Who held the session before hears that it is another's now, if it still listens."""
        held = self.box.sessions.get(key)
        life_before = held.life if held is not None else ""
        good, before = self.box.adopt(key, epoch, name, life)
        if good:
            self.record.put("adopted", key=key, manager=name, epoch=epoch, **(under or {}))
            self.attend(name, life)
            if before != name:
                self.tell_over(before, life_before, key, "moved", name)
        return good

    def manager_gone(self, name, life, exchange):
        if self.streams.get(name) is exchange:
            del self.streams[name]
            self.begin_lease(name, life)

    def attend(self, name, life):
        """Something of this life is here now: without a stream of its own its lease begins."""
        if (name, life) not in self.last_stream and not self.attended(name, life):
            self.begin_lease(name, life)

    def attended(self, name, life):
        return name in self.streams and self.lives.get(name) == life

    def begin_lease(self, name, life):
        self.last_stream[name, life] = now()
        self.later(self.lease, self.lease_over, name, life)

    def lease_over(self, name, life):
        """A manager's life that stayed away takes with it what nobody claimed."""
        if self.attended(name, life) or now() - self.last_stream.get((name, life), now()) < self.lease:
            return
        del self.last_stream[name, life]
        for key in [key for key, s in self.box.sessions.items() if s.manager == name and s.life == life]:
            self.finish(key, "lease", tell=False)

    def one_each(self):
        """For each manager with viewings here, one of them: notes are told on it."""
        found = {}
        for key, session in self.box.sessions.items():
            found.setdefault(session.manager, key)
        return found

    def tell(self, manager, note):
        if manager in self.streams and not self.box.trouble.hang:
            self.streams[manager].send(sse.encode("note", json.dumps(note)))

    def notes(self):
        """How full link and uplink are: to all at the same time, as late as the terms say."""
        figures, late = self.box.figures(now()), self.note_lag + self.box.trouble.report_late
        for manager, key in self.one_each().items():
            self.later(late, self.tell, manager, {"key": key, "link": figures["x0"], "uplink": figures["x1"]})
        self.later(self.note_every, self.notes)

    def shortage(self):
        """The share delivered, once a second while it is short, and once after."""
        share = self.box.delivered(now())
        for manager, key in self.one_each().items():
            was, self.short[manager] = self.short.get(manager, False), share < 0.98
            if share < 0.98 or was:
                self.later(self.note_lag, self.tell, manager, {"key": key, "delivered": share})
        self.unwatched()
        self.later(10_000, self.shortage)

    def unwatched(self):
        """What had no media for long ends: consent has expired (RFC 7675, 5.1), or there never was any."""
        time = now()
        for key in (
            []
            if self.box.trouble.hang
            else [key for key, s in self.box.sessions.items() if time - s.flowed >= self.media_most]
        ):
            self.finish(key, "no media")

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


class Beat(asyncio.DatagramProtocol):
    def __init__(self, owner):
        self.owner = owner

    def datagram_received(self, data, addr):
        told = json.loads(data)
        self.owner.box.rack_others = told["others"]
        self.owner.box.uplink_kb = told["uplink"]

    def error_received(self, error):
        pass  # the list is away for a while; the box goes on with the last it heard
