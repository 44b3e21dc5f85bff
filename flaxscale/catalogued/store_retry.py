"""A store that failed is tried again until the disk takes the owner's state; until then the owner takes nothing new."""

import asyncio

RESUME_S = 1.0  # between two tries: a full disk is seldom emptied sooner, and each try writes the whole state


class StoreRetry:
    """resume() writes the state anew, or raises OSError; resumed() is called once it has."""

    def __init__(self, resume, resumed):
        self.resume, self.resumed, self.timer = resume, resumed, None

    def begin(self):
        self.timer = asyncio.get_running_loop().call_later(RESUME_S, self.again)

    def again(self):
        try:
            self.resume()
        except OSError:
            self.begin()
            return
        self.timer = None
        self.resumed()

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
