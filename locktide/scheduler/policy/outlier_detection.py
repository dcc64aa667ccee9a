"""Outlier detection: which endpoints are suspected of being unhealthy, and when one is sent a probe.

Each endpoint has two decaying counts, of successes and of failures (`HEALTH_MEMORY`). It is suspected while
its failures are at least `MIN_FAILURES_TO_SUSPECT`, or while its load rating was not renewed for
`MAX_STALE_RATINGS` renewals of most others. A suspected endpoint is sent probes only, drawn at most once in
`PROBE_INTERVAL` with a probability that follows its record; where most endpoints are suspected, suspicion
tells nothing and all are used.

Suspects: no connection, a reset, an error response that is not the request's own fault, no start and no
sign of life, no progress report, progress far slower than its class usually makes, a stale rating. Clears:
a success halves the failures, a start that was only late takes its failure back, a renewed rating ends that
reason at once, and time fades every count.
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
#: Decayed failures from which an endpoint is suspected: one failure suspects it for seven seconds (ln 2 of
#: `HEALTH_MEMORY`), unless a success comes first.
MIN_FAILURES_TO_SUSPECT = 0.5
#: Renewals of most ratings without one of its own from which an endpoint is suspected: one may be missed.
MAX_STALE_RATINGS = 2
#: The part of its successes that an endpoint loses by a failure.
SUCCESSES_LOST_BY_FAILURE = 0.75
#: The part of its failures that an endpoint loses by a success.
FAILURES_LOST_BY_SUCCESS = 0.5
#: Times its hint beyond which a run is slow: past a sound worker and a rough hint.
SLOW_RUN_PER_HINT = 4.0
#: The least fraction done that a run is projected from, so that the first report of nothing done divides by
#: something.
MIN_FRACTION_DONE = 0.001
#: Time between two draws for a probe of one endpoint, in microseconds.
PROBE_INTERVAL = 1_000_000
#: The most successes, and failures, that a draw for a probe counts; more of them change its odds no further.
MAX_COUNT_IN_PROBE_DRAW = 8
#: The drawn health from which the probe is sent.
MIN_HEALTH_FOR_PROBE = 0.5
#: Decayed errors that were found to be requests' own up to which a single error still counts as the
#: endpoint's.
MAX_REQUEST_ERRORS_TO_BLAME_ENDPOINT = 0.5


def is_suspected(endpoint: Endpoint, now: int) -> bool:
    """Return whether it failed lately, or its rating is stale."""
    return (
        endpoint.stale_ratings >= MAX_STALE_RATINGS or endpoint.failures.read(now) >= MIN_FAILURES_TO_SUSPECT
    )


class OutlierDetector:
    """Keeps the health record of each endpoint, and tells workers' errors from requests' own."""

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
        # Errors lately found to be a request's own, or an endpoint's.
        self._request_errors = DecayingSum(HEALTH_MEMORY)
        self._endpoint_errors = DecayingSum(HEALTH_MEMORY)
        self._suspected_since: dict[Endpoint, int] = {}  # what the log has named and not cleared since

    # --- what suspects an endpoint

    def record_failure(self, endpoint: Endpoint, reason: SuspicionReason) -> None:
        """Count a failure, which makes the endpoint suspected."""
        now = self._clock.now
        if not is_suspected(endpoint, now):
            self._log_suspicion(endpoint, reason)
        # A long good record would keep the probes of a worker going through a fresh outage, each of them an
        # attempt lost; a quarter of the record is left.
        endpoint.successes.add(-SUCCESSES_LOST_BY_FAILURE * endpoint.successes.read(now), now)
        endpoint.failures.add(1.0, now)

    def record_no_start(self, attempt: Attempt) -> None:
        """Count an attempt that has not started in time, if its worker gave no sign since it was sent."""
        if attempt.endpoint.last_heard_at < attempt.sent_at and not attempt.failure_recorded:
            attempt.failure_recorded = True
            attempt.no_start_at = self._clock.now
            self.record_failure(attempt.endpoint, SuspicionReason.NO_START)

    def record_no_progress(self, attempt: Attempt) -> None:
        """Count a running attempt whose progress reports have stopped."""
        self.record_failure(attempt.endpoint, SuspicionReason.NO_PROGRESS)

    def record_progress(self, attempt: Attempt, fraction_done: float) -> None:
        """Count a running attempt, once, that will take far longer than its class usually does."""
        now = self._clock.now
        request = attempt.request
        run_times = self._estimates.run_times[request.service_class.name]
        slow_run = SLOW_RUN_PER_HINT * request.work_hint or run_times.long(now)
        projected_run = (now - attempt.started_at) / max(fraction_done, MIN_FRACTION_DONE)
        if attempt.started_at and projected_run > slow_run and not attempt.failure_recorded:
            attempt.failure_recorded = True
            self.record_failure(attempt.endpoint, SuspicionReason.SLOW_PROGRESS)

    def record_error(self, request: Request, endpoint: Endpoint, may_retry: bool) -> None:
        """Count an error response against the request or the endpoint, whichever it tells about.

        The request is at fault if it fails at a second endpoint that is not suspected. The endpoint is,
        once the request has succeeded elsewhere (`record_success`), or at once where the request cannot be
        sent again.
        """
        # A client that sends requests which fail anywhere would have the workers at which they show
        # suspected, and soon every worker (test_a_flood_of_requests_that_fail_anywhere_suspects_no_worker).
        # So a request that may still be retried accuses nobody yet, and while most errors were requests'
        # own, one alone does not.
        now = self._clock.now
        if is_suspected(endpoint, now):  # its error says nothing about the request
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
        """Count an update of load ratings, of which `renewed` differ from those before.

        A worker that takes requests and does none of them keeps its rating while most others change.
        """
        ready = self._endpoints.candidates.get(None, [])
        if 2 * renewed <= len(ready):
            return
        for endpoint in ready:
            endpoint.stale_ratings += endpoint.load > 0.0
            if endpoint.stale_ratings == MAX_STALE_RATINGS:
                self._log_suspicion(endpoint, SuspicionReason.STALE_RATING)

    # --- what clears it

    def record_success(self, attempt: Attempt) -> None:
        """Count an attempt that ended well; endpoints at which its request had failed were at fault."""
        now = self._clock.now
        endpoint = attempt.endpoint
        endpoint.last_heard_at = now
        endpoint.successes.add(1.0, now)
        # A worker that has come back must not stay suspected for the failures of its outage. One success
        # clears one failure, two clear two (test_a_success_halves_the_recorded_failures_of_a_worker).
        endpoint.failures.add(-FAILURES_LOST_BY_SUCCESS * endpoint.failures.read(now), now)
        for failed_at in attempt.request.error_endpoints:
            self._endpoint_errors.add(1.0, now)
            self.record_failure(failed_at, SuspicionReason.ERROR)

    def record_start(self, attempt: Attempt) -> None:
        """Take back what is left of the failure of an attempt that was late to start, not lost.

        Taken back whole, or again at a start that is reported twice, it made the count negative: a worker
        that began to fail then was not suspected
        (test_a_late_start_takes_back_no_more_than_is_left_of_its_failure).
        """
        if not attempt.no_start_at:
            return
        now = self._clock.now
        failures = attempt.endpoint.failures
        left = exp((attempt.no_start_at - now) / HEALTH_MEMORY)
        failures.add(-min(left, failures.read(now)), now)
        attempt.no_start_at = 0

    # --- what the log says of it

    def _log_suspicion(self, endpoint: Endpoint, reason: SuspicionReason) -> None:
        self._commands.log(WorkerSuspected(endpoint.id, reason))
        self._suspected_since.setdefault(endpoint, self._clock.now)

    def log_cleared(self) -> None:
        """Log the suspicions that have ended since the last call; called with each step."""
        if not self._suspected_since:
            return
        now = self._clock.now
        for endpoint, since in list(self._suspected_since.items()):
            failures = endpoint.failures.peek(now)
            if endpoint.state == EndpointState.GONE:
                del self._suspected_since[endpoint]  # nothing is sent there, whatever its record
            elif endpoint.stale_ratings < MAX_STALE_RATINGS and failures < MIN_FAILURES_TO_SUSPECT:
                del self._suspected_since[endpoint]
                suspected_ms = (now - since) // MICROSECONDS_PER_MILLISECOND
                self._commands.log(WorkerCleared(endpoint.id, suspected_ms))

    # --- what a suspected endpoint is sent

    def admits_probe(self, endpoint: Endpoint) -> bool:
        """Draw whether a suspected endpoint is sent one more request, once in `PROBE_INTERVAL` at most."""
        now = self._clock.now
        if now < endpoint.probed_at + PROBE_INTERVAL:
            return False
        endpoint.probed_at = now
        successes = min(MAX_COUNT_IN_PROBE_DRAW, round(endpoint.successes.read(now)))
        failures = min(MAX_COUNT_IN_PROBE_DRAW, round(endpoint.failures.read(now)) + endpoint.stale_ratings)
        return draw_beta(self._random, 1 + successes, 1 + failures) > MIN_HEALTH_FOR_PROBE

    def suspects_most(self) -> bool:
        """Return whether more than half of the ready endpoints are suspected.

        A fault outside the workers suspects them all, and if none of them were used every request would be
        rejected (test_requests_are_sent_while_every_worker_is_suspected).
        """
        now = self._clock.now
        ready = self._endpoints.candidates[None]
        return 2 * sum([is_suspected(endpoint, now) for endpoint in ready]) > len(ready)
