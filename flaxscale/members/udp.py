"""The members' protocol on a UDP socket: datagrams in and out, one timer, and load reports sent in batches."""

import asyncio
import socket

from ..serve.clock import now
from . import wire
from .swim import Swim

BATCH_DELAY_S = 0.02  # load changes are collected for so long before they are sent
MAX_LOAD_CHANGES = 60  # in one datagram


class MemberSocket(asyncio.DatagramProtocol):
    """One manager as a member, on its socket."""

    def __init__(self, name, serves, boot, seed, keys, log, changed, load_changed, via=None, versions=None):
        """keys: [bytes]; the first signs.

        changed([Update]): called for changes of other members.
        load_changed(sender, box, kB a second): called for load reports.
        versions: gives the rows that are piggybacked on each message, and takes those of others; None: no rows.
        via: {address: the address to send to instead}.
        """
        self.via, self.versions = via or {}, versions
        self.name, self.serves, self.boot, self.seed, self.keys = name, serves, boot, seed, keys
        self.log, self.changed, self.load_changed = log, changed, load_changed
        self.swim, self.transport, self.timer, self.load_changes, self.load_timer = None, None, None, {}, None
        self.refused = 0
        self.muted = False  # set by tests: no datagram is sent or received, as in a partition

    async def start(self, host, port, seeds):
        """Opens the socket; its (host, port). seeds: addresses of other members."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, (host, port), family=socket.AF_INET)
        bound = self.transport.get_extra_info("sockname")
        address = "%s:%d" % bound[:2]
        self.swim = Swim(self.name, address, self.boot, self.seed, now(), serves=self.serves)
        self.swim.join(seeds)
        self.on_timer()
        return bound[:2]

    def on_timer(self):
        """Sends what is due."""
        self.timer = None
        self.send(self.swim.tick(now()))
        self.report_changes()

    def set_timer(self):
        """Sets the timer for the next tick."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(
            max(0.001, (self.swim.due() - now()) / 10_000), self.on_timer
        )

    def report_changes(self):
        """Logs changes of members, hands them to the owner and sets the timer."""
        if changes := self.swim.take_changes():
            for update in changes:
                self.log.info(
                    "member",
                    name=update.name,
                    state=update.state.name.lower(),
                    incarnation=update.incarnation,
                    address=update.address,
                )
            self.changed(changes)
        self.set_timer()

    def send(self, out):
        """Sends messages, each as (address, Message)."""
        for address, message in out:
            if self.versions is not None:
                message = message._replace(held=self.versions.attached_rows(self.swim.count()))
            self.send_datagram(address, wire.encode(message, self.keys[0]))

    def send_datagram(self, address, data):
        """Sends one datagram; none where the socket is muted, closed or the address is not valid."""
        host, _, port = self.via.get(address, address).rpartition(":")
        if not self.muted and self.transport is not None and port.isdigit():
            self.transport.sendto(data, (host, int(port)))

    def datagram_received(self, data, addr):
        """Takes one datagram, and sends the answers to it."""
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
            self.versions.receive_rows(message.held, message.sender)
        self.send(self.swim.receive(message, "%s:%d" % addr[:2], now()))
        self.report_changes()

    def error_received(self, error):
        pass  # a port without a listener: the probe's time-out covers it

    # Load reports: changes of the load that this manager requests of a box

    def report_load(self, box, kb):
        """Reports a change to all members, in kB a second, after BATCH_DELAY_S at most."""
        self.load_changes[box] = self.load_changes.get(box, 0.0) + kb
        if self.load_timer is None:
            self.load_timer = asyncio.get_running_loop().call_later(BATCH_DELAY_S, self.send_load_changes)

    def send_load_changes(self):
        """Sends the collected changes to all members."""
        self.load_timer, changes, self.load_changes = None, list(self.load_changes.items()), {}
        for n in range(0, len(changes), MAX_LOAD_CHANGES):
            data = wire.encode_load(self.name, changes[n : n + MAX_LOAD_CHANGES], self.keys[0])
            for member in self.swim.probe_targets():
                self.send_datagram(member.address, data)

    def leave(self):
        """Announces to all members that this one leaves."""
        self.send(self.swim.leave())

    def rejoin(self):
        """Takes part again after leave()."""
        self.send(self.swim.rejoin())
        self.set_timer()

    def close(self):
        """Closes the socket without announcing it."""
        for timer in (self.timer, self.load_timer):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.close()
