"""The journal of idempotency keys at one manager: answers are sent once their keys are durable, many per sync."""

import asyncio

import xxhash

from ..recovery.journal import AnswerRecord, KeyJournal
from ..serve.clock import SECOND, now, unix_clock
from ..store.log import StoreError

COMMIT_DELAY_S = 0.002  # keys of answers within this time are made durable with one sync
RESUME_INTERVAL_S = 1.0  # interval of attempts to resume after a disk failure
NOT_KEPT_HEADER = ("Idempotency-Key-Kept", "no")  # states that a restart may forget the answer to this key


class FrontJournal:
    """The durable idempotency keys of one manager."""

    def __init__(self, front, files=None):
        """files: None disables the journal."""
        self.front, self.key_journal, self.timer, self.waiting_answers = front, None, None, []
        unix_time = unix_clock()  # a step of the wall clock does not expire keys of this boot early
        self.unix_s = lambda: unix_time() / SECOND
        if files is None:
            return
        try:
            self.key_journal = KeyJournal(files, self.unix_s())
        except (StoreError, ValueError, OSError) as error:
            # Continues without a journal: a retry after a restart may then start a second viewing.
            front.logger.error("journal not used", detail=str(error))

    def persist(self, viewing, reply, respond):
        """Stores the answer under the viewing's key; False if there is none to store.

        Otherwise returns True, and respond() is called with additional headers once the key is durable or can't be.
        """
        keys = self.front.key_book
        if self.key_journal is None or viewing.id not in keys.by_id:
            return False
        viewer, title, key = keys.by_id[viewing.id]
        status, headers, body = reply
        keep_until = self.unix_s() + keys.retention / SECOND
        offer_digest = xxhash.xxh3_64_intdigest(viewing.offer.body)
        self.key_journal.put(
            AnswerRecord(viewing.name, viewer, title, key, offer_digest, keep_until, status, list(headers), body)
        )
        if self.key_journal.failed():
            respond((NOT_KEPT_HEADER,))
            return True
        self.waiting_answers.append(respond)
        self.schedule(COMMIT_DELAY_S)
        return True

    def viewing_ended(self, name):
        """Records that a viewing is over, with the next write."""
        if self.key_journal is not None and name in self.key_journal.rows:
            self.key_journal.end(name)
            self.schedule(COMMIT_DELAY_S)

    def restore(self, viewing):
        """Restores the stored answer of a viewing that was taken over from an earlier boot."""
        if self.key_journal is not None and (row := self.key_journal.rows.get(viewing.name)):
            remaining = round(
                self.key_journal.renew(viewing.name, self.unix_s(), self.front.key_book.retention / SECOND) * SECOND
            )
            self.front.key_book.restore(
                (row.viewer, row.title, row.key),
                row.print,
                viewing.id,
                (row.status, row.headers, row.body),
                now() + remaining,
            )

    def schedule(self, after_s):
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(after_s, self.commit)

    def commit(self):
        """Sends the answers whose keys are durable now; while the disk fails, at once and marked as not kept."""
        self.timer, waiting, self.waiting_answers = None, self.waiting_answers, []
        is_durable = self.make_durable()
        self.front.failpoints.reach("kept")
        for respond in waiting:
            respond(() if is_durable else (NOT_KEPT_HEADER,))

    def make_durable(self):
        """Writes all pending rows; tells whether they are durable."""
        failed_before = self.key_journal.failed()
        try:
            if failed_before:
                self.key_journal.resume(self.unix_s())
                self.front.logger.info("journal kept again")
            else:
                self.key_journal.commit(self.unix_s())
            return True
        except OSError as error:
            if not failed_before:
                self.front.logger.error("journal failed", detail=str(error))
            self.schedule(RESUME_INTERVAL_S)
            return False

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
            self.commit()
