"""HTTP responses about durable jobs."""

from __future__ import annotations

import pytest
from durable_helpers import accepted_job
from helpers import SERVICE_CLASSES

from locktide.durable.jobs import Job
from locktide.durable.responses import pending_response, wait_timed_out_response
from locktide.protocol import names
from locktide.protocol.messages import JobQuery
from locktide.protocol.server_connection import ServerHttpConnection
from locktide.transport.interfaces import Response


@pytest.mark.parametrize("job_id", ["a1", "50%25", "a?b=c#d", "x/../y", "%", 'q"&+;='])
def test_job_is_found_under_the_location_that_its_response_states(job_id: str) -> None:
    """The location had the id as it came; `%`, `?` and `#` in it mean something else in a path."""
    responses: list[Response] = [pending_response(Job(accepted_job(job_id))), wait_timed_out_response(job_id)]
    for response in responses:
        location = dict(response.headers)[names.LOCATION]
        timeouts = {service_class.name: service_class.timeout for service_class in SERVICE_CLASSES}
        connection = ServerHttpConnection(timeouts, (), keeps_jobs=True)
        connection.feed(f"GET {location} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        assert connection.next_message() == JobQuery(job_id)
