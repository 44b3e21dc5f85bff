"""The relay: every way from one process to another leads through a port of its own here. Sockets, on loopback only.

For each pair (a, b) there is a port on which a reaches b: TCP as a pair of connections, datagrams from the port on
which b reaches a, so that b's answer goes by the way from b to a. What a way does is ways.py's to say.
"""

import asyncio
import json
import socket
import struct
from collections import Counter

from ..serve.clock import now
from .chance import Dice
from .ways import CLEAR, Fault, Ways

PIECE = 65_536
BACKLOG = 256 * 1024  # bytes held for a side that reads slowly; then the other is read no more
DIAL_S = 5.0
HELD_MOST = 1_000  # connections that wait, accepted, for a cut way to heal


class Side(asyncio.Protocol):
    """One end of a relayed connection. What comes in here goes by `way`, to the other end."""

    def __init__(self, relay, way, other=None):
        self.relay, self.way, self.other, self.transport = relay, way, other, None
        self.queue, self.timer, self.free_at = [], None, 0.0
        self.ended = self.broken = self.gone = self.stopped = False

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(BACKLOG)
        self.relay.sides.setdefault(self.way, set()).add(self)
        if self.other is None:
            self.relay.accepted(self)

    def data_received(self, data):
        self.relay.counts[self.way, "bytes in"] += len(data)
        self.queue.append((self.due(len(data)), data))
        if sum(len(piece) for _, piece in self.queue) > BACKLOG:
            self.stop_reading()
        self.pass_on()

    def due(self, size):
        """When this much may go on: after what came before it, so that TCP's order stays."""
        state, time = self.relay.ways.of(self.way), now() / 10
        at = time + state.delay_ms + state.jitter_ms * self.relay.dice.draw() if state is not CLEAR else time
        self.free_at = max(self.free_at, at) + size / 1000 / state.kb_s * 1000
        return self.free_at if state is not CLEAR else max(at, self.queue[-1][0] if self.queue else 0.0)

    def pass_on(self):
        """Whatever is due, unless the way is cut: then it waits, and passes once it is healed."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        state = self.relay.ways.of(self.way)
        if "cut" in state.kinds or self.other is None or self.other.transport is None:
            return
        while self.queue and not self.other.gone:
            due, data = self.queue[0]
            wait = due - now() / 10
            if wait > 0.05:
                self.timer = self.relay.loop.call_later(wait / 1000, self.pass_on)
                return
            self.queue.pop(0)
            if "half" in state.kinds:
                data = data[: len(data) // 2]
            self.relay.counts[self.way, "bytes out"] += len(data)
            self.other.transport.write(data)
            if "half" in state.kinds:
                self.relay.loop.call_soon(self.reset)
                return
        if self.stopped and not self.gone:
            self.stopped = False
            self.transport.resume_reading()
        if self.ended and (not self.queue or self.other.gone) and "half_open" not in state.kinds:
            self.other.abort() if self.broken else self.other.finish()
            if self.gone:
                self.relay.sides[self.way].discard(self)

    def stop_reading(self):
        if not self.stopped and not self.gone:
            self.stopped = True
            self.transport.pause_reading()

    def pause_writing(self):
        if self.other is not None:
            self.other.stop_reading()

    def resume_writing(self):
        if self.other is not None and self.other.transport is not None:
            self.other.pass_on()

    def eof_received(self):
        self.ended = True
        if self in self.relay.waiting:  # given up before the way healed: no connection ever came about
            self.transport.close()
            return False
        self.pass_on()
        return True  # the other direction may still have something to say

    def connection_lost(self, error):
        """It stays among the sides until the other has been told of its end, which a way may keep back."""
        self.gone, self.ended, self.broken = True, True, self.broken or error is not None
        self.relay.waiting.pop(self, None)
        if self.other is None:
            self.relay.sides[self.way].discard(self)
        else:
            self.pass_on()

    def finish(self):
        """The other side has said all."""
        if self.transport is not None and not self.gone:
            if self.ended and not self.queue:
                self.transport.close()
            elif self.transport.can_write_eof():
                self.transport.write_eof()

    def abort(self):
        """As a reset: the peer hears that the connection is gone, not that it ended."""
        if self.transport is not None and not self.gone:
            self.gone = True
            raw = self.transport.get_extra_info("socket")
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def reset(self):
        self.broken = True
        self.abort()
        if self.other is not None:
            self.other.abort()


class Datagrams(asyncio.DatagramProtocol):
    """The port on which `way`'s first party reaches its second by datagrams."""

    def __init__(self, relay, way):
        self.relay, self.way, self.transport, self.kept = relay, way, None, []

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        relay, state, dice = self.relay, self.relay.ways.of(self.way), self.relay.dice
        relay.counts[self.way, "datagrams in"] += 1
        relay.came_from[self.way[0]] = addr
        if not state.passes() or state.lose and dice.draw() < state.lose:
            relay.counts[self.way, "datagrams lost"] += 1
            return
        times = 1
        if state.duplicate and dice.draw() < state.duplicate:
            relay.counts[self.way, "datagrams doubled"] += 1
            times = 2
        if state.reorder and dice.draw() < state.reorder:
            self.kept.append((data, times))
            return
        kept, self.kept = self.kept, []
        for text, count in ((data, times), *kept):
            for _ in range(count):
                if state.delay_ms or state.jitter_ms:
                    relay.loop.call_later((state.delay_ms + state.jitter_ms * dice.draw()) / 1000, self.put, text)
                else:
                    self.put(text)

    def put(self, data):
        relay, back = self.relay, self.relay.datagrams.get(self.way[::-1])
        # Who answers datagrams at the address that they came from is reached there; others at their own.
        to = relay.udp_targets.get(self.way[1]) or relay.came_from.get(self.way[1])
        if to is None or back is None or back.transport is None or back.transport.is_closing():
            relay.counts[self.way, "datagrams lost"] += 1
            return
        relay.counts[self.way, "datagrams out"] += 1
        back.transport.sendto(data, to)

    def error_received(self, error):
        pass  # nobody listens there now


