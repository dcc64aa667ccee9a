"""Retries: when an attempt in doubt is cancelled for one, and how long a request waits before it.

An attempt in doubt (`attempt_timeouts`) is cancelled, so that its request may be sent elsewhere, if
- one more attempt is allowed (`retry_eligibility`),
- the retry budget allows it (`retry_budget`), and
- the request is idempotent, or the attempt is as good as lost: what may be repeated in few places only
  would most likely give up its place in a queue for a worse one.

Backoff: after a worker was full, a request waits a part of its queue timeout, so that the attempts it may
have last for the whole of it. What comes back to the pool gets its queue timeout anew, but no more than its
deadline allows. Spans are in microseconds.
"""

from locktide.scheduler.commands import CancelAttempt
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.retry_budget import RetryBudget
from locktide.scheduler.policy.retry_eligibility import may_attempt
from locktide.scheduler.state import ActiveConfig, Attempt, Clock, CommandBuffer, Request


class RetryPolicy:
    """Cancels attempts in whose place a retry pays, and sets how long a request waits for its next."""

    def __init__(
        self, *, clock: Clock, config: ActiveConfig, commands: CommandBuffer, shedder: LoadShedder
    ) -> None:
        self._clock = clock
        self._config = config
        self._commands = commands
        self._shedder = shedder
        self.budget = RetryBudget()

    def may_attempt(self, request: Request) -> bool:
        """Return whether one more attempt of the request is allowed at all."""
        return may_attempt(request, self._clock.now, self._config.current.retry.max_attempts)

    def on_not_run(self, attempt: Attempt, is_unsent: bool) -> None:
        """Account for an attempt that is proven not to have run."""
        # A request for which nobody waits would fail as soon as a few workers in a row were full, and one
        # that only workers of a lost zone may have would use up its attempts within milliseconds of refused
        # connections. Neither counts such attempts, so that it waits until a worker can have it
        # (test_request_confined_to_a_lost_zone_waits_for_it_without_using_up_its_attempts).
        request = attempt.request
        is_free = is_unsent and not self._config.current.retry.counts_unsent
        request.uncounted_attempts += is_free or request.is_background
        if is_free and not request.is_background:
            self.budget.on_unsent(attempt)
        request.possibly_executed.remove(attempt)

    def cancel_if_retry_pays(self, attempt: Attempt, is_presumed_lost: bool) -> bool:
        """Make room for a retry in the place of an attempt in doubt.

        Returns:
            Whether nothing but the retry budget stood against it, so that it may pay later.
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
        """Cancel an attempt, where that can be done."""
        if self._config.current.retry.can_cancel:
            attempt.cancelled_at = attempt.cancelled_at or self._clock.now
            self._commands.add(CancelAttempt(attempt.request.id, attempt.number))

    def back_off(self, request: Request) -> None:
        """Let the request wait before its next attempt, after a worker was full."""
        # While every worker is full, a request would otherwise use up its attempts in a small part of its
        # queue timeout and fail, though a worker has capacity soon after
        # (test_a_request_that_was_refused_as_full_pauses_before_its_next_attempt).
        timeout = self._shedder.queue_timeout(request)
        request.not_before = self._clock.now + timeout // self._config.current.retry.max_attempts

    def renew_queue_deadline(self, request: Request) -> None:
        """Let the request, which comes back to the pool, wait for its queue timeout once more.

        A background request waits for as long as another attempt may follow: without that end it waited for
        its own deadline (test_background_job_is_failed_once_its_repeats_are_no_longer_dropped).
        """
        if request.is_background:
            request.queue_deadline = self._shedder.end_of_repeats(request)
            return
        renewed = self._clock.now + self._shedder.queue_timeout(request)
        renewed = min(self._shedder.latest_queue_deadline(request), renewed)
        request.queue_deadline = max(request.queue_deadline, renewed)
