"""The open requests of a dispatcher and the attempts of each."""

from __future__ import annotations

import asyncio
from enum import IntEnum

from locktide.protocol.messages import SubmitRequest
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.client_connection import Response


class AttemptStage(IntEnum):
    """How far an attempt has come; `docs/design/endings.md` says what is owed at each stage."""

    PENDING = 0  # no byte is out: it may wait for a connection
    SENDING = 1  # some of its bytes are out
    SENT = 2  # its last byte is with the kernel: it may run
    ACCEPTED = 3  # its worker has it: it has answered 202, or called back
    ENDED = 4  # it has its outcome


class OpenAttempt:
    """One attempt, until its outcome is reported to the scheduler."""

    __slots__ = (
        "number",
        "worker",
        "task",
        "stage",
        "send_before",
        "is_cancelling",
        "was_accepted",
        "outcome",
        "sent_at",
        "fence",
        "lease_expired",
    )

    task: asyncio.Task[None]  # sends it to its worker

    def __init__(self, number: int, worker: str) -> None:
        self.number = number
        self.worker = worker
        self.stage = AttemptStage.PENDING
        self.send_before = 0  # from when on no byte of it may go out; 0 where the deadline alone counts
        self.is_cancelling = False
        self.was_accepted = False  # its worker has said by 202 or by callback that it has the job
        self.outcome: AttemptOutcome | None = None  # once it has ended
        self.sent_at = 0  # when its last byte was written
        self.fence = 0  # of its lease, where the request is a durable job
        self.lease_expired = False  # its worker has no claim on the job any more

    def reach(self, stage: AttemptStage) -> None:
        """Advance the stage, in this one place.

        A stage never goes back: what comes late, such as a 202 after a callback, changes nothing.
        """
        self.was_accepted = self.was_accepted or stage is AttemptStage.ACCEPTED
        self.stage = max(self.stage, stage)

    def end(self, outcome: AttemptOutcome) -> bool:
        """Set the outcome; False where it has one already, as the first that is known counts."""
        if self.stage is AttemptStage.ENDED:
            return False
        self.outcome = outcome
        self.reach(AttemptStage.ENDED)
        return True

    @property
    def possibly_running(self) -> bool:
        """All of it was written, and how it ended is not known."""
        return AttemptStage.SENT <= self.stage < AttemptStage.ENDED


class OpenRequest:
    """One request, from its last byte until it has its response and each of its attempts its outcome."""

    __slots__ = ("message", "deadline", "response", "attempts", "timer")

    timer: asyncio.TimerHandle  # of the deadline

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
        """The attempts that have no outcome yet, in order of their numbers."""
        return [attempt for attempt in self.attempts if attempt.stage is not AttemptStage.ENDED]

    def accepted_there_before(self, later: OpenAttempt) -> bool:
        """Whether its worker had accepted an earlier attempt: a callback from there may be about either."""
        earlier = self.attempts[: later.number]
        return any(attempt.was_accepted and attempt.worker == later.worker for attempt in earlier)

    def attempt_running_at(self, worker: str) -> OpenAttempt | None:
        """The attempt that a callback from this worker is about: one that the worker can have."""
        for attempt in self.unfinished_attempts():
            if attempt.worker == worker and attempt.possibly_running:
                return attempt
        return None
