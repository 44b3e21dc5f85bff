"""The events of a day as lanes on one time line, from rows of records in any order of writing. Pure.

Every row has `at`, tenths of a millisecond of the machine's steady clock, and is placed by it, however late the record
was written. Seconds here are counted from the day's beginning.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

FATES = "plays", "blocked", "aborted", "gave_up", "broken", "unreached", "sent_on", "left", "refused"
MAX_EXAMPLES = 3  # findings shown of one kind
MAX_TABLE_ROWS = 400  # of a table on the page; further rows are only counted


class Span(NamedTuple):
    """A bar on a lane."""

    since: float
    until: float
    what: str  # the kind, which determines the colour
    text: str  # the tooltip


class Lane(NamedTuple):
    """A row of bars and marks on the time line."""

    name: str
    spans: list
    marks: list  # [(second, text)]


class Chart(NamedTuple):
    """Stacked bars of counts per second."""

    name: str
    series: dict  # {kind: [count by second]}


class Conflict(NamedTuple):
    """Contradictory accounts of the same matter."""

    about: str
    stories: list  # [(source, its account)]


class Story(NamedTuple):
    """The content of the page."""

    name: str
    seed: int
    length: int  # seconds, whole
    lanes: list  # [(heading, [Lane])]
    charts: list  # [Chart]
    take_overs: list  # [(second, key, from, to, box)]
    twos: list  # [Conflict]
    late: int  # rows that follow a later one in their file


class Records(NamedTuple):
    """Rows by file; {} or [] where a day has none of a kind."""

    day: dict
    lab: list
    clients: list
    boxes: dict  # {file name: rows}
    catalogue: list
    fronts: dict  # {manager: rows of its own log, `mono` by its own clock}
    findings: list  # of the audit


def build_story(records):
    """The Story of a day's Records."""
    lab = sorted(records.lab, key=lambda row: row["at"])
    start_at = next((row["at"] for row in lab if row["what"] == "begin"), lab[0]["at"] if lab else 0)
    end_at = next((row["at"] for row in lab if row["what"] == "end"), lab[-1]["at"] if lab else start_at)

    def second(at):
        return (at - start_at) / 10_000

    end, managers = second(end_at), sorted(records.day.get("managers", {}), key=lambda manager: int(manager[1:]))
    files = [lab, records.clients, records.catalogue, *records.boxes.values()]
    late = sum(sum(a["at"] > b["at"] for a, b in zip(rows, rows[1:])) for rows in [records.lab, *files[1:]])
    boxes = {name: sorted(rows, key=lambda row: row["at"]) for name, rows in records.boxes.items()}
    lanes = [
        ("managers", [manager_lane(manager, lab, second, end) for manager in managers]),
        ("boxes", box_lanes(boxes, lab, second, end)),
        ("who could not reach whom", way_lanes(lab, second, end)),
        ("troubles", trouble_lanes(lab, second, end)),
        ("versions of the catalogue in force", version_lanes(managers, records.catalogue, second, end)),
        ("leases", lease_lanes(records.catalogue, second, end)),
    ]
    taken = sorted(
        (second(row["at"]), row["key"], row["key"].partition(".")[0], row["manager"], box_name(rows))
        for rows in boxes.values()
        for row in rows
        if row["what"] == "adopted"
    )
    offsets = {manager: clock_offset(rows, records.clients) for manager, rows in records.fronts.items()}
    return Story(
        records.day.get("site", {}).get("name", "?"),
        records.day.get("seed", 0),
        int(end) + 1,
        [(heading, group) for heading, group in lanes if group],
        charts_of(records, boxes, second, int(end) + 1),
        taken,
        [
            *death_conflicts(records.fronts, lab, second, end, offsets),
            *clock_conflicts(offsets),
            *audit_conflicts(records),
        ],
        late,
    )


def box_name(rows):
    """The name of the box whose records these are."""
    return next((f"b{row['box']}" for row in rows if row["what"] == "start"), "?")


def spans_between(rows, second, end, pairs):
    """Spans of one process, each from an event to the next event that ends it. pairs: {begin: (finish, kind)}."""
    out = []
    for begin, (finish, what) in pairs.items():
        since = None
        for row in rows:
            if row["what"] == begin and since is None:
                since = second(row["at"])
            elif row["what"] == finish and since is not None:
                out.append(Span(since, second(row["at"]), what, f"{what} {since:.2f} to {second(row['at']):.2f} s"))
                since = None
        if since is not None:
            out.append(Span(since, end, what, f"{what} from {since:.2f} s on"))
    return sorted(out)


