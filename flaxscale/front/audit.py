"""One manager's stamps and account on its sockets: what is in force, what was done under it. Files and a timer only."""

import asyncio
import importlib.metadata

import msgspec
import xxhash

from ..audit.account import Account, Began, Did, Stamped
from ..audit.stamp import Stamp, Stamps
from ..serve.clock import now
from ..store.log import StoreError

WRITE_S = 0.05  # rows of this long are written together
FIELD = "Flaxscale-Stamp"


def build():
    """This program's build, as far as its installation tells."""
    try:
        return importlib.metadata.version("flaxscale")
    except importlib.metadata.PackageNotFoundError:
        return "unpacked"


BUILD = build()


class FrontAudit:
    def __init__(self, front, files=None):
        """files: None keeps no account; actions are stamped all the same."""
        self.front, self.stamps, self.account, self.timer = front, Stamps(), None, None
        if files is not None:
            try:
                self.account = Account(files)
            except (StoreError, ValueError, OSError) as bad:
                front.lines.error("account not used", detail=str(bad))

    def start(self):
        self.put(Began(self.front.name, self.front.boot, now()))
        self.renew()

    def renew(self):
        """Something that actions go by may have changed."""
        front, watch = self.front, self.front.watch
        view = ",".join(front.members.alive())
        number, new = self.stamps.update(
            Stamp(
                BUILD,
                front.mark,
                front.book.version,
                (str(watch.follower.epoch), watch.follower.version or 0) if watch is not None else None,
                front.peaks.watch.follower.version if front.peaks.watch else None,
                f"{xxhash.xxh3_64_intdigest(view.encode()):016x}",
                watch.follower.floor if watch is not None else 0,
            )
        )
        if new:
            self.put(Stamped(number, self.stamps.current, now()))
            front.lines.info("stamp", number=number, **msgspec.structs.asdict(self.stamps.current))

    def field(self, box, boot):
        """The header of a request to a box."""
        return FIELD if not self.front.older else "X-Unknown", self.stamps.header_value(box, boot)

    def did(self, kind, key, box=0):
        self.put(Did(kind, key, box, self.stamps.number, now()))

    def put(self, row):
        if self.account is None:
            return
        self.account.put(row)
        if self.timer is None and self.account.failed is None:
            self.timer = asyncio.get_running_loop().call_later(WRITE_S, self.write)

    def write(self):
        self.timer = None
        if not self.account.commit():
            self.front.lines.error("account failed", detail=str(self.account.failed))

    def state(self):
        kept = self.account
        return {
            "stamp": self.stamps.number,
            **(msgspec.structs.asdict(self.stamps.current) if self.stamps.current else {}),
            "account": "off" if kept is None else "failed" if kept.failed else "kept",
            "rows_lost": kept.lost if kept else 0,
        }

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
            self.write()
