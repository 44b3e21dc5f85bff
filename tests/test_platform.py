"""The manager on the platform's protocol, against stand-ins on loopback: what can go wrong, each in its own way."""

import json
import socket
import struct
import unittest

from flaxscale import interface, wirehost
from flaxscale.platform import config as configuration
from flaxscale.platform.bulletin import Bulletin, Unreadable
from flaxscale.site.load import SiteError
from tests.platform_rig import ANSWER, DESC, Platform, Stand, line, plays
from tests.test_host import frame, init, knock, listed, record


class Viewers(Platform):
    async def test_plays_with_the_servers_words_unchanged_and_ends_from_either_side(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        first, second = self.ask(conn), self.ask(conn)
        self.assertEqual(ANSWER, (await self.seen("accept", call=first))["desc"])
        await self.seen("accept", call=second)
        sent = self.all("offer", call=first)[0]
        self.assertEqual(
            (DESC, "clip", "7f3a9c21e0b4d655"), (sent["desc"], sent["fields"]["class"], sent["fields"]["key"])
        )
        self.assertTrue(0 < sent["fields"]["left"] <= 2000 and sent["fields"]["rung"] in (0, 1))
        conn.say(line("end", first, why=16))
        self.assertEqual(1, (await self.seen("end", who=1, call=first))["who"])
        await self.seen("ended", who="viewer", call=first)
        # The server's own release is passed on, on the connection that the set-up came by.
        sent["conn"].say(line("end", second, why=16))
        self.assertEqual(16, (await self.seen("end", who="viewer", call=second))["why"])
        await self.seen("ended", who=1, call=second)
        self.assertEqual(({}, {}), (self.host.sessions, self.host.runner.sessions))

    async def test_releases_that_cross_are_heard_once(self):
        await self.server(1, lambda conn, row: row["op"] == "offer" and plays(conn, row))
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        server = (await self.seen("offer", who=1))["conn"]
        await self.seen("accept", call=call)
        conn.say(line("end", call, why=16))
        await self.seen("end", who=1, call=call)
        server.say(line("end", call, why=16))
        await self.seen("ended", who=1, call=call)
        self.assertEqual([], self.all("end", who="viewer"))
        self.assertEqual({}, self.host.servers.endpoints[1].releases)

    async def test_a_release_finds_its_way_when_the_viewers_connection_is_gone(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        await self.seen("accept", call=call)
        conn.transport.close()
        await self.seen("closed", who="viewer")
        self.all("offer")[0]["conn"].say(line("end", call, why=41))
        # It comes on the next connection that proves good.
        other = await self.viewer("other")
        other.say(line("test", "ffff"))
        self.assertEqual(1, (await self.seen("tested", who="other"))["why"])
        self.assertEqual(41, (await self.seen("end", who="other", call=call))["why"])
        other.say(line("ended", call))
        self.ask(other, call="00000000000000aa")
        await self.seen("accept", call="00000000000000aa")
        self.assertEqual({}, self.host.releases.pending)

    async def test_a_release_that_nobody_heard_goes_out_on_another_connection(self):
        # Of many viewers some hold a connection and read nothing there: those who carry most are asked next.
        await self.server(1)
        await self.start(1)
        deaf, other = await self.viewer("deaf"), await self.viewer("other")
        for _ in range(2):
            await self.seen("accept", who="other", call=self.ask(other))
        call = self.ask(deaf)
        await self.seen("accept", who="deaf", call=call)
        self.all("offer", call=call)[0]["conn"].say(line("end", call, why=41))
        first = await self.seen("end", who="deaf", call=call)
        again = await self.seen("end", who="other", call=call)
        self.assertLess(again["at"] - first["at"], 5_000)
        other.say(line("ended", call), line("test", "ffff"))
        await self.seen("tested", who="other")
        self.assertEqual({}, self.host.releases.pending)

    async def test_a_release_goes_to_every_connection_before_one_that_did_not_hear_is_asked_again(self):
        # Two that carry most have gone without a word: turning between these two, the third was never asked.
        await self.server(1)
        await self.start(1)
        conns = {who: await self.viewer(who) for who in ("deaf", "dumb", "third")}
        for who, times in (("deaf", 3), ("dumb", 2), ("third", 1)):
            for _ in range(times):
                call = self.ask(conns[who])
                await self.seen("accept", who=who, call=call)
        call = self.all("accept", who="deaf")[0]["call"]
        self.all("offer", call=call)[0]["conn"].say(line("end", call, why=41))
        await self.seen("end", who="third", call=call)
        conns["third"].say(line("ended", call), line("test", "ffff"))
        await self.seen("tested", who="third")
        self.assertEqual({}, self.host.releases.pending)

    async def test_a_release_that_meets_our_close_of_its_connection_is_heard(self):
        # Closed at once, what was on its way there was lost, and the server said it nowhere else.
        class Parting(Stand):
            def eof_received(self):
                for row in self.rows.all("offer", conn=self):
                    self.say(line("end", row["call"], why=41))

        held = []
        self.servers[1] = await self.loop.create_server(
            lambda: Parting(
                1, self.rows, lambda conn, row: held.append((conn, row)) if row["op"] == "offer" else plays(conn, row)
            ),
            "127.0.0.1",
            0,
        )
        await self.start(1)
        conn = await self.viewer()
        first, second = self.ask(conn), self.ask(conn)
        for n in (1, 2):
            await self.seen("offer", n, who=1)
        for one, row in held:
            plays(one, row)
        for call in (first, second):
            await self.seen("accept", who="viewer", call=call)
        went = self.all("offer", call=first)[0]["conn"]
        next(
            ln
            for ln in self.host.servers.endpoints[1].connections
            if ln.transport.get_extra_info("sockname") == went.transport.get_extra_info("peername")
        ).close()
        self.assertEqual(41, (await self.seen("end", who="viewer", call=first))["why"])
        self.assertIsNot(went, (await self.seen("ended", who=1, call=first))["conn"])
        await self.seen("closed", conn=went)
        self.assertEqual([], self.all("end", who="viewer", call=second))

    async def test_a_release_by_another_connection_before_the_answer_that_it_ends(self):
        # Two connections have no order between them; heard first, the release was taken for one of nothing.
        held = []
        await self.server(1, lambda conn, row: held.append((conn, row)) if row["op"] == "offer" else plays(conn, row))
        await self.start(1)
        conn = await self.viewer()
        first, second = self.ask(conn), self.ask(conn)
        await self.seen("offer", 2, who=1)
        (one, row), (other, _) = held
        other.say(line("end", row["call"], why=41))
        await self.seen("end of what is out")
        one.say(line("accept", row["call"], desc=ANSWER))
        await self.seen("accept", who="viewer", call=row["call"])
        self.assertEqual(41, (await self.seen("end", who="viewer", call=row["call"]))["why"])
        self.assertEqual([], self.all("end", who="viewer", call=({first, second} - {row["call"]}).pop()))

    async def test_a_set_up_given_up_is_ended_at_its_server_and_a_late_answer_too(self):
        conn, call, server = await self.one_out()
        conn.say(line("end", call, why=16))
        await self.seen("end", who=1, call=call)
        server.say(line("accept", call, desc=ANSWER), line("ended", call))
        # Its connection is of use again, and nobody was told that it plays.
        self.ask(conn, call="00000000000000aa")
        self.assertIs(server, (await self.seen("offer", call="00000000000000aa"))["conn"])
        self.assertEqual([], self.all("accept"))

    async def test_a_viewer_that_closes_gave_its_set_ups_up(self):
        conn, call, _ = await self.one_out()
        conn.transport.abort()
        await self.seen("end", who=1, call=call)
        self.assertEqual({}, self.host.sessions)

    async def test_refused_at_once_with_a_time_to_stay_away(self):
        await self.server(1, lambda conn, row: row["op"] == "offer" and conn.say(line("end", row["call"], why=34)))
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn, left=3000)
        found = await self.seen("end", who="viewer", call=call)
        self.assertEqual(34, found["why"])
        self.assertTrue(250 <= found["fields"]["wait"] <= 500)
        # Given up by the module, told in the same step: not held back until near its patience.
        self.assertLess(found["at"] - self.all("offer", call=call)[-1]["at"], 5_000)

    async def test_handed_over_viewings_are_taken_once_and_ended_by_either_side(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        self.ask(conn, call="00000000000000aa", at=1, left="")
        self.ask(conn, call="00000000000000aa", at=1)
        self.ask(conn, call="00000000000000bb", at=1)
        conn.say(line("end", "00000000000000bb", why=16))
        await self.seen("end", who=1, call="00000000000000bb")
        server = (await self.seen("open", who=1))["conn"]
        server.say(line("info", "00000000000000aa", note="step", value="1"), line("end", "00000000000000aa", why=16))
        await self.seen("end", who="viewer", call="00000000000000aa")
        self.assertEqual(2, self.host.counts["handed over"])
        self.assertEqual([], self.all("offer"))


class BadViewers(Platform):
    async def test_whatever_can_not_be_meant_gets_a_refusal_or_a_close_and_costs_others_nothing(self):
        await self.server(1)
        await self.start(1)
        good = await self.viewer("good")
        for n, (sent, told) in enumerate(
            (
                (b"\x00\xff noise\n", "end"),
                (b"x" * 20_000, "closed"),
                (b"[]\n", "end"),
                (b'{"op":"offer"}\n', "end"),
                (b'{"op":"dance"}\n', "end"),
                (line("offer", "00000000000000aa", desc=DESC, **{"class": "gold", "left": "5"}), "end"),
                (line("offer", "nobody", desc=DESC), "end"),
                (line("offer", "00000000000000aa"), "end"),
                (line("info", "x" * 17_000), "closed"),
            )
        ):
            conn = await self.viewer(n)
            conn.say(sent)
            await self.seen(told, who=n)
        self.ask(good, call="00000000000000bb")
        await self.seen("accept", who="good")
        self.assertEqual(["00000000000000bb"], [row["call"] for row in self.all("offer")])

    async def test_the_id_of_an_open_set_up_is_no_way_to_its_answer(self):
        await self.server(1, lambda conn, row: None)
        await self.start(1)
        good, bad = await self.viewer("good"), await self.viewer("bad")
        call = self.ask(good)
        server = (await self.seen("offer", who=1))["conn"]
        self.ask(bad, call=call, desc="another\r\n")
        # The refusal names no call: under this one it would be said of the open set-up.
        self.assertEqual("", (await self.seen("end", who="bad"))["call"])
        server.say(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="good", call=call)
        self.assertEqual(1, len(self.all("offer")))
        self.assertEqual([], self.all("accept", who="bad"))

    async def test_the_same_id_twice_on_one_connection_is_not_answered_twice(self):
        # Nor is the first one lost for it: the refusal of the second names no call, and the first gets its answer.
        conn, call, server = await self.one_out()
        self.ask(conn, call=call, desc="another\r\n")
        self.assertEqual("", (await self.seen("end", who="viewer"))["call"])
        server.say(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="viewer", call=call)
        self.assertEqual([], self.all("end", who="viewer", call=call))
        self.assertEqual(1, len(self.all("offer", who=1)))

    async def test_at_a_server_that_nobody_knows(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        self.ask(conn, call="00000000000000aa", at=77)
        self.assertEqual(100, (await self.seen("end", who="viewer"))["why"])

    async def test_who_says_nothing_or_half_a_line_is_closed(self):
        await self.server(1)
        await self.start(1)
        silent, half = await self.viewer("silent"), await self.viewer("half")
        half.say(line("test", "ffff"), b'{"op":"offer","call":"00')
        await self.seen("closed", who="silent")
        await self.seen("closed", who="half")
        self.assertTrue(silent.transport.is_closing() and half.transport.is_closing())

    async def test_a_flood_of_connections_costs_no_open_set_up(self):
        await self.server(1, lambda conn, row: None)
        await self.start(1, limits={"sockets": 64})
        good = await self.viewer("good")
        call = self.ask(good)
        server = (await self.seen("offer", who=1))["conn"]
        for _ in range(60):
            await self.viewer("silent")
        await self.seen("closed", who="silent", times=30)
        server.say(line("accept", call, desc=ANSWER))
        await self.seen("accept", who="good", call=call)

    async def test_who_asked_once_and_stays_makes_room_for_whoever_has_just_come(self):
        # A day of 700 connections a second: each newcomer was closed for the next, with its request on its way.
        await self.server(1)
        await self.start(1, limits={"sockets": 64})
        for _ in range(30):
            conn = await self.viewer("stays")
            conn.say(line("test", "ffff"))
        await self.seen("tested", who="stays", times=30)
        fresh = [await self.viewer("fresh") for _ in range(10)]
        await self.seen("closed", who="stays", times=10)
        for conn in fresh:
            self.ask(conn)
        await self.seen("accept", who="fresh", times=10)
        self.assertEqual([], self.all("closed", who="fresh"))


class Servers(Platform):
    async def other(self, play):
        """Server 1 plays like this, server 2 well; a viewer's set-up goes to 1 first."""
        await self.server(1, play)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn, left=4000)
        await self.seen("offer", who=1, call=call)
        await self.server(2)
        self.host.hear(self.host.bulletin.take(json.dumps(self.event(self.row(2))).encode()))
        return call

    async def test_whatever_breaks_an_answer_is_one_outcome_and_another_server_plays(self):
        def offered(*said, cut=False):
            def play(conn, row):
                if row["op"] == "offer":
                    conn.say(*[text.replace(b"CALL", row["call"].encode()) for text in said])
                    if cut:
                        conn.transport.abort()

            return play

        whole = line("accept", "CALL", desc=ANSWER)
        for play in (
            offered(b"\xff\xfe\x00noise\n"),
            offered(b'{"op":"accept","call":"CALL","desc":"' + b"x" * 20_000),
            offered(b'{"op":"accept","call":"CALL"}\n'),
            offered(whole[:-9], cut=True),
            offered(cut=True),
            offered(line("end", "CALL", why=47)),
            offered(line("end", "CALL", why=41)),
            offered(b'{"op":"accept","call":"CALL","desc":7}\n'),
        ):
            with self.subTest(play=play):
                call = await self.other(play)
                self.assertEqual(ANSWER, (await self.seen("accept", who="viewer", call=call))["desc"])
                self.assertEqual(["offer"], [row["what"] for row in self.all("offer", who=2)])
                self.assertEqual([], self.all("end", who="viewer"))
                await self.asyncTearDown()
                await self.asyncSetUp()

    async def test_more_than_belongs_to_an_answer_spoils_nothing(self):
        def play(conn, row):
            if row["op"] == "offer":
                answer = line("accept", row["call"], desc=ANSWER)
                conn.say(line("accept", "00000000000000ff", desc="not yours"), answer, answer)

        await self.server(1, play)
        await self.start(1)
        conn = await self.viewer()
        first, second = self.ask(conn), self.ask(conn)
        for call in (first, second):
            self.assertEqual(ANSWER, (await self.seen("accept", who="viewer", call=call))["desc"])
        third = self.ask(conn)
        await self.seen("accept", who="viewer", call=third)
        self.assertEqual(3, len(self.all("accept", who="viewer")))
        self.assertLessEqual(len(self.all("open", who=1)), 2)  # its connections stayed of use

    async def test_what_may_run_after_a_reset_is_ended_by_name(self):
        opened = []

        def play(conn, row):
            if row["op"] == "offer":
                opened.append(row["call"])
                conn.transport.abort()
            else:
                plays(conn, row)

        await self.server(1, play)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn, left=600)
        await self.seen("end", who=1, call=call)
        await self.seen("end", who="viewer", call=call)
        self.assertIn(call, opened)

    async def test_a_dead_server_frees_what_stood_there_and_its_viewers_hear(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        await self.seen("accept", who="viewer")
        self.servers[1].close()
        for row in self.all("open", who=1):
            row["conn"].transport.abort()
        found = await self.seen("end", who="viewer", call=call)
        self.assertEqual(41, found["why"])
        self.assertEqual({}, self.host.sessions)

    async def test_a_way_is_proved_where_a_note_is_overdue_and_a_silent_server_is_gone_in_time(self):
        # Proved each 2 s, while notes come each 3 s, half of a fleet's new connections served nothing else.
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        await self.seen("accept", who="viewer", call=call)
        reach, terms = self.host.servers.endpoints[1], self.host.config.terms
        for every, quiet in ((10_000, 20_000), (30_000, 37_500), (45_000, 54_000), (0, 54_000)):
            self.host.config = self.host.config._replace(
                terms=terms._replace(fleet=terms.fleet._replace(note_every=every))
            )
            self.assertEqual(quiet, reach.quiet())
        opened = len(self.all("open", who=1))
        reach.tend(reach.heard_at + 54_000)
        self.assertFalse(reach.dialing)
        reach.tend(reach.heard_at + 54_001)
        self.assertEqual(1, reach.dialing)
        await self.seen("open", opened + 1, who=1)
        # Two proofs that came to nothing, and 6.5 s without a word; its viewer has 8 s in all.
        reach.fails = 1
        reach.tend(reach.heard_at + 70_000)
        self.assertEqual([], self.all("end", who="viewer"))
        reach.fails = 2
        reach.tend(reach.heard_at + 65_000)
        self.assertEqual([], self.all("end", who="viewer"))
        reach.tend(reach.heard_at + 65_001)
        self.assertEqual(41, (await self.seen("end", who="viewer", call=call))["why"])

    async def test_a_new_server_at_the_address_of_one_that_has_gone(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        call = self.ask(conn)
        await self.seen("accept", who="viewer", call=call)
        port = self.port(self.servers[1])
        self.host.hear(self.host.bulletin.take(json.dumps(self.event(self.row(2, port=port))).encode()))
        self.assertEqual(41, (await self.seen("end", who="viewer", call=call))["why"])
        self.host.hear(self.host.bulletin.take(json.dumps(self.event(self.row(1, "DELETED"))).encode()))
        again = self.ask(conn)
        await self.seen("accept", who="viewer", call=again)
        self.assertEqual([2], list(self.host.servers.endpoints))

    async def test_refused_and_never_made_connections_prove_that_nothing_ran(self):
        await self.server(1)
        await self.start(1)
        self.servers[1].close()
        seen = []
        self.host.runner.observer = lambda now, event, acts: seen.append(event)
        conn = await self.viewer()
        call = self.ask(conn, left=300)
        await self.seen("end", who="viewer", call=call)
        hows = {event.outcome for event in seen if isinstance(event, interface.AttemptEnded)}
        self.assertEqual({interface.Outcome.UNREACHED}, hows)

    async def test_a_thousand_servers_come_and_go_and_the_tables_stay_flat(self):
        await self.server(1)
        await self.start(1)
        for n in range(1000):
            port = 1024 + n % 7
            for state in ("SERVING", "DRAINING", "DELETED"):
                text = json.dumps(self.event(self.row(1000 + n, state, port=port))).encode()
                self.host.hear(self.host.bulletin.take(text))
        self.host.tend()
        self.assertEqual([1], list(self.host.servers.endpoints))
        manager = self.host.runner.manager
        self.assertEqual([1], list(manager.servers))
        self.assertEqual(1, sum(len(cell) for cell in manager.cells.values()))
        self.assertEqual(1, sum(len(rack.servers) for rack in manager.racks.values()))


class Feed(Platform):
    async def test_it_resumes_after_a_break_a_gap_and_at_another_address(self):
        await self.server(1)
        await self.server(2)
        await self.start(1)
        feed = self.all("after")[0]["conn"]
        event = json.dumps(self.event(self.row(2))).encode() + b"\n"
        feed.say(event, event, b'{"no":2}\n', b"2\n", event[:20])
        feed.transport.abort()
        again = await self.seen("after", times=2)
        self.assertEqual(2, again["no"])
        self.assertEqual({1, 2}, set(self.host.servers.endpoints))
        again["conn"].say(b'{"no":4}\n')  # 3 is missing: asked for anew
        self.assertEqual(2, (await self.seen("after", times=3))["no"])
        old, self.feed = self.feed, await self.bulletin("new")
        self.addCleanup(old.close)
        self.write()
        self.host.reload()
        self.assertEqual(2, (await self.seen("after", who="new"))["no"])

    async def test_silence_on_an_open_connection_is_noticed_before_its_news_count_as_told(self):
        await self.server(1)
        await self.start(1)
        first, again = self.all("after")[0], await self.seen("after", times=2)
        self.assertLess(again["at"] - first["at"], 25_000)

    async def test_settings_are_taken_on_whole_or_not_at_all(self):
        await self.server(1)
        await self.start(1)
        terms = self.host.config.terms
        for text in (b"{half", b"{}", self.file.read_bytes().replace(b'"licenceCap"', b'"noCap"')):
            self.file.write_bytes(text)
            self.host.reload()
        self.assertEqual(3, len(self.all("settings refused")))
        self.assertIs(terms, self.host.config.terms)
        settings = json.loads(json.dumps(self.settings()))
        settings["caps"]["maxRetryAfterMs"] = 100.0
        self.write(settings=settings)
        self.host.reload()
        self.assertEqual(1000, self.host.runner.manager.allowed.max_hold_off)

    def settings(self):
        from tests.platform_rig import SETTINGS

        return SETTINGS

    def test_events_are_had_once_and_in_order(self):
        self.write()
        bulletin = Bulletin(configuration.read(str(self.file)), lambda: 20_000)
        row = {
            "id": "s-00000007",
            "addr": "10.0.0.1:5060",
            "zone": "elsewhere",
            "kind": "new",
            "cell": 1,
            "state": "SERVING",
            "weight": 2,
            "started_ms": 1500,
        }
        event = json.dumps({"no": 1, "roster": {"full": True, "servers": [row]}}).encode()
        news = bulletin.take(event)
        self.assertEqual((interface.ServerEntry(7, 0, 1, 1, 2, 15000, interface.ServerStatus.READY),), news.entries)
        self.assertEqual((interface.ListKind.FULL, {7: ("10.0.0.1", 5060)}), (news.kind, news.addresses))
        self.assertIsNone(bulletin.take(event))
        self.assertIsNone(bulletin.take(b'{"no":1}'))
        for text in (b'{"no":2}', b'{"no":3,"roster":{"servers":[]}}', b"{", b'{"no":"x"}', b"5"):
            with self.assertRaises(Unreadable):
                bulletin.take(text)
        self.assertEqual(1, bulletin.last)


class Leaving(Platform):
    async def test_a_manager_that_leaves_serves_what_still_comes_and_answers_all(self):
        await self.server(1)
        await self.start(1)
        conn = await self.viewer()
        self.host.leave()
        call = self.ask(conn)
        await self.seen("accept", who="viewer", call=call)
        late = await self.viewer("late")
        await self.seen("accept", who="late", call=self.ask(late))
        await self.host.done.wait()
        self.assertEqual(0, self.host.unanswered())


class Configured(Platform):
    async def test_a_file_that_does_not_fit_is_named_with_its_key(self):
        for key, said, change in (
            ("bulletin", "bulletin", {"bulletin": "nowhere"}),
            ("listen", "listen", {"listen": "10.0.0.300:x"}),
            ("seed", "seed", {"seed": "no hex"}),
            ("sockets", "limits.sockets", {"limits": {"sockets": 8}}),
            ("settings", "settings: classes", {"settings": {**self.settings(), "classes": None}}),
            ("name", "name", {"name": 5}),
        ):
            with self.subTest(key=key), self.assertRaises(SiteError) as found:
                self.write(**change)
                configuration.read(str(self.file))
            self.assertIn(self.file.name, str(found.exception))
            self.assertIn(said.split(":")[0], str(found.exception))
        with self.assertRaisesRegex(SiteError, "BALANCER_CONFIG"):
            configuration.from_environment({})

    settings = Feed.settings


class Sameness(Platform):
    async def test_the_same_events_by_either_way_reach_the_module_alike(self):
        """What the simulator's adapter makes of a record, the platform makes of the message of the same meaning."""
        host = wirehost.Host()
        params = json.loads(json.dumps(self.settings()))
        host.batch(frame(init(params), listed(11), record(1, "HBQB", 3, 1, 1, 0)))
        by_wire = []
        manager = host.managers[3]
        handle = manager.handle
        manager.handle = lambda now, event: by_wire.append(event) or handle(now, event)
        host.batch(frame(knock(1, left=1500.0)))
        host.batch(frame(record(3, "HIHId", 3, 1, 0, 11, 7.0)))
        host.batch(frame(record(11, "HIHIBf", 3, 1, 0, 11, 3, 0.5)))
        host.batch(frame(record(4, "HIHIHdB", 3, 1, 0, 11, 0, 30.0, 1, tail=struct.pack("<Bf", 1, 0.25))))
        await self.server(11)
        await self.start(11)
        by_sockets = []
        self.host.runner.observer = lambda now, event, acts: by_sockets.append(event)
        conn = await self.viewer()
        call = self.ask(conn, left=1500, call="0000000000000001", key="5", extras="home:0;copies:1;top:1;viewer:6")
        server = (await self.seen("offer", who=11))["conn"]
        await self.seen("accept", who="viewer", call=call)
        server.say(line("info", call, note="asked", value="0.5"), line("end", call, why=16, load="x0:0.25"))
        await self.seen("end", who="viewer", call=call)
        kinds = (interface.SessionRequest, interface.AttemptSucceeded, interface.PlaybackNote, interface.AttemptEnded)

        def bare(events):  # how long things took is the clock's
            return [
                event._replace(duration=0) if hasattr(event, "duration") else event
                for event in events
                if isinstance(event, kinds)
            ]

        # What the client has left counts from when its line came, so the sockets' own time is taken off it.
        by_wire, by_sockets = bare(by_wire), bare(by_sockets)
        self.assertTrue(0 <= by_wire[0].time_left - by_sockets[0].time_left <= 50)
        by_sockets[0] = by_sockets[0]._replace(time_left=by_wire[0].time_left)
        self.assertEqual(by_wire, by_sockets)
        self.assertEqual(4, len(by_wire))
        self.assertEqual(wirehost.site_terms(params, 0), self.host.config.terms._replace(seed=0))

    settings = Feed.settings


class Words(Platform):
    async def test_words_go_only_where_the_settings_allow_and_foreign_ones_are_dropped(self):
        await self.server(1)
        taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        taken.bind(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        foreign = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(foreign.close)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            own = probe.getsockname()
        settings = json.loads(json.dumps(Feed.settings(self)))
        settings["caps"]["peers"], settings["peersTotal"] = True, 2
        peer = "127.0.0.1:%d" % taken.getsockname()[1]
        mine = "127.0.0.1:%d" % own[1]
        await self.start(1, settings=settings, peer_listen=mine, peers=[mine, peer], peers_all=peer)
        heard = []
        self.host.runner.observer = lambda now, event, acts: heard.append(event)
        conn = await self.viewer()
        self.ask(conn)
        await self.seen("accept", who="viewer")
        taken.setblocking(False)
        server, kb = struct.unpack("<If", await self.loop.sock_recv(taken, 256))
        self.assertEqual((1, True), (server, kb > 0))
        foreign.sendto(struct.pack("<If", 1, 5.0), own)
        taken.sendto(b"broken", own)
        taken.sendto(struct.pack("<If", 1, float("nan")), own)
        taken.sendto(struct.pack("<If", 1, 25.0), own)
        self.ask(conn)
        await self.seen("accept", who="viewer", times=2)
        self.assertEqual(
            [interface.PeerLoadChange(1, 1, 25.0)],
            [event for event in heard if isinstance(event, interface.PeerLoadChange)],
        )
        self.assertEqual(3, self.host.counts["foreign words"])


class Port(unittest.TestCase):
    def test_the_clock_of_turns_is_unix_time(self):
        # Managers take turns of the cold pace by it: monotonic clocks of two machines don't agree.
        import time

        from flaxscale.serve.clock import unix_clock

        self.assertAlmostEqual(time.time() * 10_000, unix_clock()(), delta=1_000)


if __name__ == "__main__":
    unittest.main()
