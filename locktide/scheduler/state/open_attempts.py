"""Attempts in flight, and the slots that they take at their endpoints."""

from __future__ import annotations

from locktide.scheduler.state.active_config import ActiveConfig
from locktide.scheduler.state.clock import Clock
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.state.request import Attempt, Request


class OpenAttempts:
    """Opens and closes attempts, and counts the slots in flight."""

    __slots__ = ("slots", "_clock", "_config")

    def __init__(self, clock: Clock, config: ActiveConfig) -> None:
        self._clock = clock
        self._config = config
        self.slots = 0.0  # taken by our attempts in flight, on all endpoints together

    def open(self, request: Request, endpoint: Endpoint) -> Attempt:
        """Create an attempt and count it as in flight."""
        attempt = Attempt(request, len(request.attempts), endpoint, self._clock.now)
        request.attempts.append(attempt)
        request.possibly_executed.append(attempt)
        self.count(attempt)
        endpoint.unstarted[attempt] = None
        if endpoint.idle_connections:
            endpoint.idle_connections.pop()
        return attempt

    def count(self, attempt: Attempt) -> None:
        """Count the slots of an attempt that has no outcome yet."""
        request = attempt.request
        request.open_attempts.append(attempt)
        self.slots += request.width
        attempt.endpoint.slots_in_flight += request.width

    def close(self, attempt: Attempt, keeps_connection: bool) -> None:
        """Count an attempt as ended; with `keeps_connection`, its connection becomes idle."""
        request = attempt.request
        endpoint = attempt.endpoint
        request.open_attempts.remove(attempt)
        self.slots -= request.width
        endpoint.slots_in_flight -= request.width
        if keeps_connection:
            now = self._clock.now
            idle = [until for until in endpoint.idle_connections if until > now]
            idle.append(now + self._config.current.costs.idle_timeout)
            endpoint.idle_connections = idle
