"""Reads the records of a day. The file's name, line and field are named where something can't be used."""

import json
import pathlib
from typing import NamedTuple

NEVER = 1 << 62


class RecordError(Exception):
    """file, line and what is wrong there."""


class ClientRequest(NamedTuple):
    n: int
    at: int
    manager: str
    title: str
    sends: bool
    trace: str
    patience: int
    fate: str | None  # as the client saw it; None: the day ended first
    status: int
    seen_at: int
    key: str | None = None  # its client's own, for all its tries


class TuneIn(NamedTuple):
    """One set-up as the box's socket saw it."""

    key: str
    trace: str
    manager: str
    title: str
    package: str | None
    box: int
    at: int
    status: int | None  # of the answer; None: none went out
    ran: bool  # the answer did not prove that it never ran
    out_until: int  # answered, or its connection closed, or the box died
    freed_at: int  # its session ended, or its end was ordered, or it never came to one
    rungs: tuple  # (time, rung), the first at the set-up
    claims: tuple = ()  # (time, manager, epoch): granted by its box

    @property
    def taken(self):
        """(time, manager) of those who took it over."""
        return [(at, manager) for at, manager, _ in self.claims]


class BoxStart(NamedTuple):
    """One start of a box."""

    box: int
    at: int
    up: int  # how long it had been up then
    slots: int
    fell: int | None
    dead: int


class Records(NamedTuple):
    site: dict
    asked: list
    tune_ins: list
    starts: list
    told: list  # (time, manager, kind, [(box, state, boot)])
    kills: dict  # manager: [(killed, back)]
    stalls: dict  # manager: [(stopped, went on)]
    end: int
    catalogue: object  # a CatalogueHistory, or None where the day had none
    hidden: dict  # (manager, box): [(since, until)] in which one's doings reach the other late or never


class CatalogueHistory:
    """What the catalogue said of titles, version by version; what each watcher was told, and said that it took."""

    def __init__(self, rows, shared=False):
        """shared: managers may hand each other what one of them was told."""
        self.titles, self.acks, self.told, self.shared = {}, {}, {}, shared
        for row in rows:
            if row["what"] == "version":
                for name, title in row["titles"].items():
                    self.titles.setdefault(name, {})[row["version"]] = title
            elif row["what"] == "ack":
                self.acks.setdefault(row["watcher"], []).append((row["at"], row["version"]))
            elif row["what"] == "told":
                self.told.setdefault(row["watcher"], []).append((row["at"], row["version"]))

    def version_range(self, manager, since, until):
        """Versions that a manager may go by: from the last it had said before that it took, to the last it was told.

        Between being told and saying so it may go by either. None where it had said nothing before: it may have come
        with anything.
        """
        before = [v for at, v in self.acks.get(manager, ()) if at <= since]
        by = [rows for name, rows in self.told.items() if name == manager or self.shared and name[0] == "m"]
        told = [v for rows in by for at, v in rows if at <= until]
        return (before[-1], max([before[-1], *told])) if before else None

    def titles_between(self, name, first, last):
        """What the title was in any version from first to last; None in it where it was not there."""
        rows = self.titles.get(name, {})
        start = max((v for v in rows if v <= first), default=None)
        return [rows[start] if start is not None else None] + [rows[v] for v in rows if first < v <= last]


def read_rows(file):
    """The rows of a file; a torn last line of a killed process is passed over, any other bad line is an error."""
    text = file.read_bytes()
    lines = text.split(b"\n")
    torn = lines.pop()
    out = []
    for number, line in enumerate(lines, 1):
        try:
            row = json.loads(line)
            row["at"], row["what"]
        except (ValueError, KeyError, TypeError) as bad:
            raise RecordError(f"{file}: line {number}: not a record with at and what: {bad}") from None
        out.append(row)
    if torn:
        try:
            out.append(json.loads(torn))
        except ValueError:
            pass
    return out


