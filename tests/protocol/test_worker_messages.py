"""Outcomes of attempts by the responses of workers."""

from __future__ import annotations

import pytest

from locktide.protocol import worker_messages
from locktide.protocol.client_connection import UpstreamResponse
from locktide.scheduler.types import AttemptOutcome


@pytest.mark.parametrize(
    "status, headers, outcome",
    [
        (202, {}, None),
        (500, {}, AttemptOutcome.ERROR),
        (503, {"srv-declined": "1"}, AttemptOutcome.FULL),
        (504, {"srv-declined": "1"}, AttemptOutcome.FULL),
        (503, {}, AttemptOutcome.ERROR),
        (503, {"srv-declined": "0"}, AttemptOutcome.ERROR),
        (500, {"srv-declined": "1"}, AttemptOutcome.ERROR),
        (400, {}, AttemptOutcome.UNPROCESSABLE),
        (404, {"srv-declined": "1"}, AttemptOutcome.UNPROCESSABLE),
        (200, {}, AttemptOutcome.ERROR),
    ],
)
def test_response_of_a_worker_ends_the_attempt_with_its_outcome(
    status: int, headers: dict[str, str], outcome: str | None
) -> None:
    assert worker_messages.response_outcome(UpstreamResponse(status, headers, b"")) == outcome
