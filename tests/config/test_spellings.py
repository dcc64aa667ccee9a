"""Spellings of enums in the platform's JSON and in an installation's file: each member has exactly one."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import pytest

from locktide.config import platform_keys
from locktide.config.installation import spellings
from locktide.config.installation.start import PLATFORM_EFFECTS, PLATFORM_SCOPES
from locktide.scheduler.types import DeduplicationScope, Effect


@pytest.mark.parametrize(
    ("table", "enum"),
    [
        (platform_keys.EFFECTS, Effect),
        (platform_keys.DEDUPLICATION_SCOPES, DeduplicationScope),
        (spellings.EFFECTS, Effect),
        (spellings.DEDUPLICATION_SCOPES, DeduplicationScope),
    ],
)
def test_each_member_has_one_spelling(table: Mapping[str, Enum], enum: type[Enum]) -> None:
    assert sorted(table.values(), key=list(enum).index) == list(enum)


def test_file_spelling_and_its_platform_spelling_mean_the_same() -> None:
    """The same class is written `numbered` in a file and `guarded` in the platform's settings.

    An installation is converted to the platform's spellings before it is read. A table with two of them
    swapped would give requests another effect in a dispatcher that is configured by a file, without an error.
    """
    for spelling, platform_spelling in PLATFORM_EFFECTS.items():
        assert spellings.EFFECTS[spelling] is platform_keys.EFFECTS[platform_spelling]
    for spelling, platform_spelling in PLATFORM_SCOPES.items():
        scope = platform_keys.DEDUPLICATION_SCOPES[platform_spelling]
        assert spellings.DEDUPLICATION_SCOPES[spelling] is scope
    assert (len(PLATFORM_EFFECTS), len(PLATFORM_SCOPES)) == (len(Effect), len(DeduplicationScope))
