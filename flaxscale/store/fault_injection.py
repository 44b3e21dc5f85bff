"""A real folder whose disk is full or slow while a file says so: the lab's, for processes."""

import errno
import time

from .files import Files


class FaultInjectingFiles(Files):
    """`fault`: a path; what stands there now is `full`, or `slow:MS` for each write and sync, or nothing at all."""

    def __init__(self, fault, folder, durable=True):
        self.fault = fault
        super().__init__(folder, durable)

    def suffer(self):
        try:
            kind, _, value = self.fault.read_text().partition(":")
        except OSError:
            return
        if kind == "full":
            raise OSError(errno.ENOSPC, "no space left on device")
        if kind == "slow":
            time.sleep(float(value) / 1000)

    def append(self, name, data):
        self.suffer()
        super().append(name, data)

    def sync(self, name):
        self.suffer()
        super().sync(name)
