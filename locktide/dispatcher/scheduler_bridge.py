"""Between the process and its scheduler: events are collected and handed over, commands are carried out."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Mapping
from typing import Any

from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.runtime import Runtime, ServingState
from locktide.scheduler.commands import SetTimer
from locktide.scheduler.events import TimerFired
from locktide.scheduler.scheduler import Scheduler

Observer = Callable[[Any], None]
CommandHandler = Callable[[Any], None]

TRACEBACK_LINES = 3  # of the end of a traceback, in one log line


def describe_current_error() -> str:
    """The last lines of the traceback that is being handled, on one line."""
    return " | ".join(traceback.format_exc().splitlines()[-TRACEBACK_LINES:])


class SchedulerBridge:
    """Passes events to the scheduler and its commands to their handlers; observers see both."""

    def __init__(
        self, scheduler: Scheduler, registry: RequestRegistry, runtime: Runtime, state: ServingState
    ) -> None:
        self.observers: list[Observer] = []
        self.command_handlers: dict[type, CommandHandler] = {SetTimer: self.set_timer}
        self._scheduler = scheduler
        self._registry = registry
        self._runtime = runtime
        self._state = state
        self._pending_events: list[Any] = []
        self._step_scheduled = False

    def register_handlers(self, handlers: Mapping[type, CommandHandler]) -> None:
        """Set who carries out the commands of each type."""
        self.command_handlers.update(handlers)

    def enqueue_event(self, event: Any) -> None:
        """Queue an event for the scheduler; all that are queued by the next loop turn go in one step."""
        self._pending_events.append(event)
        self._notify_observers(event)
        if not self._step_scheduled:
            self._step_scheduled = True
            self._runtime.loop.call_soon(self.step_scheduler)

    def step_scheduler(self) -> None:
        """Hand the queued events to the scheduler and carry out its commands."""
        self._step_scheduled = False
        events, self._pending_events = self._pending_events, []
        try:
            commands = self._scheduler.step(self._runtime.clock.now(), events)
        except Exception:  # protects the process: requests end by their deadlines all the same
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

    def execute(self, command: Any) -> None:
        """Carry out one command, unless the next process goes on with what it is about."""
        self._notify_observers(command)
        if not self._is_left_to_next_process(command):
            self.command_handlers[type(command)](command)

    def set_timer(self, command: SetTimer) -> None:
        """Send the scheduler a timer event after the delay."""
        event = TimerFired(command.timer_id)
        self._runtime.loop.call_later(command.delay / 1e6, self.enqueue_event, event)

    def _notify_observers(self, message: Any) -> None:
        for observer in self.observers:
            try:
                observer(message)
            except Exception as trouble:  # protects the event or command: it is processed all the same
                error = f"{type(trouble).__name__}: {trouble}"
                self._runtime.log.emit(f"an observer failed: {error}", event="observer_failed", error=error)

    def _is_left_to_next_process(self, command: Any) -> bool:
        """Whether, in a shutdown, it is about a background job: what is on disk stays as it is."""
        request = self._registry.get(getattr(command, "request_id", ""))
        shutting_down = self._state.shutdown_deadline is not None
        return shutting_down and request is not None and request.message.background
