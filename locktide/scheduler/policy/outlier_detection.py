"""Outlier detection: which endpoints are suspected of being unhealthy, and when one is sent a probe.

Each endpoint has two decaying counts, of successes and of failures (`HEALTH_MEMORY`). It is suspected while
its failures are at least `MIN_FAILURES_TO_SUSPECT`, or once `MAX_STALE_RATINGS` updates have changed most
other load ratings but not its own. A suspected endpoint is sent only probes. At most once in `PROBE_INTERVAL`
a random draw decides whether it is sent one, with a probability that depends on its counts. If most endpoints
are suspected, the suspicions carry no information and all endpoints are used.

What makes an endpoint suspected: no connection; a reset; an error response that is not the request's own
fault; no start and no other sign of life; no progress report; progress far slower than usual for the class; a
stale rating.

What ends a suspicion: a success halves the failures; a start that was only late undoes its failure; a changed
rating ends the suspicion for a stale rating at once; all counts decay with time.
"""

from math import exp

from locktide.scheduler.estimators.beta import draw_beta
from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.log_events import WorkerCleared, WorkerSuspected
from locktide.scheduler.state import (
    Attempt,
    Clock,
    CommandBuffer,
    Endpoint,
    EndpointTable,
    FleetEstimates,
    Request,
)
from locktide.scheduler.state.endpoint import HEALTH_MEMORY
from locktide.scheduler.types import EndpointState, SuspicionReason

MICROSECONDS_PER_MILLISECOND = 1000
#: Decayed count of failures at and above which an endpoint is suspected: after one failure it is suspected
#: for seven seconds (ln 2 times `HEALTH_MEMORY`), unless an attempt succeeds within that time.
MIN_FAILURES_TO_SUSPECT = 0.5
#: Number of updates that change most ratings, but not an endpoint's own, after which the endpoint is
#: suspected: one change may be missed.
MAX_STALE_RATINGS = 2
#: Fraction of its count of successes that an endpoint loses with a failure.
SUCCESSES_LOST_BY_FAILURE = 0.75
#: Fraction of its count of failures that an endpoint loses with a success.
FAILURES_LOST_BY_SUCCESS = 0.5
#: Run time, in multiples of the work hint, beyond which a run is slow: a healthy worker takes less even if
#: the hint is rough.
SLOW_RUN_PER_HINT = 4.0
#: Minimum fraction done in the projection of a run time; prevents a division by zero on a report of no
#: progress.
MIN_FRACTION_DONE = 0.001
#: Minimum time between two random draws for a probe of one endpoint, in microseconds.
PROBE_INTERVAL = 1_000_000
#: Maximum successes, and failures, that count in the draw for a probe; more have no further effect on its
#: odds.
MAX_COUNT_IN_PROBE_DRAW = 8
#: Drawn health, from 0 to 1, above which a probe is sent.
MIN_HEALTH_FOR_PROBE = 0.5
#: Decayed count of errors attributed to requests up to which a single error is still attributed to the
#: endpoint.
MAX_REQUEST_ERRORS_TO_BLAME_ENDPOINT = 0.5


def is_suspected(endpoint: Endpoint, now: int) -> bool:
    """Return whether the endpoint failed recently or its rating is stale."""
    return (
        endpoint.stale_ratings >= MAX_STALE_RATINGS or endpoint.failures.read(now) >= MIN_FAILURES_TO_SUSPECT
    )


