"""The clients: what is asked for and when, drawn before the rehearsal, and how each job is tried again."""

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

DRAWN = frozenset(("surge", "heavy", "retry-storm"))  # incidents that are in the traffic itself


@dataclass(slots=True)
class ClientRequest:
    """One job that a client wants done, over all its tries."""

    number: int
    at: int  # of its first try
    grade: ServiceClassSpec
    work: int
    width: int
    zone: int
    retries: int
    honours: bool
    closes_after: int  # of each try; 0 for a client that waits
    key: str  # the number of a numbered one
    tenant: str = ""
    home: int = -1  # the dispatcher that its tenant's clients prefer
    tries: list[RequestTry] = field(default_factory=list)
    answered_at: int = 0  # when it was done, 0 while it is not

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
        """Counted from the first second: a retry is part of its first try."""
        if not self.answered_at:
            return 0.0
        return self.revenue * (1.0 if self.answered_at - self.at <= self.soft_limit else self.grade.late)


@dataclass(slots=True)
class RequestTry:
    """One submission: it has an id of its own, also a retry."""

    id: str
    ask: ClientRequest
    number: int
    dispatcher: int
    sent_at: int
    ended: str = ""
    ended_at: int = 0
    advice: int = 0  # microseconds of Retry-After

    @property
    def limit_at(self) -> int:
        return self.sent_at + self.ask.limit


def capacity(script: Scenario) -> float:
    """What the warm fleet can do: seconds of work a second."""
    return sum(kind.cores * kind.speed for kind in assign_worker_types(script))


def draw_requests(script: Scenario) -> list[ClientRequest]:
    """All that will be asked for, oldest first, the same for the same script and seed on every host."""
    rng = chance.stream(script.seed, "traffic")
    shares = np.array([grade.share for grade in script.grade])
    shares = shares / shares.sum()
    mean = float(
        sum(share * g.work * (g.width + 1) / 2 for share, g in zip(shares, script.grade, strict=True))
    )
    usual = script.clients.load * capacity(script) / mean
    surges = [one for one in script.incident if one.what in ("surge", "retry-storm")]
    heavies = [one for one in script.incident if one.what == "heavy"]

    def rate(at: float) -> float:
        rate = usual
        for one in surges:
            if one.at <= at < one.at + one.length:
                rate *= one.factor
        return rate

    most = usual
    for one in surges:
        most *= max(1.0, one.factor)
    asks: list[ClientRequest] = []
    at = 0.0
    while True:
        # Thinning (Lewis and Shedler 1979): drawn at the highest rate, kept by the rate of the moment.
        at += float(rng.exponential(1.0 / most))
        if at >= script.length:
            return tenants.assign_tenants(script, asks)
        kept = rng.random() * most < rate(at)
        grade = script.grade[int(rng.choice(len(shares), p=shares))]
        work = grade.work * float(np.exp(rng.normal(-(grade.sigma**2) / 2, grade.sigma)))
        width = int(rng.integers(1, grade.width + 1))
        zone = int(rng.integers(script.fleet.zones))
        dice = rng.random(4)
        if not kept:
            continue
        for one in heavies:
            if one.at <= at < one.at + one.length and dice[3] < one.share:
                work *= one.factor
        whole = int(script.clients.retries)
        retries = whole + (dice[0] < script.clients.retries - whole)
        storm = any(one.at <= at < one.at + one.length for one in surges if one.what == "retry-storm")
        patience = dice[2] / script.clients.impatient if script.clients.impatient else 2.0
        number = len(asks)
        asks.append(
            ClientRequest(
                number,
                int(at * 1e6),
                grade,
                max(1000, int(work * 1e6)),
                width,
                zone,
                int(retries) + 2 * storm,
                bool(dice[1] < script.clients.honours) and not storm,
                int(grade.limit * 1e6 * patience) if patience < 1.0 else 0,
                f"k{script.seed:x}-{number:x}",
            )
        )


def retry_delay(ask: ClientRequest, last: RequestTry, script: Scenario) -> int | None:
    """How long after the end of a try the next one goes out, in microseconds; None where there is none."""
    if len(ask.tries) > ask.retries or last.ended in (ANSWERED, CLOSED, SILENT, LATE):
        return None
    # What a dead dispatcher held may have run: without a memory that all workers share only what is
    # reissuable is harmless to repeat then.
    harmless = ask.grade.effect == "reissuable" or last.ended in (DENIED, REFUSED)
    if not harmless:
        return None
    wait = int(script.clients.backoff * 1e6) << (len(ask.tries) - 1)
    if last.advice and ask.honours:
        wait = max(wait, last.advice)
    if last.ended_at + wait >= ask.at + ask.limit:
        return None
    return wait


class LoadBalancer:
    """Deals the clients of a zone out among the dispatchers it takes to be alive; it notices a death late."""

    def __init__(self, dispatchers: list[int], notice: int, seed: int, zone: int) -> None:
        self.taken_in = dict.fromkeys(dispatchers, False)
        self.leaves_at: dict[int, int] = {}
        self.notice, self.seed, self.zone, self.dealt = notice, seed, zone, 0

    def died(self, dispatcher: int, now: int) -> None:
        if dispatcher in self.taken_in and self.taken_in[dispatcher]:
            self.leaves_at.setdefault(dispatcher, now + self.notice)

    def ready(self, dispatcher: int) -> None:
        """It has answered that it is ready."""
        if dispatcher in self.taken_in:
            self.taken_in[dispatcher] = True
            self.leaves_at.pop(dispatcher, None)

    def leaves(self, dispatcher: int) -> None:
        """It is being stopped as planned: no new connection goes to it."""
        if dispatcher in self.taken_in:
            self.taken_in[dispatcher] = False

    def advance(self, now: int) -> None:
        for dispatcher, at in list(self.leaves_at.items()):
            if at <= now:
                self.taken_in[dispatcher] = False
                del self.leaves_at[dispatcher]

    def choose(self, now: int, home: int = -1) -> int | None:
        """The dispatcher for a new submission, its home if that is taken in; None while none is."""
        self.advance(now)
        if self.taken_in.get(home):
            return home
        able = [dispatcher for dispatcher, good in self.taken_in.items() if good]
        if not able:
            return None
        self.dealt += 1
        return able[int(chance.unit(self.seed, "front", self.zone, self.dealt) * len(able))]
