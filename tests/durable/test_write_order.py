"""The order of writes: an acceptance is stored before the dispatch, a final response before it is sent."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from durable_helpers import SECOND, JobParts, open_log, run_in_virtual_time

from locktide.protocol.messages import Callback, SubmitRequest
from locktide.scheduler.types import AttemptOutcome
from locktide.simulation.virtual_time.disk import VirtualDisk
from locktide.transport.interfaces import Response

SYNC_TIME = 0.01  # seconds


def job_request(prefer: bytes = b"") -> SubmitRequest:
    """Return a request for a durable job, with a timeout of nine seconds."""
    return SubmitRequest(
        id="a",
        service_class="record",
        timeout=9 * SECOND,
        width=1.0,
        is_retry=False,
        method="POST",
        target="/record",
        forwarded_headers=[(b"Prefer", prefer)] if prefer else [],
        body=b"milk",
    )


def test_job_is_dispatched_and_acknowledged_only_once_it_is_on_the_disk() -> None:
    """Guard against a job that runs or is acknowledged although a crash has lost its record.

    A dispatcher that is killed while it writes a new job must neither have dispatched nor acknowledged the
    job. Both must happen only after the sync has ended.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, SYNC_TIME)
        parts = JobParts(open_log(disk))
        response = parts.acceptance.submit(job_request(b"respond-async"))
        assert response is not None
        await asyncio.sleep(0.9 * SYNC_TIME)
        assert not parts.dispatcher.submitted and not response.done()
        assert not parts.state.is_accepted("a")
        assert (await response).status == 202
        assert parts.state.is_accepted("a")
        # The time of the sync is subtracted from the timeout of the job.
        assert parts.dispatcher.submitted == {"a": 100 * SECOND - round(SYNC_TIME * SECOND)}
        disk.crash()
        assert open_log(disk).table.jobs.keys() == {"a"}

    run_in_virtual_time(scenario())


def test_job_that_cannot_be_written_is_rejected_and_never_dispatched() -> None:
    """Guard against a job that is acknowledged or dispatched although the disk is full.

    The client must get a 503 with Retry-After, no worker may get the job, and the same id must be accepted as
    a new job once there is space.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, SYNC_TIME)
        parts = JobParts(open_log(disk))
        disk.free_bytes = 10
        rejected = parts.acceptance.submit(job_request())
        assert rejected is not None
        response = await rejected
        assert response.status == 503 and dict(response.headers)["Retry-After"]
        assert not parts.dispatcher.submitted and not parts.state.table.jobs
        disk.free_bytes = None
        accepted = parts.acceptance.submit(job_request())
        assert accepted is not None
        await asyncio.sleep(2 * SYNC_TIME)
        assert list(parts.dispatcher.submitted) == ["a"] and not accepted.done()

    run_in_virtual_time(scenario())


def test_job_that_may_be_on_the_disk_is_not_rejected() -> None:
    """Guard against a job that runs twice after a failed sync: once at the next start, once by a retry.

    What a failed sync has written is not known. The job was rejected, its client sent it elsewhere, as a
    rejection allows, and the next process found it on the disk and ran it. The client, and one that repeats
    the submission, must get a response that promises nothing, and this process must not dispatch the job.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, SYNC_TIME)
        parts = JobParts(open_log(disk))
        disk.fails_sync = True
        request = replace(job_request(), forwarded_headers=[(b"Idempotency-Key", b"k")])
        statuses = []
        for request_id in ("a", "b"):
            response = parts.acceptance.submit(replace(request, id=request_id))
            assert response is not None
            statuses.append((await response).status)
        assert statuses == [504, 504]
        assert not parts.dispatcher.submitted and not parts.state.is_accepted("a")
        new_job = parts.acceptance.submit(replace(job_request(), id="c"))
        assert new_job is not None and new_job.result().status == 503, "nothing of it is written"
        parts.log.close()
        assert open_log(disk).table.jobs.keys() == {"a"}, "the next process runs it"

    run_in_virtual_time(scenario())


