"""Steps of a set-up, or of a take-over, at which the lab kills or stops a manager: a hidden option, nothing in service.

A process that ends itself at a named step dies at that step each time, which a signal from outside can't promise.
"""

import os
import signal

STEPS = ("taken", "told", "sent", "begun", "kept", "answered")
ACTING = ("acting",)  # between the check of a lease and the act under it
TAKING = ("asking", "claiming", "granted", "adopted")  # sessions of a dead manager's, box by box
ACTS = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP}


class Steps:
    def __init__(self, spec=None):
        """spec: STEP:kill or STEP:stop; ValueError where it is neither."""
        self.step, _, act = (spec or "").partition(":")
        if spec and (self.step not in STEPS + TAKING + ACTING or act not in ACTS):
            raise ValueError(f"a step of {', '.join(STEPS + TAKING + ACTING)}, then :kill or :stop, expected: {spec!r}")
        self.signal = ACTS.get(act)

    def at(self, step):
        """We are there, once: a manager that was stopped goes on from here."""
        if step == self.step:
            self.step = ""
            os.kill(os.getpid(), self.signal)
