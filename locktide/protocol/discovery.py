"""The endpoint list, as discovery sends it and as it is remembered in the platform's start file."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from locktide.config.address import Address, parse_address
from locktide.config.errors import ConfigError
from locktide.config.json_reader import JsonObject
from locktide.protocol import names
from locktide.protocol.client_connection import UpstreamRequest
from locktide.scheduler.events import EndpointEntry

MAX_LIST_SIZE = 8 * 1024 * 1024  # bytes; some tens of thousands of workers


@dataclass(slots=True)
class DiscoveryUpdate:
    """A whole endpoint list, or the entries that changed.

    Attributes:
        version: Version of the list that this update leads to.
        is_snapshot: Whether it is the whole list.
        entries: One entry for each worker.
        addresses: The address of each worker in `entries`.
        unreadable: Workers that the list names, but whose entry could not be read.
        faults: Why, one text for each faulty entry, which begins with the key at fault.
    """

    version: int
    is_snapshot: bool
    entries: list[EndpointEntry]
    addresses: dict[str, Address]
    unreadable: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


def list_request(after: int | None, wait_ms: int) -> UpstreamRequest:
    """Returns the request for changes after a version, which waits for one; without a version, for all."""
    query = "" if after is None else f"?after={after}&wait_ms={wait_ms}"
    return UpstreamRequest("GET", names.INSTANCES + query, [])


def read_entry(table: JsonObject) -> tuple[EndpointEntry, Address]:
    """Reads one entry; raises ConfigError with the name of the key that is missing or malformed."""
    entry = EndpointEntry(
        table.text("uid"),
        table.text("az", ""),
        table.text("model", ""),
        table.integer("pod_group", 0),
        table.choice(names.ENDPOINT_STATES, "state"),
        table.number("capacity_hint", 1.0),
        table.microseconds("boot_ms", 0),
    )
    return entry, parse_address(table.key("endpoint"), table.text("endpoint"))


def read(document: Any, path: str, strict: bool = True) -> DiscoveryUpdate:
    """Reads an endpoint list from decoded JSON.

    Args:
        document: The decoded JSON.
        path: Where it stands, for the texts of errors.
        strict: Whether an entry that is malformed, or names a worker twice, makes the whole list invalid.
            Else it is left out and its worker noted as unreadable; a list of which more than half is like
            that is refused as a whole.

    Raises:
        ConfigError: It is no endpoint list; the text begins with the key at fault.
    """
    table = JsonObject(document, path)
    update = DiscoveryUpdate(table.integer("rev"), table.flag("all"), [], {})
    rows = table.items("targets")
    unreadable: dict[str, None] = {}  # in order, each once
    for index, row in enumerate(rows):
        try:
            add_entry(update, JsonObject(row, f"{path}.targets[{index}]"), unreadable)
        except ConfigError as error:
            if strict:
                raise
            update.faults.append(str(error))
            worker = row.get("uid") if isinstance(row, dict) else None
            if isinstance(worker, str):
                unreadable[worker] = None
            if 2 * len(update.faults) > len(rows):
                raise
    if unreadable:  # once, at the end: a list of many thousands must not hold up the loop
        remove_workers(update, unreadable)
    return update


def add_entry(update: DiscoveryUpdate, table: JsonObject, unreadable: dict[str, None]) -> None:
    """Adds an entry to the update; raises ConfigError where it is malformed or its worker is in already."""
    entry, entry_address = read_entry(table)
    if entry.worker in update.addresses or entry.worker in unreadable:
        raise ConfigError(table.key("uid"), f"{entry.worker!r:.40} is told twice")
    update.entries.append(entry)
    update.addresses[entry.worker] = entry_address


def remove_workers(update: DiscoveryUpdate, unreadable: dict[str, None]) -> None:
    """Takes workers out of the update and notes them as unreadable."""
    update.unreadable = list(unreadable)
    update.entries = [entry for entry in update.entries if entry.worker not in unreadable]
    for worker in unreadable:
        update.addresses.pop(worker, None)


def parse(body: bytes) -> DiscoveryUpdate:
    """Reads the body of discovery's response, leaving out entries that are malformed.

    Raises:
        ValueError: It is not JSON.
        ConfigError: It is no endpoint list, or most of its entries are malformed.
    """
    return read(json.loads(body), "list", strict=False)
