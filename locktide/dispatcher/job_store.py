"""The store of durable jobs, as the dispatcher uses it; without a store no job is durable."""

from __future__ import annotations

from typing import Protocol

from locktide.dispatcher.records import OpenAttempt, OpenRequest


class JobStore(Protocol):
    """Stores durable jobs and grants the leases of their attempts; see `Dispatcher.attach_job_store`."""

    def is_durable(self, request: OpenRequest, /) -> bool:
        """Return whether the request is a durable job."""

    async def grant_lease(self, request: OpenRequest, attempt: OpenAttempt, /) -> bool:
        """Record a lease before the first byte of the attempt; return whether the attempt may be sent."""

    def attempt_ended(self, request: OpenRequest, attempt: OpenAttempt, /) -> None:
        """Record the outcome of the attempt."""


class AttemptLeases:
    """Manages the leases of attempts of durable jobs; other attempts need no lease.

    Attributes:
        job_store: Grants the leases; None if there are no durable jobs.
    """

    def __init__(self) -> None:
        self.job_store: JobStore | None = None

    async def grant(self, request: OpenRequest, attempt: OpenAttempt) -> bool:
        """Return whether the attempt may be sent; the lease of a durable job is on disk by then."""
        if self.job_store is None or not self.job_store.is_durable(request):
            return True
        return await self.job_store.grant_lease(request, attempt)

    def end(self, request: OpenRequest, attempt: OpenAttempt) -> None:
        """Report the outcome of an attempt of a durable job to the job store."""
        if self.job_store is not None and self.job_store.is_durable(request):
            self.job_store.attempt_ended(request, attempt)
