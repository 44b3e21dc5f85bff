"""Checks the six rules from records of sockets alone, without the managers' own records.

Times are in tenths of a millisecond of the machine's monotonic clock. SOCKET_SLACK is the difference allowed between
two sockets of one machine when a manager closes one connection and opens the next in the same instant.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

from .records import read

SOCKET_SLACK = 500
ANSWER_FATES = ("plays", "blocked", "aborted", "refused")
RULES = (
    "no viewing is lost",
    "no set-up happens twice",
    "drains are kept",
    "a cold box is not pushed over",
    "terms are kept",
    "further tune-ins stay within the budget",
)


class Break(NamedTuple):
    """A violation of a rule or of a promise."""

    rule: int  # 1 to 6; the promises of promises.py and duties.py have the numbers from 7
    at: int
    detail: str


class Verdict(NamedTuple):
    """The outcome of a check."""

    breaks: list
    requests: int  # requests for which rule 1 requires an answer
    answered: int
    counts: Counter  # requests by their fate as clients saw it

    def line(self):
        """Returns the summary in one line."""
        broken = len({violation.rule for violation in self.breaks})
        return f"rules kept: {6 - broken}, broken: {broken}; requests {self.requests}, answered once {self.answered}"


def check(folder):
    """Checks the records of a folder; raises RecordError where they can't be read."""
    records = read(folder)
    breaks, requests, answered = rule_1(records)
    for rule in (rule_2, rule_3, rule_4, rule_5, rule_6):
        breaks += rule(records)
    return Verdict(
        sorted(breaks, key=lambda violation: (violation.rule, violation.at)),
        requests,
        answered,
        Counter(request.fate or "unseen" for request in records.asked),
    )


def in_any_span(spans, at):
    """Returns whether a time lies in any of the spans."""
    return any(since <= at <= until for since, until in spans)


def earliest_sent_at(records, tune_in):
    """Returns the earliest time at which a set-up may have been sent.

    That is its arrival, or the start of a fault that delayed it.
    """
    return min(
        [
            tune_in.at,
            *(
                since
                for since, until in records.hidden.get((tune_in.manager, tune_in.box), ())
                if since <= tune_in.at <= until + SOCKET_SLACK
            ),
        ]
    )


def certainly_open_until(records, tune_in):
    """Returns until when the manager certainly awaited the answer.

    A fault between manager and box may hide the arrival of the answer, or that the manager gave up.
    """
    return min(
        [
            tune_in.out_until,
            *(
                max(tune_in.at, since)
                for since, until in records.hidden.get((tune_in.manager, tune_in.box), ())
                if since <= tune_in.out_until and tune_in.at <= until + SOCKET_SLACK
            ),
        ]
    )


def rule_1(records):
    """One answer within the viewer's patience, from a manager that ran all that time."""
    breaks, requests, answered = [], 0, 0
    for request in records.asked:
        due = request.at + request.patience
        kills = records.kills.get(request.manager, ())
        died = any(
            request.at - SOCKET_SLACK <= killed <= min(request.seen_at, due) + SOCKET_SLACK for killed, _ in kills
        ) or in_any_span(kills, request.at)
        # A manager whose stall ends just before the deadline has read nothing by then.
        stalled = in_any_span(
            [(since, on + SOCKET_SLACK) for since, on in records.stalls.get(request.manager, ())], due
        )
        if request.fate in ("left", "unreached", "sent_on") or (request.fate is None and due > records.end):
            continue  # no answer due: the client left, or no manager accepted the request
        if request.fate not in ANSWER_FATES and (died or stalled):
            continue
        requests += 1
        if request.fate not in ANSWER_FATES:
            breaks.append(
                Break(
                    1, request.at, f"request {request.n} at {request.manager}: {request.fate or 'no answer was seen'}"
                )
            )
        elif request.seen_at - request.at > request.patience:
            breaks.append(
                Break(1, request.at, f"request {request.n} at {request.manager}: answered after its patience")
            )
        elif request.status == 500:
            breaks.append(Break(1, request.at, f"request {request.n} at {request.manager}: status 500 is no answer"))
        else:
            answered += 1
    return breaks, requests, answered


