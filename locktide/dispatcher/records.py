"""What one dispatcher holds: the open submissions with their dispatches, and the workers' addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import replace
from enum import IntEnum

from locktide.config.start import Address
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.protocol.server_connection import SubmitRequest
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import EndpointState
from locktide.transport.client_connection import Response


class AttemptStage(IntEnum):
    """How far a dispatch has come; `docs/design/endings.md` says what is owed at each."""

    ORDERED = 0  # no byte is out: it may wait for a connection
    SENDING = 1  # some of its bytes are out
    SENT = 2  # its last byte is with the kernel: it may run
    ACCEPTED = 3  # its worker has it: it has answered 202, or called back
    ENDED = 4  # it has its outcome


class OpenAttempt:
    """One dispatch, until its outcome is told to the decisions."""

    __slots__ = (
        "number",
        "worker",
        "task",
        "stage",
        "send_before",
        "recalled",
        "taken",
        "outcome",
        "sent_at",
        "fence",
        "lease_expired",
    )

    task: asyncio.Task[None]  # takes it to its worker

    def __init__(self, number: int, worker: str) -> None:
        self.number, self.worker = number, worker
        self.stage = AttemptStage.ORDERED
        self.send_before = 0  # from when on no byte of it may go out; 0 where the time limit alone counts
        self.recalled = False  # its worker is being told to give it up
        self.taken = False  # its worker has said by 202 or by callback that it has the job
        self.outcome: str | None = None  # once it has ended
        self.sent_at = 0  # when its last byte was written
        self.fence = 0  # of its lease, where the submission is a durable job
        self.lease_expired = False  # that lease has run out: its worker has no claim on it any more

    def reach(self, stage: AttemptStage) -> None:
        """The one place where its stage changes. It goes on only: what comes late (a 202 after a callback)
        takes nothing back.
        """
        self.taken = self.taken or stage is AttemptStage.ACCEPTED
        self.stage = max(self.stage, stage)

    def end(self, outcome: str) -> bool:
        """Whether that is its outcome: the first that is known counts."""
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
    """One submission, from its last byte until it is answered and each of its dispatches has its outcome."""

    __slots__ = ("message", "deadline", "response", "attempts", "timer")

    timer: asyncio.TimerHandle  # of the time limit

    def __init__(self, message: SubmitRequest, limit_at: int, answer: asyncio.Future[Response]) -> None:
        self.message, self.deadline, self.response = message, limit_at, answer
        self.attempts: list[OpenAttempt] = []

    @property
    def is_open(self) -> bool:
        return not self.response.done()

    @property
    def is_settled(self) -> bool:
        return not self.is_open and not self.unfinished_attempts()

    def unfinished_attempts(self) -> list[OpenAttempt]:
        return [dispatch for dispatch in self.attempts if dispatch.stage is not AttemptStage.ENDED]

    def taken_earlier(self, later: OpenAttempt) -> bool:
        """Whether that worker had taken one before: a word of it may be about either."""
        return any(one.taken and one.worker == later.worker for one in self.attempts[: later.number])

    def out_at(self, worker: str) -> OpenAttempt | None:
        """The dispatch that a word from this worker is about: one that it can have."""
        for dispatch in self.unfinished_attempts():
            if dispatch.worker == worker and dispatch.possibly_running:
                return dispatch
        return None


class EndpointDirectory:
    """The workers as this dispatcher's list last named them, in the state that counts for the decisions."""

    def __init__(self) -> None:
        self.entries: dict[str, EndpointEntry] = {}
        self.addresses: dict[str, Address] = {}

    def apply(self, update: DiscoveryUpdate) -> Iterable[str]:
        """Names the workers to which connections are of no more use; completes the update by what was known.

        Guards against an entry that cannot be read: what is said of a worker but not understood may be that
        it drains, so it gets nothing new, while the rest of the list counts as ever.
        """
        stale = []
        for worker in update.unreadable:
            if before := self.entries.get(worker):
                state = EndpointState.DRAINING if before.state == EndpointState.READY else before.state
                update.entries.append(replace(before, state=state))
                update.addresses[worker] = self.addresses[worker]
        told = {entry.worker for entry in update.entries}
        if update.is_snapshot:
            for worker in [worker for worker in self.entries if worker not in told]:
                self.entries[worker].state = EndpointState.GONE
                stale.append(worker)
        for entry in update.entries:
            worker, before = entry.worker, self.entries.get(entry.worker)
            moved = self.addresses.get(worker) != update.addresses[worker]
            if before and (
                moved or before.started_at != entry.started_at or entry.state == EndpointState.GONE
            ):
                stale.append(worker)
            self.entries[worker] = entry
            self.addresses[worker] = update.addresses[worker]
        return stale

    def accepts_requests(self, worker: str) -> bool:
        entry = self.entries.get(worker)
        return entry is not None and entry.state == EndpointState.READY
