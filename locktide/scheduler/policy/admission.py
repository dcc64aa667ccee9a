"""Submissions that come, anew or from an earlier process, and clients that go."""

from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    QuotaSharesUpdated,
    RequestArrived,
    RequestRecovered,
)
from locktide.scheduler.policy.endpoint import Endpoint
from locktide.scheduler.policy.quotas import BEYOND, LENT
from locktide.scheduler.policy.request import Attempt, Request
from locktide.scheduler.policy.retries import Courses
from locktide.scheduler.types import PROVEN_NOT_RUN, AttemptOutcome, EndpointState


class Arrivals(Courses):
    def arrive(self, arrival: RequestArrived) -> Request:
        self.arrivals += 1
        sub = Request(arrival, self.known[arrival.service_class], self.now, self.arrivals)
        self.submissions[sub.id] = sub
        if sub.key is not None:
            if len(self.asked) >= 1024:  # as for the rows
                self.asked.clear()
            self.asked.setdefault(sub.key, DecayingSum(10_000_000)).add(1.0, self.now)
            self.asked_all.add(1.0, self.now)
        patience = self.patience(sub)
        covered = self.shares.covers(arrival.tenant, self.now)
        sub.borrower = arrival.tenant if covered is LENT else None
        if covered is BEYOND:
            patience = int(
                patience * self.shares.terms.beyond_quota_weight
            )  # it waits as long as it is worth
        sub.leave_at = sub.limit_at - 2 * self.round_interval
        if not arrival.background:
            sub.leave_at = min(sub.leave_at, self.now + patience)
        return sub

    def take_parts(self, news: QuotaSharesUpdated) -> None:
        """What is in force from now on. What came under a loan that is over and has not gone out goes on as
        beyond its tenant's share: an owner that is back is not kept waiting by it."""
        self.shares.agreed = news
        lent = self.shares.stage(self.now).borrowed
        for sub in self.pool:
            if sub.borrower is not None and not sub.dispatches and not lent.get(sub.borrower):
                sub.borrower = None
                if not sub.patient:
                    waits = self.patience(sub) * self.shares.terms.beyond_quota_weight
                    sub.leave_at = min(sub.leave_at, sub.arrived_at + int(waits))

    def take_recovered(self, news: RequestRecovered) -> None:
        """Takes up what a process that died had taken; what may have run binds it as if we had sent it."""
        sub = self.arrive(news.arrival)
        sub.arrived_at = news.arrived_at
        for earlier in news.attempts:
            worker = self.list.workers.get(earlier.worker)
            # Guards against a worker that has another place by now: repeats are dropped where it was then.
            if worker is None or (worker.zone, worker.cell) != (earlier.zone, earlier.cell):
                then = EndpointEntry(
                    earlier.worker, earlier.zone, "", earlier.cell, EndpointState.GONE, 1.0, 0
                )
                worker = Endpoint(then, self.floor())
            dispatch = Attempt(sub, len(sub.dispatches), worker, earlier.sent_at)
            sub.dispatches.append(dispatch)
            if earlier.outcome not in PROVEN_NOT_RUN:
                sub.held.append(dispatch)
            elif sub.patient:
                sub.uncounted += 1
            if earlier.outcome is None:
                sub.out.append(dispatch)
                self.outstanding += sub.width
                worker.own += sub.width
        self.begin(sub)

    def floor(self) -> float:
        """The least cap: our share of the slots, or one submission while all floors hold three a slot. Guards
        against two that cut each other to one, and seventeen with no gate. Twice the share where all work may
        move on from a queue: others leave some of theirs unused."""
        share = self.cold.slots * self.shares.part
        if (
            self.list.terms.live_ratings
        ):  # they tell what others hold there, and rests would waste kept connections
            return max(1.0, share)
        return max(share if self.some_once else 2.0 * share, min(1.0, 3.0 * share))

    def take_gone(self, news: ClientDisconnected) -> None:
        if (sub := self.submissions.get(news.request_id)) and not sub.answered:
            self.advance(sub, AttemptEnded(sub.id, -1, AttemptOutcome.NEVER_SENT, True))
