"""Tasks that run beside the requests."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Coroutine
from typing import Any


class BackgroundTasks:
    """Refers to its tasks until they end, as the event loop does not keep a running task alive.

    Attributes:
        tasks: The tasks that run, in the order of their start.
    """

    def __init__(self) -> None:
        self.tasks: dict[asyncio.Task[None], None] = {}

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task."""
        task = asyncio.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))
        return task

    def cancel_all_except(self, exceptions: Collection[asyncio.Task[None]]) -> None:
        """Cancel all tasks that are not in `exceptions`."""
        for task in list(self.tasks):
            if task not in exceptions:
                task.cancel()
