"""The tasks that run attempts and cancellations."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Holds a reference to each running task of an attempt or a cancellation until the task is done."""

    def __init__(self) -> None:
        # The running tasks in order of their start; the value says whether the task is for a background
        # request.
        self._tasks: dict[asyncio.Task[None], bool] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, work: Coroutine[Any, Any, None], background: bool = False) -> asyncio.Task[None]:
        """Run `work` in a task; a shutdown does not wait for it if it is for a background request."""
        task: asyncio.Task[None] = asyncio.create_task(work)
        self._tasks[task] = background
        task.add_done_callback(self._tasks.pop)
        return task

    def has_foreground(self) -> bool:
        """Return whether a task is running that a shutdown has to wait for."""
        return not all(self._tasks.values())
