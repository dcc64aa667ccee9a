"""Jobs of an earlier process together with requests of this one: their ids, leases and tenants."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import replace
from typing import Any
from zlib import crc32

import pytest
from durable_helpers import JOB_CONFIG, accepted_job, open_log, run_in_virtual_time
from helpers import SERVICE_CLASSES, DispatcherHarness, run_with_dispatcher, submit_request, wait_until

from locktide.durable.job_service import JobService
from locktide.durable.log.records import JobAccepted, JobFinished
from locktide.durable.log.stored_service_class import StoredServiceClass
from locktide.durable.recovery import ClockReading
from locktide.protocol import names
from locktide.protocol.messages import Callback
from locktide.scheduler.events import RequestArrived, RequestRecovered
from locktide.scheduler.types import AttemptOutcome, Effect, EndpointState
from locktide.simulation.virtual_time.disk import VirtualDisk
from locktide.transport.log import Log

CLOCKS = ClockReading(wall_time=0, boot_id="same", uptime=0)


async def recover(
    harness: DispatcherHarness,
    jobs: list[JobAccepted],
    durable_classes: Collection[str] = ("record",),
    disk: VirtualDisk | None = None,
) -> JobService:
    """Write jobs to a log, and return the job service of a next process that has begun to resume them."""
    disk = disk or VirtualDisk(1, 0.0)
    earlier = open_log(disk)
    await asyncio.gather(*[earlier.append(job) for job in jobs])
    disk.crash()
    config = replace(JOB_CONFIG, service_classes=durable_classes)
    service = JobService(harness.dispatcher, open_log(disk), config, Log("d0"))
    await service.recover(CLOCKS)
    return service


async def wait_until_resumed(harness: DispatcherHarness, job_id: str) -> None:
    await wait_until(lambda: job_id in harness.dispatcher.registry.open_requests)


def test_no_request_gets_the_id_of_a_job_that_is_not_resumed_yet() -> None:
    """Guard against a request that gets the id of a recovered job and then no response.

    Recovered jobs are resumed at a limited rate. A request of a class that is not durable was accepted with
    the id of a job that was not resumed yet, and the job later replaced it among the open requests. The id of
    a job is in use, whether or not the job is resumed.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        service = await recover(harness, [accepted_job("a"), accepted_job("b")])
        await wait_until_resumed(harness, "a")
        assert "b" not in harness.dispatcher.registry.open_requests, "job b is resumed later"
        assert service.submit(submit_request("b")) is None
        await wait_until_resumed(harness, "b")
        assert harness.dispatcher.registry.open_requests["b"].message.background
        await service.close()

    run_with_dispatcher(scenario)


def test_job_of_a_class_that_is_no_longer_durable_gets_a_lease_and_its_report_counts() -> None:
    """Guard against recovered jobs without a lease, after their class was removed from the durable classes.

    Their attempts were not on the disk, so that they would be sent again unnoticed after another crash. The
    reports of their workers counted as late, so that the jobs never ended.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        service = await recover(harness, [accepted_job("a")], durable_classes=())
        await wait_until_resumed(harness, "a")
        await wait_until(lambda: harness.exchanges)
        attempt = harness.exchanges[0]
        message = attempt.build()
        assert message is not None and (names.FENCE.encode(), b"1") in message.headers
        attempt.on_sent()
        attempt.respond(202)
        job = service.state.table.jobs["a"]
        assert [lease.worker for lease in job.leases] == [attempt.worker]
        report = Callback("a", attempt.worker, names.DONE, 1.0, AttemptOutcome.DONE, b"milk", fence=1)
        written = service.handle_callback(report)
        assert written is not None
        await written
        finished: JobFinished | None = service.state.table.jobs["a"].finished
        assert finished is not None and (finished.status, finished.body) == (200, b"milk")
        await service.close()

    run_with_dispatcher(scenario)


def test_durable_job_counts_for_its_tenant_with_its_hint_and_its_affinity_key() -> None:
    """Guard against durable jobs that reach the scheduler without tenant, work hint and affinity key.

    Both new and recovered jobs lost these values, so that a tenant could exceed its quota by far without
    being limited. Both must arrive with the values that the client sent.
    """
    extras = [(names.EXTRAS.encode(), b"slots=1, tenant=dairy, hint=40")]

    async def scenario(harness: DispatcherHarness) -> None:
        events: list[object] = []
        harness.dispatcher.bridge.observers.append(events.append)
        recorded = accepted_job("a")
        recorded.forwarded_headers = extras
        recorded.target = "/record?obj=7"
        service = await recover(harness, [recorded])
        message = replace(submit_request("b", "record"), forwarded_headers=extras, target="/record?obj=7")
        service.submit(message)
        await wait_until(lambda: len(arrivals_in(events)) == 2)
        arrivals = arrivals_in(events)
        assert {arrival.request_id for arrival in arrivals} == {"a", "b"}
        for arrival in arrivals:
            assert (arrival.tenant, arrival.work_hint) == ("dairy", 40_000)
            assert arrival.affinity_key == crc32(b"7")
            assert arrival.accepted_class is not None, "a reload before the dispatch would change its class"
        await service.close()

    run_with_dispatcher(scenario)


def arrivals_in(events: list[object]) -> list[RequestArrived]:
    recovered = [event.arrival for event in events if isinstance(event, RequestRecovered)]
    return recovered + [event for event in events if isinstance(event, RequestArrived)]


def test_full_disk_costs_a_few_leases_a_second_and_the_job_goes_on_once_there_is_space() -> None:
    """Guard against thousands of attempts per second while leases cannot be written to a full disk.

    Each attempt counted as never sent, and the next one was started at once. All of them stayed in memory
    with their job until the process was killed. The write must be retried a few times per second, and the job
    must be sent once there is space.
    """

    async def scenario() -> None:
        harness = DispatcherHarness()
        disk = VirtualDisk(1, 0.001)
        service = await recover(harness, [accepted_job("a")], disk=disk)
        disk.free_bytes = 5
        await asyncio.sleep(10.0)
        attempts = harness.dispatcher.registry.open_requests["a"].attempts
        assert 2 <= len(attempts) <= 30, "two per second, and those before the disk was full"
        assert not harness.exchanges, "nothing is sent without a lease on the disk"
        disk.free_bytes = None
        await asyncio.sleep(2.0)
        assert len(harness.exchanges) == 1
        await service.close()

    run_in_virtual_time(scenario())


def stored_class(**changes: Any) -> StoredServiceClass:
    return StoredServiceClass.of(replace(SERVICE_CLASSES[1], **changes))


@pytest.mark.parametrize("accepted_class", [None, stored_class(name="gone")])
def test_job_of_a_class_that_the_file_lacks_is_resumed(accepted_class: StoredServiceClass | None) -> None:
    """Each open job of a class that the file no longer had ended by a KeyError at a start (`review/7`).

    Some ran all the same, as their workers had them. Records of earlier versions do not tell the class.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        recorded = accepted_job("a", service_class="gone")
        recorded.accepted_class = accepted_class
        service = await recover(harness, [recorded])
        await wait_until(lambda: harness.exchanges)
        harness.exchanges[0].on_sent()
        harness.exchanges[0].respond(202)
        assert service.state.table.jobs["a"].finished is None
        await service.close()

    run_with_dispatcher(scenario)


