"""Outlier detection: which endpoints are suspected of being unhealthy, and when one is tried again."""

from locktide.scheduler.estimators.beta import draw_beta
from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.log_events import WorkerSuspected
from locktide.scheduler.state import Clock, CommandBuffer, Endpoint, EndpointTable, Request
from locktide.scheduler.types import SuspicionReason

# Renewals of most ratings since an endpoint's own, that one counted. Two: the next came without it.
STALE_AFTER = 2


def is_suspected(endpoint: Endpoint, now: int) -> bool:
    """Whether it failed lately, or its rating stands still."""
    return endpoint.stale_ratings >= STALE_AFTER or endpoint.failures.read(now) >= 0.5


class OutlierDetector:
    """Keeps the health record of each endpoint, and tells workers' errors from requests' own."""

    def __init__(
        self,
        *,
        clock: Clock,
        random: LinearCongruentialGenerator,
        endpoints: EndpointTable,
        commands: CommandBuffer,
    ) -> None:
        self._clock = clock
        self._random = random
        self._endpoints = endpoints
        self._commands = commands
        # Errors lately found to be a request's or an endpoint's; ten seconds, as the records.
        self._request_errors, self._endpoint_errors = DecayingSum(10_000_000), DecayingSum(10_000_000)

    def record_success(self, endpoint: Endpoint) -> None:
        """Counts a good end."""
        now = self._clock.now
        endpoint.last_heard_at = now
        endpoint.successes.add(1.0, now)
        # Guards against shunning a worker that has come back: two good ends outweigh one bad.
        endpoint.failures.add(-0.5 * endpoint.failures.read(now), now)

    def record_failure(self, endpoint: Endpoint, reason: SuspicionReason) -> None:
        """Counts a failure, which makes the endpoint suspected."""
        now = self._clock.now
        if not is_suspected(endpoint, now):
            self._commands.log(WorkerSuspected(endpoint.id, reason))
        # Guards against a long good record that hides a fresh outage: a failure cuts it to a quarter.
        endpoint.successes.add(-0.75 * endpoint.successes.read(now), now)
        endpoint.failures.add(1.0, now)

    def record_error(self, request: Request, endpoint: Endpoint, may_retry: bool) -> None:
        """Counts an error response."""
        # It is held against the request if that fails at a second sound endpoint, too; else against the
        # endpoint, once the request has ended well elsewhere, or at once where it cannot be sent there.
        # Guards against floods of requests that fail anywhere: the workers at which they show, and soon all,
        # would be avoided for it. While most errors were found to be requests' own it waits, too.
        now = self._clock.now
        if is_suspected(endpoint, now):  # its error says nothing about the request
            self.record_failure(endpoint, SuspicionReason.ERROR)
        elif any([earlier is not endpoint for earlier in request.error_endpoints]):
            request.is_unprocessable, request.error_endpoints = True, []
            self._request_errors.add(1.0, now)
        elif may_retry:
            request.error_endpoints.append(endpoint)
        elif self._request_errors.read(now) <= max(0.5, self._endpoint_errors.read(now)):
            self.record_failure(endpoint, SuspicionReason.ERROR)

    def record_recovery(self, request: Request) -> None:
        """The request has ended well: where it had failed before, the endpoints were at fault."""
        for endpoint in request.error_endpoints:
            self._endpoint_errors.add(1.0, self._clock.now)
            self.record_failure(endpoint, SuspicionReason.ERROR)

    def admits_probe(self, endpoint: Endpoint) -> bool:
        """Whether a suspected endpoint gets one more request, drawn anew at most once a second."""
        now = self._clock.now
        if now < endpoint.probed_at + 1_000_000:
            return False
        endpoint.probed_at = now
        good = min(8, round(endpoint.successes.read(now)))  # eight of each suffice
        bad = min(8, round(endpoint.failures.read(now)) + endpoint.stale_ratings)
        return draw_beta(self._random, 1 + good, 1 + bad) > 0.5

    def suspects_most(self) -> bool:
        """Whether more than half of the ready endpoints are suspected."""
        now, ready = self._clock.now, self._endpoints.candidates[None]
        return 2 * sum([is_suspected(endpoint, now) for endpoint in ready]) > len(ready)
