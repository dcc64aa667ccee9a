"""Fixtures for the tests of durable jobs."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from durable_helpers import ServedInstallation


@pytest.fixture
def installation(tmp_path: Path) -> Iterator[ServedInstallation]:
    """An installation whose file the test writes; its dispatchers are killed after the test."""
    served = ServedInstallation(tmp_path / "here.toml")
    yield served
    served.stop()
