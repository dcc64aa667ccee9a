"""Background tasks of a job service."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Coroutine
from typing import Any


class BackgroundTasks:
    """Keeps a reference to each task until it ends, because the event loop itself holds only weak references.

    Attributes:
        tasks: The running tasks, in the order in which they were started.
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
