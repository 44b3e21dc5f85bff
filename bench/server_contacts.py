"""How soon clients are told of ended sessions that play on more servers than a session manager may be connected to.

    python -m bench.server_contacts [--servers 200 600 3200] [--descriptors 256] [--seconds 25] [--rate 12]

Starts `flaxscale platform` as a process for each number of servers and hands over sessions that play there. Each second
so many sessions are ended by their servers, as many by their client, and as many are requested. A server says an end on
an open connection, else on the next that is opened. Prints connections made each second, processor time, descriptors,
and the spans until clients heard of their servers' ends and servers of their clients' ends.
"""

import argparse
import asyncio
import itertools
import json
import random
import resource
import time
from typing import NamedTuple

from bench.growth import COPIES, DESCRIPTION, SERVERS_A_CELL, ClientSide, Lines, Run, figures_of, message

SESSIONS = 3  # at each server, but no more than SESSIONS_MAX in all, and one at least
SESSIONS_MAX = 600
WARM_UP_S = 6.0  # before the first end
HEARD_WITHIN_S = 8.05  # the protocol's limit for a release that could not be sent, and its slack
NOTE_S = 3.0  # between two notes of a server
SAMPLE_S = 0.02


class Figures(NamedTuple):
    """Of one run. Spans are in seconds; `late`: over HEARD_WITHIN_S or never."""

    servers: int
    connections_per_s: float
    cpu_per_s: float
    peak_mb: float
    descriptors: int
    client_worst: float
    client_late: int
    server_worst: float
    server_late: int
    served: float


class MediaServer:
    """A server: its open connections, the sessions that play there and the ends that it could not send."""

    def __init__(self, number):
        self.number, self.connections, self.playing, self.unsent = number, [], {}, []

    def accepts(self):
        return ServerSide(self)

    def end(self, call):
        self.playing.pop(call, None)
        for connection in self.connections:
            connection.say(message("end", call, why=16))
            return
        self.unsent.append(call)

    def tell_load(self):
        if self.connections and self.playing:
            self.connections[0].say(message("info", next(iter(self.playing)), note="asked", value="0.2"))


class ServerSide(Lines):
    made = 0

    def __init__(self, server):
        self.server = server

    def connection_made(self, transport):
        super().connection_made(transport)
        ServerSide.made += 1
        self.server.connections.append(self)
        for call in self.server.unsent:
            self.say(message("end", call, why=16))
        self.server.unsent = []

    def connection_lost(self, error):
        self.server.connections.remove(self)

    def heard(self, line):
        row = json.loads(line)
        if row["op"] == "offer":
            self.server.playing[row["call"]] = True
            self.say(message("accept", row["call"], description=DESCRIPTION))
        elif row["op"] == "end":
            self.server.playing.pop(row["call"], None)
            ContactsRun.current.server_heard.setdefault(row["call"], time.monotonic())
            self.say(message("ended", row["call"]))


class Client(ClientSide):
    """A client that notes when it hears of an end."""

    def heard(self, line):
        super().heard(line)
        row = json.loads(line)
        if row["op"] == "end":
            ContactsRun.current.client_heard.setdefault(row["call"], time.monotonic())


class ContactsRun(Run):
    """One size."""

    current = None

    def __init__(self, servers, descriptors, seconds, rate, notes):
        super().__init__(servers, seconds, rate)
        self.limit, self.notes = descriptors, notes
        self.media = [MediaServer(number + 1) for number in range(servers)]
        self.client_heard, self.server_heard = {}, {}
        ContactsRun.current = self

    def configuration(self, address, discovery_port):
        row = super().configuration(address, discovery_port)
        row["limits"]["sockets"] = self.limit
        return row

    def server_protocol(self, number):
        return self.media[number - 1].accepts

    def hand_over(self, client):
        calls = itertools.count(1)
        for _ in range(max(1, min(SESSIONS, SESSIONS_MAX // self.servers))):
            for media in self.media:
                call, home = f"{next(calls):016x}", (media.number - 1) // SERVERS_A_CELL
                media.playing[call] = True
                extras = f"home:{home};copies:{COPIES};top:2;viewer:{call};at:s-{media.number:08x}"
                fields = {"class": "clip", "left": "2000", "key": f"{home:x}", "extras": extras}
                client.transport.write(message("offer", call, description=DESCRIPTION, **fields))
        self.asked = 1 << 20  # calls of the requests that follow

    async def load(self, child, address):
        _, client = await self.loop.create_connection(Client, *address)
        resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (self.limit, self.limit))
        ServerSide.made = 0
        cpu_before, _, _ = figures_of(child.pid)
        began = time.monotonic()
        self.hand_over(client)
        order = [(media, call) for media in self.media for call in list(media.playing)]
        random.Random(7).shuffle(order)
        by_server, by_client, noted, asked = {}, {}, 0, 0
        while (passed := time.monotonic() - began) < WARM_UP_S + self.seconds + HEARD_WITHIN_S:
            due = round((min(passed, WARM_UP_S + self.seconds) - WARM_UP_S) * self.rate)
            while asked < due:
                self.ask(client)
                asked += 1
            while len(by_server) < min(due, (len(order) + 1) // 2):
                media, call = order[len(by_server)]
                by_server[call] = time.monotonic()
                media.end(call)
            while len(by_client) < min(due, len(order) // 2):
                _, call = order[-1 - len(by_client)]
                by_client[call] = time.monotonic()
                client.say(message("end", call, why=16))
            while self.notes and noted < passed / NOTE_S * self.servers:
                self.media[noted % self.servers].tell_load()
                noted += 1
            self.descriptors = max(self.descriptors, figures_of(child.pid)[2])
            await asyncio.sleep(SAMPLE_S)
        cpu, peak, _ = figures_of(child.pid)
        client_worst, client_late = spans(by_server, self.client_heard)
        server_worst, server_late = spans(by_client, self.server_heard)
        return Figures(
            self.servers,
            ServerSide.made / passed,
            (cpu - cpu_before) / passed,
            peak,
            self.descriptors,
            client_worst,
            client_late,
            server_worst,
            server_late,
            client.served / max(1, asked),
        )


def spans(said, heard):
    """(longest span of those that were heard, how many were heard late or never)."""
    found = [heard[call] - at for call, at in said.items() if call in heard]
    never = len(said) - len(found)
    return max(found, default=0), never + sum(span > HEARD_WITHIN_S for span in found)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--servers", type=int, nargs="+", default=[200, 600, 3200])
    parser.add_argument("--descriptors", type=int, default=256)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--rate", type=float, default=12, help="ends of servers, ends of the client, requests a second")
    parser.add_argument("--no-notes", dest="notes", action="store_false", help="servers send no load reports")
    args = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65_536), hard))
    print("servers  connections/s  cpu/s  peak MB  descriptors  client: worst s, late  server: worst s, late  served")
    for count in args.servers:
        row = asyncio.run(ContactsRun(count, args.descriptors, args.seconds, args.rate, args.notes).measure())
        print(
            f"{row.servers:7} {row.connections_per_s:14.1f} {row.cpu_per_s:6.3f} {row.peak_mb:8.1f} "
            f"{row.descriptors:12} {row.client_worst:15.2f} {row.client_late:5} "
            f"{row.server_worst:15.2f} {row.server_late:5} {row.served:8.3f}"
        )


if __name__ == "__main__":
    main()
