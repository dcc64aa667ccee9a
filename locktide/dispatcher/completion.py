"""Ends attempts: each gets exactly one outcome."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.dispatcher.job_store import AttemptLeases
from locktide.dispatcher.records import OpenAttempt, OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.scheduler.events import AttemptEnded
from locktide.scheduler.types import AttemptOutcome


@dataclass(eq=False, slots=True, kw_only=True)
class AttemptCompletion:
    """Ends attempts and reports their outcomes to the job store and the scheduler."""

    registry: RequestRegistry
    bridge: SchedulerBridge
    leases: AttemptLeases

    def finish(self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """End the attempt with that outcome; do nothing if it has an outcome already."""
        if not attempt.end(outcome):
            return
        self.leases.end(request, attempt)
        ended = AttemptEnded(request.message.id, attempt.number, outcome, is_final=not request.is_open)
        self.bridge.enqueue_event(ended)
        self.registry.release_settled(request)
