"""Bytes to whole lines, however they are cut, with a bound on what is kept of an unfinished one."""

MAX_LINE_BYTES = 16 * 1024  # the platform's bound on a message


class LineBuffer:
    """feed() gives the lines that are whole; after `error` nothing further is to be read from there."""

    __slots__ = "partial", "max_line_bytes", "error"

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self.partial, self.max_line_bytes = b"", max_line_bytes
        self.error: str | None = None

    def feed(self, data: bytes) -> list[bytes]:
        if self.error:
            return []
        *whole, rest = (self.partial + data if self.partial else data).split(b"\n")
        good = []
        for line in whole:
            if len(line) > self.max_line_bytes:
                break
            good.append(line)
        if len(good) < len(whole) or len(rest) > self.max_line_bytes:
            self.error, rest = f"a line of over {self.max_line_bytes} bytes", b""
        self.partial = rest
        return good
