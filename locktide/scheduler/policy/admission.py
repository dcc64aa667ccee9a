"""Admission: requests that come, anew or from an earlier process, and clients that go."""

from locktide.scheduler.events import ClientDisconnected, QuotaSharesUpdated, RequestArrived, RequestRecovered
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.quotas import BEYOND, BORROWED, TenantQuotas
from locktide.scheduler.policy.request_lifecycle import RequestLifecycle
from locktide.scheduler.state import Request, SchedulerState
from locktide.scheduler.state.recovery import restore_attempts


class Admission:
    """Takes up requests and sets until when each may wait."""

    def __init__(
        self, state: SchedulerState, lifecycle: RequestLifecycle, shedder: LoadShedder, quotas: TenantQuotas
    ) -> None:
        self._state, self._lifecycle, self._shedder, self._quotas = state, lifecycle, shedder, quotas
        self._arrivals = 0

    def on_arrival(self, event: RequestArrived) -> None:
        """Takes up a request of a client."""
        self._lifecycle.begin(self._admit(event))

    def on_recovery(self, event: RequestRecovered) -> None:
        """Takes up what a process that died had taken."""
        request = self._admit(event.arrival)
        request.arrived_at = event.arrived_at
        restore_attempts(self._state, request, event.attempts)
        self._lifecycle.begin(request)

    def on_disconnect(self, event: ClientDisconnected) -> None:
        """Ends a request whose client has gone."""
        if (request := self._state.requests.get(event.request_id)) and not request.is_answered:
            self._lifecycle.on_attempt_ended(request, is_final=True)

    def on_quota_shares(self, event: QuotaSharesUpdated) -> None:
        """Takes over the shares in force from now on."""
        # What came under a loan that is over and has not gone out goes on as beyond its tenant's quota: an
        # owner that is back is not kept waiting by it.
        self._quotas.shares = event
        borrowed = self._quotas.stage().borrowed
        for request in self._state.pool:
            tenant = request.borrowing_tenant
            if tenant is not None and not request.attempts and not borrowed.get(tenant):
                request.borrowing_tenant = None
                if not request.is_background:
                    timeout = int(
                        self._shedder.queue_timeout(request) * self._state.config.quotas.beyond_quota_weight
                    )
                    request.queue_deadline = min(request.queue_deadline, request.arrived_at + timeout)

    def _admit(self, arrival: RequestArrived) -> Request:
        state = self._state
        self._arrivals += 1
        service_class = state.known_service_classes[arrival.service_class]
        request = Request(arrival, service_class, state.now, self._arrivals)
        state.requests[request.id] = request
        if request.affinity_key is not None:
            state.key_frequencies.count(request.affinity_key, state.now)
        queue_timeout = self._shedder.queue_timeout(request)
        coverage = self._quotas.cover(arrival.tenant)
        if coverage is BORROWED:
            request.borrowing_tenant = arrival.tenant
        elif coverage is BEYOND:  # it waits as long as it is worth
            queue_timeout = int(queue_timeout * self._state.config.quotas.beyond_quota_weight)
        request.queue_deadline = self._shedder.latest_queue_deadline(request)
        if not arrival.background:
            request.queue_deadline = min(request.queue_deadline, state.now + queue_timeout)
        return request
