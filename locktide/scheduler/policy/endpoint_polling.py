"""Endpoint polling: when the endpoint list is fetched, if the scheduler commands each fetch.

The discovery service spends work on each call, even on one that it rejects. Many dispatchers that start or
fail at the same time must not call at the same time, so each call is made at a random time within a span. The
spans are in microseconds and relative to `poll_within`, the time within which each dispatcher should have
called.

- First call: within half of `poll_within`, which is enough for dispatchers that start at the same time.
- After a failure: within a span that doubles with each consecutive failure, up to twice `poll_within`. The
  service can serve every dispatcher within that time, and a dispatcher whose call has failed counts as
  notified only after twice as long again.
- If a dispatcher counts as notified of a change after `notified_within`, whether or not its calls succeeded,
  the span after a failure is at most two thirds of `notified_within`, as every rejected call delays those of
  the other dispatchers. After a call without response the span is at most one third, since that call itself
  took up to a half. With longer spans the dispatcher would still use a list from before an outage.

A successful call starts a watch of the list; no further call is made until the watch fails.
"""

from dataclasses import dataclass, field

from locktide.scheduler.commands import WatchEndpoints
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.log_events import EndpointListFetchFailed
from locktide.scheduler.state import ActiveConfig, Clock, CommandBuffer, TimerPurpose, Timers

#: The first call is made within `poll_within` divided by this.
POLL_WITHIN_PER_FIRST_SPAN = 2
#: Longest span for a call, in multiples of `poll_within`.
MAX_POLL_SPANS = 2
#: Limits the computed doublings of the span; `MAX_POLL_SPANS` is reached long before.
MAX_DOUBLINGS = 8
#: Longest span after a rejected call, in thirds of `notified_within`.
THIRDS_AFTER_REJECTION = 2
#: The same after a call without response.
THIRDS_AFTER_TIMEOUT = 1
#: Microseconds by which a timer may fire before its time: hosts round their clock to whole microseconds. An
#: idle dispatcher has no later step in which the call would be due.
TIMER_ROUNDING = 2
MICROSECONDS_PER_MILLISECOND = 1000


@dataclass(eq=False)
class EndpointPolling:
    """Schedules the calls for the endpoint list."""

    clock: Clock
    config: ActiveConfig
    random: LinearCongruentialGenerator
    timers: Timers
    commands: CommandBuffer
    failures: int = field(default=0, init=False)  # consecutive
    _is_watched: bool = field(default=False, init=False)
    _next_poll_at: int = field(default=0, init=False)  # when the next call is due

    def poll_when_due(self) -> None:
        """Command a call for the list if it is polled, not watched, and the next call is due."""
        is_polled = self.config.current.endpoint_list.is_polled
        is_due = self.clock.now >= self._next_poll_at - TIMER_ROUNDING
        if is_polled and not self._is_watched and is_due:
            self._is_watched = True
            self.commands.add(WatchEndpoints(True))

    def on_failure(self, timed_out: bool) -> None:
        """Schedule the next call after a failed one."""
        self.failures += 1
        delay = self._plan_poll(timed_out)
        event = EndpointListFetchFailed(self.failures, retry_in_ms=delay // MICROSECONDS_PER_MILLISECOND)
        self.commands.log(event)
        self.timers.set(delay, TimerPurpose.POLL)

    def on_cached_list(self) -> None:
        """Schedule the first call of a dispatcher that starts with a cached list."""
        self.timers.set(self._plan_poll(timed_out=False), TimerPurpose.POLL)

    def on_success(self) -> None:
        """Reset the number of consecutive failures."""
        self.failures = 0

    def _plan_poll(self, timed_out: bool) -> int:
        delay = self.random.below(self._span(timed_out))
        self._is_watched = False
        self._next_poll_at = self.clock.now + delay
        return delay

    def _span(self, timed_out: bool) -> int:
        """Return the span within which the next call is made."""
        config = self.config.current.endpoint_list
        doubled = config.poll_within // POLL_WITHIN_PER_FIRST_SPAN << min(self.failures, MAX_DOUBLINGS)
        span = min(MAX_POLL_SPANS * config.poll_within, doubled)
        if self.failures and config.notified_within:
            thirds = THIRDS_AFTER_TIMEOUT if timed_out else THIRDS_AFTER_REJECTION
            span = min(span, config.notified_within * thirds // 3)
        return span
