"""The names of header fields, paths, JSON keys and states on the wire; each is defined only here.

Keys of the endpoint list are in `locktide.config.platform_keys`, as the start file also contains a list.

Constants are named by the terms of this project; their values are the platform's names. Where the platform
has names for the members of an enum, a table maps each name to its member.
"""

from __future__ import annotations

from enum import StrEnum

from locktide.scheduler.types import AttemptOutcome

# Header fields, as they are sent; received ones are compared in lower case.
REQUEST_ID = "Req-Id"
SERVICE_CLASS = "Req-Kind"
IDEMPOTENCY_KEY = "Idempotency-Key"
TIMEOUT = "Req-Deadline"
RETRY = "Req-Retry"
EXTRAS = "Req-Extra"
DECLINED = "Srv-Declined"  # "1": the worker has no free slot
PREFER = "Prefer"  # RFC 7240
FENCE = "Lease-Fence"  # fencing number of a durable job's lease; a worker may report it back in its callbacks
JOB_STATE = "Job-State"
RETRY_AFTER = "Retry-After"  # RFC 9110, in seconds
LOCATION = "Location"

#: Value of `RETRY` and of `DECLINED` that means yes.
FLAG_SET = "1"

# Names of the `name=value` pairs in `EXTRAS`.
WIDTH = "slots"
WORK_HINT = "hint"  # the expected work, in milliseconds
TENANT = "tenant"

# Query parameter of a request's target.
OBJECT = "obj"  # the object that the request is about

READY = "/health/ready"
LIVE = "/health/live"
CALLBACK = "/callback"
JOBS = "/jobs/"
INSTANCES = "/registry/instances"


class CallbackKey(StrEnum):
    """Keys of the JSON object with which a worker reports on a job."""

    REQUEST_ID = "id"
    WORKER = "from"
    STATE = "state"
    FRACTION_DONE = "share"
    RESULT = "result"
    FENCE = "fence"


# States that a worker reports by callback; those of `CALLBACK_OUTCOMES` end an attempt.
STARTED = "started"
RUNNING = "running"
DONE = "done"
CALLBACK_OUTCOMES = {
    DONE: AttemptOutcome.DONE,
    "failed": AttemptOutcome.ERROR,
    "returned": AttemptOutcome.FULL,
    "lost": AttemptOutcome.RESET,
}


# Query parameters of a request for the endpoint list.
AFTER_VERSION = "after"
WAIT_MILLISECONDS = "wait_ms"
