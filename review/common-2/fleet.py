"""Stand-ins for the cases 6 and later: media servers, viewers, the bulletin; and the session manager as a process.

They follow the protocol page of the session manager's platform (JSON lines over TCP). All run in one event loop, on
loopback addresses, on free ports. What passes on the sockets goes to record.txt in the case's folder, one line each.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DESC = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The settings of a deployment like nahar-boat-media: the figures of the wire page's example and of the site file.
SETTINGS = {
    "callers": {"marksRetry": True},
    "caps": {
        "cancelling": True,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 500000,
        "dialTimeoutMs": 250.0,
        "idleCloseMs": 15000.0,
        "maxRetryAfterMs": 500.0,
        "mayProbe": False,
        "openCap": 1000000,
        "parallelTries": False,
        "peers": False,
        "retryAfter": True,
        "streamsPerConn": 32,
        "tryLimit": 5,
    },
    "classes": [
        {
            "deadlineMs": 3000.0,
            "effect": "safe",
            "goalTimeMs": 1500.0,
            "group": "all",
            "lateShare": 0.0,
            "name": "dock-live",
            "repeatWindowMs": 5000.0,
            "stream": True,
            "worth": 3.0,
        },
        {
            "deadlineMs": 3000.0,
            "effect": "safe",
            "goalTimeMs": 1500.0,
            "group": "all",
            "lateShare": 0.0,
            "name": "boat-tour",
            "repeatWindowMs": 5000.0,
            "stream": True,
            "worth": 1.0,
        },
        {
            "deadlineMs": 3000.0,
            "effect": "safe",
            "goalTimeMs": 800.0,
            "group": "all",
            "lateShare": 0.0,
            "name": "route-clip",
            "repeatWindowMs": 5000.0,
            "stream": True,
            "worth": 1.0,
        },
    ],
    "countedBy": "request",
    "discovery": "push",
    "domainType": "streams",
    "flavors": ["std-2core"],
    "loadInfo": {"how": "inline", "names": ["x0"]},
    "me": 0,
    "myZone": 0,
    "objectiveMix": {"whole": 0.5, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.3},
    "obligations": {
        "drainGraceMs": 1000.0,
        "fallMs": 1000.0,
        "graceToAnswerMs": 40.0,
        "mustAskInMs": 10000.0,
        "startCapacity": 0.4,
        "tipMultiple": 3.0,
        "warmWithinMs": 12000.0,
    },
    "overShareWorth": 0.1,
    "peersTotal": 1,
    "penalties": {
        "connection": 0.0,
        "crossZone": 0.022,
        "discovery": 0.0,
        "handshake": 0.0,
        "lateFail": 0.08,
        "moves": 0.058,
        "origin": 0.0,
        "peer": 0.012,
        "probe": 0.0,
        "waste": 0.0,
    },
    "periodMs": 10.0,
    "realms": [],
    "specifics": {
        "cells": 12,
        "fleetKb": 60888.0,
        "guard": 0.0,
        "highestRung": [4, 3, 4],
        "join": 0.3,
        "kbPerWeight": 30560.0,
        "kindSlots": [33],
        "levelKb": [181.0, 299.0, 494.0, 816.0, 1349.0],
        "levelWorth": [0.2, 0.43, 0.63, 0.82, 1.0],
        "licenceCap": [6, 0, 0],
        "live": [True, False, False],
        "lowestRung": [1, 0, 0],
        "scaleByClass": [1.0, 1.0, 0.7],
        "seenAfterMs": 957.3,
        "shelves": 3,
        "stall": 6.0,
        "switchCostS": 0.6,
        "tellMs": 3500.0,
        "uplinkKb": 243550.0,
    },
    "tier": 0,
    "tiers": ["media-fleet"],
    "weightSource": "rough",
    "zones": ["boathouse", "office-block", "workshop"],
}


def settings(**changes):
    """A copy of SETTINGS; changes: {"caps.idleCloseMs": 5000, ...} with the dots written as two underscores."""
    row = json.loads(json.dumps(SETTINGS))
    for path, value in changes.items():
        *folders, key = path.split("__")
        place = row
        for folder in folders:
            place = place[folder]
        place[key] = value
    return row


def line(op, call="", why=None, desc=None, **fields):
    row = {"op": op, "call": call, "with": fields}
    if why is not None:
        row["why"] = why
    if desc is not None:
        row["desc"] = desc
    return json.dumps(row).encode() + b"\n"


def free_port(host="127.0.0.1"):
    """A free port below those that the system gives to outgoing connections, so that none of these takes it."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


