"""Server-sent events (the HTML standard, 9.2) without I/O: one encoder, one incremental reader."""

from typing import NamedTuple


class Event(NamedTuple):
    name: str
    data: str
    id: str | None


def encode(name, data, id=None):
    """One event as bytes; data may have several lines."""
    lines = [f"id: {id}"] if id is not None else []
    lines += [f"event: {name}"] + [f"data: {line}" for line in data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode()


class Reader:
    """Bytes in, events out, cut anywhere. A line over the limit ends the stream with a ValueError."""

    def __init__(self, limit=1 << 22):
        self.limit, self.rest = limit, b""
        self.name, self.data, self.id = "message", [], None

    def feed(self, data):
        out = []
        *lines, self.rest = (self.rest + data).replace(b"\r\n", b"\n").split(b"\n")
        if len(self.rest) > self.limit:
            raise ValueError(f"a line of an event stream is over {self.limit} bytes")
        for line in lines:
            if not line:
                if self.data:
                    out.append(Event(self.name, "\n".join(self.data), self.id))
                self.name, self.data = "message", []
                continue
            if line[:1] == b":":
                continue
            field, _, value = line.decode("utf-8", "replace").partition(":")
            value = value.removeprefix(" ")
            if field == "event":
                self.name = value
            elif field == "data":
                self.data.append(value)
            elif field == "id":
                self.id = value
        return out
