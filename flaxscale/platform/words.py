"""Words between managers: datagrams, one change of asking each. What is foreign or broken is dropped and counted."""

import asyncio
import math

from ..site.settings import PEER_WORD

LINKS_MOST = 1e7  # kB a second: no change of one viewing is more


class Words(asyncio.DatagramProtocol):
    def __init__(self, host):
        self.host, self.transport = host, None

    async def start(self, address):
        self.transport, _ = await self.host.loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def datagram_received(self, data, sender):
        config = self.host.config
        if sender not in config.peers or len(data) != PEER_WORD.size:
            self.host.counts["foreign words"] += 1
            return
        peer = config.peers.index(sender)
        if peer == config.terms.me:
            return
        server, kb = PEER_WORD.unpack(data)
        if not math.isfinite(kb) or abs(kb) > LINKS_MOST:
            self.host.counts["foreign words"] += 1
            return
        self.host.counts["words heard"] += 1
        self.host.runner.peer_says(peer, server, kb)

    def error_received(self, exc):
        self.host.counts["words lost"] += 1

    def say(self, data):
        if self.transport is not None and self.host.config.peers_all:
            self.host.counts["words said"] += 1
            self.transport.sendto(data, self.host.config.peers_all)

    def stop(self):
        if self.transport is not None:
            self.transport.close()
