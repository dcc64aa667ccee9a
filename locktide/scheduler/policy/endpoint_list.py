"""Mechanism 6: the worker list."""

from typing import Any

from locktide.scheduler.config import EndpointListConfig
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.events import EndpointListUpdate
from locktide.scheduler.policy.endpoint import Endpoint
from locktide.scheduler.types import EndpointState, ListUpdateKind


class EndpointList:
    """Follows the list; where it must be asked for, watches it and asks again after a failure."""

    def __init__(self, terms: EndpointListConfig) -> None:
        self.workers: dict[Any, Endpoint] = {}
        self.leaving: list[Endpoint] = []  # of which the last news told that they drain
        self.terms, self.watched, self.failures, self.ask_at = terms, False, 0, 0

    def ask_later(self, now: int, chance: LinearCongruentialGenerator, silent: bool = False) -> int:
        """After how long we ask next: at any moment of a span that doubles with each failure. Guards against
        many that start or fail together and then ask together: the service works on each call, also where the
        caller was turned away. It can hear all of us within the time in which each should ask; half is enough
        for those that start at once. After a failure we count as told only after four times that time."""
        span = min(2 * self.terms.poll_within, self.terms.poll_within // 2 << min(self.failures, 8))
        if self.failures and self.terms.notified_within:
            # Guards against sending by a list from before an outage: a third after silence, as the call took
            # up to a half; two where it was turned away, as each call delays the others.
            span = min(span, self.terms.notified_within * (1 if silent else 2) // 3)
        gap = chance.below(span)
        self.watched, self.ask_at = False, now + gap
        return gap

    def take(self, news: EndpointListUpdate, cap: float) -> bool:
        """Whether more has changed than ratings."""
        changed, self.leaving = news.kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED), []
        for entry in news.entries:
            worker = self.workers.get(entry.worker)
            if worker is None:
                self.workers[entry.worker], changed = Endpoint(entry, cap), True
                if entry.state == EndpointState.DRAINING:
                    self.leaving.append(self.workers[entry.worker])
            elif worker.state != entry.state or worker.started_at != entry.started_at:
                if entry.state == EndpointState.DRAINING:
                    self.leaving.append(worker)
                worker.update(entry)
                changed = True
        if news.kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
            for absent in self.workers.keys() - {entry.worker for entry in news.entries}:
                self.workers[absent].state = EndpointState.GONE
        return changed
