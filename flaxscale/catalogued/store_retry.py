"""Retries of a failed store until its owner's state is written; until then the owner accepts no changes."""

import asyncio

RETRY_S = 1.0  # between attempts: a full disk is rarely cleared sooner, and each attempt writes the whole state


class StoreRetry:
    """Calls resume(), which rewrites the state or raises OSError, until it succeeds; then calls on_resumed()."""

    def __init__(self, resume, on_resumed):
        self.resume, self.on_resumed, self.timer = resume, on_resumed, None

    def schedule(self):
        """Schedules the next attempt."""
        self.timer = asyncio.get_running_loop().call_later(RETRY_S, self.attempt)

    def attempt(self):
        try:
            self.resume()
        except OSError:
            self.schedule()
            return
        self.timer = None
        self.on_resumed()

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
