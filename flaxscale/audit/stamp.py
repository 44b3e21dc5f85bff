"""Stamps: under which versions a manager acts, numbered in its life, so that an action carries a short number only.

A stamp changes seldom. It travels whole to a box with every request until that box has answered one, and again to a
later start of the box; after that its number does. Who hears a number alone and never the whole knows who acted, under
the same versions as with that number before and after, and not which these were.
"""

import base64
import re

import msgspec

FIELD = re.compile(r"(\d{1,9})(?:;([A-Za-z0-9_=-]{1,2000}))?\Z")


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Versions in force at a manager. None: it has none of that sort, or was told none yet."""

    build: str
    settings: str  # mark of their content
    list_version: int | None
    catalogue: tuple[str, int] | None  # epoch, version
    peaks: int | None
    members: str  # mark of who lives, as this manager sees it
    floor: int = 0  # the lowest version that may be acted on, of the catalogue's epoch; 0: none stands


class Stamps:
    def __init__(self):
        self.number, self.current, self.known = 0, None, {}  # known: {box: (its start, number)} it answered under

    def update(self, stamp):
        """The number in force from now on; (number, whether it is a new one)."""
        if stamp == self.current:
            return self.number, False
        self.number, self.current = self.number + 1, stamp
        return self.number, True

    def header_value(self, box, boot):
        """The field's value for a request to a box. boot: its start as the list tells it."""
        if self.known.get(box) == (boot, self.number):
            return str(self.number)
        return f"{self.number};{base64.urlsafe_b64encode(msgspec.msgpack.encode(self.current)).decode()}"

    def forget(self, box):
        """That box does not know the stamp whose number it was told."""
        self.known.pop(box, None)

    def acknowledged(self, box, boot, field):
        """That box answered a request which carried this field."""
        number, _, whole = field.partition(";")
        if whole:
            self.known[box] = boot, int(number)


def parse(field):
    """(number, Stamp or None) of a field's value; ValueError where it is none."""
    match = FIELD.match(field)
    if match is None:
        raise ValueError("a stamp: a number, and after a semicolon the whole")
    if match[2] is None:
        return int(match[1]), None
    try:
        return int(match[1]), msgspec.msgpack.decode(base64.urlsafe_b64decode(match[2]), type=Stamp)
    except (ValueError, msgspec.MsgspecError) as bad:
        raise ValueError(f"a stamp that can't be read: {bad}") from None
