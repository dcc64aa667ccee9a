"""What this dispatcher's tenants hold of the fleet and what waits here, from a node's own news and orders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from locktide.cluster.fairness.dominant_share import Vector
from locktide.scheduler.commands import FailRequest, RejectRequest, StartAttempt
from locktide.scheduler.events import AttemptEnded, ClientDisconnected, EndpointListUpdate, RequestArrived
from locktide.scheduler.types import EndpointState, ListUpdateKind


@dataclass(slots=True)
class OpenUsage:
    tenant_index: int  # of its tenant
    needs: Vector
    running: int = 0  # dispatches without an outcome
    answered: bool = False


class UsageTracker:
    """`places` of tenants, `needs` by service grade for each slot of width, `each` of a worker; all amounts
    in thousandths.
    """

    def __init__(self, places: dict[str, int], needs: dict[str, Vector], each: Vector) -> None:
        self.tenant_indices, self.needs, self.worker_capacity = places, needs, each
        self.open_requests: dict[Any, OpenUsage] = {}
        self.ready_workers: set[Any] = set()  # workers
        self.in_use: dict[int, Vector] = {}
        self.waiting: dict[int, Vector] = {}
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self.on_arrival,
            StartAttempt: self.on_attempt_started,
            AttemptEnded: self.on_attempt_ended,
            # Guards against counting for ever as waiting what its client has left: no order tells of that.
            ClientDisconnected: self.on_answered,
            RejectRequest: self.on_answered,
            FailRequest: self.on_answered,
            EndpointListUpdate: self.on_endpoint_list,
        }

    def observe(self, piece: Any) -> None:
        """A piece of news, or an order, in the order in which they come about."""
        if (take := self.handlers.get(type(piece))) is not None:
            take(piece)

    def capacity(self) -> Vector:
        return [amount * len(self.ready_workers) for amount in self.worker_capacity]

    # --- one submission

    def on_arrival(self, piece: RequestArrived) -> None:
        place, needs = self.tenant_indices.get(piece.tenant), self.needs.get(piece.service_class)
        if place is None or needs is None or piece.request_id in self.open_requests:
            return
        one = self.open_requests[piece.request_id] = OpenUsage(
            place, [round(amount * piece.width) for amount in needs]
        )
        self.add_needs(self.waiting, one, 1)

    def on_attempt_started(self, order: StartAttempt) -> None:
        if (one := self.open_requests.get(order.request_id)) is None:
            return
        if not one.running:
            self.add_needs(self.waiting, one, -1)
        one.running += 1
        self.add_needs(self.in_use, one, 1)

    def on_attempt_ended(self, piece: AttemptEnded) -> None:
        if (one := self.open_requests.get(piece.request_id)) is None:
            return
        if one.running:
            one.running -= 1
            self.add_needs(self.in_use, one, -1)
            if not one.running and not one.answered:
                self.add_needs(self.waiting, one, 1)
        if piece.final:
            self.on_answered(piece)
        elif not one.running and one.answered:
            del self.open_requests[piece.request_id]

    def on_answered(self, piece: Any) -> None:
        """It has its answer; what still runs for it counts until that has ended."""
        if (one := self.open_requests.get(piece.request_id)) is None or one.answered:
            return
        one.answered = True
        if not one.running:
            self.add_needs(self.waiting, one, -1)
            del self.open_requests[piece.request_id]

    def add_needs(self, to: dict[int, Vector], one: OpenUsage, by: int) -> None:
        sums = to.setdefault(one.tenant_index, [0] * len(self.worker_capacity))
        for place, amount in enumerate(one.needs):
            sums[place] += by * amount

    # --- workers

    def on_endpoint_list(self, piece: EndpointListUpdate) -> None:
        if piece.kind in (ListUpdateKind.FETCH_FAILED, ListUpdateKind.FETCH_TIMED_OUT):
            return
        if piece.kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
            self.ready_workers = set()
        for entry in piece.entries:
            (self.ready_workers.add if entry.state == EndpointState.READY else self.ready_workers.discard)(
                entry.worker
            )
