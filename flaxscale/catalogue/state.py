"""Titles and their holders in versions. A change set is applied completely or not at all, after checks.

A holder is a box that is preparing (the clip is being copied to it), holding, or leaving (no new set-ups, running
viewings go on). The state is a mapping of immutable titles, so that a version costs only what it changes and readers
can keep an earlier one.
"""

from typing import NamedTuple

import msgspec

from ..store.shapes import decoded

PREPARING, HOLDING, LEAVING = "preparing", "holding", "leaving"
STATES = (PREPARING, HOLDING, LEAVING)
NAME_LIMIT = 200  # characters
CODEC_LIMIT = 16  # codecs of a title
HOLDERS_LIMIT = 4096  # holders of a title
OPS_LIMIT = 200_000  # operations in a change set


class Title(msgspec.Struct, frozen=True, gc=False):
    """One title. Packages are given by name; its rungs are low to top, all of them."""

    name: str
    view: str | None
    push: str | None
    low: int
    top: int
    codecs: tuple[str, ...]
    seats: tuple[tuple[str, int], ...]  # (package, seats), where they differ from the package's
    holders: tuple[tuple[int, str], ...]  # (box, state), by box

    def available_boxes(self):
        """Boxes that may get new set-ups."""
        return frozenset(box for box, state in self.holders if state == HOLDING)


class Put(msgspec.Struct, frozen=True, tag="put", forbid_unknown_fields=True):
    """Creates or replaces a title. Its holders are replaced only where some are given."""

    name: str
    view: str | None = None
    push: str | None = None
    low: int = 0
    top: int = 99
    codecs: tuple[str, ...] = ()
    seats: dict[str, int] = {}
    holders: dict[str, str] | None = None  # box to state; None: unchanged


class Drop(msgspec.Struct, frozen=True, tag="drop", forbid_unknown_fields=True):
    """Removes a title."""

    name: str


class Hold(msgspec.Struct, frozen=True, tag="hold", forbid_unknown_fields=True):
    """Sets the state of one holder; "gone" removes the holder."""

    name: str
    box: int
    state: str


class Seats(msgspec.Struct, frozen=True, tag="seats", forbid_unknown_fields=True):
    """Sets the seats of one title in one package; None: the package's default."""

    name: str
    package: str
    seats: int | None


class Rungs(msgspec.Struct, frozen=True, tag="rungs", forbid_unknown_fields=True):
    """Sets the range of rungs of a title, as renditions are added or withdrawn."""

    name: str
    low: int
    top: int


Op = Put | Drop | Hold | Seats | Rungs


class SiteLimits(NamedTuple):
    """The site's settings that titles are checked against."""

    floors: dict  # package: lowest rung
    seated: frozenset  # packages that have seats
    rungs: int


class Fault(NamedTuple):
    """A fault in one operation of a change set."""

    op: int  # index of the operation in the change set; -1: the change set itself
    title: str
    detail: str

    def __str__(self):
        return f"operation {self.op}, title {self.title!r}: {self.detail}"


class Refused(Exception):
    """The change set has faults. The message has the first five, `faults` has all."""

    def __init__(self, faults):
        super().__init__(
            "; ".join(str(f) for f in faults[:5]) + (f" (and {len(faults) - 5} more)" if len(faults) > 5 else "")
        )
        self.faults = faults


class VersionConflict(Exception):
    """The change set was made for another version: another change was applied first."""

    def __init__(self, expected, version):
        super().__init__(f"made for version {expected}, the catalogue is at {version}")
        self.version = version


class Delta(NamedTuple):
    """The changes of one version. titles: {name: the new Title, or None for a dropped one}."""

    version: int
    titles: dict
    floor: int = 0  # lowest version that may be acted on, if this version raises it


