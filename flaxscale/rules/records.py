"""Reads the records of a day. Errors name the file, the line and the field."""

import json
import pathlib
from typing import NamedTuple

NEVER = 1 << 62  # a time after the end of any day


class RecordError(Exception):
    """A record that can't be used: file, line and the fault."""


class ClientRequest(NamedTuple):
    """One request of a client."""

    n: int
    at: int
    manager: str
    title: str
    sends: bool
    trace: str
    patience: int  # tenths of a millisecond
    fate: str | None  # as the client saw it; None: the day ended before an answer
    status: int
    seen_at: int
    key: str | None = None  # the client's key, shared by all its attempts


class TuneIn(NamedTuple):
    """One set-up as recorded at the box's socket."""

    key: str
    trace: str
    manager: str
    title: str
    package: str | None
    box: int
    at: int
    status: int | None  # of the answer; None: no answer was sent
    ran: bool  # False only where the answer stated that the set-up never ran
    out_until: int  # when it was answered, its connection closed or the box died
    freed_at: int  # when its session ended, its end was ordered or the set-up failed
    rungs: tuple  # (time, rung), the first one from the set-up
    claims: tuple = ()  # (time, manager, epoch) of claims that the box granted

    @property
    def taken(self):
        """Returns (time, manager) of each takeover."""
        return [(at, manager) for at, manager, _ in self.claims]


class BoxStart(NamedTuple):
    """One start of a box."""

    box: int
    at: int
    up: int  # how long the box had been up at that time
    slots: int
    fell: int | None
    dead: int


class Records(NamedTuple):
    """The records of a day."""

    site: dict
    asked: list
    tune_ins: list
    starts: list
    told: list  # messages of the box list: (time, manager, kind, [(box, state, boot)])
    kills: dict  # manager: [(killed, ready again)]
    stalls: dict  # manager: [(stopped, continued)]
    end: int
    catalogue: object  # a CatalogueHistory, or None where the day had no catalogue
    hidden: dict  # (manager, box): [(since, until)] in which messages between them are delayed or lost


class CatalogueHistory:
    """The titles by version of the catalogue, and the versions sent to and acknowledged by each watcher."""

    def __init__(self, rows, shared=False):
        """shared: managers may pass on to each other the versions that one of them received."""
        self.titles, self.acks, self.sent, self.shared = {}, {}, {}, shared
        for row in rows:
            if row["what"] == "version":
                for name, title in row["titles"].items():
                    self.titles.setdefault(name, {})[row["version"]] = title
            elif row["what"] == "ack":
                self.acks.setdefault(row["watcher"], []).append((row["at"], row["version"]))
            elif row["what"] == "told":
                self.sent.setdefault(row["watcher"], []).append((row["at"], row["version"]))

    def version_range(self, manager, since, until):
        """Returns the versions that a manager may use: (last one that it acknowledged, last one sent to it).

        Between a message and its acknowledgement it may use either version. None where it had acknowledged nothing
        before, as it may have started with any version.
        """
        acked = [version for at, version in self.acks.get(manager, ()) if at <= since]
        sent_rows = [rows for name, rows in self.sent.items() if name == manager or self.shared and name[0] == "m"]
        received = [version for rows in sent_rows for at, version in rows if at <= until]
        return (acked[-1], max([acked[-1], *received])) if acked else None

    def titles_between(self, name, first, last):
        """Returns the title's row in each version from first to last; None for versions without the title."""
        rows = self.titles.get(name, {})
        start = max((version for version in rows if version <= first), default=None)
        return [rows[start] if start is not None else None] + [
            rows[version] for version in rows if first < version <= last
        ]


def read_rows(file):
    """Returns the rows of a file. An incomplete last line of a killed process is skipped; any other bad line raises."""
    text = file.read_bytes()
    lines = text.split(b"\n")
    incomplete = lines.pop()
    out = []
    for number, line in enumerate(lines, 1):
        try:
            row = json.loads(line)
            row["at"], row["what"]
        except (ValueError, KeyError, TypeError) as bad:
            raise RecordError(f"{file}: line {number}: not a record with at and what: {bad}") from None
        out.append(row)
    if incomplete:
        try:
            out.append(json.loads(incomplete))
        except ValueError:
            pass
    return out


