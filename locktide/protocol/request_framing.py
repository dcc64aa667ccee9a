"""Checks the framing of a request: rejects a body that is too large, or whose end is ambiguous."""

from __future__ import annotations

from http import HTTPStatus

import h11

from locktide.protocol.errors import RejectedMessageError
from locktide.protocol.messages import MAX_BODY_SIZE

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"


def check_framing(head: h11.Request) -> None:
    """Raise RejectedMessageError where the body is too large or its end is ambiguous.

    Otherwise a request could be hidden in the body of another request (request smuggling, RFC 9112, 11.2):
    where the length is stated twice, a proxy in front of the dispatcher may use one length and the dispatcher
    the other. HTTP/1.0 has no transfer codings. Covered by `test_bad_request_is_rejected_with_its_4xx`.
    """
    framing_fields = [name for name, _ in head.headers if name in (CONTENT_LENGTH, TRANSFER_ENCODING)]
    is_coded_in_http_1_0 = framing_fields == [TRANSFER_ENCODING] and head.http_version < b"1.1"
    if len(framing_fields) > 1 or is_coded_in_http_1_0:
        raise RejectedMessageError(
            HTTPStatus.BAD_REQUEST, "the length of the body is told in two ways", is_final=True
        )
    for name, value in head.headers:
        if name == CONTENT_LENGTH:
            check_body_size(int(value))


def check_body_size(size: int) -> None:
    """Raise RejectedMessageError where a body of `size` bytes is too large."""
    if size > MAX_BODY_SIZE:
        raise RejectedMessageError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a body holds at most {MAX_BODY_SIZE} bytes", is_final=True
        )
