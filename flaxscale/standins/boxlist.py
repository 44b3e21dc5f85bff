"""The box list stand-in: who runs, told to managers as full lists and deltas with versions, late on demand.

Boxes tell by datagram that they run (and what they ask of their rack's uplink, which is shared here); a box not
heard of for a while is gone. The list knows no more of a box than that its process runs, drains or is gone.
"""

import asyncio
import json

from ..http1 import sse
from ..lab.records import Recorder
from ..serve.clock import now
from ..serve.server import Server

HEARTBEAT_TIMEOUT = 6_000  # a box that was silent so long is gone


class BoxList:
    def __init__(self, uplinks, record=None, change_delay=0):
        """uplinks: kB a second by rack, or one figure for all. late: tenths until a change is told."""
        self.uplinks, self.record, self.change_delay = uplinks, record or Recorder(), change_delay
        self.rows, self.heartbeat_at, self.demands, self.version = {}, {}, {}, 0
        self.history, self.streams, self.timer, self.loop, self.frozen = [], {}, None, None, False
        self.addresses_by_manager = {}  # manager: {box: address}, where each reaches boxes by its own way
        self.server = Server(self.handle)
        self.address, self.udp = None, None

    async def start(self, host="127.0.0.1", port=0):
        self.loop = asyncio.get_running_loop()
        for tries in range(20):  # one number for both protocols: a free one for TCP may be taken for UDP
            self.address = await self.server.listen(host, port)
            try:
                self.udp, _ = await self.loop.create_datagram_endpoint(
                    lambda: HeartbeatProtocol(self), local_addr=self.address
                )
                break
            except OSError:
                if port or tries == 19:
                    raise
                await self.server.stop()
                self.server.stopping = False
        self.expire_silent_boxes()
        return self.address

    def uplink_kb(self, rack):
        return self.uplinks.get(rack, 1e9) if isinstance(self.uplinks, dict) else self.uplinks

    def handle_heartbeat(self, row):
        id = row["id"]
        self.heartbeat_at[id] = now()
        self.demands[id] = row["rack"], row["kb"]
        others = sum(kb for o, (rack, kb) in self.demands.items() if rack == row["rack"] and o != id)
        old = self.rows.get(id)
        if old is None or any(old[k] != row[k] for k in ("boot", "state", "address", "weight", "cell")):
            self.apply_change([row])
        return {"others": others, "uplink": self.uplink_kb(row["rack"])}

    def expire_silent_boxes(self):
        time = now()
        gone = [id for id, at in self.heartbeat_at.items() if time - at > HEARTBEAT_TIMEOUT]
        for id in gone:
            del self.heartbeat_at[id]
            self.demands.pop(id, None)
        if gone:
            self.apply_change([{**self.rows[id], "state": "gone"} for id in gone if id in self.rows])
        self.timer = self.loop.call_later(0.1, self.expire_silent_boxes)

    def apply_change(self, rows):
        since, self.version = self.version, self.version + 1
        for row in rows:
            if row["state"] == "gone":
                self.rows.pop(row["id"], None)
            else:
                self.rows[row["id"]] = {**row, "seen": now()}
        self.history.append((since, self.version, rows, now()))
        del self.history[:-2000]
        for manager in list(self.streams):
            self.loop.call_later(self.change_delay / 10_000, self.send_delta, manager, since, self.version, rows, now())

    def list_entry(self, manager, row, seen):
        keys = ("id", "address", "kind", "cell", "zone", "weight", "boot", "state")
        address = self.addresses_by_manager.get(manager, {}).get(str(row["id"]), row["address"])
        return {
            **{k: row[k] for k in keys},
            "address": address,
            "up_ms": row["up_ms"] + (now() - row.get("seen", seen)) / 10,
        }

    def send_delta(self, manager, since, version, rows, seen):
        stream = self.streams.get(manager)
        if stream is None or self.frozen:
            return
        boxes = [self.list_entry(manager, row, seen) for row in rows]
        self.record.put(
            "told",
            manager=manager,
            kind="delta",
            version=version,
            boxes=[[b["id"], b["state"], b["boot"]] for b in boxes],
        )
        stream.send(sse.encode("delta", json.dumps({"version": version, "since": since, "boxes": boxes}), str(version)))

    def handle(self, exchange):
        request = exchange.request
        if request.method != "GET" or request.target != "/boxes":
            exchange.refuse(404, "Nothing here", "the list is at /boxes")
            return
        name = request.headers.get("flaxscale-manager", "")
        since = request.headers.get("last-event-id", "")
        exchange.stream([("Content-Type", "text/event-stream")])
        self.streams[name] = exchange
        exchange.gone = lambda: self.streams.pop(name, None) if self.streams.get(name) is exchange else None
        kept = [h for h in self.history if since.isdigit() and h[0] >= int(since)]
        if since.isdigit() and int(since) == self.version:
            return
        if kept and kept[0][0] == int(since):
            for h in kept:
                self.send_delta(name, *h)
            return
        rows = [self.list_entry(name, row, now()) for row in self.rows.values()]
        self.record.put(
            "told",
            manager=name,
            kind="full",
            version=self.version,
            boxes=[[b["id"], b["state"], b["boot"]] for b in rows],
        )
        exchange.send(sse.encode("full", json.dumps({"version": self.version, "boxes": rows}), str(self.version)))

    def command(self, row):
        """{"late_ms": n} from now on; {"frozen": true} tells nothing until it is false again (then all is told).

        {"ways": {manager: {box: address}}}: each asker's own addresses.
        """
        if "ways" in row:
            self.addresses_by_manager = row["ways"]
        if "late_ms" in row:
            self.change_delay = round(row["late_ms"] * 10)
        if "frozen" in row:
            was, self.frozen = self.frozen, bool(row["frozen"])
            if was and not self.frozen:
                for exchange in list(self.streams.values()):
                    exchange.end()  # they come again and get what they missed
        if "uplink" in row:
            self.uplinks = {
                **(self.uplinks if isinstance(self.uplinks, dict) else {}),
                int(row["rack"]): float(row["uplink"]),
            }
        self.record.put("command", **row)


class HeartbeatProtocol(asyncio.DatagramProtocol):
    def __init__(self, owner):
        self.owner = owner

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.transport.sendto(json.dumps(self.owner.handle_heartbeat(json.loads(data))).encode(), addr)
