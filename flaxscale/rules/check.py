"""Judges the six rules from records of sockets alone; it believes nothing that a manager says of itself.

Times are tenths of a millisecond of the machine's monotonic clock. SOCKET_SLACK is what two sockets of one machine may
differ by when a manager closes one connection and opens the next in the same instant.
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
    rule: int  # 1 to 6
    at: int
    detail: str


class Verdict(NamedTuple):
    breaks: list
    requests: int  # that were owed an answer
    answered: int
    counts: Counter  # what clients saw

    def line(self):
        broken = len({b.rule for b in self.breaks})
        return f"rules kept: {6 - broken}, broken: {broken}; requests {self.requests}, answered once {self.answered}"


def check(folder):
    records = read(folder)
    breaks, requests, answered = rule_1(records)
    for rule in (rule_2, rule_3, rule_4, rule_5, rule_6):
        breaks += rule(records)
    return Verdict(
        sorted(breaks, key=lambda b: (b.rule, b.at)),
        requests,
        answered,
        Counter(a.fate or "unseen" for a in records.asked),
    )


def in_any_span(spans, at):
    return any(a <= at <= b for a, b in spans)


def earliest_sent_at(records, t):
    """The earliest that a set-up may have been sent: its box saw it then, or at the end of what hid it."""
    return min(
        [
            t.at,
            *(
                since
                for since, until in records.hidden.get((t.manager, t.box), ())
                if since <= t.at <= until + SOCKET_SLACK
            ),
        ]
    )


def certainly_open_until(records, t):
    """Until when its manager surely had it out: a fault between both may hide an answer, or that it was given up."""
    return min(
        [
            t.out_until,
            *(
                max(t.at, since)
                for since, until in records.hidden.get((t.manager, t.box), ())
                if since <= t.out_until and t.at <= until + SOCKET_SLACK
            ),
        ]
    )


def rule_1(records):
    """One answer within the viewer patience, from a manager that ran all that time."""
    breaks, requests, answered = [], 0, 0
    for a in records.asked:
        due = a.at + a.patience
        kills = records.kills.get(a.manager, ())
        died = any(
            a.at - SOCKET_SLACK <= killed <= min(a.seen_at, due) + SOCKET_SLACK for killed, _ in kills
        ) or in_any_span(kills, a.at)
        # One that goes on a moment before the patience ends has read nothing by then.
        stood = in_any_span([(since, on + SOCKET_SLACK) for since, on in records.stalls.get(a.manager, ())], due)
        if a.fate in ("left", "unreached", "sent_on") or (a.fate is None and due > records.end):
            continue  # not owed: the client went, or nobody took the request
        if a.fate not in ANSWER_FATES and (died or stood):
            continue
        requests += 1
        if a.fate not in ANSWER_FATES:
            breaks.append(Break(1, a.at, f"request {a.n} at {a.manager}: {a.fate or 'no answer was seen'}"))
        elif a.seen_at - a.at > a.patience:
            breaks.append(Break(1, a.at, f"request {a.n} at {a.manager}: answered after its patience"))
        elif a.status == 500:
            breaks.append(Break(1, a.at, f"request {a.n} at {a.manager}: status 500 is no answer"))
        else:
            answered += 1
    return breaks, requests, answered


def rule_2(records):
    """Never two tune-ins out; no second set-up of an unsafe package, nor a block, once one may have run."""
    breaks, by_trace = [], defaultdict(list)
    effects = {name: row["effect"] for name, row in records.site["packages"].items()}
    request_by_trace = {a.trace: a for a in records.asked}
    for t in records.tune_ins:
        if any(two[2] <= one[2] for one, two in zip(t.claims, t.claims[1:])):
            breaks.append(Break(2, t.claims[-1][0], f"{t.key}: taken over twice under one epoch: {t.claims}"))
        by_trace[t.trace].append(t)
    breaks += unsafe_under_one_key(records, by_trace, effects)
    for trace, made in by_trace.items():
        for one, two in zip(made, made[1:]):
            if two.at + SOCKET_SLACK < certainly_open_until(records, one):
                breaks.append(Break(2, two.at, f"{trace}: two tune-ins out, {one.key} and {two.key}"))
            # `ran` is False only where the answer said that it never ran.
            if effects.get(two.package) == "unsafe" and one.ran:
                breaks.append(Break(2, two.at, f"{trace}: {two.key} after {one.key}, which may have run"))
        asked = request_by_trace.get(trace)
        if asked and asked.fate == "blocked" and effects.get(made[-1].package) == "unsafe" and any(t.ran for t in made):
            breaks.append(Break(2, asked.at, f"{trace}: blocked although {made[-1].key} may have run"))
    return breaks


def unsafe_under_one_key(records, by_trace, effects):
    """An unsafe set-up that began while another of its client's key stood, whichever managers were asked."""
    made, breaks = defaultdict(list), []
    for a in records.asked:
        if a.key is not None:
            made[a.key] += [
                t for t in by_trace.get(a.trace, ()) if t.status == 201 and effects.get(t.package) == "unsafe"
            ]
    for key, rows in made.items():
        rows = sorted(set(rows), key=lambda t: t.at)
        for one, two in zip(rows, rows[1:]):
            if two.at + SOCKET_SLACK < one.freed_at:
                breaks.append(Break(2, two.at, f"{two.key} under the client's key {key} while {one.key} stood"))
    return breaks


