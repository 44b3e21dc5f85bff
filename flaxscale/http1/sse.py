"""Server-sent events (HTML Standard, 9.2) without I/O: an encoder and an incremental parser."""

from typing import NamedTuple


class Event(NamedTuple):
    """One event; `id` is that of the last event that stated one."""

    name: str
    data: str
    id: str | None


def encode(name, data, id=None):
    """One event as bytes; data may contain line breaks."""
    lines = [f"id: {id}"] if id is not None else []
    lines += [f"event: {name}"] + [f"data: {line}" for line in data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode()


class Reader:
    """Parses a stream that may be split anywhere. Raises ValueError for a line longer than limit bytes."""

    def __init__(self, limit=1 << 22):
        self.limit, self.partial = limit, b""
        self.name, self.data, self.id = "message", [], None

    def feed(self, data):
        """The events that these bytes complete."""
        events = []
        *lines, self.partial = (self.partial + data).replace(b"\r\n", b"\n").split(b"\n")
        if len(self.partial) > self.limit:
            raise ValueError(f"a line of an event stream is over {self.limit} bytes")
        for line in lines:
            if not line:
                if self.data:
                    events.append(Event(self.name, "\n".join(self.data), self.id))
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
        return events
