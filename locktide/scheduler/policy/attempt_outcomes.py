"""What is heard of attempts, from their sending to their end."""

from locktide.scheduler.events import AttemptEnded, AttemptProgressed, AttemptSent, AttemptStarted
from locktide.scheduler.policy.concurrency_limit import ConcurrencyLimiter
from locktide.scheduler.policy.endpoint_list import close_idle_connections
from locktide.scheduler.policy.outlier_detection import OutlierDetector
from locktide.scheduler.policy.request_lifecycle import RequestLifecycle
from locktide.scheduler.policy.retries import RetryPolicy
from locktide.scheduler.state import Attempt, SchedulerState
from locktide.scheduler.types import PROVEN_NOT_RUN, UNINFORMATIVE, UNSENT, AttemptOutcome, SuspicionReason

# Bound once: an access through the enum class costs 0.2 to 0.3 us on Python 3.11.
DONE, ERROR, FULL = AttemptOutcome.DONE, AttemptOutcome.ERROR, AttemptOutcome.FULL
RESET, NO_CONNECTION = AttemptOutcome.RESET, AttemptOutcome.NO_CONNECTION
RESPONDED = (DONE, ERROR, FULL)  # the connection is free for another attempt


class AttemptOutcomes:
    """Tells the mechanisms what each attempt has met."""

    def __init__(
        self,
        state: SchedulerState,
        lifecycle: RequestLifecycle,
        retries: RetryPolicy,
        limiter: ConcurrencyLimiter,
        outliers: OutlierDetector,
    ) -> None:
        self._state, self._lifecycle, self._retries = state, lifecycle, retries
        self._limiter, self._outliers = limiter, outliers

    def on_sent(self, event: AttemptSent) -> None:
        """Counts from when the last byte went out."""
        if attempt := self._state.find_attempt(event.request_id, event.attempt):
            # Guards against a new connection that makes prompt starts look late.
            attempt.sent_at = self._state.now

    def on_started(self, event: AttemptStarted) -> None:
        """Takes note that an endpoint runs the attempt."""
        state = self._state
        if (attempt := state.find_attempt(event.request_id, event.attempt)) is None:
            return
        endpoint = attempt.endpoint
        attempt.started_at = attempt.last_heard_at = endpoint.last_heard_at = state.now
        state.observe_running(endpoint)
        if attempt.failure_recorded:  # it was slow to say so, not silent
            endpoint.failures.add(-1.0, state.now)
        if interval := state.config.progress.report_interval:
            state.set_timer(interval * 3 // 2, attempt)
        self._on_first_sign(attempt, state.now - attempt.sent_at <= state.prompt_start)

    def on_progress(self, event: AttemptProgressed) -> None:
        """Takes note of progress, and of an endpoint that is slow at it."""
        state = self._state
        if (attempt := state.find_attempt(event.request_id, event.attempt)) is None:
            return
        request = attempt.request
        attempt.last_heard_at = attempt.endpoint.last_heard_at = state.now
        # Four times a hint, or three deviations over the usual run, is past a sound worker and common sizes.
        long = 4.0 * request.work_hint or state.run_times[request.service_class.name].long(state.now)
        projected = (state.now - attempt.started_at) / max(event.fraction_done, 0.001)
        if attempt.started_at and projected > long and not attempt.failure_recorded:
            attempt.failure_recorded = True
            self._outliers.record_failure(attempt.endpoint, SuspicionReason.SLOW_PROGRESS)

    def on_ended(self, event: AttemptEnded) -> None:
        """Takes note of the outcome of an attempt, and lets its request go on."""
        state, outcome = self._state, event.outcome
        attempt = state.find_attempt(event.request_id, event.attempt)
        if attempt is None or attempt not in attempt.request.in_flight:
            return
        request, endpoint = attempt.request, attempt.endpoint
        state.close_attempt(attempt, keeps_connection=outcome in RESPONDED)
        self._limiter.rest(endpoint, state.now - attempt.sent_at)
        close_idle_connections(state, endpoint)
        if outcome not in UNINFORMATIVE:
            self._on_first_sign(attempt, outcome == DONE)
        endpoint.unstarted.pop(attempt, None)
        if outcome == DONE:
            self._on_done(attempt)
        else:
            self._on_failed(attempt, outcome)
        if not request.is_answered:
            self._lifecycle.on_attempt_ended(request, event.final)
        elif not request.in_flight:
            del state.requests[request.id]

    def check(self, attempt: Attempt) -> None:
        """At a timer: the attempt should have given a sign by now."""
        if attempt.request.is_answered:
            return
        state, endpoint, interval = self._state, attempt.endpoint, self._state.config.progress.report_interval
        if not attempt.started_at:
            # A queue moves within twice the usual run; before that, no start is no one's fault.
            suspect_at = attempt.sent_at + 2 * int(state.usual_run_time(attempt.request))
            if state.now < suspect_at:
                state.set_timer(suspect_at - state.now, attempt)
            elif endpoint.last_heard_at < attempt.sent_at and not attempt.failure_recorded:
                attempt.failure_recorded = True
                self._outliers.record_failure(endpoint, SuspicionReason.NO_START)
            if suspect_at <= state.now < attempt.presumed_lost_at:
                state.set_timer(attempt.presumed_lost_at - state.now, attempt)
            self._retries.cancel_if_retry_pays(attempt)
        # One and a half: a progress report may be late by the network, never by half its interval.
        elif interval and state.now - attempt.last_heard_at > interval * 3 // 2:
            self._outliers.record_failure(endpoint, SuspicionReason.NO_PROGRESS)
            self._retries.cancel_if_retry_pays(attempt)
        elif interval:
            state.set_timer(interval * 3 // 2, attempt)

    def _on_first_sign(self, attempt: Attempt, is_prompt: bool) -> None:
        """It started, or ended before we heard that it had."""
        if attempt not in attempt.endpoint.unstarted:
            return
        del attempt.endpoint.unstarted[attempt]
        if is_prompt:
            self._retries.on_prompt_start(attempt)
        self._limiter.adjust(attempt, is_prompt)

    def _on_done(self, attempt: Attempt) -> None:
        if attempt.started_at:
            self._state.observe_run_time(attempt)
        self._outliers.record_success(attempt.endpoint)
        self._outliers.record_recovery(attempt.request)
        self._retries.on_success()

    def _on_failed(self, attempt: Attempt, outcome: str) -> None:
        request, endpoint = attempt.request, attempt.endpoint
        if outcome == ERROR:
            self._outliers.record_error(request, endpoint, self._retries.may_attempt(request))
        elif outcome == RESET:
            self._outliers.record_failure(endpoint, SuspicionReason.RESET)
        elif outcome == NO_CONNECTION:
            self._outliers.record_failure(endpoint, SuspicionReason.NO_CONNECTION)
        elif outcome == FULL:
            endpoint.last_heard_at = self._state.now
            self._limiter.on_full(endpoint, self._state.usual_run_time(request))
            self._lifecycle.pause(request)
        if outcome == NO_CONNECTION:
            self._limiter.on_refused(endpoint)
        if outcome in PROVEN_NOT_RUN:
            self._retries.on_not_run(attempt, is_unsent=outcome in UNSENT)
