"""Serves the messages of an accepted connection, one after another."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from typing import Any

from locktide.protocol.messages import BadRequest, Callback, HealthQuery, JobQuery, Message, SubmitRequest
from locktide.transport.client_connection import ClientConnection, ConnectionState, PeerRole
from locktide.transport.interfaces import Response

#: Seconds for which bytes are read and dropped after our side is shut. An earlier close would answer bytes
#: that are on their way with a reset, by which the peer can lose the last response. Long enough for bytes
#: that crossed the response.
LINGER_TIMEOUT = 1.0
#: The same after an early response, while the rest of the message still arrives: 60 MB take less than one
#: second with a fifth of a core.
REJECTED_LINGER_TIMEOUT = 3.5


class ClientSession:
    """Serves one accepted connection.

    Attributes:
        connection: The connection.
        context: What all connections of the listener share.
    """

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.context = connection.context

    async def run(self) -> None:
        """Serve messages until either side ends the connection; raise OSError."""
        connection = self.connection
        # With this limit a write returns once the kernel has the whole response, so that no close truncates
        # it.
        connection.writer.transport.set_write_buffer_limits(high=0)
        while not connection.http.is_final:
            message = connection.http.next_message()
            if message is None:
                if not await self.receive():
                    return
                continue
            connection.enter(ConnectionState.SERVING)
            if not await self.handle(message):
                return
        await connection.linger(LINGER_TIMEOUT)

    async def receive(self) -> bool:
        """Wait for bytes of a message; return whether some have arrived and can be parsed.

        A proven peer may be idle between two messages without limit, unless the process stops. A peer that
        has not proven itself may be neither idle nor within a message for long.
        """
        connection = self.connection
        if connection.http.expects_continue():
            connection.writer.writelines(connection.http.encode_continue())
        was_idle = connection.http.is_idle
        connection.enter(ConnectionState.IDLE if was_idle else ConnectionState.RECEIVING)
        has_arrived = await self.wait_readable(was_idle)
        # An idle connection may have been closed to free its descriptor. Bytes that arrived nevertheless are
        # not read: the client sends its message again elsewhere.
        if connection.writer.is_closing():
            return False
        is_idle_too_long = was_idle and not has_arrived
        if connection.state is ConnectionState.LINGERING or is_idle_too_long:
            await connection.linger(LINGER_TIMEOUT)
            return False
        if was_idle and connection.is_proven:
            connection.restart_message_timeout()
        connection.enter(ConnectionState.RECEIVING)
        if not has_arrived:
            await self.reject(BadRequest(HTTPStatus.REQUEST_TIMEOUT, "half a message"), is_final=True)
            return False
        return await self.consume()

    async def wait_readable(self, is_idle: bool) -> bool:
        """Wait for bytes; allow a close if it loses no message. Return whether bytes have arrived."""
        connection = self.connection
        if is_idle or not connection.is_proven:
            connection.mark_idle()
        has_arrived = await connection.wait_readable(self._receive_timeout(is_idle))
        connection.mark_busy()
        return has_arrived

    def _receive_timeout(self, is_idle: bool) -> float | None:
        """Return how long to wait for bytes, in seconds; None without a limit."""
        connection = self.connection
        if is_idle and connection.is_ending_idle:
            # A response that was encoded before the stop does not announce the end of its connection
            # (test_connection_whose_response_crosses_a_stop_ends_once_it_is_idle).
            return 0.0
        if is_idle and connection.is_proven:
            return None
        return max(0.0, connection.message_deadline - connection.now())

    async def consume(self) -> bool:
        """Feed the bytes read; return whether the next message can be parsed.

        No message can be parsed after the end of the stream or beyond the limit of stored bytes.
        """
        connection = self.connection
        data = connection.consume()
        if connection.store(connection.http.buffered_bytes):
            return bool(data)
        stored = self.context.stored_bytes
        self.context.log.emit(
            f"clients: memory limit reached, {stored} bytes stored",
            event="memory_limit_reached",
            stored=stored,
        )
        await self.reject(BadRequest(HTTPStatus.INTERNAL_SERVER_ERROR, "no room"), is_final=True)
        return False

    async def handle(self, message: Message) -> bool:
        """Serve one message; return whether another may follow."""
        connection = self.connection
        handler = self.context.request_handler
        if isinstance(message, SubmitRequest):
            return await self.handle_submission(message)
        if isinstance(message, Callback):
            connection.peer = PeerRole.WORKER
            accepted = handler.handle_callback(message)
            if accepted is not None:
                await accepted
            await connection.write(Response(HTTPStatus.NO_CONTENT))
        elif isinstance(message, JobQuery):
            connection.mark_client()
            await connection.write(handler.query_job(message))
        elif isinstance(message, HealthQuery):
            is_healthy = not message.ready or handler.is_ready()
            status = HTTPStatus.OK if is_healthy else HTTPStatus.INTERNAL_SERVER_ERROR
            await connection.write(Response(status, b"ok\n" if is_healthy else b"not ready\n"))
        else:
            await self.reject(message)
        return True

    async def handle_submission(self, message: SubmitRequest) -> bool:
        """Submit a request and wait for its response or for the client's disconnect."""
        connection = self.connection
        context = self.context
        if connection.protocol.has_ended:
            return False  # the client disconnected before its request was read: it is not submitted
        if context.waiting_clients >= context.max_waiting_clients:
            waiting = context.waiting_clients
            context.log.emit(
                f"clients: limit reached, {waiting} wait for a response, request rejected",
                event="client_limit_reached",
                waiting=waiting,
            )
            await connection.write(Response(HTTPStatus.INTERNAL_SERVER_ERROR, b"no room\n"))
            return True
        response = context.request_handler.submit(replace(message, received_at=connection.data_received_at()))
        if response is None:
            await self.reject(BadRequest(HTTPStatus.CONFLICT, "this id is in use or was"))
            return True
        connection.mark_client()
        connection.store(len(message.body))
        return await self.respond(message, response)

    async def respond(self, message: SubmitRequest, response: asyncio.Future[Response]) -> bool:
        """Write the response once it is available; return whether another message may follow."""
        connection = self.connection
        self.context.waiting_clients += 1
        abandon = partial(self.abandon, message, response)
        connection.protocol.on_end = abandon
        try:
            if not response.done():
                awaited: list[asyncio.Future[Any]] = [response, connection.read()]
                await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if response.done():
                if response.cancelled():
                    return False  # the client has disconnected
                await connection.write(response.result())
                return True
            if not connection.consume():
                return False
        finally:
            self.context.waiting_clients -= 1
            connection.store(0)
            abandon()
        # A client sends one request at a time: bytes before the response were meant as part of this request.
        await self.reject(
            BadRequest(HTTPStatus.BAD_REQUEST, "something follows before the answer"), is_final=True
        )
        return False

    def abandon(self, message: SubmitRequest, response: asyncio.Future[Response]) -> None:
        """Report, at most once, that the client does not wait for the response any more."""
        if self.connection.protocol.on_end is not None:
            self.connection.protocol.on_end = None
            if not response.done():
                self.context.request_handler.client_disconnected(message)

    async def reject(self, message: BadRequest, is_final: bool = False) -> None:
        """Respond to a message that is not accepted, and end the connection if no other can follow."""
        connection = self.connection
        connection.http.is_final = connection.http.is_final or is_final
        self.context.log.emit(
            f"clients: message rejected, {message.status}: {message.reason}",
            "clients",
            event="message_rejected",
            status=message.status,
            reason=message.reason,
        )
        await connection.write(Response(message.status, message.reason.encode() + b"\n"))
        if connection.http.is_final:
            await connection.linger(REJECTED_LINGER_TIMEOUT)
