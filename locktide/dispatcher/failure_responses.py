"""Responses to requests that the scheduler rejects or fails, or that caused an internal error in it."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.registry import RequestRegistry
from locktide.protocol import names
from locktide.scheduler.commands import FailRequest, RejectRequest, ReportInternalError
from locktide.transport.interfaces import Response
from locktide.transport.log import Log
from locktide.transport.units import MICROSECONDS_PER_SECOND


@dataclass(eq=False, slots=True, kw_only=True)
class FailureResponder:
    """Sends the responses to requests that end without a result."""

    registry: RequestRegistry
    cancellations: CancellationService
    log: Log

    def reject(self, command: RejectRequest) -> None:
        """Respond that the request was rejected, and after which time the client may retry."""
        headers = []
        if command.retry_after:
            headers.append((names.RETRY_AFTER, f"{command.retry_after / MICROSECONDS_PER_SECOND:.3f}"))
        self.registry.respond(
            command.request_id, Response(HTTPStatus.SERVICE_UNAVAILABLE, b"denied\n", headers)
        )

    def fail(self, command: FailRequest) -> None:
        """Respond that the request has failed: it may have run, so its client must not send it again."""
        request = command.request_id
        self.log.emit(
            f"request {request}: failed, no further attempt is allowed",
            "failed requests",
            event="request_failed",
            request=request,
        )
        self.registry.respond(command.request_id, Response(HTTPStatus.BAD_GATEWAY, b"terminated\n"))

    def fail_after_internal_error(self, command: ReportInternalError) -> None:
        """Respond at once to the request that caused an error in the scheduler, and cancel its attempts."""
        error = command.detail
        self.log.emit(f"the scheduler failed: {error}", event="scheduler_failed", error=error)
        request = None if command.request_id is None else self.registry.get(command.request_id)
        if request is not None:
            self.registry.respond(request.message.id, Response(HTTPStatus.BAD_GATEWAY, b"terminated\n"))
            self.cancellations.cancel_unfinished(request)
