"""A bad client: hundreds of requests at once with a figure out of range, and the same again when it is turned away.

Arguments: host:port of the session manager, number of requests at once, `copies` of each, seconds. Prints what it got.
"""

import asyncio
import json
import sys
import time

from fleet import DESC, line

address, at_once, copies, seconds = sys.argv[1], int(sys.argv[2]), sys.argv[3], float(sys.argv[4])
TITLE = "bad0bad0bad0bad0"  # no server knows it


async def main():
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    number = 1 << 40
    turned_away, ends_at = 0, time.monotonic() + seconds

    def ask():
        nonlocal number
        number += 1
        call = f"{number:016x}"
        extras = f"home:0;copies:{copies};top:4;viewer:{call}"
        writer.write(line("offer", call, desc=DESC, **{"class": "boat-tour", "left": "3000", "key": TITLE,
                                                       "extras": extras}))

    for _ in range(at_once):
        ask()
    try:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + seconds):
            while text := await reader.readline():
                if json.loads(text)["op"] == "end":
                    turned_away += 1
                    if time.monotonic() < ends_at:
                        ask()
    except TimeoutError:
        pass
    print(f"requests={number - (1 << 40)} turned_away={turned_away}")


asyncio.run(main())