def test_final_response_is_sent_only_once_it_is_on_the_disk() -> None:
    """Guard against two different final responses of one job, before and after a crash.

    If the client got the response before the sync, a restarted dispatcher would not know it and might send
    another one. The client must wait for the sync, after which the response must be in the log.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, SYNC_TIME)
        parts = JobParts(open_log(disk))
        response = parts.acceptance.submit(job_request())
        assert response is not None
        await asyncio.sleep(2 * SYNC_TIME)
        parts.completion.finish("a", Response(200, b"collected"))
        await asyncio.sleep(0.9 * SYNC_TIME)
        assert not response.done() and not parts.state.is_final_response_stored("a")
        assert ((await response).status, (await response).body) == (200, b"collected")
        disk.crash()
        finished = open_log(disk).table.jobs["a"].finished
        assert finished is not None and (finished.status, finished.body) == (200, b"collected")

    run_in_virtual_time(scenario())


def test_final_response_is_written_again_until_the_disk_has_space() -> None:
    """Guard against a lost result, when the disk is full until two seconds after a job is done.

    The worker will not run the job again. The client must get the result once it is written, and the first
    response must count although another one is added meanwhile.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, SYNC_TIME)
        parts = JobParts(open_log(disk))
        response = parts.acceptance.submit(job_request())
        assert response is not None
        await asyncio.sleep(2 * SYNC_TIME)
        disk.free_bytes = 10
        parts.completion.finish("a", Response(200, b"collected"))
        await asyncio.sleep(2.0)
        assert not response.done()
        parts.completion.finish("a", Response(502, b"terminated"))
        disk.free_bytes = None
        assert ((await response).status, (await response).body) == (200, b"collected")

    run_in_virtual_time(scenario())


def test_worker_gets_its_response_only_once_its_result_is_on_the_disk() -> None:
    """Guard against a lost result, when the dispatcher is killed while it writes the result.

    A worker drops a result once its callback has a response. The callback and its repetition must therefore
    get a response only after the sync. A report without a lease must neither count nor wait.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, SYNC_TIME)
        parts = JobParts(open_log(disk))
        assert parts.acceptance.submit(job_request()) is not None
        await asyncio.sleep(2 * SYNC_TIME)
        parts.leases.grant("a", "w0", parts.dispatcher.now())
        job = parts.state.table.jobs["a"]
        running = Callback("a", "w9", "running", 0.5, None, b"")
        assert parts.lease_service.handle_callback(job, running) is None and not parts.dispatcher.callbacks
        done = Callback("a", "w0", "done", 0.0, AttemptOutcome.DONE, b"collected")
        first = parts.lease_service.handle_callback(job, done)
        again = parts.lease_service.handle_callback(job, done)
        assert first is not None and again is not None
        waiting = [asyncio.ensure_future(first), asyncio.ensure_future(again)]
        await asyncio.sleep(0.9 * SYNC_TIME)
        assert not any(wait.done() for wait in waiting)
        await asyncio.gather(*waiting)
        assert parts.dispatcher.callbacks == [done] and not job.late_reports
        disk.crash()
        finished = open_log(disk).table.jobs["a"].finished
        assert finished is not None and finished.body == b"collected"

    run_in_virtual_time(scenario())


def test_final_response_that_can_never_be_written_is_tried_once_and_its_worker_keeps_the_result() -> None:
    """Guard against endless retries of a write after a failed sync, which ends all writing.

    The write was retried every half second until the restart, with a log line each time, and the client
    waited for its whole timeout. The write must be tried once. The client must be notified at once that the
    job is not done yet, and the worker must get no response, so that it reports its result to the next
    process.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, SYNC_TIME)
        parts = JobParts(open_log(disk))
        lines: list[str] = []
        parts.completion.log.emit = lambda line, *_, **__: lines.append(line)  # type: ignore[method-assign]
        response = parts.acceptance.submit(job_request())
        assert response is not None
        await asyncio.sleep(2 * SYNC_TIME)
        parts.leases.grant("a", "w0", parts.dispatcher.now())
        disk.fails_sync = True
        done = Callback("a", "w0", "done", 0.0, AttemptOutcome.DONE, b"collected")
        reported = parts.lease_service.handle_callback(parts.state.table.jobs["a"], done)
        assert reported is not None
        with pytest.raises(ConnectionError):
            await reported
        assert response.done() and response.result().status == 504
        await asyncio.sleep(10.0)
        assert len(lines) == 1
        again = parts.lease_service.handle_callback(parts.state.table.jobs["a"], done)
        assert again is not None
        with pytest.raises(ConnectionError):
            await again
        disk.crash()
        assert open_log(disk).table.jobs["a"].finished is None

    run_in_virtual_time(scenario())