def read(folder):
    folder = pathlib.Path(folder)
    try:
        day = json.loads((folder / "day.json").read_text())
        site = relaxed_site(day["site"], day.get("after"))
        clients = read_rows(folder / "clients.jsonl")
        told = read_rows(folder / "boxlist.jsonl")
        lab = read_rows(folder / "lab.jsonl")
    except OSError as bad:
        raise RecordError(f"{bad.filename}: can't be read: {bad.strerror}") from None
    except (ValueError, KeyError) as bad:
        raise RecordError(f"{folder / 'day.json'}: not a day: {bad}") from None
    files = sorted(folder.glob("box-*.jsonl"))
    if not files:
        raise RecordError(f"{folder}: no box-*.jsonl")
    end = next((r["at"] for r in lab if r["what"] == "end"), NEVER)
    killed_boxes = [(r["at"], r["box"]) for r in lab if r["what"] == "kill" and "box" in r]
    tune_ins, starts = [], []
    for file in files:
        start, made = read_box(file, read_rows(file), killed_boxes)
        starts.append(start)
        tune_ins += made
    # A viewer's own DELETE, answered, frees its seat at once, however late its box hears of it.
    deleted = {r["trace"]: r["at"] for r in clients if r["what"] == "deleted"}
    tune_ins = [t._replace(freed_at=max(t.at, min(t.freed_at, deleted.get(t.trace, NEVER)))) for t in tune_ins]
    return Records(
        site,
        read_clients(folder / "clients.jsonl", clients),
        sorted(tune_ins, key=lambda t: t.at),
        starts,
        [(r["at"], r["manager"], r["kind"], [tuple(b) for b in r["boxes"]]) for r in told if r["what"] == "told"],
        manager_spans(lab, "kill", "back"),
        manager_spans(lab, "stall", "go_on"),
        end,
        CatalogueHistory(read_rows(folder / "catalogue.jsonl"), day["site"].get("allowed", {}).get("peers", False))
        if (folder / "catalogue.jsonl").exists()
        else None,
        unobservable_spans(lab, [f"m{n}" for n in range(day["site"].get("managers", 1))]),
    )


def relaxed_site(site, after):
    """What binds on a day on which settings changed: of each rule's figure the laxer, as either may be in force."""
    if not after:
        return site
    rules, other, packages = dict(site["rules"]), after["rules"], {}
    rules["drain_grace_ms"] = max(rules["drain_grace_ms"], other["drain_grace_ms"])
    if rules.get("further") and other.get("further"):
        one, two = rules["further"], other["further"]
        rules["further"] = {
            "free": max(one["free"], two["free"]),
            "share": max(one["share"], two["share"]),
            "span_ms": min(one["span_ms"], two["span_ms"]),
        }
    else:
        rules["further"] = None
    for name in {**site["packages"], **after["packages"]}:
        rows = [row for row in (site["packages"].get(name), after["packages"].get(name)) if row]
        packages[name] = {
            **rows[0],
            "floor": min(row["floor"] for row in rows),
            "seats": 0 if any(not row["seats"] for row in rows) else max(row["seats"] for row in rows),
            "effect": rows[0]["effect"] if len({row["effect"] for row in rows}) == 1 else "safe",
        }
    return {**site, "rules": rules, "packages": packages}


def manager_spans(lab, begin, finish):
    out = {}
    for row in lab:
        if row["what"] == begin and "manager" in row:
            known = out.setdefault(row["manager"], [])
            if known and known[-1][1] == NEVER:  # struck again before it was back
                known[-1] = known[-1][0], row["at"]
            known.append((row["at"], NEVER))
        elif row["what"] == finish and out.get(row.get("manager")):
            out[row["manager"]][-1] = (out[row["manager"]][-1][0], row["at"])
    return out


