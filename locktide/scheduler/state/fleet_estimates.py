"""What the scheduler has learned of the fleet: run times, speeds and sizes of workers, their mean load."""

from __future__ import annotations

from locktide.scheduler.estimators.run_time import RunTimeEstimator
from locktide.scheduler.estimators.throughput import ThroughputEstimator
from locktide.scheduler.state.active_config import ActiveConfig
from locktide.scheduler.state.clock import Clock
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.state.request import Attempt, Request

#: Slots of an endpoint until more of ours were seen running on one.
INITIAL_SLOTS_PER_ENDPOINT = 2.0
#: Dispatchers for each slot of an endpoint above which the fleet is sparse: each dispatcher sees too little
#: of any one endpoint to learn its concurrency limit.
SPARSE_DISPATCHERS_PER_SLOT = 3.0
#: The longest run, in usual runs, that counts towards the speed of a worker type: beyond it the request was
#: heavy rather than the type slow.
MAX_RELATIVE_RUN_TIME = 4.0


class FleetEstimates:
    """Estimates of the whole fleet, from our own attempts and from ratings."""

    __slots__ = (
        "run_times",
        "throughput",
        "mean_load",
        "slots_per_endpoint",
        "is_sparse",
        "_clock",
        "_config",
    )

    def __init__(self, clock: Clock, config: ActiveConfig) -> None:
        self._clock = clock
        self._config = config
        self.run_times: dict[str, RunTimeEstimator] = {}  # of each known service class
        self.throughput = ThroughputEstimator()
        self.mean_load = 0.0  # what endpoints hold a core on average, as their ratings tell
        # How many slots an endpoint has, where no ratings tell: the most of ours seen running on one.
        self.slots_per_endpoint = INITIAL_SLOTS_PER_ENDPOINT
        self.is_sparse = False  # whether our even part of an endpoint is under a third of a slot

    def configure(self) -> None:
        """Follow the configuration in force; what was learned of a service class is kept."""
        dispatchers = self._config.current.dispatcher_count
        self.is_sparse = SPARSE_DISPATCHERS_PER_SLOT * self.slots_per_endpoint < dispatchers
        self.run_times = {
            name: self.run_times.get(name) or RunTimeEstimator(each.latency_objective)
            for name, each in self._config.known_service_classes.items()
        }

    def observe_running(self, endpoint: Endpoint) -> None:
        """Learn how many slots an endpoint has from how many of ours run there."""
        running = endpoint.slots_in_flight - sum([attempt.width for attempt in endpoint.unstarted])
        self.slots_per_endpoint = max(self.slots_per_endpoint, running)
        share = self._config.dispatcher_share
        self.is_sparse = SPARSE_DISPATCHERS_PER_SLOT * self.slots_per_endpoint * share < 1.0

    def observe_run_time(self, attempt: Attempt) -> None:
        """Learn how long requests of a class and at a worker type run from one that has ended well."""
        request = attempt.request
        now = self._clock.now
        run_time = now - attempt.started_at
        usual = request.work_hint or self.usual_run_time(request)
        relative_run_time = min(MAX_RELATIVE_RUN_TIME, run_time / usual)
        self.throughput.add(attempt.endpoint.worker_type, relative_run_time, now)
        self.run_times[request.service_class.name].add(run_time, now)

    def usual_run_time(self, request: Request) -> float:
        """Return how long requests of its service class run on average, in microseconds."""
        return self.run_times[request.service_class.name].mean(self._clock.now)

    def expected_work(self, request: Request) -> float:
        """Return its usual run, or more if so hinted, on each slot: one rough hint in ten is a third."""
        hint = request.work_hint
        run_time = self.run_times[request.service_class.name].mean(self._clock.now, hint)
        return request.width * max(hint, run_time)
