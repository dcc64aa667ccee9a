"""Jobs of an earlier process beside requests of this one: ids, leases, and for whom they count."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import replace
from zlib import crc32

from durable_helpers import JOB_CONFIG, accepted_job, open_log, run_in_virtual_time
from helpers import HandPlayed, run_story, submission, until

from locktide.durable.job_service import JobService
from locktide.durable.log.records import JobAccepted, JobFinished
from locktide.durable.recovery import ClockReading
from locktide.protocol import names
from locktide.protocol.messages import Callback
from locktide.scheduler.events import RequestArrived, RequestRecovered
from locktide.scheduler.types import AttemptOutcome
from locktide.simulation.virtual_time.disk import VirtualDisk
from locktide.transport.log import Log

CLOCKS = ClockReading(wall_time=0, boot_id="same", uptime=0)


async def recover(
    play: HandPlayed,
    jobs: list[JobAccepted],
    durable_classes: Collection[str] = ("record",),
    disk: VirtualDisk | None = None,
) -> JobService:
    """Write jobs by one process, and return the service of the next one, which has begun to resume them."""
    disk = disk or VirtualDisk(1, 0.0)
    earlier = open_log(disk)
    await asyncio.gather(*[earlier.append(job) for job in jobs])
    disk.crash()
    config = replace(JOB_CONFIG, service_classes=durable_classes)
    service = JobService(play.node, open_log(disk), config, Log("d0"))
    await service.recover(CLOCKS)
    return service


async def wait_until_resumed(play: HandPlayed, job_id: str) -> None:
    await until(lambda: job_id in play.node.registry.open_requests)


def test_no_request_gets_the_id_of_a_job_that_is_not_resumed_yet() -> None:
    """Many jobs were recovered, which are resumed at a limited rate, and a client used the id of one of them.

    Its request, of a class that is not durable, was accepted; the job then displaced it among the open
    requests, and its client got no response. An id of a job is in use, whether or not the job is resumed.
    """

    async def story(play: HandPlayed) -> None:
        service = await recover(play, [accepted_job("a"), accepted_job("b")])
        await wait_until_resumed(play, "a")
        assert "b" not in play.node.registry.open_requests, "it is resumed later"
        assert service.submit(submission("b")) is None
        await wait_until_resumed(play, "b")
        assert play.node.registry.open_requests["b"].message.background
        await service.close()

    run_story(story)


def test_job_of_a_class_that_is_durable_no_more_gets_a_lease_and_its_report_counts() -> None:
    """An operator took a class out of the durable ones while jobs of it were open, and restarted.

    The jobs were resumed without a lease: their attempts were on no disk, so that another crash would have
    sent them again unseen, and their workers' reports counted as late, so that no job ever ended.
    """

    async def story(play: HandPlayed) -> None:
        service = await recover(play, [accepted_job("a")], durable_classes=())
        await wait_until_resumed(play, "a")
        await until(lambda: play.asked)
        attempt = play.asked[0]
        message = attempt.build()
        assert message is not None and (names.FENCE.encode(), b"1") in message.headers
        attempt.sent()
        attempt.reply(202)
        job = service.state.table.jobs["a"]
        assert [lease.worker for lease in job.leases] == [attempt.worker]
        report = Callback("a", attempt.worker, names.DONE, 1.0, AttemptOutcome.DONE, b"milk", fence=1)
        written = service.handle_callback(report)
        assert written is not None
        await written
        finished: JobFinished | None = service.state.table.jobs["a"].finished
        assert finished is not None and (finished.status, finished.body) == (200, b"milk")
        await service.close()

    run_story(story)


def test_durable_job_counts_for_its_tenant_with_its_hint_and_its_affinity_key() -> None:
    """A tenant sent durable jobs far beyond its quota, and was not held back.

    A durable job lost its tenant, its work hint and its affinity key on its way to the scheduler, when it
    was new as well as when it was recovered. Both must arrive with what their client said.
    """
    extras = [(names.EXTRAS.encode(), b"slots=1, tenant=dairy, hint=40")]

    async def story(play: HandPlayed) -> None:
        events: list[object] = []
        play.node.bridge.observers.append(events.append)
        recorded = accepted_job("a")
        recorded.forwarded_headers = extras
        recorded.target = "/record?obj=7"
        service = await recover(play, [recorded])
        message = replace(submission("b", "record"), forwarded_headers=extras, target="/record?obj=7")
        service.submit(message)
        await until(lambda: len(arrivals_in(events)) == 2)
        arrivals = arrivals_in(events)
        assert {arrival.request_id for arrival in arrivals} == {"a", "b"}
        for arrival in arrivals:
            assert (arrival.tenant, arrival.work_hint) == ("dairy", 40_000)
            assert arrival.affinity_key == crc32(b"7")
        await service.close()

    run_story(story)


def arrivals_in(events: list[object]) -> list[RequestArrived]:
    recovered = [event.arrival for event in events if isinstance(event, RequestRecovered)]
    return recovered + [event for event in events if isinstance(event, RequestArrived)]


def test_full_disk_costs_a_few_leases_a_second_and_the_job_goes_on_once_there_is_space() -> None:
    """The disk was full when a dispatcher wanted to write the lease of an attempt.

    The attempt counted as never sent, the next one was given at once and failed as well: thousands a second
    for each job, each kept in memory with its job, until the process was killed. It must try now and then,
    and the job must be sent once there is space.
    """

    async def scenario() -> None:
        play = HandPlayed()
        disk = VirtualDisk(1, 0.001)
        service = await recover(play, [accepted_job("a")], disk=disk)
        disk.room = 5
        await asyncio.sleep(10.0)
        attempts = play.node.registry.open_requests["a"].attempts
        assert 2 <= len(attempts) <= 30, "two a second and what came before"
        assert not play.asked, "no byte without a lease on the disk"
        disk.room = None
        await asyncio.sleep(2.0)
        assert len(play.asked) == 1
        await service.close()

    run_in_virtual_time(scenario())
