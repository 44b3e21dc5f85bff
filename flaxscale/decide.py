"""Decisions on sessions: whether a request is served, by which server and at which rung.

A Manager is one instance, built from the site's terms: handle(now, event) processes one event and returns the actions
to carry out, in order. interface.py defines both. Times are whole tenths of a millisecond. There is no clock and no
I/O here, and instances share nothing. "We" is this manager; peers are the other managers of the site.
"""

from collections import Counter
from math import exp, log

from . import interface
from .decisions.capacity import CapacityAccount
from .decisions.chance import SeededRandom
from .decisions.deadlines import MIN_ATTEMPT, TICK, StallTracker, latest_attempt_end
from .decisions.peer_load import PeerLoad
from .decisions.renditions import MAX_USE_LIMIT, rendition_steps
from .decisions.retries import RetryBudget
from .decisions.seats import Seats
from .decisions.slow_start import may_send, turn_at
from .decisions.state import SERVING_WINDOW, ServerState, SessionState
from .interface import ListKind, NoteKind, Outcome, ServerStatus
from .units import SECOND

# Times are in tenths of a millisecond. Uses of links and uplinks are parts of their capacity.
BATCH_WINDOW = 500  # 50 ms; sessions that arrive within it are placed together
LOWEST_RUNG_USE_LIMIT = 0.97  # use of a link or uplink up to which the lowest rung is placed
# Use of a link above which playing sessions step down, and the use that this aims at. Smaller shortages mostly pass
# without it.
SHED_ABOVE_USE = 1.1
SHED_TO_USE = 1.0
STEP_UP_PAUSE = 3 * SECOND  # a session does not step up for this long after a change of its rung
STEP_UP_PAYBACK = 3  # a step up must gain this many times the price of the change in the time left
DEFAULT_TIME_LEFT = 30 * SECOND  # expected time left of a session whose request has no expected length
# A server that answers full, fails a probe or delivers short gets no new session for this long.
SERVER_PAUSE = 2 * SECOND
# After a failed attempt a server gets no attempt for BACKOFF_BASE * 2 ** failures, with at most so many doublings.
BACKOFF_BASE = SECOND // 2
MAX_BACKOFF_DOUBLINGS = 5
HOLDER_SAMPLE_SIZE = 8  # holders compared of those with a load report, and of those without; own zone first
# Part of a link without a load report that is kept free, as the load of other managers on it is unknown.
UNKNOWN_LINK_HEADROOM = 0.25
# Shares of the full rate. A server that delivers less than the first has its sessions step down even where the account
# shows no shortage. At the second and below, nothing flows at all.
DEEP_SHORTAGE_SHARE = 0.94
NO_FLOW_SHARE = 0.25
SHARE_SETTLING_TIME = 2 * SECOND  # servers average the delivered share over about this time
MAX_PEER_ESTIMATE_AGE = SECOND // 10  # of the peers' load on an uplink; a new report discards the estimate earlier
WARM_PEER_USE = 0.25  # peers' use of a link above which its server can't have started just now
# Difference in the served share to the worst-served package at which a package's extra weight falls to about a third.
WORST_PACKAGE_SPREAD = 0.05
# Load of an announced peak, as a multiple of its reservation, up to which its use limit is raised. A larger peak is
# treated as any other crowd.
PEAK_OVERRUN_FACTOR = 1.2
MAX_PEER_MESSAGE_COST = 0.005  # of the service figure, for peer messages about our load
SHORT_DELIVERY_TIME = 2 * SECOND  # for which a report of short delivery is valid
# An uplink is blamed for so long where delivery is short by so much (a part of capacity) more than its links explain.
UPLINK_BLAME_TIME = 12 * SECOND
UPLINK_BLAME_EXCESS = 0.2
MAX_PROBES_PER_SESSION = 3
MAX_PROBE_COST = 0.03  # of the service figure, for a session's probes
STALE_AFTER = 2 * SECOND  # age of a link report from which a probe may ask for a new one
PROBE_LAG = SECOND // 2  # age of the figures in a probe's answer
BATCH_TIMER = 0  # timer tokens
TICK_TIMER = 1


