"""The open requests of a dispatcher and the attempts of each."""

from __future__ import annotations

import asyncio
from enum import IntEnum

from locktide.protocol.messages import SubmitRequest
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import Response


class AttemptStage(IntEnum):
    """The progress of an attempt; `docs/design/endings.md` lists the duties at each stage."""

    PENDING = 0  # no byte is sent: the attempt may wait for a connection
    SENDING = 1  # some bytes are sent
    SENT = 2  # the kernel has taken the last byte: the job may run
    ACCEPTED = 3  # the worker has replied 202 or sent a callback
    ENDED = 4  # the attempt has its outcome


class OpenAttempt:
    """An attempt of a request, until its outcome is reported to the scheduler.

    Attributes:
        number: Its place among the attempts of its request, from 0.
        worker: Name of the worker.
        task: Sends the job to the worker.
        stage: Its progress; changed only by `reach`.
        send_before: The time from which its first byte must not be sent any more, in microseconds; 0 if only
            the deadline limits it.
        is_cancelling: Whether its cancellation has begun.
        was_accepted: Whether the worker has reported, by 202 or callback, that it has the job.
        outcome: How the attempt ended; None before.
        built_at: When the clock was last read before its first byte, in microseconds.
        sent_at: When its last byte was written, in microseconds.
        fence: Fencing number of its lease if the request is a durable job, else 0.
        lease_expired: Whether its lease has expired, so that its worker has no claim on the job any more.
    """

    __slots__ = (
        "number",
        "worker",
        "task",
        "stage",
        "send_before",
        "is_cancelling",
        "was_accepted",
        "outcome",
        "built_at",
        "sent_at",
        "fence",
        "lease_expired",
    )

    task: asyncio.Task[None]

    def __init__(self, number: int, worker: str) -> None:
        self.number = number
        self.worker = worker
        self.stage = AttemptStage.PENDING
        self.send_before = 0
        self.is_cancelling = False
        self.was_accepted = False
        self.outcome: AttemptOutcome | None = None
        self.built_at = 0
        self.sent_at = 0
        self.fence = 0
        self.lease_expired = False

    def reach(self, stage: AttemptStage) -> None:
        """Advance the stage; the only method that changes it.

        A stage never goes back: a late message, such as a 202 after a callback, changes nothing.
        """
        self.was_accepted = self.was_accepted or stage is AttemptStage.ACCEPTED
        self.stage = max(self.stage, stage)

    def end(self, outcome: AttemptOutcome) -> bool:
        """Set the outcome; return False if there is one already, as the first outcome counts."""
        if self.stage is AttemptStage.ENDED:
            return False
        self.outcome = outcome
        self.reach(AttemptStage.ENDED)
        return True

    @property
    def is_possibly_running(self) -> bool:
        """Whether its last byte was written and its outcome is not known yet."""
        return AttemptStage.SENT <= self.stage < AttemptStage.ENDED


class OpenRequest:
    """A request, from its last byte until it has its response and each of its attempts has an outcome.

    Attributes:
        message: The request message of the client.
        deadline: When its response is due, in microseconds.
        response: The future of its response; cancelled once the client has disconnected.
        attempts: Its attempts, in order of their numbers.
        timer: Fires at the deadline.
    """

    __slots__ = ("message", "deadline", "response", "attempts", "timer")

    timer: asyncio.TimerHandle

    def __init__(self, message: SubmitRequest, deadline: int, response: asyncio.Future[Response]) -> None:
        self.message = message
        self.deadline = deadline
        self.response = response
        self.attempts: list[OpenAttempt] = []

    @property
    def is_open(self) -> bool:
        """Whether the client still waits for the response."""
        return not self.response.done()

    @property
    def is_settled(self) -> bool:
        """Whether the request has its response and each attempt its outcome."""
        return not self.is_open and not self.unfinished_attempts()

    def unfinished_attempts(self) -> list[OpenAttempt]:
        """Return the attempts that have no outcome yet, in order of their numbers."""
        return [attempt for attempt in self.attempts if attempt.stage is not AttemptStage.ENDED]

    def worker_accepted_earlier_attempt(self, later: OpenAttempt) -> bool:
        """Return whether the worker of the attempt `later` had accepted an earlier attempt of this request.

        A callback from that worker may be about either attempt.
        """
        earlier = self.attempts[: later.number]
        return any(attempt.was_accepted and attempt.worker == later.worker for attempt in earlier)

    def attempt_running_at(self, worker: str) -> OpenAttempt | None:
        """Return the possibly running attempt at that worker, which a callback from there is about."""
        for attempt in self.unfinished_attempts():
            if attempt.worker == worker and attempt.is_possibly_running:
                return attempt
        return None
