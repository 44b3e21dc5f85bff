"""Stand-ins for the platform round one session manager: bulletin, video servers and viewers, in one event loop.

They follow PROTOCOL.md. Everything that passes is written to the record of the case.
"""

import asyncio
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SETTINGS = {
    "callers": {"marksRetry": True},
    "caps": {
        "cancelling": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "dialTimeoutMs": 250.0,
        "idleCloseMs": 15000.0, "maxRetryAfterMs": 500.0, "mayProbe": False, "openCap": 1000000,
        "parallelTries": False, "peers": True, "retryAfter": True, "streamsPerConn": 1048576, "tryLimit": 5,
    },
    "classes": [
        {"deadlineMs": 3000.0, "effect": "safe", "goalTimeMs": 1500.0, "group": "all", "lateShare": 0.0,
         "name": "dock-live", "repeatWindowMs": 5000.0, "stream": True, "worth": 3.0},
        {"deadlineMs": 3000.0, "effect": "safe", "goalTimeMs": 1500.0, "group": "all", "lateShare": 0.0,
         "name": "boat-tour", "repeatWindowMs": 5000.0, "stream": True, "worth": 1.0},
        {"deadlineMs": 3000.0, "effect": "safe", "goalTimeMs": 800.0, "group": "all", "lateShare": 0.0,
         "name": "route-clip", "repeatWindowMs": 5000.0, "stream": True, "worth": 1.0},
    ],
    "countedBy": "request",
    "discovery": "push",
    "domainType": "streams",
    "flavors": ["std-2core"],
    "loadInfo": {"how": "inline", "names": ["x0"]},
    "me": 0,
    "myZone": 0,
    "objectiveMix": {"whole": 0.5, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.3},
    "obligations": {"drainGraceMs": 1000.0, "fallMs": 1000.0, "graceToAnswerMs": 40.0, "mustAskInMs": 10000.0,
                    "startCapacity": 0.4, "tipMultiple": 3.0, "warmWithinMs": 12000.0},
    "overShareWorth": 0.1,
    "peersTotal": 1,
    "penalties": {"connection": 0.0, "crossZone": 0.022, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.08,
                  "moves": 0.058, "origin": 0.0, "peer": 0.012, "probe": 0.0, "waste": 0.0},
    "periodMs": 10.0,
    "realms": [],
    "specifics": {"cells": 3, "fleetKb": 60888.0, "guard": 0.0, "highestRung": [4, 3, 4], "join": 0.3,
                  "kbPerWeight": 3056.0, "kindSlots": [33], "levelKb": [181.0, 299.0, 494.0, 816.0, 1349.0],
                  "levelWorth": [0.2, 0.43, 0.63, 0.82, 1.0], "licenceCap": [6, 0, 0], "live": [True, False, False],
                  "lowestRung": [1, 0, 0], "scaleByClass": [1.0, 1.0, 0.7], "seenAfterMs": 957.304, "shelves": 3,
                  "stall": 6.0, "switchCostS": 0.6038542101340119, "tellMs": 3500.0, "uplinkKb": 24355.0},
    "tier": 0,
    "tiers": ["media-fleet"],
    "weightSource": "rough",
    "zones": ["boathouse", "office-block", "workshop"],
}
DESC = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


def settings(**changes):
    """A copy of SETTINGS; each change names a section and its new keys."""
    out = json.loads(json.dumps(SETTINGS))
    for section, new in changes.items():
        if isinstance(new, dict):
            out[section].update(new)
        else:
            out[section] = new
    return out


def line(op, call, fields=None, why=None, desc=None):
    row = {"op": op, "call": call, "with": fields or {}}
    if why is not None:
        row["why"] = why
    if desc is not None:
        row["desc"] = desc
    return json.dumps(row).encode() + b"\n"


