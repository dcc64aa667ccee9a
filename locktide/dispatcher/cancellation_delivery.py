"""Delivers cancellations to workers and repeats them while anything depends on the delivery."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.dispatcher.settings import DispatcherSettings
from locktide.protocol import worker_messages
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.transport.interfaces import RequestSender
from locktide.transport.log import Log
from locktide.transport.units import MICROSECONDS_PER_SECOND

#: Number of sends of a cancellation that follow one another without a delay. Idle connections to a worker
#: often break together, so the second send uses a new connection. The third send is for the case that this
#: new connection breaks.
IMMEDIATE_SENDS = 3
#: Timeout of a send on a new connection, in connect timeouts: one to connect, one for the reply.
NEW_CONNECTION_TIMEOUTS = 2
#: Delay before each later send, in connect timeouts. A send to an unreachable worker takes one connect
#: timeout, so its descriptor is in use a fifth of the time, and a worker that can be reached again is
#: notified within about a second.
RESEND_DELAY_TIMEOUTS = 4


@dataclass(slots=True)
class _Message:
    """The cancellation message of one send, and whether all of it was sent."""

    request: UpstreamRequest
    was_sent: bool = False

    def build(self) -> UpstreamRequest:
        """Return the message; called right before its first byte is sent."""
        return self.request

    def note_sent(self) -> None:
        """Record that the kernel has taken the last byte."""
        self.was_sent = True


@dataclass(eq=False, slots=True, kw_only=True)
class CancellationDelivery:
    """Sends each cancellation until it is delivered or obsolete."""

    upstream: RequestSender
    endpoints: EndpointDirectory
    settings: DispatcherSettings
    log: Log

    async def deliver(self, request: OpenRequest, attempt: OpenAttempt) -> bool:
        """Deliver the cancellation of an attempt; return whether the worker is notified.

        A worker counts as notified once it has replied, or once the whole message is sent on a connection
        that was opened for it: the worker is reachable then, and reads the message before it continues its
        work. Silence proves nothing on an idle connection, whose process may be gone, nor on a connection
        that was not established: retries that relied on silence were second copies. An obsolete cancellation
        is not sent again after the immediate sends.
        """
        connect_timeout = self.settings.connect_within / MICROSECONDS_PER_SECOND
        send_count = 0
        while True:
            is_repeated = send_count > 0
            if await self._send(
                request.message.id, attempt.worker, connect_timeout, on_new_connection=is_repeated
            ):
                return True
            send_count += 1
            if send_count < IMMEDIATE_SENDS:
                continue
            if self._is_obsolete(request, attempt):
                self._log_undelivered(attempt.worker)
                return False
            await asyncio.sleep(RESEND_DELAY_TIMEOUTS * connect_timeout)

    async def _send(
        self, request_id: str, worker: str, connect_timeout: float, on_new_connection: bool
    ) -> bool:
        """Send the message once, on a new or an idle connection; return whether the worker is notified."""
        message = _Message(worker_messages.cancel_request(request_id))
        timeout = NEW_CONNECTION_TIMEOUTS * connect_timeout if on_new_connection else connect_timeout
        address = self.endpoints.addresses.get(worker)
        if address is None:
            return False
        try:
            # A silent worker must not delay the next send.
            async with asyncio.timeout(timeout):
                reply = await self.upstream.send(
                    worker, address, message.build, message.note_sent, on_new_connection=on_new_connection
                )
        except TimeoutError:
            return message.was_sent and on_new_connection
        return isinstance(reply, UpstreamResponse)

    @staticmethod
    def _is_obsolete(request: OpenRequest, attempt: OpenAttempt) -> bool:
        """Return whether nothing depends on the cancellation any more.

        Before the 202, closing the connection has cancelled the attempt already; the message is only for a
        202 that may be on its way.
        """
        is_accepted = attempt.stage is AttemptStage.ACCEPTED
        return not is_accepted or not request.is_open or attempt.lease_expired

    def _log_undelivered(self, worker: str) -> None:
        self.log.emit(
            f"worker {worker}: no reply to a cancellation", event="cancellation_unanswered", worker=worker
        )
