"""Which borrower gets how much, and from which lender; pure functions on whole numbers."""

from __future__ import annotations

from locktide.cluster.messages import QuotaIndex
from locktide.cluster.quota.types import LoanKey

#: Rates by quota, in millionths of a token a second.
Rates = dict[QuotaIndex, int]
#: Rates that are lent, in the same unit.
LoanRates = dict[LoanKey, int]


def fill_evenly(shortfalls: Rates, available: int) -> Rates:
    """Give equal amounts to each, up to its shortfall; what cannot be divided is given by their order."""
    given = dict.fromkeys(shortfalls, 0)
    unfilled = list(shortfalls)
    while unfilled and available:
        even = max(1, available // len(unfilled))
        for borrower in list(unfilled):
            amount = min(even, shortfalls[borrower] - given[borrower], available)
            given[borrower] += amount
            available -= amount
            if given[borrower] == shortfalls[borrower]:
                unfilled.remove(borrower)
    return given


def match_loans(given: Rates, lendable: Rates, previous: LoanRates) -> LoanRates:
    """Return from which lender each borrower's amount comes.

    It is the same lender as before, as far as it has enough, since each move of a loan costs the time until
    the former one has ended; then any lender that has some left.
    """
    loans: LoanRates = {}
    needed = dict(given)
    left = dict(lendable)

    def lend(lender: QuotaIndex, borrower: QuotaIndex, limit: int) -> None:
        amount = min(needed.get(borrower, 0), left.get(lender, 0), limit)
        if amount > 0:
            key = LoanKey(lender, borrower)
            loans[key] = loans.get(key, 0) + amount
            needed[borrower] -= amount
            left[lender] -= amount

    for (lender, borrower), amount in sorted(previous.items()):
        lend(lender, borrower, amount)
    for borrower in needed:
        for lender in left:
            lend(lender, borrower, needed[borrower])
    return loans