class Record:
    """record.txt: one line for everything that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started = time.time()
        self.write("run", trouble=TROUBLE)

    def now(self):
        return time.time() - self.started

    def write(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


class Lines(asyncio.Protocol):
    """A connection of a stand-in that speaks JSON lines."""

    def __init__(self, owner):
        self.owner, self.transport, self.partial, self.open = owner, None, b"", False

    def connection_made(self, transport):
        self.transport, self.open = transport, True
        self.owner.connected(self)

    def connection_lost(self, exc):
        self.open = False
        self.owner.disconnected(self, exc)

    def data_received(self, data):
        *lines, self.partial = (self.partial + data).split(b"\n")
        for text in lines:
            self.owner.received(self, text)

    def send(self, data):
        if self.open and not self.transport.is_closing():
            self.transport.write(data)
            return True
        return False


class Server:
    """A sound media server of the protocol page.

    setup_s: how long a set-up takes. It answers, keeps what stands until it is released or over, and sends a release
    on the set-up's connection, else on any open one, and on the next connection that is opened.
    """

    def __init__(self, fleet, number, cell, setup_s=0.02, host="127.0.0.1"):
        self.fleet, self.number, self.cell, self.setup_s, self.host = fleet, number, cell, setup_s, host
        self.connections, self.setting_up, self.standing = [], {}, {}
        self.unheard = {}  # releases for the next connection: call -> cause
        self.listener, self.port = None, free_port(host)
        self.state, self.started_ms, self.zone = "SERVING", 0, "boathouse"
        self.log = []  # (time, what, call)

    def row(self):
        return {
            "id": f"s-{self.number:08x}",
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "kind": "std-2core",
            "cell": self.cell,
            "state": self.state,
            "weight": 4,
            "started_ms": self.started_ms,
        }

    async def start(self):
        self.listener = await asyncio.get_running_loop().create_server(lambda: Lines(self), self.host, self.port)

    def plays_already(self, call):
        """A viewing that stands since before the manager started; its set-up's connection is gone."""
        self.standing[call] = Lines(self)
        self.note("server: plays already", call)

    async def tell_load(self, every_s):
        """Sends a note on the link's load, on one session that stands, as the settings' tellMs says."""
        while True:
            await asyncio.sleep(every_s)
            self.send_load_note()

    def send_load_note(self):
        for call, conn in self.standing.items():
            self.note("server: note", call)
            if not conn.open:
                conn = next((other for other in self.connections if other.open), None)
            if conn is not None:
                conn.send(line("info", call, note="asked", value="0.3"))
            return

    def note(self, what, call="", **fields):
        self.log.append((self.fleet.record.now(), what, call))
        self.fleet.record.write(what, server=self.number, call=call, **fields)

    def connected(self, conn):
        self.connections.append(conn)
        self.note("server: connection opened")
        for call, cause in self.unheard.items():
            conn.send(line("end", call, why=cause))
            self.note("server: release sent again", call, why=cause)
        self.unheard.clear()

    def disconnected(self, conn, exc):
        if conn in self.connections:
            self.connections.remove(conn)
        self.note("server: connection closed", why=type(exc).__name__)
        for call, (other, task) in list(self.setting_up.items()):
            if other is conn:
                task.cancel()
                del self.setting_up[call]
                self.note("server: set-up given up by the close", call)

    def received(self, conn, text):
        row = json.loads(text)
        op, call = row["op"], row["call"]
        if op == "offer":
            self.note("server: set-up", call, left=row["with"].get("left"), title=row["with"].get("key"))
            self.offer(conn, row)
        elif op == "end":
            self.note("server: end", call, why=row.get("why"), stands=call in self.standing)
            self.end(conn, call)
        elif op == "test":
            conn.send(line("tested", call, why=1))

    def offer(self, conn, row):
        call = row["call"]
        task = asyncio.get_running_loop().create_task(self.set_up(conn, call))
        self.setting_up[call] = conn, task

    async def set_up(self, conn, call):
        await asyncio.sleep(self.setup_s)
        del self.setting_up[call]
        self.standing[call] = conn
        self.note("server: answer", call)
        self.answer(conn, call)

    def answer(self, conn, call):
        conn.send(line("accept", call, desc=f"v=0\r\nfrom {self.number:08x} for {call}\r\n"))

    def end(self, conn, call):
        if call in self.setting_up:
            self.setting_up.pop(call)[1].cancel()
        self.standing.pop(call, None)
        conn.send(line("ended", call))

    def process_ends(self):
        """Its process ends, with all that stands there: connections are reset. Returns the calls that stood."""
        over = list(self.standing)
        self.note("server: its process ends", stood=len(over))
        self.listener.close()
        for _, task in self.setting_up.values():
            task.cancel()
        self.setting_up, self.standing, self.unheard = {}, {}, {}
        for conn in list(self.connections):
            conn.transport.abort()
        return over

    def release(self, call, why=16):
        """Ends a session of its own accord."""
        conn = self.standing.pop(call)
        self.note("server: release", call, why=why)
        if not conn.open:
            conn = next((other for other in self.connections if other.open), None)
        if conn is None or not conn.send(line("end", call, why=why)):
            self.unheard[call] = why


