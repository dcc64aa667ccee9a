"""Retry budget: how many overdue attempts may be cancelled for a retry.

The budget is a number of retries. Each retry that is sent takes one from the budget. A retry that starts
promptly has found a better worker and returns one. Each success adds a tenth, so that in the long run there
is at most one useless retry for every ten successes. While the budget is less than one, overdue attempts are
not cancelled.

A retry after an attempt that has ended by itself, for example by a reset, also takes one from the budget but
is never held back, so the budget may become negative.
"""

from locktide.scheduler.state import Attempt

#: Maximum and initial budget: the number of requests that can be retried at once after a sudden fault of some
#: workers.
MAX_RETRY_BUDGET = 10.0
#: Retries that a success adds to the budget.
EARNED_BY_SUCCESS = 0.1


class RetryBudget:
    """Counts the remaining retries."""

    def __init__(self) -> None:
        self._remaining = MAX_RETRY_BUDGET

    def allows_retry(self) -> bool:
        """Return whether the budget has a whole retry left."""
        return self._remaining >= 1.0

    def on_sent(self, attempt: Attempt) -> None:
        """Take one from the budget if the attempt is a retry."""
        if attempt.is_retry:
            self._remaining -= 1.0

    def on_prompt_start(self, attempt: Attempt) -> None:
        """Return one to the budget if the attempt is a retry, as it has found a better worker."""
        if attempt.is_retry:
            self._earn(1.0)

    def on_success(self) -> None:
        """Add the budget that a success earns."""
        self._earn(EARNED_BY_SUCCESS)

    def on_unsent(self, attempt: Attempt) -> None:
        """Return one to the budget for a retry whose last byte was never sent."""
        self._remaining += attempt.is_retry

    def _earn(self, amount: float) -> None:
        self._remaining = min(MAX_RETRY_BUDGET, self._remaining + amount)
