"""The seam at system calls: a process whose calls fail when, and as often as, a test says (seam.c, built on demand)."""

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
def library():
    """The built library; it goes with the process that built it."""
    folder = tempfile.TemporaryDirectory(prefix="seam-")
    target = pathlib.Path(folder.name, "seam.so")
    subprocess.run(["cc", "-O1", "-shared", "-fPIC", "-o", str(target), str(SOURCE), "-ldl"], check=True)
    return folder, target


class Seam:
    """One process's faults. `environment` is to be added to that of the process."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="seam-")
        file = pathlib.Path(self.folder.name, "slots")
        file.write_bytes(bytes(SLOT.size * len(SLOTS)))
        with file.open("r+b") as opened:
            self.memory = mmap.mmap(opened.fileno(), 0)
        self.environment = {"LD_PRELOAD": str(library()[1]), "SEAM_FILE": str(file)}

    def fail(self, call, error, times):
        """From now on so many of these calls fail with this errno."""
        SLOT.pack_into(self.memory, SLOT.size * SLOTS.index(call), times, error, 0)

    def failed(self, call):
        """(how many are still to fail, how many failed)"""
        left, _, seen = SLOT.unpack_from(self.memory, SLOT.size * SLOTS.index(call))
        return left, seen

    def step_clock(self, seconds):
        """The wall clock is so far off from now on."""
        SLOT.pack_into(self.memory, SLOT.size * SLOTS.index("clock"), seconds, 0, 0)

    def close(self):
        self.memory.close()
        self.folder.cleanup()