class Catalogue:
    """The titles at one version."""

    def __init__(self, limits, version=0, titles=None, floor=0):
        self.limits, self.version, self.titles, self.floor = limits, version, dict(titles or {}), floor

    def apply(self, ops, expect=None, in_use=None, force=False):
        """Applies a change set and returns its Delta. After VersionConflict or Refused nothing has changed.

        expect: the version it was made for. in_use: {(title, package): seats in use at the manager that uses most};
        without force, seats can't be set below it.
        """
        if expect is not None and expect != self.version:
            raise VersionConflict(expect, self.version)
        if not ops:
            raise Refused([Fault(-1, "", "an empty change set")])
        if len(ops) > OPS_LIMIT:
            raise Refused([Fault(-1, "", f"{len(ops)} operations; {OPS_LIMIT} at most")])
        changed, faults, op_number = {}, [], {}
        for n, op in enumerate(ops):
            name = op.name
            before = changed[name] if name in changed else self.titles.get(name)
            try:
                changed[name] = self.apply_op(before, op)
                op_number[name] = n
            except ValueError as error:
                faults.append(Fault(n, name[:60], str(error)))
        for name, title in changed.items():
            if title is not None:
                faults += [
                    Fault(op_number[name], name[:60], detail)
                    for detail in self.title_faults(title, in_use or {}, force)
                ]
        if faults:
            raise Refused(sorted(faults))
        changed = {name: t for name, t in changed.items() if t != self.titles.get(name)}
        if not changed:
            return Delta(self.version, {})  # no difference, so no new version
        delta = Delta(self.version + 1, changed)
        self.apply_delta(delta)
        return delta

    def apply_delta(self, delta):
        """Applies a delta that has been checked."""
        self.version, self.floor = delta.version, max(self.floor, delta.floor)
        for name, title in delta.titles.items():
            if title is None:
                self.titles.pop(name, None)
            else:
                self.titles[name] = title

    def apply_op(self, before, op):
        """The title after one operation, or None if it is dropped. ValueError: the operation is not possible."""
        if isinstance(op, Put):
            return self.put_title(before, op)
        if before is None:
            raise ValueError("no such title")
        if isinstance(op, Drop):
            return None
        if isinstance(op, Hold):
            holders = dict(before.holders)
            if op.state == "gone":
                if op.box not in holders:
                    raise ValueError(f"box {op.box} is not a holder")
                del holders[op.box]
            elif op.state not in STATES:
                raise ValueError(f"{op.state[:20]!r} is not a state of a holder: {', '.join(STATES)} or gone")
            else:
                holders[op.box] = op.state
            return msgspec.structs.replace(before, holders=tuple(sorted(holders.items())))
        if isinstance(op, Seats):
            seats = dict(before.seats)
            if op.seats is None:
                seats.pop(op.package, None)
            else:
                seats[op.package] = op.seats
            return msgspec.structs.replace(before, seats=tuple(sorted(seats.items())))
        return msgspec.structs.replace(before, low=op.low, top=min(op.top, self.limits.rungs - 1))

    def put_title(self, before, op):
        """The title that a Put creates. before: the present title or None."""
        if op.holders is None:
            holders = before.holders if before is not None else ()
        else:
            if invalid := [box for box in op.holders if not (box.isascii() and box.isdigit())]:
                raise ValueError(f"{invalid[0][:20]!r} is not a box id")
            holders = tuple(sorted((int(box), state) for box, state in op.holders.items() if state != "gone"))
        return Title(
            op.name,
            op.view,
            op.push,
            op.low,
            min(op.top, self.limits.rungs - 1),
            op.codecs,
            tuple(sorted(op.seats.items())),
            holders,
        )

    def title_faults(self, t, in_use, force):
        """Yields a description of each fault of a title as it would be after the change."""
        limits = self.limits
        if not t.name or len(t.name) > NAME_LIMIT or not t.name.isprintable():
            yield f"a name of 1 to {NAME_LIMIT} printable characters is needed"
        if t.view is None and t.push is None:
            yield "a package to view or to push is needed"
        for use in (t.view, t.push):
            if use is None:
                continue
            if use not in limits.floors:
                yield f"the package {use[:40]!r} is not one of {', '.join(sorted(limits.floors))}"
            elif t.top < limits.floors[use]:
                yield f"no rendition at the floor of {use}: rung {limits.floors[use]}, the title's top is {t.top}"
        if not 0 <= t.low <= t.top:
            yield f"rungs {t.low} to {t.top}: a rendition without a rung of the ladder's {limits.rungs}"
        if len(t.codecs) > CODEC_LIMIT or any(not 0 < len(c) <= 40 for c in t.codecs):
            yield f"codecs: {CODEC_LIMIT} names of 1 to 40 characters at most"
        if not any(state != LEAVING for _, state in t.holders):
            yield "no holder that holds it or prepares to"
        if len(t.holders) > HOLDERS_LIMIT:
            yield f"{len(t.holders)} holders; {HOLDERS_LIMIT} at most"
        for box, state in t.holders:
            if state not in STATES:
                yield f"holder {box}: {state[:20]!r} is not a state: {', '.join(STATES)}"
            if not 0 <= box < 1 << 32:
                yield f"holder {box}: ids are 0 to 4294967295"
        for package, seats in t.seats:
            if package not in limits.seated:
                yield f"seats in {package[:40]!r}, which has none"
            elif seats < 1:
                yield f"{seats} seats in {package}; 1 or more"
            elif not force and seats < in_use.get((t.name, package), 0):
                yield f"{seats} seats in {package}, {in_use[t.name, package]} are in use at one manager"


