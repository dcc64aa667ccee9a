"""HTTP responses about durable jobs."""

from __future__ import annotations

import json
from http import HTTPStatus

from locktide.durable.job_states import JOB_STATE_WORDS
from locktide.durable.jobs import Job
from locktide.durable.units import MICROSECONDS_PER_SECOND
from locktide.protocol import names
from locktide.protocol.job_paths import job_path
from locktide.transport.interfaces import Response

#: Seconds after which a client should query an open job again; workers report progress at the same interval.
POLL_INTERVAL = 1.0
#: Seconds after which a client should submit again if its job was not accepted.
REJECTED_RETRY_AFTER = 2.0


def pending_response(job: Job) -> Response:
    """Return 202 with the state of an open job."""
    body = {"id": job.job_id, "state": JOB_STATE_WORDS[job.state], "dispatches": len(job.leases)}
    headers = [
        (names.LOCATION, job_path(job.job_id)),
        (names.RETRY_AFTER, f"{POLL_INTERVAL:g}"),
        ("Preference-Applied", "respond-async"),
        ("Content-Type", "application/json"),
    ]
    return Response(HTTPStatus.ACCEPTED, json.dumps(body).encode() + b"\n", headers)


def final_response(job: Job) -> Response:
    """Return the final response of a finished job."""
    assert job.finished is not None
    headers = [(names.JOB_STATE, JOB_STATE_WORDS[job.state]), (names.LOCATION, job_path(job.job_id))]
    if job.finished.retry_after:
        headers.append((names.RETRY_AFTER, f"{job.finished.retry_after / MICROSECONDS_PER_SECOND:.3f}"))
    return Response(job.finished.status, job.finished.body, headers)


def rejected_response(reason: str) -> Response:
    """Return 503, for a job that was not accepted."""
    headers = [(names.RETRY_AFTER, f"{REJECTED_RETRY_AFTER:g}")]
    return Response(HTTPStatus.SERVICE_UNAVAILABLE, f"denied: {reason}\n".encode(), headers)


def wait_timed_out_response(job_id: str) -> Response:
    """Return 504, for a client whose own timeout has passed while the job continues."""
    return Response(HTTPStatus.GATEWAY_TIMEOUT, b"it is not done yet\n", [(names.LOCATION, job_path(job_id))])


def key_conflict_response() -> Response:
    """Return 422, for an idempotency key that was used with a different request before."""
    return Response(HTTPStatus.UNPROCESSABLE_ENTITY, b"this number was used for another submission\n")


def id_conflict_response() -> Response:
    """Return 503, for a request id that another request uses."""
    return Response(HTTPStatus.SERVICE_UNAVAILABLE, b"this id is in use\n")


def unknown_job_response() -> Response:
    """Return 404, for an id that no job has."""
    return Response(HTTPStatus.NOT_FOUND, b"no such job\n")
