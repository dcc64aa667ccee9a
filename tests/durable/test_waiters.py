"""How long clients wait for durable jobs."""

from __future__ import annotations

import asyncio

import pytest
from durable_helpers import SECOND, JobParts, accepted_job, open_log, run_in_virtual_time

from locktide.durable.preference import Preference
from locktide.protocol.messages import SubmitRequest
from locktide.simulation.virtual_time.disk import VirtualDisk
from locktide.transport.interfaces import Response

REPEATED_REQUEST = SubmitRequest(
    id="again",
    service_class="record",
    timeout=9 * SECOND,
    width=1.0,
    is_retry=True,
    method="POST",
    target="/record",
    forwarded_headers=[],
    body=b"milk",
)


@pytest.mark.parametrize(
    ("preference", "status"), [(Preference(False, 0.0), 504), (Preference(True, 8.0), 202)]
)
def test_client_that_waits_for_an_earlier_job_gets_its_response_before_a_shutdown_ends(
    preference: Preference, status: int
) -> None:
    """A client repeated the submission of a durable job during a shutdown, and waited for the earlier job.

    Its wait was limited by its own timeout alone, so the process was killed before it had a response.
    """

    async def scenario() -> None:
        parts = JobParts(open_log(VirtualDisk(1, 0.0)))
        await parts.log.append(accepted_job("a"))
        parts.dispatcher.longest_wait = 2 * SECOND
        response: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        parts.waiters.add("a", REPEATED_REQUEST, preference, response)
        await asyncio.sleep(1.9)
        assert not response.done()
        await asyncio.sleep(0.2)
        assert response.done() and response.result().status == status

    run_in_virtual_time(scenario())
