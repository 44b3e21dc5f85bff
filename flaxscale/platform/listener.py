"""The listening socket. No error of accept(2) may end it: an event loop's own server closes itself at most of them.

Linux passes errors that are pending on a new connection on as errors of accept; those concern that connection alone.
Where descriptors, buffers or memory have run out, connections wait in the kernel's queue until accepting goes on.
"""

import asyncio
import socket

from ..serve.clock import now as steady_now
from .localerrors import is_local

BACKLOG = 1024  # connections that may wait in the kernel; Linux cuts it to net.core.somaxconn
ACCEPTS_A_TURN = 64  # connections taken before others have their turn
ERRORS_A_TURN = 8  # further ones wait for the next poll
PAUSE = 0.05  # seconds without accepting where this machine has run out of something
BIND_AGAIN = 0.1  # seconds between two tries to bind, while an earlier process may still hold the address
BIND_MOST = 250_000  # tenths of a millisecond: a manager has 30 s to be ready


class Listener:
    """Accepts connections for `make_protocol`, and goes on after every error."""

    def __init__(self, loop, make_protocol, on_error):
        """on_error(OSError) is told of each error that stopped a turn."""
        self.loop, self.make_protocol, self.on_error = loop, make_protocol, on_error
        self.socket, self.resumes, self.tasks = None, None, set()
        self.held = False  # the owner has no room for more connections

    async def start(self, address):
        """Binds and listens; while the address is taken, tries again until BIND_MOST has passed."""
        began = steady_now()
        while True:
            try:
                self.socket = self.listening(address)
                break
            except OSError as error:
                if steady_now() - began > BIND_MOST:
                    raise
                self.on_error(error)
                await asyncio.sleep(BIND_AGAIN)
        self.resume()

    @staticmethod
    def listening(address):
        made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            made.setblocking(False)
            made.bind(address)
            made.listen(BACKLOG)
        except OSError:
            made.close()
            raise
        return made

    def address(self):
        return self.socket.getsockname()

    def resume(self):
        self.resumes = None
        if self.socket is not None and not self.held:
            self.loop.add_reader(self.socket.fileno(), self.accept)

    def pause(self, seconds=PAUSE):
        """Leaves connections in the kernel's queue for a while."""
        if self.socket is not None and self.resumes is None:
            self.loop.remove_reader(self.socket.fileno())
            self.resumes = self.loop.call_later(seconds, self.resume)

    def hold(self, held):
        """Leaves connections in the kernel's queue for as long as the owner has no room."""
        if held == self.held or self.socket is None:
            return
        self.held = held
        if held:
            self.loop.remove_reader(self.socket.fileno())
        elif self.resumes is None:
            self.resume()

    def accept(self):
        errors = 0
        for _ in range(ACCEPTS_A_TURN):
            if self.socket is None or self.held:
                return
            try:
                made, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                errors += 1
                self.on_error(error)
                if is_local(error) or errors >= ERRORS_A_TURN:
                    self.pause()
                    return
                continue
            made.setblocking(False)
            task = self.loop.create_task(self.connect(made))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connect(self, made):
        try:
            await self.loop.connect_accepted_socket(self.make_protocol, made)
        except OSError as error:  # it broke before it was ours
            made.close()
            self.on_error(error)

    def stop(self):
        if self.socket is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None
        if self.resumes is not None:
            self.resumes.cancel()
        for task in list(self.tasks):
            task.cancel()
