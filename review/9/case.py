"""A manager is killed while a server is removed. The hand-overs of what played there shut out all others."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from fleet import BROKEN, HELD, TROUBLE, Server, line, run_case

SERVERS = 4
VIEWINGS = 160  # 40 at each server
DOWN_S = 2.0  # of the manager
ENDS = 30  # viewings at the other servers that come to their end after the hand-over
TOLD_WITHIN_S = 8.05  # the protocol page: a release that could not be sent, 8 s from its end; and 50 ms


async def case(fleet):
    servers = [Server(fleet, n + 1, n) for n in range(SERVERS)]
    removed, others = servers[0], servers[1:]
    await fleet.start_manager(*servers, sockets=384)
    viewer = await fleet.viewer()
    plays_at = {}
    for n in range(VIEWINGS):
        server = servers[n % SERVERS]
        call = viewer.hand_over(f"{n + 1:016x}", server, home=server.cell, title=f"{n + 1:x}")
        server.plays_already(call)
        plays_at[call] = server
    front = asyncio.get_running_loop().create_task(keep_testing(viewer))
    await asyncio.sleep(2)
    if TROUBLE:
        await fleet.kill()
    # The server is removed: its process ends with all that played there, and the list says so.
    removed_row = {**removed.row(), "state": "DELETED"}
    over = removed.process_ends()
    fleet.bulletin.tell(removed_row)
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        await fleet.come_back()
        await viewer.connect()
        order = [call for call in plays_at if call not in viewer.ends]
        random.Random(7).shuffle(order)
        await hand_over_all(fleet, viewer, order, plays_at)
    await asyncio.sleep(2)
    ending = [call for server in others for call in list(server.standing)[: ENDS // len(others)]]
    random.Random(8).shuffle(ending)
    over_at = {}
    for call in ending:
        over_at[call] = fleet.record.now()
        plays_at[call].release(call)
        await asyncio.sleep(0.1)
    await asyncio.sleep(TOLD_WITHIN_S + 1)
    front.cancel()
    told = {call: viewer.ends[call][0][0] - at if call in viewer.ends else None for call, at in over_at.items()}
    late = [call for call, span in told.items() if span is None or span > TOLD_WITHIN_S]
    untold = [call for call in over if call not in viewer.ends]
    fleet.record.write("viewings that ended at the other servers", all=len(told), told_late_or_never=len(late))
    fleet.record.write("viewings that ended with the removed server", all=len(over), never_told=len(untold))
    print(
        f"{len(told)} viewings came to their end at other servers, of {len(late)} the viewer was told late or never; "
        f"of the {len(over)} that ended with the removed server {len(untold)} were never told"
    )
    return BROKEN if late else HELD


async def keep_testing(viewer):
    """The front tests the session manager, on the connection on which it would hear releases."""
    while True:
        if viewer.conn.open:
            viewer.conn.send(line("test", "00000000000000fe", why=0))
        await asyncio.sleep(0.5)


async def hand_over_all(fleet, viewer, order, plays_at):
    """In one burst; what crosses a close goes again on a new connection, once, as the protocol page says."""
    for attempt in range(2):
        conn = viewer.conn
        for call in order:
            viewer.hand_over(call, plays_at[call], home=plays_at[call].cell, title=f"{int(call, 16):x}")
        await asyncio.sleep(0.5)
        order = [call for call in order if call not in viewer.ends]
        if conn.open:
            return
        fleet.record.write("viewer: its connection was closed", attempt=attempt)
        await viewer.connect()


run_case(pathlib.Path(__file__).parent, case)