def rule_3(records):
    """Nothing new to a box later than the grace after its manager was told that it drains or is gone."""
    grace = round(records.site["rules"]["drain_grace_ms"] * 10)
    bad_since = defaultdict(dict)  # manager: {box: told at}
    known = defaultdict(set)
    breaks = []
    events = sorted(
        [(at, 0, ("told", m, kind, boxes)) for at, m, kind, boxes in records.told]
        + [(killed, 0, ("kill", m, None, None)) for m, s in records.kills.items() for killed, _ in s]
        + [(earliest_sent_at(records, t), 1, ("tune-in", t, None, None)) for t in records.tune_ins],
        key=lambda e: e[:2],
    )
    for at, _, (what, who, kind, boxes) in events:
        if what == "kill":  # whoever comes back was told nothing yet
            bad_since.pop(who, None)
            known.pop(who, None)
        elif what == "told":
            named = set()
            for box, state, _ in boxes:
                named.add(box)
                if state == "ready":
                    bad_since[who].pop(box, None)
                else:
                    bad_since[who].setdefault(box, at)
            if kind == "full":
                for box in known[who] - named:
                    bad_since[who].setdefault(box, at)
            known[who] |= named
        else:
            since = bad_since[who.manager].get(who.box)
            if since is not None and at > since + grace + SOCKET_SLACK:
                breaks.append(
                    Break(
                        3,
                        at,
                        f"{who.key} to box {who.box} {(at - since) / 10:.0f} ms after {who.manager} "
                        "was told that it drains or is gone",
                    )
                )
    return breaks


def rule_4(records):
    """All managers together under the multiple of the pace while a box warms."""
    rules, breaks = records.site["rules"], []
    warm, fall = rules["warm_within_ms"] * 10, round(rules["fall_ms"] * 10)
    for start in records.starts:
        if start.fell is not None:
            breaks.append(Break(4, start.fell, f"box {start.box} fell over"))
        seen = []
        for t in (t for t in records.tune_ins if t.box == start.box and start.at <= t.at <= start.dead):
            age = t.at - start.at + start.up
            if age >= warm:
                break
            seen = [at for at in seen if at > t.at - fall] + [t.at]
            share = rules["start_capacity"] + (1 - rules["start_capacity"]) * age / warm
            allowed = rules["tip_multiple"] * start.slots / warm * share * fall
            if len(seen) > int(allowed) + 1:
                breaks.append(
                    Break(
                        4,
                        t.at,
                        f"box {start.box}: {len(seen)} set-ups within {fall / 10:.0f} ms, {allowed:.1f} allowed",
                    )
                )
                break
    return breaks


