"""Messages of the platform: what a line says, checked before anybody acts on it, and the lines that we send."""

import math
import re
from collections.abc import Container, Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..interface import Outcome

CALL_ID = re.compile(r"[0-9a-f]{16}\Z")
KEY_PATTERN = re.compile(r"[0-9a-f]{1,16}\Z")
SERVER_NAME = re.compile(r"s-([0-9a-f]{8})\Z")
DECIMAL = re.compile(r"-?[0-9]{1,15}(\.[0-9]{1,15})?\Z")
MAX_REMAINING_MS = 3_600_000  # ms that a viewer can say it waits
MAX_COUNT = 65_535  # cells and rungs

# Causes (ITU-T Q.850) as the platform gives them meaning.
CAUSE_NORMAL = 16
CAUSE_MOVED = 31
CAUSE_NO_CAPACITY = 34
CAUSE_INTERRUPTED = 41
CAUSE_FAILED = 47
CAUSE_INVALID = 100
CAUSE_EXPIRED = 102
OUTCOMES_BEFORE_START = {
    CAUSE_NO_CAPACITY: Outcome.FULL,
    CAUSE_FAILED: Outcome.ERROR,
    CAUSE_EXPIRED: Outcome.MOOT,
}  # other causes: the set-up broke on its way
OUTCOMES_AFTER_START = {CAUSE_NORMAL: Outcome.OK, CAUSE_MOVED: Outcome.CANCELLED}  # other causes: what played was cut
ANSWER_OPS = ("accept", "end")


class MessageError(ValueError):
    """A line that is no message, or a message that can't be meant; the text names what."""


class CallInUse(MessageError):
    """The call is another request's or session's: nothing may be said under it, or it would be said of that one."""


class Message(msgspec.Struct, rename={"fields": "with"}):
    op: str
    call: str = ""
    fields: dict[str, str | int | float] = {}
    why: int = 0
    desc: str | None = None


DECODER = msgspec.json.Decoder(Message)
ENCODE = msgspec.json.Encoder().encode


def decode(line: bytes) -> Message:
    try:
        return DECODER.decode(line)
    except (msgspec.MsgspecError, ValueError, RecursionError) as bad:
        raise MessageError(f"unreadable: {bad}") from None


def parse_number(value: str | int | float, what: str) -> float:
    """A finite number, given as one or as text."""
    if isinstance(value, str):
        if not DECIMAL.match(value):
            raise MessageError(f"{what}: a number expected")
        value = float(value)
    if not math.isfinite(value):
        raise MessageError(f"{what}: a finite number expected")
    return value


def parse_integer(value: str | int | float, what: str, least: int, most: int) -> int:
    number = parse_number(value, what)
    if number != int(number) or not least <= number <= most:
        raise MessageError(f"{what}: a whole number from {least} to {most} expected")
    return int(number)


def parse_pairs(text: object, what: str) -> dict[str, str]:
    """The parts of 'a:1;b:2'."""
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
    """The load report that came along, as figures in the order of these names; empty: none, or none that fits."""
    try:
        found = parse_pairs(message.fields.get("load", ""), "load")
        return tuple(parse_number(found[name], name) for name in names)
    except (MessageError, KeyError):
        return ()


def server_number(name: str) -> int:
    """A server's name as a number: stateless, so that no table of names grows."""
    match = SERVER_NAME.match(name)
    return int(match[1], 16) if match else -1


class SetupRequest(NamedTuple):
    """A viewer's set-up, checked. package and key stand as they came, to be passed on unchanged."""

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
    playing_at: int | None  # plays at this server already
    desc: str


def parse_offer(message: Message, packages: Container[str]) -> SetupRequest:
    """What an offer asks for; Fault names what is wrong with it."""
    fields, desc = message.fields, message.desc
    if not CALL_ID.match(message.call):
        raise MessageError("call: 16 hex digits expected")
    package, key = fields.get("class"), fields.get("key")
    if not isinstance(package, str) or package not in packages:
        raise MessageError("class: none of the settings")
    if not isinstance(key, str) or not KEY_PATTERN.match(key):
        raise MessageError("key: hex digits expected")
    if not desc or not desc.isprintable() and not desc.replace("\r\n", "").isprintable():
        raise MessageError("desc: a description expected")
    extras = parse_pairs(fields.get("extras", ""), "extras")
    for name in ("home", "copies", "top", "viewer"):
        if name not in extras:
            raise MessageError(f"extras.{name}: lacking")
    if not KEY_PATTERN.match(extras["viewer"]):
        raise MessageError("extras.viewer: hex digits expected")
    at = None
    if "at" in extras and (at := server_number(extras["at"])) < 0:
        raise MessageError("extras.at: a server expected")
    left = parse_number(fields.get("left", ""), "left") if at is None else 0  # what plays waits for no answer
    if at is None and not 1 <= left <= MAX_REMAINING_MS:
        raise MessageError(f"left: 1 to {MAX_REMAINING_MS} expected")
    return SetupRequest(
        message.call,
        int(message.call, 16),
        package,
        left,
        extras.get("again") == "1",
        key,
        int(key, 16),
        parse_integer(extras["home"], "extras.home", 0, MAX_COUNT),
        parse_integer(extras["copies"], "extras.copies", 1, MAX_COUNT),
        parse_integer(extras["top"], "extras.top", 0, MAX_COUNT),
        int(extras["viewer"], 16),
        at,
        desc,
    )


def encode(
    op: str,
    call: str,
    fields: Mapping[str, str | int | float] | None = None,
    why: int | None = None,
    desc: str | None = None,
) -> bytes:
    """A message to send."""
    out: dict[str, object] = {"op": op, "call": call, "with": fields or {}}
    if why is not None:
        out["why"] = why
    if desc is not None:
        out["desc"] = desc
    return ENCODE(out) + b"\n"
