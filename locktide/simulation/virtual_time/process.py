"""A process in virtual time: what runs in its context, and its end."""

from __future__ import annotations

import asyncio
import contextvars
from contextlib import suppress
from typing import Any


class VirtualProcess:
    """Once killed, nothing of it runs again; what it had begun is kept, so that no clean-up runs either."""

    def __init__(self, name: str, address: str) -> None:
        self.name, self.address = name, address
        self.dead = False
        self.held_until = 0.0  # nothing of it runs before: it gets no processor
        self.tasks: list[Any] = []
        self.kept: list[Any] = []  # of a dead process, so that nothing is collected while others go on

    def hold(self, task: Any) -> None:
        # Only what has not ended is of use; swept when it has doubled, so that holding costs little.
        self.tasks.append(task)
        if len(self.tasks) > 64 and not len(self.tasks) & (len(self.tasks) - 1):
            self.tasks = [one for one in self.tasks if not one.done()]

    def kill(self) -> None:
        self.dead = True
        self.kept = [(task, task.get_coro()) for task in self.tasks if not task.done()]

    async def clear_away(self) -> None:
        """Once all is over: ends what was left hanging, so that nothing is collected half-way."""
        self.dead, left = False, [task for task in self.tasks if not task.done()]
        for task in left:
            task.cancel()
        if left:
            await asyncio.wait(left, timeout=30.0)

    def drop(self) -> None:
        """Once the loop has ended: closes what could not be ended, as the step that would have woken it was
        passed over. Outside of any task, so that no timer it sets on its way out can end another.
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
