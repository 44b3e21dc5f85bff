"""What new settings may change in a running manager. Everything else is refused by name and waits for a restart."""

# Of the front's own settings only these are read anew; the others shape sockets that are open.
FRONT = {"tokens", "gate", "held_most", "patience_most_ms", "keep_answers_ms"}


def refusals(old, new, zone, me, in_use, boxes, widest_span_ms):
    """(key, what was expected) for all that a running manager can't take on.

    old, new: checked sites. zone, me: the manager's own. in_use: viewings by package. boxes: listed rows.
    widest_span_ms: the longest span of which it has counted its further tune-ins.
    """
    out = []

    def want(good, key, expected):
        if not good:
            out.append((key, expected))

    want(
        len(new.ladder.kb) == len(old.ladder.kb),
        "ladder.kb",
        f"{len(old.ladder.kb)} rates as now: what plays is at rungs by number",
    )
    for name, count in sorted(in_use.items()):
        want(name in new.packages, f"packages.{name}", f"the package kept while {count} viewings are in it")
    for row in boxes:
        want(row.kind in new.fleet.kinds, f"fleet.kinds.{row.kind}", f"the kind kept while box {row.id} is of it")
        want(row.zone in new.zones, "zones", f"{row.zone!r} kept while box {row.id} stands there")
        want(row.cell < new.fleet.cells, "fleet.cells", f"over {row.cell}, where box {row.id} stands")
    want(zone in new.zones, "zones", f"{zone!r} kept, this manager's own")
    want(me < new.managers, "managers", f"over {me}, this manager's number")
    want(new.allowed.peers == old.allowed.peers, "allowed.peers", "as now: talk begins and ends with a manager")
    want(
        (new.duties, new.fleet.drift) == (old.duties, old.fleet.drift),
        "duties",
        "as now: spans of leases are the same at who grants and who holds",
    )
    want(new.peaks == old.peaks, "peaks", "as now: peaks are announced in service")
    further = new.rules.further
    want(
        further is None or further.span_ms <= widest_span_ms,
        "rules.further.span_ms",
        f"{widest_span_ms:g} at most: further tune-ins are not counted for longer",
    )
    for key in new.front.__struct_fields__:
        want(key in FRONT or getattr(new.front, key) == getattr(old.front, key), f"front.{key}", "as now")
    return out
