"""One request and its attempts."""

from __future__ import annotations

from typing import Any

from locktide.scheduler.config import ServiceClass
from locktide.scheduler.events import RequestArrived
from locktide.scheduler.state.attempt import Attempt
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.types import Effect


class Request:
    """A request from its arrival to the end of its last attempt. Times are microseconds."""

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
        "in_flight",
        "possibly_executed",
        "uncounted_attempts",
        "error_endpoints",
        "in_pool",
        "is_answered",
        "is_background",
        "is_unprocessable",
        "is_idempotent",
        "is_at_most_once",
        "affinity_key",
        "placement",
        "borrowing_tenant",
    )

    def __init__(self, arrival: RequestArrived, service_class: ServiceClass, now: int, sequence: int) -> None:
        self.id, self.service_class, self.width = arrival.request_id, service_class, arrival.width
        self.work_hint, self.sequence = arrival.work_hint, sequence
        self.arrived_at, self.deadline = now, arrival.deadline
        self.queue_deadline = self.deadline  # when waiting in the pool stops to pay
        self.not_before = 0  # after a refusal: when it may go out again
        self.attempts: list[Attempt] = []
        self.in_flight: list[Attempt] = []  # attempts without an outcome
        self.possibly_executed: list[Attempt] = []  # attempts not proven never to have run
        self.uncounted_attempts = 0  # that do not count towards the most there may be
        self.error_endpoints: list[Endpoint] = []  # sound ones at which it failed
        self.in_pool = self.is_answered = False
        self.is_background, self.is_unprocessable = arrival.background, False
        self.is_idempotent = service_class.effect == Effect.IDEMPOTENT
        self.is_at_most_once = service_class.effect == Effect.AT_MOST_ONCE
        self.affinity_key, self.placement = arrival.affinity_key, service_class.placement
        self.borrowing_tenant: Any = None  # its tenant, where a loan covers it
