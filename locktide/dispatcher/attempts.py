"""Attempts: each runs in a task of its own, from its lease to the worker's reply."""

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
    """Runs attempts; how the job itself ended is reported by callback, see `CallbackHandler`."""

    registry: RequestRegistry
    tasks: BackgroundTasks
    leases: AttemptLeases
    sender: JobSender
    replies: WorkerReplyHandler
    log: Log

    def start_attempt(self, command: StartAttempt) -> None:
        """Start the next attempt of a request for the scheduler."""
        request = self.registry.get(command.request_id)
        if request is None:
            self.log.emit(
                f"request {command.request_id}: an attempt after its end, not sent",
                event="attempt_discarded",
                request=command.request_id,
            )
            return
        attempt = OpenAttempt(len(request.attempts), command.worker)
        attempt.send_before = command.send_before
        request.attempts.append(attempt)
        attempt.task = self.tasks.start(self._run(request, attempt), request.message.background)

    async def _run(self, request: OpenRequest, attempt: OpenAttempt) -> None:
        # The loop reports a reset by the client one turn after the poll that found it. Without this turn the
        # first byte of an attempt could be sent for a client that is already known to have gone.
        await asyncio.sleep(0)
        result: SendResult = AttemptOutcome.NEVER_SENT
        if await self.leases.grant(request, attempt):
            result = await self.sender.send(request, attempt)
        self.replies.handle_result(request, attempt, result)
