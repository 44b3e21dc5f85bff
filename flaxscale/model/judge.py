"""Checks the operators' rules during a simulated day and computes its result, for the hunt.

Violations are detected from the messages between the parts of the model, not from a manager's state: `RuleChecker`
wraps several methods of the simulation. Rules 2 (for packages that are unsafe) and 6 need pushes and rations, which
days of the model lack.
"""

from collections import Counter, defaultdict

import msgspec

from .. import interface
from ..hunt import space
from ..hunt.marks import marks_of
from ..hunt.search import Outcome
from ..rules.comeback import RECOVERY_TIME_S, judge_recovery
from .duties import SERVICE
from .play import SECOND, Play

# Times are tenths of a millisecond, except where a unit is given.
DRAIN_SLACK = 500  # added to the drain grace, as in the checker for processes
BOUND_EVERY = 2  # interval in seconds at which the bound is computed
TAKEOVER_LIMIT = 80_000  # without other faults, a death is detected and its sessions claimed within this time
ORPHAN_LIMIT = 50_000  # a session without a holder must end within this time after its lease
MAX_DETAILS = 3  # violations reported per kind


class RuleChecker:
    """Wraps methods of one Play and collects rule violations; create it before the run."""

    def __init__(self, play):
        self.play, self.violations, self.attempts_out, self.answer_counts = play, [], Counter(), Counter()
        self.not_ready_since = defaultdict(dict)  # manager: {box: time when its list first said draining or gone}
        self.drain_grace = round(play.day.site.rules.drain_grace_ms * 10)
        play.tap = self.observe
        for manager in play.managers:
            manager.runner.observer = self.observe
        self.wrap("set_up", self.set_up)
        self.wrap("score", self.score)
        self.set_up_arrivals, self.known_start = defaultdict(list), {}
        self.wrap("full_list_arrives", self.full_list_delivered)
        self.wrap("set_up_at_box", self.set_up_arrives)
        self.wrap("crash_box", self.box_crashes)
        self.wrap("deliver_entry", self.entry_delivered, play.fleet)
        self.wrap("lease_expires", self.lease_expires)
        self.wrap("end_session", self.end_session)
        self.disturbed_at, self.orphaned_since, self.manager_down_at = (
            {},
            {},
            {m: play.world.now for m in range(len(play.managers))},
        )

    def wrap(self, name, before, owner=None):
        owner = owner or self.play
        original = getattr(owner, name)

        def wrapped(*args):
            before(*args)
            return original(*args)

        setattr(owner, name, wrapped)

    def set_up_arrives(self, manager, incarnation, viewing, key, server, rung, sent_at, boot):
        """A set-up reaches a box: records whether its manager's list already had the box's present start."""
        started_at = self.known_start.get((manager.number, manager.incarnation, server), 0)
        self.set_up_arrivals[server].append(
            (self.play.world.now, started_at >= self.play.fleet.boxes[server].box.started_at)
        )

    def box_crashes(self, model_box):
        """Checks a box that failed from overload while cold. It counts as a violation if over two thirds of the set-ups
        came from managers that knew of its start (the operators' page on the fleet's test); no manager can limit its
        rate for a start that the list has not reported yet.
        """
        if model_box.box.crashed:
            fall_window = round(self.play.day.site.rules.fall_ms * 10)
            known = [
                informed
                for at, informed in self.set_up_arrivals[model_box.place.id]
                if at > self.play.world.now - fall_window
            ]
            if 3 * sum(known) > 2 * len(known):
                self.report(
                    "rule 4",
                    f"box {model_box.place.id} overloaded while cold: {sum(known)} of {len(known)} "
                    "set-ups from managers that knew of its start",
                )

    def entry_delivered(self, manager, row):
        if manager.up and self.play.world.now >= manager.stalled_until:
            self.known_start[manager.number, manager.incarnation, row.server] = row.started_at
            if row.state is interface.ServerStatus.READY:
                self.not_ready_since[manager.number].pop(row.server, None)
            else:
                self.not_ready_since[manager.number].setdefault(row.server, self.play.world.now)

    def full_list_delivered(self, manager, incarnation):
        """Handles the full list after a manager's start; boxes missing from it are gone."""
        if manager.up and manager.incarnation == incarnation and self.play.world.now >= manager.stalled_until:
            rows = {row.server: row for row in self.play.fleet.full_list()}
            self.known_start |= {(manager.number, incarnation, row.server): row.started_at for row in rows.values()}
            for server in self.play.fleet.boxes:
                if server not in rows or rows[server].state is not interface.ServerStatus.READY:
                    self.not_ready_since[manager.number].setdefault(server, self.play.world.now)
                else:
                    self.not_ready_since[manager.number].pop(server, None)

    def report(self, kind, detail):
        self.violations.append((kind, f"{self.play.day_s():.2f} s: {detail}"))

    def observe(self, now, event, actions):
        """Checks each event and the resulting actions: one tune-in in flight and one answer per viewing."""
        if isinstance(event, interface.AttemptEnded):
            self.attempts_out[event.id] -= 1
        for action in actions:
            if isinstance(action, interface.TuneIn):
                self.attempts_out[action.id] += 1
                if self.attempts_out[action.id] > 1:
                    self.report("rule 2", f"viewing {action.id}: two tune-ins in flight")
            elif isinstance(action, (interface.Block, interface.Abort)):
                self.answer_counts[action.id] += 1
        if isinstance(event, interface.AttemptSucceeded):
            self.answer_counts[event.id] += 1
        id = getattr(event, "id", None)
        if id is not None and self.answer_counts[id] > 1:
            self.report("rule 1", f"viewing {id}: answered {self.answer_counts[id]} times")
            self.answer_counts[id] = 1

    def set_up(self, manager, viewing, nth, server, rung):
        not_ready_since = self.not_ready_since[manager.number].get(server)
        if not_ready_since is not None and self.play.world.now > not_ready_since + self.drain_grace + DRAIN_SLACK:
            self.report(
                "rule 3",
                f"m{manager.number} sets up at {server}, which its list reported as draining or gone "
                f"{(self.play.world.now - not_ready_since) / 10_000:.1f} s before",
            )

    def score(self):
        """Each second: checks seats, by the sessions that play at boxes for a manager's present incarnation."""
        sessions_by_seat = Counter()
        for model_box in self.play.fleet.boxes.values():
            for key, session in model_box.box.sessions.items():
                viewing = self.play.viewing_by_key.get(key)
                manager = self.play.manager_named(session.manager)
                if (
                    viewing is not None
                    and viewing.playing
                    and not viewing.ended
                    and session.life == manager.incarnation
                ):
                    sessions_by_seat[manager.name, session.title, session.package] += 1
        self.record_disturbances()
        self.check_orphans()
        for (name, title, package), count in sessions_by_seat.items():
            seats = self.play.day.site.packages[package].seats
            if seats and count > seats:
                self.report("rule 5", f"{name} holds {count} of {title} in {package}, seats {seats}")

    # Faults between processes

    def record_disturbances(self):
        """Records, to the second, when each path, box and manager last had a fault, a stall or an outage."""
        now = self.play.world.now
        self.disturbed_at |= dict.fromkeys(self.play.ways.states, now)
        for id, model_box in self.play.fleet.boxes.items():
            if model_box.dead or model_box.box.trouble.hang:
                self.disturbed_at[id] = now
        for m, manager in enumerate(self.play.managers):
            if not manager.up or manager.stopping or manager.stalled_until > now:
                self.manager_down_at[m] = now

    def lease_expires(self, model_box, boot, key, name, incarnation):
        """A playing viewing is lost with its manager: a violation if another manager could have claimed it.

        Packages with seats are skipped: all seats of the claiming manager may have been taken.
        """
        session, viewing, now = model_box.box.sessions.get(key), self.play.viewing_by_key.get(key), self.play.world.now
        lease, box = round(self.play.day.site.fleet.lease_ms * 10), f"b{model_box.place.id}"
        if (
            lease < TAKEOVER_LIMIT
            or not self.play.day.members
            or model_box.dead
            or model_box.boot != boot
            or session is None
            or (session.manager, session.life) != (name, incarnation)
            or viewing is None
            or not viewing.playing
            or viewing.ended
        ):
            return
        if self.play.day.site.packages[session.package].seats:
            return
        undisturbed_since = now - lease - 2 * SECOND
        candidates = [
            m.name
            for m in self.play.managers
            if self.manager_down_at[m.number] < undisturbed_since
            and model_box.place.id in m.listed_boxes()
            and all(
                self.disturbed_at.get(key_of_fault, 0) < undisturbed_since
                for key_of_fault in ((m.name, box), (box, m.name), model_box.place.id)
            )
            and len(m.viewings) < self.play.day.site.front.held_most // 2
        ]
        if candidates:
            self.report("work in hand", f"a viewing of {name} was lost at {box}; {candidates} could have claimed it")

    def end_session(self, model_box, key, manager=None, incarnation=0):
        """Checks that an end order that a box obeys comes from the manager that holds the session."""
        session = model_box.box.sessions.get(key)
        if manager is not None and session is not None and session.manager != manager.name:
            self.report("work in hand", f"{manager.name} ended a viewing that {session.manager} holds")

    def check_orphans(self):
        """Checks for sessions whose manager's incarnation is over and whose lease has expired."""
        now, orphaned = self.play.world.now, {}
        limit = round(self.play.day.site.fleet.lease_ms * 10) + ORPHAN_LIMIT
        for model_box in self.play.fleet.boxes.values():
            for key, session in (
                model_box.box.sessions.items() if not model_box.dead and not model_box.box.trouble.hang else ()
            ):
                manager = self.play.manager_named(session.manager)
                if not manager.up or manager.incarnation != session.life:
                    orphaned[key] = self.orphaned_since.get(key, now)
                    if now - orphaned[key] > limit:
                        self.report(
                            "work in hand", f"a session of {session.manager} at b{model_box.place.id} has no holder"
                        )
                        orphaned[key] = now
        self.orphaned_since = orphaned

    def all_violations(self):
        """All violations as [(kind, detail)], at most MAX_DETAILS of each kind."""
        play, violations = self.play, [*self.violations, *record_violations(self.play)]
        unanswered = sum(row.outcomes["unanswered"] for row in play.seconds.values())
        if unanswered:
            violations.append(("rule 1", f"{unanswered} viewings had no answer within their patience"))
        if low := sum(row.below_floor for row in play.seconds.values()):
            violations.append(("rule 5", f"{low} viewing seconds under the floor"))
        violations += [("fault", text) for text in play.faults]
        kinds = Counter()
        return tuple(
            (kind, text) for kind, text in violations if not kinds.update([kind]) and kinds[kind] <= MAX_DETAILS
        )


