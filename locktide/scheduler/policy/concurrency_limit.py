"""The concurrency limit c of each endpoint: how many slots of ours may be in flight there."""

from locktide.scheduler.state import ActiveConfig, Attempt, Clock, Endpoint, FleetEstimates
from locktide.scheduler.types import Effect


def has_capacity(endpoint: Endpoint, width: float, now: int, prompt_start: int) -> bool:
    """Whether a request of `width` slots may go there by our limit."""
    if not endpoint.in_flight:
        return now >= max(endpoint.resting_until, endpoint.unavailable_until)
    if endpoint.in_flight + width > endpoint.concurrency_limit or now < endpoint.unavailable_until:
        return False
    # Guards against stacking up behind a queue or on a worker that has gone silent.
    unstarted = endpoint.unstarted
    return not unstarted or now - next(iter(unstarted)).sent_at <= prompt_start


class ConcurrencyLimiter:
    """Learns the limits from prompt and late starts."""

    def __init__(self, clock: Clock, config: ActiveConfig, estimates: FleetEstimates) -> None:
        self._clock = clock
        self._config = config
        self._estimates = estimates

    def configure(self) -> None:
        """Takes over the configuration."""
        classes = self._config.service_classes.values()
        self._some_at_most_once = any([each.effect == Effect.AT_MOST_ONCE for each in classes])

    def minimum(self) -> float:
        """The least limit: our share of the slots, or one request while all minima hold three a slot."""
        # Guards against two that cut each other to one, and seventeen with no gate. Twice the share where all
        # work may move on from a queue: others leave some of theirs unused.
        share = self._estimates.slots_per_endpoint * self._config.dispatcher_share
        # Ratings tell what others hold there, and rests would waste kept connections.
        if self._config.current.endpoint_list.live_ratings:
            return max(1.0, share)
        return max(share if self._some_at_most_once else 2.0 * share, min(1.0, 3.0 * share))

    def adjust(self, attempt: Attempt, is_prompt: bool) -> None:
        """Follows the first sign of an attempt, which came in time or late."""
        endpoint = attempt.endpoint
        if is_prompt and attempt.filled_limit:
            # A quarter of the width: four prompt starts make a limit of one two. Others scored worse.
            endpoint.concurrency_limit += 0.25 * attempt.request.width
        elif not is_prompt:
            # A quarter off: at a limit of two, a late start undoes two prompt ones. Halving scored worse.
            endpoint.concurrency_limit = max(self.minimum(), 0.75 * endpoint.concurrency_limit)

    def rest(self, endpoint: Endpoint, stay: int) -> None:
        """Keeps away from an endpoint after an attempt that was there for `stay`."""
        # Guards against many dispatchers that each keep one request on every worker: with a limit under one
        # we stay away so long that our own work in flight there is the limit on average.
        limit = endpoint.concurrency_limit
        if not endpoint.in_flight and limit < 1.0:
            endpoint.resting_until = self._clock.now + int(stay * (1.0 / limit - 1.0))

    def on_full(self, endpoint: Endpoint, run_time: float) -> None:
        """Guards against one that turns all away, so has nothing of ours, and draws all that waits."""
        endpoint.unavailable_until = self._clock.now + int(run_time)

    def on_refused(self, endpoint: Endpoint) -> None:
        """Guards against spinning on what refuses: as long as a connection may take, we ask for no other."""
        endpoint.unavailable_until = max(endpoint.unavailable_until, self._clock.now + 250_000)
