"""The state that all mechanisms of the scheduler share."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field
from enum import Enum
from traceback import format_exc
from typing import Any

from locktide.scheduler.commands import Command, ReportInternalError, SetTimer, WriteLog
from locktide.scheduler.config import SchedulerConfig, ServiceClass
from locktide.scheduler.estimators.key_frequencies import KeyFrequencies
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.estimators.run_time import RunTimeEstimator
from locktide.scheduler.estimators.throughput import ThroughputEstimator
from locktide.scheduler.log_events import LogEvent
from locktide.scheduler.state.attempt import Attempt
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.state.request import Request
from locktide.scheduler.types import PlacementConstraint


class TimerPurpose(Enum):
    """What a timer that belongs to no attempt was set for."""

    ROUND = "round"
    POLL = "poll"


@dataclass(slots=True)
class SchedulerState:
    """Configuration, open requests, known endpoints, estimates, and the commands of the current step."""

    config: SchedulerConfig
    random: LinearCongruentialGenerator
    now: int = 0  # microseconds
    commands: list[Command] = field(default_factory=list)
    requests: dict[Any, Request] = field(default_factory=dict)
    pool: list[Request] = field(default_factory=list)  # requests that wait for a place, oldest first
    endpoints: dict[Any, Endpoint] = field(default_factory=dict)
    # Ready endpoints that satisfy each placement constraint; under None all ready ones.
    candidates: dict[PlacementConstraint | None, list[Endpoint]] = field(default_factory=dict)
    service_classes: dict[str, ServiceClass] = field(default_factory=dict)
    # Also those of earlier configurations, as requests of them may still come.
    known_service_classes: dict[str, ServiceClass] = field(default_factory=dict)
    run_times: dict[str, RunTimeEstimator] = field(default_factory=dict)  # of each known service class
    throughput: ThroughputEstimator = field(default_factory=ThroughputEstimator)
    key_frequencies: KeyFrequencies = field(default_factory=KeyFrequencies)
    in_flight: float = 0.0  # slots of ours without an outcome
    mean_load: float = 0.0  # what endpoints hold a core on average, as their ratings tell
    # How many slots an endpoint has, where no ratings tell: the most of ours seen running on one.
    slots_per_endpoint: float = 2.0
    dispatcher_share: float = 1.0  # our even part of the fleet
    is_sparse: bool = False  # whether our even part of an endpoint is under a third of a slot
    prompt_start: int = 0  # a start later than this after sending is late
    timers: dict[int, Attempt | TimerPurpose] = field(default_factory=dict)
    last_timer_id: int = 0

    def set_config(self, config: SchedulerConfig) -> None:
        """Sets the configuration; requests keep the service class they came with."""
        self.config = config
        self.service_classes = {each.name: each for each in config.service_classes}
        self.known_service_classes |= self.service_classes
        self.dispatcher_share = 1.0 / config.dispatcher_count
        self.is_sparse = 3.0 * self.slots_per_endpoint < config.dispatcher_count
        self.run_times = {
            name: self.run_times.get(name) or RunTimeEstimator(each.latency_objective)
            for name, each in self.known_service_classes.items()
        }

    def observe_running(self, endpoint: Endpoint) -> None:
        """Learns how many slots an endpoint has from how many of ours run there."""
        running = endpoint.in_flight - sum([attempt.request.width for attempt in endpoint.unstarted])
        self.slots_per_endpoint = max(self.slots_per_endpoint, running)
        self.is_sparse = 3.0 * self.slots_per_endpoint * self.dispatcher_share < 1.0

    def observe_run_time(self, attempt: Attempt) -> None:
        """Learns how long requests of a class and at a worker type run from one that has ended well."""
        request, run_time = attempt.request, self.now - attempt.started_at
        usual = request.work_hint or self.usual_run_time(request)
        # Four times the usual is a heavy request, not a slow type.
        self.throughput.add(attempt.endpoint.worker_type, min(4.0, run_time / usual), self.now)
        self.run_times[request.service_class.name].add(run_time, self.now)

    def log(self, event: LogEvent) -> None:
        """Write an event to the log."""
        self.commands.append(WriteLog(event))

    def set_timer(self, delay: int, target: Attempt | TimerPurpose) -> None:
        """Asks for a `TimerFired` after `delay` microseconds."""
        self.last_timer_id += 1
        self.timers[self.last_timer_id] = target
        self.commands.append(SetTimer(delay, self.last_timer_id))

    def report_internal_error(self, request_id: Any) -> None:
        """For a fault of ours: it costs the event, or the request, on which it shows, alone.

        To be called while the exception is handled. The host answers the request.
        """
        detail = " | ".join(format_exc().splitlines()[-3:])
        if request := self.requests.get(request_id):
            request.is_answered = True
            self.leave_pool(request)
            if not request.in_flight:
                del self.requests[request_id]
        self.commands.append(ReportInternalError(request_id, detail))

    def usual_run_time(self, request: Request) -> float:
        """How long requests of its service class run on average, in microseconds."""
        return self.run_times[request.service_class.name].mean(self.now)

    def expected_work(self, request: Request) -> float:
        """Its usual run, or more if so hinted, on each slot: one rough hint in ten is a third."""
        hint = request.work_hint
        run_time = self.run_times[request.service_class.name].mean(self.now, hint)
        return request.width * max(hint, run_time)

    def enter_pool(self, request: Request) -> None:
        """Adds the request to the pool, by its age."""
        if not request.in_pool:
            request.in_pool = True
            insort(self.pool, request, key=lambda each: each.sequence)

    def leave_pool(self, request: Request) -> None:
        """Takes the request from the pool."""
        if request.in_pool:
            request.in_pool = False
            self.pool.remove(request)

    def close_request(self, request: Request) -> None:
        """The request has its response; it is forgotten at the end of its last attempt."""
        request.is_answered = True
        if not request.in_flight:
            self.requests.pop(request.id, None)
        self.leave_pool(request)

    def find_attempt(self, request_id: Any, number: int) -> Attempt | None:
        """An attempt of an open request, or None."""
        request = self.requests.get(request_id)
        return request.attempts[number] if request is not None and number < len(request.attempts) else None

    def open_attempt(self, request: Request, endpoint: Endpoint) -> Attempt:
        """Counts a new attempt as in flight."""
        attempt = Attempt(request, len(request.attempts), endpoint, self.now)
        request.attempts.append(attempt)
        request.in_flight.append(attempt)
        request.possibly_executed.append(attempt)
        self.in_flight += request.width
        endpoint.in_flight += request.width
        endpoint.unstarted[attempt] = None
        if endpoint.idle_connections:
            endpoint.idle_connections.pop()
        return attempt

    def close_attempt(self, attempt: Attempt, keeps_connection: bool) -> None:
        """Counts an attempt as ended; its connection may be free for another one now."""
        request, endpoint = attempt.request, attempt.endpoint
        request.in_flight.remove(attempt)
        self.in_flight -= request.width
        endpoint.in_flight -= request.width
        if keeps_connection:
            idle = [until for until in endpoint.idle_connections if until > self.now]
            idle.append(self.now + self.config.costs.idle_timeout)
            endpoint.idle_connections = idle
