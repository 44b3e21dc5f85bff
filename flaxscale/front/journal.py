"""The journal of keys at one manager: answers under a key leave when they are durable, many with one sync."""

import asyncio

import xxhash

from ..recovery.journal import AnswerRecord, KeyJournal
from ..serve.clock import SECOND, now, unix_clock
from ..store.log import StoreError

COMMIT_S = 0.002  # keys of answers within this are made durable with one sync
RESUME_S = 1.0  # a disk that failed is tried again so often
NOT_KEPT = ("Idempotency-Key-Kept", "no")  # says that a restart may forget the answer to this key


class FrontJournal:
    def __init__(self, front, files=None):
        """files: None keeps nothing."""
        self.front, self.kept, self.timer, self.unsaid = front, None, None, []
        unix = unix_clock()  # a step of the wall clock ends no key of this life early
        self.unix_s = lambda: unix() / SECOND
        if files is None:
            return
        try:
            self.kept = KeyJournal(files, self.unix_s())
        except (StoreError, ValueError, OSError) as bad:
            # Serving goes on without: a retry after a restart may then make a second viewing.
            front.lines.error("journal not used", detail=str(bad))

    def put_down(self, vw, reply, say):
        """True where say() is called, with headers to add, once the key is durable or can't be; else False."""
        keys = self.front.keys
        if self.kept is None or vw.id not in keys.by_id:
            return False
        viewer, title, key = keys.by_id[vw.id]
        status, headers, body = reply
        until = self.unix_s() + keys.retention / SECOND
        offer_print = xxhash.xxh3_64_intdigest(vw.offer.body)
        self.kept.put(AnswerRecord(vw.name, viewer, title, key, offer_print, until, status, list(headers), body))
        if self.kept.failed():
            say((NOT_KEPT,))
            return True
        self.unsaid.append(say)
        self.soon(COMMIT_S)
        return True

    def over(self, name):
        """A viewing is over; written with whatever is written next."""
        if self.kept is not None and name in self.kept.rows:
            self.kept.end(name)
            self.soon(COMMIT_S)

    def restore(self, vw):
        """What an earlier life answered for a viewing that was taken up again."""
        if self.kept is not None and (row := self.kept.rows.get(vw.name)):
            left = round(self.kept.renew(vw.name, self.unix_s(), self.front.keys.retention / SECOND) * SECOND)
            self.front.keys.restore(
                (row.viewer, row.title, row.key), row.print, vw.id, (row.status, row.headers, row.body), now() + left
            )

    def soon(self, after_s):
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(after_s, self.commit)

    def commit(self):
        """Answers leave once their keys are durable; while the disk fails they leave at once, and say so."""
        self.timer, unsaid, self.unsaid = None, self.unsaid, []
        kept = self.settle()
        self.front.steps.at("kept")
        for say in unsaid:
            say(() if kept else (NOT_KEPT,))

    def settle(self):
        """Whether all that was put is durable."""
        failed_before = self.kept.failed()
        try:
            if failed_before:
                self.kept.resume(self.unix_s())
                self.front.lines.info("journal kept again")
            else:
                self.kept.commit(self.unix_s())
            return True
        except OSError as bad:
            if not failed_before:
                self.front.lines.error("journal failed", detail=str(bad))
            self.soon(RESUME_S)
            return False

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
            self.commit()
