"""The announcement service: validation, versions, durability, clocks, and managers over sockets."""

import asyncio
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

import grpc
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from flaxscale.catalogue.state import HOLDING, Put, VersionConflict
from flaxscale.peaks import wire
from flaxscale.peaks.announce import Announcement, BoxRoom
from flaxscale.peaks.axis import Axis
from flaxscale.peaks.book import KEEP_ENDED_S, Follower, Frame, PeakBook, Refused, decode, encode
from flaxscale.peaks.times import format_time, parse_time
from flaxscale.proto import peaks_pb2 as pb
from flaxscale.proto import peaks_pb2_grpc as pb_grpc
from flaxscale.store.faulty import Crash, FaultyFiles
from flaxscale.store.log import Log
from tests.rig import Rig

ROOT = pathlib.Path(__file__).parents[1]
FRAME = Frame({"cam", "tour"}, 5, ("live", "clip"))


def peak(name="eid", **changes):
    row = dict(name=name, titles=("cam",), start_s=1000.0, end_s=1060.0, rate=2.0)
    return Announcement(**{**row, **changes})


class BookTest(unittest.TestCase):
    def test_announce_change_cancel_and_refusals(self):
        book = PeakBook()
        self.assertEqual(1, book.announce(peak(), FRAME, 500.0, who="ops"))
        for act, reason in (
            (lambda: book.announce(peak(), FRAME, 500.0), "announced already"),
            (lambda: book.announce(peak("x", end_s=900.0), FRAME, 500.0), "before or as it starts"),
            (lambda: book.announce(peak("x", rate=-2.0), FRAME, 500.0), "a rate of -2"),
            (lambda: book.announce(peak("x", titles=("zz",)), FRAME, 500.0), "'zz' is not known"),
            (lambda: book.announce(peak("x", packages=("odd",)), FRAME, 500.0), "package 'odd'"),
            (lambda: book.announce(peak("x", start_s=10.0, end_s=20.0), FRAME, 500.0), "ended 480 s ago"),
            (lambda: book.change("none", {"rate": 3}, FRAME, 500.0), "not announced"),
            (lambda: book.change("eid", {"rates": 3}, FRAME, 500.0), "no field"),
            (lambda: book.change("eid", {"rate": "many"}, FRAME, 500.0), "Expected `float`"),
            (lambda: book.change("eid", {}, FRAME, 500.0), "nothing to change"),
            (lambda: book.cancel("none", FRAME, 500.0), "not announced"),
        ):
            with self.assertRaisesRegex(Refused, reason):
                act()
        self.assertEqual((1, {"eid": peak()}), (book.version, book.peaks))
        with self.assertRaises(VersionConflict):
            book.cancel("eid", FRAME, 500.0, expect=0)
        book.change("eid", {"rate": 3.5, "end_s": 1100.0}, FRAME, 500.0)
        self.assertEqual((2, 3.5, 1100.0), (book.version, book.peaks["eid"].rate, book.peaks["eid"].end_s))
        book.cancel("eid", FRAME, 500.0, why="rain")
        self.assertEqual((3, {}, "cancelled"), (book.version, book.peaks, book.history[-1].what))

    def test_a_schedule_is_dropped_when_its_announcement_changes(self):
        book = PeakBook()
        book.announce(peak(), FRAME, 0.0)
        rooms = [{"box": 3, "steps": [[990.0, 40.0], [1010.0, 80.0]]}]
        book.change("eid", {"schedule": rooms}, FRAME, 0.0)
        self.assertEqual(80.0, book.peaks["eid"].schedule[0].at(1012.0))
        book.change("eid", {"rate": 9}, FRAME, 0.0)
        self.assertEqual((), book.peaks["eid"].schedule)
        with self.assertRaisesRegex(Refused, "times must rise"):
            book.change("eid", {"schedule": [{"box": 3, "steps": [[10.0, 1.0], [5.0, 1.0]]}]}, FRAME, 0.0)

    def test_past_announcements_expire_and_block_no_change(self):
        book = PeakBook()
        book.announce(peak("old", titles=("tour",)), FRAME, 0.0)
        without_tour = FRAME._replace(titles={"cam"})  # the title of the past peak was dropped
        book.announce(peak("new", start_s=5000.0, end_s=5100.0), without_tour, 2000.0)
        self.assertEqual({"old", "new"}, set(book.peaks))
        later = 1060.0 + KEEP_ENDED_S + 1
        book.announce(peak("next", start_s=later + 9, end_s=later + 99), without_tour, later)
        self.assertEqual({"new", "next"}, set(book.peaks))
        book.cancel("new", without_tour, later)

    def test_a_crash_at_any_byte_loses_no_acknowledged_version(self):
        def run(files):
            """Announces until a crash; returns the last version that was durable."""
            durable = 0
            try:
                store, book = Log(files), PeakBook()
                for n in range(6):
                    book.announce(peak(f"p{n}"), FRAME, 0.0)
                    store.append(encode("e", book))
                    store.commit()
                    durable = book.version
                    if n == 3:
                        store.snapshot(encode("e", book))
            except Crash:
                pass
            return durable

        undisturbed = FaultyFiles()
        self.assertEqual(6, run(undisturbed))
        for at in range(0, undisturbed.steps, 29):
            files = FaultyFiles(crash_at=at)
            durable = run(files)
            for disk in files.survivors():
                found = Log(FaultyFiles(disk)).found
                kept = found.records[-1][1] if found.records else found.snapshot
                version = decode(kept)[1].version if kept is not None else 0
                self.assertIn(version, (durable, durable + 1), at)  # what was being written may have reached the disk

    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 6)), max_size=12))
    def test_in_any_order_of_delivery_the_newest_version_is_kept(self, deliveries):
        follower, newest = Follower(), {}
        for epoch, version in deliveries:
            changed = follower.apply(epoch, version, [peak(f"{epoch}{version}")])
            if changed:
                newest = {epoch: version}
            self.assertEqual(newest.get(follower.epoch), follower.version)
            self.assertEqual(f"{follower.epoch}{follower.version}", follower.peaks[0].name)

    def test_an_invalid_version_is_refused_and_the_last_valid_one_kept(self):
        follower = Follower(lambda peaks: [(p.name, "no such rung") for p in peaks if p.rung > 3])
        follower.apply("e", 1, [peak()])
        with self.assertRaisesRegex(ValueError, "eid: no such rung"):
            follower.apply("e", 2, [peak(rung=4)])
        self.assertEqual((1, 1), (follower.version, follower.peaks[0].rung))

    def test_stored_bytes_of_an_unknown_format_are_refused(self):
        _, book = decode(encode("e", PeakBook(3, [peak()])))
        self.assertEqual((3, {"eid": peak()}), (book.version, book.peaks))
        with self.assertRaisesRegex(ValueError, "no announcements"):
            decode(b"\x00odd")
        with self.assertRaisesRegex(ValueError, "shape 9"):
            decode(msgspec.msgpack.encode([9, "e", 1, [], []]))

    def test_protobuf_preserves_all_fields(self):
        p = peak(
            titles=("cam", "tour"),
            packages=("live",),
            ramp_s=3.0,
            length_s=9.0,
            rung=2,
            sure=0.7,
            lead_s=4.0,
            schedule=(BoxRoom(7, ((1.0, 2.0), (3.0, 4.0))),),
        )
        self.assertEqual(p, wire.peak_in(pb.Peak.FromString(wire.peak_out(p).SerializeToString())))


