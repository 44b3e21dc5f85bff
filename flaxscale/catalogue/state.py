"""Titles and who holds them, as versions: a change set is all of it or none, checked against the whole state.

A holder prepares (the clip is being copied there), holds, or leaves (no new set-ups, viewings play on); one that is
gone is no holder. The state is a mapping of immutable titles, so that a version costs only what changed in it and
any number of readers may keep an old one.
"""

from typing import NamedTuple

import msgspec

from ..store.shapes import decoded

PREPARING, HOLDING, LEAVING = "preparing", "holding", "leaving"
STATES = (PREPARING, HOLDING, LEAVING)
NAME_LIMIT, CODEC_LIMIT, HOLDERS_LIMIT, OPS_LIMIT = 200, 16, 4096, 200_000


class Title(msgspec.Struct, frozen=True, gc=False):
    """One title. Packages are names; rungs are those that exist for it, low to top without a gap."""

    name: str
    view: str | None
    push: str | None
    low: int
    top: int
    codecs: tuple[str, ...]
    seats: tuple[tuple[str, int], ...]  # by package, where they differ from the package's own
    holders: tuple[tuple[int, str], ...]  # (box, state), by box

    def available_boxes(self):
        """Boxes to which new set-ups may go."""
        return frozenset(box for box, state in self.holders if state == HOLDING)


class Put(msgspec.Struct, frozen=True, tag="put", forbid_unknown_fields=True):
    """A title as a whole: new, or in place of what it was (its holders too, where some are given)."""

    name: str
    view: str | None = None
    push: str | None = None
    low: int = 0
    top: int = 99
    codecs: tuple[str, ...] = ()
    seats: dict[str, int] = {}
    holders: dict[str, str] | None = None  # box to state; None: as they were


class Drop(msgspec.Struct, frozen=True, tag="drop", forbid_unknown_fields=True):
    name: str


class Hold(msgspec.Struct, frozen=True, tag="hold", forbid_unknown_fields=True):
    """One holder's state; gone takes it out."""

    name: str
    box: int
    state: str


class Seats(msgspec.Struct, frozen=True, tag="seats", forbid_unknown_fields=True):
    """Seats of one title in one package; None: the package's own again."""

    name: str
    package: str
    seats: int | None


class Rungs(msgspec.Struct, frozen=True, tag="rungs", forbid_unknown_fields=True):
    """The rungs that exist for a title: a rendition comes or is withdrawn."""

    name: str
    low: int
    top: int


Op = Put | Drop | Hold | Seats | Rungs


class SiteLimits(NamedTuple):
    """What of the site a catalogue must fit: floors and seats by package, and the number of rungs."""

    floors: dict
    seated: frozenset  # packages that have seats
    rungs: int


class Fault(NamedTuple):
    op: int  # number of the operation in the change set; -1: of the whole
    title: str
    detail: str

    def __str__(self):
        return f"operation {self.op}, title {self.title!r}: {self.detail}"


class Refused(Exception):
    """The change set does not fit. Names every fault."""

    def __init__(self, faults):
        super().__init__(
            "; ".join(str(f) for f in faults[:5]) + (f" (and {len(faults) - 5} more)" if len(faults) > 5 else "")
        )
        self.faults = faults


class VersionConflict(Exception):
    """Another change came first: the change set was made for another version."""

    def __init__(self, expected, version):
        super().__init__(f"made for version {expected}, the catalogue is at {version}")
        self.version = version


class Delta(NamedTuple):
    """What one version changed: titles as they are now; None: dropped."""

    version: int
    titles: dict
    floor: int = 0  # the lowest version that may be acted on, where this version raises it


