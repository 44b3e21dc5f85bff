"""One session manager on sockets: turns HTTP requests into runner events and runner actions into requests to boxes.

Implements the runner's port. The decision module selects box and rung, decides about retries and giving up, and
determines the answer; the code here only carries that out.
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
from ..admission.stall import StallDetector
from ..catalogue.title_lookup import CatalogueTitles, SiteTitles, title_id
from ..http1 import fields
from ..http1.server import Limits
from ..interface import Outcome
from ..members import drain_requests
from ..recovery.boxes import BoxTable
from ..recovery.keys import Answered, InProgress, KeyTable, PayloadMismatch
from ..run import AnswerKind, Runner
from ..serve.clock import now
from ..serve.server import Server, Timeouts
from ..signalling import endpoint
from ..signalling.endpoint import Refusal
from ..site.change import refusals
from ..site.load import SiteError, raise_first_fault
from ..site.terms import ManagerSite
from ..store.files import Files
from .audit import FrontAudit
from .boxes import Boxes
from .duties import FrontDuties
from .failpoints import Failpoints
from .fleet import FrontFleet
from .journal import FrontJournal
from .listing import ListFollower
from .members import FrontMembers, encode_cookie, handover_request
from .peaks import FrontPeaks
from .release_replicas import FrontReleaseReplicas
from .retries import FrontRetries

RETRY_WINDOW = 300_000  # tenths of a millisecond; within this time a viewer's second request for a title is a retry
LAG_PROBE_INTERVAL_S = 0.025  # interval of the timer that measures the lag of the event loop
REDIRECT_LINGER_S = 1.0  # a leaving manager redirects requests this long: load balancers stop sending late
FIRST_REQUEST_GRACE_S = 0.2  # a connection accepted just before a stop has this long to send its first request
PATCH_TIMEOUT_S = 5.0  # a PATCH fails when the box has not answered within this time


class Viewing:
    """State of one viewing: the client requests that wait, the session at its box and the box's answer."""

    __slots__ = (
        "id",
        "offer",
        "exchanges",
        "name",
        "key",
        "setup_call",
        "box_answer",
        "box",
        "session_path",
        "box_address",
        "attempts",
        "plays",
        "closed",
        "requested_at",
        "accepted_at",
        "setup_sent_at",
        "slot_wait",
        "cookie",
        "key_digest",
    )

    def __init__(self, id, offer, exchange, manager):
        self.id, self.offer, self.exchanges = id, offer, [exchange] if exchange is not None else []
        self.name, self.cookie = f"{manager}.{id:x}-{secrets.token_urlsafe(12)}", ""
        self.key_digest = ""  # digest of viewer, title and Idempotency-Key, where earlier attempts are looked up by it
        self.key = self.setup_call = self.box_answer = self.box = self.session_path = self.box_address = None
        self.attempts, self.plays, self.closed, self.setup_sent_at = 0, False, False, None
        self.requested_at = self.accepted_at = now()
        # time that the decision module's slot delayed the first set-up, without the lateness of the timer
        self.slot_wait = 0


def digest_of(site):
    """Returns a digest of the settings: the same file gives the same digest at every manager."""
    return f"{xxhash.xxh3_64_intdigest(msgspec.json.encode(site)):016x}"


