"""A generator for bench/front.py: set-ups and their DELETEs, closed or open loop; prints one JSON line."""

import asyncio
import json
import random
import sys

import uvloop

from flaxscale.lab.players import FINGERPRINT, trace_of
from flaxscale.serve.clock import now
from flaxscale.serve.pool import Pool, Response
from flaxscale.signalling import sdp


async def main(host, port, titles, seconds, at_once, rate, seed, keep):
    """rate 0: closed loop of `at_once`; else open loop, `rate` a second. keep: seconds from 201 to DELETE."""
    pool, dice, loop = Pool(1.0, max_connections=4096), random.Random(seed), asyncio.get_running_loop()
    offer = sdp.offer(False, "abcd", "p" * 24, FINGERPRINT)
    statuses, after, traces, until, n, open_ = {}, [], [], now() + round(seconds * 10_000), [0], [0]
    done = loop.create_future()

    def ask():
        n[0] += 1
        open_[0] += 1
        trace, began = trace_of(seed, n[0]), now()

        def came(result):
            status = result.status if isinstance(result, Response) else 0
            statuses[status] = statuses.get(status, 0) + 1
            if status == 201:
                after.append(now() - began)
                traces.append(trace)
                if keep:
                    loop.call_later(keep, end, result.headers["location"])
                else:
                    end(result.headers["location"])
            else:
                ended(None)

        pool.send(
            host,
            port,
            "POST",
            f"/whep/{dice.choice(titles)}?viewer=v{seed}-{n[0]}",
            [("Content-Type", "application/sdp"), ("traceparent", trace)],
            offer,
            came,
        )

    def end(location):
        pool.send(host, port, "DELETE", location, [], b"", ended)

    def ended(_):
        open_[0] -= 1
        if now() < until:
            if not rate:
                ask()
        elif not open_[0] and not done.done():
            done.set_result(None)

    def next_one():
        if now() < until:
            loop.call_later(dice.expovariate(rate), next_one)
            ask()

    began = now()
    if rate:
        next_one()
    else:
        for _ in range(at_once):
            ask()
    await asyncio.wait_for(done, seconds + keep + 20)
    took = (min(now(), until) - began) / 10_000
    await pool.close()
    print(json.dumps({"statuses": statuses, "seconds": took, "after": after, "traces": traces}), flush=True)


a = json.loads(sys.argv[1])
uvloop.run(
    main(
        a["host"],
        a["port"],
        a["titles"],
        a["seconds"],
        a.get("at_once", 32),
        a.get("rate", 0),
        a["seed"],
        a.get("keep", 0),
    )
)
