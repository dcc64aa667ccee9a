"""The concurrency limit c of each endpoint: how many slots of ours may be in flight there.

The rule (c is the capacity of a bin in the source paper; here it is learned, as endpoints differ in speed
and are filled by other dispatchers, too). Limits are in slots, times in microseconds:

- An endpoint has capacity for a request if its width fits under the limit, or if nothing of ours is there.
- It has none while an attempt of ours waits there for a late start, or shortly after it was full or refused
  a connection.
- A prompt start of an attempt that filled the limit raises it. A late start cuts it, as does an attempt that
  ends without a start and without a result, also one that we cancelled, unless its start would still have
  been prompt then.
- The limit stays over a minimum by our even share of the endpoint. Under one slot we also stay away from the
  endpoint between two requests, so that our work there is the limit on average.
"""

from locktide.scheduler.policy.placement_strategy import PlacementStrategies
from locktide.scheduler.state import ActiveConfig, Attempt, Clock, Endpoint, FleetEstimates
from locktide.scheduler.types import Effect

#: Slots that a prompt start adds to the limit for each slot of its request: four prompt starts make one slot
#: more.
LIMIT_INCREASE = 0.25
#: Factor by which a late start cuts the limit: at a limit of two it undoes two prompt starts.
LIMIT_DECREASE = 0.75
#: Least limit in our even shares of the slots, where all work may move on from a queue. Others leave some of
#: their shares unused, and what turns out to wait is sent elsewhere.
MINIMUM_SHARES = 2.0
#: The same where work that is sent at most once has to stay in the queue that it meets.
MINIMUM_SHARES_AT_MOST_ONCE = 1.0
#: Requests of one slot that the minima of all dispatchers together may put on each slot before a minimum
#: falls under one request.
REQUESTS_PER_SLOT = 3.0
#: How long an endpoint that refused a connection has no capacity, in microseconds: as long as one may take to
#: come up.
REFUSED_PAUSE = 250_000


def has_capacity(endpoint: Endpoint, width: float, now: int, prompt_start: int) -> bool:
    """Return whether a request of `width` slots may be sent to the endpoint by our limit.

    Args:
        endpoint: the endpoint in question.
        width: slots that the request takes.
        now: the present, in microseconds.
        prompt_start: the longest time from sending to start that is not late, in microseconds.
    """
    if not endpoint.slots_in_flight:
        return now >= max(endpoint.resting_until, endpoint.unavailable_until)
    if endpoint.slots_in_flight + width > endpoint.concurrency_limit or now < endpoint.unavailable_until:
        return False
    # Without this check requests pile up behind a queue, or on a worker that has gone silent, up to the
    # limit: they all start late, or never. An attempt of ours that has not started in time shows the queue
    # before its outcome does (tests/scheduler/test_decisions.py).
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
        """Return the least limit, in slots.

        Without a minimum two dispatchers that share an endpoint see each other's work as late starts and cut
        their limits in turn until both send one request at a time: slots stay idle beside a growing pool. A
        limit at our share cannot be the cause of others' late starts. A minimum of one request in any case
        would be no limit for many dispatchers: seventeen with one request each overfill every endpoint. So it
        is our share, and one whole request only while all minima together stay within `REQUESTS_PER_SLOT`.
        """
        share = self._estimates.slots_per_endpoint * self._config.dispatcher_share
        if not self._strategies.current.needs_pauses:
            return max(1.0, share)
        return max(self._minimum_shares * share, min(1.0, REQUESTS_PER_SLOT * share))

    def adjust(self, attempt: Attempt, is_prompt: bool) -> None:
        """Follow the first sign of an attempt, which came in time or late."""
        endpoint = attempt.endpoint
        if is_prompt and attempt.filled_limit:
            endpoint.concurrency_limit += LIMIT_INCREASE * attempt.request.width
        elif not is_prompt:
            endpoint.concurrency_limit = max(self.minimum(), LIMIT_DECREASE * endpoint.concurrency_limit)

    def pause_between_attempts(self, endpoint: Endpoint, stay: int) -> None:
        """Stay away from an endpoint with a limit under one slot, after an attempt that was there for `stay`.

        An endpoint with nothing of ours has capacity for one request, whatever its limit. Many dispatchers
        that each keep one request on every endpoint overfill the fleet, which shows as late starts
        everywhere. Staying away makes our work in flight there the limit on average.
        """
        limit = endpoint.concurrency_limit
        if not endpoint.slots_in_flight and limit < 1.0:
            endpoint.resting_until = self._clock.now + int(stay * (1.0 / limit - 1.0))

    def on_full(self, endpoint: Endpoint, run_time: float) -> None:
        """Keep away from an endpoint that was full, for the usual run time of the request that it rejected.

        One that rejects every request has nothing of ours, so it would always have capacity, and draw one
        attempt after the other of what waits.
        """
        endpoint.unavailable_until = self._clock.now + int(run_time)

    def on_refused(self, endpoint: Endpoint) -> None:
        """Keep away for `REFUSED_PAUSE` from an endpoint that refused a connection.

        A refusal comes back within milliseconds, so that requests would use up their attempts, and the
        process its CPU, on an endpoint that is gone.
        """
        pause_ends = self._clock.now + REFUSED_PAUSE
        endpoint.unavailable_until = max(endpoint.unavailable_until, pause_ends)
