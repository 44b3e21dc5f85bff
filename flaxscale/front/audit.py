"""Stamps and audit account of one manager: which versions are in force, and what was done under them."""

import asyncio
import importlib.metadata

import msgspec
import xxhash

from ..audit.account import Account, Began, Did, Stamped
from ..audit.stamp import Stamp, Stamps
from ..serve.clock import now
from ..store.log import StoreError

WRITE_DELAY_S = 0.05  # rows of this time are written together
STAMP_HEADER = "Flaxscale-Stamp"


def build_version():
    """Returns the installed version of this program."""
    try:
        return importlib.metadata.version("flaxscale")
    except importlib.metadata.PackageNotFoundError:
        return "unpacked"


BUILD = build_version()


class FrontAudit:
    """The stamps and the account of one manager."""

    def __init__(self, front, files=None):
        """files: None keeps no account; actions are stamped nevertheless."""
        self.front, self.stamps, self.account, self.timer = front, Stamps(), None, None
        if files is not None:
            try:
                self.account = Account(files)
            except (StoreError, ValueError, OSError) as error:
                front.logger.error("account not used", detail=str(error))

    def start(self):
        self.append(Began(self.front.name, self.front.boot, now()))
        self.update_stamp()

    def update_stamp(self):
        """Makes a new stamp if anything that actions depend on has changed."""
        front, catalogue_watch = self.front, self.front.catalogue_watch
        view = ",".join(front.members.alive())
        number, is_new = self.stamps.update(
            Stamp(
                BUILD,
                front.settings_digest,
                front.box_list.version,
                (str(catalogue_watch.follower.epoch), catalogue_watch.follower.version or 0)
                if catalogue_watch is not None
                else None,
                front.peaks.peak_watch.follower.version if front.peaks.peak_watch else None,
                f"{xxhash.xxh3_64_intdigest(view.encode()):016x}",
                catalogue_watch.follower.floor if catalogue_watch is not None else 0,
            )
        )
        if is_new:
            self.append(Stamped(number, self.stamps.current, now()))
            front.logger.info("stamp", number=number, **msgspec.structs.asdict(self.stamps.current))

    def stamp_header(self, box, boot):
        """Returns the (name, value) of the stamp header for a request to a box."""
        return STAMP_HEADER if not self.front.unversioned else "X-Unknown", self.stamps.header_value(box, boot)

    def record(self, kind, key, box=0):
        self.append(Did(kind, key, box, self.stamps.number, now()))

    def append(self, row):
        if self.account is None:
            return
        self.account.put(row)
        if self.timer is None and self.account.failed is None:
            self.timer = asyncio.get_running_loop().call_later(WRITE_DELAY_S, self.write)

    def write(self):
        self.timer = None
        if not self.account.commit():
            self.front.logger.error("account failed", detail=str(self.account.failed))

    def state(self):
        account = self.account
        return {
            "stamp": self.stamps.number,
            **(msgspec.structs.asdict(self.stamps.current) if self.stamps.current else {}),
            "account": "off" if account is None else "failed" if account.failed else "kept",
            "rows_lost": account.lost if account else 0,
        }

    def stop(self):
        if self.timer is not None:
            self.timer.cancel()
            self.write()
