"""The versions in use at each member, spread by gossip, and which members are behind. No I/O.

Each message between members carries the sender's own row and some rows of others, the least often sent first, as SWIM
spreads its updates (A. Das, I. Gupta, A. Motivala, DSN 2002, 4.1). Of two rows of one life the later counts. So each
member knows the versions of all within some periods, also of members that are connected to the source while it is not.

A member is behind from the time, by the observer's steady clock, at which the observer first knew of a newer version.
With three hundred members a row takes most of a minute to reach all, so an old row received from others proves nothing.
It counts where that member reports itself as behind (it learns of newer versions within a second), or where its own
message still carries the old version long after the observer knew of the newer one. Rows of members that are behind are
sent first.

Epochs can't be compared. The present epoch is the one that most of the members connected to the source report.

Times are tenths of a millisecond of the owner's steady clock.
"""

import math
from bisect import bisect_right
from collections import Counter
from typing import NamedTuple

from .floor import VersionId

MAX_ROWS = 20  # rows of others in one message, some 30 bytes each
REPORT_BEHIND_AFTER = 10_000  # a member reports itself as behind after this
MAX_KNOWN_VERSIONS = 2_000  # versions whose first appearance is remembered
RETRANSMIT_FACTOR = 2  # times log2 of the members: how often a changed row is sent
SILENT_AFTER = 300_000  # a member without a new row for so long counts as unheard


class Row(NamedTuple):
    """A member's report of itself. count: rises with each change in one life (boot)."""

    name: str
    boot: str
    count: int
    epoch: str  # of the catalogue; empty: it has none
    version: int
    floor: int  # the highest one it knows of in that epoch
    digest: int  # of its catalogue at that version; 0 in rows passed on by others
    list_version: int
    settings: str  # hash of their content
    up: bool  # it is connected to the catalogue's source
    refused: int  # a version that it refused and has not replaced yet; 0: none
    behind: bool = False  # it has known of a newer version than its own for REPORT_BEHIND_AFTER
    full: bool = False  # it takes nothing over and should not be given more: members.rate_limit
    slow: bool = False  # its event loop stalled lately: admission.stall

    def version_id(self):
        """The VersionId of its catalogue."""
        return VersionId(self.epoch, self.version)


class Straggler(NamedTuple):
    """A member that needs attention. newest: the newest version in use, or None."""

    name: str
    why: str  # behind, refuses, unheard, settings
    at: VersionId | None
    newest: VersionId | None
    since: int  # by the observer's clock


