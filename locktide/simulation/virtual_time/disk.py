"""A disk in memory that forgets what was not synced when its process dies."""

from __future__ import annotations

import asyncio
import errno

from locktide.durable.errors import DirectoryInUseError
from locktide.simulation.model import random_streams as chance

SECTOR = 512


class VirtualDisk:
    """What lasts from one process to the next."""

    def __init__(self, seed: int, latency: float, zeros: float = 0.0) -> None:
        self.seed, self.latency, self.zeros = seed, latency, zeros
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.mounted: VirtualStorage | None = None
        self.room: int | None = None  # bytes until it is full
        self.fails_sync = False
        self.crashes = self.dropped = 0

    def mount(self) -> VirtualStorage:
        return VirtualStorage(self)

    def crash(self) -> None:
        """The process and the cache of the disk are gone. Of what was not synced some first part stands; or
        in the place of the rest there are sectors of zeros.
        """
        self.crashes += 1
        if self.mounted is not None:
            self.mounted.alive = False
            self.mounted = None
        for name, data in self.files.items():
            safe = self.synced.get(name, 0)
            loose = len(data) - safe
            if not loose:
                continue
            stands = safe + int(chance.unit(self.seed, "stands", self.crashes, name) * (loose + 1))
            size = stands
            if chance.unit(self.seed, "zeros", self.crashes, name) < self.zeros:
                # A sector is written whole or not at all: in the one that was begun stands what it held.
                stands, size = max(safe, stands // SECTOR * SECTOR), len(data)
            self.dropped += len(data) - stands
            del data[stands:]
            data.extend(bytes(size - stands))
            self.synced[name] = len(data)


class VirtualStorage:
    """The disk as one process has it; once that has died, nothing is done any more."""

    def __init__(self, platter: VirtualDisk) -> None:
        self.platter, self.alive = platter, True

    def list_files(self) -> list[str]:
        return sorted(self.platter.files)

    def read(self, name: str) -> bytes:
        return bytes(self.platter.files[name])

    def create(self, name: str) -> None:
        if not self.alive:
            return
        if name in self.platter.files:
            raise FileExistsError(errno.EEXIST, name)
        self.platter.files[name] = bytearray()
        self.platter.synced[name] = 0

    def append(self, name: str, data: bytes) -> None:
        if not self.alive:
            return
        room = self.platter.room
        if room is None:
            self.platter.files[name] += data
            return
        fits = data[: max(0, room)]
        self.platter.room = room - len(fits)
        self.platter.files[name] += fits
        if len(fits) < len(data):
            raise OSError(errno.ENOSPC, "no space left")

    def truncate(self, name: str, size: int) -> None:
        if self.alive:
            if self.platter.room is not None:
                self.platter.room += len(self.platter.files[name]) - size
            del self.platter.files[name][size:]
            self.platter.synced[name] = min(size, self.platter.synced[name])

    async def sync(self, name: str) -> None:
        size = len(self.platter.files.get(name, b""))
        await asyncio.sleep(self.platter.latency)
        if self.alive and self.platter.fails_sync:
            raise OSError(errno.EIO, "input/output error")
        if self.alive and name in self.platter.files:
            self.platter.synced[name] = max(size, self.platter.synced[name])

    def remove(self, name: str) -> None:
        if self.alive and name in self.platter.files:
            del self.platter.files[name], self.platter.synced[name]

    def acquire_lock(self) -> None:
        if self.platter.mounted is not None:
            raise DirectoryInUseError("another dispatcher has it")
        self.platter.mounted = self

    def release_lock(self) -> None:
        if self.platter.mounted is self:
            self.platter.mounted = None
        self.alive = False
