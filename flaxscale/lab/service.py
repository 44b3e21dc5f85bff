"""The service figure of a played day, from what its players saw: value earned over value asked."""

import json
import pathlib


def service_of(folder, site):
    """0 to 1. A viewing earns its package's value times the worth of its mean rung, less what stalls cost.

    Asked is the worth of the highest rung of its package. An answer after the join target earns nothing. Retries are
    requests of their own here; only what a player saw counts.
    """
    rows = [json.loads(line) for line in (pathlib.Path(folder) / "clients.jsonl").read_text().splitlines()]
    seen = {r["n"]: r for r in rows if r["what"] == "seen"}
    held = {r["n"]: r for r in rows if r["what"] == "held"}
    worth, earned, asked = site.ladder.worth, 0.0, 0.0
    for row in rows:
        if row["what"] != "asked" or row["n"] not in seen or seen[row["n"]]["fate"] == "left":
            continue
        title = site.titles[row["title"]]
        package = site.packages[title.push if row["sends"] else title.view]
        asked += package.value * worth[min(package.top, len(worth) - 1)]
        answer, played = seen[row["n"]], held.get(row["n"])
        if answer["fate"] != "plays" or answer["after"] > package.join_target_ms * 10:
            continue
        if played is None or played["rung"] is None:
            earned += package.value * worth[0]  # it plays, the day ended before it told how
            continue
        low = min(len(worth) - 2, int(played["rung"])) if len(worth) > 1 else 0
        part = played["rung"] - low
        rung_worth = worth[low] + (worth[min(low + 1, len(worth) - 1)] - worth[low]) * part
        short = max(0.0, 0.98 - (played["share"] if played["share"] is not None else 1.0))
        earned += package.value * max(0.0, rung_worth - site.ladder.stall * short)
    return earned / asked if asked else 0.0
