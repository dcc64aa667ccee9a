"""What is heard of attempts, from their sending to their end."""

from dataclasses import dataclass

from locktide.scheduler.events import AttemptEnded, AttemptProgressed, AttemptSent, AttemptStarted
from locktide.scheduler.policy.attempt_timeouts import AttemptTimeouts
from locktide.scheduler.policy.concurrency_limit import ConcurrencyLimiter
from locktide.scheduler.policy.endpoint_list import EndpointList
from locktide.scheduler.policy.outlier_detection import OutlierDetector
from locktide.scheduler.policy.request_lifecycle import RequestLifecycle
from locktide.scheduler.policy.retries import RetryPolicy
from locktide.scheduler.state import (
    ActiveConfig,
    Attempt,
    Clock,
    FleetEstimates,
    OpenAttempts,
    RequestPool,
    Timers,
)
from locktide.scheduler.types import PROVEN_NOT_RUN, UNINFORMATIVE, UNSENT, AttemptOutcome, SuspicionReason

# Bound once: an access through the enum class costs 0.2 to 0.3 us on Python 3.11.
DONE, ERROR, FULL = AttemptOutcome.DONE, AttemptOutcome.ERROR, AttemptOutcome.FULL
RESET, NO_CONNECTION = AttemptOutcome.RESET, AttemptOutcome.NO_CONNECTION
RESPONDED = (DONE, ERROR, FULL)  # the connection is free for another attempt


@dataclass(eq=False)
class AttemptOutcomes:
    """Tells the mechanisms what each attempt has met."""

    clock: Clock
    config: ActiveConfig
    requests: RequestPool
    attempts: OpenAttempts
    estimates: FleetEstimates
    timers: Timers
    timeouts: AttemptTimeouts
    endpoint_list: EndpointList
    lifecycle: RequestLifecycle
    retries: RetryPolicy
    limiter: ConcurrencyLimiter
    outliers: OutlierDetector

    def on_sent(self, event: AttemptSent) -> None:
        """Counts from when the last byte went out."""
        if attempt := self.requests.find_attempt(event.request_id, event.attempt):
            # Guards against a new connection that makes prompt starts look late.
            attempt.sent_at = self.clock.now

    def on_started(self, event: AttemptStarted) -> None:
        """Takes note that an endpoint runs the attempt."""
        now = self.clock.now
        if (attempt := self.requests.find_attempt(event.request_id, event.attempt)) is None:
            return
        endpoint = attempt.endpoint
        attempt.started_at = attempt.last_heard_at = endpoint.last_heard_at = now
        self.estimates.observe_running(endpoint)
        if attempt.failure_recorded:  # it was slow to say so, not silent
            endpoint.failures.add(-1.0, now)
        if interval := self.config.current.progress.report_interval:
            self.timers.set(interval * 3 // 2, attempt)
        self._on_first_sign(attempt, now - attempt.sent_at <= self.timeouts.prompt_start)

    def on_progress(self, event: AttemptProgressed) -> None:
        """Takes note of progress, and of an endpoint that is slow at it."""
        now = self.clock.now
        if (attempt := self.requests.find_attempt(event.request_id, event.attempt)) is None:
            return
        request = attempt.request
        attempt.last_heard_at = attempt.endpoint.last_heard_at = now
        # Four times a hint, or three deviations over the usual run, is past a sound worker and common sizes.
        long = 4.0 * request.work_hint or self.estimates.run_times[request.service_class.name].long(now)
        projected = (now - attempt.started_at) / max(event.fraction_done, 0.001)
        if attempt.started_at and projected > long and not attempt.failure_recorded:
            attempt.failure_recorded = True
            self.outliers.record_failure(attempt.endpoint, SuspicionReason.SLOW_PROGRESS)

    def on_ended(self, event: AttemptEnded) -> None:
        """Takes note of the outcome of an attempt, and lets its request go on."""
        now, outcome = self.clock.now, event.outcome
        attempt = self.requests.find_attempt(event.request_id, event.attempt)
        if attempt is None or attempt not in attempt.request.in_flight:
            return
        request, endpoint = attempt.request, attempt.endpoint
        self.attempts.close(attempt, keeps_connection=outcome in RESPONDED)
        self.limiter.rest(endpoint, now - attempt.sent_at)
        self.endpoint_list.close_idle_connections(endpoint)
        if outcome not in UNINFORMATIVE:
            self._on_first_sign(attempt, outcome == DONE)
        endpoint.unstarted.pop(attempt, None)
        if outcome == DONE:
            self._on_done(attempt)
        else:
            self._on_failed(attempt, outcome)
        if not request.is_answered:
            self.lifecycle.on_attempt_ended(request, event.final)
        elif not request.in_flight:
            self.requests.forget(request)

    def check(self, attempt: Attempt) -> None:
        """At a timer: the attempt should have given a sign by now."""
        if attempt.request.is_answered:
            return
        now, endpoint = self.clock.now, attempt.endpoint
        interval = self.config.current.progress.report_interval
        if not attempt.started_at:
            # A queue moves within twice the usual run; before that, no start is no one's fault.
            suspect_at = attempt.sent_at + 2 * int(self.estimates.usual_run_time(attempt.request))
            if now < suspect_at:
                self.timers.set(suspect_at - now, attempt)
            elif endpoint.last_heard_at < attempt.sent_at and not attempt.failure_recorded:
                attempt.failure_recorded = True
                self.outliers.record_failure(endpoint, SuspicionReason.NO_START)
            if suspect_at <= now < attempt.presumed_lost_at:
                self.timers.set(attempt.presumed_lost_at - now, attempt)
            self.retries.cancel_if_retry_pays(attempt)
        # One and a half: a progress report may be late by the network, never by half its interval.
        elif interval and now - attempt.last_heard_at > interval * 3 // 2:
            self.outliers.record_failure(endpoint, SuspicionReason.NO_PROGRESS)
            self.retries.cancel_if_retry_pays(attempt)
        elif interval:
            self.timers.set(interval * 3 // 2, attempt)

    def _on_first_sign(self, attempt: Attempt, is_prompt: bool) -> None:
        """It started, or ended before we heard that it had."""
        if attempt not in attempt.endpoint.unstarted:
            return
        del attempt.endpoint.unstarted[attempt]
        if is_prompt:
            self.retries.on_prompt_start(attempt)
        self.limiter.adjust(attempt, is_prompt)

    def _on_done(self, attempt: Attempt) -> None:
        if attempt.started_at:
            self.estimates.observe_run_time(attempt)
        self.outliers.record_success(attempt.endpoint)
        self.outliers.record_recovery(attempt.request)
        self.retries.on_success()

    def _on_failed(self, attempt: Attempt, outcome: str) -> None:
        request, endpoint = attempt.request, attempt.endpoint
        if outcome == ERROR:
            self.outliers.record_error(request, endpoint, self.retries.may_attempt(request))
        elif outcome == RESET:
            self.outliers.record_failure(endpoint, SuspicionReason.RESET)
        elif outcome == NO_CONNECTION:
            self.outliers.record_failure(endpoint, SuspicionReason.NO_CONNECTION)
        elif outcome == FULL:
            endpoint.last_heard_at = self.clock.now
            self.limiter.on_full(endpoint, self.estimates.usual_run_time(request))
            self.lifecycle.pause(request)
        if outcome == NO_CONNECTION:
            self.limiter.on_refused(endpoint)
        if outcome in PROVEN_NOT_RUN:
            self.retries.on_not_run(attempt, is_unsent=outcome in UNSENT)
