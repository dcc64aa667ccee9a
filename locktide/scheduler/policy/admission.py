"""Admission: sets how long an arriving request may wait, and ends requests whose client has disconnected.

Every request is admitted, whether it is new or was accepted by an earlier process. Its queue deadline depends
on its quota coverage (`quotas`) and its queue timeout (`load_shedding`), in microseconds:

- The tenant has no quota, or the request is covered by the tenant's own share or a loan: the queue timeout.
- Beyond the tenant's quota: the queue timeout times `beyond_quota_weight`. The wait shrinks with the value of
  the request.
- Background request: as long as its deadline allows, whatever its coverage, since no client waits.

A loan ends when its lender needs the quota again. Requests that wait under the loan then count as beyond
their tenant's quota, so that they do not delay the lender's requests.
"""

from dataclasses import dataclass, field

from locktide.scheduler.estimators.key_frequencies import KeyFrequencies
from locktide.scheduler.events import ClientDisconnected, QuotaSharesUpdated, RequestArrived, RequestRecovered
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.quotas import BEYOND, BORROWED, TenantQuotas
from locktide.scheduler.policy.request_lifecycle import RequestLifecycle
from locktide.scheduler.state import ActiveConfig, Clock, Request, RequestPool
from locktide.scheduler.state.accepted_classes import AcceptedClasses
from locktide.scheduler.state.recovery import AttemptRecovery


@dataclass(eq=False)
class Admission:
    """Admits requests and sets their queue deadlines."""

    clock: Clock
    config: ActiveConfig
    requests: RequestPool
    recovery: AttemptRecovery
    accepted_classes: AcceptedClasses
    key_frequencies: KeyFrequencies
    lifecycle: RequestLifecycle
    shedder: LoadShedder
    quotas: TenantQuotas
    _admitted_count: int = field(default=0, init=False)  # requests admitted so far

    def on_arrival(self, event: RequestArrived) -> None:
        """Admit a new request."""
        self.lifecycle.begin(self._admit(event))

    def on_recovery(self, event: RequestRecovered) -> None:
        """Admit a request that an earlier process had accepted, and restore its attempts."""
        request = self._admit(event.arrival)
        request.arrived_at = event.arrived_at
        self.recovery.restore(request, event.attempts)
        request.queue_deadline = self.shedder.repeat_deadline(request)  # depends on the restored attempts
        self.lifecycle.begin(request)

    def on_disconnect(self, event: ClientDisconnected) -> None:
        """End a request whose client has disconnected."""
        request = self.requests.open.get(event.request_id)
        if request is not None and not request.is_answered:
            self.lifecycle.finish(request)

    def on_quota_shares(self, event: QuotaSharesUpdated) -> None:
        """Apply new quota shares, and end the loans that are over."""
        self.quotas.shares = event
        borrowed = self.quotas.stage().borrowed
        for request in self.requests.waiting:
            tenant = request.borrowing_tenant
            if tenant is not None and not request.attempts and not borrowed.get(tenant):
                self._end_loan(request)

    def on_reload(self) -> None:
        """Confine the open requests as the configuration in force says; their other guarantees stay.

        A class is sent only to the workers to which it is confined, so an earlier constraint must not count.
        Nor are the endpoints that satisfy it known any more
        (test_requests_follow_the_constraints_in_force_and_none_fails_by_an_exception).
        """
        for request in self.requests.open.values():
            request.placement = self.config.known_service_classes[request.service_class.name].placement

    def _end_loan(self, request: Request) -> None:
        request.borrowing_tenant = None
        if request.is_background:
            return
        queue_timeout = self._queue_timeout_beyond_quota(self.shedder.queue_timeout(request))
        request.queue_deadline = min(request.queue_deadline, request.arrived_at + queue_timeout)

    def _admit(self, arrival: RequestArrived) -> Request:
        now = self.clock.now
        self._admitted_count += 1
        if arrival.accepted_class is not None:
            self.accepted_classes.add(arrival.accepted_class)
        class_in_force = self.config.known_service_classes[arrival.service_class]
        request = Request(arrival, arrival.accepted_class or class_in_force, now, self._admitted_count)
        request.placement = class_in_force.placement
        self.requests.add(request)
        if request.affinity_key is not None:
            self.key_frequencies.count(request.affinity_key, now)
        queue_timeout = self.shedder.queue_timeout(request)
        coverage = self.quotas.cover(arrival.tenant)
        if coverage is BORROWED:
            request.borrowing_tenant = arrival.tenant
        elif coverage is BEYOND:
            queue_timeout = self._queue_timeout_beyond_quota(queue_timeout)
        request.queue_deadline = self.shedder.latest_queue_deadline(request)
        if not arrival.background:
            request.queue_deadline = min(request.queue_deadline, now + queue_timeout)
        return request

    def _queue_timeout_beyond_quota(self, queue_timeout: int) -> int:
        return int(queue_timeout * self.config.current.quotas.beyond_quota_weight)
