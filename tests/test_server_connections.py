"""Connections to media servers when sessions play on more of them than the manager has descriptors for.

The tests move the manager's clock on in steps; a server says what it could not send on the next connection.
"""

import asyncio
import json
import unittest
from collections import defaultdict

from flaxscale.platform import endpoints
from flaxscale.platform.connection_budget import IdleConnection, closing_rank, shares
from flaxscale.platform.server_connections import ContactRequest
from tests.platform_rig import ANSWER, LIMIT, SETTINGS, StandIn, accept_all, line
from tests.test_platform_crossings import Crossings

SECOND = 10_000  # tenths of a millisecond
STEP = SECOND // 10  # by which the clock moves on for each maintenance pass
TOLD_WITHIN = 8 * SECOND  # the protocol's limit for a release that could not be sent
NOTES_SETTINGS = {**SETTINGS, "specifics": {**SETTINGS["specifics"], "tellMs": 3_500.0}}


def hang(conn, row):
    """Handler of a server that answers nothing."""


class MediaServer(StandIn):
    """A connection of a server that sends the ends in `unsent` when it is opened."""

    def __init__(self, test, who, handler):
        super().__init__(who, test.rows, handler)
        self.test = test

    def connection_made(self, transport):
        super().connection_made(transport)
        self.test.opened_at[self.who].append(self.test.host.now())
        for call in self.test.unsent.pop(self.who, ()):
            self.send(line("end", call, why=16))
        if self.who in self.test.closing_at_once:
            transport.close()
        elif self.who in self.test.sending_noise:
            self.send(b"noise\n")


