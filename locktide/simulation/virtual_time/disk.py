"""An in-memory disk that loses data that was not synced when its process crashes."""

from __future__ import annotations

import asyncio
import errno

from locktide.durable.errors import DirectoryInUseError
from locktide.simulation.model import random_streams as chance

SECTOR = 512


class VirtualDisk:
    """The contents of a disk, which outlive a process."""

    def __init__(self, seed: int, latency: float, zeros: float = 0.0) -> None:
        self.seed, self.latency, self.zeros = seed, latency, zeros
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.mounted: VirtualStorage | None = None
        self.free_bytes: int | None = None  # bytes until the disk is full; None for no limit
        self.fails_sync = False
        self.crashes = self.dropped = 0

    def mount(self) -> VirtualStorage:
        return VirtualStorage(self)

    def crash(self) -> None:
        """Crash the process, and lose the cache of the disk.

        Of the data that was not synced, a random first part is kept; the rest is cut off or, with probability
        `zeros`, replaced by sectors of zeros.
        """
        self.crashes += 1
        if self.mounted is not None:
            self.mounted.alive = False
            self.mounted = None
        for name, data in self.files.items():
            synced_size = self.synced.get(name, 0)
            unsynced_size = len(data) - synced_size
            if not unsynced_size:
                continue
            kept_size = synced_size + int(
                chance.unit(self.seed, "stands", self.crashes, name) * (unsynced_size + 1)
            )
            size = kept_size
            if chance.unit(self.seed, "zeros", self.crashes, name) < self.zeros:
                # A sector is written completely or not at all: a partly written one keeps its old data.
                kept_size, size = max(synced_size, kept_size // SECTOR * SECTOR), len(data)
            self.dropped += len(data) - kept_size
            del data[kept_size:]
            data.extend(bytes(size - kept_size))
            self.synced[name] = len(data)


class VirtualStorage:
    """The disk as mounted by one process; after the crash of that process, writes have no effect."""

    def __init__(self, disk: VirtualDisk) -> None:
        self.disk, self.alive = disk, True

    def list_files(self) -> list[str]:
        return sorted(self.disk.files)

    def read(self, name: str) -> bytes:
        return bytes(self.disk.files[name])

    def create(self, name: str) -> None:
        if not self.alive:
            return
        if name in self.disk.files:
            raise FileExistsError(errno.EEXIST, name)
        self.disk.files[name] = bytearray()
        self.disk.synced[name] = 0

    def append(self, name: str, data: bytes) -> None:
        if not self.alive:
            return
        room = self.disk.free_bytes
        if room is None:
            self.disk.files[name] += data
            return
        fitting = data[: max(0, room)]
        self.disk.free_bytes = room - len(fitting)
        self.disk.files[name] += fitting
        if len(fitting) < len(data):
            raise OSError(errno.ENOSPC, "no space left")

    def truncate(self, name: str, size: int) -> None:
        if self.alive:
            if self.disk.free_bytes is not None:
                self.disk.free_bytes += len(self.disk.files[name]) - size
            del self.disk.files[name][size:]
            self.disk.synced[name] = min(size, self.disk.synced[name])

    async def sync(self, name: str) -> None:
        size = len(self.disk.files.get(name, b""))
        await asyncio.sleep(self.disk.latency)
        if self.alive and self.disk.fails_sync:
            raise OSError(errno.EIO, "input/output error")
        if self.alive and name in self.disk.files:
            self.disk.synced[name] = max(size, self.disk.synced[name])

    def remove(self, name: str) -> None:
        if self.alive and name in self.disk.files:
            del self.disk.files[name], self.disk.synced[name]

    def acquire_lock(self) -> None:
        if self.disk.mounted is not None:
            raise DirectoryInUseError("in use by another dispatcher")
        self.disk.mounted = self

    def release_lock(self) -> None:
        if self.disk.mounted is self:
            self.disk.mounted = None
        self.alive = False
