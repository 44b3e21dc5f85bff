"""Framing of the simulator's protocol: decodes events from bytes and encodes actions, without interpreting them."""

import struct

BATCH_HEAD = struct.Struct("<IdI")
REPLY_HEAD = struct.Struct("<III")
RECORD_HEAD = struct.Struct("<BI")
ENTRY = struct.Struct("<BHfdIHB")
ENTRY_FIELDS = ("type", "slotNo", "rating", "startTimeMs", "server", "area", "readiness")
MAX_FRAME = 1 << 30

# Each event: {code: (name, layout, field names, tail)}. The layout is a struct format. The tail, if any, follows the
# fixed fields: "blob" is u32 n + n bytes, "floats" u8 n + n x f32, "text" u16 n + n bytes, "entries" u32 n + n list
# entries.
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
EVENT_FIXED = {code: struct.Struct("<" + layout) for code, (_, layout, _, _) in EVENTS.items()}
ACTION_FIXED = {name: struct.Struct("<" + layout) for name, (_, layout, _) in ACTIONS.items()}


class WireError(Exception):
    """Malformed input. The message names the record or part and its byte offset."""


def read_exactly(stream, count, what):
    """So many bytes; what: names them in the error message."""
    chunks, received = [], 0
    while received < count:
        chunk = stream.read(count - received)
        if not chunk:
            raise WireError(f"input ends inside {what}: {received} of {count} bytes came")
        chunks.append(chunk)
        received += len(chunk)
    return b"".join(chunks)


def read_frame(stream):
    """The bytes of the next frame, or None where the input ends between frames."""
    first = stream.read(1)
    if not first:
        return None
    head = first + read_exactly(stream, 3, "a frame's length")
    length = int.from_bytes(head, "little")
    if not BATCH_HEAD.size <= length <= MAX_FRAME:
        raise WireError(f"frame length {length} does not fit: a header alone has {BATCH_HEAD.size} bytes")
    return head + read_exactly(stream, length - 4, f"a frame of {length} bytes")


def decode_tail(name, field, kind, body, offset, record_offset):
    """The value of a record's tail, which begins at this offset of its body. record_offset: for error messages."""
    width = {"blob": 4, "text": 2, "floats": 1, "entries": 4}[kind]
    size = {"blob": 1, "text": 1, "floats": 4, "entries": ENTRY.size}[kind]
    if offset + width > len(body):
        raise WireError(f"{name} at byte {record_offset}: the record ends before the count of {field}")
    count = int.from_bytes(body[offset : offset + width], "little")
    payload = body[offset + width : offset + width + count * size]
    if len(payload) != count * size:
        raise WireError(f"{name} at byte {record_offset}: {field} counts {count}, the record ends before that")
    if kind == "floats":
        return struct.unpack(f"<{count}f", payload)
    if kind == "entries":
        return tuple(dict(zip(ENTRY_FIELDS, entry)) for entry in ENTRY.iter_unpack(payload))
    return payload


def decode(frame):
    """(clock in ms, batch number, records); a record is (event name, dict of fields, byte offset in the frame).

    Records of unknown codes are skipped, and so are bytes after the known fields of a record.
    """
    length, clock, number = BATCH_HEAD.unpack_from(frame)
    if length != len(frame):
        raise WireError(f"the frame header gives {length} bytes, the frame has {len(frame)}")
    records, offset = [], BATCH_HEAD.size
    while offset < length:
        if offset + RECORD_HEAD.size > length:
            raise WireError(f"batch {number}: the frame ends inside a record's header at byte {offset}")
        code, size = RECORD_HEAD.unpack_from(frame, offset)
        start, end = offset + RECORD_HEAD.size, offset + RECORD_HEAD.size + size
        if end > length:
            raise WireError(
                f"batch {number}: the record of code {code} at byte {offset} has {size} bytes, more than the frame"
            )
        if code in EVENTS:
            name, _, field_names, tail = EVENTS[code]
            fixed, body = EVENT_FIXED[code], frame[start:end]
            if len(body) < fixed.size:
                raise WireError(f"batch {number}: {name} at byte {offset} has {size} bytes, needs {fixed.size}")
            fields = dict(zip(field_names, fixed.unpack_from(body)))
            if tail:
                fields[tail[0]] = decode_tail(name, *tail, body, fixed.size, offset)
            records.append((name, fields, offset))
        offset = end
    return clock, number, records


def encode(number, actions):
    """The reply to a batch; an action is (name, values in the order of its layout, the tail's bytes last)."""
    chunks = []
    for name, values in actions:
        code, _, tail = ACTIONS[name]
        if tail:
            text = values[-1][:65535]
            body = ACTION_FIXED[name].pack(*values[:-1]) + struct.pack("<H", len(text)) + text
        else:
            body = ACTION_FIXED[name].pack(*values)
        chunks.append(RECORD_HEAD.pack(code, len(body)) + body)
    joined = b"".join(chunks)
    return REPLY_HEAD.pack(len(chunks), REPLY_HEAD.size + len(joined), number) + joined
