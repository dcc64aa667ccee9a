"""Timers that were set and have not fired, and the purpose of each."""

from __future__ import annotations

from enum import Enum

from locktide.scheduler.commands import SetTimer
from locktide.scheduler.state.command_buffer import CommandBuffer
from locktide.scheduler.state.request import Attempt


class TimerPurpose(Enum):
    """Purpose of a timer that belongs to no attempt."""

    ROUND = "round"
    POLL = "poll"


class Timers:
    """Sets timers and keeps the attempt or purpose of each."""

    __slots__ = ("pending", "_commands", "_last_id")

    def __init__(self, commands: CommandBuffer) -> None:
        self._commands = commands
        self.pending: dict[int, Attempt | TimerPurpose] = {}  # by timer id
        self._last_id = 0

    def set(self, delay: int, target: Attempt | TimerPurpose) -> None:
        """Command a `TimerFired` after `delay` microseconds."""
        self._last_id += 1
        self.pending[self._last_id] = target
        self._commands.add(SetTimer(delay, self._last_id))
