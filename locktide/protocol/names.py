"""The names of header fields, paths and states on the wire; they stand nowhere else."""

from __future__ import annotations

from locktide.scheduler.types import AttemptOutcome, EndpointState

# Header fields, as they go out; they are compared in lower case.
REQUEST_ID = "Req-Id"
SERVICE_CLASS = "Req-Kind"
IDEMPOTENCY_KEY = "Idempotency-Key"
TIMEOUT = "Req-Deadline"
RETRY = "Req-Retry"
EXTRAS = "Req-Extra"
DECLINED = "Srv-Declined"
PREFER = "Prefer"  # RFC 7240
FENCE = "Lease-Fence"  # of a durable job's lease; a worker may report it back as `fence`
JOB_STATE = "Job-State"
WIDTH = "slots"  # among the extras
WORK_HINT = "hint"  # among the extras: the work expected, in milliseconds
TENANT = "tenant"  # among the extras
OBJECT = "obj"  # in the query: what a job is about

READY = "/health/ready"
LIVE = "/health/live"
CALLBACK = "/callback"
JOBS = "/jobs/"
INSTANCES = "/registry/instances"

# What a worker reports by callback. Those of `CALLBACK_OUTCOMES` end an attempt.
STARTED = "started"
RUNNING = "running"
DONE = "done"
CALLBACK_OUTCOMES = {
    DONE: AttemptOutcome.DONE,
    "failed": AttemptOutcome.ERROR,
    "returned": AttemptOutcome.FULL,
    "lost": AttemptOutcome.RESET,
}

ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}

MAX_BODY_SIZE = 64 * 1024  # bytes, of a request or a response
