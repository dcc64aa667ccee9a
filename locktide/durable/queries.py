"""Responds to clients that query a job by its id."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus

from locktide.durable.durable_state import DurableState
from locktide.durable.responses import final_response, pending_response, unknown_job_response
from locktide.protocol.messages import JobQuery
from locktide.transport.interfaces import Response


class JobQueries:
    """Responds to `GET /jobs/ID`."""

    def __init__(self, state: DurableState) -> None:
        self.state = state

    def respond(self, query: JobQuery) -> Response:
        """Return 202 for an open job, 200 with state and result for a finished one, 404 for an unknown id."""
        if not self.state.is_accepted(query.id):
            return unknown_job_response()
        job = self.state.table.jobs[query.id]
        if not self.state.is_final_response_stored(query.id):
            return pending_response(job)
        return replace(final_response(job), status=HTTPStatus.OK)
