"""The idle connections to workers."""

from __future__ import annotations

from locktide.transport.upstream_connection import UpstreamConnection


class IdleConnections:
    """Open connections to workers that carry no request now.

    Attributes:
        by_worker: The connections to each worker, idle longest first.
    """

    def __init__(self) -> None:
        self.by_worker: dict[str, list[UpstreamConnection]] = {}

    def add(self, connection: UpstreamConnection) -> None:
        """Add a connection that has just become idle."""
        self.by_worker.setdefault(connection.worker, []).append(connection)

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove one connection."""
        self.by_worker[connection.worker].remove(connection)

    def remove_worker(self, worker: str) -> list[UpstreamConnection]:
        """Remove and return the connections to a worker."""
        return self.by_worker.pop(worker, [])

    def reusable(self, worker: str, now: float) -> list[UpstreamConnection]:
        """Return the connections to a worker that may carry a request, last used first; `now` in seconds."""
        connections = self.by_worker.get(worker, [])
        return [connection for connection in reversed(connections) if connection.reusable_at <= now]

    def expired(self, idle_before: float) -> list[UpstreamConnection]:
        """Return the connections that became idle before `idle_before`, in seconds, or are unusable.

        A connection is unusable if it has ended or has received bytes without a request.
        """
        return [
            connection
            for connections in self.by_worker.values()
            for connection in connections
            if connection.idle_since < idle_before or not connection.is_quiet
        ]
