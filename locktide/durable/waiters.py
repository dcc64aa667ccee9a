"""Clients that wait for the final response of a job."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from locktide.durable.background_tasks import BackgroundTasks
from locktide.durable.durable_state import DurableState
from locktide.durable.preference import Preference
from locktide.durable.responses import final_response, pending_response, wait_timed_out_response
from locktide.durable.units import MICROSECONDS_PER_SECOND
from locktide.protocol.messages import SubmitRequest
from locktide.transport.interfaces import Response

ResponseFuture = asyncio.Future[Response]


class JobWaiters:
    """The waiting clients of each job, and when each gets its response.

    Attributes:
        waiters_by_job: The responses that wait for a job, by its id.
        waiters_by_request: The same by the id of the request, which differs where a key was submitted again.
    """

    def __init__(self, state: DurableState, tasks: BackgroundTasks) -> None:
        self.state = state
        self.tasks = tasks
        self.waiters_by_job: dict[str, list[ResponseFuture]] = {}
        self.waiters_by_request: dict[str, ResponseFuture] = {}

    def add(
        self, job_id: str, request: SubmitRequest, preference: Preference, response: ResponseFuture
    ) -> None:
        """Set `response` to the final response of a job, or to an early one as the client prefers."""
        self.waiters_by_request[request.id] = response
        response.add_done_callback(lambda _: self.waiters_by_request.pop(request.id, None))
        if self.state.is_settled(job_id):
            response.set_result(final_response(self.state.table.jobs[job_id]))
            return
        self.waiters_by_job.setdefault(job_id, []).append(response)
        response.add_done_callback(lambda done: self._remove(job_id, done))
        if preference.respond_async:
            self.tasks.spawn(self._respond_early(job_id, preference.wait, response))
        else:
            # The timeout of this request may end before the deadline of the job, which may be an earlier one.
            loop = asyncio.get_running_loop()
            time_left = request.time_left(loop.time()) / MICROSECONDS_PER_SECOND
            loop.call_later(time_left, self._time_out, job_id, response)

    def resolve(self, job_id: str, response: Response) -> None:
        """Send a response to each client that waits for a job."""
        for waiter in self.waiters_by_job.pop(job_id, []):
            if not waiter.done():
                waiter.set_result(replace(response, headers=list(response.headers)))

    def cancel(self, request_id: str) -> None:
        """Drop the response of a client that has disconnected; its job goes on."""
        if (response := self.waiters_by_request.get(request_id)) is not None:
            response.cancel()

    def _remove(self, job_id: str, response: ResponseFuture) -> None:
        remaining = [waiter for waiter in self.waiters_by_job.get(job_id, ()) if waiter is not response]
        if remaining:
            self.waiters_by_job[job_id] = remaining
        else:
            self.waiters_by_job.pop(job_id, None)

    async def _respond_early(self, job_id: str, wait: float, response: ResponseFuture) -> None:
        """Respond that the job is pending, once it is on the disk and the client's wait is over."""
        if (acceptance := self.state.accepting.get(job_id)) is not None:
            await asyncio.wait([acceptance])
            if acceptance.exception() is not None:
                return  # the job was rejected, and its acceptance responds so
        if wait:
            await asyncio.wait([response], timeout=wait)
        if not response.done():
            response.set_result(pending_response(self.state.table.jobs[job_id]))

    def _time_out(self, job_id: str, response: ResponseFuture) -> None:
        if not response.done():
            response.set_result(wait_timed_out_response(job_id))