def known_versions(records, manager, at):
    """Versions that a manager may have gone by for what arrived at this time; None: unknown, nothing is judged."""
    for killed, _ in records.kills.get(manager, ()):
        if killed <= at:  # whoever came back began with what it had kept: only what it took since then counts
            acks = [v for a, v in records.catalogue.acks.get(manager, ()) if killed < a <= at - SOCKET_SLACK]
            if not acks:
                return None
    return records.catalogue.version_range(manager, at - SOCKET_SLACK, at + SOCKET_SLACK)


def most_seats(records, manager, t, at):
    """The most seats of a set-up's title that a manager may have gone by at a time; None where that can't be known."""
    usual = records.site["packages"][t.package]["seats"]
    if records.catalogue is None:
        return usual
    known = known_versions(records, manager, at)
    if known is None:
        return None
    return max(
        (title or {"seats": {}})["seats"].get(t.package, usual)
        for title in records.catalogue.titles_between(t.title, *known)
    )


def running_spans(since, until, kills):
    """Spans of [since, until] in which the manager ran. What a killed one left plays on under its name, and counts
    again from its return: claimed by then or not, it takes one of its seats."""
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
    """No rung under the floor; no more of a title and package than seats; nothing on boxes that do not hold it."""
    breaks, packages = [], records.site["packages"]
    held = defaultdict(list)
    for t in records.tune_ins:
        row = packages.get(t.package)
        if row is None:
            continue
        for at, rung in t.rungs:
            if rung < row["floor"] and at <= t.freed_at:
                breaks.append(Break(5, at, f"{t.key}: rung {rung} under the floor {row['floor']} of {t.package}"))
        if row["seats"]:
            # Under its own manager, then under each that took it over.
            spans = [(t.at, t.manager), *t.taken]
            for n, (since, manager) in enumerate(spans):
                until = min([t.freed_at, *(at for at, _ in spans[n + 1 : n + 2])])
                for begun, over in running_spans(since, until, records.kills.get(manager, ())):
                    held[manager, t.title, t.package] += [(begun, 1, t), (max(begun, over - SOCKET_SLACK), -1, t)]
    for (manager, title, package), changes in held.items():
        count = 0
        for at, change, t in sorted(changes, key=lambda row: row[:2]):
            count += change
            if change > 0 and (seats := most_seats(records, manager, t, at)) is not None and count > seats:
                breaks.append(Break(5, at, f"{manager} holds {count} of {title!r} in {package}, seats {seats}"))
                break
    if records.catalogue is not None:
        breaks += on_non_holders(records)
    return breaks


def on_non_holders(records):
    """Set-ups sent to a box that, in every version its manager may have gone by, does not take the title."""
    breaks = []
    for t in records.tune_ins:
        known = known_versions(records, t.manager, t.at)
        if known is None:
            continue
        rows = records.catalogue.titles_between(t.title, *known)
        if not any(row and row["holders"].get(str(t.box)) == "holding" for row in rows):
            breaks.append(Break(5, t.at, f"{t.key}: box {t.box} does not hold {t.title!r} in versions {known}"))
    return breaks


def rule_6(records):
    """Further tune-ins of one life of a manager in any window: a few, plus a share of the viewings that it took."""
    further = records.site["rules"].get("further")
    if not further:
        return []
    span, breaks = round(further["span_ms"] * 10), []
    made, taken, first = defaultdict(list), defaultdict(list), set()
    for t in records.tune_ins:
        if t.trace in first:
            made[t.manager].append(t.at)
        first.add(t.trace)
    for a in records.asked:
        if a.fate not in ("unreached", "sent_on"):
            taken[a.manager].append(a.at)
    for manager, times in made.items():
        for n, at in enumerate(times):
            # An instance counts from its start: whoever comes back knows of nothing that it made before.
            born = max((killed for killed, _ in records.kills.get(manager, ()) if killed < at), default=0)
            count = sum(1 for other in times[: n + 1] if other > max(born, at - span))
            took = sum(1 for other in taken[manager] if max(born, at - span - SOCKET_SLACK) < other <= at)
            if count > further["free"] + further["share"] * took:
                breaks.append(
                    Break(
                        6, at, f"{manager}: {count} further tune-ins within {span / 10:.0f} ms, {took} viewings taken"
                    )
                )
                break
    return breaks
