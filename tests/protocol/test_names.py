"""Names of enum members on the wire: each has one meaning, and each state of an endpoint has a name."""

from __future__ import annotations

from locktide.config import platform_keys
from locktide.protocol import names
from locktide.scheduler.types import AttemptOutcome, EndpointState


def test_each_endpoint_state_has_one_word_on_the_wire_and_back() -> None:
    states = list(platform_keys.ENDPOINT_STATES.values())
    assert len(states) == len(set(states)) and set(states) == set(EndpointState)
    assert list(platform_keys.ENDPOINT_STATES) == ["active", "leaving", "left"]


def test_each_final_callback_state_has_an_outcome_of_its_own() -> None:
    outcomes = list(names.CALLBACK_OUTCOMES.values())
    assert len(outcomes) == len(set(outcomes))
    assert names.CALLBACK_OUTCOMES == {
        "done": AttemptOutcome.DONE,
        "failed": AttemptOutcome.ERROR,
        "returned": AttemptOutcome.FULL,
        "lost": AttemptOutcome.RESET,
    }
    assert not {names.STARTED, names.RUNNING} & set(names.CALLBACK_OUTCOMES)
