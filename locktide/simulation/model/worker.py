"""One worker: cores and a queue, warm-up from cold, pauses, slowdowns, drain, death, and what it tells of its
jobs.

A state machine: `offer`, `withdraw` and the other calls bring it up to `now` and change it; `advance` gives
what has come about since, in order; `next_at` says when something will. Times are whole microseconds; work is
microseconds of one core at speed 1.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import sqrt

STARTED, RUNNING, DONE, FAILED, RETURNED = "started", "running", "done", "failed", "returned"

TAKEN, FULL = "taken", "full"


@dataclass(slots=True)
class RunningJob:
    """One dispatch as its worker has it."""

    key: int  # of this dispatch, among all of a rehearsal
    id: str  # of the submission
    sender: int  # the dispatcher
    work: int
    width: int
    fails: bool = False
    taken_at: int = 0
    ends_at: float = 0.0  # of the worker's own count of work
    begins_at: float = 0.0
    told_at: int = 0  # when its progress was last told
    seen: DeduplicationRecord | None = None  # of a numbered one: what its pod knew when it was taken
    given_up: bool = False  # the dispatcher has withdrawn it: nothing more is told of it


@dataclass(slots=True)
class JobReport:
    """What a worker has to tell of a job."""

    at: int
    job: RunningJob
    state: str
    share: float = 0.0


@dataclass(slots=True)
class WorkerConfig:
    """How one worker is made; spans in microseconds."""

    cores: int
    speed: float
    queue: int
    cold_from: float
    cold_for: int
    fall_factor: float
    fall_for: int
    progress: int
    cancels: str
    hands_back: bool


@dataclass(slots=True)
class ColdLoadSample:
    """Work that reached a worker while it was cold, for the rule on pushing one over."""

    at: int
    work: float
    sender: int


class EmulatedWorker:
    def __init__(self, terms: WorkerConfig, now: int, cold: bool = False) -> None:
        self.terms = terms
        self.slow = self.shared = 1.0  # how many times slower, by itself and with all others
        self.held_until = 0  # paused or hung till then
        self.draining = False
        self.start(now, cold)

    def start(self, now: int, cold: bool) -> None:
        """A new process: it holds nothing and knows nothing."""
        self.at, self.done = now, 0.0  # up to when it has worked, and how much work each busy core has done
        self.begun_at = now if cold else now - self.terms.cold_for
        self.up, self.draining, self.held_until = True, False, 0
        self.queue: deque[RunningJob] = deque()
        self.jobs: dict[int, RunningJob] = {}  # running
        self.free = self.terms.cores
        self.reached: deque[ColdLoadSample] = deque()
        self.words: list[JobReport] = []

    # --- how fast it is

    def warmth(self, now: int) -> float:
        """The part of its speed that it has, rising evenly from `cold_from` to 1."""
        age, terms = now - self.begun_at, self.terms
        if age >= terms.cold_for:
            return 1.0
        return terms.cold_from + (1.0 - terms.cold_from) * age / terms.cold_for

    def cold(self, now: int) -> bool:
        return now - self.begun_at < self.terms.cold_for

    def pace(self) -> float:
        return self.terms.speed / (self.slow * self.shared)

    def worked(self, since: int, until: int) -> float:
        """What one busy core does in that span: the integral of the pace, but for pauses."""
        since = max(since, min(self.held_until, until))
        warm_at = self.begun_at + self.terms.cold_for
        rising = max(0, min(until, warm_at) - since)
        amount = rising * (self.warmth(since) + self.warmth(since + rising)) / 2 if rising else 0.0
        return self.pace() * (amount + (until - since - rising))

    def until_done(self, work: float) -> int:
        """When one busy core will have done so much more, as things stand."""
        since = max(self.at, self.held_until)
        need = work / self.pace()
        warm_at = self.begun_at + self.terms.cold_for
        if since < warm_at:
            level = self.warmth(since)
            rise = (1.0 - self.terms.cold_from) / self.terms.cold_for
            whole = (warm_at - since) * (level + 1.0) / 2
            if need <= whole:
                # level * t + rise * t^2 / 2 = need
                return (
                    since
                    + int((sqrt(level * level + 2 * rise * need) - level) / rise if rise else need / level)
                    + 1
                )
            return warm_at + int(need - whole) + 1
        return since + int(need) + 1

    # --- time

    def next_at(self) -> int | None:
        """When it next has something to tell; None while it has nothing to do."""
        if not self.up:
            return None
        if self.words:
            return self.at
        moments = []
        if self.jobs:
            first = min(job.ends_at for job in self.jobs.values())
            moments.append(self.until_done(first - self.done))
            if self.terms.progress:
                told = min(job.told_at for job in self.jobs.values()) + self.terms.progress
                moments.append(max(told, self.held_until))
        elif self.queue:
            moments.append(self.held_until)
        return min(moments) if moments else None

    def advance(self, now: int) -> list[JobReport]:
        """Works up to `now`; what there is to tell of it, in order."""
        if not self.up:
            return []
        while self.at < now and self.jobs:
            first = min(self.jobs.values(), key=lambda job: job.ends_at)
            end = self.until_done(first.ends_at - self.done)
            if end > now:
                break
            self.done = first.ends_at
            self.at = end
            self.finish(first)
        if self.at < now:
            if self.jobs:
                self.done += self.worked(self.at, now)
            self.at = now
        self.fill()
        if self.terms.progress and now >= self.held_until:
            for job in self.jobs.values():
                if now - job.told_at >= self.terms.progress:
                    job.told_at = now
                    self.words.append(JobReport(now, job, RUNNING, self.share(job)))
        words, self.words = self.words, []
        return words

    def share(self, job: RunningJob) -> float:
        return min(1.0, max(0.0, (self.done - job.begins_at) / max(1.0, job.ends_at - job.begins_at)))

    def finish(self, job: RunningJob) -> None:
        del self.jobs[job.key]
        self.free += job.width
        self.words.append(JobReport(self.at, job, FAILED if job.fails else DONE, 1.0))
        self.fill()

    def fill(self) -> None:
        """Starts waiting jobs in order; the first waits until it fits."""
        if self.at < self.held_until:
            return
        while self.queue and self.queue[0].width <= self.free:
            job = self.queue.popleft()
            self.free -= job.width
            job.told_at = self.at
            job.begins_at, job.ends_at = self.done, self.done + job.work
            self.jobs[job.key] = job
            self.words.append(JobReport(self.at, job, STARTED))

    # --- what is asked of it

    def offer(self, now: int, job: RunningJob) -> str:
        """TAKEN or FULL. The caller advances it before and after."""
        if self.cold(now):
            self.reached.append(ColdLoadSample(now, float(job.work * job.width), job.sender))
        if self.draining or len(self.queue) >= self.terms.queue * self.terms.cores:
            return FULL
        job.taken_at = now
        self.queue.append(job)
        return TAKEN

    def withdraw(self, id: str, sender: int) -> list[RunningJob]:
        """What that has stopped, of what the sender gave it; running work goes on unless `cancels` says
        otherwise.
        """
        asked = [job for job in (*self.queue, *self.jobs.values()) if job.id == id and job.sender == sender]
        stopped = []
        for job in asked:
            job.given_up = True
            if job.key in self.jobs:
                if self.terms.cancels != "running":
                    continue
                del self.jobs[job.key]
                self.free += job.width
            elif self.terms.cancels == "none":
                continue
            else:
                self.queue.remove(job)
            stopped.append(job)
        return stopped

    def hold(self, until: int) -> None:
        """Stands still till then: a pause, or a hang that is as long as it lasts."""
        self.held_until = max(self.held_until, until)

    def drain(self, now: int) -> list[JobReport]:
        """Finishes what runs, takes nothing new; gives back what has not started, where it does that."""
        self.draining = True
        if not self.terms.hands_back:
            return []
        waiting, self.queue = list(self.queue), deque()
        return [JobReport(now, job, RETURNED) for job in waiting]

    def kill(self) -> list[RunningJob]:
        """Dies with all it holds."""
        lost = [*self.jobs.values(), *self.queue]
        self.up, self.jobs, self.queue, self.words = False, {}, deque(), []
        return lost

    def holds(self) -> int:
        return len(self.jobs) + len(self.queue)

    # --- being pushed over

    def pushed_over(self, now: int) -> list[ColdLoadSample]:
        """What pushed it over, or nothing: work within the window above so many times what it can do now."""
        while self.reached and self.reached[0].at <= now - self.terms.fall_for:
            self.reached.popleft()
        if not self.up or not self.cold(now) or not self.reached:
            return []
        can = self.terms.cores * self.terms.speed * self.warmth(now) * self.terms.fall_for
        # Two more of the largest that came: chance alone brings that much together.
        slack = 2 * max(sent.work for sent in self.reached)
        if sum(sent.work for sent in self.reached) <= self.terms.fall_factor * can + slack:
            return []
        return list(self.reached)


@dataclass(slots=True)
class DeduplicationRecord:
    """What a pod knows of one number."""

    since: int  # when it was first taken
    had_effect: bool = False


@dataclass
class DeduplicationCell:
    """Workers that share the memory of numbered submissions: what is taken within the span is known as a
    repeat, and has no effect if what it repeats had one."""

    span: int
    seen: dict[str, DeduplicationRecord] = field(default_factory=dict)

    def takes(self, number: str, now: int) -> DeduplicationRecord:
        known = self.seen.get(number)
        if known is None or now - known.since >= self.span:
            known = self.seen[number] = DeduplicationRecord(now)
        return known


class SharedCapacity:
    """A thing that all workers depend on: slower by a script, or by more jobs at once than it bears."""

    def __init__(self, capacity: float) -> None:
        self.capacity, self.running, self.factors = capacity, 0, [1.0]

    def factor(self) -> float:
        """How many times slower everything is."""
        crowded = self.running / self.capacity if self.capacity else 0.0
        return max(1.0, crowded) * max(self.factors)
