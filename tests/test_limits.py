"""The time limit of each test."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

TESTS = Path(__file__).parent
HANGING_TEST = """
import asyncio

async def wait_forever():
    await asyncio.get_running_loop().create_future()

async def hang():
    task = asyncio.create_task(wait_forever())
    await task

def test_hangs():
    asyncio.run(hang())
"""


def test_hanging_test_fails_at_its_limit_and_shows_the_task_that_waits(tmp_path: Path) -> None:
    """Two tests hung for ever on the faults that they guard against, and a CI run ended without a message.

    A test that hangs must fail at its limit, and its output must name the line at which a task waits.
    """
    (tmp_path / "test_hanging.py").write_text(HANGING_TEST)
    (tmp_path / "conftest.py").write_text((TESTS / "conftest.py").read_text())
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--timeout=1", str(tmp_path)]
    run = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60, check=False)
    assert run.returncode == 1, run.stdout
    assert "Timeout" in run.stdout and "in wait_forever" in run.stdout + run.stderr
