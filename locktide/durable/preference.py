"""The Prefer header (RFC 7240) of a request for a durable job."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from locktide.protocol import names

RESPOND_ASYNC = "respond-async"
WAIT_PATTERN = re.compile(r"wait\s*=\s*(\d{1,6})", re.ASCII)


@dataclass(frozen=True, slots=True)
class Preference:
    """Whether a client waits for the final response, or prefers an early response while the job is open.

    Attributes:
        respond_async: Whether the client prefers an early response.
        wait: Seconds to wait for the final response before the early one is sent.
    """

    respond_async: bool
    wait: float


def read_preference(headers: Mapping[str, str]) -> Preference:
    """Parse `respond-async` and `wait=SECONDS`; `headers` has lower-case names."""
    value = headers.get(names.PREFER.lower(), "")
    preferences = [part.partition(";")[0].strip().lower() for part in value.split(",")]
    wait = WAIT_PATTERN.search(value)
    return Preference(respond_async=RESPOND_ASYNC in preferences, wait=float(wait[1]) if wait else 0.0)
