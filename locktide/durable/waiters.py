"""Clients that wait for the final response of a job."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from locktide.durable.background_tasks import BackgroundTasks
from locktide.durable.durable_state import DurableState
from locktide.durable.job_dispatcher import JobDispatcher
from locktide.durable.preference import Preference
from locktide.durable.responses import final_response, pending_response, wait_timed_out_response
from locktide.durable.units import MICROSECONDS_PER_SECOND
from locktide.protocol.messages import SubmitRequest
from locktide.transport.interfaces import Response

ResponseFuture = asyncio.Future[Response]


class JobWaiters:
    """The waiting clients of each job; decides when each client gets its response.

    Attributes:
        waiters_by_job: The response futures of the clients that wait for a job, by the id of the job.
        waiters_by_request: The same futures by the id of the client's request, which differs from the job's
            id in a repeated submission.
    """

    def __init__(self, state: DurableState, tasks: BackgroundTasks, dispatcher: JobDispatcher) -> None:
        self.state = state
        self.tasks = tasks
        self.dispatcher = dispatcher
        self.waiters_by_job: dict[str, list[ResponseFuture]] = {}
        self.waiters_by_request: dict[str, ResponseFuture] = {}

    def add(
        self, job_id: str, request: SubmitRequest, preference: Preference, response: ResponseFuture
    ) -> None:
        """Set `response` later to the job's final response, or to an early one if the client prefers that."""
        self.waiters_by_request[request.id] = response
        response.add_done_callback(lambda _: self.waiters_by_request.pop(request.id, None))
        if self.state.is_final_response_stored(job_id):
            response.set_result(final_response(self.state.table.jobs[job_id]))
            return
        self.waiters_by_job.setdefault(job_id, []).append(response)
        response.add_done_callback(lambda done: self._remove(job_id, done))
        if preference.respond_async:
            wait = self._limit_wait(int(preference.wait * MICROSECONDS_PER_SECOND))
            self.tasks.spawn(self._respond_early(job_id, wait, response))
        else:
            # The job may be from an earlier submission, and its deadline later than the end of this timeout.
            loop = asyncio.get_running_loop()
            wait = self._limit_wait(request.time_left(loop.time()))
            loop.call_later(wait, self._time_out, job_id, response)

    def resolve(self, job_id: str, response: Response) -> None:
        """Send a response to each client that waits for a job."""
        for waiter in self.waiters_by_job.pop(job_id, []):
            if not waiter.done():
                waiter.set_result(replace(response, headers=list(response.headers)))

    def cancel(self, request_id: str) -> None:
        """Drop the response for a client that has disconnected; its job continues."""
        if (response := self.waiters_by_request.get(request_id)) is not None:
            response.cancel()

    def _limit_wait(self, timeout: int) -> float:
        """Return for how long a client waits at most, in seconds; `timeout` is in microseconds.

        A shutdown does not end a job, which the next process continues, but it ends the wait before the kill
        (test_client_that_waits_for_an_earlier_job_gets_its_response_before_a_shutdown_ends).
        """
        return self.dispatcher.limit_timeout(timeout) / MICROSECONDS_PER_SECOND

    def _remove(self, job_id: str, response: ResponseFuture) -> None:
        remaining = [waiter for waiter in self.waiters_by_job.get(job_id, ()) if waiter is not response]
        if remaining:
            self.waiters_by_job[job_id] = remaining
        else:
            self.waiters_by_job.pop(job_id, None)

    async def _respond_early(self, job_id: str, wait: float, response: ResponseFuture) -> None:
        """Respond that the job is open, once it is on the disk and the client's wait has elapsed."""
        if (acceptance := self.state.acceptance_writes.get(job_id)) is not None:
            await asyncio.wait([acceptance])
            if acceptance.exception() is not None:
                return  # `JobAcceptance` has rejected the job and sends the response
        if wait:
            await asyncio.wait([response], timeout=wait)
        if not response.done():
            response.set_result(pending_response(self.state.table.jobs[job_id]))

    def _time_out(self, job_id: str, response: ResponseFuture) -> None:
        if not response.done():
            response.set_result(wait_timed_out_response(job_id))
