"""HTTP and event stream parsers without sockets: input split at any offset gives the same events."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flaxscale.http1 import fields, sse
from flaxscale.http1.client import ClientSide, Data, Done, Head, InvalidResponse, request
from flaxscale.http1.server import ContinueExpected, Limits, Refused, Request, ServerSide, response

POST = request(
    "POST", "/whep/a%20b?x=1", "h:80", [("Content-Type", "application/sdp"), ("X-A", "1"), ("X-A", "2")], b"v=0\r\n"
)
CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"


def feed_all(side, pieces):
    return [event for piece in pieces for event in side.feed(piece)]


class ServerSideTest(unittest.TestCase):
    def test_split_at_every_offset(self):
        data = POST + CHUNKED + b"GET /y HTTP/1.0\r\n\r\n"
        expected = feed_all(ServerSide(), [data])
        self.assertEqual(
            [("POST", b"v=0\r\n", True), ("POST", b"abcde", True), ("GET", b"", False)],
            [(e.method, e.body, e.keep_alive) for e in expected],
        )
        self.assertEqual("1, 2", expected[0].headers["x-a"])
        for at in range(len(data)):
            self.assertEqual(expected, feed_all(ServerSide(), [data[:at], data[at:]]), at)
        self.assertEqual(expected, feed_all(ServerSide(), [data[n : n + 1] for n in range(len(data))]))

    def test_limits_hold_for_any_split_of_the_input(self):
        limits = Limits(head=500, fields=5, target=50, body=20)
        head = b"POST /x HTTP/1.1\r\nHost: h\r\n"
        for want, data in (
            (431, head + b"A: " + b"b" * 600 + b"\r\n\r\n"),
            (431, head + b"A: 1\r\n" * 9 + b"\r\n"),
            (431, head + b"A: " + b"b" * 5000),
            (414, b"GET /" + b"x" * 99 + b" HTTP/1.1\r\n\r\n"),
            (413, head + b"Content-Length: 21\r\n\r\n"),
            (413, head + b"Transfer-Encoding: chunked\r\n\r\nff\r\n" + b"z" * 255 + b"\r\n"),
            (400, head + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n"),
            (400, head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            (400, b"GET /x HTTP/1.1\r\n\r\n"),
            (505, b"GET /x HTTP/2.0\r\nHost: h\r\n\r\n"),
            (400, b"\x16\x03\x01\x02\x00"),
        ):
            for size in (1, 7, 400):
                events = feed_all(ServerSide(limits), [data[n : n + size] for n in range(0, len(data), size)])
                self.assertEqual([want], [e.status for e in events if isinstance(e, Refused)], (data[:60], size))
                self.assertFalse([e for e in events if isinstance(e, Request)])

    def test_continue_comes_before_the_body_and_nothing_after_a_refusal(self):
        side = ServerSide()
        self.assertEqual(
            [ContinueExpected()],
            side.feed(b"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"),
        )
        self.assertEqual(b"ab", side.feed(b"ab")[0].body)
        side.feed(b"rubbish\r\n\r\n")
        self.assertEqual([], side.feed(POST))

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=300), st.integers(1, 40))
    def test_no_input_raises(self, data, size):
        for text in (data, POST[:30] + data, POST[:-5] + data):
            feed_all(ServerSide(), [text[n : n + size] for n in range(0, len(text), size)])
            client = ClientSide()
            client.expect()
            feed_all(client, [text[n : n + size] for n in range(0, len(text), size)])
            client.eof()


class ClientSideTest(unittest.TestCase):
    def test_split_at_every_offset(self):
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + response(201, [("Location", "/s/1")], b"hello")
        for at in range(len(data)):
            side = ClientSide()
            side.expect()
            events = feed_all(side, [data[:at], data[at:]])
            self.assertEqual((201, "/s/1"), (events[0].status, events[0].headers["location"]))
            self.assertEqual(b"hello", b"".join(e.bytes for e in events if isinstance(e, Data)))
            self.assertEqual(Done(True), events[-1])

    def test_a_partial_response_is_invalid_and_one_without_length_ends_with_the_connection(self):
        side = ClientSide()
        side.expect()
        feed_all(side, [response(201, [], b"hello")[:-2]])
        self.assertIsInstance(side.eof()[0], InvalidResponse)
        side = ClientSide()
        side.expect()
        events = feed_all(side, [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it"])
        self.assertEqual([Head, Data], [type(e) for e in events])
        self.assertEqual([Done(False)], side.eof())

    def test_bytes_without_a_request_are_invalid(self):
        side = ClientSide()
        self.assertIsInstance(side.feed(b"HTTP/1.1 200 OK\r\n\r\n")[0], InvalidResponse)


class EventStreamTest(unittest.TestCase):
    def test_events_split_at_every_offset(self):
        data = sse.encode("full", "a\nb", "7") + b": a comment\n\n" + sse.encode("delta", "c")
        for at in range(len(data)):
            reader = sse.Reader()
            events = reader.feed(data[:at]) + reader.feed(data[at:])
            self.assertEqual([("full", "a\nb", "7"), ("delta", "c", "7")], [tuple(e) for e in events], at)
        with self.assertRaises(ValueError):
            sse.Reader(limit=10).feed(b"x" * 20)


class FieldsTest(unittest.TestCase):
    def test_prefer_accept_and_bearer(self):
        for want, value in (
            (3, "wait=3"),
            (3, 'respond-async, wait="3"'),
            (None, "wait=soon"),
            (None, None),
            (None, "wait=-1"),
            (5, "wait=5, wait=9"),
            (None, "wait=99999999"),
        ):
            self.assertEqual(want, fields.prefer_wait(value), value)
        for want, value in (
            (True, None),
            (True, "*/*"),
            (True, "application/*"),
            (False, "text/html"),
            (False, "application/sdp;q=0"),
            (False, "*/*, application/sdp;q=0"),
            (True, "text/html, application/sdp;q=0.1"),
        ):
            self.assertEqual(want, fields.accepts(value, "application/sdp"), value)
        for want, value in (("t", "Bearer t"), ("t", "bearer  t"), (None, "Basic t"), (None, "Bearer "), (None, None)):
            self.assertEqual(want, fields.bearer(value), value)
        self.assertEqual([0, 1, 1, 2], [fields.whole_seconds(t) for t in (0, 1, 10_000, 10_001)])
