"""The disk under a journal: one directory of files that grow at their ends, and the promise of a sync."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from typing import Protocol

LOCK = "LOCK"


class DirectoryInUseError(Exception):
    """Another process has this directory."""


class Storage(Protocol):
    """What has been appended is safe from a crash of the machine once a `sync` that began later has ended."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def create(self, name: str) -> None:
        """A new empty file, its name safe at once; raises FileExistsError."""

    def append(self, name: str, data: bytes) -> None:
        """Raises OSError; some of the data may stand in the file then."""

    def truncate(self, name: str, size: int) -> None: ...

    async def sync(self, name: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def take(self) -> None:
        """Keeps every other process out until this one ends or gives it back; raises Taken."""

    def give_back(self) -> None: ...


class DirectoryStorage:
    """A directory of the file system; it is made if it is not there."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.open: dict[str, int] = {}  # descriptors that are appended to
        self.lock: int | None = None
        # One thread: syncs of one file do not overtake each other, and the loop turns on meanwhile.
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="sync")

    def names(self) -> list[str]:
        return sorted(entry.name for entry in self.path.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def descriptor(self, name: str) -> int:
        if name not in self.open:
            self.open[name] = os.open(self.path / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        return self.open[name]

    def create(self, name: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self.open[name] = os.open(self.path / name, flags, 0o600)
        self.sync_names()

    def append(self, name: str, data: bytes) -> None:
        descriptor, view = self.descriptor(name), memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self.descriptor(name), size)
        os.fsync(self.descriptor(name))

    async def sync(self, name: str) -> None:
        await asyncio.get_running_loop().run_in_executor(self.thread, os.fdatasync, self.descriptor(name))

    def remove(self, name: str) -> None:
        if name in self.open:
            os.close(self.open.pop(name))
        (self.path / name).unlink(missing_ok=True)
        self.sync_names()

    def sync_names(self) -> None:
        directory = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def take(self) -> None:
        self.lock = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as trouble:
            os.close(self.lock)
            self.lock = None
            if trouble.errno in (errno.EAGAIN, errno.EACCES):
                raise DirectoryInUseError(f"{self.path}: another dispatcher has it") from None
            raise

    def give_back(self) -> None:
        self.thread.shutdown(wait=True)
        for descriptor in self.open.values():
            with suppress(OSError):
                os.close(descriptor)
        self.open.clear()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None
