"""The manager on the platform's sockets: what comes between two lines of it, each crossing forced.

`spin` keeps the event loop from polling until its clock has passed a time, as a process that stands still does.
"""

import asyncio
import errno
import json
import os
import socket

import uvloop

from flaxscale import interface
from flaxscale.platform import clients, discovery, loopwatch
from flaxscale.platform.starttimes import PLAUSIBLE, StartTimes
from flaxscale.platform.stopping import stop_times
from tests.platform_rig import ANSWER, DESC, SETTINGS, Platform, line, plays

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
    """On the event loop of `run`."""

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    async def raw(self):
        """A client's plain socket: what it sends is in the manager's kernel at once, before its loop runs again."""
        made = socket.create_connection(self.address)
        made.setblocking(False)
        self.addCleanup(made.close)
        while not any(
            one.transport.get_extra_info("peername") == made.getsockname() for one in list(self.host.clients)
        ):
            await self.turn()
        return made

    def manager_side(self, made):
        """The manager's connection to this socket."""
        return next(one for one in self.host.clients if one.transport.get_extra_info("peername") == made.getsockname())

    async def turn(self):
        """One turn of the loop, with its poll."""
        polled = self.loop.create_future()
        self.loop.call_later(clients.POLLED, polled.set_result, None)
        await polled

    async def lines(self, made, count):
        """So many lines that come on a plain socket."""
        data = b""
        while data.count(b"\n") < count:
            more = await asyncio.wait_for(self.loop.sock_recv(made, 65536), 10)
            if not more:
                raise AssertionError(f"closed after {data!r}")
            data += more
        return [json.loads(text) for text in data.split(b"\n") if text]

    async def stands_still(self, until, act=lambda: None):
        """This happens, and the loop does not poll again before its clock has passed the time.

        It stops in a callback of a poll, as it would for a collection of garbage or a stop of the process: timers that
        are due then come before the next poll.
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

    def clip_waits(self):
        """Whether some session has been read and waits for its slot."""
        return [held for held in self.host.runner.sessions.values() if held.nth < 0]


class Clients(Crossings):
    async def test_a_bad_line_between_two_requests_costs_neither_its_answer(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        conn.say(offer("00000000000000a1"), b"\x00 noise\n", b'{"op":"dance"}\n', offer("00000000000000a2"))
        await self.seen("accept", who="viewer", call="00000000000000a1")
        await self.seen("accept", who="viewer", call="00000000000000a2")
        self.assertEqual(["", ""], [row["call"] for row in self.all("end", who="viewer")])

    async def test_a_wrong_field_is_refused_on_its_own_request_alone(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        conn.say(offer("00000000000000a1"), offer("00000000000000a2", left=0), offer("00000000000000a3"))
        for call in ("00000000000000a1", "00000000000000a3"):
            await self.seen("accept", who="viewer", call=call)
        self.assertEqual(["00000000000000a2"], [row["call"] for row in self.all("end", who="viewer")])

    async def test_nothing_is_said_under_the_call_of_a_session_that_plays(self):
        # A refusal under it, on whatever connection, releases that session.
        await self.server(1)
        await self.start(1)
        good, bad = await self.viewer("good"), await self.viewer("bad")
        call = self.ask(good)
        await self.seen("accept", who="good", call=call)
        self.ask(bad, call=call, desc="another\r\n")
        self.ask(bad, call=call, left=0)
        self.ask(bad, call=call, at=1)
        bad.say(line("test", "ffff"))
        await self.seen("tested", who="bad")
        self.assertEqual(["", ""], [row["call"] for row in self.all("end", who="bad")])
        self.assertEqual([], self.all("end", who="good"))
        self.assertEqual(1, len(self.host.sessions))

    async def test_lost_framing_ends_a_connection_only_after_its_open_requests_were_answered(self):
        conn, call, server = await self.one_out()
        conn.say(b"x" * 20_000)
        await self.seen("read no further")
        self.assertEqual([], self.all("closed", who="viewer"))
        server.say(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="viewer", call=call)
        await self.seen("closed", who="viewer")

    async def test_one_that_keeps_sending_what_can_not_be_read_is_closed(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        conn.say(*[b"noise\n"] * (clients.BAD_MOST + 5))
        await self.seen("closed", who="viewer")
        self.assertEqual(clients.BAD_MOST, len(self.all("end", who="viewer")))

    async def test_an_unfinished_line_costs_no_open_request(self):
        conn, call, server = await self.one_out()
        conn.say(b'{"op":"off')
        while not any(one.lines.partial for one in self.host.clients):
            await self.turn()
        self.host.tend_clients(self.host.now() + clients.HALF + 1)
        await self.turn()
        server.say(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="viewer", call=call)
        self.host.tend_clients(self.host.now() + clients.HALF + 1)
        await self.seen("closed", who="viewer")

    async def test_a_request_that_waits_in_the_kernel_when_its_connection_is_chosen_to_make_room(self):
        await self.server(1)
        await self.start(1)
        made = await self.raw()
        made.send(offer("00000000000000a1"))
        self.manager_side(made).leave()  # the loop has not polled since
        (answer,) = await self.lines(made, 1)
        self.assertEqual(("accept", "00000000000000a1"), (answer["op"], answer["call"]))

    async def test_a_client_that_closes_its_writing_side_gets_its_answer_at_once_and_nothing_is_begun(self):
        await self.server(1)
        await self.start(1)
        made = await self.raw()
        made.send(offer("00000000000000a1"))
        while not self.clip_waits():
            await self.turn()
        made.shutdown(socket.SHUT_WR)
        (answer,) = await self.lines(made, 1)
        self.assertEqual(("end", "00000000000000a1", 102), (answer["op"], answer["call"], answer["why"]))
        self.assertEqual(b"", await self.loop.sock_recv(made, 100))
        self.assertEqual(({}, []), (self.host.sessions, self.all("offer", who=1)))

    async def test_one_that_half_closes_while_its_attempt_is_out_is_told_that_it_failed(self):
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        made = await self.raw()
        made.send(offer("00000000000000a1"))
        await self.seen("offer", who=1)
        made.shutdown(socket.SHUT_WR)
        self.assertEqual(41, (await self.lines(made, 1))[0]["why"])
        await self.seen("end", who=1, call="00000000000000a1")

    async def test_when_nobody_can_be_spared_newcomers_wait_in_the_kernel_and_are_served_later(self):
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        self.host.descriptors.clients_most = lambda: 4
        most = 4 + 8
        busy = []
        for n in range(most):
            busy.append(await self.viewer(n))
            self.ask(busy[-1], left=60_000)
            while sum(bool(one.open) for one in self.host.clients) <= n:
                await self.turn()
        late = socket.create_connection(self.address)
        self.addCleanup(late.close)
        late.setblocking(False)
        late.send(line("test", "ffff"))
        await self.turn()
        self.assertTrue(self.host.listener.held)
        self.assertEqual([], self.all("closed"))
        for conn in busy[:8]:
            conn.transport.abort()
        self.assertEqual("tested", (await self.lines(late, 1))[0]["op"])


class Standstill(Crossings):
    """The process stands still: timers are overdue and bytes unread when it goes on."""

    async def waits(self, left=2000):
        made = await self.raw()
        made.send(offer("00000000000000a1", left=left))
        while not self.clip_waits():
            await self.turn()
        return made

    async def test_nothing_is_begun_for_a_client_that_left_meanwhile(self):
        await self.server(1)
        await self.start(1)
        for how in ("close", "end"):
            with self.subTest(how=how):
                made = await self.waits()

                def leave():
                    if how == "close":
                        made.close()
                    else:
                        made.send(line("end", "00000000000000a1", why=16))

                # The slot is overdue, the close unread.
                await self.stands_still(self.host.runner.next_wake_at + loopwatch.LATE + 100, leave)
                while self.host.sessions:
                    await self.turn()
        other = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(other, call="00000000000000bb"))
        self.assertEqual(["00000000000000bb"], [row["call"] for row in self.all("offer", who=1)])

    async def test_an_answer_that_came_meanwhile_counts_though_its_attempt_is_overdue(self):
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        made = await self.waits()
        server = (await self.seen("offer", who=1))["conn"]
        held = next(iter(self.host.runner.sessions.values()))
        expires = min(at for at, _, kind, *_ in self.host.runner.timers if kind == 0)
        accept = line("accept", "00000000000000a1", desc=ANSWER)
        to_manager = server.transport.get_extra_info("socket").fileno()
        await self.stands_still(expires + loopwatch.LATE + 100, lambda: os.write(to_manager, accept))
        (answer,) = await self.lines(made, 1)
        self.assertEqual(("accept", 0), (answer["op"], held.nth))

    async def test_what_a_client_has_left_is_counted_from_before_the_standstill(self):
        await self.server(1)
        await self.start(1)
        made = await self.raw()
        await self.turn()
        await self.stands_still(self.host.now() + 4_000, lambda: made.send(offer("00000000000000a1", left=300)))
        (answer,) = await self.lines(made, 1)
        self.assertEqual(("end", 34), (answer["op"], answer["why"]))
        self.assertEqual([], self.all("offer", who=1))
        # Once it has caught up, what comes has its whole time again.
        while not self.host.watch.caught_up():
            await self.turn()
        made.send(offer("00000000000000a2", left=300))
        self.assertEqual("accept", (await self.lines(made, 1))[0]["op"])

    async def test_a_server_is_told_no_more_than_the_client_has_left(self):
        await self.server(1)
        await self.start(1)
        made = await self.raw()
        await self.turn()
        await self.stands_still(self.host.now() + 3_000, lambda: made.send(offer("00000000000000a1", left=2500)))
        sent = await self.seen("offer", who=1)
        self.assertLessEqual(sent["fields"]["left"], 2_200)

    async def test_silence_is_no_silence_while_nobody_listened(self):
        await self.server(1)
        await self.start(1)
        feed = self.all("after")[0]["conn"].transport.get_extra_info("socket").fileno()
        await self.stands_still(self.host.now() + discovery.SILENCE + 2_000, lambda: os.write(feed, b"1\n"))
        while not self.host.watch.caught_up():
            await self.turn()
        self.assertEqual(0, self.host.counts["bulletin silent"])

    async def test_a_manager_that_leaves_reads_what_came_while_it_stood_still(self):
        await self.server(1)
        await self.start(1)
        self.host.leave()
        times = stop_times(self.host.config.longest_deadline)
        made = socket.socket()
        self.addCleanup(made.close)

        def come():
            made.connect(self.address)
            made.setblocking(False)
            made.send(offer("00000000000000a1", left=3000))

        # The stay ends; the connection waits to be accepted, the request to be read.
        await self.stands_still(self.host.now() + times.stay + 1_000, come)
        answered = asyncio.ensure_future(self.lines(made, 1))
        await self.host.done.wait()
        self.assertEqual("accept", (await answered)[0]["op"])

    async def test_a_manager_that_leaves_stays_until_it_has_caught_up(self):
        await self.server(1)
        await self.start(1)
        self.host.leave()
        after = self.host.leaving_since + stop_times(self.host.config.longest_deadline).stay + 1
        self.host.watch.stopped_at = after - 500
        self.assertFalse(self.host.left(after))
        self.host.watch.round_in_time(after)
        self.assertTrue(self.host.left(after))


class Attempts(Crossings):
    def gate_dials(self):
        """The manager's own connections wait at this event before they are made."""
        gate, connect = asyncio.Event(), self.host.connect

        async def gated(make_protocol, address):
            self.rows.put("dials")
            await gate.wait()
            return await connect(make_protocol, address)

        self.host.connect = gated
        return gate

    def fail_dials(self, number):
        async def failing(make_protocol, address):
            raise OSError(number, "made to fail")

        self.host.connect = failing

    async def leaves_while_its_connection_is_made(self, cancelling):
        await self.server(1)
        await self.start(1, settings=settings(cancelling=cancelling, dialTimeoutMs=5000.0))
        conn = await self.viewer()
        gate = self.gate_dials()
        self.ask(conn)
        await self.seen("dials")
        conn.transport.abort()
        while self.host.sessions:
            await self.turn()
        gate.set()
        await self.seen("open", who=1)
        await self.turn()
        self.assertEqual([], self.all("offer", who=1))
        self.assertFalse(self.host.runner.manager.servers[1].failures)

    async def test_a_set_up_that_waits_for_its_connection_never_goes_once_its_client_left(self):
        await self.leaves_while_its_connection_is_made(True)

    async def test_nor_where_the_settings_allow_no_calling_off(self):
        await self.leaves_while_its_connection_is_made(False)

    async def test_an_error_of_this_machine_says_nothing_of_the_server(self):
        await self.server(1)
        await self.start(1)
        heard = []
        self.host.runner.observer = lambda now, event, acts: heard.append(event)
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
                heard.clear()
                self.fail_dials(number)
                conn = await self.viewer()
                call = self.ask(conn, left=300)
                await self.seen("end", who="viewer", call=call)
                self.assertEqual(
                    {interface.Outcome.MOOT}, {e.outcome for e in heard if isinstance(e, interface.AttemptEnded)}
                )
                server = self.host.runner.manager.servers[1]
                self.assertEqual((0, 0, None), (server.failures, server.backoff_until, server.failed_at))
                self.assertEqual(0, self.host.servers.endpoints[1].fails)

    async def test_an_error_of_the_way_counts_against_the_server_and_proves_nothing_else(self):
        await self.server(1)
        await self.start(1)
        endpoint, server = self.host.servers.endpoints[1], self.host.runner.manager.servers[1]
        heard = []
        self.host.runner.observer = lambda now, event, acts: heard.append(event)
        for number in (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT):
            with self.subTest(errno=errno.errorcode[number]):
                heard.clear()
                endpoint.fails = server.failures = server.backoff_until = 0
                self.fail_dials(number)
                conn = await self.viewer()
                call = self.ask(conn, left=300)
                await self.seen("end", who="viewer", call=call)
                self.assertEqual(
                    {interface.Outcome.UNREACHED}, {e.outcome for e in heard if isinstance(e, interface.AttemptEnded)}
                )
                self.assertEqual((True, 0), (endpoint.fails > 0, endpoint.refusals))
                self.assertTrue(server.backoff_until)

    async def test_a_connection_that_breaks_for_want_of_memory_here_is_no_failure_of_its_server(self):
        await self.one_out()
        heard = []
        self.host.runner.observer = lambda now, event, acts: heard.append(event)
        (connection,) = self.host.servers.endpoints[1].connections
        connection.connection_lost(OSError(errno.ENOBUFS, "made to fail"))
        self.assertEqual(
            [interface.Outcome.CANCELLED], [e.outcome for e in heard if isinstance(e, interface.AttemptEnded)]
        )
        self.assertEqual(0, self.host.runner.manager.servers[1].failures)

    async def test_a_connection_whose_end_was_read_takes_no_set_up(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(conn))
        (connection,) = self.host.servers.endpoints[1].connections
        self.assertIs(connection, self.host.servers.endpoints[1].idle_connection())
        connection.eof_received()  # the loop tells of the lost connection a turn later
        self.assertIsNone(self.host.servers.endpoints[1].idle_connection())

    async def test_less_than_a_millisecond_is_not_told_as_one(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(conn))
        endpoint = self.host.servers.endpoints[1]
        session = next(iter(self.host.sessions.values()))
        session.expire_at = self.host.now() + 9
        endpoint.send(endpoint.idle_connection(), session)
        await self.turn()
        self.assertEqual(1, len(self.all("offer", who=1)))

    async def test_a_server_whose_accept_queue_is_full_is_left_for_another(self):
        full = socket.socket()
        self.addCleanup(full.close)
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for one in waiting:  # Linux drops what comes after these: the connection neither comes up nor fails
            self.addCleanup(one.close)
            one.setblocking(False)
            one.connect_ex(full.getsockname())
        await self.server(1)
        await self.start(1)
        row = {**self.row(2, port=full.getsockname()[1]), "weight": 50}  # the roomiest: tried first
        self.host.hear(self.host.bulletin.take(json.dumps(self.event(row)).encode()))
        conn = await self.viewer()
        call = self.ask(conn, left=4000)
        await self.seen("accept", who="viewer", call=call)
        self.assertEqual(1, self.host.counts["dials that came to nothing"])
        self.assertEqual(1, len(self.all("offer", who=1)))

    async def test_a_server_that_forgot_an_idle_connection_without_a_word(self):
        forgotten = []

        def plays_until_forgotten(conn, row):
            if conn not in forgotten:
                plays(conn, row)

        await self.server(1, plays_until_forgotten)
        await self.start(1)
        conn = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(conn, left=4000))
        forgotten.append(self.all("offer", who=1)[0]["conn"])
        call = self.ask(conn, left=4000)
        await self.seen("accept", who="viewer", call=call)
        first, second = self.all("offer", who=1, call=call)
        self.assertIs(forgotten[0], first["conn"])
        self.assertIsNot(forgotten[0], second["conn"])
        # Nothing is sent there again, and it is closed once an answer that is late can't be meant any more.
        self.host.servers.tend(self.host.now() + 30_000)
        await self.seen("closed", conn=forgotten[0])

    async def test_a_release_whose_connection_did_not_come_up_goes_again(self):
        await self.server(1)
        await self.start(1)
        connect = self.host.connect
        self.fail_dials(errno.ETIMEDOUT)
        endpoint = self.host.servers.endpoints[1]
        endpoint.release("00000000000000a1", 16)
        while endpoint.dialing:
            await self.turn()
        self.assertEqual(1, endpoint.fails)
        self.host.connect = connect
        await self.seen("end", who=1, call="00000000000000a1")


