"""Client side of a connection: one request at a time, received bytes in, response events out."""

from typing import NamedTuple

import httptools


class Head(NamedTuple):
    """Status and header fields of the response."""

    status: int
    headers: dict  # names in lower case


class Data(NamedTuple):
    """A part of the response body."""

    bytes: bytes


class Done(NamedTuple):
    """The response is complete."""

    keep_alive: bool


class InvalidResponse(NamedTuple):
    """The received bytes are not a valid response, or only the beginning of one."""

    detail: str


def request(method, target, host, headers=(), body=b""):
    """The bytes of a request (RFC 9112, 3). Content-Length is sent with a body and with POST, PATCH and PUT."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PATCH", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class ClientSide:
    """Parses responses: expect() for each request sent, feed() for received bytes, eof() when the server closes."""

    def __init__(self, body_limit=1 << 20):
        self.body_limit, self.events, self.expecting, self.broken = body_limit, [], False, False
        self.parser = None

    def expect(self, streams=False):
        """Prepares for the next response. streams: its body has no length limit, as for an event stream."""
        self.expecting, self.status, self.headers, self.size, self.streams = True, 0, {}, 0, streams
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        """The events that these bytes complete; none after an InvalidResponse."""
        if self.broken:
            return []
        if not self.expecting:  # bytes without a request: the connection can no longer be used
            self.broken = True
            return [InvalidResponse("bytes after the response")]
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.broken = True
            self.events.append(InvalidResponse("an upgrade that was not requested"))
        except httptools.HttpParserError as error:
            self.broken = True
            self.events.append(InvalidResponse(f"not an HTTP response: {str(error)[:120]}"))
        events, self.events = self.events, []
        return events

    def eof(self):
        """A body without stated length ends with the connection (RFC 9112, 6.3); any other early end is an error."""
        expecting, self.broken = self.expecting, True
        if not expecting or self.parser is None:
            return []
        self.expecting = False
        complete = self.status and "content-length" not in self.headers and "transfer-encoding" not in self.headers
        return [Done(False)] if complete else [InvalidResponse("the connection ended within the response")]

    # Callbacks of the parser

    def on_header(self, name, value):
        self.size += len(name) + len(value)
        if self.size > 32768:
            raise ValueError("the response's header is over 32768 bytes")
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self):
        self.status = self.parser.get_status_code()
        if self.status >= 200:
            self.size = 0
            self.events.append(Head(self.status, self.headers))

    def on_body(self, data):
        if not self.streams:
            self.size += len(data)
            if self.size > self.body_limit:
                raise ValueError(f"the response's body is over {self.body_limit} bytes")
        self.events.append(Data(data))

    def on_message_complete(self):
        if self.status < 200:  # interim responses such as 100 precede the final one (RFC 9110, 15.2)
            self.headers, self.status = {}, 0
            return
        self.expecting = False
        self.events.append(Done(self.parser.should_keep_alive()))
