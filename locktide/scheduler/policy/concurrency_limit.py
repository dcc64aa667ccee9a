"""The concurrency limit c of each endpoint: how many slots our attempts may take there.

c is the capacity of a bin in the source paper. Here it is learned, as endpoints differ in speed and are also
used by other dispatchers. Limits are in slots, times in microseconds. The rule:

- An endpoint has capacity for a request if the request's width fits under the limit, or if we have nothing in
  flight there.
- An endpoint has no capacity while an attempt of ours there is late to start, or shortly after it was full or
  refused a connection.
- A prompt start of an attempt that filled the limit raises the limit. A late start lowers the limit. An
  attempt that ends without a start and without a result also lowers it, even if we cancelled the attempt,
  unless its start would still have been prompt at that time.
- The limit has a minimum, which depends on our even share of the endpoint. Under a limit of one slot we also
  pause between two requests to the endpoint, so that on average our slots in flight there equal the limit.
"""

from locktide.scheduler.policy.placement_strategy import PlacementStrategies
from locktide.scheduler.state import ActiveConfig, Attempt, Clock, Endpoint, FleetEstimates
from locktide.scheduler.types import Effect

#: Slots that a prompt start adds to the limit for each slot of its request: four prompt starts add one slot.
LIMIT_INCREASE = 0.25
#: Factor by which a late start cuts the limit: at a limit of two it undoes two prompt starts.
LIMIT_DECREASE = 0.75
#: Minimum limit, in multiples of our even share of the slots, if no service class is at most once. Other
#: dispatchers leave part of their shares unused, and requests that turn out to wait in a queue are sent
#: elsewhere.
MINIMUM_SHARES = 2.0
#: The same if a service class is at most once: its requests have to stay in the queue that they were sent to.
MINIMUM_SHARES_AT_MOST_ONCE = 1.0
#: Requests of one slot that the minimum limits of all dispatchers together may put on each slot. Beyond this
#: the minimum is less than one request.
REQUESTS_PER_SLOT = 3.0
#: Time during which an endpoint that refused a connection counts as without capacity, in microseconds: as
#: long as an endpoint may take to start.
REFUSED_PAUSE = 250_000


def has_capacity(endpoint: Endpoint, width: float, now: int, prompt_start: int) -> bool:
    """Return whether our limit allows a request of `width` slots to be sent to the endpoint.

    Args:
        endpoint: the endpoint to check.
        width: slots that the request takes.
        now: the current time, in microseconds.
        prompt_start: the longest time from sending to a start that is not late, in microseconds.
    """
    if not endpoint.slots_in_flight:
        return now >= max(endpoint.paused_until, endpoint.unavailable_until)
    if endpoint.slots_in_flight + width > endpoint.concurrency_limit or now < endpoint.unavailable_until:
        return False
    # Without this check requests pile up, as far as the limit allows, behind a queue or on a worker that does
    # not respond any more, and all of them start late or never. An attempt that has not started in time
    # reveals the queue before its outcome does (tests/scheduler/test_decisions.py).
    unstarted = endpoint.unstarted
    return not unstarted or now - next(iter(unstarted)).sent_at <= prompt_start


class ConcurrencyLimiter:
    """Learns the limits from prompt and late starts."""

    def __init__(
        self,
        *,
        clock: Clock,
        config: ActiveConfig,
        estimates: FleetEstimates,
        strategies: PlacementStrategies,
    ) -> None:
        self._clock = clock
        self._config = config
        self._estimates = estimates
        self._strategies = strategies
        self._minimum_shares = MINIMUM_SHARES

    def configure(self) -> None:
        """Apply the configuration in force."""
        classes = self._config.service_classes.values()
        has_at_most_once_work = any([each.effect == Effect.AT_MOST_ONCE for each in classes])
        self._minimum_shares = MINIMUM_SHARES_AT_MOST_ONCE if has_at_most_once_work else MINIMUM_SHARES

    def minimum(self) -> float:
        """Return the minimum of the limit, in slots.

        Without a minimum, two dispatchers that share an endpoint see each other's work as late starts and
        lower their limits in turn until both send one request at a time: slots stay idle while the pool
        grows. A limit equal to our share cannot cause late starts of others. A minimum of one request in all
        cases would be no limit with many dispatchers: seventeen of them with one request each overfill every
        endpoint. So the minimum is our share, and one whole request only while all minima together stay
        within `REQUESTS_PER_SLOT`.
        """
        share = self._estimates.slots_per_endpoint * self._config.dispatcher_share
        if not self._strategies.current.needs_pauses:
            return max(1.0, share)
        return max(self._minimum_shares * share, min(1.0, REQUESTS_PER_SLOT * share))

    def adjust(self, attempt: Attempt, is_prompt: bool) -> None:
        """Raise or lower the limit after the first sign of an attempt, which was prompt or late."""
        endpoint = attempt.endpoint
        if is_prompt and attempt.filled_limit:
            endpoint.concurrency_limit += LIMIT_INCREASE * attempt.request.width
        elif not is_prompt:
            endpoint.concurrency_limit = max(self.minimum(), LIMIT_DECREASE * endpoint.concurrency_limit)

    def pause_between_attempts(self, endpoint: Endpoint, attempt_duration: int) -> None:
        """Start a pause at an endpoint with a limit under one slot, after an attempt of `attempt_duration`.

        An endpoint where we have nothing in flight has capacity for one request, whatever its limit. Many
        dispatchers that each keep one request on every endpoint overfill the fleet, which shows as late
        starts everywhere. With the pause our slots in flight there equal the limit on average.
        """
        limit = endpoint.concurrency_limit
        if not endpoint.slots_in_flight and limit < 1.0:
            endpoint.paused_until = self._clock.now + int(attempt_duration * (1.0 / limit - 1.0))

    def on_full(self, endpoint: Endpoint, run_time: float) -> None:
        """Send nothing to an endpoint that was full, for the usual run time of the request that it rejected.

        An endpoint that rejects every request has nothing of ours in flight. Without the pause it would
        always have capacity and use up one attempt of the waiting requests after the other.
        """
        endpoint.unavailable_until = self._clock.now + int(run_time)

    def on_refused(self, endpoint: Endpoint) -> None:
        """Send nothing for `REFUSED_PAUSE` to an endpoint that refused a connection.

        A connection is refused within milliseconds. Without the pause requests would use up their attempts,
        and the process its CPU time, on an endpoint that is gone.
        """
        pause_ends = self._clock.now + REFUSED_PAUSE
        endpoint.unavailable_until = max(endpoint.unavailable_until, pause_ends)
