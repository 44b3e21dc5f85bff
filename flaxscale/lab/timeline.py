"""The time line of a day: faults and troubles as they came and went, beside what broke then. From the records alone."""

import json
import pathlib

SHOWN = {
    "trouble",
    "kill",
    "back",
    "stall",
    "go_on",
    "box_stall",
    "box_go_on",
    "restart",
    "restarted",
    "fault",
    "heal",
    "settings",
    "announced",
    "floor",
    "end",
}
NAMES = 4  # ways and parties named in one line; the rest is counted


def some(names):
    names = [str(name) for name in names]
    return ", ".join(names[:NAMES]) + (f" and {len(names) - NAMES} more" if len(names) > NAMES else "")


def told(row):
    """One row of the lab's records in a few words."""
    what = row["what"]
    if what == "trouble":
        hit = f" at {some(row['hit'])}" if row.get("hit") else ""
        return f"{row['name']} {row['value']:g} for {row['for_s']:g} s{hit}"
    if what in ("fault", "heal"):
        kind = f" {row['kind']}" if "kind" in row else ""
        return f"{'way' if what == 'fault' else 'healed:'}{kind} {some(row['ways'])} (fault {row['n']})"
    if what == "floor":
        if row["refused"]:
            return f"floor refused: {row['refused']}"
        under = some(row["under"]) or "nobody"
        return f"floor raised to {row['floor']}, as version {row['version']}; under it: {under}"
    who = row.get("manager") or (f"b{row['box']}" if "box" in row else row.get("name", ""))
    return f"{what.replace('_', ' ')} {who}".strip()


def lines(folder, breaks):
    """[(seconds of the day, text)] in order. breaks: the checker's, with rule, at and detail."""
    rows = [json.loads(line) for line in (pathlib.Path(folder) / "lab.jsonl").read_text().splitlines()]
    began = next((r["at"] for r in rows if r["what"] == "begin"), rows[0]["at"] if rows else 0)
    # A way has rows of its own, with what it struck.
    found = [(r["at"], told(r)) for r in rows if r["what"] in SHOWN and r.get("name") != "way"]
    found += [(b.at, f"BROKEN rule {b.rule}: {b.detail}") for b in breaks]
    return [((at - began) / 10_000, text) for at, text in sorted(found)]
