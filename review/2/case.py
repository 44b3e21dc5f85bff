"""A bad client asks the same again the moment it is turned away; the platform kills what goes over its memory limit.

Ordinary viewers come all the time, two each second. The session manager's resident memory is read ten times a second.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

from platform_standins import DESC, Bulletin, Manager, VideoServer, Viewers, run, settings  # noqa: E402

MEMORY_MB = 192  # the highest limit of the scored days (DEPLOY.md)
DAY_S = 60.0
CONNECTIONS = 4  # of the bad client
AT_ONCE = 100  # "hundreds of requests at once", over its connections
OFFER_BYTES = 6000  # a usual description of a browser; a message holds at most 16 KiB
CANDIDATE = "a=candidate:1 1 udp 2130706431 127.0.0.1 31000 typ host\r\n"


class BadClient(Viewers):
    """Asks again on the same connection as soon as a request is answered. A set-up that plays is ended at once."""

    def __init__(self, record, address):
        super().__init__(record, address, "bad client")
        self.desc = DESC + CANDIDATE * (OFFER_BYTES // len(CANDIDATE))
        self.asks, self.refused, self.stopped = 0, 0, False

    def ask_again(self, conn):
        if not self.stopped and not conn.closed:
            call = self.ask(conn, desc=self.desc)
            self.waiters.pop(call)
            self.sent.pop(call)
            self.asks += 1

    def heard(self, conn, row):
        if row["op"] == "accept":
            self.end(conn, row["call"])
            self.ask_again(conn)
        elif row["op"] == "end":
            self.refused += 1
            self.ask_again(conn)


class Quiet:
    """A record that leaves out what the bad client and the servers say one by one."""

    def __init__(self, record):
        self.now = record.now

    def put(self, *_, **__):
        pass


async def main(record, folder, trouble):
    bulletin = Bulletin(record)
    await bulletin.start()
    quiet = Quiet(record)
    servers = [VideoServer(quiet, number, cell=number % 3) for number in range(6)]
    for server in servers:
        await server.start()
    bulletin.add(*(server.row() for server in servers), full=True)
    manager = Manager(record, folder, bulletin, settings(), memory_mb=MEMORY_MB)
    await manager.start()
    try:
        await manager.ready()
        viewers, bad = Viewers(record, manager.address), BadClient(quiet, manager.address)
        killed, peak, answered, unanswered = None, 0.0, 0, 0
        conn = await viewers.connect()
        started, last_asked, last_said, open_calls = record.now(), 0.0, 0.0, {}
        while record.now() - started < DAY_S and killed is None:
            now = record.now() - started
            if trouble and now > 5 and not bad.asks:
                for _ in range(CONNECTIONS):
                    other = await bad.connect()
                    for _ in range(AT_ONCE):
                        bad.ask_again(other)
            if now - last_asked > 0.5 and not conn.closed:
                call = viewers.ask(conn)
                open_calls[call], last_asked = now, now
            for call in [call for call in open_calls if call in viewers.seen]:
                answered += 1
                del open_calls[call]
                if viewers.seen[call][0][1]["op"] == "accept":
                    viewers.end(conn, call)
            memory = manager.memory() or 0.0
            peak = max(peak, memory)
            if now - last_said > 1:
                record.put("platform", "memory", mb=round(memory, 1), bad_asked=bad.asks, bad_refused=bad.refused)
                last_said = now
            if memory > MEMORY_MB:
                killed = now
                record.put("platform", "kills", mb=round(memory, 1))
                manager.process.kill()
            await asyncio.sleep(0.1)
        bad.stopped = True
        if killed is None and manager.process.returncode is None:
            await asyncio.sleep(4)
            record.say(f"4 s after the last request: {manager.memory():.0f} MB")
        unanswered = sum(call not in viewers.seen for call in open_calls)
        record.say(
            f"bad client: {bad.asks} requests of {OFFER_BYTES} bytes, {CONNECTIONS * AT_ONCE} at once at most, "
            f"{bad.refused} refused"
        )
        record.say(f"ordinary viewers: {answered} answered, {unanswered} open at the end")
        record.say(f"resident memory: {peak:.0f} MB at most, limit {MEMORY_MB} MB")
        if killed is not None:
            return f"killed for memory {killed - 5:.1f} s after the bad client came"
        if manager.process.returncode is not None:
            return f"the session manager ended with status {manager.process.returncode}"
        return None
    finally:
        await manager.stop()
        for server in servers:
            await server.stop()


run(main, HERE)
