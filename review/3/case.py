"""Discovery is slow for a while: all that it says comes 3 s late. A video server drains meanwhile.

Viewers come all the time. No set-up may reach the draining server once the drain counts as told and its grace is over.
At the end of its drain the server's process ends and cuts what plays there.
"""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

from platform_standins import Bulletin, Manager, VideoServer, Viewers, run, settings  # noqa: E402

LATE_S = 3.0  # how late the bulletin's lines come; "The box list runs 2.5 to 8 s further behind"
TOLD_S = 4.0  # PROTOCOL.md: counts as told 4 s after the silence began, at the latest
GRACE_S = 1.0  # drainGraceMs
SLACK_S = 0.05  # PROTOCOL.md: each time limit grows by 50 ms
DRAIN_S = 6.0  # from the event to the end of the process; "drain time, s 2 to 6"
WARM_S = 12.5  # warmWithinMs, and a little: until then the session manager paces set-ups
DAY_S = 12.0


class SlowBulletin(Bulletin):
    """A sound bulletin behind a way that delays what it says, in order. `late_s`: by how much, for what is said now."""

    def __init__(self, record):
        super().__init__(record)
        self.late_s, self.queues, self.beat_at = 0.0, {}, None

    def say(self, writer, data):
        loop = asyncio.get_running_loop()
        due = max(loop.time() + self.late_s, self.queues.get(writer, 0.0))
        self.queues[writer] = due
        loop.call_at(due, self.arrives, writer, data)

    def arrives(self, writer, data):
        if not writer.is_closing():
            self.record.put("bulletin", "arrives", line=data.decode().strip()[:60])
            writer.write(data)

    def add(self, *rows, full=False):
        writers, self.writers = self.writers, set()
        super().add(*rows, full=full)
        self.writers = writers
        for writer in writers:
            self.say(writer, json.dumps(self.events[-1]).encode() + b"\n")

    @staticmethod
    async def until_closed(reader):
        try:
            await reader.read()
        except OSError:
            pass

    async def serve(self, reader, writer):
        try:
            last = int((await reader.readline()).split()[1])
            self.record.put("bulletin", "asked", after=last)
            for event in self.events[last:]:
                self.say(writer, json.dumps(event).encode() + b"\n")
            self.writers.add(writer)
            closed = asyncio.ensure_future(self.until_closed(reader))
            while not closed.done():
                self.say(writer, b"%d\n" % len(self.events))
                self.beat_at = self.record.now()
                await asyncio.wait([closed], timeout=1)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.record.put("bulletin", "left")
            self.writers.discard(writer)
            self.queues.pop(writer, None)
            writer.close()


async def main(record, folder, trouble):
    bulletin = SlowBulletin(record)
    await bulletin.start()
    servers = [VideoServer(record, number, cell=number % 3) for number in range(3)]
    for server in servers:
        await server.start()
    bulletin.add(*(server.row() for server in servers), full=True)
    manager = Manager(record, folder, bulletin, settings())
    await manager.start()
    try:
        await manager.ready()
        draining, offers = servers[0], []
        heard = draining.heard

        def note_offers(conn, row):
            if row["op"] == "offer":
                offers.append(record.now())
            heard(conn, row)

        draining.heard = note_offers
        await asyncio.sleep(WARM_S)
        beat = bulletin.beat_at  # the slow time begins right after a line with the last number
        while bulletin.beat_at == beat:
            await asyncio.sleep(0.005)
        slow_from = record.now()
        if trouble:
            bulletin.late_s = LATE_S
        record.put("bulletin", "slow", late_s=bulletin.late_s)
        viewers = Viewers(record, manager.address)
        conn = await viewers.connect()
        asked = answered = 0
        cut = []
        async def viewers_come():
            """Viewers one after the other; each plays for some seconds."""
            nonlocal asked, answered
            playing = []
            while record.now() - slow_from < DAY_S:
                call = viewers.ask(conn)
                asked += 1
                row = await viewers.answer(call, 3.55)
                answered += row is not None
                if row and row["op"] == "accept":
                    playing.append(call)
                    if len(playing) > 10:
                        viewers.end(conn, playing.pop(0))
                await asyncio.sleep(0.02)

        async def drain():
            """The server drains, and its process ends: what plays there is cut."""
            await asyncio.sleep(0.2)
            bulletin.add(draining.row("DRAINING"))
            await asyncio.sleep(DRAIN_S)
            record.put(draining.name, "cuts", calls=list(draining.standing))
            cut.extend(call for call in draining.standing if viewers.sent[call] > slow_from + TOLD_S + GRACE_S)
            await draining.stop()

        await asyncio.gather(drain(), viewers_come(), viewers_come(), viewers_come())
        limit = slow_from + TOLD_S + GRACE_S + SLACK_S
        late = [at for at in offers if at > limit]
        last = max(offers, default=0.0)
        record.say(
            f"viewers: {asked} asked, {answered} answered; {len(cut)} that asked after the limit were cut when the drain ended"
        )
        record.say(
            f"set-ups at the draining server: {len(offers)}; the last {last - slow_from:.2f} s after discovery became "
            f"slow, {len(late)} of them after the limit of {limit - slow_from:.2f} s"
        )
        return f"{len(late)} set-ups sent to a draining server" if late else None
    finally:
        await manager.stop()
        for server in servers:
            await server.stop()


run(main, HERE)
