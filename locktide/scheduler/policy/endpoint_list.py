"""The endpoint list: its updates, and when it is asked for."""

from locktide.scheduler.commands import CloseIdleConnections, WatchEndpoints
from locktide.scheduler.events import EndpointListUpdate
from locktide.scheduler.log_events import EndpointListFetchFailed
from locktide.scheduler.policy.concurrency_limit import ConcurrencyLimiter
from locktide.scheduler.policy.load_ratings import LoadRatings
from locktide.scheduler.state import Endpoint, SchedulerState, TimerPurpose
from locktide.scheduler.state.list_update import merge_update
from locktide.scheduler.types import EndpointState, ListUpdateKind

READY, DRAINING = EndpointState.READY, EndpointState.DRAINING


def close_idle_connections(state: SchedulerState, endpoint: Endpoint) -> None:
    """At the notice of a drain and after each end there: no more work goes to it."""
    if endpoint.state == DRAINING and state.config.endpoint_list.close_idle_within:
        endpoint.idle_connections = []
        state.commands.append(CloseIdleConnections(endpoint.id))


class EndpointList:
    """Follows the list; where it must be asked for, watches it and asks again after a failure."""

    def __init__(self, state: SchedulerState, limiter: ConcurrencyLimiter, ratings: LoadRatings) -> None:
        self._state, self._limiter, self._ratings = state, limiter, ratings
        self._is_watched, self.failures, self._poll_at = False, 0, 0

    def on_update(self, event: EndpointListUpdate) -> None:
        """Takes over an update, or plans the next call after a failed one."""
        state, kind = self._state, event.kind
        if kind in (ListUpdateKind.FETCH_FAILED, ListUpdateKind.FETCH_TIMED_OUT):
            self.failures += 1
            delay = self._plan_poll(timed_out=kind == ListUpdateKind.FETCH_TIMED_OUT)
            state.log(EndpointListFetchFailed(self.failures, retry_in_ms=delay // 1000))
            state.set_timer(delay, TimerPurpose.POLL)
            return
        if kind == ListUpdateKind.CACHED and state.config.endpoint_list.polled:
            state.set_timer(self._plan_poll(), TimerPurpose.POLL)
        else:
            self.failures = 0
        changed, draining = merge_update(state.endpoints, event, self._limiter.minimum())
        if changed:
            self.rebuild_candidates()
        for endpoint in draining:
            close_idle_connections(state, endpoint)
        if state.config.endpoint_list.live_ratings:
            self._ratings.update(event.entries)

    def poll_when_due(self) -> None:
        """Asks for the list, where it has to be asked for and is not watched."""
        state = self._state
        if state.config.endpoint_list.polled and not self._is_watched and state.now >= self._poll_at:
            self._is_watched = True
            state.commands.append(WatchEndpoints(True))

    def rebuild_candidates(self) -> None:
        """Sorts the ready endpoints by the placement constraints of all service classes."""
        state = self._state
        ready = [endpoint for endpoint in state.endpoints.values() if endpoint.state == READY]
        constraints = {None} | {each.placement for each in state.known_service_classes.values()}
        state.candidates = {
            constraint: [endpoint for endpoint in ready if endpoint.satisfies(constraint)]
            for constraint in constraints
        }

    def _plan_poll(self, timed_out: bool = False) -> int:
        """After how long we ask next: at any moment of a span that doubles with each failure."""
        # Guards against many that start or fail together and then ask together: the service works on each
        # call, also where the caller was turned away. It can hear all of us within the time in which each
        # should ask; half is enough for those that start at once. After a failure we count as notified only
        # after four times that time.
        config = self._state.config.endpoint_list
        span = min(2 * config.poll_within, config.poll_within // 2 << min(self.failures, 8))
        if self.failures and config.notified_within:
            # Guards against sending by a list from before an outage: a third after silence, as the call took
            # up to a half; two where it was turned away, as each call delays the others.
            span = min(span, config.notified_within * (1 if timed_out else 2) // 3)
        delay = self._state.random.below(span)
        self._is_watched, self._poll_at = False, self._state.now + delay
        return delay
