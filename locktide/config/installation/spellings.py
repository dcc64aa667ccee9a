"""Patterns and values that several sections of an installation's file share."""

from __future__ import annotations

from locktide.scheduler.types import DeduplicationScope, Effect

#: HOST:PORT; the range of the port is checked by `validation`, which can name the key.
ADDRESS_PATTERN = r"^[^\s]+:[0-9]{1,5}$"
#: A string that is not empty, and any string.
NOT_EMPTY_PATTERN = "."
ANY_PATTERN = ""

#: `effect` of a service class.
EFFECTS = {
    "reissuable": Effect.IDEMPOTENT,
    "numbered": Effect.IDEMPOTENT_WITH_KEY,
    "at-most-once": Effect.AT_MOST_ONCE,
}

#: `group` of a service class.
DEDUPLICATION_SCOPES = {
    "everyone": DeduplicationScope.FLEET,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
