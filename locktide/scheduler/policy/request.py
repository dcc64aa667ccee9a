"""One submission and its dispatches: what each has met, and what the rules allow."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from locktide.scheduler.config import ServiceClass
from locktide.scheduler.events import RequestArrived
from locktide.scheduler.policy.endpoint import Endpoint
from locktide.scheduler.types import DeduplicationScope, Effect

# What a course yields, and with what it is resumed: to wait for a draw, with a Worker, or None when that no
# longer pays; to wait for a dispatch, with its AttemptEnded, or the Dispatch itself when in doubt.
POOL, WAIT = "pool", "wait"
Course = Generator[str, Any, None]


class Attempt:
    __slots__ = (
        "submission",
        "number",
        "worker",
        "sent_at",
        "started_at",
        "heard_at",
        "at_cap",
        "further",
        "blamed",
        "lost_at",
    )

    def __init__(self, submission: Request, number: int, worker: Endpoint, now: int) -> None:
        self.submission, self.number, self.worker, self.sent_at = submission, number, worker, now
        self.at_cap = worker.own + submission.width > worker.cap - 1  # it took the last room there was
        self.started_at = self.heard_at = 0
        # Half the time limit: what has not started by then seldom ends, and elsewhere it still can.
        self.lost_at = now + submission.grade.timeout // 2
        self.further, self.blamed = bool(submission.held), False


class Request:
    __slots__ = (
        "id",
        "grade",
        "width",
        "hint",
        "arrived_at",
        "limit_at",
        "leave_at",
        "order",
        "dispatches",
        "out",
        "held",
        "course",
        "pooled",
        "answered",
        "patient",
        "uncounted",
        "erred",
        "spoilt",
        "key",
        "not_before",
        "borrower",
        "ground",
    )

    def __init__(self, arrival: RequestArrived, grade: ServiceClass, now: int, order: int) -> None:
        self.id, self.grade, self.width = arrival.request_id, grade, arrival.width
        self.hint, self.order = arrival.work_hint, order
        self.arrived_at, self.limit_at, self.patient = now, arrival.deadline, arrival.background
        self.leave_at = self.limit_at  # when waiting in the pool stops to pay
        self.dispatches: list[Attempt] = []
        self.out: list[Attempt] = []  # dispatches without an outcome
        self.held: list[Attempt] = []  # dispatches not proven never to have run
        self.pooled = self.answered = False
        self.spoilt, self.key = False, arrival.affinity_key
        # Dispatches that do not count among the most there may be; and after a refusal, when it may go again.
        self.uncounted = self.not_before = 0
        self.erred: list[Endpoint] = []  # sound workers at which it failed
        self.ground = grade.placement
        self.borrower: Any = None  # its tenant, where a loan covers it
        self.course: Course

    def may_repeat_on(self, worker: Endpoint, now: int) -> bool:
        """Rule two, for one more dispatch: what may have run is repeated only where repeats are dropped."""
        grade = self.grade
        if not self.held or grade.effect == Effect.IDEMPOTENT:
            return True
        first = self.held[0]
        if grade.effect == Effect.AT_MOST_ONCE or now >= self.repeats_until():
            return False
        if grade.deduplication_scope == DeduplicationScope.ZONE:
            return worker.zone == first.worker.zone
        return grade.deduplication_scope == DeduplicationScope.FLEET or worker.cell == first.worker.cell

    def repeats_until(self) -> int:
        """Rule two: from when on its repeats are no longer dropped, so none goes out; 0: unbound."""
        bound = self.held and self.grade.effect == Effect.IDEMPOTENT_WITH_KEY
        return self.held[0].sent_at + self.grade.deduplication_window if bound else 0

    def may_deny(self) -> bool:
        """Rule two, for a denial: it promises the client that trying again is harmless."""
        grade = self.grade
        everywhere = (
            grade.effect == Effect.IDEMPOTENT_WITH_KEY
            and grade.deduplication_scope == DeduplicationScope.FLEET
        )
        return not self.held or grade.effect == Effect.IDEMPOTENT or everywhere
