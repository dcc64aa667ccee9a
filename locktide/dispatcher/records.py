"""The open requests of a dispatcher and the attempts of each."""

from __future__ import annotations

import asyncio
from enum import IntEnum

from locktide.protocol.messages import SubmitRequest
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import Response


class AttemptStage(IntEnum):
    """How far an attempt has come; `docs/design/endings.md` says what is owed at each stage."""

    PENDING = 0  # no byte is out: it may wait for a connection
    SENDING = 1  # some of its bytes are out
    SENT = 2  # its last byte is with the kernel: it may run
    ACCEPTED = 3  # its worker has it: the worker has replied 202, or called back
    ENDED = 4  # it has its outcome


class OpenAttempt:
    """One attempt, until its outcome is reported to the scheduler.

    Attributes:
        number: Its place among the attempts of its request, from 0.
        worker: Name of the worker.
        task: Sends it to its worker.
        stage: How far it has come; changed by `reach` alone.
        send_before: From when on no byte of it may be sent, in microseconds; 0 where the deadline counts.
        is_cancelling: Whether its cancellation has begun.
        was_accepted: Whether its worker has reported by 202 or by callback that it has the job.
        outcome: How it ended, once it has.
        built_at: When the clock was last read before its first byte, in microseconds.
        sent_at: When its last byte was written, in microseconds.
        fence: Fencing number of its lease, where the request is a durable job; else 0.
        lease_expired: Whether its worker has no claim on the job any more.
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
        """Advance the stage, in this one place.

        A stage never goes back: what comes late, such as a 202 after a callback, changes nothing.
        """
        self.was_accepted = self.was_accepted or stage is AttemptStage.ACCEPTED
        self.stage = max(self.stage, stage)

    def end(self, outcome: AttemptOutcome) -> bool:
        """Set the outcome; return False where it has one already, as the first that is known counts."""
        if self.stage is AttemptStage.ENDED:
            return False
        self.outcome = outcome
        self.reach(AttemptStage.ENDED)
        return True

    @property
    def possibly_running(self) -> bool:
        """Whether its last byte was written and its outcome is not known."""
        return AttemptStage.SENT <= self.stage < AttemptStage.ENDED


class OpenRequest:
    """One request, from its last byte until it has its response and each of its attempts its outcome.

    Attributes:
        message: What the client sent.
        deadline: By when it has to have its response, in microseconds.
        response: The response to come; cancelled once the client has gone.
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
        """Whether its client still waits for the response."""
        return not self.response.done()

    @property
    def is_settled(self) -> bool:
        """Whether nothing is owed any more: it has its response, each attempt its outcome."""
        return not self.is_open and not self.unfinished_attempts()

    def unfinished_attempts(self) -> list[OpenAttempt]:
        """Return the attempts that have no outcome yet, in order of their numbers."""
        return [attempt for attempt in self.attempts if attempt.stage is not AttemptStage.ENDED]

    def accepted_there_before(self, later: OpenAttempt) -> bool:
        """Return whether the worker of `later` had accepted an earlier attempt.

        A callback from there may be about either of them.
        """
        earlier = self.attempts[: later.number]
        return any(attempt.was_accepted and attempt.worker == later.worker for attempt in earlier)

    def attempt_running_at(self, worker: str) -> OpenAttempt | None:
        """Return the attempt that a callback from this worker is about: one that the worker can have."""
        for attempt in self.unfinished_attempts():
            if attempt.worker == worker and attempt.possibly_running:
                return attempt
        return None
