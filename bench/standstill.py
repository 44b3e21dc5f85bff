"""Measures what waited at a manager's door while it stood still: how long after it goes on each request is answered.

    python -m bench.standstill [--waiting 40 120 300] [--rounds 3]

By processes, with boxes and members beside it. Clients ask all through the standstill, each on a connection of its
own, and close it when their patience ends; the figures are of those that still wait. Rule 1 gives an answer 50 ms after
the viewer's patience, so that what is answered later than that after the standstill's end may be lost. Not part of CI.
"""

import asyncio
import pathlib
import signal
import statistics
import tempfile
from collections import Counter

import click

from bench.front import ROOMY, machine
from flaxscale.cli import logs, service
from flaxscale.lab.day import DayRun
from flaxscale.lab.players import Wish, headers_of, offer_of, target_of, trace_of
from flaxscale.lab.shapes import read_day
from flaxscale.serve.clock import now

ROOT = pathlib.Path(__file__).parent.parent
DAY = (
    """local day = import '%s';
day { ways: false, troubles: [], clocks: {}, groups: {}, length_s: 60, lease_ms: 20000,
      site+: { managers: 3, fleet+: { uplink_kb: 2e6, kinds: { small: 40, large: 200 } } },
      """
    + ROOMY
    + """ }
"""
)


class Asker(asyncio.Protocol):
    def __init__(self, request, done):
        self.request, self.done, self.answered, self.left = request, done, None, False

    def connection_made(self, transport):
        self.transport = transport
        transport.write(self.request)

    def data_received(self, data):
        if self.answered is None:
            self.answered = now(), int(data[9:12])
            self.done(self)

    def leave(self):
        self.left = True
        self.transport.close()

    def connection_lost(self, error):
        if self.answered is None and not self.left:
            self.answered = now(), 0
            self.done(self)


def request_of(n, patience):
    wish = Wish(n, f"tour-{1 + n % 6}", False, f"v{n}", patience, 5.0, None, None, None, trace_of(9, n))
    body = offer_of(wish)
    head = "".join(f"{name}: {value}\r\n" for name, value in headers_of(wish))
    return f"POST {target_of(wish)} HTTP/1.1\r\nHost: x\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def round_of(run, waiting, stalled, patience, first):
    loop, front = asyncio.get_running_loop(), run.fronts[0]
    left, all_in = waiting, loop.create_future()

    def done(asker):
        nonlocal left
        left -= 1
        if not left and not all_in.done():
            all_in.set_result(None)

    front.signal(signal.SIGSTOP)
    began, askers, waits = now(), [], {}
    many = round(waiting * stalled / patience)
    left = waiting
    for n in range(many):  # evenly through the standstill; who is out of patience goes
        await asyncio.sleep(max(0, (began + n * stalled * 10_000 / many - now()) / 10_000))
        asker = (
            await loop.create_connection(lambda n=n: Asker(request_of(first + n, patience), done), *front.address)
        )[1]
        askers.append(asker)
        if n < many - waiting:
            loop.call_later(patience, asker.leave)
        else:
            waits[asker] = None
    await asyncio.sleep(max(0, stalled - (now() - began) / 10_000))
    back = now()
    front.signal(signal.SIGCONT)
    async with asyncio.timeout(20):
        await all_in
    for asker in askers:
        asker.transport.close()
    return sorted((asker.answered[0] - back) / 10 for asker in waits), [asker.answered[1] for asker in waits], many


async def measure(waiting, rounds, stalled, patience):
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        (folder / "day.jsonnet").write_text(DAY % (ROOT / "examples" / "straggler-day.jsonnet"))
        run = DayRun(read_day(str(folder / "day.jsonnet")), 5, folder / "out", logs.logger("error", None))
        await run.begin()
        first = 0
        try:
            for many in waiting:
                rows = []
                for _ in range(rounds):
                    await asyncio.sleep(2)
                    rows.append(await round_of(run, many, stalled, patience, first))
                    first += rows[-1][2]
                firsts, lasts = [r[0][0] for r in rows], [r[0][-1] for r in rows]
                late = [sum(ms > 50 for ms in r[0]) for r in rows]
                said = sorted(Counter(status for r in rows for status in r[1]).items())
                print(
                    f"{many} waiting, {rows[0][2] - many} gone: first answer after {statistics.median(firsts):.0f} "
                    f"ms, last {statistics.median(lasts):.0f} (at most {max(lasts):.0f}); after 50 ms "
                    f"{statistics.median(late):.0f}; status {said}",
                    flush=True,
                )
        finally:
            await run.finish()


@click.command()
@click.option("--waiting", multiple=True, type=int, default=(40, 120, 300), show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--stalled", default=5.0, show_default=True, help="Seconds that the manager stands still.")
@click.option("--patience", default=3.0, show_default=True, help="Of each viewer, in seconds.")
def main(waiting, rounds, stalled, patience):
    """Stop a manager, let requests wait at its door, and time the answers once it goes on."""
    service.run(measure(waiting, rounds, stalled, patience))
    machine()


if __name__ == "__main__":
    main()
