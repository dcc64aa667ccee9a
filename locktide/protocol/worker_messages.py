"""What is said to workers, and what their replies mean."""

from __future__ import annotations

from urllib.parse import quote

from locktide.protocol import names
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.protocol.server_connection import SubmitRequest
from locktide.scheduler.types import AttemptOutcome


def job(submitted: SubmitRequest, time_left: int, fence: int = 0) -> UpstreamRequest:
    """One dispatch: the submission as it came, with the time that we will wait, and the lease if it is on
    one.
    """
    headers = [*submitted.onward, (names.TIME_LIMIT.encode(), b"%du" % time_left)]
    if fence:
        headers.append((names.FENCE.encode(), b"%d" % fence))
    return UpstreamRequest(submitted.method, submitted.target, headers, submitted.body)


def withdrawal(submission: str) -> UpstreamRequest:
    return UpstreamRequest("DELETE", names.JOBS + quote(submission, safe=""), [])


def outcome(reply: UpstreamResponse) -> str | None:
    """How the reply ends the dispatch; None where the worker has taken the job."""
    if reply.status == 202:
        return None
    if 400 <= reply.status < 500:
        return AttemptOutcome.UNPROCESSABLE
    if reply.status in (503, 504) and reply.headers.get(names.DECLINED.lower()) == "1":
        return AttemptOutcome.FULL
    return AttemptOutcome.ERROR
