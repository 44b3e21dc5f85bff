"""How the descriptors for media servers are shared, and which idle connection makes room for another. No I/O."""

from typing import NamedTuple

CONTACT_TIME_MIN = 500  # tenths of a millisecond; a contact is open for so long, for what its server has to say

# Parts of the connections to servers, as fractions: (parts, of so many).
SET_UP_HEADROOM = 1, 16  # contacts leave these free, so that a set-up finds a free descriptor at once
CONTACT_RESERVE = 1, 8  # set-ups leave these to contacts, however many servers do not answer them


class Shares(NamedTuple):
    """How many connections there may be in all, how many of them may serve set-ups, and how many contacts may have."""

    total: int
    set_ups: int  # at most
    contact_reserve: int  # kept for contacts
    headroom: int  # left free by contacts above their reserve

    def contact_limit(self, busy: int) -> int:
        """Up to how many connections in all a contact may open one, while so many serve set-ups."""
        return min(self.total, max(self.total - self.headroom, busy + self.contact_reserve))


class IdleConnection(NamedTuple):
    """What decides whether an idle connection is closed to make room; times are in tenths of a millisecond."""

    used_at: int  # when it was opened, or last carried a set-up
    is_only_one: bool  # its server has playing sessions and no other usable connection
    awaits_acknowledgement: bool  # a release was sent to its server


def shares(total: int) -> Shares:
    """The shares of `total` connections; a single one serves set-ups and contacts in turn."""
    reserve, headroom = part_of(total, CONTACT_RESERVE), part_of(total, SET_UP_HEADROOM)
    return Shares(total, total - reserve, reserve, headroom) if total > 1 else Shares(total, total, 0, 0)


def part_of(total: int, fraction: tuple[int, int]) -> int:
    """This part of `total`, 1 at least."""
    parts, of_so_many = fraction
    return max(1, total * parts // of_so_many)


def closing_rank(connection: IdleConnection) -> tuple[bool, bool, int]:
    """Sort key: idle connections are closed lowest first.

    The servers that need one take turns, since each of them is connected again when it is due (`ServerConnections`).
    """
    return connection.awaits_acknowledgement, connection.is_only_one, connection.used_at
