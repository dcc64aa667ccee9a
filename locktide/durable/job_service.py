"""Where clients of durable jobs are met: it stands between the server and the node, and keeps what the node
is given.

What is on the disk before what: a job before it is accepted or dispatched, a lease before its first byte, a
final answer before its client or its worker is told that we have it. So a crash at any moment leaves either a
job that was never promised, or one that is taken up with all that may have run of it.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import re
from collections.abc import Awaitable, Collection
from dataclasses import dataclass, replace
from typing import Any

from locktide.dispatcher.dispatcher import Dispatcher
from locktide.dispatcher.records import OpenAttempt, OpenRequest
from locktide.durable import leases, recovery
from locktide.durable.jobs import DONE, Job, JobTable
from locktide.durable.log.records import (
    AttemptEnded,
    JobAccepted,
    JobFinished,
    LateReport,
    LeaseGranted,
    WriterStarted,
)
from locktide.durable.log.write_ahead_log import LogWriteError, WriteAheadLog
from locktide.durable.recovery import ClockReading
from locktide.protocol import names
from locktide.protocol import server_connection as clients
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.client_connection import Response
from locktide.transport.log import Log

WAIT = re.compile(r"wait\s*=\s*(\d{1,6})", re.ASCII)
LOOK_EVERY = (
    0.25  # seconds between two looks for leases that have run out: a tenth of the shortest useful one
)
# Seconds between two tries to write a final answer that could not be written; a full disk is cleared by hand.
WRITE_AGAIN = 0.5
POLL_AFTER = 1.0  # seconds that a client is told to wait before it asks again: workers tell progress as often
FORGET_EVERY = 5.0
MOST_LATE = 16  # late words kept of one job: four dispatches have a few each; a bad peer could send for ever
BUSY_AFTER = 2.0  # seconds for a client to come back where no more jobs are taken


@dataclass(frozen=True, slots=True)
class JobConfig:
    """Spans in microseconds."""

    grades: Collection[str]
    limit: int  # of a job for which nobody waits
    keep: int  # how long a final answer can be asked for
    most_open: int
    pace: float  # jobs taken up a second after a crash
    leases: leases.LeaseConfig


@dataclass(slots=True)
class Preference:
    """What a client wants of a submission: to be told at once that it is taken, or after so long a wait."""

    detached: bool
    wait: float


def read_preference(fields: dict[str, str]) -> Preference:
    """By the Prefer header (RFC 7240): respond-async, and wait=SECONDS."""
    told = fields.get(names.PREFER.lower(), "")
    wait = WAIT.search(told)
    detached = "respond-async" in [part.partition(";")[0].strip().lower() for part in told.split(",")]
    return Preference(detached, float(wait[1]) if wait else 0.0)


class JobService:
    """One dispatcher's durable jobs: the node's keeper and the server's desk."""

    def __init__(self, node: Dispatcher, journal: WriteAheadLog, terms: JobConfig, log: Log) -> None:
        self.node, self.journal, self.terms, self.log = node, journal, terms, log
        self.leases = leases.LeaseTable(terms.leases)
        self.followers: dict[str, list[asyncio.Future[Response]]] = {}
        self.by_submission: dict[str, asyncio.Future[Response]] = {}
        self.written: dict[str, asyncio.Task[None]] = {}  # final answers on their way to the disk
        self.settled: set[str] = set()  # jobs whose final answer is on the disk
        self.accepting: dict[str, asyncio.Future[None]] = {}  # jobs on their way to the disk
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.resuming: dict[str, None] = {}  # recovered jobs that the node does not have yet
        self.settled.update(job.id for job in self.table.jobs.values() if job.finished)
        node.attach_job_store(self, self)

    @property
    def table(self) -> JobTable:
        return self.journal.table

    def now(self) -> int:
        return self.node.clock.now()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))
        return task

    # --- the start

    async def recover(self, moment: ClockReading) -> None:
        """Takes up what an earlier process left, after `Journal.open` and before the node serves."""
        span = recovery.elapsed_since(self.table.began, self.table.last_at, moment)
        now = self.now()
        steps = recovery.plan(self.table, self.leases, span, now)
        found = self.journal.found
        await self.journal.append(WriterStarted(now, moment.boot, moment.boot_at))
        ends = [step for step in steps if isinstance(step, recovery.FinishJob)]
        resumes = [step for step in steps if isinstance(step, recovery.ResumeJob)]
        self.log.emit(
            f"jobs: {found.records} records in {found.segments} segments: {len(resumes)} to go on with, "
            f"{len(ends)} past their limit, {len(found.torn)} torn ends cut off",
            event="jobs-recovered",
            records=found.records,
            segments=found.segments,
            resumed=len(resumes),
            ended=len(ends),
            torn=len(found.torn),
            damaged=len(found.damaged),
        )
        for end in ends:
            self.finish(end.job.id, Response(end.status, b"its time was up while no dispatcher ran\n"))
        # Those that may still run are only waited for: no new load, and their workers may call at any moment.
        for step in resumes:
            if step.out:
                self.resume(step)
        waiting = [step for step in resumes if not step.out]
        self.resuming.update(dict.fromkeys(step.job.id for step in waiting))
        self.spawn(self.resume_paced(waiting))
        self.spawn(self.look_after())

    async def resume_paced(self, steps: list[recovery.ResumeJob]) -> None:
        """Oldest first, so many a second: a start must not be a storm."""
        for number, step in enumerate(steps):
            if number and number % max(1, int(self.terms.pace / 20)) == 0:
                await asyncio.sleep(0.05)
            self.resuming.pop(step.job.id, None)
            self.resume(step)

    def resume(self, step: recovery.ResumeJob) -> None:
        job = step.job
        arrived_at = min(self.now(), step.limit_at - (job.accepted.limit_at - job.accepted.at))
        message = self.message(job.accepted, job.accepted.limit_at - job.accepted.at)
        fences = [lease.fence for lease in job.leases]
        answer = self.node.recover(message, arrived_at, step.limit_at, step.dispatches, fences)
        answer.add_done_callback(lambda done: self.node_answered(job.id, done))

    @staticmethod
    def message(told: JobAccepted, patience: int) -> clients.SubmitRequest:
        return clients.SubmitRequest(
            told.id,
            told.grade,
            patience,
            told.width,
            False,
            told.method,
            told.target,
            list(told.onward),
            told.body,
            background=True,
        )

    async def look_after(self) -> None:
        """Ends leases that have run out, and forgets what was kept long enough."""
        forget_at = 0.0
        while True:
            await asyncio.sleep(LOOK_EVERY)
            for lease in self.leases.due(self.now()):
                self.log.emit(
                    f"job {lease.job}: lease {lease.fence} of worker {lease.worker} has run out",
                    event="lease-expired",
                    job=lease.job,
                    fence=lease.fence,
                    worker=lease.worker,
                )
                self.node.expire_lease(lease.job, lease.fence)
            if self.node.loop.time() >= forget_at:
                forget_at = self.node.loop.time() + FORGET_EVERY
                if self.table.forget(self.now(), self.terms.keep):
                    self.settled &= self.table.jobs.keys()

    # --- the server's desk

    def is_ready(self) -> bool:
        return self.node.is_ready()

    def submit(self, message: clients.SubmitRequest) -> asyncio.Future[Response] | None:
        if message.service_class not in self.terms.grades:
            return self.node.submit(message)
        fields = {name.decode().lower(): value.decode("latin-1") for name, value in message.onward}
        wanted, key = read_preference(fields), fields.get(names.NUMBER.lower(), "")
        whole = b"\0".join((message.method.encode(), message.target.encode(), message.body))
        digest = hashlib.sha256(whole).hexdigest()
        known = self.table.find(message.service_class, key) if key else None
        answer: asyncio.Future[Response] = self.node.loop.create_future()
        if known is not None:
            if known.accepted.digest != digest:
                answer.set_result(Response(422, b"this number was used for another submission\n"))
                return answer
            self.follow(known.id, message, wanted, answer)
            return answer
        if (
            message.id in self.table.jobs
            or message.id in self.node.open_requests
            or message.id in self.node.answered_ids
        ):
            return None
        if self.table.opened >= self.terms.most_open or self.journal.broken:
            answer.set_result(self.denied("no more jobs are taken now"))
            return answer
        patience = max(message.timeout, self.terms.limit) if wanted.detached else message.timeout
        now = self.now()
        prefer = names.PREFER.lower().encode()
        onward = [(name, value) for name, value in message.onward if name.lower() != prefer]
        record = JobAccepted(
            message.id,
            key,
            digest,
            message.service_class,
            message.method,
            message.target,
            onward,
            message.body,
            now,
            now + patience,
            message.width,
        )
        written = self.accepting[message.id] = self.journal.append(record)
        self.follow(message.id, message, wanted, answer)
        self.spawn(self.accept(record, written, patience, wanted.detached))
        return answer

    async def accept(
        self, record: JobAccepted, written: asyncio.Future[None], patience: int, detached: bool
    ) -> None:
        """Once it is on the disk it is dispatched; where it cannot be written it was never accepted."""
        try:
            await written
        except LogWriteError as trouble:
            self.table.drop(record.id)
            self.log.emit(f"jobs: not accepted: {trouble}", event="job-not-accepted", trouble=str(trouble))
            self.tell(record.id, self.denied("it could not be written down"))
            return
        finally:
            self.accepting.pop(record.id, None)
        # The limit runs on while the disk is waited for.
        left = patience - (self.now() - record.at)
        taken = self.node.submit(replace(self.message(record, max(1, left)), background=detached))
        if taken is None:
            self.finish(record.id, Response(503, b"this id is in use\n"))
            return
        taken.add_done_callback(lambda done: self.node_answered(record.id, done))

    @staticmethod
    def denied(why: str) -> Response:
        return Response(503, f"denied: {why}\n".encode(), [("Retry-After", f"{BUSY_AFTER:g}")])

    def follow(
        self, id: str, message: clients.SubmitRequest, wanted: Preference, answer: asyncio.Future[Response]
    ) -> None:
        """Has `answer` set by the final one, or as the client wants it."""
        self.by_submission[message.id] = answer
        answer.add_done_callback(lambda _: self.by_submission.pop(message.id, None))
        job = self.table.jobs[id]
        if id in self.settled:
            answer.set_result(self.final(job))
            return
        self.followers.setdefault(id, []).append(answer)
        answer.add_done_callback(lambda done: self.unfollow(id, done))
        if wanted.detached:
            self.spawn(self.detach(id, wanted.wait, answer))
        else:
            # Its own wait may be shorter than the job's time, where it has come to one that was there.
            self.node.loop.call_later(message.timeout / 1e6, self.give_up, id, answer)

    def unfollow(self, id: str, answer: asyncio.Future[Response]) -> None:
        left = [one for one in self.followers.get(id, ()) if one is not answer]
        if left:
            self.followers[id] = left
        else:
            self.followers.pop(id, None)

    async def detach(self, id: str, wait: float, answer: asyncio.Future[Response]) -> None:
        if (written := self.accepting.get(id)) is not None:
            await asyncio.wait([written])
            if written.exception() is not None:
                return  # it is told so
        if wait:
            await asyncio.wait([answer], timeout=wait)
        if not answer.done():
            answer.set_result(self.under_way(id))

    def give_up(self, id: str, answer: asyncio.Future[Response]) -> None:
        if not answer.done():
            answer.set_result(Response(504, b"it is not done yet\n", [("Location", names.JOBS + id)]))

    def under_way(self, id: str) -> Response:
        job = self.table.jobs[id]
        told = {"id": id, "state": job.state, "dispatches": len(job.leases)}
        return Response(
            202,
            json.dumps(told).encode() + b"\n",
            [
                ("Location", names.JOBS + id),
                ("Retry-After", f"{POLL_AFTER:g}"),
                ("Preference-Applied", "respond-async"),
                ("Content-Type", "application/json"),
            ],
        )

    def final(self, job: Job) -> Response:
        assert job.finished is not None
        headers = [(names.JOB_STATE, job.state), ("Location", names.JOBS + job.id)]
        if job.finished.advice:
            headers.append(("Retry-After", f"{job.finished.advice / 1e6:.3f}"))
        return Response(job.finished.status, job.finished.body, headers)

    def query_job(self, message: clients.JobQuery) -> Response:
        """Where a job stands: 202 while it is open, then 200 with its state and what came of it."""
        job = self.table.jobs.get(message.id)
        if job is None or message.id in self.accepting:
            return Response(404, b"no such job\n")
        if message.id not in self.settled:
            return self.under_way(message.id)
        found = self.final(job)
        return replace(found, status=200)

    def client_disconnected(self, message: clients.SubmitRequest) -> None:
        """A client has gone away; its job goes on."""
        if message.service_class not in self.terms.grades:
            self.node.client_disconnected(message)
        elif (answer := self.by_submission.get(message.id)) is not None:
            answer.cancel()

    def handle_callback(self, message: clients.Callback) -> Awaitable[None] | None:
        job = self.table.jobs.get(message.request_id)
        if job is None:
            self.node.handle_callback(message)
            return None
        last, started = message.outcome is not None, message.state == names.STARTED
        heard = self.leases.heard(job.id, message.worker, message.fence, self.now(), last, started)
        if heard in (leases.FENCED, leases.UNKNOWN):
            return self.late(job, message) if last else None
        self.node.handle_callback(message)
        if message.outcome == AttemptOutcome.DONE:
            self.finish(job.id, Response(200, message.result))
        # The worker may forget it only once we cannot: until then it calls again.
        if (task := self.written.get(job.id)) is not None:
            return asyncio.shield(task)
        return None

    def late(self, job: Job, message: clients.Callback) -> Awaitable[None] | None:
        """A word under a lease that has ended is written down as what it is, and changes nothing."""
        if job.id in self.written:
            return asyncio.shield(self.written[job.id])  # the same word once more
        of_worker = [lease.fence for lease in job.leases if lease.worker == message.worker]
        fence = message.fence if message.fence is not None else max(of_worker, default=0)
        told = any(
            (one.fence, one.worker, one.state) == (fence, message.worker, message.state) for one in job.late
        )
        ended = job.ended.get(fence)
        # The word that made the job done, once more: its final answer says so.
        told = told or job.state == DONE and message.outcome == AttemptOutcome.DONE and fence == job.fence
        if told or len(job.late) >= MOST_LATE or ended is not None and ended.outcome == message.outcome:
            return None  # it says what we know
        self.log.emit(
            f"job {job.id}: a late '{message.state}' of worker {message.worker} under lease {fence}",
            event="late-word",
            job=job.id,
            fence=fence,
            worker=message.worker,
            state=message.state,
        )
        written = self.journal.append(LateReport(job.id, fence, message.worker, message.state, self.now()))
        return self.spawn(self.bear(written))

    @staticmethod
    async def bear(written: asyncio.Future[None]) -> None:
        """For what may be lost: a crash would make more of it than it was, never less."""
        try:
            await written
        except LogWriteError:
            pass

    # --- the node's keeper

    def is_durable(self, held: OpenRequest) -> bool:
        return held.message.service_class in self.terms.grades

    async def grant_lease(self, held: OpenRequest, dispatch: OpenAttempt) -> bool:
        job = self.table.jobs.get(held.message.id)
        if job is None or dispatch.outcome:
            return False
        entry = self.node.endpoints.entries[dispatch.worker]
        now = self.now()
        lease = self.leases.grant(job.id, dispatch.worker, now, after=job.fence)
        dispatch.fence = lease.fence
        record = LeaseGranted(job.id, lease.fence, dispatch.worker, entry.zone, entry.cell, now, lease.until)
        try:
            await self.journal.append(record)
        except LogWriteError as trouble:
            # Nothing of it went out, whatever the disk says: it is ended in what we hold.
            self.leases.end(job.id, lease.fence)
            self.table.apply(AttemptEnded(job.id, lease.fence, AttemptOutcome.NEVER_SENT, now))
            self.log.emit(f"jobs: no lease: {trouble}", event="lease-not-written", trouble=str(trouble))
            return False
        self.journal.point("lease written")
        return True

    def attempt_ended(self, held: OpenRequest, dispatch: OpenAttempt) -> None:
        if not dispatch.fence or dispatch.outcome is None:
            return
        self.leases.end(held.message.id, dispatch.fence)
        if dispatch.outcome == AttemptOutcome.DONE:
            return  # its final answer says so
        written = self.journal.append(
            AttemptEnded(held.message.id, dispatch.fence, dispatch.outcome, self.now())
        )
        self.spawn(self.bear(written))

    # --- the one final answer

    def node_answered(self, id: str, done: asyncio.Future[Response]) -> None:
        if not done.cancelled():
            self.finish(id, done.result())

    def finish(self, id: str, answer: Response) -> None:
        job = self.table.jobs.get(id)
        if job is None or id in self.written or job.finished is not None:
            return
        advice = dict(answer.headers).get("Retry-After")
        after = int(float(advice) * 1e6) if advice else 0
        record = JobFinished(id, answer.status, answer.body, after, self.now())
        self.written[id] = self.spawn(self.write_final(record))

    async def write_final(self, record: JobFinished) -> None:
        """Tells nobody before it is on the disk. Tried again while it cannot be written: the job is not lost,
        as a start from what stands would end it, or find it done.
        """
        self.journal.point("before final")
        while True:
            try:
                await self.journal.append(record)
                break
            except LogWriteError as trouble:
                why = str(trouble)
                self.log.emit(f"jobs: no final answer: {why}", event="final-not-written", trouble=why)
                await asyncio.sleep(WRITE_AGAIN)
        self.journal.point("after final")
        self.leases.drop(record.id)
        self.settled.add(record.id)
        self.written.pop(record.id, None)
        self.tell(record.id, self.final(self.table.jobs[record.id]))

    def tell(self, id: str, answer: Response) -> None:
        for follower in self.followers.pop(id, []):
            if not follower.done():
                follower.set_result(replace(answer, headers=list(answer.headers)))

    async def close(self) -> None:
        for task in list(self.tasks):
            if task not in self.written.values():
                task.cancel()
        if self.written:
            await asyncio.wait(list(self.written.values()), timeout=2.0)
        await self.journal.settle()
        self.journal.close()
