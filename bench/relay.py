"""The baseline: a relay on the front's own protocol classes that decides nothing, boxes in turn. For bench/front.py.

With a third argument it gathers what comes for so many seconds before it sends it on, as the front's slot does:
gathering alone saves passes of the event loop, which is no merit of a decision.
"""

import asyncio
import itertools
import json
import os
import sys

import uvloop

from flaxscale.cli import print_ready
from flaxscale.http1.server import Limits
from flaxscale.serve.pool import EventStream, Pool, Response
from flaxscale.serve.server import Server


async def main(list_address, site, gather):
    loop, pool, places, titles = (
        asyncio.get_running_loop(),
        Pool(max_connections=64),
        {},
        json.loads(open(site).read())["titles"],
    )
    have = loop.create_future()

    def heard(event):
        for box in json.loads(event.data)["boxes"]:
            host, _, port = box["address"].rpartition(":")
            places[box["cell"]] = host, int(port)
        if places and not have.done():
            have.set_result(None)

    host, _, port = list_address.rpartition(":")
    stream = EventStream(
        host, int(port), "/boxes", [("Flaxscale-Manager", "relay")], lambda: None, heard, lambda refused, detail: None
    )
    stream.start(2.0)
    await have
    turn, ends, gathered = itertools.count(), {}, []

    def end_all():
        """What was deleted within a slot's length is ended in one request a box, so that ends cost next to nothing."""
        for n, keys in ends.items():
            pool.send(
                *places[n],
                "POST",
                "/manager/orders",
                [("Flaxscale-Manager", "relay")],
                json.dumps({"end": keys}).encode(),
                lambda result: None,
            )
        ends.clear()

    def handle(exchange):
        request = exchange.request
        if request.method == "DELETE":
            _, _, n, key = request.target.split("/")
            if not ends:
                loop.call_later(0.05, end_all)
            ends.setdefault(int(n), []).append(key)
            exchange.respond(200)
            return
        if not gather:
            send_on(exchange)
            return
        if not gathered:
            loop.call_later(gather, send_all)
        gathered.append(exchange)

    def send_all():
        rows, gathered[:] = list(gathered), []
        for exchange in rows:
            send_on(exchange)

    def send_on(exchange):
        count, target = next(turn), exchange.request.target.partition("?")[0]
        row = titles[target[6:]]
        n, key = (row["first_cell"] + count % row["cells"]) % len(places), f"relay.{os.getpid()}.{count}"

        def came(result):
            if not isinstance(result, Response):
                exchange.refuse(502, "no answer")
                return
            rows = [(k, v) for k, v in result.headers.items() if k in ("content-type", "etag")]
            exchange.respond(result.status, [*rows, ("Location", f"/session/{n}/{key}")], result.body)

        pool.send(
            *places[n],
            "POST",
            target,
            [("Content-Type", "application/sdp"), ("Idempotency-Key", f'"{key}"')],
            exchange.request.body,
            came,
        )

    server = Server(handle, Limits())
    print_ready(*await server.listen("127.0.0.1", 0))
    await asyncio.Event().wait()


uvloop.run(main(sys.argv[1], sys.argv[2], float(sys.argv[3])))
