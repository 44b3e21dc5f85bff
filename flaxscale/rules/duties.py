"""Checks the work done under leases, from the records of the resources alone: the catalogue service and the boxes.

- **One at a time**: at one resource the tokens of a piece never decrease, and no token is used by two owners. So no
  action of an earlier holder takes effect after one of a later holder.
- **Done again**: where the manager that acted last was killed, another one acts within the promised time: the rest of
  the grant, failure detection, a lease request, one period. Time in which the service was down, stalled or had just
  started is not counted, nor is an interval that the end of the day cut off.

Times are in tenths of a millisecond of the machine's monotonic clock.
"""

import pathlib
from collections import defaultdict

from .check import Break
from .records import read_rows

NAMES = {9: "one at a time", 10: "done again"}
DETECTION_TIME = 60_000  # tenths of a millisecond until all managers know of a death
REQUEST_TIME = 60_000  # tenths of a millisecond for a lease request that was just refused, its repetition and answer


def duties(folder):
    """Returns violations with the numbers of NAMES; none where no duties were enabled."""
    folder = pathlib.Path(folder)
    lab = read_rows(folder / "lab.jsonl")
    service = read_rows(folder / "catalogue.jsonl") if (folder / "catalogue.jsonl").exists() else []
    resources = {"the service": [r for r in service if r["what"] == "lease"]}
    for file in sorted(folder.glob("box-*.jsonl")):
        box = file.stem.split("-")[1]
        resources.setdefault(f"box {box}", []).extend(r for r in read_rows(file) if r["what"] == "lease")
    breaks = []
    for name, rows in resources.items():
        breaks += one_at_a_time(name, sorted((r for r in rows if r["did"] == "act"), key=lambda r: r["at"]))
    figures = {r["name"]: r for r in service if r["what"] == "duty"}
    return breaks + done_again(resources["the service"], figures, lab, service)


def one_at_a_time(resource, acts):
    """Returns violations by the actions at one resource."""
    last, owners, breaks = {}, {}, []
    for act in acts:
        piece, token, owner = act["piece"], act["token"], act["owner"]
        if token < last.get(piece, 0):
            breaks.append(Break(9, act["at"], f"{resource}: {piece} by {owner}, token {token} after {last[piece]}"))
        if owners.setdefault((piece, token), owner) != owner:
            breaks.append(
                Break(9, act["at"], f"{resource}: {piece} under token {token} by {owners[piece, token]} and {owner}")
            )
        last[piece] = max(token, last.get(piece, 0))
    return breaks


def outage_spans(lab, service):
    """Returns the spans in which the service could grant no leases, up to the end of its start phase."""
    starts = [(r["at"], r["opens"]) for r in service if r["what"] == "leases"]
    spans = [(at, at + opens) for at, opens in starts[1:]]
    for r in lab:
        if r["what"] == "trouble" and r["name"] in ("catalogue_crash", "catalogue_stall"):
            spans.append((r["at"], r["at"] + round((r["for_s"] or 0) * 10_000) + 30_000))
        if r["what"] == "fault":
            healed = [h["at"] for h in lab if h["what"] == "heal" and h["n"] == r["n"]]
            if any("catalogue" in way for way in r["ways"]):
                spans.append((r["at"], max(healed, default=1 << 60) + 50_000))
    return spans


def covered_time(spans, first, last):
    """Returns how much of the time from first to last lies in any of the spans."""
    total, at = 0, first
    for began, ended in sorted(spans):
        began, ended = max(began, at), min(ended, last)
        if ended > began:
            total += ended - began
            at = ended
    return total


def done_again(rows, figures, lab, service):
    """Returns violations where a killed manager's work was not resumed in time. figures: the duties' rows by name."""
    acts = defaultdict(list)
    for r in rows:
        if r["did"] == "act":
            acts[r["piece"]].append(r)
    end = next((r["at"] for r in lab if r["what"] == "end"), 0)
    kills = [(r["at"], r["manager"]) for r in lab if r["what"] == "kill" and "manager" in r]
    spans, breaks = outage_spans(lab, service), []
    for at, manager in kills:
        for piece, done in acts.items():
            before = [r for r in done if r["at"] <= at]
            if not before or piece not in figures or before[-1]["owner"].split(".")[0] != manager:
                continue
            task = figures[piece]
            allowed = round(task["span"] * (1 + task["drift"])) + task["period"] + DETECTION_TIME + REQUEST_TIME
            following = next((r["at"] for r in done if r["at"] > at), end)
            late = following - at - covered_time(spans, at, following) - allowed
            if late > 0 and following <= end:
                breaks.append(
                    Break(
                        10,
                        following,
                        f"{piece}: nobody acted for {(following - at) / 10_000:.1f} s after "
                        f"{manager} was killed, {late / 10_000:.1f} s too long",
                    )
                )
    return breaks
