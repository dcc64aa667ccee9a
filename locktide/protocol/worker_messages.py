"""Builds the requests to workers, and interprets their responses."""

from __future__ import annotations

from http import HTTPStatus

from locktide.protocol import names
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.protocol.job_paths import job_path
from locktide.protocol.messages import SubmitRequest
from locktide.scheduler.types import AttemptOutcome

#: Statuses with which a worker may decline a job because it has no free slot.
DECLINING_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


def job_request(request: SubmitRequest, time_left: int, fence: int = 0) -> UpstreamRequest:
    """Return the request that hands a job to a worker.

    Args:
        request: The client's request, which is forwarded.
        time_left: How long the dispatcher will wait for the job, in microseconds.
        fence: Fencing number of the attempt's lease; 0 where it has none.
    """
    headers = [*request.forwarded_headers, (names.TIMEOUT.encode(), b"%du" % time_left)]
    if fence:
        headers.append((names.FENCE.encode(), b"%d" % fence))
    return UpstreamRequest(request.method, request.target, headers, request.body)


def cancel_request(request_id: str) -> UpstreamRequest:
    """Return the request that cancels a job at a worker."""
    return UpstreamRequest("DELETE", job_path(request_id), headers=[])


def response_outcome(response: UpstreamResponse) -> AttemptOutcome | None:
    """Return the outcome of the attempt by the response; None where the worker has accepted the job."""
    if response.status == HTTPStatus.ACCEPTED:
        return None
    if HTTPStatus.BAD_REQUEST <= response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return AttemptOutcome.UNPROCESSABLE
    is_declined = response.headers.get(names.DECLINED.lower()) == names.FLAG_SET
    if is_declined and response.status in DECLINING_STATUSES:
        return AttemptOutcome.FULL
    return AttemptOutcome.ERROR
