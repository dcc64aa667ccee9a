"""Timers that were set and have not fired, and what each of them is for."""

from __future__ import annotations

from enum import Enum

from locktide.scheduler.commands import SetTimer
from locktide.scheduler.state.command_buffer import CommandBuffer
from locktide.scheduler.state.request import Attempt


class TimerPurpose(Enum):
    """What a timer that belongs to no attempt was set for."""

    ROUND = "round"
    POLL = "poll"


class Timers:
    """Sets timers and finds what a timer that fired was set for."""

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
