"""Conversion of an instance's JSON settings, from the simulator or a file, to the decision module's terms."""

import math
import struct

from .. import interface

NOTE_KINDS_BY_NUMBER = {
    1: interface.NoteKind.DELIVERED,
    2: interface.NoteKind.RUNG,
    3: interface.NoteKind.LINK,
    4: interface.NoteKind.UPLINK,
}
NOTE_KINDS_BY_NAME = {
    "share": NOTE_KINDS_BY_NUMBER[1],
    "step": NOTE_KINDS_BY_NUMBER[2],
    "asked": NOTE_KINDS_BY_NUMBER[3],
    "rack": NOTE_KINDS_BY_NUMBER[4],
}  # names on sockets
LOAD_NAMES = {"x0": "link", "x1": "uplink", "busy_reqs": "streams"}
PEER_MESSAGE = struct.Struct("<If")  # server, kB a second


def to_tenths(ms):
    """Milliseconds as whole tenths of a millisecond."""
    return round(ms * 10)


def span_tenths(ms):
    """A time limit in tenths of a millisecond, rounded down so that it is never exceeded."""
    return math.floor(ms * 10 + 1e-6)


def site_terms(params, seed):
    """The SiteTerms for these settings. KeyError with the key's name if one is missing."""
    stream, rules, caps, prices = params["specifics"], params["obligations"], params["caps"], params["penalties"]
    goal = params["objectiveMix"]
    packages = tuple(
        interface.Package(
            join_target=span_tenths(row["goalTimeMs"]),
            value=row["worth"],
            effect=row["effect"],
            group=row["group"],
            repeat_window=span_tenths(row["repeatWindowMs"]),
            floor=stream["lowestRung"][i],
            top=stream["highestRung"][i],
            scale=stream["scaleByClass"][i],
            seats=stream["licenceCap"][i],
            live=bool(stream["live"][i]),
        )
        for i, row in enumerate(params["classes"])
    )
    limits_further = "resendSpanMs" in rules
    return interface.SiteTerms(
        manager_number=params["me"],
        manager_count=params["peersTotal"],
        zone=params["myZone"],
        seed=seed,
        packages=packages,
        ladder=interface.Ladder(
            tuple(stream["levelKb"]),
            tuple(stream["levelWorth"]),
            to_tenths(stream["switchCostS"] * 1000),
            stream["stall"],
            stream["join"],
        ),
        fleet=interface.FleetTerms(
            stream["cells"],
            stream["shelves"],
            tuple(stream["kindSlots"]),
            stream["kbPerWeight"],
            stream["uplinkKb"],
            stream["guard"],
            to_tenths(stream["seenAfterMs"]),
            to_tenths(stream["tellMs"]),
            tuple(LOAD_NAMES.get(name, name) for name in params["loadInfo"]["names"])
            if params["loadInfo"]["how"] != "off"
            else (),
            params["loadInfo"]["how"] == "on_probe",
            params["weightSource"] != "off",
        ),
        rules=interface.RuleTerms(
            span_tenths(rules["drainGraceMs"]),
            to_tenths(rules["warmWithinMs"]),
            rules["startCapacity"],
            rules["tipMultiple"],
            to_tenths(rules["fallMs"]),
            span_tenths(rules["mustAskInMs"]),
            rules.get("freeResends", 0) if limits_further else None,
            rules.get("furtherRatio", 0) if limits_further else None,
            to_tenths(rules["resendSpanMs"]) if limits_further else None,
        ),
        allowed=interface.Allowed(
            caps["tryLimit"],
            caps["cancelling"],
            caps["retryAfter"],
            span_tenths(caps["maxRetryAfterMs"]),
            caps["peers"],
            caps["mayProbe"],
            to_tenths(caps["dialTimeoutMs"]),
        ),
        prices=interface.Prices(
            prices["crossZone"],
            prices["moves"],
            prices["lateFail"],
            prices["peer"],
            prices["probe"],
            prices.get("handshake", 0),
        ),
        goal=interface.Goal(goal["whole"], goal["worstWindow"], goal["worstClass"]),
    )
