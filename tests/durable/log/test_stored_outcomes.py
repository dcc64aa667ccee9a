"""The stored spellings of attempt outcomes: complete in both directions and unchanged in bytes."""

from __future__ import annotations

import msgspec
import pytest

from locktide.durable.log import records
from locktide.durable.log.stored_outcomes import (
    STORED_OUTCOMES,
    StoredOutcome,
    decode_outcome,
    encode_outcome,
)
from locktide.scheduler.types import PROVEN_NOT_RUN, AttemptOutcome

# Repeated here so that an accidental change of the table fails: any change is one of the stored format.
SPELLINGS = {
    "DONE": "done",
    "ERROR": "error",
    "FULL": "full",
    "TIMED_OUT": "timed out",
    "NO_CONNECTION": "no connection",
    "RESET": "reset",
    "CANCELLED": "withdrawn",
    "NEVER_SENT": "never sent",
    "UNPROCESSABLE": "unfit",
    "CONNECTION_CLOSED": "cut off",
}


def test_each_outcome_has_one_stored_spelling_and_back() -> None:
    assert set(STORED_OUTCOMES) == set(AttemptOutcome)
    assert {outcome.name: spelling for outcome, spelling in STORED_OUTCOMES.items()} == SPELLINGS
    assert len(set(STORED_OUTCOMES.values())) == len(AttemptOutcome)
    for outcome in AttemptOutcome:
        assert decode_outcome(encode_outcome(outcome)) is outcome


@pytest.mark.parametrize("outcome", AttemptOutcome, ids=lambda outcome: outcome.name)
def test_ended_attempt_is_stored_in_the_bytes_of_the_format(outcome: AttemptOutcome) -> None:
    payload = records.encode(records.AttemptEnded("job", 2, encode_outcome(outcome), 7))
    assert payload == msgspec.msgpack.encode(["Ended", "job", 2, SPELLINGS[outcome.name], 7])
    decoded = records.decode(payload)
    assert isinstance(decoded, records.AttemptEnded)
    assert decode_outcome(decoded.outcome) is outcome


def test_outcome_of_a_later_program_is_read_as_possibly_executed() -> None:
    """Guard against a second run of a job when a log with an unknown outcome is read after a rollback.

    If the outcome counted as proof that the job never ran, a job that must run at most once would be sent
    again. It must count as an attempt that has ended and may have run.
    """
    outcome = decode_outcome(StoredOutcome("an outcome of later"))
    assert outcome is AttemptOutcome.RESET and outcome not in PROVEN_NOT_RUN
