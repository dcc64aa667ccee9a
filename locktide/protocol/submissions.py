"""Parses the request with which a client submits a job."""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs
from zlib import crc32

import h11

from locktide.protocol import names
from locktide.protocol.errors import RejectedMessageError
from locktide.protocol.header_fields import end_to_end_fields
from locktide.protocol.messages import SubmitRequest

#: A request id or an idempotency key: printable ASCII without spaces.
IDENTIFIER_PATTERN = re.compile(r"[!-~]{1,128}")
#: A timeout: a number followed by its unit, a key of `MICROSECONDS_BY_UNIT`.
TIMEOUT_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)([mu])", re.ASCII)
WIDTH_PATTERN = re.compile(r"\d{1,3}(\.\d{1,6})?", re.ASCII)
WORK_HINT_PATTERN = re.compile(r"\d{1,9}(\.\d{1,6})?", re.ASCII)

MICROSECONDS_PER_MILLISECOND = 1000
#: The units of a timeout on the wire.
MICROSECONDS_BY_UNIT = {"m": MICROSECONDS_PER_MILLISECOND, "u": 1}

#: Longest timeout of a request, as a multiple of the timeout of its service class. Clients wait for less than
#: twice the timeout of the class; a request with a timeout of years would occupy its place in the queue for
#: good.
MAX_TIMEOUT_FACTOR = 10

#: Width of a request that states none, in slots.
DEFAULT_WIDTH = "1"


@dataclass(frozen=True, slots=True)
class SubmissionParser:
    """Parses submitted requests by the rules of their service classes.

    Attributes:
        timeouts: Timeout of each service class, in microseconds.
        keyed_classes: Service classes whose requests need an idempotency key.
    """

    timeouts: Mapping[str, int]
    keyed_classes: Collection[str]

    def parse(
        self, head: h11.Request, fields: Mapping[str, str], body: bytes, service_class: str
    ) -> SubmitRequest:
        """Parse a submitted request.

        Args:
            head: Request line and header fields as received.
            fields: The header fields by lower-case name.
            body: The payload.
            service_class: The service class that the path names.

        Raises:
            RejectedMessageError: A header field is missing or malformed.
        """
        if fields.get(names.SERVICE_CLASS.lower()) != service_class:
            raise _bad_request(f"{names.SERVICE_CLASS} and the path differ")
        request_id = parse_request_id(fields)
        timeout = parse_timeout(fields, self.timeouts[service_class])
        check_idempotency_key(fields, is_required=service_class in self.keyed_classes)
        extra_pairs = parse_extra_pairs(fields)
        width = parse_width(extra_pairs)
        extras = dict(extra_pairs)
        target = head.target.decode("ascii")
        return SubmitRequest(
            id=request_id,
            service_class=service_class,
            timeout=timeout,
            width=width,
            is_retry=fields.get(names.RETRY.lower()) == names.FLAG_SET,
            method=head.method.decode("ascii"),
            target=target,
            forwarded_headers=end_to_end_fields(head),
            body=body,
            work_hint=parse_work_hint(extras),
            tenant=extras.get(names.TENANT),
            affinity_key=parse_affinity_key(target),
        )


def parse_request_id(fields: Mapping[str, str]) -> str:
    """Return the request id; raise RejectedMessageError where it is missing or malformed."""
    request_id = fields.get(names.REQUEST_ID.lower(), "")
    if not IDENTIFIER_PATTERN.fullmatch(request_id):
        raise _bad_request(f"{names.REQUEST_ID} is missing or not an id")
    return request_id


def parse_timeout(fields: Mapping[str, str], class_timeout: int) -> int:
    """Return how long the client waits, in microseconds; `class_timeout` is that of its service class."""
    match = TIMEOUT_PATTERN.fullmatch(fields.get(names.TIMEOUT.lower(), ""))
    if not match:
        raise _bad_request(f"{names.TIMEOUT}: expected a number and m or u")
    number, unit = match.groups()
    timeout = round(float(number) * MICROSECONDS_BY_UNIT[unit])
    if not 0 < timeout <= MAX_TIMEOUT_FACTOR * class_timeout:
        raise _bad_request(f"{names.TIMEOUT}: no time at all, or far over that of the grade")
    return timeout


def check_idempotency_key(fields: Mapping[str, str], is_required: bool) -> None:
    """Raise RejectedMessageError where the key is malformed, or missing though required."""
    key = fields.get(names.IDEMPOTENCY_KEY.lower())
    if key is None and not is_required:
        return
    if not IDENTIFIER_PATTERN.fullmatch(key or ""):
        raise _bad_request(f"{names.IDEMPOTENCY_KEY} is missing or not a number")


def parse_extra_pairs(fields: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the `name=value` pairs of the extras field, in order and with repetitions."""
    parts = [part.strip().partition("=") for part in fields.get(names.EXTRAS.lower(), "").split(",")]
    return [(name, value) for name, _, value in parts]


def parse_width(extra_pairs: list[tuple[str, str]]) -> float:
    """Return how many slots the job takes, 1 by default; raise RejectedMessageError if malformed or 0."""
    widths = [value for name, value in extra_pairs if name == names.WIDTH] or [DEFAULT_WIDTH]
    is_well_formed = len(widths) == 1 and WIDTH_PATTERN.fullmatch(widths[0])
    width = float(widths[0]) if is_well_formed else 0.0
    if not width:
        raise _bad_request(f"{names.EXTRAS}: expected a number of {names.WIDTH}")
    return width


def parse_work_hint(extras: Mapping[str, str]) -> int:
    """Return the expected run time in microseconds; 0 where it is malformed, as it is only advisory."""
    milliseconds = extras.get(names.WORK_HINT, "")
    if not WORK_HINT_PATTERN.fullmatch(milliseconds):
        return 0
    return round(float(milliseconds) * MICROSECONDS_PER_MILLISECOND)


def parse_affinity_key(target: str) -> int | None:
    """Return a hash of the object that the target's query names; None where it names no object."""
    _, _, query = target.partition("?")
    objects = parse_qs(query).get(names.OBJECT)
    return crc32(objects[0].encode()) if objects else None


def _bad_request(reason: str) -> RejectedMessageError:
    return RejectedMessageError(HTTPStatus.BAD_REQUEST, reason)
