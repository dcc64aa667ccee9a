"""The spellings of attempt outcomes in the write-ahead log.

The spellings are part of the stored format, because the log of an earlier version must stay readable. They
are independent of the values of `AttemptOutcome` and defined only here.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NewType

from locktide.scheduler.types import AttemptOutcome

#: An outcome as it is spelled in a record.
StoredOutcome = NewType("StoredOutcome", str)

#: The stored spelling of each outcome.
STORED_OUTCOMES: Mapping[AttemptOutcome, StoredOutcome] = MappingProxyType(
    {
        AttemptOutcome.DONE: StoredOutcome("done"),
        AttemptOutcome.ERROR: StoredOutcome("error"),
        AttemptOutcome.FULL: StoredOutcome("full"),
        AttemptOutcome.TIMED_OUT: StoredOutcome("timed out"),
        AttemptOutcome.NO_CONNECTION: StoredOutcome("no connection"),
        AttemptOutcome.RESET: StoredOutcome("reset"),
        AttemptOutcome.CANCELLED: StoredOutcome("withdrawn"),
        AttemptOutcome.NEVER_SENT: StoredOutcome("never sent"),
        AttemptOutcome.UNPROCESSABLE: StoredOutcome("unfit"),
        AttemptOutcome.CONNECTION_CLOSED: StoredOutcome("cut off"),
    }
)
_OUTCOMES_BY_SPELLING = {spelling: outcome for outcome, spelling in STORED_OUTCOMES.items()}


def encode_outcome(outcome: AttemptOutcome) -> StoredOutcome:
    """Return the stored spelling of an outcome."""
    return STORED_OUTCOMES[outcome]


def decode_outcome(stored: StoredOutcome) -> AttemptOutcome:
    """Return the outcome of a stored spelling.

    An unknown spelling, written by a later version, is read as `AttemptOutcome.RESET`: the attempt has ended
    and may have run, so that no job is retried that must not run twice.
    """
    return _OUTCOMES_BY_SPELLING.get(stored, AttemptOutcome.RESET)
