"""Follows the stream of the box list, stores the last list on disk and starts from the stored one."""

import asyncio
import os
import pathlib

from ..recovery.boxes import BoxListError
from ..serve.clock import now
from ..serve.pool import EventStream


class ListFollower:
    """Keeps a copy of the box list up to date."""

    def __init__(self, address, name, box_list, state_folder, on_change, log):
        """on_change(kind, entries): called for each change. state_folder: folder for the last list, or None."""
        host, _, port = address.rpartition(":")
        self.host, self.port, self.name, self.box_list, self.on_change, self.log = (
            host,
            int(port),
            name,
            box_list,
            on_change,
            log,
        )
        self.file = pathlib.Path(state_folder) / f"boxes-{name}.json" if state_folder else None
        self.stream, self.reconnect_timer, self.save_timer, self.stopped = None, None, None, False

    def start(self):
        if self.file and self.file.exists():
            try:
                self.on_change(*self.box_list.load(self.file.read_bytes(), now()))
            except (BoxListError, OSError) as error:
                self.log.warning("stored list not used", file=str(self.file), detail=str(error))
        self.connect()

    def connect(self):
        self.reconnect_timer = None
        if self.stopped:
            return
        since = [("Last-Event-ID", str(self.box_list.version))] if self.box_list.version is not None else []
        self.stream = EventStream(
            self.host,
            self.port,
            "/boxes",
            [("Flaxscale-Manager", self.name), *since],
            lambda: self.log.info("list followed"),
            self.handle_event,
            self.stream_closed,
        )
        self.stream.start(2.0)

    def handle_event(self, event):
        try:
            change = self.box_list.apply(event.name, event.data, now())
        except BoxListError as error:
            # The current list stays in use; a full one is requested.
            self.log.warning("list refused", detail=str(error))
            self.box_list.version = None
            self.stream.end(False, "a full list is needed")
            return
        if change is not None:
            try:
                self.on_change(*change)
            except Exception:  # the change may have been applied in part: only a full list restores a known state
                self.box_list.version = None
                raise
            if self.file and self.save_timer is None:
                self.save_timer = asyncio.get_running_loop().call_later(0.2, self.save)

    def stream_closed(self, refused, detail):
        self.log.info("list not followed", detail=detail)
        if not self.stopped:
            self.reconnect_timer = asyncio.get_running_loop().call_later(0.5, self.connect)

    def save(self):
        self.save_timer = None
        try:
            self.file.parent.mkdir(parents=True, exist_ok=True)
            partial = self.file.with_suffix(".part")
            partial.write_bytes(self.box_list.dump())
            os.replace(partial, self.file)
        except OSError as error:
            self.log.warning("list not stored", file=str(self.file), detail=str(error))

    def reconnect(self):
        """Reconnects to the list at once, whatever the state of the current stream."""
        if self.stream is not None:
            self.stream.end(False, "reconnecting")

    def stop(self):
        self.stopped = True
        for timer in (self.reconnect_timer, self.save_timer):
            if timer is not None:
                timer.cancel()
        if self.save_timer is not None:
            self.save()
        if self.stream is not None:
            self.stream.cancel()
