"""A folder on disk whose writes fail or are slow while a control file says so: for processes of the lab."""

import errno
import time

from .files import Files


class FaultInjectingFiles(Files):
    """fault: the path of the control file, which holds `full`, or `slow:MS` for each write and sync, or is missing."""

    def __init__(self, fault, folder, durable=True):
        self.fault = fault
        super().__init__(folder, durable)

    def inject_fault(self):
        """Raises or sleeps as the control file says."""
        try:
            kind, _, value = self.fault.read_text().partition(":")
        except OSError:
            return
        if kind == "full":
            raise OSError(errno.ENOSPC, "no space left on device")
        if kind == "slow":
            time.sleep(float(value) / 1000)

    def append(self, name, data):
        self.inject_fault()
        super().append(name, data)

    def sync(self, name):
        self.inject_fault()
        super().sync(name)
