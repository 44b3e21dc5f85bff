"""Messages between managers: datagrams, one change of load each. What is foreign or broken is dropped and counted.

Nothing rests on a message that arrives, so no error of the datagram socket may end anything: without the socket the
manager serves on, and tries to open it again.
"""

import asyncio
import math

from ..site.settings import PEER_MESSAGE

LINKS_MOST = 1e7  # kB a second: no change of one session is more
OPEN_AGAIN = 10_000  # tenths of a millisecond between two tries to open the socket


class PeerMessages(asyncio.DatagramProtocol):
    def __init__(self, host, address):
        self.host, self.address, self.transport = host, address, None
        self.opening, self.open_again_at = False, 0

    async def start(self):
        """Opens the socket; where that fails, tend() tries again."""
        if self.address is None or self.opening:
            return
        self.opening = True
        try:
            self.transport, _ = await self.host.loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        except OSError as error:
            self.open_again_at = self.host.now() + OPEN_AGAIN
            self.host.said("local error", call="datagram socket", error=str(error))
        finally:
            self.opening = False

    def tend(self, now):
        if self.transport is None and self.address is not None and not self.opening and now >= self.open_again_at:
            self.host.keep(self.start())

    def datagram_received(self, data, sender):
        config = self.host.config
        peer = config.peer_numbers.get(sender)
        if peer is None or len(data) != PEER_MESSAGE.size:
            self.host.counts["foreign words"] += 1
            return
        if peer == config.terms.manager_number:
            return
        server, kb = PEER_MESSAGE.unpack(data)
        if not math.isfinite(kb) or abs(kb) > LINKS_MOST:
            self.host.counts["foreign words"] += 1
            return
        self.host.counts["words heard"] += 1
        self.host.runner.peer_load_changed(peer, server, kb)

    def error_received(self, exc):
        self.host.counts["words lost"] += 1

    def connection_lost(self, exc):
        self.transport = None
        self.open_again_at = self.host.now() + OPEN_AGAIN
        if self.host.over:
            self.address = None

    def say(self, data):
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
