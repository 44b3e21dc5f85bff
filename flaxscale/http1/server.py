"""Server side of a connection: received bytes in, requests and refusals out (RFC 9112, RFC 9110)."""

from typing import NamedTuple

import httptools

REASONS = {
    100: "Continue",
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    304: "Not Modified",
    307: "Temporary Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    406: "Not Acceptable",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    413: "Content Too Large",
    414: "URI Too Long",
    415: "Unsupported Media Type",
    417: "Expectation Failed",
    422: "Unprocessable Content",
    428: "Precondition Required",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


class Limits(NamedTuple):
    """Limits for one request, in bytes except for `fields`."""

    head: int = 8192  # request line and header fields together
    fields: int = 64  # number of header fields
    target: int = 2048
    body: int = 65536


class Request(NamedTuple):
    """A complete request."""

    method: str
    target: str  # as sent: path and query
    headers: dict  # names in lower case; repeated fields are joined by ", " (RFC 9110, 5.3)
    body: bytes
    keep_alive: bool


class ContinueExpected(NamedTuple):
    """The client waits for 100 Continue before it sends the body (RFC 9110, 10.1.1)."""


class Refused(NamedTuple):
    """The bytes are not an acceptable request. The connection has to be closed after the error response."""

    status: int
    detail: str


class ParseAborted(Exception):
    """Raised in a parser callback to stop parsing; never leaves this module."""


class ServerSide:
    """Parses the requests of one connection. `phase` is idle, head or body and selects the time-out to apply."""

    def __init__(self, limits=Limits()):
        self.limits, self.phase, self.events, self.refusal = limits, "idle", [], None
        self.parser = httptools.HttpRequestParser(self)
        self.reset()

    def reset(self):
        self.url, self.headers, self.body = b"", {}, []
        self.header_bytes = self.received = self.body_bytes = self.field_count = 0

    def feed(self, data):
        """The events that these bytes complete, in order; none after a Refused."""
        if self.refusal:
            return []
        if self.phase == "head":
            self.received += len(data)  # an endless header must not accumulate in the parser
        try:
            self.parser.feed_data(data)
            if self.phase == "head" and self.received > self.limits.head:
                self.refuse(431, f"the header is over {self.limits.head} bytes")
        except ParseAborted:
            pass
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported: complete requests are answered, then the connection is closed.
            self.refusal = Refused(501, "this server upgrades to no other protocol")
            self.events = [e._replace(keep_alive=False) if isinstance(e, Request) else e for e in self.events]
            if not self.events:
                self.events.append(self.refusal)
        except httptools.HttpParserError as error:
            # A ParseAborted raised in a callback arrives wrapped in this; its refusal is recorded already.
            if self.refusal is None:
                self.refusal = Refused(400, f"not HTTP/1.1: {str(error)[:120]}")
                self.events.append(self.refusal)
        events, self.events = self.events, []
        return events

    def refuse(self, status, detail):
        """Records a refusal and stops parsing."""
        self.refusal = Refused(status, detail)
        self.events.append(self.refusal)
        raise ParseAborted

    # Callbacks of the parser

    def on_message_begin(self):
        self.phase = "head"
        self.reset()

    def on_url(self, url):
        self.url += url
        if len(self.url) > self.limits.target:
            self.refuse(414, f"the target is over {self.limits.target} bytes")

    def on_header(self, name, value):
        self.field_count += 1
        self.header_bytes += len(name) + len(value) + 4
        if self.header_bytes > self.limits.head or self.field_count > self.limits.fields:
            self.refuse(431, f"the header is over {self.limits.head} bytes or {self.limits.fields} fields")
        name, value = name.decode("latin-1").lower(), value.decode("latin-1").strip()
        self.headers[name] = f"{self.headers[name]}, {value}" if name in self.headers else value

    def on_headers_complete(self):
        self.phase = "body"
        if self.parser.get_http_version() not in ("1.1", "1.0"):
            self.refuse(505, "only HTTP/1.1 and 1.0 are spoken here")
        if self.parser.get_http_version() == "1.1" and "host" not in self.headers:
            self.refuse(400, "an HTTP/1.1 request without Host (RFC 9112, 3.2)")
        length = self.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.limits.body:
            self.refuse(413, f"the body is over {self.limits.body} bytes")
        expect = self.headers.get("expect")
        if expect is not None:
            if expect.lower() != "100-continue":
                self.refuse(417, "the only expectation met here is 100-continue")
            self.events.append(ContinueExpected())

    def on_body(self, data):
        self.body_bytes += len(data)
        if self.body_bytes > self.limits.body:
            self.refuse(413, f"the body is over {self.limits.body} bytes")
        self.body.append(data)

    def on_message_complete(self):
        self.phase = "idle"
        self.events.append(
            Request(
                self.parser.get_method().decode("ascii"),
                self.url.decode("latin-1"),
                self.headers,
                b"".join(self.body),
                self.parser.should_keep_alive(),
            )
        )


def response(status, headers=(), body=b"", keep_alive=True, date=None, head_only=False):
    """The bytes of a response. headers: (name, value) pairs. 1xx, 204 and 304 have no Content-Length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    if date:
        lines.append(f"Date: {date}")
    lines += [f"{name}: {value}" for name, value in headers]
    if status >= 200 and status not in (204, 304):
        lines.append(f"Content-Length: {len(body)}")
    if not keep_alive:
        lines.append("Connection: close")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")
    return head if head_only or status in (204, 304) or status < 200 else head + body


def stream_head(headers=(), date=None):
    """The header of a streamed response with chunked transfer coding (RFC 9112, 7.1)."""
    lines = ["HTTP/1.1 200 OK"] + ([f"Date: {date}"] if date else [])
    lines += [f"{name}: {value}" for name, value in headers] + ["Transfer-Encoding: chunked"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk(data):
    """One chunk of a streamed response."""
    return b"%x\r\n%s\r\n" % (len(data), data)
