"""The box list stand-in: sends managers full lists and deltas of the running boxes, with versions and optional delay.

Boxes send heartbeats by datagram, with their demand on the rack's uplink, which the list adds up by rack. A box without
heartbeats for a while is gone. The list knows of a box only that its process runs, drains or is gone.
"""

import asyncio
import json

from ..http1 import sse
from ..lab.records import Recorder
from ..serve.clock import now
from ..serve.server import Server

HEARTBEAT_TIMEOUT = 6_000  # tenths of a millisecond without a heartbeat after which a box is gone


class BoxList:
    """The list of boxes and its HTTP server."""

    def __init__(self, uplinks, record=None, change_delay=0):
        """uplinks: kB/s by rack, or one figure for all. change_delay: of each change, in tenths of a millisecond."""
        self.uplinks, self.record, self.change_delay = uplinks, record or Recorder(), change_delay
        self.rows, self.heartbeat_at, self.demands, self.version = {}, {}, {}, 0
        self.history, self.streams, self.timer, self.loop, self.frozen = [], {}, None, None, False
        self.addresses_by_manager = {}  # manager: {box: address}, where managers reach boxes at addresses of their own
        self.server = Server(self.handle)
        self.address, self.udp = None, None

    async def start(self, host="127.0.0.1", port=0):
        """Listens for managers (TCP) and heartbeats (UDP) at one port; returns the address."""
        self.loop = asyncio.get_running_loop()
        for tries in range(20):  # both protocols use one port number, and one that is free for TCP may be used for UDP
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
        """Returns the capacity of a rack's uplink."""
        return self.uplinks.get(rack, 1e9) if isinstance(self.uplinks, dict) else self.uplinks

    def handle_heartbeat(self, row):
        """Takes a box's heartbeat; returns the demand of the other boxes of its rack and the uplink's capacity."""
        id = row["id"]
        self.heartbeat_at[id] = now()
        self.demands[id] = row["rack"], row["kb"]
        others = sum(kb for other, (rack, kb) in self.demands.items() if rack == row["rack"] and other != id)
        old = self.rows.get(id)
        if old is None or any(old[field] != row[field] for field in ("boot", "state", "address", "weight", "cell")):
            self.apply_change([row])
        return {"others": others, "uplink": self.uplink_kb(row["rack"])}

    def expire_silent_boxes(self):
        """Removes boxes without recent heartbeats, and calls itself again."""
        time = now()
        gone = [id for id, at in self.heartbeat_at.items() if time - at > HEARTBEAT_TIMEOUT]
        for id in gone:
            del self.heartbeat_at[id]
            self.demands.pop(id, None)
        if gone:
            self.apply_change([{**self.rows[id], "state": "gone"} for id in gone if id in self.rows])
        self.timer = self.loop.call_later(0.1, self.expire_silent_boxes)

    def apply_change(self, rows):
        """Makes a new version with these rows and schedules its delta for every manager."""
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
        """Returns a box's entry as it is sent to this manager."""
        fields = ("id", "address", "kind", "cell", "zone", "weight", "boot", "state")
        address = self.addresses_by_manager.get(manager, {}).get(str(row["id"]), row["address"])
        return {
            **{field: row[field] for field in fields},
            "address": address,
            "up_ms": row["up_ms"] + (now() - row.get("seen", seen)) / 10,
        }

    def send_delta(self, manager, since, version, rows, seen):
        """Sends one version's changes to a manager; nothing while the list is frozen."""
        stream = self.streams.get(manager)
        if stream is None or self.frozen:
            return
        boxes = [self.list_entry(manager, row, seen) for row in rows]
        self.record.put(
            "told",
            manager=manager,
            kind="delta",
            version=version,
            boxes=[[box["id"], box["state"], box["boot"]] for box in boxes],
        )
        stream.send(sse.encode("delta", json.dumps({"version": version, "since": since, "boxes": boxes}), str(version)))

    def handle(self, exchange):
        """Opens a manager's stream with the deltas that it missed, or with the full list where these aren't kept."""
        request = exchange.request
        if request.method != "GET" or request.target != "/boxes":
            exchange.refuse(404, "Nothing here", "the list is at /boxes")
            return
        name = request.headers.get("flaxscale-manager", "")
        since = request.headers.get("last-event-id", "")
        exchange.stream([("Content-Type", "text/event-stream")])
        self.streams[name] = exchange
        exchange.on_disconnect = lambda: self.streams.pop(name, None) if self.streams.get(name) is exchange else None
        missed = [change for change in self.history if since.isdigit() and change[0] >= int(since)]
        if since.isdigit() and int(since) == self.version:
            return
        if missed and missed[0][0] == int(since):
            for change in missed:
                self.send_delta(name, *change)
            return
        rows = [self.list_entry(name, row, now()) for row in self.rows.values()]
        self.record.put(
            "told",
            manager=name,
            kind="full",
            version=self.version,
            boxes=[[box["id"], box["state"], box["boot"]] for box in rows],
        )
        exchange.send(sse.encode("full", json.dumps({"version": self.version, "boxes": rows}), str(self.version)))

    def command(self, row):
        """Changes the list's behaviour from now on.

        {"late_ms": n}: delay of changes. {"frozen": true}: sends nothing until it is false again, then everything.
        {"ways": {manager: {box: address}}}: addresses by manager. {"rack": n, "uplink": kb}: capacity of an uplink.
        """
        if "ways" in row:
            self.addresses_by_manager = row["ways"]
        if "late_ms" in row:
            self.change_delay = round(row["late_ms"] * 10)
        if "frozen" in row:
            was, self.frozen = self.frozen, bool(row["frozen"])
            if was and not self.frozen:
                for exchange in list(self.streams.values()):
                    exchange.end()  # managers reconnect and get the changes that they missed
        if "uplink" in row:
            self.uplinks = {
                **(self.uplinks if isinstance(self.uplinks, dict) else {}),
                int(row["rack"]): float(row["uplink"]),
            }
        self.record.put("command", **row)


class HeartbeatProtocol(asyncio.DatagramProtocol):
    """Receives heartbeats and answers them."""

    def __init__(self, owner):
        self.owner = owner

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.transport.sendto(json.dumps(self.owner.handle_heartbeat(json.loads(data))).encode(), addr)
