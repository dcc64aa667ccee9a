"""One exchange with a worker: a request, and its response, outcome or failure."""

from __future__ import annotations

from collections.abc import Callable

from locktide.protocol.client_connection import UpstreamRequest
from locktide.protocol.errors import ProtocolError
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import SendResult, TransportFailure
from locktide.transport.upstream_connection import UpstreamConnection


class OneTimeCallback:
    """Calls a callback at most once.

    While one request is written, the write buffer of a connection may become empty several times.

    Attributes:
        was_called: Whether the callback was called.
    """

    __slots__ = ("_callback", "was_called")

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self.was_called = False

    def __call__(self) -> None:
        """Call the callback, the first time only."""
        if not self.was_called:
            self.was_called = True
            self._callback()


async def exchange(
    connection: UpstreamConnection, build: Callable[[], UpstreamRequest | None], on_sent: Callable[[], None]
) -> SendResult:
    """Send a request on an open connection; return its response, or the outcome or failure.

    `build` and `on_sent` are those of `RequestSender.send`.
    """
    on_written = OneTimeCallback(on_sent)
    try:
        request = build()
        if request is None:
            return AttemptOutcome.NEVER_SENT
        await connection.write(request, on_written)
        return await connection.read_response()
    except (OSError, ProtocolError):
        if not on_written.was_called:
            return AttemptOutcome.NO_CONNECTION
        return _result_of_break(connection)


def _result_of_break(connection: UpstreamConnection) -> SendResult:
    """Return the result of a request whose connection broke after it was sent and before its response."""
    if connection.http.has_received:
        return TransportFailure.INVALID_RESPONSE
    # A worker may close an idle connection while the next request is on its way: this is not a failure of the
    # worker and must not count as one (test_break_of_a_reused_connection_is_closed_or_an_invalid_response).
    return AttemptOutcome.CONNECTION_CLOSED if connection.is_reused else AttemptOutcome.RESET
