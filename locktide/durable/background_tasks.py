"""Tasks that run beside the requests, and are held until they end."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Coroutine
from typing import Any


class BackgroundTasks:
    """Holds its tasks, so that none is collected while it runs."""

    def __init__(self) -> None:
        self.tasks: dict[asyncio.Task[None], None] = {}  # in the order of their start

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task."""
        task = asyncio.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))
        return task

    def cancel_all_but(self, kept: Collection[asyncio.Task[None]]) -> None:
        """Cancels all tasks that are not in `kept`."""
        for task in list(self.tasks):
            if task not in kept:
                task.cancel()
