"""Events and commands: the unions contain every class of their modules and no other."""

from __future__ import annotations

from dataclasses import is_dataclass
from types import ModuleType
from typing import get_args

import pytest

from locktide.scheduler import commands, events

# Classes that are parts of events, not events themselves.
PARTS = {events.EndpointEntry, events.RecoveredAttempt, events.QuotaStage}


@pytest.mark.parametrize(
    ("module", "union"), [(events, events.Event), (commands, commands.Command)], ids=["events", "commands"]
)
def test_the_union_names_every_class_of_its_module(module: ModuleType, union: object) -> None:
    defined = {
        value
        for value in vars(module).values()
        if isinstance(value, type) and is_dataclass(value) and value.__module__ == module.__name__
    }
    assert set(get_args(union)) == defined - PARTS


def test_commands_that_are_built_alike_are_equal() -> None:
    assert commands.StartAttempt("a", "w0") == commands.StartAttempt("a", "w0", send_before=0)
    assert commands.CancelAttempt("a", 0) != commands.CancelAttempt("a", 1)