class Relay:
    def __init__(self, pairs, seed, record):
        """pairs: ways with a port of their own, first the one who dials: [(from, to)]."""
        self.pairs, self.record, self.dice, self.ways = [tuple(p) for p in pairs], record, Dice(seed, "relay"), Ways()
        self.listeners, self.ports, self.datagrams, self.sides = {}, {}, {}, {}
        self.targets, self.udp_targets, self.came_from = {}, {}, {}
        self.waiting, self.counts, self.tasks = {}, Counter(), set()
        self.loop = None

    async def start(self, host="127.0.0.1"):
        """Returns {"a>b": port}; TCP and datagrams have the same number."""
        self.loop, self.host = asyncio.get_running_loop(), host
        for way in dict.fromkeys(way for a, b in self.pairs for way in ((a, b), (b, a))):
            for tries in range(20):  # one number for both protocols: a free one for TCP may be taken for UDP
                self.ports[way] = await self.listen(way, 0)
                try:
                    _, self.datagrams[way] = await self.loop.create_datagram_endpoint(
                        lambda way=way: Datagrams(self, way), local_addr=(host, self.ports[way])
                    )
                    break
                except OSError:
                    self.listeners.pop(way).close()
                    if tries == 19:
                        raise
        return {f"{a}>{b}": port for (a, b), port in self.ports.items()}

    async def listen(self, way, port):
        self.listeners[way] = await self.loop.create_server(
            lambda: Side(self, way), self.host, port, reuse_address=True, backlog=1024
        )
        return self.listeners[way].sockets[0].getsockname()[1]

    def accepted(self, side):
        """A party has dialled: the other is dialled for it, at once or when the way is healed."""
        state = self.ways.of(side.way)
        if "reset" in state.kinds or side.way[1] not in self.targets or len(self.waiting) >= HELD_MOST:
            side.abort()
        elif "cut" in state.kinds:
            self.waiting[side] = True
        else:
            self.own(self.dial(side))

    def own(self, work):
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def dial(self, side):
        far = Side(self, side.way[::-1], side)
        try:
            async with asyncio.timeout(DIAL_S):
                await self.loop.create_connection(lambda: far, *self.targets[side.way[1]])
        except (OSError, TimeoutError):
            side.abort()
            return
        if side.gone:
            far.abort()
            return
        side.other = far
        side.pass_on()
        far.pass_on()

    # Commands

    def command(self, row):
        """{"target": name, "address": "HOST:PORT", "udp": "HOST:PORT" or none}; {"fault": number, "kind", "value",
        "jitter", "ways": [[from, to]]}; {"heal": number, "ways": [[from, to]] or none for all}; {"count": true}."""
        if "target" in row:
            for key, into in (("address", self.targets), ("udp", self.udp_targets)):
                if row.get(key):
                    host, _, port = row[key].rpartition(":")
                    into[row["target"]] = host, int(port)
        elif "fault" in row:
            ways = [tuple(way) for way in row["ways"]]
            self.changed(
                self.ways.put(row["fault"], Fault(row["kind"], row.get("value", 1.0), row.get("jitter", 0.0)), ways),
                row,
            )
        elif "heal" in row:
            ways = row.get("ways")
            self.changed(self.ways.heal(row["heal"], ways and [tuple(way) for way in ways]), row)
        elif row.get("count"):
            self.tell_counts()
        else:
            raise KeyError("target, fault, heal or count")

    def changed(self, ways, row):
        self.record.put(
            "ways",
            unreached=[f"{a}>{b}" for a, b in self.ways.unreached()],
            struck={f"{a}>{b}": sorted(state.kinds) for (a, b), state in self.ways.states.items()},
            **{key: row[key] for key in ("fault", "heal", "kind") if key in row},
        )
        for way in ways:
            state = self.ways.of(way)
            if "refuse" in state.kinds and way in self.listeners:
                self.listeners.pop(way).close()
            elif "refuse" not in state.kinds and way not in self.listeners and way in self.ports:
                self.own(self.listen(way, self.ports[way]))
            sides = list(self.sides.get(way, ()))
            for side in sides:
                if "reset" in state.kinds:
                    side.reset()
                else:
                    side.pass_on()
            if "cut" not in state.kinds:
                for side in [side for side in self.waiting if side.way == way]:
                    del self.waiting[side]
                    self.accepted(side)

    def tell_counts(self):
        """What came in and went out, by way and sort."""
        rows = {}
        for (way, sort), count in sorted(self.counts.items()):
            rows.setdefault("%s>%s" % way, {})[sort] = count
        self.record.put("passed", ways=json.loads(json.dumps(rows)))

    async def stop(self):
        self.tell_counts()
        for listener in self.listeners.values():
            listener.close()
        for task in list(self.tasks):
            task.cancel()
        for sides in list(self.sides.values()):
            for side in list(sides):
                side.abort()
        for one in self.datagrams.values():
            one.transport.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
