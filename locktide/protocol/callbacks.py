"""Parses the callbacks with which workers report on their jobs."""

from __future__ import annotations

import json
from typing import Any

from locktide.protocol import names
from locktide.protocol.errors import RejectedMessageError
from locktide.protocol.messages import Callback

# What reading JSON of any other shape than that of a callback may raise.
MALFORMED = (ValueError, KeyError, TypeError, AttributeError, RecursionError, OverflowError)


def parse_callback(body: bytes | bytearray) -> Callback:
    """Reads the JSON body of a callback; raises RejectedMessageError where it is no callback."""
    try:
        return read_callback(json.loads(body))
    except MALFORMED:
        raise RejectedMessageError(400, "expected a callback") from None


def read_callback(document: Any) -> Callback:
    """Reads a callback from decoded JSON; raises one of `MALFORMED` where it is none."""
    request_id, worker, state = document["id"], document["from"], document["state"]
    if not isinstance(request_id, str) or not isinstance(worker, str):
        raise TypeError
    fence = document.get("fence")
    if not isinstance(fence, int):
        fence = None
    if state == names.RUNNING:
        fraction_done = min(1.0, max(0.0, float(document["share"])))
        return Callback(request_id, worker, state, fraction_done, None, b"", fence)
    if state == names.STARTED:
        return Callback(request_id, worker, state, 0.0, None, b"", fence)
    result = document["result"].encode("utf-8", "surrogatepass") if state == names.DONE else b""
    return Callback(request_id, worker, state, 0.0, names.CALLBACK_OUTCOMES[state], result, fence)
