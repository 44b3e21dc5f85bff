"""Checks, from clients' and boxes' records alone, the promises for pending set-ups and sessions beside the six rules.

- **Taken up once**: no two managers are granted a session under one epoch, and no session's answer is given to two
  viewers.
- **No orphan**: a session on a box ends within `orphan_limit` of the time from which no client wants it: since its
  player stopped, or, where no client received its answer, since the last attempt under its client's key (without a key:
  its own attempt) was answered or given up. Time in which the box hung or stalled, or in which some manager could not
  reach it, is not counted.

Times are in tenths of a millisecond of the machine's monotonic clock.
"""

import json
import pathlib
from collections import defaultdict

from .check import SOCKET_SLACK, Break
from .records import NEVER, read_rows, unobservable_spans

NAMES = {7: "taken up once", 8: "no orphan"}
END_ALLOWANCE = 50_000  # tenths of a millisecond: failure detection, claims and the intervals of a box's checks


def orphan_limit(site):
    """Returns how long an unwanted session may exist: at the latest its box ends it, by its media or lease timeout."""
    fleet = site.get("fleet", {})
    return round(10 * max(fleet.get("media_ms", 30_000), fleet.get("lease_ms", 4_000))) + END_ALLOWANCE


class BoxSession:
    """One session by its box's records."""

    __slots__ = "key", "trace", "box", "begun", "over", "ufrag", "claims"

    def __init__(self, key, trace, box):
        self.key, self.trace, self.box, self.claims = key, trace, box, []
        self.begun, self.over, self.ufrag = None, NEVER, None


def promises(folder):
    """Returns violations with the numbers of NAMES. Builds that don't record the begin of a session have no orphans."""
    folder = pathlib.Path(folder)
    site = json.loads((folder / "day.json").read_text())["site"]
    lab, clients = read_rows(folder / "lab.jsonl"), read_rows(folder / "clients.jsonl")
    end = next((r["at"] for r in lab if r["what"] == "end"), 0)
    killed = [(r["at"], r["box"]) for r in lab if r["what"] == "kill" and "box" in r]
    managers = [f"m{n}" for n in range(site.get("managers", 1))]
    unreachable = defaultdict(list)
    for (_, box), spans in unobservable_spans(lab, managers).items():
        unreachable[box] += spans
    sessions = []
    for file in sorted(folder.glob("box-*.jsonl")):
        sessions += read_sessions(read_rows(file), killed, unreachable)
    breaks = taken_up_twice(sessions, clients)
    wanted, last_try_over = wanted_until(clients)
    for session in sessions:
        if session.begun is None:
            continue
        until = wanted.get(session.ufrag) if session.ufrag in wanted else last_try_over(session.trace)
        if until is None or until == NEVER:
            continue
        until = max(until, session.begun)
        due = until + orphan_limit(site) + covered_time(unreachable[session.box], until, min(session.over, end))
        if min(session.over, end) > due + SOCKET_SLACK:
            breaks.append(
                Break(
                    8,
                    until,
                    f"{session.key} at box {session.box} stood for nobody for "
                    f"{(min(session.over, end) - until) / 10_000:.1f} s",
                )
            )
    return sorted(breaks, key=lambda violation: (violation.rule, violation.at))


def read_sessions(rows, killed, unreachable):
    """Returns the sessions of one start of a box; adds the spans in which it hung to unreachable."""
    box, found, hung = None, {}, None
    for row in rows:
        what, key = row["what"], row.get("key")
        if what == "start":
            box, began = row["box"], row["at"]
        elif what == "setup":
            found[key] = BoxSession(key, row["trace"] or key, box)
        elif what == "trouble" and row["name"] == "hang":
            if row["value"]:
                hung = row["at"]
            elif hung is not None:
                unreachable[box].append((hung, row["at"]))
                hung = None
        elif key not in found:
            continue
        elif what == "begun":
            found[key].begun = found[key].begun or row["at"]
        elif what == "over":
            found[key].over = min(found[key].over, row["at"])
        elif what == "answer" and row["status"] == 201:
            found[key].ufrag = row.get("ufrag")
        elif what == "adopted":
            found[key].claims.append((row["at"], row["manager"], row["epoch"]))
    dead = min(
        [r["at"] for r in rows if r["what"] == "dead"]
        + [at for at, killed_box in killed if killed_box == box and at >= began],
        default=NEVER,
    )
    if hung is not None:
        unreachable[box].append((hung, dead))
    for session in found.values():
        session.over = min(session.over, dead)
    return list(found.values())


def wanted_until(clients):
    """Returns ({ufrag: until when its player wanted the session}, last_try_over).

    last_try_over(trace): when the last attempt for that viewing was answered or given up; None for an unknown trace.
    """
    asked = {r["n"]: r for r in clients if r["what"] == "asked"}
    stopped_at = {r["n"]: r["at"] for r in clients if r["what"] == "held"}
    seen = {r["n"]: r for r in clients if r["what"] == "seen"}
    wanted, tries, group_of_trace = {}, defaultdict(list), {}
    for n, row in asked.items():
        group = row.get("key") or row["trace"]
        group_of_trace[row["trace"]] = group
        tries[group].append(seen[n]["at"] if n in seen else NEVER)
        seen_row = seen.get(n, {})
        if seen_row.get("fate") == "plays" and seen_row.get("ufrag"):
            wanted[seen_row["ufrag"]] = max(wanted.get(seen_row["ufrag"], 0), stopped_at.get(n, NEVER))
    return wanted, lambda trace: max(tries[group_of_trace[trace]]) if trace in group_of_trace else None


def covered_time(spans, since, until):
    """Returns how much of the time from since to until lies in any of the spans."""
    total, at = 0, since
    for first, last in sorted(spans):
        first, last = max(first, at), min(last, until)
        if first < last:
            total, at = total + last - first, last
    return total


def taken_up_twice(sessions, clients):
    """Returns violations of "taken up once"."""
    breaks, viewers = [], {}
    for session in sessions:
        granted = {}
        for at, manager, epoch in session.claims:
            if granted.setdefault(epoch, manager) != manager:
                breaks.append(
                    Break(7, at, f"{session.key}: {granted[epoch]} and {manager} hold it under epoch {epoch}")
                )
    asked = {r["n"]: r.get("key") or r["trace"] for r in clients if r["what"] == "asked"}
    for row in clients:
        if row["what"] == "seen" and row.get("fate") == "plays" and row.get("ufrag") and row["n"] in asked:
            viewer = asked[row["n"]]
            if viewers.setdefault(row["ufrag"], viewer) != viewer:
                breaks.append(
                    Break(7, row["at"], f"one session's answer was given to {viewers[row['ufrag']]} and to {viewer}")
                )
    return breaks
