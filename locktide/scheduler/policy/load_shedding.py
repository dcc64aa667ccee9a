"""Load shedding: how long a request waits in the pool, and its response at the end of that."""

from dataclasses import dataclass, field

from locktide.scheduler.commands import FailRequest, RejectRequest
from locktide.scheduler.config import ServiceClass
from locktide.scheduler.log_events import RequestRejected
from locktide.scheduler.policy.retry_eligibility import may_reject, repeats_until
from locktide.scheduler.state import (
    ActiveConfig,
    Clock,
    CommandBuffer,
    FleetEstimates,
    OpenAttempts,
    Request,
    RequestPool,
)

NO_USE_TO_RETRY = 1 << 60  # microseconds


def usual_slack(service_class: ServiceClass, run_time: float) -> float:
    """How long a request that runs so long may wait for its start and still meet the latency objective."""
    # At least a quarter of the objective: where the usual run uses it up, a shorter one may still do.
    objective = service_class.latency_objective
    return max(0.25 * objective, objective + (service_class.stretch - 1.0) * run_time)


@dataclass(eq=False)
class LoadShedder:
    """Sets queue timeouts, and rejects or fails what is not served in time."""

    clock: Clock
    config: ActiveConfig
    requests: RequestPool
    attempts: OpenAttempts
    estimates: FleetEstimates
    commands: CommandBuffer
    _quiet_until: int = field(default=0, init=False)

    def configure(self) -> None:
        """Takes over the configuration."""
        # How far all classes wait alike: long slack put to use serves the whole, an even wait the class that
        # is served worst; wholly even from where that class decides a third of the objective.
        self._evenness = min(1.0, 0.3 + 2.0 * self.config.current.objective.worst_class_weight)

    def slack(self, request: Request) -> float:
        """How long a request may wait for its start and still end within its latency objective."""
        run_time = request.work_hint or self.estimates.usual_run_time(request)
        # Half the run still counts as possible: a hint is rough and the fastest worker is twice the mean.
        is_possible = self.clock.now + run_time / 2 <= request.deadline
        return usual_slack(request.service_class, run_time) if is_possible else 0.0

    def queue_timeout(self, request: Request) -> int:
        """How long it waits in the pool: a share of a slack between its own and the shortest usual."""
        # Guards against an overload in which long-slack work fills the pool and short classes get nothing.
        # At 0.3 even runs well over the usual end in time; 0.5 left more late, 0.25 denied more in bursts.
        now, run_times, classes = self.clock.now, self.estimates.run_times, self.config.service_classes
        shortest = min([usual_slack(each, run_times[name].mean(now)) for name, each in classes.items()])
        if request.work_hint:  # a heavier request earns more, and may wait longer
            shortest *= max(1.0, request.work_hint / self.estimates.usual_run_time(request))
        slack, evenness = self.slack(request), self._evenness
        return int(0.3 * min(slack, slack ** (1.0 - evenness) * shortest**evenness))

    def latest_queue_deadline(self, request: Request) -> int:
        """Two rounds before its deadline."""
        return request.deadline - 2 * self.config.current.round_interval

    def extend_queue_deadline(self, request: Request) -> bool:
        """Lets what may have run wait as long as an attempt can help, as a late response beats none."""
        # Guards against holding back the response of one that may go nowhere any more: once its repeats are
        # no longer dropped it is given up.
        if not request.possibly_executed:
            return False
        latest = self.latest_queue_deadline(request)
        latest = min(latest, repeats_until(request) or latest)
        if self.clock.now >= latest:
            return False
        request.queue_deadline = latest
        return True

    def respond(self, request: Request) -> None:
        """Rejects the request, or fails it where trying again may do harm."""
        now, waiting = self.clock.now, len(self.requests.waiting)
        if not may_reject(request):
            self.commands.add(FailRequest(request.id))
            return
        # The next of ours should end by then; clients that come later take the place of fresh work.
        run_time, running = self.estimates.usual_run_time(request), len(self.requests.open) - waiting
        advice = NO_USE_TO_RETRY if request.is_unprocessable else int(run_time / max(1, running))
        retry_after = min(self.config.current.clients.max_retry_after, advice)
        self.commands.add(RejectRequest(request.id, retry_after))
        if now >= self._quiet_until:  # one line in five seconds tells enough of an overload
            self._quiet_until = now + 5_000_000
            waited = (now - request.arrived_at) // 1000
            self.commands.log(
                RequestRejected(
                    service_class=request.service_class.name,
                    waited_ms=waited,
                    waiting=waiting,
                    slots_in_flight=self.attempts.slots,
                )
            )
