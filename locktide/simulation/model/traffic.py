"""Traffic of the clients: their requests, drawn before the run, their retries, and the load balancer."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from locktide.simulation.model import random_streams as chance
from locktide.simulation.model import tenants
from locktide.simulation.model.scenario import Scenario, ServiceClassSpec, assign_worker_types

ANSWERED, DENIED, TERMINATED, REFUSED, BROKEN, LATE, SILENT, CLOSED = (
    "done",
    "denied",
    "terminated",
    "no dispatcher",
    "broken off",
    "late",
    "no answer",
    "closed early",
)

TRAFFIC_FAULTS = frozenset(
    ("surge", "heavy", "retry-storm")
)  # faults that act on the drawn traffic, not by a timer


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, over all its submissions."""

    number: int
    at: int  # of the first submission
    grade: ServiceClassSpec
    work: int
    width: int
    zone: int
    retries: int
    honours: bool
    closes_after: int  # how long after each submission the client disconnects; 0 for one that waits
    key: str  # the idempotency key of a numbered request
    tenant: str = ""
    home: int = -1  # the dispatcher that the tenant's clients prefer
    tries: list[RequestTry] = field(default_factory=list)
    answered_at: int = 0  # when its successful response arrived; 0 if there is none

    @property
    def soft_limit(self) -> int:
        return int(min(self.grade.limit, self.grade.soft + self.grade.stretch * self.work / 1e6) * 1e6)

    @property
    def limit(self) -> int:
        return int(self.grade.limit * 1e6)

    @property
    def revenue(self) -> float:
        return self.grade.revenue * self.work * self.width / 1e6

    def earned(self) -> float:
        """Return the revenue earned; the response time counts from the first submission, over all retries."""
        if not self.answered_at:
            return 0.0
        return self.revenue * (1.0 if self.answered_at - self.at <= self.soft_limit else self.grade.late)


@dataclass(slots=True)
class RequestTry:
    """One submission of a request; each retry is a submission with an id of its own."""

    id: str
    request: ClientRequest
    number: int
    dispatcher: int
    sent_at: int
    ended: str = ""
    ended_at: int = 0
    advice: int = 0  # microseconds of Retry-After

    @property
    def limit_at(self) -> int:
        return self.sent_at + self.request.limit


def capacity(scenario: Scenario) -> float:
    """Return the capacity of the warm fleet, in seconds of work per second."""
    return sum(kind.cores * kind.speed for kind in assign_worker_types(scenario))


def draw_requests(scenario: Scenario) -> list[ClientRequest]:
    """Draw all requests, oldest first; the same for the same scenario and seed on every host."""
    rng = chance.stream(scenario.seed, "traffic")
    shares = np.array([service_class.share for service_class in scenario.grade])
    shares = shares / shares.sum()
    mean = float(
        sum(share * g.work * (g.width + 1) / 2 for share, g in zip(shares, scenario.grade, strict=True))
    )
    base_rate = scenario.clients.load * capacity(scenario) / mean
    surges = [fault for fault in scenario.incident if fault.what in ("surge", "retry-storm")]
    heavy_faults = [fault for fault in scenario.incident if fault.what == "heavy"]

    def rate(at: float) -> float:
        rate = base_rate
        for fault in surges:
            if fault.at <= at < fault.at + fault.length:
                rate *= fault.factor
        return rate

    peak_rate = base_rate
    for fault in surges:
        peak_rate *= max(1.0, fault.factor)
    requests: list[ClientRequest] = []
    at = 0.0
    while True:
        # Thinning (Lewis and Shedler 1979): arrivals are drawn at the peak rate, and kept with a probability
        # of the current rate over the peak rate.
        at += float(rng.exponential(1.0 / peak_rate))
        if at >= scenario.length:
            return tenants.assign_tenants(scenario, requests)
        is_kept = rng.random() * peak_rate < rate(at)
        service_class = scenario.grade[int(rng.choice(len(shares), p=shares))]
        work = service_class.work * float(
            np.exp(rng.normal(-(service_class.sigma**2) / 2, service_class.sigma))
        )
        width = int(rng.integers(1, service_class.width + 1))
        zone = int(rng.integers(scenario.fleet.zones))
        draws = rng.random(4)
        if not is_kept:
            continue
        for fault in heavy_faults:
            if fault.at <= at < fault.at + fault.length and draws[3] < fault.share:
                work *= fault.factor
        whole_retries = int(scenario.clients.retries)
        retries = whole_retries + (draws[0] < scenario.clients.retries - whole_retries)
        in_retry_storm = any(
            fault.at <= at < fault.at + fault.length for fault in surges if fault.what == "retry-storm"
        )
        patience = draws[2] / scenario.clients.impatient if scenario.clients.impatient else 2.0
        number = len(requests)
        requests.append(
            ClientRequest(
                number,
                int(at * 1e6),
                service_class,
                max(1000, int(work * 1e6)),
                width,
                zone,
                int(retries) + 2 * in_retry_storm,
                bool(draws[1] < scenario.clients.honours) and not in_retry_storm,
                int(service_class.limit * 1e6 * patience) if patience < 1.0 else 0,
                f"k{scenario.seed:x}-{number:x}",
            )
        )


