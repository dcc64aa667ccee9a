"""The endpoint list, as discovery sends it and as it is cached in the platform's start file."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from locktide.config.address import Address, parse_address
from locktide.config.errors import ConfigError
from locktide.config.json_reader import JsonObject
from locktide.config.platform_keys import ENDPOINT_STATES, EndpointKey, EndpointListKey
from locktide.protocol import names
from locktide.protocol.client_connection import UpstreamRequest
from locktide.scheduler.events import EndpointEntry

#: Largest body of a list, in bytes; enough for some tens of thousands of workers.
MAX_LIST_SIZE = 8 * 1024 * 1024

#: Largest fraction of a list's entries that may be malformed. Above it the whole list is rejected and the
#: list in use stays, as dropping most workers would stop the traffic.
MAX_MALFORMED_FRACTION = 0.5

#: Path that error messages give for a list that discovery has sent.
RESPONSE_PATH = "list"


@dataclass(frozen=True, slots=True)
class DiscoveryUpdate:
    """A whole endpoint list, or the entries that changed.

    Attributes:
        version: Version of the list that this update leads to.
        is_snapshot: Whether it is the whole list.
        entries: One entry for each worker.
        addresses: The address of each worker in `entries`.
        unreadable: Workers that the list names, but whose entry could not be read.
        faults: One message for each malformed entry, which begins with the key at fault.
    """

    version: int
    is_snapshot: bool
    entries: list[EndpointEntry]
    addresses: dict[str, Address]
    unreadable: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


def list_request(after: int | None, wait_ms: int) -> UpstreamRequest:
    """Return the request for the changes after a version, or for the whole list.

    Args:
        after: The version that is known; None for the whole list.
        wait_ms: How long discovery may wait for a change, in milliseconds.
    """
    query = ""
    if after is not None:
        query = f"?{names.AFTER_VERSION}={after}&{names.WAIT_MILLISECONDS}={wait_ms}"
    return UpstreamRequest("GET", names.INSTANCES + query, headers=[])


def read(document: Any, path: str) -> DiscoveryUpdate:
    """Read an endpoint list from decoded JSON; each entry must be well-formed.

    Args:
        document: The decoded JSON.
        path: Path of the list in its file, for error messages.

    Raises:
        ConfigError: The document is not an endpoint list, or an entry is malformed; the message begins with
            the key at fault.
    """
    return _read_list(JsonObject(document, path), skips_malformed=False)


def parse(body: bytes) -> DiscoveryUpdate:
    """Read the body of discovery's response.

    An entry that is malformed, or whose worker is listed twice, is left out, and its worker is recorded as
    unreadable. If the whole list were rejected instead, a single such entry, for example with a state of a
    later version, would block every later change of the list, including drains. Covered by
    `test_unreadable_entry_costs_its_worker_alone`.

    Raises:
        ValueError: The body is not JSON.
        ConfigError: The body is not an endpoint list, or more than `MAX_MALFORMED_FRACTION` of its entries
            are malformed.
    """
    return _read_list(JsonObject(json.loads(body), RESPONSE_PATH), skips_malformed=True)


def _read_list(document: JsonObject, skips_malformed: bool) -> DiscoveryUpdate:
    version = document.integer(EndpointListKey.VERSION)
    is_snapshot = document.flag(EndpointListKey.IS_SNAPSHOT)
    raw_entries = document.items(EndpointListKey.ENDPOINTS)
    reader = _EntryReader()
    for index, raw_entry in enumerate(raw_entries):
        try:
            reader.add(JsonObject(raw_entry, f"{document.key(EndpointListKey.ENDPOINTS)}[{index}]"))
        except ConfigError as error:
            if not skips_malformed:
                raise
            reader.skip(raw_entry, error)
            if len(reader.faults) > MAX_MALFORMED_FRACTION * len(raw_entries):
                raise
    reader.remove_unreadable()
    return DiscoveryUpdate(
        version=version,
        is_snapshot=is_snapshot,
        entries=reader.entries,
        addresses=reader.addresses,
        unreadable=list(reader.unreadable),
        faults=reader.faults,
    )


class _EntryReader:
    """Reads the entries of one list, and records those that cannot be read."""

    def __init__(self) -> None:
        self.entries: list[EndpointEntry] = []
        self.addresses: dict[str, Address] = {}
        self.unreadable: dict[str, None] = {}  # a set of workers that keeps their order
        self.faults: list[str] = []

    def add(self, json_entry: JsonObject) -> None:
        """Add an entry; raise ConfigError where it is malformed or its worker is already listed."""
        entry = _read_entry(json_entry)
        entry_address = parse_address(
            json_entry.key(EndpointKey.ADDRESS), json_entry.text(EndpointKey.ADDRESS)
        )
        if entry.worker in self.addresses or entry.worker in self.unreadable:
            raise ConfigError(json_entry.key(EndpointKey.WORKER), f"{entry.worker!r:.40} is listed twice")
        self.entries.append(entry)
        self.addresses[entry.worker] = entry_address

    def skip(self, raw_entry: Any, error: ConfigError) -> None:
        """Record that an entry could not be read."""
        self.faults.append(str(error))
        worker = raw_entry.get(EndpointKey.WORKER) if isinstance(raw_entry, dict) else None
        if isinstance(worker, str):
            self.unreadable[worker] = None

    def remove_unreadable(self) -> None:
        """Remove unreadable workers in one pass, so that a list of many thousands does not block the loop."""
        if not self.unreadable:
            return
        self.entries = [entry for entry in self.entries if entry.worker not in self.unreadable]
        for worker in self.unreadable:
            self.addresses.pop(worker, None)


def _read_entry(json_entry: JsonObject) -> EndpointEntry:
    """Read one entry; raise ConfigError that names the key that is missing or malformed."""
    return EndpointEntry(
        worker=json_entry.text(EndpointKey.WORKER),
        zone=json_entry.text(EndpointKey.ZONE, ""),
        worker_type=json_entry.text(EndpointKey.WORKER_TYPE, ""),
        cell=json_entry.integer(EndpointKey.CELL, 0),
        state=json_entry.choice(ENDPOINT_STATES, EndpointKey.STATE),
        rating=json_entry.number(EndpointKey.RATING, 1.0),
        started_at=json_entry.microseconds(EndpointKey.STARTED_AT, 0),
    )