class ClockTest(unittest.TestCase):
    def test_the_services_clock_is_followed_and_late_readings_do_not_set_it_back(self):
        axis = Axis()
        self.assertEqual(1000.0, axis.at(10.0, 1000.0))  # no reading yet: this machine's wall clock
        self.assertEqual(1005.0, axis.at(15.0, 99.0))  # its wall clock jumps back: no effect
        axis.add_reading(1009.5, 16.0)  # the service's clock is 3.5 s ahead
        axis.add_reading(1010.0, 17.5)  # a reading that arrives a second late
        self.assertEqual(1013.5, axis.at(20.0, 0.0))
        axis.add_reading(4610.0, 18.0)  # the service's clock was set forward by an hour
        self.assertEqual(4612.0, axis.at(20.0, 0.0))

    def test_time_formats(self):
        self.assertEqual(0.0, parse_time("1970-01-01T03:00:00+03:00", 9.0))
        self.assertEqual(99.0, parse_time("+1.5m", 9.0))
        self.assertEqual("2026-12-05T15:00:00Z", format_time(parse_time("2026-12-05T18:00:00+03:00", 0.0)))
        for text, said in (("tomorrow", "is no time"), ("2026-12-05T18:00:00", "no offset")):
            with self.assertRaisesRegex(ValueError, said):
                parse_time(text, 0.0)


