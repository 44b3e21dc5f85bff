"""A session manager is killed and comes back; sessions that ended meanwhile are released by their servers.

The viewers hand their sessions over to the new process within 0.15 s of the first passed test. A viewer does not know
that its session has ended: its server can tell that only through a session manager.
"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

from platform_standins import Bulletin, Manager, VideoServer, Viewers, run, settings  # noqa: E402

SESSIONS = 60
CONNECTIONS = 10  # of the viewers
ENDED = 9  # sessions that come to their end at their servers
DOWN_S = 2.0  # "come back after 1.8 to 7.1 s"
SPREAD_S = 0.15  # the hand-overs arrive within this time; they count 0.2 s later
HANDED_S = 0.2  # PROTOCOL.md: what is handed over with `at` counts for the rules so much later
LIMIT_S = 8.0 + 0.05  # PROTOCOL.md: the longest limit for a release towards the client, plus 50 ms
WATCH_S = 12.0  # after the hand-over


async def main(record, folder, trouble):
    bulletin = Bulletin(record)
    await bulletin.start()
    servers = [VideoServer(record, number, cell=number % 3) for number in range(6)]
    for server in servers:
        await server.start()
    bulletin.add(*(server.row() for server in servers), full=True)
    manager = Manager(record, folder, bulletin, settings())
    chance = random.Random(43)
    await manager.start()
    try:
        await manager.ready()
        viewers = Viewers(record, manager.address)
        connections = [await viewers.connect() for _ in range(CONNECTIONS)]
        calls = []

        async def watch():
            """Asks until a session stands; a viewer that is turned away comes again."""
            number = len(calls)
            while True:
                call = viewers.ask(connections[number % CONNECTIONS], key=f"{1 + number % 20:x}")
                row = await viewers.answer(call, 3.55)
                if row and row["op"] == "accept":
                    calls.append(call)
                    return
                await asyncio.sleep(0.3)

        while len(calls) < SESSIONS:
            await asyncio.gather(*(watch() for _ in range(min(6, SESSIONS - len(calls)))))
        where = {call: server for server in servers for call in server.standing}
        ending = calls[3 :: len(calls) // ENDED][:ENDED]
        record.say(f"{len(where)} sessions stand at {len(servers)} servers")
        if trouble:
            manager.process.kill()
            await manager.process.wait()
            record.put(manager.name, "killed")
            await asyncio.sleep(DOWN_S / 2)
        ended_at = {}
        for call in ending:
            ended_at[call] = record.now()
            where[call].release(call, 16)  # "ok: the session has come to its end"
        handed_at = {}
        if trouble:
            await asyncio.sleep(DOWN_S / 2)
            await manager.start()
            await manager.ready()
            connections = [await viewers.connect() for _ in range(CONNECTIONS)]
            order = [call for call in calls]
            chance.shuffle(order)

            async def hand_over(number, call):
                await asyncio.sleep(SPREAD_S * number / len(order))
                handed_at[call] = record.now()
                viewers.ask(connections[number % CONNECTIONS], call=call, extras=f";at:{where[call].id}")

            await asyncio.gather(*(hand_over(number, call) for number, call in enumerate(order)))
        await asyncio.sleep(WATCH_S)
        late, heard = [], sum(call not in where[call].released for call in ending)
        for call in ending:
            told = [at for at, row in viewers.seen[call] if row["op"] == "end"]
            due = max(ended_at[call], handed_at.get(call, 0) + HANDED_S) + LIMIT_S
            if not told or told[0] > due:
                late.append(call)
        over = [call for call in calls if any(row["op"] == "end" for _, row in viewers.seen[call])]
        record.say(
            f"{len(ending)} sessions ended at their servers; the session manager acknowledged {heard} of these releases; "
            f"{sum(call in over for call in ending)} viewers were told"
        )
        record.say(f"left standing at their viewers {WATCH_S:.0f} s later: {len(late)} {late}")
        return f"{len(late)} sessions that are over were never released towards their viewers" if late else None
    finally:
        await manager.stop()
        for server in servers:
            await server.stop()


run(main, HERE)
