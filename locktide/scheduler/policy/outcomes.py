"""What is heard of dispatches, from their sending to their end."""

from typing import Any

from locktide.scheduler.events import AttemptEnded, AttemptProgressed, AttemptSent, AttemptStarted
from locktide.scheduler.policy.admission import Arrivals
from locktide.scheduler.policy.endpoint import Endpoint
from locktide.scheduler.policy.request import Attempt, Request
from locktide.scheduler.types import PROVEN_NOT_RUN, UNINFORMATIVE, UNSENT, AttemptOutcome


class Ends(Arrivals):
    def find(self, submission: Any, number: int) -> Attempt | None:
        sub = self.submissions.get(submission)
        return sub.dispatches[number] if sub is not None and number < len(sub.dispatches) else None

    def take_sent(self, news: AttemptSent) -> None:
        if dispatch := self.find(news.request_id, news.attempt):
            dispatch.sent_at = self.now  # guards against a new connection that makes prompt starts look late

    def take_started(self, news: AttemptStarted) -> None:
        if (dispatch := self.find(news.request_id, news.attempt)) is None:
            return
        worker = dispatch.worker
        dispatch.started_at = dispatch.heard_at = worker.heard_at = self.now
        running = worker.own - sum([other.submission.width for other in worker.waiting])
        self.cold.slots = max(self.cold.slots, running)
        self.sparse = 3.0 * self.cold.slots * self.shares.part < 1.0
        if dispatch.blamed:  # it was slow to say so, not silent
            worker.bad.add(-1.0, self.now)
        if self.signs.report_interval:
            self.wake(self.signs.report_interval * 3 // 2, dispatch)
        self.settle(dispatch, self.now - dispatch.sent_at <= self.prompt)

    def take_progress(self, news: AttemptProgressed) -> None:
        if (dispatch := self.find(news.request_id, news.attempt)) is None:
            return
        dispatch.heard_at = dispatch.worker.heard_at = self.now
        sub = dispatch.submission
        # Four times a hint, or three deviations over the usual run, is past a sound worker and common sizes.
        long = 4.0 * sub.hint or self.runs[sub.grade.name].long(self.now)
        whole = (self.now - dispatch.started_at) / max(news.fraction_done, 0.001)
        if dispatch.started_at and whole > long and not dispatch.blamed:
            dispatch.blamed = True
            self.blame(dispatch.worker, "slow progress")

    def settle(self, dispatch: Attempt, prompt: bool) -> None:
        """The first word on a dispatch: it started, or ended before we heard that it had."""
        worker, width = dispatch.worker, dispatch.submission.width
        if worker.waiting.pop(dispatch, 0) is None:
            if prompt and dispatch.further:
                self.credit = min(10.0, self.credit + 1.0)  # it found a better place: the next is paid for
            if prompt and dispatch.at_cap:
                # A quarter of the width: four prompt starts make a cap of one two. Others scored worse.
                worker.cap += 0.25 * width
            elif not prompt:
                # A quarter off: at a cap of two, a late start undoes two prompt ones. Halving scored worse.
                worker.cap = max(self.floor(), 0.75 * worker.cap)

    def take_ended(self, news: AttemptEnded) -> None:
        dispatch = self.find(news.request_id, news.attempt)
        if dispatch is None or dispatch not in dispatch.submission.out:
            return
        sub, worker = dispatch.submission, dispatch.worker
        worker.own -= sub.width
        worker.left(self.now - dispatch.sent_at, self.now)
        if news.outcome in (AttemptOutcome.DONE, AttemptOutcome.ERROR, AttemptOutcome.FULL):
            worker.kept = [until for until in worker.kept if until > self.now]
            worker.kept.append(self.now + self.prices.idle_timeout)
        self.hang_up(worker)
        sub.out.remove(dispatch)
        self.outstanding -= sub.width
        if news.outcome not in UNINFORMATIVE:
            self.settle(dispatch, news.outcome == AttemptOutcome.DONE)
        worker.waiting.pop(dispatch, 0)
        if news.outcome == AttemptOutcome.DONE:
            if dispatch.started_at:
                run = self.now - dispatch.started_at
                usual = sub.hint or self.runs[sub.grade.name].mean(self.now)
                # Four times the usual is a heavy submission, not a slow kind.
                self.paces.add(worker.kind, min(4.0, run / usual), self.now)
                self.runs[sub.grade.name].add(run, self.now)
            worker.succeeded(self.now)
            for one in sub.erred:  # it has ended well: where it had failed before, the workers were at fault
                self.worker_faults.add(1.0, self.now)
                self.blame(one, AttemptOutcome.ERROR)
            # A tenth of what goes well may be followed by a further dispatch all the same.
            self.credit = min(10.0, self.credit + 0.1)
        elif news.outcome == AttemptOutcome.ERROR:
            self.take_error(sub, worker)
        elif news.outcome in (AttemptOutcome.RESET, AttemptOutcome.NO_CONNECTION):
            self.blame(worker, news.outcome)
        elif news.outcome == AttemptOutcome.FULL:
            # Guards against one that turns all away, so has nothing of ours, and draws all that waits.
            worker.heard_at = self.now
            worker.full_until = self.now + int(self.runs[sub.grade.name].mean(self.now))
            # Guards against using up all dispatches while all are full, within a part of the patience.
            sub.not_before = self.now + self.patience(sub) // self.dispatching.max_attempts
        if news.outcome == AttemptOutcome.NO_CONNECTION:
            # Guards against spinning on what refuses: as long as a connection may take, we ask for no other.
            worker.full_until = max(worker.full_until, self.now + 250_000)
        unsent = news.outcome in UNSENT and not self.dispatching.counts_unsent
        # Guards against giving up a job for which nobody waits, as four workers at once had no room; and
        # against using up all dispatches within milliseconds where a zone is lost and only the lost may have
        # what may have run. Both wait until there is one.
        sub.uncounted += unsent or sub.patient and news.outcome in PROVEN_NOT_RUN
        if unsent and not sub.patient:
            self.credit += dispatch.further
        if news.outcome in PROVEN_NOT_RUN:
            sub.held.remove(dispatch)
        if not sub.answered:
            self.advance(sub, news)
        elif not sub.out:
            del self.submissions[sub.id]

    def take_error(self, sub: Request, worker: Endpoint) -> None:
        """Holds an error against the submission if it fails at a second sound worker, too; else against the
        worker, once it has ended well elsewhere, or at once where it cannot be sent there.

        Guards against floods of submissions that fail anywhere: the workers at which they show, and soon all,
        would be avoided for it. While most errors were found to be submissions' own it waits, too."""
        if worker.doubtful(self.now):  # its error is no word on the submission
            self.blame(worker, AttemptOutcome.ERROR)
        elif any([one is not worker for one in sub.erred]):
            sub.spoilt, sub.erred = True, []
            self.own_faults.add(1.0, self.now)
        elif self.may_dispatch(sub):
            sub.erred.append(worker)
        elif self.own_faults.read(self.now) <= max(0.5, self.worker_faults.read(self.now)):
            self.blame(worker, AttemptOutcome.ERROR)
