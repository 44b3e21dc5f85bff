"""Parses and checks requests of WHIP and WHEP: returns the request's content or raises a Refusal.

The front and the boxes serve the same paths:
  /whep/TITLE, /whip/TITLE     the endpoints (RFC 9725, 4.2; draft-ietf-wish-whep, 4.2)
  /session/NAME                an established session, for PATCH and DELETE
"""

from typing import NamedTuple
from urllib.parse import unquote, unquote_plus

from ..http1 import fields, problem
from . import sdp

SDP, FRAGMENT = "application/sdp", "application/trickle-ice-sdpfrag"
CORS = (("Access-Control-Allow-Origin", "*"), ("Access-Control-Expose-Headers", "Location, ETag, Link, Retry-After"))
MAX_TITLE_LENGTH = 200


class Refusal(Exception):
    """The request is refused, with a status, a detail for the client, header fields and problem members."""

    def __init__(self, status, detail, headers=(), **more):
        super().__init__(detail)
        self.status, self.detail, self.headers, self.more = status, detail, tuple(headers), more

    def body(self):
        """The problem details (RFC 9457)."""
        return problem.problem(self.status, PROBLEM_TITLES.get(self.status, "Refused"), self.detail, **self.more)

    def answer(self):
        """(status, headers, body) of the response."""
        return self.status, [("Content-Type", problem.MEDIA_TYPE), *self.headers, *CORS], self.body()


PROBLEM_TITLES = {
    307: "Elsewhere",
    400: "The request can't be read",
    401: "A token is needed",
    403: "The token is not known here",
    404: "Nothing here",
    405: "Method not taken here",
    406: "Only SDP can be given",
    409: "In use",
    410: "It was ended before it came",
    412: "The session has moved on",
    413: "Too large",
    415: "Wrong content type",
    422: "The offer can't be taken",
    428: "If-Match is needed",
    429: "Too many requests",
    503: "No room now",
    502: "The video server failed",
    504: "No video server answered in time",
    500: "An error of ours",
    501: "Not implemented",
}


class Offer(NamedTuple):
    """A request for a session."""

    sends: bool  # WHIP; else WHEP
    title: str
    body: bytes
    ufrag: str
    wait: int | None  # seconds that the client is willing to wait, if stated
    viewer: str | None
    key: str | None  # Idempotency-Key
    trace: str | None  # traceparent, as sent
    length: float | None  # seconds that the client expects to play
    top: int | None  # the highest rung that the client can use
    media: sdp.Session | None


class Patch(NamedTuple):
    """ICE candidates or an ICE restart for a session."""

    name: str
    body: bytes
    match: str
    fragment: sdp.Fragment


class Delete(NamedTuple):
    """The end of a session."""

    name: str


class Options(NamedTuple):
    """A query of what an endpoint or session supports."""

    methods: str
    accepts: str | None


def split_target(target):
    """The decoded path segments and the first value of each query argument."""
    path, _, query = target.partition("?")
    segments = path.split("/")[1:]
    if "%" in path:
        try:
            segments = [unquote(s, errors="strict") for s in segments]
        except UnicodeDecodeError:
            raise Refusal(400, "the path is not UTF-8 once decoded") from None
    args = {}
    for pair in query.split("&", 32)[:32] if query else ():
        name, _, value = pair.partition("=")
        args.setdefault(name, unquote_plus(value) if "%" in value or "+" in value else value)
    return segments, args


def check_token(headers, tokens):
    """Raises 401 with a challenge if the token is missing or unknown (RFC 6750, 3); no check without tokens."""
    if not tokens:
        return
    token = fields.bearer(headers.get("authorization"))
    if token is None:
        raise Refusal(401, "no bearer token", [("WWW-Authenticate", 'Bearer realm="flaxscale"')])
    if not fields.known_token(token, tokens):
        raise Refusal(
            401,
            "the token is not known here",
            [("WWW-Authenticate", 'Bearer realm="flaxscale", error="invalid_token"')],
        )


