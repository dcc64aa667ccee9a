"""Admission: requests that come, anew or from an earlier process, and clients that go."""

from dataclasses import dataclass, field

from locktide.scheduler.estimators.key_frequencies import KeyFrequencies
from locktide.scheduler.events import ClientDisconnected, QuotaSharesUpdated, RequestArrived, RequestRecovered
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.quotas import BEYOND, BORROWED, TenantQuotas
from locktide.scheduler.policy.request_lifecycle import RequestLifecycle
from locktide.scheduler.state import ActiveConfig, Clock, Request, RequestPool
from locktide.scheduler.state.recovery import AttemptRecovery


@dataclass(eq=False)
class Admission:
    """Takes up requests and sets until when each may wait."""

    clock: Clock
    config: ActiveConfig
    requests: RequestPool
    recovery: AttemptRecovery
    key_frequencies: KeyFrequencies
    lifecycle: RequestLifecycle
    shedder: LoadShedder
    quotas: TenantQuotas
    _arrivals: int = field(default=0, init=False)

    def on_arrival(self, event: RequestArrived) -> None:
        """Takes up a request of a client."""
        self.lifecycle.begin(self._admit(event))

    def on_recovery(self, event: RequestRecovered) -> None:
        """Takes up what a process that died had taken."""
        request = self._admit(event.arrival)
        request.arrived_at = event.arrived_at
        self.recovery.restore(request, event.attempts)
        self.lifecycle.begin(request)

    def on_disconnect(self, event: ClientDisconnected) -> None:
        """Ends a request whose client has gone."""
        if (request := self.requests.open.get(event.request_id)) and not request.is_answered:
            self.lifecycle.finish(request)

    def on_quota_shares(self, event: QuotaSharesUpdated) -> None:
        """Takes over the shares in force from now on."""
        # What came under a loan that is over and has not gone out goes on as beyond its tenant's quota: an
        # owner that is back is not kept waiting by it.
        self.quotas.shares = event
        borrowed = self.quotas.stage().borrowed
        for request in self.requests.waiting:
            tenant = request.borrowing_tenant
            if tenant is not None and not request.attempts and not borrowed.get(tenant):
                request.borrowing_tenant = None
                if not request.is_background:
                    timeout = int(
                        self.shedder.queue_timeout(request) * self.config.current.quotas.beyond_quota_weight
                    )
                    request.queue_deadline = min(request.queue_deadline, request.arrived_at + timeout)

    def _admit(self, arrival: RequestArrived) -> Request:
        now = self.clock.now
        self._arrivals += 1
        service_class = self.config.known_service_classes[arrival.service_class]
        request = Request(arrival, service_class, now, self._arrivals)
        self.requests.add(request)
        if request.affinity_key is not None:
            self.key_frequencies.count(request.affinity_key, now)
        queue_timeout = self.shedder.queue_timeout(request)
        coverage = self.quotas.cover(arrival.tenant)
        if coverage is BORROWED:
            request.borrowing_tenant = arrival.tenant
        elif coverage is BEYOND:  # it waits as long as it is worth
            queue_timeout = int(queue_timeout * self.config.current.quotas.beyond_quota_weight)
        request.queue_deadline = self.shedder.latest_queue_deadline(request)
        if not arrival.background:
            request.queue_deadline = min(request.queue_deadline, now + queue_timeout)
        return request
