"""Encodes the scheduler's commands as lines; the form of each line is defined here only."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NoReturn

from locktide.bench_adapter.line import milliseconds
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
from locktide.scheduler.log_events import log_line


def encode_start_attempt(command: StartAttempt) -> str:
    """Return the line that sends a request to a worker."""
    return f"FORWARD Corr={command.request_id} Worker={command.worker}"


def encode_cancel_attempt(command: CancelAttempt) -> str:
    """Return the line that cancels an attempt."""
    return f"WITHDRAW Corr={command.request_id} Shot={command.attempt}"


def encode_reject_request(command: RejectRequest) -> str:
    """Return the line that rejects a request."""
    return f"REJECT Corr={command.request_id} ComeBack={milliseconds(command.retry_after)}"


def encode_fail_request(command: FailRequest) -> str:
    """Return the line that fails a request."""
    return f"FINISH_ERROR Corr={command.request_id}"


def encode_set_timer(command: SetTimer) -> str:
    """Return the line that sets a timer."""
    return f"WAKE_ME Delay={milliseconds(command.delay)} Cookie={command.timer_id}"


def encode_close_idle_connections(command: CloseIdleConnections) -> str:
    """Return the line that closes the idle connections to a worker."""
    return f"CLOSE Worker={command.worker}"


def encode_watch_endpoints(command: WatchEndpoints) -> str:
    """Return the line that starts or stops the watch on the endpoint list."""
    return f"STREAM_CHANGES Want={int(command.enabled)}"


def encode_fetch_endpoints(_command: FetchEndpoints) -> str:
    """Return the line that fetches the endpoint list."""
    return "FETCH"


def encode_write_log(command: WriteLog) -> str:
    """Return the line that writes a log event."""
    return f"WRITE_LOG Line={one_line(log_line(command.event))}"


def raise_internal_error(command: ReportInternalError) -> NoReturn:
    """Raise the error that the scheduler reported, so that the instance fails with it.

    A dispatcher survives such an error, but a run of the bench in which one occurs must not count.
    """
    raise RuntimeError(command.detail)


def encode_instance_failure(error: Exception) -> str:
    """Return the line that fails an instance with an error."""
    return f"GIVE_IN Line={one_line(f'{type(error).__name__}: {error}')}"


def encode_instance(instance: int) -> str:
    """Return the line that names the instance of the lines after it."""
    return f"AS DispatcherId={instance}"


def one_line(text: str) -> str:
    """Replace every run of white space by one space, as a message of the wire is a single line."""
    return " ".join(text.split())


END_OF_REPLY = "END"

COMMAND_ENCODERS: Mapping[type[Command], Callable[[Any], str]] = {
    StartAttempt: encode_start_attempt,
    CancelAttempt: encode_cancel_attempt,
    RejectRequest: encode_reject_request,
    FailRequest: encode_fail_request,
    SetTimer: encode_set_timer,
    CloseIdleConnections: encode_close_idle_connections,
    WatchEndpoints: encode_watch_endpoints,
    FetchEndpoints: encode_fetch_endpoints,
    WriteLog: encode_write_log,
    ReportInternalError: raise_internal_error,
}


def encode_commands(commands: Iterable[Command]) -> list[str]:
    """Return the line of each command.

    Raises:
        RuntimeError: a command reports an internal error.
    """
    return [COMMAND_ENCODERS[type(command)](command) for command in commands]
