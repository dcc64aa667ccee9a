"""Sees every side of a rehearsal and counts where a dispatcher has broken one of the four rules.

It knows nothing of the dispatchers' own records: it goes by what reached workers, what clients got, what the
roster told and what had an effect. Where the moment of a send is not seen, the earliest that the link allows
is taken.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from locktide.simulation.model import traffic
from locktide.simulation.model.traffic import RequestTry
from locktide.simulation.model.worker import ColdLoadSample

# How a dispatch stands, as its dispatcher can know it.
IN_FLIGHT, NEVER_EXECUTED, POSSIBLY_EXECUTED, GIVEN_UP = "out", "never ran", "may have run", "given up"
MAX_REPORTED = 200  # breaches kept with their words; the counts go on


@dataclass(slots=True)
class ReceivedAttempt:
    """A dispatch that reached a worker whole."""

    worker: int
    pod: int
    dispatcher: int
    at: int
    sent_at: int  # at the earliest
    held_back: bool = False  # by a cut link: when it was sent is not known
    stands: str = IN_FLIGHT
    accepted_at: int | None = None  # when its 202 went out, where no cut link can have held that back


@dataclass(slots=True)
class Violation:
    at: int
    rule: str
    what: str


@dataclass
class CheckerConfig:
    """What counts, in microseconds."""

    slack: int = 50_000  # a final answer counts that much past the time limit, as on the platform
    drain_grace: int = 250_000
    memory: dict[str, int] = field(default_factory=dict)  # of numbered grades: how long a pod drops a repeat


RULES = ("lost", "late", "extra", "forged", "after", "doubled", "copies", "drain", "pushed", "strays")
BLAMED = {
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
    def __init__(self, terms: CheckerConfig) -> None:
        self.terms = terms
        self.counts = dict.fromkeys(RULES, 0)
        self.breaches: list[Violation] = []
        self.came: dict[str, list[ReceivedAttempt]] = {}
        self.results: dict[str, set[bytes]] = {}
        self.ended: dict[str, tuple[int, str]] = {}  # the final answer that a client got
        self.effects: dict[str, list[str]] = {}  # by the number of a job: the submissions that had an effect
        self.excused: set[str] = set()  # held by a dispatcher when it was killed
        self.counted = {"doubled records": 0, "fell over": 0}

    def breach(self, at: int, rule: str, what: str) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < MAX_REPORTED:
            self.breaches.append(Violation(at, rule, what))

    # --- dispatches

    def reached(
        self,
        tried: RequestTry,
        worker: int,
        pod: int,
        dispatcher: int,
        first_at: int,
        at: int,
        told_at: int | None,
        most_delay: int,
        audible: Callable[[ReceivedAttempt], bool],
        cut_at: int | None = None,
    ) -> ReceivedAttempt:
        """A dispatch came whole. `told_at`: when its dispatcher was told to send this worker nothing more;
        `cut_at`: when the link was cut, where that has held it back.
        """
        # A send is no earlier than the longest that the link may take before the first byte came.
        came = ReceivedAttempt(worker, pod, dispatcher, at, first_at - most_delay, cut_at is not None)
        if cut_at is not None:
            came.sent_at = min(came.sent_at, cut_at)
        earlier = self.came.setdefault(tried.id, [])
        grade, name = tried.ask.grade, f"{tried.id} ({tried.ask.grade.name}) at w{worker} by d{dispatcher}"
        if told_at is not None and came.sent_at > told_at + self.terms.drain_grace:
            late = (came.sent_at - told_at) / 1000
            self.breach(at, "drain", f"{name}: sent {late:.0f} ms after the dispatcher was told")
        if (final := self.ended.get(tried.id)) and came.sent_at > final[0]:
            self.breach(
                at, "after", f"{name}: sent {(came.sent_at - final[0]) / 1000:.0f} ms after '{final[1]}'"
            )
        # What a cut link has held back was given up by closing its connection, and comes after what took its
        # place: that one is no copy of it.
        open_ones = [
            one for one in earlier if one.stands == IN_FLIGHT and not came.held_back and audible(one)
        ]
        if open_ones:
            self.breach(at, "copies", f"{name}: still out at w{open_ones[0].worker}")
        maybe = [one for one in earlier if one.stands != NEVER_EXECUTED]
        if maybe and grade.effect == "at-most-once":
            self.breach(at, "doubled", f"{name}: may have run at w{maybe[0].worker}")
        elif maybe and grade.effect == "numbered":
            if any(one.pod != pod for one in maybe):
                self.breach(at, "doubled", f"{name}: may have run at w{maybe[0].worker}, of another pod")
            elif came.sent_at - maybe[0].at > self.terms.memory[grade.name]:
                self.breach(
                    at, "doubled", f"{name}: may have run at w{maybe[0].worker}, past the memory span"
                )
        earlier.append(came)
        return came

    def stray(self, at: int, what: str) -> None:
        self.breach(at, "strays", what)

    @staticmethod
    def stands(came: ReceivedAttempt, how: str) -> None:
        """The first word on a dispatch counts, but for what had been given up or was lost."""
        if came.stands == IN_FLIGHT or how == NEVER_EXECUTED and came.stands == GIVEN_UP:
            came.stands = how

    def made(self, id: str, result: bytes) -> None:
        self.results.setdefault(id, set()).add(result)

    def effect(self, at: int, tried: RequestTry, came: ReceivedAttempt | None = None) -> None:
        """A job has had its effect: it has started, and was no repeat that its pod drops. One that was sent
        in time and held back by the network past its pod's memory is nobody's fault; the record is double all
        the same.
        """
        if tried.ask.grade.effect == "reissuable":
            return
        held = self.effects.setdefault(tried.ask.key, [])
        if held:
            # The client's own retry of what a killed dispatcher held is no fault of a dispatcher's.
            blamed = not any(id in self.excused for id in held)
            if blamed:
                self.counted["doubled records"] += 1
            if blamed and not (came is not None and came.held_back):
                self.breach(at, "doubled", f"{tried.id} ({tried.ask.grade.name}): a second effect")
        held.append(tried.id)

    # --- answers

    def answered(self, tried: RequestTry, now: int, status: int, body: bytes) -> None:
        if tried.id in self.ended:
            self.breach(now, "extra", f"{tried.id}: a second answer, {status}")
            return
        self.ended[tried.id] = (now, str(status))
        if now > tried.limit_at + self.terms.slack:
            over = (now - tried.limit_at) / 1000
            what = f"{tried.id} ({tried.ask.grade.name}): {status} {over:.0f} ms past the limit"
            self.breach(now, "late", what)
        if status == 200 and body not in self.results.get(tried.id, ()):
            self.breach(now, "forged", f"{tried.id}: done with a result that no worker made")
        if status in (429, 503) and tried.ask.grade.effect != "reissuable":
            maybe = [one for one in self.came.get(tried.id, ()) if one.stands != NEVER_EXECUTED]
            if maybe:
                self.breach(now, "doubled", f"{tried.id}: denied, but may have run at w{maybe[0].worker}")

    def unanswered(self, tried: RequestTry, now: int, how: str) -> None:
        """The client has stopped waiting, or its connection was ended with no whole answer."""
        if tried.id not in self.ended and tried.id not in self.excused:
            what = f"{tried.id} ({tried.ask.grade.name}) at d{tried.dispatcher}: {how}"
            self.breach(now, "lost", what)
        self.ended.setdefault(tried.id, (now, how))

    def closed(self, tried: RequestTry, now: int) -> None:
        """The client has gone away by itself: nothing is owed to it."""
        self.ended.setdefault(tried.id, (now, traffic.CLOSED))

    def killed(self, held: list[RequestTry]) -> None:
        """What a killed dispatcher held is the client's to retry."""
        self.excused.update(tried.id for tried in held)

    # --- cold workers

    def pushed_over(
        self, now: int, worker: int, sent: list[ColdLoadSample], told: Callable[[int, int], bool]
    ) -> None:
        """A cold worker fell over. Blamed where two thirds of it came from dispatchers that knew of its
        start.
        """
        self.counted["fell over"] += 1
        whole = sum(one.work for one in sent)
        knew = sum(one.work for one in sent if told(one.sender, one.at))
        if knew >= whole * 2 / 3:
            self.breach(now, "pushed", f"w{worker}: {whole / 1e6:.1f} s of work within the window")

    @property
    def broken(self) -> bool:
        return any(self.counts.values())