class Budget(Crossings):
    """A manager with a few descriptors for servers, and sessions that play on many."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.opened_at, self.unsent = defaultdict(list), {}
        self.closing_at_once, self.sending_noise = set(), set()
        self.offset = self.most_descriptors = 0

    async def listen(self, who, handler=None, port=0):
        if not isinstance(who, int):
            return await super().listen(who, handler, port)
        return await self.loop.create_server(lambda: MediaServer(self, who, handler), "127.0.0.1", port)

    async def start_with(self, servers, limit, handler=accept_all):
        for number in range(1, servers + 1):
            await self.server(number, handler)
        await self.start(*range(1, servers + 1), settings=NOTES_SETTINGS)
        self.host.descriptors.server_limit = lambda: limit
        clock = self.host.now
        self.host.now = lambda: clock() + self.offset
        self.conn = await self.viewer()

    async def hand_over(self, *numbers, first_call=0):
        """Hands over one session at each of these servers; its call is first_call and the number of its server."""
        for number in numbers:
            self.ask(self.conn, call=f"{first_call + number:016x}", at=number)
        await self.until(lambda: {first_call + number for number in numbers} <= set(self.host.sessions))

    async def until(self, condition):
        async with asyncio.timeout(LIMIT):
            while not condition():
                await self.poll()

    async def poll(self):
        await self.poll_loop()
        used = sum(len(endpoint.connections) + endpoint.dials_pending for endpoint in self.host.servers.active)
        self.most_descriptors = max(self.most_descriptors, used)

    async def run_for(self, span):
        """Moves the clock on by this span, with a maintenance pass and some polls in each step."""
        for _ in range(span // STEP):
            self.offset += STEP
            self.host.maintain()
            for _ in range(3):
                await self.poll()

    def tell(self, *rows):
        """An event of the list."""
        self.host.apply_list_update(self.host.bulletin.receive(json.dumps(self.event(*rows)).encode()))

    def longest_gap(self, number, begin):
        """The longest span without a new connection to a server."""
        times = [begin, *self.opened_at[number], self.host.now()]
        return max(after - before for before, after in zip(times, times[1:]))

    def ends_told(self):
        return {row["call"] for row in self.all("end", who="viewer")}


class Contacts(Budget):
    """Guards against servers that are never connected to again, so that their clients are never told of an end."""

    async def test_each_server_with_sessions_is_connected_in_turn(self):
        await self.start_with(servers=12, limit=4)
        begin = self.host.now()
        await self.hand_over(*range(1, 13))
        await self.run_for(24 * SECOND)
        gaps = {number: self.longest_gap(number, begin) for number in range(1, 13)}
        self.assertLess(max(gaps.values()), TOLD_WITHIN - SECOND, gaps)
        self.assertLessEqual(self.most_descriptors, 4)

    async def test_an_end_that_its_server_could_not_send_reaches_the_client(self):
        await self.start_with(servers=12, limit=4)
        await self.hand_over(*range(1, 13))
        await self.hand_over(*range(1, 13), first_call=0x100)  # these play on
        await self.run_for(2 * SECOND)
        self.unsent = {number: [f"{number:016x}"] for number in range(1, 13)}
        await self.run_for(TOLD_WITHIN)
        self.assertEqual({f"{number:016x}" for number in range(1, 13)}, self.ends_told())

    async def test_servers_take_turns_no_faster_than_they_must(self):
        # Guards against connections that are made and closed in each maintenance pass: servers pay for them.
        await self.start_with(servers=12, limit=4)
        await self.hand_over(*range(1, 13))
        await self.run_for(2 * SECOND)
        before = sum(map(len, self.opened_at.values()))
        await self.run_for(20 * SECOND)
        turns = 1 + 20 * SECOND // self.host.servers.endpoints[1].silence_limit()
        self.assertLessEqual(sum(map(len, self.opened_at.values())) - before, 12 * turns)

    async def test_servers_that_cannot_be_reached_keep_no_other_from_its_turn(self):
        await self.start_with(servers=12, limit=4)
        begin = self.host.now()
        for number in range(1, 7):
            self.servers[number].close()
        await self.hand_over(*range(1, 13))
        await self.run_for(12 * SECOND)
        gaps = {number: self.longest_gap(number, begin) for number in range(7, 13)}
        self.assertLess(max(gaps.values()), TOLD_WITHIN - SECOND, gaps)
        self.assertEqual({f"{number:016x}" for number in range(1, 7)}, self.ends_told())
        self.assertLessEqual(self.most_descriptors, 4)

    async def test_set_ups_that_are_not_answered_leave_descriptors_to_contacts(self):
        await self.start_with(servers=1, limit=4, handler=hang)
        for _ in range(8):
            self.ask(self.conn, left=60_000)
        await self.until(lambda: len(self.all("offer")) >= 3)
        await self.server(99)
        self.tell(self.row(99))
        await self.hand_over(99)
        await self.run_for(SECOND)
        self.assertEqual(1, len(self.opened_at[99]))
        self.assertLessEqual(self.most_descriptors, 4)

    async def test_an_error_at_one_server_keeps_no_other_from_its_connection(self):
        await self.start_with(servers=4, limit=2)
        await self.hand_over(1)
        failing = self.host.servers.endpoints[1]

        def fail(now):
            raise RuntimeError("at one server")

        failing.maintain = fail
        self.host.servers.active = {failing}
        with self.assertRaises(RuntimeError):
            self.host.servers.maintain(self.host.now())
        self.host.servers.endpoints[2].release("00000000000000bb", 16)
        await self.seen("end", who=2, call="00000000000000bb")

    async def test_set_ups_are_served_while_servers_take_turns(self):
        await self.start_with(servers=12, limit=4)
        await self.hand_over(*range(1, 13))
        for _ in range(10):
            self.offset += STEP
            self.host.maintain()
            call = self.ask(self.conn, call=f"{0x100 + self.request_count:016x}")
            await self.until(lambda: self.all("accept", who="viewer", call=call) or self.all("end", call=call))
            self.assertEqual([], self.all("end", call=call))
            self.conn.send(line("end", call, why=16))
        self.assertLessEqual(self.most_descriptors, 4)

    async def test_a_server_that_ends_each_connection_is_not_dialled_in_each_pass(self):
        await self.start_with(servers=2, limit=4)
        self.closing_at_once, self.sending_noise = {1}, {2}
        await self.hand_over(1, 2)
        await self.run_for(5 * SECOND)
        most = 1 + endpoints.FAILURES_TO_LOSE + 5 * SECOND // endpoints.RECONNECT_PAUSE_LONG
        for number in (1, 2):
            self.assertIn(len(self.opened_at[number]), range(4, most + 1))


class Limit(Budget):
    """Guards against more open descriptors than the manager may have."""

    async def test_releases_to_many_servers_stay_within_the_limit_and_arrive(self):
        await self.start_with(servers=30, limit=4)
        await self.hand_over(*range(1, 31))
        for number in range(1, 31):
            self.conn.send(line("end", f"{number:016x}", why=16))
        await self.until(lambda: not self.host.sessions)
        await self.run_for(4 * SECOND)
        self.assertEqual({*range(1, 31)}, {row["who"] for row in self.all("end") if row["who"] != "viewer"})
        self.assertLessEqual(self.most_descriptors, 4)

    async def test_a_release_that_waited_for_a_descriptor_is_not_dropped(self):
        await self.start_with(servers=1, limit=2)
        self.host.descriptors.server_limit = lambda: 0
        endpoint = self.host.servers.endpoints[1]
        endpoint.release("00000000000000bb", 16)
        await self.run_for(endpoints.RELEASE_TIMEOUT + SECOND)
        self.assertEqual([], self.all("end", who=1))
        self.host.descriptors.server_limit = lambda: 2
        await self.run_for(SECOND)
        await self.seen("end", who=1, call="00000000000000bb")

    async def test_no_descriptor_stays_counted_after_its_connection(self):
        await self.start_with(servers=4, limit=2)
        self.servers[1].close()
        self.closing_at_once = {2}
        await self.hand_over(1, 2, 3, 4)
        await self.run_for(3 * SECOND)
        for number in range(2, 5):
            self.conn.send(line("end", f"{number:016x}", why=16))
        await self.run_for(20 * SECOND)
        await self.until(lambda: not self.host.server_connections.open)
        self.assertEqual(set(), self.host.servers.active)

    async def test_a_set_up_that_waited_for_a_descriptor_is_never_sent_once_it_was_given_up(self):
        await self.start_with(servers=2, limit=2, handler=hang)
        connections = self.host.server_connections
        connections.shares = lambda: shares(2)._replace(set_ups=9)
        calls = [self.ask(self.conn, left=60_000) for _ in range(3)]
        await self.until(lambda: connections.waiting)
        waiting = connections.waiting[0][2].call
        self.conn.send(line("end", waiting, why=16))
        await self.until(lambda: int(waiting, 16) not in self.host.sessions)
        for row in self.all("offer"):
            row["conn"].send(line("accept", row["call"], desc=ANSWER))
        await self.run_for(SECOND)
        self.assertEqual({*calls} - {waiting}, {row["call"] for row in self.all("offer")})
        self.assertEqual(2, self.host.counts["dialled for a set-up"])

    async def test_a_server_is_not_blamed_for_a_set_up_that_waited_for_a_descriptor(self):
        await self.start_with(servers=2, limit=2, handler=hang)
        connections = self.host.server_connections
        connections.shares = lambda: shares(2)._replace(set_ups=9)
        for _ in range(3):
            self.ask(self.conn, left=60_000)
        await self.until(lambda: connections.waiting)
        session = connections.waiting[0][2]
        self.offset += self.host.config.terms.allowed.dial_timeout + STEP
        self.host.maintain()
        self.assertEqual((0, 1), (len(connections.waiting), self.host.counts["no descriptor"]))
        self.assertNotIn(session.call, session.endpoint.waiting_sessions)
        await self.until(lambda: self.host.counts["set-up moot"])
        self.assertEqual(0, self.host.counts["set-up unreached"])

    async def test_a_connection_that_came_up_for_a_set_up_does_not_make_room_before_the_set_up_is_sent(self):
        await self.start_with(servers=1, limit=2)
        connect, states = self.host.connect, []

        async def connect_and_look(*arguments):
            connection = await connect(*arguments)
            states.append((connection.is_idle(), connection.is_busy()))
            return connection

        self.host.connect = connect_and_look
        call = self.ask(self.conn)
        await self.seen("accept", who="viewer", call=call)
        self.assertEqual([(False, True)], states)

    async def test_one_connection_is_closed_for_one_contact_however_late_its_server_closes(self):
        await self.start_with(servers=6, limit=4)
        await self.hand_over(*range(1, 7))
        await self.run_for(SECOND)
        connections, later = self.host.server_connections, self.host.now() + SECOND
        unconnected = next(one for one in self.host.servers.active if not one.is_connected())
        connections.contacts = [ContactRequest(0, unconnected)]
        for _ in range(2):
            connections.make_room(later)
            self.assertEqual(1, sum(connection.closed for connection in connections.open))

    async def test_a_set_up_does_not_go_to_the_successor_at_the_address_of_a_replaced_server(self):
        await self.start_with(servers=1, limit=2)
        connect, may_connect = self.host.connect, asyncio.Event()

        async def connect_later(*arguments):
            await may_connect.wait()
            return await connect(*arguments)

        self.host.connect = connect_later
        self.ask(self.conn)
        replaced = self.host.servers.endpoints[1]
        await self.until(lambda: replaced.dials_pending)
        self.tell(self.row(1, "DELETED"), self.row(2, port=self.port(self.servers[1])))
        may_connect.set()
        await self.until(lambda: not replaced.dials_pending)
        self.assertEqual(1, self.host.counts["set-up unreached"])
        await self.until(lambda: self.all("offer"))
        self.assertEqual(set(), replaced.connections)


class SharesOfDescriptors(unittest.TestCase):
    def test_contacts_and_set_ups_leave_room_to_each_other_at_any_size(self):
        for total in range(2, 400):
            result = shares(total)
            self.assertIn(result.set_ups, range(1, total))
            for busy in range(result.set_ups + 1):
                self.assertIn(result.contact_limit(busy), range(busy + 1, total + 1))
            self.assertLess(result.contact_limit(0), total)

    def test_one_descriptor_serves_both(self):
        self.assertEqual((1, 1, 0), (shares(1).set_ups, shares(1).contact_limit(0), shares(0).contact_limit(0)))

    def test_connections_that_no_server_needs_are_closed_first_then_those_used_longest_ago(self):
        unneeded = IdleConnection(used_at=9, is_only_one=False, awaits_acknowledgement=False)
        old = IdleConnection(used_at=1, is_only_one=True, awaits_acknowledgement=False)
        new = IdleConnection(used_at=2, is_only_one=True, awaits_acknowledgement=False)
        awaiting = IdleConnection(used_at=0, is_only_one=False, awaits_acknowledgement=True)
        self.assertEqual([unneeded, old, new, awaiting], sorted([awaiting, new, old, unneeded], key=closing_rank))