def record_violations(play):
    """Violations in the records of claims, grants and acts under leases, as [(kind, detail)]."""
    violations, epochs, tokens = [], {}, {}

    def token_of(who, token, resource, text):
        last = tokens.get(resource, (0, who))
        if token < last[0] or token == last[0] and who != last[1]:
            violations.append(("leases", f"{text} after {last}"))
        tokens[resource] = token, who

    for time, what, who, *row in play.records:
        time_text = f"{(time - play.began) / SECOND:.2f} s: "
        if what == "adopted":
            key, epoch, _ = row
            if epochs.get(key, (0, None))[0] + 1 != epoch and epochs.get(key) != (epoch, who):
                violations.append(
                    ("claims", f"{time_text}{who} is granted epoch {epoch} of {key} after {epochs.get(key)}")
                )
            epochs[key] = epoch, who
        elif what == "granted":
            piece, token = row
            token_of(who, token, (SERVICE, "grants", piece), f"{time_text}token {token} of {piece} is granted to {who}")
        elif what == "both":
            violations.append(("leases", f"{time_text}{who} holds {row[0]} while {row[1]} still holds it"))
        elif what == "act":
            piece, token, place = row
            token_of(
                who, token, (place, "acts", piece), f"{time_text}{place} takes an act of {who} on {piece} under {token}"
            )
    return violations


