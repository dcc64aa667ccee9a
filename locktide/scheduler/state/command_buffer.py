"""The commands of the current step."""

from __future__ import annotations

from locktide.scheduler.commands import Command, WriteLog
from locktide.scheduler.log_events import LogEvent


class CommandBuffer:
    """Collects the commands of one step, in the order in which the host has to execute them."""

    __slots__ = ("_commands",)

    def __init__(self) -> None:
        self._commands: list[Command] = []

    def clear(self) -> None:
        """Start a step; drop commands that an interrupted step left behind."""
        self._commands = []

    def add(self, command: Command) -> None:
        """Add a command to this step."""
        self._commands.append(command)

    def log(self, event: LogEvent) -> None:
        """Write an event to the log."""
        self._commands.append(WriteLog(event))

    def collected(self) -> list[Command]:
        """Return the commands of this step so far."""
        return self._commands