@pytest.mark.parametrize("accepted_class", [None, stored_class(effect=Effect.AT_MOST_ONCE)])
def test_recovered_job_keeps_the_effect_with_which_it_was_accepted(
    accepted_class: StoredServiceClass | None,
) -> None:
    """A job was accepted as at-most-once, and the next process read a file in which its class has keys.

    The job was sent again after its worker had reported an error, and ran twice (`review/6`). A record of an
    earlier version does not tell the effect, so it counts as at-most-once.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        recorded = accepted_job("a")
        recorded.accepted_class = accepted_class
        service = await recover(harness, [recorded])
        await wait_until(lambda: harness.exchanges)
        attempt = harness.exchanges[0]
        attempt.on_sent()
        attempt.respond(202)
        await harness.run_pending_tasks()
        report = Callback("a", attempt.worker, "failed", 1.0, AttemptOutcome.ERROR, b"", fence=1)
        service.handle_callback(report)
        await wait_until(lambda: service.state.table.jobs["a"].finished is not None)
        assert len(service.state.table.jobs["a"].leases) == 1, "it was sent again"
        await service.close()

    run_with_dispatcher(scenario)


@pytest.mark.parametrize("state", names.CALLBACK_OUTCOMES)
@pytest.mark.parametrize("fence", [None, 1, 2, 3])
def test_report_counts_for_the_attempt_that_its_fencing_number_names(state: str, fence: int | None) -> None:
    """A worker handed a job back twice, and the second time counted as "may have run" (`review/8`).

    The callback could have been a repeated one about the first attempt there, so an at-most-once job ended as
    failed that had never run. A fencing number tells: 2 is the running attempt, 1 the one before, 3 nobody's.
    Without a number only `done` is certain: the job may still run, and is not sent again.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        for worker in ("w1", "w2"):
            harness.update_endpoint(worker, EndpointState.DRAINING)
        recorded = accepted_job("a")
        recorded.accepted_class = stored_class(effect=Effect.AT_MOST_ONCE)
        service = await recover(harness, [recorded])
        job = service.state.table.jobs["a"]
        await accept_attempt(harness, 1)
        service.handle_callback(Callback("a", "w0", "returned", 1.0, AttemptOutcome.FULL, b"", fence=1))
        await accept_attempt(harness, 2)
        service.handle_callback(Callback("a", "w0", state, 1.0, names.CALLBACK_OUTCOMES[state], b"", fence))
        if fence == 2 and state == "returned":
            await accept_attempt(harness, 3)  # it has never run, and is sent again
        elif fence == 2 or fence is None:
            await wait_until(lambda: job.finished is not None or len(harness.exchanges) == 3)
            if job.finished is None:  # the attempt is cancelled
                harness.exchanges[2].respond(204)
            await wait_until(lambda: job.finished is not None)
            assert job.finished is not None and job.finished.status == (200 if state == "done" else 502)
        else:
            await harness.run_pending_tasks()
            assert job.finished is None and len(job.ended_attempts) == 1, "the second attempt goes on"
        await service.close()

    run_with_dispatcher(scenario)


async def accept_attempt(harness: DispatcherHarness, number: int) -> None:
    """Wait for the attempt with this number, counted from 1, and let its worker accept it."""
    await wait_until(lambda: len(harness.exchanges) == number)
    exchange = harness.exchanges[-1]
    message = exchange.build()
    assert message is not None and message.method == "POST"
    exchange.on_sent()
    exchange.respond(202)
    await harness.run_pending_tasks()
