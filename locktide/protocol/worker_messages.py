"""The requests to workers, and what their responses mean."""

from __future__ import annotations

from urllib.parse import quote

from locktide.protocol import names
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.protocol.messages import SubmitRequest
from locktide.scheduler.types import AttemptOutcome


def job(submission: SubmitRequest, time_left: int, fence: int = 0) -> UpstreamRequest:
    """Returns the request that hands a job to a worker.

    Args:
        submission: The client's request, which is passed on.
        time_left: How long we will wait for the job, in microseconds.
        fence: Fencing token of the attempt's lease; 0 where it has none.
    """
    headers = [*submission.onward, (names.TIMEOUT.encode(), b"%du" % time_left)]
    if fence:
        headers.append((names.FENCE.encode(), b"%d" % fence))
    return UpstreamRequest(submission.method, submission.target, headers, submission.body)


def withdrawal(request_id: str) -> UpstreamRequest:
    """Returns the request that cancels a job at a worker."""
    return UpstreamRequest("DELETE", names.JOBS + quote(request_id, safe=""), [])


def outcome(response: UpstreamResponse) -> AttemptOutcome | None:
    """Returns how the response ends the attempt; None where the worker has accepted the job."""
    if response.status == 202:
        return None
    if 400 <= response.status < 500:
        return AttemptOutcome.UNPROCESSABLE
    if response.status in (503, 504) and response.headers.get(names.DECLINED.lower()) == "1":
        return AttemptOutcome.FULL
    return AttemptOutcome.ERROR
