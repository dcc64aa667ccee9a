"""Retries: which further attempts there may be, and which pay."""

from locktide.scheduler.commands import CancelAttempt
from locktide.scheduler.policy.repeat_rules import repeats_until
from locktide.scheduler.state import ActiveConfig, Attempt, Clock, CommandBuffer, Request

MAX_RETRY_BUDGET = 10.0  # ten let a dispatcher meet a sudden trouble at once


class RetryPolicy:
    """Keeps the retry budget, and cancels attempts in whose place a retry pays."""

    def __init__(self, clock: Clock, config: ActiveConfig, commands: CommandBuffer) -> None:
        self._clock = clock
        self._config = config
        self._commands = commands
        self._budget = MAX_RETRY_BUDGET

    def may_attempt(self, request: Request) -> bool:
        """Whether one more attempt of the request is allowed at all."""
        if len(request.attempts) - request.uncounted_attempts >= self._config.current.retry.max_attempts:
            return False
        if not request.possibly_executed:
            return True
        return not request.is_at_most_once and not 0 < repeats_until(request) <= self._clock.now

    def on_sent(self, attempt: Attempt) -> None:
        """Takes a retry from the budget."""
        if attempt.is_retry:
            self._budget -= 1.0

    def on_prompt_start(self, attempt: Attempt) -> None:
        """The retry found a better place: the next is paid for."""
        if attempt.is_retry:
            self._budget = min(MAX_RETRY_BUDGET, self._budget + 1.0)

    def on_success(self) -> None:
        """A tenth of what goes well may be followed by a retry all the same."""
        self._budget = min(MAX_RETRY_BUDGET, self._budget + 0.1)

    def on_not_run(self, attempt: Attempt, is_unsent: bool) -> None:
        """Keeps account of an attempt that is proven not to have run."""
        # Guards against giving up a job for which nobody waits, as four workers at once had no room; and
        # against using up all attempts within milliseconds where a zone is lost and only the lost may have
        # what may have run. Both wait until there is one.
        request, is_free = attempt.request, is_unsent and not self._config.current.retry.counts_unsent
        request.uncounted_attempts += is_free or request.is_background
        if is_free and not request.is_background:
            self._budget += attempt.is_retry
        request.possibly_executed.remove(attempt)

    def cancel_if_retry_pays(self, attempt: Attempt) -> None:
        """Makes room for a retry in the place of an attempt in doubt, while such ones pay."""
        request = attempt.request
        # Guards against giving up a place for a worse one: bound work waits until it is as good as lost.
        is_lost = attempt.started_at or self._clock.now >= attempt.presumed_lost_at
        is_bound = not request.is_idempotent and not is_lost
        if self.may_attempt(request) and self._budget >= 1.0 and not is_bound:
            self.cancel(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt, where that can be done."""
        if self._config.current.retry.can_cancel:
            self._commands.add(CancelAttempt(attempt.request.id, attempt.number))
