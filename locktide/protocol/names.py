"""The names on the sockets, all in one place."""

from __future__ import annotations

from locktide.scheduler.types import AttemptOutcome, EndpointState

# Header fields, as they go out; they are compared in lower case.
ID = "Req-Id"
GRADE = "Req-Kind"
NUMBER = "Idempotency-Key"
TIME_LIMIT = "Req-Deadline"
RETRY = "Req-Retry"
EXTRAS = "Req-Extra"
DECLINED = "Srv-Declined"
PREFER = "Prefer"  # RFC 7240
FENCE = "Lease-Fence"  # of a durable job's lease; a worker may tell it back as `fence`
JOB_STATE = "Job-State"
WIDTH = "slots"  # among the extras
HINT = "hint"  # among the extras: the work expected, in milliseconds
TENANT = "tenant"  # among the extras
OBJECT = "obj"  # in the query: what a submission is about

READY = "/health/ready"
LIVE = "/health/live"
CALLBACK = "/callback"
JOBS = "/jobs/"
INSTANCES = "/registry/instances"

# What a worker tells by callback. The last four end a dispatch.
STARTED = "started"
RUNNING = "running"
ENDS = {
    "done": AttemptOutcome.DONE,
    "failed": AttemptOutcome.ERROR,
    "returned": AttemptOutcome.FULL,
    "lost": AttemptOutcome.RESET,
}

LIST_STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.GONE}

LARGEST_BODY = 64 * 1024
