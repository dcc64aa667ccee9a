"""HTTP responses about durable jobs."""

from __future__ import annotations

import json
from http import HTTPStatus

from locktide.durable.job_states import JOB_STATE_WORDS
from locktide.durable.jobs import Job
from locktide.durable.units import MICROSECONDS_PER_SECOND
from locktide.protocol import names
from locktide.transport.interfaces import Response

#: Seconds after which a client should query an open job again: workers report progress as often.
POLL_INTERVAL = 1.0
#: Seconds after which a client should submit again where no more jobs are accepted.
REJECTED_RETRY_AFTER = 2.0


def pending_response(job: Job) -> Response:
    """Return 202 with the state of a job that is open."""
    body = {"id": job.job_id, "state": JOB_STATE_WORDS[job.state], "dispatches": len(job.leases)}
    headers = [
        (names.LOCATION, names.JOBS + job.job_id),
        (names.RETRY_AFTER, f"{POLL_INTERVAL:g}"),
        ("Preference-Applied", "respond-async"),
        ("Content-Type", "application/json"),
    ]
    return Response(HTTPStatus.ACCEPTED, json.dumps(body).encode() + b"\n", headers)


def final_response(job: Job) -> Response:
    """Return the one final response of a job that is finished."""
    assert job.finished is not None
    headers = [(names.JOB_STATE, JOB_STATE_WORDS[job.state]), (names.LOCATION, names.JOBS + job.job_id)]
    if job.finished.retry_after:
        headers.append((names.RETRY_AFTER, f"{job.finished.retry_after / MICROSECONDS_PER_SECOND:.3f}"))
    return Response(job.finished.status, job.finished.body, headers)


def rejected_response(reason: str) -> Response:
    """Return 503: the job was not accepted."""
    headers = [(names.RETRY_AFTER, f"{REJECTED_RETRY_AFTER:g}")]
    return Response(HTTPStatus.SERVICE_UNAVAILABLE, f"denied: {reason}\n".encode(), headers)


def wait_timed_out_response(job_id: str) -> Response:
    """Return 504: the job goes on, but its client's own wait is over."""
    return Response(
        HTTPStatus.GATEWAY_TIMEOUT, b"it is not done yet\n", [(names.LOCATION, names.JOBS + job_id)]
    )


def key_conflict_response() -> Response:
    """Return 422: the idempotency key was used for a different request."""
    return Response(HTTPStatus.UNPROCESSABLE_ENTITY, b"this number was used for another submission\n")


def id_conflict_response() -> Response:
    """Return 503: another request has this id."""
    return Response(HTTPStatus.SERVICE_UNAVAILABLE, b"this id is in use\n")


def unknown_job_response() -> Response:
    """Return 404: no job has this id."""
    return Response(HTTPStatus.NOT_FOUND, b"no such job\n")
