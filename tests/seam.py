"""Fault injection at system calls: the calls of a process fail on demand of a test (seam.c, built when needed)."""

import functools
import mmap
import pathlib
import struct
import subprocess
import tempfile

SOURCE = pathlib.Path(__file__).with_name("seam.c")
SLOTS = "accept", "socket", "connect", "read", "write", "wait", "sync", "bind", "sendto", "clock"
SLOT = struct.Struct("lll")


@functools.cache
def build_library():
    """(folder, path) of the built library, which is deleted when this process ends."""
    folder = tempfile.TemporaryDirectory(prefix="seam-")
    target = pathlib.Path(folder.name, "seam.so")
    subprocess.run(["cc", "-O1", "-shared", "-fPIC", "-o", str(target), str(SOURCE), "-ldl"], check=True)
    return folder, target


class FaultInjector:
    """Injects faults into one process, which must be started with the variables of `environment`."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="seam-")
        file = pathlib.Path(self.folder.name, "slots")
        file.write_bytes(bytes(SLOT.size * len(SLOTS)))
        with file.open("r+b") as opened:
            self.memory = mmap.mmap(opened.fileno(), 0)
        self.environment = {"LD_PRELOAD": str(build_library()[1]), "SEAM_FILE": str(file)}

    def fail(self, call, error, times):
        """Makes the next `times` calls of this name fail with this errno."""
        SLOT.pack_into(self.memory, SLOT.size * SLOTS.index(call), times, error, 0)

    def failed(self, call):
        """(number of calls that are still to fail, number of calls that failed)"""
        remaining, _, failed_count = SLOT.unpack_from(self.memory, SLOT.size * SLOTS.index(call))
        return remaining, failed_count

    def step_clock(self, seconds):
        """Shifts the wall clock of the process by so many seconds."""
        SLOT.pack_into(self.memory, SLOT.size * SLOTS.index("clock"), seconds, 0, 0)

    def close(self):
        self.memory.close()
        self.folder.cleanup()
