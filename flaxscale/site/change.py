"""Which settings can change in a running manager. Any other change is refused by key and needs a restart."""

# Front settings that can be reloaded; the others apply to sockets that are already open.
RELOADABLE_FRONT_KEYS = {"tokens", "gate", "held_most", "patience_most_ms", "keep_answers_ms"}


def refusals(old, new, zone, manager_number, in_use, boxes, widest_span_ms):
    """(key, what was expected) of each change that a running manager can't make.

    old, new: checked sites. zone, manager_number: the manager's. in_use: viewings by package. boxes: listed rows.
    widest_span_ms: the longest span for which further tune-ins have been counted.
    """
    found = []

    def require(accepted, key, expected):
        if not accepted:
            found.append((key, expected))

    require(
        len(new.ladder.kb) == len(old.ladder.kb),
        "ladder.kb",
        f"{len(old.ladder.kb)} rates as now: running viewings refer to rungs by number",
    )
    for name, count in sorted(in_use.items()):
        require(name in new.packages, f"packages.{name}", f"the package kept while {count} viewings are in it")
    for row in boxes:
        require(row.kind in new.fleet.kinds, f"fleet.kinds.{row.kind}", f"the kind kept while box {row.id} has it")
        require(row.zone in new.zones, "zones", f"{row.zone!r} kept while box {row.id} is in it")
        require(row.cell < new.fleet.cells, "fleet.cells", f"over {row.cell}, the cell of box {row.id} now")
    require(zone in new.zones, "zones", f"{zone!r} kept, the zone of this manager")
    require(manager_number < new.managers, "managers", f"over {manager_number}, this manager's number")
    require(
        new.allowed.peers == old.allowed.peers,
        "allowed.peers",
        "as now: messages between managers start and stop with a manager",
    )
    require(
        (new.duties, new.fleet.drift) == (old.duties, old.fleet.drift),
        "duties",
        "as now: granter and holders must use the same lease spans",
    )
    require(new.peaks == old.peaks, "peaks", "as now: peaks are announced to the running service")
    further = new.rules.further
    require(
        further is None or further.span_ms <= widest_span_ms,
        "rules.further.span_ms",
        f"{widest_span_ms:g} at most: further tune-ins have not been counted for longer",
    )
    for key in new.front.__struct_fields__:
        require(
            key in RELOADABLE_FRONT_KEYS or getattr(new.front, key) == getattr(old.front, key), f"front.{key}", "as now"
        )
    return found
