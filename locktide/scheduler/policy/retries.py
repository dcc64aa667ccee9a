"""Retries: when an overdue attempt is cancelled for a retry, and how long a request waits before the retry.

An overdue attempt (`attempt_timeouts`) is cancelled, so that its request can be sent elsewhere, if
- one more attempt is allowed (`retry_eligibility`),
- the retry budget allows it (`retry_budget`), and
- the request is idempotent, or the attempt is presumed lost. A request that may be repeated only at few
  workers would most likely give up its place in a queue for a worse one.

Back-off: after a worker was full, a request waits a fraction of its queue timeout, so that its attempts last
for the whole queue timeout. A request that returns to the pool gets its full queue timeout again, as far as
its deadline allows. Time spans are in microseconds.
"""

from locktide.scheduler.commands import CancelAttempt
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.retry_budget import RetryBudget
from locktide.scheduler.policy.retry_eligibility import may_attempt
from locktide.scheduler.state import ActiveConfig, Attempt, Clock, CommandBuffer, Request


class RetryPolicy:
    """Cancels attempts if a retry is worthwhile, and sets how long requests wait for their next attempt."""

    def __init__(
        self, *, clock: Clock, config: ActiveConfig, commands: CommandBuffer, shedder: LoadShedder
    ) -> None:
        self._clock = clock
        self._config = config
        self._commands = commands
        self._shedder = shedder
        self.budget = RetryBudget()

    def may_attempt(self, request: Request) -> bool:
        """Return whether one more attempt of the request is allowed."""
        return may_attempt(request, self._clock.now, self._config.current.retry.max_attempts)

    def on_not_run(self, attempt: Attempt, is_unsent: bool) -> None:
        """Account for an attempt that is proven not to have run."""
        # If such attempts counted, a background request would fail as soon as a few workers in a row were
        # full, and a request that is confined to a lost zone would use up its attempts within milliseconds of
        # refused connections. Both have to wait until a worker can take them
        # (test_request_confined_to_a_lost_zone_waits_for_it_without_using_up_its_attempts).
        request = attempt.request
        is_uncounted = is_unsent and not self._config.current.retry.counts_unsent
        request.uncounted_attempts += is_uncounted or request.is_background
        if is_uncounted and not request.is_background:
            self.budget.on_unsent(attempt)
        request.possibly_executed.remove(attempt)

    def cancel_if_retry_pays(self, attempt: Attempt, is_presumed_lost: bool) -> bool:
        """Cancel an overdue attempt if a retry is allowed and worthwhile.

        Returns:
            Whether only the retry budget prevented the cancellation, so that a later check may succeed.
        """
        request = attempt.request
        must_stay = not request.is_idempotent and not is_presumed_lost
        if must_stay or not self.may_attempt(request):
            return False
        if not self.budget.allows_retry():
            return True
        self.cancel(attempt)
        return False

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt, if attempts can be cancelled."""
        if self._config.current.retry.can_cancel:
            attempt.cancelled_at = attempt.cancelled_at or self._clock.now
            self._commands.add(CancelAttempt(attempt.request.id, attempt.number))

    def back_off(self, request: Request) -> None:
        """Delay the next attempt of the request after a worker was full."""
        # Without the delay, while every worker is full, a request would use up its attempts in a small part
        # of its queue timeout and fail, although a worker has capacity soon after
        # (test_a_request_that_was_refused_as_full_pauses_before_its_next_attempt).
        timeout = self._shedder.queue_timeout(request)
        request.not_before = self._clock.now + timeout // self._config.current.retry.max_attempts

    def renew_queue_deadline(self, request: Request) -> None:
        """Restart the queue timeout of a request that returns to the pool.

        A background request waits only while another attempt is allowed. Otherwise it would wait until its
        deadline although it can no longer be sent
        (test_background_job_is_failed_once_its_repeats_are_no_longer_dropped).
        """
        if request.is_background:
            request.queue_deadline = self._shedder.repeat_deadline(request)
            return
        renewed = self._clock.now + self._shedder.queue_timeout(request)
        renewed = min(self._shedder.latest_queue_deadline(request), renewed)
        request.queue_deadline = max(request.queue_deadline, renewed)
