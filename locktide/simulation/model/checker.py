"""Checker: observes workers, clients and discovery in a run, and counts violations of the dispatchers' rules.

The checker uses no records of the dispatchers: its input is the attempts that reached workers, the responses
that clients received, the endpoint lists that dispatchers were sent, and the effects of jobs. The time at
which an attempt was sent is not observed; the earliest time that the link allows is assumed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from locktide.simulation.model import traffic
from locktide.simulation.model.traffic import RequestTry
from locktide.simulation.model.worker import ColdLoadSample

# State of an attempt, as far as its dispatcher can know it.
IN_FLIGHT, NEVER_EXECUTED, POSSIBLY_EXECUTED, GIVEN_UP = "out", "never ran", "may have run", "given up"
MAX_REPORTED = 200  # violations kept with their texts; later ones are only counted


@dataclass(slots=True)
class ReceivedAttempt:
    """An attempt that reached a worker completely."""

    worker: int
    pod: int
    dispatcher: int
    at: int
    sent_at: int  # the earliest possible time
    held_back: bool = False  # by a cut link, so that the time of sending is unknown
    state: str = IN_FLIGHT
    accepted_at: int | None = None  # when its 202 was sent, unless a cut link may have held that back


@dataclass(slots=True)
class Violation:
    at: int
    rule: str
    what: str


@dataclass
class CheckerConfig:
    """Tolerances of the rules, in microseconds."""

    slack: int = 50_000  # a response this long after the time limit is still in time, as on the platform
    drain_grace: int = 250_000
    memory: dict[str, int] = field(default_factory=dict)  # deduplication windows by numbered service class


RULES = ("lost", "late", "extra", "forged", "after", "doubled", "copies", "drain", "pushed", "strays")
RULE_MEANINGS = {
    "lost": "no final answer in time",
    "late": "a final answer after the time limit",
    "extra": "a second answer",
    "forged": "done with what no worker made",
    "after": "sent after the final answer",
    "doubled": "sent again, or denied, where it may have run",
    "copies": "two dispatches at once",
    "drain": "sent to a worker that drains or is gone",
    "pushed": "a cold worker pushed over",
    "strays": "a message to a worker that no client sent",
}


class Checker:
    def __init__(self, config: CheckerConfig) -> None:
        self.config = config
        self.counts = dict.fromkeys(RULES, 0)
        self.violations: list[Violation] = []
        self.received: dict[str, list[ReceivedAttempt]] = {}
        self.results: dict[str, set[bytes]] = {}
        self.ended: dict[str, tuple[int, str]] = {}  # time and status of the response to the client
        self.effects: dict[str, list[str]] = {}  # the submissions that had an effect, by idempotency key
        self.excused: set[str] = set()  # ids that a dispatcher held when it was killed
        self.other_counts = {"doubled records": 0, "fell over": 0}

    def record_violation(self, at: int, rule: str, what: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_REPORTED:
            self.violations.append(Violation(at, rule, what))

    # --- attempts

    def reached(
        self,
        submission: RequestTry,
        worker: int,
        pod: int,
        dispatcher: int,
        first_at: int,
        at: int,
        notified_at: int | None,
        max_delay: int,
        could_have_ended: Callable[[ReceivedAttempt], bool],
        cut_at: int | None = None,
    ) -> ReceivedAttempt:
        """Check an attempt that has reached a worker completely.

        `notified_at` is when its dispatcher was notified that the worker drains or is gone; `cut_at` is when
        the link was cut, for an attempt held back by that; `could_have_ended` returns whether the dispatcher
        could have ended an attempt in a way that both sides know.
        """
        # The attempt was sent no earlier than the largest delay of the link before its first byte arrived.
        received = ReceivedAttempt(worker, pod, dispatcher, at, first_at - max_delay, cut_at is not None)
        if cut_at is not None:
            received.sent_at = min(received.sent_at, cut_at)
        earlier = self.received.setdefault(submission.id, [])
        grade, name = (
            submission.request.grade,
            f"{submission.id} ({submission.request.grade.name}) at w{worker} by d{dispatcher}",
        )
        if notified_at is not None and received.sent_at > notified_at + self.config.drain_grace:
            late = (received.sent_at - notified_at) / 1000
            self.record_violation(at, "drain", f"{name}: sent {late:.0f} ms after the dispatcher was told")
        if (final := self.ended.get(submission.id)) and received.sent_at > final[0]:
            self.record_violation(
                at, "after", f"{name}: sent {(received.sent_at - final[0]) / 1000:.0f} ms after '{final[1]}'"
            )
        # An attempt that a cut link has held back was cancelled by closing its connection, and arrives after
        # the attempt that replaced it: the two are no concurrent copies.
        in_flight = [
            attempt
            for attempt in earlier
            if attempt.state == IN_FLIGHT and not received.held_back and could_have_ended(attempt)
        ]
        if in_flight:
            self.record_violation(at, "copies", f"{name}: still out at w{in_flight[0].worker}")
        possibly_executed = [attempt for attempt in earlier if attempt.state != NEVER_EXECUTED]
        if possibly_executed and grade.effect == "at-most-once":
            self.record_violation(at, "doubled", f"{name}: may have run at w{possibly_executed[0].worker}")
        elif possibly_executed and grade.effect == "numbered":
            if any(attempt.pod != pod for attempt in possibly_executed):
                self.record_violation(
                    at, "doubled", f"{name}: may have run at w{possibly_executed[0].worker}, of another pod"
                )
            elif received.sent_at - possibly_executed[0].at > self.config.memory[grade.name]:
                self.record_violation(
                    at,
                    "doubled",
                    f"{name}: may have run at w{possibly_executed[0].worker}, past the memory span",
                )
        earlier.append(received)
        return received

    def record_stray(self, at: int, what: str) -> None:
        self.record_violation(at, "strays", what)

    @staticmethod
    def settle(received: ReceivedAttempt, how: str) -> None:
        """Set the outcome of an attempt; the first one counts.

        Only a cancelled attempt (GIVEN_UP) may still turn out never to have been executed.
        """
        if received.state == IN_FLIGHT or how == NEVER_EXECUTED and received.state == GIVEN_UP:
            received.state = how

    def record_result(self, id: str, result: bytes) -> None:
        self.results.setdefault(id, set()).add(result)

    def effect(self, at: int, submission: RequestTry, received: ReceivedAttempt | None = None) -> None:
        """Check the effect of a job that has started and that its pod has not dropped as a repeat.

        A repeat that was sent in time, but held back by the network past the deduplication window, counts as
        a doubled record, though not as a violation.
        """
        if submission.request.grade.effect == "reissuable":
            return
        held = self.effects.setdefault(submission.request.key, [])
        if held:
            # A client's own retry of a request that a killed dispatcher held is no violation by a dispatcher.
            is_counted = not any(id in self.excused for id in held)
            if is_counted:
                self.other_counts["doubled records"] += 1
            if is_counted and not (received is not None and received.held_back):
                self.record_violation(
                    at, "doubled", f"{submission.id} ({submission.request.grade.name}): a second effect"
                )
        held.append(submission.id)

    # --- responses

    def answered(self, submission: RequestTry, now: int, status: int, body: bytes) -> None:
        if submission.id in self.ended:
            self.record_violation(now, "extra", f"{submission.id}: a second answer, {status}")
            return
        self.ended[submission.id] = (now, str(status))
        if now > submission.limit_at + self.config.slack:
            over = (now - submission.limit_at) / 1000
            what = f"{submission.id} ({submission.request.grade.name}): {status} {over:.0f} ms past the limit"
            self.record_violation(now, "late", what)
        if status == 200 and body not in self.results.get(submission.id, ()):
            self.record_violation(now, "forged", f"{submission.id}: done with a result that no worker made")
        if status in (429, 503) and submission.request.grade.effect != "reissuable":
            possibly_executed = [
                attempt for attempt in self.received.get(submission.id, ()) if attempt.state != NEVER_EXECUTED
            ]
            if possibly_executed:
                self.record_violation(
                    now,
                    "doubled",
                    f"{submission.id}: denied, but may have run at w{possibly_executed[0].worker}",
                )

    def unanswered(self, submission: RequestTry, now: int, how: str) -> None:
        """Record that a client stopped waiting, or that its connection ended without a complete response."""
        if submission.id not in self.ended and submission.id not in self.excused:
            what = f"{submission.id} ({submission.request.grade.name}) at d{submission.dispatcher}: {how}"
            self.record_violation(now, "lost", what)
        self.ended.setdefault(submission.id, (now, how))

    def closed(self, submission: RequestTry, now: int) -> None:
        """Record that the client itself has disconnected, so that no response is required."""
        self.ended.setdefault(submission.id, (now, traffic.CLOSED))

    def killed(self, held: list[RequestTry]) -> None:
        """Excuse the submissions that a killed dispatcher held: their clients have to retry them."""
        self.excused.update(submission.id for submission in held)

    # --- cold workers

    def pushed_over(
        self, now: int, worker: int, sent: list[ColdLoadSample], was_notified: Callable[[int, int], bool]
    ) -> None:
        """Record that a cold worker was crashed by overload.

        This is a violation if two thirds of the work came from dispatchers that were notified of its start.
        """
        self.other_counts["fell over"] += 1
        total = sum(attempt.work for attempt in sent)
        from_notified = sum(attempt.work for attempt in sent if was_notified(attempt.sender, attempt.at))
        if from_notified >= total * 2 / 3:
            self.record_violation(now, "pushed", f"w{worker}: {total / 1e6:.1f} s of work within the window")

    @property
    def broken(self) -> bool:
        return any(self.counts.values())