def diff(old, new):
    """{name: (title before, title after)} for the titles that differ between two mappings."""
    return {
        name: (old.get(name), new.get(name))
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    }


def undo(old, new):
    """The operations that turn the mapping `new` into `old`."""
    ops = []
    for name, (before, after) in diff(old, new).items():
        ops.append(Drop(name) if before is None else put_from_title(before))
    return ops


def put_from_title(t):
    """The Put that creates this title."""
    return Put(t.name, t.view, t.push, t.low, t.top, t.codecs, dict(t.seats), {str(b): s for b, s in t.holders})


# Stored form of versions: msgpack arrays that begin with the number of their shape

SHAPE = 1


class StoredDelta(msgspec.Struct, array_like=True):
    """A log record: one version."""

    shape: int
    version: int
    who: str
    why: str
    titles: list[Title]
    dropped: list[str]
    floor: int = 0
    id: str = ""  # chosen by the client


class StoredSnapshot(msgspec.Struct, array_like=True):
    """A snapshot: all titles at one version."""

    shape: int
    version: int
    titles: list[Title]
    floor: int = 0
    done: list[tuple[str, int, int]] = []  # (client's id, version made, titles changed)


def encode_delta(delta, who="", why="", id=""):
    return msgspec.msgpack.encode(
        StoredDelta(
            SHAPE,
            delta.version,
            who,
            why,
            [t for t in delta.titles.values() if t is not None],
            [n for n, t in delta.titles.items() if t is None],
            delta.floor,
            id,
        )
    )


def decode_delta(data):
    """(Delta, who, why, id) of a log record. ValueError: not in a shape that this program knows."""
    stored = decoded(data, StoredDelta, SHAPE, "change of titles")
    titles = {t.name: t for t in stored.titles}
    titles.update(dict.fromkeys(stored.dropped))
    return Delta(stored.version, titles, stored.floor), stored.who, stored.why, stored.id


def encode_snapshot(version, titles, floor=0, done=()):
    return msgspec.msgpack.encode(StoredSnapshot(SHAPE, version, list(titles.values()), floor, list(done)))


def decode_snapshot(data):
    """(version, titles, floor, done) of a snapshot. ValueError: not in a shape that this program knows."""
    stored = decoded(data, StoredSnapshot, SHAPE, "titles")
    return stored.version, {t.name: t for t in stored.titles}, stored.floor, stored.done
