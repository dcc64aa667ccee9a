"""One request and its attempts. Times are microseconds of the scheduler's clock."""

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
        "in_pool",
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
        self.work_hint = arrival.work_hint  # its run time as the client estimates it; 0: no estimate
        self.sequence = sequence  # in the order of arrival
        self.arrived_at = now
        self.deadline = arrival.deadline
        self.queue_deadline = self.deadline  # when waiting in the pool stops to pay
        self.not_before = 0  # after a worker was full: when it may be sent again
        self.attempts: list[Attempt] = []
        self.open_attempts: list[Attempt] = []  # those without an outcome
        self.possibly_executed: list[Attempt] = []  # attempts not proven never to have run
        self.uncounted_attempts = 0  # attempts that do not count towards the most there may be
        self.error_endpoints: list[Endpoint] = []  # not suspected ones at which it failed
        self.in_pool = False
        self.is_answered = False
        self.is_background = arrival.background
        self.fails_anywhere = False  # it has failed at two endpoints that were not suspected
        self.is_idempotent = service_class.effect == Effect.IDEMPOTENT
        self.is_at_most_once = service_class.effect == Effect.AT_MOST_ONCE
        self.affinity_key = arrival.affinity_key
        self.placement = service_class.placement
        self.borrowing_tenant: TenantId | None = None  # its tenant, where a loan covers it


class Attempt:
    """When and where a request was sent, and the signs of the attempt since then."""

    __slots__ = (
        "request",
        "number",
        "endpoint",
        "zone",
        "cell",
        "width",
        "ordered_at",
        "sent_at",
        "started_at",
        "last_heard_at",
        "filled_limit",
        "is_retry",
        "failure_recorded",
        "no_start_at",
        "cancelled_at",
        "awaits_budget",
    )

    def __init__(self, request: Request, number: int, endpoint: Endpoint, now: int) -> None:
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.zone = endpoint.zone  # where it was sent, also if its worker is listed elsewhere since
        self.cell = endpoint.cell
        self.width = request.width
        self.ordered_at = now  # when its command was given
        self.sent_at = now  # the same, until its last byte is reported as sent
        self.started_at = 0  # 0 until its worker reports the start
        self.last_heard_at = 0  # when its worker last reported its start or progress
        # Whether it took what the concurrency limit had left.
        self.filled_limit = endpoint.slots_in_flight + request.width > endpoint.concurrency_limit - 1
        # Whether an earlier attempt may have run; one after a worker that was full is no retry in this sense.
        self.is_retry = bool(request.possibly_executed)
        self.failure_recorded = False  # whether it has made its endpoint suspected
        self.awaits_budget = False  # whether only the retry budget keeps it from being cancelled for a retry
        self.cancelled_at = 0  # when its cancellation was ordered; else 0
        self.no_start_at = 0  # when that was for want of a start, and has not been taken back; else 0
