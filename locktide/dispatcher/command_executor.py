"""Executes the scheduler's commands: passes each type of command to the component that handles it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias, assert_never

from locktide.dispatcher.attempts import AttemptRunner
from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.endpoint_follower import EndpointFollower
from locktide.dispatcher.failure_responses import FailureResponder
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.runtime import Runtime, ServingState
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.dispatcher.scheduler_log import emit_log_event
from locktide.scheduler.commands import (
    CancelAttempt,
    CloseIdleConnections,
    Command,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    ReportInternalError,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from locktide.transport.log import Log
from locktide.transport.upstream_pool import UpstreamPool

#: The commands about one request.
RequestCommand: TypeAlias = StartAttempt | CancelAttempt | RejectRequest | FailRequest | ReportInternalError


@dataclass(eq=False, slots=True, kw_only=True)
class RequestCommandExecutor:
    """Executes the commands about requests."""

    registry: RequestRegistry
    state: ServingState
    runtime: Runtime
    attempts: AttemptRunner
    cancellations: CancellationService
    failures: FailureResponder

    def execute(self, command: RequestCommand) -> None:
        """Execute one command, unless its request is left to the next process."""
        if self._is_left_to_next_process(command):
            return
        match command:
            case StartAttempt():
                self.attempts.start_attempt(command)
            case CancelAttempt():
                self.cancellations.cancel_attempt(command)
            case RejectRequest():
                self.failures.reject(command)
            case FailRequest():
                self.failures.fail(command)
            case ReportInternalError():
                self.failures.fail_after_internal_error(command)
            case _:
                assert_never(command)

    def _is_left_to_next_process(self, command: RequestCommand) -> bool:
        """Return whether the command is about a background request during a shutdown.

        The next process continues that request from its record on disk, which must stay unchanged.
        """
        if command.request_id is None or not self.state.is_limited(self.runtime.loop.time()):
            return False
        request = self.registry.get(command.request_id)
        return request is not None and request.message.background


@dataclass(eq=False, slots=True, kw_only=True)
class CommandExecutor:
    """Executes every command of the scheduler."""

    request_commands: RequestCommandExecutor
    bridge: SchedulerBridge
    upstream: UpstreamPool
    follower: EndpointFollower
    log: Log

    def execute(self, command: Command) -> None:
        """Execute one command."""
        match command:
            case StartAttempt() | CancelAttempt() | RejectRequest() | FailRequest() | ReportInternalError():
                self.request_commands.execute(command)
            case SetTimer():
                self.bridge.start_timer(command)
            case CloseIdleConnections():
                self.upstream.stop_reuse(command.worker)
            case WatchEndpoints():
                self.follower.request_watch()
            case FetchEndpoints():
                pass  # a list that is not polled is watched all the time
            case WriteLog():
                emit_log_event(self.log, command.event)
            case _:
                assert_never(command)
