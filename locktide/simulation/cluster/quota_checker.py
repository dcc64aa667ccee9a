"""Checks the promise on budgets from what processes logged; shares no code with what it checks.

Told, on one clock that all share: what each process has in force from a moment on and until when, what it
spends, and when it was killed. The parts in force at live processes must never sum to more than the whole, at
any instant; and what all spend of a rate must never exceed the burst and the rate of the whole, over any
span.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

WHOLE = 1_000_000


@dataclass(frozen=True, slots=True)
class QuotaOverrun:
    at: int
    budget: str
    what: str


@dataclass(frozen=True, slots=True)
class LoanReclaim:
    """How long after its owner's return at `at`, in microseconds; -1 where that never came."""

    at: int
    budget: str
    loans_over: int
    whole: int


@dataclass
class AppliedQuota:
    """`parts` of a process from `at` until `until`; from then on what it has without talk, `floor`. `loans`
    by owner and borrower are parts of the owner's whole, from `at` until `loans_until`.
    """

    at: int
    parts: dict[str, int]
    until: int
    floor: int
    loans: dict[tuple[str, str], int] = field(default_factory=dict)
    loans_until: int = 0


@dataclass
class QuotaChecker:
    rates: dict[str, tuple[float, float]]  # of each budget: tokens a second, and the burst
    told: dict[Any, list[AppliedQuota]] = field(default_factory=lambda: defaultdict(list))
    ended: dict[Any, int] = field(default_factory=dict)
    spent: dict[str, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))
    asked: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))  # when, of each budget

    def in_force(
        self,
        process: Any,
        at: int,
        parts: dict[str, int],
        until: int,
        floor: int,
        loans: dict[tuple[str, str], int] | None = None,
        loans_until: int = 0,
    ) -> None:
        self.told[process].append(AppliedQuota(at, dict(parts), until, floor, dict(loans or {}), loans_until))

    def end(self, process: Any, at: int) -> None:
        self.ended.setdefault(process, at)

    def spend(self, budget: str, at: int, tokens: int = 1) -> None:
        self.spent[budget].append((at, tokens))

    def ask(self, budget: str, at: int) -> None:
        self.asked[budget].append(at)

    def overruns(self) -> list[QuotaOverrun]:
        found = []
        for budget, (rate, burst) in self.rates.items():
            found += self.sums(budget)
            if rate:
                found += self.flow(budget, rate, burst)
        found += self.passed_on()
        return sorted(found, key=lambda one: one.at)

    def stretches(self) -> Iterator[tuple[AppliedQuota, int]]:
        """What each process told, and when it told something else or ended."""
        for process, row in self.told.items():
            end = self.ended.get(process, 1 << 62)
            for place, one in enumerate(row):
                yield one, min(row[place + 1].at if place + 1 < len(row) else 1 << 62, end)

    def lent(self) -> Iterator[tuple[int, int, str, str, int]]:
        """Each loan: from when, until when, whose, to whom, how much."""
        for one, last in self.stretches():
            over = min(one.loans_until, last)
            for (owner, borrower), part in one.loans.items():
                if one.at < over and part:
                    yield one.at, over, owner, borrower, part

    def changes(self, budget: str) -> list[tuple[int, int]]:
        """When parts begin and end, with floors, and by how much each changes the sum."""
        changes: list[tuple[int, int]] = []
        for one, last in self.stretches():
            until = min(max(one.until, one.at), last) if one.until else one.at
            for begin, over, part in ((one.at, until, one.parts.get(budget, 0)), (until, last, one.floor)):
                if begin < over:
                    changes += [(begin, part), (over, -part)]
        return changes

    def sums(self, budget: str) -> list[QuotaOverrun]:
        """Adds up all that changes, in order; at one instant what ends goes before what begins."""
        changes = self.changes(budget)
        for begin, over, owner, _, part in self.lent():
            if owner == budget:
                changes += [(begin, part), (over, -part)]
        total, found = 0, []
        for at, by in sorted(changes):
            total += by
            if total > WHOLE and by > 0:
                found.append(QuotaOverrun(at, budget, f"{total} millionths in force"))
        return found

    def passed_on(self) -> list[QuotaOverrun]:
        """Nobody has a loan in force while another has one of it: that would hand on what is borrowed."""
        changes = []
        for begin, over, owner, borrower, _ in self.lent():
            changes += [(begin, 1, owner, borrower), (over, 0, owner, borrower)]
        lends: Counter[str] = Counter()
        borrows: Counter[str] = Counter()
        found = []
        for at, begins, owner, borrower in sorted(changes):
            by = 1 if begins else -1
            lends[owner] += by
            borrows[borrower] += by
            if begins and (borrows[owner] or lends[borrower]):
                found.append(
                    QuotaOverrun(at, owner, f"lent to {borrower}, and one of both lends and borrows")
                )
        return found

    def flow(self, budget: str, rate: float, burst: float) -> list[QuotaOverrun]:
        """A bucket of the whole, filled at the whole rate by the shared clock, must never run dry."""
        level, last, found = burst, None, []
        for at, tokens in sorted(self.spent[budget]):
            if last is not None:
                level = min(burst, level + (at - last) * rate / 1e6)
            last, level = at, level - tokens
            if level < -1e-6:
                found.append(QuotaOverrun(at, budget, f"{-level:.3f} tokens over rate and burst"))
        return found

    def reclaims(self, quiet: int) -> list[LoanReclaim]:
        """Each return of an owner after so long without a submission, while something of it was lent: how
        long until none of its loans was in force, and until its own parts were nine tenths of its whole.
        """
        found = []
        for budget, times in self.asked.items():
            loans = [(begin, over) for begin, over, owner, _, _ in self.lent() if owner == budget]
            own = self.own(budget)
            for before, at in zip(times, times[1:], strict=False):
                if at - before < quiet or not any(begin <= at < over for begin, over in loans):
                    continue
                free = at
                for begin, over in sorted(loans):
                    if begin <= free < over or begin < at < over:
                        free = max(free, over)
                whole = next((when for when, sum_ in own if when >= at and sum_ >= WHOLE * 9 // 10), 0)
                found.append(LoanReclaim(at, budget, free - at, whole - at if whole else -1))
        return sorted(found, key=lambda one: one.at)

    def own(self, budget: str) -> list[tuple[int, int]]:
        """The sum of the parts in force, without loans, from each moment on at which it changes."""
        total, sums = 0, list[tuple[int, int]]()
        for at, by in sorted(self.changes(budget)):
            total += by
            sums.append((at, total))
        return sums
