"""What one session manager of the platform needs as the list of servers grows, its own traffic staying the same.

    python -m bench.growth [--servers 200 800 3200] [--seconds 20] [--rate 20]

Starts `flaxscale platform` as a process for each size, with that many stand-in servers on loopback ports, a stand-in of
discovery and one client. Servers are replaced at a steady pace, a fortieth of them over the run. Prints processor time
after the start, peak memory, descriptors, connections to servers and what was served, and each as a ratio of the first.
"""

import argparse
import asyncio
import json
import os
import pathlib
import resource
import sys
import tempfile
import time
from typing import NamedTuple

STARTUP_S = 30
SESSION_S = 2.0  # a session plays so long, then its server releases it
COPIES = 5  # cells in a row that hold a title
SERVERS_A_CELL = 5
REPLACED = 40  # one of so many servers is replaced during a run
DESCRIPTION = "v=0\r\nc=IN IP4 127.0.0.1\r\n"


class Figures(NamedTuple):
    """Of one run."""

    servers: int
    cpu_s: float
    peak_mb: float
    descriptors: int
    connections: int
    served: float


def message(operation, call, why=None, description=None, **fields):
    row = {"op": operation, "call": call, "with": fields}
    if why is not None:
        row["why"] = why
    if description is not None:
        row["desc"] = description
    return json.dumps(row).encode() + b"\n"


class Lines(asyncio.Protocol):
    """A connection of a stand-in; subclasses get each line as an object."""

    def connection_made(self, transport):
        self.transport, self.rest = transport, b""

    def say(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data):
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.heard(line)


class ServerSide(Lines):
    """A server that answers each set-up and releases it after a while."""

    made = 0

    def connection_made(self, transport):
        super().connection_made(transport)
        ServerSide.made += 1

    def heard(self, line):
        row = json.loads(line)
        if row["op"] == "offer":
            self.say(message("accept", row["call"], description=DESCRIPTION))
            asyncio.get_running_loop().call_later(SESSION_S, self.release, row["call"])
        elif row["op"] == "end":
            self.say(message("ended", row["call"]))

    def release(self, call):
        self.say(message("end", call, why=16))


class ClientSide(Lines):
    """One client, which counts what was served."""

    served = refused = 0

    def heard(self, line):
        row = json.loads(line)
        if row["op"] == "accept":
            self.served += 1
        elif row["op"] == "end":
            self.refused += row["why"] != 16
            self.say(message("ended", row["call"]))


class DiscoverySide(Lines):
    connected = None

    def heard(self, line):
        DiscoverySide.connected = self


