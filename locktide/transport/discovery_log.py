"""Log lines about the calls to discovery."""

from __future__ import annotations

from locktide.protocol.discovery import DiscoveryUpdate
from locktide.transport.log import Log


class DiscoveryLog:
    """Logs what becomes of the calls of a watch."""

    def __init__(self, log: Log) -> None:
        self._log = log

    def failed(self, error: Exception) -> None:
        """Log the first failure after a success; a timeout says that discovery is silent."""
        cause = "silent" if isinstance(error, TimeoutError) else f"{type(error).__name__}: {error}"
        self._log.emit(
            f"endpoint list: no response ({cause}), retrying", event="discovery_failed", error=cause
        )

    def recovered(self, version: int) -> None:
        """Log the first success after a failure."""
        self._log.emit(
            f"endpoint list: discovery responds again, version {version}",
            event="discovery_recovered",
            version=version,
        )

    def rejected_entries(self, update: DiscoveryUpdate) -> None:
        """Log the entries of an update that could not be read, if there are any."""
        if not update.faults:
            return
        count = len(update.faults)
        first = update.faults[0]
        self._log.emit(
            f"endpoint list: {count} entries rejected, first error: {first}",
            event="endpoint_entries_rejected",
            count=count,
            first=first,
        )

    def calls_left(self, count: int) -> None:
        """Log that calls were cancelled and have not ended."""
        self._log.emit(
            f"endpoint list: {count} cancelled calls have not ended",
            event="discovery_calls_left",
            count=count,
        )