class Front:
    """One session manager: its HTTP server, its parts and the port of its runner."""

    def __init__(
        self,
        site_terms,
        logger,
        list_address=None,
        state_folder=None,
        observer=None,
        catalogue_address=None,
        members=None,
        read_settings=None,
        begin_stop=None,
        member_routes=None,
        make_files=Files,
        unversioned=False,
        failpoints=None,
    ):
        """Builds a session manager.

        members: seeds of other managers, as [HOST:PORT]; None disables messages between managers.
        member_routes: as in FrontMembers. make_files: creates the file access for a folder.
        unversioned: sends no information about versions, as an older build would.
        failpoints: for the lab only; none in service.

        read_settings: returns the current, checked settings file, or raises SiteError if it is invalid.
        begin_stop: starts the planned stop of this process, called at most once.
        """
        self.read_settings, self.begin_stop, self.reload_counts = read_settings, begin_stop, {"loaded": 0, "refused": 0}
        self.site_terms, self.site, self.settings_digest, self.logger = (
            site_terms,
            site_terms.site,
            digest_of(site_terms.site),
            logger,
        )
        self.boot, self.name = secrets.token_hex(4), f"m{site_terms.me}"
        self.runner = Runner(site_terms.terms, self, observer)
        self.boxes = Boxes(self, site_terms, self.name, self.boot, logger)
        fleet = self.site.fleet
        self.box_list = BoxTable(site_terms.kinds, site_terms.zones, fleet.cells, site_terms.terms.rules.warm_up_time)
        self.list_follower = (
            ListFollower(list_address, self.name, self.box_list, state_folder, self.list_changed, logger)
            if list_address
            else None
        )
        self.catalogue_watch, self.catalogue_view = None, SiteTitles(self.site)
        if catalogue_address:
            from ..catalogued.watch import CatalogueWatch  # loading gRPC is slow, and most tests do not need it

            catalogue_files = (
                make_files(f"{state_folder}/catalogue-{self.name}", durable=False) if state_folder else None
            )
            self.catalogue_watch = CatalogueWatch(
                catalogue_address,
                self.name,
                "manager",
                self.titles_changed,
                logger,
                catalogue_files,
                self.check_titles,
                self.seats_in_use,
            )
            self.catalogue_view = CatalogueTitles(site_terms, self.catalogue_watch.follower)
        self.peaks = FrontPeaks(
            self,
            catalogue_address,
            make_files(f"{state_folder}/peaks-{self.name}", durable=False)
            if state_folder and catalogue_address
            else None,
        )
        self.fleet, self.unversioned, self.failpoints = FrontFleet(self), unversioned, failpoints or Failpoints()
        self.retries, self.release_replicas, self.duties = (
            FrontRetries(self),
            FrontReleaseReplicas(self),
            FrontDuties(self),
        )
        self.members = FrontMembers(
            self, self.site.front.member_keys, members or (), members is not None, member_routes
        )
        self.journal = FrontJournal(self, make_files(f"{state_folder}/keys-{self.name}") if state_folder else None)
        self.audit = FrontAudit(
            self, make_files(f"{state_folder}/account-{self.name}", durable=False) if state_folder else None
        )
        self.gate = Gate(site_terms.seed, self.site.front.gate)
        self.stall_detector = StallDetector(now(), round(LAG_PROBE_INTERVAL_S * 10_000))
        front_settings = self.site.front
        self.key_book = KeyTable(round(front_settings.keep_answers_ms * 10))
        self.server = Server(
            self.handle,
            Limits(front_settings.head_bytes, 64, 2048, front_settings.body_bytes),
            Timeouts(
                round(front_settings.head_ms * 10),
                round(front_settings.body_ms * 10),
                round(front_settings.idle_ms * 10),
            ),
            front_settings.connections,
            drop_disconnected=lambda: self.stall_detector.max_unread_wait(now()) > 0,
        )
        self.viewings, self.sessions_by_name, self.pending_setups, self.recent_requests = {}, {}, {}, {}
        self.ended_early = set()  # keys of pending set-ups that ended, by the box's stream, before their answer
        self.single_viewings = {}  # {(viewer, title): viewing id}, where only one each is allowed
        self.last_id, self.wake_timer, self.lag_timer = 0, None, None
        self.loop = self.address = None
        self.counts = dict.fromkeys(
            ("taken", "plays", "blocked", "aborted", "left", "refused", "joined", "turned_away"), 0
        )
        self.housekeeping = None

    # Settings

    def reload(self):
        """Reads the settings file again and applies it; SiteError names what this manager can't change while running.

        The new settings are read and checked completely before any of them is applied.
        """
        try:
            if self.read_settings is None:
                raise SiteError("settings", "", "no settings file is available to read again")
            site, previous = self.read_settings(), self.site_terms
            raise_first_fault("settings in service", self.refusals(site))
            site_terms = ManagerSite(site, previous.me, site.zones.index(previous.zone_name), previous.seed, previous)
        except SiteError as error:
            self.logger.warning("settings refused", detail=str(error))
            self.reload_counts["refused"] += 1
            raise
        self.site_terms, self.site, self.settings_digest = site_terms, site, digest_of(site)
        self.boxes.apply_settings(site_terms)
        self.box_list.configure(
            site_terms.kinds, site_terms.zones, site.fleet.cells, site_terms.terms.rules.warm_up_time
        )
        if self.catalogue_watch is None:
            self.catalogue_view = SiteTitles(site)
        else:
            self.catalogue_view.packages = site_terms.packages
        self.key_book.retention, self.gate.on = round(site.front.keep_answers_ms * 10), site.front.gate
        self.peaks.apply_settings(site)
        self.runner.terms_changed(site_terms.terms)
        self.reload_counts["loaded"] += 1
        self.audit.update_stamp()
        self.logger.info("settings loaded", site=site.name, mark=self.settings_digest, viewings=len(self.viewings))

    def refusals(self, site):
        """Returns [(key, reason)] for the settings that can't change while this manager runs."""
        package_names = list(self.site_terms.package_rows)
        in_use = Counter(
            package_names[session_record.request.package] for session_record in self.runner.sessions.values()
        )
        reasons = refusals(
            self.site,
            site,
            self.site_terms.zone_name,
            self.site_terms.me,
            in_use,
            self.box_list.rows.values(),
            self.runner.manager.retries.longest_span / 10,
        )
        if self.catalogue_watch is not None:  # the catalogue may refer to packages that no viewing uses yet
            referenced = {
                name
                for title in self.catalogue_watch.follower.titles.values()
                for name in (title.view, title.push)
                if name
            }
            reasons += [
                (f"packages.{name}", "the package kept while titles of the catalogue use it")
                for name in sorted(referenced - set(site.packages))
            ]
        return reasons

    # Start and stop

    async def start(self, host, port, member_port=0):
        self.loop = asyncio.get_running_loop()
        self.audit.start()
        if self.list_follower:
            self.list_follower.start()
        if self.catalogue_watch:
            self.catalogue_watch.start()
        self.peaks.start()
        self.address = await self.server.listen(host, port)
        await self.members.start(host, member_port, self.address)
        self.fleet.start()
        self.release_replicas.start()
        self.duties.start()
        self.members.recover()
        self.measure_lag(now())
        self.run_housekeeping()
        return self.address

    def run_housekeeping(self):
        """Removes expired entries every few seconds."""
        self.boxes.pool.sweep()
        expired_before = now() - RETRY_WINDOW
        for request in [request for request, at in self.recent_requests.items() if at < expired_before]:
            del self.recent_requests[request]
        self.single_viewings = {
            viewer_title: id for viewer_title, id in self.single_viewings.items() if id in self.viewings
        }
        self.key_book.expire(now())
        if self.catalogue_watch:
            held_titles = {session_record.request.title for session_record in self.runner.sessions.values()}
            self.runner.titles_changed(self.catalogue_view.forget_unused(now(), held_titles))
        self.housekeeping = self.loop.call_later(5.0, self.run_housekeeping)

    async def stop(self, grace=3.0):
        """Accepts no new viewings, answers the pending ones, and hands playing ones to other managers or ends them.

        While other managers are alive, new requests are redirected to one of them and playing sessions are left
        unchanged: the other managers claim them as soon as they learn that this manager has left.
        """
        await self.duties.stop()
        self.fleet.stop()
        self.retries.stop()
        self.release_replicas.stop()
        hand_over = len(self.members.alive()) > 1
        if not hand_over:
            self.server.stop_listening()
        self.server.stopping = True
        until = self.loop.time() + grace
        while any(not viewing.plays for viewing in self.viewings.values()) and self.loop.time() < until:
            await asyncio.sleep(0.01)
        if hand_over:
            self.members.leave()
            linger_until = self.loop.time() + REDIRECT_LINGER_S
            while self.loop.time() < until and (
                self.loop.time() < linger_until or any(viewing.plays for viewing in self.viewings.values())
            ):
                # a viewing is removed when its box reports that another manager has claimed it
                await asyncio.sleep(0.01)
            self.server.stop_listening()
            # A connection accepted just before may still send its first request, which is redirected too.
            fresh_until = self.loop.time() + FIRST_REQUEST_GRACE_S
            while any(connection.unread for connection in self.server.connections) and self.loop.time() < fresh_until:
                await asyncio.sleep(0.01)
            self.logger.info("handed over", left=len(self.viewings))
        for id in list(self.viewings):
            self.runner.client_left(id)
        while self.boxes.pending_releases.count() and self.loop.time() < until:
            await asyncio.sleep(0.01)
        if self.list_follower:
            self.list_follower.stop()
        if self.catalogue_watch:
            await self.catalogue_watch.stop()
        await self.peaks.stop()
        await self.members.stop()
        self.journal.stop()
        self.audit.stop()
        for timer in (self.housekeeping, self.wake_timer, self.lag_timer):
            if timer is not None:
                timer.cancel()
        await self.server.stop()
        await self.boxes.close()

    # Client requests

    def handle(self, exchange):
        """Dispatches a client request and answers it on refusal or error."""
        try:
            segments, args = endpoint.split_target(exchange.request.target)
            if segments[0] not in ("whep", "whip", "session"):
                self.handle_other(exchange, segments)
                return
            if exchange.request.method == "POST" and segments[0] != "session" and len(segments) == 2:
                self.check_admission(exchange, segments[1], args)
            wanted = endpoint.parse_request(exchange.request, segments, args, self.site.front.tokens)
            if isinstance(wanted, endpoint.Offer):
                self.accept_offer(exchange, wanted)
            elif isinstance(wanted, endpoint.Options):
                exchange.respond(204, endpoint.options_headers(wanted))
            elif isinstance(wanted, endpoint.Delete):
                self.delete(exchange, wanted)
            else:
                self.patch(exchange, wanted)
        except Refusal as refusal:
            self.counts["refused"] += 1
            exchange.respond(*refusal.answer())
        except Exception as error:  # an error in one request must not affect others
            self.logger.error("fault", error=f"{type(error).__name__}: {error}", target=exchange.request.target[:100])
            exchange.refuse(500, "An error of ours")

    def handle_other(self, exchange, segments):
        """Dispatches requests of operators and of other managers."""
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
            except SiteError as error:
                raise Refusal(422, str(error), key=error.key) from None
            exchange.respond(200, [("Content-Type", "application/json")], json.dumps(self.settings()).encode())
            return
        raise Refusal(404, "the path is /whep/TITLE, /whip/TITLE or /session/NAME")

    def drain(self, exchange):
        """Handles an operator's order to drain this manager or another; members.drain_requests decides on the reply."""
        self.check_operator(exchange, "only SIGTERM drains it")
        if exchange.request.method == "GET":  # lists the managers and boot ids that an order may name
            boots = {name: self.members.member(name).boot for name in self.members.alive() if name != self.name}
            exchange.respond(
                200,
                [("Content-Type", "application/json")],
                json.dumps({"manager": self.name, "lives": {self.name: self.boot, **boots}}).encode(),
            )
            return
        args = dict(parse_qsl(exchange.request.target.partition("?")[2]))
        manager_name = args.get("manager", "")
        step = drain_requests.resolve(
            manager_name,
            args.get("life", ""),
            self.name,
            self.boot,
            self.server.stopping,
            self.members.member(manager_name),
        )
        report = {
            "manager": manager_name or self.name,
            "viewings": len(self.viewings),
            "others": len(self.members.alive()) - 1,
        }
        match step:
            case drain_requests.DrainSelf(already_stopping):
                if self.begin_stop is None:
                    raise Refusal(409, "this process can't be stopped by a request")
                exchange.respond(202, [("Content-Type", "application/json")], json.dumps(report).encode())
                if not already_stopping:
                    self.logger.info("drain asked for", viewings=len(self.viewings))
                    self.begin_stop()
            case drain_requests.Forward(serves):
                raise Refusal(
                    307,
                    f"{manager_name} handles this request",
                    [("Location", f"http://{serves}{exchange.request.target}")],
                )
            case drain_requests.LifeEnded(reason):
                exchange.respond(
                    200,
                    [("Content-Type", "application/json")],
                    json.dumps({"manager": manager_name, "over": reason}).encode(),
                )
            case drain_requests.UnknownManager():
                raise Refusal(404, f"no manager {manager_name[:60]!r} is known here")

    def check_operator(self, exchange, alternative):
        """Refuses a request without the operators' token."""
        if self.site.front.fleet_token is None:
            raise Refusal(403, f"without a fleet_token in the settings {alternative}")
        endpoint.check_token(exchange.request.headers, [self.site.front.fleet_token])

    def title_entry(self, title, sends):
        """Returns (catalogue entry, package name) for watching or pushing a title; each is None if there is none."""
        entry = self.catalogue_view.find(title, now())
        return entry, entry and (entry.push if sends else entry.view)

    def check_admission(self, exchange, title, args):
        """Refuses a request before its offer is read if it can't be answered in time or repeats too soon."""
        headers = exchange.request.headers
        _, package = self.title_entry(title, exchange.request.target.startswith("/whip/"))
        if package is None:
            return
        stated = args.get("viewer") or headers.get("flaxscale-viewer")
        time_now, client = now(), stated or self.client_address(exchange)
        remaining = (
            self.site_terms.patience(self.site_terms.packages[package], fields.prefer_wait(headers.get("prefer")))
            - (time_now - exchange.arrived)
            - self.stall_detector.max_unread_wait(exchange.arrived)
        )
        is_retry = (
            time_now - self.recent_requests.get((self.viewer_id(stated, exchange), title), -RETRY_WINDOW) < RETRY_WINDOW
        )
        value = self.site.packages[package].value
        if refusal := self.gate.check(time_now, client, remaining, is_retry, title, value):
            self.counts["turned_away"] += 1
            raise Refusal(
                503,
                "this manager is overloaded" if refusal.why in ("behind", "late") else "too many requests",
                [("Retry-After", str(max(1, fields.whole_seconds(refusal.hold_off))))],
                fate="blocked",
                hold_off_ms=refusal.hold_off / 10,
                why=refusal.why,
            )

    def client_address(self, exchange):
        """Returns the client's address and user agent."""
        peer = exchange.connection.transport.get_extra_info("peername") or ("",)
        return f"{peer[0]}:{exchange.request.headers.get('user-agent', '')}"

    def measure_lag(self, due):
        """Measures how late a periodic timer fires and passes the lag to the admission gate."""
        self.stall_detector.timer_fired(now())
        self.gate.record_lag(now(), max(0, now() - due))
        self.lag_timer = self.loop.call_later(
            LAG_PROBE_INTERVAL_S, self.measure_lag, now() + round(LAG_PROBE_INTERVAL_S * 10_000)
        )

    def accept_offer(self, exchange, offer):
        """Starts a viewing for an offer, unless it is a retry or must be refused."""
        entry, package = self.title_entry(offer.title, offer.sends)
        if package is None:
            raise Refusal(404, f"no title {offer.title[:60]!r} to {'push' if offer.sends else 'watch'}")
        if self.server.stopping:
            if alternative := self.members.alternative_for(offer.viewer or offer.ufrag):
                raise Refusal(
                    307,
                    "this manager is leaving service",
                    [("Location", f"http://{alternative}{exchange.request.target}")],
                )
            raise Refusal(503, "this manager is leaving service", [("Retry-After", "1")])
        self.fleet.redirect_if_out_of_service(exchange, offer.viewer or offer.ufrag)
        if len(self.viewings) >= self.site.front.held_most:
            raise Refusal(503, "this manager holds its maximum number of viewings", [("Retry-After", "1")])
        viewer = self.viewer_id(offer.viewer, exchange)
        if offer.key is not None and self.join_by_key(exchange, offer, viewer):
            return
        package_number = self.site_terms.packages[package]
        self.last_id += 1
        viewing = self.viewings[self.last_id] = Viewing(self.last_id, offer, exchange, self.name)
        self.sessions_by_name[viewing.name] = viewing
        exchange.on_disconnect = lambda: self.client_gone(viewing, exchange)
        if offer.key is not None:
            self.key_book.begin((viewer, offer.title, offer.key), xxhash.xxh3_64_intdigest(offer.body), viewing.id)
        time_now = now()
        is_retry = time_now - self.recent_requests.get((viewer, offer.title), -RETRY_WINDOW) < RETRY_WINDOW
        self.recent_requests[viewer, offer.title] = time_now
        self.counts["taken"] += 1
        viewing.requested_at = exchange.arrived
        patience = (
            self.site_terms.patience(package_number, offer.wait)
            - (time_now - exchange.arrived)
            - self.stall_detector.max_unread_wait(exchange.arrived)
        )
        highest_rung = len(self.site.ladder.kb) - 1
        viewing.cookie = encode_cookie(
            viewing.name, offer, viewer, highest_rung if offer.top is None else min(offer.top, highest_rung)
        )
        if event := self.catalogue_view.pending_update(offer.title):
            self.runner.titles_changed([event])
        self.peaks.count_request(offer.title, package)
        deadline = time_now + patience
        self.failpoints.reach("taken")

        def proceed(age):
            """Asks the decision module for a placement.

            age: time since the earlier attempt at another manager, which counts against the patience; an attempt
            older than the patience is ignored and the viewing gets its full time.
            """
            remaining = deadline - now()
            remaining = remaining - age if age < remaining else remaining
            self.runner.session_requested(
                interface.SessionRequest(
                    viewing.id,
                    package_number,
                    entry.title,
                    viewer,
                    max(0, remaining),
                    highest_rung if offer.top is None else min(offer.top, highest_rung),
                    entry.first_cell,
                    entry.cells,
                    round(offer.length * 10_000) if offer.length else 0,
                    False,
                    is_retry,
                )
            )

        is_single = offer.key is None and self.is_single_viewing(offer)
        if is_single and not self.replace_earlier(viewing, (viewer, offer.title)):
            return
        if offer.key is None and not is_single or self.members.shell is None:
            proceed(0)
        else:
            self.retries.start(viewing, viewer, deadline, proceed)

    def is_single_viewing(self, offer):
        """Tells whether the viewer may have only one viewing of the title: set by the site, for identified viewers."""
        return self.site.front.one_per_viewer and offer.viewer is not None

    def replace_earlier(self, viewing, viewer_title):
        """Ends the earlier viewing of the same viewer and title; False if it stays and the new request was refused."""
        earlier = self.viewings.get(self.single_viewings.get(viewer_title))
        self.single_viewings[viewer_title] = viewing.id
        if earlier is None:
            return True
        if self.retries.is_unsafe(earlier) and (earlier.plays or earlier.setup_call is not None):
            self.single_viewings[viewer_title] = earlier.id
            self.refuse_unplaced(viewing, Refusal(409, "this viewer pushes this title already", [("Retry-After", "1")]))
            return False
        self.logger.info(
            "earlier viewing replaced", viewing=viewing.id, of=earlier.key, age=now() - earlier.accepted_at
        )
        exchanges, earlier.exchanges = earlier.exchanges, []
        if not self.retries.cancel(earlier):
            self.runner.client_left(earlier.id)
        for exchange in exchanges:
            exchange.respond(*Refusal(409, "replaced by a newer request of the same viewer").answer())
        return True

    def viewer_id(self, stated, exchange):
        """Returns a stable viewer id: from the stated one, else from the client's address and user agent."""
        identity = "v:" + stated if stated else "a:" + self.client_address(exchange)
        return xxhash.xxh3_64_intdigest(identity.encode())

    def join_by_key(self, exchange, offer, viewer):
        """Joins a retry to the viewing of the same key or sends the stored answer; False if there is neither."""
        key = viewer, offer.title, offer.key
        known = self.key_book.lookup(key, xxhash.xxh3_64_intdigest(offer.body), now())
        if isinstance(known, PayloadMismatch):
            raise Refusal(422, "this Idempotency-Key was used with another offer before")
        if isinstance(known, InProgress) and (viewing := self.viewings.get(known.id)):
            self.counts["joined"] += 1
            viewing.exchanges.append(exchange)
            exchange.on_disconnect = lambda: self.client_gone(viewing, exchange)
            return True
        if isinstance(known, Answered) and known.id in self.viewings:
            self.counts["joined"] += 1
            exchange.respond(*known.answer)
            return True
        return False

    def client_gone(self, viewing, exchange):
        """Ends a pending viewing when the last client request that waits for it is gone."""
        if exchange in viewing.exchanges:
            viewing.exchanges.remove(exchange)
        if not viewing.exchanges and not viewing.plays and not self.retries.cancel(viewing):
            self.runner.client_left(viewing.id)

    def refuse_unplaced(self, viewing, refusal):
        """Refuses a viewing for which the decision module was not asked."""
        self.counts["refused"] += 1
        exchanges, viewing.exchanges = viewing.exchanges, []
        self.drop_viewing(viewing)
        for exchange in exchanges:
            exchange.respond(*refusal.answer())

    def answer_joined(self, viewing, taken_over, session):
        """Answers a retry with the session of its earlier attempt, which this manager has taken over."""
        client_key = self.key_book.by_id.get(viewing.id)
        exchanges, taken_over.offer, taken_over.key_digest = viewing.exchanges, viewing.offer, viewing.key_digest
        viewing.exchanges = []
        self.drop_viewing(viewing)
        reply = (
            201,
            [
                ("Content-Type", endpoint.SDP),
                ("Location", f"/session/{taken_over.name}"),
                ("Etag", session.etag),
                ("Accept-Patch", endpoint.FRAGMENT),
                *endpoint.CORS,
            ],
            session.body.encode(),
        )
        if client_key is not None:
            self.key_book.begin(client_key, xxhash.xxh3_64_intdigest(taken_over.offer.body), taken_over.id)
            self.key_book.complete(taken_over.id, reply, now())
        self.counts["joined"] += 1
        self.logger.info(
            "joined its first try",
            viewing=taken_over.id,
            box=taken_over.box,
            key=taken_over.key,
            trace=taken_over.offer.trace,
        )
        for exchange in exchanges:
            exchange.respond(*reply)

    def find_session(self, exchange, wanted):
        """Returns the playing viewing of this name; otherwise refuses, or redirects to the manager that may hold it."""
        viewing = self.sessions_by_name.get(wanted.name)
        if viewing is not None and viewing.plays:
            return viewing
        path, _, query = exchange.request.target.partition("?")
        asked = query.removeprefix("asked=").split(".") if query.startswith("asked=") else []
        if address := self.members.locate(wanted.name, asked):
            raise Refusal(
                307,
                "another manager has this session",
                [("Location", f"http://{address}{path}?asked={'.'.join([*asked, self.name])}")],
            )
        if self.members.jobs:
            raise Refusal(503, "sessions are being taken over, retry", [("Retry-After", "1")])
        raise Refusal(404, "no such session plays here")

    def delete(self, exchange, wanted):
        viewing = self.find_session(exchange, wanted)
        self.logger.info("ended by its client", viewing=viewing.id)
        self.runner.client_left(viewing.id)
        exchange.respond(200, endpoint.CORS)

    def patch(self, exchange, wanted):
        """Forwards a PATCH to the box of the session and returns the box's answer."""
        viewing = self.find_session(exchange, wanted)

        def on_answer(result):
            if not hasattr(result, "status"):
                if result.timed_out:
                    exchange.refuse(504, "No video server answered in time")
                    return
                exchange.refuse(502, "The video server failed", result.detail)
                return
            headers = [
                (name.title(), result.headers[name])
                for name in ("etag", "content-type", "accept-patch")
                if name in result.headers
            ]
            exchange.respond(result.status, [*headers, *endpoint.CORS], result.body)

        host, port = viewing.box_address
        call = self.boxes.pool.send(
            host,
            port,
            "PATCH",
            viewing.session_path,
            [("Content-Type", endpoint.FRAGMENT), ("If-Match", wanted.match), *self.boxes.identity_headers],
            wanted.body,
            on_answer,
            PATCH_TIMEOUT_S,
        )
        exchange.on_disconnect = call.cancel

    # The runner's port

    def now(self):
        return now()

    def wake_at(self, at):
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        self.wake_timer = self.loop.call_later(max(0, at - now()) / 10_000, self.on_timer)

    def on_timer(self):
        self.wake_timer = None
        self.runner.tick()

    def start_attempt(self, id, nth, server, rung, left):
        viewing = self.viewings[id]
        viewing.key, viewing.box, viewing.attempts, viewing.setup_sent_at = (
            f"{self.name}.{self.boot}.{id:x}.{nth}",
            server,
            nth + 1,
            now(),
        )
        self.pending_setups[viewing.key] = id
        self.audit.record("setup", viewing.key, server)
        if nth == 0:
            viewing.slot_wait = max(0, self.runner.step_due_at - viewing.accepted_at)
        offer, key, box_place = viewing.offer, viewing.key, self.boxes.places.get(server)
        if not self.retries.may_set_up(viewing, box_place):
            self.report_unsent(id, nth, key, Outcome.LACKING)
            return
        headers = [
            ("Content-Type", endpoint.SDP),
            ("Idempotency-Key", f'"{key}"'),
            ("Flaxscale-Rung", str(rung)),
            ("Flaxscale-Patience", str(left // 10)),
            ("Flaxscale-Cookie", viewing.cookie),
            *self.retries.setup_headers(viewing, box_place),
        ]
        if offer.trace:
            headers.append(("traceparent", offer.trace))
        title = offer.title if offer.title.isalnum() else quote(offer.title, safe="")
        viewing.setup_call = self.boxes.set_up(
            server,
            f"/{'whip' if offer.sends else 'whep'}/{title}",
            key,
            headers,
            offer.body,
            lambda *result: self.setup_answered(viewing, nth, server, box_place, key, *result),
        )
        if viewing.setup_call is None:  # removed from the box list in the meantime
            self.report_unsent(id, nth, key, Outcome.UNREACHED)
        self.failpoints.reach("sent")

    def report_unsent(self, id, nth, key, outcome):
        """Reports a set-up that was not sent, after the current event."""
        self.clear_pending(key)
        self.loop.call_soon(self.runner.attempt_ended, id, nth, outcome, 0)

    def setup_answered(self, viewing, nth, server, place, key, outcome, duration, answer, notes):
        """Handles the outcome of a set-up."""
        viewing.setup_call = None
        if outcome is not None:
            if outcome in (Outcome.RESET, Outcome.ERROR):
                self.boxes.end(server, key)  # the set-up may have run: end any session under this key
            self.clear_pending(key)
            self.logger.info(
                "tune-in failed", viewing=viewing.id, nth=nth, box=server, how=outcome.value, took=duration
            )
            if viewing.closed:
                self.drop_viewing(viewing)
            self.runner.attempt_ended(viewing.id, nth, outcome, duration)
            return
        self.failpoints.reach("begun")
        # the box's stream reported the end, or the claim by another manager, before this answer was read
        if key in self.ended_early:
            self.clear_pending(key)
            if viewing.closed:
                self.drop_viewing(viewing)
            self.runner.attempt_ended(viewing.id, nth, Outcome.RESET, duration)
            return
        viewing.box_answer, viewing.session_path, viewing.box_address = answer, answer.headers["location"], place[:2]
        self.boxes.session_started(server, key, viewing.id, answer.headers.get("flaxscale-boot"))
        if not self.runner.attempt_succeeded(viewing.id, nth, duration, notes):
            self.boxes.end(server, key)
            self.drop_viewing(viewing)

    def abandon_attempt(self, id, nth, server):
        viewing = self.viewings[id]
        call, viewing.setup_call = viewing.setup_call, None
        sent = call.cancel() if call is not None else False
        if sent:
            self.boxes.end(server, viewing.key)
        self.clear_pending(viewing.key)
        if viewing.closed:
            self.drop_viewing(viewing)
        self.logger.info("tune-in given up", viewing=id, nth=nth, box=server, sent=sent)
        return sent

    def end_session(self, id, nth, server):
        viewing = self.viewings[id]
        self.boxes.end(server, viewing.key)
        self.drop_viewing(viewing)

    def set_rung(self, id, nth, server, rung):
        self.boxes.set_rung(server, self.viewings[id].key, rung)

    def answer(self, id, answer):
        viewing = self.viewings[id]
        self.counts[answer.kind.value] += 1
        self.audit.record("answer" if answer.kind is AnswerKind.PLAYS else "refusal", viewing.name)
        if answer.kind is AnswerKind.PLAYS:
            viewing.plays = True
            reply = self.playing_answer(viewing)
            self.key_book.complete(id, reply, now())
        else:
            self.key_book.complete(id, None, now())
            reply = self.refusal_answer(answer) if answer.kind is not AnswerKind.LEFT else None
            viewing.closed = True
            if viewing.setup_call is None:  # otherwise kept until the pending set-up is cancelled or answered
                self.drop_viewing(viewing)
        self.logger.info(
            "answered",
            viewing=id,
            fate=answer.kind.value,
            box=answer.server,
            rung=answer.rung,
            tries=viewing.attempts,
            after=now() - viewing.requested_at,
            slot_wait=viewing.slot_wait,
            overdue=answer.overdue,
            trace=viewing.offer.trace,
        )
        if viewing.offer is not None and answer.kind is not AnswerKind.LEFT:
            self.gate.record_answer(now() - viewing.accepted_at)
        exchanges, viewing.exchanges = viewing.exchanges, []

        def respond(extra_headers=()):
            for exchange in exchanges:
                if reply is not None:
                    status, headers, body = reply
                    exchange.respond(status, [*headers, *extra_headers], body)
            self.failpoints.reach("answered")

        if not (viewing.plays and self.journal.persist(viewing, reply, respond)):
            respond()

    def playing_answer(self, viewing):
        answer = viewing.box_answer
        headers = [("Content-Type", endpoint.SDP), ("Location", f"/session/{viewing.name}")]
        headers += [(name.title(), answer.headers[name]) for name in ("etag", "link") if name in answer.headers]
        headers.append(("Accept-Patch", endpoint.FRAGMENT))
        if viewing.offer.wait is not None:
            headers.append(("Preference-Applied", f"wait={viewing.offer.wait}"))
        return 201, [*headers, *endpoint.CORS], answer.body

    def refusal_answer(self, answer):
        if answer.kind is AnswerKind.BLOCKED:
            headers = [("Retry-After", str(max(1, fields.whole_seconds(answer.hold_off))))] if answer.hold_off else []
            refusal = Refusal(
                503,
                "no box that holds this title has capacity",
                headers,
                fate="blocked",
                hold_off_ms=answer.hold_off / 10,
            )
        elif answer.overdue or answer.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED, None):
            refusal = Refusal(504, "no video server answered in time", fate="aborted")
        else:
            refusal = Refusal(502, f"the video server failed: {answer.outcome.value}", fate="aborted")
        return refusal.answer()

    def session_removed(self, id):
        """Nothing to do: drop_viewing() removes the front's record, with the answer or with the end of playback."""

    def drop_viewing(self, viewing):
        """Removes all state of a viewing."""
        self.viewings.pop(viewing.id, None)
        self.sessions_by_name.pop(viewing.name, None)
        self.journal.viewing_ended(viewing.name)
        self.key_book.forget(viewing.id)
        self.clear_pending(viewing.key)

    def probe(self, server):
        self.boxes.probe(
            server, lambda outcome, duration, figures: self.runner.probe_ended(server, outcome, duration, figures)
        )

    def tell_peers(self, server, kb):
        if self.members.shell:
            self.members.shell.report_load(server, kb)

    def log(self, text):
        self.logger.warning("runner", text=text)

    # Events from boxes

    def is_pending(self, key):
        """Tells whether a set-up or claim under this key has no answer yet."""
        return key in self.pending_setups or key in self.members.seat_claims.claims

    def unknown_sessions(self, box, keys):
        """Handles sessions that a box reports for this manager and that are not held here.

        Sessions of the current boot are ended; sessions of an earlier one are taken over.
        """
        prefix = f"{self.name}.{self.boot}."
        for key in keys:
            if key.startswith(prefix):
                self.boxes.end(box, key)
        if any(not key.startswith(prefix) for key in keys):
            self.members.boxes_listed([box])
        else:  # a box that leaves queries unanswered may still report on its stream that nothing is left
            self.members.nothing_left(box)

    def seat_for(self, cookie):
        """Returns (title id, package number) of a session and announces the title to the decision module.

        None if the title is unknown.
        """
        entry, package = self.title_entry(cookie.title, cookie.sends)
        if package is None:
            return None
        if event := self.catalogue_view.pending_update(cookie.title):
            self.runner.titles_changed([event])
        return entry.title, self.site_terms.packages[package]

    def value_per_second(self, cookie):
        """Returns the value of one second of a viewing; 0 if its title is unknown."""
        package = self.title_entry(cookie.title, cookie.sends)[1]
        return self.site.packages[package].value if package is not None else 0

    def has_free_seat(self, seat, own_earlier):
        """Tells whether a claim may use one more seat: seat limits apply to takeovers too.

        own_earlier: the session was started by an earlier boot of this manager and is already counted among those that
        boxes may still hold; a session of another manager is counted in addition to them.
        """
        manager = self.runner.manager
        return manager.has_seat(seat, () if own_earlier else manager.servers.values())

    def end_unheld(self, box, key, epoch, reason):
        """Ends a session that carries this manager's name and epoch but is not held here."""
        self.boxes.epochs[key] = epoch
        self.boxes.end(box, key)
        self.logger.info("ended instead of taken over", box=box, key=key, why=reason)

    def ended_at_box(self, key):
        self.members.ended_at_box(key)

    def adopt(self, box, place, key, epoch, session, cookie, boot, orphan):
        """Takes over a viewing whose claim a box has granted; the viewing continues under this manager."""
        # claimed twice: for a client's retry and in the takeover of a dead manager
        if key in self.boxes.sessions_at(box):
            self.boxes.epochs[key] = max(epoch, self.boxes.epochs.get(key, 0))
            return
        entry, package = self.title_entry(cookie.title, cookie.sends)
        if (
            package is None
            or orphan
            or cookie.name in self.sessions_by_name
            or key in self.boxes.pending_releases.release_keys(box)
        ):
            self.end_unheld(box, key, epoch, "orphaned" if orphan else "title unknown, or session already held")
            return
        self.last_id += 1
        viewing = self.viewings[self.last_id] = Viewing(self.last_id, None, None, self.name)
        viewing.name, viewing.key, viewing.box, viewing.box_address, viewing.session_path, viewing.plays = (
            cookie.name,
            key,
            box,
            place[:2],
            session.location,
            True,
        )
        self.sessions_by_name[viewing.name] = viewing
        if event := self.catalogue_view.pending_update(cookie.title):
            self.runner.titles_changed([event])
        self.boxes.session_started(box, key, viewing.id, boot, epoch)
        self.boxes.ensure_stream(box)
        self.runner.session_handed_over(
            handover_request(
                viewing.id, cookie, self.site_terms.packages[package], entry.title, entry, len(self.site.ladder.kb) - 1
            ),
            box,
            session.rung,
            round(session.age_ms * 10),
        )
        self.journal.restore(viewing)
        self.logger.info("took over", viewing=viewing.id, box=box, key=key, epoch=epoch)

    def box_note(self, id, kind, amount):
        self.runner.playback_note(id, kind, amount)

    def clear_pending(self, key):
        self.pending_setups.pop(key, None)
        self.ended_early.discard(key)

    def ended_before_answer(self, key):
        """Records that a box's stream reported the end or loss of a pending set-up or claim.

        Its answer uses another connection and may arrive later.
        """
        if key in self.pending_setups:
            self.ended_early.add(key)
        self.members.ended_before_grant(key)

    def session_ended(self, id, outcome, to=""):
        """Removes a viewing that is over; to: the manager that claimed it, if the box named one."""
        viewing, session_record = self.viewings.get(id), self.runner.sessions.get(id)
        if viewing is None:
            return
        if to:
            self.members.record_move(viewing.name, to)
        self.drop_viewing(viewing)
        self.logger.info("over", viewing=id, how=outcome.value)
        if session_record is not None:
            self.runner.attempt_ended(id, session_record.nth, outcome, now() - session_record.sent_at)

    def list_changed(self, kind, entries):
        before = set(self.boxes.places)
        self.audit.update_stamp()
        self.boxes.update_places(self.box_list.instances)
        self.members.boxes_listed(set(self.box_list.instances) - before)
        self.logger.info("listed", kind=kind.value, boxes=len(entries), version=self.box_list.version)
        self.runner.server_list_changed(kind, entries)

    # Events from the catalogue

    def titles_changed(self, titles, version):
        """Handles a new catalogue version: the decision module gets the changes of titles that it knows."""
        self.fleet.version_taken(self.catalogue_watch.follower)
        self.audit.update_stamp()
        if titles is not None:
            self.runner.titles_changed(self.catalogue_view.pending_updates(titles))

    def check_titles(self, titles):
        """Raises ValueError for a version that does not fit this manager's settings; the last valid one remains."""
        rungs = len(self.site.ladder.kb)
        for title in titles.values():
            if title is None:
                continue
            for package in (title.view, title.push):
                if package is not None and package not in self.site_terms.packages:
                    raise ValueError(f"title {title.name[:60]!r}: this manager knows no package {package[:60]!r}")
            if title.top >= rungs:
                raise ValueError(
                    f"title {title.name[:60]!r}: rung {title.top}, this manager's ladder ends at {rungs - 1}"
                )

    def seats_in_use(self):
        """Returns {(title, package): seats in use} for packages with limited seats."""
        names = {title_id(name): name for name in self.catalogue_view.announced}
        rows = list(self.site_terms.package_rows.items())
        return {
            (names[title], rows[package_number][0]): count
            for (title, package_number), count in self.runner.manager.seats.taken.items()
            if rows[package_number][1].seats and title in names
        }

    def holders(self, title):
        """Returns the boxes that hold a title, as far as this manager knows."""
        if self.catalogue_watch is not None:
            known = self.catalogue_watch.follower.titles.get(title)
            return known.available_boxes() if known else ()
        entry = self.catalogue_view.find(title, now())
        cells = self.site.fleet.cells
        return [
            id
            for id, server in self.runner.manager.servers.items()
            if entry and (server.row.cell - entry.first_cell) % cells < entry.cells
        ]

    def catalogue_state(self):
        if self.catalogue_watch is None:
            return {"from": "site file", "titles": len(self.catalogue_view.entries)}
        follower, age = self.catalogue_watch.follower, self.catalogue_watch.age_s()
        return {
            "from": "service",
            "up": self.catalogue_watch.up,
            "epoch": follower.epoch,
            "version": follower.version,
            "titles": len(follower.titles),
            "heard_s_ago": age,
            "told_module": len(self.catalogue_view.announced),
        }

    def settings(self):
        return {"site": self.site.name, "mark": self.settings_digest, **self.reload_counts}

    def state(self):
        boxes = {}
        for id, row in self.box_list.rows.items():
            server = self.runner.manager.servers.get(id)
            box_watch = self.boxes.watches.get(id)
            boxes[id] = {
                "address": row.address,
                "state": row.state,
                "cell": row.cell,
                "viewings": len(server.sessions) if server else 0,
                "use": round(server.use(), 3) if server else None,
                "stream": box_watch.state.value if box_watch else "off",
            }
        list_age_s = None if self.box_list.updated_at is None else (now() - self.box_list.updated_at) / 10_000
        return json.dumps(
            {
                "manager": self.name,
                "boot": self.boot,
                "list_version": self.box_list.version,
                "list_heard_s_ago": list_age_s,
                "viewings": len(self.viewings),
                "counts": self.counts,
                "gone_at_door": self.server.closed_before_read,
                "settings": self.settings(),
                "owed": self.boxes.pending_releases.count(),
                "faults": self.runner.faults,
                "overdue": self.runner.overdue,
                "catalogue": self.catalogue_state(),
                "peaks": self.peaks.state(),
                "members": self.members.state(),
                "gate": self.gate.state(),
                "audit": self.audit.state(),
                "fleet": self.fleet.state(),
                "first_tries": self.retries.counts,
                "lent": self.release_replicas.counts,
                "duties": self.duties.state(),
                "boxes": boxes,
            }
        ).encode()