def settings(servers):
    """Of a made-up deployment; capacity for each manager stays the same, so that there are more managers."""
    cells = servers // SERVERS_A_CELL
    return {
        "me": 0,
        "peersTotal": max(1, servers // 10),
        "myZone": 0,
        "zones": ["here"],
        "flavors": ["std"],
        "classes": [
            {
                "name": "clip",
                "goalTimeMs": 800.0,
                "deadlineMs": 2000.0,
                "worth": 1.0,
                "effect": "safe",
                "group": "all",
                "repeatWindowMs": 5000.0,
            }
        ],
        "specifics": {
            "lowestRung": [0],
            "highestRung": [2],
            "scaleByClass": [1.0],
            "licenceCap": [0],
            "live": [False],
            "levelKb": [200.0, 400.0, 800.0],
            "levelWorth": [0.3, 0.6, 1.0],
            "switchCostS": 0.5,
            "stall": 6.0,
            "join": 1,
            "cells": cells,
            "shelves": max(1, servers // 8),
            "kindSlots": [40],
            "kbPerWeight": 10000.0,
            "uplinkKb": 80000.0,
            "guard": 0,
            "seenAfterMs": 900.0,
            "tellMs": 3000.0,
        },
        "obligations": {
            "drainGraceMs": 1000.0,
            "warmWithinMs": 5000.0,
            "startCapacity": 0.4,
            "tipMultiple": 3.0,
            "fallMs": 1000.0,
            "mustAskInMs": 9000.0,
        },
        "caps": {
            "tryLimit": 4,
            "cancelling": True,
            "retryAfter": True,
            "maxRetryAfterMs": 500.0,
            "peers": False,
            "mayProbe": False,
            "dialTimeoutMs": 250.0,
            "idleCloseMs": 15000.0,
        },
        "penalties": {"crossZone": 0.0, "moves": 0.1, "lateFail": 0.0, "peer": 0.0, "probe": 0.0, "handshake": 0.05},
        "objectiveMix": {"whole": 1.0, "worstWindow": 0.0, "worstClass": 0.0},
        "loadInfo": {"how": "inline", "names": ["x0"]},
        "weightSource": "nominal",
    }


def listed(number, port, cell, state="SERVING", started=0):
    return {
        "id": f"s-{number:08x}",
        "addr": f"127.0.0.1:{port}",
        "zone": "here",
        "kind": "std",
        "cell": cell,
        "state": state,
        "weight": 1,
        "started_ms": started,
    }


def figures_of(pid):
    """(processor seconds, peak MB, descriptors) of a process now."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    peak = next(int(row.split()[1]) for row in status.splitlines() if row.startswith("VmHWM"))
    return cpu, peak / 1024, len(os.listdir(f"/proc/{pid}/fd"))


class Run:
    """One size."""

    def __init__(self, servers, seconds, rate):
        self.servers, self.seconds, self.rate = servers, seconds, rate
        self.asked = self.descriptors = 0

    async def measure(self):
        self.loop = asyncio.get_running_loop()
        ServerSide.made = 0
        protocols = [self.server_protocol(number + 1) for number in range(self.servers)]
        listeners = [await self.loop.create_server(protocol, "127.0.0.1", 0) for protocol in protocols]
        self.ports = [one.sockets[0].getsockname()[1] for one in listeners]
        discovery = await self.loop.create_server(DiscoverySide, "127.0.0.1", 0)
        with tempfile.TemporaryDirectory() as folder:
            try:
                return await self.with_manager(folder, discovery.sockets[0].getsockname()[1])
            finally:
                for one in [*listeners, discovery]:
                    one.close()

    def server_protocol(self, number):
        """The factory of the connections of one server."""
        return ServerSide

    async def with_manager(self, folder, discovery_port):
        probe = await self.loop.create_server(Lines, "127.0.0.1", 0)
        address = probe.sockets[0].getsockname()
        probe.close()
        await probe.wait_closed()
        config = pathlib.Path(folder, "config.json")
        config.write_text(json.dumps(self.configuration(address, discovery_port)))
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flaxscale",
            "platform",
            env={**os.environ, "BALANCER_CONFIG": str(config)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            await asyncio.wait_for(self.ready(child), STARTUP_S)
            return await self.load(child, address)
        finally:
            child.kill()
            await child.wait()

    def configuration(self, address, discovery_port):
        rows = [listed(n + 1, port, n // SERVERS_A_CELL) for n, port in enumerate(self.ports)]
        roster = {"version": 1, "full": True, "servers": rows}
        return {
            "name": "n0",
            "listen": "%s:%d" % address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
            "bulletin": f"127.0.0.1:{discovery_port}",
            "known": {"no": 1, "items": [{"no": 1, "roster": roster}]},
            "settings": settings(self.servers),
        }

    @staticmethod
    async def ready(child):
        while b'"serves"' not in (line := await child.stderr.readline()):
            if not line:
                raise RuntimeError("the manager ended")
        asyncio.ensure_future(drain(child.stderr))

    async def load(self, child, address):
        _, client = await self.loop.create_connection(ClientSide, *address)
        cpu_before, _, _ = figures_of(child.pid)
        began, replaced = time.monotonic(), 0
        while (passed := time.monotonic() - began) < self.seconds:
            while self.asked < passed * self.rate:
                self.ask(client)
            while replaced < passed / self.seconds * self.servers / REPLACED:
                self.replace(replaced)
                replaced += 1
            self.descriptors = max(self.descriptors, figures_of(child.pid)[2])
            await asyncio.sleep(0.02)
        cpu, peak, _ = figures_of(child.pid)
        served = client.served / max(1, client.served + client.refused)
        return Figures(self.servers, cpu - cpu_before, peak, self.descriptors, ServerSide.made, served)

    def ask(self, client):
        self.asked += 1
        home = self.asked * 7 % (self.servers // SERVERS_A_CELL)
        client.transport.write(
            message(
                "offer",
                f"{self.asked:016x}",
                description=DESCRIPTION,
                **{
                    "class": "clip",
                    "left": "2000",
                    "key": f"{home:x}",
                    "extras": f"home:{home};copies:{COPIES};top:2;viewer:{self.asked:x}",
                },
            )
        )

    def replace(self, n):
        """One server goes, another comes at its address; numbers follow those of the configuration."""
        if DiscoverySide.connected is None:
            return
        cell = n // SERVERS_A_CELL
        rows = [
            listed(n + 1, self.ports[n], cell, "DELETED"),
            listed(100_000 + n, self.ports[n], cell, started=time.time() * 1000),
        ]
        event = {"no": n + 2, "roster": {"version": n + 2, "full": False, "servers": rows}}
        DiscoverySide.connected.transport.write(json.dumps(event).encode() + b"\n")


async def drain(stream):
    while await stream.readline():
        pass


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--servers", type=int, nargs="+", default=[200, 800, 3200])
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--rate", type=float, default=20, help="set-ups a second")
    args = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65_536), hard))
    rows = [asyncio.run(Run(count, args.seconds, args.rate).measure()) for count in args.servers]
    print("servers  cpu s  peak MB  descriptors  connections  served")
    for row in rows:
        print(
            f"{row.servers:7} {row.cpu_s:6.2f} {row.peak_mb:8.1f} {row.descriptors:12} "
            f"{row.connections:12} {row.served:7.3f}"
        )
    for row in rows[1:]:
        ratios = [b / a if a else 0 for a, b in zip(rows[0][1:], row[1:])]
        print(f"{row.servers:7} as ratios: " + " ".join(f"{ratio:.2f}" for ratio in ratios))


if __name__ == "__main__":
    main()
