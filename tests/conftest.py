"""The time limit of each test: one that hangs on the fault that it guards against fails and shows where."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Iterator
from types import FrameType
from typing import Any

import pytest


def print_tasks() -> None:
    """Print the stack of each task of the event loop that runs, which the stacks of threads do not show."""
    try:
        tasks = asyncio.all_tasks()
    except RuntimeError:  # no event loop runs
        return
    for task in tasks:
        task.print_stack(file=sys.stderr)


@pytest.hookimpl(wrapper=True)
def pytest_timeout_set_timer(item: pytest.Item, settings: Any) -> Iterator[None]:
    """Print the tasks before the plugin's own handler prints the threads and fails the test."""
    result = yield
    if settings.method == "signal":
        fail_test = signal.getsignal(signal.SIGALRM)

        def print_tasks_and_fail(signal_number: int, frame: FrameType | None) -> None:
            print_tasks()
            assert callable(fail_test)
            fail_test(signal_number, frame)

        signal.signal(signal.SIGALRM, print_tasks_and_fail)
    return result
