"""Idempotency keys of clients: a retry with the key of an earlier request gets that request's answer, not a new set-up.

draft-ietf-httpapi-idempotency-key-header, 2.6: the same key with another payload is refused (422). A retry whose
original request is still in progress joins it. A retry within the retention time gets the stored answer, for as long as
the session of that answer still plays.
"""

from collections import OrderedDict
from typing import NamedTuple

MAX_KEYS = 50_000


class InProgress(NamedTuple):
    """The original request is not answered yet."""

    id: int  # of its viewing


class Answered(NamedTuple):
    """The original request was answered."""

    id: int  # of its viewing
    answer: object


class PayloadMismatch(NamedTuple):
    """The key was used with another payload before."""


class Entry:
    """A known key: the digest of its offer, its viewing, and its answer with the time until which that is kept."""

    __slots__ = "offer_digest", "id", "answer", "until"

    def __init__(self, offer_digest, id):
        self.offer_digest, self.id, self.answer, self.until = offer_digest, id, None, None


class KeyTable:
    """The idempotency keys that one manager knows."""

    def __init__(self, retention):
        """retention: how long an answer is kept, in tenths of a millisecond."""
        self.retention, self.entries, self.by_id = retention, OrderedDict(), {}

    def lookup(self, key, offer_digest, now):
        """State of the request that came with this key: InProgress, Answered, PayloadMismatch, or None if unknown."""
        self.expire(now)
        entry = self.entries.get(key)
        if entry is None:
            return None
        if entry.offer_digest != offer_digest:
            return PayloadMismatch()
        return InProgress(entry.id) if entry.answer is None else Answered(entry.id, entry.answer)

    def begin(self, key, offer_digest, id):
        """Adds a key whose request is in progress."""
        self.entries[key] = Entry(offer_digest, id)
        self.by_id[id] = key
        while len(self.entries) > MAX_KEYS:
            _, oldest = self.entries.popitem(last=False)
            self.by_id.pop(oldest.id, None)

    def complete(self, id, answer, now):
        """Stores the answer of a viewing that plays; None after a block or an abort, where the key may be used anew."""
        key = self.by_id.get(id)
        if key is None:
            return
        if answer is None:
            self.forget(id)
            return
        entry = self.entries[key]
        entry.answer, entry.until = answer, now + self.retention

    def restore(self, key, offer_digest, id, answer, until):
        """Adds an answer from before a restart, under the viewing's present id."""
        entry = self.entries[key] = Entry(offer_digest, id)
        entry.answer, entry.until = answer, until
        self.by_id[id] = key

    def forget(self, id):
        """Removes the key of a viewing."""
        if (key := self.by_id.pop(id, None)) is not None:
            self.entries.pop(key, None)

    def expire(self, now):
        """Removes answers whose retention is over."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if entry.until is None or entry.until > now:
                return
            del self.entries[key]
            self.by_id.pop(entry.id, None)
