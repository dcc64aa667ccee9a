"""The worker list as discovery tells it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from locktide.config.checks import Table
from locktide.config.start import Address, address
from locktide.dispatch import interface as say
from locktide.protocol import names
from locktide.protocol.exchange import Question

LARGEST_LIST = 8 * 1024 * 1024  # some tens of thousands of workers


@dataclass(slots=True)
class Sheet:
    """A whole list, or the entries that changed, with each worker's address."""

    version: int
    whole: bool
    entries: list[say.Listed]
    addresses: dict[str, Address]


def question(after: int | None, wait_ms: int) -> Question:
    watch = "" if after is None else f"?after={after}&wait_ms={wait_ms}"
    return Question("GET", names.INSTANCES + watch, [])


def read(raw: Any, path: str) -> Sheet:
    """Raises Faulty, with the name of the key, where it is not a list of workers."""
    told = Table(raw, path)
    sheet = Sheet(told.whole("rev"), told.flag("all"), [], {})
    for entry in told.tables("targets"):
        worker = entry.text("uid")
        sheet.entries.append(
            say.Listed(
                worker,
                entry.text("az", ""),
                entry.text("model", ""),
                entry.whole("pod_group", 0),
                entry.one_of(names.LIST_STATES, "state"),
                entry.number("capacity_hint", 1.0),
                entry.span("boot_ms", 0),
            )
        )
        sheet.addresses[worker] = address(entry.key("endpoint"), entry.text("endpoint"))
    return sheet


def parse(body: bytes) -> Sheet:
    return read(json.loads(body), "list")
