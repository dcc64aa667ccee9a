"""Parses the callbacks with which workers report on their jobs."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any

from locktide.protocol import names
from locktide.protocol.errors import RejectedMessageError
from locktide.protocol.messages import Callback
from locktide.protocol.names import CallbackKey

# Exceptions that reading a JSON document may raise where it does not have the shape of a callback.
_MALFORMED = (ValueError, KeyError, TypeError, AttributeError, RecursionError, OverflowError)


def parse_callback(body: bytes | bytearray) -> Callback:
    """Parse the JSON body of a callback; raise RejectedMessageError where it is not a callback."""
    try:
        return _read_callback(json.loads(body))
    except _MALFORMED as error:
        raise RejectedMessageError(HTTPStatus.BAD_REQUEST, "expected a callback") from error


def _read_callback(document: Any) -> Callback:
    """Read a callback from decoded JSON; raise one of `_MALFORMED` if it is no callback."""
    state = document[CallbackKey.STATE]
    is_final = state not in (names.STARTED, names.RUNNING)
    return Callback(
        request_id=_text(document[CallbackKey.REQUEST_ID]),
        worker=_text(document[CallbackKey.WORKER]),
        state=state,
        fraction_done=_fraction(document[CallbackKey.FRACTION_DONE]) if state == names.RUNNING else 0.0,
        outcome=names.CALLBACK_OUTCOMES[state] if is_final else None,
        result=_result(document[CallbackKey.RESULT]) if state == names.DONE else b"",
        fence=_fence(document.get(CallbackKey.FENCE)),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, not {value!r:.40}")
    return value


def _fraction(value: Any) -> float:
    """Return a number from 0.0 to 1.0; NaN is read as no progress."""
    return min(1.0, max(0.0, float(value)))


def _result(value: Any) -> bytes:
    """Return the result in UTF-8; half of a surrogate pair, which JSON may contain, is kept."""
    return _text(value).encode("utf-8", "surrogatepass")


def _fence(value: Any) -> int | None:
    """Return a fencing number; a value that is not an integer counts as not reported."""
    return value if isinstance(value, int) else None
