"""The words of the platform's protocol for the states of a job: complete, distinct and unchanged."""

from __future__ import annotations

import pytest

from locktide.durable.job_states import JOB_STATE_WORDS, JobState, state_of_final_response


def test_each_job_state_has_a_word_of_its_own() -> None:
    assert set(JOB_STATE_WORDS) == set(JobState)
    assert len(set(JOB_STATE_WORDS.values())) == len(JobState)
    words = {state.name: word for state, word in JOB_STATE_WORDS.items()}
    assert words == {"OPEN": "open", "DONE": "done", "REJECTED": "denied", "FAILED": "terminated"}


@pytest.mark.parametrize(
    ("status", "state"),
    [
        (200, JobState.DONE),
        (503, JobState.REJECTED),
        (502, JobState.FAILED),
        (504, JobState.FAILED),
        (400, JobState.FAILED),
    ],
)
def test_status_of_the_final_response_is_the_state_of_the_job(status: int, state: JobState) -> None:
    assert state_of_final_response(status) is state
