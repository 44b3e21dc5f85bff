"""Judges whether a fleet recovers by itself once its last fault has healed. Imports nothing from the program.

A fleet may stay degraded after the cause is gone, sustained by its own retries or by outdated state (N. Bronson,
A. Aghayev, A. Charapko and T. Zhu, "Metastable Failures in Distributed Systems", HotOS 2021). The measure is goodput,
viewings that begin per second, compared with the goodput before the first fault at the same demand: from
RECOVERY_TIME_S after the last fault healed it must reach RECOVERED_SHARE of that for the rest of the day. As the counts
are small, a random deviation of three times the square root of the expected count is allowed.
"""

import json
import math
import pathlib
from collections import Counter

from .records import RecordError, read_rows

RECOVERY_TIME_S = 6.0  # seconds after the last fault healed
RECOVERED_SHARE = 0.85  # share of the goodput before the first fault
MIN_VIEWINGS = 20  # viewings before the first fault below which nothing is judged


class Recovery:
    """recovered: True, False, or None where the day is not conclusive; before, after: goodput in viewings per second;
    summary: the result as text."""

    def __init__(self, recovered, before, after, summary):
        self.recovered, self.before, self.after, self.summary = recovered, before, after, summary


def judge_recovery(plays, first_s, healed_s, length_s, rates=None):
    """Compares the goodput after the faults with the goodput before them.

    plays: {second: viewings that began}. first_s, healed_s: when the first fault began and the last one had healed, in
    seconds of the day. rates: {second: new viewings requested}, where demand varies over the day.
    """
    quiet = [second for second in range(1, int(first_s))]
    after = [second for second in range(math.ceil(healed_s + RECOVERY_TIME_S), int(length_s))]
    demand = rates or dict.fromkeys(range(int(length_s) + 1), 1)
    requested = [sum(demand.get(second, 0) for second in span) for span in (quiet, after)]
    began = [sum(plays.get(second, 0) for second in span) for span in (quiet, after)]
    if not all(requested) or began[0] < MIN_VIEWINGS:
        return Recovery(None, 0.0, 0.0, "too little before the first fault or after the last one to tell")
    expected = began[0] / requested[0] * requested[1]
    before, now = began[0] / len(quiet), began[1] / len(after)
    # Both counts vary randomly, so the variance of the count before the fault is included.
    spread = 3 * math.sqrt(expected + began[0] * (requested[1] / requested[0]) ** 2)
    recovered = began[1] >= RECOVERED_SHARE * expected - spread
    summary = (
        f"{now:.1f} viewings begin a second from {RECOVERY_TIME_S:g} s after the last fault healed, "
        f"{before:.1f} before the first one; {RECOVERED_SHARE * expected / len(after):.1f} expected"
    )
    return Recovery(recovered, before, now, summary)


def judge_day(folder):
    """Returns the Recovery of a day from its records, None where it had no faults.

    Raises RecordError where they can't be read.
    """
    folder = pathlib.Path(folder)
    try:
        length = json.loads((folder / "day.json").read_text()).get("length_s")
        lab, clients = read_rows(folder / "lab.jsonl"), read_rows(folder / "clients.jsonl")
    except (OSError, ValueError) as bad:
        raise RecordError(f"{folder}: {bad}") from None
    began = next((r["at"] for r in lab if r["what"] == "begin"), None)
    faults = [r for r in lab if r["what"] in ("trouble", "fault", "kill", "stall")]
    if began is None or not faults:
        return None

    def second(at):
        return (at - began) / 10_000

    end = next((second(r["at"]) for r in lab if r["what"] == "end"), second(lab[-1]["at"]))
    # A killed process counts as healed when it is ready again, some time after its restart.
    healed = max(
        [
            second(r["at"])
            for r in lab
            if r["what"] in ("back", "restarted", "heal", "go_on", "box_go_on", "kill", "fault")
        ]
        + [second(r["at"]) + (r.get("for_s") or 0) for r in lab if r["what"] == "trouble"]
    )
    plays = Counter(int(second(r["at"])) for r in clients if r["what"] == "seen" and r["fate"] == "plays")
    # Viewers who return are no new demand, and the day ends only after the last player.
    return judge_recovery(plays, min(second(r["at"]) for r in faults), healed, min(length or end, end))