def parse_request(request, segments, args, tokens=()):
    """The Offer, Patch, Delete or Options of a request to one of the paths above. Raises Refusal."""
    kind = segments[0]
    if len(segments) != 2 or not segments[1]:
        raise Refusal(404, "the path is /whep/TITLE, /whip/TITLE or /session/NAME")
    method = request.method
    if kind == "session":
        if method == "OPTIONS":
            return Options("DELETE, OPTIONS, PATCH", None)
        if method not in ("PATCH", "DELETE"):
            raise Refusal(405, f"{method} is not supported by a session", [("Allow", "DELETE, OPTIONS, PATCH")])
        check_token(request.headers, tokens)
        return Delete(segments[1]) if method == "DELETE" else parse_patch(request, segments[1])
    if method == "OPTIONS":
        return Options("OPTIONS, POST", SDP)
    if method != "POST":
        raise Refusal(405, f"{method} is not supported by an endpoint", [("Allow", "OPTIONS, POST")])
    check_token(request.headers, tokens)
    return parse_offer(request, kind == "whip", segments[1], args)


def parse_offer(request, sends, title, args):
    """The Offer of a POST to an endpoint."""
    headers = request.headers
    if len(title) > MAX_TITLE_LENGTH:
        raise Refusal(414, f"the title is longer than {MAX_TITLE_LENGTH} characters")
    kind = fields.media_type(headers.get("content-type"))
    if kind != SDP:
        raise Refusal(415, f"an offer is {SDP}, not {kind or 'without a type'}", [("Accept-Post", SDP)])
    if not fields.accepts(headers.get("accept"), SDP):
        raise Refusal(406, f"the answer can only be {SDP}")
    try:
        media = sdp.parse(request.body)
        first = sdp.check_offer(media, sends)
    except sdp.SdpError as error:
        raise Refusal(error.status, str(error)) from None
    return Offer(
        sends,
        title,
        request.body,
        first.ufrag,
        fields.prefer_wait(headers.get("prefer")),
        args.get("viewer") or headers.get("flaxscale-viewer"),
        idempotency_key(headers),
        headers.get("traceparent"),
        parse_positive_number(args, "length"),
        parse_whole_number(args, "top"),
        media,
    )


def idempotency_key(headers):
    """A structured-field string (draft-ietf-httpapi-idempotency-key-header, 2.1); also accepted without quotes."""
    value = headers.get("idempotency-key")
    if value is None:
        return None
    value = value.strip().strip('"')
    if not 1 <= len(value) <= 128 or not value.isprintable():
        raise Refusal(400, "an Idempotency-Key of 1 to 128 printable characters is needed")
    return value


def parse_positive_number(args, name):
    """A query argument over 0 and under a million, or None if absent."""
    if name not in args:
        return None
    try:
        value = float(args[name])
    except ValueError:
        value = -1.0
    if not 0 < value < 1e6:
        raise Refusal(400, f"{name}={args[name][:20]!r}: a number over 0 is needed")
    return value


def parse_whole_number(args, name):
    """A query argument of at most four digits, or None if absent."""
    if name not in args:
        return None
    if not args[name].isascii() or not args[name].isdigit() or len(args[name]) > 4:
        raise Refusal(400, f"{name}={args[name][:20]!r}: a whole number is needed")
    return int(args[name])


def parse_patch(request, name):
    """The Patch of a request (RFC 9725, 4.3.1): 415 unless it is a fragment, 428 without If-Match."""
    kind = fields.media_type(request.headers.get("content-type"))
    if kind != FRAGMENT:
        raise Refusal(415, f"a PATCH is {FRAGMENT}, not {kind or 'without a type'}", [("Accept-Patch", FRAGMENT)])
    match = request.headers.get("if-match")
    if match is None:
        raise Refusal(428, "a PATCH needs If-Match: the session's ETag, or * for an ICE restart")
    try:
        fragment = sdp.parse_fragment(request.body)
    except sdp.SdpError as error:
        raise Refusal(error.status, str(error)) from None
    return Patch(name, request.body, match, fragment)


def options_headers(want):
    """Header fields for OPTIONS: Accept-Post or Accept-Patch (RFC 9725, 4.2), and those for browsers (CORS)."""
    rows = [
        ("Allow", want.methods),
        ("Access-Control-Allow-Methods", want.methods),
        ("Access-Control-Allow-Headers", "authorization, content-type, if-match, prefer, idempotency-key"),
        *CORS,
    ]
    return rows + ([("Accept-Post", want.accepts)] if want.accepts else [("Accept-Patch", FRAGMENT)])
