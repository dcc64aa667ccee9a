"""Runs attempts: a task for each, which gets its lease, sends its job and applies the worker's reply."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.job_sender import JobSender
from locktide.dispatcher.job_store import AttemptLeases
from locktide.dispatcher.records import OpenAttempt, OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.worker_replies import WorkerReplyHandler
from locktide.scheduler.commands import StartAttempt
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import SendResult
from locktide.transport.log import Log


@dataclass(eq=False, slots=True, kw_only=True)
class AttemptRunner:
    """Runs attempts up to the worker's reply; callbacks report how the job ended, see `CallbackHandler`."""

    registry: RequestRegistry
    tasks: BackgroundTasks
    leases: AttemptLeases
    sender: JobSender
    replies: WorkerReplyHandler
    log: Log

    def start_attempt(self, command: StartAttempt) -> None:
        """Start the next attempt of a request, as commanded by the scheduler."""
        request = self.registry.get(command.request_id)
        if request is None:
            self.log.emit(
                f"request {command.request_id}: attempt discarded, the request has ended",
                event="attempt_discarded",
                request=command.request_id,
            )
            return
        attempt = OpenAttempt(len(request.attempts), command.worker)
        attempt.send_before = command.send_before
        request.attempts.append(attempt)
        attempt.task = self.tasks.start(self._run(request, attempt), request.message.background)

    async def _run(self, request: OpenRequest, attempt: OpenAttempt) -> None:
        # The event loop reports a client's reset one turn after the poll that found it. Without this extra
        # turn, an attempt could be sent for a client that is already known to have disconnected.
        await asyncio.sleep(0)
        result: SendResult = AttemptOutcome.NEVER_SENT
        if await self.leases.grant(request, attempt):
            result = await self.sender.send(request, attempt)
        self.replies.handle_result(request, attempt, result)
