"""Accepts durable jobs: a job is on the disk before it is acknowledged or dispatched.

If a job cannot be written, the client gets a 503 and the job counts as never accepted. If it may be on the
disk nevertheless, the client gets a 504, as the next process may run it. A request with the idempotency key
of an earlier job creates no new job: its client waits for the earlier one, or gets a 422 if the content of
the request differs.
"""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass

from locktide.durable.completion import JobCompletion
from locktide.durable.errors import LogWriteError
from locktide.durable.job_context import JobContext
from locktide.durable.jobs import Job
from locktide.durable.log.records import JobAccepted
from locktide.durable.log.stored_service_class import StoredServiceClass
from locktide.durable.preference import Preference, read_preference
from locktide.durable.responses import (
    id_conflict_response,
    key_conflict_response,
    rejected_response,
    wait_timed_out_response,
)
from locktide.durable.waiters import JobWaiters
from locktide.protocol import names
from locktide.protocol.messages import SubmitRequest
from locktide.scheduler.config import ServiceClass
from locktide.transport.interfaces import Response

#: Smallest timeout with which a job is submitted, in microseconds. If the deadline of a job passed while its
#: record was being written, the dispatcher ends the job at this timeout like any other job at its deadline.
MIN_TIMEOUT = 1


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A request for a durable job, with the values of its headers.

    Attributes:
        request: The request as it was received.
        preference: Whether and how long the client waits.
        idempotency_key: The idempotency key; empty if there is none.
        digest: SHA-256 of method, target and body, in hexadecimal.
    """

    request: SubmitRequest
    preference: Preference
    idempotency_key: str
    digest: str

    @classmethod
    def read(cls, request: SubmitRequest) -> JobRequest:
        """Read the headers of a request."""
        headers = {
            name.decode().lower(): value.decode("latin-1") for name, value in request.forwarded_headers
        }
        content = b"\0".join((request.method.encode(), request.target.encode(), request.body))
        return cls(
            request=request,
            preference=read_preference(headers),
            idempotency_key=headers.get(names.IDEMPOTENCY_KEY.lower(), ""),
            digest=hashlib.sha256(content).hexdigest(),
        )

    def accepted_record(self, now: int, timeout: int, service_class: ServiceClass | None) -> JobAccepted:
        """Return the record that accepts this job by a class; `now` and `timeout` are in microseconds."""
        request = self.request
        prefer = names.PREFER.lower().encode()
        forwarded = [(name, value) for name, value in request.forwarded_headers if name.lower() != prefer]
        return JobAccepted(
            job_id=request.id,
            key=self.idempotency_key,
            digest=self.digest,
            service_class=request.service_class,
            method=request.method,
            target=request.target,
            forwarded_headers=forwarded,
            body=request.body,
            recorded_at=now,
            deadline=now + timeout,
            width=request.width,
            accepted_class=StoredServiceClass.of(service_class) if service_class is not None else None,
        )


class JobAcceptance:
    """Accepts new jobs, and has the clients of repeated submissions wait for the earlier job."""

    def __init__(self, context: JobContext, waiters: JobWaiters, completion: JobCompletion) -> None:
        self.config = context.config
        self.state = context.state
        self.write_ahead_log = context.write_ahead_log
        self.waiters = waiters
        self.completion = completion
        self.tasks = context.tasks
        self.dispatcher = context.dispatcher
        self.log = context.log

    def submit(self, request: SubmitRequest) -> asyncio.Future[Response] | None:
        """Return a future for the response; None if the request's id is or was in use."""
        job_request = JobRequest.read(request)
        response: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        existing = self._find_existing(job_request)
        if existing is not None:
            self._wait_for_existing(existing, job_request, response)
            return response
        if request.id in self.state.table.jobs or self.dispatcher.is_id_in_use(request.id):
            return None
        if self.state.table.open_count >= self.config.max_open_jobs or self.write_ahead_log.failure:
            response.set_result(rejected_response("no more jobs are taken now"))
            return response
        self._accept(job_request, response)
        return response

    def _find_existing(self, job_request: JobRequest) -> Job | None:
        if not job_request.idempotency_key:
            return None
        service_class = job_request.request.service_class
        return self.state.table.find_by_key(service_class, job_request.idempotency_key)

    def _wait_for_existing(
        self, job: Job, job_request: JobRequest, response: asyncio.Future[Response]
    ) -> None:
        if job.accepted.digest != job_request.digest:
            response.set_result(key_conflict_response())
            return
        if job.job_id in self.state.unconfirmed_jobs:
            response.set_result(wait_timed_out_response(job.job_id))
            return
        self.waiters.add(job.job_id, job_request.request, job_request.preference, response)

    def _accept(self, job_request: JobRequest, response: asyncio.Future[Response]) -> None:
        request = job_request.request
        timeout = request.time_left(asyncio.get_running_loop().time())
        if job_request.preference.respond_async:
            timeout = max(timeout, self.config.detached_timeout)
        service_class = self.dispatcher.service_class(request.service_class)
        record = job_request.accepted_record(self.dispatcher.now(), timeout, service_class)
        write = self.write_ahead_log.append(record)
        self.state.acceptance_writes[request.id] = write
        self.waiters.add(request.id, request, job_request.preference, response)
        self.tasks.spawn(self._dispatch_once_written(record, write, job_request.preference.respond_async))

    async def _dispatch_once_written(
        self, record: JobAccepted, write: asyncio.Future[None], is_background: bool
    ) -> None:
        """Dispatch a job once it is on the disk."""
        try:
            await write
        except LogWriteError as error:
            self._end_unwritten(record, error)
            return
        finally:
            self.state.acceptance_writes.pop(record.job_id, None)
        # The time that the write took is subtracted from the timeout.
        remaining = max(MIN_TIMEOUT, record.deadline - self.dispatcher.now())
        response = self.dispatcher.submit(record, remaining, is_background)
        if response is None:
            self.completion.finish(record.job_id, id_conflict_response())
            return
        self.completion.finish_with(record.job_id, response)

    def _end_unwritten(self, record: JobAccepted, error: LogWriteError) -> None:
        """Answer the clients of a job whose record could not be written.

        After a failed sync a job was rejected that the next process found on the disk and ran, while its
        client had sent it elsewhere, as a rejection allows
        (test_job_that_may_be_on_the_disk_is_not_rejected). Such a job stays in the table: this process does
        not dispatch it, and a repeated submission with its key gets the same response.
        """
        self.log.emit(
            f"job {record.job_id}: not accepted, because it could not be written: {error}",
            event="job_write_failed",
            job=record.job_id,
            error=str(error),
            may_be_stored=error.may_be_stored,
        )
        if error.may_be_stored:
            self.state.unconfirmed_jobs.add(record.job_id)
            self.waiters.resolve(record.job_id, wait_timed_out_response(record.job_id))
            return
        self.state.table.drop(record.job_id)
        self.waiters.resolve(record.job_id, rejected_response("it could not be written down"))
