"""Follows the box list's stream, keeps the last list on disk, and starts from that one. Sockets and files only."""

import asyncio
import os
import pathlib

from ..recovery.boxes import BoxListError
from ..serve.clock import now
from ..serve.pool import EventStream


class ListFollower:
    def __init__(self, address, name, book, keep_in, told, log):
        """told(kind, entries) for each listing. keep_in: a folder for the last list, or None."""
        host, _, port = address.rpartition(":")
        self.host, self.port, self.name, self.book, self.told, self.log = host, int(port), name, book, told, log
        self.file = pathlib.Path(keep_in) / f"boxes-{name}.json" if keep_in else None
        self.stream, self.retry, self.saving, self.stopped = None, None, None, False

    def start(self):
        if self.file and self.file.exists():
            try:
                self.told(*self.book.load(self.file.read_bytes(), now()))
            except (BoxListError, OSError) as bad:
                self.log.warning("kept list not used", file=str(self.file), detail=str(bad))
        self.open()

    def open(self):
        self.retry = None
        if self.stopped:
            return
        since = [("Last-Event-ID", str(self.book.version))] if self.book.version is not None else []
        self.stream = EventStream(
            self.host,
            self.port,
            "/boxes",
            [("Flaxscale-Manager", self.name), *since],
            lambda: self.log.info("list followed"),
            self.heard,
            self.closed,
        )
        self.stream.start(2.0)

    def heard(self, event):
        try:
            told = self.book.apply(event.name, event.data, now())
        except BoxListError as bad:
            # The list that stands is kept; a full one is asked for.
            self.log.warning("list refused", detail=str(bad))
            self.book.version = None
            self.stream.end(False, "a full list is needed")
            return
        if told is not None:
            try:
                self.told(*told)
            except Exception:  # taken in part: nothing but a full one tells where we are
                self.book.version = None
                raise
            if self.file and self.saving is None:
                self.saving = asyncio.get_running_loop().call_later(0.2, self.save)

    def closed(self, refused, detail):
        self.log.info("list not followed", detail=detail)
        if not self.stopped:
            self.retry = asyncio.get_running_loop().call_later(0.5, self.open)

    def save(self):
        self.saving = None
        try:
            self.file.parent.mkdir(parents=True, exist_ok=True)
            part = self.file.with_suffix(".part")
            part.write_bytes(self.book.dump())
            os.replace(part, self.file)
        except OSError as bad:
            self.log.warning("list not kept", file=str(self.file), detail=str(bad))

    def nudge(self):
        """Asks the list anew at once, whatever the stream that stands seems to do."""
        if self.stream is not None:
            self.stream.end(False, "asked anew")

    def stop(self):
        self.stopped = True
        for timer in (self.retry, self.saving):
            if timer is not None:
                timer.cancel()
        if self.saving is not None:
            self.save()
        if self.stream is not None:
            self.stream.cancel()