def manager_lane(name, lab, second, end):
    """One manager's outages, with marks where its settings changed."""
    events = [row for row in lab if row.get("manager") == name]
    return Lane(
        name,
        spans_between(
            events,
            second,
            end,
            {"kill": ("back", "dead"), "stall": ("go_on", "stands still"), "restart": ("restarted", "planned restart")},
        ),
        [(second(row["at"]), "settings") for row in events if row["what"] == "settings"],
    )


def box_lanes(boxes, lab, second, end):
    """One lane a box: outages, with marks for viewings that fell or were adopted and for version floors."""
    numbers = sorted({row["box"] for rows in boxes.values() for row in rows if row["what"] == "start"})
    out = []
    for n in numbers:
        events = sorted(
            [row for row in lab if row.get("box") == n]
            + [
                {"at": row["at"], "what": "up"}
                for rows in boxes.values()
                for row in rows
                if row["what"] == "start" and row["box"] == n
            ],
            key=lambda row: row["at"],
        )
        box_rows = [row for rows in boxes.values() if box_name(rows) == f"b{n}" for row in rows]
        marks = [
            (second(row["at"]), f"{row['what']} {row.get('key', '')}")
            for row in box_rows
            if row["what"] in ("fell", "adopted", "floor")
        ]
        out.append(
            Lane(
                f"b{n}",
                spans_between(
                    events, second, end, {"kill": ("up", "dead"), "box_stall": ("box_go_on", "stands still")}
                ),
                sorted(marks),
            )
        )
    return out


def way_lanes(lab, second, end):
    """One lane a fault between processes: the ways it affected, until all of them had healed."""
    out = []
    for row in (row for row in lab if row["what"] == "fault"):
        healed = [
            (second(heal["at"]), way)
            for heal in lab
            if heal["what"] == "heal" and heal["n"] == row["n"]
            for way in heal["ways"]
        ]
        until = max((at for at, _ in healed), default=end)
        ways = ", ".join(row["ways"][:12]) + (f" and {len(row['ways']) - 12} more" if len(row["ways"]) > 12 else "")
        sides = [sorted({way.split(">")[n] for way in row["ways"]}) for n in (0, 1)]
        out.append(
            Lane(
                f"{row['kind']} {'+'.join(sides[0][:3])}{'...' if len(sides[0]) > 3 else ''} > "
                f"{'+'.join(sides[1][:3])}{'...' if len(sides[1]) > 3 else ''}",
                [Span(second(row["at"]), until, "cut" if row["kind"] == "cut" else "faulty way", ways)],
                [(at, f"healed: {way}") for at, way in healed if at < until],
            )
        )
    return out


def trouble_lanes(lab, second, end):
    """One lane a trouble that no other group of lanes shows."""
    shown_elsewhere = {"manager_crash", "manager_stall", "manager_restart", "crash", "box_stall", "way"}
    return [
        Lane(
            row["name"],
            [
                Span(
                    second(row["at"]),
                    min(end, second(row["at"]) + (row["for_s"] or 0)),
                    "trouble",
                    f"{row['name']} {row.get('value')} at {row.get('hit') or 'all'}",
                )
            ],
            [],
        )
        for row in lab
        if row["what"] == "trouble" and row["name"] not in shown_elsewhere
    ]


def version_lanes(managers, catalogue, second, end):
    """One lane a manager: each version that it acknowledged, until it acknowledged the next."""
    out = []
    for manager in managers:
        acks = sorted(
            (second(row["at"]), row["version"])
            for row in catalogue
            if row["what"] == "ack" and row["watcher"] == manager
        )
        spans = [
            Span(max(0.0, at), until, f"version {n % 2}", f"version {version} from {at:.2f} s")
            for n, ((at, version), until) in enumerate(zip(acks, [*(at for at, _ in acks[1:]), end]))
            if until > 0
        ]
        if spans:
            out.append(Lane(manager, spans, []))
    return out


def lease_lanes(catalogue, second, end):
    """One lane a piece: each holder of its lease, until the next grant or the release; acts and refusals as marks."""
    rows = defaultdict(list)
    for row in sorted((row for row in catalogue if row["what"] == "lease"), key=lambda row: row["at"]):
        rows[row["piece"]].append(row)
    out = []
    for piece, rows_of_piece in sorted(rows.items()):
        spans, since = [], None
        for row in [*rows_of_piece, None]:
            ended = row is None or row["did"] in ("granted", "given", "released")
            if ended and since is not None:
                at = end if row is None else second(row["at"])
                owner = since["owner"].partition(".")[0]
                spans.append(
                    Span(second(since["at"]), at, f"holder {owner}", f"{since['owner']} under {since['token']}")
                )
                since = None
            if row is not None and row["did"] == "granted":
                since = row
        marks = [
            (second(row["at"]), f"{row['did']} by {row['owner']} under {row['token']}")
            for row in rows_of_piece
            if row["did"] in ("act", "refused")
        ]
        out.append(Lane(piece, spans, marks))
    return out


