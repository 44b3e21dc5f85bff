"""One session manager on sockets: HTTP requests become events of the runner, its actions become requests to boxes.

This is the runner's port. Which box, which rung, when to try again, when to give up and what to answer is the
module's; what is read and written here has no choice in it.
"""

import asyncio
import json
import secrets
from collections import Counter
from urllib.parse import parse_qsl, quote

import msgspec
import xxhash

from .. import interface
from ..admission.gate import Gate
from ..admission.still import Still
from ..catalogue.view import FileView, LiveView, title_id
from ..http1 import fields
from ..http1.server import Limits
from ..interface import Outcome
from ..members import drain_requests
from ..recovery.boxes import BoxBook
from ..recovery.keys import Clash, Joined, Kept, KeyBook
from ..run import AnswerKind, Runner
from ..serve.clock import now
from ..serve.server import Server, Times
from ..signalling import endpoint
from ..signalling.endpoint import Refusal
from ..site.change import refusals
from ..site.load import SiteError, refuse
from ..site.terms import Sense
from ..store.files import Files
from .audit import FrontAudit
from .boxes import Boxes
from .duties import FrontDuties
from .fleet import FrontFleet
from .journal import FrontJournal
from .lent import FrontLent
from .listing import ListFollower
from .members import FrontMembers, ask_of, cookie_out
from .peaks import FrontPeaks
from .steps import Steps
from .tries import FrontTries

AGAIN = 300_000  # a viewer of the same title within half a minute comes again
LAG_S = 0.025  # a timer rings so often, to see how late it is
LINGER_S = 1.0  # a manager that leaves still sends requests on for so long: balancers hear of it late
FRESH_S = 0.2  # a connection that was just let in has so long for its first request
PATCH_S = 5.0  # a PATCH that the box leaves unanswered so long is given up


class Viewing:
    """A viewing as the sockets have it."""

    __slots__ = (
        "id",
        "offer",
        "askers",
        "name",
        "key",
        "call",
        "came",
        "box",
        "path",
        "place",
        "tries",
        "plays",
        "done",
        "asked_at",
        "taken_at",
        "began",
        "slot_wait",
        "cookie",
        "mark",
    )

    def __init__(self, id, offer, exchange, manager):
        self.id, self.offer, self.askers = id, offer, [exchange] if exchange is not None else []
        self.name, self.cookie = f"{manager}.{id:x}-{secrets.token_urlsafe(12)}", ""
        self.mark = ""  # of its client's key, where it gave one
        self.key = self.call = self.came = self.box = self.path = self.place = None
        self.tries, self.plays, self.done, self.began = 0, False, False, None
        self.asked_at = self.taken_at = now()
        self.slot_wait = 0  # what the module's slot kept it waiting, less what the timer was late


def mark_of(site):
    """A short mark of settings: the same file gives the same at every manager."""
    return f"{xxhash.xxh3_64_intdigest(msgspec.json.encode(site)):016x}"


