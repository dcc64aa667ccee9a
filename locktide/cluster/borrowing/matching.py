"""Decides how much each borrower gets and from which lender; pure functions on integers."""

from __future__ import annotations

from locktide.cluster.messages import QuotaIndex
from locktide.cluster.quota.types import LoanKey

#: Rates by quota, in millionths of a token a second.
Rates = dict[QuotaIndex, int]
#: Rates of loans, in the same unit.
LoanRates = dict[LoanKey, int]


def fill_evenly(shortfalls: Rates, available: int) -> Rates:
    """Return an equal amount for each quota, up to its shortfall; a remainder goes to the first quotas."""
    allocated = dict.fromkeys(shortfalls, 0)
    unfilled = list(shortfalls)
    while unfilled and available:
        even = max(1, available // len(unfilled))
        for borrower in list(unfilled):
            amount = min(even, shortfalls[borrower] - allocated[borrower], available)
            allocated[borrower] += amount
            available -= amount
            if allocated[borrower] == shortfalls[borrower]:
                unfilled.remove(borrower)
    return allocated


def match_loans(allocated: Rates, lendable: Rates, previous: LoanRates) -> LoanRates:
    """Return the loans that give each borrower its allocated amount.

    A borrower keeps its previous lenders as far as these have enough, since a moved loan can begin only after
    the previous one has ended. The rest of its amount comes from any lender that has some left.
    """
    loans: LoanRates = {}
    needed = dict(allocated)
    remaining = dict(lendable)

    def lend(lender: QuotaIndex, borrower: QuotaIndex, limit: int) -> None:
        amount = min(needed.get(borrower, 0), remaining.get(lender, 0), limit)
        if amount > 0:
            key = LoanKey(lender, borrower)
            loans[key] = loans.get(key, 0) + amount
            needed[borrower] -= amount
            remaining[lender] -= amount

    for (lender, borrower), amount in sorted(previous.items()):
        lend(lender, borrower, amount)
    for borrower in needed:
        for lender in remaining:
            lend(lender, borrower, needed[borrower])
    return loans
