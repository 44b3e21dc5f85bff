"""Idempotency keys of clients: a retry that carries its first try's key gets that try's answer, not a second set-up.

draft-ietf-httpapi-idempotency-key-header, 2.6: the same key with another content is refused (422). A retry that
meets its first try still in work joins it; one that comes within the keeping time gets the kept answer, for as
long as what that answer tells of still plays.
"""

from collections import OrderedDict
from typing import NamedTuple

MOST = 50_000


class InProgress(NamedTuple):
    id: int  # the viewing in work


class Answered(NamedTuple):
    id: int
    answer: object


class PayloadMismatch(NamedTuple):
    """The key came with another content."""


class Entry:
    __slots__ = "print", "id", "answer", "until"

    def __init__(self, print, id):
        self.print, self.id, self.answer, self.until = print, id, None, None


class KeyTable:
    def __init__(self, keep):
        """keep: how long an answer is known, in tenths of a millisecond."""
        self.retention, self.entries, self.by_id = keep, OrderedDict(), {}

    def lookup(self, key, print, now):
        """What an asker with this key meets: InProgress, Answered, PayloadMismatch, or None where it is new."""
        self.expire(now)
        entry = self.entries.get(key)
        if entry is None:
            return None
        if entry.print != print:
            return PayloadMismatch()
        return InProgress(entry.id) if entry.answer is None else Answered(entry.id, entry.answer)

    def begin(self, key, print, id):
        self.entries[key] = Entry(print, id)
        self.by_id[id] = key
        while len(self.entries) > MOST:
            _, old = self.entries.popitem(last=False)
            self.by_id.pop(old.id, None)

    def complete(self, id, answer, now):
        """Only what plays is kept: after a block or an abort the same key may try anew."""
        key = self.by_id.get(id)
        if key is None:
            return
        if answer is None:
            self.forget(id)
            return
        entry = self.entries[key]
        entry.answer, entry.until = answer, now + self.retention

    def restore(self, key, print, id, answer, until):
        """A kept answer from before a restart, for the viewing as it is known now."""
        entry = self.entries[key] = Entry(print, id)
        entry.answer, entry.until = answer, until
        self.by_id[id] = key

    def forget(self, id):
        if (key := self.by_id.pop(id, None)) is not None:
            self.entries.pop(key, None)

    def expire(self, now):
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if entry.until is None or entry.until > now:
                return
            del self.entries[key]
            self.by_id.pop(entry.id, None)
