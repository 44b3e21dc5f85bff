"""Failpoints of set-ups, takeovers and lease acts at which the lab kills or stops a manager: a hidden option.

A process that signals itself at a named point fails at that very point each time, which an external signal can't
guarantee.
"""

import os
import signal

SETUP_STEPS = ("taken", "told", "sent", "begun", "kept", "answered")
LEASE_STEPS = ("acting",)  # between the check of a lease and the act under it
TAKEOVER_STEPS = ("asking", "claiming", "granted", "adopted")  # takeover of a dead manager's sessions, box by box
SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP}


class Failpoints:
    """The failpoint that this process was started with, if any."""

    def __init__(self, spec=None):
        """spec: STEP:kill or STEP:stop; ValueError for anything else."""
        self.step, _, action = (spec or "").partition(":")
        if spec and (self.step not in SETUP_STEPS + TAKEOVER_STEPS + LEASE_STEPS or action not in SIGNALS):
            raise ValueError(
                f"a step of {', '.join(SETUP_STEPS + TAKEOVER_STEPS + LEASE_STEPS)}, "
                f"then :kill or :stop, expected: {spec!r}"
            )
        self.signal = SIGNALS.get(action)

    def reach(self, step):
        """Sends the signal the first time the point is reached; a stopped manager continues from here."""
        if step == self.step:
            self.step = ""
            os.kill(os.getpid(), self.signal)
