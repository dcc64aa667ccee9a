"""Hands durable jobs to the dispatcher: all that durable jobs use of it is here."""

from __future__ import annotations

import asyncio

from locktide.dispatcher.dispatcher import Dispatcher
from locktide.dispatcher.requests import RecoveredJob
from locktide.durable.leases import Lease
from locktide.durable.log.records import JobAccepted
from locktide.durable.recovery import ResumeJob
from locktide.protocol.messages import Callback, SubmitRequest
from locktide.scheduler.events import EndpointEntry
from locktide.transport.client_connection import Response


class JobDispatcher:
    """The dispatcher, as durable jobs use it."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.host = dispatcher.job_host

    def now(self) -> int:
        """Returns the dispatcher's time in microseconds."""
        return self.host.now()

    def is_id_in_use(self, request_id: str) -> bool:
        """Whether a request of that id is open or was answered lately."""
        return self.host.is_id_in_use(request_id)

    def submit(
        self, accepted: JobAccepted, timeout: int, background: bool
    ) -> asyncio.Future[Response] | None:
        """Submits an accepted job; None where its id is in use."""
        return self.dispatcher.submit(_request_of(accepted, timeout, background))

    def resume(self, step: ResumeJob) -> asyncio.Future[Response]:
        """Resumes a job of an earlier process."""
        accepted = step.job.accepted
        timeout = accepted.deadline - accepted.recorded_at
        request = _request_of(accepted, timeout, background=True)
        arrived_at = min(self.now(), step.deadline - timeout)
        fences = [lease.fence for lease in step.job.leases]
        return self.host.recover(
            RecoveredJob(
                message=request,
                arrived_at=arrived_at,
                deadline=step.deadline,
                attempts=step.attempts,
                fences=fences,
            )
        )

    def expire_lease(self, lease: Lease) -> None:
        """Ends the attempt of a lease that has run out."""
        self.host.expire_lease(lease.job_id, lease.fence)

    def handle_callback(self, callback: Callback) -> None:
        """Passes on what a worker reports."""
        self.dispatcher.handle_callback(callback)

    def endpoint(self, worker: str) -> EndpointEntry:
        """Returns the entry of a worker that is listed."""
        return self.host.endpoint(worker)


def _request_of(accepted: JobAccepted, timeout: int, background: bool) -> SubmitRequest:
    return SubmitRequest(
        accepted.job_id,
        accepted.service_class,
        timeout,
        accepted.width,
        False,
        accepted.method,
        accepted.target,
        list(accepted.forwarded_headers),
        accepted.body,
        background=background,
    )
