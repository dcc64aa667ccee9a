"""Periodic clean-up of expired idle connections and of the remembered ids of answered requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.registry import RequestRegistry
from locktide.transport.upstream_pool import UpstreamPool

#: Seconds between two clean-ups: an expired connection or id stays at most this much longer.
CLEANUP_INTERVAL = 1.0


@dataclass(eq=False, slots=True, kw_only=True)
class PeriodicCleanup:
    """Closes expired connections and forgets expired ids, once in each interval."""

    upstream: UpstreamPool
    registry: RequestRegistry

    async def run(self) -> None:
        """Clean up until it is cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL)
            self.upstream.close_expired()
            self.registry.forget_answered()
