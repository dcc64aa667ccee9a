"""The interface of the dispatcher that durable jobs use."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from locktide.dispatcher.dispatcher import Dispatcher
from locktide.dispatcher.requests import RecoveredJob
from locktide.durable.leases import Lease
from locktide.durable.log.records import JobAccepted
from locktide.durable.recovery import ResumeJob
from locktide.protocol import names
from locktide.protocol.messages import Callback, Headers, SubmitRequest
from locktide.protocol.submissions import parse_affinity_key, parse_extra_pairs, parse_work_hint
from locktide.scheduler.config import ServiceClass
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import DeduplicationScope, Effect
from locktide.transport.interfaces import Response


class JobDispatcher:
    """Submits and resumes durable jobs at the dispatcher; `JobService` itself forwards all other requests."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.host = dispatcher.job_host

    def now(self) -> int:
        """Return the dispatcher's time in microseconds."""
        return self.host.now()

    def service_class(self, name: str) -> ServiceClass | None:
        """Return the service class in force with that name; None if there is none."""
        return self.host.service_class(name)

    def is_id_in_use(self, request_id: str) -> bool:
        """Return whether a request with this id is open, or got its response recently."""
        return self.host.is_id_in_use(request_id)

    def limit_timeout(self, timeout: int) -> int:
        """Return for how long a client may wait for a job, in microseconds; a shutdown limits it."""
        return self.host.limit_timeout(timeout)

    def submit(
        self, accepted: JobAccepted, timeout: int, background: bool
    ) -> asyncio.Future[Response] | None:
        """Submit an accepted job, with a timeout in microseconds; return None if its id is in use."""
        return self.dispatcher.submit(_build_request(accepted, timeout, background))

    def resume(self, step: ResumeJob) -> asyncio.Future[Response]:
        """Resume a job that an earlier process accepted."""
        accepted = step.job.accepted
        timeout = accepted.deadline - accepted.recorded_at
        request = _build_request(accepted, timeout, background=True)
        if request.accepted_class is None:
            in_force = self.service_class(accepted.service_class)
            request = replace(request, accepted_class=safest_class(accepted, in_force))
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
        """End the attempt of a lease that has expired."""
        self.host.expire_lease(lease.job_id, lease.fence)

    def handle_callback(self, callback: Callback) -> None:
        """Forward a worker's report to the dispatcher."""
        self.dispatcher.handle_callback(callback)

    def endpoint(self, worker: str) -> EndpointEntry:
        """Return the endpoint list's entry for a worker."""
        return self.host.endpoint(worker)


def _build_request(accepted: JobAccepted, timeout: int, background: bool) -> SubmitRequest:
    """Return the request of a job; values without a field in the record are parsed from its headers again."""
    stored = accepted.accepted_class
    extras = dict(parse_extra_pairs(_decode_headers(accepted.forwarded_headers)))
    return SubmitRequest(
        id=accepted.job_id,
        service_class=accepted.service_class,
        timeout=timeout,
        width=accepted.width,
        is_retry=False,
        method=accepted.method,
        target=accepted.target,
        forwarded_headers=list(accepted.forwarded_headers),
        body=accepted.body,
        background=background,
        work_hint=parse_work_hint(extras),
        tenant=extras.get(names.TENANT),
        affinity_key=parse_affinity_key(accepted.target),
        accepted_class=stored.restore(accepted.service_class) if stored is not None else None,
    )


def safest_class(accepted: JobAccepted, in_force: ServiceClass | None) -> ServiceClass:
    """Return the service class of a job whose record is of an earlier version and does not tell it.

    The name may have had another meaning when the job was accepted, so the job counts as at-most-once: it is
    never sent again once it may have run.
    """
    if in_force is not None:
        return replace(in_force, effect=Effect.AT_MOST_ONCE)
    timeout = accepted.deadline - accepted.recorded_at
    return ServiceClass(
        name=accepted.service_class,
        effect=Effect.AT_MOST_ONCE,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=0,
        latency_objective=timeout,
        stretch=0.0,
        timeout=timeout,
        priority_weight=1.0,
        overdue_weight=1.0,
        worker_type=None,
    )


def _decode_headers(headers: Headers) -> dict[str, str]:
    return {name.decode("ascii").lower(): value.decode("latin-1") for name, value in headers}
