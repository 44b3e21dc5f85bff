"""Which versions each member goes by, as the members tell each other, and who of them is behind. No I/O.

Each message between members carries the sender's own row and a few of others', the least told first, as SWIM spreads
its news (A. Das, I. Gupta, A. Motivala, DSN 2002, 4.1); of two rows of one life the later counts. So everybody knows
everybody's versions within some periods, also those of members that hear the source while we don't.

Behind is told by one's own steady clock: since a newer version was first heard of than the one a member goes by. Rows
of three hundred take most of a minute to reach everybody, so that an old row of another is no proof: it counts where
that member says itself that it is behind (it hears of newer versions within a second), or tells us so itself long after
we knew of the newer one. Rows of those behind are told on first.

Epochs can't be compared; who hears the source now is right about the epoch, and of several who do, the more.

Times are tenths of a millisecond of the owner's steady clock.
"""

import math
from bisect import bisect_right
from collections import Counter
from typing import NamedTuple

from .floor import VersionId

ROWS = 20  # others' rows in one message, some 30 bytes each
SELF = 10_000  # behind for so long, a member says so of itself
KNOWN = 2_000  # versions whose first word is remembered
TELLINGS = 2  # times log2 of the members: how often a change of a row is told on
SILENT = 300_000  # a member whose row was not told anew for so long is not heard of any more


class Row(NamedTuple):
    """What a member says of itself. count: rises with each change in one life (boot)."""

    name: str
    boot: str
    count: int
    epoch: str  # of the catalogue; empty: it has none
    version: int
    floor: int  # that it knows of, in that epoch
    digest: int  # of what it holds at that version; 0 where another tells of it
    list_version: int
    settings: str  # mark of their content
    up: bool  # it hears the catalogue's source now
    refused: int  # a version that it refused and has not got over; 0: none
    behind: bool = False  # it knows of a newer version than its own for SELF
    full: bool = False  # it takes nothing over, and should not be sent more: members.rate_limit
    slow: bool = False  # its loop stood still lately: admission.still

    def version_id(self):
        return VersionId(self.epoch, self.version)


class Straggler(NamedTuple):
    name: str
    why: str  # behind, refuses, unheard, settings
    at: VersionId | None
    newest: VersionId | None
    since: int  # by our clock


class VersionTable:
    """One member's."""

    def __init__(self, name, boot):
        self.me = Row(name, boot, 0, "", 0, 0, 0, 0, "", False, 0)
        self.rows, self.told, self.received_at, self.direct_at = {}, {}, {}, {}  # of others
        self.other_since, self.refused_since, self.behind_since = {}, {}, None  # the last: our own
        self.epoch, self.epoch_since, self.versions, self.times = "", 0, [], []  # when each was first known

    # What is told

    def update_own(self, **fields):
        """What we go by now; True where it is something else than before."""
        made = self.me._replace(**fields)
        if made == self.me:
            return False
        self.me = made._replace(count=self.me.count + 1)
        return True

    def rows_to_send(self, members):
        """The rows of one message. members: how many there are."""
        most = TELLINGS * max(1, math.ceil(math.log2(members + 1)))
        out = [self.me]
        for name, times in sorted(
            self.told.items(), key=lambda item: (not self.rows[item[0]].behind, item[1], item[0])
        )[:ROWS]:
            out.append(self.rows[name])
            self.told[name] = times + 1
            if times + 1 >= most:
                del self.told[name]
        return tuple(out)

    def receive(self, row, sender, boots, now):
        """Takes a row. boots(name): which life of a member is known to be the present one, or None."""
        if row.name == self.me.name:
            return
        held = self.rows.get(row.name)
        if row.name == sender:
            self.received_at[row.name] = self.direct_at[row.name] = now
        if held is not None and held.boot == row.boot:
            if row.count <= held.count:
                return
        elif row.name != sender and boots(row.name) != row.boot:
            return  # of an earlier life, told on
        self.rows[row.name], self.told[row.name] = row, 0
        self.received_at[row.name] = now

    def forget(self, name):
        """It is gone: its row stays to be shown, and is told no more."""
        self.told.pop(name, None)

    # What it amounts to

    def live_rows(self, alive):
        """Rows of those that live, ours too."""
        return [self.me, *(row for name, row in sorted(self.rows.items()) if name in alive and name != self.me.name)]

    def newest(self, alive):
        """VersionId of the newest version that one goes by, of the epoch that most hear of those hearing the source.

        Where nobody hears it, of our own epoch; None where nobody has any.
        """
        rows = [row for row in self.live_rows(alive) if row.epoch]
        hearing = Counter(row.epoch for row in rows if row.up)
        if hearing:
            most = max(hearing.values())
            epoch = (
                self.me.epoch if hearing.get(self.me.epoch) == most else min(e for e, n in hearing.items() if n == most)
            )
        elif self.me.epoch:
            epoch = self.me.epoch
        elif rows:
            epoch = Counter(row.epoch for row in rows).most_common(1)[0][0]
        else:
            return None
        return VersionId(epoch, max(row.version for row in rows if row.epoch == epoch))

    def floor(self):
        """The highest floor that anybody ever told of our own epoch, gone since or not."""
        return max(row.floor for row in (self.me, *self.rows.values()) if row.epoch == self.me.epoch)

    def refresh(self, alive, now):
        """Notes what is known since when, by our clock. To be called some times a second."""
        newest = self.newest(alive)
        if newest is not None:
            self.learn(newest, now)
        since = self.behind_since = self.superseded(self.me.version_id()) if newest is not None else None
        self.update_own(behind=since is not None and now - since >= SELF)
        living = self.live_rows(alive)
        marks = Counter(row.settings for row in living if row.settings)
        usual = marks.most_common(1)[0] if marks else ("", 0)
        for row in living:
            self.note(self.refused_since, row.name, bool(row.refused), now)
            odd = usual[1] * 2 > len(living) and row.settings not in ("", usual[0])
            self.note(self.other_since, row.name, odd, now)
        for since in (self.refused_since, self.other_since):
            for name in since.keys() - {row.name for row in living}:
                del since[name]
        return newest

    def learn(self, newest, now):
        if newest.epoch != self.epoch:
            self.epoch, self.epoch_since, self.versions, self.times = newest.epoch, now, [], []
        if not self.versions or newest.version > self.versions[-1]:
            self.versions.append(newest.version)
            self.times.append(now)
            del self.versions[:-KNOWN], self.times[:-KNOWN]

    def superseded(self, at):
        """Since when we know of a newer version than this one; None: of none."""
        if at.epoch != self.epoch:
            return self.epoch_since
        n = bisect_right(self.versions, at.version)
        return self.times[n] if n < len(self.times) else None

    def count_behind(self, alive):
        """How many say that they are behind, ourselves among them where we are."""
        return sum(row.behind for row in self.live_rows(alive))

    @staticmethod
    def note(since, name, true, now):
        if not true:
            since.pop(name, None)
        else:
            since.setdefault(name, now)

    def stragglers(self, alive, suspects, behind, now):
        """Who is behind for longer than `behind`, refuses, goes by other settings than most, or is not heard.

        suspects: names that the members' protocol does not hear at present.
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
            heard = self.received_at.get(name)
            if name == self.me.name or name in named:
                continue
            if name in suspects or heard is not None and now - heard >= SILENT:
                row = self.rows.get(name)
                out.append(
                    Straggler(
                        name, "unheard", row.version_id() if row else None, newest, heard if heard is not None else now
                    )
                )
        return out
