"""Reads the header fields of a request, and selects those that are forwarded to the worker."""

from __future__ import annotations

from http import HTTPStatus

import h11

from locktide.protocol import names
from locktide.protocol.errors import RejectedMessageError
from locktide.protocol.messages import Headers

# Fields that apply to one connection only, or are set anew for the connection to the worker.
HOP_BY_HOP_FIELDS = frozenset(
    name.encode()
    for name in (
        "host",
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        names.TIMEOUT.lower(),
    )
)
# Fields that may occur at most once: of two values, the dispatcher could use one and a worker the other.
UNIQUE_FIELDS = frozenset(
    name.lower()
    for name in (
        names.REQUEST_ID,
        names.SERVICE_CLASS,
        names.IDEMPOTENCY_KEY,
        names.TIMEOUT,
        names.RETRY,
        names.EXTRAS,
    )
)


def read_fields(head: h11.Request) -> dict[str, str]:
    """Return the header fields by lower-case name; raise RejectedMessageError for a repeated field."""
    fields: dict[str, str] = {}
    for raw_name, value in head.headers:
        name = raw_name.decode("ascii")
        if name in UNIQUE_FIELDS and name in fields:
            raise RejectedMessageError(HTTPStatus.BAD_REQUEST, f"{name} is told twice")
        fields[name] = value.decode("latin-1")
    return fields


def end_to_end_fields(head: h11.Request) -> Headers:
    """Return the header fields that are forwarded to the worker, spelled as received."""
    return [
        (name, value) for name, value in head.headers.raw_items() if name.lower() not in HOP_BY_HOP_FIELDS
    ]
