"""One submission from its arrival to its final answer; mechanism 3: further dispatches."""

from bisect import insort
from typing import Any

from locktide.scheduler.commands import CancelAttempt, StartAttempt
from locktide.scheduler.policy.endpoint import Endpoint
from locktide.scheduler.policy.load_shedding import Denials
from locktide.scheduler.policy.request import POOL, WAIT, Attempt, Course, Request
from locktide.scheduler.types import Effect


class Courses(Denials):
    def begin(self, sub: Request) -> None:
        sub.course = self.course(sub)
        self.advance(sub, None)

    def course(self, sub: Request) -> Course:
        where = WAIT if sub.out else POOL
        while sub.out or self.may_dispatch(sub):  # one that was recovered may have had all it may have
            news = yield where
            if type(news) is Endpoint:
                self.send(sub, news)
                where = WAIT
            elif news is None:  # waiting in the pool no longer pays
                if not sub.out:
                    break
                where = WAIT
            elif type(news) is Attempt:  # in doubt: no start, or no sign of life
                self.doubt(news)
                where = WAIT
            elif news.final:
                for other in sub.out:
                    self.withdraw(other)
                return
            elif not sub.out:
                if sub.spoilt or self.now >= sub.limit_at or not self.may_dispatch(sub):
                    break
                where = POOL
                anew = min(sub.limit_at - 2 * self.round_interval, self.now + self.patience(sub))
                sub.leave_at = max(sub.leave_at, anew)  # what comes back waits its turn once more
        self.answer(sub)

    def may_dispatch(self, sub: Request) -> bool:
        once = sub.held and sub.grade.effect == Effect.AT_MOST_ONCE or 0 < sub.repeats_until() <= self.now
        return len(sub.dispatches) - sub.uncounted < self.dispatching.max_attempts and not once

    def doubt(self, dispatch: Attempt) -> None:
        """A further dispatch in the place of one in doubt, while such ones pay."""
        sub = dispatch.submission
        # Guards against giving up a place for a worse one: bound work waits until it is as good as lost.
        bound = (
            sub.grade.effect != Effect.IDEMPOTENT and not dispatch.started_at and self.now < dispatch.lost_at
        )
        if self.may_dispatch(sub) and self.credit >= 1.0 and not bound:
            self.withdraw(dispatch)

    def withdraw(self, dispatch: Attempt) -> None:
        if self.dispatching.can_cancel:
            self.orders.append(CancelAttempt(dispatch.submission.id, dispatch.number))

    def advance(self, sub: Request, news: Any) -> None:
        """Resumes a course with its news, and puts the submission where the course wants it."""
        try:
            wanted = sub.course.send(news)
        except StopIteration:
            sub.answered = True
            wanted = WAIT
            if not sub.out:
                self.submissions.pop(sub.id, None)
        if sub.pooled != (wanted is POOL):
            sub.pooled = not sub.pooled
            if sub.pooled:
                insort(self.pool, sub, key=lambda one: one.order)
            else:
                self.pool.remove(sub)

    def send(self, sub: Request, worker: Endpoint) -> None:
        dispatch, before = Attempt(sub, len(sub.dispatches), worker, self.now), sub.repeats_until()
        if dispatch.further:
            self.credit -= 1.0
        if self.signs.reports_start:
            # An eighth of the slack: several more such waits still fit. Where ratings tell of free cores a
            # third, as it was not drawn blindly; where of none, all: no queue is shorter then.
            part = 8 if not self.list.terms.live_ratings else 3 if self.held < 0.8 else 1
            self.wake(max(self.prompt, int(self.slack(sub)) // part), dispatch)
        sub.dispatches.append(dispatch)
        sub.out.append(dispatch)
        self.outstanding += sub.width
        sub.held.append(dispatch)
        worker.own += sub.width
        if worker.kept:
            worker.kept.pop()
        if self.cold.is_cold(worker, self.now):
            self.cold.count(worker, self.work(sub), self.now)
        worker.waiting[dispatch] = None
        self.orders.append(StartAttempt(sub.id, worker.id, before))

    def check(self, dispatch: Attempt) -> None:  # it should have given a sign by now
        every, worker = self.signs.report_interval, dispatch.worker
        if not dispatch.started_at:
            # A queue moves within twice the usual run; before that, no start is no one's fault.
            blame_at = dispatch.sent_at + 2 * int(self.runs[dispatch.submission.grade.name].mean(self.now))
            if self.now < blame_at:
                self.wake(blame_at - self.now, dispatch)
            elif worker.heard_at < dispatch.sent_at and not dispatch.blamed:
                dispatch.blamed = True
                self.blame(worker, "no start and no sign of life")
            if blame_at <= self.now < dispatch.lost_at:
                self.wake(dispatch.lost_at - self.now, dispatch)
            self.advance(dispatch.submission, dispatch)
        # One and a half: a progress note may be late by the network, never by half its gap.
        elif every and self.now - dispatch.heard_at > every * 3 // 2:
            self.blame(worker, "no progress told")
            self.advance(dispatch.submission, dispatch)
        elif every:
            self.wake(every * 3 // 2, dispatch)