class OutlierDetector:
    """Keeps the health record of each endpoint, and attributes errors to endpoints or requests."""

    def __init__(
        self,
        *,
        clock: Clock,
        random: LinearCongruentialGenerator,
        endpoints: EndpointTable,
        estimates: FleetEstimates,
        commands: CommandBuffer,
    ) -> None:
        self._clock = clock
        self._random = random
        self._endpoints = endpoints
        self._estimates = estimates
        self._commands = commands
        # Recent errors that were attributed to requests and to endpoints.
        self._request_errors = DecayingSum(HEALTH_MEMORY)
        self._endpoint_errors = DecayingSum(HEALTH_MEMORY)
        self._suspected_since: dict[Endpoint, int] = {}  # suspicions logged and not yet logged as cleared

    # --- what makes an endpoint suspected

    def record_failure(self, endpoint: Endpoint, reason: SuspicionReason) -> None:
        """Record a failure, which makes the endpoint suspected."""
        now = self._clock.now
        if not is_suspected(endpoint, now):
            self._log_suspicion(endpoint, reason)
        # After a long good record a worker would be sent many probes during a new outage, and each of them
        # would be a lost attempt. So only a quarter of its successes remains.
        endpoint.successes.add(-SUCCESSES_LOST_BY_FAILURE * endpoint.successes.read(now), now)
        endpoint.failures.add(1.0, now)

    def record_no_start(self, attempt: Attempt) -> None:
        """Record a failure for an unstarted attempt, if its worker gave no sign of life since it was sent."""
        if attempt.endpoint.last_heard_at < attempt.sent_at and not attempt.has_recorded_failure:
            attempt.has_recorded_failure = True
            attempt.no_start_recorded_at = self._clock.now
            self.record_failure(attempt.endpoint, SuspicionReason.NO_START)

    def record_no_progress(self, attempt: Attempt) -> None:
        """Record a failure for a running attempt whose progress reports have stopped."""
        self.record_failure(attempt.endpoint, SuspicionReason.NO_PROGRESS)

    def record_progress(self, attempt: Attempt, fraction_done: float) -> None:
        """Record a failure, once, for a running attempt that is far slower than usual for its class."""
        now = self._clock.now
        request = attempt.request
        run_times = self._estimates.run_times[request.service_class.name]
        slow_run = SLOW_RUN_PER_HINT * request.work_hint or run_times.long_run_time(now)
        projected_run = (now - attempt.started_at) / max(fraction_done, MIN_FRACTION_DONE)
        if attempt.started_at and projected_run > slow_run and not attempt.has_recorded_failure:
            attempt.has_recorded_failure = True
            self.record_failure(attempt.endpoint, SuspicionReason.SLOW_PROGRESS)

    def record_error(self, request: Request, endpoint: Endpoint, may_retry: bool) -> None:
        """Attribute an error response to the request or to the endpoint.

        The request is at fault if it fails at a second endpoint that is not suspected. The endpoint is at
        fault once the request has succeeded elsewhere (`record_success`), or at once if the request cannot be
        sent again.
        """
        # A client that sends requests which fail at any worker would make the workers that run them
        # suspected, and soon every worker (test_a_flood_of_requests_that_fail_anywhere_suspects_no_worker).
        # So an error is not yet attributed to the endpoint while the request may be retried, and a single
        # error is never attributed to it while most errors were attributed to requests.
        now = self._clock.now
        if is_suspected(endpoint, now):  # the error says nothing about the request
            self.record_failure(endpoint, SuspicionReason.ERROR)
        elif any([earlier is not endpoint for earlier in request.error_endpoints]):
            request.fails_anywhere = True
            request.error_endpoints = []
            self._request_errors.add(1.0, now)
        elif may_retry:
            request.error_endpoints.append(endpoint)
        elif self._request_errors.read(now) <= max(
            MAX_REQUEST_ERRORS_TO_BLAME_ENDPOINT, self._endpoint_errors.read(now)
        ):
            self.record_failure(endpoint, SuspicionReason.ERROR)

    def record_ratings(self, renewed: int) -> None:
        """Process an update of load ratings, of which `renewed` differ from the previous ones.

        The rating of a worker that takes requests but does not run them stays the same while most others
        change.
        """
        ready = self._endpoints.candidates.get(None, [])
        if 2 * renewed <= len(ready):
            return
        for endpoint in ready:
            endpoint.stale_ratings += endpoint.load > 0.0
            if endpoint.stale_ratings == MAX_STALE_RATINGS:
                self._log_suspicion(endpoint, SuspicionReason.STALE_RATING)

    # --- what clears an endpoint

    def record_success(self, attempt: Attempt) -> None:
        """Record a successful attempt; earlier errors of its request are attributed to their endpoints."""
        now = self._clock.now
        endpoint = attempt.endpoint
        endpoint.last_heard_at = now
        endpoint.successes.add(1.0, now)
        # A worker that has recovered must not stay suspected because of the failures of its outage. One
        # success clears one failure, two clear two (test_a_success_halves_the_recorded_failures_of_a_worker).
        endpoint.failures.add(-FAILURES_LOST_BY_SUCCESS * endpoint.failures.read(now), now)
        for failed_endpoint in attempt.request.error_endpoints:
            self._endpoint_errors.add(1.0, now)
            self.record_failure(failed_endpoint, SuspicionReason.ERROR)

    def record_start(self, attempt: Attempt) -> None:
        """Undo the decayed failure that was recorded for the missing start of an attempt that was only late.

        Subtracting the whole failure, or subtracting it again when a start is reported twice, made the count
        negative, so that a worker that then began to fail was not suspected
        (test_a_late_start_takes_back_no_more_than_is_left_of_its_failure).
        """
        if not attempt.no_start_recorded_at:
            return
        now = self._clock.now
        failures = attempt.endpoint.failures
        remaining = exp((attempt.no_start_recorded_at - now) / HEALTH_MEMORY)
        failures.add(-min(remaining, failures.read(now)), now)
        attempt.no_start_recorded_at = 0

    # --- log events

    def _log_suspicion(self, endpoint: Endpoint, reason: SuspicionReason) -> None:
        self._commands.log(WorkerSuspected(endpoint.id, reason))
        self._suspected_since.setdefault(endpoint, self._clock.now)

    def log_cleared(self) -> None:
        """Log the suspicions that have ended since the last call; called in each step."""
        if not self._suspected_since:
            return
        now = self._clock.now
        for endpoint, since in list(self._suspected_since.items()):
            failures = endpoint.failures.peek(now)
            if endpoint.state == EndpointState.GONE:
                del self._suspected_since[endpoint]  # nothing is sent there anyway
            elif endpoint.stale_ratings < MAX_STALE_RATINGS and failures < MIN_FAILURES_TO_SUSPECT:
                del self._suspected_since[endpoint]
                suspected_ms = (now - since) // MICROSECONDS_PER_MILLISECOND
                self._commands.log(WorkerCleared(endpoint.id, suspected_ms))

    # --- probes

    def admits_probe(self, endpoint: Endpoint) -> bool:
        """Draw, at most once in `PROBE_INTERVAL`, whether a suspected endpoint is sent a probe."""
        now = self._clock.now
        if now < endpoint.probed_at + PROBE_INTERVAL:
            return False
        endpoint.probed_at = now
        successes = min(MAX_COUNT_IN_PROBE_DRAW, round(endpoint.successes.read(now)))
        failures = min(MAX_COUNT_IN_PROBE_DRAW, round(endpoint.failures.read(now)) + endpoint.stale_ratings)
        return draw_beta(self._random, 1 + successes, 1 + failures) > MIN_HEALTH_FOR_PROBE

    def suspects_most(self) -> bool:
        """Return whether more than half of the ready endpoints are suspected.

        A fault outside the workers makes all of them suspected. If none of them were used, every request
        would be rejected (test_requests_are_sent_while_every_worker_is_suspected).
        """
        now = self._clock.now
        ready = self._endpoints.candidates[None]
        return 2 * sum([is_suspected(endpoint, now) for endpoint in ready]) > len(ready)