def rule_2(records):
    """At most one pending tune-in per viewing; after an unsafe set-up that may have run, no other one and no block."""
    breaks, by_trace = [], defaultdict(list)
    effects = {name: row["effect"] for name, row in records.site["packages"].items()}
    request_by_trace = {request.trace: request for request in records.asked}
    for tune_in in records.tune_ins:
        if any(later[2] <= earlier[2] for earlier, later in zip(tune_in.claims, tune_in.claims[1:])):
            breaks.append(
                Break(2, tune_in.claims[-1][0], f"{tune_in.key}: taken over twice under one epoch: {tune_in.claims}")
            )
        by_trace[tune_in.trace].append(tune_in)
    breaks += unsafe_under_one_key(records, by_trace, effects)
    for trace, made in by_trace.items():
        for earlier, later in zip(made, made[1:]):
            if later.at + SOCKET_SLACK < certainly_open_until(records, earlier):
                breaks.append(Break(2, later.at, f"{trace}: two tune-ins out, {earlier.key} and {later.key}"))
            # `ran` is False only where the answer stated that the set-up never ran.
            if effects.get(later.package) == "unsafe" and earlier.ran:
                breaks.append(Break(2, later.at, f"{trace}: {later.key} after {earlier.key}, which may have run"))
        request = request_by_trace.get(trace)
        if (
            request
            and request.fate == "blocked"
            and effects.get(made[-1].package) == "unsafe"
            and any(tune_in.ran for tune_in in made)
        ):
            breaks.append(Break(2, request.at, f"{trace}: blocked although {made[-1].key} may have run"))
    return breaks


def unsafe_under_one_key(records, by_trace, effects):
    """Finds unsafe set-ups that began while another one under the same client's key existed, at any managers."""
    made, breaks = defaultdict(list), []
    for request in records.asked:
        if request.key is not None:
            made[request.key] += [
                tune_in
                for tune_in in by_trace.get(request.trace, ())
                if tune_in.status == 201 and effects.get(tune_in.package) == "unsafe"
            ]
    for key, rows in made.items():
        rows = sorted(set(rows), key=lambda tune_in: tune_in.at)
        for earlier, later in zip(rows, rows[1:]):
            if later.at + SOCKET_SLACK < earlier.freed_at:
                breaks.append(Break(2, later.at, f"{later.key} under the client's key {key} while {earlier.key} stood"))
    return breaks


def rule_3(records):
    """No set-up is sent to a box later than the grace period after its manager was told that it drains or is gone."""
    grace = round(records.site["rules"]["drain_grace_ms"] * 10)
    unavailable_since = defaultdict(dict)  # manager: {box: time of the message}
    known = defaultdict(set)
    breaks = []
    events = sorted(
        [(at, 0, ("told", manager, kind, boxes)) for at, manager, kind, boxes in records.told]
        + [
            (killed, 0, ("kill", manager, None, None))
            for manager, spans in records.kills.items()
            for killed, _ in spans
        ]
        + [(earliest_sent_at(records, tune_in), 1, ("tune-in", tune_in, None, None)) for tune_in in records.tune_ins],
        key=lambda event: event[:2],
    )
    for at, _, (what, subject, kind, boxes) in events:
        if what == "kill":  # a restarted manager has not been told anything yet
            unavailable_since.pop(subject, None)
            known.pop(subject, None)
        elif what == "told":
            listed = set()
            for box, state, _ in boxes:
                listed.add(box)
                if state == "ready":
                    unavailable_since[subject].pop(box, None)
                else:
                    unavailable_since[subject].setdefault(box, at)
            if kind == "full":
                for box in known[subject] - listed:
                    unavailable_since[subject].setdefault(box, at)
            known[subject] |= listed
        else:
            since = unavailable_since[subject.manager].get(subject.box)
            if since is not None and at > since + grace + SOCKET_SLACK:
                breaks.append(
                    Break(
                        3,
                        at,
                        f"{subject.key} to box {subject.box} {(at - since) / 10:.0f} ms after {subject.manager} "
                        "was told that it drains or is gone",
                    )
                )
    return breaks


def rule_4(records):
    """All managers together stay below the allowed multiple of a box's set-up rate while it warms up."""
    rules, breaks = records.site["rules"], []
    warm, fall = rules["warm_within_ms"] * 10, round(rules["fall_ms"] * 10)
    for start in records.starts:
        if start.fell is not None:
            breaks.append(Break(4, start.fell, f"box {start.box} fell over"))
        seen = []
        for tune_in in (
            tune_in for tune_in in records.tune_ins if tune_in.box == start.box and start.at <= tune_in.at <= start.dead
        ):
            age = tune_in.at - start.at + start.up
            if age >= warm:
                break
            seen = [at for at in seen if at > tune_in.at - fall] + [tune_in.at]
            share = rules["start_capacity"] + (1 - rules["start_capacity"]) * age / warm
            allowed = rules["tip_multiple"] * start.slots / warm * share * fall
            if len(seen) > int(allowed) + 1:
                breaks.append(
                    Break(
                        4,
                        tune_in.at,
                        f"box {start.box}: {len(seen)} set-ups within {fall / 10:.0f} ms, {allowed:.1f} allowed",
                    )
                )
                break
    return breaks


