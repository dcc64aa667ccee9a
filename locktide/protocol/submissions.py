"""Parses the request with which a client hands in a job."""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs
from zlib import crc32

import h11

from locktide.protocol import names
from locktide.protocol.errors import RejectedMessageError
from locktide.protocol.messages import SubmitRequest

# What concerns one connection only, or is written anew for the next one.
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
# Each of these is sent once or not at all; two of one would mean one thing to us and another to a worker.
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
DURATION_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)([mu])", re.ASCII)
WIDTH_PATTERN = re.compile(r"\d{1,3}(\.\d{1,6})?", re.ASCII)
WORK_HINT_PATTERN = re.compile(r"\d{1,9}(\.\d{1,6})?", re.ASCII)
IDENTIFIER_PATTERN = re.compile(r"[!-~]{1,128}")  # what a request id or an idempotency key may be made of
# A client may wait at most this many timeouts of its service class. None waits for two, and beyond reason it
# would hold a place for good.
MAX_TIMEOUT_FACTOR = 10


@dataclass(frozen=True, slots=True)
class SubmissionParser:
    """Parses submissions by the rules of their service classes.

    Attributes:
        timeouts: Timeout of each service class, in microseconds.
        keyed_classes: Service classes whose requests need an idempotency key.
    """

    timeouts: Mapping[str, int]
    keyed_classes: Collection[str]

    def parse(
        self, head: h11.Request, fields: Mapping[str, str], body: bytes, service_class: str
    ) -> SubmitRequest:
        """Reads a submission.

        Args:
            head: Request line and header fields as they came.
            fields: The header fields by lower-case name.
            body: The payload.
            service_class: The service class that the path names.

        Raises:
            RejectedMessageError: A header field is missing or holds what it may not.
        """
        if fields.get(names.SERVICE_CLASS.lower()) != service_class:
            raise RejectedMessageError(400, f"{names.SERVICE_CLASS} and the path differ")
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
            is_retry=fields.get(names.RETRY.lower()) == "1",
            method=head.method.decode("ascii"),
            target=target,
            onward=end_to_end_fields(head),
            body=body,
            work_hint=parse_work_hint(extras),
            tenant=extras.get(names.TENANT),
            affinity_key=parse_affinity_key(target),
        )


def end_to_end_fields(head: h11.Request) -> list[tuple[bytes, bytes]]:
    """Returns the header fields that go on to the worker, spelled as they came."""
    return [
        (name, value) for name, value in head.headers.raw_items() if name.lower() not in HOP_BY_HOP_FIELDS
    ]


def parse_request_id(fields: Mapping[str, str]) -> str:
    """Returns the request id; raises RejectedMessageError where it is missing or malformed."""
    request_id = fields.get(names.REQUEST_ID.lower(), "")
    if not IDENTIFIER_PATTERN.fullmatch(request_id):
        raise RejectedMessageError(400, f"{names.REQUEST_ID} is missing or not an id")
    return request_id


def parse_timeout(fields: Mapping[str, str], class_timeout: int) -> int:
    """Returns how long the client waits, in microseconds; `class_timeout` is that of its service class."""
    duration = DURATION_PATTERN.fullmatch(fields.get(names.TIMEOUT.lower(), ""))
    if not duration:
        raise RejectedMessageError(400, f"{names.TIMEOUT}: expected a number and m or u")
    timeout = round(float(duration[1]) * (1000 if duration[2] == "m" else 1))
    if not 0 < timeout <= MAX_TIMEOUT_FACTOR * class_timeout:
        raise RejectedMessageError(400, f"{names.TIMEOUT}: no time at all, or far over that of the grade")
    return timeout


def check_idempotency_key(fields: Mapping[str, str], is_required: bool) -> None:
    """Raises RejectedMessageError where the key is malformed, or missing though required."""
    key = fields.get(names.IDEMPOTENCY_KEY.lower(), "" if is_required else "-")
    if not IDENTIFIER_PATTERN.fullmatch(key):
        raise RejectedMessageError(400, f"{names.IDEMPOTENCY_KEY} is missing or not a number")


def parse_extra_pairs(fields: Mapping[str, str]) -> list[tuple[str, str]]:
    """Returns the `name=value` pairs of the extras field, in order and with repetitions."""
    parts = [part.strip().partition("=") for part in fields.get(names.EXTRAS.lower(), "").split(",")]
    return [(name, value) for name, _, value in parts]


def parse_width(extra_pairs: list[tuple[str, str]]) -> float:
    """Returns how many slots the job takes, one by default; raises RejectedMessageError for none."""
    widths = [value for name, value in extra_pairs if name == names.WIDTH] or ["1"]
    width = float(widths[0]) if len(widths) == 1 and WIDTH_PATTERN.fullmatch(widths[0]) else 0.0
    if not width:
        raise RejectedMessageError(400, f"{names.EXTRAS}: expected a number of {names.WIDTH}")
    return width


def parse_work_hint(extras: Mapping[str, str]) -> int:
    """Returns the expected run time in microseconds; 0 where it is malformed, as it only advises."""
    milliseconds = extras.get(names.WORK_HINT, "")
    return round(float(milliseconds) * 1000) if WORK_HINT_PATTERN.fullmatch(milliseconds) else 0


def parse_affinity_key(target: str) -> int | None:
    """Returns a hash of the object that the target's query names, None where it names none."""
    objects = parse_qs(target.partition("?")[2]).get(names.OBJECT)
    return crc32(objects[0].encode()) if objects else None
