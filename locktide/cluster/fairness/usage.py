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
    place: int  # of its tenant
    needs: Vector
    out: int = 0  # dispatches without an outcome
    answered: bool = False


class UsageTracker:
    """`places` of tenants, `needs` by service grade for each slot of width, `each` of a worker; all amounts
    in thousandths.
    """

    def __init__(self, places: dict[str, int], needs: dict[str, Vector], each: Vector) -> None:
        self.places, self.needs, self.each = places, needs, each
        self.open: dict[Any, OpenUsage] = {}
        self.ready: set[Any] = set()  # workers
        self.held: dict[int, Vector] = {}
        self.waits: dict[int, Vector] = {}
        self.hearing: dict[type, Callable[[Any], None]] = {
            RequestArrived: self.arrival,
            StartAttempt: self.dispatch,
            AttemptEnded: self.ended,
            # Guards against counting for ever as waiting what its client has left: no order tells of that.
            ClientDisconnected: self.answered,
            RejectRequest: self.answered,
            FailRequest: self.answered,
            EndpointListUpdate: self.listed,
        }

    def hear(self, piece: Any) -> None:
        """A piece of news, or an order, in the order in which they come about."""
        if (take := self.hearing.get(type(piece))) is not None:
            take(piece)

    def capacity(self) -> Vector:
        return [amount * len(self.ready) for amount in self.each]

    # --- one submission

    def arrival(self, piece: RequestArrived) -> None:
        place, needs = self.places.get(piece.tenant), self.needs.get(piece.service_class)
        if place is None or needs is None or piece.request_id in self.open:
            return
        one = self.open[piece.request_id] = OpenUsage(
            place, [round(amount * piece.width) for amount in needs]
        )
        self.add(self.waits, one, 1)

    def dispatch(self, order: StartAttempt) -> None:
        if (one := self.open.get(order.request_id)) is None:
            return
        if not one.out:
            self.add(self.waits, one, -1)
        one.out += 1
        self.add(self.held, one, 1)

    def ended(self, piece: AttemptEnded) -> None:
        if (one := self.open.get(piece.request_id)) is None:
            return
        if one.out:
            one.out -= 1
            self.add(self.held, one, -1)
            if not one.out and not one.answered:
                self.add(self.waits, one, 1)
        if piece.final:
            self.answered(piece)
        elif not one.out and one.answered:
            del self.open[piece.request_id]

    def answered(self, piece: Any) -> None:
        """It has its answer; what still runs for it counts until that has ended."""
        if (one := self.open.get(piece.request_id)) is None or one.answered:
            return
        one.answered = True
        if not one.out:
            self.add(self.waits, one, -1)
            del self.open[piece.request_id]

    def add(self, to: dict[int, Vector], one: OpenUsage, by: int) -> None:
        sums = to.setdefault(one.place, [0] * len(self.each))
        for place, amount in enumerate(one.needs):
            sums[place] += by * amount

    # --- workers

    def listed(self, piece: EndpointListUpdate) -> None:
        if piece.kind in (ListUpdateKind.FETCH_FAILED, ListUpdateKind.FETCH_TIMED_OUT):
            return
        if piece.kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
            self.ready = set()
        for entry in piece.entries:
            (self.ready.add if entry.state == EndpointState.READY else self.ready.discard)(entry.worker)