class Record:
    """The record of a case: one line an event, with the time since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def put(self, who, what, **fields):
        self.file.write(f"{self.now():9.4f} {who:<12} {what:<10} " + json.dumps(fields) + "\n")

    def say(self, text):
        print(text, flush=True)
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Bulletin:
    """The bulletin: keeps numbered events and tells each connection what it has not had, and a number each second."""

    def __init__(self, record):
        self.record, self.events, self.writers, self.port, self.server = record, [], set(), None, None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def add(self, *rows, full=False):
        number = len(self.events) + 1
        event = {"no": number, "roster": {"version": number, "full": full, "servers": list(rows)}}
        self.events.append(event)
        self.record.put("bulletin", "event", no=number, servers=list(rows))
        for writer in self.writers:
            writer.write(json.dumps(event).encode() + b"\n")

    def known(self):
        return {"no": len(self.events), "items": list(self.events)}

    async def serve(self, reader, writer):
        try:
            last = int((await reader.readline()).split()[1])
            self.record.put("bulletin", "asked", after=last)
            for event in self.events[last:]:
                writer.write(json.dumps(event).encode() + b"\n")
            self.writers.add(writer)
            while True:
                writer.write(b"%d\n" % len(self.events))
                await writer.drain()
                await asyncio.sleep(1)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Lines(asyncio.Protocol):
    """One connection that reads JSON lines."""

    def __init__(self, owner):
        self.owner, self.transport, self.unread, self.closed = owner, None, b"", False

    def connection_made(self, transport):
        self.transport = transport
        self.owner.opened(self)

    def data_received(self, data):
        *lines, self.unread = (self.unread + data).split(b"\n")
        for text in lines:
            self.owner.heard(self, json.loads(text))

    def connection_lost(self, exc):
        self.closed = True
        self.owner.lost(self)

    def send(self, data):
        if not self.closed and not self.transport.is_closing():
            self.transport.write(data)
            return True
        return False


class VideoServer:
    """A sound video server: answers a set-up after `setup_s`; keeps what stands; hears releases."""

    def __init__(self, record, number, cell=0, setup_s=0.02):
        self.record, self.number, self.cell, self.setup_s = record, number, cell, setup_s
        self.name, self.id = f"server{number}", f"s-{number:08x}"
        self.connections, self.open, self.standing, self.ran = set(), {}, {}, []
        self.released = {}  # call -> cause, until heard
        self.port = self.server = None

    async def start(self, port=0):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Lines(self), "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, state="SERVING", started=0):
        return {"id": self.id, "addr": f"127.0.0.1:{self.port}", "zone": "boathouse", "kind": "std-2core",
                "cell": self.cell, "state": state, "weight": 2.0, "started_ms": started}

    def opened(self, conn):
        self.connections.add(conn)
        self.record.put(self.name, "connected")
        for call, why in self.released.items():
            conn.send(line("end", call, why=why))

    def lost(self, conn):
        self.connections.discard(conn)
        self.record.put(self.name, "closed")
        for call, (other, timer) in list(self.open.items()):
            if other is conn:
                timer.cancel()
                del self.open[call]
                self.record.put(self.name, "given up", call=call)

    def heard(self, conn, row):
        op, call = row["op"], row.get("call")
        self.record.put(self.name, "hears", **row)
        if op == "offer":
            self.offered(conn, row)
        elif op == "end":
            if call in self.open:
                self.open.pop(call)[1].cancel()
            if self.standing.pop(call, None) is not None:
                self.record.put(self.name, "ends", call=call)
            conn.send(line("ended", call))
        elif op == "ended":
            self.released.pop(call, None)

    def offered(self, conn, row):
        timer = asyncio.get_running_loop().call_later(self.setup_s, self.answer, conn, row)
        self.open[row["call"]] = conn, timer

    def answer(self, conn, row):
        call = row["call"]
        self.open.pop(call, None)
        self.standing[call] = row
        self.ran.append(call)
        self.record.put(self.name, "accepts", call=call)
        conn.send(line("accept", call, {"load": "x0:0.2"}, desc=f"v=0 {self.id} {call}\r\n"))

    def release(self, call, why):
        """Ends a session that stands; said on any open connection and on the next that is opened, until heard."""
        self.standing.pop(call, None)
        self.released[call] = why
        self.record.put(self.name, "releases", call=call, why=why)
        for conn in list(self.connections)[:1]:
            conn.send(line("end", call, why=why))

    async def stop(self):
        self.server.close()
        for conn in list(self.connections):
            conn.transport.abort()


class Viewers:
    """Viewers on one or more connections to the session manager. `seen`: call -> [(time, row)]."""

    numbers = itertools.count(1)

    def __init__(self, record, address, name="viewer"):
        self.record, self.address, self.name = record, address, name
        self.seen, self.sent, self.waiters, self.acks = {}, {}, {}, True
        self.lost_connections = set()

    def opened(self, conn):
        pass

    def lost(self, conn):
        self.lost_connections.add(conn)

    async def connect(self):
        return (await asyncio.get_running_loop().create_connection(lambda: Lines(self), *self.address))[1]

    def heard(self, conn, row):
        self.record.put(self.name, "hears", **row)
        call = row.get("call")
        self.seen.setdefault(call, []).append((self.record.now(), row))
        if row["op"] == "end" and self.acks and any(r["op"] == "accept" for _, r in self.seen[call][:-1]):
            conn.send(line("ended", call))
        if call in self.waiters and not self.waiters[call].done():
            self.waiters[call].set_result(row)

    def ask(self, conn, package="boat-tour", left=3000, key="7f3a9c21e0b4d655", home=0, copies=3, desc=DESC, call=None,
            extras=""):
        number = next(self.numbers)
        call = call or f"{0x9B1F000000000000 + number:016x}"
        fields = {"class": package, "left": str(left), "key": key,
                  "extras": f"home:{home};copies:{copies};top:4;viewer:{number:016x}{extras}"}
        self.sent[call] = self.record.now()
        self.record.put(self.name, "asks", call=call, fields={k: v for k, v in fields.items()}, desc=len(desc))
        conn.send(line("offer", call, fields, desc=desc))
        self.waiters[call] = asyncio.get_running_loop().create_future()
        return call

    async def answer(self, call, seconds):
        """The first message on this call, or None."""
        try:
            return await asyncio.wait_for(asyncio.shield(self.waiters[call]), seconds)
        except asyncio.TimeoutError:
            return None

    def end(self, conn, call, why=16):
        self.record.put(self.name, "ends", call=call)
        conn.send(line("end", call, why=why))


class Manager:
    """One session manager as its own process, started as the deploy file says."""

    def __init__(self, record, folder, bulletin, configuration, sockets=256, memory_mb=192, name="n1"):
        self.record, self.folder, self.bulletin, self.name = record, folder, bulletin, name
        self.settings, self.sockets, self.memory_mb = configuration, sockets, memory_mb
        self.port, self.process = free_port(), None
        self.file = os.path.join(folder, name + ".json")
        self.log = open(os.path.join(folder, name + ".log"), "ab")

    @property
    def address(self):
        return "127.0.0.1", self.port

    def write(self):
        row = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "bulletin": f"127.0.0.1:{self.bulletin.port}", "known": self.bulletin.known(), "settings": self.settings,
        }
        with open(self.file + ".new", "w") as file:
            json.dump(row, file)
        os.replace(self.file + ".new", self.file)

    async def start(self):
        import tomllib

        self.write()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={**os.environ, "BALANCER_NAME": self.name, "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
                 "BALANCER_CONFIG": self.file, "TMPDIR": self.folder},
        )
        self.record.put(self.name, "started", pid=self.process.pid)

    async def ready(self, seconds=20):
        """Waits until a test is passed, as the front does. Raises TimeoutError."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(line("test", "f" * 16, why=0))
                text = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if text and json.loads(text)["op"] == "tested":
                    self.record.put(self.name, "ready")
                    return
            except (OSError, asyncio.TimeoutError, ValueError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError("the session manager is not ready")

    def signal(self, number):
        self.record.put(self.name, "signal", number=int(number))
        self.process.send_signal(number)

    def memory(self):
        """Resident memory, MB of 2**20 bytes."""
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
        except OSError:
            return None

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


def run(main, folder):
    """Runs main(record, temporary folder, trouble) and exits: 0 held, 1 broken, 2 could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"disruption: {'on' if trouble else 'off'}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                broken = asyncio.run(asyncio.wait_for(main(record, temporary, trouble), 115))
            finally:
                for name in sorted(os.listdir(temporary)):
                    if name.endswith(".log"):
                        with open(os.path.join(temporary, name), errors="replace") as file:
                            record.file.write(f"--- {name}\n" + file.read()[-20000:])
    except Exception as error:  # the case could not run
        record.say(f"could not run: {type(error).__name__}: {error}")
        record.file.close()
        sys.exit(2)
    record.say("RULE BROKEN: " + broken if broken else "rule held")
    record.file.close()
    sys.exit(1 if broken else 0)
