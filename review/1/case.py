"""A bad client sends hundreds of requests at once, each on a connection of its own, and keeps the connections.

Ordinary viewers come all the time, one each half second, on new connections. Each is owed its final answer.
"""

import asyncio
import os
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

from platform_standins import Bulletin, Lines, Manager, VideoServer, Viewers, run, settings  # noqa: E402

LEFT_MS = 3000  # deadlineMs of the classes
LATE_S = 0.5 + 0.05  # FLEET.md: later than half a second after its time a request is lost; PROTOCOL.md: plus 50 ms
QUIET_S = 5.0  # ordinary viewers alone
AFTER_S = 25.0  # ordinary viewers after the bad client came
FLOOD = 240  # "hundreds of requests at once"
SOCKETS = 256  # the smallest limit of DAYS.md


class Unread:
    """A connected socket that takes a request before the event loop has it."""

    def __init__(self, address):
        self.socket = socket.create_connection(address)

    def send(self, data):
        self.socket.sendall(data)


async def flood(bad):
    """Opens the bad client's connections at full speed, each with its request at once; reads, and holds them."""
    sockets = []
    for _ in range(FLOOD):
        sockets.append(Unread(bad.address))
        bad.ask(sockets[-1], left=LEFT_MS)
    for one in sockets:
        one.socket.setblocking(False)
        await asyncio.get_running_loop().create_connection(lambda: Lines(bad), sock=one.socket)


async def main(record, folder, trouble):
    bulletin = Bulletin(record)
    await bulletin.start()
    servers = [VideoServer(record, number, cell=number % 3) for number in range(6)]
    for server in servers:
        await server.start()
    bulletin.add(*(server.row() for server in servers), full=True)
    manager = Manager(record, folder, bulletin, settings(), sockets=SOCKETS)
    await manager.start()
    try:
        await manager.ready()
        viewers = Viewers(record, manager.address, "viewer")
        lost, answered, tasks = [], [], []

        async def ordinary():
            """One viewer: a new connection, one request; it plays to the end of the day, or closes 4 s after its end."""
            conn = await viewers.connect()
            call = viewers.ask(conn, left=LEFT_MS)
            row = await viewers.answer(call, LEFT_MS / 1000 + LATE_S)
            if row is None:
                lost.append(call)
                record.put("viewer", "LOST", call=call)
                viewers.end(conn, call)
                conn.transport.close()
                return
            answered.append(row["op"])
            if row["op"] == "end":
                await asyncio.sleep(4)
                conn.transport.close()

        async def ordinary_for(seconds):
            for _ in range(int(seconds / 0.5)):
                tasks.append(asyncio.ensure_future(ordinary()))
                await asyncio.sleep(0.5)

        await ordinary_for(QUIET_S)
        bad = Viewers(record, manager.address, "bad client")
        if trouble:
            await flood(bad)
        await ordinary_for(AFTER_S)
        await asyncio.gather(*tasks)
        unanswered = sum(call not in bad.seen for call in bad.sent)
        record.say(
            f"ordinary viewers: {len(tasks)} asked, {answered.count('accept')} served, {answered.count('end')} refused "
            f"or failed, {len(lost)} without an answer {LEFT_MS / 1000 + LATE_S} s after they asked"
        )
        record.say(
            f"bad client: {len(bad.sent)} requests, {unanswered} without an answer, "
            f"{len(bad.lost_connections)} connections closed by the session manager"
        )
        record.say(f"the session manager's process {'runs' if manager.process.returncode is None else 'has ended'}")
        return f"{len(lost)} requests of ordinary viewers were never answered" if lost else None
    finally:
        await manager.stop()
        for server in servers:
            await server.stop()


run(main, HERE)
