"""Peer messages: datagrams with one load change each. Invalid and foreign messages are dropped and counted.

Nothing depends on the arrival of a message, so errors of the datagram socket end nothing: the manager serves without
the socket and tries to open it again.
"""

import asyncio
import math

from ..site.settings import PEER_MESSAGE

KB_PER_SECOND_MAX = 1e7  # kB/s; no load change of one session is larger
REOPEN_PAUSE = 10_000  # tenths of a millisecond between two attempts to open the socket


class PeerMessages(asyncio.DatagramProtocol):
    """Sends and receives peer messages."""

    def __init__(self, host, address):
        self.host, self.address, self.transport = host, address, None
        self.opening, self.reopen_at = False, 0

    async def start(self):
        """Opens the socket; if that fails, maintain() retries."""
        if self.address is None or self.opening:
            return
        self.opening = True
        try:
            self.transport, _ = await self.host.loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        except OSError as error:
            self.reopen_at = self.host.now() + REOPEN_PAUSE
            self.host.count_and_log("local error", call="datagram socket", error=str(error))
        finally:
            self.opening = False

    def maintain(self, now):
        if self.transport is None and self.address is not None and not self.opening and now >= self.reopen_at:
            self.host.start_task(self.start())

    def datagram_received(self, data, sender):
        config = self.host.config
        peer = config.peer_numbers.get(sender)
        if peer is None or len(data) != PEER_MESSAGE.size:
            self.host.counts["foreign words"] += 1
            return
        if peer == config.terms.manager_number:
            return
        server, kb = PEER_MESSAGE.unpack(data)
        if not math.isfinite(kb) or abs(kb) > KB_PER_SECOND_MAX:
            self.host.counts["foreign words"] += 1
            return
        self.host.counts["words heard"] += 1
        self.host.runner.peer_load_changed(peer, server, kb)

    def error_received(self, exc):
        self.host.counts["words lost"] += 1

    def connection_lost(self, exc):
        self.transport = None
        self.reopen_at = self.host.now() + REOPEN_PAUSE
        if self.host.stopped:
            self.address = None

    def send(self, data):
        if self.transport is None or self.transport.is_closing() or not self.host.config.peers_all:
            return
        self.host.counts["words said"] += 1
        try:
            self.transport.sendto(data, self.host.config.peers_all)
        except OSError:
            self.host.counts["words lost"] += 1

    def stop(self):
        self.address = None
        if self.transport is not None:
            self.transport.close()