class Front:
    def __init__(
        self,
        sense,
        log,
        list_address=None,
        state=None,
        tap=None,
        catalogue_address=None,
        members=None,
        reread=None,
        leave=None,
        via=None,
        files=Files,
        older=False,
        steps=None,
    ):
        """members: seeds of other managers, as [HOST:PORT]; None: no talk between managers.

        via: as FrontMembers has it. files: makes the disk's side of a folder. older: nothing is said of versions.
        steps: the lab's Steps; none in service.

        reread: gives the settings' file as it is now, checked (SiteError where it is not good).
        leave: begins this program's planned end, once.
        """
        self.reread, self.leave, self.load_counts = reread, leave, {"loaded": 0, "refused": 0}
        self.sense, self.site, self.mark, self.lines = sense, sense.site, mark_of(sense.site), log
        self.boot, self.name = secrets.token_hex(4), f"m{sense.me}"
        self.runner = Runner(sense.terms, self, tap)
        self.boxes = Boxes(self, sense, self.name, self.boot, log)
        fleet = self.site.fleet
        self.book = BoxBook(sense.kinds, sense.zones, fleet.cells, sense.terms.rules.warm_up_time)
        self.follower = (
            ListFollower(list_address, self.name, self.book, state, self.listed, log) if list_address else None
        )
        self.watch, self.view = None, FileView(self.site)
        if catalogue_address:
            from ..catalogued.watch import CatalogueWatch  # gRPC is slow to load and most tests need none

            kept = files(f"{state}/catalogue-{self.name}", durable=False) if state else None
            self.watch = CatalogueWatch(
                catalogue_address,
                self.name,
                "manager",
                self.title_news,
                log,
                kept,
                self.check_titles,
                self.seats_in_use,
            )
            self.view = LiveView(sense, self.watch.follower)
        self.peaks = FrontPeaks(
            self,
            catalogue_address,
            files(f"{state}/peaks-{self.name}", durable=False) if state and catalogue_address else None,
        )
        self.fleet, self.older, self.steps = FrontFleet(self), older, steps or Steps()
        self.tries, self.lent, self.duties = FrontTries(self), FrontLent(self), FrontDuties(self)
        self.members = FrontMembers(self, self.site.front.member_keys, members or (), members is not None, via)
        self.journal = FrontJournal(self, files(f"{state}/keys-{self.name}") if state else None)
        self.audit = FrontAudit(self, files(f"{state}/account-{self.name}", durable=False) if state else None)
        self.gate = Gate(sense.seed, self.site.front.gate)
        self.still = Still(now(), round(LAG_S * 10_000))
        row = self.site.front
        self.keys = KeyBook(round(row.keep_answers_ms * 10))
        self.server = Server(
            self.handle,
            Limits(row.head_bytes, 64, 2048, row.body_bytes),
            Times(round(row.head_ms * 10), round(row.body_ms * 10), round(row.idle_ms * 10)),
            row.connections,
            may_be_gone=lambda: self.still.older(now()) > 0,
        )
        self.viewings, self.names, self.by_key, self.seen = {}, {}, {}, {}
        self.early = set()  # set-ups that are out, and over by their box's stream
        self.ones = {}  # (viewer, title): the viewing's id, where one each is the site's rule
        self.ids, self.timer, self.lag_timer = 0, None, None
        self.loop = self.address = None
        self.counts = dict.fromkeys(
            ("taken", "plays", "blocked", "aborted", "left", "refused", "joined", "turned_away"), 0
        )
        self.housekeeping = None

    # Settings

    def reload(self):
        """Reads the settings' file again and goes by it; SiteError names what this manager can't take on.

        All or nothing: the new settings are read, checked and made whole before the first of them is used.
        """
        try:
            if self.reread is None:
                raise SiteError("settings", "", "no file that could be read again")
            site, was = self.reread(), self.sense
            refuse("settings in service", self.refusals(site))
            sense = Sense(site, was.me, site.zones.index(was.zone_name), was.seed, was)
        except SiteError as bad:
            self.lines.warning("settings refused", detail=str(bad))
            self.load_counts["refused"] += 1
            raise
        self.sense, self.site, self.mark = sense, site, mark_of(site)
        self.boxes.rule(sense)
        self.book.rule(sense.kinds, sense.zones, site.fleet.cells, sense.terms.rules.warm_up_time)
        if self.watch is None:
            self.view = FileView(site)
        else:
            self.view.packages = sense.packages
        self.keys.keep, self.gate.on = round(site.front.keep_answers_ms * 10), site.front.gate
        self.peaks.rule(site)
        self.runner.terms_changed(sense.terms)
        self.load_counts["loaded"] += 1
        self.audit.renew()
        self.lines.info("settings loaded", site=site.name, mark=self.mark, viewings=len(self.viewings))

    def refusals(self, site):
        names = list(self.sense.rows)
        in_use = Counter(names[held.request.package] for held in self.runner.sessions.values())
        found = refusals(
            self.site,
            site,
            self.sense.zone_name,
            self.sense.me,
            in_use,
            self.book.rows.values(),
            self.runner.manager.retries.longest_span / 10,
        )
        if self.watch is not None:  # a catalogue may name packages that no viewing is in yet
            told = {name for t in self.watch.follower.titles.values() for name in (t.view, t.push) if name}
            found += [
                (f"packages.{name}", "the package kept while the catalogue has titles of it")
                for name in sorted(told - set(site.packages))
            ]
        return found

    # Life

    async def start(self, host, port, member_port=0):
        self.loop = asyncio.get_running_loop()
        self.audit.start()
        if self.follower:
            self.follower.start()
        if self.watch:
            self.watch.start()
        self.peaks.start()
        self.address = await self.server.listen(host, port)
        await self.members.start(host, member_port, self.address)
        self.fleet.start()
        self.lent.start()
        self.duties.start()
        self.members.recover()
        self.watch_lag(now())
        self.keep_house()
        return self.address

    def keep_house(self):
        self.boxes.pool.sweep()
        old = now() - AGAIN
        for seen in [seen for seen, at in self.seen.items() if at < old]:
            del self.seen[seen]
        self.ones = {one: id for one, id in self.ones.items() if id in self.viewings}
        self.keys.clear(now())
        if self.watch:
            held = {vw.request.title for vw in self.runner.sessions.values()}
            self.runner.titles_changed(self.view.forget(now(), held))
        self.housekeeping = self.loop.call_later(5.0, self.keep_house)

    async def stop(self, grace=3.0):
        """No new viewing; what is in work gets its answer; what plays is handed to other managers, or ended.

        Where other managers live, whoever asks meanwhile is sent on to one of them, and what plays stays as it is:
        they claim it as soon as they hear that this manager has left.
        """
        await self.duties.stop()
        self.fleet.stop()
        self.tries.stop()
        self.lent.stop()
        hand_over = len(self.members.alive()) > 1
        if not hand_over:
            self.server.stop_listening()
        self.server.stopping = True
        until = self.loop.time() + grace
        while any(not vw.plays for vw in self.viewings.values()) and self.loop.time() < until:
            await asyncio.sleep(0.01)
        if hand_over:
            self.members.leave()
            lingers = self.loop.time() + LINGER_S
            while self.loop.time() < until and (
                self.loop.time() < lingers or any(vw.plays for vw in self.viewings.values())
            ):
                await asyncio.sleep(0.01)  # each goes as its box says that it is another's
            self.server.stop_listening()
            # Who was let in at the last moment has its first request on the way, and is sent on too.
            fresh = self.loop.time() + FRESH_S
            while any(line.fresh for line in self.server.lines) and self.loop.time() < fresh:
                await asyncio.sleep(0.01)
            self.lines.info("handed over", left=len(self.viewings))
        for id in list(self.viewings):
            self.runner.client_left(id)
        while self.boxes.owed.count() and self.loop.time() < until:
            await asyncio.sleep(0.01)
        if self.follower:
            self.follower.stop()
        if self.watch:
            await self.watch.stop()
        await self.peaks.stop()
        await self.members.stop()
        self.journal.stop()
        self.audit.stop()
        for timer in (self.housekeeping, self.timer, self.lag_timer):
            if timer is not None:
                timer.cancel()
        await self.server.stop()
        await self.boxes.close()

    # From clients

    def handle(self, exchange):
        try:
            segments, args = endpoint.split(exchange.request.target)
            if segments[0] not in ("whep", "whip", "session"):
                self.other(exchange, segments)
                return
            if exchange.request.method == "POST" and segments[0] != "session" and len(segments) == 2:
                self.admit(exchange, segments[1], args)
            want = endpoint.read(exchange.request, segments, args, self.site.front.tokens)
            if isinstance(want, endpoint.Offer):
                self.offered(exchange, want)
            elif isinstance(want, endpoint.Options):
                exchange.respond(204, endpoint.options_headers(want))
            elif isinstance(want, endpoint.Delete):
                self.delete(exchange, want)
            else:
                self.patch(exchange, want)
        except Refusal as no:
            self.counts["refused"] += 1
            exchange.respond(*no.answer())
        except Exception as fault:  # one request's fault is that request's alone
            self.lines.error("fault", error=f"{type(fault).__name__}: {fault}", target=exchange.request.target[:100])
            exchange.refuse(500, "An error of ours")

    def other(self, exchange, segments):
        if segments == ["state"] and exchange.request.method == "GET":
            endpoint.check_token(exchange.request.headers, self.site.front.tokens)
            exchange.respond(200, [("Content-Type", "application/json")], self.state())
            return
        if segments == ["drain"] and exchange.request.method in ("GET", "POST"):
            self.drain(exchange)
            return
        if segments[0] == "fleet" and len(segments) == 2 and exchange.request.method == "GET":
            self.fleet.handle(exchange, segments[1])
            return
        if segments == ["settings", "reload"] and exchange.request.method == "POST":
            self.check_operator(exchange, "only SIGHUP loads them")
            try:
                self.reload()
            except SiteError as bad:
                raise Refusal(422, str(bad), key=bad.key) from None
            exchange.respond(200, [("Content-Type", "application/json")], json.dumps(self.settings()).encode())
            return
        raise Refusal(404, "the path is /whep/TITLE, /whip/TITLE or /session/NAME")

    def drain(self, exchange):
        """An operators' order to leave service, for us or for another: members.drain_requests has what comes of it."""
        self.check_operator(exchange, "only SIGTERM drains it")
        if exchange.request.method == "GET":  # whom an order may name
            lives = {name: self.members.member(name).boot for name in self.members.alive() if name != self.name}
            exchange.respond(
                200,
                [("Content-Type", "application/json")],
                json.dumps({"manager": self.name, "lives": {self.name: self.boot, **lives}}).encode(),
            )
            return
        args = dict(parse_qsl(exchange.request.target.partition("?")[2]))
        named = args.get("manager", "")
        to_do = drain_requests.resolve(
            named, args.get("life", ""), self.name, self.boot, self.server.stopping, self.members.member(named)
        )
        told = {"manager": named or self.name, "viewings": len(self.viewings), "others": len(self.members.alive()) - 1}
        match to_do:
            case drain_requests.DrainSelf(again):
                if self.leave is None:
                    raise Refusal(409, "this manager's program does not end by a call")
                exchange.respond(202, [("Content-Type", "application/json")], json.dumps(told).encode())
                if not again:
                    self.lines.info("drain asked for", viewings=len(self.viewings))
                    self.leave()
            case drain_requests.Forward(serves):
                raise Refusal(
                    307, f"{named} is asked itself", [("Location", f"http://{serves}{exchange.request.target}")]
                )
            case drain_requests.LifeEnded(why):
                exchange.respond(
                    200, [("Content-Type", "application/json")], json.dumps({"manager": named, "over": why}).encode()
                )
            case drain_requests.UnknownManager():
                raise Refusal(404, f"no manager {named[:60]!r} is known here")

    def check_operator(self, exchange, else_only):
        if self.site.front.fleet_token is None:
            raise Refusal(403, f"without a fleet_token in the settings {else_only}")
        endpoint.check_token(exchange.request.headers, [self.site.front.fleet_token])

    def entry(self, title, sends):
        """(what the front needs of a title, the package of who watches or pushes it), or None each."""
        row = self.view.look(title, now())
        return row, row and (row.push if sends else row.view)

    def admit(self, exchange, title, args):
        """Refuses at once, before the offer is read, what could not be answered in time or comes too often."""
        headers = exchange.request.headers
        _, package = self.entry(title, exchange.request.target.startswith("/whip/"))
        if package is None:
            return
        stated = args.get("viewer") or headers.get("flaxscale-viewer")
        time, client = now(), stated or self.address_of(exchange)
        left = (
            self.sense.patience(self.sense.packages[package], fields.wait_of(headers.get("prefer")))
            - (time - exchange.arrived)
            - self.still.older(exchange.arrived)
        )
        again = time - self.seen.get((self.viewer_id(stated, exchange), title), -AGAIN) < AGAIN
        worth = self.site.packages[package].value
        if no := self.gate.ask(time, client, left, again, title, worth):
            self.counts["turned_away"] += 1
            raise Refusal(
                503,
                "this manager is behind" if no.why in ("behind", "late") else "too many tries",
                [("Retry-After", str(max(1, fields.seconds_up(no.hold_off))))],
                fate="blocked",
                hold_off_ms=no.hold_off / 10,
                why=no.why,
            )

    def address_of(self, exchange):
        peer = exchange.line.transport.get_extra_info("peername") or ("",)
        return f"{peer[0]}:{exchange.request.headers.get('user-agent', '')}"

    def watch_lag(self, due):
        """A timer of our own, only to see how late it rings."""
        self.still.rings(now())
        self.gate.lagged(now(), max(0, now() - due))
        self.lag_timer = self.loop.call_later(LAG_S, self.watch_lag, now() + round(LAG_S * 10_000))

    def offered(self, exchange, offer):
        row, package = self.entry(offer.title, offer.sends)
        if package is None:
            raise Refusal(404, f"no title {offer.title[:60]!r} to {'push' if offer.sends else 'watch'}")
        if self.server.stopping:
            if at := self.members.another(offer.viewer or offer.ufrag):
                raise Refusal(
                    307, "this manager is leaving service", [("Location", f"http://{at}{exchange.request.target}")]
                )
            raise Refusal(503, "this manager is leaving service", [("Retry-After", "1")])
        self.fleet.turn_away(exchange, offer.viewer or offer.ufrag)
        if len(self.viewings) >= self.site.front.held_most:
            raise Refusal(503, "this manager holds as many viewings as it may", [("Retry-After", "1")])
        viewer = self.viewer_id(offer.viewer, exchange)
        if offer.key is not None and self.meets(exchange, offer, viewer):
            return
        number = self.sense.packages[package]
        self.ids += 1
        vw = self.viewings[self.ids] = Viewing(self.ids, offer, exchange, self.name)
        self.names[vw.name] = vw
        exchange.gone = lambda: self.asker_gone(vw, exchange)
        if offer.key is not None:
            self.keys.begin((viewer, offer.title, offer.key), xxhash.xxh3_64_intdigest(offer.body), vw.id)
        time = now()
        again = time - self.seen.get((viewer, offer.title), -AGAIN) < AGAIN
        self.seen[viewer, offer.title] = time
        self.counts["taken"] += 1
        vw.asked_at = exchange.arrived
        patience = (
            self.sense.patience(number, offer.wait) - (time - exchange.arrived) - self.still.older(exchange.arrived)
        )
        rungs = len(self.site.ladder.kb) - 1
        vw.cookie = cookie_out(vw.name, offer, viewer, rungs if offer.top is None else min(offer.top, rungs))
        if news := self.view.news(offer.title):
            self.runner.titles_changed([news])
        self.peaks.asked(offer.title, package)
        due = time + patience
        self.steps.at("taken")

        def ask(age):
            """age: of its first try at another manager, whose patience goes on; one that is over begins anew."""
            left = due - now()
            left = left - age if age < left else left
            self.runner.session_requested(
                interface.SessionRequest(
                    vw.id,
                    number,
                    row.title,
                    viewer,
                    max(0, left),
                    rungs if offer.top is None else min(offer.top, rungs),
                    row.first_cell,
                    row.cells,
                    round(offer.length * 10_000) if offer.length else 0,
                    False,
                    again,
                )
            )

        one = offer.key is None and self.one_each(offer)
        if one and not self.in_place(vw, (viewer, offer.title)):
            return
        if offer.key is None and not one or self.members.shell is None:
            ask(0)
        else:
            self.tries.first(vw, viewer, due, ask)

    def one_each(self, offer):
        """Whether this viewer may have one viewing of the title: the site says so, and the viewer who it is."""
        return self.site.front.one_per_viewer and offer.viewer is not None

    def in_place(self, vw, one):
        """An earlier one of the same viewer and title here makes room. False: it stays, and the new one is answered."""
        old = self.viewings.get(self.ones.get(one))
        self.ones[one] = vw.id
        if old is None:
            return True
        if self.tries.unsafe(old) and (old.plays or old.call is not None):
            self.ones[one] = old.id
            self.answer_early(vw, Refusal(409, "this viewer pushes this title already", [("Retry-After", "1")]))
            return False
        self.lines.info("in place of its first try", viewing=vw.id, of=old.key, age=now() - old.taken_at)
        askers, old.askers = old.askers, []
        if not self.tries.left(old):
            self.runner.client_left(old.id)
        for exchange in askers:
            exchange.respond(*Refusal(409, "the same viewer has asked anew").answer())
        return True

    def viewer_id(self, stated, exchange):
        """A viewer id that stays: the stated one, else one of the address and the player's own name."""
        said = "v:" + stated if stated else "a:" + self.address_of(exchange)
        return xxhash.xxh3_64_intdigest(said.encode())

    def meets(self, exchange, offer, viewer):
        """A retry under the same key joins its first try, or gets the answer kept for it."""
        key = viewer, offer.title, offer.key
        met = self.keys.meet(key, xxhash.xxh3_64_intdigest(offer.body), now())
        if isinstance(met, Clash):
            raise Refusal(422, "this Idempotency-Key came with another offer before")
        if isinstance(met, Joined) and (vw := self.viewings.get(met.id)):
            self.counts["joined"] += 1
            vw.askers.append(exchange)
            exchange.gone = lambda: self.asker_gone(vw, exchange)
            return True
        if isinstance(met, Kept) and met.id in self.viewings:
            self.counts["joined"] += 1
            exchange.respond(*met.answer)
            return True
        return False

    def asker_gone(self, vw, exchange):
        if exchange in vw.askers:
            vw.askers.remove(exchange)
        if not vw.askers and not vw.plays and not self.tries.left(vw):
            self.runner.client_left(vw.id)

    def answer_early(self, vw, no):
        """Answers a viewing that the module was not asked for."""
        self.counts["refused"] += 1
        askers, vw.askers = vw.askers, []
        self.dismiss(vw)
        for exchange in askers:
            exchange.respond(*no.answer())

    def joined(self, vw, held, stood):
        """A viewing taken over from its first try answers who asks for it again."""
        at = self.keys.by_id.get(vw.id)
        askers, held.offer, held.mark = vw.askers, vw.offer, vw.mark
        vw.askers = []
        self.dismiss(vw)
        reply = (
            201,
            [
                ("Content-Type", endpoint.SDP),
                ("Location", f"/session/{held.name}"),
                ("Etag", stood.etag),
                ("Accept-Patch", endpoint.FRAGMENT),
                *endpoint.CORS,
            ],
            stood.body.encode(),
        )
        if at is not None:
            self.keys.begin(at, xxhash.xxh3_64_intdigest(held.offer.body), held.id)
            self.keys.answered(held.id, reply, now())
        self.counts["joined"] += 1
        self.lines.info("joined its first try", viewing=held.id, box=held.box, key=held.key, trace=held.offer.trace)
        for exchange in askers:
            exchange.respond(*reply)

    def session(self, exchange, want):
        """The viewing of this name that plays here; whoever else may have it is named."""
        vw = self.names.get(want.name)
        if vw is not None and vw.plays:
            return vw
        path, _, query = exchange.request.target.partition("?")
        asked = query.removeprefix("asked=").split(".") if query.startswith("asked=") else []
        if at := self.members.present(want.name, asked):
            raise Refusal(
                307,
                "another manager has this session",
                [("Location", f"http://{at}{path}?asked={'.'.join([*asked, self.name])}")],
            )
        if self.members.jobs:
            raise Refusal(503, "sessions are just being taken over", [("Retry-After", "1")])
        raise Refusal(404, "no such session plays here")

    def delete(self, exchange, want):
        vw = self.session(exchange, want)
        self.lines.info("ended by its client", viewing=vw.id)
        self.runner.client_left(vw.id)
        exchange.respond(200, endpoint.CORS)

    def patch(self, exchange, want):
        """Passed on to the box that holds the session; its answer is the answer."""
        vw = self.session(exchange, want)

        def came(result):
            if not hasattr(result, "status"):
                if result.late:
                    exchange.refuse(504, "No video server answered in time")
                    return
                exchange.refuse(502, "The video server failed", result.detail)
                return
            keep = [
                (name.title(), result.headers[name])
                for name in ("etag", "content-type", "accept-patch")
                if name in result.headers
            ]
            exchange.respond(result.status, [*keep, *endpoint.CORS], result.body)

        host, port = vw.place
        call = self.boxes.pool.send(
            host,
            port,
            "PATCH",
            vw.path,
            [("Content-Type", endpoint.FRAGMENT), ("If-Match", want.match), *self.boxes.who],
            want.body,
            came,
            PATCH_S,
        )
        exchange.gone = call.cancel

    # The runner's port

    def now(self):
        return now()

    def wake_at(self, at):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(max(0, at - now()) / 10_000, self.ring)

    def ring(self):
        self.timer = None
        self.runner.tick()

    def start_attempt(self, id, nth, server, rung, left):
        vw = self.viewings[id]
        vw.key, vw.box, vw.tries, vw.began = f"{self.name}.{self.boot}.{id:x}.{nth}", server, nth + 1, now()
        self.by_key[vw.key] = id
        self.audit.did("setup", vw.key, server)
        if nth == 0:
            vw.slot_wait = max(0, self.runner.step_due_at - vw.taken_at)
        offer, key, place = vw.offer, vw.key, self.boxes.places.get(server)
        if not self.tries.may_go(vw, place):
            self.never_sent(id, nth, key, Outcome.LACKING)
            return
        headers = [
            ("Content-Type", endpoint.SDP),
            ("Idempotency-Key", f'"{key}"'),
            ("Flaxscale-Rung", str(rung)),
            ("Flaxscale-Patience", str(left // 10)),
            ("Flaxscale-Cookie", vw.cookie),
            *self.tries.fields(vw, place),
        ]
        if offer.trace:
            headers.append(("traceparent", offer.trace))
        title = offer.title if offer.title.isalnum() else quote(offer.title, safe="")
        vw.call = self.boxes.set_up(
            server,
            f"/{'whip' if offer.sends else 'whep'}/{title}",
            key,
            headers,
            offer.body,
            lambda *what: self.came(vw, nth, server, place, key, *what),
        )
        if vw.call is None:  # the list has just dropped it
            self.never_sent(id, nth, key, Outcome.UNREACHED)
        self.steps.at("sent")

    def never_sent(self, id, nth, key, how):
        self.not_out(key)
        self.loop.call_soon(self.runner.attempt_ended, id, nth, how, 0)

    def came(self, vw, nth, server, place, key, how, took, answer, notes):
        """The outcome of a set-up."""
        vw.call = None
        if how is not None:
            if how in (Outcome.RESET, Outcome.ERROR):
                self.boxes.end(server, key)  # it may have run: whatever stands there is ended
            self.not_out(key)
            self.lines.info("tune-in failed", viewing=vw.id, nth=nth, box=server, how=how.value, took=took)
            if vw.done:
                self.dismiss(vw)
            self.runner.attempt_ended(vw.id, nth, how, took)
            return
        self.steps.at("begun")
        if key in self.early:  # over, or another's, before its own answer was read
            self.not_out(key)
            if vw.done:
                self.dismiss(vw)
            self.runner.attempt_ended(vw.id, nth, Outcome.RESET, took)
            return
        vw.came, vw.path, vw.place = answer, answer.headers["location"], place[:2]
        self.boxes.plays(server, key, vw.id, answer.headers.get("flaxscale-boot"))
        if not self.runner.attempt_succeeded(vw.id, nth, took, notes):
            self.boxes.end(server, key)
            self.dismiss(vw)

    def abandon_attempt(self, id, nth, server):
        vw = self.viewings[id]
        call, vw.call = vw.call, None
        sent = call.cancel() if call is not None else False
        if sent:
            self.boxes.end(server, vw.key)
        self.not_out(vw.key)
        if vw.done:
            self.dismiss(vw)
        self.lines.info("tune-in given up", viewing=id, nth=nth, box=server, sent=sent)
        return sent

    def end_session(self, id, nth, server):
        vw = self.viewings[id]
        self.boxes.end(server, vw.key)
        self.dismiss(vw)

    def set_rung(self, id, nth, server, rung):
        self.boxes.set_rung(server, self.viewings[id].key, rung)

    def answer(self, id, answer):
        vw = self.viewings[id]
        self.counts[answer.kind.value] += 1
        self.audit.did("answer" if answer.kind is AnswerKind.PLAYS else "refusal", vw.name)
        if answer.kind is AnswerKind.PLAYS:
            vw.plays = True
            reply = self.played(vw)
            self.keys.answered(id, reply, now())
        else:
            self.keys.answered(id, None, now())
            reply = self.turned_away(answer) if answer.kind is not AnswerKind.LEFT else None
            vw.done = True
            if vw.call is None:  # else it is kept until its tune-in is called off or comes back
                self.dismiss(vw)
        self.lines.info(
            "answered",
            viewing=id,
            fate=answer.kind.value,
            box=answer.server,
            rung=answer.rung,
            tries=vw.tries,
            after=now() - vw.asked_at,
            slot_wait=vw.slot_wait,
            overdue=answer.overdue,
            trace=vw.offer.trace,
        )
        if vw.offer is not None and answer.kind is not AnswerKind.LEFT:
            self.gate.answered(now() - vw.taken_at)
        askers, vw.askers = vw.askers, []

        def say(more=()):
            for exchange in askers:
                if reply is not None:
                    status, headers, body = reply
                    exchange.respond(status, [*headers, *more], body)
            self.steps.at("answered")

        if not (vw.plays and self.journal.put_down(vw, reply, say)):
            say()

    def played(self, vw):
        came = vw.came
        rows = [("Content-Type", endpoint.SDP), ("Location", f"/session/{vw.name}")]
        rows += [(name.title(), came.headers[name]) for name in ("etag", "link") if name in came.headers]
        rows.append(("Accept-Patch", endpoint.FRAGMENT))
        if vw.offer.wait is not None:
            rows.append(("Preference-Applied", f"wait={vw.offer.wait}"))
        return 201, [*rows, *endpoint.CORS], came.body

    def turned_away(self, answer):
        if answer.kind is AnswerKind.BLOCKED:
            rows = [("Retry-After", str(max(1, fields.seconds_up(answer.hold_off))))] if answer.hold_off else []
            no = Refusal(
                503, "nothing that holds this title has room", rows, fate="blocked", hold_off_ms=answer.hold_off / 10
            )
        elif answer.overdue or answer.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED, None):
            no = Refusal(504, "no video server answered in time", fate="aborted")
        else:
            no = Refusal(502, f"the video server failed: {answer.outcome.value}", fate="aborted")
        return no.answer()

    def dismiss(self, vw):
        """Nothing of this viewing is left to hear of."""
        self.viewings.pop(vw.id, None)
        self.names.pop(vw.name, None)
        self.journal.over(vw.name)
        self.keys.forget(vw.id)
        self.not_out(vw.key)

    def probe(self, server):
        self.boxes.probe(server, lambda how, took, figures: self.runner.probe_ended(server, how, took, figures))

    def tell_peers(self, server, kb):
        if self.members.shell:
            self.members.shell.report_load(server, kb)

    def log(self, text):
        self.lines.warning("runner", text=text)

    # From boxes

    def is_out(self, key):
        return key in self.by_key or key in self.members.book.claims

    def found(self, box, keys):
        """Sessions that a box holds for us and we do not know: of an earlier life they are taken up, else ended."""
        life = f"{self.name}.{self.boot}."
        for key in keys:
            if key.startswith(life):
                self.boxes.end(box, key)
        if any(not key.startswith(life) for key in keys):
            self.members.listed([box])
        else:  # a box that answers nothing may still say by its stream that it has none
            self.members.said(box)

    def seat_of(self, cookie):
        """(title, package) as the module numbers them, which hears what the title is; None where it is not known."""
        row, package = self.entry(cookie.title, cookie.sends)
        if package is None:
            return None
        if news := self.view.news(cookie.title):
            self.runner.titles_changed([news])
        return row.title, self.sense.packages[package]

    def value_of(self, cookie):
        """What a second of a viewing is worth; 0 where its title is not known."""
        package = self.entry(cookie.title, cookie.sends)[1]
        return self.site.packages[package].value if package is not None else 0

    def has_seat(self, seat, own):
        """Whether a claim may take one more: seats bound a manager in what it takes over too.

        own: of what an earlier life left, which is among what may be out there; another's comes on top of that.
        """
        manager = self.runner.manager
        return manager.has_seat(seat, () if own else manager.servers.values())

    def let_end(self, box, key, epoch, why):
        """Ends a session there that is ours by name and epoch, and that we don't hold."""
        self.boxes.epochs[key] = epoch
        self.boxes.end(box, key)
        self.lines.info("ended instead of taken over", box=box, key=key, why=why)

    def ended_there(self, key):
        self.members.ended_there(key)

    def adopted(self, box, place, key, epoch, row, cookie, boot, orphan):
        """A box granted a claim: the viewing plays on, under this manager."""
        if key in self.boxes.keys(box):  # claimed twice: for its client, and as what a dead one left
            self.boxes.epochs[key] = max(epoch, self.boxes.epochs.get(key, 0))
            return
        entry, package = self.entry(cookie.title, cookie.sends)
        if package is None or orphan or cookie.name in self.names or key in self.boxes.owed.keys(box):
            self.let_end(box, key, epoch, "nobody watches" if orphan else "not known, or held already")
            return
        self.ids += 1
        vw = self.viewings[self.ids] = Viewing(self.ids, None, None, self.name)
        vw.name, vw.key, vw.box, vw.place, vw.path, vw.plays = cookie.name, key, box, place[:2], row.location, True
        self.names[vw.name] = vw
        if news := self.view.news(cookie.title):
            self.runner.titles_changed([news])
        self.boxes.plays(box, key, vw.id, boot, epoch)
        self.boxes.keep_stream(box)
        self.runner.session_handed_over(
            ask_of(vw.id, cookie, self.sense.packages[package], entry.title, entry, len(self.site.ladder.kb) - 1),
            box,
            row.rung,
            round(row.age_ms * 10),
        )
        self.journal.restore(vw)
        self.lines.info("took over", viewing=vw.id, box=box, key=key, epoch=epoch)

    def noted(self, id, kind, amount):
        self.runner.playback_note(id, kind, amount)

    def not_out(self, key):
        self.by_key.pop(key, None)
        self.early.discard(key)

    def over_early(self, key):
        """A box says that what is still out is over, or another's: its answer is on another way, and may come later."""
        if key in self.by_key:
            self.early.add(key)
        self.members.over_early(key)

    def session_over(self, id, how, to=""):
        """to: the manager that has it now, where its box said so."""
        vw, held = self.viewings.get(id), self.runner.sessions.get(id)
        if vw is None:
            return
        if to:
            self.members.moved(vw.name, to)
        self.dismiss(vw)
        self.lines.info("over", viewing=id, how=how.value)
        if held is not None:
            self.runner.attempt_ended(id, held.nth, how, now() - held.sent_at)

    def listed(self, kind, entries):
        before = set(self.boxes.places)
        self.audit.renew()
        self.boxes.placed(self.book.places)
        self.members.listed(set(self.book.places) - before)
        self.lines.info("listed", kind=kind.value, boxes=len(entries), version=self.book.version)
        self.runner.server_list_changed(kind, entries)

    # From the catalogue

    def title_news(self, titles, version):
        """A version was taken: the module hears at once of the titles that it knows."""
        self.fleet.versions(self.watch.follower)
        self.audit.renew()
        if titles is not None:
            self.runner.titles_changed(self.view.changed(titles))

    def check_titles(self, titles):
        """A version that does not fit this manager's own terms is refused; the last good one serves on."""
        rungs = len(self.site.ladder.kb)
        for title in titles.values():
            if title is None:
                continue
            for package in (title.view, title.push):
                if package is not None and package not in self.sense.packages:
                    raise ValueError(f"title {title.name[:60]!r}: this manager knows no package {package[:60]!r}")
            if title.top >= rungs:
                raise ValueError(
                    f"title {title.name[:60]!r}: rung {title.top}, this manager's ladder ends at {rungs - 1}"
                )

    def seats_in_use(self):
        names = {title_id(name): name for name in self.view.told}
        rows = list(self.sense.rows.items())
        return {
            (names[title], rows[p][0]): n
            for (title, p), n in self.runner.manager.seats.taken.items()
            if rows[p][1].seats and title in names
        }

    def holders(self, title):
        """Boxes that hold a title, as far as this manager knows."""
        if self.watch is not None:
            found = self.watch.follower.titles.get(title)
            return found.may_take() if found else ()
        entry = self.view.look(title, now())
        cells = self.site.fleet.cells
        return [
            id
            for id, srv in self.runner.manager.servers.items()
            if entry and (srv.row.cell - entry.first_cell) % cells < entry.cells
        ]

    def catalogue_state(self):
        if self.watch is None:
            return {"from": "site file", "titles": len(self.view.entries)}
        follower, age = self.watch.follower, self.watch.age_s()
        return {
            "from": "service",
            "up": self.watch.up,
            "epoch": follower.epoch,
            "version": follower.version,
            "titles": len(follower.titles),
            "heard_s_ago": age,
            "told_module": len(self.view.told),
        }

    def settings(self):
        return {"site": self.site.name, "mark": self.mark, **self.load_counts}

    def state(self):
        boxes = {}
        for id, row in self.book.rows.items():
            srv = self.runner.manager.servers.get(id)
            watch = self.boxes.watches.get(id)
            boxes[id] = {
                "address": row.address,
                "state": row.state,
                "cell": row.cell,
                "viewings": len(srv.viewings) if srv else 0,
                "use": round(srv.use(), 3) if srv else None,
                "stream": watch.state.value if watch else "off",
            }
        age = None if self.book.told_at is None else (now() - self.book.told_at) / 10_000
        return json.dumps(
            {
                "manager": self.name,
                "boot": self.boot,
                "list_version": self.book.version,
                "list_heard_s_ago": age,
                "viewings": len(self.viewings),
                "counts": self.counts,
                "gone_at_door": self.server.gone_at_door,
                "settings": self.settings(),
                "owed": self.boxes.owed.count(),
                "faults": self.runner.faults,
                "overdue": self.runner.overdue,
                "catalogue": self.catalogue_state(),
                "peaks": self.peaks.state(),
                "members": self.members.state(),
                "gate": self.gate.state(),
                "audit": self.audit.state(),
                "fleet": self.fleet.state(),
                "first_tries": self.tries.counts,
                "lent": self.lent.counts,
                "duties": self.duties.state(),
                "boxes": boxes,
            }
        ).encode()
