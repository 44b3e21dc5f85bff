"""The listening socket. No error of accept(2) may end it; an event loop's own server closes itself on most of them.

Linux reports pending errors of a new connection as errors of accept; those concern that connection alone. When
descriptors, buffers or memory run out, connections wait in the kernel's queue until accepting resumes.
"""

import asyncio
import socket

from ..serve.clock import now as steady_now
from .localerrors import is_local

BACKLOG = 1024  # connections that may wait in the kernel; Linux limits it to net.core.somaxconn
ACCEPTS_PER_TURN = 64  # connections accepted per loop iteration, so that other callbacks run
ERRORS_PER_TURN = 8  # errors of accept per loop iteration; then accepting pauses
PAUSE_SECONDS = 0.05  # without accepting, after a resource of this machine has run out
BIND_RETRY_SECONDS = 0.1  # between two attempts to bind, while an earlier process may still hold the address
BIND_TIMEOUT = 250_000  # tenths of a millisecond; a manager must be ready within 30 s


class Listener:
    """Accepts connections for `make_protocol` and continues after every error."""

    def __init__(self, loop, make_protocol, on_error):
        """on_error(OSError) is called for each error of bind, accept and connection set-up."""
        self.loop, self.make_protocol, self.on_error = loop, make_protocol, on_error
        self.socket, self.resume_timer, self.tasks = None, None, set()
        self.on_hold = False  # the owner accepts no more connections

    async def start(self, address):
        """Binds and listens; retries errors until BIND_TIMEOUT has passed."""
        began = steady_now()
        while True:
            try:
                self.socket = self.open_socket(address)
                break
            except OSError as error:
                if steady_now() - began > BIND_TIMEOUT:
                    raise
                self.on_error(error)
                await asyncio.sleep(BIND_RETRY_SECONDS)
        self.resume()

    @staticmethod
    def open_socket(address):
        new_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            new_socket.setblocking(False)
            new_socket.bind(address)
            new_socket.listen(BACKLOG)
        except OSError:
            new_socket.close()
            raise
        return new_socket

    def address(self):
        return self.socket.getsockname()

    def is_accepting(self):
        """Whether connections are accepted now; otherwise some may wait in the kernel's queue."""
        return not self.on_hold and self.resume_timer is None

    def resume(self):
        self.resume_timer = None
        if self.socket is not None and not self.on_hold:
            self.loop.add_reader(self.socket.fileno(), self.accept)

    def pause(self, seconds=PAUSE_SECONDS):
        """Leaves connections in the kernel's queue for some time."""
        if self.socket is not None and self.resume_timer is None:
            self.loop.remove_reader(self.socket.fileno())
            self.resume_timer = self.loop.call_later(seconds, self.resume)

    def set_on_hold(self, on_hold):
        """Stops or resumes accepting at the owner's request; connections wait in the kernel's queue."""
        if on_hold == self.on_hold or self.socket is None:
            return
        self.on_hold = on_hold
        if on_hold:
            self.loop.remove_reader(self.socket.fileno())
        elif self.resume_timer is None:
            self.resume()

    def accept(self):
        errors = 0
        for _ in range(ACCEPTS_PER_TURN):
            if self.socket is None or self.on_hold:
                return
            try:
                new_socket, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                errors += 1
                self.on_error(error)
                if is_local(error) or errors >= ERRORS_PER_TURN:
                    self.pause()
                    return
                continue
            new_socket.setblocking(False)
            task = self.loop.create_task(self.connect(new_socket))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def connect(self, new_socket):
        try:
            await self.loop.connect_accepted_socket(self.make_protocol, new_socket)
        except OSError as error:  # the connection broke before it was set up
            new_socket.close()
            self.on_error(error)

    def stop(self):
        if self.socket is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None
        if self.resume_timer is not None:
            self.resume_timer.cancel()
        for task in list(self.tasks):
            task.cancel()
