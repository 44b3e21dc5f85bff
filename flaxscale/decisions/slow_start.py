"""Slow start: the rate at which all managers together may send attempts to a server that has just started (rule 4).

Managers take turns by the clock: a turn is the time in which one attempt of all of them may be sent, and each manager
has every `manager_count`-th turn. Clocks that differ shift turns but add none.
"""

from ..interface import RuleTerms

# Part of the rate that overloads a cold server; the rest is room for load that managers don't count.
SAFE_RATE_SHARE = 0.7


def turn_at(now: int, rules: RuleTerms, slots: int) -> int:
    """Number of the turn that a time is in, for a server with so many slots for streams."""
    rate = SAFE_RATE_SHARE * rules.overload_multiple * rules.start_capacity * slots / rules.warm_up_time
    return int(now * rate)


def may_send(turn: int, last_turn: int | None, known_cold: bool, manager_number: int, manager_count: int) -> bool:
    """Whether a manager may send an attempt in this turn.

    last_turn: the last one that it used, or None. To a server known to be cold it sends in its own turns. To a server
    that may be cold, which a new manager can't know, it sends its share at any time, which counts for later turns.
    """
    if last_turn is not None and turn - last_turn < manager_count:
        return False
    return not known_cold or turn % manager_count == manager_number
