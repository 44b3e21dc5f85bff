"""Race conditions of the session manager on the platform's sockets: each test forces one order of events.

`stall` keeps the event loop from polling until its clock has passed a time, as in a process that is stopped.
"""

import asyncio
import contextlib
import errno
import json
import os
import socket
import struct
import time

import uvloop

from flaxscale import interface
from flaxscale.jsonl import messages
from flaxscale.platform import clients, descriptors, discovery, loopwatch, recent_ends
from flaxscale.platform.starttimes import START_AGE_MAX, StartTimes
from flaxscale.platform.stopping import stop_times
from tests.platform_rig import ANSWER, DESC, LIMIT, SETTINGS, Platform, accept_all, line

HOUR = 36_000_000  # tenths of a millisecond


def offer(call, left=2000):
    extras = "home:0;copies:1;top:1;viewer:00000000b4d65521"
    fields = {"class": "clip", "left": str(left), "key": "7f3a9c21e0b4d655", "extras": extras}
    return line("offer", call, desc=DESC, **fields)


def settings(**caps):
    return {**SETTINGS, "caps": {**SETTINGS["caps"], **caps}}


def with_deadline(milliseconds):
    return {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "deadlineMs": milliseconds}]}


class Crossings(Platform):
    """Runs the tests on uvloop, the event loop of `run`."""

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    async def raw_client(self):
        """A client's plain socket: sent data is in the receive buffer at once, before the manager's loop runs again."""
        client_socket = socket.create_connection(self.address)
        client_socket.setblocking(False)
        self.addCleanup(client_socket.close)
        while not any(
            one.transport.get_extra_info("peername") == client_socket.getsockname() for one in list(self.host.clients)
        ):
            await self.poll_loop()
        return client_socket

    def manager_side(self, client_socket):
        """The manager's connection object for this socket."""
        return next(
            one for one in self.host.clients if one.transport.get_extra_info("peername") == client_socket.getsockname()
        )

    async def poll_loop(self):
        """Runs one iteration of the loop, with its poll."""
        polled = self.loop.create_future()
        self.loop.call_later(clients.POLL_SECONDS, polled.set_result, None)
        await polled

    async def lines(self, client_socket, count):
        """Reads so many lines from a plain socket."""
        data = b""
        while data.count(b"\n") < count:
            more = await asyncio.wait_for(self.loop.sock_recv(client_socket, 65536), 10)
            if not more:
                raise AssertionError(f"closed after {data!r}")
            data += more
        return [json.loads(text) for text in data.split(b"\n") if text]

    async def stall(self, until, act=lambda: None):
        """Calls act() and blocks the loop, without a poll, until its clock has passed `until`.

        The loop blocks in a callback of a poll, as it does for garbage collection or a stop of the process, so timers
        that are due then run before the next poll.
        """
        ends = socket.socketpair()
        done = self.loop.create_future()

        def stop():
            self.loop.remove_reader(ends[0])
            act()
            while self.host.now() <= until:
                pass
            done.set_result(None)

        self.loop.add_reader(ends[0], stop)
        ends[1].send(b"x")
        await done
        for end in ends:
            end.close()

    def waiting_sessions(self):
        """The sessions that were read and wait for their first attempt."""
        return [session for session in self.host.runner.sessions.values() if session.nth < 0]


