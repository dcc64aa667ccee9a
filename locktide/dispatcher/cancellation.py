"""Cancelling an attempt that a worker may have: it is over once the worker has been told, and not before."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from locktide.config.address import Address
from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.completion import AttemptCompletion
from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.settings import DispatcherSettings
from locktide.protocol import worker_messages
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.scheduler.commands import CancelAttempt
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.log import Log

# How often it is tried at once. Idle connections break together: the second try goes out on a new one, and
# the third is for one that breaks by itself.
IMMEDIATE_TRIES = 3
# Between later tries, in connect times. An unreachable worker takes one of these for each: a place among our
# descriptors is held a fifth of the time, and a worker that is back is told within about a second.
RETRY_PAUSE = 4


class RequestSender(Protocol):
    """Sends one request to a worker; see `UpstreamPool.send`."""

    async def send(
        self,
        worker: str,
        address: Address,
        build: Callable[[], UpstreamRequest | None],
        sent: Callable[[], None],
        fresh: bool = False,
    ) -> UpstreamResponse | str:
        """The worker's reply, or the outcome that took its place."""


@dataclass(eq=False, slots=True)
class Cancellation:
    """One cancellation to deliver: of which request, at which worker."""

    request_id: str
    worker: str
    address: Callable[[], Address | None]  # the worker's address by the list of the moment
    connect_within: int  # microseconds
    is_obsolete: Callable[[], bool]  # whether nothing depends on it any more


async def deliver_cancellation(upstream: RequestSender, cancellation: Cancellation) -> bool:
    """Tell the worker to cancel, for as long as it takes; whether it has been told.

    It is told once it has answered, or has the whole message on a connection that came up for it: it is
    reachable then, and reads that before it works on. An idle connection may lead to where nobody is any
    more, and one that is refused or does not come up has carried nothing: what went elsewhere on the strength
    of such silence was a second copy. Once the cancellation is obsolete it ends with its first tries.
    """
    timeout = cancellation.connect_within / 1e6
    tries = 0
    while True:
        tries += 1
        is_first = tries == 1
        within = timeout if is_first else 2 * timeout
        if await _try_to_deliver(upstream, cancellation, within, fresh=not is_first):
            return True
        if tries >= IMMEDIATE_TRIES:
            if cancellation.is_obsolete():
                return False
            await asyncio.sleep(RETRY_PAUSE * timeout)


async def _try_to_deliver(
    upstream: RequestSender, cancellation: Cancellation, within: float, fresh: bool
) -> bool:
    """One try; whether the worker has been told.

    `within` is in seconds, as long as a connection and its reply may take: a silent worker must not hold up
    the others.
    """
    message = worker_messages.cancel_request(cancellation.request_id)
    wholly_sent = False

    def note_sent() -> None:
        nonlocal wholly_sent
        wholly_sent = True

    address = cancellation.address()
    try:
        async with asyncio.timeout(within):
            if address is None:
                return False
            reply = await upstream.send(cancellation.worker, address, lambda: message, note_sent, fresh=fresh)
            return isinstance(reply, UpstreamResponse)
    except TimeoutError:
        return wholly_sent and fresh


@dataclass(eq=False, slots=True)
class CancellationService:
    """Cancels attempts: before the 202 by closing the connection too, and in any case by a message."""

    registry: RequestRegistry
    completion: AttemptCompletion
    endpoints: EndpointDirectory
    upstream: RequestSender
    tasks: BackgroundTasks
    settings: DispatcherSettings
    log: Log

    def cancel_attempt(self, command: CancelAttempt) -> None:
        """Cancel an attempt for the scheduler."""
        request = self.registry.get(command.request_id)
        if request is None or command.attempt >= len(request.attempts):
            return
        attempt = request.attempts[command.attempt]
        if attempt.stage is AttemptStage.ENDED or attempt.is_cancelling:
            return
        attempt.is_cancelling = True
        if not self.start_cancelling(request, attempt):
            was_begun = attempt.stage >= AttemptStage.SENDING
            outcome = AttemptOutcome.CANCELLED if was_begun else AttemptOutcome.NEVER_SENT
            self.completion.finish(request, attempt, outcome)

    def cancel_unfinished(self, request: OpenRequest) -> None:
        """Cancel each attempt of the request that has no outcome yet."""
        for attempt in request.unfinished_attempts():
            self.cancel_attempt(CancelAttempt(request.message.id, attempt.number))

    def expire_lease(self, request_id: str, fence: int) -> None:
        """Cancel the attempt whose lease has run out.

        It ends once its worker has been told or cannot be told. Sooner, an attempt elsewhere would be a
        second copy.
        """
        request = self.registry.get(request_id)
        if request is None:
            return
        for attempt in request.unfinished_attempts():
            if attempt.fence == fence:
                attempt.lease_expired = True
                self.cancel_attempt(CancelAttempt(request_id, attempt.number))

    def cancel_and_finish(self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """End a possibly running attempt with that outcome, once its worker has been told to cancel it."""
        if attempt.possibly_running and not attempt.is_cancelling:
            attempt.is_cancelling = True
            self.start_cancelling(request, attempt, outcome)

    def start_cancelling(
        self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome = AttemptOutcome.CANCELLED
    ) -> bool:
        """Close the connection; whether a message follows, after which the attempt gets that outcome."""
        attempt.task.cancel()  # which closes the connection, where its reply is still waited for
        # Guards against a 202 that is on its way to us: the worker has accepted the job, and an attempt
        # elsewhere before the message has reached it is a second copy.
        if attempt.possibly_running:
            self.tasks.start(self._tell_worker(request, attempt, outcome))
        return attempt.possibly_running

    async def _tell_worker(self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        def is_obsolete() -> bool:
            # Before the 202 the closed connection has cancelled it; the message is for one on its way.
            is_accepted = attempt.stage is AttemptStage.ACCEPTED
            return not is_accepted or not request.is_open or attempt.lease_expired

        cancellation = Cancellation(
            request.message.id,
            attempt.worker,
            partial(self.endpoints.addresses.get, attempt.worker),
            self.settings.connect_within,
            is_obsolete,
        )
        if not await deliver_cancellation(self.upstream, cancellation):
            self.log.emit(
                f"worker {attempt.worker}: no answer to a cancellation",
                event="cancellation_unanswered",
                worker=attempt.worker,
            )
        self.completion.finish(request, attempt, outcome)
