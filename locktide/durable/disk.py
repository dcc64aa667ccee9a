"""Storage of the write-ahead log: a directory of append-only files that can be synced to the disk."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from typing import Protocol

from locktide.durable.errors import DirectoryInUseError

#: The file that a dispatcher locks, so that no second dispatcher can use the directory.
LOCK_FILE = "LOCK"
#: Only the owner may read the files, because they contain the payloads of clients.
FILE_MODE = 0o600


class Storage(Protocol):
    """A directory of files; appended data survives a crash once a later call of `sync` has ended."""

    def list_files(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    def create(self, name: str) -> None:
        """Create an empty file whose directory entry is durable at once; raise FileExistsError."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; after an OSError the file may contain a part of the data."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes and sync it."""

    async def sync(self, name: str) -> None:
        """Make all data that was appended to a file durable; raise OSError."""

    def remove(self, name: str) -> None:
        """Remove a file, if it exists."""

    def acquire_lock(self) -> None:
        """Lock the directory until `release_lock` or the process ends; raise DirectoryInUseError."""

    def release_lock(self) -> None:
        """Release the lock and close all files."""


class DirectoryStorage:
    """Storage in a directory of the file system; a missing directory is created.

    Attributes:
        path: The directory.
        append_descriptors: Descriptors of the files that were appended to, by file name.
        lock_descriptor: Descriptor of the lock file; None while this process does not hold the lock.
        sync_thread: Runs the syncs, which would block the event loop; a single thread keeps them in order.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.append_descriptors: dict[str, int] = {}
        self.lock_descriptor: int | None = None
        self.sync_thread = ThreadPoolExecutor(1, thread_name_prefix="sync")

    def list_files(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(entry.name for entry in self.path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> None:
        """Create an empty file whose directory entry is durable at once; raise FileExistsError."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self.append_descriptors[name] = os.open(self.path / name, flags, FILE_MODE)
        self._sync_directory()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; after an OSError the file may contain a part of the data."""
        descriptor = self._append_descriptor(name)
        remaining = memoryview(data)
        while remaining:
            written = os.write(descriptor, remaining)
            remaining = remaining[written:]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes and sync it."""
        descriptor = self._append_descriptor(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    async def sync(self, name: str) -> None:
        """Make all data that was appended to a file durable; raise OSError."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self.sync_thread, os.fdatasync, self._append_descriptor(name))

    def remove(self, name: str) -> None:
        """Remove a file, if it exists."""
        if name in self.append_descriptors:
            os.close(self.append_descriptors.pop(name))
        (self.path / name).unlink(missing_ok=True)
        self._sync_directory()

    def acquire_lock(self) -> None:
        """Lock the directory until `release_lock` or the process ends; raise DirectoryInUseError."""
        self.lock_descriptor = os.open(
            self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE
        )
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None
            if error.errno in (errno.EAGAIN, errno.EACCES):
                path = str(self.path)
                raise DirectoryInUseError(
                    f"{path}: the directory is in use by another dispatcher", path
                ) from error
            raise

    def release_lock(self) -> None:
        """Release the lock and close all files."""
        self.sync_thread.shutdown(wait=True)
        for descriptor in self.append_descriptors.values():
            with suppress(OSError):
                os.close(descriptor)
        self.append_descriptors.clear()
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None

    def _append_descriptor(self, name: str) -> int:
        if name not in self.append_descriptors:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
            self.append_descriptors[name] = os.open(self.path / name, flags)
        return self.append_descriptors[name]

    def _sync_directory(self) -> None:
        directory = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
