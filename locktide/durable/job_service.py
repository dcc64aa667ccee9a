"""The durable jobs of one dispatcher, between its listener and its attempts.

The order of writes: a job is on the disk before it is acknowledged or dispatched, a lease before the first
byte of its attempt, and a final response before the client or the worker gets a response that depends on it.
A crash at any moment therefore leaves either a job that was never acknowledged, or one that is recovered with
every attempt that may have run. Verified by `tests/durable/test_write_order.py` for jobs and final responses,
and by `tests/durable/test_crashes.py`, which kills dispatchers at each of these points.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from locktide.dispatcher.dispatcher import Dispatcher
from locktide.dispatcher.records import OpenAttempt, OpenRequest
from locktide.durable.acceptance import JobAcceptance
from locktide.durable.background_tasks import BackgroundTasks
from locktide.durable.completion import JobCompletion
from locktide.durable.durable_state import DurableState
from locktide.durable.job_config import JobConfig
from locktide.durable.job_context import JobContext
from locktide.durable.job_dispatcher import JobDispatcher
from locktide.durable.late_reports import LateReports
from locktide.durable.lease_service import LeaseService
from locktide.durable.leases import LeaseTable
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.durable.queries import JobQueries
from locktide.durable.recovery import ClockReading
from locktide.durable.resumption import JobResumption
from locktide.durable.waiters import JobWaiters
from locktide.protocol.messages import Callback, JobQuery, SubmitRequest
from locktide.transport.interfaces import Response
from locktide.transport.log import Log

#: Seconds between two checks for expired leases: a tenth of the shortest useful lease.
LEASE_CHECK_INTERVAL = 0.25
#: Seconds between two checks for jobs whose retention has passed; each check reads the whole table.
RETENTION_CHECK_INTERVAL = 5.0


class JobService:
    """The dispatcher's job store, and the request handler of its listener.

    Implements `dispatcher.job_store.JobStore` and `transport.interfaces.RequestHandler`. Requests of
    service classes that are not durable are forwarded to the dispatcher.
    """

    def __init__(
        self, dispatcher: Dispatcher, write_ahead_log: WriteAheadLog, config: JobConfig, log: Log
    ) -> None:
        self.dispatcher = dispatcher
        self.write_ahead_log = write_ahead_log
        self.config = config
        self.state = DurableState(write_ahead_log.table)
        self.tasks = BackgroundTasks()
        self.job_dispatcher = JobDispatcher(dispatcher)
        context = JobContext(
            config=config,
            write_ahead_log=write_ahead_log,
            state=self.state,
            leases=LeaseTable(config.leases),
            tasks=self.tasks,
            dispatcher=self.job_dispatcher,
            log=log,
        )
        self.waiters = JobWaiters(self.state, self.tasks, self.job_dispatcher)
        self.completion = JobCompletion(context, self.waiters)
        self.acceptance = JobAcceptance(context, self.waiters, self.completion)
        self.lease_service = LeaseService(context, self.completion, LateReports(context, self.completion))
        self.resumption = JobResumption(context, self.completion)
        self.queries = JobQueries(self.state)
        dispatcher.attach_job_store(self, self)

    async def recover(self, clocks: ClockReading) -> None:
        """Recover the jobs of an earlier process, before the dispatcher serves requests."""
        await self.resumption.recover(clocks)
        self.tasks.spawn(self._expire_periodically())

    async def _expire_periodically(self) -> None:
        """End leases that have expired, and remove jobs whose retention has passed."""
        loop = asyncio.get_running_loop()
        next_retention_check = 0.0
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL)
            self.lease_service.expire()
            if loop.time() >= next_retention_check:
                next_retention_check = loop.time() + RETENTION_CHECK_INTERVAL
                self.state.drop_expired(self.job_dispatcher.now(), self.config.retention)

    async def close(self) -> None:
        """Finish the writes that are in progress and close the log."""
        self.tasks.cancel_all_except(self.completion.writes.values())
        await self.completion.wait_for_writes()
        await self.write_ahead_log.wait_until_idle()
        self.write_ahead_log.close()

    # --- request handler of the listener

    def is_ready(self) -> bool:
        """Return whether the dispatcher is ready to serve requests."""
        return self.dispatcher.is_ready()

    def submit(self, message: SubmitRequest) -> asyncio.Future[Response] | None:
        """Return a future for the response; None if the request's id is or was in use."""
        if message.service_class in self.config.service_classes:
            return self.acceptance.submit(message)
        # The dispatcher does not know a recovered job until the job is resumed. It would accept a request
        # with the job's id, and the job would later replace that request among the open ones
        # (test_no_request_gets_the_id_of_a_job_that_is_not_resumed_yet).
        if message.id in self.state.table.jobs:
            return None
        return self.dispatcher.submit(message)

    def client_disconnected(self, message: SubmitRequest) -> None:
        """Drop the response for a client that has disconnected; a durable job continues."""
        if message.service_class not in self.config.service_classes:
            self.dispatcher.client_disconnected(message)
        else:
            self.waiters.cancel(message.id)

    def handle_callback(self, message: Callback) -> Awaitable[None] | None:
        """Apply a worker's report; return the write for which the response to the worker waits, if any."""
        job = self.state.table.jobs.get(message.request_id)
        if job is None:
            self.dispatcher.handle_callback(message)
            return None
        return self.lease_service.handle_callback(job, message)

    def query_job(self, message: JobQuery) -> Response:
        """Return 202 for an open job, 200 with state and result for a finished one, 404 for an unknown id."""
        return self.queries.respond(message)

    # --- job store of the dispatcher

    def is_durable(self, request: OpenRequest) -> bool:
        """Return whether a request is a durable job, by its service class or because the log has it.

        The class alone is not enough: a recovered job whose class is no longer durable would get no lease,
        its worker's report would count as late, and the job would never end
        (test_job_of_a_class_that_is_no_longer_durable_gets_a_lease_and_its_report_counts).
        """
        if request.message.service_class in self.config.service_classes:
            return True
        return request.message.id in self.state.table.jobs

    async def grant_lease(self, request: OpenRequest, attempt: OpenAttempt) -> bool:
        """Write a lease before the first byte of an attempt; return whether the attempt may be sent."""
        return await self.lease_service.grant(request.message.id, attempt)

    def attempt_ended(self, request: OpenRequest, attempt: OpenAttempt) -> None:
        """End the lease of an attempt that has an outcome."""
        self.lease_service.attempt_ended(request.message.id, attempt)
