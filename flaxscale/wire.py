"""Frames of the simulator's wire: bytes to records and back. Knows layouts and nothing of what they mean."""

import struct

BATCH_HEAD = struct.Struct("<IdI")
REPLY_HEAD = struct.Struct("<III")
RECORD_HEAD = struct.Struct("<BI")
ENTRY = struct.Struct("<BHfdIHB")
ENTRY_FIELDS = ("type", "slotNo", "rating", "startTimeMs", "server", "area", "readiness")
MAX_FRAME = 1 << 30

# Layout letters are struct's; the tail, if any: "blob" is u32 n + n bytes, "floats" u8 n + n x f32,
# "text" u16 n + n bytes, "entries" u32 n + n list entries.
EVENTS = {
    0: ("new_instance", "HQ", ("managerId", "rngSeed"), ("params", "blob")),
    1: ("registry", "HBQB", ("managerId", "scope", "gen", "setId"), None),
    2: (
        "knock",
        "HIdfHBQQdffI",
        (
            "managerId",
            "id",
            "workMs",
            "cellsInRow",
            "priority",
            "bitmap",
            "programme",
            "resource",
            "graceMs",
            "fromCell",
            "topRung",
            "party",
        ),
        None,
    ),
    3: ("headers", "HIHId", ("managerId", "id", "copy", "server", "elapsedMs"), None),
    4: (
        "completed",
        "HIHIHdB",
        ("managerId", "id", "copy", "server", "stateCode", "elapsedMs", "ended"),
        ("usage", "floats"),
    ),
    5: ("expired", "HI", ("managerId", "id"), None),
    6: ("timer", "HQ", ("managerId", "tag"), None),
    7: ("health_result", "HIHd", ("managerId", "server", "stateCode", "elapsedMs"), ("usage", "floats")),
    8: ("neighbour_says", "HI", ("managerId", "from"), ("msg", "text")),
    9: ("crash_now", "H", ("managerId",), None),
    10: (
        "preexisting",
        "HIIfHfQfdQdBI",
        (
            "managerId",
            "id",
            "party",
            "cellsInRow",
            "priority",
            "fromCell",
            "programme",
            "topRung",
            "graceMs",
            "resource",
            "workMs",
            "bitmap",
            "server",
        ),
        None,
    ),
    11: ("progress", "HIHIBf", ("managerId", "id", "copy", "server", "sort", "amount"), None),
    12: ("list", "B", ("setId",), ("items", "entries")),
}
ACTIONS = {
    "attempt": (64, "HIId", None),
    "turn_away": (65, "HId", None),
    "lose": (66, "HI", None),
    "stop_attempt": (67, "HIH", None),
    "remind": (68, "HQd", None),
    "inspect": (69, "HI", None),
    "let_go": (70, "HI", None),
    "memo_to": (71, "HI", "text"),
    "log": (72, "H", "text"),
    "give_in": (73, "H", "text"),
    "keep_informed": (74, "HB", None),
    "fetch": (75, "H", None),
    "set_level": (76, "HIB", None),
    "redirect": (77, "HI", None),
}
EVENT_FIXED = {code: struct.Struct("<" + fmt) for code, (_, fmt, _, _) in EVENTS.items()}
ACTION_FIXED = {name: struct.Struct("<" + fmt) for name, (_, fmt, _) in ACTIONS.items()}


class WireError(Exception):
    """Bytes that are no frame of this wire; the text names what and where."""


def read_exactly(stream, n, what):
    parts, got = [], 0
    while got < n:
        part = stream.read(n - got)
        if not part:
            raise WireError(f"input ends inside {what}: {got} of {n} bytes came")
        parts.append(part)
        got += len(part)
    return b"".join(parts)


def read_frame(stream):
    """The next frame's bytes, or None at a clean end of input."""
    first = stream.read(1)
    if not first:
        return None
    head = first + read_exactly(stream, 3, "a frame's length")
    length = int.from_bytes(head, "little")
    if not BATCH_HEAD.size <= length <= MAX_FRAME:
        raise WireError(f"frame length {length} does not fit: a header alone has {BATCH_HEAD.size} bytes")
    return head + read_exactly(stream, length - 4, f"a frame of {length} bytes")


def tail_of(name, field, kind, body, at, where):
    width = {"blob": 4, "text": 2, "floats": 1, "entries": 4}[kind]
    size = {"blob": 1, "text": 1, "floats": 4, "entries": ENTRY.size}[kind]
    if at + width > len(body):
        raise WireError(f"{name} at byte {where}: no room for the count of {field}")
    n = int.from_bytes(body[at : at + width], "little")
    rest = body[at + width : at + width + n * size]
    if len(rest) != n * size:
        raise WireError(f"{name} at byte {where}: {field} counts {n}, the record ends before that")
    if kind == "floats":
        return struct.unpack(f"<{n}f", rest)
    if kind == "entries":
        return tuple(dict(zip(ENTRY_FIELDS, entry)) for entry in ENTRY.iter_unpack(rest))
    return rest


def decode(frame):
    """(clock in ms, batch number, records); a record is (event name, dict of fields, its first byte).

    Unknown codes are passed over by their length, and so is what a known record holds beyond its fields.
    """
    length, clock, number = BATCH_HEAD.unpack_from(frame)
    if length != len(frame):
        raise WireError(f"frame says {length} bytes and has {len(frame)}")
    records, at = [], BATCH_HEAD.size
    while at < length:
        if at + RECORD_HEAD.size > length:
            raise WireError(f"batch {number}: the frame ends inside a record's head at byte {at}")
        code, size = RECORD_HEAD.unpack_from(frame, at)
        start, end = at + RECORD_HEAD.size, at + RECORD_HEAD.size + size
        if end > length:
            raise WireError(
                f"batch {number}: the record of code {code} at byte {at} has {size} bytes, the frame ends before that"
            )
        if code in EVENTS:
            name, _, fields, tail = EVENTS[code]
            fixed, body = EVENT_FIXED[code], frame[start:end]
            if len(body) < fixed.size:
                raise WireError(f"batch {number}: {name} at byte {at} has {size} bytes, needs {fixed.size}")
            found = dict(zip(fields, fixed.unpack_from(body)))
            if tail:
                found[tail[0]] = tail_of(name, *tail, body, fixed.size, at)
            records.append((name, found, at))
        at = end
    return clock, number, records


def encode(number, actions):
    """The reply to a batch; an action is (name, fields in wire order, with the tail's bytes last)."""
    parts = []
    for name, fields in actions:
        code, _, tail = ACTIONS[name]
        if tail:
            text = fields[-1][:65535]
            body = ACTION_FIXED[name].pack(*fields[:-1]) + struct.pack("<H", len(text)) + text
        else:
            body = ACTION_FIXED[name].pack(*fields)
        parts.append(RECORD_HEAD.pack(code, len(body)) + body)
    joined = b"".join(parts)
    return REPLY_HEAD.pack(len(parts), REPLY_HEAD.size + len(joined), number) + joined
