"""The server side of an HTTP connection, on which clients submit requests and workers call back.

One exchange follows another. h11 tracks a state for each side of the connection; the pairs of states mean:

    peer's side   our side        meaning
    IDLE          IDLE            between two messages
    SEND_BODY     SEND_RESPONSE   a message is being received; it may be rejected before its end
    DONE          SEND_RESPONSE   a message was returned, its response is due
    DONE          DONE            both are complete: the next exchange begins
    MUST_CLOSE    SEND_RESPONSE   as DONE, SEND_RESPONSE, but the peer closes after the response
    ERROR         IDLE            the request line or the header is not HTTP
    ERROR         SEND_RESPONSE   the body is not HTTP
    any           MUST_CLOSE      the response said "Connection: close": nothing follows

ERROR is a special case: h11 parses no further bytes, but one response may be sent, which states the error.
This response is always the last on its connection, as it is not known where the next message begins.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from http import HTTPStatus

import h11

from locktide.protocol.errors import RejectedMessageError
from locktide.protocol.messages import BadRequest, Message, SubmitRequest
from locktide.protocol.request_framing import check_body_size, check_framing
from locktide.protocol.request_router import AcceptedMessage, RequestRouter

#: States of our side in which a response may be sent.
RESPONSE_STATES = (h11.IDLE, h11.SEND_RESPONSE)


class ServerHttpConnection:
    """Parses messages from the bytes that are fed, one at a time, and encodes the response to each.

    The caller has to detect the end of the stream, which completes no message.

    Attributes:
        is_final: Whether nothing can follow on this connection.
    """

    def __init__(
        self, timeouts: Mapping[str, int], keyed_classes: Collection[str], keeps_jobs: bool = False
    ) -> None:
        """Begin a connection on which nothing was received yet.

        Args:
            timeouts: Timeout of each service class, in microseconds.
            keyed_classes: Service classes whose requests need an idempotency key.
            keeps_jobs: Whether clients may query durable jobs.
        """
        self.is_final = False
        self._machine = h11.Connection(h11.SERVER)
        self._router = RequestRouter(timeouts, keyed_classes, keeps_jobs)
        self._head: h11.Request | None = None
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Add bytes that were read from the socket."""
        self._machine.receive_data(data)

    @property
    def is_idle(self) -> bool:
        """Whether every message of which bytes were fed has its response."""
        return self._machine.their_state is h11.IDLE and not self.unparsed_bytes

    @property
    def unparsed_bytes(self) -> int:
        """How many bytes were fed and are not parsed."""
        return len(self._machine.trailing_data[0])

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of an incomplete message are stored."""
        return len(self._body) + self.unparsed_bytes

    def expects_continue(self) -> bool:
        """Whether the client waits for a 100 response before it sends the body."""
        return self._machine.they_are_waiting_for_100_continue

    def encode_continue(self) -> list[bytes]:
        """Return the 100 response, in pieces."""
        return self._send(h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[]))

    def next_message(self) -> Message | None:
        """Return the next message; None while more bytes are needed."""
        try:
            return self._read_message()
        except RejectedMessageError as error:
            self.is_final = self.is_final or error.is_final
            return BadRequest(error.status, error.reason)
        except h11.RemoteProtocolError as error:
            self.is_final = True
            return BadRequest(_rejection_status(error), str(error))

    def _read_message(self) -> AcceptedMessage | None:
        """Return what `next_message` returns; raise RejectedMessageError or h11.RemoteProtocolError."""
        while True:
            event = self._machine.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.Request):
                self._head = event
                self._body = bytearray()
                check_framing(event)
            elif isinstance(event, h11.Data):
                self._body += event.data
                check_body_size(len(self._body))
            elif isinstance(event, h11.EndOfMessage):
                return self._complete_message()

    def _complete_message(self) -> AcceptedMessage:
        assert self._head is not None  # h11 ends no message that has not begun
        message = self._router.parse(self._head, self._body, has_unparsed_bytes=self.unparsed_bytes > 0)
        if isinstance(message, SubmitRequest):
            self._body = bytearray()  # the message has a copy: its bytes are no longer buffered here
        return message

    def encode_response(
        self, status: int, body: bytes, headers: list[tuple[str, str]], is_final: bool
    ) -> list[bytes]:
        """Return the response to the latest message, in pieces; a final response closes the connection."""
        self.is_final = self.is_final or is_final
        if self._machine.our_state not in RESPONSE_STATES:
            # The exchange already has its response, or the connection closes after it: the peer would take
            # another response for the response to its next request.
            self.is_final = True
            return []
        pieces = self._send(
            h11.Response(
                status_code=status,
                headers=self._response_headers(status, body, headers),
                reason=HTTPStatus(status).phrase,
            )
        )
        if body and not self._is_head_request:
            pieces += self._send(h11.Data(data=body))
        pieces += self._send(h11.EndOfMessage())
        self._end_exchange()
        return pieces

    def _response_headers(
        self, status: int, body: bytes, headers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        framing = []
        if status != HTTPStatus.NO_CONTENT:
            framing.append(("Content-Length", str(len(body))))
        if self.is_final:
            framing.append(("Connection", "close"))
        return headers + framing

    @property
    def _is_head_request(self) -> bool:
        return self._head is not None and self._head.method == b"HEAD"

    def _end_exchange(self) -> None:
        """Begin the next exchange, if one can follow."""
        is_complete = self._machine.our_state is self._machine.their_state is h11.DONE
        if is_complete and not self.is_final:
            self._machine.start_next_cycle()
        else:
            self.is_final = True
        self._head = None
        self._body = bytearray()

    def _send(self, event: h11.Event) -> list[bytes]:
        return self._machine.send_with_data_passthrough(event) or []


def _rejection_status(error: h11.RemoteProtocolError) -> int:
    """Return the 4xx that h11 suggests; 400 for the 501 that it suggests for an unknown transfer coding."""
    hint = error.error_status_hint
    is_client_error = HTTPStatus.BAD_REQUEST <= hint < HTTPStatus.INTERNAL_SERVER_ERROR
    return hint if is_client_error else HTTPStatus.BAD_REQUEST