class ClosedTransport:
    """A connection that came up when nobody wanted it any more."""

    aborted = False

    def abort(self):
        self.aborted = True


class Discovery(Crossings):
    async def test_a_list_that_takes_long_to_arrive_is_heard_whole(self):
        await self.server(1)
        await self.server(2)
        await self.start(1)
        feed, watch = self.all("after")[0]["conn"], self.host.discovery
        event = json.dumps(self.event(self.row(2))).encode() + b"\n"
        before = watch.heard_at
        feed.say(event[:30])
        while watch.heard_at == before:
            await self.turn()
        watch.tend(before + discovery.SILENCE + 1)  # silent since before, were a part of a line nothing
        feed.say(event[30:])
        while 2 not in self.host.servers.endpoints:
            await self.turn()
        self.assertEqual(1, len(self.all("after")))

    async def test_a_silent_service_is_asked_less_and_less_often(self):
        await self.server(1)
        await self.start(1)
        watch = self.host.discovery
        spans = []
        for fails in range(5):
            watch.fails = fails
            spans.append(watch.silence())
        self.assertEqual([14_000, 14_000, 28_000, 40_000, 40_000], spans)

    async def test_a_move_that_crosses_a_connection_which_has_just_come_up(self):
        await self.server(1)
        await self.start(1)
        watch = self.host.discovery
        watch.drop()
        watch.start()
        stale = watch.connection
        old, self.feed = self.feed, await self.bulletin("new")
        self.addCleanup(old.close)
        watch.go_to(("127.0.0.1", self.port(self.feed)))
        await self.seen("after", who="new")
        # The old dial had succeeded when it was called off: its connection is closed unheard, and drops nothing.
        transport = ClosedTransport()
        stale.connection_made(transport)
        stale.connection_lost(None)
        self.assertTrue(transport.aborted)
        self.assertIsNot(stale, watch.connection)
        self.assertIsNotNone(watch.connection)
        self.assertEqual(1, len(self.all("after", who="new")))


