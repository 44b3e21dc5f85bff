"""Bytes to whole lines, however they are cut, with a bound on what is kept of an unfinished one."""

MOST = 16 * 1024  # the platform's bound on a message


class Lines:
    """take() gives the lines that are whole; after `fault` nothing further is to be read from there."""

    __slots__ = "rest", "most", "fault"

    def __init__(self, most: int = MOST) -> None:
        self.rest, self.most = b"", most
        self.fault: str | None = None

    def take(self, data: bytes) -> list[bytes]:
        if self.fault:
            return []
        *whole, rest = (self.rest + data if self.rest else data).split(b"\n")
        good = []
        for line in whole:
            if len(line) > self.most:
                break
            good.append(line)
        if len(good) < len(whole) or len(rest) > self.most:
            self.fault, rest = f"a line of over {self.most} bytes", b""
        self.rest = rest
        return good
