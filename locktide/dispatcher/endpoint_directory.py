"""The workers in the latest endpoint list that this dispatcher has received."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from locktide.config.address import Address
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import EndpointState

#: The order in which a worker passes through its states between two starts.
STATE_ORDER = (EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)


class EndpointDirectory:
    """The state and the address of each worker, as the scheduler knows them.

    Attributes:
        entries: The entry of each worker; a worker that has left the list stays, in state gone.
        addresses: The address of each worker.
    """

    def __init__(self) -> None:
        self.entries: dict[str, EndpointEntry] = {}
        self.addresses: dict[str, Address] = {}

    def apply(self, update: DiscoveryUpdate) -> Iterable[str]:
        """Apply an update of the list; return the workers that have moved, have restarted or are gone.

        Adds to `update` the known entries of those workers whose new entry could not be read.
        """
        self._keep_unreadable(update)
        replaced = self._remove_absent(update) if update.is_snapshot else []
        for entry in update.entries:
            address = update.addresses[entry.worker]
            if self._is_replaced(entry, address):
                replaced.append(entry.worker)
            self.entries[entry.worker] = entry
            self.addresses[entry.worker] = address
        return replaced

    def accepts_requests(self, worker: str) -> bool:
        """Return whether attempts may be sent to the worker."""
        entry = self.entries.get(worker)
        return entry is not None and entry.state == EndpointState.READY

    def select_newer(self, update: DiscoveryUpdate) -> DiscoveryUpdate:
        """Return the entries of known workers that are newer than those known, as an update.

        Agents of discovery may lag behind one another. Between two starts a worker never returns to an
        earlier state, so the later start is newer, and for the same start the later state.
        """
        entries = [entry for entry in update.entries if self._is_newer(entry)]
        return replace(update, is_snapshot=False, entries=entries, unreadable=[])

    def _is_newer(self, entry: EndpointEntry) -> bool:
        known = self.entries.get(entry.worker)
        return known is not None and _progress(entry) > _progress(known)

    def _keep_unreadable(self, update: DiscoveryUpdate) -> None:
        """Treat a known worker as draining if its new entry cannot be read.

        The unreadable entry may say that the worker is draining: if the worker stayed ready, it would get new
        requests while it drains. The other entries of the list are applied as usual.
        """
        for worker in update.unreadable:
            known = self.entries.get(worker)
            if known is not None:
                state = EndpointState.DRAINING if known.state == EndpointState.READY else known.state
                update.entries.append(replace(known, state=state))
                update.addresses[worker] = self.addresses[worker]

    def _remove_absent(self, snapshot: DiscoveryUpdate) -> list[str]:
        """Mark the workers that are not in the snapshot as gone; return their names."""
        listed = {entry.worker for entry in snapshot.entries}
        absent = [worker for worker in self.entries if worker not in listed]
        for worker in absent:
            self.entries[worker].state = EndpointState.GONE
        return absent

    def _is_replaced(self, entry: EndpointEntry, address: Address) -> bool:
        """Return whether a known worker has moved to a new address, has restarted or is gone."""
        known = self.entries.get(entry.worker)
        if known is None:
            return False
        has_moved = self.addresses.get(entry.worker) != address
        return has_moved or known.started_at != entry.started_at or entry.state == EndpointState.GONE


def _progress(entry: EndpointEntry) -> tuple[int, int]:
    """Return how far a worker has come by its entry, as a value that can be compared."""
    return entry.started_at, STATE_ORDER.index(entry.state)
