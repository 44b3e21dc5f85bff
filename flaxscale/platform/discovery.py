"""The connection to discovery, reopened when it breaks, stays silent or sends an event that can't be read."""

import asyncio

from ..jsonl.lines import LineBuffer
from .bulletin import UnreadableEvent

# Spans in tenths of a millisecond.
SILENCE_TIMEOUT = 14_000  # the event number is sent each second
SILENCE_TIMEOUT_MAX = 40_000  # events count as delivered after 4 s even if the connection stalls (PROTOCOL)
RETRY_PAUSE = 500  # after the first failed connection, then doubled each time
RETRY_PAUSE_MAX = 8_000

CONNECT_TIMEOUT_SECONDS = 0.5
LINE_BYTES_MAX = 4 * 1024 * 1024  # one event can hold a full list of thousands of servers


class DiscoveryConnection(asyncio.Protocol):
    """One connection. It is used only while it is the current one of its watch; a superseded one is closed unread."""

    def __init__(self, watch):
        self.watch, self.lines, self.transport = watch, LineBuffer(LINE_BYTES_MAX), None

    def connection_made(self, transport):
        self.transport = transport
        if not self.is_current():
            transport.abort()
            return
        transport.write(b"after %d\n" % self.watch.host.bulletin.last_number)

    def is_current(self):
        return self.watch.connection is self

    def data_received(self, data):
        host = self.watch.host
        if not self.is_current():
            return
        # Counts before a line is complete, as a long list may take longer to arrive than event numbers are apart.
        self.watch.received_at = host.now()
        for line in self.lines.feed(data):
            if not self.is_current():
                return
            if not line.strip():
                continue
            try:
                update = host.bulletin.receive(line)
            except UnreadableEvent:
                host.counts["bulletin unreadable"] += 1
                self.watch.drop()
                return
            self.watch.failures = 0
            if update:
                host.apply_list_update(update)
        if self.lines.error and self.is_current():
            self.watch.drop()

    def connection_lost(self, exc):
        if self.is_current():
            self.watch.drop()


class DiscoveryWatch:
    """Keeps one connection to discovery open and reconnects with a growing pause."""

    def __init__(self, host, address):
        self.host, self.address = host, address
        self.connection = None  # the current one, from before it is opened until it is dropped
        self.task = None  # opens the connection
        self.received_at, self.failures, self.retry_at = host.now(), 0, 0

    def start(self):
        if self.connection is None and not self.host.stopped:
            self.connection, self.received_at = DiscoveryConnection(self), self.host.now()
            self.task = self.host.loop.create_task(self.dial(self.connection))

    async def dial(self, connection):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await self.host.connect(lambda: connection, self.address)
        except (OSError, TimeoutError):
            if connection.is_current():
                self.disconnect()
                self.schedule_retry()
            return
        if connection.is_current():
            self.received_at = self.host.now()

    def schedule_retry(self):
        self.failures += 1
        self.retry_at = self.host.now() + min(RETRY_PAUSE << min(self.failures - 1, 6), RETRY_PAUSE_MAX)

    def disconnect(self):
        """Aborts the current connection; data that still arrives on it is ignored."""
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def drop(self):
        """Disconnects after a failure and schedules the next connection."""
        self.disconnect()
        self.host.counts["bulletin lost"] += 1
        if self.failures:
            self.schedule_retry()
        else:  # the connection had delivered an event: reconnect at once, the first time
            self.failures, self.retry_at = 1, self.host.now()

    def change_address(self, address):
        self.disconnect()
        if self.task is not None:
            self.task.cancel()
        self.address, self.failures = address, 0
        self.start()

    def silence_limit(self):
        """How long a connection may be silent; longer after each without an event, as discovery may be overloaded."""
        return min(SILENCE_TIMEOUT << max(0, min(self.failures - 1, 4)), SILENCE_TIMEOUT_MAX)

    def maintain(self, now):
        if self.connection is not None and now - self.received_at > self.silence_limit():
            self.host.counts["bulletin silent"] += 1
            self.drop()
        if self.connection is None and now >= self.retry_at:
            self.start()

    def stop(self):
        self.disconnect()
        if self.task is not None:
            self.task.cancel()
