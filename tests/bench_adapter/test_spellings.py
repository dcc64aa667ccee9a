"""The tables of the wire are complete: a member without a spelling is listed with the reason."""

from __future__ import annotations

import typing
from collections.abc import Mapping
from enum import Enum

import pytest

from locktide.bench_adapter import spellings
from locktide.bench_adapter.encoding import COMMAND_ENCODERS
from locktide.bench_adapter.errors import BenchAdapterError, MalformedLineError
from locktide.bench_adapter.line import read_choice
from locktide.errors import LocktideError
from locktide.scheduler.commands import Command
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind


@pytest.mark.parametrize(
    ("table", "enum"),
    [
        (spellings.ENDPOINT_STATES, EndpointState),
        (spellings.LIST_UPDATE_KINDS, ListUpdateKind),
        (spellings.OUTCOMES, AttemptOutcome),
    ],
)
def test_each_member_is_spelled_once_or_named_as_not_spelled(
    table: Mapping[str, Enum], enum: type[Enum]
) -> None:
    unspelled = [member for member in spellings.WITHOUT_SPELLING if isinstance(member, enum)]
    assert sorted([*table.values(), *unspelled], key=list(enum).index) == list(enum)
    assert all(spellings.WITHOUT_SPELLING[member] for member in unspelled)


def test_each_command_has_an_encoder() -> None:
    assert set(COMMAND_ENCODERS) == set(typing.get_args(Command))


def test_malformed_line_error_has_what_was_expected_and_found() -> None:
    with pytest.raises(MalformedLineError) as raised:
        read_choice(spellings.ENDPOINT_STATES, {"Readiness": "asleep"}, spellings.STATE)
    error = raised.value
    assert isinstance(error, BenchAdapterError) and isinstance(error, LocktideError)
    assert str(error) == ("expected one of in_service, terminating, terminated in Readiness, not 'asleep'")
    assert error.expected.startswith("one of in_service") and error.found == "'asleep'"
