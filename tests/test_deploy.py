"""What the platform asks of `run` in deploy/balancer.toml, seen on the process that it starts."""

import asyncio
import ctypes
import errno
import os
import pathlib
import socket
import struct
import sys
import tomllib

from tests.platform_rig import ANSWER, SETTINGS, Platform, accept_all, line
from tests.rig import LIMIT

ROOT = pathlib.Path(__file__).parents[1]
BUSY = 0.35  # of a core, at most, while next to nothing is to do; a thread that spins takes all of it
# On the scored days these fail with ENOSYS, splice with EINVAL: numbers of x86-64 (asm/unistd_64.h).
REFUSED = {
    "fork": (57, errno.ENOSYS),
    "vfork": (58, errno.ENOSYS),
    "io_uring_setup": (425, errno.ENOSYS),
    "sendfile": (40, errno.ENOSYS),
    "splice": (275, errno.EINVAL),
}


def refuse_calls():
    """A system-call filter on this process and what it becomes, as seccomp(2) has it; no rights are needed for it."""
    load, equal, give, fail, allow = 0x20, 0x15, 0x06, 0x0005_0000, 0x7FFF_0000
    rows = [(load, 0, 0, 0)]
    for number, error in REFUSED.values():
        rows += [(equal, 0, 1, number), (give, 0, 0, fail | error)]
    code = b"".join(struct.pack("HBBI", *row) for row in [*rows, (give, 0, 0, allow)])
    text = ctypes.create_string_buffer(code)
    program = ctypes.create_string_buffer(struct.pack("HP", len(code) // 8, ctypes.addressof(text)))
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(38, 1, 0, 0, 0) or libc.prctl(22, 2, program, 0, 0):  # no new privileges; filter
        os._exit(99)


class Run(Platform):
    """The deploy file's own command, under the page's filter; only its interpreter is the one that runs the tests."""

    async def start_run(self):
        await self.server(1, accept_all)
        first = self.event(self.row(1), full=True)
        port, peer = self.free_ports()
        settings = {**SETTINGS, "caps": {**SETTINGS["caps"], "peers": True}}
        self.write(
            settings,
            listen=f"127.0.0.1:{port}",
            known={"no": 1, "items": [first]},
            peer_listen=f"127.0.0.1:{peer}",
            peers=[f"127.0.0.1:{peer}"],
            peers_all=f"127.0.0.1:{peer}",
        )
        self.address = "127.0.0.1", port
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.assertIn(".venv/bin/python", command)
        tmp = pathlib.Path(self.folder.name, "tmp")
        tmp.mkdir()
        self.child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command.replace(".venv/bin/python", sys.executable),
            cwd=ROOT,
            env={
                **os.environ,
                "BALANCER_CONFIG": str(self.file),
                "BALANCER_NAME": "n0",
                "TMPDIR": str(tmp),
                "BALANCER_LISTEN": f"127.0.0.1:{port}",
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            preexec_fn=refuse_calls if os.uname().machine == "x86_64" else None,
        )
        self.addCleanup(lambda: self.child.returncode is None and self.child.kill())
        said = []
        while not any(b'"serves"' in text for text in said):
            text = await asyncio.wait_for(self.child.stdout.readline(), LIMIT)
            self.assertTrue(text, said)
            said.append(text)
        self.proc = pathlib.Path(f"/proc/{self.child.pid}")
        return tmp

    @staticmethod
    def free_ports():
        """(TCP, UDP) ports that were free just now."""
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            for one in (tcp, udp):
                one.bind(("127.0.0.1", 0))
            return tcp.getsockname()[1], udp.getsockname()[1]

    def cpu_s(self):
        fields = (self.proc / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def held(self):
        """What its descriptors are."""
        found = []
        for fd in (self.proc / "fd").iterdir():
            try:
                found.append(os.readlink(fd))
            except OSError:
                pass  # closed since it was listed
        return found

    def sockets(self, table):
        """[(local port, state)] of its own sockets in a table of /proc/net."""
        mine = {text[8:-1] for text in self.held() if text.startswith("socket:[")}
        rows = [text.split() for text in (self.proc / "net" / table).read_text().splitlines()[1:]]
        return [(int(row[1].rpartition(":")[2], 16), row[3]) for row in rows if row[9] in mine]

    async def test_one_process_that_waits_and_holds_what_the_page_allows(self):
        tmp = await self.start_run()
        conn = await self.viewer()
        call = self.ask(conn)
        self.assertEqual(ANSWER, (await self.seen("accept", who="viewer", call=call))["desc"])
        # `exec`: the shell became the manager. It started nothing else, then or since.
        self.assertIn(b"platform", (self.proc / "cmdline").read_bytes().split(b"\0"))
        children = [task.joinpath("children").read_text() for task in (self.proc / "task").iterdir()]
        self.assertEqual([""] * len(children), children)
        self.assertRegex((self.proc / "maps").read_text(), r"/(libc[.-]|ld-)\S*so")  # linked dynamically
        if os.uname().machine == "x86_64":  # the filter holds: the loop would have made one
            self.assertEqual([], [text for text in self.held() if "io_uring" in text])
        # One TCP listener, its own, and one UDP socket, the peers'; no IPv6; nothing written to files.
        self.assertEqual([self.address[1]], [port for port, state in self.sockets("tcp") if state == "0A"])
        self.assertEqual(1, len(self.sockets("udp")))
        self.assertEqual([], self.sockets("tcp6") + self.sockets("udp6"))
        self.assertEqual([], list(tmp.iterdir()))
        self.assertEqual([], [text for text in self.held() if text.startswith("/") and not text.startswith("/dev/")])
        # It waits in the kernel: between two calls for the silent bulletin, 1.4 s apart, it takes next to no time.
        calls = len(self.all("after"))
        await self.seen("after", calls + 1)
        began, at = self.cpu_s(), self.rows.rows[-1]["at"]
        again = await self.seen("after", calls + 2)
        self.assertLess(self.cpu_s() - began, BUSY * (again["at"] - at) / 10_000)
        states = [(task / "stat").read_text().rpartition(")")[2].split()[0] for task in (self.proc / "task").iterdir()]
        self.assertLessEqual(sum(state == "R" for state in states), 1)
        # Its planned end: what plays is not its own, it goes when nothing is left to answer, with status 0.
        conn.send(line("end", call, why=16))
        await self.seen("ended", who="viewer", call=call)
        self.child.terminate()
        out, _ = await asyncio.wait_for(self.child.communicate(), LIMIT)
        self.assertEqual(0, self.child.returncode, out[-500:])
        self.assertIn(b'"over"', out)
