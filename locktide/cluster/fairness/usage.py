"""Tracks what tenants use through this dispatcher and what waits here, from its events and commands."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from locktide.cluster.fairness.dominant_share import Vector
from locktide.scheduler.commands import FailRequest, RejectRequest, StartAttempt
from locktide.scheduler.events import AttemptEnded, ClientDisconnected, EndpointListUpdate, RequestArrived
from locktide.scheduler.types import EndpointState, ListUpdateKind

Answered = AttemptEnded | ClientDisconnected | RejectRequest | FailRequest


@dataclass(slots=True)
class OpenUsage:
    """A request that waits, or of which attempts may be running.

    Attributes:
        tenant_index: the index of its tenant.
        needs: the amount of each resource that it needs, in thousandths.
        running: how many of its attempts have no outcome yet.
        answered: whether the request has its response.
    """

    tenant_index: int
    needs: Vector
    running: int = 0
    answered: bool = False


class UsageTracker:
    """Keeps sums of needs by tenant; all amounts are in thousandths.

    Attributes:
        tenant_indices: the index of each tenant.
        needs: the needs of a request of each service class for each slot of its width.
        worker_capacity: the capacity of each worker.
        open_requests: the requests that wait or may be running, by their ids.
        ready_workers: the workers that are ready according to the endpoint list.
        in_use: the amounts that each tenant uses, by its index.
        waiting: the needs of the waiting requests of each tenant.
        handlers: the handler of each type of event or command.
    """

    def __init__(
        self, tenant_indices: dict[str, int], needs: dict[str, Vector], worker_capacity: Vector
    ) -> None:
        self.tenant_indices = tenant_indices
        self.needs = needs
        self.worker_capacity = worker_capacity
        self.open_requests: dict[Any, OpenUsage] = {}
        self.ready_workers: set[Any] = set()
        self.in_use: dict[int, Vector] = {}
        self.waiting: dict[int, Vector] = {}
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self._on_arrival,
            StartAttempt: self._on_attempt_started,
            AttemptEnded: self._on_attempt_ended,
            # No command follows the disconnect of a client: without this handler its request would count as
            # waiting forever.
            ClientDisconnected: self._on_answered,
            RejectRequest: self._on_answered,
            FailRequest: self._on_answered,
            EndpointListUpdate: self._on_endpoint_list,
        }

    def observe(self, event_or_command: Any) -> None:
        """Process an event or a command of the scheduler; they must be passed in the order they occur."""
        if (handler := self.handlers.get(type(event_or_command))) is not None:
            handler(event_or_command)

    def capacity(self) -> Vector:
        """Return the capacity of all ready workers."""
        return [amount * len(self.ready_workers) for amount in self.worker_capacity]

    # --- requests

    def _on_arrival(self, event: RequestArrived) -> None:
        tenant_index = None if event.tenant is None else self.tenant_indices.get(event.tenant)
        needs = self.needs.get(event.service_class)
        if tenant_index is None or needs is None or event.request_id in self.open_requests:
            return
        usage = OpenUsage(tenant_index, [round(amount * event.width) for amount in needs])
        self.open_requests[event.request_id] = usage
        self._add(self.waiting, usage, 1)

    def _on_attempt_started(self, command: StartAttempt) -> None:
        usage = self.open_requests.get(command.request_id)
        if usage is None:
            return
        if not usage.running:
            self._add(self.waiting, usage, -1)
        usage.running += 1
        self._add(self.in_use, usage, 1)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        usage = self.open_requests.get(event.request_id)
        if usage is None:
            return
        if usage.running:
            usage.running -= 1
            self._add(self.in_use, usage, -1)
            if not usage.running and not usage.answered:
                self._add(self.waiting, usage, 1)
        if event.is_final:
            self._on_answered(event)
        elif not usage.running and usage.answered:
            del self.open_requests[event.request_id]

    def _on_answered(self, event: Answered) -> None:
        """Record that a request has its response; its running attempts count until they have ended."""
        usage = self.open_requests.get(event.request_id)
        if usage is None or usage.answered:
            return
        usage.answered = True
        if not usage.running:
            self._add(self.waiting, usage, -1)
            del self.open_requests[event.request_id]

    def _add(self, sums: dict[int, Vector], usage: OpenUsage, sign: int) -> None:
        total = sums.setdefault(usage.tenant_index, [0] * len(self.worker_capacity))
        for resource, amount in enumerate(usage.needs):
            total[resource] += sign * amount

    # --- workers

    def _on_endpoint_list(self, event: EndpointListUpdate) -> None:
        if event.kind in (ListUpdateKind.FETCH_FAILED, ListUpdateKind.FETCH_TIMED_OUT):
            return
        if event.kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
            self.ready_workers = set()
        for entry in event.entries:
            if entry.state == EndpointState.READY:
                self.ready_workers.add(entry.worker)
            else:
                self.ready_workers.discard(entry.worker)
