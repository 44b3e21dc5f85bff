"""SDP, fragments, endpoints and load reports, without sockets."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from flaxscale.http1.server import Request
from flaxscale.signalling import endpoint, load, sdp

FINGERPRINT = ":".join(["AB"] * 32)
OFFER = sdp.offer(False, "abcd", "p" * 24, FINGERPRINT)


class OfferTest(unittest.TestCase):
    def refused(self, body, sends=False):
        with self.assertRaises(sdp.SdpError) as caught:
            sdp.check_offer(sdp.parse(body), sends)
        return caught.exception

    def test_an_offer_and_its_answer(self):
        for sends in (False, True):
            session = sdp.parse(sdp.offer(sends, "abcd", "p" * 24, FINGERPRINT))
            first = sdp.check_offer(session, sends)
            self.assertEqual(("abcd", "actpass"), (first.ufrag, first.setup))
            answer = sdp.answer(session, sends, "wxyz", "q" * 24, FINGERPRINT, "1 1 tcp 1 127.0.0.1 99 typ host")
            back = sdp.parse(answer)
            self.assertEqual({"recvonly" if sends else "sendonly"}, {m.direction for m in back.media})
            self.assertEqual([("0", "opus"), ("1", "H264")], [(m.mid, m.codec()) for m in back.media])
            self.assertEqual(("127.0.0.1", 99, "wxyz"), sdp.first_candidate(answer))

    def test_each_error_has_its_status(self):
        for want, status, old, new in (
            ("line 1", 400, b"v=0", b"v=1x"),
            ("o= is missing", 400, b"o=-", b"x=-"),
            ("BUNDLE", 422, b"a=group:BUNDLE 0 1", b"a=nothing"),
            ("not in the BUNDLE", 422, b"BUNDLE 0 1", b"BUNDLE 0"),
            ("mid of its own", 422, b"a=mid:1", b"a=mid:0"),
            ("sendonly: a WHEP offer receives", 422, b"recvonly", b"sendonly"),
            ("inactive", 422, b"recvonly", b"inactive"),
            ("ufrag", 422, b"a=ice-ufrag:abcd", b"a=ice-ufrag:a"),
            ("password", 422, b"p" * 24, b"p" * 9),
            ("fingerprint", 422, b"sha-256", b"md5"),
            ("DTLS role", 422, b"actpass", b"passive"),
            ("protocol", 422, b"UDP/TLS/RTP/SAVPF", b"RTP/AVP"),
            ("kind", 422, b"m=audio", b"m=application"),
            ("media line", 400, b"m=audio 9", b"m=audio 99999999"),
            ("an equals sign", 400, b"s=-", b"rubbish"),
            ("UTF-8", 400, b"s=-", b"s=\xff\xfe"),
        ):
            error = self.refused(OFFER.replace(old, new))
            self.assertIn(want, str(error))
            self.assertEqual(status, error.status, want)
        self.assertIn("recvonly: a WHIP offer sends", str(self.refused(OFFER, sends=True)))
        two = sdp.offer(True, "abcd", "p" * 24, FINGERPRINT).replace(
            b"m=audio 9 UDP/TLS/RTP/SAVPF 111", b"m=video 9 UDP/TLS/RTP/SAVPF 111"
        )
        self.assertIn("more than one video", str(self.refused(two, sends=True)))

    def test_sendrecv_is_accepted_by_both_protocols(self):
        body = OFFER.replace(b"recvonly", b"sendrecv")
        for sends in (False, True):
            sdp.check_offer(sdp.parse(body), sends)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200), st.integers(0, len(OFFER)), st.integers(0, 60))
    def test_any_change_of_an_offer_is_parsed_or_refused(self, data, at, cut):
        for body in (data, OFFER[:at] + data + OFFER[at + cut :]):
            for read in (lambda b: sdp.check_offer(sdp.parse(b), False), sdp.parse_fragment):
                try:
                    read(body)
                except sdp.SdpError as error:
                    self.assertIn(error.status, (400, 413, 422))

    def test_fragments(self):
        frag = sdp.parse_fragment(
            b"a=ice-ufrag:abcd\r\na=ice-pwd:" + b"p" * 22 + b"\r\n"
            b"m=audio 9 UDP/TLS/RTP/SAVPF 0\r\na=mid:0\r\n"
            b"a=candidate:1 1 udp 1 127.0.0.1 9 typ host\r\na=end-of-candidates\r\n"
        )
        self.assertEqual(("abcd", "p" * 22, 1, True), (frag.ufrag, frag.pwd, len(frag.candidates), frag.complete))
        self.assertEqual("0", frag.candidates[0][0])
        for body in (b"", b"a=ice-ufrag:abcd\r\nv=0", b"a=ice-ufrag:abcd\r\na=candidate:1 1", b"a=mid:0"):
            with self.assertRaises(sdp.SdpError):
                sdp.parse_fragment(body)


class EndpointTest(unittest.TestCase):
    def read(self, method="POST", target="/whep/one", body=OFFER, tokens=(), **headers):
        rows = {"content-type": "application/sdp", **{k.replace("_", "-"): v for k, v in headers.items()}}
        segments, args = endpoint.split_target(target)
        return endpoint.parse_request(Request(method, target, rows, body, True), segments, args, tokens)

    def test_an_offer_is_parsed(self):
        want = self.read(
            target="/whep/a%20b?viewer=anna&length=40&top=2", prefer="wait=4", idempotency_key='"k"', traceparent="t"
        )
        self.assertEqual(
            ("a b", "anna", 40.0, 2, 4, "k", "t", "abcd"),
            (want.title, want.viewer, want.length, want.top, want.wait, want.key, want.trace, want.ufrag),
        )

    def test_refusals(self):
        for status, how in (
            (404, dict(target="/whep/")),
            (404, dict(target="/whep/a/b")),
            (405, dict(method="GET")),
            (405, dict(method="POST", target="/session/x")),
            (400, dict(target="/whep/x?length=no")),
            (400, dict(target="/whep/x?top=-1")),
            (400, dict(target="/whep/%ff")),
            (414, dict(target="/whep/" + "x" * 201)),
            (400, dict(idempotency_key='"' + "k" * 200 + '"')),
            (401, dict(tokens=["t"])),
            (401, dict(tokens=["t"], authorization="Bearer u")),
            (428, dict(method="PATCH", target="/session/x", content_type=endpoint.FRAGMENT)),
            (415, dict(method="PATCH", target="/session/x", if_match="*")),
        ):
            with self.assertRaises(endpoint.Refusal) as caught:
                self.read(**how)
            self.assertEqual(status, caught.exception.status, how)
        self.read(tokens=["s", "t"], authorization="Bearer t")

    def test_invalid_load_reports_are_ignored(self):
        self.assertEqual({"x0": 0.5, "x1": 1.25}, load.decode(load.encode({"x0": 0.5, "x1": 1.25})))
        self.assertEqual({"x0": 0.5, "cpu": 0.1}, load.decode('JSON {"named_metrics":{"x0":0.5},"cpu":0.1}'))
        for bad in (None, "", "TEXT x0=", "TEXT x0=nan", "TEXT x0=-1", "JSON [", "JSON 3", "BIN aGk=", "TEXT =,,="):
            self.assertEqual({}, load.decode(bad), bad)