class SocketTest(Rig):
    managers = 2
    titles = [
        Put("one", "clip", holders={"1": HOLDING, "2": HOLDING, "3": HOLDING}),
        Put("cam", "live", low=1, holders={"1": HOLDING, "2": HOLDING}),
    ]

    async def say(self, **what):
        async with grpc.aio.insecure_channel(self.catalogue) as channel:
            return await pb_grpc.PeaksStub(channel).Change(pb.ChangeRequest(**what), timeout=5.0)

    async def announce(self, name="eid", start=0.0, end=60.0, **more):
        p = Announcement(name, ("cam",), time.time() + start, time.time() + end, **{"rate": 2.0, **more})
        return await self.say(announce=wire.peak_out(p))

    async def taken(self, version):
        for log in self.log:
            await log.seen("peaks", version=version)

    def rooms(self, m):
        return self.fronts[m].peaks.state()["kept_kb"]

    async def test_bandwidth_is_reserved_until_a_cancel(self):
        reply = await self.announce()
        self.assertEqual((1, []), (reply.version, list(reply.faults)))
        await self.taken(1)
        for log in self.log:
            await log.seen("room kept")
        self.assertTrue(all(self.rooms(m) > 0 for m in (0, 1)))
        module = self.fronts[0].runner.manager
        # Box 3 does not hold the title.
        self.assertTrue(module.servers[1].reserved_kb > 0 and module.servers[3].reserved_kb == 0)
        self.assertEqual("plays", (await self.ask("cam")).fate)
        self.assertEqual("plays", (await self.ask("one")).fate)
        self.assertEqual(2, (await self.say(cancel="eid")).version)
        await self.taken(2)
        for log in self.log:
            await log.seen("room kept", 2)
        self.assertEqual([0, 0], [self.rooms(m) for m in (0, 1)])
        self.assertEqual(0, module.servers[1].reserved_kb)

    async def test_an_announcement_survives_a_failure_of_the_service(self):
        await self.announce()
        await self.taken(1)
        port = int(self.catalogue.split(":")[1])
        await self.service.stop()
        for log in self.log:
            await log.seen("peaks not followed")
        await self.fronts[0].stop(0.1)  # restarted while the service is down
        front = await self.start_front(0, listed=False)
        self.fronts.pop(0)
        self.log.pop(0)
        await self.listed(front, self.log[-1])
        await self.log[-1].seen("room kept")
        self.assertEqual((1, False), (front.peaks.state()["version"], front.peaks.state()["up"]))
        await self.start_service(port)
        reply = await self.say(change=pb.Fields(name="eid", json=b'{"rate": 4}'))
        self.assertEqual(2, reply.version)
        await self.taken(2)

    async def test_invalid_changes_are_refused_by_name_and_change_nothing(self):
        for more, said in (
            (dict(end=-5.0, start=-10.0), "it ended"),
            (dict(end=-1.0), "before or as it starts"),
            (dict(rung=77), "rung 77"),
            (dict(sure=2.0), "sure 2"),
        ):
            reply = await self.announce(**more)
            self.assertIn(said, reply.faults[0])
            self.assertEqual(0, reply.version)
        reply = await self.say(change=pb.Fields(name="none", json=b"{}"))
        self.assertIn("not announced", reply.faults[0])
        reply = await self.say(change=pb.Fields(name="none", json=b"[1"))
        self.assertIn("can't be read", reply.faults[0])
        self.assertIn("nothing to announce", (await self.say()).faults[0])

    async def test_arrivals_are_reported_to_the_service(self):
        await self.announce(start=-20.0, rate=1.0)
        await self.taken(1)
        await asyncio.gather(*(self.ask("cam", front=0) for _ in range(3)))
        peaks, told = self.service.peaks, asyncio.get_running_loop().create_future()
        hear = peaks.receive

        def heard(m, said):
            hear(m, said)
            if m.name == "m0" and any(s.came == 6.0 for s in m.seen) and not told.done():
                told.set_result(None)

        peaks.receive = heard
        await asyncio.wait_for(told, 10)
        async with grpc.aio.insecure_channel(self.catalogue) as channel:
            reply = await pb_grpc.PeaksStub(channel).List(pb.ListRequest(), timeout=5.0)
        seen = {m.name: {s.name: s.came for s in m.seen} for m in reply.managers}
        self.assertEqual(6.0, seen["m0"]["eid"])  # three, times the two managers