def retry_delay(request: ClientRequest, last: RequestTry, scenario: Scenario) -> int | None:
    """Return the microseconds from the end of a submission to the next one; None if there is no retry."""
    if len(request.tries) > request.retries or last.ended in (ANSWERED, CLOSED, SILENT, LATE):
        return None
    # A request that a dead dispatcher held may have run: as no deduplication record is shared by all workers,
    # only a reissuable one can be repeated safely then.
    is_safe_to_repeat = request.grade.effect == "reissuable" or last.ended in (DENIED, REFUSED)
    if not is_safe_to_repeat:
        return None
    wait = int(scenario.clients.backoff * 1e6) << (len(request.tries) - 1)
    if last.advice and request.honours:
        wait = max(wait, last.advice)
    if last.ended_at + wait >= request.at + request.limit:
        return None
    return wait


class LoadBalancer:
    """Distributes the clients of a zone over the dispatchers in service; it notices a crash after a delay."""

    def __init__(self, dispatchers: list[int], notice: int, seed: int, zone: int) -> None:
        self.in_service = dict.fromkeys(dispatchers, False)
        self.removal_at: dict[int, int] = {}
        self.notice, self.seed, self.zone, self.choice_count = notice, seed, zone, 0

    def note_death(self, dispatcher: int, now: int) -> None:
        if dispatcher in self.in_service and self.in_service[dispatcher]:
            self.removal_at.setdefault(dispatcher, now + self.notice)

    def note_ready(self, dispatcher: int) -> None:
        """Put a dispatcher in service, as it has answered a readiness check."""
        if dispatcher in self.in_service:
            self.in_service[dispatcher] = True
            self.removal_at.pop(dispatcher, None)

    def remove(self, dispatcher: int) -> None:
        """Take a dispatcher out of service in a planned stop: it gets no new connections."""
        if dispatcher in self.in_service:
            self.in_service[dispatcher] = False

    def advance(self, now: int) -> None:
        for dispatcher, at in list(self.removal_at.items()):
            if at <= now:
                self.in_service[dispatcher] = False
                del self.removal_at[dispatcher]

    def choose(self, now: int, home: int = -1) -> int | None:
        """Return the dispatcher for a new submission: `home` if in service; None if there is none."""
        self.advance(now)
        if self.in_service.get(home):
            return home
        in_service = [dispatcher for dispatcher, is_in_service in self.in_service.items() if is_in_service]
        if not in_service:
            return None
        self.choice_count += 1
        return in_service[
            int(chance.unit(self.seed, "front", self.zone, self.choice_count) * len(in_service))
        ]
