"""The client's side of a connection: one request at a time, bytes in, response events out."""

from typing import NamedTuple

import httptools


class Head(NamedTuple):
    status: int
    headers: dict  # names in lower case


class Data(NamedTuple):
    bytes: bytes


class Done(NamedTuple):
    keep_alive: bool


class InvalidResponse(NamedTuple):
    """What came is no response, or only the beginning of one."""

    detail: str


def request(method, target, host, headers=(), body=b""):
    """The bytes of a request (RFC 9112, 3). A body, or a method that usually has one, states its length."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PATCH", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class ClientSide:
    """Call expect() for each request sent, then feed() what comes; eof() when the other side has closed."""

    def __init__(self, body_limit=1 << 20):
        self.limit, self.events, self.open, self.dead = body_limit, [], False, False
        self.parser = None

    def expect(self, streams=False):
        """streams: the body has no bound of ours (an event stream)."""
        self.open, self.status, self.headers, self.size, self.streams = True, 0, {}, 0, streams
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        if self.dead:
            return []
        if not self.open:  # bytes that nobody asked for: the connection can't be trusted any more
            self.dead = True
            return [InvalidResponse("bytes after the response")]
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.dead = True
            self.events.append(InvalidResponse("an upgrade that nobody asked for"))
        except httptools.HttpParserError as bad:
            self.dead = True
            self.events.append(InvalidResponse(f"not an HTTP response: {str(bad)[:120]}"))
        events, self.events = self.events, []
        return events

    def eof(self):
        """A body without length ends with the connection (RFC 9112, 6.3); all else that ends early is cut."""
        was, self.dead = self.open, True
        if not was or self.parser is None:
            return []
        self.open = False
        whole = self.status and "content-length" not in self.headers and "transfer-encoding" not in self.headers
        return [Done(False)] if whole else [InvalidResponse("the connection ended within the response")]

    # Called by the parser

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
            if self.size > self.limit:
                raise ValueError(f"the response's body is over {self.limit} bytes")
        self.events.append(Data(data))

    def on_message_complete(self):
        if self.status < 200:  # 100 and its like come before the response (RFC 9110, 15.2)
            self.headers, self.status = {}, 0
            return
        self.open = False
        self.events.append(Done(self.parser.should_keep_alive()))
