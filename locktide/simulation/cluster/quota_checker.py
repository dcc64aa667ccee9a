"""Checks the quotas of a cluster from what its processes recorded; shares no code with what it checks.

The records state what each process has in force, from when and until when; what it spends; and when it was
killed. The shares in force at live processes must never sum to more than the whole of their quota, at any
instant. And over any span, all processes together must not spend more than the burst and the rate of the
whole quota. Times are microseconds of one clock that all processes share, shares are millionths of the whole
quota.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

#: The whole of a quota, in millionths.
WHOLE = 1_000_000


@dataclass(frozen=True, slots=True)
class QuotaOverrun:
    """A quota that was exceeded.

    Attributes:
        at: when it was exceeded.
        quota: the name of the quota.
        description: what was exceeded, and by how much.
    """

    at: int
    quota: str
    description: str


@dataclass(frozen=True, slots=True)
class LoanReclaim:
    """The reclaim of a quota whose owner returned after an idle time, while some of it was lent.

    Attributes:
        at: when the owner returned.
        quota: the name of the quota.
        loans_over_after: how long after the return none of its loans was in force any more, in microseconds.
        share_restored_after: how long after the return the owner's own shares were nine tenths of the whole
            again, in microseconds; -1 if they never were.
    """

    at: int
    quota: str
    loans_over_after: int
    share_restored_after: int


@dataclass
class AppliedQuota:
    """The quotas in force at one process, until its next record or its end.

    Attributes:
        at: from when on they are in force.
        shares: its shares by quota, including the guaranteed minimum.
        shares_until: when the lease of the shares expires, and the guaranteed minimum is in force instead;
            0 if there is no lease.
        guaranteed_minimum: its share of each quota without a lease.
        loans: the loans in force, by owner and borrower; in millionths of the owner's whole quota.
        loans_until: when the loans expire.
    """

    at: int
    shares: dict[str, int]
    shares_until: int
    guaranteed_minimum: int
    loans: dict[tuple[str, str], int] = field(default_factory=dict)
    loans_until: int = 0


@dataclass
class QuotaChecker:
    """Collects the records of all processes, and finds the quotas that were exceeded.

    Attributes:
        rates_and_bursts: the rate of each quota, in tokens a second, and its burst, in tokens; a rate of 0
            for a quota whose spending is not checked.
        quotas_by_process: what each process had in force, in the order of time.
        ended_at: when processes were killed.
        spent_tokens: when tokens of each quota were spent, and how many.
        submissions: when requests of each quota were submitted.
    """

    rates_and_bursts: dict[str, tuple[float, float]]
    quotas_by_process: dict[Any, list[AppliedQuota]] = field(default_factory=lambda: defaultdict(list))
    ended_at: dict[Any, int] = field(default_factory=dict)
    spent_tokens: dict[str, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))
    submissions: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

    def record_quotas(
        self,
        process: Any,
        at: int,
        shares: dict[str, int],
        shares_until: int,
        guaranteed_minimum: int,
        loans: dict[tuple[str, str], int] | None = None,
        loans_until: int = 0,
    ) -> None:
        """Record what is in force at a process from `at` on; see `AppliedQuota`."""
        self.quotas_by_process[process].append(
            AppliedQuota(at, dict(shares), shares_until, guaranteed_minimum, dict(loans or {}), loans_until)
        )

    def record_end(self, process: Any, at: int) -> None:
        """Record that a process ended; only its first end counts."""
        self.ended_at.setdefault(process, at)

    def record_spending(self, quota: str, at: int, tokens: int = 1) -> None:
        """Record that tokens of a quota were spent."""
        self.spent_tokens[quota].append((at, tokens))

    def record_submission(self, quota: str, at: int) -> None:
        """Record that a request of a quota was submitted."""
        self.submissions[quota].append(at)

    def overruns(self) -> list[QuotaOverrun]:
        """Return all overruns, in the order of time."""
        found = []
        for quota, (rate, burst) in self.rates_and_bursts.items():
            found += self.find_share_overruns(quota)
            if rate:
                found += self.find_rate_overruns(quota, rate, burst)
        found += self.find_loans_passed_on()
        return sorted(found, key=lambda overrun: overrun.at)

    def quota_periods(self) -> Iterator[tuple[AppliedQuota, int]]:
        """Yield each record of each process, and when the process had its next one or ended."""
        for process, quotas in self.quotas_by_process.items():
            end = self.ended_at.get(process, 1 << 62)
            for index, applied in enumerate(quotas):
                yield applied, min(quotas[index + 1].at if index + 1 < len(quotas) else 1 << 62, end)

    def loan_periods(self) -> Iterator[tuple[int, int, str, str, int]]:
        """Yield each loan: from when and until when it was in force, owner, borrower, and share."""
        for applied, end in self.quota_periods():
            ends_at = min(applied.loans_until, end)
            for (owner, borrower), share in applied.loans.items():
                if applied.at < ends_at and share:
                    yield applied.at, ends_at, owner, borrower, share

    def share_changes(self, quota: str) -> list[tuple[int, int]]:
        """Return when shares and guaranteed minimums begin and end, and by how much each changes the sum."""
        changes: list[tuple[int, int]] = []
        for applied, end in self.quota_periods():
            shares_until = (
                min(max(applied.shares_until, applied.at), end) if applied.shares_until else applied.at
            )
            for begins_at, ends_at, share in (
                (applied.at, shares_until, applied.shares.get(quota, 0)),
                (shares_until, end, applied.guaranteed_minimum),
            ):
                if begins_at < ends_at:
                    changes += [(begins_at, share), (ends_at, -share)]
        return changes

    def find_share_overruns(self, quota: str) -> list[QuotaOverrun]:
        """Find when the shares and loans in force exceed the whole.

        Of the changes at one instant, those that end something are counted before those that begin something.
        """
        changes = self.share_changes(quota)
        for begins_at, ends_at, owner, _, share in self.loan_periods():
            if owner == quota:
                changes += [(begins_at, share), (ends_at, -share)]
        total, found = 0, []
        for at, difference in sorted(changes):
            total += difference
            if total > WHOLE and difference > 0:
                found.append(QuotaOverrun(at, quota, f"{total} millionths in force"))
        return found

    def find_loans_passed_on(self) -> list[QuotaOverrun]:
        """Find quotas that lend and borrow at the same time, which would pass on what was borrowed."""
        changes = []
        for begins_at, ends_at, owner, borrower, _ in self.loan_periods():
            changes += [(begins_at, 1, owner, borrower), (ends_at, 0, owner, borrower)]
        loans_by_owner: Counter[str] = Counter()
        loans_by_borrower: Counter[str] = Counter()
        found = []
        for at, begins, owner, borrower in sorted(changes):
            difference = 1 if begins else -1
            loans_by_owner[owner] += difference
            loans_by_borrower[borrower] += difference
            if begins and (loans_by_borrower[owner] or loans_by_owner[borrower]):
                found.append(
                    QuotaOverrun(at, owner, f"lent to {borrower}, and one of both lends and borrows")
                )
        return found

    def find_rate_overruns(self, quota: str, rate: float, burst: float) -> list[QuotaOverrun]:
        """Find when a token bucket of the whole quota, filled by the shared clock, would run empty."""
        level, filled_at, found = burst, None, []
        for at, tokens in sorted(self.spent_tokens[quota]):
            if filled_at is not None:
                level = min(burst, level + (at - filled_at) * rate / 1e6)
            filled_at, level = at, level - tokens
            if level < -1e-6:
                found.append(QuotaOverrun(at, quota, f"{-level:.3f} tokens over rate and burst"))
        return found

    def reclaims(self, idle_time: int) -> list[LoanReclaim]:
        """Return each return of an owner after `idle_time` or more without a submission, while it lent."""
        found = []
        for quota, times in self.submissions.items():
            loans = [
                (begins_at, ends_at)
                for begins_at, ends_at, owner, _, _ in self.loan_periods()
                if owner == quota
            ]
            totals = self.own_share_totals(quota)
            for previous, at in zip(times, times[1:], strict=False):
                if at - previous < idle_time or not any(
                    begins_at <= at < ends_at for begins_at, ends_at in loans
                ):
                    continue
                loans_over = at
                for begins_at, ends_at in sorted(loans):
                    if begins_at <= loans_over < ends_at or begins_at < at < ends_at:
                        loans_over = max(loans_over, ends_at)
                restored_at = next(
                    (time for time, total in totals if time >= at and total >= WHOLE * 9 // 10), 0
                )
                found.append(LoanReclaim(at, quota, loans_over - at, restored_at - at if restored_at else -1))
        return sorted(found, key=lambda reclaim: reclaim.at)

    def own_share_totals(self, quota: str) -> list[tuple[int, int]]:
        """Return the sum of the shares in force, without loans, from each moment at which it changes."""
        total, totals = 0, list[tuple[int, int]]()
        for at, difference in sorted(self.share_changes(quota)):
            total += difference
            totals.append((at, total))
        return totals
