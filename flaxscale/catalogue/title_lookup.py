"""Title lookup for the front, and the title events for the decision module. No I/O.

The module gets a title when it is first requested and its changes from then on, so that of a catalogue of 200,000
titles it stores only those that are in use.
"""

from typing import NamedTuple

import xxhash

from .. import interface

FORGET_AFTER = 6_000_000  # tenths of ms: titles without a request for ten minutes are removed from the module


class TitleEntry(NamedTuple):
    """What the front needs of a title to handle a request."""

    title: int
    view: str | None
    push: str | None
    first_cell: int
    cells: int


def title_id(name):
    """The number by which the module knows a title."""
    return xxhash.xxh3_64_intdigest(name.encode())


class SiteTitles:
    """Titles of the site file: each is held by a range of cells and never changes."""

    def __init__(self, site):
        self.entries = {
            name: TitleEntry(title_id(name), row.view, row.push, row.first_cell, row.cells)
            for name, row in site.titles.items()
        }

    def find(self, name, now):
        return self.entries.get(name)

    def pending_update(self, name):
        return None

    def version(self):
        return None


class CatalogueTitles:
    """Titles of the live catalogue, from a Follower. pending_update() must reach the module before a request does."""

    def __init__(self, manager_site, follower):
        self.packages, self.follower, self.announced, self.requested_at = manager_site.packages, follower, {}, {}

    def find(self, name, now):
        title = self.follower.titles.get(name)
        if title is None:
            return None
        self.requested_at[name] = now
        return TitleEntry(title_id(name), title.view, title.push, 0, 0)

    def title_update(self, name, title):
        """The event that describes a title, or None for a dropped one."""
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
        """The event that the module needs now; None where it has the title's present state."""
        title = self.follower.titles.get(name)
        if name in self.announced and self.announced[name] is title:
            return None
        self.announced[name] = title
        return self.title_update(name, title)

    def pending_updates(self, titles):
        """Events for those changed titles that the module knows."""
        return [event for name in titles if name in self.announced and (event := self.pending_update(name)) is not None]

    def forget_unused(self, now, titles_in_use):
        """Events that remove titles without recent requests. titles_in_use: ids of titles with viewings."""
        out = []
        for name in [
            n for n, at in self.requested_at.items() if now - at > FORGET_AFTER and title_id(n) not in titles_in_use
        ]:
            del self.requested_at[name]
            if self.announced.pop(name, None) is not None:
                out.append(interface.TitleUpdate(title_id(name), None, 0, 0, ()))
        return out

    def version(self):
        return self.follower.version
