"""The worker list as discovery tells it."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from locktide.config.checks import ConfigError, Table
from locktide.config.start import Address, address
from locktide.protocol import names
from locktide.protocol.client_connection import UpstreamRequest
from locktide.scheduler.events import EndpointEntry

LARGEST_LIST = 8 * 1024 * 1024  # some tens of thousands of workers


@dataclass(slots=True)
class DiscoveryUpdate:
    """A whole list, or the entries that changed, with each worker's address.

    `unclear` are workers that it names but of which it does not say what can be taken; `faults` tells why.
    """

    version: int
    is_snapshot: bool
    entries: list[EndpointEntry]
    addresses: dict[str, Address]
    unreadable: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


def question(after: int | None, wait_ms: int) -> UpstreamRequest:
    watch = "" if after is None else f"?after={after}&wait_ms={wait_ms}"
    return UpstreamRequest("GET", names.INSTANCES + watch, [])


def entry(told: Table) -> tuple[EndpointEntry, Address]:
    listed = EndpointEntry(
        told.text("uid"),
        told.text("az", ""),
        told.text("model", ""),
        told.whole("pod_group", 0),
        told.one_of(names.LIST_STATES, "state"),
        told.number("capacity_hint", 1.0),
        told.span("boot_ms", 0),
    )
    return listed, address(told.key("endpoint"), told.text("endpoint"))


def read(raw: Any, path: str, strict: bool = True) -> DiscoveryUpdate:
    """Raises Faulty, with the name of the key, where it is not a list of workers.

    Unless `strict`, an entry that is faulty, or names a worker twice, is left out and noted as unclear; a
    list of which more than half is like that is refused as a whole.
    """
    told = Table(raw, path)
    update = DiscoveryUpdate(told.whole("rev"), told.flag("all"), [], {})
    rows = told.row("targets")
    unclear: dict[str, None] = {}
    for place, row in enumerate(rows):
        where = f"{path}.targets[{place}]"
        try:
            listed, at = entry(Table(row, where))
            if listed.worker in update.addresses or listed.worker in unclear:
                raise ConfigError(f"{where}.uid", f"{listed.worker!r:.40} is told twice")
        except ConfigError as fault:
            if strict:
                raise
            update.faults.append(str(fault))
            worker = row.get("uid") if isinstance(row, dict) else None
            if isinstance(worker, str):
                unclear[worker] = None
            if 2 * len(update.faults) > len(rows):
                raise
            continue
        update.entries.append(listed)
        update.addresses[listed.worker] = at
    if unclear:  # once, at the end: a list of many thousands must not hold up the loop
        update.unreadable = list(unclear)
        update.entries = [one for one in update.entries if one.worker not in unclear]
        for worker in unclear:
            update.addresses.pop(worker, None)
    return update


def parse(body: bytes) -> DiscoveryUpdate:
    return read(json.loads(body), "list", strict=False)
