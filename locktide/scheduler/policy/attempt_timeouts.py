"""Attempt timeouts: when an attempt has to report its start and progress, and what follows if it does not.

Where workers report starts, an attempt has to start, and then to report progress at each report interval.

- Prompt start: within a quarter of the shortest latency objective after the attempt was sent. A later start
  is late, which lowers the concurrency limit of the worker (`concurrency_limit`). While an attempt of ours is
  late at a worker, nothing else is sent there.
- First check: a fraction of the slack of the request after its command, but not while a start would still
  be prompt. If the attempt has not started, a retry may replace it (`retries`). The fraction leaves time for
  several more attempts.
- No start: two usual run times after the attempt was sent. If its worker has reported no start, progress or
  result of any attempt of ours since, and was not full, the worker is suspected.
- Presumed lost: half the timeout of its class after its command. An attempt that has not started by then
  seldom succeeds. From then on a retry may also replace the attempt of a request that may be repeated only at
  few workers.
- No progress: one and a half report intervals after the last report. The worker is suspected, and a retry may
  replace the attempt.

If only the retry budget prevents the retry at the last of these checks, the check is repeated every
`BUDGET_CHECK_INTERVAL`. All time spans are in microseconds.
"""

from dataclasses import dataclass, field

from locktide.scheduler.policy.outlier_detection import OutlierDetector
from locktide.scheduler.policy.placement_strategy import FleetLoad, PlacementStrategies
from locktide.scheduler.policy.retries import RetryPolicy
from locktide.scheduler.state import ActiveConfig, Attempt, Clock, FleetEstimates, Timers

# Bound once: an access through the enum class costs 0.2 to 0.3 us on Python 3.11.
UNKNOWN, FREE_CORES = FleetLoad.UNKNOWN, FleetLoad.FREE_CORES

#: A prompt start takes at most the shortest latency objective divided by this; a later start leaves little of
#: the objective.
OBJECTIVE_PER_PROMPT_START = 4
#: The first check follows after the slack divided by this, if the load of the fleet is unknown: time remains
#: for several more attempts.
SLACK_PER_FIRST_CHECK = 8
#: The same if ratings show that workers have free cores: the worker was drawn by its rating, so it is given
#: more time.
SLACK_PER_FIRST_CHECK_RATED = 3
#: The same if ratings show that no worker has free cores: queues are no shorter elsewhere, so the attempt is
#: given the whole slack.
SLACK_PER_FIRST_CHECK_RATED_BUSY = 1
#: Number of usual run times without a start after which a silent worker is suspected: a queue advances within
#: that time.
USUAL_RUNS_UNTIL_NO_START = 2
#: An attempt without a start is presumed lost after the timeout of its class divided by this: it seldom
#: succeeds in the remaining time, while a retry still can.
TIMEOUT_PER_PRESUMED_LOST = 2
#: Time until the next check of an attempt that is presumed lost while the retry budget is used up, in
#: microseconds: successes of other requests refill the budget.
BUDGET_CHECK_INTERVAL = 250_000
#: Longest time without a report of a running attempt, in halves of the report interval.
MAX_SILENCE_IN_HALF_INTERVALS = 3


@dataclass(eq=False)
class AttemptTimeouts:
    """Sets timers for attempts, and handles attempts without the expected report when a timer fires."""

    clock: Clock
    config: ActiveConfig
    estimates: FleetEstimates
    timers: Timers
    outliers: OutlierDetector
    retries: RetryPolicy
    strategies: PlacementStrategies
    prompt_start: int = field(default=0, init=False)  # longest time to a prompt start

    def configure(self) -> None:
        """Apply the configuration in force."""
        classes = self.config.service_classes.values()
        shortest_objective = min([each.latency_objective for each in classes])
        self.prompt_start = shortest_objective // OBJECTIVE_PER_PROMPT_START

    def is_prompt(self, attempt: Attempt) -> bool:
        """Return whether a start of the attempt at this moment is prompt."""
        return self.clock.now - attempt.sent_at <= self.prompt_start

    def expect_start(self, attempt: Attempt, slack: float) -> None:
        """Schedule the first check of an attempt being sent; `slack` is its request's slack on arrival."""
        first_check = int(slack) // self._slack_per_first_check()
        self.timers.set(max(self.prompt_start, first_check), attempt)

    def expect_progress(self, attempt: Attempt) -> None:
        """Schedule the check for the next progress report, if workers send progress reports."""
        if interval := self.config.current.progress.report_interval:
            self.timers.set(max_silence(interval), attempt)

    def check(self, attempt: Attempt) -> None:
        """Check whether an attempt whose timer has fired has started, or has reported progress."""
        if attempt.request.is_answered:
            return
        if attempt.started_at:
            self._check_progress(attempt)
        else:
            self._check_start(attempt)

    def _check_start(self, attempt: Attempt) -> None:
        now = self.clock.now
        no_start_due_at = self._no_start_due_at(attempt)
        lost_at = presumed_lost_at(attempt)
        is_lost = now >= lost_at
        if now < no_start_due_at:
            self.timers.set(no_start_due_at - now, attempt)
        else:
            self.outliers.record_no_start(attempt)
            if not is_lost:
                self.timers.set(lost_at - now, attempt)
        self._retry_or_wait(attempt, is_lost=is_lost, is_last_check=is_lost and now >= no_start_due_at)

    def _check_progress(self, attempt: Attempt) -> None:
        interval = self.config.current.progress.report_interval
        if not interval:
            return
        if self.clock.now - attempt.last_heard_at <= max_silence(interval):
            attempt.awaits_budget = False
            self.expect_progress(attempt)
            return
        if not attempt.awaits_budget:
            self.outliers.record_no_progress(attempt)
        self._retry_or_wait(attempt, is_lost=True, is_last_check=True)

    def _retry_or_wait(self, attempt: Attempt, *, is_lost: bool, is_last_check: bool) -> None:
        """Cancel the attempt if a retry is worthwhile; check again if only the retry budget prevents it."""
        awaits_budget = self.retries.cancel_if_retry_pays(attempt, is_presumed_lost=is_lost)
        attempt.awaits_budget = awaits_budget and is_last_check
        if attempt.awaits_budget:
            self.timers.set(BUDGET_CHECK_INTERVAL, attempt)

    def _no_start_due_at(self, attempt: Attempt) -> int:
        usual_run = int(self.estimates.usual_run_time(attempt.request))
        return attempt.sent_at + USUAL_RUNS_UNTIL_NO_START * usual_run

    def _slack_per_first_check(self) -> int:
        fleet_load = self.strategies.current.fleet_load()
        if fleet_load is UNKNOWN:
            return SLACK_PER_FIRST_CHECK
        return SLACK_PER_FIRST_CHECK_RATED if fleet_load is FREE_CORES else SLACK_PER_FIRST_CHECK_RATED_BUSY


def presumed_lost_at(attempt: Attempt) -> int:
    """Return the time from which an attempt that has not started is presumed lost."""
    return attempt.commanded_at + attempt.request.service_class.timeout // TIMEOUT_PER_PRESUMED_LOST


def max_silence(report_interval: int) -> int:
    """Return the longest time between two progress reports of a healthy worker.

    The network may delay a report, but never by half the report interval.
    """
    return report_interval * MAX_SILENCE_IN_HALF_INTERVALS // 2