def share_of_bound(play, since=0, until=1 << 40):
    """Worth earned, as a share of the upper bound (model/bound.py), for seconds in [since, until)."""
    rows = [row for s, row in play.seconds.items() if row.bound and since <= s < until]
    return sum(sum(row.earned.values()) for row in rows) / sum(row.bound for row in rows) if rows else 1.0


def undisturbed_share(day, seed):
    """The same of a day without troubles, as the baseline."""
    return share_of_bound(Play(day_with(day, []), seed, bound_every=BOUND_EVERY).run(), space.LEAD_S)


def play_and_check(day, seed, troubles, undisturbed=None):
    """(Outcome, totals) of a day with these troubles. undisturbed: from undisturbed_share(); None: no loss is computed.

    Loss: how much lower the share of the bound is than in an undisturbed day, from the first trouble until the time by
    which service must have recovered. What no placement could have served (all boxes down, say) is not a loss.
    """
    play = Play(day_with(day, troubles), seed, bound_every=BOUND_EVERY if undisturbed is not None else 0)
    checker = RuleChecker(play)
    play.run()
    first, healed = min((row.at_s for row in troubles), default=0), space.healed_at(troubles)
    plays = {s: row.outcomes["plays"] + row.outcomes["late"] for s, row in play.seconds.items()}
    recovery = judge_recovery(plays, first, healed, day.length_s) if troubles else None
    # Deaths, claims and leases count as states that a day reached, like answers.
    process_events = defaultdict(Counter)
    for time, what, *rest in play.records:
        process_events[(time - play.began) // SECOND][f"members {rest[2] if what == 'member' else what}"] += 1
    seconds = [
        (s, row.outcomes + Counter({f"tune-in {how}": n for how, n in row.tune_ins.items()}) + process_events[s])
        for s, row in sorted(play.seconds.items())
    ]
    totals = play.totals()
    counts = Counter(totals["fates"]) + Counter({f"tune-in {how}": n for how, n in totals["tune_ins"].items()})
    counts += sum(process_events.values(), Counter())
    loss = 0.0 if undisturbed is None else max(0.0, undisturbed - share_of_bound(play, first, healed + RECOVERY_TIME_S))
    violations = checker.all_violations()
    return Outcome(
        violations,
        recovery and recovery.recovered,
        round(loss, 4),
        marks_of(troubles, counts, seconds) | {f"broke {kind}" for kind, _ in violations},
    ), {**totals, "said": recovery.summary if recovery else ""}


def day_with(day, troubles):
    return msgspec.structs.replace(day, troubles=list(troubles))
