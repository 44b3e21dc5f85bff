"""Slow start: how fast set-ups may go to a server that has just started, all managers together (rule 4).

Managers take turns by the clock: each turn is the time in which one set-up of all of them may go, and each manager has
every `peers`-th turn. Clocks that disagree shift turns and add none.
"""

from ..interface import RuleTerms

PACE_SHARE = 0.7  # of the pace that overloads a cold server: what is not ours to count has room in the rest


def turn_at(now: int, rules: RuleTerms, places: int) -> int:
    """Number of the turn that this time is in, for a server with so many places."""
    rate = PACE_SHARE * rules.overload_multiple * rules.start_capacity * places / rules.warm_up_time
    return int(now * rate)


def may_send(turn: int, last_turn: int | None, known_cold: bool, me: int, peers: int) -> bool:
    """Whether a manager may send a set-up in this turn.

    last_turn: the last one it used, or None. To a server known to be cold it sends in its own turns. To one that
    may be cold, as a new manager can't tell, it sends its share at any time, which counts for later turns.
    """
    if last_turn is not None and turn - last_turn < peers:
        return False
    return not known_cold or turn % peers == me
