"""Storage under the write-ahead log: a directory of append-only files, with durable syncs."""

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

#: The file whose lock keeps a second dispatcher out.
LOCK_FILE = "LOCK"
#: Only the owner may read the files: they have the payloads of the clients.
FILE_MODE = 0o600


class Storage(Protocol):
    """A directory of files; appended data survives a crash once a `sync` begun later has ended."""

    def list_files(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    def create(self, name: str) -> None:
        """Create an empty file whose name is durable at once; raise FileExistsError."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; raise OSError, after which part of the data may be in the file."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file down to `size` bytes, durably."""

    async def sync(self, name: str) -> None:
        """Make what has been appended to a file durable; raise OSError."""

    def remove(self, name: str) -> None:
        """Remove a file, if it is there."""

    def acquire_lock(self) -> None:
        """Keep other processes out until this one ends or releases it; raise DirectoryInUseError."""

    def release_lock(self) -> None:
        """Release the lock and close all files."""


class DirectoryStorage:
    """Storage in a directory of the file system, which is created if it is not there.

    Attributes:
        path: The directory.
        append_descriptors: Descriptors of the files that were appended to, by file name.
        lock_descriptor: Descriptor of the lock file; None while it is not locked.
        sync_thread: Runs the syncs, so that the event loop runs on; one thread, so that none overtakes
            another.
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
        """Create an empty file whose name is durable at once; raise FileExistsError."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self.append_descriptors[name] = os.open(self.path / name, flags, FILE_MODE)
        self._sync_directory()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; raise OSError, after which part of the data may be in the file."""
        descriptor = self._append_descriptor(name)
        remaining = memoryview(data)
        while remaining:
            written = os.write(descriptor, remaining)
            remaining = remaining[written:]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file down to `size` bytes, durably."""
        descriptor = self._append_descriptor(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    async def sync(self, name: str) -> None:
        """Make what has been appended to a file durable; raise OSError."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self.sync_thread, os.fdatasync, self._append_descriptor(name))

    def remove(self, name: str) -> None:
        """Remove a file, if it is there."""
        if name in self.append_descriptors:
            os.close(self.append_descriptors.pop(name))
        (self.path / name).unlink(missing_ok=True)
        self._sync_directory()

    def acquire_lock(self) -> None:
        """Keep other processes out until this one ends or releases it; raise DirectoryInUseError."""
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
                raise DirectoryInUseError(f"{path}: another dispatcher has it", path) from error
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
