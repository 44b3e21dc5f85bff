"""The file operations of a store, in one class that tests can replace."""

import os
import pathlib


class Files:
    """One folder on disk. Names have no path; offsets and sizes are bytes. Errors are OSError."""

    def __init__(self, folder, durable=True):
        """durable: False makes no sync; the system decides when bytes reach the disk: for replaceable copies."""
        self.durable = durable
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.open = {}

    def names(self):
        """All file names, sorted."""
        return sorted(p.name for p in self.folder.iterdir() if p.is_file())

    def read(self, name):
        """A file's content."""
        return (self.folder / name).read_bytes()

    def append(self, name, data):
        """Appends to a file, which is created where it does not exist."""
        if name not in self.open:
            self.open[name] = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        view = memoryview(data)
        while view:
            view = view[os.write(self.open[name], view) :]

    def sync(self, name):
        """Returns once the appended data of a file is on the disk."""
        if self.durable:
            os.fsync(self.open[name])

    def close(self, name):
        """Closes a file that was appended to."""
        if name in self.open:
            os.close(self.open.pop(name))

    def truncate(self, name, size):
        """Cuts a file off at a size, and syncs it."""
        with open(self.folder / name, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def rename(self, old, new):
        """Renames a file, replacing another of the new name, and syncs the folder."""
        self.close(old)
        os.replace(self.folder / old, self.folder / new)
        self.sync_folder()

    def remove(self, name):
        """Deletes a file."""
        self.close(name)
        (self.folder / name).unlink()

    def sync_folder(self):
        """Returns once the folder's names are on the disk."""
        if not self.durable:
            return
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