def charts_of(records, boxes, second, length):
    """Counts per second: fates that clients saw, tune-ins at boxes by status and viewings that began, by package."""

    def counted(rows):
        counts = defaultdict(lambda: [0] * length)
        for at, what in rows:
            if 0 <= second(at) < length:
                counts[what][int(second(at))] += 1
        return dict(counts)

    seen = counted((row["at"], row["fate"]) for row in records.clients if row["what"] == "seen")
    answers = {what: seen[what] for what in FATES if what in seen}
    tune_ins = counted(
        (row["at"], str(row["status"] or "none")) for rows in boxes.values() for row in rows if row["what"] == "answer"
    )
    packages = {title: settings["view"] for title, settings in records.day.get("site", {}).get("titles", {}).items()}
    asked = {
        row["n"]: packages.get(row["title"]) for row in records.clients if row["what"] == "asked" and not row["sends"]
    }
    service = counted(
        (row["at"], asked[row["n"]])
        for row in records.clients
        if row["what"] == "seen" and row["fate"] == "plays" and asked.get(row["n"])
    )
    return [
        Chart("answers that clients saw, a second", answers),
        Chart("set-ups at boxes by status, a second", tune_ins),
        Chart("viewings that begin, by package, a second", service),
    ]


def clock_offset(rows, clients):
    """The offset of a manager's clock from that of the records, in tenths of a millisecond.

    It is the median over the answers that both the manager logged and a client saw. An offset of up to one second
    counts as 0, because an answer reaches its client with some delay.
    """
    traces = {row["n"]: row.get("trace") for row in clients if row["what"] == "asked"}
    seen = {traces.get(row["n"]): row["at"] for row in clients if row["what"] == "seen"}
    offsets = sorted(
        row["mono"] - seen[row["trace"]] for row in rows if row.get("event") == "answered" and row.get("trace") in seen
    )
    median = offsets[len(offsets) // 2] if offsets else 0
    return median if abs(median) > 10_000 else 0


def clock_conflicts(offsets):
    """Managers whose clock differs from that of the records by more than a second."""
    wrong = [
        (manager, f"its clock is {offset / 10_000:+.0f} s from that of the others; its log is shown by theirs")
        for manager, offset in sorted(offsets.items())
        if offset
    ]
    return [Conflict("clocks", wrong)] if wrong else []


def death_conflicts(fronts, lab, second, end, offsets):
    """Deaths and leaves of members on which the managers' logs disagree with each other or with the lab.

    The member was never struck, or only some logs have the event, or their times are 3 s or more apart.
    """
    reported = defaultdict(dict)
    for manager, rows in fronts.items():
        for row in rows:
            if row.get("event") == "member" and row.get("state") in ("dead", "left") and row["name"] != manager:
                if (at := second(row["mono"] - offsets[manager])) < end - 1:  # all members leave when the day ends
                    reported[row["name"], row["state"]].setdefault(manager, at)
    outages = defaultdict(list)
    for row in lab:
        if row["what"] in ("kill", "stall", "restart") and "manager" in row:
            outages[row["manager"]].append((second(row["at"]), row["what"]))
    out = []
    for (name, state), times in sorted(reported.items()):
        silent = [manager for manager in fronts if manager != name and manager not in times]
        struck = [(at, what) for at, what in outages[name] if at <= max(times.values())]
        spread = max(times.values()) - min(times.values())
        if struck and not silent and spread < 3:
            continue
        stories = [(manager, f"{state} at {at:.2f} s") for manager, at in sorted(times.items())]
        stories += [(manager, f"never said that it is {state}") for manager in sorted(silent)]
        stories += [("the lab", f"{what} at {at:.2f} s") for at, what in struck] or [
            ("the lab", "it was never touched")
        ]
        out.append(Conflict(f"{name} as {state}", stories))
    return out


def audit_conflicts(records):
    """Contradictions between managers' accounts and their boxes, by manager and kind, with a few examples each."""
    kinds = defaultdict(list)
    for finding in records.findings:
        if finding.what != "unknown":
            kinds[finding.manager, finding.what].append(finding)
    return [
        Conflict(
            f"{manager}: {what}, {len(found)} times",
            [(finding.key, finding.detail) for finding in found[:MAX_EXAMPLES]],
        )
        for (manager, what), found in sorted(kinds.items())
    ]


def fate_counts(clients):
    """{fate: count} of the answers that clients saw."""
    return Counter(row["fate"] for row in clients if row["what"] == "seen")
