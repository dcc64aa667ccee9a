"""Determines, by method and path, which kind of message a request is."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from http import HTTPStatus

import h11

from locktide.protocol import names
from locktide.protocol.callbacks import parse_callback
from locktide.protocol.errors import RejectedMessageError
from locktide.protocol.header_fields import read_fields
from locktide.protocol.job_paths import job_id_of
from locktide.protocol.messages import Callback, HealthQuery, JobQuery, SubmitRequest
from locktide.protocol.submissions import IDENTIFIER_PATTERN, SubmissionParser

AcceptedMessage = SubmitRequest | Callback | JobQuery | HealthQuery


class RequestRouter:
    """Parses a complete request as the message that its path names."""

    def __init__(self, timeouts: Mapping[str, int], keyed_classes: Collection[str], keeps_jobs: bool) -> None:
        """Route the requests of these service classes.

        Args:
            timeouts: Timeout of each service class, in microseconds.
            keyed_classes: Service classes whose requests need an idempotency key.
            keeps_jobs: Whether clients may query durable jobs.
        """
        self._service_classes = timeouts
        self._submission_parser = SubmissionParser(timeouts, keyed_classes)
        self._keeps_jobs = keeps_jobs

    def parse(self, head: h11.Request, body: bytearray, has_unparsed_bytes: bool) -> AcceptedMessage:
        """Return the message that a request contains.

        Args:
            head: Request line and header fields as received.
            body: The payload.
            has_unparsed_bytes: Whether more bytes were received after the body.

        Raises:
            RejectedMessageError: The request is not a message that a dispatcher accepts, or is malformed.
        """
        # h11 accepts only ASCII, except in the values of header fields.
        method = head.method.decode("ascii")
        path = head.target.decode("ascii").partition("?")[0]
        fields = read_fields(head)
        if path in (names.READY, names.LIVE):
            _require_method(method, "GET", "HEAD")
            return HealthQuery(ready=path == names.READY)
        if path == names.CALLBACK:
            _require_method(method, "POST")
            return parse_callback(body)
        if self._keeps_jobs and path.startswith(names.JOBS):
            job_id = _parse_job_id(path)
            _require_method(method, "GET")
            return JobQuery(job_id)
        service_class = self._parse_service_class(path)
        _require_method(method, "POST")
        if has_unparsed_bytes:
            # A client waits for the response before it sends its next request. Bytes after the body mean
            # that the stated length is too short: they are part of this body, and must not be parsed as a
            # request.
            raise RejectedMessageError(
                HTTPStatus.BAD_REQUEST, "something follows before the answer", is_final=True
            )
        return self._submission_parser.parse(head, fields, bytes(body), service_class)

    def _parse_service_class(self, path: str) -> str:
        service_class = path.split("/")[1] if path.startswith("/") else ""
        if service_class not in self._service_classes:
            raise RejectedMessageError(HTTPStatus.NOT_FOUND, "no such path")
        return service_class


def _parse_job_id(path: str) -> str:
    job_id = job_id_of(path)
    if not IDENTIFIER_PATTERN.fullmatch(job_id):
        raise RejectedMessageError(HTTPStatus.NOT_FOUND, "no such job")
    return job_id


def _require_method(method: str, *allowed: str) -> None:
    """Raise RejectedMessageError, which names the first allowed method, where the method is not allowed."""
    if method not in allowed:
        raise RejectedMessageError(HTTPStatus.METHOD_NOT_ALLOWED, f"expected {allowed[0]}")
