"""What happened on a day, as lanes on one time line: from rows of records, in whatever order they were written. Pure.

Every row has `at`, tenths of a millisecond of the machine's steady clock, and is placed by that: a record that was
written an hour late stands where it belongs. Seconds here are those of the day, from its beginning on.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

ANSWERS = "plays", "blocked", "aborted", "gave_up", "broken", "unreached", "sent_on", "left", "refused"
SAID = 3  # examples of one sort
MOST_ROWS = 400  # of a table on the page; the rest is counted


class Span(NamedTuple):
    since: float
    until: float
    what: str  # the sort, which gives it its colour
    text: str  # shown when it is pointed at


class Lane(NamedTuple):
    name: str
    spans: list
    marks: list  # [(second, text)]


class Chart(NamedTuple):
    """Counts a second, one on top of the other."""

    name: str
    series: dict  # {what: [count by second]}


class Two(NamedTuple):
    """Two accounts of one thing that do not go together."""

    about: str
    stories: list  # [(who, what they say)]


class Story(NamedTuple):
    name: str
    seed: int
    length: int  # seconds, whole
    lanes: list  # [(heading, [Lane])]
    charts: list
    take_overs: list  # [(second, key, from, to, box)]
    twos: list
    late: int  # rows that stood behind later ones in their file


class Records(NamedTuple):
    """Rows by file; {} or [] where a day has none of a sort."""

    day: dict
    lab: list
    clients: list
    boxes: dict  # {file's name: rows}
    catalogue: list
    fronts: dict  # {manager: rows of its own log, `at` by its own clock}
    findings: list  # of the audit's judge


def tell(records):
    lab = sorted(records.lab, key=lambda r: r["at"])
    began = next((r["at"] for r in lab if r["what"] == "begin"), lab[0]["at"] if lab else 0)
    last = next((r["at"] for r in lab if r["what"] == "end"), lab[-1]["at"] if lab else began)

    def s(at):
        return (at - began) / 10_000

    end, managers = s(last), sorted(records.day.get("managers", {}), key=lambda m: int(m[1:]))
    files = [lab, records.clients, records.catalogue, *records.boxes.values()]
    late = sum(sum(a["at"] > b["at"] for a, b in zip(rows, rows[1:])) for rows in [records.lab, *files[1:]])
    boxes = {name: sorted(rows, key=lambda r: r["at"]) for name, rows in records.boxes.items()}
    lanes = [
        ("managers", [manager_lane(m, lab, s, end) for m in managers]),
        ("boxes", box_lanes(boxes, lab, s, end)),
        ("who could not reach whom", way_lanes(lab, s, end)),
        ("troubles", trouble_lanes(lab, s, end)),
        ("versions of the catalogue in force", version_lanes(managers, records.catalogue, s, end)),
        ("leases", lease_lanes(records.catalogue, s, end)),
    ]
    taken = sorted(
        (s(r["at"]), r["key"], r["key"].partition(".")[0], r["manager"], start_of(rows))
        for rows in boxes.values()
        for r in rows
        if r["what"] == "adopted"
    )
    off = {m: offset(rows, records.clients) for m, rows in records.fronts.items()}
    return Story(
        records.day.get("site", {}).get("name", "?"),
        records.day.get("seed", 0),
        int(end) + 1,
        [(heading, some) for heading, some in lanes if some],
        charts_of(records, boxes, s, int(end) + 1),
        taken,
        [*deaths(records.fronts, lab, s, end, off), *clocks(off), *audited(records)],
        late,
    )


def start_of(rows):
    return next((f"b{r['box']}" for r in rows if r["what"] == "start"), "?")


def spans_between(rows, s, end, pairs):
    """Spans from a row of one sort to the next of another, for one party. pairs: {begin: (finish, what)}."""
    out = []
    for begin, (finish, what) in pairs.items():
        since = None
        for r in rows:
            if r["what"] == begin and since is None:
                since = s(r["at"])
            elif r["what"] == finish and since is not None:
                out.append(Span(since, s(r["at"]), what, f"{what} {since:.2f} to {s(r['at']):.2f} s"))
                since = None
        if since is not None:
            out.append(Span(since, end, what, f"{what} from {since:.2f} s on"))
    return sorted(out)


def manager_lane(name, lab, s, end):
    mine = [r for r in lab if r.get("manager") == name]
    return Lane(
        name,
        spans_between(
            mine,
            s,
            end,
            {"kill": ("back", "dead"), "stall": ("go_on", "stands still"), "restart": ("restarted", "planned restart")},
        ),
        [(s(r["at"]), "settings") for r in mine if r["what"] == "settings"],
    )


def box_lanes(boxes, lab, s, end):
    numbers = sorted({r["box"] for rows in boxes.values() for r in rows if r["what"] == "start"})
    out = []
    for n in numbers:
        mine = sorted(
            [r for r in lab if r.get("box") == n]
            + [
                {"at": r["at"], "what": "up"}
                for rows in boxes.values()
                for r in rows
                if r["what"] == "start" and r["box"] == n
            ],
            key=lambda r: r["at"],
        )
        own = [r for rows in boxes.values() if start_of(rows) == f"b{n}" for r in rows]
        marks = [
            (s(r["at"]), f"{r['what']} {r.get('key', '')}") for r in own if r["what"] in ("fell", "adopted", "floor")
        ]
        out.append(
            Lane(
                f"b{n}",
                spans_between(mine, s, end, {"kill": ("up", "dead"), "box_stall": ("box_go_on", "stands still")}),
                sorted(marks),
            )
        )
    return out


def way_lanes(lab, s, end):
    """One lane a fault between processes: which ways it struck, until each had healed."""
    out = []
    for r in (r for r in lab if r["what"] == "fault"):
        healed = [(s(h["at"]), way) for h in lab if h["what"] == "heal" and h["n"] == r["n"] for way in h["ways"]]
        until = max((at for at, _ in healed), default=end)
        ways = ", ".join(r["ways"][:12]) + (f" and {len(r['ways']) - 12} more" if len(r["ways"]) > 12 else "")
        sides = [sorted({way.split(">")[n] for way in r["ways"]}) for n in (0, 1)]
        out.append(
            Lane(
                f"{r['kind']} {'+'.join(sides[0][:3])}{'...' if len(sides[0]) > 3 else ''} > "
                f"{'+'.join(sides[1][:3])}{'...' if len(sides[1]) > 3 else ''}",
                [Span(s(r["at"]), until, "cut" if r["kind"] == "cut" else "faulty way", ways)],
                [(at, f"healed: {way}") for at, way in healed if at < until],
            )
        )
    return out


def trouble_lanes(lab, s, end):
    shown = {"manager_crash", "manager_stall", "manager_restart", "crash", "box_stall", "way"}
    return [
        Lane(
            r["name"],
            [
                Span(
                    s(r["at"]),
                    min(end, s(r["at"]) + (r["for_s"] or 0)),
                    "trouble",
                    f"{r['name']} {r.get('value')} at {r.get('hit') or 'all'}",
                )
            ],
            [],
        )
        for r in lab
        if r["what"] == "trouble" and r["name"] not in shown
    ]


def version_lanes(managers, catalogue, s, end):
    """By manager: which version it had said that it took, until the next; one lane each."""
    out = []
    for m in managers:
        acks = sorted((s(r["at"]), r["version"]) for r in catalogue if r["what"] == "ack" and r["watcher"] == m)
        spans = [
            Span(max(0.0, at), nxt, f"version {n % 2}", f"version {version} from {at:.2f} s")
            for n, ((at, version), nxt) in enumerate(zip(acks, [*(at for at, _ in acks[1:]), end]))
            if nxt > 0
        ]
        if spans:
            out.append(Lane(m, spans, []))
    return out


def lease_lanes(catalogue, s, end):
    """By piece: who held it, from grant to grant or until it was given back; its acts as marks."""
    rows = defaultdict(list)
    for r in sorted((r for r in catalogue if r["what"] == "lease"), key=lambda r: r["at"]):
        rows[r["piece"]].append(r)
    out = []
    for piece, some in sorted(rows.items()):
        spans, since = [], None
        for r in [*some, None]:
            over = r is None or r["did"] in ("granted", "given", "released")
            if over and since is not None:
                at = end if r is None else s(r["at"])
                owner = since["owner"].partition(".")[0]
                spans.append(Span(s(since["at"]), at, f"holder {owner}", f"{since['owner']} under {since['token']}"))
                since = None
            if r is not None and r["did"] == "granted":
                since = r
        marks = [
            (s(r["at"]), f"{r['did']} by {r['owner']} under {r['token']}")
            for r in some
            if r["did"] in ("act", "refused")
        ]
        out.append(Lane(piece, spans, marks))
    return out


def charts_of(records, boxes, s, length):
    def counted(rows):
        found = defaultdict(lambda: [0] * length)
        for at, what in rows:
            if 0 <= s(at) < length:
                found[what][int(s(at))] += 1
        return dict(found)

    seen = counted((r["at"], r["fate"]) for r in records.clients if r["what"] == "seen")
    answers = {what: seen[what] for what in ANSWERS if what in seen}
    tune_ins = counted(
        (r["at"], str(r["status"] or "none")) for rows in boxes.values() for r in rows if r["what"] == "answer"
    )
    view = {t: row["view"] for t, row in records.day.get("site", {}).get("titles", {}).items()}
    asked = {r["n"]: view.get(r["title"]) for r in records.clients if r["what"] == "asked" and not r["sends"]}
    service = counted(
        (r["at"], asked[r["n"]])
        for r in records.clients
        if r["what"] == "seen" and r["fate"] == "plays" and asked.get(r["n"])
    )
    return [
        Chart("answers that clients saw, a second", answers),
        Chart("set-ups at boxes by status, a second", tune_ins),
        Chart("viewings that begin, by package, a second", service),
    ]


def offset(rows, clients):
    """How far a manager's clock is from that of the records, in tenths of a millisecond: by answers that clients saw.

    0 where they are within a second of each other: an answer takes a while to be seen.
    """
    traces = {r["n"]: r.get("trace") for r in clients if r["what"] == "asked"}
    seen = {traces.get(r["n"]): r["at"] for r in clients if r["what"] == "seen"}
    found = sorted(
        r["mono"] - seen[r["trace"]] for r in rows if r.get("event") == "answered" and r.get("trace") in seen
    )
    middle = found[len(found) // 2] if found else 0
    return middle if abs(middle) > 10_000 else 0


def clocks(off):
    wrong = [
        (m, f"its clock is {by / 10_000:+.0f} s from that of the others; its log is shown by theirs")
        for m, by in sorted(off.items())
        if by
    ]
    return [Two("clocks", wrong)] if wrong else []


def deaths(fronts, lab, s, end, off):
    """Where managers' own logs tell different stories of who died: one that lived, or told by some only, or late."""
    told = defaultdict(dict)
    for manager, rows in fronts.items():
        for r in rows:
            if r.get("event") == "member" and r.get("state") in ("dead", "left") and r["name"] != manager:
                if (at := s(r["mono"] - off[manager])) < end - 1:  # all leave as the day ends
                    told[r["name"], r["state"]].setdefault(manager, at)
    gone = defaultdict(list)
    for r in lab:
        if r["what"] in ("kill", "stall", "restart") and "manager" in r:
            gone[r["manager"]].append((s(r["at"]), r["what"]))
    out = []
    for (name, state), by in sorted(told.items()):
        others = [m for m in fronts if m != name and m not in by]
        struck = [(at, what) for at, what in gone[name] if at <= max(by.values())]
        spread = max(by.values()) - min(by.values())
        if struck and not others and spread < 3:
            continue
        stories = [(m, f"{state} at {at:.2f} s") for m, at in sorted(by.items())]
        stories += [(m, f"never said that it is {state}") for m in sorted(others)]
        stories += [("the lab", f"{what} at {at:.2f} s") for at, what in struck] or [
            ("the lab", "it was never touched")
        ]
        out.append(Two(f"{name} as {state}", stories))
    return out


def audited(records):
    """What the managers' accounts and their boxes tell differently, by manager and sort; a few of each in words."""
    sorts = defaultdict(list)
    for f in records.findings:
        if f.what != "unknown":
            sorts[f.manager, f.what].append(f)
    return [
        Two(f"{manager}: {what}, {len(some)} times", [(f.key, f.detail) for f in some[:SAID]])
        for (manager, what), some in sorted(sorts.items())
    ]


def fates(clients):
    return Counter(r["fate"] for r in clients if r["what"] == "seen")
