"""The members' protocol on a UDP socket: datagrams in and out, one timer, words gathered for a moment."""

import asyncio
import socket

from ..serve.clock import now
from . import wire
from .swim import Swim

GATHER_S = 0.02  # words to peers wait so long for others
WORDS = 60  # in one datagram


class MemberSocket(asyncio.DatagramProtocol):
    def __init__(self, name, serves, boot, seed, keys, log, changed, load_changed, via=None, versions=None):
        """keys: [bytes], the first signs. changed([Update]); load_changed(sender, box, kB a second): as they are heard.

        versions: gives rows that ride on each message, and hears those of others; None: none.
        via: {address: the address by which we reach it}, where that is another one.
        """
        self.via, self.versions = via or {}, versions
        self.name, self.serves, self.boot, self.seed, self.keys = name, serves, boot, seed, keys
        self.log, self.changed, self.load_changed = log, changed, load_changed
        self.swim, self.transport, self.timer, self.words, self.wording = None, None, None, {}, None
        self.refused = 0
        self.muted = False  # tests: nothing comes or goes, as in a partition

    async def start(self, host, port, seeds):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, (host, port), family=socket.AF_INET)
        bound = self.transport.get_extra_info("sockname")
        address = "%s:%d" % bound[:2]
        self.swim = Swim(self.name, address, self.boot, self.seed, now(), serves=self.serves)
        self.swim.join(seeds)
        self.ring()
        return bound[:2]

    def ring(self):
        self.timer = None
        self.send(self.swim.tick(now()))
        self.hear_changes()

    def set_timer(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(max(0.001, (self.swim.due() - now()) / 10_000), self.ring)

    def hear_changes(self):
        if changes := self.swim.take_changes():
            for news in changes:
                self.log.info(
                    "member",
                    name=news.name,
                    state=news.state.name.lower(),
                    incarnation=news.incarnation,
                    address=news.address,
                )
            self.changed(changes)
        self.set_timer()

    def send(self, out):
        for address, message in out:
            if self.versions is not None:
                message = message._replace(held=self.versions.rides(self.swim.count()))
            self.put(address, wire.encode(message, self.keys[0]))

    def put(self, address, data):
        host, _, port = self.via.get(address, address).rpartition(":")
        if not self.muted and self.transport is not None and port.isdigit():
            self.transport.sendto(data, (host, int(port)))

    def datagram_received(self, data, addr):
        if self.muted or self.swim is None:
            return
        try:
            message = wire.decode(data, self.keys)
        except wire.BadMessage as bad:
            self.refused += 1
            if self.refused in (1, 10, 100) or self.refused % 1000 == 0:
                self.log.warning("member's message refused", detail=str(bad), count=self.refused)
            return
        if isinstance(message, tuple) and message[0] == "word":
            for box, kb in message[2]:
                self.load_changed(message[1], box, kb)
            return
        if self.versions is not None and message.held:
            self.versions.hear(message.held, message.sender)
        self.send(self.swim.receive(message, "%s:%d" % addr[:2], now()))
        self.hear_changes()

    def error_received(self, error):
        pass  # a port without a listener: the probe's time-out says the same

    # Words: what this manager asks of a box has changed

    def report_load(self, box, kb):
        self.words[box] = self.words.get(box, 0.0) + kb
        if self.wording is None:
            self.wording = asyncio.get_running_loop().call_later(GATHER_S, self.tell_now)

    def tell_now(self):
        self.wording, words, self.words = None, list(self.words.items()), {}
        for n in range(0, len(words), WORDS):
            data = wire.encode_load(self.name, words[n : n + WORDS], self.keys[0])
            for member in self.swim.probed():
                self.put(member.address, data)

    def leave(self):
        self.send(self.swim.leave())

    def rejoin(self):
        self.send(self.swim.rejoin())
        self.set_timer()

    def close(self):
        for timer in (self.timer, self.wording):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.close()
