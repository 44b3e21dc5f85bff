"""Stamps: the versions under which a manager acts, numbered within its life, so that requests carry a short number.

A stamp changes seldom. Requests to a box carry it whole until the box has answered one of them, and again after a
restart of the box; later requests carry its number. A receiver that has only a number knows that actions with the same
number were done under the same versions, but not under which.
"""

import base64
import re

import msgspec

HEADER = re.compile(r"(\d{1,9})(?:;([A-Za-z0-9_=-]{1,2000}))?\Z")


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """The versions in force at a manager. None: it uses none of that kind, or received none yet."""

    build: str
    settings: str  # hash of their content
    list_version: int | None
    catalogue: tuple[str, int] | None  # epoch, version
    peaks: int | None
    members: str  # hash of the names of living managers, as this manager knows them
    floor: int = 0  # the lowest version of the catalogue's epoch that may be acted on; 0: none


class Stamps:
    """The stamps of one life of a manager, and which of them the boxes have."""

    def __init__(self):
        self.number, self.current, self.known = 0, None, {}  # known: {box: (its boot, number)} that it acknowledged

    def update(self, stamp):
        """Puts a stamp in force: (its number, whether the number is new)."""
        if stamp == self.current:
            return self.number, False
        self.number, self.current = self.number + 1, stamp
        return self.number, True

    def header_value(self, box, boot):
        """The header's value for a request to a box. boot: the start of the box, from the list."""
        if self.known.get(box) == (boot, self.number):
            return str(self.number)
        return f"{self.number};{base64.urlsafe_b64encode(msgspec.msgpack.encode(self.current)).decode()}"

    def forget(self, box):
        """A box does not have the stamp whose number it received: the next request carries it whole."""
        self.known.pop(box, None)

    def acknowledged(self, box, boot, field):
        """A box answered a request that carried this header value."""
        number, _, whole = field.partition(";")
        if whole:
            self.known[box] = boot, int(number)


def parse(field):
    """(number, Stamp or None) of a header's value; ValueError where it is not valid."""
    match = HEADER.match(field)
    if match is None:
        raise ValueError("a stamp expected: a number, and optionally a semicolon and the whole stamp")
    if match[2] is None:
        return int(match[1]), None
    try:
        return int(match[1]), msgspec.msgpack.decode(base64.urlsafe_b64decode(match[2]), type=Stamp)
    except (ValueError, msgspec.MsgspecError) as bad:
        raise ValueError(f"a stamp that can't be decoded: {bad}") from None
