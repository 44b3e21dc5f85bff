"""Messages of the platform: decoding and validation of received lines, encoding of lines to send."""

import math
import re
from collections.abc import Container, Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..interface import Outcome

CALL_ID = re.compile(r"[0-9a-f]{16}\Z")
KEY_PATTERN = re.compile(r"[0-9a-f]{1,16}\Z")
SERVER_NAME = re.compile(r"s-([0-9a-f]{8})\Z")
# As programs write floating-point numbers: up to 17 significant digits behind zeros, or an exponent.
DECIMAL = re.compile(r"-?[0-9]{1,15}(\.[0-9]{1,21})?([eE][-+]?[0-9]{1,3})?\Z")
MAX_REMAINING_MS = 3_600_000  # longest remaining wait that a viewer may state
MAX_COUNT = 65_535  # limit for cell and rung numbers

# Cause values (ITU-T Q.850), with the meaning that the platform gives them.
CAUSE_NORMAL = 16
CAUSE_MOVED = 31
CAUSE_NO_CAPACITY = 34
CAUSE_INTERRUPTED = 41
CAUSE_FAILED = 47
CAUSE_INVALID = 100
CAUSE_EXPIRED = 102
# Outcomes of an attempt that the server ended; with any other cause it failed on its way.
OUTCOMES_BEFORE_START = {
    CAUSE_NO_CAPACITY: Outcome.FULL,
    CAUSE_FAILED: Outcome.ERROR,
    CAUSE_EXPIRED: Outcome.MOOT,
}
# Outcomes of a playing session that the server ended; with any other cause it was interrupted.
OUTCOMES_AFTER_START = {
    CAUSE_NORMAL: Outcome.OK,
    CAUSE_MOVED: Outcome.CANCELLED,
}
ANSWER_OPS = ("accept", "end")


class MessageError(ValueError):
    """A line that is not a message, or a message with an invalid field; the text names the field."""


class CallInUse(MessageError):
    """The call id belongs to another request or session, so no reply may carry it: it would refer to that one."""


class Message(msgspec.Struct, rename={"fields": "with"}):
    """One message in either direction; `fields` is `with` on the wire."""

    op: str
    call: str = ""
    fields: dict[str, str | int | float] = {}
    why: int = 0
    desc: str | None = None


DECODER = msgspec.json.Decoder(Message)
ENCODE = msgspec.json.Encoder().encode


def decode(line: bytes) -> Message:
    """The message in a line; raises MessageError if the line is not valid JSON of that form."""
    try:
        return DECODER.decode(line)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MessageError(f"unreadable: {error}") from None


def parse_number(value: str | int | float, what: str) -> float:
    """A finite number from a JSON number or from decimal text; `what` names the field in errors."""
    if isinstance(value, str):
        if not DECIMAL.match(value):
            raise MessageError(f"{what}: a number expected")
        value = float(value)
    if not math.isfinite(value):
        raise MessageError(f"{what}: a finite number expected")
    return value


def parse_integer(value: str | int | float, what: str, minimum: int, maximum: int) -> int:
    """A whole number within the given limits, from a JSON number or from text."""
    number = parse_number(value, what)
    if number != int(number) or not minimum <= number <= maximum:
        raise MessageError(f"{what}: a whole number from {minimum} to {maximum} expected")
    return int(number)


def parse_pairs(text: object, what: str) -> dict[str, str]:
    """The name:value pairs of text such as 'a:1;b:2'."""
    if not isinstance(text, str):
        raise MessageError(f"{what}: text expected")
    found = {}
    for part in text.split(";") if text else ():
        name, colon, value = part.partition(":")
        if not colon:
            raise MessageError(f"{what}: name:value expected")
        found[name] = value
    return found


def parse_load(message: Message, names: Iterable[str]) -> tuple[float, ...]:
    """The values of a message's load report in the order of `names`; empty if any is missing or invalid."""
    try:
        found = parse_pairs(message.fields.get("load", ""), "load")
        return tuple(parse_number(found[name], name) for name in names)
    except (MessageError, KeyError):
        return ()


def server_number(name: str) -> int:
    """The number in a server's name, or -1; computed from the name alone, so that no table of names can grow."""
    match = SERVER_NAME.match(name)
    return int(match[1], 16) if match else -1


class SetupRequest(NamedTuple):
    """A validated session request of a viewer. `package` and `key` are kept as received and passed on unchanged."""

    call: str
    id: int
    package: str
    remaining_ms: float
    is_retry: bool
    key: str
    title: int
    first_cell: int
    cell_count: int
    top_rung: int
    viewer: int
    playing_at: int | None  # number of the server on which the session already plays
    desc: str


def parse_offer(message: Message, packages: Container[str]) -> SetupRequest:
    """Validates an offer; raises MessageError that names the invalid field."""
    fields, desc = message.fields, message.desc
    if not CALL_ID.match(message.call):
        raise MessageError("call: 16 hex digits expected")
    package, key = fields.get("class"), fields.get("key")
    if not isinstance(package, str) or package not in packages:
        raise MessageError("class: not a package of the settings")
    if not isinstance(key, str) or not KEY_PATTERN.match(key):
        raise MessageError("key: hex digits expected")
    if not desc or not desc.isprintable() and not desc.replace("\r\n", "").isprintable():
        raise MessageError("desc: a description expected")
    extras = parse_pairs(fields.get("extras", ""), "extras")
    for name in ("home", "copies", "top", "viewer"):
        if name not in extras:
            raise MessageError(f"extras.{name}: missing")
    if not KEY_PATTERN.match(extras["viewer"]):
        raise MessageError("extras.viewer: hex digits expected")
    playing_at = None
    if "at" in extras and (playing_at := server_number(extras["at"])) < 0:
        raise MessageError("extras.at: a server name expected")
    # A session that already plays waits for no answer.
    remaining_ms = parse_number(fields.get("left", ""), "left") if playing_at is None else 0
    if playing_at is None and not 1 <= remaining_ms <= MAX_REMAINING_MS:
        raise MessageError(f"left: 1 to {MAX_REMAINING_MS} expected")
    return SetupRequest(
        message.call,
        int(message.call, 16),
        package,
        remaining_ms,
        extras.get("again") == "1",
        key,
        int(key, 16),
        parse_integer(extras["home"], "extras.home", 0, MAX_COUNT),
        parse_integer(extras["copies"], "extras.copies", 1, MAX_COUNT),
        parse_integer(extras["top"], "extras.top", 0, MAX_COUNT),
        int(extras["viewer"], 16),
        playing_at,
        desc,
    )


def encode(
    op: str,
    call: str,
    fields: Mapping[str, str | int | float] | None = None,
    why: int | None = None,
    desc: str | None = None,
) -> bytes:
    """One line to send, with its line end."""
    out: dict[str, object] = {"op": op, "call": call, "with": fields or {}}
    if why is not None:
        out["why"] = why
    if desc is not None:
        out["desc"] = desc
    return ENCODE(out) + b"\n"
