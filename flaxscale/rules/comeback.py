"""Whether a fleet comes back by itself once its last fault has healed. Imports nothing of the program.

A fleet may stay bad after what made it bad is gone, kept there by its own retries or by what it believes (N. Bronson,
A. Aghayev, A. Charapko and T. Zhu, "Metastable Failures in Distributed Systems", HotOS 2021). Judged by goodput,
viewings that begin a second, against what it was before the first fault, at the same demand: RECOVERY_TIME_S after
the last one healed it must be back at RECOVERED_SHARE of that, for the rest of the day. Counts are small, so that
chance alone is allowed for: three times the root of what was expected.
"""

import json
import math
import pathlib
from collections import Counter

from .records import RecordError, read_rows

RECOVERY_TIME_S, RECOVERED_SHARE = 6.0, 0.85
MIN_VIEWINGS = 20  # viewings that begin in a span that says anything


class Recovery:
    """back: True, False, or None where the day can't tell; before, after: goodput a second; said: in words."""

    def __init__(self, recovered, before, after, summary):
        self.recovered, self.before, self.after, self.summary = recovered, before, after, summary


def judge_recovery(plays, first_s, healed_s, length_s, rates=None):
    """plays: {second: viewings that began}. first_s, healed_s: when faults began and had healed, in seconds of the day.

    rates: {second: new viewings asked for}, where demand is not the same all day.
    """
    quiet = [s for s in range(1, int(first_s))]
    after = [s for s in range(math.ceil(healed_s + RECOVERY_TIME_S), int(length_s))]
    wanted = rates or dict.fromkeys(range(int(length_s) + 1), 1)
    asked = [sum(wanted.get(s, 0) for s in span) for span in (quiet, after)]
    came = [sum(plays.get(s, 0) for s in span) for span in (quiet, after)]
    if not all(asked) or came[0] < MIN_VIEWINGS:
        return Recovery(None, 0.0, 0.0, "too little before the first fault or after the last one to tell")
    expected = came[0] / asked[0] * asked[1]
    before, now = came[0] / len(quiet), came[1] / len(after)
    # Both counts vary by chance, the one from before as well.
    spread = 3 * math.sqrt(expected + came[0] * (asked[1] / asked[0]) ** 2)
    recovered = came[1] >= RECOVERED_SHARE * expected - spread
    summary = (
        f"{now:.1f} viewings begin a second from {RECOVERY_TIME_S:g} s after the last fault healed, "
        f"{before:.1f} before the first one; {RECOVERED_SHARE * expected / len(after):.1f} expected"
    )
    return Recovery(recovered, before, now, summary)


def judge_day(folder):
    """The same from a day's records: a Recovery, or None where nothing struck it. RecordError: they can't be read."""
    folder = pathlib.Path(folder)
    try:
        length = json.loads((folder / "day.json").read_text()).get("length_s")
        lab, clients = read_rows(folder / "lab.jsonl"), read_rows(folder / "clients.jsonl")
    except (OSError, ValueError) as bad:
        raise RecordError(f"{folder}: {bad}") from None
    began = next((r["at"] for r in lab if r["what"] == "begin"), None)
    struck = [r for r in lab if r["what"] in ("trouble", "fault", "kill", "stall")]
    if began is None or not struck:
        return None

    def second(at):
        return (at - began) / 10_000

    end = next((second(r["at"]) for r in lab if r["what"] == "end"), second(lab[-1]["at"]))
    # Processes that are killed come back when they are ready, which takes a while.
    healed = max(
        [
            second(r["at"])
            for r in lab
            if r["what"] in ("back", "restarted", "heal", "go_on", "box_go_on", "kill", "fault")
        ]
        + [second(r["at"]) + (r.get("for_s") or 0) for r in lab if r["what"] == "trouble"]
    )
    plays = Counter(int(second(r["at"])) for r in clients if r["what"] == "seen" and r["fate"] == "plays")
    # Who comes again is no new demand; the players' own end is after the last of it.
    return judge_recovery(plays, min(second(r["at"]) for r in struck), healed, min(length or end, end))