class Clocks(Crossings):
    def test_a_start_is_checked_against_when_it_was_heard(self):
        now = 10 * HOUR
        for name, told, followed, expected in (
            ("just now", now - 20_000, True, now - 20_000),
            ("an hour ahead of us", now + HOUR, True, now),
            ("an hour behind us, as it happens", now - HOUR, True, now),
            ("an hour ago, on the list that we start with", now - HOUR, False, now - HOUR),
            ("ahead of us, on the list that we start with", now + HOUR, False, now),
            ("late by an outage of discovery", now - PLAUSIBLE, True, now - PLAUSIBLE),
        ):
            with self.subTest(name):
                self.assertEqual(expected, StartTimes().of(1, told / 10, now, followed))
        starts = StartTimes()
        first = starts.of(1, (now + HOUR) / 10, now, True)
        self.assertEqual(first, starts.of(1, (now + HOUR) / 10, now + 50_000, True))

    async def test_a_server_that_starts_is_cold_whatever_the_wall_clock_says(self):
        cold = {**SETTINGS, "obligations": {**SETTINGS["obligations"], "warmWithinMs": 9000.0}}
        await self.server(1)
        await self.start(1, settings=cold)
        manager = self.host.runner.manager
        manager.started_at -= 100_000  # it has served for longer than a warm-up
        for number, off in ((2, -HOUR), (3, HOUR), (4, 0)):
            await self.server(number)
            row = self.row(number, started=(self.host.now() + off) / 10)
            self.host.hear(self.host.bulletin.take(json.dumps(self.event(row)).encode()))
            server = manager.servers[number]
            self.assertTrue(manager.is_cold(server), off)
            self.assertAlmostEqual(90_000, server.cold_until - manager.now, delta=1_000)

    async def test_sessions_are_cut_with_a_start_that_a_stepped_clock_dates_before_them(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        await self.seen("accept", who="viewer", call=call)
        self.host.servers.endpoints[1].started_at = self.host.now() + 5_000  # as told before the clocks were set right
        row = self.row(1, started=(self.host.now() - HOUR) / 10)
        self.host.hear(self.host.bulletin.take(json.dumps(self.event(row)).encode()))
        self.assertEqual(41, (await self.seen("end", who="viewer", call=call))["why"])


class Stops(Crossings):
    def test_the_stay_follows_from_the_settings_deadlines(self):
        for longest, expected in ((30_000, (9_000, 34_500)), (100_000, (9_000, 34_500)), (2_000, (8_000, 8_000))):
            with self.subTest(longest):
                self.assertEqual(expected, tuple(stop_times(longest)))
        for longest in range(500, 40_000, 500):
            stay, answer_by = stop_times(longest)
            self.assertTrue(7_000 <= stay <= answer_by < min(longest, 30_000) + 7_000 + 500, longest)

    async def test_what_is_open_when_the_stay_ends_gets_its_final_answer(self):
        await self.server(1, lambda conn, row: None)
        patient = with_deadline(500.0)
        patient["classes"][0]["goalTimeMs"] = 60_000.0
        await self.start(1, settings=patient)
        conn = await self.viewer()
        call = self.ask(conn, left=60_000)
        await self.seen("offer", who=1)
        self.host.leave()
        began = self.host.now()
        await self.seen("end", who="viewer", call=call)
        self.assertLess(self.host.now() - began, stop_times(5_000).answer_by + 500)
        await self.seen("end", who=1, call=call)
        # What comes later is answered by then too.
        await self.host.done.wait()
        self.assertEqual(0, self.host.unanswered())

    async def test_answers_have_left_the_process_when_it_ends(self):
        await self.server(
            1,
            lambda conn, row: (
                row["op"] == "offer" and conn.say(line("accept", row["call"], desc="x" * 15_000 + "\r\n"))
            ),
        )
        await self.start(1)
        made = socket.socket()
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        made.connect(self.address)
        made.setblocking(False)
        self.addCleanup(made.close)
        while not self.host.clients:
            await self.turn()
        manager_side = next(iter(self.host.clients)).transport.get_extra_info("socket")
        manager_side.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # the rest stays in the process
        calls = [f"{n:016x}" for n in range(1, 13)]
        made.send(b"".join(offer(call) for call in calls))
        while self.host.counts["answered plays"] < len(calls):
            await self.turn()
        stopping = asyncio.ensure_future(self.host.stop())
        answers = await self.lines(made, len(calls))
        await stopping
        self.host = None
        self.assertEqual(calls, sorted(answer["call"] for answer in answers))


class Settings(Crossings):
    async def test_names_keep_their_numbers_when_classes_change_places(self):
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
        old, self.feed = self.feed, await self.bulletin("new")
        self.addCleanup(old.close)
        self.write()
        self.host.reload()
        await self.seen("after", who="new")
        self.assertEqual(("127.0.0.1", 9), self.host.config.listen)

    async def test_a_file_that_was_half_written_is_read_again_when_it_is_whole(self):
        await self.server(1)
        await self.start(1)
        old, self.feed = self.feed, await self.bulletin("new")
        self.addCleanup(old.close)
        self.write()
        whole = self.file.read_bytes()
        self.file.write_bytes(whole[: len(whole) // 2])
        self.host.reload()
        self.assertEqual(1, len(self.all("settings refused")))
        self.file.write_bytes(whole)
        await self.seen("after", who="new")


class Growth(Crossings):
    async def test_upkeep_is_of_what_is_in_use_and_not_of_all_that_is_listed(self):
        await self.server(1)
        await self.start(1, settings={**SETTINGS, "specifics": {**SETTINGS["specifics"], "cells": 2}})
        rows = [{**self.row(1000 + n, port=1024 + n), "cell": 1} for n in range(3_200)]
        self.host.hear(self.host.bulletin.take(json.dumps(self.event(*rows)).encode()))
        self.assertEqual(3_201, len(self.host.servers.endpoints))
        tended = []
        for endpoint in self.host.servers.endpoints.values():
            endpoint.tend = lambda now, endpoint=endpoint: tended.append(endpoint.server)
        conn = await self.viewer()
        await self.seen("accept", who="viewer", call=self.ask(conn))
        self.host.tend()
        self.assertEqual(1, len(set(tended)))
