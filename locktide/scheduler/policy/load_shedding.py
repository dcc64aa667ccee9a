"""Mechanism 5: how long a submission waits, and what it is told at the end of that."""

from locktide.scheduler.commands import FailRequest, RejectRequest
from locktide.scheduler.config import ServiceClass
from locktide.scheduler.policy.base import Base
from locktide.scheduler.policy.request import Request


def usual_slack(grade: ServiceClass, run: float) -> float:
    # At least a quarter of the soft limit: where the usual run uses it up, a shorter one may still do.
    return max(0.25 * grade.latency_objective, grade.latency_objective + (grade.stretch - 1.0) * run)


class Denials(Base):
    def slack(self, sub: Request) -> float:
        """How long a submission may wait for its start and still end within its soft limit."""
        run = sub.hint or self.runs[sub.grade.name].mean(self.now)
        # Half the run still counts as possible: a hint is rough and the fastest worker is twice the mean.
        return usual_slack(sub.grade, run) if self.now + run / 2 <= sub.limit_at else 0.0

    def work(self, sub: Request) -> float:
        """Its usual run, or more if so hinted, on each slot: one rough hint in ten is a third."""
        return sub.width * max(sub.hint, self.runs[sub.grade.name].mean(self.now, sub.hint))

    def patience(self, sub: Request) -> int:
        """How long a submission waits in the pool: a share of a slack between its own and the shortest usual.

        Guards against an overload in which long-slack work fills the pool and the short grades get nothing.
        At 0.3 even runs well over the usual end in time; 0.5 left more late, 0.25 denied more in bursts."""
        shortest = min([usual_slack(at, self.runs[of].mean(self.now)) for of, at in self.grades.items()])
        if sub.hint:  # a heavier submission earns more, and may wait longer
            shortest *= max(1.0, sub.hint / self.runs[sub.grade.name].mean(self.now))
        slack = self.slack(sub)
        return int(0.3 * min(slack, slack ** (1.0 - self.evenness) * shortest**self.evenness))

    def last_chance(self, sub: Request) -> int:
        """Until when what may have run waits in the pool. Guards against holding back the answer of one that
        may go nowhere any more: once its repeats are no longer dropped it is given up."""
        last = sub.limit_at - 2 * self.round_interval
        return min(last, sub.repeats_until() or last)

    def answer(self, sub: Request) -> None:
        if sub.may_deny():
            # The next of ours should end by then; clients that come later take the place of fresh work.
            run, out = self.runs[sub.grade.name].mean(self.now), len(self.submissions) - len(self.pool)
            advice = 1 << 60 if sub.spoilt else int(run / max(1, out))  # what is spoilt would fail again
            self.orders.append(RejectRequest(sub.id, min(self.clients.max_retry_after, advice)))
            if self.now >= self.quiet_until:  # one line in five seconds tells enough of an overload
                self.quiet_until = self.now + 5_000_000
                waits = f"{len(self.pool)} waiting, {self.outstanding:g} slots out"
                self.log(f"denying {sub.grade.name} after {(self.now - sub.arrived_at) // 1000} ms: {waits}")
        else:
            self.orders.append(FailRequest(sub.id))
