"""Endpoint polling: when the endpoint list is fetched, where each fetch is a command of the scheduler.

The discovery service works on each call, also on one that it rejects, so the moments are drawn apart: many
dispatchers that start or fail together must not call together. All spans are in microseconds, of
`poll_within`, the time within which each dispatcher should have called.

- The first call: at any moment of half of it, which is enough for those that start at once.
- After a failure: at any moment of a span that doubles with each failure in a row, up to twice
  `poll_within`: the service can serve every dispatcher within that time, and one whose call has failed
  counts as notified only after twice as long again.
- Where a dispatcher counts as notified of a change after `notified_within`, whatever became of its calls,
  the span after a failure is at most two thirds of that, as every rejected call delays those of the others;
  and a third after a call without response, since that call itself took up to a half. Otherwise it would
  send by a list from before an outage.

A call that succeeds begins to watch the list; there is no further one until the watch fails.
"""

from dataclasses import dataclass, field

from locktide.scheduler.commands import WatchEndpoints
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.log_events import EndpointListFetchFailed
from locktide.scheduler.state import ActiveConfig, Clock, CommandBuffer, TimerPurpose, Timers

#: The first call is drawn from `poll_within` divided by this.
POLL_WITHIN_PER_FIRST_SPAN = 2
#: The longest span of a call, in spans of `poll_within`.
MAX_POLL_SPANS = 2
#: Doublings of the span that are computed at most: `MAX_POLL_SPANS` is reached long before.
MAX_DOUBLINGS = 8
#: Thirds of `notified_within` within which the next call is made after a rejected one.
THIRDS_AFTER_REJECTION = 2
#: The same after a call without response.
THIRDS_AFTER_TIMEOUT = 1
MICROSECONDS_PER_MILLISECOND = 1000


@dataclass(eq=False)
class EndpointPolling:
    """Plans the calls for the endpoint list."""

    clock: Clock
    config: ActiveConfig
    random: LinearCongruentialGenerator
    timers: Timers
    commands: CommandBuffer
    failures: int = field(default=0, init=False)  # in a row
    _is_watched: bool = field(default=False, init=False)
    _poll_at: int = field(default=0, init=False)  # when the next call is due

    def poll_when_due(self) -> None:
        """Call for the list, where it is polled, is not watched, and the call is due."""
        is_polled = self.config.current.endpoint_list.polled
        if is_polled and not self._is_watched and self.clock.now >= self._poll_at:
            self._is_watched = True
            self.commands.add(WatchEndpoints(True))

    def on_failure(self, timed_out: bool) -> None:
        """Plan the next call after a failed one."""
        self.failures += 1
        delay = self._plan_poll(timed_out)
        event = EndpointListFetchFailed(self.failures, retry_in_ms=delay // MICROSECONDS_PER_MILLISECOND)
        self.commands.log(event)
        self.timers.set(delay, TimerPurpose.POLL)

    def on_cached_list(self) -> None:
        """Plan the first call of a dispatcher that starts with the list it had before."""
        self.timers.set(self._plan_poll(timed_out=False), TimerPurpose.POLL)

    def on_success(self) -> None:
        """Count from zero again."""
        self.failures = 0

    def _plan_poll(self, timed_out: bool) -> int:
        delay = self.random.below(self._span(timed_out))
        self._is_watched = False
        self._poll_at = self.clock.now + delay
        return delay

    def _span(self, timed_out: bool) -> int:
        """Return the span in which the next call is drawn."""
        config = self.config.current.endpoint_list
        doubled = config.poll_within // POLL_WITHIN_PER_FIRST_SPAN << min(self.failures, MAX_DOUBLINGS)
        span = min(MAX_POLL_SPANS * config.poll_within, doubled)
        if self.failures and config.notified_within:
            thirds = THIRDS_AFTER_TIMEOUT if timed_out else THIRDS_AFTER_REJECTION
            span = min(span, config.notified_within * thirds // 3)
        return span
