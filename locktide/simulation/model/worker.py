"""Model of one worker: cores and a queue, warm-up, pauses, slowdowns, draining, crashes, and job reports.

The worker is a state machine: `offer`, `withdraw` and other methods change its state at `now`; `advance`
returns the reports since the last call, in order; `next_at` returns when the next one is due. Times are
whole microseconds; work is measured in microseconds of one core at speed 1.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import sqrt

STARTED, RUNNING, DONE, FAILED, RETURNED = "started", "running", "done", "failed", "returned"

TAKEN, FULL = "taken", "full"


@dataclass(slots=True)
class RunningJob:
    """One attempt, as its worker sees it."""

    key: int  # of this attempt, unique in a run
    id: str  # of the submission
    sender: int  # number of the dispatcher
    work: int
    width: int
    fails: bool = False
    taken_at: int = 0
    ends_at: float = 0.0  # on the scale of EmulatedWorker.done
    begins_at: float = 0.0  # on the same scale
    reported_at: int = 0  # time of the last progress report
    # For a numbered job: the record of its pod at the time of acceptance.
    seen: DeduplicationRecord | None = None
    is_cancelled: bool = False  # cancelled by its dispatcher: nothing more is reported


@dataclass(slots=True)
class JobReport:
    """A report of a worker on a job, to be sent as a callback."""

    at: int
    job: RunningJob
    state: str
    share: float = 0.0


@dataclass(slots=True)
class WorkerConfig:
    """Properties of one worker; spans in microseconds."""

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
    """Work that reached a worker while it was cold, for the rule on overloading a cold worker."""

    at: int
    work: float
    sender: int


class EmulatedWorker:
    def __init__(self, config: WorkerConfig, now: int, cold: bool = False) -> None:
        self.config = config
        self.slow = self.shared = 1.0  # slowdown factors: of this worker, of all workers
        self.held_until = 0  # paused or hanging until this time
        self.draining = False
        self.start(now, cold)

    def start(self, now: int, cold: bool) -> None:
        """Start as a new process, without jobs or any other state."""
        # The time of the last update, and the work done by each busy core until then.
        self.at, self.done = now, 0.0
        self.started_at = now if cold else now - self.config.cold_for
        self.up, self.draining, self.held_until = True, False, 0
        self.queue: deque[RunningJob] = deque()
        self.jobs: dict[int, RunningJob] = {}  # running
        self.free_cores = self.config.cores
        self.cold_loads: deque[ColdLoadSample] = deque()
        self.reports: list[JobReport] = []

    # --- speed

    def warmth(self, now: int) -> float:
        """Return the current fraction of the full speed, which rises linearly from `cold_from` to 1."""
        age, config = now - self.started_at, self.config
        if age >= config.cold_for:
            return 1.0
        return config.cold_from + (1.0 - config.cold_from) * age / config.cold_for

    def is_cold(self, now: int) -> bool:
        return now - self.started_at < self.config.cold_for

    def pace(self) -> float:
        return self.config.speed / (self.slow * self.shared)

    def work_between(self, since: int, until: int) -> float:
        """Return the work that one busy core does in that span: the integral of its speed without pauses."""
        since = max(since, min(self.held_until, until))
        warm_at = self.started_at + self.config.cold_for
        rising = max(0, min(until, warm_at) - since)
        amount = rising * (self.warmth(since) + self.warmth(since + rising)) / 2 if rising else 0.0
        return self.pace() * (amount + (until - since - rising))

    def finish_time(self, work: float) -> int:
        """Return when one busy core will have done `work` more if nothing changes meanwhile."""
        since = max(self.at, self.held_until)
        need = work / self.pace()
        warm_at = self.started_at + self.config.cold_for
        if since < warm_at:
            level = self.warmth(since)
            rise = (1.0 - self.config.cold_from) / self.config.cold_for
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
        """Return when the next report is due; None for a worker with nothing to do."""
        if not self.up:
            return None
        if self.reports:
            return self.at
        times = []
        if self.jobs:
            first = min(job.ends_at for job in self.jobs.values())
            times.append(self.finish_time(first - self.done))
            if self.config.progress:
                report_due = min(job.reported_at for job in self.jobs.values()) + self.config.progress
                times.append(max(report_due, self.held_until))
        elif self.queue:
            times.append(self.held_until)
        return min(times) if times else None

    def advance(self, now: int) -> list[JobReport]:
        """Work until `now`; return the reports in order."""
        if not self.up:
            return []
        while self.at < now and self.jobs:
            first = min(self.jobs.values(), key=lambda job: job.ends_at)
            end = self.finish_time(first.ends_at - self.done)
            if end > now:
                break
            self.done = first.ends_at
            self.at = end
            self.finish(first)
        if self.at < now:
            if self.jobs:
                self.done += self.work_between(self.at, now)
            self.at = now
        self.start_waiting_jobs()
        if self.config.progress and now >= self.held_until:
            for job in self.jobs.values():
                if now - job.reported_at >= self.config.progress:
                    job.reported_at = now
                    self.reports.append(JobReport(now, job, RUNNING, self.share(job)))
        reports, self.reports = self.reports, []
        return reports

    def share(self, job: RunningJob) -> float:
        return min(1.0, max(0.0, (self.done - job.begins_at) / max(1.0, job.ends_at - job.begins_at)))

    def finish(self, job: RunningJob) -> None:
        del self.jobs[job.key]
        self.free_cores += job.width
        self.reports.append(JobReport(self.at, job, FAILED if job.fails else DONE, 1.0))
        self.start_waiting_jobs()

    def start_waiting_jobs(self) -> None:
        """Start waiting jobs in order; while the first does not fit, those behind it wait too."""
        if self.at < self.held_until:
            return
        while self.queue and self.queue[0].width <= self.free_cores:
            job = self.queue.popleft()
            self.free_cores -= job.width
            job.reported_at = self.at
            job.begins_at, job.ends_at = self.done, self.done + job.work
            self.jobs[job.key] = job
            self.reports.append(JobReport(self.at, job, STARTED))

    # --- requests of dispatchers, and faults

    def offer(self, now: int, job: RunningJob) -> str:
        """Accept or reject a job: return TAKEN or FULL. The caller calls `advance` before and after."""
        if self.is_cold(now):
            self.cold_loads.append(ColdLoadSample(now, float(job.work * job.width), job.sender))
        if self.draining or len(self.queue) >= self.config.queue * self.config.cores:
            return FULL
        job.taken_at = now
        self.queue.append(job)
        return TAKEN

    def withdraw(self, id: str, sender: int) -> list[RunningJob]:
        """Cancel the sender's attempts of that submission, and return those that are stopped by it.

        Depending on `cancels`, running or even waiting attempts continue; nothing more is reported on them.
        """
        matching = [
            job for job in (*self.queue, *self.jobs.values()) if job.id == id and job.sender == sender
        ]
        stopped = []
        for job in matching:
            job.is_cancelled = True
            if job.key in self.jobs:
                if self.config.cancels != "running":
                    continue
                del self.jobs[job.key]
                self.free_cores += job.width
            elif self.config.cancels == "none":
                continue
            else:
                self.queue.remove(job)
            stopped.append(job)
        return stopped

    def hold(self, until: int) -> None:
        """Do no work until then, in a pause or a hang."""
        self.held_until = max(self.held_until, until)

    def drain(self, now: int) -> list[JobReport]:
        """Accept no more jobs, and finish the running ones; with `hands_back`, return those not started."""
        self.draining = True
        if not self.config.hands_back:
            return []
        waiting, self.queue = list(self.queue), deque()
        return [JobReport(now, job, RETURNED) for job in waiting]

    def kill(self) -> list[RunningJob]:
        """Crash; return the jobs that are lost."""
        lost = [*self.jobs.values(), *self.queue]
        self.up, self.jobs, self.queue, self.reports = False, {}, deque(), []
        return lost

    def job_count(self) -> int:
        return len(self.jobs) + len(self.queue)

    # --- overload of a cold worker

    def pushed_over(self, now: int) -> list[ColdLoadSample]:
        """Return the work that crashes a cold worker by overload, or nothing if there is no overload.

        Overload is more than `fall_factor` times the work that the worker can do now, within the window.
        """
        while self.cold_loads and self.cold_loads[0].at <= now - self.config.fall_for:
            self.cold_loads.popleft()
        if not self.up or not self.is_cold(now) or not self.cold_loads:
            return []
        capacity = self.config.cores * self.config.speed * self.warmth(now) * self.config.fall_for
        # Two more jobs of the largest size are allowed, as that many coincide by chance alone.
        slack = 2 * max(sent.work for sent in self.cold_loads)
        if sum(sent.work for sent in self.cold_loads) <= self.config.fall_factor * capacity + slack:
            return []
        return list(self.cold_loads)


@dataclass(slots=True)
class DeduplicationRecord:
    """Record of a pod on one idempotency key."""

    since: int  # when the key was first accepted
    had_effect: bool = False


@dataclass
class DeduplicationCell:
    """Workers that share a deduplication record of numbered requests.

    A key that is accepted again within the span is a repeat; a repeat has no effect if the first job had an
    effect.
    """

    span: int
    seen: dict[str, DeduplicationRecord] = field(default_factory=dict)

    def record(self, number: str, now: int) -> DeduplicationRecord:
        first = self.seen.get(number)
        if first is None or now - first.since >= self.span:
            first = self.seen[number] = DeduplicationRecord(now)
        return first


class SharedCapacity:
    """A resource that all workers depend on; it is slowed by faults, and by more jobs than its capacity."""

    def __init__(self, capacity: float) -> None:
        self.capacity, self.running, self.factors = capacity, 0, [1.0]

    def factor(self) -> float:
        """Return the slowdown factor of all workers."""
        load = self.running / self.capacity if self.capacity else 0.0
        return max(1.0, load) * max(self.factors)
