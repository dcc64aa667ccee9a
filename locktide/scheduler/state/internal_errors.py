"""Internal errors of the scheduler: how they are contained and reported."""

from __future__ import annotations

from traceback import format_exc

from locktide.scheduler.commands import ReportInternalError
from locktide.scheduler.state.command_buffer import CommandBuffer
from locktide.scheduler.state.request_pool import RequestPool
from locktide.scheduler.types import RequestId

TRACEBACK_LINES = 3  # the last lines: the call that failed, its source line and the exception


class InternalErrors:
    """Limits the effect of an internal error to the event or request in which it occurred."""

    __slots__ = ("_commands", "_requests")

    def __init__(self, commands: CommandBuffer, requests: RequestPool) -> None:
        self._commands = commands
        self._requests = requests

    def report(self, request_id: RequestId | None) -> None:
        """Report the exception being handled; the host responds to the request, if there is one."""
        detail = " | ".join(format_exc().splitlines()[-TRACEBACK_LINES:])
        request = None if request_id is None else self._requests.open.get(request_id)
        if request is not None:
            self._requests.close(request)
        self._commands.add(ReportInternalError(request_id, detail))
