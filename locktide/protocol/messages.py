"""The messages that clients and workers send to a dispatcher."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.scheduler.config import ServiceClass
from locktide.scheduler.types import AttemptOutcome

#: Header fields of a message, in order, spelled as they are on the wire.
Headers = list[tuple[bytes, bytes]]

#: Shortest time between receipt and reading of a request that is subtracted from its timeout, in
#: microseconds: the margin of its deadline covers shorter times.
MIN_TIME_WAITED = 20_000
#: Shortest timeout that can result, in microseconds: the request is answered at once.
MIN_TIMEOUT = 1
MICROSECONDS_PER_SECOND = 1e6

#: Largest body of a request or of a response, in bytes. Larger ones are rejected, so that a peer cannot fill
#: the memory with one message.
MAX_BODY_SIZE = 64 * 1024


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """A request that a client submits.

    Attributes:
        id: Identifies the request; unique among those that are open.
        service_class: Name of its service class.
        timeout: How long the client waits for the response, in microseconds.
        width: How many slots of a worker the job takes.
        is_retry: Whether the client says that it has sent this request before.
        method: HTTP method, forwarded to the worker.
        target: HTTP request target, forwarded to the worker.
        forwarded_headers: Header fields that are forwarded to the worker unchanged.
        body: Payload, at most `MAX_BODY_SIZE` bytes.
        background: Whether no client waits for the response on a connection.
        work_hint: The expected run time in microseconds; 0 where the client gives none.
        tenant: Who is charged for the job, where the client says so.
        affinity_key: Hash of the object that the job is about, where the target names one.
        received_at: When its last byte reached this machine, in seconds of the event loop; None where that
            is unknown.
        accepted_class: The service class by which a durable job was accepted; None where the class in force
            counts.
    """

    id: str
    service_class: str
    timeout: int
    width: float
    is_retry: bool
    method: str
    target: str
    forwarded_headers: Headers
    body: bytes
    background: bool = False
    work_hint: int = 0
    tenant: str | None = None
    affinity_key: int | None = None
    received_at: float | None = None
    accepted_class: ServiceClass | None = None

    def time_left(self, now: float) -> int:
        """Return how much of the timeout is left, in microseconds; `now` is in seconds of the event loop.

        A request may stay unread for a long time: in the kernel's queue of connections, or while the process
        gets no CPU time. The client's timeout runs meanwhile. If the timeout were counted from the time of
        reading, a worker would be given more time than is left
        (test_no_attempt_tells_more_time_than_is_left_by_a_dispatcher_held_up_before_it_reads).
        """
        if self.received_at is None:
            return self.timeout
        waited = int((now - self.received_at) * MICROSECONDS_PER_SECOND)
        if waited < MIN_TIME_WAITED:
            return self.timeout
        return max(MIN_TIMEOUT, self.timeout - waited)


@dataclass(frozen=True, slots=True)
class Callback:
    """A worker's report on a job.

    Attributes:
        request_id: The request that the job belongs to.
        worker: Name of the worker that reports.
        state: The state as it is spelled in the message: `names.STARTED`, `names.RUNNING`, or a key of
            `names.CALLBACK_OUTCOMES`.
        fraction_done: Progress from 0.0 to 1.0.
        outcome: How the attempt ended; None where it has not ended.
        result: Body of the response to the client; empty unless the job is done.
        fence: Fencing number of the attempt's lease, from workers that report it.
    """

    request_id: str
    worker: str
    state: str
    fraction_done: float
    outcome: AttemptOutcome | None
    result: bytes
    fence: int | None = None


@dataclass(frozen=True, slots=True)
class JobQuery:
    """A query for the state of a durable job."""

    id: str


@dataclass(frozen=True, slots=True)
class HealthQuery:
    """A health check: whether the dispatcher is ready, or only whether its process is alive."""

    ready: bool


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A message that is not accepted.

    Attributes:
        status: The HTTP status to respond with.
        reason: The text of the response.
    """

    status: int
    reason: str


Message = SubmitRequest | Callback | JobQuery | HealthQuery | BadRequest
