"""The tasks that carry attempts and cancellations."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Owns the running tasks of attempts and cancellations, each until it is done."""

    def __init__(self) -> None:
        # Whether each task is for a background request, in order of their start.
        self._tasks: dict[asyncio.Task[None], bool] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, work: Coroutine[Any, Any, None], background: bool = False) -> asyncio.Task[None]:
        """Run `work` in a task; a shutdown does not wait for the task of a background request."""
        task: asyncio.Task[None] = asyncio.create_task(work)
        self._tasks[task] = background
        task.add_done_callback(self._tasks.pop)
        return task

    def has_foreground(self) -> bool:
        """Return whether a task runs for which a shutdown has to wait."""
        return not all(self._tasks.values())
