"""Requests and their attempts. Times are in microseconds, on the scheduler's clock."""

from __future__ import annotations

from locktide.scheduler.config import ServiceClass
from locktide.scheduler.events import RequestArrived
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.types import Effect, TenantId


class Request:
    """A request from its arrival to the end of its last attempt."""

    __slots__ = (
        "id",
        "service_class",
        "width",
        "work_hint",
        "sequence",
        "arrived_at",
        "deadline",
        "queue_deadline",
        "not_before",
        "attempts",
        "open_attempts",
        "possibly_executed",
        "uncounted_attempts",
        "error_endpoints",
        "is_in_pool",
        "is_answered",
        "is_background",
        "fails_anywhere",
        "is_idempotent",
        "is_at_most_once",
        "affinity_key",
        "placement",
        "borrowing_tenant",
    )

    def __init__(self, arrival: RequestArrived, service_class: ServiceClass, now: int, sequence: int) -> None:
        self.id = arrival.request_id
        self.service_class = service_class
        self.width = arrival.width  # slots of a worker
        self.work_hint = arrival.work_hint  # the client's estimate of the run time; 0: no estimate
        self.sequence = sequence  # number in the order of arrival
        self.arrived_at = now
        self.deadline = arrival.deadline
        self.queue_deadline = self.deadline  # until when it may wait in the pool
        self.not_before = 0  # end of the back-off after a worker was full
        self.attempts: list[Attempt] = []
        self.open_attempts: list[Attempt] = []  # those without an outcome
        self.possibly_executed: list[Attempt] = []  # attempts that may have run
        self.uncounted_attempts = 0  # attempts that do not count towards `max_attempts`
        self.error_endpoints: list[Endpoint] = []  # unsuspected endpoints where it failed
        self.is_in_pool = False
        self.is_answered = False
        self.is_background = arrival.background
        self.fails_anywhere = False  # it has failed at two endpoints that were not suspected
        self.is_idempotent = service_class.effect == Effect.IDEMPOTENT
        self.is_at_most_once = service_class.effect == Effect.AT_MOST_ONCE
        self.affinity_key = arrival.affinity_key
        self.placement = service_class.placement
        self.borrowing_tenant: TenantId | None = None  # its tenant, if borrowed quota covers it


class Attempt:
    """One sending of a request to an endpoint, and what was reported of it since."""

    __slots__ = (
        "request",
        "number",
        "endpoint",
        "zone",
        "cell",
        "width",
        "commanded_at",
        "sent_at",
        "started_at",
        "last_heard_at",
        "filled_limit",
        "is_retry",
        "has_recorded_failure",
        "no_start_recorded_at",
        "cancelled_at",
        "awaits_budget",
    )

    def __init__(self, request: Request, number: int, endpoint: Endpoint, now: int) -> None:
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.zone = endpoint.zone  # at the time of sending; the worker may be listed elsewhere since
        self.cell = endpoint.cell
        self.width = request.width
        self.commanded_at = now  # when its `StartAttempt` was issued
        self.sent_at = now  # `commanded_at` until its last byte is reported as sent
        self.started_at = 0  # 0 until the worker reports the start
        self.last_heard_at = 0  # when the worker last reported its start or progress
        # Whether it took the last capacity under the concurrency limit.
        self.filled_limit = endpoint.slots_in_flight + request.width > endpoint.concurrency_limit - 1
        # Whether an earlier attempt may have run. An attempt after a worker that was full is not a retry in
        # this sense.
        self.is_retry = bool(request.possibly_executed)
        self.has_recorded_failure = False  # whether it was recorded as a failure of its endpoint
        self.awaits_budget = False  # whether only the retry budget prevents its cancellation for a retry
        self.cancelled_at = 0  # when its `CancelAttempt` was issued; else 0
        self.no_start_recorded_at = 0  # when a missing start was recorded as a failure, unless undone; else 0
