"""`flaxscale platform` as a process: signals, errors of system calls and a wall clock that steps."""

import asyncio
import errno
import json
import os
import signal
import socket
import sys
import time

from flaxscale.decisions import slow_start
from flaxscale.platform import config as configuration
from flaxscale.platform.clients import POLL_SECONDS
from flaxscale.units import SECOND
from tests.platform_rig import ANSWER, SETTINGS, Platform, line
from tests.rig import LIMIT
from tests.seam import FaultInjector
from tests.test_platform_crossings import offer, with_deadline

HOUR_S = 3600


class Process(Platform):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.faults, self.child = FaultInjector(), None
        self.addCleanup(self.faults.close)

    async def asyncTearDown(self):
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()
        await super().asyncTearDown()

    async def begin(self, *numbers, settings=SETTINGS, serves=True, **more):
        """Starts the program; returns once it serves, or at once if `serves` is false."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        first = self.event(*(self.row(number) for number in numbers), full=True)
        self.write(
            settings=settings, listen="127.0.0.1:%d" % self.address[1], known={"no": 1, "items": [first]}, **more
        )
        await self.launch()
        if serves:
            await self.logged("serves")

    async def launch(self):
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flaxscale",
            "platform",
            env={**os.environ, **self.faults.environment, "BALANCER_CONFIG": str(self.file)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.output = []

    async def logged(self, event):
        """The next log row of this event."""
        while True:
            text = await asyncio.wait_for(self.child.stdout.readline(), LIMIT)
            if not text:
                raise AssertionError(f"{event} was not logged; output: {self.output}")
            self.output.append(text)
            try:
                row = json.loads(text)
            except ValueError:
                continue
            if row.get("event") == event:
                return row

    async def exit_status(self):
        """Its exit status and its whole output."""
        output, _ = await asyncio.wait_for(self.child.communicate(), LIMIT)
        return self.child.returncode, b"".join(self.output) + output

    def replace_file(self, row):
        """Replaces the file atomically, as the platform does."""
        whole = self.file.with_suffix(".new")
        whole.write_text(json.dumps(row))
        whole.replace(self.file)

    async def check_served(self, who):
        """Checks that a request on a new connection is served; returns the connection."""
        conn = await self.viewer(who)
        call = self.ask(conn, left=5000)
        self.assertEqual(ANSWER, (await self.seen("accept", who=who, call=call))["desc"])
        return conn

    async def terminate(self):
        self.child.send_signal(signal.SIGTERM)
        self.assertEqual(0, (await self.exit_status())[0])


class Errors(Process):
    async def test_the_listener_survives_every_error_of_accept(self):
        await self.server(1)
        await self.begin(1)
        for number in (
            errno.EMFILE,
            errno.ENFILE,
            errno.ENOBUFS,
            errno.ENOMEM,
            errno.ECONNABORTED,
            errno.EPROTO,
            errno.EPERM,
            errno.EINTR,
            errno.ENETDOWN,
            errno.EHOSTUNREACH,
            errno.EOPNOTSUPP,
            errno.EINVAL,
        ):
            with self.subTest(errno.errorcode[number]):
                self.faults.fail("accept", number, 3)
                await self.check_served(errno.errorcode[number])
                self.assertEqual((0, 3), self.faults.failed("accept"))
        await self.terminate()

    async def test_errors_of_socket_and_connect_do_not_fail_requests(self):
        await self.server(1)
        await self.begin(1)
        for call, number in (
            ("socket", errno.EMFILE),
            ("socket", errno.ENOBUFS),
            ("socket", errno.ENOMEM),
            ("connect", errno.EADDRNOTAVAIL),
            ("connect", errno.EAGAIN),
        ):
            with self.subTest(call=call, errno=errno.errorcode[number]):
                for connection in [row["conn"] for row in self.all("open", who=1)]:
                    connection.transport.abort()  # so that the next attempt needs a new one
                self.faults.fail(call, number, 1)
                await self.check_served((call, number))
                self.assertEqual((0, 1), self.faults.failed(call))
        await self.terminate()

    async def test_errors_of_epoll_wait_do_not_end_the_process(self):
        await self.server(1)
        await self.begin(1)
        self.faults.fail("wait", errno.EINTR, 3)
        await self.check_served("after EINTR")
        self.assertEqual((0, 3), self.faults.failed("wait"))
        await self.terminate()

    async def test_interrupted_and_blocked_reads_and_writes_lose_nothing(self):
        await self.server(1)
        await self.begin(1)
        for call, number in (
            ("read", errno.EINTR),
            ("read", errno.EAGAIN),
            ("write", errno.EAGAIN),
            ("write", errno.EINTR),
        ):
            with self.subTest(call=call, errno=errno.errorcode[number]):
                self.faults.fail(call, number, 1)
                await self.check_served((call, number))
        await self.terminate()

    async def test_a_read_error_affects_only_its_connection(self):
        await self.server(1)
        await self.begin(1)
        other = await self.check_served("other")
        for number in (errno.ENOBUFS, errno.ENOMEM, errno.ETIMEDOUT, errno.EHOSTUNREACH):
            with self.subTest(errno.errorcode[number]):
                broken = await self.viewer(("broken", number))
                self.faults.fail("read", number, 1)
                broken.send(line("test", "ffff"))
                await self.seen("closed", who=("broken", number))
                call = self.ask(other, left=5000)
                await self.seen("accept", who="other", call=call)
        await self.terminate()

    async def test_an_address_in_use_at_the_start_is_retried(self):
        await self.server(1)
        self.faults.fail("bind", errno.EADDRINUSE, 3)
        await self.begin(1)
        self.assertEqual((0, 3), self.faults.failed("bind"))
        await self.check_served("viewer")
        await self.terminate()

    async def test_a_peer_address_in_use_does_not_affect_requests(self):
        await self.server(1)
        with socket.socket(type=socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            mine = "127.0.0.1:%d" % taken.getsockname()[1]
            peers = {"caps": {**SETTINGS["caps"], "peers": True}}
            await self.begin(1, settings={**SETTINGS, **peers}, peer_listen=mine, peers=[mine], peers_all=mine)
            await self.check_served("viewer")
        await self.terminate()

    async def test_datagrams_that_can_not_be_sent_do_not_affect_requests(self):
        await self.server(1)
        with socket.socket(type=socket.SOCK_DGRAM) as peer, socket.socket(type=socket.SOCK_DGRAM) as probe:
            peer.bind(("127.0.0.1", 0))
            probe.bind(("127.0.0.1", 0))
            mine, other = ("127.0.0.1:%d" % one.getsockname()[1] for one in (probe, peer))
            probe.close()
            peer_settings = {**SETTINGS, "caps": {**SETTINGS["caps"], "peers": True}, "peersTotal": 2}
            await self.begin(1, settings=peer_settings, peer_listen=mine, peers=[mine, other], peers_all=other)
            for number in (errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM):
                self.faults.fail("sendto", number, 1)
                await self.check_served(number)
                self.assertEqual((0, 1), self.faults.failed("sendto"), errno.errorcode[number])
            await self.terminate()


class Signals(Process):
    async def test_sigterm_twice_with_a_sighup_between_and_a_server_that_hangs(self):
        await self.server(1, lambda conn, row: None)
        short_deadline = with_deadline(500.0)
        short_deadline["classes"][0]["goalTimeMs"] = 60_000.0
        await self.begin(1, settings=short_deadline)
        conn = await self.viewer()
        call = self.ask(conn, left=60_000)
        await self.seen("offer", who=1, call=call)
        began = time.monotonic()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            self.child.send_signal(number)
        late = await self.viewer("late")
        late_call = self.ask(late, left=60_000)
        for who, one in (("viewer", call), ("late", late_call)):
            self.assertIn((await self.seen("end", who=who, call=one))["why"], (34, 41))
        self.assertEqual(0, (await self.exit_status())[0])
        self.assertLess(time.monotonic() - began, 0.5 + 0.7)  # SIGKILL is sent no sooner

    async def test_sigterm_with_discovery_down_and_nothing_open(self):
        await self.server(1)
        await self.begin(1)
        await self.seen("after", who="bulletin")
        self.discovery_server.close()
        self.all("after")[0]["conn"].transport.abort()
        await self.terminate()

    async def test_signals_before_it_is_ready(self):
        await self.server(1)
        self.faults.fail("bind", errno.EADDRINUSE, 8)
        await self.begin(1, serves=False)
        await self.logged("local error")
        feed = await self.bulletin("new")
        self.addCleanup(feed.close)
        row = json.loads(self.file.read_text())
        self.replace_file({**row, "bulletin": f"127.0.0.1:{self.port(feed)}"})
        self.child.send_signal(signal.SIGHUP)
        await self.logged("settings taken on")  # applied once the manager has started
        await self.seen("after", who="new")
        await self.check_served("viewer")
        await self.terminate()

    async def test_sighups_in_a_row_move_discovery_to_the_last_address(self):
        await self.server(1)
        await self.begin(1)
        await self.seen("after", who="bulletin")
        feeds = [await self.bulletin(n) for n in range(3)]
        for feed in feeds:
            self.addCleanup(feed.close)
        row = json.loads(self.file.read_text())
        for feed in feeds:
            self.replace_file({**row, "bulletin": f"127.0.0.1:{self.port(feed)}"})
            self.child.send_signal(signal.SIGHUP)
        await self.seen("after", who=2)
        self.replace_file({**row, "settings": {}})
        self.child.send_signal(signal.SIGHUP)
        self.assertIn("settings", (await self.logged("settings refused"))["why"])
        await self.check_served("viewer")
        await self.terminate()

    async def test_an_invalid_configuration_is_one_line_and_status_2(self):
        await self.server(1)
        await self.begin(1, serves=False, seed="no hex")
        status, output = await self.exit_status()
        self.assertEqual((2, 1), (status, output.count(b"\n")))
        self.assertIn(b"config.json: seed", output)


class Clock(Process):
    async def test_the_wall_clock_steps_an_hour_both_ways_while_requests_are_open(self):
        await self.server(1, lambda conn, row: None)
        await self.begin(1)
        for n, step in enumerate((HOUR_S, -HOUR_S, 0)):
            conn = await self.viewer(n)
            call = self.ask(conn, left=2000)
            attempt = await self.seen("offer", who=1, call=call)
            self.faults.step_clock(step)
            attempt["conn"].send(line("accept", call, desc=ANSWER))
            await self.seen("accept", who=n, call=call)
        await self.terminate()

    async def early_in_a_turn(self, step):
        """Returns in the first half of a turn of slow start, so that no other one begins within a second."""
        rules, slots = configuration.read(str(self.file)).terms.rules, SETTINGS["specifics"]["kindSlots"][0]

        def turn(ahead_s):
            return slow_start.turn_at(round((time.time() + step + ahead_s) * SECOND), rules, slots)

        while turn(0) != turn(1.0) or turn(0) != turn(-0.05):
            polled = self.loop.create_future()
            self.loop.call_later(POLL_SECONDS, polled.set_result, None)
            await polled

    async def test_started_while_the_wall_clock_is_an_hour_off_servers_that_start_are_cold(self):
        cold = {**SETTINGS, "obligations": {**SETTINGS["obligations"], "warmWithinMs": 60_000.0}}
        cold["peersTotal"] = 1
        for step in (HOUR_S, -HOUR_S):
            with self.subTest(step=step):
                self.faults.step_clock(step)
                await self.server(1)
                await self.begin(1, settings=cold)
                feed = (await self.seen("after", who="bulletin"))["conn"]
                await self.server(2)
                row = {**self.row(2, started=time.time() * 1000), "weight": 50}
                feed.send(json.dumps(self.event({**self.row(1), "state": "DELETED"}, row)).encode() + b"\n")
                conn = await self.viewer(step)
                # At 0.7 of 3 x 0.4 x 30 slots a minute, about one set-up in two seconds is allowed there: one a turn.
                await self.early_in_a_turn(step)
                conn.send(*(offer(f"{n:016x}", left=600) for n in range(1, 9)))
                await self.seen("end", 7, who=step)
                self.assertLessEqual(len(self.all("offer", who=2)), 1)
                await self.terminate()
                self.rows.rows.clear()
                self.event_number = 0