class CommandTest(unittest.TestCase):
    def test_the_commands_of_an_operator(self):
        with tempfile.TemporaryDirectory() as folder:
            child = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "flaxscale",
                    "catalogue",
                    "serve",
                    "examples/boats.jsonnet",
                    "--store",
                    folder + "/store",
                    "--port",
                    "0",
                    "--ready",
                ],
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            try:
                at = "127.0.0.1:%d" % json.loads(child.stdout.readline())["port"]

                def say(*args, status=0):
                    done = subprocess.run(
                        [sys.executable, "-m", "flaxscale", *args, "--at", at],
                        cwd=ROOT,
                        capture_output=True,
                        text=True,
                        timeout=60,
                    )
                    self.assertEqual(status, done.returncode, done.stdout + done.stderr)
                    return done.stdout + done.stderr

                say("catalogue", "put", "examples/catalogue.jsonnet")
                when = ("--start", "+10m", "--end", "+20m")
                self.assertIn(
                    "the title 'nothing' is not known",
                    say("peak", "announce", "x", "--title", "nothing", *when, "--rate", "3", status=4),
                )
                self.assertIn(
                    "version 1",
                    say(
                        "peak",
                        "announce",
                        "eid",
                        "--title",
                        "quay-cam",
                        *when,
                        "--rate",
                        "9",
                        "--rung",
                        "3",
                        "--why",
                        "Eid",
                    ),
                )
                self.assertIn("is no time", say("peak", "change", "eid", "--end", "soon", status=2))
                self.assertIn("version 2", say("peak", "change", "eid", "--rate", "40"))
                self.assertRegex(say("peak", "list"), r"eid: quay-cam; .* 40/s; starts in \d+ s")
                out = say("peak", "plan", "examples/peak-question.jsonnet", "--put")
                self.assertIn("does not fit", out)
                self.assertIn("schedule of eid is in service; version 3", out)
                self.assertIn("planned on", say("peak", "show", "eid"))
                self.assertIn("cancelled eid", say("peak", "cancel", "eid"))
                self.assertIn("not announced", say("peak", "show", "eid", status=4))
            finally:
                child.kill()
                child.wait()
                child.stdout.close()


class SiteFileTest(Rig):
    """A peak in the site file, without the service."""

    async def asyncSetUp(self):
        row = json.loads(self.terms)
        now_s = time.time()
        row["peaks"] = [
            {
                "name": "eid",
                "titles": ["cam"],
                "start": format_time(now_s - 5),
                "end": format_time(now_s + 60),
                "rate": 2,
                "rung": 1,
            }
        ]
        self.terms = json.dumps(row)
        await super().asyncSetUp()

    async def test_bandwidth_is_reserved_for_it(self):
        await self.log[0].seen("room kept")
        state = self.fronts[0].peaks.state()
        self.assertGreater(state["kept_kb"], 0)
        self.assertEqual(("eid", None), (next(iter(state["peaks"])), state["version"]))
        self.assertEqual("plays", (await self.ask("cam")).fate)
