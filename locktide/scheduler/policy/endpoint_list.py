"""The endpoint list: its updates, and when it is asked for."""

from dataclasses import dataclass, field

from locktide.scheduler.commands import CloseIdleConnections, WatchEndpoints
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.events import EndpointListUpdate
from locktide.scheduler.log_events import EndpointListFetchFailed
from locktide.scheduler.policy.concurrency_limit import ConcurrencyLimiter
from locktide.scheduler.policy.load_ratings import LoadRatings
from locktide.scheduler.state import (
    ActiveConfig,
    Clock,
    CommandBuffer,
    Endpoint,
    EndpointTable,
    TimerPurpose,
    Timers,
)
from locktide.scheduler.state.list_update import merge_update
from locktide.scheduler.types import EndpointState, ListUpdateKind

DRAINING = EndpointState.DRAINING


@dataclass(eq=False)
class EndpointList:
    """Follows the list; where it must be asked for, watches it and asks again after a failure."""

    clock: Clock
    config: ActiveConfig
    random: LinearCongruentialGenerator
    endpoints: EndpointTable
    timers: Timers
    commands: CommandBuffer
    limiter: ConcurrencyLimiter
    ratings: LoadRatings
    _is_watched: bool = field(default=False, init=False)
    failures: int = field(default=0, init=False)
    _poll_at: int = field(default=0, init=False)

    def on_update(self, event: EndpointListUpdate) -> None:
        """Takes over an update, or plans the next call after a failed one."""
        kind = event.kind
        if kind in (ListUpdateKind.FETCH_FAILED, ListUpdateKind.FETCH_TIMED_OUT):
            self.failures += 1
            delay = self._plan_poll(timed_out=kind == ListUpdateKind.FETCH_TIMED_OUT)
            self.commands.log(EndpointListFetchFailed(self.failures, retry_in_ms=delay // 1000))
            self.timers.set(delay, TimerPurpose.POLL)
            return
        if kind == ListUpdateKind.CACHED and self.config.current.endpoint_list.polled:
            self.timers.set(self._plan_poll(), TimerPurpose.POLL)
        else:
            self.failures = 0
        changed, draining = merge_update(self.endpoints.by_id, event, self.limiter.minimum())
        if changed:
            self.rebuild_candidates()
        for endpoint in draining:
            self.close_idle_connections(endpoint)
        if self.config.current.endpoint_list.live_ratings:
            self.ratings.update(event.entries)

    def poll_when_due(self) -> None:
        """Asks for the list, where it has to be asked for and is not watched."""
        is_polled = self.config.current.endpoint_list.polled
        if is_polled and not self._is_watched and self.clock.now >= self._poll_at:
            self._is_watched = True
            self.commands.add(WatchEndpoints(True))

    def rebuild_candidates(self) -> None:
        """Sorts the ready endpoints by the placement constraints of all service classes."""
        self.endpoints.rebuild_candidates(self.config.known_service_classes.values())

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """At the notice of a drain and after each end there: no more work goes to it."""
        if endpoint.state == DRAINING and self.config.current.endpoint_list.close_idle_within:
            endpoint.idle_connections = []
            self.commands.add(CloseIdleConnections(endpoint.id))

    def _plan_poll(self, timed_out: bool = False) -> int:
        """After how long we ask next: at any moment of a span that doubles with each failure."""
        # Guards against many that start or fail together and then ask together: the service works on each
        # call, also where the caller was turned away. It can hear all of us within the time in which each
        # should ask; half is enough for those that start at once. After a failure we count as notified only
        # after four times that time.
        config = self.config.current.endpoint_list
        span = min(2 * config.poll_within, config.poll_within // 2 << min(self.failures, 8))
        if self.failures and config.notified_within:
            # Guards against sending by a list from before an outage: a third after silence, as the call took
            # up to a half; two where it was turned away, as each call delays the others.
            span = min(span, config.notified_within * (1 if timed_out else 2) // 3)
        delay = self.random.below(span)
        self._is_watched, self._poll_at = False, self.clock.now + delay
        return delay
