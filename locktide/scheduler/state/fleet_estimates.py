"""Estimates of the fleet: run times, speeds and sizes of workers, and their mean load."""

from __future__ import annotations

from locktide.scheduler.estimators.run_time import RunTimeEstimator
from locktide.scheduler.estimators.throughput import ThroughputEstimator
from locktide.scheduler.state.active_config import ActiveConfig
from locktide.scheduler.state.clock import Clock
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.state.request import Attempt, Request

#: Assumed slots of an endpoint until more slots of ours have been observed running on one.
INITIAL_SLOTS_PER_ENDPOINT = 2.0
#: Number of dispatchers per slot of an endpoint above which the fleet is sparse: each dispatcher has too few
#: attempts at any one endpoint to learn its concurrency limit.
SPARSE_DISPATCHERS_PER_SLOT = 3.0
#: Longest run time, in multiples of the usual run time, that counts towards the speed of a worker type: a
#: longer run means a heavy request rather than a slow worker type.
MAX_RELATIVE_RUN_TIME = 4.0


class FleetEstimates:
    """Estimates of the whole fleet, from our own attempts and from load ratings."""

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
        self.run_times: dict[str, RunTimeEstimator] = {}  # by the name of each known service class
        self.throughput = ThroughputEstimator()
        self.mean_load = 0.0  # requests per core on average, according to the ratings
        # Estimated slots of an endpoint without ratings: the most slots of ours observed running on one.
        self.slots_per_endpoint = INITIAL_SLOTS_PER_ENDPOINT
        self.is_sparse = False  # whether our even share of an endpoint is under a third of a slot

    def configure(self) -> None:
        """Apply the configuration in force; keep the run times learned for each service class."""
        dispatchers = self._config.current.dispatcher_count
        self.is_sparse = SPARSE_DISPATCHERS_PER_SLOT * self.slots_per_endpoint < dispatchers
        self.run_times = {
            name: self.run_times.get(name) or RunTimeEstimator(each.latency_objective)
            for name, each in self._config.known_service_classes.items()
        }

    def observe_running(self, endpoint: Endpoint) -> None:
        """Update the estimated slots of an endpoint from the number of our slots that run there."""
        running = endpoint.slots_in_flight - sum([attempt.width for attempt in endpoint.unstarted])
        self.slots_per_endpoint = max(self.slots_per_endpoint, running)
        share = self._config.dispatcher_share
        self.is_sparse = SPARSE_DISPATCHERS_PER_SLOT * self.slots_per_endpoint * share < 1.0

    def observe_run_time(self, attempt: Attempt) -> None:
        """Update the run times of a service class and a worker type from a successful attempt."""
        request = attempt.request
        now = self._clock.now
        run_time = now - attempt.started_at
        usual = request.work_hint or self.usual_run_time(request)
        relative_run_time = min(MAX_RELATIVE_RUN_TIME, run_time / usual)
        self.throughput.add(attempt.endpoint.worker_type, relative_run_time, now)
        self.run_times[request.service_class.name].add(run_time, now)

    def usual_run_time(self, request: Request) -> float:
        """Return the mean run time of requests of the same service class, in microseconds."""
        return self.run_times[request.service_class.name].mean(self._clock.now)

    def expected_work(self, request: Request) -> float:
        """Return the larger of the request's work hint and usual run time, times its width, in microseconds.

        The hint alone is not enough: one rough hint in ten is a third of the run time.
        """
        hint = request.work_hint
        run_time = self.run_times[request.service_class.name].mean(self._clock.now, hint)
        return request.width * max(hint, run_time)
