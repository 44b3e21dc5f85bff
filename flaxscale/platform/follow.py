"""The bulletin's connection: one at a time, made anew when it breaks, falls silent or says what can't be read."""

import asyncio

from ..jsonl.lines import Lines
from .bulletin import Unreadable

SILENCE = 14_000  # numbers come each second
WHOLE = 4 * 1024 * 1024  # a whole list may be long
AGAIN, AGAIN_MOST = 500, 8_000  # pause after a connection that failed, doubled each time
DIAL = 0.5


class FeedLine(asyncio.Protocol):
    def __init__(self, follower):
        self.follower, self.lines, self.transport = follower, Lines(WHOLE), None
        self.current = True

    def connection_made(self, transport):
        self.transport = transport
        transport.write(b"after %d\n" % self.follower.host.bulletin.last)

    def data_received(self, data):
        host = self.follower.host
        for line in self.lines.take(data):
            if not self.current:
                return
            if not line.strip():
                continue
            try:
                news = host.bulletin.take(line)
            except Unreadable:
                host.counts["bulletin unreadable"] += 1
                self.follower.drop()
                return
            self.follower.heard_at, self.follower.fails = host.now(), 0
            if news:
                host.hear(news)
        if self.lines.fault and self.current:
            self.follower.drop()

    def connection_lost(self, exc):
        if self.current:
            self.follower.drop()


class Follower:
    def __init__(self, host, address):
        self.host, self.address, self.line, self.dialing = host, address, None, None
        self.heard_at, self.fails, self.due = host.now(), 0, 0

    def start(self):
        if self.dialing is None and not self.host.over:
            self.dialing = self.host.loop.create_task(self.dial(self.address))

    async def dial(self, address):
        try:
            async with asyncio.timeout(DIAL):
                _, line = await self.host.loop.create_connection(lambda: FeedLine(self), *address)
        except (OSError, TimeoutError):
            if address == self.address:
                self.dialing, self.line = None, None
                self.pause()
            return
        if address != self.address or self.host.over:
            line.current = False
            line.transport.abort()
            return
        self.dialing, self.line, self.heard_at = None, line, self.host.now()

    def pause(self):
        self.fails += 1
        self.due = self.host.now() + min(AGAIN << min(self.fails - 1, 6), AGAIN_MOST)

    def hang_up(self):
        if self.line is not None:
            self.line.current = False
            self.line.transport.abort()
            self.line = None

    def drop(self):
        """This connection tells nothing more that counts."""
        self.hang_up()
        self.host.counts["bulletin lost"] += 1
        if self.fails:
            self.pause()
        else:  # it had told something: at once, the first time
            self.fails, self.due = 1, self.host.now()

    def go_to(self, address):
        self.hang_up()
        if self.dialing is not None:
            self.dialing.cancel()
            self.dialing = None
        self.address, self.fails = address, 0
        self.start()

    def tend(self, now):
        if self.line is not None and now - self.heard_at > SILENCE:
            self.host.counts["bulletin silent"] += 1
            self.drop()
        if self.line is None and self.dialing is None and now >= self.due:
            self.start()

    def stop(self):
        self.hang_up()
        if self.dialing is not None:
            self.dialing.cancel()