def unobservable_spans(lab, managers):
    """Spans of faults on the way between a manager and a box, in either direction, and of a box that stood still.

    What was sent in one is seen by the box at its end: the sockets' records can't tell when it was sent, or given up.
    """
    out, open_faults = {}, {}

    def pair(way):
        a, b = way.split(">")
        manager, box = (a, b) if a[0] == "m" else (b, a)
        return (manager, int(box[1:])) if box[1:].isdigit() and box[0] == "b" and manager[0] == "m" else None

    for row in lab:
        if row["what"] == "fault":
            for way in row["ways"]:
                if pair(way):
                    spans = out.setdefault(pair(way), [])
                    open_faults[row["n"], way] = len(spans)
                    spans.append((row["at"], NEVER))
        elif row["what"] == "heal":
            for way in row["ways"]:
                if pair(way) and (n := open_faults.pop((row["n"], way), None)) is not None:
                    out[pair(way)][n] = (out[pair(way)][n][0], row["at"])
        elif row["what"] in ("box_stall", "box_go_on"):
            for manager in managers:
                spans = out.setdefault((manager, row["box"]), [])
                if row["what"] == "box_stall":
                    spans.append((row["at"], NEVER))
                    open_faults["stall", manager, row["box"]] = len(spans) - 1
                else:
                    n = open_faults.pop(("stall", manager, row["box"]))
                    spans[n] = spans[n][0], row["at"]
    return out


def read_clients(file, rows):
    seen, out = {}, []
    for row in rows:
        if row["what"] == "seen":
            if row["n"] in seen:
                raise RecordError(f"{file}: request {row['n']} was seen twice")
            seen[row["n"]] = row
    for row in rows:
        if row["what"] == "asked":
            got = seen.get(row["n"])
            out.append(
                ClientRequest(
                    row["n"],
                    row["at"],
                    row["manager"],
                    row["title"],
                    row["sends"],
                    row["trace"],
                    row["patience"],
                    got and got["fate"],
                    got["status"] if got else 0,
                    got["at"] if got else NEVER,
                    row.get("key"),
                )
            )
    return out


def read_box(file, rows, killed):
    """The start of the box that this file is of, and its set-ups."""
    first = next((r for r in rows if r["what"] == "start"), None)
    if first is None:
        raise RecordError(f"{file}: no start of a box")
    box = first["box"]
    dead = min(
        [r["at"] for r in rows if r["what"] == "dead"] + [at for at, b in killed if b == box and at >= first["at"]],
        default=NEVER,
    )
    fell = next((r["at"] for r in rows if r["what"] == "fell"), None)
    made = {}
    for row in rows:
        what = row["what"]
        if what == "setup":
            made[row["key"]] = {
                "row": row,
                "rungs": [(row["at"], row["rung"])],
                "status": None,
                "ran": True,
                "out": dead,
                "freed": dead,
                "claims": [],
            }
            continue
        for key in row.get("ends", row["keys"]) if what == "ordered" else [row.get("key")]:
            m = made.get(key)
            if m is None:
                continue
            if what == "answer":
                m["status"], m["ran"] = row["status"], row["ran"]
                m["out"] = min(m["out"], row["at"])
                if row["status"] != 201:
                    m["freed"] = min(m["freed"], row["at"])
            elif what == "closed":
                m["out"], m["freed"] = min(m["out"], row["at"]), min(m["freed"], row["at"])
            elif what in ("over", "ordered"):
                m["freed"] = min(m["freed"], row["at"])
            elif what == "rung":
                m["rungs"].append((row["at"], row["rung"]))
            elif what == "adopted" and (row["manager"], row["epoch"]) not in [claim[1:] for claim in m["claims"][-1:]]:
                m["claims"].append((row["at"], row["manager"], row["epoch"]))
    out = [
        TuneIn(
            key,
            m["row"]["trace"] or key,
            m["row"]["manager"],
            m["row"]["title"],
            m["row"]["package"],
            box,
            m["row"]["at"],
            m["status"],
            m["ran"],
            m["out"],
            max(m["freed"], m["row"]["at"]),
            tuple(m["rungs"]),
            tuple(m["claims"]),
        )
        for key, m in made.items()
    ]
    return BoxStart(box, first["at"], first["up"], first["slots"], fell, dead), out