class Clients(Crossings):
    async def test_a_bad_line_between_two_requests_affects_neither(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        conn.send(offer("00000000000000a1"), b"\x00 noise\n", b'{"op":"dance"}\n', offer("00000000000000a2"))
        await self.seen("accept", who="viewer", call="00000000000000a1")
        await self.seen("accept", who="viewer", call="00000000000000a2")
        self.assertEqual(["", ""], [row["call"] for row in self.all("end", who="viewer")])

    async def test_a_wrong_field_is_refused_on_its_own_request_alone(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        conn.send(offer("00000000000000a1"), offer("00000000000000a2", left=0), offer("00000000000000a3"))
        for call in ("00000000000000a1", "00000000000000a3"):
            await self.seen("accept", who="viewer", call=call)
        self.assertEqual(["00000000000000a2"], [row["call"] for row in self.all("end", who="viewer")])

    async def test_nothing_is_sent_under_the_call_of_a_playing_session(self):
        # A refusal with this call, on any connection, would release the session.
        await self.server(1)
        await self.start(1)
        good, bad = await self.viewer("good"), await self.viewer("bad")
        call = self.ask(good)
        await self.seen("accept", who="good", call=call)
        self.ask(bad, call=call, desc="another\r\n")
        self.ask(bad, call=call, left=0)
        self.ask(bad, call=call, at=1)
        bad.send(line("test", "ffff"))
        await self.seen("tested", who="bad")
        self.assertEqual(["", ""], [row["call"] for row in self.all("end", who="bad")])
        self.assertEqual([], self.all("end", who="good"))
        self.assertEqual(1, len(self.host.sessions))

    async def test_lost_framing_ends_a_connection_only_after_its_open_requests_were_answered(self):
        conn, call, server = await self.open_set_up()
        conn.send(b"x" * 20_000)
        await self.seen("read no further")
        self.assertEqual([], self.all("closed", who="viewer"))
        server.send(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="viewer", call=call)
        await self.seen("closed", who="viewer")

    async def test_a_connection_with_too_many_bad_lines_is_closed(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        conn.send(*[b"noise\n"] * (clients.BAD_MESSAGES_MAX + 5))
        await self.seen("closed", who="viewer")
        self.assertEqual(clients.BAD_MESSAGES_MAX, len(self.all("end", who="viewer")))

    async def test_an_incomplete_line_does_not_affect_an_open_request(self):
        conn, call, server = await self.open_set_up()
        conn.send(b'{"op":"off')
        while not any(one.lines.partial for one in self.host.clients):
            await self.poll_loop()
        self.host.close_expired_clients(self.host.now() + clients.PARTIAL_LINE_TIMEOUT + 1)
        await self.poll_loop()
        server.send(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="viewer", call=call)
        self.host.close_expired_clients(self.host.now() + clients.PARTIAL_LINE_TIMEOUT + 1)
        await self.seen("closed", who="viewer")

    async def test_an_unread_request_on_a_connection_chosen_for_closing_is_served(self):
        await self.server(1)
        await self.start(1)
        client_socket = await self.raw_client()
        client_socket.send(offer("00000000000000a1"))
        self.manager_side(client_socket).close_for_room()  # the loop has not polled since
        (answer,) = await self.lines(client_socket, 1)
        self.assertEqual(("accept", "00000000000000a1"), (answer["op"], answer["call"]))

    async def test_a_half_closed_client_is_answered_at_once_and_nothing_is_started(self):
        await self.server(1)
        await self.start(1)
        client_socket = await self.raw_client()
        client_socket.send(offer("00000000000000a1"))
        while not self.waiting_sessions():
            await self.poll_loop()
        client_socket.shutdown(socket.SHUT_WR)
        (answer,) = await self.lines(client_socket, 1)
        self.assertEqual(("end", "00000000000000a1", 102), (answer["op"], answer["call"], answer["why"]))
        self.assertEqual(b"", await self.loop.sock_recv(client_socket, 100))
        self.assertEqual(({}, []), (self.host.sessions, self.all("offer", who=1)))

    async def test_a_half_close_during_an_attempt_is_answered_as_a_failure(self):
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        client_socket = await self.raw_client()
        client_socket.send(offer("00000000000000a1"))
        await self.seen("offer", who=1)
        client_socket.shutdown(socket.SHUT_WR)
        self.assertEqual(41, (await self.lines(client_socket, 1))[0]["why"])
        await self.seen("end", who=1, call="00000000000000a1")

    async def test_new_connections_wait_in_the_kernel_while_none_can_be_closed(self):
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        self.host.descriptors.client_limit = lambda: 4
        most = 4 + 8
        busy = []
        for n in range(most):
            busy.append(await self.viewer(n))
            self.ask(busy[-1], left=60_000)
            while sum(bool(one.open_requests) for one in self.host.clients) <= n:
                await self.poll_loop()
        late = socket.create_connection(self.address)
        self.addCleanup(late.close)
        late.setblocking(False)
        late.send(line("test", "ffff"))
        await self.poll_loop()
        self.assertTrue(self.host.listener.on_hold)
        self.assertEqual([], self.all("closed"))
        for conn in busy[:8]:
            conn.transport.abort()
        self.assertEqual("tested", (await self.lines(late, 1))[0]["op"])

    async def test_unsent_answers_of_a_client_that_closed_do_not_keep_its_connection(self):
        # Guards against descriptors that are held for good by clients that close one side and read nothing.
        await self.start()
        client_socket = await self.raw_client()
        client = self.manager_side(client_socket)
        async with asyncio.timeout(LIMIT):
            while not client.transport.get_write_buffer_size():
                with contextlib.suppress(BlockingIOError):
                    client_socket.send(line("test", "ffff") * 100)
                await self.poll_loop()
            client_socket.shutdown(socket.SHUT_WR)
            while not client.closed:
                await self.poll_loop()
            self.host.close_expired_clients(self.host.now() + clients.CLOSE_TIMEOUT + 1)
            while self.host.clients:
                await self.poll_loop()


class AcceptingOnHold(Crossings):
    """All connections that may be accepted have an open request, and another client waits in the kernel's queue.

    Guards against a listener that stays on hold for good: the manager runs, and answers nobody on a new connection.
    """

    LIMIT, OVERFLOW = 4, descriptors.CLIENT_OVERFLOW_MAX

    async def fill(self, left=60_000):
        """Takes all places with open requests and lets another client ask; returns the sockets and its socket."""
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        self.host.descriptors.client_limit = lambda: self.LIMIT
        self.host.close_expired_clients = lambda now: None  # no timer may be what resumes accepting
        busy = []
        async with asyncio.timeout(LIMIT):
            for number in range(self.LIMIT + self.OVERFLOW):
                busy.append(socket.create_connection(self.address))
                self.addCleanup(busy[-1].close)
                busy[-1].send(offer(f"{number:016x}", left=left))  # before the manager accepts the connection
                while self.host.open_request_count() <= number:
                    await self.poll_loop()
        late = socket.create_connection(self.address)
        self.addCleanup(late.close)
        late.setblocking(False)
        late.send(line("test", "ffff"))
        await self.poll_loop()
        self.assertTrue(self.host.listener.on_hold)
        return busy, late

    async def assert_served(self, late):
        self.assertEqual("tested", (await self.lines(late, 1))[0]["op"])

    async def accept_set_ups(self, number):
        await self.seen("offer", number, who=1)
        for row in self.all("offer", who=1)[:number]:
            row["conn"].send(line("accept", row["call"], desc=ANSWER))

    async def test_accepting_resumes_once_requests_were_answered_and_their_connections_stay(self):
        # The clients' sides stay open, also after the manager has closed its own.
        _, late = await self.fill()
        await self.accept_set_ups(self.LIMIT + self.OVERFLOW)
        await self.assert_served(late)

    async def test_one_answered_request_is_enough_for_the_next_connection(self):
        _, late = await self.fill()
        await self.accept_set_ups(1)
        await self.assert_served(late)

    async def test_accepting_resumes_once_requests_were_answered_by_a_timer(self):
        _, late = await self.fill(left=500)
        await self.assert_served(late)

    async def test_accepting_resumes_once_requests_were_given_up_by_their_clients(self):
        busy, late = await self.fill()
        busy[0].send(line("end", f"{0:016x}", why=16))
        await self.assert_served(late)

    async def test_accepting_resumes_once_a_connection_was_refused_all_its_requests(self):
        busy, late = await self.fill()
        busy[0].send(b"x" * 20_000)  # read no further: closed with the answer of its request
        await self.seen("read no further")
        await self.accept_set_ups(1)
        await self.assert_served(late)

    async def test_a_draining_manager_stays_while_accepting_is_on_hold(self):
        # Clients in the kernel's queue count as accepted, and would lose their requests.
        busy, late = await self.fill()
        self.host.drain()
        stay_is_over = self.host.now() + stop_times(self.host.config.longest_deadline).stay + 1
        for client_socket in busy:
            client = self.manager_side(client_socket)
            client.open_requests.clear()  # answered, and the loop has not continued yet
        self.assertFalse(self.host.is_drained(stay_is_over))
        self.host.descriptors.recheck_hold()
        await self.assert_served(late)
        async with asyncio.timeout(LIMIT):
            while not self.host.is_drained(stay_is_over):
                await self.poll_loop()


class LateEnds(Crossings):
    """Guards against a late end of an earlier attempt that ends what stands by now, for its client alone."""

    async def second_attempt(self):
        """A set-up that was given up and tried again at the same server; returns its call and both connections."""
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        call = self.ask(await self.viewer(), left=60_000)
        await self.seen("offer", 2, who=1, call=call)
        first, second = (row["conn"] for row in self.all("offer", who=1)[:2])
        self.assertIsNot(first, second)
        return call, first, second

    async def assert_plays_until_its_server_ends_it(self, call, server):
        self.assertEqual([], self.all("end", who="viewer"))
        self.assertEqual([int(call, 16)], list(self.host.runner.sessions))
        server.send(line("end", call, why=16))
        self.assertEqual(16, (await self.seen("end", who="viewer", call=call))["why"])

    async def test_a_late_error_does_not_end_the_next_attempt_that_is_out(self):
        call, first, second = await self.second_attempt()
        first.send(line("end", call, why=47))
        await self.seen("late end of an abandoned set-up")
        second.send(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="viewer", call=call)
        await self.assert_plays_until_its_server_ends_it(call, second)

    async def test_a_late_error_does_not_end_the_session_of_the_next_attempt(self):
        call, first, second = await self.second_attempt()
        second.send(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="viewer", call=call)
        first.send(line("end", call, why=47))
        await self.seen("late end of an abandoned set-up")
        await self.assert_plays_until_its_server_ends_it(call, second)

    async def test_a_session_is_ended_on_the_connection_of_an_earlier_attempt_once_that_is_settled(self):
        call, first, second = await self.second_attempt()
        first.send(line("ended", call))
        second.send(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="viewer", call=call)
        await self.assert_plays_until_its_server_ends_it(call, first)


class Successors(Crossings):
    """Guards against sessions that stand at the successor at a server's address, and are over for their client."""

    async def replaced(self, started_ago_s):
        """A session, and then a list in which its server's address has a new server that started so long ago."""
        await self.server(1)
        await self.start(1)
        call = self.ask(await self.viewer())
        await self.seen("accept", who="viewer", call=call)
        row = self.row(2, port=self.port(self.servers[1]), started=(time.time() - started_ago_s) * 1000)
        self.host.apply_list_update(self.host.bulletin.receive(json.dumps(self.event(row)).encode()))
        self.assertEqual(41, (await self.seen("end", who="viewer", call=call))["why"])
        return call

    async def test_a_session_set_up_after_the_successors_start_ends_at_both_sides(self):
        call = await self.replaced(started_ago_s=20)
        await self.seen("end", who=1, call=call)

    async def test_the_successor_hears_nothing_of_sessions_from_before_its_start(self):
        await self.replaced(started_ago_s=0)
        self.host.servers.endpoints[2].release("00000000000000bb", 16)
        await self.seen("end", who=1, call="00000000000000bb")
        self.assertEqual(1, len(self.all("end", who=1)))

    async def test_the_successor_hears_of_set_ups_that_were_given_up_since_its_start(self):
        await self.server(1)
        await self.start(1)
        endpoint = self.host.servers.endpoints[1]
        endpoint.retry_at = 1 << 62  # its release is not sent yet
        endpoint.release("00000000000000bb", 16)
        row = self.row(2, port=self.port(self.servers[1]), started=(time.time() - 20) * 1000)
        self.host.apply_list_update(self.host.bulletin.receive(json.dumps(self.event(row)).encode()))
        await self.seen("end", who=1, call="00000000000000bb")
        endpoint.release("00000000000000cc", 16)  # of an attempt that was out when the list told
        await self.seen("end", who=1, call="00000000000000cc")


class Refusals(Crossings):
    """Guards against sessions that stand at a server which refused connections for a while, as it was at its limit."""

    async def playing(self):
        """A session, its endpoint, and its server's connection."""
        await self.server(1)
        await self.start(1)
        call = self.ask(await self.viewer())
        await self.seen("accept", who="viewer", call=call)
        return call, self.host.servers.endpoints[1], self.all("open", who=1)[0]["conn"]

    async def test_a_server_that_refused_is_told_of_the_ended_sessions_when_it_accepts_again(self):
        call, _, connection = await self.playing()
        port = self.port(self.servers[1])
        self.servers[1].close()
        connection.transport.close()
        self.assertEqual(41, (await self.seen("end", who="viewer", call=call))["why"])
        await self.server(1, port=port)
        await self.seen("end", who=1, call=call)

    async def test_a_process_that_reset_its_connection_and_refuses_is_told_nothing(self):
        call, endpoint, connection = await self.playing()
        self.servers[1].close()
        linger = struct.pack("ii", 1, 0)  # close(2) resets the connection
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.transport.abort()
        await self.seen("end", who="viewer", call=call)
        async with asyncio.timeout(LIMIT):
            while endpoint in self.host.servers.active:
                await self.poll_loop()
        self.assertTrue(endpoint.was_reset)

    async def test_refusals_while_a_connection_was_open_do_not_count_once_it_is_closed(self):
        call, endpoint, connection = await self.playing()
        endpoint.refusals = endpoint.failures = 2
        connection.transport.close()
        await self.seen("open", 2, who=1)
        self.assertEqual([], self.all("end", who="viewer"))
        self.all("open", who=1)[1]["conn"].send(line("end", call, why=16))
        self.assertEqual(16, (await self.seen("end", who="viewer", call=call))["why"])


class Notes(Crossings):
    """Guards against servers whose connection is cut, with what stands behind, for a note that can't be used."""

    async def test_what_stands_behind_a_note_that_can_not_be_read_is_heard(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        await self.seen("accept", who="viewer", call=call)
        server = self.all("offer", who=1)[0]["conn"]
        notes = [line("info", call, note="share", value=value) for value in ("", "much", "1e999")]
        server.send(*notes, line("info", call, note="share"), line("end", call, why=16))
        self.assertEqual(16, (await self.seen("end", who="viewer", call=call))["why"])
        self.assertEqual(4, self.host.counts["bad note"])
        self.assertEqual([], self.all("closed", who=1))

    async def test_a_rung_that_the_ladder_does_not_have_is_not_taken_on(self):
        # Each event that touched the session's server failed from then on, that of the batch timer too.
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        await self.seen("accept", who="viewer", call=call)
        server, rungs = self.all("offer", who=1)[0]["conn"], len(SETTINGS["specifics"]["levelKb"])
        for value in (rungs, -1, 0.5):
            server.send(line("info", call, note="step", value=str(value)))
        server.send(line("info", call, note="step", value=str(rungs - 1)))
        await self.seen("accept", who="viewer", call=self.ask(conn))
        self.assertEqual(3, self.host.counts["bad note"])
        self.assertEqual(rungs - 1, self.host.runner.manager.sessions[int(call, 16)].rung)


class Records(Crossings):
    """Guards against records that stay after their answer: the process is killed when its memory runs out."""

    async def test_no_record_stays_of_a_request_that_was_refused_by_a_timer(self):
        await self.server(1)
        await self.start(1)
        self.host.runner.manager.servers[1].link.capacity_kb = 1e-6  # no session fits
        conn = await self.viewer()
        calls = [self.ask(conn) for _ in range(20)]
        for call in calls:
            await self.seen("end", who="viewer", call=call)
        self.assertEqual([], self.all("offer", who=1))
        self.assertEqual(({}, {}), (self.host.sessions, self.host.runner.sessions))

    async def test_no_record_stays_of_a_request_that_failed_at_its_deadline(self):
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        conn = await self.viewer()
        calls = [self.ask(conn, left=300) for _ in range(3)]
        for call in calls:
            await self.seen("end", who="viewer", call=call)
            await self.seen("end", who=1, call=call)
        self.assertEqual(({}, {}), (self.host.sessions, self.host.runner.sessions))
        self.assertEqual(({}, set()), (self.endpoint().waiting_sessions, self.endpoint().playing))

    async def test_no_rung_stays_of_a_session_that_is_over(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        await self.seen("accept", who="viewer", call=call)
        self.endpoint().pending_rungs[call] = 0  # no connection to send it on
        self.host.ended_by_server(
            self.endpoint(), self.host.sessions[int(call, 16)], messages.Message("end", call, why=16)
        )
        self.assertEqual({}, self.endpoint().pending_rungs)

    def endpoint(self):
        return self.host.servers.endpoints[1]


class HandOvers(Crossings):
    """Guards against sessions that are taken on although they are over: their ends came before their hand-overs."""

    CALL = "00000000000000aa"

    async def server_connection(self):
        """A connection of the server, opened for the hand-over of another session."""
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        self.ask(conn, call="00000000000000bb", at=1)
        return conn, (await self.seen("open", who=1))["conn"]

    def assert_not_held(self):
        self.assertEqual([0xBB], list(self.host.sessions))
        self.assertEqual([0xBB], list(self.host.runner.sessions))
        self.assertEqual([0xBB], list(self.host.runner.manager.sessions))

    async def test_a_release_before_the_hand_over_of_its_session_is_passed_on(self):
        conn, server = await self.server_connection()
        server.send(line("end", self.CALL, why=16))
        await self.seen("ended", who=1, call=self.CALL)
        self.ask(conn, call=self.CALL, at=1)
        self.assertEqual(16, (await self.seen("end", who="viewer", call=self.CALL))["why"])
        self.assert_not_held()
        conn.send(line("ended", self.CALL))
        async with asyncio.timeout(LIMIT):
            while len(self.host.client_releases):
                await self.poll_loop()

    async def test_a_release_of_a_session_that_its_viewer_ended_is_not_passed_on(self):
        conn, server = await self.server_connection()
        server.send(line("end", self.CALL, why=31))
        await self.seen("ended", who=1, call=self.CALL)
        self.ask(conn, call=self.CALL, at=1)
        conn.send(line("test", "ffff"))
        await self.seen("tested", who="viewer")
        self.assertEqual([], self.all("end", who="viewer"))
        self.assert_not_held()

    async def test_a_viewers_end_before_the_hand_over_ends_the_session_at_its_server(self):
        conn, _ = await self.server_connection()
        other = await self.viewer("other")
        other.send(line("end", self.CALL, why=16))
        await self.seen("ended", who="other", call=self.CALL)
        self.ask(conn, call=self.CALL, at=1)
        await self.seen("end", who=1, call=self.CALL)
        self.assertEqual([], self.all("end", who="viewer"))
        self.assert_not_held()

    async def test_a_hand_over_that_is_repeated_after_its_servers_end_is_not_taken_on(self):
        conn, server = await self.server_connection()
        self.ask(conn, call=self.CALL, at=1)
        server.send(line("end", self.CALL, why=16))
        await self.seen("end", who="viewer", call=self.CALL)
        await self.assert_not_taken_on(conn)

    async def test_a_hand_over_that_is_repeated_after_its_viewers_end_is_not_taken_on(self):
        conn, _ = await self.server_connection()
        self.ask(conn, call=self.CALL, at=1)
        conn.send(line("end", self.CALL, why=16))
        await self.seen("end", who=1, call=self.CALL)
        await self.assert_not_taken_on(conn)

    async def assert_not_taken_on(self, conn):
        self.ask(conn, call=self.CALL, at=1)
        conn.send(line("test", "ffff"))
        await self.seen("tested", who="viewer")
        self.assert_not_held()

    async def test_an_end_at_another_server_does_not_end_the_session(self):
        conn, server = await self.server_connection()
        await self.server(2)
        self.host.apply_list_update(self.list_update(self.row(2)))
        server.send(line("end", self.CALL, why=16))
        await self.seen("ended", who=1, call=self.CALL)
        self.ask(conn, call=self.CALL, at=2)
        conn.send(line("test", "ffff"))
        await self.seen("tested", who="viewer")
        self.assertEqual({0xAA, 0xBB}, set(self.host.sessions))

    def list_update(self, row):
        event = self.event(row)
        return self.host.bulletin.receive(json.dumps(event).encode())

    def test_ends_are_kept_for_a_time_and_a_number(self):
        ends = recent_ends.RecentEnds()
        ends.add(1, recent_ends.SessionEnd(7, 16, received_at=0))
        ends.expire(recent_ends.KEPT_FOR)
        self.assertIsNotNone(ends.find(1, 7))
        ends.expire(recent_ends.KEPT_FOR + 1)
        self.assertIsNone(ends.find(1, 7))
        for session in range(recent_ends.ENDS_MAX + 5):
            ends.add(session, recent_ends.SessionEnd(7, 16, received_at=0))
        self.assertEqual(recent_ends.ENDS_MAX, len(ends))
        self.assertIsNone(ends.find(4, 7))


class Stall(Crossings):
    """The process stalls: timers are overdue and data is unread when it continues."""

    async def waiting_request(self, left=2000):
        client_socket = await self.raw_client()
        client_socket.send(offer("00000000000000a1", left=left))
        while not self.waiting_sessions():
            await self.poll_loop()
        return client_socket

    async def test_nothing_is_started_for_a_client_that_ended_during_the_stall(self):
        await self.server(1)
        await self.start(1)
        for how in ("close", "end"):
            with self.subTest(how=how):
                client_socket = await self.waiting_request()

                def end_request():
                    if how == "close":
                        client_socket.close()
                    else:
                        client_socket.send(line("end", "00000000000000a1", why=16))

                # The attempt is overdue, and the close or end is unread.
                await self.stall(self.host.runner.next_wake_at + loopwatch.STALL_THRESHOLD + 100, end_request)
                while self.host.sessions:
                    await self.poll_loop()
        other = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(other, call="00000000000000bb"))
        self.assertEqual(["00000000000000bb"], [row["call"] for row in self.all("offer", who=1)])

    async def test_an_answer_that_arrived_during_the_stall_counts_despite_its_overdue_timer(self):
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        client_socket = await self.waiting_request()
        server = (await self.seen("offer", who=1))["conn"]
        session = next(iter(self.host.runner.sessions.values()))
        expires = min(at for at, _, kind, *_ in self.host.runner.timers if kind == 0)
        accept = line("accept", "00000000000000a1", desc=ANSWER)
        to_manager = server.transport.get_extra_info("socket").fileno()
        await self.stall(expires + loopwatch.STALL_THRESHOLD + 100, lambda: os.write(to_manager, accept))
        (answer,) = await self.lines(client_socket, 1)
        self.assertEqual(("accept", 0), (answer["op"], session.nth))

    async def test_deadlines_of_unread_requests_count_from_before_the_stall(self):
        await self.server(1)
        await self.start(1)
        client_socket = await self.raw_client()
        await self.poll_loop()
        await self.stall(self.host.now() + 4_000, lambda: client_socket.send(offer("00000000000000a1", left=300)))
        (answer,) = await self.lines(client_socket, 1)
        self.assertEqual(("end", 34), (answer["op"], answer["why"]))
        self.assertEqual([], self.all("offer", who=1))
        # Once the manager has caught up, new requests have their full deadline.
        while not self.host.loop_watch.caught_up():
            await self.poll_loop()
        client_socket.send(offer("00000000000000a2", left=300))
        self.assertEqual("accept", (await self.lines(client_socket, 1))[0]["op"])

    async def test_a_server_gets_no_longer_deadline_than_the_client_has_left(self):
        await self.server(1)
        await self.start(1)
        client_socket = await self.raw_client()
        await self.poll_loop()
        await self.stall(self.host.now() + 3_000, lambda: client_socket.send(offer("00000000000000a1", left=2500)))
        sent = await self.seen("offer", who=1)
        self.assertLessEqual(sent["fields"]["left"], 2_200)

    async def test_a_stall_does_not_count_as_silence_of_discovery(self):
        await self.server(1)
        await self.start(1)
        feed = self.all("after")[0]["conn"].transport.get_extra_info("socket").fileno()
        await self.stall(self.host.now() + discovery.SILENCE_TIMEOUT + 2_000, lambda: os.write(feed, b"1\n"))
        while not self.host.loop_watch.caught_up():
            await self.poll_loop()
        self.assertEqual(0, self.host.counts["bulletin silent"])

    async def test_a_draining_manager_reads_what_arrived_during_a_stall(self):
        await self.server(1)
        await self.start(1)
        self.host.drain()
        times = stop_times(self.host.config.longest_deadline)
        client_socket = socket.socket()
        self.addCleanup(client_socket.close)

        def send_late_request():
            client_socket.connect(self.address)
            client_socket.setblocking(False)
            client_socket.send(offer("00000000000000a1", left=3000))

        # The time to serve ends while the connection is not accepted and the request not read.
        await self.stall(self.host.now() + times.stay + 1_000, send_late_request)
        answered = asyncio.ensure_future(self.lines(client_socket, 1))
        await self.host.done.wait()
        self.assertEqual("accept", (await answered)[0]["op"])

    async def test_a_draining_manager_stays_until_it_has_caught_up(self):
        await self.server(1)
        await self.start(1)
        self.host.drain()
        after = self.host.drain_started_at + stop_times(self.host.config.longest_deadline).stay + 1
        self.host.loop_watch.stalled_at = after - 500
        self.assertFalse(self.host.is_drained(after))
        self.host.loop_watch.maintenance_on_time(after)
        self.assertTrue(self.host.is_drained(after))


class Attempts(Crossings):
    def delay_dials(self):
        """Delays the manager's outgoing connections until the returned event is set."""
        release_dials, connect = asyncio.Event(), self.host.connect

        async def delayed(make_protocol, address):
            self.rows.put("dials")
            await release_dials.wait()
            return await connect(make_protocol, address)

        self.host.connect = delayed
        return release_dials

    def fail_dials(self, number):
        async def failing(make_protocol, address):
            raise OSError(number, "made to fail")

        self.host.connect = failing

    async def check_client_leaving_while_connecting(self, cancelling):
        await self.server(1)
        await self.start(1, settings=settings(cancelling=cancelling, dialTimeoutMs=5000.0))
        conn = await self.viewer()
        release_dials = self.delay_dials()
        self.ask(conn)
        await self.seen("dials")
        conn.transport.abort()
        while self.host.sessions:
            await self.poll_loop()
        release_dials.set()
        await self.seen("open", who=1)
        await self.poll_loop()
        self.assertEqual([], self.all("offer", who=1))
        self.assertFalse(self.host.runner.manager.servers[1].failures)

    async def test_a_waiting_set_up_is_not_sent_after_its_client_left(self):
        await self.check_client_leaving_while_connecting(True)

    async def test_a_waiting_set_up_is_not_sent_after_its_client_left_without_cancelling(self):
        await self.check_client_leaving_while_connecting(False)

    async def test_a_local_error_does_not_count_against_the_server(self):
        await self.server(1)
        await self.start(1)
        events = []
        self.host.runner.observer = lambda now, event, acts: events.append(event)
        for number in (
            errno.EMFILE,
            errno.ENFILE,
            errno.ENOBUFS,
            errno.ENOMEM,
            errno.EADDRNOTAVAIL,
            errno.EADDRINUSE,
            errno.EAGAIN,
            errno.EINTR,
            errno.EPERM,
            errno.EACCES,
        ):
            with self.subTest(errno=errno.errorcode[number]):
                events.clear()
                self.fail_dials(number)
                conn = await self.viewer()
                call = self.ask(conn, left=300)
                await self.seen("end", who="viewer", call=call)
                self.assertEqual(
                    {interface.Outcome.MOOT}, {e.outcome for e in events if isinstance(e, interface.AttemptEnded)}
                )
                server = self.host.runner.manager.servers[1]
                self.assertEqual((0, 0, None), (server.failures, server.backoff_until, server.failed_at))
                self.assertEqual(0, self.host.servers.endpoints[1].failures)

    async def test_a_network_error_counts_against_the_server_but_not_as_refused(self):
        await self.server(1)
        await self.start(1)
        endpoint, server = self.host.servers.endpoints[1], self.host.runner.manager.servers[1]
        events = []
        self.host.runner.observer = lambda now, event, acts: events.append(event)
        for number in (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT):
            with self.subTest(errno=errno.errorcode[number]):
                events.clear()
                endpoint.failures = server.failures = server.backoff_until = 0
                self.fail_dials(number)
                conn = await self.viewer()
                call = self.ask(conn, left=300)
                await self.seen("end", who="viewer", call=call)
                self.assertEqual(
                    {interface.Outcome.UNREACHED}, {e.outcome for e in events if isinstance(e, interface.AttemptEnded)}
                )
                self.assertEqual((True, 0), (endpoint.failures > 0, endpoint.refusals))
                self.assertTrue(server.backoff_until)

    async def test_a_connection_lost_for_lack_of_local_memory_is_no_server_failure(self):
        await self.open_set_up()
        events = []
        self.host.runner.observer = lambda now, event, acts: events.append(event)
        (connection,) = self.host.servers.endpoints[1].connections
        connection.connection_lost(OSError(errno.ENOBUFS, "made to fail"))
        self.assertEqual(
            [interface.Outcome.CANCELLED], [e.outcome for e in events if isinstance(e, interface.AttemptEnded)]
        )
        self.assertEqual(0, self.host.runner.manager.servers[1].failures)

    async def test_a_connection_that_its_server_closed_takes_no_set_up(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(conn))
        (connection,) = self.host.servers.endpoints[1].connections
        self.assertIs(connection, self.host.servers.endpoints[1].idle_connection())
        connection.eof_received()  # the loop reports the lost connection one iteration later
        self.assertIsNone(self.host.servers.endpoints[1].idle_connection())

    async def test_a_deadline_below_a_millisecond_is_not_rounded_up(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(conn))
        endpoint = self.host.servers.endpoints[1]
        session = next(iter(self.host.sessions.values()))
        session.expire_at = self.host.now() + 9
        endpoint.send_set_up(endpoint.idle_connection(), session)
        await self.poll_loop()
        self.assertEqual(1, len(self.all("offer", who=1)))

    async def test_a_server_with_a_full_accept_queue_is_replaced_by_another(self):
        full = socket.socket()
        self.addCleanup(full.close)
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for one in waiting:  # Linux drops further SYNs: a connection neither opens nor fails
            self.addCleanup(one.close)
            one.setblocking(False)
            one.connect_ex(full.getsockname())
        await self.server(1)
        await self.start(1)
        row = {**self.row(2, port=full.getsockname()[1]), "weight": 50}  # most capacity: tried first
        self.host.apply_list_update(self.host.bulletin.receive(json.dumps(self.event(row)).encode()))
        conn = await self.viewer()
        call = self.ask(conn, left=4000)
        await self.seen("accept", who="viewer", call=call)
        self.assertEqual(1, self.host.counts["dials that came to nothing"])
        self.assertEqual(1, len(self.all("offer", who=1)))

    async def test_a_server_that_dropped_an_idle_connection_silently(self):
        dropped = []

        def accept_until_dropped(conn, row):
            if conn not in dropped:
                accept_all(conn, row)

        await self.server(1, accept_until_dropped)
        await self.start(1)
        conn = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(conn, left=4000))
        dropped.append(self.all("offer", who=1)[0]["conn"])
        call = self.ask(conn, left=4000)
        await self.seen("accept", who="viewer", call=call)
        first, second = self.all("offer", who=1, call=call)
        self.assertIs(dropped[0], first["conn"])
        self.assertIsNot(dropped[0], second["conn"])
        # Nothing is sent on it again, and it is closed once the timeout for a late answer has passed.
        self.host.servers.maintain(self.host.now() + 30_000)
        await self.seen("closed", conn=dropped[0])

    async def test_a_release_is_retried_after_a_failed_connection(self):
        await self.server(1)
        await self.start(1)
        connect = self.host.connect
        self.fail_dials(errno.ETIMEDOUT)
        endpoint = self.host.servers.endpoints[1]
        endpoint.release("00000000000000a1", 16)
        while endpoint.dials_pending:
            await self.poll_loop()
        self.assertEqual(1, endpoint.failures)
        self.host.connect = connect
        await self.seen("end", who=1, call="00000000000000a1")


class ClosedTransport:
    """The transport of a connection that opened after it was superseded."""

    aborted = False

    def abort(self):
        self.aborted = True


class Discovery(Crossings):
    async def test_a_list_that_arrives_slowly_is_received_whole(self):
        await self.server(1)
        await self.server(2)
        await self.start(1)
        feed, watch = self.all("after")[0]["conn"], self.host.discovery
        event = json.dumps(self.event(self.row(2))).encode() + b"\n"
        before = watch.received_at
        feed.send(event[:30])
        while watch.received_at == before:
            await self.poll_loop()
        watch.maintain(before + discovery.SILENCE_TIMEOUT + 1)  # a partial line counts as received data
        feed.send(event[30:])
        while 2 not in self.host.servers.endpoints:
            await self.poll_loop()
        self.assertEqual(1, len(self.all("after")))

    async def test_a_silent_discovery_service_is_contacted_less_and_less_often(self):
        await self.server(1)
        await self.start(1)
        watch = self.host.discovery
        spans = []
        for failures in range(5):
            watch.failures = failures
            spans.append(watch.silence_limit())
        self.assertEqual([14_000, 14_000, 28_000, 40_000, 40_000], spans)

    async def test_an_address_change_supersedes_a_connection_that_has_just_opened(self):
        await self.server(1)
        await self.start(1)
        watch = self.host.discovery
        watch.drop()
        watch.start()
        stale = watch.connection
        old, self.discovery_server = self.discovery_server, await self.bulletin("new")
        self.addCleanup(old.close)
        watch.change_address(("127.0.0.1", self.port(self.discovery_server)))
        await self.seen("after", who="new")
        # The old connection opened before its task was cancelled: it is closed unread, and the current one stays.
        transport = ClosedTransport()
        stale.connection_made(transport)
        stale.connection_lost(None)
        self.assertTrue(transport.aborted)
        self.assertIsNot(stale, watch.connection)
        self.assertIsNotNone(watch.connection)
        self.assertEqual(1, len(self.all("after", who="new")))


class Clocks(Crossings):
    def test_a_start_is_checked_against_when_it_was_received(self):
        now = 10 * HOUR
        for name, listed_at, followed, expected in (
            ("two seconds ago", now - 20_000, True, now - 20_000),
            ("an hour ahead", now + HOUR, True, now),
            ("an hour behind, in a followed list", now - HOUR, True, now),
            ("an hour ago, in the first list", now - HOUR, False, now - HOUR),
            ("an hour ahead, in the first list", now + HOUR, False, now),
            ("delayed by an outage of discovery", now - START_AGE_MAX, True, now - START_AGE_MAX),
        ):
            with self.subTest(name):
                self.assertEqual(expected, StartTimes().start_time(1, listed_at / 10, now, followed))
        starts = StartTimes()
        first = starts.start_time(1, (now + HOUR) / 10, now, True)
        self.assertEqual(first, starts.start_time(1, (now + HOUR) / 10, now + 50_000, True))

    async def test_a_server_that_starts_is_cold_whatever_the_wall_clock_says(self):
        cold = {**SETTINGS, "obligations": {**SETTINGS["obligations"], "warmWithinMs": 9000.0}}
        await self.server(1)
        await self.start(1, settings=cold)
        manager = self.host.runner.manager
        manager.started_at -= 100_000  # the manager has run for longer than a warm-up
        for number, clock_error in ((2, -HOUR), (3, HOUR), (4, 0)):
            await self.server(number)
            row = self.row(number, started=(self.host.now() + clock_error) / 10)
            self.host.apply_list_update(self.host.bulletin.receive(json.dumps(self.event(row)).encode()))
            server = manager.servers[number]
            self.assertTrue(manager.is_cold(server), clock_error)
            self.assertAlmostEqual(90_000, server.cold_until - manager.now, delta=1_000)

    async def test_a_restart_that_a_stepped_clock_dates_too_early_ends_its_sessions(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        await self.seen("accept", who="viewer", call=call)
        self.host.servers.endpoints[1].started_at = (
            self.host.now() + 5_000
        )  # as listed before the clocks were corrected
        row = self.row(1, started=(self.host.now() - HOUR) / 10)
        self.host.apply_list_update(self.host.bulletin.receive(json.dumps(self.event(row)).encode()))
        self.assertEqual(41, (await self.seen("end", who="viewer", call=call))["why"])


class Stops(Crossings):
    def test_the_time_to_serve_follows_from_the_settings_deadlines(self):
        for longest, expected in ((30_000, (9_000, 34_500)), (100_000, (9_000, 34_500)), (2_000, (8_000, 8_000))):
            with self.subTest(longest):
                self.assertEqual(expected, tuple(stop_times(longest)))
        for longest in range(500, 40_000, 500):
            stay, answer_by = stop_times(longest)
            self.assertTrue(7_000 <= stay <= answer_by < min(longest, 30_000) + 7_000 + 500, longest)

    async def test_requests_open_at_the_end_of_serving_get_a_final_answer(self):
        await self.server(1, lambda conn, row: None)
        short_deadline = with_deadline(500.0)
        short_deadline["classes"][0]["goalTimeMs"] = 60_000.0
        await self.start(1, settings=short_deadline)
        conn = await self.viewer()
        call = self.ask(conn, left=60_000)
        await self.seen("offer", who=1)
        self.host.drain()
        began = self.host.now()
        await self.seen("end", who="viewer", call=call)
        self.assertLess(self.host.now() - began, stop_times(5_000).answer_by + 500)
        await self.seen("end", who=1, call=call)
        # Later requests are answered by then, too.
        await self.host.done.wait()
        self.assertEqual(0, self.host.open_request_count())

    async def test_answers_are_sent_before_the_process_ends(self):
        await self.server(
            1,
            lambda conn, row: (
                row["op"] == "offer" and conn.send(line("accept", row["call"], desc="x" * 15_000 + "\r\n"))
            ),
        )
        await self.start(1)
        client_socket = socket.socket()
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client_socket.connect(self.address)
        client_socket.setblocking(False)
        self.addCleanup(client_socket.close)
        while not self.host.clients:
            await self.poll_loop()
        manager_side = next(iter(self.host.clients)).transport.get_extra_info("socket")
        manager_side.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # the rest stays in the process's buffer
        calls = [f"{n:016x}" for n in range(1, 13)]
        client_socket.send(b"".join(offer(call) for call in calls))
        while self.host.counts["answered plays"] < len(calls):
            await self.poll_loop()
        stopping = asyncio.ensure_future(self.host.stop())
        answers = await self.lines(client_socket, len(calls))
        await stopping
        self.host = None
        self.assertEqual(calls, sorted(answer["call"] for answer in answers))


class Settings(Crossings):
    async def test_names_keep_their_numbers_when_classes_are_reordered(self):
        await self.server(1)
        await self.start(1)
        clip = SETTINGS["classes"][0]
        stream = SETTINGS["specifics"]
        twice = {key: stream[key] * 2 for key in ("lowestRung", "highestRung", "scaleByClass", "licenceCap", "live")}
        new = {
            **SETTINGS,
            "classes": [{**clip, "name": "first", "worth": 9.0}, clip],
            "zones": ["other", "one"],
            "myZone": 1,
            "specifics": {**stream, **twice},
        }
        self.write(settings=new)
        self.host.reload()
        config = self.host.config
        self.assertEqual((("clip", "first"), ("one", "other")), (config.packages, config.zones))
        self.assertEqual([clip["worth"], 9.0], [package.value for package in config.terms.packages])
        self.assertEqual(0, config.terms.zone)
        conn = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(conn))
        self.assertEqual("clip", self.all("offer", who=1)[0]["fields"]["class"])

    async def test_another_number_of_this_manager_is_refused_by_its_key(self):
        await self.server(1)
        await self.start(1)
        self.write(settings={**SETTINGS, "peersTotal": 2})
        self.host.reload()
        self.assertIn("settings: peersTotal", self.all("settings refused")[0]["why"])

    async def test_the_address_that_the_environment_named_stays(self):
        await self.server(1)
        await self.start(1)
        self.host.config = self.host.config._replace(listen=("127.0.0.1", 9))
        old, self.discovery_server = self.discovery_server, await self.bulletin("new")
        self.addCleanup(old.close)
        self.write()
        self.host.reload()
        await self.seen("after", who="new")
        self.assertEqual(("127.0.0.1", 9), self.host.config.listen)

    async def test_a_file_that_was_half_written_is_read_again_when_it_is_whole(self):
        await self.server(1)
        await self.start(1)
        old, self.discovery_server = self.discovery_server, await self.bulletin("new")
        self.addCleanup(old.close)
        self.write()
        whole = self.file.read_bytes()
        self.file.write_bytes(whole[: len(whole) // 2])
        self.host.reload()
        self.assertEqual(1, len(self.all("settings refused")))
        self.file.write_bytes(whole)
        await self.seen("after", who="new")


class Growth(Crossings):
    async def test_maintenance_covers_servers_in_use_and_not_all_listed(self):
        await self.server(1)
        await self.start(1, settings={**SETTINGS, "specifics": {**SETTINGS["specifics"], "cells": 2}})
        rows = [{**self.row(1000 + n, port=1024 + n), "cell": 1} for n in range(3_200)]
        self.host.apply_list_update(self.host.bulletin.receive(json.dumps(self.event(*rows)).encode()))
        self.assertEqual(3_201, len(self.host.servers.endpoints))
        maintained = []
        for endpoint in self.host.servers.endpoints.values():
            endpoint.maintain = lambda now, endpoint=endpoint: maintained.append(endpoint.server)
        conn = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(conn))
        self.host.maintain()
        self.assertEqual(1, len(set(maintained)))