class VersionTable:
    """One member's own row and the rows that it received."""

    def __init__(self, name, boot):
        self.me = Row(name, boot, 0, "", 0, 0, 0, 0, "", False, 0)
        self.rows, self.transmissions, self.received_at, self.direct_at = {}, {}, {}, {}  # of other members, by name
        self.other_since, self.refused_since, self.behind_since = {}, {}, None  # the last one is for this member
        self.epoch, self.epoch_since, self.versions, self.times = "", 0, [], []  # times: of the versions

    # Gossip

    def update_own(self, **fields):
        """Sets fields of the own row; True where that changes it."""
        row = self.me._replace(**fields)
        if row == self.me:
            return False
        self.me = row._replace(count=self.me.count + 1)
        return True

    def rows_to_send(self, members):
        """The rows of one message. members: how many members there are."""
        most = RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(members + 1)))
        out = [self.me]
        for name, times in sorted(
            self.transmissions.items(), key=lambda item: (not self.rows[item[0]].behind, item[1], item[0])
        )[:MAX_ROWS]:
            out.append(self.rows[name])
            self.transmissions[name] = times + 1
            if times + 1 >= most:
                del self.transmissions[name]
        return tuple(out)

    def receive(self, row, sender, boots, now):
        """Takes a row from a message of `sender`. boots(name): the present life of a member, or None."""
        if row.name == self.me.name:
            return
        held = self.rows.get(row.name)
        if row.name == sender:
            self.received_at[row.name] = self.direct_at[row.name] = now
        if held is not None and held.boot == row.boot:
            if row.count <= held.count:
                return
        elif row.name != sender and boots(row.name) != row.boot:
            return  # passed on by another, and of an earlier life
        self.rows[row.name], self.transmissions[row.name] = row, 0
        self.received_at[row.name] = now

    def forget(self, name):
        """Stops sending the row of a member that is gone; the row stays for display."""
        self.transmissions.pop(name, None)

    # Evaluation

    def live_rows(self, alive):
        """Rows of the living members, the own one first."""
        return [self.me, *(row for name, row in sorted(self.rows.items()) if name in alive and name != self.me.name)]

    def newest(self, alive):
        """The VersionId of the newest version in use, of the epoch that most members connected to the source report.

        Where no member is connected, of the own epoch, or else of the most frequent one; None where there is none.
        """
        rows = [row for row in self.live_rows(alive) if row.epoch]
        connected = Counter(row.epoch for row in rows if row.up)
        if connected:
            most = max(connected.values())
            epoch = (
                self.me.epoch
                if connected.get(self.me.epoch) == most
                else min(e for e, n in connected.items() if n == most)
            )
        elif self.me.epoch:
            epoch = self.me.epoch
        elif rows:
            epoch = Counter(row.epoch for row in rows).most_common(1)[0][0]
        else:
            return None
        return VersionId(epoch, max(row.version for row in rows if row.epoch == epoch))

    def floor(self):
        """The highest floor reported for the own epoch, by living members or by others that are gone."""
        return max(row.floor for row in (self.me, *self.rows.values()) if row.epoch == self.me.epoch)

    def refresh(self, alive, now):
        """Updates since when members are behind, refuse or differ. To be called several times a second."""
        newest = self.newest(alive)
        if newest is not None:
            self.add_version(newest, now)
        since = self.behind_since = self.superseded(self.me.version_id()) if newest is not None else None
        self.update_own(behind=since is not None and now - since >= REPORT_BEHIND_AFTER)
        living = self.live_rows(alive)
        hashes = Counter(row.settings for row in living if row.settings)
        usual = hashes.most_common(1)[0] if hashes else ("", 0)
        for row in living:
            self.set_since(self.refused_since, row.name, bool(row.refused), now)
            differs = usual[1] * 2 > len(living) and row.settings not in ("", usual[0])
            self.set_since(self.other_since, row.name, differs, now)
        for since in (self.refused_since, self.other_since):
            for name in since.keys() - {row.name for row in living}:
                del since[name]
        return newest

    def add_version(self, newest, now):
        """Remembers when a version was first known."""
        if newest.epoch != self.epoch:
            self.epoch, self.epoch_since, self.versions, self.times = newest.epoch, now, [], []
        if not self.versions or newest.version > self.versions[-1]:
            self.versions.append(newest.version)
            self.times.append(now)
            del self.versions[:-MAX_KNOWN_VERSIONS], self.times[:-MAX_KNOWN_VERSIONS]

    def superseded(self, at):
        """When a newer version than this one was first known; None: no newer one is known."""
        if at.epoch != self.epoch:
            return self.epoch_since
        n = bisect_right(self.versions, at.version)
        return self.times[n] if n < len(self.times) else None

    def count_behind(self, alive):
        """How many members report themselves as behind, this one included."""
        return sum(row.behind for row in self.live_rows(alive))

    @staticmethod
    def set_since(since, name, condition, now):
        """Keeps in `since` when a condition of a member began."""
        if not condition:
            since.pop(name, None)
        else:
            since.setdefault(name, now)

    def stragglers(self, alive, suspects, behind, now):
        """Stragglers: members that are behind or refuse a version for `behind`, differ from most in settings, or are
        not heard.

        suspects: names of members that are suspected or dead in the members' protocol.
        """
        newest, out = self.refresh(alive, now), []
        for row in self.live_rows(alive):
            if (at := self.refused_since.get(row.name)) is not None and now - at >= behind:
                out.append(Straggler(row.name, "refuses", row.version_id(), newest, at))
            elif (
                newest is not None
                and (at := self.superseded(row.version_id())) is not None
                and now - at >= behind
                and (row.behind or row.name == self.me.name or self.direct_at.get(row.name, 0) - at >= behind)
            ):
                out.append(Straggler(row.name, "behind", row.version_id(), newest, at))
            elif (at := self.other_since.get(row.name)) is not None and now - at >= behind:
                out.append(Straggler(row.name, "settings", row.version_id(), newest, at))
        named = {s.name for s in out}
        for name in sorted(set(alive) | set(suspects)):
            received = self.received_at.get(name)
            if name == self.me.name or name in named:
                continue
            if name in suspects or received is not None and now - received >= SILENT_AFTER:
                row = self.rows.get(name)
                out.append(
                    Straggler(
                        name,
                        "unheard",
                        row.version_id() if row else None,
                        newest,
                        received if received is not None else now,
                    )
                )
        return out
