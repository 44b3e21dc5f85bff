"""Processes of a day: started, spoken to by lines, stopped by their own id. Whoever starts one waits for it."""

import asyncio
import itertools
import json
import os
import signal
import socket
import sys

from ..serve import limit


class Process:
    """One program of ours, started with --ready: its first line on standard output is JSON and says its address."""

    def __init__(self, args, log):
        self.args, self.log, self.child, self.address, self.ready = args, log, None, None, None

    async def start(self, within=20.0):
        with open(self.log, "ab") as err:
            self.child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "flaxscale",
                *self.args,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=err,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        line = await limit.within(within, self.child.stdout.readline())
        if not line:
            await self.child.wait()
            raise RuntimeError(f"{' '.join(self.args[:2])} ended with {self.child.returncode}; see {self.log}")
        self.ready = json.loads(line)
        self.address = self.ready["host"], self.ready["port"]
        return self

    def say(self, **row):
        if self.child is not None and self.child.returncode is None and not self.child.stdin.is_closing():
            self.child.stdin.write(json.dumps(row).encode() + b"\n")

    def signal(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def kill(self):
        """Outright, as a crash does."""
        self.signal(signal.SIGKILL)
        if self.child is not None:
            await self.child.wait()

    async def stop(self, within=6.0):
        self.signal(signal.SIGTERM)
        if self.child is not None:
            try:
                await limit.within(within, self.child.wait())
            except asyncio.TimeoutError:
                await self.kill()


STEADY = 20_000, 32_000  # ports that no system here gives to sockets that ask for any
asked = itertools.count(os.getpid() * 97)


def free_udp_port():
    """A port for datagrams that was free just now, and that stays so while its process is away.

    One that the system gives out may be another socket's by the time a killed manager comes back to it.
    """
    for n in asked:
        port = STEADY[0] + n % (STEADY[1] - STEADY[0])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
            try:
                one.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def talk_args(fronts, m):
    """How manager m finds those that were started before it; one that comes back keeps its port. {number: Process}."""
    own = fronts[m].ready["members"].rpartition(":")[2] if m in fronts else str(free_udp_port())
    seeds = [p.ready["members"] for n, p in sorted(fronts.items()) if n != m]
    return ["--member-port", own, *(arg for seed in seeds for arg in ("--member", seed))]