def read(folder):
    """Reads the records of a day from its folder; raises RecordError."""
    folder = pathlib.Path(folder)
    try:
        day = json.loads((folder / "day.json").read_text())
        site = relaxed_site(day["site"], day.get("after"))
        clients = read_rows(folder / "clients.jsonl")
        list_rows = read_rows(folder / "boxlist.jsonl")
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
    # An answered DELETE of the viewer frees its seat at once, even where its box receives the end later.
    deleted = {r["trace"]: r["at"] for r in clients if r["what"] == "deleted"}
    tune_ins = [t._replace(freed_at=max(t.at, min(t.freed_at, deleted.get(t.trace, NEVER)))) for t in tune_ins]
    return Records(
        site,
        read_clients(folder / "clients.jsonl", clients),
        sorted(tune_ins, key=lambda t: t.at),
        starts,
        [(r["at"], r["manager"], r["kind"], [tuple(b) for b in r["boxes"]]) for r in list_rows if r["what"] == "told"],
        manager_spans(lab, "kill", "back"),
        manager_spans(lab, "stall", "go_on"),
        end,
        CatalogueHistory(read_rows(folder / "catalogue.jsonl"), day["site"].get("allowed", {}).get("peers", False))
        if (folder / "catalogue.jsonl").exists()
        else None,
        unobservable_spans(lab, [f"m{n}" for n in range(day["site"].get("managers", 1))]),
    )


def relaxed_site(site, after):
    """Returns the site with the less strict value of each rule where settings changed, as either may be in force."""
    if not after:
        return site
    rules, other_rules, packages = dict(site["rules"]), after["rules"], {}
    rules["drain_grace_ms"] = max(rules["drain_grace_ms"], other_rules["drain_grace_ms"])
    if rules.get("further") and other_rules.get("further"):
        first, second = rules["further"], other_rules["further"]
        rules["further"] = {
            "free": max(first["free"], second["free"]),
            "share": max(first["share"], second["share"]),
            "span_ms": min(first["span_ms"], second["span_ms"]),
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
    """Returns {manager: [(since, until)]} between rows of two kinds."""
    out = {}
    for row in lab:
        if row["what"] == begin and "manager" in row:
            spans = out.setdefault(row["manager"], [])
            if spans and spans[-1][1] == NEVER:  # killed or stalled again before it was back
                spans[-1] = spans[-1][0], row["at"]
            spans.append((row["at"], NEVER))
        elif row["what"] == finish and out.get(row.get("manager")):
            out[row["manager"]][-1] = (out[row["manager"]][-1][0], row["at"])
    return out


def unobservable_spans(lab, managers):
    """Returns the spans of faults on the path between a manager and a box, in either direction, and of stalled boxes.

    A message sent in such a span reaches the box at its end: the sockets' records don't show when it was sent or given
    up.
    """
    out, open_faults = {}, {}

    def pair(way):
        """Returns (manager, box) of a path, None where it doesn't join a manager and a box."""
        sender, receiver = way.split(">")
        manager, box = (sender, receiver) if sender[0] == "m" else (receiver, sender)
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
    """Returns the clients' requests with their answers."""
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
    """Returns the BoxStart that this file records, and its set-ups."""
    first = next((r for r in rows if r["what"] == "start"), None)
    if first is None:
        raise RecordError(f"{file}: no row of a box's start")
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
            setup = made.get(key)
            if setup is None:
                continue
            if what == "answer":
                setup["status"], setup["ran"] = row["status"], row["ran"]
                setup["out"] = min(setup["out"], row["at"])
                if row["status"] != 201:
                    setup["freed"] = min(setup["freed"], row["at"])
            elif what == "closed":
                setup["out"], setup["freed"] = min(setup["out"], row["at"]), min(setup["freed"], row["at"])
            elif what in ("over", "ordered"):
                setup["freed"] = min(setup["freed"], row["at"])
            elif what == "rung":
                setup["rungs"].append((row["at"], row["rung"]))
            elif what == "adopted" and (row["manager"], row["epoch"]) not in [
                claim[1:] for claim in setup["claims"][-1:]
            ]:
                setup["claims"].append((row["at"], row["manager"], row["epoch"]))
    out = [
        TuneIn(
            key,
            setup["row"]["trace"] or key,
            setup["row"]["manager"],
            setup["row"]["title"],
            setup["row"]["package"],
            box,
            setup["row"]["at"],
            setup["status"],
            setup["ran"],
            setup["out"],
            max(setup["freed"], setup["row"]["at"]),
            tuple(setup["rungs"]),
            tuple(setup["claims"]),
        )
        for key, setup in made.items()
    ]
    return BoxStart(box, first["at"], first["up"], first["slots"], fell, dead), out
