"""Viewings play on more servers than a manager has connections for. Of some of their ends it never hears."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from fleet import BROKEN, HELD, TROUBLE, Server, run_case

SOCKETS = 256  # the days' page: 256 to 1,024
SERVERS = 200 if TROUBLE else 80  # the fleet page: up to 200 video servers
VIEWINGS = 3  # at each
BEGIN_S = 6.0  # until the first viewing comes to its end
ENDS = SERVERS  # one at each server comes to its end ...
ENDS_S = ENDS / 12  # ... at a pace of 12 a second: 600 viewings of 28 to 70 s
TOLD_WITHIN_S = 8.05  # the protocol page: a release that could not be sent, 8 s from its end; and 50 ms


async def case(fleet):
    servers = [Server(fleet, n + 1, n, host=f"127.7.0.{2 + n}") for n in range(SERVERS)]
    await fleet.start_manager(
        *servers,
        sockets=SOCKETS,
        specifics__cells=SERVERS,
        specifics__shelves=SERVERS // 9,
        specifics__fleetKb=60888.0 * SERVERS / 12,
    )
    viewer = await fleet.viewer()
    for n in range(SERVERS * VIEWINGS):  # they play since before this manager started
        server = servers[n % SERVERS]
        call = viewer.hand_over(f"{n + 1:016x}", server, home=server.cell, title=f"{n + 1:x}")
        server.plays_already(call)
    await asyncio.sleep(BEGIN_S)
    order = list(servers)
    random.Random(7).shuffle(order)
    over_at = {}
    for server in order[:ENDS]:
        call = next(iter(server.standing))
        over_at[call] = fleet.record.now()
        server.release(call)
        await asyncio.sleep(ENDS_S / ENDS)
    await asyncio.sleep(TOLD_WITHIN_S + 2)
    told = {call: viewer.ends[call][0][0] - at if call in viewer.ends else None for call, at in over_at.items()}
    late = [call for call, span in told.items() if span is None or span > TOLD_WITHIN_S]
    never = [call for call in late if told[call] is None]
    opened = sum(what == "server: connection opened" for server in servers for _, what, _ in server.log)
    unconnected = sum(not any(what == "server: connection opened" for _, what, _ in server.log) for server in servers)
    fleet.record.write(
        "viewings that came to their end",
        all=len(told),
        told_late_or_never=len(late),
        never=len(never),
        connections_made=opened,
        servers_never_connected=unconnected,
    )
    print(
        f"{len(told)} viewings came to their end, of {len(late)} the viewer was told over {TOLD_WITHIN_S} s later or "
        f"never ({len(never)}); {opened} connections made, none at all to {unconnected} servers"
    )
    return BROKEN if late else HELD


run_case(pathlib.Path(__file__).parent, case)
