"""The interface of a dispatcher to the service of durable jobs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.clock import Clock
from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.requests import RecoveredJob, RequestService
from locktide.dispatcher.settings import DispatcherSettings
from locktide.scheduler.config import ServiceClass
from locktide.scheduler.events import EndpointEntry
from locktide.transport.interfaces import Response


@dataclass(eq=False, slots=True, kw_only=True)
class JobHost:
    """Runs the requests of durable jobs; see `Dispatcher.attach_job_store`."""

    clock: Clock
    registry: RequestRegistry
    requests: RequestService
    cancellations: CancellationService
    endpoints: EndpointDirectory
    settings: DispatcherSettings

    def now(self) -> int:
        """Return the dispatcher's time in microseconds."""
        return self.clock.now()

    def service_class(self, name: str) -> ServiceClass | None:
        """Return the service class in force with that name; None if there is none."""
        return self.settings.service_classes.get(name)

    def is_id_in_use(self, request_id: str) -> bool:
        """Return whether a request with that id is open or was answered recently."""
        return self.registry.is_known(request_id)

    def limit_timeout(self, timeout: int) -> int:
        """Return for how long a client may wait for a job; see `ServingState.limit_timeout`."""
        return self.requests.limit_timeout(timeout)

    def recover(self, job: RecoveredJob) -> asyncio.Future[Response]:
        """Recover a job of an earlier process; see `RequestService.recover`."""
        return self.requests.recover(job)

    def expire_lease(self, request_id: str, fence: int) -> None:
        """Cancel the attempt whose lease has expired; see `CancellationService.expire_lease`."""
        self.cancellations.expire_lease(request_id, fence)

    def endpoint(self, worker: str) -> EndpointEntry:
        """Return the entry of a listed worker."""
        return self.endpoints.entries[worker]
