"""Connects the process and its scheduler: passes events to the scheduler and executes its commands."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import TypeAlias

from locktide.dispatcher.clock import Clock
from locktide.dispatcher.runtime import Runtime
from locktide.scheduler.commands import Command, SetTimer
from locktide.scheduler.events import Event, TimerFired
from locktide.scheduler.scheduler import Scheduler
from locktide.transport.units import MICROSECONDS_PER_SECOND

#: Executes one command.
CommandHandler: TypeAlias = Callable[[Command], None]
#: Called with each event when it is enqueued, and with each command before it is executed.
Observer: TypeAlias = Callable[[object], None]

#: Number of last lines of a traceback that are joined to one log line.
TRACEBACK_LINES = 3


def describe_current_error() -> str:
    """Return the last lines of the traceback of the current exception, on one line."""
    return " | ".join(traceback.format_exc().splitlines()[-TRACEBACK_LINES:])


class SchedulerBridge:
    """Passes events to the scheduler and its commands to their executor; observers see both.

    Attributes:
        observers: Called with each event and command, in the order in which the observers were added.
    """

    def __init__(self, scheduler: Scheduler, runtime: Runtime) -> None:
        self.observers: list[Observer] = []
        self._scheduler = scheduler
        self._runtime = runtime
        self._execute: CommandHandler | None = None
        self._pending_events: list[Event] = []
        self._step_scheduled = False

    @property
    def clock(self) -> Clock:
        """The clock of the scheduler's events and commands."""
        return self._runtime.clock

    def connect(self, execute: CommandHandler) -> None:
        """Set the function that executes the commands; called before the first event."""
        self._execute = execute

    def enqueue_event(self, event: Event) -> None:
        """Queue an event for the scheduler; the events of one loop turn are passed to it in one step."""
        self._pending_events.append(event)
        self._notify_observers(event)
        if not self._step_scheduled:
            self._step_scheduled = True
            self._runtime.loop.call_soon(self.step_scheduler)

    def step_scheduler(self) -> None:
        """Pass the queued events to the scheduler and execute its commands."""
        self._step_scheduled = False
        events = self._pending_events
        self._pending_events = []
        try:
            commands = self._scheduler.step(self._runtime.clock.now(), events)
        except Exception:  # protects the process: open requests still end at their deadlines
            error = describe_current_error()
            self._runtime.log.emit(f"the scheduler failed: {error}", event="scheduler_failed", error=error)
            return
        for command in commands:
            try:
                self.execute(command)
            except Exception:  # protects the other commands of the step
                error = describe_current_error()
                self._runtime.log.emit(
                    f"a command was not carried out: {error}", event="command_failed", error=error
                )

    def execute(self, command: Command) -> None:
        """Notify the observers of the command and execute it."""
        assert self._execute is not None, "connect must be called first"
        self._notify_observers(command)
        self._execute(command)

    def start_timer(self, command: SetTimer) -> None:
        """Enqueue a timer event after the delay of the command."""
        delay = command.delay / MICROSECONDS_PER_SECOND
        self._runtime.loop.call_later(delay, self.enqueue_event, TimerFired(command.timer_id))

    def _notify_observers(self, message: Event | Command) -> None:
        for observer in self.observers:
            try:
                observer(message)
            except Exception as fault:  # protects the event or command, which is still processed
                error = f"{type(fault).__name__}: {fault}"
                self._runtime.log.emit(f"an observer failed: {error}", event="observer_failed", error=error)