class Catalogue:
    """A version and its titles. apply() gives the delta and moves on; a refused change leaves all as it was."""

    def __init__(self, frame, version=0, titles=None, floor=0):
        self.frame, self.version, self.titles, self.floor = frame, version, dict(titles or {}), floor

    def apply(self, ops, expect=None, in_use=None, force=False):
        """The Delta of a change set. Raises VersionConflict or Refused.

        expect: the version it was made for. in_use: {(title, package): seats in use at the manager that uses most};
        seats are not lowered under it unless forced.
        """
        if expect is not None and expect != self.version:
            raise VersionConflict(expect, self.version)
        if not ops:
            raise Refused([Fault(-1, "", "an empty change set")])
        if len(ops) > OPS_LIMIT:
            raise Refused([Fault(-1, "", f"{len(ops)} operations; {OPS_LIMIT} at most")])
        changed, faults, by = {}, [], {}
        for n, op in enumerate(ops):
            name = op.name
            before = changed[name] if name in changed else self.titles.get(name)
            try:
                changed[name] = self.change(before, op)
                by[name] = n
            except ValueError as bad:
                faults.append(Fault(n, name[:60], str(bad)))
        for name, title in changed.items():
            if title is not None:
                faults += [Fault(by[name], name[:60], detail) for detail in self.check(title, in_use or {}, force)]
        if faults:
            raise Refused(sorted(faults))
        changed = {name: t for name, t in changed.items() if t != self.titles.get(name)}
        if not changed:
            return Delta(self.version, {})  # nothing differs: no version for it
        delta = Delta(self.version + 1, changed)
        self.take(delta)
        return delta

    def take(self, delta):
        """Moves on by a delta that was checked before."""
        self.version, self.floor = delta.version, max(self.floor, delta.floor)
        for name, title in delta.titles.items():
            if title is None:
                self.titles.pop(name, None)
            else:
                self.titles[name] = title

    def change(self, before, op):
        """One title after one operation. ValueError: it has no sense."""
        if isinstance(op, Put):
            return self.put(before, op)
        if before is None:
            raise ValueError("no such title")
        if isinstance(op, Drop):
            return None
        if isinstance(op, Hold):
            holders = dict(before.holders)
            if op.state == "gone":
                if op.box not in holders:
                    raise ValueError(f"box {op.box} is no holder")
                del holders[op.box]
            elif op.state not in STATES:
                raise ValueError(f"{op.state[:20]!r} is no state of a holder: {', '.join(STATES)} or gone")
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
        return msgspec.structs.replace(before, low=op.low, top=min(op.top, self.frame.rungs - 1))

    def put(self, before, op):
        if op.holders is None:
            holders = before.holders if before is not None else ()
        else:
            if bad := [box for box in op.holders if not (box.isascii() and box.isdigit())]:
                raise ValueError(f"{bad[0][:20]!r} is no box id")
            holders = tuple(sorted((int(box), state) for box, state in op.holders.items() if state != "gone"))
        return Title(
            op.name,
            op.view,
            op.push,
            op.low,
            min(op.top, self.frame.rungs - 1),
            op.codecs,
            tuple(sorted(op.seats.items())),
            holders,
        )

    def check(self, t, in_use, force):
        """What is wrong with a title as it would be; each sentence for people."""
        frame = self.frame
        if not t.name or len(t.name) > NAME_LIMIT or not t.name.isprintable():
            yield f"a name of 1 to {NAME_LIMIT} printable characters is needed"
        if t.view is None and t.push is None:
            yield "a package to view or to push is needed"
        for use in (t.view, t.push):
            if use is None:
                continue
            if use not in frame.floors:
                yield f"the package {use[:40]!r} is none of {', '.join(sorted(frame.floors))}"
            elif t.top < frame.floors[use]:
                yield f"no rendition at the floor of {use}: rung {frame.floors[use]}, the title's top is {t.top}"
        if not 0 <= t.low <= t.top:
            yield f"rungs {t.low} to {t.top}: a rendition without a rung of the ladder's {frame.rungs}"
        if len(t.codecs) > CODEC_LIMIT or any(not 0 < len(c) <= 40 for c in t.codecs):
            yield f"codecs: {CODEC_LIMIT} names of 1 to 40 characters at most"
        if not any(state != LEAVING for _, state in t.holders):
            yield "no holder that holds it or prepares to"
        if len(t.holders) > HOLDERS_LIMIT:
            yield f"{len(t.holders)} holders; {HOLDERS_LIMIT} at most"
        for box, state in t.holders:
            if state not in STATES:
                yield f"holder {box}: {state[:20]!r} is no state: {', '.join(STATES)}"
            if not 0 <= box < 1 << 32:
                yield f"holder {box}: ids are 0 to 4294967295"
        for package, seats in t.seats:
            if package not in frame.seated:
                yield f"seats in {package[:40]!r}, which has none"
            elif seats < 1:
                yield f"{seats} seats in {package}; 1 or more"
            elif not force and seats < in_use.get((t.name, package), 0):
                yield f"{seats} seats in {package}, {in_use[t.name, package]} are in use at one manager"


def diff(old, new):
    """{title: (before, after)} of two mappings of titles."""
    return {
        name: (old.get(name), new.get(name))
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    }


def undo(old, new):
    """The operations that take the mapping `new` back to `old`."""
    ops = []
    for name, (before, after) in diff(old, new).items():
        ops.append(Drop(name) if before is None else put_of(before))
    return ops


def put_of(t):
    """A Put that makes a title just so."""
    return Put(t.name, t.view, t.push, t.low, t.top, t.codecs, dict(t.seats), {str(b): s for b, s in t.holders})


# How versions are kept and sent: msgpack, with a mark of its shape

SHAPE = 1


class KeptDelta(msgspec.Struct, array_like=True):
    shape: int
    version: int
    who: str
    why: str
    titles: list[Title]
    dropped: list[str]
    floor: int = 0
    id: str = ""  # by which its client asked for it


class KeptWhole(msgspec.Struct, array_like=True):
    shape: int
    version: int
    titles: list[Title]
    floor: int = 0
    done: list[tuple[str, int, int]] = []  # of clients' changes: id, the version that each made, titles changed


def encode_delta(delta, who="", why="", id=""):
    return msgspec.msgpack.encode(
        KeptDelta(
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
    """(Delta, who, why, id). ValueError where it is none of a shape that this program knows."""
    kept = decoded(data, KeptDelta, SHAPE, "change of titles")
    titles = {t.name: t for t in kept.titles}
    titles.update(dict.fromkeys(kept.dropped))
    return Delta(kept.version, titles, kept.floor), kept.who, kept.why, kept.id


def encode_whole(version, titles, floor=0, done=()):
    return msgspec.msgpack.encode(KeptWhole(SHAPE, version, list(titles.values()), floor, list(done)))


def decode_whole(data):
    kept = decoded(data, KeptWhole, SHAPE, "titles")
    return kept.version, {t.name: t for t in kept.titles}, kept.floor, kept.done
