"""A process in virtual time: the tasks in its context, and its end."""

from __future__ import annotations

import asyncio
import contextvars
from contextlib import suppress
from typing import Any


class VirtualProcess:
    """A process; once killed, none of its code runs, not even clean-up code, as its tasks are kept."""

    def __init__(self, name: str, address: str) -> None:
        self.name, self.address = name, address
        self.dead = False
        self.held_until = 0.0  # its callbacks do not run before this time, as if it had no processor
        self.tasks: list[Any] = []
        # Tasks of a dead process, so that they are not garbage-collected while others run.
        self.kept: list[Any] = []

    def hold(self, task: Any) -> None:
        # Ended tasks are removed when the list has doubled, so that the cost per task stays small.
        self.tasks.append(task)
        if len(self.tasks) > 64 and not len(self.tasks) & (len(self.tasks) - 1):
            self.tasks = [held for held in self.tasks if not held.done()]

    def kill(self) -> None:
        self.dead = True
        self.kept = [(task, task.get_coro()) for task in self.tasks if not task.done()]

    async def clear_away(self) -> None:
        """Cancel all tasks left after the run, so that none is garbage-collected half-way."""
        self.dead, left = False, [task for task in self.tasks if not task.done()]
        for task in left:
            task.cancel()
        if left:
            await asyncio.wait(left, timeout=30.0)

    def drop(self) -> None:
        """Close the coroutines that could not be cancelled, after the end of the loop.

        The callback that would have resumed such a task was skipped. This runs outside of any task, so that a
        timer that a coroutine sets while it is closed cannot end another one.
        """
        for task in self.tasks:
            if not task.done():
                with suppress(RuntimeError):
                    task.get_coro().close()

    def context(self) -> contextvars.Context:
        context = contextvars.copy_context()
        context.run(PROCESS.set, self)
        return context


PROCESS: contextvars.ContextVar[VirtualProcess | None] = contextvars.ContextVar("process", default=None)
