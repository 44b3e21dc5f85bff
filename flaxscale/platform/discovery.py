"""The connection to discovery: one at a time, made anew when it breaks, falls silent or says what can't be read."""

import asyncio

from ..jsonl.lines import LineBuffer
from .bulletin import Unreadable

# Spans in tenths of a millisecond.
SILENCE = 14_000  # numbers come each second
SILENCE_MOST = 40_000  # what an open connection that stopped would have told counts as told 4 s later (PROTOCOL)
AGAIN, AGAIN_MOST = 500, 8_000  # pause after a connection that failed, doubled each time
DIAL_SECONDS = 0.5
LINE_MOST = 4 * 1024 * 1024  # bytes of one event: a whole list of thousands of servers is long


class DiscoveryConnection(asyncio.Protocol):
    """One connection. It counts only while it is its watch's current one; a late one is closed unheard."""

    def __init__(self, watch):
        self.watch, self.lines, self.transport = watch, LineBuffer(LINE_MOST), None

    def connection_made(self, transport):
        self.transport = transport
        if not self.current():
            transport.abort()
            return
        transport.write(b"after %d\n" % self.watch.host.bulletin.last)

    def current(self):
        return self.watch.connection is self

    def data_received(self, data):
        host = self.watch.host
        if not self.current():
            return
        self.watch.heard_at = host.now()  # a long list may take longer to arrive than numbers are apart
        for line in self.lines.feed(data):
            if not self.current():
                return
            if not line.strip():
                continue
            try:
                news = host.bulletin.take(line)
            except Unreadable:
                host.counts["bulletin unreadable"] += 1
                self.watch.drop()
                return
            self.watch.fails = 0
            if news:
                host.hear(news)
        if self.lines.error and self.current():
            self.watch.drop()

    def connection_lost(self, exc):
        if self.current():
            self.watch.drop()


class DiscoveryWatch:
    def __init__(self, host, address):
        self.host, self.address = host, address
        self.connection = None  # the current one, from before it is dialled until it is dropped
        self.task = None  # dials it
        self.heard_at, self.fails, self.due = host.now(), 0, 0

    def start(self):
        if self.connection is None and not self.host.over:
            self.connection, self.heard_at = DiscoveryConnection(self), self.host.now()
            self.task = self.host.loop.create_task(self.dial(self.connection))

    async def dial(self, connection):
        try:
            async with asyncio.timeout(DIAL_SECONDS):
                await self.host.connect(lambda: connection, self.address)
        except (OSError, TimeoutError):
            if connection.current():
                self.hang_up()
                self.pause()
            return
        if connection.current():
            self.heard_at = self.host.now()

    def pause(self):
        self.fails += 1
        self.due = self.host.now() + min(AGAIN << min(self.fails - 1, 6), AGAIN_MOST)

    def hang_up(self):
        """Whatever the current connection still brings counts no longer."""
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

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
        if self.task is not None:
            self.task.cancel()
        self.address, self.fails = address, 0
        self.start()

    def silence(self):
        """How long a connection may say nothing: longer after each that told nothing, as for a crowded service."""
        return min(SILENCE << max(0, min(self.fails - 1, 4)), SILENCE_MOST)

    def tend(self, now):
        if self.connection is not None and now - self.heard_at > self.silence():
            self.host.counts["bulletin silent"] += 1
            self.drop()
        if self.connection is None and now >= self.due:
            self.start()

    def stop(self):
        self.hang_up()
        if self.task is not None:
            self.task.cancel()
