"""Judges what was done under leases, from the records of what was acted on alone: the service's and the boxes'.

- **One at a time**: at one resource the tokens of a piece never go back, and none is taken for two owners. So no act of
  an earlier holder takes effect after one of a later.
- **Done again**: where the manager that acted last was killed, another acts within what is promised: the grant that is
  waited out, detection, an asking, a period. Time in which the service was away, stood still or had just started counts
  not, and neither does what the day's end cut off.

Times are tenths of a millisecond of the machine's monotonic clock.
"""

import pathlib
from collections import defaultdict

from .check import Break
from .records import read_rows

NAMES = {9: "one at a time", 10: "done again"}
DETECTION_TIME, REQUEST_TIME = (
    60_000,
    60_000,
)  # a death is known to all; an asking that was just refused, and its answer


def duties(folder):
    """Breaks, with the numbers of NAMES; none where no duty was on."""
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
    """Spans in which the service could grant nothing: until its start counts as over."""
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
    """How much of first to last lies in any of the spans."""
    total, at = 0, first
    for began, ended in sorted(spans):
        began, ended = max(began, at), min(ended, last)
        if ended > began:
            total += ended - began
            at = ended
    return total


def done_again(rows, figures, lab, service):
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
            most = round(task["span"] * (1 + task["drift"])) + task["period"] + DETECTION_TIME + REQUEST_TIME
            following = next((r["at"] for r in done if r["at"] > at), end)
            late = following - at - covered_time(spans, at, following) - most
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
