"""Periodic clean-up: idle connections that expired, and ids of requests that are long over."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.registry import RequestRegistry
from locktide.transport.upstream_pool import UpstreamPool

#: Seconds between two clean-ups: connections and ids stay for so much longer at most.
CLEANUP_INTERVAL = 1.0


@dataclass(eq=False, slots=True, kw_only=True)
class PeriodicCleanup:
    """Drops what has expired, once in each interval."""

    upstream: UpstreamPool
    registry: RequestRegistry

    async def run(self) -> None:
        """Clean up until it is cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL)
            self.upstream.close_expired()
            self.registry.forget_answered()
