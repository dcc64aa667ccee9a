"""Measures the lag of the event loop: how long the process was held up, without processor time or busy."""

from __future__ import annotations

import asyncio
import math
from collections import deque

#: Seconds between two beats. A signal can be dated no better than to the last beat before it.
BEAT_INTERVAL = 0.1
#: Seconds for which a lag counts as recent.
LAG_MEMORY = 10.0


class LoopLagMonitor:
    """Runs a timer (a beat) at a short interval, and records how late it runs.

    An idle process waits in the kernel, so nothing but a timer of its own tells it that it was held up.

    Attributes:
        last_run_at: When the process last ran for certain, in seconds of the event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.last_run_at = loop.time()
        self._loop = loop
        self._due_at = math.inf
        self._timer: asyncio.TimerHandle | None = None
        # Time and lag of beats in order of time; each lag is longer than those after it.
        self._lags: deque[tuple[float, float]] = deque()

    def start(self) -> None:
        """Start to beat."""
        self._due_at = self._loop.time()
        self._beat()

    def stop(self) -> None:
        """Stop to beat."""
        if self._timer is not None:
            self._timer.cancel()
        self._due_at = math.inf

    def longest_lag(self) -> float:
        """Return the longest recent lag, in seconds, including that of a beat that is overdue now."""
        now = self._loop.time()
        self._forget_before(now - LAG_MEMORY)
        recorded = self._lags[0][1] if self._lags else 0.0
        return max(recorded, now - self._due_at)

    def _beat(self) -> None:
        now = self._loop.time()
        lag = now - self._due_at
        while self._lags and self._lags[-1][1] <= lag:
            self._lags.pop()
        self._lags.append((now, lag))
        self._forget_before(now - LAG_MEMORY)
        self.last_run_at = now
        self._due_at = now + BEAT_INTERVAL
        self._timer = self._loop.call_at(self._due_at, self._beat)

    def _forget_before(self, moment: float) -> None:
        while self._lags and self._lags[0][0] < moment:
            self._lags.popleft()
