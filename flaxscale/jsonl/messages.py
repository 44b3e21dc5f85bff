"""Messages of the platform: what a line says, checked before anybody acts on it, and the lines that we send."""

import math
import re
from collections.abc import Container, Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..interface import Outcome

CALL = re.compile(r"[0-9a-f]{16}\Z")
KEY = re.compile(r"[0-9a-f]{1,16}\Z")
SERVER = re.compile(r"s-([0-9a-f]{8})\Z")
FIGURE = re.compile(r"-?[0-9]{1,15}(\.[0-9]{1,15})?\Z")
LEFT_MOST = 3_600_000  # ms that a viewer can say it waits
COUNT_MOST = 65_535  # cells and rungs

# Causes (ITU-T Q.850) as the platform gives them meaning.
NORMAL = 16
MOVED = 31
FULL = 34
CUT = 41
FAILED = 47
BAD = 100
NEVER = 102
BEFORE = {FULL: Outcome.FULL, FAILED: Outcome.ERROR, NEVER: Outcome.MOOT}  # other causes: the set-up broke on its way
AFTER = {NORMAL: Outcome.OK, MOVED: Outcome.CANCELLED}  # other causes: what played was cut
ANSWERS = ("accept", "end")


class Fault(ValueError):
    """A line that is no message, or a message that can't be meant; the text names what."""


class CallTaken(Fault):
    """The call is another request's or session's: nothing may be said under it, or it would be said of that one."""


class Message(msgspec.Struct, rename={"fields": "with"}):
    op: str
    call: str = ""
    fields: dict[str, str | int | float] = {}
    why: int = 0
    desc: str | None = None


DECODER = msgspec.json.Decoder(Message)
ENCODE = msgspec.json.Encoder().encode


def read(line: bytes) -> Message:
    try:
        return DECODER.decode(line)
    except (msgspec.MsgspecError, ValueError, RecursionError) as bad:
        raise Fault(f"unreadable: {bad}") from None


def figure(value: str | int | float, what: str) -> float:
    """A finite number, given as one or as text."""
    if isinstance(value, str):
        if not FIGURE.match(value):
            raise Fault(f"{what}: a number expected")
        value = float(value)
    if not math.isfinite(value):
        raise Fault(f"{what}: a finite number expected")
    return value


def count(value: str | int | float, what: str, least: int, most: int) -> int:
    number = figure(value, what)
    if number != int(number) or not least <= number <= most:
        raise Fault(f"{what}: a whole number from {least} to {most} expected")
    return int(number)


def pairs(text: object, what: str) -> dict[str, str]:
    """The parts of 'a:1;b:2'."""
    if not isinstance(text, str):
        raise Fault(f"{what}: text expected")
    found = {}
    for part in text.split(";") if text else ():
        name, colon, value = part.partition(":")
        if not colon:
            raise Fault(f"{what}: name:value expected")
        found[name] = value
    return found


def load(message: Message, names: Iterable[str]) -> tuple[float, ...]:
    """The load report that came along, as figures in the order of these names; empty: none, or none that fits."""
    try:
        found = pairs(message.fields.get("load", ""), "load")
        return tuple(figure(found[name], name) for name in names)
    except (Fault, KeyError):
        return ()


def server_number(name: str) -> int:
    """A server's name as a number: stateless, so that no table of names grows."""
    match = SERVER.match(name)
    return int(match[1], 16) if match else -1


class SetUp(NamedTuple):
    """A viewer's set-up, checked. package and key stand as they came, to be passed on unchanged."""

    call: str
    id: int
    package: str
    left: float  # ms
    again: bool
    key: str
    title: int
    first_cell: int
    cells: int
    top: int
    viewer: int
    at: int | None  # plays at this server already
    desc: str


def set_up(message: Message, packages: Container[str]) -> SetUp:
    """What an offer asks for; Fault names what is wrong with it."""
    fields, desc = message.fields, message.desc
    if not CALL.match(message.call):
        raise Fault("call: 16 hex digits expected")
    package, key = fields.get("class"), fields.get("key")
    if not isinstance(package, str) or package not in packages:
        raise Fault("class: none of the settings")
    if not isinstance(key, str) or not KEY.match(key):
        raise Fault("key: hex digits expected")
    if not desc or not desc.isprintable() and not desc.replace("\r\n", "").isprintable():
        raise Fault("desc: a description expected")
    extras = pairs(fields.get("extras", ""), "extras")
    for name in ("home", "copies", "top", "viewer"):
        if name not in extras:
            raise Fault(f"extras.{name}: lacking")
    if not KEY.match(extras["viewer"]):
        raise Fault("extras.viewer: hex digits expected")
    at = None
    if "at" in extras and (at := server_number(extras["at"])) < 0:
        raise Fault("extras.at: a server expected")
    left = figure(fields.get("left", ""), "left") if at is None else 0  # what plays waits for no answer
    if at is None and not 1 <= left <= LEFT_MOST:
        raise Fault(f"left: 1 to {LEFT_MOST} expected")
    return SetUp(
        message.call,
        int(message.call, 16),
        package,
        left,
        extras.get("again") == "1",
        key,
        int(key, 16),
        count(extras["home"], "extras.home", 0, COUNT_MOST),
        count(extras["copies"], "extras.copies", 1, COUNT_MOST),
        count(extras["top"], "extras.top", 0, COUNT_MOST),
        int(extras["viewer"], 16),
        at,
        desc,
    )


def line(
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
