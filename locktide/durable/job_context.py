"""The collaborators that all parts of a job service share."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.durable.background_tasks import BackgroundTasks
from locktide.durable.durable_state import DurableState
from locktide.durable.job_config import JobConfig
from locktide.durable.job_dispatcher import JobDispatcher
from locktide.durable.leases import LeaseTable
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.transport.log import Log


@dataclass(frozen=True, slots=True)
class JobContext:
    """The collaborators that the parts of one job service share.

    Attributes:
        config: Which requests are durable jobs, and their limits.
        write_ahead_log: The log on the disk.
        state: The jobs, and which of their records are on the disk.
        leases: The leases of the dispatcher's attempts.
        tasks: Runs the background tasks.
        dispatcher: Submits the jobs to the dispatcher.
        log: The dispatcher's log.
    """

    config: JobConfig
    write_ahead_log: WriteAheadLog
    state: DurableState
    leases: LeaseTable
    tasks: BackgroundTasks
    dispatcher: JobDispatcher
    log: Log