class Machine(Server):
    """A server on a machine that can vanish: it says nothing, connections stay open, new ones never come up.

    New connections are kept from coming up by the listener's queue, which is filled while nothing is accepted: then
    Linux drops what asks for a connection.
    """

    QUEUE = 1

    async def start(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, self.port))
        self.socket.listen(self.QUEUE)
        self.socket.setblocking(False)
        self.fillers, self.filler_ports, self.before = [], set(), []
        self.accepting = asyncio.get_running_loop().create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            new, peer = await loop.sock_accept(self.socket)
            if peer[1] in self.filler_ports:
                new.close()
            else:
                await loop.connect_accepted_socket(lambda: Lines(self), new)

    def vanish(self):
        """The machine is lost, and with it its process and all that stood there."""
        self.note("server: machine lost", stood=len(self.standing))
        self.accepting.cancel()
        for conn in self.connections:
            conn.transport.pause_reading()
        for _, task in self.setting_up.values():
            task.cancel()
        self.before, self.connections = self.connections, []
        self.setting_up, self.standing, self.unheard = {}, {}, {}
        for _ in range(self.QUEUE + 4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.bind((self.host, 0))
            self.filler_ports.add(filler.getsockname()[1])
            try:
                filler.connect((self.host, self.port))
            except BlockingIOError:
                pass
            self.fillers.append(filler)

    def return_cold(self):
        """The machine is back with a new process, which knows nothing of the connections of before."""
        self.started_ms = time.time() * 1000
        self.note("server: machine back, cold")
        for filler in self.fillers:
            filler.close()
        for conn in self.before:
            if conn.open:
                conn.transport.resume_reading()
        self.accepting = asyncio.get_running_loop().create_task(self.accept())

    def received(self, conn, text):
        if conn in self.before:  # of a connection that it does not know: TCP answers with a reset
            self.note("server: resets a connection of before")
            conn.transport.abort()
        else:
            super().received(conn, text)


class Viewer:
    """A client's connection: sends set-ups, acknowledges releases."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.conn = fleet, name, None
        self.answers, self.ends = {}, {}  # call -> (time, op, why); call -> [(time, why)] after the answer
        self.events = {}

    async def connect(self):
        host, port = self.fleet.manager_address
        _, self.conn = await asyncio.get_running_loop().create_connection(lambda: Lines(self), host, port)
        return self

    def connected(self, conn):
        self.fleet.record.write("viewer: connection opened", viewer=self.name)

    def disconnected(self, conn, exc):
        self.fleet.record.write("viewer: connection closed", viewer=self.name)

    def ask(self, call, title="7f3a9c21e0b4d655", package="boat-tour", left=3000, home=0, copies=3, top=4, **extras):
        more = "".join(f";{key}:{value}" for key, value in extras.items())
        self.events.setdefault(call, asyncio.Event())
        self.fleet.record.write("viewer: set-up", viewer=self.name, call=call, left=left, **extras)
        fields = {
            "class": package,
            "left": str(left),
            "key": title,
            "extras": f"home:{home};copies:{copies};top:{top};viewer:{call}" + more,
        }
        self.conn.send(line("offer", call, desc=DESC, **fields))
        return call

    def hand_over(self, call, server, title="7f3a9c21e0b4d655", package="boat-tour", home=0, copies=3, top=4):
        """A set-up with `at`: the viewing plays at this server already."""
        self.events.setdefault(call, asyncio.Event())
        self.answers[call] = self.fleet.record.now(), "at", server.number
        self.fleet.record.write("viewer: hands over", viewer=self.name, call=call, at=server.number)
        fields = {
            "class": package,
            "left": "3000",
            "key": title,
            "extras": f"home:{home};copies:{copies};top:{top};viewer:{call};at:s-{server.number:08x}",
        }
        self.conn.send(line("offer", call, desc=DESC, **fields))
        return call

    def end(self, call, why=16):
        self.fleet.record.write("viewer: end", viewer=self.name, call=call)
        self.conn.send(line("end", call, why=why))

    def received(self, conn, text):
        row = json.loads(text)
        op, call, why, now = row["op"], row["call"], row.get("why"), self.fleet.record.now()
        if op in ("accept", "end"):
            if call in self.events and call not in self.answers:
                self.answers[call] = now, op, why
                self.fleet.record.write("viewer: answer", viewer=self.name, call=call, op=op, why=why)
                self.events[call].set()
                if op == "end":
                    return
            else:
                self.ends.setdefault(call, []).append((now, why))
                self.fleet.record.write(
                    "viewer: " + ("release" if op == "end" else "second answer"),
                    viewer=self.name,
                    call=call,
                    op=op,
                    why=why,
                )
            if op == "end":
                conn.send(line("ended", call))
        elif op in ("tested", "ended", "redirect"):
            self.fleet.record.write("viewer: heard", viewer=self.name, call=call, op=op)

    async def answer(self, call, within=10):
        await asyncio.wait_for(self.events[call].wait(), within)
        return self.answers[call]


class Bulletin:
    """The list of servers as numbered events."""

    def __init__(self, fleet, host="127.0.0.1"):
        self.fleet, self.events, self.watchers, self.host, self.port = fleet, [], [], host, free_port(host)
        self.listener = self.task = None
        self.first = 0  # number of the last event that the configuration holds

    async def start(self):
        self.listener = await asyncio.get_running_loop().create_server(lambda: Lines(self), self.host, self.port)
        self.task = asyncio.get_running_loop().create_task(self.tell_number())

    async def tell_number(self):
        while True:
            await asyncio.sleep(1)
            for conn in self.watchers:
                conn.send(b"%d\n" % len(self.events))

    def connected(self, conn):
        self.fleet.record.write("bulletin: connection opened")

    def disconnected(self, conn, exc):
        if conn in self.watchers:
            self.watchers.remove(conn)
        self.fleet.record.write("bulletin: connection closed")

    def received(self, conn, text):
        after = int(text.split()[1])
        self.fleet.record.write("bulletin: asked", after=after)
        for event in self.events[after:]:
            conn.send(json.dumps(event).encode() + b"\n")
        self.watchers.append(conn)

    def tell(self, *rows, full=False):
        number = len(self.events) + 1
        event = {"no": number, "roster": {"version": number, "full": full, "servers": list(rows)}}
        self.events.append(event)
        text = "; ".join(f"{row['id']} {row['state']} started_ms={row['started_ms']}" for row in rows)
        self.fleet.record.write("bulletin: event", no=number, rows=text)
        for conn in self.watchers:
            conn.send(json.dumps(event).encode() + b"\n")


class Fleet:
    """What a case starts: the stand-ins and one session manager, with its folder and its end."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.scratch = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.bulletin, self.process, self.manager_address = Bulletin(self), None, ("127.0.0.1", free_port())
        self.log_file = open(self.scratch / "manager.log", "wb")

    async def start_manager(self, *servers, sockets=384, **changes):
        """Writes the configuration, starts the deploy file's `run` and returns once it passes a test."""
        for server in servers:
            await server.start()
        await self.bulletin.start()
        self.bulletin.tell(*(server.row() for server in servers), full=True)
        listen = "%s:%d" % self.manager_address
        self.config_file = self.scratch / "config.json"
        self.config = {
            "name": "n0",
            "listen": listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "bulletin": f"{self.bulletin.host}:{self.bulletin.port}",
            "known": {"no": len(self.bulletin.events), "items": list(self.bulletin.events)},
            "settings": settings(**changes),
        }
        await self.launch()

    async def launch(self):
        self.config_file.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        folder = self.scratch / "tmp"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        env = {
            **os.environ,
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_CONFIG": str(self.config_file),
            "TMPDIR": str(folder),
        }
        limited = f"ulimit -n {self.config['limits']['sockets']}; {run}"  # the platform's limit on descriptors
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", limited, cwd=ROOT, env=env, stdout=self.log_file, stderr=self.log_file
        )
        for _ in range(300):
            if self.process.returncode is not None:
                raise RuntimeError(f"the session manager ended with {self.process.returncode}")
            if await self.passes_test():
                self.record.write("manager: ready", pid=self.process.pid)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the session manager passed no test within 30 s")

    async def passes_test(self):
        try:
            reader, writer = await asyncio.open_connection(*self.manager_address)
        except OSError:
            return False
        try:
            writer.write(line("test", "00000000000000ff", why=0))
            reply = await asyncio.wait_for(reader.readline(), 2)
            return b'"tested"' in reply
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def viewer(self, name="v"):
        return await Viewer(self, name).connect()

    async def kill(self):
        self.record.write("manager: killed")
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def come_back(self):
        """Starts the session manager again under its name and address, with the list as it is now."""
        self.config["known"] = {"no": len(self.bulletin.events), "items": list(self.bulletin.events)}
        await self.launch()

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.log_file.close()
        log = (self.scratch / "manager.log").read_text(errors="replace")
        self.record.write("manager's log follows")
        self.record.file.write(log)
        self.record.file.close()
        shutil.rmtree(self.scratch, ignore_errors=True)


def run_case(folder, case):
    """Runs case(fleet), which returns HELD or BROKEN; the exit status is 2 if it could not run."""

    async def main():
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(110):
                status = await case(fleet)
        except Exception as error:  # the case could not run: said so, never taken for a result
            fleet.record.write("could not run", error=f"{type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            status = COULD_NOT_RUN
        fleet.record.write("result", status=status)
        await fleet.stop()
        return status

    raise SystemExit(asyncio.run(main()))
