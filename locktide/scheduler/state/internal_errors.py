"""Faults of the scheduler itself: what they cost and how they are reported."""

from __future__ import annotations

from traceback import format_exc

from locktide.scheduler.commands import ReportInternalError
from locktide.scheduler.state.command_buffer import CommandBuffer
from locktide.scheduler.state.request_pool import RequestPool
from locktide.scheduler.types import RequestId

TRACEBACK_LINES = 3  # the last ones: the call that failed, its source line and the exception


class InternalErrors:
    """Confines a fault of ours to the event, or the request, on which it shows."""

    __slots__ = ("_commands", "_requests")

    def __init__(self, commands: CommandBuffer, requests: RequestPool) -> None:
        self._commands = commands
        self._requests = requests

    def report(self, request_id: RequestId | None) -> None:
        """Report the exception that is being handled; the host answers the request, if one is named."""
        detail = " | ".join(format_exc().splitlines()[-TRACEBACK_LINES:])
        request = None if request_id is None else self._requests.open.get(request_id)
        if request is not None:
            self._requests.close(request)
        self._commands.add(ReportInternalError(request_id, detail))
