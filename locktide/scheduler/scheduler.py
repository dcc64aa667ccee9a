"""The scheduler: it wires the mechanisms of `policy` together and hands each event to the one it concerns."""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from locktide.scheduler.commands import Command
from locktide.scheduler.config import SchedulerConfig
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptSent,
    AttemptStarted,
    ClientDisconnected,
    ConfigReloaded,
    EndpointListUpdate,
    Event,
    QuotaSharesUpdated,
    RequestArrived,
    RequestRecovered,
    TimerFired,
)
from locktide.scheduler.policy.admission import Admission
from locktide.scheduler.policy.affinity import AffinityRouter
from locktide.scheduler.policy.attempt_outcomes import AttemptOutcomes
from locktide.scheduler.policy.concurrency_limit import ConcurrencyLimiter
from locktide.scheduler.policy.endpoint_list import EndpointList
from locktide.scheduler.policy.load_ratings import LoadRatings
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.outlier_detection import OutlierDetector
from locktide.scheduler.policy.placement import Placement
from locktide.scheduler.policy.quotas import TenantQuotas
from locktide.scheduler.policy.request_lifecycle import RequestLifecycle
from locktide.scheduler.policy.retries import RetryPolicy
from locktide.scheduler.policy.rounds import Rounds
from locktide.scheduler.policy.slow_start import SlowStartBudget
from locktide.scheduler.state import Attempt, SchedulerState, TimerPurpose

ROUND = TimerPurpose.ROUND  # bound once: an access through the enum class costs 0.2 to 0.3 us
EventT = TypeVar("EventT", bound=Event)
RequestEvent = (
    RequestArrived | AttemptSent | AttemptStarted | AttemptProgressed | AttemptEnded | ClientDisconnected
)


class Scheduler:
    """One dispatcher's decisions: `step` takes events and returns commands. It has no I/O and no clock."""

    def __init__(self, seed: int, config: SchedulerConfig) -> None:
        state = self.state = SchedulerState(config, LinearCongruentialGenerator(seed))
        self.limiter, self.load_shedder = ConcurrencyLimiter(state), LoadShedder(state)
        self.quotas, self.load_ratings = TenantQuotas(state), LoadRatings(state)
        self.outliers, retries, slow_start = (
            OutlierDetector(state),
            RetryPolicy(state),
            SlowStartBudget(state),
        )
        lifecycle = RequestLifecycle(state, self.load_shedder, retries, slow_start)
        self.placement = Placement(state, lifecycle, self.outliers, slow_start, AffinityRouter(state))
        self.rounds = Rounds(state, lifecycle, self.load_shedder, self.placement)
        self.endpoint_list = EndpointList(state, self.limiter, self.load_ratings)
        self.admission = Admission(state, lifecycle, self.load_shedder, self.quotas)
        self.outcomes = AttemptOutcomes(state, lifecycle, retries, self.limiter, self.outliers)
        # Streams and probes have no handler: no decision rests on them yet.
        self._handlers: dict[type, Callable[[Any], None]] = {}
        self._register_handlers()
        self._configure(config)

    def step(self, now: int, events: Sequence[Event]) -> list[Command]:
        """Takes events in at the moment `now` (microseconds); the commands are to be executed at once."""
        state = self.state
        state.now = now
        state.commands = []
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is None:
                continue
            target = state.timers.get(event.timer_id) if type(event) is TimerFired else None
            try:
                handler(event)
            except Exception:  # protects the other events: a fault of ours costs one event or request
                state.report_internal_error(request_concerned(target or event))
        self.endpoint_list.poll_when_due()
        self.rounds.run()
        return state.commands

    def _register_handlers(self) -> None:
        self._handle(EndpointListUpdate, self.endpoint_list.on_update)
        self._handle(RequestArrived, self.admission.on_arrival)
        self._handle(RequestRecovered, self.admission.on_recovery)
        self._handle(AttemptSent, self.outcomes.on_sent)
        self._handle(AttemptStarted, self.outcomes.on_started)
        self._handle(AttemptProgressed, self.outcomes.on_progress)
        self._handle(AttemptEnded, self.outcomes.on_ended)
        self._handle(ClientDisconnected, self.admission.on_disconnect)
        self._handle(QuotaSharesUpdated, self.admission.on_quota_shares)
        self._handle(ConfigReloaded, self._on_config_reloaded)
        self._handle(TimerFired, self._on_timer)

    def _handle(self, event_type: type[EventT], handler: Callable[[EventT], None]) -> None:
        self._handlers[event_type] = handler

    def _on_config_reloaded(self, event: ConfigReloaded) -> None:
        self._configure(event.config)

    def _configure(self, config: SchedulerConfig) -> None:
        self.state.set_config(config)
        self.limiter.configure()
        self.load_shedder.configure()
        self.quotas.configure()
        self.placement.configure()
        self.load_ratings.configure()
        self.endpoint_list.rebuild_candidates()

    def _on_timer(self, event: TimerFired) -> None:
        target = self.state.timers.pop(event.timer_id, None)
        if target is ROUND:
            self.rounds.on_timer()
        elif isinstance(target, Attempt) and target in target.request.in_flight:
            self.outcomes.check(target)


def request_concerned(event: object) -> Any:
    """The id of the request that an event, or the attempt for which a timer was set, is about; else None."""
    if isinstance(event, Attempt):
        return event.request.id
    if isinstance(event, RequestRecovered):
        return event.arrival.request_id
    return event.request_id if isinstance(event, RequestEvent) else None
