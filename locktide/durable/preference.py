"""The Prefer header (RFC 7240) of a request for a durable job."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from locktide.protocol import names

RESPOND_ASYNC = "respond-async"
WAIT = re.compile(r"wait\s*=\s*(\d{1,6})", re.ASCII)


@dataclass(frozen=True, slots=True)
class Preference:
    """How a client wants to be answered: by the final response, or by an early one."""

    respond_async: bool
    wait: float  # seconds to wait for the final response before an early one


def read_preference(headers: Mapping[str, str]) -> Preference:
    """Reads `respond-async` and `wait=SECONDS`; the names of the headers are in lower case."""
    value = headers.get(names.PREFER.lower(), "")
    wait = WAIT.search(value)
    preferences = [part.partition(";")[0].strip().lower() for part in value.split(",")]
    return Preference(RESPOND_ASYNC in preferences, float(wait[1]) if wait else 0.0)
