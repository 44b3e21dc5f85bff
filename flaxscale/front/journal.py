"""The journal of keys at one manager: answers under a key leave when they are durable, many with one sync."""

import asyncio
import time

import xxhash

from ..recovery.journal import KeyJournal, Played
from ..serve.clock import now
from ..store.log import StoreError

COMMIT_S = 0.002  # keys of answers within this are made durable with one sync


class FrontJournal:
    def __init__(self, front, files=None):
        """files: None keeps nothing."""
        self.front, self.kept, self.timer, self.unsaid = front, None, None, []
        if files is None:
            return
        try:
            self.kept = KeyJournal(files, time.time())
        except (StoreError, ValueError, OSError) as bad:
            # Serving goes on without: a retry after a restart may then make a second viewing.
            front.lines.error("journal not used", detail=str(bad))

    def put_down(self, vw, reply, say):
        """True where say() is called once the key is durable; False where there is nothing to wait for."""
        keys = self.front.keys
        if self.kept is None or vw.id not in keys.by_id:
            return False
        viewer, title, key = keys.by_id[vw.id]
        status, headers, body = reply
        self.write(
            lambda: self.kept.put(
                Played(
                    vw.name,
                    viewer,
                    title,
                    key,
                    xxhash.xxh3_64_intdigest(vw.offer.body),
                    time.time() + keys.keep / 10_000,
                    status,
                    list(headers),
                    body,
                )
            )
        )
        self.unsaid.append(say)
        self.soon()
        return True

    def over(self, name):
        """A viewing is over; written with whatever is written next."""
        if self.kept is not None and name in self.kept.rows:
            self.write(lambda: self.kept.over(name))
            self.soon()

    def restore(self, vw):
        """What an earlier life answered for a viewing that was taken up again."""
        if self.kept is not None and (row := self.kept.rows.get(vw.name)):
            left = round((row.until - time.time()) * 10_000)
            self.front.keys.restore(
                (row.viewer, row.title, row.key), row.print, vw.id, (row.status, row.headers, row.body), now() + left
            )

    def write(self, act):
        try:
            act()
        except OSError as bad:
            self.front.lines.error("journal failed", detail=str(bad))
            self.kept = None

    def soon(self):
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(COMMIT_S, self.commit)

    def commit(self):
        self.timer, unsaid, self.unsaid = None, self.unsaid, []
        if self.kept is not None:
            self.write(lambda: self.kept.commit(time.time()))
            self.front.steps.at("kept")
        for say in unsaid:
            say()

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
            self.commit()