class Manager:
    """The state and the decisions of one manager."""

    def __init__(self, terms):
        self.servers, self.racks, self.cells = {}, {}, {}
        self.sessions, self.waiting, self.seats = {}, [], Seats()
        self.titles = {}  # {title: its latest TitleUpdate}
        self.title_missing_until = {}  # (server, title): the server lacks it; no attempt before this
        self.reserved_rungs = {}, {}  # of announced peaks: {title: rung}, {package: rung}
        self.batch_ends_at = self.started_at = self.peer_use_cached_at = None
        self.event_number = self.reweighted_at = self.cached_peer_use = 0
        self.retries, self.random_source = RetryBudget(terms.rules), SeededRandom()
        # total_own_kb: kB a second that all our sessions ask for.
        self.now, self.actions, self.peak_raises_limit, self.total_own_kb = 0, [], False, 0.0
        self.link_capacity_kb = None  # kB a second of all links; None: to be summed up again
        self.stalls, self.peer_load = StallTracker(), PeerLoad()
        self.apply_terms(terms)

    def apply_terms(self, terms):
        """Puts terms into service."""
        self.terms, self.rules, self.allowed = terms, terms.rules, terms.allowed
        self.cross_zone_cost, self.handshake_cost = (
            price * sum(package.value for package in terms.packages) / len(terms.packages)
            for price in (terms.prices.cross_zone, terms.prices.handshake)
        )
        self.probes_per_session = (
            int(min(MAX_PROBES_PER_SESSION, MAX_PROBE_COST / max(terms.prices.probe, 1e-9)))
            if (terms.allowed.may_probe and terms.fleet.load_by_probe)
            else 0
        )
        # A session changes our load about three times; a peer message has 8 bytes; the price is for 256 bytes.
        self.tells_peers = (
            terms.allowed.may_message_peers
            and terms.prices.peer * 24 / 256 * (terms.manager_count - 1) <= MAX_PEER_MESSAGE_COST
        )
        self.rendition_steps = rendition_steps(self.terms, {})

    def on_terms_changed(self, event):
        """Applies new terms to waiting and playing sessions at once; counts are kept."""
        self.apply_terms(event.terms)
        for session in self.sessions.values():
            self.set_rung_bounds(session)
        self.racks = {}
        for server in self.servers.values():
            server.other_streams = 0  # the new load reports may not include streams
            self.place_in_rack(server)
            self.update_load(server)
        self.set_rungs(
            {
                session: session.clamped_rung()
                for session in self.sessions.values()
                if session.playing and session.server
            }
        )

    def reweight_packages(self):
        """Weights up the packages that are served worst, as the site's goal counts the worst one separately."""
        self.reweighted_at, goal, requested_worth, served_worth = self.now, self.terms.goal, Counter(), Counter()
        self.title_missing_until = {key: until for key, until in self.title_missing_until.items() if until > self.now}
        for session in self.sessions.values():
            requested_worth[session.request.package] += self.terms.ladder.worth[session.highest_rung]
            served_worth[session.request.package] += self.terms.ladder.worth[session.rung] * session.playing
        if not requested_worth or not goal.worst_package:
            return
        closeness = {
            package: exp(-served_worth[package] / requested_worth[package] / WORST_PACKAGE_SPREAD)
            for package in requested_worth
        }
        total_value = sum(self.terms.packages[package].value * requested_worth[package] for package in requested_worth)
        self.rendition_steps = rendition_steps(
            self.terms,
            {
                package: 1
                + goal.worst_package
                / max(goal.overall, 0.1)
                * closeness[package]
                / sum(closeness.values())
                * total_value
                / (self.terms.packages[package].value * requested_worth[package])
                for package in requested_worth
            },
        )

    def rendition_step(self, session, rung):
        """The step to this rung for the session's package."""
        return self.rendition_steps[session.request.package, rung]

    # Events

    def handle(self, now, event):
        """Processes one event and returns the actions to carry out, in order."""
        self.now, self.actions, self.event_number = now, [], self.event_number + 1
        if self.started_at is None:
            self.started_at = now
            self.stalls.start(now)
            self.actions.append(interface.Remind(TICK_TIMER, TICK))
        if now >= self.reweighted_at + SECOND:
            self.reweight_packages()
        handlers = {
            interface.SessionRequest: self.on_session_request,
            interface.PlaybackNote: self.on_playback_note,
            interface.AttemptEnded: self.on_attempt_ended,
            interface.AttemptSucceeded: self.on_attempt_succeeded,
            interface.TimerFired: self.on_timer_fired,
            interface.ServerListUpdate: self.on_server_list_update,
            interface.SessionHandedOver: self.on_session_handed_over,
            interface.ClientLeft: self.on_client_left,
            interface.ProbeEnded: self.on_probe_ended,
            interface.PeerLoadChange: self.on_peer_load_change,
            interface.PeakReservations: self.on_peak_reservations,
            interface.SeatReservations: self.on_seat_reservations,
            interface.TermsChanged: self.on_terms_changed,
            interface.TitleUpdate: self.on_title_update,
        }
        handlers[type(event)](event)
        return self.actions

    def on_session_request(self, request):
        """Starts a session for a new request."""
        self.retries.count_session(self.now)
        session = self.add_session(request)
        self.probe_holders(session)
        self.resume(session, None)

    def probe_holders(self, session):
        """Probes a few holders while the session waits for its batch, where load reports come with probes only."""
        stale = (
            [
                server
                for server in self.holders(session)
                if server.row.state is ServerStatus.READY and self.now >= server.backoff_until and self.is_stale(server)
            ]
            if self.probes_per_session
            else []
        )
        for server in self.sample(stale, self.probes_per_session):
            self.probe(server)

    def is_stale(self, server):
        """Whether a probe may ask for a new report."""
        return self.now - (server.link.reported_at or 0) >= STALE_AFTER

    def probe(self, server):
        """Probes a server, unless its report is recent or a probe is pending."""
        if self.is_stale(server) and not server.probe_pending:
            server.probe_pending = True
            self.actions.append(interface.Probe(server.row.server))

    def probe_for_upgrades(self):
        """Probes the servers of sessions at their lowest rung, which may have begun in a crowd that has passed."""
        for session in self.sessions.values() if self.probes_per_session else ():
            if (
                session.playing
                and session.server
                and session.rung == session.lowest_rung < session.highest_rung
                and self.now - session.rung_changed_at >= session.upgrade_probe_after
            ):
                session.upgrade_probe_after *= 3
                self.probe(session.server)

    def on_probe_ended(self, event):
        """Records the load that a probe brought; a server whose probe failed is paused."""
        server, load = self.servers.get(event.server), dict(zip(self.terms.fleet.load_names, event.load))
        if server is None:
            return
        server.probe_pending, server.other_streams = False, max(0, load.get("streams", 0) - len(server.sessions))
        if event.outcome is not Outcome.OK:
            server.paused_until = self.now + SERVER_PAUSE
        if "uplink" in load:
            server.rack.record_report(self.now, PROBE_LAG, load["uplink"])
        if "link" in load:
            self.record_link_use(server, PROBE_LAG, load["link"])
            self.step_down(server, server.use())
            self.step_up([server])

    def record_link_use(self, server, lag, amount):
        """Records the use of a link, from a note or a probe."""
        server.link.record_report(self.now, lag, amount)
        peer_use = max(0.0, amount - server.link.own_kb / server.link.capacity_kb)
        if server.rack.peer_estimate[0] <= self.now:  # otherwise the uplink is still blamed for a shortage
            server.rack.peer_estimate = -SECOND, 0
        self.peer_load.add(self.now, peer_use)
        server.seen_warm |= peer_use > WARM_PEER_USE

    def add_session(self, request):
        """Creates the state and the coroutine of a session."""
        session = SessionState(request, self.now)
        self.sessions[request.id], session.coroutine = session, self.session_coroutine(session)
        self.set_rung_bounds(session)
        return session

    def set_rung_bounds(self, session):
        """Sets the package of a session and its rungs, by the terms and the catalogue."""
        entry, session.package = self.titles.get(session.request.title), self.terms.packages[session.request.package]
        session.limit_rungs(
            entry.lowest_rung if entry else 0, entry.highest_rung if entry else len(self.terms.ladder.kb) - 1
        )

    def on_session_handed_over(self, event):
        """Takes over a session that plays already."""
        session = self.add_session(event.request)
        session.attempt, session.rung, session.playing, session.answered = 0, session.lowest_rung, True, True
        session.rung_changed_at -= STEP_UP_PAUSE
        next(session.coroutine)
        if server := self.servers.get(event.server):
            server.seen_warm |= event.age >= self.rules.warm_up_time
        self.attach(session, server)

    def on_client_left(self, event):
        """Ends a session whose client left, and cancels its attempt where that is allowed."""
        if session := self.sessions.get(event.id):
            session.answered = True
            self.forget(session)
            if session.server and not session.playing and self.allowed.may_cancel:
                self.actions.append(interface.CallOff(session.id, session.attempt))

    def on_attempt_succeeded(self, event):
        """Marks a session as playing."""
        session = self.sessions.get(event.id)
        if session and event.nth == session.attempt:
            session.playing, session.answered, session.rung_changed_at, session.begun_at = (
                True,
                True,
                self.now,
                self.now,
            )
            self.resume(session, Outcome.OK)
            if session.server:
                self.record_success(session.server)
                # A rendition may have been withdrawn during the attempt.
                self.set_rungs({session: session.clamped_rung()})

    def on_attempt_ended(self, event):
        """Records the outcome of an attempt, or of a playing session, and retries or gives up."""
        server, session = self.servers.get(event.server), self.sessions.get(event.id)
        if session is None or event.nth != session.attempt:
            return
        if server and event.outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.UNREACHED, Outcome.RESET):
            if event.outcome is Outcome.ERROR and self.now - server.succeeded_at < SERVING_WINDOW:
                session.error_servers.setdefault(server, (server.failures, server.backoff_until, server.failed_at))
            self.record_failure(server)
            # Two servers that serve others refused the request with an error, so the request is at fault. Both get
            # their health back, and no third server is tried.
            for other, health in session.error_servers.items() if len(session.error_servers) > 1 else ():
                other.failures, other.backoff_until, other.failed_at = health
        elif server and event.outcome is Outcome.FULL:
            server.paused_until = self.now + SERVER_PAUSE
        elif event.outcome is Outcome.LACKING:
            # The server's catalogue is newer or older than ours. Other holders are tried first, and this server
            # again when either may have caught up.
            self.title_missing_until[event.server, session.request.title] = self.now + SERVER_PAUSE
        if event.outcome not in (Outcome.FULL, Outcome.UNREACHED, Outcome.MOOT, Outcome.LACKING):
            session.maybe_ran_at, session.maybe_ran_on = session.sent_at, server and server.row
        self.detach(session)
        if event.session_over or session.answered:
            self.forget(session)
        else:
            self.resume(session, event.outcome)

    def on_title_update(self, event):
        """Applies a changed title at once: to waiting sessions, and the remaining rungs to playing ones.

        An attempt in progress continues, also at a server that no longer holds the title: the server knows best
        and refuses before anything runs. Cancelling would cost another attempt and the time waited.
        """
        if event.holders is None:
            self.titles.pop(event.title, None)
            return
        self.titles[event.title] = event
        changed = [session for session in self.sessions.values() if session.request.title == event.title]
        for session in changed:
            self.set_rung_bounds(session)
        self.set_rungs({session: session.clamped_rung() for session in changed if session.playing and session.server})

    def on_peak_reservations(self, event):
        """Applies the headroom of announced peaks: other sessions see smaller links and uplinks by it.

        The load of the peers' sessions on it is estimated from ours, summed over all servers, as a single server
        has too few of ours. Up to the reserved rung the use limit is raised to the maximum: lower limits keep
        links open for a crowd that comes later, and here it has come. A peak
        beyond PEAK_OVERRUN_FACTOR is treated as any other crowd.
        """
        self.reserved_rungs, total_kb = (event.titles, event.packages), sum(event.reserved_kb.values())
        used_kb = (
            sum(
                self.requested_kb(session for session in server.sessions.values() if self.reserved_rung(session) >= 0)
                for server_id, server in self.servers.items()
                if server_id in event.reserved_kb
            )
            if total_kb
            else 0
        )
        unused_share = max(0.0, 1 - used_kb * self.terms.manager_count / total_kb) if total_kb else 0
        self.peak_raises_limit = used_kb * self.terms.manager_count <= PEAK_OVERRUN_FACTOR * total_kb
        for rack in self.racks.values():
            rack.reserved_kb = 0.0
        for server_id, server in self.servers.items():
            server.reserved_kb = event.reserved_kb.get(server_id, 0.0) * unused_share
            server.rack.reserved_kb += server.reserved_kb

    def on_seat_reservations(self, event):
        """Stores the seats that pending claims and unreported servers may hold."""
        self.seats.reserve(event.seats, event.servers)

    def reserved_rung(self, session):
        """The highest rung that a peak reserves headroom for, for this session; -1: none."""
        return max(
            self.reserved_rungs[0].get(session.request.title, -1),
            self.reserved_rungs[1].get(session.request.package, -1),
        )

    def use_limit(self, session, rung):
        """The use of a link up to which the rung is given to this session."""
        return (
            MAX_USE_LIMIT
            if self.peak_raises_limit and rung <= self.reserved_rung(session)
            else self.rendition_step(session, rung).use_limit
        )

    def on_timer_fired(self, event):
        """Ends the batch, or does the work of a tick."""
        if event.token == BATCH_TIMER and self.batch_ends_at is not None:
            self.place_batch()
        elif event.token == TICK_TIMER:
            self.stalls.tick(self.now)
            self.probe_for_upgrades()
            self.actions.append(interface.Remind(TICK_TIMER, TICK))

    # The course of one session

    def session_coroutine(self, session):
        """Yields what the session needs next ("seat", "tune", "play"); resumed with the outcome."""
        while not session.playing:
            placement = yield "seat"
            if placement is None:
                break
            outcome = yield "tune", placement
            if outcome is not Outcome.OK and not self.may_retry(session):
                break
        if session.playing:
            yield "play"
        else:
            self.give_up(session)

    def resume(self, session, result):
        """Resumes the session's coroutine with an outcome and does what it needs next."""
        try:
            want = session.coroutine.send(result)
        except StopIteration:
            self.forget(session)
            return
        if want == "seat":
            self.queue_or_place(session)
        elif want != "play":
            self.start_attempt(session, *want[1])

    def queue_or_place(self, session):
        """Puts the session into the batch, unless that would miss the startup target or the deadline."""
        session.batches_missed, batch_end = 0, self.batch_ends_at or self.now + BATCH_WINDOW
        latest_start = (
            min(self.attempt_deadline(session), session.requested_at + session.package.join_target) - MIN_ATTEMPT
        )
        if session.attempt >= 0 or batch_end > latest_start:
            # Unhealthy holders are tried only where there is no time for another batch: a sole holder that has just
            # failed gets until then to recover.
            final_try = self.now + 2 * BATCH_WINDOW > self.attempt_deadline(session) - MIN_ATTEMPT
            if (placement := self.choose_holder(session, allow_unhealthy=final_try)) or final_try:
                self.resume(session, placement)
                return
        self.enqueue(session)

    def attempt_deadline(self, session):
        """Until when an attempt may run: half of the client's time, or the longest stall, is left for the answer."""
        return latest_attempt_end(
            session.requested_at, session.request.time_left, session.deadline, self.stalls.longest_recent(self.now)
        )

    def enqueue(self, session):
        """Adds a session to the batch; the first one starts the timer."""
        session.waiting = True
        self.waiting.append(session)
        if self.batch_ends_at is None:
            self.batch_ends_at = self.now + BATCH_WINDOW
            self.actions.append(interface.Remind(BATCH_TIMER, BATCH_WINDOW))

    def place_batch(self):
        """Ends the batch: places its sessions in the order of the value of their lowest rung per kB."""
        queue, self.waiting, self.batch_ends_at = self.waiting, [], None
        queue.sort(
            key=lambda session: (
                -self.rendition_step(session, session.lowest_rung).value_per_kb,
                session.requested_at,
                session.id,
            )
        )
        for session in queue:
            session.waiting = False
            placement = self.choose_holder(session)
            if placement or session.batches_missed:
                self.resume(session, placement)
            else:
                session.batches_missed = 1
                self.enqueue(session)

    def random(self):
        """The next random number in [0, 1)."""
        return self.random_source.draw(self.terms.seed)

    def may_retry(self, session):
        """Whether rules, time and the retry budget allow another attempt."""
        late = self.now + MIN_ATTEMPT > self.attempt_deadline(session)
        if (
            late
            or len(session.error_servers) > 1
            or session.attempt + 1 >= self.allowed.max_attempts
            or (
                session.maybe_ran_at is not None
                and session.package.effect != "safe"
                and (
                    session.package.effect == "unsafe"
                    or self.now - session.maybe_ran_at >= session.package.repeat_window
                )
            )
        ):
            return False
        return self.retries.allows(self.now, self.rules)

    def give_up(self, session):
        """Gives the final answer: Block where a repeat by the client is harmless, else Abort."""
        package, session.answered = session.package, True
        if (
            session.maybe_ran_at is None
            or package.effect == "safe"
            or (package.effect == "keyed" and package.group == "all")
        ):
            longest_hold_off = self.allowed.max_hold_off if self.allowed.may_hold_off else 0
            # Spread at random, or clients refused together would return together.
            self.actions.append(
                interface.Block(session.id, longest_hold_off // 2 + int(self.random() * (longest_hold_off // 2)))
            )
        else:
            self.actions.append(interface.Abort(session.id))

    def start_attempt(self, session, server, rung):
        """Sends an attempt at a rung to a server."""
        if session.attempt >= 0:
            self.retries.count_retry(self.now)
        session.attempt, session.sent_at, expires_at = session.attempt + 1, self.now, self.attempt_deadline(session)
        # Where a retry would be possible, leaves time for it in case this server does not answer.
        if session.package.effect == "safe" and session.attempt + 1 < self.allowed.max_attempts:
            expires_at = min(expires_at, self.now + max(MIN_ATTEMPT, session.package.join_target // 2))
        if self.is_cold(server):
            server.last_turn = self.slow_start_turn(server)
        if rung != session.lowest_rung or session.rung != session.lowest_rung:
            self.actions.append(interface.SetRung(session.id, rung))
        session.rung = rung
        self.actions.append(interface.TuneIn(session.id, server.row.server, expires_at))
        self.attach(session, server)

    def attach(self, session, server):
        """Counts a session at a server: its attempt was sent there, or it plays there."""
        session.server = server
        self.seats.take(session.seat)
        if server:
            server.sessions[session.id], server.usable_event = session, -1
            self.update_load(server, new=not session.playing)

    def detach(self, session):
        """Takes a session off its server and frees its seat."""
        server, session.server = session.server, None
        self.seats.free(session.seat)
        if server:
            server.sessions.pop(session.id, None)
            self.update_load(server)
            self.drop_if_gone(server)

    def forget(self, session):
        """Takes a session out of the batch, and drops it unless it still has a server."""
        if session.server is None:
            self.sessions.pop(session.id, None)
        if session.waiting:
            self.waiting.remove(session)
            session.waiting = False

    # Placement

    def choose_holder(self, session, allow_unhealthy=True):
        """The holder and rung of the highest immediate value, as (server, rung); ties go to the most free capacity."""
        holders, report_interval = self.eligible_holders(session, allow_unhealthy), self.terms.fleet.note_every
        oldest = self.now - 2 * (report_interval or 2 * SECOND)
        # Without sessions of ours no reports come, and the last one would mislead.
        for server in holders:
            if not (server.sessions and report_interval) and (server.link.reported_at or 0) < oldest:
                server.link.reported_at, server.other_streams = None, 0
        # Of the holders without a report one is drawn at random, weighted by estimated free capacity. Otherwise all
        # managers would choose the same largest one.
        unknown = {
            server: max(1.0, server.link.capacity_kb * (1 - server.use()))
            for server in self.sample(
                [server for server in holders if server.link.reported_at is None], HOLDER_SAMPLE_SIZE
            )
        }
        sampled = unknown and max(unknown, key=lambda server: log(self.random() + 1e-9) / unknown[server])
        # Of the reported holders a sample is compared: reports reach all managers at once, which would otherwise all
        # choose the same best one.
        known = self.sample([server for server in holders if server.link.reported_at is not None], HOLDER_SAMPLE_SIZE)
        candidates = [(*self.fit_rung(server, session), server) for server in (known + [sampled] if sampled else known)]
        # A server without sessions of ours needs a new connection, which has its price for every manager.
        best = max(
            (candidate for candidate in candidates if candidate[0] is not None),
            default=None,
            key=lambda candidate: (
                session.package.value * self.terms.ladder.worth[candidate[0]]
                - self.zone_cost(candidate[2])
                - (0 if candidate[2].sessions else self.handshake_cost),
                candidate[1],
            ),
        )
        return best and (best[2], best[0])

    def sample(self, holders, count):
        """A random sample of holders, those in our zone first."""
        chosen, far = [], {server for server in holders if self.zone_cost(server)}
        for pool in (
            [server for server in holders if server not in far],
            [server for server in holders if server in far],
        ):
            while pool and len(chosen) < count:
                chosen.append(pool.pop(int(self.random() * len(pool))))
        return chosen

    def zone_cost(self, server):
        """The price of a session at this server if it is in another zone, in units of the session's value."""
        return self.cross_zone_cost if server.row.zone != self.terms.zone else 0

    def holders(self, session):
        """The servers that hold the title: by the catalogue, else those of the consecutive cells in the request."""
        if entry := self.titles.get(session.request.title):
            return [self.servers[server_id] for server_id in sorted(entry.holders) if server_id in self.servers]
        if session.request.cells >= self.terms.fleet.cells:
            return list(self.servers.values())
        return [
            server
            for offset in range(session.request.cells)
            for server in self.cells.get((session.request.first_cell + offset) % self.terms.fleet.cells, {}).values()
        ]

    def has_seat(self, seat, holders=()):
        """Whether a seat is free; none is while sessions from before our restart may hold seats unknown to us."""
        entry, package, unreported = (
            self.titles.get(seat[0]),
            self.terms.packages[seat[1]],
            self.seats.unreported_servers,
        )
        limit = dict(entry.seats).get(seat[1], package.seats) if entry else package.seats
        # The catalogue lists present holders; playing sessions may have begun when other servers held the title.
        may_hold_unknown = (
            unreported and holders and (entry or any(server.row.server in unreported for server in holders))
        )
        return self.seats.has_room(seat, limit, bool(may_hold_unknown))

    def eligible_holders(self, session, allow_unhealthy=True):
        """The holders of the title to which the rules and their health allow an attempt now."""
        all_holders = self.holders(session)
        if (
            not self.has_seat(session.seat, all_holders)
            or self.now >= self.attempt_deadline(session)
            or session.attempt >= 0
            and not self.may_retry(session)
        ):
            return []
        holders = [
            server
            for server in all_holders
            if (server.usable if server.usable_event == self.event_number else self.check_usable(server))
        ]
        if session.maybe_ran_at is not None or self.title_missing_until:
            holders = [
                server
                for server in holders
                if self.may_run_again_on(session, server.row)
                and self.now >= self.title_missing_until.get((server.row.server, session.request.title), 0)
            ]
        healthy = [server for server in holders if self.is_healthy(server)]
        if healthy or not allow_unhealthy:
            return healthy
        # All are unhealthy: those whose backoff ends first. A choice by id alone was the same for all managers.
        earliest = min((max(server.backoff_until, self.now) for server in holders), default=0)
        return [server for server in holders if max(server.backoff_until, self.now) == earliest]

    def check_usable(self, server):
        """Whether state, slow start and free slots allow an attempt; kept for the event, as a batch asks many times."""
        server.usable_event, server.usable = (
            self.event_number,
            (
                server.row.state is ServerStatus.READY
                and self.slow_start_allows(server)
                and len(server.sessions) + server.other_streams + 1 <= self.terms.fleet.slots[server.row.kind]
            ),
        )
        return server.usable

    def may_run_again_on(self, session, row):
        """Whether a server is in the group within which a keyed package that may have run may be repeated."""
        previous, anywhere = (
            session.maybe_ran_on,
            session.package.effect != "keyed" or session.maybe_ran_at is None or session.package.group == "all",
        )
        return (
            anywhere
            or previous
            and (row.zone == previous.zone if session.package.group == "zone" else row.cell == previous.cell)
        )

    def added_kb(self, server, session, rung):
        """kB a second that the session would add at this server: less where it joins a live stream of ours."""
        joins_stream = session.package.live and any(
            other.rung == rung and other.seat == session.seat and other is not session
            for other in server.sessions.values()
        )
        return self.rendition_step(session, rung).kb * (self.terms.ladder.join if joins_stream else 1)

    def fit_rung(self, server, session):
        """The highest rung within its use limit, else the lowest if it fits; and the kB a second then left free."""
        # The rate counts as a part of the link, on top of the larger use of link and uplink: otherwise all managers
        # would rush to a link that reports less use than its uplink.
        unknown_headroom = (
            UNKNOWN_LINK_HEADROOM * (1 - 1 / self.terms.manager_count) if server.link.reported_at is None else 0
        )
        in_reservation = self.reserved_rung(session) >= 0
        link_reserved, rack_reserved = (
            (0, 0)
            if in_reservation
            else (server.reserved_kb / server.link.capacity_kb, server.rack.reserved_kb / server.rack.capacity_kb)
        )
        use, capacity_kb = (
            server.use() + unknown_headroom + max(link_reserved, rack_reserved),
            min(server.link.capacity_kb, server.rack.capacity_kb),
        )
        for rung in range(session.highest_rung, session.lowest_rung - 1, -1):
            added_kb = self.added_kb(server, session, rung)
            use_after = max(
                use + added_kb / server.link.capacity_kb,
                server.rack.use() + rack_reserved + added_kb / server.rack.capacity_kb,
            )
            if rung == session.lowest_rung:  # no session is refused for a peak that may come
                use_after -= max(link_reserved, rack_reserved)
            if use_after <= (
                self.use_limit(session, rung)
                if rung > session.lowest_rung
                else LOWEST_RUNG_USE_LIMIT + unknown_headroom
            ):
                return rung, (1 - use_after) * capacity_kb
        return None, 0

    def requested_kb(self, sessions):
        """kB a second that sessions at one server ask for; each further one of a shared stream adds a part."""
        streams = {}
        for session in sessions:
            key = session.request.package, session.rung, session.request.title if session.package.live else session.id
            streams[key] = streams.get(key, 0) + 1
        return sum(
            self.rendition_steps[package, rung].kb * (1 + self.terms.ladder.join * (count - 1))
            for (package, rung, _), count in streams.items()
        )

    def update_load(self, server, new=True):
        """Recomputes our load at a server and tells peers of a change. new: False if the load ran before."""
        own_kb = self.requested_kb(server.sessions.values())
        if new and self.tells_peers and own_kb != server.link.own_kb:
            self.actions.append(interface.TellPeers(server.row.server, own_kb - server.link.own_kb))
        self.total_own_kb += own_kb - server.link.own_kb
        server.rack.set_own(self.now, server.rack.own_kb + own_kb - server.link.own_kb, new)
        server.link.set_own(self.now, own_kb, new)

    def estimate_peer_use(self):
        """The estimated use by peers of a link without a report.

        From its own load alone, a busy manager that had just started took all links for full.
        """
        if self.peer_use_cached_at != self.now:
            self.peer_use_cached_at, own_use = self.now, self.total_own_kb / self.total_link_capacity()
            self.cached_peer_use = self.peer_load.estimate(
                self.now, self.terms.manager_count, len(self.sessions), own_use
            )
        return self.cached_peer_use

    def total_link_capacity(self):
        """kB a second of all links together; summed up only after the server list changed."""
        if self.link_capacity_kb is None:
            self.link_capacity_kb = max(1.0, sum(server.link.capacity_kb for server in self.servers.values()))
        return self.link_capacity_kb

    def estimate_peer_uplink_use(self, rack):
        """The estimated use by peers of an unreported uplink, from its own links.

        The mean over all reported links alone would be too high, as it is that of busy servers.
        """
        if self.now - rack.peer_estimate[0] > MAX_PEER_ESTIMATE_AGE:
            peer_use = (
                sum(
                    (
                        max(0.0, link.use() - link.own_kb / link.capacity_kb)
                        if link.reported_at is not None and self.now - link.reported_at < 8 * SECOND
                        else self.estimate_peer_use()
                    )
                    * link.capacity_kb
                    for link in (server.link for server in rack.servers)
                )
                / rack.capacity_kb
            )
            rack.peer_estimate = self.now, peer_use
        return rack.peer_estimate[1]

    # Health and slow start

    def is_healthy(self, server):
        """Whether a server takes attempts: no pause, no backoff, no pending probe, no trial in progress."""
        return (
            self.now >= max(server.paused_until, server.backoff_until)
            and not server.probe_pending
            and not (server.failures and any(not session.playing for session in server.sessions.values()))
        )

    def record_failure(self, server):
        """Backs off after a failed attempt or a lost stream of any cause: longer each time, then one trial."""
        if self.now >= server.backoff_until:
            server.failures += 1
            server.backoff_until = self.now + (BACKOFF_BASE << min(server.failures, MAX_BACKOFF_DOUBLINGS))
        server.failed_at = self.now

    def record_success(self, server):
        """Halves the failures of a server that completed an attempt."""
        server.failures, server.succeeded_at = server.failures // 2, self.now
        # A server that failed and recovered may have restarted, even if the list does not say so.
        if server.failed_at is not None:
            server.failed_at, server.cold_until = None, max(server.cold_until, self.now + self.rules.warm_up_time)

    def is_cold(self, server):
        """Whether a server is in slow start, or may be."""
        # The list of a manager that has just started may miss a restart; a load by peers proves the server warm.
        return (
            server.failed_at is not None
            or self.now < server.cold_until
            or (not server.seen_warm and self.now < self.started_at + self.rules.warm_up_time)
        )

    def slow_start_turn(self, server):
        """Number of the present slow-start turn: the time in which all managers together may make one attempt."""
        return turn_at(self.now, self.rules, self.terms.fleet.slots[server.row.kind])

    def slow_start_allows(self, server):
        """Whether slow start lets an attempt go to a server now."""
        if not self.is_cold(server):
            return True
        known_cold = server.failed_at is not None or self.now < server.cold_until
        return may_send(
            self.slow_start_turn(server),
            server.last_turn,
            known_cold,
            self.terms.manager_number,
            self.terms.manager_count,
        )

    # Server list and load reports

    def on_server_list_update(self, event):
        """Applies a server list. Servers that it does not name are gone, unless it is a delta."""
        listed_servers = {row.server for row in event.entries}
        for row in [
            *event.entries,
            *(
                server.row._replace(state=ServerStatus.GONE)
                for server_id, server in self.servers.items()
                if event.kind is not ListKind.DELTA and server_id not in listed_servers
            ),
        ]:
            self.update_server(row)

    def update_server(self, row):
        """Applies one entry of a server list."""
        if row.server not in self.servers and row.state is ServerStatus.GONE:
            return
        if (server := self.servers.get(row.server)) is None:
            server = self.servers[row.server] = ServerState(row, CapacityAccount(1, self.estimate_peer_use))
            self.place_in_rack(server)
            self.cells.setdefault(row.cell, {})[row.server] = server
        if (
            row.started_at > server.row.started_at
            and server.failed_at is not None
            and row.started_at > server.failed_at
        ):
            server.failed_at, server.failures, server.backoff_until = None, 0, 0
        server.row = row
        server.cold_until = max(server.cold_until, row.started_at and row.started_at + self.rules.warm_up_time)
        self.drop_if_gone(server)

    def drop_if_gone(self, server):
        """Removes a server that is gone and empty, or replaced ones would use memory and count in their rack's load."""
        if server.row.state is ServerStatus.GONE and not server.sessions and self.servers.pop(server.row.server, None):
            server.rack.servers.remove(server)
            self.link_capacity_kb = None
            self.cells.get(server.row.cell, {}).pop(server.row.server, None)

    def place_in_rack(self, server):
        """Sets the capacity of a server's link and adds it to its rack."""
        fleet, rack_number, size = self.terms.fleet, server.row.cell % self.terms.fleet.racks, server.row.weight
        if not fleet.weights_known:  # the size follows from the slots of its kind
            size = fleet.slots[server.row.kind] * len(fleet.slots) / sum(fleet.slots)
        server.link.capacity_kb = max(1.0, size * fleet.kb_per_weight)
        if rack_number not in self.racks:
            rack = self.racks[rack_number] = CapacityAccount(
                fleet.uplink_kb, lambda: self.estimate_peer_uplink_use(rack)
            )
        server.rack = self.racks[rack_number]
        server.rack.servers.append(server)
        self.link_capacity_kb = None
        server.rack.own_kb += server.link.own_kb

    def on_peer_load_change(self, event):
        """Counts a peer's change of load until a report shows it, so that managers don't rush to the same free link."""
        if event.server in self.servers:
            self.servers[event.server].link.add_peer_load(self.now, event.kb)

    def on_playback_note(self, event):
        """Applies a server's report about a playing session: its rung, the delivered share, or a load."""
        session, server = self.sessions.get(event.id), self.servers.get(event.server)
        if event.kind is NoteKind.RUNG and session and session.server:
            session.rung = int(event.amount)
            self.update_load(session.server, new=False)
        if event.kind is NoteKind.RUNG or server is None:
            return
        # A report that came with the set-up is current.
        lag = 0 if session and session.begun_at == self.now else self.terms.fleet.note_lag
        if event.kind is NoteKind.DELIVERED:
            return self.on_delivered_share(server, lag, event.amount)
        if event.kind is NoteKind.LINK:
            self.record_link_use(server, lag, event.amount)
        else:
            server.rack.record_report(self.now, lag, event.amount)
        self.step_down(server, server.use())
        if event.kind is NoteKind.UPLINK:
            self.step_up(server.rack.servers)
        elif server.rack.reported_at is None:
            self.step_up([server])

    def on_delivered_share(self, server, lag, share):
        """Handles the share of the full rate that a server delivers: if short, it is paused and sessions step down.

        An unreported uplink is taken to be as short as the least short of its servers that play sessions of ours,
        unless a link reported since explains it. Otherwise a rack behind a weak uplink would attract all sessions,
        as its links show the least use.
        """
        if share < 0.98:
            server.paused_until = self.now + SERVER_PAUSE
        if self.now >= server.short_delivery_at + SHORT_DELIVERY_TIME:
            server.short_delivery_since = self.now
        server.short_delivery_at, server.demand_ratio = self.now, 1 / max(share, NO_FLOW_SHARE)
        if "uplink" not in self.terms.fleet.load_names:
            ours = [
                other
                for other in server.rack.servers
                if any(
                    session.playing and self.now >= session.rung_changed_at + SHORT_DELIVERY_TIME
                    for session in other.sessions.values()
                )
            ]
            demand_ratio = min(
                (
                    other.demand_ratio if self.now < other.short_delivery_at + SHORT_DELIVERY_TIME else 0
                    for other in ours
                ),
                default=0,
            )
            reported_uses = [
                other.link.use() for other in ours if (other.link.reported_at or 0) >= other.short_delivery_since + lag
            ]
            if reported_uses and demand_ratio > max(reported_uses) + UPLINK_BLAME_EXCESS:
                server.rack.peer_estimate = (
                    self.now + UPLINK_BLAME_TIME,
                    demand_ratio - server.rack.own_kb / server.rack.capacity_kb,
                )
        # The account does not show this shortage: reports are late, or the bottleneck is not reported. Waits
        # until the share includes our last step down, and does nothing where nothing flows.
        if NO_FLOW_SHARE < share < DEEP_SHORTAGE_SHARE and self.now >= server.shed_at + lag + SHARE_SETTLING_TIME:
            self.step_down(server, 1 / share)

    # Rungs of playing sessions

    def set_rungs(self, plan):
        """Changes rungs by a plan, with one action for a session however many rungs it moves: each has its price."""
        changed = [session for session in plan if plan[session] != session.rung]
        for session in changed:
            session.rung, session.rung_changed_at = plan[session], self.now
            self.actions.append(interface.SetRung(session.id, session.rung))
        for server in dict.fromkeys(session.server for session in changed):
            self.update_load(server)

    def step_down(self, server, use):
        """Sheds our part of the excess load of a server; peers get the same report and shed theirs."""
        if use > SHED_ABOVE_USE:
            server.shed_at = self.now
            self.set_rungs(self.shed(server.sessions.values(), server.link.own_kb * (1 - SHED_TO_USE / use)))

    def shed(self, sessions, excess_kb):
        """A plan of rungs that frees the excess, least valuable steps first; less than a step is shed at random."""
        plan = {session: session.rung for session in sessions if session.playing}
        while excess_kb > 0:
            session = min(
                (session for session in plan if plan[session] > session.lowest_rung),
                default=None,
                key=lambda session: (self.rendition_step(session, plan[session]).value_per_kb, session.id),
            )
            if session is None:
                break
            freed_kb = (
                self.rendition_step(session, plan[session]).kb - self.rendition_step(session, plan[session] - 1).kb
            )
            if excess_kb < freed_kb and self.random() * freed_kb > excess_kb:
                break
            plan[session] -= 1
            excess_kb -= freed_kb
        return plan

    def step_up(self, servers):
        """Gives free capacity to the most valuable steps; for a reported uplink over all its servers at once."""
        ladder, rack, rack_use = self.terms.ladder, servers[0].rack, servers[0].rack.use()
        link_uses = {
            server: server.use() if rack.reported_at is None else server.link.use()
            for server in servers
            if self.now >= server.paused_until
        }
        plan = {
            session: session.rung
            for server in link_uses
            for session in server.sessions.values()
            if session.playing
            and session.rung < session.highest_rung
            and self.now - session.rung_changed_at >= STEP_UP_PAUSE
        }
        candidates = set(plan)
        while candidates:
            session = max(
                candidates,
                key=lambda session: (self.rendition_step(session, plan[session] + 1).value_per_kb, -session.id),
            )
            limit, server, link = self.use_limit(session, plan[session] + 1), session.server, session.server.link
            if self.reserved_rung(session) < 0:
                limit -= max(server.reserved_kb / link.capacity_kb, rack.reserved_kb / rack.capacity_kb)
            added_kb = (
                self.rendition_step(session, plan[session] + 1).kb - self.rendition_step(session, plan[session]).kb
            )
            fits_alone = (
                max(link_uses[server] + 2 * added_kb / link.capacity_kb, rack_use + 2 * added_kb / rack.capacity_kb)
                <= limit
            )
            # All managers get the report. Each takes its own share of the free capacity, less than a step at random.
            probability = min(
                1.0,
                max(0.0, limit - link_uses[server]) * link.capacity_kb * link.own_share() / added_kb,
                max(0.0, limit - rack_use) * rack.capacity_kb * rack.own_share() / added_kb,
            )
            if fits := fits_alone and self.random() < probability:
                link_uses[server] += added_kb / link.capacity_kb / link.own_share()
                rack_use += added_kb / rack.capacity_kb / rack.own_share()
                plan[session] += 1
            if not fits or plan[session] == session.highest_rung:
                candidates.discard(session)
        self.set_rungs(
            {
                session: rung
                for session, rung in plan.items()
                if (ladder.worth[rung] - ladder.worth[session.rung])
                * (
                    session.requested_at + session.request.expected_length - self.now
                    if session.request.expected_length
                    else DEFAULT_TIME_LEFT
                )
                >= STEP_UP_PAYBACK * ladder.switch_cost
            }
        )
