"""The states of a job, and the words for them that clients and operators read."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType


class JobState(StrEnum):
    """The state of a job."""

    OPEN = "open"
    DONE = "done"
    REJECTED = "rejected"  # the job ended and no attempt of it can have run
    FAILED = "failed"  # the job ended in any other way


#: The word for each state in the platform's protocol: used in the `Job-State` header, in the JSON of
#: `GET /jobs/ID` and in the output of `locktide jobs`.
JOB_STATE_WORDS: Mapping[JobState, str] = MappingProxyType(
    {JobState.OPEN: "open", JobState.DONE: "done", JobState.REJECTED: "denied", JobState.FAILED: "terminated"}
)

_STATE_BY_STATUS: Mapping[int, JobState] = {
    HTTPStatus.OK: JobState.DONE,
    HTTPStatus.SERVICE_UNAVAILABLE: JobState.REJECTED,
}


def state_of_final_response(status: int) -> JobState:
    """Return the state of a job whose final response has this HTTP status."""
    return _STATE_BY_STATUS.get(status, JobState.FAILED)