def known_versions(records, manager, at):
    """Returns the range of versions that a manager may have used for what arrived at this time.

    None: unknown, so nothing is judged.
    """
    for killed, _ in records.kills.get(manager, ()):
        if killed <= at:  # a restarted manager begins with its stored version: only later acknowledgements count
            acks = [
                version
                for acked, version in records.catalogue.acks.get(manager, ())
                if killed < acked <= at - SOCKET_SLACK
            ]
            if not acks:
                return None
    return records.catalogue.version_range(manager, at - SOCKET_SLACK, at + SOCKET_SLACK)


def most_seats(records, manager, tune_in, at):
    """Returns the largest seat count of the title that a manager may have used at a time; None where it is unknown."""
    usual = records.site["packages"][tune_in.package]["seats"]
    if records.catalogue is None:
        return usual
    known = known_versions(records, manager, at)
    if known is None:
        return None
    return max(
        (title or {"seats": {}})["seats"].get(tune_in.package, usual)
        for title in records.catalogue.titles_between(tune_in.title, *known)
    )


def running_spans(since, until, kills):
    """Returns the spans of [since, until] in which the manager ran.

    The sessions of a killed manager play on under its name and count against its seats again from its restart, whether
    or not it has claimed them.
    """
    spans = []
    for killed, back in kills:
        if killed < since:
            continue
        if killed >= until:
            break
        spans.append((since, killed))
        since = back
        if since >= until:
            return spans
    return [*spans, (since, until)]


def rule_5(records):
    """No rung below the floor, at most `seats` sessions per title and package, no set-up on a box without the title."""
    breaks, packages = [], records.site["packages"]
    held = defaultdict(list)
    for tune_in in records.tune_ins:
        row = packages.get(tune_in.package)
        if row is None:
            continue
        for at, rung in tune_in.rungs:
            if rung < row["floor"] and at <= tune_in.freed_at:
                breaks.append(
                    Break(5, at, f"{tune_in.key}: rung {rung} under the floor {row['floor']} of {tune_in.package}")
                )
        if row["seats"]:
            # Counted at its first manager, then at each manager that took it over.
            spans = [(tune_in.at, tune_in.manager), *tune_in.taken]
            for n, (since, manager) in enumerate(spans):
                until = min([tune_in.freed_at, *(at for at, _ in spans[n + 1 : n + 2])])
                for begun, over in running_spans(since, until, records.kills.get(manager, ())):
                    held[manager, tune_in.title, tune_in.package] += [
                        (begun, 1, tune_in),
                        (max(begun, over - SOCKET_SLACK), -1, tune_in),
                    ]
    for (manager, title, package), changes in held.items():
        count = 0
        for at, change, tune_in in sorted(changes, key=lambda row: row[:2]):
            count += change
            if change > 0 and (seats := most_seats(records, manager, tune_in, at)) is not None and count > seats:
                breaks.append(Break(5, at, f"{manager} holds {count} of {title!r} in {package}, seats {seats}"))
                break
    if records.catalogue is not None:
        breaks += on_non_holders(records)
    return breaks


def on_non_holders(records):
    """Finds set-ups at a box that doesn't hold the title in any version that the manager may have used."""
    breaks = []
    for tune_in in records.tune_ins:
        known = known_versions(records, tune_in.manager, tune_in.at)
        if known is None:
            continue
        rows = records.catalogue.titles_between(tune_in.title, *known)
        if not any(row and row["holders"].get(str(tune_in.box)) == "holding" for row in rows):
            breaks.append(
                Break(
                    5,
                    tune_in.at,
                    f"{tune_in.key}: box {tune_in.box} does not hold {tune_in.title!r} in versions {known}",
                )
            )
    return breaks


def rule_6(records):
    """Further tune-ins of a manager's life in any window: at most a fixed number plus a share of accepted viewings."""
    further = records.site["rules"].get("further")
    if not further:
        return []
    span, breaks = round(further["span_ms"] * 10), []
    made, accepted_at, first = defaultdict(list), defaultdict(list), set()
    for tune_in in records.tune_ins:
        if tune_in.trace in first:
            made[tune_in.manager].append(tune_in.at)
        first.add(tune_in.trace)
    for request in records.asked:
        if request.fate not in ("unreached", "sent_on"):
            accepted_at[request.manager].append(request.at)
    for manager, times in made.items():
        for n, at in enumerate(times):
            # Counted from the start of the process: a restarted manager has no record of earlier tune-ins.
            started_at = max((killed for killed, _ in records.kills.get(manager, ()) if killed < at), default=0)
            count = sum(1 for other in times[: n + 1] if other > max(started_at, at - span))
            accepted = sum(
                1 for other in accepted_at[manager] if max(started_at, at - span - SOCKET_SLACK) < other <= at
            )
            if count > further["free"] + further["share"] * accepted:
                breaks.append(
                    Break(
                        6,
                        at,
                        f"{manager}: {count} further tune-ins within {span / 10:.0f} ms, {accepted} viewings taken",
                    )
                )
                break
    return breaks
