"""Retry budget: how many attempts in doubt may be cancelled for a retry.

The budget is a count of retries. Each retry that is sent takes one. A retry that starts promptly has found
a better place and returns its one. Each success earns a tenth, so that in the long run at most a tenth of
what succeeds is followed by retries that gain nothing. While the budget is under one, attempts in doubt are
left to themselves.

A retry after an attempt that has ended by itself, as by a reset, takes one as well but is never held back,
so the count may go below zero.
"""

from locktide.scheduler.state import Attempt

#: The most retries that are saved up, and those at the start: a dispatcher that meets a sudden fault of some
#: workers can retry that many requests at once.
MAX_RETRY_BUDGET = 10.0
#: What a success earns, in retries.
EARNED_BY_SUCCESS = 0.1


class RetryBudget:
    """Counts the retries that are left."""

    def __init__(self) -> None:
        self._left = MAX_RETRY_BUDGET

    def allows_retry(self) -> bool:
        """Return whether there is a retry left."""
        return self._left >= 1.0

    def on_sent(self, attempt: Attempt) -> None:
        """Take a retry from the budget."""
        if attempt.is_retry:
            self._left -= 1.0

    def on_prompt_start(self, attempt: Attempt) -> None:
        """Return the retry, which found a better place."""
        if attempt.is_retry:
            self._earn(1.0)

    def on_success(self) -> None:
        """Earn a part of a retry."""
        self._earn(EARNED_BY_SUCCESS)

    def on_unsent(self, attempt: Attempt) -> None:
        """Return a retry of which no last byte was sent."""
        self._left += attempt.is_retry

    def _earn(self, amount: float) -> None:
        self._left = min(MAX_RETRY_BUDGET, self._left + amount)
