"""Splits a byte stream into lines and limits the length of a line."""

MAX_LINE_BYTES = 16 * 1024  # the platform's limit for one message


class LineBuffer:
    """Buffers an incomplete line between reads. Once `error` is set, the stream must not be read any further."""

    __slots__ = "partial", "max_line_bytes", "error"

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self.partial, self.max_line_bytes = b"", max_line_bytes
        self.error: str | None = None

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that these bytes complete, without line ends; none once `error` is set."""
        if self.error:
            return []
        *complete, partial = (self.partial + data if self.partial else data).split(b"\n")
        accepted = []
        for line in complete:
            if len(line) > self.max_line_bytes:
                break
            accepted.append(line)
        if len(accepted) < len(complete) or len(partial) > self.max_line_bytes:
            self.error, partial = f"line longer than {self.max_line_bytes} bytes", b""
        self.partial = partial
        return accepted
