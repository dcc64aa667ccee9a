"""Attempt timeouts: which sign is expected from an attempt by when, and what is done without it.

Where workers report starts, an attempt has to start, and then to report progress at each report interval.

- Prompt start: a quarter of the shortest latency objective after it was sent. A later start is late, which
  lowers the concurrency limit of its worker (`concurrency_limit`); nothing else is sent behind an attempt
  that is late.
- First check: a part of the slack of its request after its command, but no sooner than a prompt start.
  Without a start a retry may take its place (`retries`). The part leaves time for several attempts more.
- No start: two usual runs after it was sent. If its worker has reported no start, progress or result of any
  attempt of ours since, and was not full, it is suspected.
- As good as lost: half the timeout of its class after its command. What has not started by then seldom ends
  well; from then on a retry may take the place also of what may be repeated in few places only.
- No progress: one and a half report intervals after the last report. The worker is suspected, and a retry
  may take the attempt's place.

Where only the retry budget forbids the retry at the last of these, it is checked again each
`BUDGET_CHECK_INTERVAL`. All spans are in microseconds.
"""

from dataclasses import dataclass, field

from locktide.scheduler.policy.outlier_detection import OutlierDetector
from locktide.scheduler.policy.placement_strategy import FleetLoad, PlacementStrategies
from locktide.scheduler.policy.retries import RetryPolicy
from locktide.scheduler.state import ActiveConfig, Attempt, Clock, FleetEstimates, Timers

# Bound once: an access through the enum class costs 0.2 to 0.3 us on Python 3.11.
UNKNOWN, FREE_CORES = FleetLoad.UNKNOWN, FleetLoad.FREE_CORES

#: A prompt start takes at most the shortest latency objective divided by this; a later one leaves little of
#: it.
OBJECTIVE_PER_PROMPT_START = 4
#: The first check comes after the slack divided by this, where the worker was drawn without knowing its load:
#: several more such waits still fit.
SLACK_PER_FIRST_CHECK = 8
#: The same where ratings tell that workers have free cores: the worker was drawn for one, so it may take
#: longer.
SLACK_PER_FIRST_CHECK_RATED = 3
#: The same where ratings tell that no worker has: the queue is no shorter elsewhere, so the whole slack is
#: given.
SLACK_PER_FIRST_CHECK_RATED_BUSY = 1
#: Usual runs without a start after which a silent worker is suspected: a queue moves within that time.
USUAL_RUNS_UNTIL_NO_START = 2
#: An attempt without a start is as good as lost after the timeout of its class divided by this: it seldom
#: ends in the rest, and a retry still can.
TIMEOUT_PER_PRESUMED_LOST = 2
#: Time to the next check of an attempt that is as good as lost while the retry budget is spent, in
#: microseconds: successes of others earn the budget anew.
BUDGET_CHECK_INTERVAL = 250_000
#: Half report intervals without a report after which a running attempt is in doubt.
MAX_SILENCE_IN_HALF_INTERVALS = 3


@dataclass(eq=False)
class AttemptTimeouts:
    """Sets the timers of attempts, and judges those that have given no sign when one fires."""

    clock: Clock
    config: ActiveConfig
    estimates: FleetEstimates
    timers: Timers
    outliers: OutlierDetector
    retries: RetryPolicy
    strategies: PlacementStrategies
    prompt_start: int = field(default=0, init=False)  # the longest prompt start

    def configure(self) -> None:
        """Follow the configuration in force."""
        classes = self.config.service_classes.values()
        shortest_objective = min([each.latency_objective for each in classes])
        self.prompt_start = shortest_objective // OBJECTIVE_PER_PROMPT_START

    def is_prompt(self, attempt: Attempt) -> bool:
        """Return whether a start at this moment is prompt."""
        return self.clock.now - attempt.sent_at <= self.prompt_start

    def expect_start(self, attempt: Attempt, slack: float) -> None:
        """Set the first check of an attempt that is being sent; `slack` is that of its request on arrival."""
        first_check = int(slack) // self._slack_per_first_check()
        self.timers.set(max(self.prompt_start, first_check), attempt)

    def expect_progress(self, attempt: Attempt) -> None:
        """Set the check of the next progress report, where workers send such."""
        if interval := self.config.current.progress.report_interval:
            self.timers.set(max_silence(interval), attempt)

    def check(self, attempt: Attempt) -> None:
        """Judge an attempt whose timer has fired."""
        if attempt.request.is_answered:
            return
        if attempt.started_at:
            self._check_progress(attempt)
        else:
            self._check_start(attempt)

    def _check_start(self, attempt: Attempt) -> None:
        now = self.clock.now
        no_start_at = self._no_start_at(attempt)
        lost_at = presumed_lost_at(attempt)
        is_lost = now >= lost_at
        if now < no_start_at:
            self.timers.set(no_start_at - now, attempt)
        else:
            self.outliers.record_no_start(attempt)
            if not is_lost:
                self.timers.set(lost_at - now, attempt)
        self._retry_or_wait(attempt, is_lost=is_lost, is_last_check=is_lost and now >= no_start_at)

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
        """Cancel the attempt where a retry pays; where only the budget forbids it, check again."""
        awaits_budget = self.retries.cancel_if_retry_pays(attempt, is_presumed_lost=is_lost)
        attempt.awaits_budget = awaits_budget and is_last_check
        if attempt.awaits_budget:
            self.timers.set(BUDGET_CHECK_INTERVAL, attempt)

    def _no_start_at(self, attempt: Attempt) -> int:
        usual_run = int(self.estimates.usual_run_time(attempt.request))
        return attempt.sent_at + USUAL_RUNS_UNTIL_NO_START * usual_run

    def _slack_per_first_check(self) -> int:
        fleet_load = self.strategies.current.fleet_load()
        if fleet_load is UNKNOWN:
            return SLACK_PER_FIRST_CHECK
        return SLACK_PER_FIRST_CHECK_RATED if fleet_load is FREE_CORES else SLACK_PER_FIRST_CHECK_RATED_BUSY


def presumed_lost_at(attempt: Attempt) -> int:
    """Return from when on an attempt that has not started is as good as lost."""
    return attempt.ordered_at + attempt.request.service_class.timeout // TIMEOUT_PER_PRESUMED_LOST


def max_silence(report_interval: int) -> int:
    """Return the longest time between two reports of a sound worker.

    A report may be late by the network, never by half its interval.
    """
    return report_interval * MAX_SILENCE_IN_HALF_INTERVALS // 2
