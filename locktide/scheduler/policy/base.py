"""What all mechanisms stand on: the terms, what is known of the fleet, and the orders."""

from math import exp
from traceback import format_exc
from typing import Any

from locktide.scheduler.commands import CloseIdleConnections, LogMessage, ReportInternalError, SetTimer
from locktide.scheduler.config import SchedulerConfig, ServiceClass
from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.estimators.run_time import RunTimeEstimator
from locktide.scheduler.policy.endpoint import Endpoint
from locktide.scheduler.policy.endpoint_list import EndpointList
from locktide.scheduler.policy.quotas import TenantQuotas
from locktide.scheduler.policy.request import Request
from locktide.scheduler.policy.slow_start import SlowStartBudget
from locktide.scheduler.policy.throughput import ThroughputEstimator
from locktide.scheduler.types import Effect, EndpointState, PlacementConstraint

# What weighs in a draw, in parts of what a usual submission earns; 0.02 scored 0.807 for 0.825, noise 0.045.
WEIGHS = 0.01


class Base:
    def __init__(self, seed: int, config: SchedulerConfig) -> None:
        self.chance = LinearCongruentialGenerator(seed)
        # Ready workers to which what is bound alike may go; None: all of them. And for a key, nearest first.
        self.fitting: dict[PlacementConstraint | None, list[Endpoint]] = {}
        self.rows: dict[tuple[int, PlacementConstraint | None], list[Endpoint]] = {}
        self.paces = ThroughputEstimator()
        # Errors lately found to be a submission's or a worker's; ten seconds, as the records.
        self.own_faults, self.worker_faults = DecayingSum(10_000_000), DecayingSum(10_000_000)
        self.outstanding = 0.0  # slots of ours without an outcome
        self.sizes: dict[str, float] = {}  # the highest rating of each kind: of one that holds nothing
        self.held = 0.0  # what workers hold a core on average, as their ratings tell
        # How often each key and any was asked for; long enough for some tens where few come to one of us.
        self.asked, self.asked_all = dict[int, DecayingSum](), DecayingSum(10_000_000)
        self.credit = 10.0  # of further dispatches; ten let a dispatcher meet a sudden trouble at once
        self.submissions: dict[Any, Request] = {}
        self.pool, self.orders = list[Request](), list[Any]()
        self.now = self.arrivals = self.marks = self.quiet_until = 0
        self.timers, self.round_timer = dict[int, Any](), False
        self.runs: dict[str, RunTimeEstimator] = {}
        self.known: dict[str, ServiceClass] = {}  # also those of earlier terms, as submissions may still come
        self.cold, self.list = SlowStartBudget(config.slow_start), EndpointList(config.endpoint_list)
        self.set_terms(config)

    def set_terms(self, config: SchedulerConfig) -> None:
        """The terms from now on, at the start and in service. Submissions keep the grade they came with."""
        step, fleet, grades = config.round_interval, config.dispatcher_count, config.service_classes
        dispatching, clients, shares = config.retry, config.clients, config.quotas
        goal, cold, listing = config.objective, config.slow_start, config.endpoint_list
        signs, prices = config.progress, config.costs
        self.round_interval, self.grades = step, {grade.name: grade for grade in grades}
        self.known |= self.grades
        self.dispatching, self.clients, self.signs, self.prices = dispatching, clients, signs, prices
        self.shares = TenantQuotas(shares, fleet)
        self.cold.terms, self.list.terms = cold, listing
        self.prompt = min(grade.latency_objective for grade in grades) // 4  # later is late: little is left
        once = [grade.effect == Effect.AT_MOST_ONCE for grade in grades]
        self.some_once, self.all_once = any(once), all(once)
        self.runs = {
            name: self.runs.get(name) or RunTimeEstimator(at.latency_objective)
            for name, at in self.known.items()
        }
        # How far all grades wait alike: long slack put to use serves the whole, an even wait the grade served
        # worst; wholly even from where that grade decides a third of the goal.
        self.evenness = min(1.0, 0.3 + 2.0 * goal.worst_class_weight)
        self.sparse = 3.0 * self.cold.slots < fleet  # our even part of a worker is under a third of a slot
        # How often a draw holds of a worker to which we have no free connection, beside one to which we have.
        self.stranger = exp(-prices.connection / WEIGHS)
        if not listing.live_ratings:
            self.held = 0.0
            for worker in self.list.workers.values():
                worker.unrated()
        self.sort()

    def sort(self) -> None:
        ready = [worker for worker in self.list.workers.values() if worker.state == EndpointState.READY]
        self.rows = {}
        self.lone = {
            grade.worker_type for grade in self.known.values()
        }  # kinds to which a grade is bound alone
        grounds = {None} | {grade.placement for grade in self.known.values()}
        self.fitting = {
            ground: [worker for worker in ready if ground is None or worker.stands_on(ground)]
            for ground in grounds
        }

    def hang_up(self, worker: Endpoint) -> None:
        """At the notice of a drain and after each end there: what rests is closed, as no more work goes."""
        if worker.state == EndpointState.DRAINING and self.list.terms.close_idle_within:
            worker.kept = []
            self.orders.append(CloseIdleConnections(worker.id))

    def break_off(self, submission: Any) -> None:
        """For a fault of ours: it costs the piece of news, or the submission, on which it shows, alone."""
        where = " | ".join(format_exc().splitlines()[-3:])
        if sub := self.submissions.get(submission):
            sub.answered = True
            if sub.pooled:
                sub.pooled = False
                self.pool.remove(sub)
            if not sub.out:
                del self.submissions[submission]
        self.orders.append(ReportInternalError(submission, where))

    def log(self, line: str) -> None:
        self.orders.append(LogMessage(line))

    def wake(self, after: int, what: Any) -> None:
        self.marks += 1
        self.timers[self.marks] = what
        self.orders.append(SetTimer(after, self.marks))

    def blame(self, worker: Endpoint, reason: str) -> None:
        if not worker.doubtful(self.now):
            self.log(f"avoiding worker {worker.id}: {reason}")
        worker.failed(self.now)
