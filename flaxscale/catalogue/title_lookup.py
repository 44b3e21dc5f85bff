"""A manager's catalogue: what the front looks titles up in, and what the module is told of them. No I/O.

The module hears of a title when it is first asked for, and of each change while it knows it: a catalogue of 200,000
titles costs it no more than those that are watched.
"""

from typing import NamedTuple

import xxhash

from .. import interface

FORGET = 6_000_000  # a title not asked for in ten minutes is forgotten by the module


class Entry(NamedTuple):
    """What the front needs of a title to take a request."""

    title: int
    view: str | None
    push: str | None
    first_cell: int
    cells: int


def title_id(name):
    return xxhash.xxh3_64_intdigest(name.encode())


class SiteTitles:
    """Titles from the site file alone: cells in a row hold them, and nothing changes."""

    def __init__(self, site):
        self.entries = {
            name: Entry(title_id(name), row.view, row.push, row.first_cell, row.cells)
            for name, row in site.titles.items()
        }

    def find(self, name, now):
        return self.entries.get(name)

    def pending_update(self, name):
        return None

    def version(self):
        return None


class CatalogueTitles:
    """Titles by a Follower. pending_update() is the event that the module must hear before it is asked for a title."""

    def __init__(self, sense, follower):
        self.packages, self.follower, self.announced, self.asked_at = sense.packages, follower, {}, {}

    def find(self, name, now):
        title = self.follower.titles.get(name)
        if title is None:
            return None
        self.asked_at[name] = now
        return Entry(title_id(name), title.view, title.push, 0, 0)

    def event(self, name, title):
        if title is None:
            return interface.TitleUpdate(title_id(name), frozenset(), 0, 0, ())
        return interface.TitleUpdate(
            title_id(name),
            title.available_boxes(),
            title.low,
            title.top,
            tuple((self.packages[p], n) for p, n in title.seats if p in self.packages),
        )

    def pending_update(self, name):
        """The event to tell now, or None where the module knows this title as it is."""
        title = self.follower.titles.get(name)
        if name in self.announced and self.announced[name] is title:
            return None
        self.announced[name] = title
        return self.event(name, title)

    def pending_updates(self, titles):
        """Events for the changed titles that the module knows."""
        return [event for name in titles if name in self.announced and (event := self.pending_update(name)) is not None]

    def forget_unused(self, now, held):
        """Events that let the module forget what nobody asks for. held: ids of titles with viewings."""
        out = []
        for name in [n for n, at in self.asked_at.items() if now - at > FORGET and title_id(n) not in held]:
            del self.asked_at[name]
            if self.announced.pop(name, None) is not None:
                out.append(interface.TitleUpdate(title_id(name), None, 0, 0, ()))
        return out

    def version(self):
        return self.follower.version
